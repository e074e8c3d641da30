"""Tests of the closing schedule: every state of a connection, ending, time and longest deadline."""

from __future__ import annotations

import itertools

import pytest

from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.closing_schedule import (
    FINAL_RESPONSE_MARGIN_S,
    KILL_DELAY_S,
    Admission,
    ClosingSchedule,
    Ending,
)

STEP_S = 0.01
MAX_STALL_S = 0.15  # the event loop may be held up for so long
DEADLINES_S = (0.5, 1.0, 2.0, 3.0, 5.0)
SHUTDOWNS = (Ending.RESTART, Ending.REPLACEMENT)
SHUTDOWN_CASES = list(itertools.product(SHUTDOWNS, DEADLINES_S))
DRAIN_LIMIT_S = 4.0  # clients must hold no idle connection this long after the start of a drain


def schedule_of(ending: Ending, longest_deadline_s: float = 2.0) -> ClosingSchedule:
    if ending is Ending.DRAIN:
        return ClosingSchedule.for_drain()
    deadlines_us = (200_000, int(longest_deadline_s * 1e6))
    classes = [RequestClass(f"c{us}", latency_objective_us=100_000, deadline_us=us) for us in deadlines_us]
    return ClosingSchedule.for_shutdown(classes, has_successor=ending is Ending.REPLACEMENT)


def times(until_s: float) -> list[float]:
    return [index * STEP_S for index in range(int(until_s / STEP_S) + 2)]


@pytest.mark.parametrize(("ending", "longest_deadline_s"), SHUTDOWN_CASES)
def test_kill_time_counts_at_most_three_seconds_of_the_longest_deadline(
    ending: Ending, longest_deadline_s: float
) -> None:
    schedule = schedule_of(ending, longest_deadline_s)
    assert schedule.kill_s == pytest.approx(min(3.0, longest_deadline_s) + KILL_DELAY_S)
    assert schedule.final_responses_s < schedule.close_remaining_s < schedule.kill_s
    assert schedule.final_responses_s >= min(3.0, longest_deadline_s)


@pytest.mark.parametrize(("ending", "longest_deadline_s"), SHUTDOWN_CASES)
@pytest.mark.parametrize("is_repeatable", [True, False])
def test_request_has_any_response_exactly_until_sigkill_may_cut_it_off(
    ending: Ending, longest_deadline_s: float, is_repeatable: bool
) -> None:
    schedule = schedule_of(ending, longest_deadline_s)
    late = Admission.WHOLE_RESPONSE if is_repeatable else Admission.REFUSAL
    for elapsed_s in times(schedule.kill_s + 1.0):
        expected = Admission.ANY_RESPONSE if elapsed_s < KILL_DELAY_S else late
        assert schedule.admission(elapsed_s, is_repeatable=is_repeatable) is expected


@pytest.mark.parametrize(("ending", "longest_deadline_s"), SHUTDOWN_CASES)
@pytest.mark.parametrize("has_sent_valid_request", [True, False])
def test_resting_connection_is_closed_before_long_responses_are_refused_when_the_loop_stalls(
    ending: Ending, longest_deadline_s: float, has_sent_valid_request: bool
) -> None:
    schedule = schedule_of(ending, longest_deadline_s)
    for rested_s in (0.0, 0.02, 0.3, 60.0):  # when SIGTERM arrives
        closing = [
            elapsed_s
            for elapsed_s in times(schedule.kill_s)
            if schedule.closes_idle(elapsed_s, rested_s + elapsed_s, has_sent_valid_request=has_sent_valid_request)
        ]
        assert closing == [elapsed_s for elapsed_s in times(schedule.kill_s) if elapsed_s >= closing[0]]
        assert closing[0] + MAX_STALL_S < KILL_DELAY_S
        if ending is Ending.REPLACEMENT or not has_sent_valid_request:
            assert closing[0] == pytest.approx(0.5)


@pytest.mark.parametrize(("ending", "longest_deadline_s"), SHUTDOWN_CASES)
def test_connection_waits_for_the_next_request_for_a_moment_when_it_has_just_finished_a_response(
    ending: Ending, longest_deadline_s: float
) -> None:
    schedule = schedule_of(ending, longest_deadline_s)
    for elapsed_s in times(schedule.close_remaining_s - 2 * STEP_S):
        assert not schedule.closes_idle(elapsed_s, 0.0, has_sent_valid_request=True)
        assert not schedule.closes_idle(elapsed_s, 0.2, has_sent_valid_request=False)


@pytest.mark.parametrize(("ending", "longest_deadline_s"), SHUTDOWN_CASES)
def test_every_idle_connection_is_closed_and_every_request_answered_when_sigkill_is_due(
    ending: Ending, longest_deadline_s: float
) -> None:
    schedule = schedule_of(ending, longest_deadline_s)
    for has_sent_valid_request in (True, False):
        at_s = schedule.kill_s - FINAL_RESPONSE_MARGIN_S / 2
        assert schedule.closes_idle(at_s, 0.0, has_sent_valid_request=has_sent_valid_request)
    assert not schedule.rejects_incomplete(schedule.final_responses_s - STEP_S)
    assert schedule.rejects_incomplete(schedule.kill_s - FINAL_RESPONSE_MARGIN_S)


def test_drain_refuses_nothing_and_closes_idle_connections_in_time() -> None:
    schedule = schedule_of(Ending.DRAIN)
    for elapsed_s, is_repeatable in itertools.product(times(600.0)[::100], (True, False)):
        assert schedule.admission(elapsed_s, is_repeatable=is_repeatable) is Admission.ANY_RESPONSE
        assert not schedule.rejects_incomplete(elapsed_s)
    for has_sent_valid_request in (True, False):
        assert not schedule.closes_idle(1.5, 60.0, has_sent_valid_request=has_sent_valid_request)
        assert not schedule.closes_idle(2.0, 0.2, has_sent_valid_request=has_sent_valid_request)
        for became_idle_s in times(DRAIN_LIMIT_S - 0.5):
            closes = schedule.closes_idle(
                DRAIN_LIMIT_S, DRAIN_LIMIT_S - became_idle_s, has_sent_valid_request=has_sent_valid_request
            )
            assert closes


def test_client_of_a_refused_request_may_retry_at_once_only_when_another_process_accepts_it() -> None:
    assert schedule_of(Ending.REPLACEMENT).retry_after_us == 0
    assert schedule_of(Ending.RESTART).retry_after_us > 0
