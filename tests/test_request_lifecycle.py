"""Long request bodies and responses: when attempts hold slots and when their timeouts start."""

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
    INITIAL_SLOT_LIMIT,
    PAY,
    READ,
    fill_slots,
    ready_host,
)
from tests.policy_host import PolicyHost


def arrive_with_partial_body(host: PolicyHost, class_index: int = READ) -> int:
    """Send a request with an incomplete body; its attempt does not time out before the body is complete."""
    request = host.arrive(class_index, body_complete=False)
    host.request_records[request].attempts[0].ends_us += 3_600_000_000
    return request


def test_request_holds_no_slot_and_has_no_timeout_when_its_body_is_incomplete() -> None:
    host = ready_host(1)
    requests = [arrive_with_partial_body(host) for _ in range(2 * INITIAL_SLOT_LIMIT)]
    assert len(host.forward_actions()) == 2 * INITIAL_SLOT_LIMIT
    assert host.balancer.endpoints[100].slots_used == 0
    assert len(fill_slots(host)) == INITIAL_SLOT_LIMIT + 1
    host.balancer.handle(host.now_us + 3_000_000, TimerFired(0))
    assert not any(host.answer(request) for request in requests)


def test_request_time_limits_start_when_its_body_is_complete() -> None:
    host = ready_host(1)
    request = arrive_with_partial_body(host)
    host.now_us += 5_000_000
    host.request_records[request].event.deadline_us = host.now_us + 1_000_000
    host.deliver(RequestBodyComplete(request, host.now_us + 1_000_000))
    assert host.balancer.endpoints[100].slots_used == 1
    latency_ratio = host.balancer.endpoints[100].latency_ratio
    host.request_records[request].attempts[0].sent_us = host.now_us
    host.now_us += 10_000
    host.end(request, 0, Outcome.OK)
    assert host.balancer.endpoints[100].slots_used == 0
    assert host.balancer.endpoints[100].latency_ratio <= latency_ratio


def test_buffered_request_is_shed_in_time_when_its_body_is_complete_and_its_deadline_is_short() -> None:
    host = ready_host(1)
    fill_slots(host)
    request = host.arrive(PAY, body_complete=False)  # it replaces the request in the buffer
    assert host.answer(request) is None
    deadline_us = host.now_us + 50_000  # a third of the time that a request may spend in the buffer
    host.request_records[request].event.deadline_us = deadline_us
    host.deliver(RequestBodyComplete(request, deadline_us))
    host.advance(50_000)
    assert isinstance(host.answer(request), Shed)


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.CANCELLED])
def test_slow_upload_does_not_make_its_upstream_appear_slow_when_its_attempt_ends(outcome: Outcome) -> None:
    host = ready_host(1)
    request = arrive_with_partial_body(host)
    state, class_state = host.balancer.endpoints[100], host.balancer.context.class_states[READ]
    latency_ratio, slot_limit, mean_response_us = state.latency_ratio, state.slot_limit, class_state.mean_response_us
    host.now_us += 20_000_000  # the client sends slowly, and disconnects or gets its response before the body ends
    host.end(request, 0, outcome)
    assert state.latency_ratio <= latency_ratio
    assert state.slot_limit >= slot_limit
    assert class_state.mean_response_us <= mean_response_us


@pytest.mark.parametrize(
    ("outcome", "answer_type"), [(Outcome.CONNECT_FAILED, Shed), (Outcome.OVERLOADED, Shed), (Outcome.RESET, Fail)]
)
def test_request_is_not_retried_when_its_body_is_not_replayable(outcome: Outcome, answer_type: type) -> None:
    host = ready_host()
    request = arrive_with_partial_body(host, PAY)
    host.deliver(RequestNotReplayable(request))
    host.end(request, 0, outcome)
    assert len(host.forward_actions(request)) == 1
    assert isinstance(host.answer(request), answer_type)


def test_request_is_retried_when_its_body_is_buffered_and_it_never_ran() -> None:
    host = ready_host()
    request = arrive_with_partial_body(host, PAY)
    host.now_us += 2_000_000  # a slow upload does not count towards the deadline
    host.end(request, 0, Outcome.CONNECT_FAILED)
    assert len(host.forward_actions(request)) == 2
    assert host.answer(request) is None


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.OK])
def test_endpoint_does_not_appear_slow_when_its_client_sends_slowly(outcome: Outcome) -> None:
    """The client leaves, or the endpoint responds, before the body is complete; its response time has not begun."""
    host = ready_host(1)
    request = arrive_with_partial_body(host)
    state = host.balancer.endpoints[100]
    class_state = host.balancer.requests[request].class_state
    before = (state.latency_ratio, state.slot_limit, class_state.mean_response_us)
    host.now_us += 20_000_000
    host.end(request, 0, outcome)
    assert (state.latency_ratio, state.slot_limit, class_state.mean_response_us) == before


def test_response_frees_its_slot_and_cancels_the_hedge_when_it_starts() -> None:
    host = ready_host(cancel_attempts=True, hedging=True)
    request = host.arrive(READ)
    host.advance(160_000)
    first, second = host.request_records[request].attempts
    host.start_response(request, 1)
    assert CancelAttempt(request, 0) in host.actions
    assert CancelAttempt(request, 1) not in host.actions
    assert [host.balancer.endpoints[attempt.upstream].slots_used for attempt in (first, second)] == [1, 0]
    latency_ratio = host.balancer.endpoints[second.upstream].latency_ratio
    host.end(request, 0, Outcome.CANCELLED)
    host.now_us += 20_000_000  # a slow client must not make the upstream appear slow
    host.end(request, 1, Outcome.OK)
    assert host.balancer.endpoints[second.upstream].latency_ratio == latency_ratio
    assert all(state.slots_used == 0 for state in host.balancer.endpoints.values())
    assert request not in host.balancer.requests


def test_request_is_not_retried_when_a_started_response_breaks() -> None:
    host = ready_host()
    request = host.arrive(READ)
    host.start_response(request, 0)
    host.end(request, 0, Outcome.RESET)
    assert len(host.forward_actions(request)) == 1
    assert host.answer(request) is None
