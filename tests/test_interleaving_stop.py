"""Tests of a shutdown interleaved with requests in various stages; each test forces one order of the steps."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import time
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from subprocess import Popen
from typing import Any

import pytest

from tests.net import (
    OK,
    TEST_TIMEOUT_S,
    Discovery,
    Upstream,
    entry,
    listing,
    never_respond,
    read_message,
    request,
    respond_with,
    until,
    wait_for_listener,
)
from tests.processes import SETTINGS, program, with_value, write_configuration
from tests.runner import run, status
from tests.streams import upload_request

LONG_DEADLINE_US = 20_000_000  # deadlines far beyond 3.7 s, the earliest time of SIGKILL
LONG_DEADLINE_SETTINGS: dict[str, Any] = SETTINGS | {
    "bounds": SETTINGS["bounds"]
    | {"dial-timeout": LONG_DEADLINE_US, "second-copies": False, "max-retry-after": 2_000_000},
    "request-classes": [
        {"name": name, "aim": LONG_DEADLINE_US, "deadline": LONG_DEADLINE_US, "effect": effect, "worth": 1.0}
        for name, effect in (("pay", "at_most_once"), ("read", "idempotent"))
    ],
}


@contextlib.contextmanager
def full_backlog_port() -> Iterator[int]:
    """The port of a listener whose backlog is full, so that connections to it are never established."""
    with socket.socket() as listener, socket.socket() as first_filler, socket.socket() as second_filler:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for filler in (first_filler, second_filler):
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield int(listener.getsockname()[1])


class Client:
    """One connection to the program under test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def status(self) -> int:
        """Return the status of a complete response; a connection that ends without one fails the test."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            response = await read_message(self.reader)
        assert b"Connection: close" in response[0]
        self.writer.close()
        return status(response)


@contextlib.asynccontextmanager
async def run_sidecar(
    folder: Path, *ports: int, settings: dict[str, Any] = LONG_DEADLINE_SETTINGS
) -> AsyncIterator[tuple[Popen[bytes], Any]]:
    """Run the sidecar with upstreams at these ports; yield its process and a function that opens a connection."""
    path = write_configuration(folder, settings=settings, known=listing(*(entry(f"u{p}", p) for p in ports)))
    port = int(json.loads(path.read_text())["listen"].split(":")[1])

    async def send(data: bytes) -> Client:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        return Client(reader, writer)

    with program(path) as process:
        await wait_for_listener(port, lambda: process.poll() is None)
        yield process, send


async def wait_for_exit(process: Popen[bytes]) -> int:
    return await asyncio.to_thread(process.wait, TEST_TIMEOUT_S)


def test_stop_responds_before_exit_when_the_deadline_of_a_request_is_later(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(never_respond)
        await upstream.start()
        async with run_sidecar(tmp_path, upstream.port) as (process, send):
            outstanding = [await send(request("pay", f"p{n}", b"b")) for n in range(2)]
            idempotent = await send(request("read", "r", deadline_ms=19_000))
            await until(lambda: len(upstream.requests) == 3)  # the requests occupy all slots of the upstream
            buffered = await send(request("pay", "q", b"b"))
            incomplete = await send(request("pay", "h", b"four")[:-2])
            incomplete_head = await send(request("pay", "g", b"four")[:20])
            long = await send(upload_request(b"x" * 200_000)[:100_000])
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            # The upstream may have executed the outstanding requests.
            assert [await client.status() for client in outstanding] == [500, 500]
            # A request that is incomplete 0.7 s after SIGTERM, and may not run twice, is refused.
            assert [await client.status() for client in (idempotent, buffered, long, incomplete)] == [503] * 4
            # The time limit for receiving the head ends before the final responses are due.
            assert await incomplete_head.status() == 408
            assert await wait_for_exit(process) == 0
            assert len(upstream.requests) == 3
        upstream.stop()

    run(test)


def test_stop_sheds_request_when_its_connection_is_not_established(tmp_path: Path) -> None:
    async def test() -> None:
        with full_backlog_port() as port:
            async with run_sidecar(tmp_path, port) as (process, send):
                waiting = await send(request("pay", body=b"b"))
                await asyncio.sleep(0.2)
                process.send_signal(signal.SIGTERM)
                assert await waiting.status() == 503
                assert await wait_for_exit(process) == 0

    run(test)


# The larger response fills all buffers because its client does not read.
@pytest.mark.parametrize("size", [100_000, 6_000_000])
def test_stop_completes_response_when_it_is_streamed(tmp_path: Path, size: int) -> None:
    async def test() -> None:
        resume = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * (size - 30_000))
            if size == 100_000:
                await resume.wait()
            writer.write(b"y" * 30_000)

        upstream = Upstream(script)
        await upstream.start()
        async with run_sidecar(tmp_path, upstream.port) as (process, send):
            client = await send(request("read"))
            await client.reader.readuntil(b"\r\n\r\n")
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(4.0)  # past the earliest time of SIGKILL, which may come later
            assert process.poll() is None
            resume.set()
            assert await client.reader.readexactly(size) == b"x" * (size - 30_000) + b"y" * 30_000
            client.writer.close()
            assert await wait_for_exit(process) == 0
        upstream.stop()

    run(test)


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    ],
)
def test_stop_keeps_outstanding_requests_when_signals_interleave(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            writer.write(OK)

        upstream = Upstream(script)
        await upstream.start()
        async with run_sidecar(tmp_path, upstream.port) as (process, send):
            client = await send(request("pay", body=b"b"))
            await until(lambda: len(upstream.requests) == 1)
            path = tmp_path / "config.json"
            document = json.loads(path.read_text())
            document["settings"]["request-classes"].reverse()
            path.write_text(json.dumps(document))
            for signal_number in signals:
                process.send_signal(signal_number)
            await asyncio.sleep(0.2)
            release.set()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert status(await read_message(client.reader)) == 200
            client.writer.close()
            assert await wait_for_exit(process) == 0
        upstream.stop()

    run(test)


def test_stop_exits_when_there_is_no_endpoint_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with run_sidecar(tmp_path) as (process, send):
            process.send_signal(signal.SIGTERM)
            assert await (await send(request("pay", body=b"b"))).status() == 503
            assert await wait_for_exit(process) == 0

    run(test)


def test_stop_responds_earlier_when_deadlines_are_short(tmp_path: Path) -> None:
    short: dict[str, Any] = SETTINGS | {
        "request-classes": [
            {"name": "pay", "aim": 200_000, "deadline": 300_000, "effect": "at_most_once", "worth": 1.0}
        ]
    }

    async def test() -> None:
        upstream = Upstream(respond_with(b"never"))
        await upstream.start()
        async with run_sidecar(tmp_path, upstream.port, settings=short) as (process, send):
            incomplete = await send(request("pay", body=b"four")[:-2])
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            process.send_signal(signal.SIGTERM)
            stopped_at_s = loop.time()
            # The response must arrive before the time limit for receiving the request, which ends after 2.7 s.
            assert await incomplete.status() == 503
            assert loop.time() - stopped_at_s < 2.0
            assert not upstream.requests
            incomplete.writer.close()
            assert await wait_for_exit(process) == 0
        upstream.stop()

    run(test)


KILL_AFTER_S = 3.7  # the earliest time of SIGKILL after SIGTERM if the longest deadline is 3 s or more


def test_stop_responds_before_sigkill_when_sigterm_arrived_while_the_process_was_stopped(tmp_path: Path) -> None:
    """The time until SIGKILL counts from SIGTERM, not from the moment at which the process can handle it."""

    async def test() -> None:
        upstream = Upstream(never_respond)
        await upstream.start()
        async with run_sidecar(tmp_path, upstream.port) as (process, send):
            client = await send(request("pay", body=b"b"))
            await until(lambda: len(upstream.requests) == 1)
            process.send_signal(signal.SIGSTOP)
            process.send_signal(signal.SIGTERM)
            sent_at_s = time.monotonic()
            await asyncio.sleep(1.0)
            process.send_signal(signal.SIGCONT)
            assert await client.status() == 500
            assert time.monotonic() - sent_at_s < KILL_AFTER_S
        upstream.stop()

    run(test)


def test_stop_responds_before_sigkill_when_sigterm_arrived_before_the_process_could_listen(tmp_path: Path) -> None:
    async def test() -> None:
        classes = [
            {"name": name, "aim": 3_000_000, "deadline": 3_000_000, "effect": effect, "worth": 1.0}
            for name, effect in (("pay", "at_most_once"), ("read", "idempotent"))
        ]
        upstream, discovery = Upstream(never_respond), Discovery()
        await upstream.start()
        await discovery.start()
        with socket.socket() as predecessor:
            predecessor.bind(("127.0.0.1", 0))
            predecessor.listen()
            address = predecessor.getsockname()
            path = write_configuration(
                tmp_path,
                listen=f"127.0.0.1:{address[1]}",
                discovery=f"127.0.0.1:{discovery.port}",
                settings=with_value(SETTINGS, "request-classes", classes),
                known=listing(entry("u", upstream.port)),
            )
            with program(path) as process:
                await discovery.wait_for_watch()
                process.send_signal(signal.SIGTERM)
                sent_at_s = time.monotonic()
                await asyncio.sleep(1.0)
                predecessor.close()
                await wait_for_listener(address[1], lambda: process.poll() is None)
                forwarded, refused = [Client(*await asyncio.open_connection(*address)) for _ in range(2)]
                forwarded.writer.write(request("read", deadline_ms=3000))
                refused.writer.write(request("pay", body=b"b", deadline_ms=3000))
                assert await refused.status() == 503
                assert await forwarded.status() == 503
                assert time.monotonic() - sent_at_s < KILL_AFTER_S
                assert [head.startswith(b"GET /read") for head, _ in upstream.requests] == [True]
        upstream.stop()
        discovery.stop()

    run(test)
