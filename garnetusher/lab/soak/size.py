"""Compares the resource use of one sidecar with few and with many upstreams; the use may grow only up to a limit.

The traffic and the resource limits of the sidecar are the same at both sizes. Discovery sends a change of the endpoint
list twice a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

import msgspec
import psutil
from msgspec import Struct, field

from garnetusher.lab.soak.discovery import DiscoveryAgent
from garnetusher.lab.soak.plan import Plan, RequestClass
from garnetusher.lab.soak.records import End, EndpointStatus
from garnetusher.lab.soak.run import SoakRun

CHANGE_INTERVAL_S = 0.5
SAMPLE_INTERVAL_S = 0.1


class ResourceUse(Struct):
    """The resources that a sidecar used in a run, as they are written to needs.json."""

    upstreams: int
    cpu_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_kb: float = 0.0  # the size of all lists and changes that discovery sent
    served_share: float = field(name="served", default=0.0)


class Row(Struct):
    """One line of the table: the use of a resource at both sizes, and the limit for the larger size."""

    resource: str = field(name="what")
    usual: float
    large: float
    limit: float
    is_maximum: bool = field(name="at_most", default=True)

    @property
    def kept(self) -> bool:
        """Whether the use at the larger size is within the limit."""
        return self.large <= self.limit if self.is_maximum else self.large >= self.limit

    def line(self) -> str:
        """Return the row as a line of a Markdown table."""
        verdict = "kept" if self.kept else "OVER"
        return f"| {self.resource} | {self.usual:g} | {self.large:g} | {self.limit:.4g} | {verdict} |"


class MeasuredRun(SoakRun):
    """A run of one sidecar without faults that measures the resource use of the sidecar."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        super().__init__(plan, folder, tree)
        self._use = ResourceUse(plan.upstreams)
        self._last_interval: int | None = None  # the number of the last interval of CHANGE_INTERVAL_S

    async def run_and_measure(self) -> ResourceUse:
        """Run the plan and return the resource use of the sidecar.

        Raises:
            LabError: The sidecar does not become ready at the start.
        """
        run = asyncio.create_task(self.run())
        sidecars = self.nodes.sidecars
        while not run.done():
            if sidecars and sidecars[0].process is not None:
                self._sample(sidecars[0].process.pid)
                self._change_list(self.nodes.agents[0])
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        await run
        requests = list(self.records.requests.values())
        served = sum(request.end is End.SERVED for request in requests)
        self._use.connections = sum(upstream.accepted_connections for upstream in self.nodes.upstreams)
        self._use.list_kb = round(self.nodes.agents[0].sent_bytes / 1000, 1)
        self._use.served_share = round(served / max(1, len(requests)), 4)
        return self._use

    def _sample(self, process_id: int) -> None:
        with contextlib.suppress(psutil.Error):
            process = psutil.Process(process_id)
            times = process.cpu_times()
            self._use.cpu_s = round(times.user + times.system, 2)
            self._use.memory_mb = max(self._use.memory_mb, round(process.memory_info().rss / 2**20, 1))
            self._use.descriptors = max(self._use.descriptors, process.num_fds())

    def _change_list(self, agent: DiscoveryAgent) -> None:
        """Send a change of one endpoint if a new interval has begun."""
        interval = int(time.monotonic() / CHANGE_INTERVAL_S)
        if self._last_interval not in (None, interval):
            agent.change(interval % self.plan.upstreams, EndpointStatus.ACTIVE, 0)
        self._last_interval = interval


def plan_for_upstreams(upstreams: int, seconds: float) -> Plan:
    """Return the plan for a number of upstreams; the traffic is the same for all sizes."""
    return Plan(
        seed=upstreams,
        load_s=seconds,
        sidecars=1,
        upstreams=upstreams,
        rate_per_s=40.0,
        service_ms=10.0,
        classes=[RequestClass("read", "idempotent", 1500), RequestClass("publish", "at_most_once", 1500)],
        faults=[],
        connect_timeout_ms=500,
    )


def comparison_rows(usual: ResourceUse, large: ResourceUse) -> list[Row]:
    """Return the table that compares the use at the larger size with its limits.

    Except for the share served, a limit is a multiple of the use at the usual size plus a constant, and for CPU, memory
    and the list also plus an amount for every thousand upstreams.
    """
    thousands = large.upstreams / 1000
    return [
        Row("CPU seconds", usual.cpu_s, large.cpu_s, 1.4 * usual.cpu_s + 0.02 + 0.12 * thousands),
        Row("peak memory, MB", usual.memory_mb, large.memory_mb, 1.5 * usual.memory_mb + 8 + 4 * thousands),
        Row("descriptors", usual.descriptors, large.descriptors, 2 * usual.descriptors + 40),
        Row("connections made to upstreams", usual.connections, large.connections, 2.5 * usual.connections + 40),
        Row("list, KB", usual.list_kb, large.list_kb, 2 * usual.list_kb + 64 + 500 * thousands),
        Row("share served", usual.served_share, large.served_share, 0.85 * usual.served_share, is_maximum=False),
    ]


def measure(usual: int, factor: int, seconds: float, folder: Path, tree: Path) -> list[Row]:
    """Run both sizes, one after the other, and return the table that compares them.

    Args:
        usual: The number of upstreams in the run of usual size.
        factor: The number of upstreams in the larger run, as a multiple of `usual`.
        seconds: The duration of the load in each run, in seconds.
        folder: The folder for the logs and needs.json.
        tree: The checkout whose deploy file starts the sidecar.
    """
    uses = []
    for upstreams in (usual, usual * factor):
        run_folder = folder / str(upstreams)
        run_folder.mkdir(parents=True, exist_ok=True)
        run = MeasuredRun(plan_for_upstreams(upstreams, seconds), run_folder, tree)
        uses.append(asyncio.run(run.run_and_measure()))
    (folder / "needs.json").write_bytes(msgspec.json.format(msgspec.json.encode(uses), indent=1) + b"\n")
    return comparison_rows(*uses)
