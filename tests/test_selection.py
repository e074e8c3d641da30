"""Endpoint selection by zone, traffic and latency."""

from __future__ import annotations

from garnetusher.policy.events import (
    Endpoint,
    EndpointStatus,
    Outcome,
    UpdateKind,
)
from tests.policy_driver import (
    FIRST,
    PAY,
    READ,
    churn,
    ready_world,
)


def test_selection_forwards_at_once_when_an_endpoint_is_ready() -> None:
    world = ready_world()
    request = world.arrive(READ)
    assert [s.endpoint_id in world.known for s in world.sends(request)] == [True]


def test_selection_spreads_over_all_endpoints_when_all_are_well() -> None:
    world = ready_world(6)
    for _ in range(60):
        world.end(world.arrive(READ), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == set(world.known)


def test_selection_avoids_endpoints_when_they_drain_or_are_removed() -> None:
    world = ready_world(2)
    world.tell_list([Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)])
    request = world.arrive(READ)
    world.advance(1_000_000)
    assert not world.sends(request)


def test_selection_prefers_this_zone_when_crossing_costs() -> None:
    world = ready_world(8, zone=1, cross_zone_cost=0.03)
    first = [world.arrive(READ) for _ in range(2 * FIRST)]
    assert {world.known[world.sends(r)[0].endpoint_id].zone for r in first} == {1}
    overflow = world.arrive(READ)
    assert world.known[world.sends(overflow)[0].endpoint_id].zone != 1


def test_selection_ignores_zones_when_crossing_is_free() -> None:
    world = ready_world(8, zone=1)
    churn(world, 100)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {0, 1, 2, 3}


def test_selection_crosses_zones_when_this_zone_admits_little() -> None:
    world = ready_world(8, zone=1, cross_zone_cost=0.2, fleet_size=400)
    churn(world, 30, class_index=PAY)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {1}
    sends_before = len(world.sends())
    for _ in range(30):
        request = world.arrive(PAY)
        sends_here = [s for s in world.sends(request) if world.known[s.endpoint_id].zone == 1]
        world.advance(300_000 if sends_here else 20_000)
        if not sends_here and world.owed[request].out():
            world.end(request, 0, Outcome.OK)
    crossed = [s for s in world.sends()[sends_before:] if world.known[s.endpoint_id].zone != 1]
    assert len(crossed) >= 10
    assert len(world.sends()) - sends_before >= 25


def test_selection_uses_few_endpoints_when_traffic_is_light() -> None:
    world = ready_world(60, fleet_size=400)
    churn(world, 100, took_us=1_000_000)
    assert len({s.endpoint_id for s in world.sends()}) <= 6


def test_selection_uses_more_endpoints_when_traffic_grows() -> None:
    world = ready_world(60, fleet_size=400)
    churn(world, 600, took_us=20_000)
    assert len({s.endpoint_id for s in world.sends()}) >= 30


def test_selection_draws_an_endpoint_less_when_it_is_slower() -> None:
    world = ready_world(4, hedging=False)
    for _ in range(200):
        request = world.arrive(READ)
        is_slow = world.sends(request)[0].endpoint_id == 100
        world.advance(120_000 if is_slow else 30_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 25


def test_registry_keeps_no_state_when_endpoints_are_removed() -> None:
    world = ready_world(4)
    for number in range(50):
        world.tell_list([Endpoint(1000 + number)], UpdateKind.DELTA)
        churn(world, 5)
        world.tell_list([Endpoint(1000 + number, EndpointStatus.REMOVED)], UpdateKind.DELTA)
    assert len(world.balancer.endpoints) == 4
    assert len(world.balancer.pools[0].in_use) <= 4
