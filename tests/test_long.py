"""Bodies and answers longer than what is held, over loopback sockets; the forms that HTTP/1.1 gives them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar.downstream import connection as server_module
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.requests.messages import AttemptResult, HttpRequest
from garnetusher.sidecar.streaming import LONGEST, BodyMemory, Head, Source, Upload
from garnetusher.sidecar.upstream.pool import SETTLE_US, ConnectionPool
from tests.net import (
    NOT_RUN,
    OK,
    PATIENCE_S,
    Upstream,
    allowed,
    answering,
    classes,
    entry,
    listening,
    listing,
    read_message,
    request,
    sidecar,
    until,
)
from tests.processes import configuration, program
from tests.test_sidecar import Sink, a_client, run, status

LONG = bytes(range(256)) * 4096  # 1 MiB
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Raw(Upstream):
    """An upstream whose connections are played by hand."""

    def __init__(self, play: Serve) -> None:
        super().__init__(answering(OK))
        self.play = play

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self.play(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def pieces(data: bytes, size: int, extra: bytes = b"") -> bytes:
    """Chunks of such a size, each with an extension."""
    return b"".join(
        b"%x%s\r\n%s\r\n" % (len(data[at : at + size]), extra, data[at : at + size]) for at in range(0, len(data), size)
    )


async def read_body(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Head and body of a message with a length, in chunks, or up to the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        body = bytearray()
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return head, bytes(body)
    if b"content-length: " in lower:
        return head, await reader.readexactly(int(lower.split(b"content-length: ")[1].split(b"\r\n")[0]))
    return head, await reader.read()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Not-Run\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG, LONG),
        (CHUNKED + pieces(LONG, 999, b";a=b") + b"0\r\nX-Not-Run: 1\r\n\r\n", LONG),
        (CHUNKED + pieces(LONG[:5000], 1, b';a="b c"') + b"0\r\nX-Sum: 1\r\n\r\n", LONG[:5000]),
        (b"HTTP/1.1 200 OK\r\n\r\n" + LONG, LONG),
        (b"HTTP/1.0 200 Fine\r\n\r\n" + LONG[:100], LONG[:100]),
        (b"HTTP/1.1 200\r\nConnection: close\r\n\r\n", b""),
        (
            b"HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + CHUNKED + b"0\r\n\r\n",
            b"",
        ),
    ],
)
def test_every_form_of_answer_comes_back_unchanged(answer: bytes, body: bytes) -> None:
    async def test() -> None:
        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(answer)
            await writer.drain()

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            writer.write(request())
            head, found = await read_body(reader)
            writer.close()
            assert status((head, found)) == 200 and found == body

    run(test)


def test_a_long_answer_is_passed_on_as_it_comes_and_the_connection_goes_on() -> None:
    async def test() -> None:
        seen = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await read_message(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:10])
                await seen.wait()
                writer.write(LONG[10:])

        upstream = Raw(play)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            for _ in range(3):
                seen.clear()
                writer.write(request())
                await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(10) == LONG[:10]
                seen.set()
                assert await reader.readexactly(len(LONG) - 10) == LONG[10:]
                await asyncio.sleep(2 * SETTLE_US / 1e6)
            writer.close()
        assert upstream.connections == 1

    run(test)


def test_a_short_answer_of_unknown_length_that_trickles_is_not_held_back() -> None:
    async def test() -> None:
        seen = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(CHUNKED + b"3\r\nabc\r\n")
            await seen.wait()
            writer.write(b"3\r\ndef\r\n0\r\n\r\n")

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            writer.write(request())
            await reader.readuntil(b"abc\r\n")
            seen.set()
            assert (await reader.readuntil(b"0\r\n\r\n")).startswith(b"3\r\ndef")
            writer.close()

    run(test)


@pytest.mark.parametrize("kind", ["read", "pay"])
@pytest.mark.parametrize("head", [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", CHUNKED + b"20000\r\n"])
def test_a_long_answer_that_breaks_off_is_seen_not_to_be_whole_and_not_asked_for_again(kind: str, head: bytes) -> None:
    async def test() -> None:
        requests = []

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await read_message(reader))
            writer.write(head + b"x" * 100_000)
            await writer.drain()

        async with sidecar(Raw(play), Raw(play)) as it:
            reader, writer = await it.connect()
            writer.write(request(kind))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await read_body(reader)
            writer.close()
        assert len(requests) == 1

    run(test)


def test_a_client_that_reads_slowly_holds_back_its_upstream_and_gets_all() -> None:
    async def test() -> None:
        sent, size = [0], 24 * 1024 * 1024

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            while sent[0] < size:
                writer.write(b"x" * 65536)
                await writer.drain()
                sent[0] += 65536

        async with sidecar(Raw(play), Upstream(answering(OK))) as it:
            reader, writer = await asyncio.open_connection("127.0.0.1", it.port, limit=4096)
            writer.write(request())
            await until(lambda: sent[0] > 0)
            before = -1
            while before != sent[0]:  # till nothing moves any more
                before = sent[0]
                await asyncio.sleep(0.2)
            assert sent[0] < size
            await reader.readuntil(b"\r\n\r\n")
            got = 0
            while got < size:
                got += len(await reader.read(1 << 20))
            assert got == sent[0] == size
            writer.close()

    run(test)


def test_an_answer_beyond_the_limit_is_a_failed_attempt() -> None:
    async def test() -> None:
        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx" % (LONGEST + 1))
            await reader.read()

        async with sidecar(Raw(play)) as it:
            assert status(await it.ask(request("pay"))) == 500

    run(test)


def upload(body: bytes, chunks: int = 0, extra: str = "") -> bytes:
    """An unsafe request with a long body, in chunks of such a size or with its length."""
    if not chunks:
        return request("pay", body=body, extra=extra)
    head = request("pay", extra=extra).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + pieces(body, chunks, b";x") + b"0\r\nX-Trailer: 1\r\n\r\n"


@pytest.mark.parametrize("chunks", [0, 4000])
@pytest.mark.parametrize("size", [10, 70_000, len(LONG)])
def test_bodies_of_any_length_and_framing_go_on_unchanged(size: int, chunks: int) -> None:
    async def test() -> None:
        found = []

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                found.append(await read_body(reader))
                writer.write(OK)

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            for _ in range(2):
                writer.write(upload(LONG[:size], chunks, "X-Mine: 1\r\n"))
                assert await read_message(reader) != (b"", b"") and found.pop()[1] == LONG[:size]
            writer.close()

    run(test)


def test_a_long_body_goes_on_before_its_end_and_its_time_counts_from_there() -> None:
    async def test() -> None:
        first = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(100_000)
            first.set()
            await reader.readexactly(len(LONG) - 100_000)
            writer.write(OK)

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=LONG, deadline_ms=1500)
            writer.write(whole[:200_000])
            await first.wait()
            await asyncio.sleep(1.6)  # longer than its client would wait for an answer
            writer.write(whole[200_000:])
            assert status(await read_message(reader)) == 200
            writer.close()

    run(test)


def test_what_is_still_held_of_a_long_body_can_be_sent_again_and_what_has_passed_can_not() -> None:
    async def test() -> None:
        tries = []

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tries.append(await reader.readuntil(b"\r\n\r\n"))
            if len(tries) == 1:
                return  # it breaks before it has had more than what is held
            if len(tries) == 3:
                await reader.readexactly(300_000)
                return
            await reader.readexactly(len(LONG))
            writer.write(OK)

        async with sidecar(Raw(play), Raw(play)) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=LONG)
            writer.write(whole[:66_000])
            await until(lambda: len(tries) == 2)
            writer.write(whole[66_000:])
            assert status(await read_message(reader)) == 200
            writer.write(whole)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After" in head and b"Connection: close" in head
            writer.close()
        assert len(tries) == 3

    run(test)


def test_a_client_that_stops_in_a_long_body_is_told_and_its_request_never_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "LONGEST_READ_US", 300_000)
    monkeypatch.setattr(server_module, "MOST_AHEAD_US", 500_000)

    async def test() -> None:
        ended = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.read(len(LONG))) < len(LONG)
            while await reader.read(65536):
                pass
            ended.set()

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            writer.write(upload(LONG)[:200_000])
            assert status(await read_message(reader)) == 408
            await ended.wait()
            writer.close()

    run(test)


@pytest.mark.parametrize("bad", [b"zz\r\n", b"-1\r\n", b"ffffffffffffffffff\r\n"])
def test_a_long_body_whose_framing_breaks_never_runs(bad: bytes) -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert not (await reader.read()).endswith(b"0\r\n\r\n")
            ended.set()

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            whole = upload(LONG, 4000)
            writer.write(whole[: whole.index(b"fa0;x", 200_000)] + bad)
            assert status(await read_message(reader)) == 400
            await ended.wait()
            writer.close()

    run(test)


def test_a_chunked_body_beyond_the_limit_is_ended_within_bounds() -> None:
    async def test() -> None:
        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(1 << 20):
                pass

        async with sidecar(Raw(play)) as it:
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


def test_a_client_that_waits_to_be_told_to_go_on_is_told() -> None:
    async def test() -> None:
        upstream = Upstream(answering(NOT_RUN, OK))
        async with sidecar(upstream, Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=b"wait", extra="Expect: \t100-Continue \t\r\n")
            writer.write(whole[:-4])
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(whole[-4:])
            assert status(await read_message(reader)) == 200
            writer.write(request("gone", extra="Expect: 100-continue\r\n"))
            assert status(await read_message(reader)) == 404
            writer.close()
        assert all(b"Expect" not in head for head, _ in upstream.requests)

    run(test)


def test_a_head_and_a_body_in_single_bytes_are_read() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            for byte in upload(b"abc", 1):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert status(await read_message(reader)) == 200
            writer.close()

    run(test)


def test_long_bodies_that_find_no_room_wait_their_turn() -> None:
    room, begun = BodyMemory(2 * 256 * 1024), list[int]()
    entries = [lambda number=number: begun.append(number) for number in range(5)]
    for each in entries:
        room.enter(each)
    assert begun == [0, 1]
    room.leave(entries[2])  # its client has gone
    room.leave(entries[0])
    assert begun == [0, 1, 3]
    for number in (1, 3, 4):
        room.leave(entries[number])
    assert begun == [0, 1, 3, 4] and room.left == 2


def test_a_long_body_is_read_on_only_while_an_attempt_takes_it() -> None:
    class Taker:
        def __init__(self) -> None:
            self.got = b""

        def write_body_chunk(self, data: bytes) -> None:
            self.got += data

        def end_body(self) -> None:
            self.got += b"."

    flows, passed = list[bool](), list[bool]()
    body = Upload(b"held", None, flows.append, lambda: passed.append(True))
    first, second = Taker(), Taker()
    assert body.attach(first) == b"held"
    body.detach(first)
    assert flows == [True, False] and not passed
    assert body.attach(second) == b"held"
    body.detach(first)  # no longer its taker
    body.feed(b"more")
    body.finish()
    assert second.got == b"more." and passed == [True] and body.held == b"" and flows[-1]


def test_a_break_is_seen_even_where_the_end_of_the_connection_ends_the_answer() -> None:
    async def test() -> None:
        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(CHUNKED + pieces(LONG[:100_000], 1000))
            await writer.drain()

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            with pytest.raises(ConnectionResetError):
                await reader.read()
            writer.close()

    run(test)


def test_a_request_is_known_by_its_own_head_whatever_follows_it() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n" + request("pay", body=b"x"))
            answers = await reader.read()
            writer.close()
            assert [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]] == [b"200", b"400"]

    run(test)


def test_a_target_with_its_host_goes_on_as_its_path() -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            whole = request().replace(b"GET /read", b"GET HTTP://api.internal:80/read")
            assert status(await it.ask(whole)) == 200
        assert upstream.requests[0][0].startswith(b"GET /read/it?x=1 HTTP/1.1\r\n")

    run(test)


def test_a_body_of_which_the_class_vanishes_while_it_comes_runs_nowhere() -> None:
    async def test() -> None:
        client = a_client()
        whole = request("pay", body=LONG)
        client.data_received(whole[:1000])
        client.server.router = RequestRouter(Settings([RequestClass("read", 1_000_000, 2_000_000)]))
        client.data_received(whole[1000:70_000])
        assert client.ending and not client.open

    run(test)


def test_hundreds_of_slow_peers_take_a_bounded_part_of_the_memory(tmp_path: Path) -> None:
    """The limit on the operators' days is 80 MB; each of these answers and bodies alone is 4 MB."""
    size, many = 4 * 1024 * 1024, 100

    async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"POST"):
            await asyncio.sleep(PATIENCE_S)  # it takes nothing
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            writer.write(b"x" * 65536)
            await writer.drain()

    async def test() -> None:
        upstreams = [Raw(play) for _ in range(40)]
        for upstream in upstreams:
            await upstream.start()
        known = listing(*(entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
        path = configuration(tmp_path, known=known, limits={"cores": 1.0, "memory_mb": 80, "sockets": 1024})
        whole = json.loads(path.read_text())
        whole["settings"]["request-classes"] = [
            {"name": name, "aim": 9_000_000, "deadline": 19_000_000, "effect": effect, "worth": 1.0}
            for name, effect in (("read", "idempotent"), ("pay", "at_most_once"))
        ]
        path.write_text(json.dumps(whole))
        host, port = whole["listen"].split(":")
        writers = []
        with program(path) as process:
            await listening(int(port))
            for number in range(2 * many):
                reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
                writers.append(writer)
                kind = "pay" if number % 2 else "read"
                writer.write(request(kind, str(number), b"x" * size if number % 2 else b""))
            await asyncio.sleep(2.0)
            lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
            peak_kb = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))
            for writer in writers:
                writer.transport.abort()
            assert process.poll() is None and peak_kb < 80_000
        for upstream in upstreams:
            upstream.stop()

    run(test)


def test_a_long_body_that_finds_no_room_in_time_is_refused_and_told_when_to_come_back() -> None:
    class Wire(Sink):
        sent = b""

        def write(self, data: object) -> None:
            assert isinstance(data, bytes)
            self.sent += data

    async def test() -> None:
        client, wire = a_client(), Wire()
        client.transport = wire
        client.server.body_memory.left = 0
        client.server.router = RequestRouter(Settings(classes(), max_retry_after_us=2_000_000))
        client.data_received(request("pay", body=LONG)[:70_000])
        assert not client.open
        client.check(client.waits_us + 4_000_000)
        assert not wire.sent
        client.check(client.waits_us + 6_000_000)
        assert wire.sent.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 2.000\r\n" in wire.sent
        assert not client.server.body_memory.waiting

    run(test)


def test_a_long_answer_whose_client_has_gone_is_let_go() -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:100])
            assert await reader.read() == b""
            ended.set()

        upstream = Raw(play)
        await upstream.start()
        pool = ConnectionPool(60_000_000, 10_000_000)
        pool.sweeper.cancel()
        results, source = list[AttemptResult](), list[Source]()

        class Nowhere:
            def write_chunk(self, data: bytes) -> None:
                pass

        def began(head: Head, of: Source) -> Nowhere:
            source.append(of)
            return Nowhere()

        call = HttpRequest(b"GET", b"/read", [], b"", 0, 0, 1)
        flight = pool.start_attempt(("127.0.0.1", upstream.port), call, allowed, results.append, began)
        await until(lambda: bool(source))
        assert len(pool.passing) == 1
        flight.abandon()
        await ended.wait()
        assert not pool.passing and not results
        upstream.stop()

    run(test)


def test_an_upstream_that_takes_no_more_of_a_long_body_has_not_begun_with_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "STALL_US", 500_000)

    async def test() -> None:
        tries, over = [], asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            tries.append(await reader.readuntil(b"\r\n\r\n"))
            await over.wait()

        async with sidecar(Raw(play), Raw(play)) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", body=24 * LONG))
            async with asyncio.timeout(PATIENCE_S / 2):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 503 ") and b"Retry-After" in head
            writer.transport.abort()
            over.set()
        assert len(tries) == 1

    run(test)
