"""The endpoints of the list that are ready, and what updates of the list and changes of a zone's state do to them."""

from __future__ import annotations

from garnetusher.policy.actions import CloseIdleConnections, LogMessage
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import INITIAL_SLOTS, EndpointState
from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.policy.slots import Pool
from garnetusher.policy.zone import Zone, ZoneState
from garnetusher.policy.zones import Zones

TIERS = 3  # this zone, this region's other zones, other regions


class EndpointRegistry:
    """The ready endpoints, each in the pool of its tier.

    Attributes:
        endpoints: by id, in the order listed.
        pools: one per tier, the nearest first; a pool may be empty.
        zones: the zones' states, which this registry carries out on the slots of their endpoints.
        zones_to_evacuate: zones whose state this event has changed to evacuated.
    """

    def __init__(self, context: PolicyContext, seed: int) -> None:
        self._context = context
        self.endpoints: dict[int, EndpointState] = {}
        self.pools = [Pool(context.settings, context.now_us) for _ in range(TIERS)]
        self.zones = Zones(context.settings, seed, context.now_us, self._on_zone_changed)
        self.zones_to_evacuate: list[Zone] = []

    def apply_settings(self) -> None:
        """Hand the new settings on; endpoints stay in their pools."""
        self.zones.settings = self._context.settings
        for pool in self.pools:
            pool.slow_start.settings = self._context.settings

    def readmit(self) -> None:
        """Open the slots of endpoints whose ejection is over."""
        for pool in self.pools:
            if pool.ejections:
                pool.readmit(self._context.now_us)

    def readmissions_us(self) -> list[int]:
        """Return when the next ejection of each pool ends."""
        return [at_us for pool in self.pools if (at_us := pool.next_readmission_us())]

    def on_update(self, event: EndpointsUpdated) -> None:
        """Take over an update of the list."""
        if event.update_kind is UpdateKind.FAILED:
            return
        if event.update_kind is not UpdateKind.DELTA:
            self._remove_all_but({endpoint.id for endpoint in event.endpoints})
        zones_with_starts: set[int] = set()
        for endpoint in event.endpoints:
            if self._update_endpoint(endpoint) and endpoint.started_us:
                zones_with_starts.add(endpoint.zone)
        counts = {zone: len(members) for pool in self.pools for zone, members in pool.zones.items()}
        self.zones.update_endpoint_counts(counts, zones_with_starts, self._context.now_us)

    def members(self, zone: Zone) -> list[EndpointState]:
        """Return the ready endpoints of a zone."""
        return [state for pool in self.pools for state in pool.zones.get(zone.number, {}).values()]

    def evacuate_next_zone(self) -> Zone:
        """Close the slots of one of the zones to evacuate and return the zone."""
        zone = self.zones_to_evacuate.pop()
        for state in self.members(zone):
            if state.in_use:
                state.pool.set_in_use(state, self._context.now_us, in_use=False)
                self._context.actions.append(CloseIdleConnections(state.endpoint.id))
            # otherwise the timeouts of the lost endpoints would reduce what is admitted to the others
            state.pool.admitted_fraction, state.pool.load = 1.0, 0.0
        return zone

    def _remove_all_but(self, listed_ids: set[int]) -> None:
        for removed in [state for endpoint_id, state in self.endpoints.items() if endpoint_id not in listed_ids]:
            self._remove(removed)

    def _remove(self, state: EndpointState) -> None:
        del self.endpoints[state.endpoint.id]
        state.pool.remove(state)

    def _update_endpoint(self, endpoint: Endpoint) -> bool:
        """Add, restart or remove one endpoint; return whether it is a new one or has started anew."""
        state: EndpointState | None = self.endpoints.get(endpoint.id)
        is_ready = endpoint.status is EndpointStatus.READY
        if state is not None and (not is_ready or endpoint.zone != state.endpoint.zone):
            self._remove(state)  # rule 3: from this moment on it gets nothing new
            state = None
        if not is_ready:
            return False
        starts = state is None or state.endpoint.started_us != endpoint.started_us
        if starts:
            state = self._start(endpoint, state)
        if state is not None:
            state.endpoint = endpoint
        return starts

    def _start(self, endpoint: Endpoint, state: EndpointState | None) -> EndpointState:
        # all sidecars hear of it within moments, and without a random offset their first sends would come in a burst
        first_send_accrued = self._context.random.random()
        if state is not None:
            state.started_us = endpoint.started_us
            state.pool.slow_start.begin(state, self._context.now_us, first_send_accrued)
            return state
        pool = self.pools[self.zones.tier(endpoint.zone)]
        state = self.endpoints[endpoint.id] = EndpointState(endpoint, pool)
        pool.add(state, self._context.now_us, first_send_accrued)
        return state

    def _on_zone_changed(self, zone: Zone, before: ZoneState) -> None:
        text = f"zone {zone.number}: {before.value} -> {zone.state.value}: {zone.reason}"
        self._context.actions.append(LogMessage(text))
        if zone.state is ZoneState.EVACUATED:
            self.zones_to_evacuate.append(zone)
        elif before is ZoneState.EVACUATED:
            for state in self.members(zone):
                self._restore(state, zone)

    def _restore(self, state: EndpointState, zone: Zone) -> None:
        """Reset what was learned of an endpoint before its zone was evacuated."""
        state.slot_limit, state.latency_ratio = INITIAL_SLOTS, 1.0
        state.consecutive_failures = state.ejected_until_us = 0
        if zone.refused_when_evacuated and state.started_us < zone.evacuated_us:
            # rule 4: what refused connections has ended, and the list may report its new start later
            state.started_us = self._context.now_us
            state.pool.slow_start.begin(state, self._context.now_us, self._context.random.random())
        else:
            state.pool.update_weight(state, self._context.now_us)
