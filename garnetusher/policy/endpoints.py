"""Registry of the ready endpoints; applies updates of the endpoint list and changes of zone states to them."""

from __future__ import annotations

from garnetusher.policy.actions import CloseIdleConnections, LogMessage
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import INITIAL_SLOTS, EndpointState
from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.policy.slots import Pool
from garnetusher.policy.zone import Zone, ZoneState
from garnetusher.policy.zones import Zones

TIER_COUNT = 3  # the tiers are this zone, the region's other zones, and other regions


class EndpointRegistry:
    """The ready endpoints, each in the pool of its tier.

    Attributes:
        endpoints: the endpoints by id, in the order in which they first appeared in the endpoint list.
        pools: one pool per tier, the nearest tier first; a pool may be empty.
        zones: the states of the zones; this registry applies their changes to the endpoints of the zone.
        evacuated_zones_in_use: zones that the current event has evacuated and whose endpoints are still in use.
    """

    def __init__(self, context: PolicyContext, seed: int) -> None:
        self._context = context
        self.endpoints: dict[int, EndpointState] = {}
        self.pools = [Pool(context.settings, context.now_us) for _ in range(TIER_COUNT)]
        self.zones = Zones(context.settings, seed, context.now_us, self._on_zone_changed)
        self.evacuated_zones_in_use: list[Zone] = []

    def apply_settings(self) -> None:
        """Pass the new settings to the zones and the pools; endpoints stay in their pools."""
        self.zones.settings = self._context.settings
        for pool in self.pools:
            pool.slow_start.settings = self._context.settings

    def readmit(self) -> None:
        """Open the slots of the endpoints whose ejection has ended."""
        for pool in self.pools:
            if pool.ejections:
                pool.readmit(self._context.now_us)

    def readmissions_us(self) -> list[int]:
        """Return the earliest end of an ejection in each pool that has ejected endpoints."""
        return [at_us for pool in self.pools if (at_us := pool.next_readmission_us())]

    def on_update(self, event: EndpointsUpdated) -> None:
        """Apply an update of the endpoint list."""
        if event.update_kind is UpdateKind.FAILED:
            return
        if event.update_kind is not UpdateKind.DELTA:
            self._remove_all_but({endpoint.id for endpoint in event.endpoints})
        zones_with_started_endpoints: set[int] = set()
        for endpoint in event.endpoints:
            if self._update_endpoint(endpoint) and endpoint.started_us:
                zones_with_started_endpoints.add(endpoint.zone)
        counts = {zone: len(members) for pool in self.pools for zone, members in pool.zones.items()}
        self.zones.update_endpoint_counts(counts, zones_with_started_endpoints, self._context.now_us)

    def members(self, zone: Zone) -> list[EndpointState]:
        """Return the ready endpoints of a zone."""
        return [state for pool in self.pools for state in pool.zones.get(zone.number, {}).values()]

    def stop_using_next_evacuated_zone(self) -> Zone:
        """Stop using the endpoints of one of the evacuated zones and return the zone."""
        zone = self.evacuated_zones_in_use.pop()
        for state in self.members(zone):
            if state.in_use:
                state.pool.set_in_use(state, self._context.now_us, in_use=False)
                self._context.actions.append(CloseIdleConnections(state.endpoint.id))
            # the timeouts of the lost endpoints must not lower the fraction admitted to the pool's other endpoints
            state.pool.admitted_fraction, state.pool.objective_ratio = 1.0, 0.0
        return zone

    def _remove_all_but(self, listed_ids: set[int]) -> None:
        for removed in [state for endpoint_id, state in self.endpoints.items() if endpoint_id not in listed_ids]:
            self._remove(removed)

    def _remove(self, state: EndpointState) -> None:
        del self.endpoints[state.endpoint.id]
        state.pool.remove(state)
        self.zones.get(state.endpoint.zone).forget_endpoint(state.endpoint.id)

    def _update_endpoint(self, endpoint: Endpoint) -> bool:
        """Add, update or remove one endpoint; return whether it is new or has restarted."""
        state: EndpointState | None = self.endpoints.get(endpoint.id)
        is_ready = endpoint.status is EndpointStatus.READY
        if state is not None and (not is_ready or endpoint.zone != state.endpoint.zone):
            self._remove(state)  # a draining or removed endpoint receives no new attempts (rule 3)
            state = None
        if not is_ready:
            return False
        has_started = state is None or state.endpoint.started_us != endpoint.started_us
        if has_started:
            state = self._start(endpoint, state)
        if state is not None:
            state.endpoint = endpoint
        return has_started

    def _start(self, endpoint: Endpoint, state: EndpointState | None) -> EndpointState:
        # all sidecars learn of a start almost simultaneously; without a random offset, their first attempts would
        # form a burst
        initial_accrued = self._context.random.random()
        if state is not None:
            state.started_us = endpoint.started_us
            state.pool.slow_start.begin(state, self._context.now_us, initial_accrued)
            return state
        pool = self.pools[self.zones.tier(endpoint.zone)]
        state = self.endpoints[endpoint.id] = EndpointState(endpoint, pool)
        pool.add(state, self._context.now_us, initial_accrued)
        return state

    def _on_zone_changed(self, zone: Zone, previous_state: ZoneState) -> None:
        text = f"zone {zone.number}: {previous_state.value} -> {zone.state.value}: {zone.reason}"
        self._context.actions.append(LogMessage(text))
        if zone.state is ZoneState.EVACUATED:
            self.evacuated_zones_in_use.append(zone)
        elif previous_state is ZoneState.EVACUATED:
            for state in self.members(zone):
                self._restore(state, zone)

    def _restore(self, state: EndpointState, zone: Zone) -> None:
        """Reset what was learned about an endpoint before its zone was evacuated."""
        state.slot_limit, state.latency_ratio = INITIAL_SLOTS, 1.0
        state.consecutive_failures = state.ejected_until_us = 0
        if zone.refused_when_evacuated and state.started_us < zone.evacuated_us:
            # a process that refused connections has ended, and the list may report the restart later; until then, the
            # endpoint counts as started now, so that it is not overloaded while it warms up (rule 4)
            state.started_us = self._context.now_us
            state.pool.slow_start.begin(state, self._context.now_us, self._context.random.random())
        else:
            state.pool.update_weight(state, self._context.now_us)
