"""The rules of the protocol, checked at the moment of each write, retry, final response and close.

The policy decides on what it knows when it decides. By the time of the write the client may have disconnected, a
deadline may have passed, the endpoint may be draining, and this process may have been suspended. What such events
forbid is a `Denial`. What only a fault of the policy could ask for is denied too, counted, and logged as a violation.
"""

from __future__ import annotations

from garnetusher.policy.events import Endpoint
from garnetusher.policy.settings import Settings
from garnetusher.sidecar.requests.endpoints import ReadyEndpoints
from garnetusher.sidecar.requests.messages import (
    RESPONSE_MARGIN_US,
    Attempt,
    Denial,
    Disposition,
    FinalResponse,
    PendingRequest,
    WritePermit,
)
from garnetusher.sidecar.requests.trace import EventName, Trace

LATE_RESPONSE_US = 70_000  # after a deadline: the settings' slack of 20 ms, and 50 ms that sockets may take
POLICY_FAULTS = frozenset((Denial.MAY_HAVE_RUN, Denial.STILL_OUT, Denial.TOO_MANY))


class WriteGate:
    """The rules of the protocol, independent of the policy's own bookkeeping.

    Attributes:
        trace: where denials and violations are recorded.
        settings: the current settings.
        endpoints: the endpoints that are ready now.
    """

    def __init__(self, trace: Trace, settings: Settings, endpoints: ReadyEndpoints | None = None) -> None:
        self.trace = trace
        self.settings = settings
        self.endpoints = endpoints if endpoints is not None else ReadyEndpoints()

    def may_start(self, request: PendingRequest, attempt_index: int, now_us: int) -> bool:
        """Whether an attempt that the policy has just asked for may start; one against the rules is its fault."""
        attempt = request.attempts[attempt_index]
        denial = self.denial(request, attempt_index, now_us)
        self.trace.note(EventName.CHOSEN, request.request_id, attempt_index, attempt.endpoint_id)
        if denial is not None:
            self._record_denial(request, attempt_index, denial, violation=denial in POLICY_FAULTS)
        return denial is None

    def may_write(self, request: PendingRequest, attempt_index: int, now_us: int) -> WritePermit | Denial:
        """Whether the first byte of an attempt may be written now."""
        denial = self.denial(request, attempt_index, now_us)
        if denial is None and request.response_sink.client_has_closed():
            denial = Denial.CLIENT_LEFT
        if denial is not None:
            # new settings may have forbidden hedging, or so many attempts, since this attempt started
            self._record_denial(request, attempt_index, denial, violation=denial is Denial.MAY_HAVE_RUN)
            return denial
        attempt = request.attempts[attempt_index]
        self.trace.note(EventName.WRITTEN, request.request_id, attempt_index, attempt.endpoint_id)
        return WritePermit(self.remaining_us(request, attempt, now_us))

    def denial(self, request: PendingRequest, attempt_index: int, now_us: int) -> Denial | None:
        """Return what forbids an attempt, without a look at its client's connection; None = nothing."""
        attempt = request.attempts[attempt_index]
        return (
            _response_denial(request)
            or self._time_denial(request, attempt, now_us)
            or self._selection_denial(request, attempt_index)
            or self.retry_denial(request, attempt, now_us)
        )

    def endpoint_has_changed(self, attempt: Attempt) -> bool:
        """Whether its endpoint is no longer the ready one that was chosen: it drains, has moved or has restarted."""
        current = self.endpoints.get(attempt.endpoint_id)
        chosen = attempt.target
        if current is None or chosen is None:
            return True
        return current.address != chosen.address or current.endpoint.started_us != chosen.endpoint.started_us

    def retry_denial(self, request: PendingRequest, attempt: Attempt, now_us: int) -> Denial | None:
        """Return why a request may not be repeated, from what was written of its other attempts and how they ended."""
        others = [other for other in request.attempts if other is not attempt]
        if not self.settings.hedging and any(other.written_us and not other.ended for other in others):
            return Denial.STILL_OUT
        first = next((other for other in others if other.may_have_run), None)
        if first is None or request.request_class.effect == "idempotent":
            return None
        if request.request_class.effect == "at_most_once":
            return Denial.MAY_HAVE_RUN
        if now_us >= first.written_us + request.request_class.deduplication_window_us:
            return Denial.WINDOW_OVER
        if _deduplicated_together(request.request_class.deduplication_scope, first, attempt):
            return None
        return Denial.MAY_HAVE_RUN

    def remaining_us(self, request: PendingRequest, attempt: Attempt, now_us: int) -> int:
        """Return how long the response to an attempt is waited for.

        While a body is still coming, the client's timeout counts from its latest read.
        """
        if not request.body_complete:
            client_timeout_at_us = (
                request.response_sink.body_complete_since_us() + request.http_request.client_timeout_us
            )
            remaining_us = client_timeout_at_us - RESPONSE_MARGIN_US - now_us
            return min(attempt.timeout_us or remaining_us, remaining_us)
        ends_us = request.deadline_us
        if attempt.timeout_us:
            ends_us = min(ends_us, attempt.started_us + attempt.timeout_us)
        return ends_us - now_us

    def final_response(self, request: PendingRequest, response: FinalResponse, now_us: int) -> FinalResponse:
        """Return what the client may be sent: a shed request promises that nothing has run, else it has failed."""
        self.trace.note(EventName.ANSWERED, request.request_id, reason=response.disposition.value)
        self.trace.count(f"answered: {response.disposition.value}")
        if now_us > request.deadline_us + LATE_RESPONSE_US:
            self.trace.count("answered late")
        if response.disposition is Disposition.SHED and not self.may_shed(request):
            self.trace.violated("refused, though it may have run and may not be repeated", request.request_id)
            return FinalResponse(Disposition.FAILED)
        return response

    def may_shed(self, request: PendingRequest) -> bool:
        """Whether a client may retry the request without harm."""
        request_class = request.request_class
        if request_class.effect == "idempotent":
            return True
        if request_class.effect == "deduplicated" and request_class.deduplication_scope == "all":
            return True
        return not any(attempt.may_have_run for attempt in request.attempts)

    def may_close(self, request_id: int, unanswered: bool) -> bool:  # noqa: FBT001 - downstream passes it by position
        """Whether this side may close the connection of a client."""
        if unanswered:
            self.trace.violated("closed with a request unanswered", request_id)
        return not unanswered

    def _time_denial(self, request: PendingRequest, attempt: Attempt, now_us: int) -> Denial | None:
        if self.remaining_us(request, attempt, now_us) <= 0:
            return Denial.TIME_OVER
        if attempt.latest_start_us and now_us >= attempt.latest_start_us:
            return Denial.WINDOW_OVER
        return None

    def _selection_denial(self, request: PendingRequest, attempt_index: int) -> Denial | None:
        if self.endpoint_has_changed(request.attempts[attempt_index]):
            return Denial.ENDPOINT_CHANGED
        if attempt_index >= min(request.max_attempts, self.settings.max_attempts):
            return Denial.TOO_MANY
        return None

    def _record_denial(self, request: PendingRequest, attempt_index: int, denial: Denial, *, violation: bool) -> None:
        endpoint_id = request.attempts[attempt_index].endpoint_id
        self.trace.note(EventName.DENIED, request.request_id, attempt_index, endpoint_id, denial.name)
        self.trace.count(f"denied: {denial.name}")
        if violation:
            self.trace.violated(denial.value, request.request_id, attempt_index, endpoint_id)


def _response_denial(request: PendingRequest) -> Denial | None:
    if request.completed:
        return Denial.REQUEST_OVER
    if request.is_streaming:
        return Denial.ANSWER_BEGUN
    return None


def _deduplicated_together(scope: str, first: Attempt, retry: Attempt) -> bool:
    """Whether the endpoints of two attempts discard each other's duplicates."""
    if scope not in ("zone", "cell"):
        return True
    if first.target is None or retry.target is None:
        return False
    return _scope_key(scope, first.target.endpoint) == _scope_key(scope, retry.target.endpoint)


def _scope_key(scope: str, endpoint: Endpoint) -> int:
    return endpoint.zone if scope == "zone" else endpoint.cell
