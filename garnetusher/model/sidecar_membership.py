"""The membership of simulated sidecars: each process has a member, which reports the fleet size to the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetusher.model.members import Members, Node
from garnetusher.model.plan import DISCOVERY_NODE
from garnetusher.policy.events import FleetSizeChanged

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

FLEET_SIZE_INTERVAL_US = 250_000  # the interval at which a sidecar checks the fleet size
SEED_MEMBERS = 3  # the number of seeds of a new member, which are the first sidecars of the plan


class SidecarMembership:
    """The members of all sidecars of a simulation whose experiment enables membership."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._sidecar_plans = simulation.plan.sidecars
        self.members = Members(simulation.plan.seed, clock=self._clock)
        for planned in self._sidecar_plans:
            self.members.add(planned.name, planned.zone)
        self.members.is_cut = self._partitioned
        self._clock.at(FLEET_SIZE_INTERVAL_US, self._update_fleet_sizes)

    def start(self, name: str) -> None:
        """Start the member of a sidecar's new process."""
        seeds = [self.members.nodes[planned.name] for planned in self._sidecar_plans[:SEED_MEMBERS]]
        self.members.start(self.members.nodes[name], seeds)

    def kill(self, name: str) -> None:
        """End a member, which sends no message to the others."""
        self.members.kill(self.members.nodes[name])

    def pause(self, name: str) -> None:
        """Pause the member of a process that a signal stops."""
        self.members.pause(self.members.nodes[name])

    def resume(self, name: str) -> None:
        """Resume the member of a stopped process."""
        self.members.resume(self.members.nodes[name])

    def _partitioned(self, first: Node, second: Node) -> bool:
        """Return whether two sidecars are partitioned from each other.

        Plans cut no links between sidecars. Instead, a sidecar that is cut off from discovery in both directions counts
        as cut off from all other sidecars.
        """
        network = self._simulation.network
        return any(network.link(DISCOVERY_NODE, node.name).cut_both_ways for node in (first, second))

    def _update_fleet_sizes(self) -> None:
        for sidecar in self._simulation.sidecars.values():
            if sidecar.up:
                self._update_fleet_size(sidecar)
        self._clock.at(self._clock.now_us + FLEET_SIZE_INTERVAL_US, self._update_fleet_sizes)

    def _update_fleet_size(self, sidecar: SimulatedSidecar) -> None:
        """Report the fleet size to the policy if it differs from the last reported size."""
        node = self.members.nodes[sidecar.name]
        if not sidecar.runs_or_defers(self._update_fleet_size, sidecar):
            return
        if not node.present:
            return
        instances = self.members.fleet_size(node).instances
        if instances != sidecar.fleet_size:
            sidecar.fleet_size = instances
            sidecar.dispatch(FleetSizeChanged(instances))
