"""Endpoint selection by zone, traffic and latency."""

from __future__ import annotations

from garnetusher.policy.events import (
    Endpoint,
    EndpointStatus,
    Outcome,
    UpdateKind,
)
from tests.policy_driver import (
    INITIAL_SLOT_LIMIT,
    PAY,
    READ,
    ready_host,
    run_traffic,
)


def test_selection_forwards_at_once_when_an_endpoint_is_ready() -> None:
    host = ready_host()
    request = host.arrive(READ)
    assert [s.endpoint_id in host.latest_entries for s in host.forward_actions(request)] == [True]


def test_selection_spreads_over_all_endpoints_when_all_are_healthy() -> None:
    host = ready_host(6)
    for _ in range(60):
        host.end(host.arrive(READ), 0, Outcome.OK)
    assert {s.endpoint_id for s in host.forward_actions()} == set(host.latest_entries)


def test_selection_avoids_endpoints_when_they_drain_or_are_removed() -> None:
    host = ready_host(2)
    host.update_endpoints([Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)])
    request = host.arrive(READ)
    host.advance(1_000_000)
    assert not host.forward_actions(request)


def test_selection_prefers_this_zone_when_crossing_zones_has_a_cost() -> None:
    host = ready_host(8, zone=1, cross_zone_cost=0.03)
    first = [host.arrive(READ) for _ in range(2 * INITIAL_SLOT_LIMIT)]
    assert {host.latest_entries[host.forward_actions(r)[0].endpoint_id].zone for r in first} == {1}
    overflow = host.arrive(READ)
    assert host.latest_entries[host.forward_actions(overflow)[0].endpoint_id].zone != 1


def test_selection_ignores_zones_when_crossing_zones_is_free() -> None:
    host = ready_host(8, zone=1)
    run_traffic(host, 100)
    assert {host.latest_entries[s.endpoint_id].zone for s in host.forward_actions()} == {0, 1, 2, 3}


def test_selection_crosses_zones_when_this_zone_admits_few_requests() -> None:
    host = ready_host(8, zone=1, cross_zone_cost=0.2, fleet_size=400)
    run_traffic(host, 30, class_index=PAY)
    assert {host.latest_entries[s.endpoint_id].zone for s in host.forward_actions()} == {1}
    sends_before = len(host.forward_actions())
    for _ in range(30):
        request = host.arrive(PAY)
        sends_here = [s for s in host.forward_actions(request) if host.latest_entries[s.endpoint_id].zone == 1]
        host.advance(300_000 if sends_here else 20_000)
        if not sends_here and host.request_records[request].outstanding_indexes():
            host.end(request, 0, Outcome.OK)
    crossed = [s for s in host.forward_actions()[sends_before:] if host.latest_entries[s.endpoint_id].zone != 1]
    assert len(crossed) >= 10
    assert len(host.forward_actions()) - sends_before >= 25


def test_selection_uses_few_endpoints_when_traffic_is_light() -> None:
    host = ready_host(60, fleet_size=400)
    run_traffic(host, 100, response_time_us=1_000_000)
    assert len({s.endpoint_id for s in host.forward_actions()}) <= 6


def test_selection_uses_more_endpoints_when_traffic_grows() -> None:
    host = ready_host(60, fleet_size=400)
    run_traffic(host, 600, response_time_us=20_000)
    assert len({s.endpoint_id for s in host.forward_actions()}) >= 30


def test_selection_draws_an_endpoint_less_when_it_is_slower() -> None:
    host = ready_host(4, hedging=False)
    for _ in range(200):
        request = host.arrive(READ)
        is_slow = host.forward_actions(request)[0].endpoint_id == 100
        host.advance(120_000 if is_slow else 30_000)
        host.end(request, 0, Outcome.OK)
    assert sum(1 for s in host.forward_actions() if s.endpoint_id == 100) < 25


def test_registry_keeps_no_state_when_endpoints_are_removed() -> None:
    host = ready_host(4)
    for number in range(50):
        host.update_endpoints([Endpoint(1000 + number)], UpdateKind.DELTA)
        run_traffic(host, 5)
        host.update_endpoints([Endpoint(1000 + number, EndpointStatus.REMOVED)], UpdateKind.DELTA)
    assert len(host.balancer.endpoints) == 4
    assert len(host.balancer.pools[0].in_use) <= 4
