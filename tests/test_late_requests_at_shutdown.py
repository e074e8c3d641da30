"""Tests of requests that arrive so late after SIGTERM that SIGKILL could cut off a long response to them."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from subprocess import Popen
from typing import Any

import pytest

from garnetusher.sidecar.downstream.connection import DownstreamConnection
from garnetusher.sidecar.transitions import ClientCloseReason
from tests.net import (
    OK,
    TEST_TIMEOUT_S,
    Discovery,
    Upstream,
    entry,
    free_port,
    listing,
    read_message,
    request,
    respond_with,
    sidecar,
    wait_for_listener,
)
from tests.processes import SETTINGS, program, write_configuration
from tests.runner import run, status
from tests.streams import LONG_BODY, upload_request

KILL_AFTER_S = 2.7  # the longest deadline of the settings below and 0.7 s
LONG_RESPONSE_S = 4.0
LONG_RESPONSE_PARTS = 64
RESPONSE_BEFORE_SIGTERM_S = 2.0  # a response that begins 0.8 s before SIGTERM ends 1.2 s after it
LATE_S = 1.0
DISCOVERY_KEEPALIVE = b"1\r\n\n\r\n"  # tells a process with an inherited socket that its cached list is current
LATE_SETTINGS: dict[str, Any] = SETTINGS | {
    "request-classes": [
        {"name": "read", "aim": 400_000, "deadline": 2_000_000, "effect": "idempotent", "worth": 3.0},
        {"name": "pay", "aim": 600_000, "deadline": 2_000_000, "effect": "at_most_once", "worth": 5.0},
    ]
}


class Ending(enum.Enum):
    RESTART = "the process listens itself"
    REPLACEMENT = "another process may share its listening socket"


class Outcome(enum.Enum):
    """What a client sees of its request."""

    SERVED = "whole response"
    REFUSED = "503"
    FAILED = "another status"
    CLOSED = "closed or reset before the response, so that the client sends its request again"
    CUT = "closed or reset within the response"


async def respond(
    upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond to a path with `long` or `chunked` over some seconds, and to others at once."""
    target = upstream.requests[request_index][0].split(b" ")[1]
    if b"/short" in target:
        writer.write(OK)
        return
    duration_s = RESPONSE_BEFORE_SIGTERM_S if b"/before" in target else LONG_RESPONSE_S
    part = LONG_BODY[: len(LONG_BODY) // LONG_RESPONSE_PARTS]
    is_chunked = b"/chunked" in target
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % len(LONG_BODY)
    writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
    for _ in range(LONG_RESPONSE_PARTS):
        writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
        await writer.drain()
        await asyncio.sleep(duration_s / LONG_RESPONSE_PARTS)
    if is_chunked:
        writer.write(b"0\r\n\r\n")


def request_to(kind: str, class_name: str = "read") -> bytes:
    body = b"b" if class_name == "pay" else b""
    return request(class_name, body=body, deadline_ms=1500).replace(b"/it?x=1", b"/" + kind.encode())


async def read_outcome(reader: asyncio.StreamReader) -> Outcome:
    """Read a response until its end, or until SIGKILL ends the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return Outcome.CUT if getattr(error, "partial", b"") else Outcome.CLOSED
    try:
        if b"chunked" in head:
            while size := int(await reader.readline(), 16):
                await reader.readexactly(size + 2)
        else:
            await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Outcome.CUT
    return {200: Outcome.SERVED, 503: Outcome.REFUSED}.get(status((head, b"")), Outcome.FAILED)


class Peers:
    """One sidecar process, and clients whose steps are timed from SIGTERM."""

    def __init__(self, process: Popen[bytes], port: int, upstream: Upstream) -> None:
        self.upstream = upstream
        self._process = process
        self._port = port
        self._sigterm_s = 0.0

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._port)

    async def resting_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await self.connect()
        writer.write(request_to("short"))
        assert status(await read_message(reader)) == 200
        return reader, writer

    def terminate(self) -> None:
        self._process.send_signal(signal.SIGTERM)
        self._sigterm_s = time.monotonic()

    async def wait_until(self, after_sigterm_s: float) -> None:
        await asyncio.sleep(self._sigterm_s + after_sigterm_s - time.monotonic())

    async def kill(self) -> None:
        await self.wait_until(KILL_AFTER_S)
        self._process.kill()

    def send_signal(self, signal_number: int) -> None:
        self._process.send_signal(signal_number)


@contextlib.asynccontextmanager
async def peers(folder: Path, ending: Ending) -> AsyncIterator[Peers]:
    upstream, discovery = Upstream(respond), Discovery()
    await upstream.start()
    await discovery.start()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        is_replacement = ending is Ending.REPLACEMENT
        if is_replacement:
            listener.listen(512)
        port = listener.getsockname()[1] if is_replacement else free_port()
        path = write_configuration(
            folder,
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{discovery.port}",
            settings=LATE_SETTINGS,
            known=listing(entry("u", upstream.port)),
        )
        descriptors = (listener.fileno(),) if is_replacement else ()
        variables = {"BALANCER_SOCKET_FD": str(listener.fileno())} if is_replacement else {}
        with program(path, descriptors, **variables) as process:
            if is_replacement:
                await discovery.wait_for_watch()
                for watch in discovery.writers:
                    watch.write(DISCOVERY_KEEPALIVE)
            await wait_for_listener(port, lambda: process.poll() is None)
            yield Peers(process, port, upstream)
    upstream.stop()
    discovery.stop()


async def resting(instance: Peers, kind: str, class_name: str) -> Callable[[], Awaitable[Outcome]]:
    """The client rests at SIGTERM, and sends its next request long after it."""
    reader, writer = await instance.resting_connection()

    async def play() -> Outcome:
        await instance.wait_until(LATE_S)
        writer.write(request_to(kind, class_name))
        return await read_outcome(reader)

    return play


async def slow_head(instance: Peers, kind: str, class_name: str) -> Callable[[], Awaitable[Outcome]]:
    """The head of a request begins before SIGTERM, and ends long after it."""
    reader, writer = await instance.resting_connection()
    data = request_to(kind, class_name)
    writer.write(data[:20])

    async def play() -> Outcome:
        await instance.wait_until(LATE_S)
        writer.write(data[20:])
        return await read_outcome(reader)

    return play


async def after_response(instance: Peers, kind: str, class_name: str) -> Callable[[], Awaitable[Outcome]]:
    """A long response that began before SIGTERM promised keep-alive; the next request follows it at once."""
    reader, writer = await instance.connect()
    writer.write(request_to("before"))
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"close" not in head

    async def play() -> Outcome:
        await reader.readexactly(len(LONG_BODY))
        writer.write(request_to(kind, class_name))
        return await read_outcome(reader)

    return play


async def slow_body(instance: Peers, kind: str, class_name: str) -> Callable[[], Awaitable[Outcome]]:
    """A body that is forwarded while it arrives begins before SIGTERM, and ends long after it."""
    reader, writer = await instance.resting_connection()
    data = upload_request(b"x" * 200_000).replace(b"/it?x=1", b"/" + kind.encode())
    data = data.replace(b"X-Deadline-Ms: 15000", b"X-Deadline-Ms: 1500")
    writer.write(data[:150_000])

    async def play() -> Outcome:
        await instance.wait_until(LATE_S)
        writer.write(data[150_000:])
        return await read_outcome(reader)

    return play


CLIENTS = [
    (resting, "long", "read"),
    (resting, "chunked", "read"),
    (resting, "long", "pay"),
    (slow_head, "long", "read"),
    (slow_head, "chunked", "read"),
    (slow_head, "long", "pay"),
    (after_response, "long", "read"),
    (after_response, "long", "pay"),
    (slow_body, "long", "pay"),
]


@pytest.mark.parametrize("ending", Ending)
def test_no_response_is_cut_off_by_sigkill_when_its_request_came_late_after_sigterm(
    tmp_path: Path, ending: Ending
) -> None:
    # Guards against long responses that a stopping process begins for late requests, and that SIGKILL cuts off.
    async def test() -> None:
        async with peers(tmp_path, ending) as instance:
            plays = [await state(instance, kind, class_name) for state, kind, class_name in CLIENTS]
            await asyncio.sleep(0.8)
            instance.terminate()
            running = asyncio.gather(*(play() for play in plays))
            await instance.kill()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                outcomes = await running
            harmless = {Outcome.REFUSED, Outcome.CLOSED}
            named = [(state.__name__, kind, class_name) for state, kind, class_name in CLIENTS]
            assert {
                name: outcome for name, outcome in zip(named, outcomes, strict=True) if outcome not in harmless
            } == {}
            assert not [head for head, _ in instance.upstream.requests if head.startswith(b"POST")]

    run(test)


@pytest.mark.parametrize("ending", Ending)
def test_late_short_request_is_served_or_closed_unread_when_the_process_stops(tmp_path: Path, ending: Ending) -> None:
    async def test() -> None:
        async with peers(tmp_path, ending) as instance:
            states = (resting, slow_head, after_response)
            plays = [await state(instance, "short", "read") for state in states]
            await asyncio.sleep(0.8)
            instance.terminate()
            running = asyncio.gather(*(play() for play in plays))
            await instance.kill()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert await running == [Outcome.CLOSED, Outcome.SERVED, Outcome.SERVED]

    run(test)


@pytest.mark.parametrize("ending", Ending)
def test_requests_that_arrive_while_the_process_is_stopped_are_served_or_refused(
    tmp_path: Path, ending: Ending
) -> None:
    async def test() -> None:
        async with peers(tmp_path, ending) as instance:
            clients = [(*await instance.resting_connection(), kind) for kind in ("long", "short")]
            instance.terminate()
            instance.send_signal(signal.SIGSTOP)
            await instance.wait_until(0.3)
            for _, writer, kind in clients:
                writer.write(request_to(kind))
            await instance.wait_until(LATE_S)
            instance.send_signal(signal.SIGCONT)
            running = asyncio.gather(*(read_outcome(reader) for reader, _, _ in clients))
            await instance.kill()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert await running == [Outcome.REFUSED, Outcome.SERVED]

    run(test)


def test_body_that_ends_late_while_the_process_is_stopped_has_no_streamed_response(tmp_path: Path) -> None:
    # Guards against a body that ends between the time for streamed responses and the next step of the shutdown.
    async def test() -> None:
        async with peers(tmp_path, Ending.REPLACEMENT) as instance:
            reader, writer = await instance.resting_connection()
            data = upload_request(b"x" * 200_000).replace(b"/it?x=1", b"/long")
            writer.write(data[:150_000])
            await asyncio.sleep(0.2)
            instance.terminate()
            await instance.wait_until(0.4)
            instance.send_signal(signal.SIGSTOP)
            await instance.wait_until(0.8)
            writer.write(data[150_000:])
            await instance.wait_until(LATE_S)
            instance.send_signal(signal.SIGCONT)
            running = asyncio.ensure_future(read_outcome(reader))
            await instance.kill()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert await running is Outcome.FAILED

    run(test)


def test_second_sigterm_changes_nothing_when_it_comes_late(tmp_path: Path) -> None:
    async def test() -> None:
        async with peers(tmp_path, Ending.REPLACEMENT) as instance:
            play = await slow_head(instance, "long", "read")
            instance.terminate()
            running = asyncio.ensure_future(play())
            await instance.wait_until(0.9)
            instance.send_signal(signal.SIGTERM)
            await instance.kill()
            assert await running is Outcome.REFUSED

    run(test)


@pytest.mark.parametrize("is_written_first", [True, False])
def test_request_is_served_or_left_unread_when_it_crosses_the_close_of_its_connection(
    monkeypatch: pytest.MonkeyPatch, is_written_first: bool
) -> None:
    # Guards against a request that is read after the decision to close its connection.
    close_if_idle = DownstreamConnection._close_if_idle
    clients: list[socket.socket] = []

    def cross(connection: DownstreamConnection, reason: ClientCloseReason) -> None:
        crossing = clients.pop() if clients else None
        if crossing is not None and is_written_first:
            crossing.sendall(request(request_id="crossing"))
        close_if_idle(connection, reason)
        if crossing is not None and not is_written_first:
            crossing.sendall(request(request_id="crossing"))

    monkeypatch.setattr(DownstreamConnection, "_close_if_idle", cross)

    async def test() -> None:
        upstream, discovery = Upstream(respond_with(OK)), Discovery()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            async with sidecar(upstream, discovery=discovery, inherited=listener) as running:
                await discovery.wait_for_watch()
                discovery.send_update(listing(rev=1, full=False))
                client = await asyncio.to_thread(socket.create_connection, listener.getsockname())
                reader, writer = await asyncio.open_connection(sock=client)
                writer.write(request())
                assert status(await read_message(reader)) == 200
                clients.append(client.dup())
                running.stop.set()
                outcome = await read_outcome(reader)
                assert outcome is (Outcome.SERVED if is_written_first else Outcome.CLOSED)
                assert len(upstream.requests) == (2 if is_written_first else 1)
                writer.close()

    run(test)
