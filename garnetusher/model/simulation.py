"""One run of an experiment in virtual time: real policies, and simulated nodes, links and clients on one event queue.

A simulation writes the same records as the lab, so the same checker and figures apply to both.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetusher.model.clock import Clock
from garnetusher.model.discovery_client import EndpointCache
from garnetusher.model.discovery_node import DiscoveryNode
from garnetusher.model.experiment import Experiment
from garnetusher.model.network import Network
from garnetusher.model.plan import Plan
from garnetusher.model.records import AnyRecord
from garnetusher.model.sidecar import SimulatedSidecar
from garnetusher.model.sidecar_membership import SidecarMembership
from garnetusher.model.upstream_node import SimulatedUpstream

SETTLE_US = 1_000_000  # simulated time after the last deadline, in which late answers arrive


class Simulation:
    """One run: the clock, the nodes, the network between them, and the records that they write.

    Attributes:
        decision_cpu_ns: The CPU time of the policies' decisions, measured with the caller's `cpu_ns`.
    """

    def __init__(self, experiment: Experiment, plan: Plan, cpu_ns: Callable[[], int] = lambda: 0) -> None:
        self.experiment = experiment
        self.plan = plan
        self.cpu_ns = cpu_ns
        self.decision_cpu_ns = 0
        self.clock = Clock()
        self.records: list[AnyRecord] = []
        self.network = Network(experiment.topology, plan, self.clock)
        self.endpoint_cache = EndpointCache(experiment.topology.zones)
        self.discovery = DiscoveryNode(self)
        self.membership = SidecarMembership(self) if experiment.sidecars.membership else None
        # Events of one instant run in the order in which they are scheduled, so these lines must stay in this order.
        self.sidecars: dict[str, SimulatedSidecar] = {}
        self.upstreams = {planned.uid: SimulatedUpstream(self, planned) for planned in plan.upstreams}
        self.sidecars = {planned.name: SimulatedSidecar(self, planned) for planned in plan.sidecars}
        self.network.schedule(plan.links)
        self.discovery.schedule(plan.listed)

    @property
    def longest_deadline_us(self) -> int:
        """The longest deadline of all request classes."""
        return max(int(request_class.deadline_ms * 1000) for request_class in self.experiment.classes)

    def run(self) -> list[AnyRecord]:
        """Run the plan, and continue for `SETTLE_US` after the last deadline so that late answers arrive.

        Returns:
            All records, sorted by time.

        Raises:
            StallError: Virtual time does not advance.
        """
        self.clock.run(int(self.plan.seconds * 1e6) + self.longest_deadline_us + SETTLE_US)
        self.records.sort(key=lambda record: record.t)
        return self.records

    def record(self, record: AnyRecord) -> None:
        """Add a record to the run; `run` sorts the records by time."""
        self.records.append(record)
