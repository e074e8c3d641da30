"""The lifecycle of a request, from its arrival to the end of its last attempt."""

from __future__ import annotations

from garnetusher.policy.admission import AdmissionController
from garnetusher.policy.attempts import AttemptForwarder
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    DeadlineChanged,
    Outcome,
    RequestArrived,
    RequestBodyComplete,
    RequestNotReplayable,
    ResponseStarted,
)
from garnetusher.policy.outlier import OutlierDetector
from garnetusher.policy.retry import RETRIED_OUTCOMES, RetryPolicy
from garnetusher.policy.state import AttemptState, RequestState
from garnetusher.policy.zone import Zone

# These outcomes say nothing about the endpoint. If rejections counted, invalid requests would reduce the slot limits of
# healthy endpoints.
OUTCOMES_WITHOUT_EVIDENCE = (Outcome.REJECTED, Outcome.NOT_WRITTEN)
RESPONSE_WINDOW = 8  # the averaging window of a class's mean response time, in responses
# Slow start also counts requests that found no free slot, but at most this many for each response
UNSERVED_SHARE = 0.5
MAX_UNSERVED = 2.0  # the most requests without a free slot that slow start can count at once


class RequestLifecycle:
    """Tracks requests and attempts through their events and delegates the decisions to the other components."""

    def __init__(
        self,
        context: PolicyContext,
        admission: AdmissionController,
        forwarder: AttemptForwarder,
        retry_policy: RetryPolicy,
        outlier_detector: OutlierDetector,
    ) -> None:
        self._context = context
        self._admission = admission
        self._forwarder = forwarder
        self._retry_policy = retry_policy
        self._outlier_detector = outlier_detector

    def on_arrived(self, event: RequestArrived) -> None:
        """Start to track a request and admit it; an id that is already known is ignored."""
        context = self._context
        if event.request_id in context.requests:
            return
        tenants = context.tenant_states
        tenant = tenants[event.tenant_index] if event.tenant_index < len(tenants) else None
        class_state = context.class_states[event.class_index]
        request = RequestState(event, class_state, tenant, context.settings.max_attempts, context.now_us)
        context.requests[event.request_id] = request
        self._admission.admit(request)

    def on_body_complete(self, event: RequestBodyComplete) -> None:
        """Start the time limits of a request and take slots: only a complete request puts load on its endpoint."""
        request = self._context.requests.get(event.request_id)
        if request is None:
            return
        now_us = self._context.now_us
        request.body_complete = True
        request.arrived_us, request.client_timeout_us = now_us, event.deadline_us - now_us
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_us = now_us
                self._forwarder.take_slot(attempt)

    def on_not_replayable(self, event: RequestNotReplayable) -> None:
        """Record that the body of a request cannot be sent again."""
        request = self._context.requests.get(event.request_id)
        if request is not None:
            request.not_replayable = True

    def on_deadline_changed(self, event: DeadlineChanged) -> None:
        """Update the deadline of a request."""
        request = self._context.requests.get(event.request_id)
        if request is not None:
            request.client_timeout_us = event.deadline_us - request.arrived_us
            self._admission.reschedule_buffer_timeout(request)

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close a request whose client has disconnected."""
        request = self._context.requests.get(event.request_id)
        if request is not None:
            self._admission.mark_completed(request)

    def on_client_half_closed(self, event: ClientHalfClosed) -> None:
        """Finish a request whose client has half-closed, unless an outstanding attempt may still answer it."""
        request = self._context.requests.get(event.request_id)
        if request is None:
            return
        request.client_half_closed = True
        if request.outstanding() == 0 and not request.completed:
            self._admission.answer(request)

    def on_response_started(self, event: ResponseStarted) -> None:
        """Update the estimates at the first bytes of a response and cancel the other attempts.

        The rest of the response takes as long as the client needs to read it. If the attempt were counted at its end,
        it would hold a slot for that time and its endpoint would appear slow.
        """
        request = self._context.requests.get(event.request_id)
        if request is None or event.attempt_index >= len(request.attempts) or request.response_started:
            return
        attempt = request.attempts[event.attempt_index]
        if attempt.outcome is None:
            request.response_started = True
            self._update_estimates(request, attempt, Outcome.OK, event.elapsed_us)
            self._forwarder.cancel_outstanding(request, event.attempt_index)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Update the estimates; retry or finish the request if no other attempt is outstanding."""
        request = self._context.requests.get(event.request_id)
        if request is None or event.attempt_index >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt_index]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        if not request.response_started or attempt.holds_slot:  # the start of a response frees the slot
            self._update_estimates(request, attempt, event.outcome, event.elapsed_us)
        if event.request_completed or request.completed:
            self._forwarder.cancel_outstanding(request)
            self._admission.mark_completed(request)
        elif request.outstanding() == 0:
            self._retry_or_finish(request, event.outcome)

    def on_overdue_timer(self, request_id: int) -> None:
        """Record the attempts of a request that have become overdue as evidence against their zones."""
        request = self._context.requests.get(request_id)
        if request is None:
            return
        for attempt in request.attempts:
            if self._retry_policy.is_overdue(request, attempt):
                repeated = any(other.overdue for other in request.attempts)
                self._outlier_detector.record_overdue(attempt, repeated=repeated)

    def on_hedge_timer(self, request_id: int) -> None:
        """Hedge a request whose attempt is slow."""
        request = self._context.requests.get(request_id)
        if request is not None:
            self._admission.hedge(request)

    def hedge_requests_in(self, zone: Zone) -> None:
        """Hedge the idempotent requests whose last attempt is outstanding in a zone that has been evacuated."""
        for request in list(self._context.requests.values()):
            last = request.attempts[-1] if request.attempts else None
            if last is None or last.outcome is not None or last.endpoint.zone != zone.number:
                continue
            if self._retry_policy.has_budget() and request.class_state.request_class.effect == "idempotent":
                self._admission.hedge(request)

    def _retry_or_finish(self, request: RequestState, outcome: Outcome) -> None:
        may_retry = outcome in RETRIED_OUTCOMES and self._retry_policy.may_forward(request)
        if may_retry and self._retry_policy.has_budget():
            self._admission.forward_or_buffer(request)
        else:
            self._admission.answer(request)

    def _update_estimates(
        self, request: RequestState, attempt: AttemptState, outcome: Outcome, elapsed_us: int
    ) -> None:
        """Free the attempt's slot and update the estimates from its outcome."""
        self._forwarder.free_slot(attempt)
        class_state = request.class_state
        # Response times count from the last byte of the body; before it, the elapsed time is the client's
        has_response_time = request.body_complete or outcome not in (Outcome.OK, Outcome.CANCELLED)
        if outcome not in OUTCOMES_WITHOUT_EVIDENCE and has_response_time:
            self._outlier_detector.record_outcome(attempt, outcome, elapsed_us, class_state)
        if outcome is Outcome.OK:
            pool = attempt.endpoint_state.pool
            pool.slow_start.counted_responses += 1.0
            pool.unserved_allowance = min(pool.unserved_allowance + UNSERVED_SHARE, MAX_UNSERVED)
        if outcome in (Outcome.OK, Outcome.TIMEOUT) and has_response_time:
            # Timeouts count too: otherwise the mean would include only the few quick responses while endpoints are slow
            mean_us = class_state.mean_response_us
            class_state.mean_response_us = max(1.0, mean_us + (elapsed_us - mean_us) / RESPONSE_WINDOW)
