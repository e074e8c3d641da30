"""Runs one plan of the soak: starts the processes, injects the faults, and checks the records with the oracle."""

from __future__ import annotations

import asyncio
import gc
import json
import os
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from msgspec import Struct

from garnetusher.lab.sidecars import LabError
from garnetusher.lab.soak.client import ClientGroup
from garnetusher.lab.soak.discovery import DiscoveryAgent
from garnetusher.lab.soak.faults import FaultInjector, Nodes
from garnetusher.lab.soak.oracle import Breach, Oracle
from garnetusher.lab.soak.plan import FaultKind, Plan, sidecar_settings
from garnetusher.lab.soak.records import Lag, MemorySample, Records, now_s
from garnetusher.lab.soak.sidecar_process import SidecarProcess, SidecarSetup
from garnetusher.lab.soak.upstream import SimulatedUpstream
from garnetusher.lab.syscall_faults import Call

LAG_SAMPLE_S = 0.01
SMALLEST_LAG_S = 0.02  # a shorter lag of the recording process is not recorded
MEMORY_SAMPLE_S = 0.1
SETTLE_S = 1.0  # the run ends this long after the last response and the last fault
# These kinds need the library of garnetusher/lab/syscall_faults.py, which is preloaded only into their target sidecars.
LIBRARY_FAULTS = (FaultKind.SYSCALLS, FaultKind.WALL_CLOCK)


class BrokenRule(Struct, frozen=True):
    """A breach as it is written to breaches.json; its time counts from the start of the run."""

    rule: str
    at_s: float
    text: str


class RunResult(Struct):
    """The result of one run."""

    seed: int
    duration_s: float
    requests: int
    attempts: int
    ends: dict[str, int]
    breaches: list[BrokenRule]
    faults: dict[str, int]
    overlapping_kinds: list[tuple[str, str]]
    worst_lag_s: float
    peak_memory_mb: float  # the largest memory of any sidecar
    failed_calls: int  # the number of system calls that failed by injection
    folder: str


class SoakRun:
    """One run of a plan on real sidecar processes."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        self.plan = plan
        self.records = Records()
        self.nodes = Nodes()
        self._folder = folder
        self._tree = tree
        self._host = _loopback_address(plan.seed)
        self._injector = FaultInjector(plan, self.nodes)
        self._fault_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> list[Breach]:
        """Run the plan and return the breaches; at the end, also after an error, all sidecar processes are killed.

        Raises:
            LabError: A sidecar does not become ready at the start.
        """
        try:
            await self._open()
            measurements = [asyncio.create_task(self._measure_lags()), asyncio.create_task(self._measure_memory())]
            await self._apply_load_and_faults()
            await asyncio.sleep(SETTLE_S)
            for measurement in measurements:
                measurement.cancel()
        finally:
            await self._close()
        logs = [sidecar.log for sidecar in self.nodes.sidecars]
        return Oracle(self.plan, self.records, logs).check()

    def failed_calls(self) -> int:
        """Return how many system calls of the sidecars failed by injection."""
        fault_tables = [sidecar.fault_table for sidecar in self.nodes.sidecars if sidecar.fault_table is not None]
        return sum(fault_table.hits(call) for fault_table in fault_tables for call in Call)

    async def _open(self) -> None:
        """Open the simulated nodes, inject the faults that precede the start, and start the sidecars."""
        plan = self.plan
        self._injector.prepare()
        for number in range(plan.upstreams):
            upstream = SimulatedUpstream(number, self._host, plan.service_ms, self.records, plan.seed)
            self.nodes.upstreams.append(upstream)
            upstream.open(plan.sidecars)
        for number in range(plan.sidecars):
            await self._open_sidecar(number)
        for fault in plan.faults:
            if fault.at_s < 0:
                await self._injector.apply(fault)
        sidecars = self.nodes.sidecars
        await asyncio.gather(*(sidecar.start() for sidecar in sidecars))
        if not all(await asyncio.gather(*(sidecar.wait_until_ready() for sidecar in sidecars))):
            message = f"{self._folder}: a sidecar did not become ready; see the logs in this folder"
            raise LabError(message)
        # Later garbage collections in this process skip the objects that exist at the start of the load.
        gc.collect()
        gc.freeze()

    async def _open_sidecar(self, number: int) -> None:
        """Prepare a sidecar, its discovery agent and its clients, without starting its process."""
        plan = self.plan
        folder = self._folder / f"s{number}"
        folder.mkdir(parents=True, exist_ok=True)
        ports = [upstream.listeners[number].port for upstream in self.nodes.upstreams]
        agent = DiscoveryAgent(number, self._host, self.records, ports, pushed=plan.mode == "pushed")
        await agent.open()
        needs_library = any(fault.kind in LIBRARY_FAULTS and number in fault.targets for fault in plan.faults)
        is_taken_over = any(fault.kind is FaultKind.TAKEOVER and number in fault.targets for fault in plan.faults)
        setup = SidecarSetup(
            number,
            self._host,
            folder,
            self._tree,
            sidecar_settings(plan),
            needs_library,
            plan.memory_mb,
            plan.descriptors,
            is_taken_over,
        )
        sidecar = SidecarProcess(setup, self.records)
        self.nodes.agents.append(agent)
        self.nodes.sidecars.append(sidecar)
        self.nodes.clients.append(self._make_clients(sidecar))
        self.nodes.write_configuration(number)

    def _make_clients(self, sidecar: SidecarProcess) -> ClientGroup:
        """Return the clients of a sidecar."""
        return ClientGroup(sidecar.number, sidecar.address, self.plan, self.records, sidecar.save_trace)

    async def _apply_load_and_faults(self) -> None:
        started_s = now_s()
        for fault in self.plan.faults:
            if fault.at_s >= 0:
                self._start_fault(self._injector.apply_at(fault, started_s + fault.at_s))
        await asyncio.gather(*(clients.run(started_s + self.plan.load_s) for clients in self.nodes.clients))
        while self._fault_tasks:
            await asyncio.wait(set(self._fault_tasks))

    def _start_fault(self, injection: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(injection)
        self._fault_tasks.add(task)
        task.add_done_callback(self._fault_tasks.discard)

    async def _measure_lags(self) -> None:
        """Record the lags of this process, since they delay all records that it makes."""
        while True:
            expected_s = now_s() + LAG_SAMPLE_S
            await asyncio.sleep(LAG_SAMPLE_S)
            lag_s = now_s() - expected_s
            if lag_s > SMALLEST_LAG_S:
                self.records.lags.append(Lag(now_s(), lag_s))

    async def _measure_memory(self) -> None:
        """Record the largest memory of each sidecar."""
        while True:
            for sidecar in self.nodes.sidecars:
                sample = MemorySample(sidecar.number, now_s(), sidecar.memory_mb())
                peak = self.records.memory_peaks.get(sidecar.number)
                if peak is None or sample.size_mb > peak.size_mb:
                    self.records.memory_peaks[sidecar.number] = sample
            await asyncio.sleep(MEMORY_SAMPLE_S)

    async def _close(self) -> None:
        await asyncio.gather(*(sidecar.kill() for sidecar in self.nodes.sidecars))
        for upstream in self.nodes.upstreams:
            upstream.close()
        for agent in self.nodes.agents:
            agent.close()


def run_plan(plan: Plan, folder: Path, tree: Path) -> RunResult:
    """Run a plan, check its records, and write its logs, events and breaches to a folder.

    Raises:
        LabError: A sidecar does not become ready at the start.
    """
    folder.mkdir(parents=True, exist_ok=True)
    started_s = now_s()
    run = SoakRun(plan, folder, tree)
    breaches = asyncio.run(run.run())
    result = _run_result(run, breaches, started_s, folder)
    _write_events(run.records, started_s, folder)
    if breaches:
        _write_records(run.records, folder)
    broken_rules = [{"rule": breach.rule, "at_s": breach.at_s, "text": breach.text} for breach in result.breaches]
    (folder / "breaches.json").write_text(json.dumps(broken_rules, indent=1) + "\n")
    return result


def _run_result(run: SoakRun, breaches: list[Breach], started_s: float, folder: Path) -> RunResult:
    records = run.records
    ends = Counter(request.end.value for request in records.requests.values() if request.end is not None)
    return RunResult(
        seed=run.plan.seed,
        duration_s=round(now_s() - started_s, 1),
        requests=len(records.requests),
        attempts=len(records.attempts),
        ends=dict(ends),
        breaches=[BrokenRule(breach.rule.value, round(breach.at_s - started_s, 3), breach.text) for breach in breaches],
        faults=dict(Counter(fault.kind.value for fault in run.plan.faults)),
        overlapping_kinds=sorted((first.value, second.value) for first, second in run.plan.overlapping_kinds()),
        worst_lag_s=round(max((lag.duration_s for lag in records.lags), default=0.0), 3),
        peak_memory_mb=round(max((peak.size_mb for peak in records.memory_peaks.values()), default=0.0), 1),
        failed_calls=run.failed_calls(),
        folder=str(folder),
    )


def _write_events(records: Records, started_s: float, folder: Path) -> None:
    lines = [
        f"{event.at_s - started_s:8.3f} s{event.sidecar} {event.kind} {event.detail}"
        for event in records.process_events
    ]
    (folder / "steps.txt").write_text("\n".join(lines) + "\n")


def _write_records(records: Records, folder: Path) -> None:
    entries = (*records.requests.values(), *records.attempts, *records.endpoint_changes, *records.lags)
    (folder / "records.txt").write_text("\n".join(repr(entry) for entry in entries) + "\n")


def _loopback_address(seed: int) -> str:
    """Return a loopback address that no other run on this machine uses at the same time."""
    process_id = os.getpid()
    return f"127.{64 + process_id % 128}.{process_id // 128 % 250}.{1 + seed % 250}"
