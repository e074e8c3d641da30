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
    hedged_request,
    host_with_grown_slots,
    log_lines,
    ready_host,
    run_traffic,
    send_and_end_requests,
)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_outlier_receives_few_requests_when_it_fails_immediately(outcome: Outcome) -> None:
    host = ready_host(5)
    run_traffic(host, 200, 100, outcome)
    assert sum(1 for s in host.forward_actions() if s.endpoint_id == 100) < 20


def test_outlier_is_readmitted_when_it_answers_again() -> None:
    host = ready_host(2)
    run_traffic(host, 40, 100)
    run_traffic(host, 1000)
    assert sum(1 for s in host.forward_actions()[-200:] if s.endpoint_id == 100) > 30


def test_outlier_loses_slots_when_its_attempts_lose_to_hedges() -> None:
    host = ready_host()
    request = hedged_request(host)
    slow_endpoint_id = host.forward_actions(request)[0].endpoint_id
    before = host.balancer.endpoints[slow_endpoint_id].slot_limit
    host.end(request, 0, Outcome.CANCELLED)
    assert host.balancer.endpoints[slow_endpoint_id].slot_limit < before
    assert host.balancer.endpoints[slow_endpoint_id].latency_ratio > 1


def test_outlier_detection_keeps_half_of_the_slots_when_one_error_occurs() -> None:
    host = host_with_grown_slots()
    before = available_slots(host)
    host.end(host.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert available_slots(host) >= before / 2 - 1


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_outlier_detection_closes_no_slot_when_failures_are_single(outcome: Outcome) -> None:
    host = host_with_grown_slots()
    before = available_slots(host)
    run_traffic(host, 1)  # ends the attempts that are still outstanding
    for _ in range(20):
        request = host.arrive(PAY)
        host.end(request, 0, outcome)
        host.advance(20_000)
        if host.request_records[request].outstanding_indexes():  # an attempt that never ran is retried
            host.end(request, 1, Outcome.OK)
        for _ in range(4):
            host.end(host.arrive(PAY), 0, Outcome.OK)
    assert before >= 4
    assert available_slots(host) >= before


@pytest.mark.parametrize("class_index", [READ, PAY])
def test_outlier_detection_closes_no_slot_when_an_endpoint_rejects_requests(class_index: int) -> None:
    host = host_with_grown_slots()
    before = available_slots(host)
    run_traffic(host, 1)  # ends the attempts that are still outstanding
    for _ in range(20):
        request = host.arrive(class_index)
        host.end(request, 0, Outcome.REJECTED)
        assert isinstance(host.answer(request), Fail)
        assert len(host.forward_actions(request)) == 1
    assert before >= 4
    assert available_slots(host) >= before


def test_outlier_detection_closes_no_slot_when_one_request_is_expensive() -> None:
    host = host_with_grown_slots()
    before = available_slots(host)
    run_traffic(host, 1, response_time_us=170_000)  # longer than half the latency objective
    assert available_slots(host) >= before - 1


def test_log_reports_an_outlier_when_it_is_ejected_and_readmitted() -> None:
    host = ready_host(2)
    run_traffic(host, 200, 100)
    assert log_lines(host) == ["endpoint 100 ejected"]
    run_traffic(host, 1000)
    assert log_lines(host) == ["endpoint 100 ejected", "endpoint 100 readmitted"]


def test_log_lines_are_few_when_all_endpoints_fail_and_recover() -> None:
    host = ready_host(50)
    begin_us = host.now_us
    for outcome in (Outcome.OVERLOADED, Outcome.OK, Outcome.OVERLOADED, Outcome.OK):
        for _ in range(30):
            send_and_end_requests(host, outcome)
    assert 1 <= len(log_lines(host)) <= 1 + (host.now_us - begin_us) / 1_000_000
