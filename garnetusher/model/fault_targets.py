"""Selects the nodes that a fault affects."""

from __future__ import annotations

import math

from garnetusher.model import draw
from garnetusher.model.experiment import Experiment, Place
from garnetusher.model.plan_types import DISCOVERY_NODE, Plan

ROUNDING_TOLERANCE = 1e-9  # rounding errors must not make a share of 0.2 select two of five nodes


class FaultTargets:
    """Resolves the places of faults to nodes of a plan."""

    def __init__(self, experiment: Experiment, plan: Plan) -> None:
        self._experiment = experiment
        self._plan = plan

    def upstreams(self, fault_index: int, place: Place) -> list[str]:
        """Return the upstreams at a place; a place with a `part` has a random choice of them, drawn for this fault."""
        if place.upstream is not None:
            return [place.upstream]
        if place.sidecar is not None or place.directory or place.of == "sidecars":
            return []
        names = [u.uid for u in self._plan.upstreams if u.from_us == 0 and self._contains(place, u.zone)]
        return self.random_subset(fault_index, place.part, names)

    def sidecars(self, fault_index: int, place: Place) -> list[str]:
        """Return the sidecars at a place; a place with a `part` has a random choice of them, drawn for this fault."""
        if place.sidecar is not None:
            return [place.sidecar]
        if place.upstream is not None or place.directory or place.of != "sidecars":
            return []
        names = [sidecar.name for sidecar in self._plan.sidecars if self._contains(place, sidecar.zone)]
        return self.random_subset(fault_index, place.part, names)

    def random_subset(self, fault_index: int, share: float | None, names: list[str]) -> list[str]:
        """Return a random share of the nodes, rounded up and in their given order; all of them if the share is None."""
        if share is None:
            return names
        count = math.ceil(share * len(names) - ROUNDING_TOLERANCE)
        order = draw.stream(self._plan.seed, "part", fault_index).permutation(len(names))
        return [names[index] for index in sorted(order[:count])]

    def _contains(self, place: Place, zone: str) -> bool:
        if place.zone is not None and place.zone != zone:
            return False
        return place.region is None or self._experiment.topology.region_of(zone) == place.region


def with_directory(names: list[str], place: Place) -> list[str]:
    """Return the nodes, followed by the discovery service if the place includes it."""
    return [*names, DISCOVERY_NODE] if place.directory else [*names]
