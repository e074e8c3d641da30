"""Retries, hedged requests, timeouts, and the timers that they use."""

from __future__ import annotations

import pytest

from garnetusher.policy.actions import CancelAttempt, Fail
from garnetusher.policy.events import (
    Outcome,
)
from tests.policy_driver import (
    MARK,
    PAY,
    READ,
    fill_slots,
    hedged_request,
    ready_host,
    run_traffic,
)


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_retry_goes_to_another_endpoint_when_an_attempt_never_ran(outcome: Outcome, class_index: int) -> None:
    host = ready_host()
    request = host.arrive(class_index)
    host.end(request, 0, outcome)
    first, second = host.forward_actions(request)
    assert first.endpoint_id != second.endpoint_id


def test_retry_is_not_sent_when_an_at_most_once_request_may_have_run() -> None:
    host = ready_host()
    request = host.arrive(PAY)
    host.end(request, 0, Outcome.RESET)
    assert isinstance(host.answer(request), Fail)
    assert len(host.forward_actions(request)) == 1


def test_timeout_ends_at_the_latency_objective_when_a_request_is_at_most_once() -> None:
    host = ready_host()
    request = host.arrive(PAY)  # a response after the objective earns no weight in this class
    host.advance(290_000)
    assert host.answer(request) is None
    host.advance(20_000)
    assert isinstance(host.answer(request), Fail)


def test_timeout_ends_at_the_deadline_when_a_late_response_earns_weight() -> None:
    host = ready_host(max_attempts=1)
    request = host.arrive(READ)
    host.advance(1_400_000)
    assert host.answer(request) is None


def test_outdated_timer_arms_no_other_timer_when_it_fires() -> None:
    host = ready_host(2)
    for _ in range(50):
        fill_slots(host)
        host.advance(1_000)
        for request, record in list(host.request_records.items()):
            for index in record.outstanding_indexes():
                host.end(request, index, Outcome.OVERLOADED)
    host.advance(10_000_000)
    assert len(host.timers) == 0


def test_hedge_goes_to_another_endpoint_and_the_first_attempt_may_still_answer_when_it_is_slow() -> None:
    host = ready_host()
    request = host.arrive(READ)
    host.advance(250_000)
    first, second = host.forward_actions(request)
    assert first.endpoint_id != second.endpoint_id
    host.end(request, 0, Outcome.OK)
    assert host.answer(request) is None
    assert host.request_records[request].answer_count == 1


@pytest.mark.parametrize("cancel", [True, False])
def test_hedge_cancels_the_losing_attempt_when_that_is_allowed(cancel: bool) -> None:
    host = ready_host(cancel_attempts=cancel)
    request = hedged_request(host)
    cancelled = [action for action in host.actions if isinstance(action, CancelAttempt)]
    assert cancelled == ([CancelAttempt(request, 0)] if cancel else [])


@pytest.mark.parametrize(("class_index", "hedging"), [(PAY, True), (READ, False)])
def test_hedge_is_not_sent_when_it_is_not_allowed(class_index: int, hedging: bool) -> None:
    host = ready_host(hedging=hedging)
    request = host.arrive(class_index)
    host.advance(250_000)
    assert len(host.forward_actions(request)) == 1


def test_hedge_is_not_sent_when_a_request_waits_for_a_slot() -> None:
    host = ready_host()
    fill_slots(host)
    host.advance(140_000)
    fill_slots(host)
    host.advance(20_000)
    assert all(len(record.attempts) <= 1 for record in host.request_records.values())


@pytest.mark.parametrize(("class_index", "is_retried"), [(READ, True), (MARK, True), (PAY, False)])
def test_error_is_retried_when_the_effect_of_the_class_allows_it(class_index: int, is_retried: bool) -> None:
    host = ready_host()
    request = host.arrive(class_index)
    host.end(request, 0, Outcome.ERROR)
    assert (len(host.forward_actions(request)) == 2) is is_retried


def test_retry_budget_limits_retries_when_every_attempt_fails() -> None:
    host = ready_host(40, hedging=False)
    errors = 0
    for _ in range(60):
        request = host.arrive(READ)
        host.advance(200_000)
        while host.request_records[request].outstanding_indexes():
            host.end(request, len(host.request_records[request].attempts) - 1, Outcome.ERROR)
            errors += 1
    first_attempts = sum(1 for record in host.request_records.values() if record.attempts)
    # the budget holds 5 retries at first and grows by a fifth of a retry with each first attempt
    assert 5 <= errors - first_attempts <= 5 + first_attempts / 5


def test_timeout_is_longer_when_the_expected_work_is_large() -> None:
    host = ready_host(hedging=False)
    run_traffic(host, 50)
    small, large = host.arrive(READ, expected_work_us=10_000), host.arrive(READ, expected_work_us=200_000)
    assert host.forward_actions(small)[0].timeout_us < 200_000
    assert host.forward_actions(large)[0].timeout_us >= 800_000


@pytest.mark.parametrize("hedging", [True, False])
def test_requests_are_forwarded_again_when_an_outage_without_responses_has_ended(hedging: bool) -> None:
    host = ready_host(2, hedging=hedging)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            host.arrive(class_index)
        host.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        run_traffic(host, 20, class_index=class_index)
        before = len(host.forward_actions())
        run_traffic(host, 20, class_index=class_index)
        assert len(host.forward_actions()) - before >= 15
