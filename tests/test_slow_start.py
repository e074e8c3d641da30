"""Slow start: what endpoints get while they are warming up."""

from __future__ import annotations

from collections import Counter

from garnetusher.policy.events import (
    Endpoint,
    Outcome,
)
from garnetusher.policy.settings import Tenant
from tests.policy_driver import (
    READ,
    fill_slots,
    run_traffic,
)
from tests.policy_host import START_US, PolicyHost, settings, upstreams


def test_slow_start_sends_little_when_an_endpoint_has_just_started() -> None:
    host = PolicyHost(settings(fleet_size=24))
    host.update_endpoints(upstreams(3))
    run_traffic(host, 20, response_time_us=20_000)
    host.update_endpoints([Endpoint(1, started_us=host.now_us - 1_000), *upstreams(3)])
    run_traffic(host, 150, response_time_us=20_000)
    cold = sum(1 for s in host.forward_actions() if s.endpoint_id == 1)
    assert 0 < cold <= 11  # 7.6 on the mean of 60 seeds, 11 at the most; an even share would be 37


def test_slow_start_sends_less_than_an_even_share_when_an_endpoint_is_warming() -> None:
    host = PolicyHost(settings(fleet_size=400))
    host.update_endpoints([Endpoint(1, started_us=host.now_us - 12_000_000), *upstreams(3)])  # two thirds warm
    run_traffic(host, 1000, response_time_us=5_000)
    cold = sum(1 for s in host.forward_actions() if s.endpoint_id == 1)
    assert 0 < cold < 190  # an even share would be 250


def test_slow_start_share_grows_when_a_light_sidecar_waits() -> None:
    tried = 0
    for seed in range(60):
        host = PolicyHost(settings(warm_up_initial_fraction=0.1), seed)
        host.update_endpoints([Endpoint(1, started_us=host.now_us), *upstreams(10)])
        for _ in range(20):  # two a second: by its first warmth its next send is a minute away
            host.end(host.arrive(READ), 0, Outcome.OK)
            host.advance(500_000)
        fill_slots(host)
        tried += any(send.endpoint_id == 1 for send in host.forward_actions())
    assert tried >= 24  # 37 of 60 are expected; 12 where the wait is fixed by the first warmth


def sends_to_warming_beside_crowded(new: list[Endpoint]) -> int:
    """Twelve old upstreams answer at nearly twice the slow time, the new ones at once: what those get."""
    host = PolicyHost()
    host.update_endpoints([*new, *upstreams(12)])
    for _ in range(400):
        request = host.arrive(READ)
        if any(send.endpoint_id < 100 for send in host.forward_actions(request)):
            host.end(request, 0, Outcome.OK)
        host.advance(20_000)
        late = [
            (owed.event.request_id, number)
            for owed in host.request_records.values()
            for number, attempt in enumerate(owed.attempts)
            if attempt.outcome is None and host.now_us >= attempt.sent_us + 280_000
        ]
        for ident, number in late:
            host.end(ident, number, Outcome.OK)
    return sum(1 for s in host.forward_actions() if s.endpoint_id < 100)


def test_slow_start_is_not_held_off_when_other_endpoints_are_crowded() -> None:
    new = [Endpoint(n, started_us=START_US - 8_000_000) for n in range(1, 13)]
    assert sends_to_warming_beside_crowded(new) >= 9  # none where their due sends are thinned as well


def test_slow_start_takes_more_than_the_initial_share_when_other_endpoints_are_crowded() -> None:
    new = [Endpoint(n, started_us=START_US) for n in range(1, 25)]
    assert sends_to_warming_beside_crowded(new) >= 25  # 18 where they are kept to their least warmth and under


def sends_to_warming_pool(every_us: int) -> int:
    """What ten cold upstreams get in 5 s, with answers in 100 ms; the sidecar is allowed 20 a second."""
    host = PolicyHost(settings(fleet_size=4, tenants=[Tenant("north", 80.0)], warm_up_initial_fraction=0.1))
    host.update_endpoints([Endpoint(n, started_us=host.now_us) for n in range(1, 11)])
    for _ in range(5_000_000 // every_us):
        host.arrive(READ)
        host.advance(every_us)
        late = [
            (ident, number)
            for ident, owed in host.request_records.items()
            for number in owed.outstanding_indexes()
            if host.now_us >= owed.attempts[number].sent_us + 100_000
        ]
        for ident, number in late:
            host.end(ident, number, Outcome.OK)
    return len(host.forward_actions())


def test_slow_start_opens_with_the_load_when_the_whole_pool_is_warming() -> None:
    assert sends_to_warming_pool(every_us=50_000) >= 74  # 64 where a tenth of the arrivals count


def test_slow_start_stays_within_the_quota_when_a_warming_pool_is_overloaded() -> None:
    assert sends_to_warming_pool(every_us=10_000) <= 440  # 478 without the bound of the allowance


def test_slow_start_counts_unserved_requests_when_no_slot_is_free() -> None:
    host = PolicyHost(settings(fleet_size=4, hedging=False))
    host.update_endpoints([*upstreams(2), *(Endpoint(n, started_us=START_US - 6_000_000) for n in range(1, 11))])
    for _ in range(240):  # forty a second: the two warm ones take six at a time
        host.arrive(READ)
        host.advance(25_000)
        late = [
            (ident, number)
            for ident, owed in host.request_records.items()
            for number in owed.outstanding_indexes()
            if host.now_us >= owed.attempts[number].sent_us + 140_000
        ]
        for ident, number in late:
            host.end(ident, number, Outcome.OK)
    assert (
        sum(send.endpoint_id < 100 for send in host.forward_actions()) >= 62
    )  # 70; 54 where only what is served counts


def test_slow_start_opens_slots_by_the_warm_up_when_an_endpoint_is_warming() -> None:
    most = {}
    for age_us in (1_000_000, 16_000_000):  # of a warm-up of 20 s
        host = PolicyHost(settings(fleet_size=4, hedging=False))
        host.update_endpoints([*upstreams(2), *(Endpoint(n, started_us=START_US - age_us) for n in range(1, 4))])
        most[age_us] = 0
        for _ in range(100):
            host.arrive(READ)
            host.advance(30_000)
            out = [
                (ident, number) for ident, owed in host.request_records.items() for number in owed.outstanding_indexes()
            ]
            for ident, number in out:
                if host.now_us >= host.request_records[ident].attempts[number].sent_us + 140_000:
                    host.end(ident, number, Outcome.OK)
            at_once = Counter(host.request_records[ident].attempts[number].upstream for ident, number in out)
            most[age_us] = max(most[age_us], *(at_once[n] for n in range(1, 4)))
    assert most[1_000_000] == 1 < most[16_000_000]
