"""Slot limits: when they rise and when they fall."""

from __future__ import annotations

from garnetusher.policy.events import (
    Outcome,
)
from tests.policy_driver import (
    INITIAL_SLOT_LIMIT,
    READ,
    available_slots,
    fill_slots,
    ready_host,
    run_traffic,
)


def test_slot_limits_do_not_rise_when_requests_find_a_free_slot() -> None:
    host = ready_host(4)
    run_traffic(host, 100)
    assert available_slots(host) == 4 * INITIAL_SLOT_LIMIT


def test_slots_open_when_needed_and_close_when_responses_are_slow() -> None:
    host = ready_host(4)

    def run_rounds(count: int, response_time_us: int) -> None:
        for _ in range(count):
            fill_slots(host)
            run_traffic(host, 1, response_time_us=response_time_us)

    run_rounds(60, 20_000)
    run_traffic(host, 1)
    grown = available_slots(host)
    assert 8 <= grown <= 32
    run_rounds(20, 250_000)
    run_traffic(host, 3)
    assert available_slots(host) < grown / 2


def test_slot_limit_rises_when_responses_are_slightly_faster_than_the_target() -> None:
    host = ready_host(1, hedging=False)
    sent = [request for request in fill_slots(host) if host.forward_actions(request)]
    host.advance(112_000)  # half the latency objective is 150 ms; the target is 85% of it
    before = host.balancer.endpoints[100].slot_limit
    for request in sent:
        host.end(request, 0, Outcome.OK)
    assert host.balancer.endpoints[100].slot_limit > before


def test_slots_are_three_at_first_when_the_fleet_is_large() -> None:
    small, large = ready_host(4, fleet_size=3), ready_host(4, fleet_size=400)
    assert len(fill_slots(large)) == len(fill_slots(small)) == 4 * INITIAL_SLOT_LIMIT + 1


def test_slots_suffice_for_all_requests_when_a_sidecar_starts_under_load() -> None:
    host = ready_host(10)
    assert all(host.forward_actions(host.arrive(READ)) for _ in range(30))


def test_slot_limits_do_not_rise_when_there_are_more_endpoints_than_needed() -> None:
    host = ready_host(40, fleet_size=24)
    run_traffic(host, 400)
    assert all(state.slot_limit <= INITIAL_SLOT_LIMIT for state in host.balancer.endpoints.values())


def test_slot_limit_rises_only_shortly_after_a_shortage() -> None:
    growths = []
    for pause_us in (300_000, 900_000):  # shorter and longer than two latency objectives
        host = ready_host(1)
        taken = fill_slots(host)
        host.advance(10_000)
        for request in taken:
            host.end(request, 0, Outcome.OK)
        host.advance(pause_us)
        before = host.balancer.endpoints[100].slot_limit
        run_traffic(host, 3)
        growths.append(host.balancer.endpoints[100].slot_limit - before)
    assert growths[0] > 0
    assert growths[1] == 0


def test_slots_open_faster_when_responses_are_quicker() -> None:
    counts = []
    for response_time_us in (10_000, 120_000):
        host = ready_host(4)
        for _ in range(6):
            fill_slots(host)
            run_traffic(host, 1, response_time_us=response_time_us)
        run_traffic(host, 1, response_time_us=response_time_us)
        counts.append(available_slots(host))
    assert counts[0] > counts[1]
