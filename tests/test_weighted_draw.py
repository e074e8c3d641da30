"""Weighted draws from buckets have the same probabilities as a scan of all endpoints, at a fixed cost."""

from __future__ import annotations

import random
import sys
from collections import Counter
from types import FrameType
from typing import Any

import pytest

from garnetusher.model.steady_load import SteadyLoad, endpoint_list
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.events import Endpoint, EndpointStatus, Outcome, UpdateKind, ZoneOverridden
from garnetusher.policy.slots import Pool
from garnetusher.policy.slow_start import COHORTS_PER_WARM_UP
from tests.policy_host import START_US, PolicyHost, settings, upstreams

Weights = dict[int, float]  # by endpoint id


def scan_weights(
    balancer: Balancer, pool: Pool, excluded: set[int], in_use: bool | None, warming: bool | None
) -> Weights:
    """Return the weights that a scan of all endpoints finds: the free slots, reduced by the latency ratio."""
    weights = {}
    for state in balancer.endpoints.values():
        free_slots = pool.usable_slots(state, balancer.context.now_us) - state.slots_used
        if (
            state.pool is pool
            and free_slots > 0
            and state.endpoint.zone not in excluded
            and in_use in (None, state.in_use)
            and warming in (None, state.cohort is not None)
        ):
            weights[state.endpoint.id] = free_slots / state.latency_ratio**2
    return weights


def check_buckets(balancer: Balancer) -> None:
    """Check that the buckets contain the endpoints that a scan finds, with their current weights."""
    assert sum(pool.slow_start.size for pool in balancer.pools) == len(balancer.endpoints)
    for pool in balancer.pools:
        if pool.slow_start.cohorts:
            pool.slow_start.accrue(balancer.context.now_us)
        bucket_weights = {s.endpoint.id: s.weight for _, bucket in pool.free_buckets(set()) for s in bucket}
        assert bucket_weights == pytest.approx(scan_weights(balancer, pool, set(), None, None))
        assert set(pool.in_use) == {i for i, s in balancer.endpoints.items() if s.in_use and s.pool is pool}
        assert len(pool.slow_start.cohorts) <= COHORTS_PER_WARM_UP + 1


def run_random_events(seed: int, steps: int = 400, after_event: Any = check_buckets) -> PolicyHost:
    """Apply arrivals, outcomes, list updates, restarts, operator orders and time steps in a random order."""
    rng = random.Random(seed)
    host = PolicyHost(settings(cross_zone_cost=rng.choice([0.0, 0.02]), fleet_size=rng.choice([1, 30])), seed=seed)
    entries = {e.id: e for e in upstreams(12)}
    host.update_endpoints(list(entries.values()))
    for _ in range(steps):
        event_draw = rng.random()
        outstanding = [
            (request_id, n)
            for request_id, record in host.request_records.items()
            if not record.response_started
            for n in record.outstanding_indexes()
        ]
        if event_draw < 0.45:
            host.arrive(rng.randrange(3))
        elif event_draw < 0.8 and outstanding:
            request_id, number = rng.choice(outstanding)
            host.end(
                request_id,
                number,
                rng.choice(
                    [Outcome.OK] * 6
                    + [
                        Outcome.ERROR,
                        Outcome.OVERLOADED,
                        Outcome.RESET,
                        Outcome.CONNECT_FAILED,
                        Outcome.NOT_WRITTEN,
                        Outcome.REJECTED,
                    ]
                ),
            )
        elif event_draw < 0.88:
            endpoint_id = rng.choice(list(entries))
            status = rng.choice([EndpointStatus.READY] * 3 + [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
            started_us = rng.choice([entries[endpoint_id].started_us, host.now_us - rng.randrange(25_000_000)])
            entries[endpoint_id] = Endpoint(
                endpoint_id,
                status,
                entries[endpoint_id].zone,
                cell=entries[endpoint_id].cell,
                started_us=started_us,
            )
            host.update_endpoints([entries[endpoint_id]], UpdateKind.DELTA)
        elif event_draw < 0.9:
            host.update_endpoints([e for e in entries.values() if e.status is EndpointStatus.READY])
        elif event_draw < 0.92:
            host.deliver(ZoneOverridden(rng.randrange(6), rng.random() < 0.5))
        else:
            host.advance(rng.choice([3_000, 60_000, 400_000, 3_000_000]))
        after_event(host.balancer)
    return host


@pytest.mark.parametrize("seed", range(12))
def test_buckets_match_a_scan_when_events_are_random(seed: int) -> None:
    run_random_events(seed)


def test_draw_has_the_probabilities_of_a_scan_when_weights_differ() -> None:
    draws, compared = 3000, 0
    for seed in range(16):
        balancer = run_random_events(seed, 150, lambda balancer: None).balancer
        for pool in balancer.pools:
            for in_use, warming in ((None, None), (True, None), (None, True)):
                excluded = {seed % 6}
                weights = scan_weights(balancer, pool, excluded, in_use, warming)
                if not weights:
                    assert pool.draw(balancer.context.random, excluded, in_use=in_use, warming=warming) is None
                    continue
                drawn: Counter[int] = Counter()
                for _ in range(draws):
                    state = pool.draw(balancer.context.random, excluded, in_use=in_use, warming=warming)
                    assert state is not None
                    drawn[state.endpoint.id] += 1
                total = sum(weights.values())
                for endpoint_id in weights.keys() | drawn.keys():
                    probability = weights.get(endpoint_id, 0.0) / total
                    std_dev = (probability * (1 - probability) / draws) ** 0.5
                    assert abs(drawn[endpoint_id] / draws - probability) <= 4.5 * std_dev + 1e-9, (seed, endpoint_id)
                compared += len(weights) > 1
    assert compared >= 20  # the runs reach enough pools with a choice of endpoints


def test_cohorts_accrue_like_single_endpoints_when_endpoints_warm_up() -> None:
    pool = Pool(settings(warm_up_us=20_000_000), START_US)
    accrued: dict[int, float] = {}
    for number in range(60):
        state = EndpointState(Endpoint(number + 1, started_us=START_US - number * 300_000), pool)
        pool.add(state, START_US, 0.0)
        accrued[number + 1] = 0.0
    members = list(pool.zones[0].values())
    for step in range(1, 200):
        now_us = START_US + step * 10_000
        pool.slow_start.counted_responses += 0.5
        pool.slow_start.accrue(now_us)
        shares = {s.endpoint.id: min(1.0, 0.2 + 0.8 * (now_us - s.started_us) / 20_000_000) for s in members}
        # WARMING_SHARE is 0.45, and the settings have an overload factor of 2.5
        shares = {i: 1.0 if fraction >= 1.0 else fraction * 0.45 * 2.5 for i, fraction in shares.items()}
        for endpoint_id, share in shares.items():
            accrued[endpoint_id] += 0.5 * share / sum(shares.values())
    for state in members:
        cohort = state.cohort
        cohort_accrued = 1.0 if cohort is None or state.attempt_due else 1.0 - (state.due_at_accrual - cohort.accrued)
        # members of a cohort share one start time, which limits the precision
        assert cohort_accrued == pytest.approx(min(1.0, accrued[state.endpoint.id]), rel=0.13)


def lines_per_request(count: int, warming: bool) -> float:
    """Return the number of source lines that one request executes, after 100 requests to reach a steady state."""
    steady = SteadyLoad(1)
    steady.handle(endpoint_list(count, warming))
    for _ in range(100):
        steady.send_request()
    lines = 0

    def trace(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    previous_trace = sys.gettrace()
    sys.settrace(trace)
    try:
        for _ in range(200):
            steady.send_request()
    finally:
        sys.settrace(previous_trace)
    return lines / 200


@pytest.mark.parametrize("warming", [False, True])
def test_request_costs_the_same_when_there_are_many_endpoints(warming: bool) -> None:
    assert lines_per_request(5000, warming) <= 2 * lines_per_request(10, warming)
