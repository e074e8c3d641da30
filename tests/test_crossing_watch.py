"""Crossings of the watch: what it says, and what becomes of it, between two rounds of the loop."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import pytest

from garnetusher.policy.events import EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.sidecar.configuration import parse_address
from garnetusher.sidecar.discovery.watch import PIECE, Address, EndpointList, Watch
from garnetusher.sidecar.discovery.watch import EndpointWatcher as Discovering
from tests.driven_loop import DrivenLoop
from tests.net import OK, Discovery, Upstream, answering, entry, listing, request, sidecar, until
from tests.runner import run, status

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def piece(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Wire(asyncio.Transport):
    """A connection to discovery that takes all and goes nowhere."""

    def __init__(self) -> None:
        super().__init__()
        self.sent, self.aborted = b"", False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def write(self, data: Any) -> None:
        self.sent += data

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


class Bench:
    """The watching side alone; the test is discovery, and makes each connection when it wants it made."""

    def __init__(self) -> None:
        self.told: list[tuple[int, list[tuple[str, EndpointStatus]]]] = []
        self.directory = EndpointList(["a"], ["m"])
        self.discovery = Discovering(("127.0.0.1", 1), self.directory, self.take)

    async def keep(self) -> Wire:
        self.discovery.watch_permanently()
        return self.connect()

    def connect(self) -> Wire:
        """The newest watch's connection is up."""
        watch, wire = self.watch(), Wire()
        if self.discovery.dial is not None:
            self.discovery.dial.cancel()  # nobody listens there
        watch.connection_made(wire)
        return wire

    def watch(self) -> Watch:
        assert self.discovery.watch is not None
        return self.discovery.watch

    def take(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        names = {ident: uid for uid, ident in self.directory.idents.items()}
        self.told.append((event.version, [(names.get(e.id, "gone"), e.status) for e in event.endpoints]))

    def stop(self) -> None:
        self.discovery.watching = False
        self.discovery.stop()


def lines(*lists: object, indent: int | None = None) -> bytes:
    return b"".join(json.dumps(each, indent=indent).encode() + b"\n" for each in lists)


@pytest.mark.parametrize("indent", [None, 0, 1, 4])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_lists_may_come_indented_and_in_pieces_of_any_size(indent: int | None, size: int) -> None:
    async def test() -> None:
        bench = Bench()
        await bench.keep()
        first = listing(entry("u{0}", 1), entry("u1", 2), rev=3)
        drained = listing(entry("u1", 2, "leaving"), rev=4, full=False)
        data = b"\n" + lines(first, indent=indent) + b"\n" + lines(drained, listing(rev=5, full=False), indent=indent)
        watch = bench.watch()
        watch.data_received(HEAD)
        for start in range(0, len(data), size):
            watch.data_received(piece(data[start : start + size]))
        ready, draining = EndpointStatus.READY, EndpointStatus.DRAINING
        assert bench.told == [(3, [("u{0}", ready), ("u1", ready)]), (4, [("u1", draining)]), (5, [])]
        assert bench.watch() is watch
        bench.stop()

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        b"garbage\n",
        b"[1]\n",
        b'{"rev": 4, "targets": [\n\n',
        b'{"rev": 4,, }\n',
        b"7\n",
        b'{\n"rev": 4\n}\n',
        b'{"rev": 4, "all": true, "targets": [{"uid": "x\n\n',
    ],
)
def test_what_is_no_list_changes_nothing_and_the_next_good_one_is_taken(data: bytes) -> None:
    async def test() -> None:
        bench = Bench()
        wire = await bench.keep()
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3))))
        bench.watch().data_received(piece(data))
        assert wire.aborted and len(bench.told) == 1 and bench.discovery.watch is None
        bench.discovery.watch_endpoints(True)  # as its timer does
        again = bench.connect()
        assert b"since=3 " in again.sent
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1, "leaving"), rev=4, full=False))))
        assert bench.told[1:] == [(4, [("u0", EndpointStatus.DRAINING)])]
        bench.stop()

    run(test)


def test_an_indented_list_of_thousands_of_lines_is_read_in_moments() -> None:
    async def test() -> None:
        bench = Bench()
        await bench.keep()
        data = lines(listing(*(entry(f"u{n}", 1) for n in range(PIECE)), rev=3), indent=2)
        reads, loads = 0, json.loads

        def counted(text: bytes) -> Any:
            nonlocal reads
            reads += 1
            return loads(text)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(json, "loads", counted)
            bench.watch().data_received(HEAD + piece(data))
        assert data.count(b"\n") > 4_000 and len(bench.told) == 1 and reads <= 3
        bench.stop()

    run(test)


def test_a_watch_that_was_replaced_says_nothing_any_more() -> None:
    async def test() -> None:
        bench = Bench()
        old_wire = await bench.keep()
        old = bench.watch()
        old.data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3))))
        for moved in (True, False):
            if moved:
                bench.discovery.move(("127.0.0.1", 2))
            else:
                bench.discovery.watch_endpoints(True)
            assert old_wire.aborted and bench.watch() is not old
            heard = bench.discovery.heard_at = -1.0
            old.data_received(piece(lines(listing(entry("u0", 1, "leaving"), rev=9, full=False))))
            old.connection_lost(None)
            assert bench.discovery.heard_at == heard and len(bench.told) == 1 and bench.discovery.version == 3
            old, old_wire = bench.watch(), bench.connect()
            assert b"since=3 " in old_wire.sent
            old.data_received(HEAD + piece(b"\n"))
        bench.stop()

    run(test)


def test_of_a_read_that_holds_several_lines_none_counts_once_the_watch_is_replaced() -> None:
    async def test() -> None:
        bench = Bench()
        await bench.keep()
        old, take = bench.watch(), bench.take

        def replacing(event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
            take(event, addresses)
            bench.discovery.move(("127.0.0.1", 2))  # in the midst of the read

        bench.discovery.listener = replacing
        old.data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3), listing(rev=99, full=False))))
        assert len(bench.told) == 1 and bench.discovery.version == 3 and bench.watch() is not old
        bench.stop()

    run(test)


def test_a_long_list_that_can_not_be_read_changes_nothing() -> None:
    async def test() -> None:
        bench = Bench()
        await bench.keep()
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3))))
        bad = entry("bad", 1) | {"endpoint": "nowhere"}
        whole = listing(*(entry(f"n{n}", 1) for n in range(2 * PIECE)), bad, rev=4)
        bench.watch().data_received(piece(lines(whole)))
        await until(lambda: bench.discovery.watch is None)
        assert len(bench.told) == 1 and bench.discovery.version == 3 and not bench.discovery.pieces
        bench.stop()

    run(test)


def test_a_drain_in_the_first_bytes_after_an_outage_is_taken_at_once() -> None:
    async def test() -> None:
        upstreams, discovery = [Upstream(answering(OK)), Upstream(answering(OK))], Discovery()
        async with sidecar(*upstreams, discovery=discovery) as it:
            await discovery.watched()
            discovery.writers[-1].transport.abort()
            await discovery.watched()
            discovery.line(listing(entry("u0", upstreams[0].port, "leaving"), rev=2, full=False))
            discovery.line(listing(rev=3, full=False))
            await asyncio.sleep(0.1)
            for number in range(6):
                assert status(await it.ask(request(ident=str(number)))) == 200
            assert len(upstreams[1].requests) == 6

    run(test)


@pytest.mark.parametrize("text", ["h:65536", "h:99999999999", "h", ":1", "h:-1", "h:x"])
def test_an_address_that_no_socket_takes_is_no_address(text: str) -> None:
    with pytest.raises(ValueError, match="expected host:port"):
        parse_address(text)


@pytest.mark.parametrize("host", ["a..b", "a\0b", "x" * 64])
def test_a_host_that_has_no_address_ends_an_attempt_and_a_call_at_once(host: str) -> None:
    async def test() -> None:
        nowhere = entry("u0", 1) | {"endpoint": f"{host}:1"}
        async with sidecar(known=listing(nowhere), connect_timeout_us=60_000_000) as it:
            async with asyncio.timeout(10):  # its own time is up after 15 s
                assert status(await it.ask(request("pay", body=b"b"))) == 503
        told: list[UpdateKind] = []
        discovery = Discovering(
            (host, 1), EndpointList(["a"], ["m"]), lambda event, addresses: told.append(event.update_kind)
        )
        discovery.watch_endpoints(True)
        await until(lambda: told == [UpdateKind.FAILED])

    run(test)


@pytest.mark.parametrize(
    "said",
    [
        b"",
        HEAD[:20],
        HEAD,
        HEAD + b'8\r\n{"rev": ',
        HEAD + piece(b"\n"),
        HEAD + piece(lines(listing(entry("u0", 1), rev=3))),
    ],
)
def test_wherever_a_watch_falls_silent_it_is_called_for_twice_in_time(said: bytes) -> None:
    async def test() -> None:
        bench, loop = Bench(), DrivenLoop()
        bench.discovery.loop = cast(asyncio.AbstractEventLoop, loop)
        bench.discovery.watch_permanently()
        watch = bench.watch()
        if said:
            watch.connection_made(Wire())
            watch.data_received(said)
        before = loop.dials
        loop.advance(6.9)  # told 6 s after it fell silent, whether it arrived or not, and 1 s of grace
        assert loop.dials == before + 2 and bench.discovery.watch is not watch
        bench.discovery.watching = False

    run(test)


def test_a_watch_that_is_replaced_while_its_connection_comes_up_asks_for_nothing() -> None:
    async def test() -> None:
        bench = Bench()
        bench.discovery.watch_permanently()
        old, wire = bench.watch(), Wire()
        bench.discovery.move(("127.0.0.1", 2))
        old.connection_made(wire)
        assert wire.aborted and wire.sent == b"" and bench.watch() is not old
        assert b"Host: 127.0.0.1:2" in bench.connect().sent
        bench.stop()

    run(test)


def test_a_long_list_is_taken_whole_though_its_watch_ends_and_the_next_begins_before_it() -> None:
    async def test() -> None:
        bench = Bench()
        await bench.keep()
        whole = listing(*(entry(f"n{n}", 1) for n in range(3 * PIECE)), rev=4)
        bench.watch().data_received(HEAD + piece(lines(whole)))
        bench.watch().connection_lost(None)
        bench.discovery.watch_endpoints(True)
        assert b"since=0 " in bench.connect().sent  # hazard: from its version on what is not taken would be lost
        drained = listing(entry("n7", 1, "leaving"), rev=5, full=False)
        bench.watch().data_received(HEAD + piece(lines(drained)))
        await until(lambda: not bench.discovery.pieces)
        assert bench.discovery.version == 5 and bench.told[-1] == (5, [("n7", EndpointStatus.DRAINING)])
        assert sum(len(entries) for _, entries in bench.told) == 3 * PIECE + 1
        bench.stop()

    run(test)


def test_a_version_that_goes_back_is_the_version_from_then_on() -> None:
    async def test() -> None:
        bench = Bench()
        await bench.keep()
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=9))))
        bench.watch().data_received(piece(lines(listing(entry("u1", 1), rev=3))))  # a service that lost what it had
        assert bench.told[-1] == (3, [("u1", EndpointStatus.READY)])
        bench.discovery.watch_endpoints(True)
        assert b"since=3 " in bench.connect().sent
        bench.stop()

    run(test)


def test_a_silent_watch_that_was_asked_for_is_opened_anew_in_time_and_the_module_told_if_that_fails() -> None:
    """However late the module of a large fleet would call: silence has one clock."""

    async def test() -> None:
        told: list[UpdateKind] = []
        bench, loop = Bench(), DrivenLoop()
        bench.discovery.listener = lambda event, addresses: told.append(event.update_kind)
        bench.discovery.loop = cast(asyncio.AbstractEventLoop, loop)
        bench.discovery.watch_endpoints(True)
        bench.watch().connection_made(Wire())
        bench.watch().data_received(HEAD + piece(b"\n"))
        loop.advance(4.0)
        assert (loop.dials, told) == (2, [])
        bench.watch().connection_made(Wire())
        bench.watch().data_received(HEAD + piece(b"\n"))
        loop.advance(8.0)  # and silent again
        assert (loop.dials, told) == (3, [])
        loop.advance(12.0)  # nobody answers
        assert (loop.dials, told) == (3, [UpdateKind.FAILED])

    run(test)
