"""A worker process of the lab, which runs some of the upstreams, discovery, or some of the client applications.

A worker reads its job and its orders as JSON lines from standard input, and writes replies as lines to standard output.
It exits when its standard input ends, so it never outlives the lab's main process.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time
from functools import partial
from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct, field

from garnetusher.lab.clients import Application
from garnetusher.lab.discovery import DiscoveryServer
from garnetusher.lab.link_sockets import Listener
from garnetusher.lab.run_clock import RunClock
from garnetusher.lab.upstreams import UpstreamServer
from garnetusher.model.experiment import Experiment, Topology
from garnetusher.model.link import LinkConditions
from garnetusher.model.plan import DISCOVERY_NODE, LinkStep, Plan
from garnetusher.model.records import Journal

MAX_LINE_BYTES = 1 << 27  # a line has room for the addresses of thousands of sidecar-upstream pairs
GC_THRESHOLDS = (100_000, 20, 20)  # garbage collections are rare, because each one stalls the process


class WorkerJob(Struct):
    """The nodes that a worker runs, and the data that it needs to run them.

    Attributes:
        role: The kind of nodes that the worker runs.
        name: The name of the worker in logs and records.
        experiment: The experiment.
        plan: The times and the actions of each node.
        journal: The path of the file for the worker's records.
        cores: The CPU cores that the worker may use.
        members: The uids of the worker's upstreams, or the names of the sidecars whose clients the worker runs.
        hosts: The loopback address of each upstream, by uid; for discovery, the only key is `directory`.
        endpoints: The `host:port` of each upstream for each sidecar, by upstream uid and sidecar name.
        addresses: The host and the port on which each sidecar listens, by sidecar name.
    """

    role: Literal["upstreams", "directory", "clients"]
    name: str
    experiment: Experiment
    plan: Plan
    journal: str
    cores: list[int]
    members: list[str]
    hosts: dict[str, str] = field(default_factory=dict)
    endpoints: dict[str, dict[str, str]] = field(default_factory=dict)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)


class StartOrder(Struct):
    """The order that sets time 0 of the run.

    Attributes:
        zero_ns: Time 0 in nanoseconds on the monotonic clock, which is common to all processes of the machine.
        unix_ms: The wall-clock time at time 0, in Unix milliseconds.
    """

    zero_ns: int
    unix_ms: int


STOP_ORDER = StartOrder(0, 0)  # the content does not matter: any line after the start order stops a worker


class WorkerReady(Struct):
    """Reports that all sockets of a worker are open.

    Attributes:
        endpoints: The addresses of the upstreams, as in `WorkerJob`; for discovery, the only key is `directory`.
    """

    endpoints: dict[str, dict[str, str]]


class WorkerSummary(Struct):
    """The report of a worker that has stopped.

    Attributes:
        events: The number of the worker's timers that fired.
        late: The number of the worker's timers that fired late.
        cpu_s: The CPU time of the worker, in seconds.
        not_asked: The number of requests that were due but not sent while their application and its sidecar were down.
        began_late_us: How long after time 0 of the run the worker read the start order; 0 if it read the order in time.
    """

    events: int
    late: int
    cpu_s: float
    not_asked: int = 0
    began_late_us: int = 0


class Worker:
    """The nodes of one worker process."""

    def __init__(self, job: WorkerJob) -> None:
        self.job = job
        self.journal = Journal(Path(job.journal))
        self.clock = RunClock(job.name, self.journal)
        self.upstreams: list[UpstreamServer] = []
        self.discovery: DiscoveryServer | None = None
        self.applications: list[Application] = []
        self._began_late_us = 0

    def prepare(self) -> WorkerReady:
        """Create the nodes of the job, open all their sockets, and return the addresses."""
        if self.job.role == "upstreams":
            return WorkerReady(self._prepare_upstreams())
        if self.job.role == "directory":
            return WorkerReady({DISCOVERY_NODE: self._prepare_discovery()})
        self._prepare_applications()
        return WorkerReady({})

    def _prepare_upstreams(self) -> dict[str, dict[str, str]]:
        job, topology = self.job, self.job.experiment.topology
        endpoints: dict[str, dict[str, str]] = {}
        for plan in job.plan.upstreams:
            if plan.uid not in job.members:
                continue
            upstream = UpstreamServer(self.clock, job.experiment, job.plan.seed, plan)
            for sidecar in job.plan.sidecars:
                conditions = _normal_conditions(topology, topology.one_way_ms(sidecar.zone, plan.zone))
                upstream.open_listener(sidecar.name, job.hosts[plan.uid], conditions)
            self.upstreams.append(upstream)
            endpoints[plan.uid] = _addresses(upstream.listeners)
        return endpoints

    def _prepare_discovery(self) -> dict[str, str]:
        job, topology = self.job, self.job.experiment.topology
        self.discovery = DiscoveryServer(self.clock, job.plan, job.endpoints, job.experiment.directory)
        for sidecar in job.plan.sidecars:
            conditions = _normal_conditions(topology, topology.cross_zone_ms)
            self.discovery.open_listener(sidecar.name, job.hosts[DISCOVERY_NODE], conditions)
        return _addresses(self.discovery.listeners)

    def _prepare_applications(self) -> None:
        job = self.job
        self.applications = [
            Application(self.clock, job.experiment, job.plan, sidecar, job.addresses[sidecar.name])
            for sidecar in job.plan.sidecars
            if sidecar.name in job.members
        ]

    def begin(self, order: StartOrder) -> None:
        """Start the clock, and schedule the actions of the plan."""
        self.clock.begin(order.zero_ns)
        self._began_late_us = max(0, self.clock.now_us())
        for upstream in self.upstreams:
            upstream.begin()
        if self.discovery is not None:
            self.discovery.begin(order.unix_ms)
        for application in self.applications:
            application.begin()
        self._schedule_link_faults()

    def _schedule_link_faults(self) -> None:
        """Schedule the plan's link faults for the links whose listening socket belongs to this worker."""
        listeners = {upstream.plan.uid: upstream.listeners for upstream in self.upstreams}
        if self.discovery is not None:
            listeners[DISCOVERY_NODE] = self.discovery.listeners
        for step in self.job.plan.links:
            affected = [
                listeners[node][sidecar] for node in step.parties if node in listeners for sidecar in step.sidecars
            ]
            if affected:
                self.clock.at(step.at_us, partial(_apply_link_fault, step, affected))

    def close(self) -> WorkerSummary:
        """Close all sockets and the journal, and return the worker's counts."""
        for upstream in self.upstreams:
            upstream.close()
        for application in self.applications:
            application.close()
        if self.discovery is not None:
            self.discovery.close()
        self.clock.stop()
        self.journal.close()
        not_asked = sum(application.not_asked for application in self.applications)
        return WorkerSummary(
            self.clock.events, self.clock.late, time.process_time(), not_asked, began_late_us=self._began_late_us
        )


def _apply_link_fault(step: LinkStep, listeners: list[Listener]) -> None:
    for listener in listeners:
        if step.what == "cut":
            listener.cut(to_node=step.to_party, to_sidecar=step.to_sidecar)
        elif step.what == "mend":
            listener.restore(to_node=step.to_party, to_sidecar=step.to_sidecar)
        else:  # the start or the end of loss, which have different values
            listener.to_node.loss = listener.to_sidecar.loss = step.value


def _normal_conditions(topology: Topology, one_way_ms: float) -> LinkConditions:
    """Return the conditions of a link without faults."""
    return LinkConditions(round(one_way_ms * 1000), topology.jitter, bytes_per_s=topology.link_kb_per_s * 1000)


def _addresses(listeners: dict[str, Listener]) -> dict[str, str]:
    return {sidecar: f"{listener.host}:{listener.port}" for sidecar, listener in listeners.items()}


def _send(message: Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


async def main() -> None:
    """Read the job and the orders from standard input, and execute them."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    job = msgspec.json.decode(await reader.readline(), type=WorkerJob)
    os.sched_setaffinity(0, job.cores)
    worker = Worker(job)
    ready = worker.prepare()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    _send(ready)
    start_line = await reader.readline()
    if not start_line:
        return
    worker.begin(msgspec.json.decode(start_line, type=StartOrder))
    if await reader.readline():
        _send(worker.close())


if __name__ == "__main__":
    asyncio.run(main())
