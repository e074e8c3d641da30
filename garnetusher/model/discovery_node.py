"""The discovery service of a simulation: the endpoint list, its watchers and a queue of calls."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from msgspec import structs

from garnetusher.model import draw
from garnetusher.model.network import Direction
from garnetusher.model.plan import DISCOVERY_NODE, LONG_AGO, ListStep
from garnetusher.model.records import DiscoveryCalled

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation


class DiscoveryNode:
    """Stores the endpoint list, answers calls one at a time, and notifies watching sidecars of changes."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._settings = simulation.experiment.directory
        self._busy_until_us = 0  # the time at which all queued calls are answered
        self._entries = {
            upstream.uid: ListStep(0, upstream.uid, upstream.zone, "active")
            for upstream in simulation.plan.upstreams
            if upstream.from_us == 0
        }

    @property
    def entries(self) -> list[ListStep]:
        """The current endpoint list."""
        return list(self._entries.values())

    def schedule(self, steps: list[ListStep]) -> None:
        """Schedule the plan's changes to the list."""
        for step in steps:
            self._clock.at(step.at_us, self.apply_change, step)

    def apply_change(self, step: ListStep) -> None:
        """Change an entry and notify each watching sidecar; the notifications are spread over `spread_ms`."""
        previous = self._entries.get(step.uid)
        if previous is not None and step.started_us == LONG_AGO:
            # a change without a start time keeps the previous one
            step = structs.replace(step, started_us=previous.started_us)
        if step.state == "left":
            self._entries.pop(step.uid, None)
        else:
            self._entries[step.uid] = step
        spread_us = self._settings.spread_ms * 1000
        for name, sidecar in self._simulation.sidecars.items():
            if not sidecar.discovery.watching:
                continue
            share = draw.uniform(self._simulation.plan.seed, "spread", name, step.uid, step.at_us)
            self._clock.at(self._clock.now_us + int(share * spread_us), self._notify, sidecar, step)

    def handle_call(self, sidecar: SimulatedSidecar, incarnation: int, call_id: int) -> None:
        """Queue a call, or reject it if the queue is full; the list is read when the answer arrives."""
        now_us = self._clock.now_us
        self._simulation.record(DiscoveryCalled(now_us, sidecar.name, "watch"))
        service_us = int(self._settings.call_ms * 1000)
        queued_us = self._busy_until_us - now_us
        if queued_us <= self._settings.calls_waiting * service_us:
            self._busy_until_us = max(now_us, self._busy_until_us) + service_us
            answered_at_us = self._busy_until_us
            answer = partial(sidecar.discovery.call_answered, incarnation, call_id)
        else:
            answered_at_us = now_us
            answer = partial(sidecar.discovery.call_failed, incarnation, call_id)
        send = self._simulation.network.send
        self._clock.at(answered_at_us, send, DISCOVERY_NODE, sidecar.name, Direction.TO_SIDECAR, answer)

    def _notify(self, sidecar: SimulatedSidecar, step: ListStep) -> None:
        if sidecar.up:
            deliver = partial(sidecar.discovery.entry_changed, step, sidecar.incarnation)
            self._simulation.network.send(DISCOVERY_NODE, sidecar.name, Direction.TO_SIDECAR, deliver)
