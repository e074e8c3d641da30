"""The watch on the endpoint list: what it sends, and how it ends, between two rounds of the event loop."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import pytest

from garnetusher.policy.events import EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.sidecar.addresses import Address, parse_address
from garnetusher.sidecar.discovery.endpoint_list import PIECE_SIZE, EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher, WatchConnection
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


class WatcherBench:
    """A watcher alone; the test plays discovery, and makes each connection when it wants it made."""

    def __init__(self) -> None:
        self.updates: list[tuple[int, list[tuple[str, EndpointStatus]]]] = []
        self.endpoint_list = EndpointList(["a"], ["m"])
        self.watcher = EndpointWatcher(("127.0.0.1", 1), self.endpoint_list, self.on_update)

    async def watch_permanently(self) -> Wire:
        self.watcher.watch_permanently()
        return self.connect()

    def connect(self) -> Wire:
        """The newest watch's connection is up."""
        watch, wire = self.watch(), Wire()
        if self.watcher.connect_task is not None:
            self.watcher.connect_task.cancel()  # nobody listens there
        watch.connection_made(wire)
        return wire

    def watch(self) -> WatchConnection:
        assert self.watcher.watch is not None
        return self.watcher.watch

    def on_update(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        names = {ident: uid for uid, ident in self.endpoint_list.endpoint_ids.items()}
        self.updates.append((event.version, [(str(names.get(e.id, "gone")), e.status) for e in event.endpoints]))

    def stop(self) -> None:
        self.watcher.watching = False
        self.watcher.stop()


def lines(*lists: object, indent: int | None = None) -> bytes:
    return b"".join(json.dumps(each, indent=indent).encode() + b"\n" for each in lists)


@pytest.mark.parametrize("indent", [None, 0, 1, 4])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_watch_reads_lists_when_they_come_indented_and_in_pieces_of_any_size(indent: int | None, size: int) -> None:
    async def test() -> None:
        bench = WatcherBench()
        await bench.watch_permanently()
        first = listing(entry("u{0}", 1), entry("u1", 2), rev=3)
        drained = listing(entry("u1", 2, "leaving"), rev=4, full=False)
        data = b"\n" + lines(first, indent=indent) + b"\n" + lines(drained, listing(rev=5, full=False), indent=indent)
        watch = bench.watch()
        watch.data_received(HEAD)
        for start in range(0, len(data), size):
            watch.data_received(piece(data[start : start + size]))
        ready, draining = EndpointStatus.READY, EndpointStatus.DRAINING
        assert bench.updates == [(3, [("u{0}", ready), ("u1", ready)]), (4, [("u1", draining)]), (5, [])]
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
def test_watch_changes_nothing_when_data_is_no_list_and_takes_the_next_one(data: bytes) -> None:
    async def test() -> None:
        bench = WatcherBench()
        wire = await bench.watch_permanently()
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3))))
        bench.watch().data_received(piece(data))
        assert wire.aborted
        assert len(bench.updates) == 1
        assert bench.watcher.watch is None
        bench.watcher.watch_endpoints(True)  # as its timer does
        again = bench.connect()
        assert b"since=3 " in again.sent
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1, "leaving"), rev=4, full=False))))
        assert bench.updates[1:] == [(4, [("u0", EndpointStatus.DRAINING)])]
        bench.stop()

    run(test)


def test_watch_decodes_few_times_when_a_list_has_thousands_of_lines() -> None:
    async def test() -> None:
        bench = WatcherBench()
        await bench.watch_permanently()
        data = lines(listing(*(entry(f"u{n}", 1) for n in range(PIECE_SIZE)), rev=3), indent=2)
        reads, loads = 0, json.loads

        def counted(text: bytes) -> Any:
            nonlocal reads
            reads += 1
            return loads(text)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(json, "loads", counted)
            bench.watch().data_received(HEAD + piece(data))
        assert data.count(b"\n") > 4_000
        assert len(bench.updates) == 1
        assert reads <= 3
        bench.stop()

    run(test)


def test_watch_is_ignored_when_it_was_replaced() -> None:
    async def test() -> None:
        bench = WatcherBench()
        old_wire = await bench.watch_permanently()
        old = bench.watch()
        old.data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3))))
        for moved in (True, False):
            if moved:
                bench.watcher.move(("127.0.0.1", 2))
            else:
                bench.watcher.watch_endpoints(True)
            assert old_wire.aborted
            assert bench.watch() is not old
            heard = bench.watcher.last_activity_s = -1.0
            old.data_received(piece(lines(listing(entry("u0", 1, "leaving"), rev=9, full=False))))
            old.connection_lost(None)
            assert bench.watcher.last_activity_s == heard
            assert len(bench.updates) == 1
            assert bench.watcher.version == 3
            old, old_wire = bench.watch(), bench.connect()
            assert b"since=3 " in old_wire.sent
            old.data_received(HEAD + piece(b"\n"))
        bench.stop()

    run(test)


def test_watch_ignores_the_lines_left_of_a_read_when_it_is_replaced() -> None:
    async def test() -> None:
        bench = WatcherBench()
        await bench.watch_permanently()
        old, on_update = bench.watch(), bench.on_update

        def replacing(event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
            on_update(event, addresses)
            bench.watcher.move(("127.0.0.1", 2))  # in the midst of the read

        bench.watcher.listener = replacing
        old.data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3), listing(rev=99, full=False))))
        assert len(bench.updates) == 1
        assert bench.watcher.version == 3
        assert bench.watch() is not old
        bench.stop()

    run(test)


def test_endpoint_watcher_changes_nothing_when_a_long_list_is_malformed() -> None:
    async def test() -> None:
        bench = WatcherBench()
        await bench.watch_permanently()
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=3))))
        bad = entry("bad", 1) | {"endpoint": "nowhere"}
        whole = listing(*(entry(f"n{n}", 1) for n in range(2 * PIECE_SIZE)), bad, rev=4)
        bench.watch().data_received(piece(lines(whole)))
        await until(lambda: bench.watcher.watch is None)
        assert len(bench.updates) == 1
        assert bench.watcher.version == 3
        assert not bench.watcher.pending_steps
        bench.stop()

    run(test)


def test_endpoint_watcher_applies_a_drain_at_once_when_it_comes_first_after_an_outage() -> None:
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
def test_parse_address_fails_when_no_socket_takes_the_address(text: str) -> None:
    with pytest.raises(ValueError, match="expected host:port"):
        parse_address(text)


@pytest.mark.parametrize("host", ["a..b", "a\0b", "x" * 64])
def test_attempt_and_watch_fail_at_once_when_the_host_has_no_address(host: str) -> None:
    async def test() -> None:
        nowhere = entry("u0", 1) | {"endpoint": f"{host}:1"}
        async with sidecar(known=listing(nowhere), connect_timeout_us=60_000_000) as it:
            async with asyncio.timeout(10):  # its own time is up after 15 s
                assert status(await it.ask(request("pay", body=b"b"))) == 503
        update_kinds: list[UpdateKind] = []
        discovery = EndpointWatcher(
            (host, 1), EndpointList(["a"], ["m"]), lambda event, addresses: update_kinds.append(event.update_kind)
        )
        discovery.watch_endpoints(True)
        await until(lambda: update_kinds == [UpdateKind.FAILED])

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
def test_endpoint_watcher_reconnects_twice_in_time_when_a_watch_falls_silent(said: bytes) -> None:
    async def test() -> None:
        bench, loop = WatcherBench(), DrivenLoop()
        bench.watcher.loop = cast(asyncio.AbstractEventLoop, loop)
        bench.watcher.watch_permanently()
        watch = bench.watch()
        if said:
            watch.connection_made(Wire())
            watch.data_received(said)
        before = loop.dials
        loop.advance(6.9)  # a change counts as known 6 s after it, with 1 s of grace
        assert loop.dials == before + 2
        assert bench.watcher.watch is not watch
        bench.watcher.watching = False

    run(test)


def test_watch_sends_nothing_when_it_is_replaced_while_connecting() -> None:
    async def test() -> None:
        bench = WatcherBench()
        bench.watcher.watch_permanently()
        old, wire = bench.watch(), Wire()
        bench.watcher.move(("127.0.0.1", 2))
        old.connection_made(wire)
        assert wire.aborted
        assert wire.sent == b""
        assert bench.watch() is not old
        assert b"Host: 127.0.0.1:2" in bench.connect().sent
        bench.stop()

    run(test)


def test_endpoint_watcher_applies_a_long_list_when_its_watch_ends_before() -> None:
    async def test() -> None:
        bench = WatcherBench()
        await bench.watch_permanently()
        whole = listing(*(entry(f"n{n}", 1) for n in range(3 * PIECE_SIZE)), rev=4)
        bench.watch().data_received(HEAD + piece(lines(whole)))
        bench.watch().connection_lost(None)
        bench.watcher.watch_endpoints(True)
        assert b"since=0 " in bench.connect().sent  # from version 4 on, the rest of the list would be lost
        drained = listing(entry("n7", 1, "leaving"), rev=5, full=False)
        bench.watch().data_received(HEAD + piece(lines(drained)))
        await until(lambda: not bench.watcher.pending_steps)
        assert bench.watcher.version == 5
        assert bench.updates[-1] == (5, [("n7", EndpointStatus.DRAINING)])
        assert sum(len(entries) for _, entries in bench.updates) == 3 * PIECE_SIZE + 1
        bench.stop()

    run(test)


def test_endpoint_watcher_keeps_the_received_version_when_it_goes_back() -> None:
    async def test() -> None:
        bench = WatcherBench()
        await bench.watch_permanently()
        bench.watch().data_received(HEAD + piece(lines(listing(entry("u0", 1), rev=9))))
        bench.watch().data_received(piece(lines(listing(entry("u1", 1), rev=3))))  # a service that lost what it had
        assert bench.updates[-1] == (3, [("u1", EndpointStatus.READY)])
        bench.watcher.watch_endpoints(True)
        assert b"since=3 " in bench.connect().sent
        bench.stop()

    run(test)


def test_endpoint_watcher_reconnects_once_then_reports_failure_when_a_requested_watch_is_silent() -> None:
    """The watcher's own timeout applies, however late the policy of a large fleet would ask again."""

    async def test() -> None:
        update_kinds: list[UpdateKind] = []
        bench, loop = WatcherBench(), DrivenLoop()
        bench.watcher.listener = lambda event, addresses: update_kinds.append(event.update_kind)
        bench.watcher.loop = cast(asyncio.AbstractEventLoop, loop)
        bench.watcher.watch_endpoints(True)
        bench.watch().connection_made(Wire())
        bench.watch().data_received(HEAD + piece(b"\n"))
        loop.advance(4.0)
        assert (loop.dials, update_kinds) == (2, [])
        bench.watch().connection_made(Wire())
        bench.watch().data_received(HEAD + piece(b"\n"))
        loop.advance(8.0)  # and silent again
        assert (loop.dials, update_kinds) == (3, [])
        loop.advance(12.0)  # nobody answers
        assert (loop.dials, update_kinds) == (3, [UpdateKind.FAILED])

    run(test)
