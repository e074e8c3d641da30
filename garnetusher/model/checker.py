"""Checks the records of a run against four rules for sidecars, without any knowledge of the sidecar's code.

The records are those of the clients, the upstreams, the discovery service and the lab. Each breach states its rule and
contains the records that prove it:

1. ``one_answer``: each client call that a sidecar accepted gets one final response, at the latest half a second after
   the client timeout, and nothing after it. A response with status 200 comes from an upstream that received this call.
   ``held_back``: a call that fails is answered within half its client timeout, counted from its start or, if later,
   from the end of its last attempt. Time for which the sidecar or the lab's workers waited for a CPU core does not
   count.
2. ``no_repeat``: a request that is not idempotent is not sent again, and not reported as safe to retry, once it may
   have run. Upstreams receive no request that no client sent.
3. ``drain``: a sidecar sends no new attempt to an upstream later than a second after it learned that the upstream
   drains or is gone.
4. ``cold``: the sidecars together do not overload an upstream that is warming up.

In addition, ``crash``: a sidecar process ended although the run did not end it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from enum import StrEnum
from itertools import pairwise

from msgspec import Struct

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan
from garnetusher.model.record_index import RecordIndex, lines_of
from garnetusher.model.records import (
    AnyRecord,
    Attempt,
    ListUpdateSent,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    SidecarClosedConnection,
    UnexpectedBytes,
    UpstreamChanged,
)

TIMING_TOLERANCE_US = 50_000  # extends the limits of `held_back` and `drain`, because timing on sockets is inexact
ANSWER_TOLERANCE_US = 500_000  # a response at most this late is no breach, although the client no longer waits for it
DRAIN_GRACE_US = 1_000_000  # the time in which a draining upstream may still receive new attempts
LIST_DELAY_US = 6_000_000  # the time after which every sidecar is assumed to know of an upstream's start
# An overload is a breach if at least this share of its work is from sidecars that knew of the upstream's start.
INFORMED_SHARE = 2 / 3

STATUS_OK = 200
STATUSES_SAFE_TO_REPEAT = (429, 503)  # these statuses state that the request did not run
ENDS_WITHOUT_RUN = ("turned_away",)  # values of `UpstreamAttemptEnded.how` that prove that the attempt did not run
STATE_ACTIVE = "active"
AFTER_ANY_STATE = "~"  # sorts after the name of every state


class Rule(StrEnum):
    """The rules that a run must not break."""

    ONE_ANSWER = "one_answer"
    HELD_BACK = "held_back"
    NO_REPEAT = "no_repeat"
    DRAIN = "drain"
    COLD = "cold"
    CRASH = "crash"


class Breach(Struct):
    """One case in which a run broke a rule."""

    rule: str  # a `Rule`, or its value if the breach was read from a file
    t: int
    what: str  # a description in one sentence
    lines: list[str]  # the records that prove the breach


def check(experiment: Experiment, plan: Plan, records: list[AnyRecord]) -> list[Breach]:
    """Return all breaches of a run, in the order of time."""
    index = RecordIndex(experiment, plan, records)
    breaches = [
        *_check_answers(index),
        *_check_prompt_failures(index),
        *_check_repeats(index),
        *_check_drains(index),
        *_check_warming(index),
        *_check_crashes(index),
    ]
    return sorted(breaches, key=lambda breach: breach.t)


# Rule 1


def _check_answers(index: RecordIndex) -> Iterator[Breach]:
    for call_id, call in index.calls.items():
        if index.was_halted(call.sidecar, call.t, call.until_t + ANSWER_TOLERANCE_US):
            continue
        for record in index.responses.get(call_id, []):
            for defect in _response_defects(index, call, record):
                yield Breach(Rule.ONE_ANSWER, record.t, defect, index.evidence(call_id))


def _response_defects(index: RecordIndex, call: RequestSent, record: AnyRecord) -> Iterator[str]:
    """Yield a sentence for each defect of one response to a client call."""
    match record:
        case UnexpectedBytes():
            yield f"{call.id} received unexpected bytes after its response"
        case SidecarClosedConnection():
            yield f"the sidecar closed the connection of {call.id} without a response"
        case ResponseMissing():
            yield f"{call.id} received no response"
        case ResponseReceived():
            if record.t > call.until_t + ANSWER_TOLERANCE_US:
                yield f"{call.id} was answered {(record.t - call.until_t) / 1000:.0f} ms after its client timeout"
            attempted_upstreams = {attempt.upstream for attempt in index.attempts.get(call.id, [])}
            if record.status == STATUS_OK and record.by not in attempted_upstreams:
                yield f"the response to {call.id} is from no upstream that received this call"
        case _:
            pass


def _check_prompt_failures(index: RecordIndex) -> Iterator[Breach]:
    """Find calls that failed after more than half their client timeout without an attempt in progress."""
    for call_id, call in index.calls.items():
        for record in index.responses.get(call_id, []):
            if not isinstance(record, ResponseReceived) or record.status == STATUS_OK:
                continue
            idle_us = _idle_before_failure_us(index, call, record)
            if idle_us is not None:
                what = f"{call_id} failed after {idle_us / 1000:.0f} ms without an attempt in progress"
                yield Breach(Rule.HELD_BACK, record.t, what, index.evidence(call_id))


def _idle_before_failure_us(index: RecordIndex, call: RequestSent, answer: ResponseReceived) -> int | None:
    """Return the time without any attempt before a failure; None if it is within the limit or a fault explains it."""
    limit_us = (call.until_t - call.t) // 2 + TIMING_TOLERANCE_US
    if answer.t <= call.t + limit_us:
        return None
    limit_us += index.cpu_wait_us(call.sidecar, call.t, answer.t)
    ends_us = [index.end_us(attempt) for attempt in index.attempts.get(call.id, [])]
    undelivered_us = [undelivered.t for undelivered in index.undelivered.get(call.id, [])]
    idle_us = answer.t - max([call.t, *ends_us, *undelivered_us])
    if idle_us <= limit_us or index.was_halted(call.sidecar, call.t, answer.t):
        return None
    return None if index.may_lack_record(call.t, answer.t) else idle_us


# Rule 2


def _check_repeats(index: RecordIndex) -> Iterator[Breach]:
    for call_id, attempts in index.attempts.items():
        call = index.calls.get(call_id)
        if call is not None:
            if index.experiment.classes[call.cls].effect != "idempotent":
                yield from _check_non_idempotent_request(index, call_id, attempts)
        elif call_id not in index.unconnected_calls:
            what = f"an upstream received {call_id}, which no client sent"
            yield Breach(Rule.NO_REPEAT, attempts[0].t, what, index.evidence(call_id))


def _check_non_idempotent_request(index: RecordIndex, call_id: str, attempts: list[Attempt]) -> Iterator[Breach]:
    for before, after in pairwise(attempts):
        if _may_have_run(index, before, after.began):
            what = f"{call_id}, which is not idempotent, was sent again although it may have run"
            yield Breach(Rule.NO_REPEAT, after.t, what, index.evidence(call_id))
    for record in index.responses.get(call_id, []):
        if not isinstance(record, ResponseReceived) or record.status not in STATUSES_SAFE_TO_REPEAT:
            continue
        earlier = (attempt for attempt in attempts if attempt.t < record.t)
        if any(_may_have_run(index, attempt, record.t) for attempt in earlier):
            what = f"{call_id}, which is not idempotent, was reported as safe to retry although it may have run"
            yield Breach(Rule.NO_REPEAT, record.t, what, index.evidence(call_id))


def _may_have_run(index: RecordIndex, attempt: Attempt, by_us: int) -> bool:
    """Return False if the attempt had ended by `by_us` in a way that proves that it did not run, else True."""
    end = index.end_of(attempt)
    return end is None or end.how not in ENDS_WITHOUT_RUN or end.t > by_us


# Rule 3


def _check_drains(index: RecordIndex) -> Iterator[Breach]:
    for call_id, attempts in index.attempts.items():
        for attempt in attempts:
            updates = index.list_updates.get((attempt.sidecar, attempt.upstream), [])
            drain = _drain_before(updates, attempt.began)
            if drain is None:
                continue
            first, last = drain
            late_us = attempt.began - index.longest_transit_us(attempt) - first.t
            if late_us <= DRAIN_GRACE_US + TIMING_TOLERANCE_US:
                continue
            if index.was_halted(attempt.sidecar, first.t, attempt.began):
                continue
            what = (
                f"{call_id} was sent to {attempt.upstream} {late_us / 1000:.0f} ms "
                f"after {attempt.sidecar} learned that the upstream drains (state {last.state})"
            )
            yield Breach(Rule.DRAIN, attempt.t, what, index.evidence(call_id, first))


def _drain_before(updates: list[ListUpdateSent], at_us: int) -> tuple[ListUpdateSent, ListUpdateSent] | None:
    """Return the first and the last update of the drain in progress at a time, or None if the upstream was active."""
    last = bisect_right(updates, (at_us, AFTER_ANY_STATE), key=lambda update: (update.t, update.state)) - 1
    if last < 0 or updates[last].state == STATE_ACTIVE:
        return None
    first = last
    while first > 0 and updates[first - 1].state != STATE_ACTIVE:
        first -= 1
    return updates[first], updates[last]


# Rule 4


def _check_warming(index: RecordIndex) -> Iterator[Breach]:
    """Find warming upstreams that crashed from overload, mostly because of sidecars that knew of their start."""
    for upstream, changes in index.upstream_changes.items():
        booted_us = 0
        for change in changes:
            if change.what == "boot":
                booted_us = change.t
            elif change.what == "fell_over":
                breach = _warming_breach(index, upstream, change, booted_us)
                if breach is not None:
                    yield breach


def _warming_breach(index: RecordIndex, upstream: str, overload: UpstreamChanged, booted_us: int) -> Breach | None:
    attempts = _attempts_before_overload(index, upstream, overload, booted_us)
    work_us = sum(attempt.work_us for attempt in attempts)
    informed_us = sum(attempt.work_us for attempt in attempts if _knew_of_start(index, attempt, booted_us))
    if work_us == 0 or informed_us < INFORMED_SHARE * work_us:
        return None
    what = (
        f"{upstream}, started {(overload.t - booted_us) / 1e6:.1f} s before, was overloaded by "
        f"{len(attempts)} attempts, {informed_us / work_us:.0%} of the work from sidecars that knew of the start"
    )
    return Breach(Rule.COLD, overload.t, what, [*lines_of(attempts), *lines_of([overload])])


def _attempts_before_overload(
    index: RecordIndex, upstream: str, overload: UpstreamChanged, booted_us: int
) -> list[Attempt]:
    """Return the attempts since an upstream's start that contribute to its overload."""
    window_start_us = overload.t - int(index.experiment.upstreams.fall_s * 1e6)
    return [
        attempt
        for attempts in index.attempts.values()
        for attempt in attempts
        if attempt.upstream == upstream and window_start_us < attempt.t <= overload.t and attempt.t >= booted_us
    ]


def _knew_of_start(index: RecordIndex, attempt: Attempt, booted_us: int) -> bool:
    if attempt.t >= booted_us + LIST_DELAY_US:
        return True
    updates = index.list_updates.get((attempt.sidecar, attempt.upstream), [])
    return any(booted_us <= update.t <= attempt.t and update.state == STATE_ACTIVE for update in updates)


# Crashes


def _check_crashes(index: RecordIndex) -> Iterator[Breach]:
    for sidecar, changes in index.process_changes.items():
        for change in changes:
            if change.what == "died":
                what = f"{sidecar} ended unexpectedly"
                yield Breach(Rule.CRASH, change.t, what, lines_of([change]))
