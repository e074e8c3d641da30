"""Request bodies that exceed the buffer limit, and the HTTP/1.1 body framings."""

from __future__ import annotations

import asyncio

import pytest

from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar.downstream import request_reader, timeouts
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.streaming import Upload
from tests.downstream import NullDispatcher, new_connection, new_server
from tests.net import OK, TEST_TIMEOUT_S, classes, read_message, request, sidecar, until
from tests.runner import run, status
from tests.streams import LONG_BODY, FunctionUpstream, read_body, upload_request


@pytest.mark.parametrize("chunk_size", [0, 4000])
@pytest.mark.parametrize("size", [10, 70_000, len(LONG_BODY)])
def test_sidecar_forwards_body_unchanged_in_every_length_and_framing(size: int, chunk_size: int) -> None:
    async def test() -> None:
        received = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                received.append(await read_body(reader))
                writer.write(OK)

        async with sidecar(FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            for _ in range(2):
                writer.write(upload_request(LONG_BODY[:size], chunk_size, "X-Mine: 1\r\n"))
                assert await read_message(reader) != (b"", b"")
                assert received.pop()[1] == LONG_BODY[:size]
            writer.close()

    run(test)


def test_sidecar_streams_long_body_and_starts_deadline_at_end_of_body() -> None:
    async def test() -> None:
        first_part_received = asyncio.Event()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(100_000)
            first_part_received.set()
            await reader.readexactly(len(LONG_BODY) - 100_000)
            writer.write(OK)

        async with sidecar(FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            data = request("pay", body=LONG_BODY, deadline_ms=1500)
            writer.write(data[:200_000])
            await first_part_received.wait()
            await asyncio.sleep(1.6)  # longer than the client's deadline
            writer.write(data[200_000:])
            assert status(await read_message(reader)) == 200
            writer.close()

    run(test)


def test_sidecar_retries_long_body_only_while_it_is_buffered() -> None:
    async def test() -> None:
        attempts = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            attempts.append(await reader.readuntil(b"\r\n\r\n"))
            if len(attempts) == 1:
                return  # the connection closes while the whole body is still buffered
            if len(attempts) == 3:
                await reader.readexactly(300_000)
                return
            await reader.readexactly(len(LONG_BODY))
            writer.write(OK)

        async with sidecar(FunctionUpstream(handle), FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            data = request("pay", body=LONG_BODY)
            writer.write(data[:66_000])
            await until(lambda: len(attempts) == 2)
            writer.write(data[66_000:])
            assert status(await read_message(reader)) == 200
            writer.write(request("pay", body=LONG_BODY))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After" in head
            assert b"Connection: close" in head
            writer.close()
        assert len(attempts) == 3

    run(test)


def test_sidecar_responds_408_when_client_stops_in_long_body(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_reader, "READ_TIMEOUT_US", 300_000)
    monkeypatch.setattr(request_reader, "MAX_DEADLINE_AHEAD_US", 500_000)

    async def test() -> None:
        body_ended = asyncio.Event()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.read(len(LONG_BODY))) < len(LONG_BODY)
            while await reader.read(65536):
                pass
            body_ended.set()

        async with sidecar(FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            writer.write(upload_request(LONG_BODY)[:200_000])
            assert status(await read_message(reader)) == 408
            await body_ended.wait()
            writer.close()

    run(test)


@pytest.mark.parametrize("invalid_framing", [b"zz\r\n", b"-1\r\n", b"ffffffffffffffffff\r\n"])
def test_sidecar_responds_400_when_framing_of_long_body_breaks(invalid_framing: bytes) -> None:
    async def test() -> None:
        body_ended = asyncio.Event()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert not (await reader.read()).endswith(b"0\r\n\r\n")
            body_ended.set()

        async with sidecar(FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            data = upload_request(LONG_BODY, 4000)
            # The data ends before the header of the first chunk (0xfa0 = 4000 bytes) after 200,000 bytes.
            writer.write(data[: data.index(b"fa0;x", 200_000)] + invalid_framing)
            assert status(await read_message(reader)) == 400
            await body_ended.wait()
            writer.close()

    run(test)


def test_sidecar_responds_413_when_chunked_body_exceeds_limit() -> None:
    async def test() -> None:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(1 << 20):
                pass

        async with sidecar(FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            writer.write(request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
            response = asyncio.create_task(read_message(reader))
            chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
            while not response.done():
                writer.write(chunk)
                await writer.drain()
            assert status(await response) == 413
            writer.close()

    run(test)


def test_upload_reads_body_only_while_an_attempt_is_attached() -> None:
    class RecordingSink:
        def __init__(self) -> None:
            self.received = b""

        def write_body_chunk(self, data: bytes) -> None:
            self.received += data

        def end_body(self) -> None:
            self.received += b"."

    class RecordingSource:
        def __init__(self) -> None:
            self.reading_states = list[bool]()
            self.not_replayable_calls = list[bool]()

        def pause_body(self) -> None:
            self.reading_states.append(False)

        def resume_body(self) -> None:
            self.reading_states.append(True)

        def mark_body_not_replayable(self) -> None:
            self.not_replayable_calls.append(True)

    source = RecordingSource()
    reading_states, not_replayable_calls = source.reading_states, source.not_replayable_calls
    upload = Upload(bytearray(b"held"), None, source)
    first, second = RecordingSink(), RecordingSink()
    assert upload.attach(first) == b"held"
    upload.detach(first)
    assert reading_states == [True, False]
    assert not not_replayable_calls
    assert upload.attach(second) == b"held"
    upload.detach(first)  # no effect, because another attempt is attached
    upload.feed(b"more")
    upload.finish()
    assert second.received == b"more."
    assert not_replayable_calls == [True]
    assert upload.buffered == b""
    assert reading_states[-1]


def test_connection_rejects_body_when_its_class_is_removed_before_the_end() -> None:
    async def test() -> None:
        client_connection = new_connection()
        data = request("pay", body=LONG_BODY)
        client_connection.data_received(data[:1000])
        client_connection.server.router = RequestRouter(Settings([RequestClass("read", 1_000_000, 2_000_000)]))
        client_connection.data_received(data[1000:70_000])
        assert client_connection.closing
        assert not client_connection.has_open_request

    run(test)


def test_sidecar_sheds_when_upstream_stops_reading_long_body(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "STALL_TIMEOUT_US", 500_000)

    async def test() -> None:
        attempts, finished = [], asyncio.Event()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            attempts.append(await reader.readuntil(b"\r\n\r\n"))
            await finished.wait()

        async with sidecar(FunctionUpstream(handle), FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            writer.write(request("pay", body=24 * LONG_BODY))
            async with asyncio.timeout(TEST_TIMEOUT_S / 2):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After" in head
            writer.transport.abort()
            finished.set()
        assert len(attempts) == 1

    run(test)


def test_next_attempt_has_the_full_stall_timeout_when_an_upstream_stopped_reading_long_body() -> None:
    async def test() -> None:
        dispatcher = NullDispatcher(Settings(classes()))
        client_connection = new_connection(server=new_server(dispatcher))
        # The client waits longer than the stalls last, as its body, which may be complete, is answered in its time.
        client_connection.data_received(request("pay", body=LONG_BODY, deadline_ms=60_000)[:70_000])
        paused_since_us = client_connection.arrival_times.paused_since_us
        for waited_s, stalls in ((9, 0), (11, 1), (11.1, 1), (20, 1), (22, 2)):
            client_connection.check_timeouts(paused_since_us + int(waited_s * 1e6))
            assert dispatcher.calls == ["body stalled"] * stalls

    run(test)
