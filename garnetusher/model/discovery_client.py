"""How a simulated sidecar learns the endpoint list: its calls to discovery and the ids that it gives to endpoints."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from garnetusher.model.network import Direction
from garnetusher.model.plan import DIRECTORY, LONG_AGO, ListStep
from garnetusher.model.records import ListUpdateSent
from garnetusher.model.sidecar_settings import POLICY_EPOCH_US
from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

CALL_TIMEOUT_US = 2_500_000  # as in garnetusher/sidecar/discovery
WATCH_RETRY_US = 250_000  # until the next call, where the policy does not poll by itself
ENDPOINT_STATUSES = {
    "active": EndpointStatus.READY,
    "leaving": EndpointStatus.DRAINING,
    "left": EndpointStatus.REMOVED,
}


class EndpointCache:
    """Endpoints by their contents, shared by all sidecars to keep a large fleet small in memory."""

    def __init__(self, zones: list[str]) -> None:
        self._zones = zones
        self._endpoints: dict[tuple[int, str, str, int], Endpoint] = {}

    def get(self, endpoint_id: int, step: ListStep) -> Endpoint:
        """Return the endpoint that an entry of the list describes."""
        key = (endpoint_id, step.uid, step.state, step.started_us)
        known = self._endpoints.get(key)
        if known is not None:
            return known
        endpoint = Endpoint(
            endpoint_id,
            ENDPOINT_STATUSES[step.state],
            self._zones.index(step.zone),
            started_us=0 if step.started_us == LONG_AGO else POLICY_EPOCH_US + step.started_us,
        )
        return self._endpoints.setdefault(key, endpoint)


class DiscoveryClient:
    """The calls of one sidecar to discovery. Answers to an earlier call or process are ignored."""

    def __init__(self, simulation: Simulation, sidecar: SimulatedSidecar, *, polls: bool) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._sidecar = sidecar
        self._polls = polls
        self.reset()

    def reset(self) -> None:
        """Forget everything: a new process starts."""
        self.watching = False
        self._last_call_id = 0
        self._answered_call_id = 0
        self._endpoint_ids: dict[str, int] = {}
        self._uids: dict[int, str] = {}

    def uid_of(self, endpoint_id: int) -> str | None:
        """Return the upstream behind an id that was given to the policy."""
        return self._uids.get(endpoint_id)

    def endpoints(self) -> list[Endpoint]:
        """Return the whole list as it is now."""
        return [self._endpoint(step) for step in self._simulation.discovery.entries]

    def call(self) -> None:
        """Ask for the list and its changes from now on, in place of an earlier call."""
        self._last_call_id += 1
        self.watching = not self._polls  # without polling, changes come from now on, as from an agent on the host
        incarnation, call_id = self._sidecar.incarnation, self._last_call_id
        deliver = partial(self._simulation.discovery.handle_call, self._sidecar, incarnation, call_id)
        self._simulation.network.send(DIRECTORY, self._sidecar.name, Direction.TO_NODE, deliver)
        self._clock.at(self._clock.now_us + CALL_TIMEOUT_US, self.call_failed, incarnation, call_id)

    def call_answered(self, incarnation: int, call_id: int) -> None:
        """Take the answer: the list, and the changes that follow."""
        if not self._sidecar.runs_or_defers(self.call_answered, incarnation, call_id):
            return
        if not self._awaits(incarnation, call_id):
            return
        self.watching = True
        self._answered_call_id = call_id
        # where calls cost nothing, a sidecar has started with the list of that moment
        if self._polls or self._simulation.experiment.directory.call_ms:
            for step in self._simulation.discovery.entries:
                self._record(step)
            self._sidecar.dispatch(EndpointsUpdated(UpdateKind.SNAPSHOT, self.endpoints()))

    def call_failed(self, incarnation: int, call_id: int) -> None:
        """Give up a call that was rejected or has timed out; call again later unless the policy polls by itself."""
        if not self._sidecar.runs_or_defers(self.call_failed, incarnation, call_id):
            return
        if not self._awaits(incarnation, call_id):
            return
        self._last_call_id += 1  # a late answer is ignored
        if self._polls:
            self._sidecar.dispatch(EndpointsUpdated(UpdateKind.FAILED))
        else:
            retry_at_us = self._clock.now_us + WATCH_RETRY_US
            self._clock.at(retry_at_us, self._call_again, incarnation, self._last_call_id)

    def entry_changed(self, step: ListStep, incarnation: int) -> None:
        """Take a change of one entry."""
        if not self._sidecar.runs_or_defers(self.entry_changed, step, incarnation):
            return
        if incarnation == self._sidecar.incarnation:
            self._record(step)
            self._sidecar.dispatch(EndpointsUpdated(UpdateKind.DELTA, [self._endpoint(step)]))

    def _awaits(self, incarnation: int, call_id: int) -> bool:
        return self._is_latest(incarnation, call_id) and self._answered_call_id != call_id

    def _is_latest(self, incarnation: int, call_id: int) -> bool:
        return incarnation == self._sidecar.incarnation and call_id == self._last_call_id

    def _call_again(self, incarnation: int, call_id: int) -> None:
        if self._is_latest(incarnation, call_id):
            self.call()

    def _endpoint(self, step: ListStep) -> Endpoint:
        endpoint_id = self._endpoint_ids.get(step.uid)
        if endpoint_id is None:
            endpoint_id = len(self._endpoint_ids) + 1
            self._endpoint_ids[step.uid] = endpoint_id
            self._uids[endpoint_id] = step.uid
        return self._simulation.endpoint_cache.get(endpoint_id, step)

    def _record(self, step: ListStep) -> None:
        change = ListUpdateSent(self._clock.now_us, self._sidecar.name, step.uid, step.state, step.started_us)
        self._simulation.record(change)
