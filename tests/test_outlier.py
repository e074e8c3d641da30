"""Outlier detection: failures close slots, and the log reports ejections."""

from __future__ import annotations

import pytest

from garnetusher.policy.actions import Fail
from garnetusher.policy.events import (
    Outcome,
)
from tests.policy_driver import (
    PAY,
    READ,
    available_slots,
    busy_world,
    churn,
    churn_all,
    hedged_request,
    log_lines,
    ready_world,
)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_outlier_draws_no_more_requests_when_it_fails_immediately(outcome: Outcome) -> None:
    world = ready_world(5)
    churn(world, 200, 100, outcome)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 20


def test_outlier_is_readmitted_when_it_answers_again() -> None:
    world = ready_world(2)
    churn(world, 40, 100)
    churn(world, 1000)
    assert sum(1 for s in world.sends()[-200:] if s.endpoint_id == 100) > 30


def test_outlier_loses_slots_when_its_attempts_lose_to_hedges() -> None:
    world = ready_world()
    request = hedged_request(world)
    slow_endpoint_id = world.sends(request)[0].endpoint_id
    before = world.balancer.endpoints[slow_endpoint_id].slot_limit
    world.end(request, 0, Outcome.CANCELLED)
    assert world.balancer.endpoints[slow_endpoint_id].slot_limit < before
    assert world.balancer.endpoints[slow_endpoint_id].latency_ratio > 1


def test_outlier_detection_keeps_other_slots_when_one_error_occurs() -> None:
    world = busy_world()
    before = available_slots(world)
    world.end(world.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert available_slots(world) >= before / 2 - 1


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_outlier_detection_closes_no_slot_when_failures_are_single(outcome: Outcome) -> None:
    world = busy_world()
    before = available_slots(world)
    churn(world, 1)  # ends the attempts that are still outstanding
    for _ in range(20):
        request = world.arrive(PAY)
        world.end(request, 0, outcome)
        world.advance(20_000)
        if world.owed[request].out():  # an attempt that never ran is retried
            world.end(request, 1, Outcome.OK)
        for _ in range(4):
            world.end(world.arrive(PAY), 0, Outcome.OK)
    assert before >= 4
    assert available_slots(world) >= before


@pytest.mark.parametrize("class_index", [READ, PAY])
def test_outlier_detection_ignores_an_endpoint_when_it_rejects_requests(class_index: int) -> None:
    world = busy_world()
    before = available_slots(world)
    churn(world, 1)  # ends the attempts that are still outstanding
    for _ in range(20):
        request = world.arrive(class_index)
        world.end(request, 0, Outcome.REJECTED)
        assert isinstance(world.answer(request), Fail)
        assert len(world.sends(request)) == 1
    assert before >= 4
    assert available_slots(world) >= before


def test_outlier_detection_closes_no_slot_when_one_request_is_heavy() -> None:
    world = busy_world()
    before = available_slots(world)
    churn(world, 1, took_us=170_000)  # longer than half the latency objective
    assert available_slots(world) >= before - 1


def test_log_reports_an_outlier_when_it_is_ejected_and_readmitted() -> None:
    world = ready_world(2)
    churn(world, 200, 100)
    assert log_lines(world) == ["endpoint 100 ejected"]
    churn(world, 1000)
    assert log_lines(world) == ["endpoint 100 ejected", "endpoint 100 readmitted"]


def test_log_lines_are_few_when_all_endpoints_fail_and_recover() -> None:
    world = ready_world(50)
    begin_us = world.now_us
    for outcome in (Outcome.OVERLOADED, Outcome.OK, Outcome.OVERLOADED, Outcome.OK):
        for _ in range(30):
            churn_all(world, outcome)
    assert 1 <= len(log_lines(world)) <= 1 + (world.now_us - begin_us) / 1_000_000
