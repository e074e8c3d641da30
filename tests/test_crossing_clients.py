"""Crossings with a client that leaves, or ends only its sending side."""

from __future__ import annotations

import asyncio

import pytest

from garnetusher.sidecar.streaming import UPLOAD_MEMORY_SIZE, BodyMemory
from tests.net import OK, Upstream, answering, entry, listing, read_message, request, sidecar, until
from tests.runner import run, status
from tests.streams import upload_request
from tests.test_interleaving_stop import full_backlog_port

NOT_SENT_AFTER_S = 0.3  # what waits is not sent on later than this after its client has left


async def total(upstream: Upstream, count: int) -> None:
    await until(lambda: len(upstream.requests) == count)


def test_buffered_request_is_shed_when_client_half_closes() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await go.wait()
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            out = [await it.connect() for _ in range(3)]
            for number, (_, writer) in enumerate(out):
                writer.write(request("pay", str(number), b"b"))
            await total(upstream, 3)  # its slots
            reader, writer = await it.connect()
            writer.write(request("pay", "waits", b"b"))
            await asyncio.sleep(0.1)
            writer.write_eof()
            assert status(await read_message(reader)) == 503
            assert await reader.read() == b""
            go.set()
            for each, _ in out:
                assert status(await read_message(each)) == 200
            assert len(upstream.requests) == 3
            for _, each_writer in (*out, (reader, writer)):
                each_writer.close()

    run(test)


def test_unwritten_attempt_is_withdrawn_when_client_half_closes() -> None:
    async def test() -> None:
        with full_backlog_port() as port:
            async with sidecar(known=listing(entry("u", port)), connect_timeout_us=60_000_000) as it:
                reader, writer = await it.connect()
                writer.write(request("pay", body=b"b"))
                await asyncio.sleep(0.1)
                writer.write_eof()
                assert status(await read_message(reader)) == 503
                writer.close()

    run(test)


@pytest.mark.parametrize("answer", [OK, b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000])
def test_outstanding_request_gets_response_when_client_half_closes(answer: bytes) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(answer[:-1])
            await go.wait()
            writer.write(answer[-1:])

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", body=b"b"))
            await total(upstream, 1)
            await asyncio.sleep(0.1)
            writer.write_eof()
            await asyncio.sleep(0.1)
            go.set()
            assert (await read_message(reader))[1] == answer.partition(b"\r\n\r\n")[2]
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_outstanding_request_is_not_retried_when_client_half_closes() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await go.wait()
            writer.transport.abort()
            raise ConnectionResetError

        upstreams = [Upstream(script), Upstream(script)]
        async with sidecar(*upstreams) as it:
            reader, writer = await it.connect()
            writer.write(request())
            await until(lambda: sum(len(each.requests) for each in upstreams) == 1)
            writer.write_eof()
            await asyncio.sleep(0.1)
            go.set()
            assert status(await read_message(reader)) == 503
            assert sum(len(each.requests) for each in upstreams) == 1
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_waiting_body_frees_its_place_when_client_disconnects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("garnetusher.sidecar.downstream.server.BodyMemory", lambda size: BodyMemory(UPLOAD_MEMORY_SIZE))

    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            _, first = await it.connect()
            first.write(upload_request(b"x" * 200_000)[:-1])
            await asyncio.sleep(0.2)
            _, second = await it.connect()
            second.write(upload_request(b"y" * 180_000))
            await second.drain()
            await asyncio.sleep(0.2)
            second.close()
            await asyncio.sleep(3 * NOT_SENT_AFTER_S)
            first.transport.abort()
            await asyncio.sleep(0.3)
            assert not upstream.requests
            answer = await it.ask(upload_request(b"z" * 180_000))  # there is room again
            assert status(answer) == 200
            assert len(upstream.requests) == 1

    run(test)
