"""Admission control: forward a request through a free slot, keep it in the one-request buffer, or shed it."""

from __future__ import annotations

from garnetusher.policy.actions import Fail, Shed
from garnetusher.policy.attempts import AttemptForwarder
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.endpoints import EndpointRegistry
from garnetusher.policy.retry import RetryPolicy
from garnetusher.policy.selection import EndpointSelector
from garnetusher.policy.slots import Pool
from garnetusher.policy.state import RequestState
from garnetusher.policy.timers import TimerKind, TimerQueue

# The averaging window, in arrivals. It is long enough to distinguish a tenant at twice its quota from random variation,
# and short enough to adapt to a changing load.
ARRIVAL_WINDOW = 200
OVERLOAD_START = 0.2  # an overload is logged once more than this fraction of arrivals finds no free slot
OVERLOAD_END = 0.02  # the end of an overload is logged once the fraction falls to this value
MAX_ADMISSION_CREDIT = 2.0  # the largest admission credit of a pool, in attempts
RESPONSES_PER_ARRIVAL = 0.1  # slow start counts one arrival as this many responses
# Slow start counts one arrival as up to this many responses if all endpoints of a pool are warming. Before the first
# response, the pool then receives an attempt for about a third of the arrivals.
WARMING_RESPONSES_PER_ARRIVAL = 0.3
# If all endpoints of a pool are warming, the responses per second that slow start counts for arrivals are limited to
# this share of the sidecar's quota, or to RESPONSES_PER_ARRIVAL for each arrival if that allows more. With this limit,
# responses and arrivals together allow a load of at most three times the initial warm-up fraction.
WARMING_QUOTA_SHARE = 0.2
MICROSECONDS_PER_S = 1_000_000


class AdmissionController:
    """Decides which requests to forward, buffer or shed, and gives requests their final answers.

    Attributes:
        buffer: The one request that waits for a slot, or None.
    """

    def __init__(
        self,
        context: PolicyContext,
        timers: TimerQueue,
        registry: EndpointRegistry,
        retry_policy: RetryPolicy,
        selector: EndpointSelector,
        forwarder: AttemptForwarder,
    ) -> None:
        self._context = context
        self._timers = timers
        self._pools = registry.pools
        self._zones = registry.zones
        self._retry_policy = retry_policy
        self._selector = selector
        self._forwarder = forwarder
        self.buffer: RequestState | None = None
        self._unsent_fraction = 0.0  # the moving average of the fraction of arrivals that found no free slot
        self._is_overloaded = False  # whether the last logged message said that an overload begins

    def admit(self, request: RequestState) -> None:
        """Forward, buffer or finish a request that has just arrived."""
        self._record_tenant_arrival(request)
        self.forward_or_buffer(request)
        self._unsent_fraction += (float(not request.attempts) - self._unsent_fraction) / ARRIVAL_WINDOW
        self._log_overload()

    def forward_or_buffer(self, request: RequestState) -> None:
        """Forward a request through a free slot; buffer it if there is none; otherwise give it its final answer."""
        now_us = self._context.now_us
        if now_us >= self._retry_policy.latest_useful_start_us(request):
            self.answer(request)
            return
        for pool in self._pools:
            self._record_arrival(pool)
        state = self._selector.select(request)
        self._record_exhausted_pools(state)
        if state is not None:
            self._forwarder.forward(request, state)
            return
        self._context.slots_exhausted_us = now_us
        if self._retry_policy.may_forward(request) and self._may_take_buffer(request):
            self._set_buffer(request)
        else:
            self.answer(request)

    def forward_buffered(self) -> None:
        """Forward the buffered request if an endpoint that it may use has a free slot."""
        request = self.buffer
        if request is None:
            return
        state = self._selector.select(request)
        if state is not None:
            self.buffer = None
            self._forwarder.forward(request, state)

    def hedge(self, request: RequestState) -> None:
        """Start a hedged attempt on another endpoint while the first attempt is outstanding.

        Nothing is hedged while a request is buffered: when slots are short, hedged attempts would take the slots of
        requests that have no attempt yet.
        """
        if request.outstanding() != 1 or self.buffer is not None:
            return
        state = self._selector.select(request)
        if state is not None and state is not request.attempts[-1].endpoint_state:
            self._forwarder.forward(request, state)

    def on_buffer_timeout(self, request_id: int) -> None:
        """Give the buffered request its final answer, unless another request has replaced it in the buffer."""
        if self.buffer is not None and self.buffer.event.request_id == request_id:
            self.answer(self.buffer)

    def reschedule_buffer_timeout(self, request: RequestState) -> None:
        """Schedule another buffer timeout after the deadline of a buffered request has changed."""
        if request is self.buffer:
            latest_useful_start_us = self._retry_policy.latest_useful_start_us(request)
            self._timers.schedule(latest_useful_start_us, TimerKind.BUFFER, request.event.request_id)

    def answer(self, request: RequestState) -> None:
        """Give a request its final answer.

        By rule 1 a request gets one final answer; by rule 2 the policy sheds it only if a retry by the client has no
        second effect.
        """
        is_safe_to_retry = self._retry_policy.is_safe_to_retry(request)
        self.mark_completed(request)
        settings, request_id = self._context.settings, request.event.request_id
        # About one response time, with random jitter so that shed clients do not retry at the same time
        delay_us = request.class_state.mean_response_us * (0.5 + self._context.random.random())
        retry_after_us = int(min(delay_us, settings.max_retry_after_us)) if settings.send_retry_after else 0
        self._context.actions.append(Shed(request_id, retry_after_us) if is_safe_to_retry else Fail(request_id))

    def mark_completed(self, request: RequestState) -> None:
        """Mark a request as completed and remove it if no attempt is outstanding."""
        request.completed = True
        if self.buffer is request:
            self.buffer = None
        if request.outstanding() == 0:
            self._context.requests.pop(request.event.request_id, None)

    def expected_weight(self, request: RequestState) -> float:
        """Return the value of using a slot for this request; it is lower if the tenant exceeds its quota.

        The value is the class weight per unit of work or, if weights are per request, per microsecond that the request
        is expected to hold the slot.

        A tenant's arrivals are compared with those of the other tenants at this sidecar, because a sidecar does not
        know the rates of the whole fleet.
        """
        settings, weight = self._context.settings, request.class_state.request_class.priority_weight
        if not settings.weight_by_work:
            weight /= request.class_state.mean_response_us
        if request.tenant is not None:
            tenants = self._context.tenant_states
            quota_fraction = request.tenant.quota_per_s / self._context.total_quota_per_s
            all_arrivals = sum(tenant.recent_arrivals for tenant in tenants)
            # If nothing has arrived since the settings changed, no tenant is over its quota
            arrival_fraction = request.tenant.recent_arrivals / all_arrivals if all_arrivals > 0.0 else 0.0
            share_within_quota = min(1.0, quota_fraction / arrival_fraction) if arrival_fraction > 0.0 else 1.0
            weight *= settings.over_quota_weight + (1.0 - settings.over_quota_weight) * share_within_quota
        elif self._context.tenant_states:
            weight *= settings.over_quota_weight  # a request without a tenant counts as over the quota
        return weight

    def _record_tenant_arrival(self, request: RequestState) -> None:
        if request.tenant is None:
            return
        for tenant in self._context.tenant_states:
            tenant.recent_arrivals *= 1.0 - 1.0 / ARRIVAL_WINDOW
        request.tenant.recent_arrivals += 1.0

    def _log_overload(self) -> None:
        is_overloaded = self._unsent_fraction > (OVERLOAD_END if self._is_overloaded else OVERLOAD_START)
        if is_overloaded == self._is_overloaded:
            return
        if self._context.log("overload begins" if is_overloaded else "overload ends"):
            self._is_overloaded = is_overloaded

    def _record_arrival(self, pool: Pool) -> None:
        pool.admission_credit = min(pool.admission_credit + pool.admitted_fraction, MAX_ADMISSION_CREDIT)
        pool.slow_start.counted_responses += self._responses_per_arrival(pool)
        pool.last_arrival_us = self._context.now_us

    def _responses_per_arrival(self, pool: Pool) -> float:
        """Return how many responses an arrival counts as in slow start.

        The number is small unless all endpoints of the pool are warming, as in a restored zone, where no warm endpoint
        shows how fast load may grow. During an overload, arrivals alone would overload such a pool, so the number is
        limited by a share of this sidecar's quota.
        """
        responses = RESPONSES_PER_ARRIVAL * pool.admitted_fraction
        if pool.slow_start.cohorts and pool.slow_start.all_warming():
            quota_per_s = self._context.total_quota_per_s / self._zones.fleet_size
            elapsed_s = (self._context.now_us - pool.last_arrival_us) / MICROSECONDS_PER_S
            responses = max(
                responses, min(WARMING_RESPONSES_PER_ARRIVAL, WARMING_QUOTA_SHARE * quota_per_s * elapsed_s)
            )
        return responses

    def _record_exhausted_pools(self, state: EndpointState | None) -> None:
        """Record the pools that had no free slot, and let their slow start count the request as a response.

        If only responses counted, warming endpoints would idle while the other endpoints are full and requests are
        shed. The more arrivals find no slot, the less each of them counts; if half of them find none, they count as
        nothing, because so many arrivals would overload the warming endpoints.
        """
        exhausted = self._pools[: self._pools.index(state.pool)] if state is not None else self._pools
        for pool in exhausted:
            pool.exhausted_us = self._context.now_us
            if pool.slow_start.cohorts and not pool.slow_start.all_warming():
                responses = pool.admitted_fraction * max(0.0, 1.0 - 2.0 * self._unsent_fraction)
                responses = min(responses, pool.unserved_allowance)
                pool.unserved_allowance -= responses
                pool.slow_start.counted_responses += responses

    def _may_take_buffer(self, request: RequestState) -> bool:
        # A request of higher weight replaces the buffered one: when slots are short, many requests of low weight would
        # otherwise take every slot that becomes free
        return self.buffer is None or self.expected_weight(request) > self.expected_weight(self.buffer)

    def _set_buffer(self, request: RequestState) -> None:
        if self.buffer is not None:
            self.answer(self.buffer)
        self.buffer = request
        queue_limit_us = self._context.now_us + request.class_state.half_objective_us
        buffer_until_us = min(queue_limit_us, self._retry_policy.latest_useful_start_us(request))
        self._timers.schedule(buffer_until_us, TimerKind.BUFFER, request.event.request_id)
