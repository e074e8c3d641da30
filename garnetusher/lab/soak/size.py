"""One sidecar beside few and beside many upstreams: what it needs may grow only so far over the same day.

The traffic of the sidecar and its limits stay the same; discovery tells a change of the list twice a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

import msgspec
import psutil
from msgspec import Struct

from garnetusher.lab.soak.discovery import Agent
from garnetusher.lab.soak.plan import Class, Plan
from garnetusher.lab.soak.records import End
from garnetusher.lab.soak.run import Play

CHANGE_S = 0.5  # between changes of the list
SAMPLE_S = 0.1


class Need(Struct):
    """What a sidecar needed over the day."""

    upstreams: int
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float


class Row(Struct):
    """One line of the table: what was needed at both sizes, and how much may be at the larger."""

    what: str
    usual: float
    large: float
    limit: float
    at_most: bool = True

    @property
    def kept(self) -> bool:
        return self.large <= self.limit if self.at_most else self.large >= self.limit

    def line(self) -> str:
        """Of a Markdown table."""
        verdict = "kept" if self.kept else "OVER"
        return f"| {self.what} | {self.usual:g} | {self.large:g} | {self.limit:.4g} | {verdict} |"


class Day(Play):
    """A play without trouble, in which the sidecar is measured."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        super().__init__(plan, folder, tree)
        self.need = Need(plan.upstreams, 0.0, 0.0, 0, 0, 0.0, 0.0)

    async def run_and_measure(self) -> Need:
        """Raises LabError where the sidecar does not start."""
        work = asyncio.create_task(self.run())
        while not work.done():
            if self.sidecars and self.sidecars[0].process is not None:
                self._sample(self.sidecars[0].process.pid)
                self._change(self.agents[0])
            await asyncio.sleep(SAMPLE_S)
        await work
        requests = list(self.records.requests.values())
        need = self.need
        need.connections = sum(upstream.accepted for upstream in self.upstreams)
        need.list_kb = round(self.agents[0].told_bytes / 1000, 1)
        need.served = round(sum(request.end is End.SERVED for request in requests) / max(1, len(requests)), 4)
        return need

    def _sample(self, pid: int) -> None:
        with contextlib.suppress(psutil.Error):
            process = psutil.Process(pid)
            times = process.cpu_times()
            self.need.cpu_s = round(times.user + times.system, 2)
            self.need.memory_mb = max(self.need.memory_mb, round(process.memory_info().rss / 2**20, 1))
            self.need.descriptors = max(self.need.descriptors, process.num_fds())

    def _change(self, agent: Agent) -> None:
        number = int(time.monotonic() / CHANGE_S)
        if number != getattr(self, "changed", number):
            agent.change(number % self.plan.upstreams, "active", 0)
        self.changed = number


def day(upstreams: int, seconds: float) -> Plan:
    """The same day at any size."""
    classes = [Class("read", "idempotent", 1500), Class("publish", "at_most_once", 1500)]
    return Plan(
        seed=upstreams,
        seconds=seconds,
        sidecars=1,
        upstreams=upstreams,
        rate_per_s=40.0,
        service_ms=10.0,
        classes=classes,
        troubles=[],
        dial_timeout_ms=500,
    )


def rows(usual: Need, large: Need) -> list[Row]:
    """The table of what the larger size may need."""
    thousands = large.upstreams / 1000
    return [
        Row("CPU seconds", usual.cpu_s, large.cpu_s, 1.4 * usual.cpu_s + 0.02 + 0.12 * thousands),
        Row("peak memory, MB", usual.memory_mb, large.memory_mb, 1.5 * usual.memory_mb + 8 + 4 * thousands),
        Row("descriptors", usual.descriptors, large.descriptors, 2 * usual.descriptors + 40),
        Row("connections made to upstreams", usual.connections, large.connections, 2.5 * usual.connections + 40),
        Row("list, KB", usual.list_kb, large.list_kb, 2 * usual.list_kb + 64 + 500 * thousands),
        Row("share served", usual.served, large.served, 0.85 * usual.served, at_most=False),
    ]


def measure(usual: int, times: int, seconds: float, folder: Path, tree: Path) -> list[Row]:
    """Play both sizes, one after the other."""
    needs = []
    for upstreams in (usual, usual * times):
        place = folder / str(upstreams)
        place.mkdir(parents=True, exist_ok=True)
        needs.append(asyncio.run(Day(day(upstreams, seconds), place, tree).run_and_measure()))
    (folder / "needs.json").write_bytes(msgspec.json.format(msgspec.json.encode(needs), indent=1) + b"\n")
    return rows(*needs)
