"""Admission: the one-request buffer, shed load, quotas, client retries and reduced admission."""

from __future__ import annotations

from garnetusher.policy.actions import Shed
from garnetusher.policy.events import (
    Endpoint,
    Outcome,
)
from garnetusher.policy.settings import Tenant
from tests.policy_driver import (
    PAY,
    READ,
    churn,
    fill,
    log_lines,
    ready_world,
)
from tests.world import World


def test_admission_buffers_one_request_and_sheds_the_next_when_no_slot_is_free() -> None:
    world = ready_world()
    taken = fill(world)
    assert world.answer(taken[-1]) is None
    last = world.arrive(READ)
    answer = world.answer(last)
    assert isinstance(answer, Shed)
    assert answer.retry_after_us > 0


def test_buffer_is_forwarded_when_a_slot_frees() -> None:
    world = ready_world()
    taken = fill(world)
    freed = world.sends(taken[0])[0].endpoint_id
    world.end(taken[0], 0, Outcome.OK)
    assert [s.endpoint_id for s in world.sends(taken[-1])] == [freed]


def test_buffer_is_shed_when_it_has_waited_half_the_objective() -> None:
    world = ready_world()
    waiting = fill(world)[-1]
    world.advance(200_000)
    assert isinstance(world.answer(waiting), Shed)


def test_admission_sheds_when_the_deadline_is_too_near() -> None:
    world = ready_world()
    request = world.arrive(READ, patience_us=1_000)
    assert isinstance(world.answer(request), Shed)
    assert not world.sends(request)


def test_admission_buffers_then_sheds_when_no_endpoint_is_ready() -> None:
    world = World()
    world.tell_list([])
    request = world.arrive(READ)
    world.advance(400_000)
    assert isinstance(world.answer(request), Shed)
    world.tell_list([Endpoint(5)])
    assert world.sends(world.arrive(READ))


def test_buffer_prefers_the_request_of_higher_weight_when_two_wait() -> None:
    world = ready_world()
    cheap = fill(world)[-1]
    dear = world.arrive(PAY)
    assert isinstance(world.answer(cheap), Shed)
    assert world.answer(dear) is None
    late = world.arrive(READ)
    assert isinstance(world.answer(late), Shed)
    world.end(world.sends()[0].request_id, 0, Outcome.OK)
    assert world.sends(dear)


def test_buffer_prefers_a_tenant_within_its_quota_when_two_wait() -> None:
    world = ready_world(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_quota_weight=0.1)
    for _ in range(50):
        world.arrive(READ, tenant_index=0)
    holder = world.balancer.admission.buffer
    assert holder is not None
    assert holder.event.tenant_index == 0
    modest = world.arrive(READ, tenant_index=1)
    assert world.answer(modest) is None
    assert world.answer(holder.event.request_id) is not None


def test_admission_buffers_one_request_when_responses_took_no_time() -> None:
    world = ready_world()
    churn(world, 50, took_us=0)
    waiting, last = fill(world)[-1], world.arrive(PAY)
    assert [world.answer(r) is None for r in (waiting, last)].count(True) == 1


def slow_period(world: World, seconds: int) -> None:
    """Every answer takes longer than the aim."""
    for _ in range(seconds):
        world.arrive(PAY)
        world.advance(1_000_000)


def test_admission_falls_and_recovers_when_all_endpoints_are_slow_for_a_while() -> None:
    world = ready_world(40, fleet_size=400)
    slow_period(world, 30)
    assert 3 <= len(world.sends()) <= 12
    churn(world, 300)
    before = len(world.sends())
    churn(world, 20)
    assert len(world.sends()) - before == 20


def test_admission_stays_full_when_one_response_among_quick_ones_is_slow() -> None:
    world = ready_world(40, fleet_size=400)
    churn(world, 30, class_index=PAY)
    slow_period(world, 1)
    before = len(world.sends())
    churn(world, 10, class_index=PAY)
    assert len(world.sends()) - before == 10


def test_admission_falls_little_when_two_responses_of_a_light_sidecar_are_slow() -> None:
    world = ready_world(6)
    churn(world, 12, took_us=120_000)
    world.advance(5_000_000)
    for _ in range(2):
        request = world.arrive(PAY)
        world.advance(290_000)
        world.end(request, 0, Outcome.OK)
    later = [world.arrive(PAY) for _ in range(6)]
    assert sum(1 for request in later if world.sends(request)) >= 3  # else none


def test_log_tells_overload_when_it_begins_and_ends() -> None:
    world = ready_world(2)
    for _ in range(100):
        world.arrive(READ)
    assert log_lines(world) == ["overload begins"]
    world.advance(5_000_000)
    churn(world, 1500)
    assert log_lines(world)[-1] == "overload ends"


def test_admission_holds_off_client_retries_when_little_is_admitted() -> None:
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


def test_admission_takes_client_retries_when_one_response_was_slow() -> None:
    world = ready_world()
    churn(world, 20)
    churn(world, 1, took_us=250_000)
    assert world.sends(world.arrive(READ, client_retry=True))
