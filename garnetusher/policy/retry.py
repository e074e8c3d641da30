"""What may be retried or hedged, how often, and how long an attempt may take."""

from __future__ import annotations

from collections.abc import Callable

from garnetusher.policy.context import PolicyContext
from garnetusher.policy.events import Endpoint, Outcome
from garnetusher.policy.state import AttemptState, RequestState

IMMEDIATE_FAILURES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
# retrying these too: otherwise an endpoint that fails a share of its requests, or has gone, would lose them all
RETRIED_OUTCOMES = (*IMMEDIATE_FAILURES, Outcome.TIMEOUT, Outcome.NOT_WRITTEN)
RETRY_BUDGET_RATIO = 0.2  # retries a first attempt earns: enough for a fifth of the fleet to fail every attempt
MAX_RETRY_BUDGET = 5.0  # retries in hand after a calm spell
OVERDUE_FACTOR = 3.0  # times the usual response time, at most half the objective: then an attempt counts as overdue
TIMEOUT_FACTOR = 4  # times the usual response time, where a retry may follow
HEDGE_FACTOR = 2  # times the usual response time: soon enough to be back in time, late enough to be rare


class RetryPolicy:
    """The retry budget and the rules on repeating a request."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._budget = MAX_RETRY_BUDGET

    def has_budget(self) -> bool:
        """Return whether a retry may be made. When all endpoints are slow, retries would double what slows them."""
        return self._budget >= 1.0

    def record_attempt(self, *, first: bool) -> None:
        """Let a first attempt earn a part of a retry, and a retry use one up."""
        self._budget = min(MAX_RETRY_BUDGET, self._budget + (RETRY_BUDGET_RATIO if first else -1.0))

    def may_forward(self, request: RequestState) -> bool:
        """Return whether rules 1 and 2 allow another attempt, as far as that does not depend on the endpoint."""
        if request.completed or request.response_started or request.client_half_closed:
            return False
        if self._context.now_us >= self._clock_start_us(request) + request.client_timeout_us:
            return False
        if request.not_replayable and request.attempts:
            return False
        if len(request.attempts) >= min(request.max_attempts, self._context.settings.max_attempts):
            return False  # a limit that falls holds for requests in flight too
        return not request.attempts or self._may_repeat(request)

    def _may_repeat(self, request: RequestState) -> bool:
        if request.outstanding() > 0 and not self._context.settings.hedging:
            return False
        first, rules = request.first_possibly_executed(), request.class_state.rules
        if first is None or rules.effect == "idempotent":
            return True
        return rules.effect == "deduplicated" and self._context.now_us - first.sent_us < rules.deduplication_window_us

    def same_deduplication_scope(self, request: RequestState) -> Callable[[Endpoint], bool] | None:
        """Return a test for endpoints that drop repeats of this request; None if all may be sent to.

        Rule 2: after an attempt with an idempotency key that may have run, only such endpoints may have the next one.
        """
        first, rules = request.first_possibly_executed(), request.class_state.rules
        if first is None or rules.effect != "deduplicated" or rules.deduplication_scope == "all":
            return None
        endpoint = first.endpoint
        if rules.deduplication_scope == "zone":
            return lambda other: other.zone == endpoint.zone
        return lambda other: other.cell == endpoint.cell

    def is_harmless(self, request: RequestState) -> bool:
        """Return whether the client may repeat the request without a second effect, so that it may be shed."""
        if any(attempt.outcome is Outcome.REJECTED for attempt in request.attempts):
            return False
        rules = request.class_state.rules
        return (
            rules.effect == "idempotent"
            or request.first_possibly_executed() is None
            or (rules.effect == "deduplicated" and rules.deduplication_scope == "all")
        )

    def latest_forward_us(self, request: RequestState) -> int:
        """Return the time until which a repeat may be written; 0 = no limit.

        Endpoints may have forgotten what ran by the time a new connection comes up.
        """
        first, rules = request.first_possibly_executed(), request.class_state.rules
        if first is None or rules.effect != "deduplicated":
            return 0
        return first.sent_us + rules.deduplication_window_us

    def useful_until_us(self, request: RequestState) -> int:
        """Return when a response stops being of any use."""
        rules = request.class_state.rules
        useful_us = rules.deadline_us if rules.late_weight > 0 else rules.latency_objective_us
        return self._clock_start_us(request) + min(request.client_timeout_us, useful_us)

    def latest_start_us(self, request: RequestState) -> int:
        """Return when an attempt must start to be back in time.

        At most half the objective is reserved for it: after an outage that every response outlasted, the estimate would
        otherwise leave time for no attempt at all.
        """
        class_state = request.class_state
        response_us = min(class_state.mean_response_us, class_state.half_objective_us)
        return self.useful_until_us(request) - int(response_us)

    def timeout_us(self, request: RequestState) -> int:
        """Return an attempt's timeout: while a response is of use, or the usual time where a retry may follow."""
        remaining_us = max(1, self.useful_until_us(request) - self._context.now_us)
        class_state = request.class_state
        if self._context.settings.hedging or class_state.rules.effect == "at_most_once" or not self.has_budget():
            return remaining_us
        usual_us = max(
            int(TIMEOUT_FACTOR * class_state.mean_response_us),
            class_state.half_objective_us,
            TIMEOUT_FACTOR * request.event.expected_work_us,
        )
        return min(remaining_us, usual_us)

    def hedge_delay_us(self, request: RequestState) -> int | None:
        """Return after how long a slow attempt is hedged; None if the request may not be hedged."""
        class_state = request.class_state
        if (
            not self._context.settings.hedging
            or class_state.rules.effect == "at_most_once"
            or not request.body_complete
        ):
            return None
        return min(int(HEDGE_FACTOR * class_state.mean_response_us), class_state.half_objective_us)

    def overdue_after_us(self, request: RequestState) -> int:
        """Return after how long an attempt counts as evidence against its zone."""
        class_state = request.class_state
        return min(int(OVERDUE_FACTOR * class_state.mean_response_us), class_state.half_objective_us)

    def is_overdue(self, request: RequestState, attempt: AttemptState) -> bool:
        """Return whether an outstanding attempt has just become overdue."""
        return (
            attempt.outcome is None
            and not attempt.overdue
            and self._context.now_us - attempt.sent_us >= self.overdue_after_us(request)
        )

    def _clock_start_us(self, request: RequestState) -> int:
        """Return what the request's times count from: its last byte, which may be still to come."""
        return request.arrived_us if request.body_complete else self._context.now_us
