"""Which requests may be retried or hedged, the retry budget, and the timeouts of attempts."""

from __future__ import annotations

from collections.abc import Callable

from garnetusher.policy.context import PolicyContext
from garnetusher.policy.events import Endpoint, Outcome
from garnetusher.policy.state import AttemptState, RequestState

IMMEDIATE_FAILURES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
# Without retries, all requests that fail at a partly failing or removed endpoint would be lost
RETRIED_OUTCOMES = (*IMMEDIATE_FAILURES, Outcome.TIMEOUT, Outcome.NOT_WRITTEN)
# The part of a retry that each first attempt adds to the budget. The budget then lasts while a fifth of the endpoints
# fail every attempt.
RETRY_BUDGET_RATIO = 0.2
MAX_RETRY_BUDGET = 5.0  # the most unused retries that the budget holds
# An attempt is overdue after this multiple of the mean response time, or after half the latency objective if sooner
OVERDUE_FACTOR = 3.0
TIMEOUT_FACTOR = 4  # an attempt that may be retried times out after this multiple of the mean response time
# A hedge starts after this multiple of the mean response time. That is early enough for the hedge to meet the latency
# objective, and late enough for hedges to be rare.
HEDGE_FACTOR = 2


class RetryPolicy:
    """Keeps the retry budget and applies the rules for repeating a request."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._budget = MAX_RETRY_BUDGET

    def has_budget(self) -> bool:
        """Return whether the budget allows a retry.

        When all endpoints are slow, unlimited retries would double the load that slows them.
        """
        return self._budget >= 1.0

    def record_attempt(self, *, first: bool) -> None:
        """Update the budget: a first attempt earns a fraction of a retry, and a later attempt spends one."""
        self._budget = min(MAX_RETRY_BUDGET, self._budget + (RETRY_BUDGET_RATIO if first else -1.0))

    def may_forward(self, request: RequestState) -> bool:
        """Return whether rules 1 and 2 allow another attempt; which endpoints they allow is checked separately."""
        if request.completed or request.response_started or request.client_half_closed:
            return False
        if self._context.now_us >= self._clock_start_us(request) + request.client_timeout_us:
            return False
        if request.not_replayable and request.attempts:
            return False
        if len(request.attempts) >= min(request.max_attempts, self._context.settings.max_attempts):
            return False  # a lowered limit also applies to requests in flight
        return not request.attempts or self._may_repeat(request)

    def _may_repeat(self, request: RequestState) -> bool:
        if request.outstanding() > 0 and not self._context.settings.hedging:
            return False
        first, request_class = request.first_possibly_executed(), request.class_state.request_class
        if first is None or request_class.effect == "idempotent":
            return True
        return (
            request_class.effect == "deduplicated"
            and self._context.now_us - first.sent_us < request_class.deduplication_window_us
        )

    def deduplication_scope_filter(self, request: RequestState) -> Callable[[Endpoint], bool] | None:
        """Return a predicate for the endpoints that drop repeats of this request; None if every endpoint is allowed.

        Rule 2: once an attempt of a deduplicated request may have run, the next one may go only to endpoints in the
        same deduplication scope.
        """
        first, request_class = request.first_possibly_executed(), request.class_state.request_class
        if first is None or request_class.effect != "deduplicated" or request_class.deduplication_scope == "all":
            return None
        endpoint = first.endpoint
        if request_class.deduplication_scope == "zone":
            return lambda other: other.zone == endpoint.zone
        return lambda other: other.cell == endpoint.cell

    def is_safe_to_retry(self, request: RequestState) -> bool:
        """Return whether a retry by the client has no additional effect, so that the request may be shed.

        A request that an endpoint has rejected as invalid is never shed.
        """
        if any(attempt.outcome is Outcome.REJECTED for attempt in request.attempts):
            return False
        request_class = request.class_state.request_class
        return request_class.is_repeatable_anywhere or request.first_possibly_executed() is None

    def deduplication_ends_us(self, request: RequestState) -> int:
        """Return when endpoints may no longer remember the earlier attempt; 0 = a repeat may be written at any time.

        A new connection can take so long to open that a repeat would be written after this time.
        """
        first, request_class = request.first_possibly_executed(), request.class_state.request_class
        if first is None or request_class.effect != "deduplicated":
            return 0
        return first.sent_us + request_class.deduplication_window_us

    def useful_until_us(self, request: RequestState) -> int:
        """Return the time after which a response to the client has no value."""
        request_class = request.class_state.request_class
        useful_us = request_class.deadline_us if request_class.late_weight > 0 else request_class.latency_objective_us
        return self._clock_start_us(request) + min(request.client_timeout_us, useful_us)

    def latest_useful_start_us(self, request: RequestState) -> int:
        """Return the latest time at which an attempt can start and still be expected to respond in time.

        At most half the latency objective is reserved for the response: after an outage in which no response came in
        time, the estimated response time would otherwise leave no time for any attempt.
        """
        class_state = request.class_state
        response_us = min(class_state.mean_response_us, class_state.half_objective_us)
        return self.useful_until_us(request) - int(response_us)

    def timeout_us(self, request: RequestState) -> int:
        """Return the timeout of an attempt.

        An attempt that may be retried times out after a multiple of its usual response time, but not before half the
        latency objective. Any other attempt, and every attempt while hedging is
        allowed, runs for as long as its response has a value.
        """
        remaining_us = max(1, self.useful_until_us(request) - self._context.now_us)
        class_state = request.class_state
        if (
            self._context.settings.hedging
            or class_state.request_class.effect == "at_most_once"
            or not self.has_budget()
        ):
            return remaining_us
        retryable_timeout_us = max(
            int(TIMEOUT_FACTOR * class_state.mean_response_us),
            class_state.half_objective_us,
            TIMEOUT_FACTOR * request.event.expected_work_us,
        )
        return min(remaining_us, retryable_timeout_us)

    def hedge_delay_us(self, request: RequestState) -> int | None:
        """Return the time from the start of an attempt to its hedge; None if the request may not be hedged."""
        class_state = request.class_state
        if (
            not self._context.settings.hedging
            or class_state.request_class.effect == "at_most_once"
            or not request.body_complete
        ):
            return None
        return min(int(HEDGE_FACTOR * class_state.mean_response_us), class_state.half_objective_us)

    def overdue_after_us(self, request: RequestState) -> int:
        """Return the time after which an outstanding attempt counts as evidence against its zone."""
        class_state = request.class_state
        return min(int(OVERDUE_FACTOR * class_state.mean_response_us), class_state.half_objective_us)

    def is_overdue(self, request: RequestState, attempt: AttemptState) -> bool:
        """Return whether an outstanding attempt is overdue and has not been counted as such yet."""
        return (
            attempt.outcome is None
            and not attempt.overdue
            and self._context.now_us - attempt.sent_us >= self.overdue_after_us(request)
        )

    def _clock_start_us(self, request: RequestState) -> int:
        """Return when the time limits of a request start: at its last byte, or now while the body is incomplete."""
        return request.arrived_us if request.body_complete else self._context.now_us
