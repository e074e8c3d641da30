"""Checks the protocol rules immediately before each write, retry, final response and connection close.

The policy decides with the state that it knows at that time. Before the attempt is written, the client may disconnect,
a deadline may pass, the endpoint may start to drain, and this process may be suspended. If such an event forbids the
write, the gate returns a `Denial`. An attempt that only a faulty policy can request is denied as well; the gate counts
it and logs it as a violation.
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

# A response counts as late if it is sent more than this long after its deadline. The settings allow 20 ms, and the
# sockets may take another 50 ms.
LATE_RESPONSE_US = 70_000

# Only a fault in the policy leads to these denials at the start of an attempt.
POLICY_FAULTS = frozenset((Denial.MAY_HAVE_RUN, Denial.STILL_OUT, Denial.TOO_MANY))


class WriteGate:
    """Checks the protocol rules without relying on the state that the policy keeps.

    Attributes:
        trace: records the denials and violations.
        settings: the current settings.
        endpoints: the endpoints that are ready now.
    """

    def __init__(self, trace: Trace, settings: Settings, endpoints: ReadyEndpoints | None = None) -> None:
        self.trace = trace
        self.settings = settings
        self.endpoints = endpoints if endpoints is not None else ReadyEndpoints()

    def may_start(self, request: PendingRequest, attempt_index: int, now_us: int) -> bool:
        """Return whether an attempt that the policy has just requested may start; record a fault of the policy."""
        attempt = request.attempts[attempt_index]
        denial = self.denial(request, attempt_index, now_us)
        self.trace.record_event(EventName.CHOSEN, request.request_id, attempt_index, attempt.endpoint_id)
        if denial is not None:
            self._record_denial(request, attempt_index, denial, violation=denial in POLICY_FAULTS)
        return denial is None

    def authorize_write(self, request: PendingRequest, attempt_index: int, now_us: int) -> WritePermit | Denial:
        """Return a permit to write the first byte of an attempt now, or the reason why it is denied."""
        denial = self.denial(request, attempt_index, now_us)
        if denial is None and request.response_sink.client_may_have_closed():
            denial = Denial.CLIENT_LEFT
        if denial is not None:
            # Settings that changed after the start of this attempt may forbid hedging or allow fewer attempts, so
            # only `MAY_HAVE_RUN` proves a fault in the policy here.
            self._record_denial(request, attempt_index, denial, violation=denial is Denial.MAY_HAVE_RUN)
            return denial
        attempt = request.attempts[attempt_index]
        self.trace.record_event(EventName.WRITTEN, request.request_id, attempt_index, attempt.endpoint_id)
        return WritePermit(self.remaining_us(request, attempt, now_us))

    def denial(self, request: PendingRequest, attempt_index: int, now_us: int) -> Denial | None:
        """Return the rule that forbids an attempt, or None; the state of the client connection is not checked."""
        attempt = request.attempts[attempt_index]
        return (
            _response_denial(request)
            or self._time_denial(request, attempt, now_us)
            or self._selection_denial(request, attempt_index)
            or self.retry_denial(request, attempt, now_us)
        )

    def endpoint_has_changed(self, attempt: Attempt) -> bool:
        """Return whether the endpoint is draining, was removed, has moved or has restarted since it was chosen."""
        current = self.endpoints.get(attempt.endpoint_id)
        chosen = attempt.chosen_endpoint
        if current is None or chosen is None:
            return True
        return current.address != chosen.address or current.endpoint.started_us != chosen.endpoint.started_us

    def retry_denial(self, request: PendingRequest, attempt: Attempt, now_us: int) -> Denial | None:
        """Return why the other attempts of a request forbid this one, or None.

        The result depends on which of them were written, and on how they ended.
        """
        others = [other for other in request.attempts if other is not attempt]
        if not self.settings.hedging and any(other.written_us and not other.ended for other in others):
            return Denial.STILL_OUT
        possibly_executed = [other for other in others if other.may_have_run]
        if not possibly_executed or request.request_class.effect == "idempotent":
            return None
        if request.request_class.effect == "at_most_once":
            return Denial.MAY_HAVE_RUN
        first_written_us = min(other.written_us for other in possibly_executed)
        if now_us >= first_written_us + request.request_class.deduplication_window_us:
            return Denial.WINDOW_OVER
        scope = request.request_class.deduplication_scope
        if all(_in_same_deduplication_scope(scope, other, attempt) for other in possibly_executed):
            return None
        return Denial.MAY_HAVE_RUN

    def remaining_us(self, request: PendingRequest, attempt: Attempt, now_us: int) -> int:
        """Return how long the sidecar waits for the response to an attempt.

        While the request body is still arriving, the client timeout counts from the earliest time at which the
        client may have sent the last byte.
        """
        if not request.body_complete:
            client_timeout_at_us = request.response_sink.earliest_body_end_us() + request.http_request.client_timeout_us
            remaining_us = client_timeout_at_us - RESPONSE_MARGIN_US - now_us
            return min(attempt.timeout_us or remaining_us, remaining_us)
        timeout_at_us = request.deadline_us
        if attempt.timeout_us:
            timeout_at_us = min(timeout_at_us, attempt.started_us + attempt.timeout_us)
        return timeout_at_us - now_us

    def check_final_response(self, request: PendingRequest, response: FinalResponse, now_us: int) -> FinalResponse:
        """Record the final response and return the response that the client may receive.

        A response that sheds a request promises the client that a retry is safe. If the request may have run and may
        not be repeated, the response reports a failure instead.
        """
        self.trace.record_event(EventName.ANSWERED, request.request_id, reason=response.disposition.value)
        self.trace.count(f"answered: {response.disposition.value}")
        if now_us > request.deadline_us + LATE_RESPONSE_US:
            self.trace.count("answered late")
        if response.disposition is Disposition.SHED and not self.may_shed(request):
            self.trace.record_violation("refused, though it may have run and may not be repeated", request.request_id)
            return FinalResponse(Disposition.FAILED)
        return response

    def may_shed(self, request: PendingRequest) -> bool:
        """Return whether a client may safely retry the request."""
        if request.request_class.is_repeatable_anywhere:
            return True
        return not any(attempt.may_have_run for attempt in request.attempts)

    def may_close(self, request_id: int, unanswered: bool) -> bool:  # noqa: FBT001 - the caller passes it by position
        """Return whether the sidecar may close the connection to a client: only if no request on it is unanswered.

        An attempt to close it with an unanswered request is recorded as a violation, although it is prevented.
        """
        if unanswered:
            self.trace.record_violation("closed with a request unanswered", request_id)
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
        self.trace.record_event(EventName.DENIED, request.request_id, attempt_index, endpoint_id, denial.name)
        self.trace.count(f"denied: {denial.name}")
        if violation:
            self.trace.record_violation(denial.value, request.request_id, attempt_index, endpoint_id)


def _response_denial(request: PendingRequest) -> Denial | None:
    if request.completed:
        return Denial.REQUEST_OVER
    if request.is_streaming:
        return Denial.ANSWER_BEGUN
    return None


def _in_same_deduplication_scope(scope: str, earlier: Attempt, retry: Attempt) -> bool:
    """Return whether the endpoints of two attempts are in the same deduplication scope."""
    if scope not in ("zone", "cell"):
        return True
    if earlier.chosen_endpoint is None or retry.chosen_endpoint is None:
        return False
    return _scope_key(scope, earlier.chosen_endpoint.endpoint) == _scope_key(scope, retry.chosen_endpoint.endpoint)


def _scope_key(scope: str, endpoint: Endpoint) -> int:
    return endpoint.zone if scope == "zone" else endpoint.cell
