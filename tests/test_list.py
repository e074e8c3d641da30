"""Tests the endpoint list: polling and its failures, deltas, snapshots and restarted endpoints."""

from __future__ import annotations

import asyncio

import pytest

from garnetusher.policy.actions import SetTimer, WatchEndpoints
from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, Outcome, UpdateKind
from garnetusher.sidecar.discovery.endpoint_list import BATCH_SIZE, EndpointList
from garnetusher.sidecar.discovery.messages import parse_list
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from tests.policy_host import START_US, PolicyHost, settings, upstreams


def polling_host() -> PolicyHost:
    host = PolicyHost(settings(poll_endpoints=True, poll_interval_us=10_000_000))
    host.update_endpoints(upstreams(4), UpdateKind.CACHED)
    return host


def polls(host: PolicyHost) -> list[int]:
    """Return the positions in `host.actions` of the polls, which are requests to watch the endpoint list."""
    return [i for i, action in enumerate(host.actions) if isinstance(action, WatchEndpoints)]


def test_policy_polls_the_list_when_updates_are_not_pushed() -> None:
    host = polling_host()
    host.advance(2_000_000)
    assert len(polls(host)) >= 1


def test_policy_never_polls_the_list_when_updates_are_pushed() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(4), UpdateKind.CACHED)
    host.advance(60_000_000)
    assert not polls(host)


def wait_for_next_poll(host: PolicyHost) -> int:
    """Advance the time to the next poll and return the duration in microseconds."""
    earlier_count, start_us = len(polls(host)), host.now_us
    while len(polls(host)) == earlier_count:
        host.advance(10_000)
    return host.now_us - start_us


def test_delays_between_polls_grow_up_to_a_limit_when_polls_fail() -> None:
    host = polling_host()
    host.advance(2_000_000)
    delays_us = []
    for _ in range(12):
        host.deliver(EndpointsUpdated(UpdateKind.FAILED))
        delays_us.append(wait_for_next_poll(host))
    assert delays_us[0] <= 750_000
    assert max(delays_us) > 2_000_000
    assert max(delays_us) <= 20_000_000  # two poll intervals; the policy may wait for up to four after a failed poll


def fleet_poll_delays(failed: bool) -> list[int]:
    """Return the delays after which 40 sidecars poll, once all have started or, if `failed`, lost their watches."""
    delays_us = []
    for number in range(40):
        host = PolicyHost(settings(poll_endpoints=True, poll_interval_us=10_000_000, fleet_size=40), number)
        host.update_endpoints(upstreams(4), UpdateKind.CACHED)
        if failed:
            wait_for_next_poll(host)
            host.update_endpoints([], UpdateKind.DELTA)
            host.deliver(EndpointsUpdated(UpdateKind.FAILED))
        delays_us.append(wait_for_next_poll(host))
    return sorted(delays_us)


def test_polls_of_a_large_fleet_are_spread() -> None:
    for delays_us in (fleet_poll_delays(failed=False), fleet_poll_delays(failed=True)):
        assert delays_us[-1] <= 3_000_000  # a sidecar must have a change 6 s after discovery becomes reachable
        most_polls = max(
            sum(1 for at_us in delays_us if start_us <= at_us < start_us + 300_000) for start_us in delays_us
        )
        assert most_polls <= 10  # 4 on average; 40 if all sidecars poll at once


def poll_delays_after_failures(failures: int) -> list[int]:
    """Return the delays after which 200 sidecars poll again after each has made this number of failed calls."""
    delays_us = []
    for number in range(200):
        host = PolicyHost(settings(poll_endpoints=True, poll_interval_us=10_000_000, fleet_size=200), number)
        host.update_endpoints(upstreams(4), UpdateKind.CACHED)
        wait_for_next_poll(host)
        host.update_endpoints([], UpdateKind.DELTA)
        for _ in range(failures - 1):
            host.deliver(EndpointsUpdated(UpdateKind.FAILED))
            wait_for_next_poll(host)
        host.deliver(EndpointsUpdated(UpdateKind.FAILED))
        delays_us.append(wait_for_next_poll(host))
    return sorted(delays_us)


@pytest.mark.parametrize("failures", [1, 2, 4])
def test_large_fleet_polls_early_enough_to_get_a_change_within_6_s_when_calls_fail(failures: int) -> None:
    """A poll, failed or not, takes up to 2.5 s of the 6 s, so the delay before the poll may be up to 3.5 s."""
    delays_us = poll_delays_after_failures(failures)
    assert delays_us[-1] <= 3_500_000
    most_polls = max(sum(1 for at_us in delays_us if start_us <= at_us < start_us + 500_000) for start_us in delays_us)
    assert most_polls <= 60  # 29 on average; 200 if all sidecars poll at once


def test_second_failure_before_the_next_poll_does_not_add_a_poll() -> None:
    host = polling_host()
    host.advance(2_000_000)
    earlier_count = len(polls(host))
    host.deliver(EndpointsUpdated(UpdateKind.FAILED))
    host.deliver(EndpointsUpdated(UpdateKind.FAILED))
    host.advance(4_000_000)
    host.update_endpoints(upstreams(4), UpdateKind.DELTA)
    assert len(polls(host)) == earlier_count + 1


def test_policy_polls_again_within_the_poll_interval_when_a_call_gets_no_response() -> None:
    host = polling_host()
    host.advance(10_000_000)
    assert len(polls(host)) >= 2


def test_delta_changes_only_the_endpoints_that_it_lists() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(2))
    host.update_endpoints([Endpoint(100, EndpointStatus.DRAINING)], UpdateKind.DELTA)
    for _ in range(10):
        host.end(host.arrive(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in host.forward_actions()} == {101}


def test_endpoint_is_removed_when_a_snapshot_omits_it_and_is_used_again_when_listed_again() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(2))
    host.update_endpoints(upstreams(1))
    for _ in range(10):
        host.end(host.arrive(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in host.forward_actions()} == {100}
    host.update_endpoints(upstreams(2))
    for _ in range(30):
        host.end(host.arrive(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in host.forward_actions()} == {100, 101}


def test_endpoint_is_cold_again_when_it_restarts_under_the_same_id() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(3))
    host.update_endpoints([Endpoint(100, started_us=START_US)], UpdateKind.DELTA)
    for _ in range(60):
        request = host.arrive(0)
        host.advance(5_000)
        host.end(request, 0, Outcome.OK)
    assert sum(1 for s in host.forward_actions() if s.endpoint_id == 100) <= 6


def test_policy_keeps_working_when_a_delta_or_a_snapshot_is_empty() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(2))
    host.update_endpoints([], UpdateKind.DELTA)
    assert host.forward_actions(host.arrive(0))
    host.update_endpoints([])
    request = host.arrive(0)
    host.advance(2_000_000)
    assert host.answer(request) is not None
    assert all(t.at_us > START_US for t in host.actions if isinstance(t, SetTimer))


def entry(uid: str, state: str = "active") -> dict[str, object]:
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def test_endpoint_watcher_applies_all_batches_when_a_list_is_long() -> None:
    async def test() -> None:
        events: list[EndpointsUpdated] = []
        watcher = EndpointWatcher(
            ("127.0.0.1", 9), EndpointList(["a"], ["m"]), lambda event, addresses: events.append(event)
        )
        watcher.on_list_received(
            parse_list({"rev": 1, "all": True, "targets": [entry(f"old-{n}") for n in range(BATCH_SIZE)]})
        )
        assert len(events) == 1
        assert watcher.version == 1
        old_ids = {e.id for e in events[0].endpoints}
        snapshot = [entry(f"new-{n}") for n in range(3 * BATCH_SIZE)]
        watcher.on_list_received(parse_list({"rev": 2, "all": True, "targets": snapshot}))
        watcher.on_list_received(parse_list({"rev": 3, "all": False, "targets": [entry("new-7", "leaving")]}))
        assert watcher.version == 1  # a watch that reconnects with a newer version would miss entries
        while watcher.pending_steps:  # noqa: ASYNC110 - the watcher sets no event for its steps
            await asyncio.sleep(0)
        assert watcher.version == 3
        assert max(len(event.endpoints) for event in events) <= BATCH_SIZE
        statuses = {e.id: e.status for event in events for e in event.endpoints}
        assert all(statuses[endpoint_id] is EndpointStatus.REMOVED for endpoint_id in old_ids)
        assert sum(status is EndpointStatus.READY for status in statuses.values()) == 3 * BATCH_SIZE - 1
        watcher.on_list_received(parse_list({"rev": 4, "all": True, "targets": snapshot[: 2 * BATCH_SIZE]}))
        watcher.on_list_received(
            parse_list({"rev": 5, "all": True, "targets": snapshot[:1]})
        )  # a snapshot replaces pending lists
        assert watcher.version == 5
        assert not watcher.pending_steps
        assert events[-1].update_kind is UpdateKind.SNAPSHOT
        assert len(events[-1].endpoints) == 1

    asyncio.run(test())
