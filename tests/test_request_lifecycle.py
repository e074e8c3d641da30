"""Long bodies and responses: when slots are held and time runs."""

from __future__ import annotations

import pytest

from garnetusher.policy.actions import CancelAttempt, Fail, Shed
from garnetusher.policy.events import (
    Outcome,
    RequestBodyComplete,
    RequestNotReplayable,
    TimerFired,
)
from tests.policy_driver import (
    FIRST,
    PAY,
    READ,
    fill,
    ready_world,
)
from tests.world import World


def arrive_with_partial_body(world: World, class_index: int = READ) -> int:
    """A request whose body is still coming; its client waits for as long as that takes."""
    request = world.arrive(class_index, body_complete=False)
    world.owed[request].tries[0].ends_us += 3_600_000_000
    return request


def test_request_holds_no_slot_and_has_no_timeout_when_its_body_is_coming() -> None:
    world = ready_world(1)
    requests = [arrive_with_partial_body(world) for _ in range(2 * FIRST)]
    assert len(world.sends()) == 2 * FIRST
    assert world.balancer.endpoints[100].slots_used == 0
    assert len(fill(world)) == FIRST + 1
    world.balancer.handle(world.now_us + 3_000_000, TimerFired(0))
    assert not any(world.answer(request) for request in requests)


def test_request_clock_starts_when_its_body_is_complete() -> None:
    world = ready_world(1)
    request = arrive_with_partial_body(world)
    world.now_us += 5_000_000
    world.owed[request].event.deadline_us = world.now_us + 1_000_000
    world.tell(RequestBodyComplete(request, world.now_us + 1_000_000))
    assert world.balancer.endpoints[100].slots_used == 1
    pace = world.balancer.endpoints[100].latency_ratio
    world.owed[request].tries[0].sent_us = world.now_us
    world.now_us += 10_000
    world.end(request, 0, Outcome.OK)
    assert world.balancer.endpoints[100].slots_used == 0
    assert world.balancer.endpoints[100].latency_ratio <= pace


@pytest.mark.parametrize(
    ("outcome", "answer"), [(Outcome.CONNECT_FAILED, Shed), (Outcome.OVERLOADED, Shed), (Outcome.RESET, Fail)]
)
def test_request_is_not_retried_when_its_body_is_not_replayable(outcome: Outcome, answer: type) -> None:
    world = ready_world()
    request = arrive_with_partial_body(world, PAY)
    world.tell(RequestNotReplayable(request))
    world.end(request, 0, outcome)
    assert len(world.sends(request)) == 1
    assert isinstance(world.answer(request), answer)


def test_request_is_retried_when_its_body_is_buffered_and_it_never_ran() -> None:
    world = ready_world()
    request = arrive_with_partial_body(world, PAY)
    world.now_us += 2_000_000  # its client is slow; that is no time of ours
    world.end(request, 0, Outcome.CONNECT_FAILED)
    assert len(world.sends(request)) == 2
    assert world.answer(request) is None


def test_response_frees_its_slot_and_cancels_the_hedge_when_it_starts() -> None:
    world = ready_world(cancel_attempts=True, hedging=True)
    request = world.arrive(READ)
    world.advance(160_000)
    first, second = world.owed[request].tries
    world.begin_stream(request, 1)
    assert CancelAttempt(request, 0) in world.log
    assert CancelAttempt(request, 1) not in world.log
    assert [world.balancer.endpoints[t.upstream].slots_used for t in (first, second)] == [1, 0]
    pace = world.balancer.endpoints[second.upstream].latency_ratio
    world.end(request, 0, Outcome.CANCELLED)
    world.now_us += 20_000_000  # the client reads slowly; that is no fault of the upstream
    world.end(request, 1, Outcome.OK)
    assert world.balancer.endpoints[second.upstream].latency_ratio == pace
    assert all(server.slots_used == 0 for server in world.balancer.endpoints.values())
    assert request not in world.balancer.requests


def test_request_is_not_retried_when_a_started_response_breaks() -> None:
    world = ready_world()
    request = world.arrive(READ)
    world.begin_stream(request, 0)
    world.end(request, 0, Outcome.RESET)
    assert len(world.sends(request)) == 1
    assert world.answer(request) is None
