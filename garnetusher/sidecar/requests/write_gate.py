"""Whether something may be written, repeated, refused or closed now: asked at the moment of the write, in one place.

The policy decides on what it knows when it decides; by the time of the write the client may have left, its time may be
over, the upstream may drain, and this process may have been held up. What such events forbid is a `Denial`. What only a
fault of the policy could ask for is denied as well, and counted and logged as a violation.
"""

from __future__ import annotations

from collections.abc import Mapping

from garnetusher.policy.events import Endpoint
from garnetusher.policy.settings import Settings
from garnetusher.sidecar.requests.messages import ANSWER_MARGIN_US, Answer, Attempt, Denial, Permit, Request, Verdict
from garnetusher.sidecar.requests.trace import Trace

LATE_ANSWER_US = 70_000  # beyond a request's time: the settings' slack of 20 ms, and 50 ms that sockets may take
FAULTS_OF_THE_POLICY = frozenset((Denial.MAY_HAVE_RUN, Denial.STILL_OUT, Denial.TOO_MANY))


class Gate:
    """The rules of the protocol, independent of the policy's own bookkeeping."""

    def __init__(self, trace: Trace, settings: Settings) -> None:
        self.trace = trace
        self.settings = settings
        self.addresses: Mapping[int, tuple[str, int]] = {}  # of the upstreams that are ready
        self.entries: Mapping[int, Endpoint] = {}

    def may_choose(self, request: Request, number: int, now_us: int) -> bool:
        """Whether an attempt that the policy has just asked for may begin; one against the rules is its fault."""
        attempt = request.attempts[number]
        found = self.objection(request, number, now_us)
        self.trace.note("chosen", request.ident, number, attempt.upstream)
        if found is not None:
            self._denied(request, number, found, found in FAULTS_OF_THE_POLICY)
        return found is None

    def may_write(self, request: Request, number: int, now_us: int) -> Permit | Denial:
        """Whether the first byte of an attempt may be written now."""
        found = self.objection(request, number, now_us)
        if found is None and request.asker.has_left():
            found = Denial.CLIENT_LEFT
        if found is not None:
            # a new file may have forbidden a second copy, or so many attempts, since this one was chosen
            self._denied(request, number, found, found is Denial.MAY_HAVE_RUN)
            return found
        attempt = request.attempts[number]
        self.trace.note("written", request.ident, number, attempt.upstream)
        return Permit(self.left_us(request, attempt, now_us))

    def _denied(self, request: Request, number: int, denial: Denial, violation: bool) -> None:
        upstream = request.attempts[number].upstream
        self.trace.note("denied", request.ident, number, upstream, denial.name)
        self.trace.count(f"denied: {denial.name}")
        if violation:
            self.trace.violated(denial.value, request.ident, number, upstream)

    def objection(self, request: Request, number: int, now_us: int) -> Denial | None:
        """What stands against an attempt, without a look at its client's connection; None: nothing."""
        attempt = request.attempts[number]
        if request.over:
            return Denial.REQUEST_OVER
        if request.bound >= 0:
            return Denial.ANSWER_BEGUN
        if self.left_us(request, attempt, now_us) <= 0:
            return Denial.TIME_OVER
        if attempt.start_by_us and now_us >= attempt.start_by_us:
            return Denial.WINDOW_OVER
        if self.has_changed(attempt):
            return Denial.ENDPOINT_CHANGED
        if number >= min(request.most_attempts, self.settings.max_attempts):
            return Denial.TOO_MANY
        return self.repeat_objection(request, attempt, now_us)

    def has_changed(self, attempt: Attempt) -> bool:
        """Whether its upstream is no longer the ready one that it was chosen as."""
        entry = self.entries.get(attempt.upstream)
        if entry is None or attempt.entry is None or attempt.address is None:
            return True
        return self.addresses.get(attempt.upstream) != attempt.address or entry.started_us != attempt.entry.started_us

    def repeat_objection(self, request: Request, attempt: Attempt, now_us: int) -> Denial | None:
        """Rule 2, from what was written and how it ended."""
        others = [other for other in request.attempts if other is not attempt]
        if not self.settings.hedging and any(other.written_us and not other.ended for other in others):
            return Denial.STILL_OUT
        first = next((other for other in others if other.may_have_run), None)
        kind = request.kind
        if first is None or kind.effect == "idempotent":
            return None
        if kind.effect == "at_most_once":
            return Denial.MAY_HAVE_RUN
        if now_us >= first.written_us + kind.deduplication_window_us:
            return Denial.WINDOW_OVER
        assert first.entry is not None and attempt.entry is not None
        if kind.deduplication_scope == "zone" and first.entry.zone != attempt.entry.zone:
            return Denial.MAY_HAVE_RUN
        if kind.deduplication_scope == "cell" and first.entry.cell != attempt.entry.cell:
            return Denial.MAY_HAVE_RUN
        return None

    def left_us(self, request: Request, attempt: Attempt, now_us: int) -> int:
        """How long the answer to an attempt is waited for; a body that is still coming begins its time at each read."""
        if not request.whole:
            left_us = request.asker.whole_since_us() + request.call.deadline_us - ANSWER_MARGIN_US - now_us
            return min(attempt.timeout_us or left_us, left_us)
        ends_us = request.due_us
        if attempt.timeout_us:
            ends_us = min(ends_us, attempt.sent_us + attempt.timeout_us)
        return ends_us - now_us

    def final_answer(self, request: Request, answer: Answer, now_us: int) -> Answer:
        """What the client is told: a refusal promises that nothing has run, and is none where that is not known."""
        self.trace.note("answered", request.ident, reason=answer.verdict.value)
        self.trace.count(f"answered: {answer.verdict.value}")
        if now_us > request.due_us + LATE_ANSWER_US:
            self.trace.count("answered late")
        if answer.verdict is Verdict.REFUSED and not self.may_refuse(request):
            self.trace.violated("refused, though it may have run and may not be repeated", request.ident)
            return Answer(Verdict.FAILED)
        return answer

    def may_refuse(self, request: Request) -> bool:
        """Whether a client may send it again without harm."""
        kind = request.kind
        if kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.deduplication_scope == "all"):
            return True
        return not any(attempt.may_have_run for attempt in request.attempts)

    def may_close(self, request: int, unanswered: bool) -> bool:
        """Whether the connection of a client may be closed by us."""
        if unanswered:
            self.trace.violated("closed with a request unanswered", request)
        return not unanswered
