"""What a sidecar keeps of connections and attempts that have ended, with the garbage collector switched off.

The collector counts objects and not bytes, so memory that only the collector frees has no bound in bytes.
"""

from __future__ import annotations

import asyncio
import gc
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

import httptools
import pytest

from garnetusher.sidecar.admin.server import AdminConnection
from garnetusher.sidecar.discovery.watch import WatchConnection
from garnetusher.sidecar.downstream.connection import DownstreamConnection
from garnetusher.sidecar.downstream.request_reader import RequestReader
from garnetusher.sidecar.requests.messages import Attempt, HttpRequest, PendingRequest
from garnetusher.sidecar.sockets import ZERO_LINGER
from garnetusher.sidecar.streaming import Upload
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.response_reader import ResponseReader
from tests.net import (
    OK,
    TEST_TIMEOUT_S,
    Discovery,
    Sidecar,
    Upstream,
    entry,
    listing,
    read_message,
    request,
    respond_with,
    sidecar,
)
from tests.runner import run
from tests.streams import LONG_BODY, FunctionUpstream, upload_request

OWNERS = (
    AdminConnection,
    Attempt,
    DownstreamConnection,
    HttpRequest,
    PendingRequest,
    RequestReader,
    Upload,
    UpstreamAttempt,
    WatchConnection,
    httptools.HttpRequestParser,
    httptools.HttpResponseParser,
)
REPEATS = 3
CHECK_INTERVAL_S = 0.05
BODY = bytes(60 * 1024)
SHORT_DEADLINE_MS = 150
CLOSING = OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
PARTIAL = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(50_000)
LONG_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LONG_BODY), LONG_BODY)

End = Callable[[Sidecar], Awaitable[None]]


@pytest.fixture(autouse=True)
def collector_off() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def count_owners() -> Counter[str]:
    """Count the objects that own bytes, a parser, a socket or a timer, except open connections to upstreams."""
    owners: Counter[str] = Counter()
    for each in gc.get_objects():
        is_closed_upstream = isinstance(each, UpstreamConnection) and each.closed
        is_used_reader = isinstance(each, ResponseReader) and (each.expecting or bool(each.body))
        if isinstance(each, OWNERS) or is_closed_upstream or is_used_reader:
            owners[type(each).__name__] += 1
    return owners


async def check_nothing_is_kept(upstream: Upstream, end: End, discovery: Discovery | None = None) -> None:
    """Let connections end in one way, and check that nothing of them is left."""
    discovery = discovery or Discovery()
    async with sidecar(upstream, discovery=discovery) as running:
        await discovery.wait_for_watch()
        discovery.send_update(listing(entry("u0", upstream.port)))
        await asyncio.sleep(0.1)
        idle_owners = count_owners()
        await asyncio.gather(*(end(running) for _ in range(REPEATS)))
        kept = idle_owners
        for _ in range(int(TEST_TIMEOUT_S / CHECK_INTERVAL_S)):
            await asyncio.sleep(CHECK_INTERVAL_S)
            kept = count_owners() - idle_owners
            if not kept:
                return
        pytest.fail(f"kept without the collector: {dict(kept)}")


def publish() -> bytes:
    """Return a request with an id of its own."""
    return request("pay", body=BODY)


async def send(running: Sidecar, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await running.connect()
    writer.write(data)
    await writer.drain()
    return reader, writer


def reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()


async def close_after_response(running: Sidecar) -> None:
    reader, writer = await send(running, publish())
    await read_message(reader)
    writer.close()


async def close_during_request(running: Sidecar) -> None:
    _, writer = await send(running, request("pay", body=BODY, deadline_ms=SHORT_DEADLINE_MS))
    await asyncio.sleep(0.05)
    writer.close()


async def close_during_body(running: Sidecar) -> None:
    _, writer = await send(running, publish()[:-1])
    writer.close()


async def reset_during_request(running: Sidecar) -> None:
    _, writer = await send(running, request("pay", body=BODY, deadline_ms=SHORT_DEADLINE_MS))
    await asyncio.sleep(0.05)
    reset(writer)


async def reset_after_response(running: Sidecar) -> None:
    reader, writer = await send(running, publish())
    await read_message(reader)
    reset(writer)


async def half_close(running: Sidecar) -> None:
    reader, writer = await send(running, publish())
    writer.write_eof()
    await reader.read()
    writer.close()


async def ask_for_close(running: Sidecar) -> None:
    reader, writer = await send(running, request("pay", body=BODY, extra="Connection: close\r\n"))
    await reader.read()
    writer.close()


async def ask_for_close_in_chunks(running: Sidecar) -> None:
    reader, writer = await send(running, upload_request(BODY, 4096, "Connection: close\r\n"))
    await reader.read()
    writer.close()


async def wait_for_answer(running: Sidecar) -> None:
    reader, writer = await send(running, request("pay", body=BODY, deadline_ms=SHORT_DEADLINE_MS))
    await read_message(reader)
    writer.close()


async def repeat_until_the_window_ends(running: Sidecar) -> None:
    reader, writer = await send(running, request("mark", body=BODY, deadline_ms=SHORT_DEADLINE_MS))
    await read_message(reader)
    writer.close()


async def be_rejected(running: Sidecar) -> None:
    reader, writer = await send(running, request("pay", body=BODY).replace(b"/pay/", b"/unknown/"))
    await reader.read()
    writer.close()


async def be_rejected_in_the_body(running: Sidecar) -> None:
    head = request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    reader, writer = await send(running, head + b"%x\r\n%s\r\nnoise\r\n" % (len(BODY), BODY))
    await reader.read()
    writer.close()


async def pipeline(running: Sidecar) -> None:
    reader, writer = await send(running, publish() + publish())
    await reader.read()
    writer.close()


async def be_rejected_with_an_upgrade(running: Sidecar) -> None:
    extra = "Connection: Upgrade\r\nUpgrade: x\r\n"
    reader, writer = await send(running, request("pay", body=BODY, extra=extra).replace(b"/pay/", b"/unknown/"))
    await reader.read()
    writer.close()


async def time_out(running: Sidecar) -> None:
    reader, writer = await send(running, publish()[:-1])
    await reader.read()
    writer.close()


async def be_evicted(running: Sidecar) -> None:
    connections = [await send(running, publish()[:-1]) for _ in range(110)]  # ten more than the sidecar accepts
    for _, writer in connections:
        writer.close()


async def upload_and_reset(running: Sidecar) -> None:
    _, writer = await send(running, upload_request(LONG_BODY)[:-1])
    await asyncio.sleep(0.05)
    reset(writer)


async def leave_long_response(running: Sidecar) -> None:
    reader, writer = await send(running, publish())
    await reader.readexactly(1000)
    reset(writer)


async def call_admin(running: Sidecar) -> None:
    await running.call_admin("GET", "/trace")
    _, writer = await asyncio.open_connection("127.0.0.1", running.admin_port)
    writer.write(b"GET /half")
    await asyncio.sleep(0.02)
    writer.close()


async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()


async def hang_in_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_message(reader)
    writer.write(PARTIAL)
    await reader.read()


async def close_in_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_message(reader)
    writer.write(PARTIAL)


async def reset_in_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await read_message(reader)
    writer.write(PARTIAL)
    await writer.drain()
    reset(writer)


@pytest.mark.parametrize(
    ("upstream", "end"),
    [
        (Upstream(respond_with(OK)), close_after_response),
        (Upstream(respond_with(OK)), close_during_body),
        (Upstream(respond_with(OK)), reset_after_response),
        (Upstream(respond_with(OK)), half_close),
        (Upstream(respond_with(OK)), ask_for_close),
        (Upstream(respond_with(OK)), ask_for_close_in_chunks),
        (Upstream(respond_with(OK)), be_rejected),
        (Upstream(respond_with(OK)), be_rejected_in_the_body),
        (Upstream(respond_with(OK)), be_rejected_with_an_upgrade),
        (Upstream(respond_with(OK)), pipeline),
        (Upstream(respond_with(OK)), time_out),
        (Upstream(respond_with(OK)), be_evicted),
        (Upstream(respond_with(OK)), call_admin),
        (Upstream(respond_with(OK + OK)), ask_for_close),
        (Upstream(respond_with(LONG_RESPONSE)), leave_long_response),
        (Upstream(respond_with(CLOSING)), wait_for_answer),
        (Upstream(respond_with(b"")), wait_for_answer),
        (Upstream(respond_with(b"")), repeat_until_the_window_ends),
        (FunctionUpstream(hang), wait_for_answer),
        (FunctionUpstream(hang), close_during_request),
        (FunctionUpstream(hang), reset_during_request),
        (FunctionUpstream(hang), upload_and_reset),
        (FunctionUpstream(hang_in_response), wait_for_answer),
        (FunctionUpstream(hang_in_response), reset_during_request),
        (FunctionUpstream(close_in_response), wait_for_answer),
        (FunctionUpstream(reset_in_response), wait_for_answer),
    ],
)
def test_ended_connection_keeps_nothing_when_the_collector_does_not_run(upstream: Upstream, end: End) -> None:
    # Guards against the growth by 130 KB for each client connection that ended with `Connection: close` after a body.
    run(lambda: check_nothing_is_kept(upstream, end))


def test_ended_watch_keeps_nothing_when_the_collector_does_not_run() -> None:
    # Guards against parts of endpoint lists that stay in memory after the watches that received them.
    async def test() -> None:
        discovery, one_at_a_time = Discovery(), asyncio.Lock()

        async def end_watch(_: Sidecar) -> None:
            async with one_at_a_time:
                discovery.writers[-1].write(b"%x\r\n%s" % (2 * len(LONG_BODY), b" " * len(LONG_BODY)))
                await asyncio.sleep(0.05)
                discovery.writers[-1].transport.abort()
                await discovery.wait_for_watch()

        await check_nothing_is_kept(Upstream(respond_with(OK)), end_watch, discovery)

    run(test)


@pytest.mark.parametrize("is_answered", [True, False])
def test_shutdown_keeps_nothing_of_connections_when_the_collector_does_not_run(is_answered: bool) -> None:
    # Guards against the memory of one process growing while two share the limit, in a drain and in a takeover.
    async def test() -> None:
        upstream = Upstream(respond_with(OK)) if is_answered else FunctionUpstream(hang)
        async with sidecar(upstream) as running:
            connections = [await send(running, request("pay", body=BODY, deadline_ms=2000)) for _ in range(REPEATS)]
            await asyncio.sleep(0.1)
            running.stop.set()
            for reader, writer in connections:
                await reader.read()
                writer.close()
            await running.task
        kept = count_owners()
        for _ in range(int(TEST_TIMEOUT_S / CHECK_INTERVAL_S)):  # the watch of the sidecar goes on connecting
            if not kept:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
            kept = count_owners()
        assert not kept, dict(kept)

    run(test)
