"""Starting and cancelling attempts, and the slots that they hold."""

from __future__ import annotations

import math

from garnetusher.policy.actions import CancelAttempt, Forward
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.retry import RetryPolicy
from garnetusher.policy.slots import Pool
from garnetusher.policy.state import AttemptState, RequestState
from garnetusher.policy.timers import TimerKind, TimerQueue
from garnetusher.policy.zones import Zones

RATE_WINDOW_US = 5_000_000  # the time constant of the moving average of a pool's attempt rate
MICROSECONDS_PER_S = 1_000_000


class AttemptForwarder:
    """Starts and cancels attempts, and takes and frees the slots of endpoints."""

    def __init__(self, context: PolicyContext, timers: TimerQueue, retry_policy: RetryPolicy, zones: Zones) -> None:
        self._context = context
        self._timers = timers
        self._retry_policy = retry_policy
        self._zones = zones

    def forward(self, request: RequestState, state: EndpointState) -> None:
        """Start an attempt of a request at an endpoint."""
        now_us, pool, cohort = self._context.now_us, state.pool, state.cohort
        if cohort is not None:
            # A trial request may use an endpoint before its next attempt is due. What is left to accrue until then
            # is added to what the following attempt must accrue.
            cohort.schedule_attempt(state, 1.0 if state.attempt_due else 1.0 + state.due_at_accrual - cohort.accrued)
        self._record_attempt(pool)
        pool.set_in_use(state, now_us, in_use=True)
        self._retry_policy.record_attempt(first=not request.attempts)
        deduplication_ends_us = self._retry_policy.deduplication_ends_us(request)
        attempt = AttemptState(state, now_us)
        request.attempts.append(attempt)
        if request.body_complete:  # an incomplete body takes no slot: slow uploads would hold all slots for seconds
            self.take_slot(attempt)
        elif cohort is not None:
            pool.update_weight(state, now_us)
        timeout_us = self._retry_policy.timeout_us(request)
        self._context.actions.append(
            Forward(request.event.request_id, state.endpoint.id, timeout_us, deduplication_ends_us)
        )
        self._schedule_timers(request)

    def take_slot(self, attempt: AttemptState) -> None:
        """Let an attempt hold a slot of its endpoint, unless it already holds one."""
        state = attempt.endpoint_state
        state.slots_used += int(not attempt.holds_slot)
        attempt.holds_slot = True
        state.pool.update_weight(state, self._context.now_us)

    def free_slot(self, attempt: AttemptState) -> None:
        """Free an attempt's slot, if it holds one."""
        state = attempt.endpoint_state
        state.slots_used -= int(attempt.holds_slot)
        attempt.holds_slot = False
        state.pool.update_weight(state, self._context.now_us)

    def cancel_outstanding(self, request: RequestState, winner_index: int | None = None) -> None:
        """Cancel the outstanding attempts of a request except the winner.

        Their responses are not needed, and they hold slots that other requests wait for. Those of a completed request
        continue.
        """
        if not self._context.settings.cancel_attempts or request.completed:
            return
        for attempt_index, attempt in enumerate(request.attempts):
            if attempt.outcome is None and attempt_index != winner_index:
                self._context.actions.append(CancelAttempt(request.event.request_id, attempt_index))

    def _record_attempt(self, pool: Pool) -> None:
        now_us = self._context.now_us
        pool.admission_credit = max(0.0, pool.admission_credit - 1.0)
        decay = math.exp((pool.attempt_rate_updated_us - now_us) / RATE_WINDOW_US)
        pool.attempt_rate_per_s = pool.attempt_rate_per_s * decay + MICROSECONDS_PER_S / RATE_WINDOW_US
        pool.attempt_rate_updated_us = now_us

    def _schedule_timers(self, request: RequestState) -> None:
        now_us, request_id = self._context.now_us, request.event.request_id
        hedge_delay_us = self._retry_policy.hedge_delay_us(request)
        if hedge_delay_us is not None:
            self._timers.schedule(now_us + hedge_delay_us, TimerKind.HEDGE, request_id)
        if len(self._zones.zones) > 1 and request.body_complete:
            overdue_after_us = self._retry_policy.overdue_after_us(request)
            self._timers.schedule(now_us + overdue_after_us, TimerKind.OVERDUE, request_id)
