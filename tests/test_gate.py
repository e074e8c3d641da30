"""The gate's answers, each rule alone: what may be written, refused and closed at one moment."""

from __future__ import annotations

from dataclasses import replace

import pytest

from garnetusher.policy.events import Endpoint, Outcome
from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar.requests.messages import (
    Attempt,
    Denial,
    Disposition,
    FinalResponse,
    HttpRequest,
    PendingRequest,
    WritePermit,
)
from garnetusher.sidecar.requests.trace import LAST_EVENTS, Trace
from garnetusher.sidecar.requests.write_gate import LATE_ANSWER_US, WriteGate
from garnetusher.sidecar.streaming import Head, Source

NOW_US = 10_000_000
KINDS = {
    effect: RequestClass(
        effect,
        latency_objective_us=500_000,
        deadline_us=1_000_000,
        effect=effect,
        deduplication_scope="cell",
        deduplication_window_us=400_000,
    )
    for effect in ("idempotent", "deduplicated", "at_most_once")
}
HERE = ("127.0.0.1", 1)


class Client:
    """A client's side that is there, or has left."""

    gone = False
    since_us = NOW_US

    def client_has_closed(self) -> bool:
        return self.gone

    def body_complete_since_us(self) -> int:
        return self.since_us

    def send_response(self, answer: FinalResponse) -> None: ...
    def begin_response(self, head: Head, source: Source) -> None: ...
    def finish_response(self, whole: bool) -> None: ...
    def write_chunk(self, data: bytes) -> None: ...


class Case:
    """A request with one attempt that is to be written now, at an upstream that is ready."""

    def __init__(self, effect: str = "idempotent") -> None:
        self.gate = WriteGate(Trace(), Settings(list(KINDS.values()), max_attempts=3, hedging=True))
        self.entries = {number: Endpoint(number, cell=number // 2) for number in range(4)}
        self.gate.endpoints, self.gate.addresses = self.entries, dict.fromkeys(self.entries, HERE)
        self.client = Client()
        call = HttpRequest(b"POST", b"/x", [], b"", NOW_US, 1_000_000, 0)
        self.request = PendingRequest(1, call, NOW_US + 800_000, self.client, True, KINDS[effect], 3)
        self.attempt(0)

    def attempt(self, upstream: int, **changes: object) -> Attempt:
        made = replace(Attempt(upstream, NOW_US, HERE, endpoint=self.entries[upstream]), **changes)  # type: ignore[arg-type]
        self.request.attempts.append(made)
        return made

    def earlier(self, upstream: int, outcome: Outcome | None, written_us: int = NOW_US - 100_000) -> None:
        """An attempt before the one that is asked for."""
        self.attempt(upstream, outcome=outcome, written_us=written_us)
        self.request.attempts.insert(0, self.request.attempts.pop())

    def asked(self) -> WritePermit | Denial:
        return self.gate.may_write(self.request, len(self.request.attempts) - 1, NOW_US)


def test_what_is_in_order_is_told_what_is_left() -> None:
    case = Case()
    assert case.asked() == WritePermit(800_000)
    case.request.attempts[0].timeout_us = 300_000
    assert case.asked() == WritePermit(300_000)
    case.request.body_complete, case.client.since_us = False, NOW_US - 400_000
    case.request.attempts[0].timeout_us = 0
    assert case.asked() == WritePermit(1_000_000 - 400_000 - 10_000)
    assert not case.gate.trace.counts


@pytest.mark.parametrize(
    "denial",
    [
        Denial.REQUEST_OVER,
        Denial.ANSWER_BEGUN,
        Denial.CLIENT_LEFT,
        Denial.TIME_OVER,
        Denial.WINDOW_OVER,
        Denial.ENDPOINT_CHANGED,
        Denial.TOO_MANY,
        Denial.STILL_OUT,
    ],
)
def test_what_has_happened_since_the_choice_is_denied_and_counted(denial: Denial) -> None:
    case = Case()
    attempt = case.request.attempts[0]
    if denial is Denial.REQUEST_OVER:
        case.request.completed = True
    elif denial is Denial.ANSWER_BEGUN:
        case.request.streaming_attempt_index = 0
    elif denial is Denial.CLIENT_LEFT:
        case.client.gone = True
    elif denial is Denial.TIME_OVER:
        case.request.deadline_us = NOW_US
    elif denial is Denial.WINDOW_OVER:
        attempt.latest_start_us = NOW_US
    elif denial is Denial.ENDPOINT_CHANGED:
        case.entries[0] = Endpoint(0, started_us=5)
    elif denial is Denial.TOO_MANY:
        case.gate.settings = Settings(list(KINDS.values()), max_attempts=1)
        case.earlier(1, Outcome.OVERLOADED)
    else:
        case.gate.settings = Settings(list(KINDS.values()), max_attempts=3, hedging=False)
        case.earlier(1, None)
    assert case.asked() is denial
    assert case.gate.trace.counts == {f"denied: {denial.name}": 1}
    assert [event.what for event in case.gate.trace.of_request(1)] == ["denied"]


@pytest.mark.parametrize("change", ["drained", "moved"])
def test_an_upstream_that_is_no_longer_the_one_that_was_chosen_is_denied(change: str) -> None:
    case = Case()
    if change == "drained":
        del case.entries[0]
    else:
        case.gate.addresses = {0: ("127.0.0.1", 2)}
    assert case.asked() is Denial.ENDPOINT_CHANGED


@pytest.mark.parametrize(
    ("effect", "upstream", "outcome"),
    [
        ("idempotent", 3, Outcome.RESET),
        ("at_most_once", 1, Outcome.OVERLOADED),
        ("at_most_once", 1, Outcome.CONNECT_FAILED),
        ("deduplicated", 1, Outcome.TIMEOUT),
        ("deduplicated", 3, Outcome.OVERLOADED),
    ],
)
def test_a_repeat_that_its_class_allows_may_be_written(effect: str, upstream: int, outcome: Outcome) -> None:
    case = Case(effect)
    case.earlier(upstream, outcome)
    assert isinstance(case.asked(), WritePermit)


@pytest.mark.violates
@pytest.mark.parametrize(
    ("effect", "upstream", "outcome"),
    [
        ("at_most_once", 1, Outcome.RESET),
        ("at_most_once", 1, Outcome.TIMEOUT),
        ("at_most_once", 1, None),
        ("deduplicated", 3, Outcome.RESET),
        ("deduplicated", 2, None),
    ],
)
def test_a_repeat_of_what_may_have_run_is_a_violation(effect: str, upstream: int, outcome: Outcome | None) -> None:
    case = Case(effect)
    case.earlier(upstream, outcome)
    assert case.asked() is Denial.MAY_HAVE_RUN
    assert case.gate.trace.counts[f"violation: {Denial.MAY_HAVE_RUN.value}"] == 1


def test_a_repeat_after_upstreams_may_have_forgotten_is_denied() -> None:
    case = Case("deduplicated")
    case.earlier(1, Outcome.RESET, written_us=NOW_US - 400_000)
    assert case.asked() is Denial.WINDOW_OVER


@pytest.mark.violates
def test_a_refusal_of_what_may_have_run_becomes_a_failure() -> None:
    case = Case("at_most_once")
    case.earlier(1, Outcome.ERROR)
    answer = case.gate.final_answer(case.request, FinalResponse(Disposition.SHED, retry_after_us=5), NOW_US)
    assert answer == FinalResponse(Disposition.FAILED)


def test_a_refusal_of_what_never_ran_stays_one_and_late_answers_are_counted() -> None:
    case = Case("at_most_once")
    case.earlier(1, Outcome.OVERLOADED)
    refused = FinalResponse(Disposition.SHED, retry_after_us=5)
    late_us = case.request.deadline_us + LATE_ANSWER_US + 1
    assert case.gate.final_answer(case.request, refused, late_us) is refused
    assert case.gate.trace.counts == {"answered: refused": 1, "answered late": 1}


@pytest.mark.violates
def test_a_connection_with_a_request_unanswered_may_not_be_closed() -> None:
    case = Case()
    assert case.gate.may_close(1, unanswered=False) and not case.gate.may_close(1, unanswered=True)


def test_the_trace_keeps_the_last_events_and_finds_a_request_by_its_name() -> None:
    trace = Trace()
    for number in range(1, LAST_EVENTS):
        trace.note("taken", number, reason=f"r{number}")
        trace.note("ended", number, 0, 3, "ok")
    assert len(trace.events) == LAST_EVENTS and trace.find("r1") == []
    last = trace.find(f"r{LAST_EVENTS - 1}")
    assert [event.what for event in last] == ["taken", "ended"]
    assert last[1].shown() == {
        "at_us": last[1].at_us,
        "what": "ended",
        "request": LAST_EVENTS - 1,
        "attempt": 0,
        "upstream": 3,
        "reason": "ok",
    }
