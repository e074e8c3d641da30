"""Endpoint selection: tries the tiers from near to far and draws a free slot at random within a tier's pool."""

from __future__ import annotations

from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.endpoints import TIER_COUNT, EndpointRegistry
from garnetusher.policy.retry import RetryPolicy
from garnetusher.policy.slots import TARGET_OBJECTIVE_RATIO, Pool
from garnetusher.policy.state import RequestState
from garnetusher.policy.zone import ZoneState

MIN_ENDPOINTS_IN_USE = 4  # number of endpoints that a sidecar with almost no traffic uses
# One more endpoint is used for each 1.5 attempts per second. With fewer attempts, the sidecar learns nothing about an
# endpoint; more attempts overload it.
ATTEMPTS_PER_S_PER_ENDPOINT = 1.5
# Client retries are not admitted below this admitted fraction; a single slow response does not lower it so far.
CLIENT_RETRY_ADMITTED = 0.9


class EndpointSelector:
    """Selects the endpoint of each attempt."""

    def __init__(self, context: PolicyContext, registry: EndpointRegistry, retry_policy: RetryPolicy) -> None:
        self._context = context
        self._registry = registry
        self._pools = registry.pools
        self._zones = registry.zones
        self._retry_policy = retry_policy

    def select(self, request: RequestState) -> EndpointState | None:
        """Return an endpoint with a free slot for the request; None if there is none or no attempt is allowed.

        Within a tier, the attempt goes to one of the few endpoints that this sidecar's traffic needs, or to any other
        if none of them has a free slot. Only requests that a tier does not admit, or for which it has no free slot, go
        to a farther tier.
        """
        if not self._retry_policy.may_forward(request):
            return None
        trial_endpoint = self._select_for_trial(request)
        if trial_endpoint is not None:
            return trial_endpoint
        excluded = self._zones.excluded()
        for avoided in self._zones_to_avoid(request):
            selected = self._select_free_slot(request, excluded | avoided)
            if selected is not None:
                return selected
        return self._select_free_slot(request, excluded)

    def _zones_to_avoid(self, request: RequestState) -> list[set[int]]:
        """Return sets of zones to avoid if another zone has a free slot, in the order in which to try them."""
        avoided_sets = []
        if request.class_state.request_class.effect == "at_most_once" and (suspected := self._zones.suspected()):
            # a request that is lost with the zone can't be retried; idempotent requests still go to the zone and show
            # whether it answers
            avoided_sets.append(suspected)
        if request.attempts:
            silent = {
                zone
                for zone in {attempt.endpoint.zone for attempt in request.attempts}
                if self._zones.is_silent(zone, self._context.now_us)
            }
            if silent:
                # with little traffic, all attempts of a request would fail in a lost zone, and this sidecar would never
                # learn that other zones answer, which is a condition for evacuating the silent zone
                avoided_sets.append(silent)
        return avoided_sets

    def _select_free_slot(self, request: RequestState, excluded: set[int]) -> EndpointState | None:
        hedged_tier = TIER_COUNT  # no attempt is outstanding, so no tier is too far
        if request.attempts and request.outstanding():
            hedged_tier = self._pools.index(request.attempts[-1].endpoint_state.pool)
        for tier, pool in enumerate(self._pools):
            if tier > hedged_tier and self.hedge_stays_in_tier(request):
                continue
            # the last tier contains the other regions, whose responses may arrive too late
            if tier == TIER_COUNT - 1 and not self._responds_in_time(request, pool):
                continue
            if request.event.client_retry and not request.attempts and pool.admitted_fraction < CLIENT_RETRY_ADMITTED:
                # the client has already waited; a retry that is served late would take the slot of a timely request
                continue
            selected = self._select_from_tier(request, pool, excluded)
            if selected is not None:
                return selected
        return None

    def _select_from_tier(self, request: RequestState, pool: Pool, excluded: set[int]) -> EndpointState | None:
        if pool.slow_start.cohorts:
            pool.slow_start.accrue(self._context.now_us)
        if pool.admission_credit < 1.0:
            # admission does not limit warming endpoints: otherwise they would never relieve the overloaded ones
            return self._draw(request, pool, excluded, warming=True) if pool.slow_start.cohorts else None
        # if each sidecar connected to each endpoint, the endpoints would reach their connection limits
        needed = MIN_ENDPOINTS_IN_USE + int(pool.attempt_rate_per_s / ATTEMPTS_PER_S_PER_ENDPOINT)
        needs_more = len(pool.in_use) < needed
        # draw from the endpoints in use first, or from the others first if too few are in use
        return self._draw(request, pool, excluded, in_use=not needs_more) or self._draw(
            request, pool, excluded, in_use=needs_more
        )

    def _draw(
        self,
        request: RequestState,
        pool: Pool,
        excluded: set[int],
        *,
        in_use: bool | None = None,
        warming: bool | None = None,
    ) -> EndpointState | None:
        """Draw an endpoint with a free slot, preferably one that the request has not been sent to yet."""
        if not request.attempts:
            return pool.draw(self._context.random, excluded, in_use=in_use, warming=warming)
        withdrawn = pool.withdraw(attempt.endpoint_state for attempt in request.attempts)
        selected = self._draw_for_retry(request, pool, excluded, in_use=in_use, warming=warming)
        for state in withdrawn:
            pool.update_weight(state, self._context.now_us)
        return selected or self._draw_for_retry(request, pool, excluded, in_use=in_use, warming=warming)

    def _draw_for_retry(
        self, request: RequestState, pool: Pool, excluded: set[int], *, in_use: bool | None, warming: bool | None
    ) -> EndpointState | None:
        is_allowed = self._retry_policy.deduplication_scope_filter(request)
        if is_allowed is None:
            return pool.draw(self._context.random, excluded, in_use=in_use, warming=warming)
        # this iterates over all endpoints with a free slot, but such requests are rare
        buckets = pool.free_buckets(excluded, in_use=in_use, warming=warming)
        allowed = [state for _, bucket in buckets for state in bucket if is_allowed(state.endpoint)]
        if not allowed:
            return None
        return self._context.random.choices(allowed, [state.weight for state in allowed])[0]

    def hedge_stays_in_tier(self, request: RequestState) -> bool:
        """Return whether a hedge must not go to a farther tier than the previous attempt.

        A hedge may go farther only if the zone of the previous attempt has misses or is not active, or if its tier is
        slow. Without this limit, first attempts would use up a near tier's admission credit and all hedges would cross
        zones.
        """
        last = request.attempts[-1]
        zone = self._zones.get(last.endpoint.zone)
        return (
            zone.state is ZoneState.ACTIVE
            and not zone.failing_endpoints
            and last.endpoint_state.pool.objective_ratio < TARGET_OBJECTIVE_RATIO
        )

    def _select_for_trial(self, request: RequestState) -> EndpointState | None:
        """Return an endpoint of an evacuated zone if a trial request is due and this request can serve as one.

        Only the first attempt of an idempotent request serves as a trial.
        """
        if request.attempts or request.class_state.request_class.effect != "idempotent" or self._zones.all_fully_used:
            return None
        zone = self._zones.take_zone_due_for_trial(self._context.now_us)
        if zone is None:
            return None
        return self._zones.random.choice(self._registry.members(zone))

    def _responds_in_time(self, request: RequestState, pool: Pool) -> bool:
        """Return whether a distant pool can still respond in time, judged by its latency ratio so far."""
        expected_response_us = int(request.class_state.mean_response_us * pool.latency_ratio)
        return self._context.now_us + expected_response_us <= self._retry_policy.useful_until_us(request)
