"""The four rules, judged from the records of stand-ins and clients alone; nothing here knows the sidecar's code.

Each breach names its rule and carries the records that prove it:

1. ``one_answer``: each try that a sidecar took gets one final answer, at the latest half a second after the client
   stops waiting, and nothing after it; an answer of 200 was made by an upstream for this try. ``held_back``: a try that
   fails is answered as soon as nothing more is attempted for it.
2. ``no_repeat``: an unsafe request is not sent again, and not answered as safe to repeat, once it may have run; nothing
   reaches an upstream that no client sent.
3. ``drain``: nothing new goes to an upstream later than a second after the sidecar learned that it drains or is gone.
4. ``cold``: an upstream that is warming up is not overloaded by all sidecars together.

And ``crash``: a sidecar ended though nothing in the run had ended it.
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

TIMING_TOLERANCE_US = 50_000  # on every time limit, as on sockets
ANSWER_TOLERANCE_US = 500_000  # an answer so much later earns nothing and still counts as an answer
DRAIN_GRACE_US = 1_000_000  # for new attempts at an upstream that drains
LIST_DELAY_US = 6_000_000  # after this a sidecar counts as knowing whatever the list says
INFORMED_SHARE = 2 / 3  # of the work that overloaded an upstream, from sidecars that knew that it was warming up

STATUS_OK = 200
STATUSES_SAFE_TO_REPEAT = (429, 503)  # they say that the request did not run
ENDS_WITHOUT_RUN = ("turned_away",)  # they prove that the attempt did not run
STATE_ACTIVE = "active"
AFTER_ANY_STATE = "~"  # sorts behind the name of every state


class Rule(StrEnum):
    """What a run may not break."""

    ONE_ANSWER = "one_answer"
    HELD_BACK = "held_back"
    NO_REPEAT = "no_repeat"
    DRAIN = "drain"
    COLD = "cold"
    CRASH = "crash"


class Breach(Struct):
    """One case of a rule that did not hold."""

    rule: str  # a `Rule`, or its value where it was read from a file
    t: int
    what: str  # one sentence
    lines: list[str]  # the records that prove it


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
    for request_id, asked in index.asked.items():
        if index.was_halted(asked.sidecar, asked.t, asked.until_t + ANSWER_TOLERANCE_US):
            continue
        for record in index.responses.get(request_id, []):
            for fault in _response_faults(index, asked, record):
                yield Breach(Rule.ONE_ANSWER, record.t, fault, index.evidence(request_id))


def _response_faults(index: RecordIndex, asked: RequestSent, record: AnyRecord) -> Iterator[str]:
    """Yield a sentence for each thing that is wrong with one response to a try."""
    match record:
        case UnexpectedBytes():
            yield f"more came behind the answer to {asked.id}"
        case SidecarClosedConnection():
            yield f"the connection of {asked.id} ended without an answer"
        case ResponseMissing():
            yield f"{asked.id} was never answered"
        case ResponseReceived():
            if record.t > asked.until_t + ANSWER_TOLERANCE_US:
                yield f"{asked.id} was answered {(record.t - asked.until_t) / 1000:.0f} ms after its time"
            tried = {attempt.upstream for attempt in index.attempts.get(asked.id, [])}
            if record.status == STATUS_OK and record.by not in tried:
                yield f"{asked.id} was served with what no upstream made"
        case _:
            pass


def _check_prompt_failures(index: RecordIndex) -> Iterator[Breach]:
    """Find tries that failed in the second half of their time, with nothing attempted for them since the first."""
    for request_id, asked in index.asked.items():
        for record in index.responses.get(request_id, []):
            if not isinstance(record, ResponseReceived) or record.status == STATUS_OK:
                continue
            idle_us = _idle_before_failure_us(index, asked, record)
            if idle_us is not None:
                what = f"{request_id} was given up only {idle_us / 1000:.0f} ms after the last that was tried for it"
                yield Breach(Rule.HELD_BACK, record.t, what, index.evidence(request_id))


def _idle_before_failure_us(index: RecordIndex, asked: RequestSent, answer: ResponseReceived) -> int | None:
    """Return for how long nothing was attempted before a failure, or None if that was no fault of the sidecar."""
    limit_us = (asked.until_t - asked.t) // 2 + TIMING_TOLERANCE_US
    if answer.t <= asked.t + limit_us:
        return None
    ends_us = [index.end_us(attempt) for attempt in index.attempts.get(asked.id, [])]
    held_us = [held.t for held in index.undelivered.get(asked.id, [])]
    idle_us = answer.t - max([asked.t, *ends_us, *held_us])
    if idle_us <= limit_us or index.was_halted(asked.sidecar, asked.t, answer.t):
        return None
    return None if index.may_lack_record(asked.t, answer.t) else idle_us


# Rule 2


def _check_repeats(index: RecordIndex) -> Iterator[Breach]:
    for request_id, attempts in index.attempts.items():
        asked = index.asked.get(request_id)
        if asked is not None:
            if index.experiment.classes[asked.cls].effect != "idempotent":
                yield from _check_unsafe_request(index, request_id, attempts)
        elif request_id not in index.unreached:
            what = f"{request_id} was sent to an upstream by no client"
            yield Breach(Rule.NO_REPEAT, attempts[0].t, what, index.evidence(request_id))


def _check_unsafe_request(index: RecordIndex, request_id: str, attempts: list[Attempt]) -> Iterator[Breach]:
    for before, after in pairwise(attempts):
        if _may_have_run(index, before, after.began):
            what = f"{request_id}, which is unsafe, was sent again though it may have run"
            yield Breach(Rule.NO_REPEAT, after.t, what, index.evidence(request_id))
    for record in index.responses.get(request_id, []):
        if not isinstance(record, ResponseReceived) or record.status not in STATUSES_SAFE_TO_REPEAT:
            continue
        earlier = (attempt for attempt in attempts if attempt.t < record.t)
        if any(_may_have_run(index, attempt, record.t) for attempt in earlier):
            what = f"{request_id}, which is unsafe, was called harmless to repeat though it may have run"
            yield Breach(Rule.NO_REPEAT, record.t, what, index.evidence(request_id))


def _may_have_run(index: RecordIndex, attempt: Attempt, by_us: int) -> bool:
    end = index.end_of(attempt)
    return end is None or end.how not in ENDS_WITHOUT_RUN or end.t > by_us


# Rule 3


def _check_drains(index: RecordIndex) -> Iterator[Breach]:
    for request_id, attempts in index.attempts.items():
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
                f"{request_id} went to {attempt.upstream} {late_us / 1000:.0f} ms "
                f"after {attempt.sidecar} was told that it is {last.state}"
            )
            yield Breach(Rule.DRAIN, attempt.t, what, index.evidence(request_id, first))


def _drain_before(updates: list[ListUpdateSent], at_us: int) -> tuple[ListUpdateSent, ListUpdateSent] | None:
    """Return the first and the last update of the drain that held at a time, or None if the upstream was active."""
    last = bisect_right(updates, (at_us, AFTER_ANY_STATE), key=lambda update: (update.t, update.state)) - 1
    if last < 0 or updates[last].state == STATE_ACTIVE:
        return None
    first = last
    while first > 0 and updates[first - 1].state != STATE_ACTIVE:
        first -= 1
    return updates[first], updates[last]


# Rule 4


def _check_warming(index: RecordIndex) -> Iterator[Breach]:
    """Find overloads of upstreams that were warming up, brought about by sidecars that knew it."""
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
        f"{upstream}, started {(overload.t - booted_us) / 1e6:.1f} s before, was pushed "
        f"over by {len(attempts)} attempts, {informed_us / work_us:.0%} of the work from sidecars that knew"
    )
    return Breach(Rule.COLD, overload.t, what, [*lines_of(attempts), *lines_of([overload])])


def _attempts_before_overload(
    index: RecordIndex, upstream: str, overload: UpstreamChanged, booted_us: int
) -> list[Attempt]:
    """Return the attempts since an upstream's start that count towards its overload."""
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
                what = f"{sidecar} ended though nobody had asked it to"
                yield Breach(Rule.CRASH, change.t, what, lines_of([change]))
