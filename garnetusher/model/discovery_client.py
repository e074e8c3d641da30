"""The discovery client of a simulated sidecar: its calls for the endpoint list, and its endpoint ids."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from garnetusher.model.network import Direction
from garnetusher.model.plan import DISCOVERY_NODE, LONG_AGO, ListStep
from garnetusher.model.records import ListUpdateSent
from garnetusher.model.sidecar_settings import POLICY_EPOCH_US
from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

CALL_TIMEOUT_US = 2_500_000  # equals `RESPONSE_TIMEOUT_S` in garnetusher/sidecar/discovery/watch.py
# The delay before a failed call is repeated if the policy does not poll; as `RECONNECT_DELAY_S` in watch.py.
WATCH_RETRY_US = 250_000
ENDPOINT_STATUSES = {
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
    "left": EndpointStatus.REMOVED,
}


class EndpointCache:
    """Endpoint objects, shared by all sidecars with equal endpoints to reduce the memory of a large fleet."""

    def __init__(self, zones: list[str]) -> None:
        self._zones = zones
        self._endpoints: dict[tuple[int, str, str, int], Endpoint] = {}

    def get(self, endpoint_id: int, entry: ListStep) -> Endpoint:
        """Return the endpoint for an entry of the endpoint list."""
        key = (endpoint_id, entry.uid, entry.state, entry.started_us)
        known = self._endpoints.get(key)
        if known is not None:
            return known
        endpoint = Endpoint(
            endpoint_id,
            ENDPOINT_STATUSES[entry.state],
            self._zones.index(entry.zone),
            started_us=0 if entry.started_us == LONG_AGO else POLICY_EPOCH_US + entry.started_us,
        )
        return self._endpoints.setdefault(key, endpoint)


class DiscoveryClient:
    """The discovery calls of one sidecar; answers to an earlier call or process are ignored."""

    def __init__(self, simulation: Simulation, sidecar: SimulatedSidecar, *, polls: bool) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._sidecar = sidecar
        self._polls = polls
        self.reset()

    def reset(self) -> None:
        """Clear the state for a new process."""
        self.watching = False
        self._last_call_id = 0
        self._answered_call_id = 0
        self._endpoint_ids: dict[str, int] = {}
        self._uids: dict[int, str] = {}

    def uid_of(self, endpoint_id: int) -> str | None:
        """Return the uid of the upstream with an endpoint id; None if the id is unknown."""
        return self._uids.get(endpoint_id)

    def endpoints(self) -> list[Endpoint]:
        """Return the current endpoint list in full."""
        return [self._endpoint(entry) for entry in self._simulation.discovery.entries]

    def call(self) -> None:
        """Request the list and its subsequent changes; this call replaces an earlier one."""
        self._last_call_id += 1
        # a sidecar that does not poll receives changes from now on, even before its call is answered
        self.watching = not self._polls
        incarnation, call_id = self._sidecar.incarnation, self._last_call_id
        deliver = partial(self._simulation.discovery.handle_call, self._sidecar, incarnation, call_id)
        self._simulation.network.send(DISCOVERY_NODE, self._sidecar.name, Direction.TO_NODE, deliver)
        self._clock.at(self._clock.now_us + CALL_TIMEOUT_US, self.call_failed, incarnation, call_id)

    def call_answered(self, incarnation: int, call_id: int) -> None:
        """Handle the answer: a snapshot of the list, after which changes follow."""
        if not self._sidecar.runs_or_defers(self.call_answered, incarnation, call_id):
            return
        if not self._is_awaited(incarnation, call_id):
            return
        self.watching = True
        self._answered_call_id = call_id
        # the snapshot is unnecessary if calls take no time: the sidecar has started with the current list
        if self._polls or self._simulation.experiment.directory.call_ms:
            for entry in self._simulation.discovery.entries:
                self._record(entry)
            self._sidecar.dispatch(EndpointsUpdated(UpdateKind.SNAPSHOT, self.endpoints()))

    def call_failed(self, incarnation: int, call_id: int) -> None:
        """Handle a rejected or timed-out call: report the failure to a polling policy, else call again later."""
        if not self._sidecar.runs_or_defers(self.call_failed, incarnation, call_id):
            return
        if not self._is_awaited(incarnation, call_id):
            return
        self._last_call_id += 1  # a late answer has an older id and is ignored
        if self._polls:
            self._sidecar.dispatch(EndpointsUpdated(UpdateKind.FAILED))
        else:
            retry_at_us = self._clock.now_us + WATCH_RETRY_US
            self._clock.at(retry_at_us, self._call_again, incarnation, self._last_call_id)

    def entry_changed(self, entry: ListStep, incarnation: int) -> None:
        """Pass a change of one entry to the policy."""
        if not self._sidecar.runs_or_defers(self.entry_changed, entry, incarnation):
            return
        if incarnation == self._sidecar.incarnation:
            self._record(entry)
            self._sidecar.dispatch(EndpointsUpdated(UpdateKind.DELTA, [self._endpoint(entry)]))

    def _is_awaited(self, incarnation: int, call_id: int) -> bool:
        return self._is_latest(incarnation, call_id) and self._answered_call_id != call_id

    def _is_latest(self, incarnation: int, call_id: int) -> bool:
        return incarnation == self._sidecar.incarnation and call_id == self._last_call_id

    def _call_again(self, incarnation: int, call_id: int) -> None:
        if self._is_latest(incarnation, call_id):
            self.call()

    def _endpoint(self, entry: ListStep) -> Endpoint:
        endpoint_id = self._endpoint_ids.get(entry.uid)
        if endpoint_id is None:
            endpoint_id = len(self._endpoint_ids) + 1
            self._endpoint_ids[entry.uid] = endpoint_id
            self._uids[endpoint_id] = entry.uid
        return self._simulation.endpoint_cache.get(endpoint_id, entry)

    def _record(self, entry: ListStep) -> None:
        change = ListUpdateSent(self._clock.now_us, self._sidecar.name, entry.uid, entry.state, entry.started_us)
        self._simulation.record(change)
