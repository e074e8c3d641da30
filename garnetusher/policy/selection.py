"""Which endpoint an attempt goes to: tiers from near to far, and a random free slot within a tier's pool."""

from __future__ import annotations

from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.endpoints import TIERS, EndpointRegistry
from garnetusher.policy.retry import RetryPolicy
from garnetusher.policy.slots import TARGET_LOAD, Pool
from garnetusher.policy.state import RequestState
from garnetusher.policy.zone import ZoneState

MIN_ENDPOINTS_IN_USE = 4  # endpoints whose slots are open to a sidecar with next to no traffic
SENDS_PER_S_PER_ENDPOINT = 1.5  # sends a second that call for one more endpoint: fewer teach nothing, more crowd it
CLIENT_RETRY_ADMITTED = 0.9  # admitted fraction below which client retries are held off; one slow response takes less


class EndpointSelector:
    """Draws an endpoint for a request."""

    def __init__(self, context: PolicyContext, registry: EndpointRegistry, retry_policy: RetryPolicy) -> None:
        self._context = context
        self._registry = registry
        self._pools = registry.pools
        self._zones = registry.zones
        self._retry_policy = retry_policy

    def select(self, request: RequestState) -> EndpointState | None:
        """Return an endpoint with a free slot for the request; None if there is none or no attempt is allowed.

        A slot is taken at one of the few endpoints that this sidecar's traffic needs, or else at any. A busy zone
        spills over only what it can't take: requests that were not admitted or found no slot there.
        """
        if not self._retry_policy.may_forward(request):
            return None
        checked = self._select_for_health_check(request)
        if checked is not None:
            return checked
        excluded = self._zones.excluded()
        for avoided in self._zones_to_avoid(request):
            found = self._select_free_slot(request, excluded | avoided)
            if found is not None:
                return found
        return self._select_free_slot(request, excluded)

    def _zones_to_avoid(self, request: RequestState) -> list[set[int]]:
        """Return sets of zones to avoid while an endpoint is free in another zone, in the order to try them."""
        avoided = []
        if request.class_state.rules.effect == "at_most_once" and (suspected := self._zones.suspected()):
            # what is lost with the zone can't be retried, and idempotent requests show its state as well
            avoided.append(suspected)
        if request.attempts:
            silent = {
                zone
                for zone in {attempt.endpoint.zone for attempt in request.attempts}
                if self._zones.is_silent(zone, self._context.now_us)
            }
            if silent:
                # a sidecar with little traffic would see all attempts of a request fail in a lost zone and never hear
                # that others answer; what a retry elsewhere shows is what the zone is compared with
                avoided.append(silent)
        return avoided

    def _select_free_slot(self, request: RequestState, excluded: set[int]) -> EndpointState | None:
        hedged_tier = TIERS
        if request.attempts and request.outstanding():
            hedged_tier = self._pools.index(request.attempts[-1].endpoint_state.pool)
        for tier, pool in enumerate(self._pools):
            if tier > hedged_tier and self.hedge_stays_in_tier(request):
                continue
            if tier == TIERS - 1 and not self._responds_in_time(request, pool):
                continue
            if request.event.client_retry and not request.attempts and pool.admitted_fraction < CLIENT_RETRY_ADMITTED:
                continue  # its client has waited before: late, it would take the slot of a request in time
            found = self._select_from_tier(request, pool, excluded)
            if found is not None:
                return found
        return None

    def _select_from_tier(self, request: RequestState, pool: Pool, excluded: set[int]) -> EndpointState | None:
        if pool.slow_start.cohorts:
            pool.slow_start.accrue(self._context.now_us)
        if pool.admission_credit < 1.0:
            # warming endpoints are not held off with the crowded ones: they would never take load off them
            return self._draw(request, pool, excluded, warming=True) if pool.slow_start.cohorts else None
        # each sidecar connected to each endpoint would fill the endpoints' tables of connections
        needed = MIN_ENDPOINTS_IN_USE + int(pool.send_rate_per_s / SENDS_PER_S_PER_ENDPOINT)
        needs_more = len(pool.in_use) < needed
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
        """Draw an endpoint with a free slot, preferably one that the request has not been sent to."""
        if not request.attempts:
            return pool.draw(self._context.random, excluded, in_use=in_use, warming=warming)
        withdrawn = pool.withdraw(attempt.endpoint_state for attempt in request.attempts)
        found = self._draw_for_retry(request, pool, excluded, in_use=in_use, warming=warming)
        for state in withdrawn:
            pool.update_weight(state, self._context.now_us)
        return found or self._draw_for_retry(request, pool, excluded, in_use=in_use, warming=warming)

    def _draw_for_retry(
        self, request: RequestState, pool: Pool, excluded: set[int], *, in_use: bool | None, warming: bool | None
    ) -> EndpointState | None:
        is_allowed = self._retry_policy.same_deduplication_scope(request)
        if is_allowed is None:
            return pool.draw(self._context.random, excluded, in_use=in_use, warming=warming)
        # this walks the list, but there are few such requests
        buckets = pool.free_buckets(excluded, in_use=in_use, warming=warming)
        allowed = [state for _, bucket in buckets for state in bucket if is_allowed(state.endpoint)]
        if not allowed:
            return None
        return self._context.random.choices(allowed, [state.weight for state in allowed])[0]

    def hedge_stays_in_tier(self, request: RequestState) -> bool:
        """Return whether a hedged attempt must not go farther away than the attempt before it.

        It may if something may be wrong with that one's zone, or its tier is slow. Otherwise first attempts would use
        up a near tier's admission credit, and all hedged attempts would cross zones.
        """
        last = request.attempts[-1]
        zone = self._zones.get(last.endpoint.zone)
        return zone.state is ZoneState.ACTIVE and not zone.suspects and last.endpoint_state.pool.load < TARGET_LOAD

    def _select_for_health_check(self, request: RequestState) -> EndpointState | None:
        """Now and then, send an idempotent request's first attempt to an evacuated zone."""
        if request.attempts or request.class_state.rules.effect != "idempotent" or self._zones.all_in_use:
            return None
        zone = self._zones.take_due_health_check(self._context.now_us)
        if zone is None:
            return None
        return self._zones.random.choice(self._registry.members(zone))

    def _responds_in_time(self, request: RequestState, pool: Pool) -> bool:
        """Return whether a pool that is far away, by its responses so far, can still respond in time."""
        usual_us = int(request.class_state.mean_response_us * pool.latency_ratio)
        return self._context.now_us + usual_us <= self._retry_policy.useful_until_us(request)
