"""Slot limits: when they rise and when they fall."""

from __future__ import annotations

from garnetusher.policy.events import (
    Outcome,
)
from tests.policy_driver import (
    FIRST,
    READ,
    available_slots,
    churn,
    fill,
    ready_world,
)


def test_slots_stay_when_requests_find_one_free() -> None:
    world = ready_world(4)
    churn(world, 100)
    assert available_slots(world) == 4 * FIRST


def test_slots_open_when_needed_and_close_when_responses_are_slow() -> None:
    world = ready_world(4)

    def run_rounds(count: int, took_us: int) -> None:
        for _ in range(count):
            fill(world)
            churn(world, 1, took_us=took_us)

    run_rounds(60, 20_000)
    churn(world, 1)
    grown = available_slots(world)
    assert 8 <= grown <= 32
    run_rounds(20, 250_000)
    churn(world, 3)
    assert available_slots(world) < grown / 2


def test_slots_open_when_responses_take_three_quarters_of_the_slow_time() -> None:
    world = ready_world(1, hedging=False)
    sent = [request for request in fill(world) if world.sends(request)]
    world.advance(112_000)  # half the latency objective is 150 ms
    before = world.balancer.endpoints[100].slot_limit
    for request in sent:
        world.end(request, 0, Outcome.OK)
    assert world.balancer.endpoints[100].slot_limit > before


def test_slots_are_three_at_first_when_the_fleet_is_large() -> None:
    small, large = ready_world(4, fleet_size=3), ready_world(4, fleet_size=400)
    assert len(fill(large)) == len(fill(small)) == 4 * FIRST + 1


def test_slots_shed_nothing_when_a_sidecar_starts_busy() -> None:
    world = ready_world(10)
    assert all(world.sends(world.arrive(READ)) for _ in range(30))


def test_slots_stay_when_there_is_no_need() -> None:
    world = ready_world(40, fleet_size=24)
    churn(world, 400)
    assert all(state.slot_limit <= FIRST for state in world.balancer.endpoints.values())


def test_slots_open_for_two_objectives_when_a_shortage_has_ended() -> None:
    growths = []
    for pause_us in (300_000, 900_000):
        world = ready_world(1)
        taken = fill(world)
        world.advance(10_000)
        for request in taken:
            world.end(request, 0, Outcome.OK)
        world.advance(pause_us)
        before = world.balancer.endpoints[100].slot_limit
        churn(world, 3)
        growths.append(world.balancer.endpoints[100].slot_limit - before)
    assert growths[0] > 0
    assert growths[1] == 0


def test_slots_open_faster_when_responses_are_quicker() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        world = ready_world(4)
        for _ in range(6):
            fill(world)
            churn(world, 1, took_us=took_us)
        churn(world, 1, took_us=took_us)
        counts.append(available_slots(world))
    assert counts[0] > counts[1]
