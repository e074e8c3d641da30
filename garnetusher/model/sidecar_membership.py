"""The membership of simulated sidecars: a member beside each process, which tells its policy the fleet's size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetusher.model.members import Members, Node
from garnetusher.model.plan import DIRECTORY
from garnetusher.policy.events import FleetSizeChanged

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

FLEET_SIZE_INTERVAL_US = 250_000  # between two looks of a sidecar at the fleet's size
SEED_MEMBERS = 3  # sidecars whose addresses every new member has


class SidecarMembership:
    """The members of all sidecars of a simulation, where the experiment switches membership on."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._planned = simulation.plan.sidecars
        self.members = Members(simulation.plan.seed, clock=self._clock)
        for planned in self._planned:
            self.members.add(planned.name, planned.zone)
        self.members.is_cut = self._partitioned
        self._clock.at(FLEET_SIZE_INTERVAL_US, self._update_fleet_sizes)

    def start(self, name: str) -> None:
        """Start the member of a sidecar's new process."""
        seeds = [self.members.nodes[planned.name] for planned in self._planned[:SEED_MEMBERS]]
        self.members.start(self.members.nodes[name], seeds)

    def kill(self, name: str) -> None:
        """End a member without notice."""
        self.members.kill(self.members.nodes[name])

    def stop(self, name: str) -> None:
        """Stop a member's process by a signal."""
        self.members.pause(self.members.nodes[name])

    def resume(self, name: str) -> None:
        """Let a stopped process go on."""
        self.members.resume(self.members.nodes[name])

    def _partitioned(self, first: Node, second: Node) -> bool:
        """Return whether either is cut off from all that it talks to, and so from the other sidecars."""
        network = self._simulation.network
        return any(network.link(DIRECTORY, node.name).cut_both_ways for node in (first, second))

    def _update_fleet_sizes(self) -> None:
        for sidecar in self._simulation.sidecars.values():
            if sidecar.up:
                self._update_fleet_size(sidecar)
        self._clock.at(self._clock.now_us + FLEET_SIZE_INTERVAL_US, self._update_fleet_sizes)

    def _update_fleet_size(self, sidecar: SimulatedSidecar) -> None:
        """Tell the policy when its member counts another number of sidecars than before."""
        node = self.members.nodes[sidecar.name]
        if not sidecar.runs_or_defers(self._update_fleet_size, sidecar):
            return
        if not node.present:
            return
        instances = self.members.fleet_size(node).instances
        if instances != sidecar.fleet_size:
            sidecar.fleet_size = instances
            sidecar.dispatch(FleetSizeChanged(instances))
