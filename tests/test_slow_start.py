"""Slow start: how many attempts endpoints receive while they are warming up."""

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
    warming_sends = sum(1 for s in host.forward_actions() if s.endpoint_id == 1)
    assert 0 < warming_sends <= 11  # mean of 60 seeds: 7.6, maximum: 11; an even share would be 37


def test_slow_start_sends_less_than_an_even_share_when_an_endpoint_is_warming() -> None:
    host = PolicyHost(settings(fleet_size=400))
    # 12 s into a warm-up of 20 s, the warm-up fraction is 0.68
    host.update_endpoints([Endpoint(1, started_us=host.now_us - 12_000_000), *upstreams(3)])
    run_traffic(host, 1000, response_time_us=5_000)
    warming_sends = sum(1 for s in host.forward_actions() if s.endpoint_id == 1)
    assert 0 < warming_sends < 190  # an even share would be 250


def test_slow_start_share_grows_when_a_sidecar_has_little_traffic() -> None:
    sent = 0
    for seed in range(60):
        host = PolicyHost(settings(warm_up_initial_fraction=0.1), seed)
        host.update_endpoints([Endpoint(1, started_us=host.now_us), *upstreams(10)])
        for _ in range(20):  # two requests a second: at its initial share, the endpoint would wait a minute
            host.end(host.arrive(READ), 0, Outcome.OK)
            host.advance(500_000)
        fill_slots(host)
        sent += any(send.endpoint_id == 1 for send in host.forward_actions())
    assert sent >= 24  # 37 of 60 are expected; 12 if the initial share determines the wait


def attempts_at_new_endpoints(new: list[Endpoint]) -> int:
    """Return the number of attempts at new endpoints that respond at once, beside twelve slow old endpoints.

    The old endpoints respond after 280 ms; half the latency objective is 150 ms.
    """
    host = PolicyHost()
    host.update_endpoints([*new, *upstreams(12)])
    for _ in range(400):
        request = host.arrive(READ)
        if any(send.endpoint_id < 100 for send in host.forward_actions(request)):
            host.end(request, 0, Outcome.OK)
        host.advance(20_000)
        due = [
            (record.event.request_id, number)
            for record in host.request_records.values()
            for number, attempt in enumerate(record.attempts)
            if attempt.outcome is None and host.now_us >= attempt.sent_us + 280_000
        ]
        for request_id, number in due:
            host.end(request_id, number, Outcome.OK)
    return sum(1 for s in host.forward_actions() if s.endpoint_id < 100)


def test_slow_start_is_not_limited_by_admission_when_other_endpoints_are_overloaded() -> None:
    new = [Endpoint(n, started_us=START_US - 8_000_000) for n in range(1, 13)]
    assert attempts_at_new_endpoints(new) >= 9  # 0 if admission also limits the warming endpoints


def test_slow_start_takes_more_than_the_initial_share_when_other_endpoints_are_overloaded() -> None:
    new = [Endpoint(n, started_us=START_US) for n in range(1, 25)]
    assert attempts_at_new_endpoints(new) >= 25  # 18 if their share never exceeds the initial one


def attempts_at_warming_pool(every_us: int) -> int:
    """Return how many attempts ten endpoints that have just started receive in 5 s.

    They respond after 100 ms. This sidecar's share of the quota is 20 requests per second.
    """
    host = PolicyHost(settings(fleet_size=4, tenants=[Tenant("north", 80.0)], warm_up_initial_fraction=0.1))
    host.update_endpoints([Endpoint(n, started_us=host.now_us) for n in range(1, 11)])
    for _ in range(5_000_000 // every_us):
        host.arrive(READ)
        host.advance(every_us)
        due = [
            (request_id, number)
            for request_id, record in host.request_records.items()
            for number in record.outstanding_indexes()
            if host.now_us >= record.attempts[number].sent_us + 100_000
        ]
        for request_id, number in due:
            host.end(request_id, number, Outcome.OK)
    return len(host.forward_actions())


def test_slow_start_sends_follow_the_load_when_the_whole_pool_is_warming() -> None:
    assert attempts_at_warming_pool(every_us=50_000) >= 74  # 64 if only a tenth of the arrivals count


def test_slow_start_stays_within_the_quota_when_a_warming_pool_is_overloaded() -> None:
    assert attempts_at_warming_pool(every_us=10_000) <= 440  # 478 if the quota does not limit the sends


def test_slow_start_counts_unserved_requests_when_no_slot_is_free() -> None:
    host = PolicyHost(settings(fleet_size=4, hedging=False))
    host.update_endpoints([*upstreams(2), *(Endpoint(n, started_us=START_US - 6_000_000) for n in range(1, 11))])
    for _ in range(240):  # forty requests a second; the two warm endpoints have six slots
        host.arrive(READ)
        host.advance(25_000)
        due = [
            (request_id, number)
            for request_id, record in host.request_records.items()
            for number in record.outstanding_indexes()
            if host.now_us >= record.attempts[number].sent_us + 140_000
        ]
        for request_id, number in due:
            host.end(request_id, number, Outcome.OK)
    # 70 attempts are sent; 54 if only responses count
    assert sum(send.endpoint_id < 100 for send in host.forward_actions()) >= 62


def test_slow_start_opens_more_slots_when_an_endpoint_has_warmed_up_longer() -> None:
    max_concurrent = {}
    for age_us in (1_000_000, 16_000_000):  # the warm-up takes 20 s
        host = PolicyHost(settings(fleet_size=4, hedging=False))
        host.update_endpoints([*upstreams(2), *(Endpoint(n, started_us=START_US - age_us) for n in range(1, 4))])
        max_concurrent[age_us] = 0
        for _ in range(100):
            host.arrive(READ)
            host.advance(30_000)
            outstanding = [
                (request_id, number)
                for request_id, record in host.request_records.items()
                for number in record.outstanding_indexes()
            ]
            for request_id, number in outstanding:
                if host.now_us >= host.request_records[request_id].attempts[number].sent_us + 140_000:
                    host.end(request_id, number, Outcome.OK)
            concurrent = Counter(
                host.request_records[request_id].attempts[number].upstream for request_id, number in outstanding
            )
            max_concurrent[age_us] = max(max_concurrent[age_us], *(concurrent[n] for n in range(1, 4)))
    assert max_concurrent[1_000_000] == 1 < max_concurrent[16_000_000]
