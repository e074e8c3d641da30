"""Tests the watch of the endpoint list when events that may come in any order come in a particular order."""

from __future__ import annotations

import asyncio
import errno
import json
from typing import Any, cast

import pytest

from garnetusher.policy.actions import WatchEndpoints
from garnetusher.policy.events import EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.sidecar.addresses import Address, parse_address
from garnetusher.sidecar.discovery.endpoint_list import BATCH_SIZE, EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from tests.fake_loop import FakeEventLoop
from tests.net import OK, Discovery, Upstream, entry, listing, request, respond_with, sidecar, until
from tests.policy_host import PolicyHost, settings, upstreams
from tests.runner import run, status
from tests.watch_harness import RESPONSE_HEAD, FakeTransport, WatcherHarness, chunk, lines


@pytest.mark.parametrize("indent", [None, 0, 1, 4])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_watch_parses_lists_when_they_are_indented_and_arrive_in_parts_of_any_size(
    indent: int | None, size: int
) -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        first = listing(entry("u{0}", 1), entry("u1", 2), rev=3)
        drained = listing(entry("u1", 2, "leaving"), rev=4, full=False)
        data = b"\n" + lines(first, indent=indent) + b"\n" + lines(drained, listing(rev=5, full=False), indent=indent)
        watch = harness.watch()
        watch.data_received(RESPONSE_HEAD)
        for start in range(0, len(data), size):
            watch.data_received(chunk(data[start : start + size]))
        ready, draining = EndpointStatus.READY, EndpointStatus.DRAINING
        assert harness.updates == [(3, [("u{0}", ready), ("u1", ready)]), (4, [("u1", draining)]), (5, [])]
        assert harness.watch() is watch
        harness.stop()

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
def test_watch_changes_nothing_when_data_is_malformed_and_next_watch_applies_list(data: bytes) -> None:
    async def test() -> None:
        harness = WatcherHarness()
        transport = await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1), rev=3))))
        harness.watch().data_received(chunk(data))
        assert transport.aborted
        assert len(harness.updates) == 1
        assert harness.watcher.watch is None
        harness.watcher.watch_endpoints(True)  # the watcher's reconnect timer does the same
        reconnected = harness.connect()
        assert b"since=3 " in reconnected.sent
        harness.watch().data_received(
            RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1, "leaving"), rev=4, full=False)))
        )
        assert harness.updates[1:] == [(4, [("u0", EndpointStatus.DRAINING)])]
        harness.stop()

    run(test)


def test_watch_decodes_json_few_times_when_a_list_has_thousands_of_lines() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        data = lines(listing(*(entry(f"u{n}", 1) for n in range(BATCH_SIZE)), rev=3), indent=2)
        decode_count, loads = 0, json.loads

        def counting_loads(text: bytes) -> Any:
            nonlocal decode_count
            decode_count += 1
            return loads(text)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(json, "loads", counting_loads)
            harness.watch().data_received(RESPONSE_HEAD + chunk(data))
        assert data.count(b"\n") > 4_000
        assert len(harness.updates) == 1
        assert decode_count <= 3
        harness.stop()

    run(test)


def test_watch_data_is_ignored_when_the_watch_was_replaced() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        old_transport = await harness.watch_permanently()
        old = harness.watch()
        old.data_received(RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1), rev=3))))
        for address_changes in (True, False):
            if address_changes:
                harness.watcher.change_address(("127.0.0.1", 2))
            else:
                harness.watcher.watch_endpoints(True)
            assert old_transport.aborted
            assert harness.watch() is not old
            activity_s = harness.watcher.last_activity_s = -1.0
            old.data_received(chunk(lines(listing(entry("u0", 1, "leaving"), rev=9, full=False))))
            old.connection_lost(None)
            assert harness.watcher.last_activity_s == activity_s
            assert len(harness.updates) == 1
            assert harness.watcher.version == 3
            old, old_transport = harness.watch(), harness.connect()
            assert b"since=3 " in old_transport.sent
            old.data_received(RESPONSE_HEAD + chunk(b"\n"))
        harness.stop()

    run(test)


def test_watch_ignores_the_remaining_lines_of_a_read_when_it_is_replaced() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        old, on_update = harness.watch(), harness.on_update

        def replace_watch(event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
            on_update(event, addresses)
            harness.watcher.change_address(("127.0.0.1", 2))  # while the watch still processes the same read

        harness.watcher.listener = replace_watch
        old.data_received(RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1), rev=3), listing(rev=99, full=False))))
        assert len(harness.updates) == 1
        assert harness.watcher.version == 3
        assert harness.watch() is not old
        harness.stop()

    run(test)


def test_endpoint_watcher_changes_nothing_when_a_long_list_is_malformed() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1), rev=3))))
        malformed = entry("bad", 1) | {"endpoint": "nowhere"}
        snapshot = listing(*(entry(f"n{n}", 1) for n in range(2 * BATCH_SIZE)), malformed, rev=4)
        harness.watch().data_received(chunk(lines(snapshot)))
        await until(lambda: harness.watcher.watch is None)
        assert len(harness.updates) == 1
        assert harness.watcher.version == 3
        assert not harness.watcher.pending_steps
        harness.stop()

    run(test)


def test_endpoint_watcher_applies_a_drain_at_once_when_it_is_the_first_change_after_a_reconnect() -> None:
    async def test() -> None:
        upstreams, discovery = [Upstream(respond_with(OK)), Upstream(respond_with(OK))], Discovery()
        async with sidecar(*upstreams, discovery=discovery) as running:
            await discovery.wait_for_watch()
            discovery.writers[-1].transport.abort()
            await discovery.wait_for_watch()
            discovery.send_update(listing(entry("u0", upstreams[0].port, "leaving"), rev=2, full=False))
            discovery.send_update(listing(rev=3, full=False))
            await asyncio.sleep(0.1)
            for number in range(6):
                assert status(await running.send_request(request(request_id=str(number)))) == 200
            assert len(upstreams[1].requests) == 6

    run(test)


@pytest.mark.parametrize("text", ["h:65536", "h:99999999999", "h", ":1", "h:-1", "h:x"])
def test_parse_address_fails_when_the_address_is_invalid(text: str) -> None:
    with pytest.raises(ValueError, match="expected host:port"):
        parse_address(text)


@pytest.mark.parametrize("host", ["a..b", "a\0b", "x" * 64])
def test_attempt_and_watch_fail_at_once_when_the_host_cannot_be_resolved(host: str) -> None:
    async def test() -> None:
        unresolvable = entry("u0", 1) | {"endpoint": f"{host}:1"}
        async with sidecar(known=listing(unresolvable), connect_timeout_us=60_000_000) as running:
            async with asyncio.timeout(10):  # the request's own deadline is 15 s
                assert status(await running.send_request(request("pay", body=b"b"))) == 503
        update_kinds: list[UpdateKind] = []
        watcher = EndpointWatcher(
            (host, 1), EndpointList(["a"], ["m"]), lambda event, addresses: update_kinds.append(event.update_kind)
        )
        watcher.watch_endpoints(True)
        await until(lambda: update_kinds == [UpdateKind.FAILED])
        reasons = [event.reason for event in watcher._trace.state_events]
        assert reasons == ["connecting", "connect failed", "waiting for the policy"]

    run(test)


@pytest.mark.parametrize(
    "response",
    [
        b"",
        RESPONSE_HEAD[:20],
        RESPONSE_HEAD,
        RESPONSE_HEAD + b'8\r\n{"rev": ',
        RESPONSE_HEAD + chunk(b"\n"),
        RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1), rev=3))),
    ],
)
def test_endpoint_watcher_reconnects_twice_within_7_s_when_a_watch_becomes_silent(response: bytes) -> None:
    async def test() -> None:
        harness, loop = WatcherHarness(), FakeEventLoop()
        harness.watcher.loop = cast(asyncio.AbstractEventLoop, loop)
        harness.watcher.watch_permanently()
        watch = harness.watch()
        if response:
            watch.connection_made(FakeTransport())
            watch.data_received(response)
        initial_count = loop.connect_count
        loop.advance(6.9)  # the 7 s are explained at SILENCE_TIMEOUT_S
        assert loop.connect_count == initial_count + 2
        assert harness.watcher.watch is not watch
        harness.watcher.watches_permanently = False

    run(test)


def test_watch_sends_nothing_when_it_is_replaced_while_connecting() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        harness.watcher.watch_permanently()
        old, transport = harness.watch(), FakeTransport()
        harness.watcher.change_address(("127.0.0.1", 2))
        old.connection_made(transport)
        assert transport.aborted
        assert transport.sent == b""
        assert harness.watch() is not old
        assert b"Host: 127.0.0.1:2" in harness.connect().sent
        harness.stop()

    run(test)


def test_endpoint_watcher_applies_a_long_list_when_its_watch_ends_early() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        snapshot = listing(*(entry(f"n{n}", 1) for n in range(3 * BATCH_SIZE)), rev=4)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(snapshot)))
        harness.watch().connection_lost(None)
        harness.watcher.watch_endpoints(True)
        assert b"since=0 " in harness.connect().sent  # with since=4, the rest of the list would be lost
        drained = listing(entry("n7", 1, "leaving"), rev=5, full=False)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(drained)))
        await until(lambda: not harness.watcher.pending_steps)
        assert harness.watcher.version == 5
        assert harness.updates[-1] == (5, [("n7", EndpointStatus.DRAINING)])
        assert sum(len(entries) for _, entries in harness.updates) == 3 * BATCH_SIZE + 1
        harness.stop()

    run(test)


def test_endpoint_watcher_uses_the_received_version_when_it_decreases() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(listing(entry("u0", 1), rev=9))))
        harness.watch().data_received(chunk(lines(listing(entry("u1", 1), rev=3))))  # discovery has lost its state
        assert harness.updates[-1] == (3, [("u1", EndpointStatus.READY)])
        harness.watcher.watch_endpoints(True)
        assert b"since=3 " in harness.connect().sent
        harness.stop()

    run(test)


def test_endpoint_watcher_reopens_a_silent_requested_watch_and_reports_failure_when_unanswered() -> None:
    """The watcher itself reopens a watch that became silent, as the policy may request one too late."""

    async def test() -> None:
        update_kinds: list[UpdateKind] = []
        harness, loop = WatcherHarness(), FakeEventLoop()
        harness.watcher.listener = lambda event, addresses: update_kinds.append(event.update_kind)
        harness.watcher.loop = cast(asyncio.AbstractEventLoop, loop)
        harness.watcher.watch_endpoints(True)
        harness.watch().connection_made(FakeTransport())
        harness.watch().data_received(RESPONSE_HEAD + chunk(b"\n"))
        loop.advance(4.0)
        assert (loop.connect_count, update_kinds) == (2, [UpdateKind.DELTA])
        harness.watch().connection_made(FakeTransport())
        harness.watch().data_received(RESPONSE_HEAD + chunk(b"\n"))
        loop.advance(8.0)  # the second watch becomes silent too
        assert (loop.connect_count, update_kinds) == (3, 2 * [UpdateKind.DELTA])
        loop.advance(12.0)  # the third call gets no response
        assert (loop.connect_count, update_kinds) == (3, [*2 * [UpdateKind.DELTA], UpdateKind.FAILED])
        reasons = [event.reason for event in harness.watcher._trace.state_events]
        assert reasons[-7:-2] == ["streaming", "current", "silent", "waiting to reconnect", "connecting"]
        assert reasons[-2:] == ["no response", "waiting for the policy"]

    run(test)


def test_requested_watch_stays_open_when_its_first_answer_is_that_nothing_has_changed() -> None:
    """Discovery handles a few calls per second for the whole fleet, so a healthy watch must not be called for again."""

    async def test() -> None:
        harness, policy = WatcherHarness(), PolicyHost(settings(poll_endpoints=True, poll_interval_us=10_000_000))
        harness.deliver_to(policy)
        policy.update_endpoints(upstreams(4), UpdateKind.CACHED)
        policy.deliver(EndpointsUpdated(UpdateKind.FAILED))  # the previous watch broke
        policy.advance(4_000_000)
        assert WatchEndpoints(active=True) in policy.actions
        harness.watcher.watch_endpoints(True)
        harness.connect()
        harness.watch().data_received(RESPONSE_HEAD + chunk(b"\n"))
        policy.actions.clear()
        policy.advance(60_000_000)
        assert policy.actions.count(WatchEndpoints(active=True)) == 0
        harness.stop()

    run(test)


@pytest.mark.parametrize("malformed", [False, True])
def test_policy_requests_another_watch_when_one_ends_while_its_long_list_is_applied(malformed: bool) -> None:
    """The rest of the list is applied after the failure is reported, and must not look like a list from a new watch."""

    async def test() -> None:
        harness, policy = WatcherHarness(), PolicyHost(settings(poll_endpoints=True, poll_interval_us=10_000_000))
        harness.deliver_to(policy)
        policy.update_endpoints(upstreams(4), UpdateKind.CACHED)
        policy.advance(4_000_000)
        assert WatchEndpoints(active=True) in policy.actions
        harness.watcher.watch_endpoints(True)
        harness.connect()
        snapshot = listing(*(entry(f"n{n}", 1) for n in range(3 * BATCH_SIZE)), rev=4)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(snapshot)))
        if malformed:
            harness.watch().data_received(chunk(lines(listing(entry("n0", 1) | {"endpoint": "nowhere"}, full=False))))
        harness.watch().connection_lost(None)
        await until(lambda: not harness.watcher.pending_steps)
        policy.actions.clear()
        policy.advance(10_000_000)
        assert WatchEndpoints(active=True) in policy.actions
        harness.stop()

    run(test)


def test_endpoint_watcher_applies_later_lists_when_an_update_could_not_be_handled() -> None:
    """An update closes and pauses connections, which may fail for lack of memory in the middle of a long list."""

    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        failures = [OSError(errno.ENOMEM, "no memory")]

        def on_update(event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
            if failures:
                raise failures.pop()
            harness.on_update(event, addresses)

        harness.watcher.listener = on_update
        snapshot = listing(*(entry(f"n{n}", 1) for n in range(2 * BATCH_SIZE)), rev=4)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(snapshot)))
        await until(lambda: not failures)
        await until(lambda: harness.watcher.watch is None)
        assert harness.watcher.version == 0
        harness.watcher.watch_endpoints(True)
        harness.connect()
        drained = listing(entry("n7", 1, "leaving"), rev=5, full=False)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(drained)))
        await until(lambda: harness.watcher.version == 5)
        assert harness.updates[-1] == (5, [("n7", EndpointStatus.DRAINING)])
        harness.stop()

    run(test)
