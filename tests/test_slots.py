"""The plain mechanism and each departure from it, seen through the interface."""

from __future__ import annotations

import dataclasses
from collections import Counter

import pytest

from garnetusher.policy.actions import CancelAttempt, Fail, LogMessage, Shed
from garnetusher.policy.endpoint_state import INITIAL_SLOTS
from garnetusher.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    Outcome,
    RequestBodyComplete,
    RequestNotReplayable,
    SettingsChanged,
    TimerFired,
    UpdateKind,
)
from garnetusher.policy.settings import RequestClass, Tenant, previous_indexes
from tests.world import START_US, World, settings, upstreams

READ, PAY, MARK = 0, 1, 2
FIRST = int(INITIAL_SLOTS)


def ready_world(count: int = 4, **changes: object) -> World:
    world = World(settings(**changes))
    world.tell_list(upstreams(count))
    return world


def fill(world: World) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(world.arrive(READ))
        if not world.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def test_a_request_goes_to_a_ready_upstream_at_once() -> None:
    world = ready_world()
    request = world.arrive(READ)
    assert [s.endpoint_id in world.known for s in world.sends(request)] == [True]


def test_choice_is_spread_over_all_upstreams() -> None:
    world = ready_world(6)
    for _ in range(60):
        world.end(world.arrive(READ), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == set(world.known)


def test_outstanding_sends_are_capped_and_one_request_waits_and_the_next_is_refused() -> None:
    world = ready_world()
    taken = fill(world)
    assert world.answer(taken[-1]) is None
    last = world.arrive(READ)
    answer = world.answer(last)
    assert isinstance(answer, Shed) and answer.retry_after_us > 0


def test_the_waiting_request_takes_the_first_slot_that_frees() -> None:
    world = ready_world()
    taken = fill(world)
    freed = world.sends(taken[0])[0].endpoint_id
    world.end(taken[0], 0, Outcome.OK)
    assert [s.endpoint_id for s in world.sends(taken[-1])] == [freed]


def test_what_waited_past_the_delay_threshold_is_refused() -> None:
    world = ready_world()
    waiting = fill(world)[-1]
    world.advance(200_000)
    assert isinstance(world.answer(waiting), Shed)


def test_a_request_too_near_its_due_time_is_refused_unsent() -> None:
    world = ready_world()
    request = world.arrive(READ, patience_us=1_000)
    assert isinstance(world.answer(request), Shed) and not world.sends(request)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_what_never_ran_is_reissued_elsewhere(outcome: Outcome, class_index: int) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, outcome)
    first, second = world.sends(request)
    assert first.endpoint_id != second.endpoint_id


def test_an_unsafe_request_that_may_have_run_is_failed() -> None:
    world = ready_world()
    request = world.arrive(PAY)
    world.end(request, 0, Outcome.RESET)
    assert isinstance(world.answer(request), Fail) and len(world.sends(request)) == 1


def test_an_unsafe_request_is_waited_for_while_its_answer_is_of_use_and_no_longer() -> None:
    world = ready_world()
    request = world.arrive(PAY)  # a late answer to it is worth nothing
    world.advance(290_000)
    assert world.answer(request) is None
    world.advance(20_000)
    assert isinstance(world.answer(request), Fail)


def test_a_request_whose_late_answer_is_worth_something_is_waited_for_till_due() -> None:
    world = ready_world(max_attempts=1)
    request = world.arrive(READ)
    world.advance(1_400_000)
    assert world.answer(request) is None


def test_no_ready_upstream_waits_and_then_refuses() -> None:
    world = World()
    world.tell_list([])
    request = world.arrive(READ)
    world.advance(400_000)
    assert isinstance(world.answer(request), Shed)
    world.tell_list([Endpoint(5)])
    assert world.sends(world.arrive(READ))


def test_a_cold_upstream_gets_little() -> None:
    world = World(settings(fleet_size=24))
    world.tell_list(upstreams(3))
    churn(world, 20, took_us=20_000)
    world.tell_list([Endpoint(1, started_us=world.now_us - 1_000), *upstreams(3)])
    churn(world, 150, took_us=20_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold <= 11  # 7.6 on the mean of 60 seeds, 11 at the most; an even share would be 37


def test_an_upstream_gets_less_than_the_others_until_it_is_warm() -> None:
    world = World(settings(fleet_size=400))
    world.tell_list([Endpoint(1, started_us=world.now_us - 12_000_000), *upstreams(3)])  # two thirds warm
    churn(world, 1000, took_us=5_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold < 190  # an even share would be 250


def test_the_part_of_a_cold_upstream_grows_while_a_light_sidecar_waits_to_send_it() -> None:
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


def cold_sends_beside_crowded(new: list[Endpoint]) -> int:
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


def test_a_cold_upstream_is_not_thinned_with_the_crowded_ones() -> None:
    new = [Endpoint(n, started_us=START_US - 8_000_000) for n in range(1, 13)]
    assert cold_sends_beside_crowded(new) >= 9  # none where their due sends are thinned as well


def test_successors_take_more_than_their_least_warmth_off_the_crowded_ones() -> None:
    new = [Endpoint(n, started_us=START_US) for n in range(1, 25)]
    assert cold_sends_beside_crowded(new) >= 25  # 18 where they are kept to their least warmth and under


def sends_to_a_cold_pool(every_us: int) -> int:
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


def test_a_pool_that_is_all_cold_opens_with_its_load() -> None:
    assert sends_to_a_cold_pool(every_us=50_000) >= 74  # 64 where a tenth of the arrivals count


def test_a_pool_that_is_all_cold_is_not_opened_by_an_overload() -> None:
    assert sends_to_a_cold_pool(every_us=10_000) <= 440  # 478 without the bound of the allowance


def test_cold_upstreams_get_their_part_of_what_finds_no_slot() -> None:
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


def test_a_cold_upstream_has_slots_by_its_warmth() -> None:
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


def test_drained_upstreams_get_nothing() -> None:
    world = ready_world(2)
    world.tell_list([Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)])
    request = world.arrive(READ)
    world.advance(1_000_000)
    assert not world.sends(request)


def churn(
    world: World,
    steps: int,
    bad: int | None = None,
    fault: Outcome = Outcome.OVERLOADED,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        world.arrive(class_index)
        world.advance(took_us)
        for ident in [i for i, owed in world.owed.items() if owed.out()]:
            for attempt in world.owed[ident].out():
                at_bad = world.owed[ident].tries[attempt].upstream == bad
                world.end(ident, attempt, fault if at_bad else Outcome.OK)


def held(world: World) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in fill(world) if world.sends(r)]
    for request in taken:
        world.end(request, 0, Outcome.OK)
    return len(taken)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_an_upstream_that_fails_at_once_does_not_draw_more(outcome: Outcome) -> None:
    world = ready_world(5)
    churn(world, 200, 100, outcome)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 20


def test_an_upstream_that_failed_is_tried_again_and_comes_back() -> None:
    world = ready_world(2)
    churn(world, 40, 100)
    churn(world, 1000)
    assert sum(1 for s in world.sends()[-200:] if s.endpoint_id == 100) > 30


def test_slots_open_only_while_requests_find_none_free() -> None:
    world = ready_world(4)
    churn(world, 100)
    assert held(world) == 4 * FIRST


def test_slots_open_under_need_and_close_on_slow_answers() -> None:
    world = ready_world(4)

    def rounds(count: int, took_us: int) -> None:
        for _ in range(count):
            fill(world)
            churn(world, 1, took_us=took_us)

    rounds(60, 20_000)
    churn(world, 1)
    grown = held(world)
    assert 8 <= grown <= 32
    rounds(20, 250_000)
    churn(world, 3)
    assert held(world) < grown / 2


def test_answers_in_three_quarters_of_the_slow_time_go_on_opening_slots() -> None:
    world = ready_world(1, hedging=False)
    taken = [request for request in fill(world) if world.sends(request)]
    world.advance(112_000)  # of half the aim, 150 ms
    before = world.balancer.endpoints[100].slot_limit
    for request in taken:
        world.end(request, 0, Outcome.OK)
    assert world.balancer.endpoints[100].slot_limit > before


def test_a_stale_timer_does_not_arm_another() -> None:
    world = ready_world(2)
    for _ in range(50):
        fill(world)
        world.advance(1_000)
        for ident, owed in list(world.owed.items()):
            for attempt in owed.out():
                world.end(ident, attempt, Outcome.OVERLOADED)
    world.advance(10_000_000)
    assert len(world.timers) == 0


def test_an_idle_upstream_of_this_zone_is_drawn_first_where_crossing_costs() -> None:
    world = ready_world(8, zone=1, cross_zone_cost=0.03)
    first = [world.arrive(READ) for _ in range(2 * FIRST)]
    assert {world.known[world.sends(r)[0].endpoint_id].zone for r in first} == {1}
    next_one = world.arrive(READ)
    assert world.known[world.sends(next_one)[0].endpoint_id].zone != 1


def test_zones_do_not_matter_where_crossing_is_free() -> None:
    world = ready_world(8, zone=1)
    churn(world, 100)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {0, 1, 2, 3}


def test_a_dearer_request_takes_the_buffer_from_a_cheaper_one() -> None:
    world = ready_world()
    cheap = fill(world)[-1]
    dear = world.arrive(PAY)
    assert isinstance(world.answer(cheap), Shed) and world.answer(dear) is None
    late = world.arrive(READ)
    assert isinstance(world.answer(late), Shed)
    world.end(world.sends()[0].request_id, 0, Outcome.OK)
    assert world.sends(dear)


def test_a_tenant_beyond_its_share_yields_the_buffer() -> None:
    world = ready_world(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        world.arrive(READ, tenant_index=0)
    holder = world.balancer.admission.buffer
    assert holder is not None and holder.event.tenant_index == 0
    modest = world.arrive(READ, tenant_index=1)
    assert world.answer(modest) is None and world.answer(holder.event.request_id) is not None


def test_a_late_answer_gets_a_copy_elsewhere_and_the_first_may_still_answer() -> None:
    world = ready_world()
    request = world.arrive(READ)
    world.advance(250_000)
    first, second = world.sends(request)
    assert first.endpoint_id != second.endpoint_id
    world.end(request, 0, Outcome.OK)
    assert world.answer(request) is None and world.owed[request].answers == 1


def late_and_copied(world: World) -> int:
    """A request whose first attempt is late and whose copy has answered."""
    request = world.arrive(READ)
    world.advance(200_000)
    assert len(world.sends(request)) == 2
    world.end(request, 1, Outcome.OK)
    return request


@pytest.mark.parametrize("cancel", [True, False])
def test_an_attempt_that_lost_to_its_copy_is_cancelled_where_that_is_allowed(cancel: bool) -> None:
    world = ready_world(cancel_attempts=cancel)
    request = late_and_copied(world)
    cancelled = [a for a in world.log if isinstance(a, CancelAttempt)]
    assert cancelled == ([CancelAttempt(request, 0)] if cancel else [])


def test_an_upstream_whose_attempts_lose_to_copies_is_drawn_less() -> None:
    world = ready_world()
    request = late_and_copied(world)
    slow = world.sends(request)[0].endpoint_id
    before = world.balancer.endpoints[slow].slot_limit
    world.end(request, 0, Outcome.CANCELLED)
    assert world.balancer.endpoints[slow].slot_limit < before and world.balancer.endpoints[slow].latency_ratio > 1


@pytest.mark.parametrize(("class_index", "second_copies"), [(PAY, True), (READ, False)])
def test_no_copy_where_none_is_allowed(class_index: int, second_copies: bool) -> None:
    world = ready_world(hedging=second_copies)
    request = world.arrive(class_index)
    world.advance(250_000)
    assert len(world.sends(request)) == 1


def test_no_copy_while_others_wait_for_a_slot() -> None:
    world = ready_world()
    fill(world)
    world.advance(140_000)
    fill(world)
    world.advance(20_000)
    assert all(len(owed.tries) <= 1 for owed in world.owed.values())


def test_answers_that_took_no_measurable_time_do_no_harm() -> None:
    world = ready_world()
    churn(world, 50, took_us=0)
    waiting, last = fill(world)[-1], world.arrive(PAY)
    assert [world.answer(r) is None for r in (waiting, last)].count(True) == 1


@pytest.mark.parametrize(("class_index", "again"), [(READ, True), (MARK, True), (PAY, False)])
def test_an_error_is_reissued_where_the_class_may_run_again(class_index: int, again: bool) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, Outcome.ERROR)
    assert (len(world.sends(request)) == 2) is again


def test_the_first_slots_are_whole_ones_however_many_sidecars_there_are() -> None:
    few, many = ready_world(4, fleet_size=3), ready_world(4, fleet_size=400)
    assert len(fill(many)) == len(fill(few)) == 4 * FIRST + 1


def test_a_sidecar_that_starts_busy_refuses_nothing_that_three_requests_an_upstream_can_hold() -> None:
    world = ready_world(10)
    assert all(world.sends(world.arrive(READ)) for _ in range(30))


def slow_spell(world: World, seconds: int) -> None:
    """Every answer takes longer than the aim."""
    for _ in range(seconds):
        world.arrive(PAY)
        world.advance(1_000_000)


def test_while_all_upstreams_are_slow_a_light_sidecar_sends_less_and_recovers() -> None:
    world = ready_world(40, fleet_size=400)
    slow_spell(world, 30)
    assert 3 <= len(world.sends()) <= 12
    churn(world, 300)
    before = len(world.sends())
    churn(world, 20)
    assert len(world.sends()) - before == 20


def test_one_slow_answer_among_quick_ones_thins_nothing() -> None:
    world = ready_world(40, fleet_size=400)
    churn(world, 30, class_index=PAY)
    slow_spell(world, 1)
    before = len(world.sends())
    churn(world, 10, class_index=PAY)
    assert len(world.sends()) - before == 10


def test_two_slow_answers_of_a_light_sidecar_thin_little() -> None:
    world = ready_world(6)
    churn(world, 12, took_us=120_000)
    world.advance(5_000_000)
    for _ in range(2):
        request = world.arrive(PAY)
        world.advance(290_000)
        world.end(request, 0, Outcome.OK)
    later = [world.arrive(PAY) for _ in range(6)]
    assert sum(1 for request in later if world.sends(request)) >= 3  # else none


def test_what_the_own_zone_thins_out_goes_to_another_zone() -> None:
    world = ready_world(8, zone=1, cross_zone_cost=0.2, fleet_size=400)
    churn(world, 30, class_index=PAY)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {1}
    before = len(world.sends())
    for _ in range(30):
        request = world.arrive(PAY)
        home = [s for s in world.sends(request) if world.known[s.endpoint_id].zone == 1]
        world.advance(300_000 if home else 20_000)
        if not home and world.owed[request].out():
            world.end(request, 0, Outcome.OK)
    crossed = [s for s in world.sends()[before:] if world.known[s.endpoint_id].zone != 1]
    assert len(crossed) >= 10 and len(world.sends()) - before >= 25


def test_when_every_attempt_fails_not_all_are_repeated() -> None:
    world = ready_world(40, hedging=False)
    errors = 0
    for _ in range(60):
        request = world.arrive(READ)
        world.advance(200_000)
        while world.owed[request].out():
            world.end(request, len(world.owed[request].tries) - 1, Outcome.ERROR)
            errors += 1
    first = sum(1 for owed in world.owed.values() if owed.tries)
    assert 5 <= errors - first <= 5 + first / 5


def test_a_sidecar_with_little_traffic_uses_few_of_many_upstreams() -> None:
    world = ready_world(60, fleet_size=400)
    churn(world, 100, took_us=1_000_000)
    assert len({s.endpoint_id for s in world.sends()}) <= 6


def test_a_sidecar_that_turns_busy_spreads_over_more_upstreams() -> None:
    world = ready_world(60, fleet_size=400)
    churn(world, 600, took_us=20_000)
    assert len({s.endpoint_id for s in world.sends()}) >= 30


def test_an_upstream_slower_than_the_others_is_drawn_less() -> None:
    world = ready_world(4, hedging=False)
    for _ in range(200):
        request = world.arrive(READ)
        slow = world.sends(request)[0].endpoint_id == 100
        world.advance(120_000 if slow else 30_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 25


def test_upstreams_long_gone_leave_no_state() -> None:
    world = ready_world(4)
    for n in range(50):
        world.tell_list([Endpoint(1000 + n)], UpdateKind.DELTA)
        churn(world, 5)
        world.tell_list([Endpoint(1000 + n, EndpointStatus.REMOVED)], UpdateKind.DELTA)
    assert len(world.balancer.endpoints) == 4 and len(world.balancer.pools[0].in_use) <= 4


def busy_world() -> World:
    """One upstream whose slots have opened under need."""
    world = ready_world(1)
    for _ in range(80):
        fill(world)
        churn(world, 1, took_us=20_000)
    churn(world, 1)
    return world


def test_one_natural_error_leaves_an_upstream_its_other_slots() -> None:
    world = busy_world()
    before = held(world)
    world.end(world.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert held(world) >= before / 2 - 1


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_faults_here_and_there_among_good_answers_close_no_slot(outcome: Outcome) -> None:
    world = busy_world()
    before = held(world)
    churn(world, 1)  # what was left waiting
    for _ in range(20):
        request = world.arrive(PAY)
        world.end(request, 0, outcome)
        world.advance(20_000)
        if world.owed[request].out():  # what never ran goes out again
            world.end(request, 1, Outcome.OK)
        for _ in range(4):
            world.end(world.arrive(PAY), 0, Outcome.OK)
    assert before >= 4
    assert held(world) >= before


@pytest.mark.parametrize("class_index", [READ, PAY])
def test_rejected_requests_fail_at_once_and_are_not_held_against_the_upstream(class_index: int) -> None:
    world = busy_world()
    before = held(world)
    churn(world, 1)  # what was left waiting
    for _ in range(20):
        request = world.arrive(class_index)
        world.end(request, 0, Outcome.REJECTED)
        assert isinstance(world.answer(request), Fail) and len(world.sends(request)) == 1
    assert before >= 4
    assert held(world) >= before


def test_one_heavy_request_among_quick_answers_closes_no_slot() -> None:
    world = busy_world()
    before = held(world)
    churn(world, 1, took_us=170_000)  # over half the aim
    assert held(world) >= before - 1


def test_without_need_no_further_slot_opens() -> None:
    world = ready_world(40, fleet_size=24)
    churn(world, 400)
    assert all(server.slot_limit <= FIRST for server in world.balancer.endpoints.values())


def test_slots_go_on_opening_for_two_aims_after_a_shortage_and_no_longer() -> None:
    windows = []
    for pause_us in (300_000, 900_000):
        world = ready_world(1)
        taken = fill(world)
        world.advance(10_000)
        for request in taken:
            world.end(request, 0, Outcome.OK)
        world.advance(pause_us)
        before = world.balancer.endpoints[100].slot_limit
        churn(world, 3)
        windows.append(world.balancer.endpoints[100].slot_limit - before)
    assert windows[0] > 0 and windows[1] == 0


def test_quicker_answers_open_slots_faster() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        world = ready_world(4)
        for _ in range(6):
            fill(world)
            churn(world, 1, took_us=took_us)
        churn(world, 1, took_us=took_us)
        counts.append(held(world))
    assert counts[0] > counts[1]


def test_a_request_known_to_be_heavy_is_not_timed_out_early() -> None:
    world = ready_world(hedging=False)
    churn(world, 50)
    light, heavy = world.arrive(READ, expected_work_us=10_000), world.arrive(READ, expected_work_us=200_000)
    assert world.sends(light)[0].timeout_us < 200_000 < 800_000 <= world.sends(heavy)[0].timeout_us


def log_lines(world: World) -> list[str]:
    return [action.text for action in world.log if isinstance(action, LogMessage)]


def test_a_failing_upstream_is_logged_when_it_rests_and_when_it_is_back() -> None:
    world = ready_world(2)
    churn(world, 200, 100)
    assert log_lines(world) == ["endpoint 100 ejected"]
    churn(world, 1000)
    assert log_lines(world) == ["endpoint 100 ejected", "endpoint 100 readmitted"]


def test_overload_is_logged_when_it_begins_and_ends() -> None:
    world = ready_world(2)
    for _ in range(100):
        world.arrive(READ)
    assert log_lines(world) == ["overload begins"]
    world.advance(5_000_000)
    churn(world, 1500)
    assert log_lines(world)[-1] == "overload ends"


def test_log_lines_are_few_on_the_worst_day() -> None:
    world = ready_world(50)
    begin_us = world.now_us
    for fault in (Outcome.OVERLOADED, Outcome.OK, Outcome.OVERLOADED, Outcome.OK):
        for _ in range(30):
            churn_all(world, fault)
    assert 1 <= len(log_lines(world)) <= 1 + (world.now_us - begin_us) / 1_000_000


def churn_all(world: World, outcome: Outcome) -> None:
    """A few requests, and one outcome for all that is out."""
    for _ in range(20):
        world.arrive(PAY)
    world.advance(10_000)
    for ident, owed in list(world.owed.items()):
        for attempt in owed.out():
            world.end(ident, attempt, outcome)


@pytest.mark.parametrize("second_copies", [True, False])
def test_after_an_outage_that_every_answer_outlasted_requests_are_tried_again(second_copies: bool) -> None:
    world = ready_world(2, hedging=second_copies)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            world.arrive(class_index)
        world.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        churn(world, 20, class_index=class_index)
        before = len(world.sends())
        churn(world, 20, class_index=class_index)
        assert len(world.sends()) - before >= 15


# Long bodies and answers


def coming(world: World, class_index: int = READ) -> int:
    """A request whose body is still coming; its client waits for as long as that takes."""
    request = world.arrive(class_index, body_complete=False)
    world.owed[request].tries[0].ends_us += 3_600_000_000
    return request


def test_a_body_that_takes_long_to_come_holds_no_slot_and_no_time_runs() -> None:
    world = ready_world(1)
    requests = [coming(world) for _ in range(2 * FIRST)]
    assert len(world.sends()) == 2 * FIRST and world.balancer.endpoints[100].slots_used == 0
    assert len(fill(world)) == FIRST + 1
    world.balancer.handle(world.now_us + 3_000_000, TimerFired(0))
    assert not any(world.answer(request) for request in requests)


def test_the_time_of_a_long_body_begins_with_its_last_byte() -> None:
    world = ready_world(1)
    request = coming(world)
    world.now_us += 5_000_000
    world.owed[request].event.deadline_us = world.now_us + 1_000_000
    world.tell(RequestBodyComplete(request, world.now_us + 1_000_000))
    assert world.balancer.endpoints[100].slots_used == 1
    pace = world.balancer.endpoints[100].latency_ratio
    world.owed[request].tries[0].sent_us = world.now_us
    world.now_us += 10_000
    world.end(request, 0, Outcome.OK)
    assert world.balancer.endpoints[100].slots_used == 0 and world.balancer.endpoints[100].latency_ratio <= pace


@pytest.mark.parametrize(
    ("outcome", "answer"), [(Outcome.CONNECT_FAILED, Shed), (Outcome.OVERLOADED, Shed), (Outcome.RESET, Fail)]
)
def test_a_body_that_has_passed_is_not_sent_again(outcome: Outcome, answer: type) -> None:
    world = ready_world()
    request = coming(world, PAY)
    world.tell(RequestNotReplayable(request))
    world.end(request, 0, outcome)
    assert len(world.sends(request)) == 1 and isinstance(world.answer(request), answer)


def test_a_body_of_which_all_is_held_is_sent_again_where_it_never_ran() -> None:
    world = ready_world()
    request = coming(world, PAY)
    world.now_us += 2_000_000  # its client is slow; that is no time of ours
    world.end(request, 0, Outcome.CONNECT_FAILED)
    assert len(world.sends(request)) == 2 and world.answer(request) is None


def test_the_first_bytes_of_a_long_answer_free_its_slot_and_cancel_the_copy() -> None:
    world = ready_world(cancel_attempts=True, hedging=True)
    request = world.arrive(READ)
    world.advance(160_000)
    first, second = world.owed[request].tries
    world.begin_stream(request, 1)
    assert CancelAttempt(request, 0) in world.log and CancelAttempt(request, 1) not in world.log
    assert [world.balancer.endpoints[t.upstream].slots_used for t in (first, second)] == [1, 0]
    pace = world.balancer.endpoints[second.upstream].latency_ratio
    world.end(request, 0, Outcome.CANCELLED)
    world.now_us += 20_000_000  # the client reads slowly; that is no fault of the upstream
    world.end(request, 1, Outcome.OK)
    assert world.balancer.endpoints[second.upstream].latency_ratio == pace
    assert all(server.slots_used == 0 for server in world.balancer.endpoints.values())
    assert request not in world.balancer.requests


def test_a_long_answer_that_breaks_is_not_asked_for_again() -> None:
    world = ready_world()
    request = world.arrive(READ)
    world.begin_stream(request, 0)
    world.end(request, 0, Outcome.RESET)
    assert len(world.sends(request)) == 1 and world.answer(request) is None


# New settings


def retune(world: World, **changes: object) -> None:
    before, world.settings = world.settings, settings(**changes)
    world.tell(
        SettingsChanged(
            world.settings,
            previous_indexes(world.settings.classes, before.classes),
            previous_indexes(world.settings.tenants, before.tenants),
        )
    )


def test_a_request_under_way_keeps_its_class_when_the_classes_change_places() -> None:
    world = ready_world()
    unsafe, safe = world.arrive(PAY), world.arrive(READ)
    retune(world, classes=list(reversed(settings().classes)))
    for request in (unsafe, safe):
        world.balancer.handle(
            world.now_us, AttemptEnded(request, 0, world.owed[request].tries[0].upstream, Outcome.ERROR, 1000)
        )
    assert world.balancer.requests.keys() == {safe}  # sent again; the unsafe one has failed


def test_what_was_learnt_of_a_class_goes_with_its_name() -> None:
    world = ready_world()
    churn(world, 30, class_index=PAY, took_us=77_000)
    learnt = world.balancer.context.class_states[PAY].mean_response_us
    new = RequestClass("new", latency_objective_us=400_000, deadline_us=1_000_000)
    retune(world, classes=[new, settings().classes[PAY]])
    assert [kind.mean_response_us for kind in world.balancer.context.class_states] == [100_000, learnt]
    assert world.sends(world.arrive(0)) and world.sends(world.arrive(1))


def test_a_stricter_effect_holds_for_new_requests_at_once() -> None:
    world = ready_world()
    strict = [dataclasses.replace(kind, effect="at_most_once") for kind in settings().classes]
    retune(world, classes=strict)
    request = world.arrive(READ)
    world.end(request, 0, Outcome.ERROR)
    assert len(world.sends(request)) == 1 and isinstance(world.answer(request), Fail)


def test_fewer_attempts_hold_at_once_and_more_only_for_new_requests() -> None:
    world = ready_world(max_attempts=3)
    under_way = world.arrive(READ)
    retune(world, max_attempts=1)
    world.end(under_way, 0, Outcome.OVERLOADED)
    assert len(world.sends(under_way)) == 1
    under_way = world.arrive(READ)
    retune(world, max_attempts=3)
    world.end(under_way, 0, Outcome.OVERLOADED)
    assert len(world.sends(under_way)) == 1
    request = world.arrive(READ)
    world.end(request, 0, Outcome.OVERLOADED)
    assert len(world.sends(request)) == 2


def test_the_shares_of_tenants_go_with_their_names() -> None:
    big, small = Tenant("big", 100.0), Tenant("small", 100.0)
    world = ready_world(tenants=[big, small], over_quota_weight=0.1)
    for _ in range(100):
        world.end(world.arrive(READ, tenant_index=0), 0, Outcome.OK)
    retune(world, tenants=[small, Tenant("new", 0.0), big], over_quota_weight=0.1)
    seen = [party.recent_arrivals for party in world.balancer.context.tenant_states]
    assert seen[0] == seen[1] == 0.0 and seen[2] > 50.0
    for tenant in (0, 1, 2, 3):
        assert world.sends(world.arrive(READ, tenant_index=tenant))


def test_clients_that_come_again_yield_to_new_ones_while_requests_are_thinned_out() -> None:
    world = ready_world()
    pool = world.balancer.pools[0]
    assert world.sends(world.arrive(READ, client_retry=True))
    pool.admitted_fraction, pool.admission_credit = 0.5, 2.0
    again = world.arrive(READ, client_retry=True)
    assert not world.sends(again)
    assert world.sends(world.arrive(READ))
    world.advance(1_000_000)
    pool.admitted_fraction, pool.admission_credit = 1.0, 1.0
    assert world.sends(world.arrive(READ, client_retry=True))


def test_one_slow_answer_does_not_keep_out_clients_that_come_again() -> None:
    world = ready_world()
    churn(world, 20)
    churn(world, 1, took_us=250_000)
    assert world.sends(world.arrive(READ, client_retry=True))
