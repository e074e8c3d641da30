"""Request bodies that are longer than what is buffered, and the framings that HTTP/1.1 gives them."""

from __future__ import annotations

import asyncio

import pytest

from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar.downstream import connection, request_reader
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.streaming import Upload
from tests.downstream import new_connection
from tests.net import OK, PATIENCE_S, read_message, request, sidecar, until
from tests.runner import run, status
from tests.streams import LONG_BODY, FunctionUpstream, read_body, upload_request


@pytest.mark.parametrize("chunks", [0, 4000])
@pytest.mark.parametrize("size", [10, 70_000, len(LONG_BODY)])
def test_sidecar_forwards_body_unchanged_in_every_length_and_framing(size: int, chunks: int) -> None:
    async def test() -> None:
        found = []

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                found.append(await read_body(reader))
                writer.write(OK)

        async with sidecar(FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            for _ in range(2):
                writer.write(upload_request(LONG_BODY[:size], chunks, "X-Mine: 1\r\n"))
                assert await read_message(reader) != (b"", b"")
                assert found.pop()[1] == LONG_BODY[:size]
            writer.close()

    run(test)


def test_sidecar_streams_long_body_and_starts_its_deadline_at_the_end() -> None:
    async def test() -> None:
        first = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(100_000)
            first.set()
            await reader.readexactly(len(LONG_BODY) - 100_000)
            writer.write(OK)

        async with sidecar(FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=LONG_BODY, deadline_ms=1500)
            writer.write(whole[:200_000])
            await first.wait()
            await asyncio.sleep(1.6)  # longer than its client would wait for an answer
            writer.write(whole[200_000:])
            assert status(await read_message(reader)) == 200
            writer.close()

    run(test)


def test_sidecar_retries_long_body_only_while_it_is_buffered() -> None:
    async def test() -> None:
        tries = []

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tries.append(await reader.readuntil(b"\r\n\r\n"))
            if len(tries) == 1:
                return  # it breaks before it has had more than what is held
            if len(tries) == 3:
                await reader.readexactly(300_000)
                return
            await reader.readexactly(len(LONG_BODY))
            writer.write(OK)

        async with sidecar(FunctionUpstream(play), FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=LONG_BODY)
            writer.write(whole[:66_000])
            await until(lambda: len(tries) == 2)
            writer.write(whole[66_000:])
            assert status(await read_message(reader)) == 200
            writer.write(whole)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After" in head
            assert b"Connection: close" in head
            writer.close()
        assert len(tries) == 3

    run(test)


def test_sidecar_responds_408_when_client_stops_in_long_body(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "READ_TIMEOUT_US", 300_000)
    monkeypatch.setattr(request_reader, "MAX_DEADLINE_AHEAD_US", 500_000)

    async def test() -> None:
        ended = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.read(len(LONG_BODY))) < len(LONG_BODY)
            while await reader.read(65536):
                pass
            ended.set()

        async with sidecar(FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            writer.write(upload_request(LONG_BODY)[:200_000])
            assert status(await read_message(reader)) == 408
            await ended.wait()
            writer.close()

    run(test)


@pytest.mark.parametrize("bad", [b"zz\r\n", b"-1\r\n", b"ffffffffffffffffff\r\n"])
def test_sidecar_responds_400_when_framing_of_long_body_breaks(bad: bytes) -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert not (await reader.read()).endswith(b"0\r\n\r\n")
            ended.set()

        async with sidecar(FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            whole = upload_request(LONG_BODY, 4000)
            writer.write(whole[: whole.index(b"fa0;x", 200_000)] + bad)
            assert status(await read_message(reader)) == 400
            await ended.wait()
            writer.close()

    run(test)


def test_sidecar_responds_413_when_chunked_body_exceeds_limit() -> None:
    async def test() -> None:
        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(1 << 20):
                pass

        async with sidecar(FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            writer.write(request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
            answer = asyncio.create_task(read_message(reader))
            piece = b"10000\r\n" + b"x" * 65536 + b"\r\n"
            while not answer.done():
                writer.write(piece)
                await writer.drain()
            assert status(await answer) == 413
            writer.close()

    run(test)


def test_upload_reads_on_only_while_an_attempt_takes_it() -> None:
    class RecordingSink:
        def __init__(self) -> None:
            self.got = b""

        def write_body_chunk(self, data: bytes) -> None:
            self.got += data

        def end_body(self) -> None:
            self.got += b"."

    class RecordingSource:
        def __init__(self) -> None:
            self.flows = list[bool]()
            self.passed = list[bool]()

        def pause_body(self) -> None:
            self.flows.append(False)

        def resume_body(self) -> None:
            self.flows.append(True)

        def body_not_replayable(self) -> None:
            self.passed.append(True)

    source = RecordingSource()
    flows, passed = source.flows, source.passed
    body = Upload(b"held", None, source)
    first, second = RecordingSink(), RecordingSink()
    assert body.attach(first) == b"held"
    body.detach(first)
    assert flows == [True, False]
    assert not passed
    assert body.attach(second) == b"held"
    body.detach(first)  # another attempt has it
    body.feed(b"more")
    body.finish()
    assert second.got == b"more."
    assert passed == [True]
    assert body.buffered == b""
    assert flows[-1]


def test_connection_rejects_body_when_its_class_is_removed_meanwhile() -> None:
    async def test() -> None:
        client = new_connection()
        whole = request("pay", body=LONG_BODY)
        client.data_received(whole[:1000])
        client.server.router = RequestRouter(Settings([RequestClass("read", 1_000_000, 2_000_000)]))
        client.data_received(whole[1000:70_000])
        assert client.closing
        assert not client.has_open_request

    run(test)


def test_sidecar_sheds_when_upstream_stops_taking_long_body(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "STALL_TIMEOUT_US", 500_000)

    async def test() -> None:
        tries, over = [], asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tries.append(await reader.readuntil(b"\r\n\r\n"))
            await over.wait()

        async with sidecar(FunctionUpstream(play), FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", body=24 * LONG_BODY))
            async with asyncio.timeout(PATIENCE_S / 2):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After" in head
            writer.transport.abort()
            over.set()
        assert len(tries) == 1

    run(test)
