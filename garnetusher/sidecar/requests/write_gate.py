"""Whether something may be written, repeated, refused or closed now: asked at the moment of the write, in one place.

The policy decides on what it knows when it decides; by the time of the write the client may have left, its time may be
over, the upstream may drain, and this process may have been held up. What such events forbid is a `Denial`. What only a
fault of the policy could ask for is denied as well, and counted and logged as a violation.
"""

from __future__ import annotations

from collections.abc import Mapping

from garnetusher.policy.events import Endpoint
from garnetusher.policy.settings import Settings
from garnetusher.sidecar.requests.messages import (
    RESPONSE_MARGIN_US,
    Attempt,
    Denial,
    Disposition,
    FinalResponse,
    PendingRequest,
    WritePermit,
)
from garnetusher.sidecar.requests.trace import Trace

LATE_ANSWER_US = 70_000  # beyond a request's time: the settings' slack of 20 ms, and 50 ms that sockets may take
FAULTS_OF_THE_POLICY = frozenset((Denial.MAY_HAVE_RUN, Denial.STILL_OUT, Denial.TOO_MANY))


class WriteGate:
    """The rules of the protocol, independent of the policy's own bookkeeping."""

    def __init__(self, trace: Trace, settings: Settings) -> None:
        self.trace = trace
        self.settings = settings
        self.addresses: Mapping[int, tuple[str, int]] = {}  # of the upstreams that are ready
        self.endpoints: Mapping[int, Endpoint] = {}

    def may_start(self, request: PendingRequest, number: int, now_us: int) -> bool:
        """Whether an attempt that the policy has just asked for may begin; one against the rules is its fault."""
        attempt = request.attempts[number]
        found = self.denial(request, number, now_us)
        self.trace.note("chosen", request.request_id, number, attempt.endpoint_id)
        if found is not None:
            self._denied(request, number, found, found in FAULTS_OF_THE_POLICY)
        return found is None

    def may_write(self, request: PendingRequest, number: int, now_us: int) -> WritePermit | Denial:
        """Whether the first byte of an attempt may be written now."""
        found = self.denial(request, number, now_us)
        if found is None and request.response_sink.client_has_closed():
            found = Denial.CLIENT_LEFT
        if found is not None:
            # a new file may have forbidden a second copy, or so many attempts, since this one was chosen
            self._denied(request, number, found, found is Denial.MAY_HAVE_RUN)
            return found
        attempt = request.attempts[number]
        self.trace.note("written", request.request_id, number, attempt.endpoint_id)
        return WritePermit(self.remaining_us(request, attempt, now_us))

    def _denied(self, request: PendingRequest, number: int, denial: Denial, violation: bool) -> None:
        upstream = request.attempts[number].endpoint_id
        self.trace.note("denied", request.request_id, number, upstream, denial.name)
        self.trace.count(f"denied: {denial.name}")
        if violation:
            self.trace.violated(denial.value, request.request_id, number, upstream)

    def denial(self, request: PendingRequest, number: int, now_us: int) -> Denial | None:
        """What stands against an attempt, without a look at its client's connection; None: nothing."""
        attempt = request.attempts[number]
        if request.completed:
            return Denial.REQUEST_OVER
        if request.streaming_attempt_index >= 0:
            return Denial.ANSWER_BEGUN
        if self.remaining_us(request, attempt, now_us) <= 0:
            return Denial.TIME_OVER
        if attempt.latest_start_us and now_us >= attempt.latest_start_us:
            return Denial.WINDOW_OVER
        if self.endpoint_has_changed(attempt):
            return Denial.ENDPOINT_CHANGED
        if number >= min(request.max_attempts, self.settings.max_attempts):
            return Denial.TOO_MANY
        return self.retry_denial(request, attempt, now_us)

    def endpoint_has_changed(self, attempt: Attempt) -> bool:
        """Whether its upstream is no longer the ready one that it was chosen as."""
        entry = self.endpoints.get(attempt.endpoint_id)
        if entry is None or attempt.endpoint is None or attempt.address is None:
            return True
        return (
            self.addresses.get(attempt.endpoint_id) != attempt.address
            or entry.started_us != attempt.endpoint.started_us
        )

    def retry_denial(self, request: PendingRequest, attempt: Attempt, now_us: int) -> Denial | None:
        """Rule 2, from what was written and how it ended."""
        others = [other for other in request.attempts if other is not attempt]
        if not self.settings.hedging and any(other.written_us and not other.ended for other in others):
            return Denial.STILL_OUT
        first = next((other for other in others if other.may_have_run), None)
        kind = request.request_class
        if first is None or kind.effect == "idempotent":
            return None
        if kind.effect == "at_most_once":
            return Denial.MAY_HAVE_RUN
        if now_us >= first.written_us + kind.deduplication_window_us:
            return Denial.WINDOW_OVER
        assert first.endpoint is not None and attempt.endpoint is not None
        if kind.deduplication_scope == "zone" and first.endpoint.zone != attempt.endpoint.zone:
            return Denial.MAY_HAVE_RUN
        if kind.deduplication_scope == "cell" and first.endpoint.cell != attempt.endpoint.cell:
            return Denial.MAY_HAVE_RUN
        return None

    def remaining_us(self, request: PendingRequest, attempt: Attempt, now_us: int) -> int:
        """How long the answer to an attempt is waited for; a body that is still coming begins its time at each read."""
        if not request.body_complete:
            left_us = (
                request.response_sink.body_complete_since_us()
                + request.http_request.client_timeout_us
                - RESPONSE_MARGIN_US
                - now_us
            )
            return min(attempt.timeout_us or left_us, left_us)
        ends_us = request.deadline_us
        if attempt.timeout_us:
            ends_us = min(ends_us, attempt.started_us + attempt.timeout_us)
        return ends_us - now_us

    def final_answer(self, request: PendingRequest, answer: FinalResponse, now_us: int) -> FinalResponse:
        """What the client is told: a refusal promises that nothing has run, and is none where that is not known."""
        self.trace.note("answered", request.request_id, reason=answer.disposition.value)
        self.trace.count(f"answered: {answer.disposition.value}")
        if now_us > request.deadline_us + LATE_ANSWER_US:
            self.trace.count("answered late")
        if answer.disposition is Disposition.SHED and not self.may_shed(request):
            self.trace.violated("refused, though it may have run and may not be repeated", request.request_id)
            return FinalResponse(Disposition.FAILED)
        return answer

    def may_shed(self, request: PendingRequest) -> bool:
        """Whether a client may send it again without harm."""
        kind = request.request_class
        if kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.deduplication_scope == "all"):
            return True
        return not any(attempt.may_have_run for attempt in request.attempts)

    def may_close(self, request: int, unanswered: bool) -> bool:
        """Whether the connection of a client may be closed by us."""
        if unanswered:
            self.trace.violated("closed with a request unanswered", request)
        return not unanswered
