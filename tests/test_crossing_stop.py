"""Crossings with the end of the process: what is under way when it is told to stop, each made step by step."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from subprocess import Popen
from typing import Any

import pytest

from tests.net import (
    OK,
    TEST_TIMEOUT_S,
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
from tests.processes import SETTINGS, configuration, program
from tests.runner import run, status
from tests.streams import upload_request

LONG_US = 20_000_000  # deadlines far beyond the 3.7 s after which SIGKILL comes at the soonest
PATIENT: dict[str, Any] = SETTINGS | {
    "bounds": SETTINGS["bounds"] | {"dial-timeout": LONG_US, "second-copies": False, "max-retry-after": 2_000_000},
    "request-classes": [
        {"name": name, "aim": LONG_US, "deadline": LONG_US, "effect": effect, "worth": 1.0}
        for name, effect in (("pay", "at_most_once"), ("read", "idempotent"))
    ],
}


@contextlib.contextmanager
def never_up() -> Iterator[int]:
    """The port of a listener whose backlog is full: connections to it never come up."""
    with socket.socket() as held, socket.socket() as filler, socket.socket() as more:
        held.bind(("127.0.0.1", 0))
        held.listen(0)
        for each in (filler, more):
            each.setblocking(False)
            each.connect_ex(held.getsockname())
        yield int(held.getsockname()[1])


class Client:
    """One connection to the program under test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def status(self) -> int:
        """Of a whole answer; a connection that ends without one fails the test."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            answer = await read_message(self.reader)
        assert b"Connection: close" in answer[0]
        self.writer.close()
        return status(answer)


@contextlib.asynccontextmanager
async def running(
    folder: Path, *ports: int, settings: dict[str, Any] = PATIENT
) -> AsyncIterator[tuple[Popen[bytes], Any]]:
    """The program beside upstreams at these ports, and a way to send it something on a connection of its own."""
    path = configuration(folder, settings=settings, known=listing(*(entry(f"u{p}", p) for p in ports)))
    port = int(json.loads(path.read_text())["listen"].split(":")[1])

    async def send(data: bytes) -> Client:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        return Client(reader, writer)

    with program(path) as process:
        await wait_for_listener(port, lambda: process.poll() is None)
        yield process, send


async def ended(process: Popen[bytes]) -> int:
    return await asyncio.to_thread(process.wait, TEST_TIMEOUT_S)


def test_stop_responds_before_exit_when_request_outlasts_process(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(never_respond)
        await upstream.start()
        async with running(tmp_path, upstream.port) as (process, send):
            out = [await send(request("pay", f"p{n}", b"b")) for n in range(2)]
            safe = await send(request("read", "r", deadline_ms=19_000))
            await until(lambda: len(upstream.requests) == 3)  # its slots
            buffered = await send(request("pay", "q", b"b"))
            half = await send(request("pay", "h", b"four")[:-2])
            long = await send(upload_request(b"x" * 200_000)[:100_000])
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGTERM)
            assert [await client.status() for client in out] == [500, 500]  # they may have run
            assert [await client.status() for client in (safe, buffered, long)] == [503] * 3
            assert await half.status() == 408  # its time to come whole was over before
            assert await ended(process) == 0
            assert len(upstream.requests) == 3
        upstream.stop()

    run(test)


def test_stop_sheds_request_when_its_connection_is_not_up(tmp_path: Path) -> None:
    async def test() -> None:
        with never_up() as port:
            async with running(tmp_path, port) as (process, send):
                waiting = await send(request("pay", body=b"b"))
                await asyncio.sleep(0.2)
                process.send_signal(signal.SIGTERM)
                assert await waiting.status() == 503
                assert await ended(process) == 0

    run(test)


@pytest.mark.parametrize("size", [100_000, 6_000_000])  # the larger one fills all buffers, as its client does not read
def test_stop_completes_response_when_it_is_streamed(tmp_path: Path, size: int) -> None:
    async def test() -> None:
        on = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * (size - 30_000))
            if size == 100_000:
                await on.wait()
            writer.write(b"y" * 30_000)

        upstream = Upstream(script)
        await upstream.start()
        async with running(tmp_path, upstream.port) as (process, send):
            client = await send(request("read"))
            await client.reader.readuntil(b"\r\n\r\n")
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(4.0)  # past the soonest SIGKILL, which may come later
            assert process.poll() is None
            on.set()
            assert await client.reader.readexactly(size) == b"x" * (size - 30_000) + b"y" * 30_000
            client.writer.close()
            assert await ended(process) == 0
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
def test_stop_keeps_outstanding_requests_when_signals_cross(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await go.wait()
            writer.write(OK)

        upstream = Upstream(script)
        await upstream.start()
        async with running(tmp_path, upstream.port) as (process, send):
            client = await send(request("pay", body=b"b"))
            await until(lambda: len(upstream.requests) == 1)
            path = tmp_path / "config.json"
            whole = json.loads(path.read_text())
            whole["settings"]["request-classes"].reverse()
            path.write_text(json.dumps(whole))
            for each in signals:
                process.send_signal(each)
            await asyncio.sleep(0.2)
            go.set()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert status(await read_message(client.reader)) == 200
            client.writer.close()
            assert await ended(process) == 0
        upstream.stop()

    run(test)


def test_stop_exits_when_there_is_no_endpoint_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as (process, send):
            process.send_signal(signal.SIGTERM)
            assert await (await send(request("pay", body=b"b"))).status() == 503
            assert await ended(process) == 0

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
        async with running(tmp_path, upstream.port, settings=short) as (process, send):
            half = await send(request("pay", body=b"four")[:-2])
            await asyncio.sleep(0.2)
            loop = asyncio.get_running_loop()
            process.send_signal(signal.SIGTERM)
            told = loop.time()
            assert await half.status() == 503  # not after 2.7 s, when its time to come whole is over
            assert loop.time() - told < 2.0
            assert not upstream.requests
            half.writer.close()
            assert await ended(process) == 0
        upstream.stop()

    run(test)
