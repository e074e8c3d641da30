"""Admission: a request is forwarded through a free slot, waits in the one-request buffer, or is shed."""

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

ARRIVAL_WINDOW = 200  # arrivals: enough to tell a tenant at twice its quota from chance, soon forgotten
OVERLOAD_BEGINS = 0.2  # fraction of arrivals without a free slot, from which an overload is logged
OVERLOAD_ENDS = 0.02  # and below which its end is
MAX_ADMISSION_CREDIT = 2.0
ARRIVAL_CREDIT = 0.1  # of an arrival, counted beside the responses that open slots of warming endpoints
WARMING_ARRIVAL_CREDIT = 0.3  # the same in a pool that is all warming: it gets a third of its load to begin with
WARMING_QUOTA_SHARE = 0.2  # of this sidecar's quota: with the responses within thrice the initial warm-up fraction
MICROSECONDS_PER_S = 1_000_000


class AdmissionController:
    """Decides what is admitted, what waits and what is shed, and gives the final answers that the policy owes.

    Attributes:
        buffer: the one request that waits for a slot.
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
        self._unsent_fraction = 0.0  # of arrivals, those that found no free slot; old ones fade
        self._is_overloaded = False  # as last logged

    def admit(self, request: RequestState) -> None:
        """Place a request that has just arrived."""
        self._record_tenant_arrival(request)
        self.place(request)
        self._unsent_fraction += (float(not request.attempts) - self._unsent_fraction) / ARRIVAL_WINDOW
        self._log_overload()

    def place(self, request: RequestState) -> None:
        """Forward a request through a free slot, else buffer it, else give it its final answer."""
        now_us = self._context.now_us
        if now_us >= self._retry_policy.latest_start_us(request):
            self.finish(request)
            return
        for pool in self._pools:
            self._record_arrival(pool)
        state = self._selector.select(request)
        self._record_exhausted_pools(state)
        if state is not None:
            self._forwarder.forward(request, state)
            return
        self._context.slots_exhausted_us = now_us
        if self._retry_policy.may_forward(request) and self._takes_buffer(request):
            self._set_buffer(request)
        else:
            self.finish(request)

    def fill_from_buffer(self) -> None:
        """Forward the buffered request if a slot is free for it."""
        request = self.buffer
        if request is None:
            return
        state = self._selector.select(request)
        if state is not None:
            self.buffer = None
            self._forwarder.forward(request, state)

    def hedge(self, request: RequestState) -> None:
        """Start a hedged attempt beside the outstanding one, on another endpoint.

        Not while a request waits: in a shortage hedged attempts would take the slots of requests that have none.
        """
        if request.outstanding() != 1 or self.buffer is not None:
            return
        state = self._selector.select(request)
        if state is not None and state is not request.attempts[-1].endpoint_state:
            self._forwarder.forward(request, state)

    def on_buffer_timeout(self, request_id: int) -> None:
        """Shed the buffered request, if it is still this one."""
        if self.buffer is not None and self.buffer.event.request_id == request_id:
            self.finish(self.buffer)

    def reschedule_buffer_timeout(self, request: RequestState) -> None:
        """Follow a change of a buffered request's deadline."""
        if request is self.buffer:
            latest_start_us = self._retry_policy.latest_start_us(request)
            self._timers.schedule(latest_start_us, TimerKind.BUFFER, request.event.request_id)

    def finish(self, request: RequestState) -> None:
        """Give a request its final answer; rules 1 and 2: one each, and shed only if nothing may have run."""
        is_harmless = self._retry_policy.is_harmless(request)
        self.close(request)
        settings, request_id = self._context.settings, request.event.request_id
        # about one response time, spread so that shed clients don't return together
        delay_us = request.class_state.mean_response_us * (0.5 + self._context.random.random())
        retry_after_us = int(min(delay_us, settings.max_retry_after_us)) if settings.send_retry_after else 0
        self._context.actions.append(Shed(request_id, retry_after_us) if is_harmless else Fail(request_id))

    def close(self, request: RequestState) -> None:
        """Note that a request is completed; forget it once no attempt is outstanding."""
        request.completed = True
        if self.buffer is request:
            self.buffer = None
        if request.outstanding() == 0:
            self._context.requests.pop(request.event.request_id, None)

    def expected_weight(self, request: RequestState) -> float:
        """Return the weight that a slot's time earns with this request; beyond its tenant's quota it counts less.

        The quota is judged among the tenants seen here: a sidecar does not know the rates of the whole fleet.
        """
        settings, weight = self._context.settings, request.class_state.rules.priority_weight
        if not settings.weight_by_work:
            weight /= request.class_state.mean_response_us
        if request.tenant is not None:
            tenants = self._context.tenant_states
            quota_fraction = request.tenant.quota_per_s / self._context.total_quota_per_s
            all_arrivals = sum(tenant.recent_arrivals for tenant in tenants)
            # none have arrived since the settings changed: nobody is beyond its quota
            arrival_fraction = request.tenant.recent_arrivals / all_arrivals if all_arrivals > 0.0 else 0.0
            within_quota = min(1.0, quota_fraction / arrival_fraction) if arrival_fraction > 0.0 else 1.0
            weight *= settings.over_quota_weight + (1.0 - settings.over_quota_weight) * within_quota
        elif self._context.tenant_states:
            weight *= settings.over_quota_weight  # it is of no tenant with a quota
        return weight

    def _record_tenant_arrival(self, request: RequestState) -> None:
        if request.tenant is None:
            return
        for tenant in self._context.tenant_states:
            tenant.recent_arrivals *= 1.0 - 1.0 / ARRIVAL_WINDOW
        request.tenant.recent_arrivals += 1.0

    def _log_overload(self) -> None:
        is_overloaded = self._unsent_fraction > (OVERLOAD_ENDS if self._is_overloaded else OVERLOAD_BEGINS)
        if is_overloaded == self._is_overloaded:
            return
        if self._context.log("overload begins" if is_overloaded else "overload ends"):
            self._is_overloaded = is_overloaded

    def _record_arrival(self, pool: Pool) -> None:
        pool.admission_credit = min(pool.admission_credit + pool.admitted_fraction, MAX_ADMISSION_CREDIT)
        pool.slow_start.served += self._warm_up_credit(pool)
        pool.last_arrival_us = self._context.now_us

    def _warm_up_credit(self, pool: Pool) -> float:
        """Return what an arrival counts for among the responses that open slots of warming endpoints.

        That is little, except in a pool that is all warming, as a restored zone, where no endpoint sets the pace. In an
        overload arrivals alone would push it over, so they count for no more than a part of this sidecar's quota.
        """
        credit = ARRIVAL_CREDIT * pool.admitted_fraction
        if pool.slow_start.cohorts and pool.slow_start.all_warming():
            quota_per_s = self._context.total_quota_per_s / self._zones.fleet_size
            elapsed_s = (self._context.now_us - pool.last_arrival_us) / MICROSECONDS_PER_S
            credit = max(credit, min(WARMING_ARRIVAL_CREDIT, WARMING_QUOTA_SHARE * quota_per_s * elapsed_s))
        return credit

    def _record_exhausted_pools(self, state: EndpointState | None) -> None:
        """Note which pools had no free slot, and let the request count for their warming endpoints.

        By what is served alone warming endpoints idle while the others are full and requests are shed; but an overload,
        of which half finds no slot, would push them over.
        """
        exhausted = self._pools[: self._pools.index(state.pool)] if state is not None else self._pools
        for pool in exhausted:
            pool.exhausted_us = self._context.now_us
            if pool.slow_start.cohorts and not pool.slow_start.all_warming():
                counted = pool.admitted_fraction * max(0.0, 1.0 - 2.0 * self._unsent_fraction)
                counted = min(counted, pool.unserved)
                pool.unserved -= counted
                pool.slow_start.served += counted

    def _takes_buffer(self, request: RequestState) -> bool:
        # otherwise, in a shortage, many requests of low weight would keep those of high weight out of every slot
        return self.buffer is None or self.expected_weight(request) > self.expected_weight(self.buffer)

    def _set_buffer(self, request: RequestState) -> None:
        if self.buffer is not None:
            self.finish(self.buffer)
        self.buffer = request
        longest_us = self._context.now_us + request.class_state.half_objective_us
        until_us = min(longest_us, self._retry_policy.latest_start_us(request))
        self._timers.schedule(until_us, TimerKind.BUFFER, request.event.request_id)
