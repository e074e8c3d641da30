"""One process of the lab: some upstreams, the list service, or some applications.

It is told what to play by JSON lines on standard input and answers by lines on standard output. It ends with its
standard input, so nothing outlives the lab, whatever becomes of that.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time
from pathlib import Path
from typing import Literal

import msgspec
from msgspec import Struct, field

from garnetusher.lab.clients import Application
from garnetusher.lab.clockwork import Clockwork
from garnetusher.lab.directory import ListService
from garnetusher.lab.upstreams import Machinery
from garnetusher.model.experiment import Experiment, Topology
from garnetusher.model.link import Weather
from garnetusher.model.plan import Plan
from garnetusher.model.records import Journal

LONGEST_LINE = 1 << 27  # bytes: the addresses of thousands of pairs
GC_GAP = 100_000  # allocations between looks for garbage, which stall the process


class Job(Struct):
    """What a worker is to be."""

    role: Literal["upstreams", "directory", "clients"]
    name: str
    experiment: Experiment
    plan: Plan
    journal: str
    cores: list[int]
    members: list[str]  # uids or sidecars that are this worker's
    hosts: dict[str, str] = field(default_factory=dict)  # a loopback address for each uid, or for the list by sidecar
    endpoints: dict[str, dict[str, str]] = field(default_factory=dict)  # uid -> sidecar -> host:port
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)  # of the sidecars


class Begin(Struct):
    """The play starts at this time of the monotonic clock; `unix_ms` is what the calendar says then."""

    zero_ns: int
    unix_ms: int


class Ready(Struct):
    endpoints: dict[str, dict[str, str]]  # as in `Job`; of the list service under "directory"


class Closing(Struct):
    """What a worker says at its end."""

    events: int
    late: int
    cpu_s: float
    not_asked: int = 0


class Worker:
    def __init__(self, job: Job) -> None:
        self.job = job
        self.journal = Journal(Path(job.journal))
        self.clock = Clockwork(job.name, self.journal)
        self.machines: list[Machinery] = []
        self.service: ListService | None = None
        self.apps: list[Application] = []

    def prepare(self) -> Ready:
        """Open all sockets; the addresses at which they are."""
        job, topology = self.job, self.job.experiment.topology
        ready: dict[str, dict[str, str]] = {}
        if job.role == "upstreams":
            for plan in job.plan.upstreams:
                if plan.uid not in job.members:
                    continue
                machine = Machinery(self.clock, job.experiment, job.plan.seed, plan)
                for sidecar in job.plan.sidecars:
                    machine.link(
                        sidecar.name, job.hosts[plan.uid], usual(topology, topology.one_way_ms(sidecar.zone, plan.zone))
                    )
                self.machines.append(machine)
                ready[plan.uid] = {name: f"{x.host}:{x.port}" for name, x in machine.listeners.items()}
        elif job.role == "directory":
            self.service = ListService(self.clock, job.plan, job.endpoints, job.experiment.directory)
            for sidecar in job.plan.sidecars:
                self.service.link(sidecar.name, job.hosts["directory"], usual(topology, topology.cross_zone_ms))
            ready["directory"] = {name: f"{x.host}:{x.port}" for name, x in self.service.listeners.items()}
        else:
            self.apps = [
                Application(self.clock, job.experiment, job.plan, sidecar, job.addresses[sidecar.name])
                for sidecar in job.plan.sidecars
                if sidecar.name in job.members
            ]
        return Ready(ready)

    def begin(self, order: Begin) -> None:
        self.clock.begin(order.zero_ns)
        for machine in self.machines:
            machine.begin()
        if self.service is not None:
            self.service.begin(order.unix_ms)
        for app in self.apps:
            app.begin()
        self._links()

    def _links(self) -> None:
        """The plan's cuts and losses, for the links whose listening side is here."""
        sides = {m.plan.uid: m.listeners for m in self.machines}
        if self.service is not None:
            sides["directory"] = self.service.listeners
        for step in self.job.plan.links:
            meant = [sides[party][name] for party in step.parties if party in sides for name in step.sidecars]
            if not meant:
                continue

            def carry_out(step=step, meant=meant) -> None:  # type: ignore[no-untyped-def]
                for listener in meant:
                    if step.what == "cut":
                        listener.cut(step.to_party, step.to_sidecar)
                    elif step.what == "mend":
                        listener.mend(step.to_party, step.to_sidecar)
                    else:
                        listener.to_party.loss = listener.to_sidecar.loss = step.value

            self.clock.at(step.at_us, carry_out)

    def close(self) -> Closing:
        for machine in self.machines:
            machine.close()
        for app in self.apps:
            app.close()
        if self.service is not None:
            self.service.close()
        self.journal.close()
        return Closing(self.clock.events, self.clock.late, time.process_time(), sum(app.not_asked for app in self.apps))


def usual(topology: Topology, way_ms: float) -> Weather:
    """A link on which no fault lies."""
    return Weather(round(way_ms * 1000), topology.jitter, bytes_per_s=topology.link_kb_per_s * 1000)


def say(answer: Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(LONGEST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    job = msgspec.json.decode(await reader.readline(), type=Job)
    os.sched_setaffinity(0, job.cores)
    worker = Worker(job)
    say(worker.prepare())
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_GAP, 20, 20)
    line = await reader.readline()
    if line:
        worker.begin(msgspec.json.decode(line, type=Begin))
        if await reader.readline():
            say(worker.close())


if __name__ == "__main__":
    asyncio.run(main())
