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
    churn,
    fill,
)
from tests.world import START_US, World, settings, upstreams


def test_slow_start_sends_little_when_an_endpoint_has_just_started() -> None:
    world = World(settings(fleet_size=24))
    world.tell_list(upstreams(3))
    churn(world, 20, took_us=20_000)
    world.tell_list([Endpoint(1, started_us=world.now_us - 1_000), *upstreams(3)])
    churn(world, 150, took_us=20_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold <= 11  # 7.6 on the mean of 60 seeds, 11 at the most; an even share would be 37


def test_slow_start_sends_less_than_an_even_share_when_an_endpoint_is_warming() -> None:
    world = World(settings(fleet_size=400))
    world.tell_list([Endpoint(1, started_us=world.now_us - 12_000_000), *upstreams(3)])  # two thirds warm
    churn(world, 1000, took_us=5_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold < 190  # an even share would be 250


def test_slow_start_share_grows_when_a_light_sidecar_waits() -> None:
    tried = 0
    for seed in range(60):
        world = World(settings(warm_up_initial_fraction=0.1), seed)
        world.tell_list([Endpoint(1, started_us=world.now_us), *upstreams(10)])
        for _ in range(20):  # two a second: by its first warmth its next send is a minute away
            world.end(world.arrive(READ), 0, Outcome.OK)
            world.advance(500_000)
        fill(world)
        tried += any(send.endpoint_id == 1 for send in world.sends())
    assert tried >= 24  # 37 of 60 are expected; 12 where the wait is fixed by the first warmth


def sends_to_warming_beside_crowded(new: list[Endpoint]) -> int:
    """Twelve old upstreams answer at nearly twice the slow time, the new ones at once: what those get."""
    world = World()
    world.tell_list([*new, *upstreams(12)])
    for _ in range(400):
        request = world.arrive(READ)
        if any(send.endpoint_id < 100 for send in world.sends(request)):
            world.end(request, 0, Outcome.OK)
        world.advance(20_000)
        late = [
            (owed.event.request_id, number)
            for owed in world.owed.values()
            for number, attempt in enumerate(owed.tries)
            if attempt.outcome is None and world.now_us >= attempt.sent_us + 280_000
        ]
        for ident, number in late:
            world.end(ident, number, Outcome.OK)
    return sum(1 for s in world.sends() if s.endpoint_id < 100)


def test_slow_start_is_not_held_off_when_other_endpoints_are_crowded() -> None:
    new = [Endpoint(n, started_us=START_US - 8_000_000) for n in range(1, 13)]
    assert sends_to_warming_beside_crowded(new) >= 9  # none where their due sends are thinned as well


def test_slow_start_takes_more_than_the_initial_share_when_other_endpoints_are_crowded() -> None:
    new = [Endpoint(n, started_us=START_US) for n in range(1, 25)]
    assert sends_to_warming_beside_crowded(new) >= 25  # 18 where they are kept to their least warmth and under


def sends_to_warming_pool(every_us: int) -> int:
    """What ten cold upstreams get in 5 s, with answers in 100 ms; the sidecar is allowed 20 a second."""
    world = World(settings(fleet_size=4, tenants=[Tenant("north", 80.0)], warm_up_initial_fraction=0.1))
    world.tell_list([Endpoint(n, started_us=world.now_us) for n in range(1, 11)])
    for _ in range(5_000_000 // every_us):
        world.arrive(READ)
        world.advance(every_us)
        late = [
            (ident, number)
            for ident, owed in world.owed.items()
            for number in owed.out()
            if world.now_us >= owed.tries[number].sent_us + 100_000
        ]
        for ident, number in late:
            world.end(ident, number, Outcome.OK)
    return len(world.sends())


def test_slow_start_opens_with_the_load_when_the_whole_pool_is_warming() -> None:
    assert sends_to_warming_pool(every_us=50_000) >= 74  # 64 where a tenth of the arrivals count


def test_slow_start_stays_within_the_quota_when_a_warming_pool_is_overloaded() -> None:
    assert sends_to_warming_pool(every_us=10_000) <= 440  # 478 without the bound of the allowance


def test_slow_start_counts_unserved_requests_when_no_slot_is_free() -> None:
    world = World(settings(fleet_size=4, hedging=False))
    world.tell_list([*upstreams(2), *(Endpoint(n, started_us=START_US - 6_000_000) for n in range(1, 11))])
    for _ in range(240):  # forty a second: the two warm ones take six at a time
        world.arrive(READ)
        world.advance(25_000)
        late = [
            (ident, number)
            for ident, owed in world.owed.items()
            for number in owed.out()
            if world.now_us >= owed.tries[number].sent_us + 140_000
        ]
        for ident, number in late:
            world.end(ident, number, Outcome.OK)
    assert sum(send.endpoint_id < 100 for send in world.sends()) >= 62  # 70; 54 where only what is served counts


def test_slow_start_opens_slots_by_the_warm_up_when_an_endpoint_is_warming() -> None:
    most = {}
    for age_us in (1_000_000, 16_000_000):  # of a warm-up of 20 s
        world = World(settings(fleet_size=4, hedging=False))
        world.tell_list([*upstreams(2), *(Endpoint(n, started_us=START_US - age_us) for n in range(1, 4))])
        most[age_us] = 0
        for _ in range(100):
            world.arrive(READ)
            world.advance(30_000)
            out = [(ident, number) for ident, owed in world.owed.items() for number in owed.out()]
            for ident, number in out:
                if world.now_us >= world.owed[ident].tries[number].sent_us + 140_000:
                    world.end(ident, number, Outcome.OK)
            at_once = Counter(world.owed[ident].tries[number].upstream for ident, number in out)
            most[age_us] = max(most[age_us], *(at_once[n] for n in range(1, 4)))
    assert most[1_000_000] == 1 < most[16_000_000]
