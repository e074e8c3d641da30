"""Runs one experiment on real processes.

A run starts the lab's workers and the sidecars, waits until the plan is over, stops them and merges their records.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Literal, TypeVar

import msgspec
import psutil
from msgspec import Struct

from garnetusher.lab import cpu_wait, sidecars
from garnetusher.lab.child_processes import die_with_parent, send_signal
from garnetusher.lab.cpu_wait import CpuWaitMonitor, MeasuredProcess
from garnetusher.lab.sidecars import Fleet, FleetSettings, LabError
from garnetusher.lab.worker import MAX_LINE_BYTES, STOP_ORDER, StartOrder, WorkerJob, WorkerReady, WorkerSummary
from garnetusher.logs import logger
from garnetusher.model import draw, records
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import DISCOVERY_NODE, Plan
from garnetusher.model.records import AnyRecord, CpuWaitRole, Journal, ProcessUsage

START_DELAY_S = 0.5  # time 0 is this long after `StartOrder` is sent, so that each worker has read it by then
MAX_BEGAN_LATE_US = 100_000  # a run in which a worker began later than this after time 0 is invalid
CLIENT_WORKER_REQUESTS_PER_S = 1000  # the maximum request rate of one client process
UPSTREAM_WORKER_REQUESTS_PER_S = 900  # the maximum request rate that the upstreams of one process serve
SAMPLE_INTERVAL_S = 1.0  # the interval between measurements of the processes' CPU time and memory
DRAIN_S = 1.0  # a run continues this long after the last deadline to record late responses too
WORKER_TIMEOUT_S = 60.0  # the time limit for a worker to open its sockets or to close its journal

# Each run draws the second octet of its loopback addresses at random, so that two concurrent runs rarely share a
# network. The third octet identifies the kind of node; a kind with many nodes also uses the values that follow it.
MIN_SECOND_OCTET = 64
SECOND_OCTETS = 128  # the number of values
DISCOVERY_THIRD_OCTET = 0
UPSTREAM_THIRD_OCTET = 1
SIDECAR_THIRD_OCTET = 200
HOSTS_PER_THIRD_OCTET = 250

log = logger()
Message = TypeVar("Message", bound=Struct)
Progress = Callable[[str, float], None]  # called with the current activity and the completed share of the run


class WorkerExitedError(LabError):
    """A worker process of the lab ended early or did not respond in time."""

    def __init__(self, name: str, last_lines: list[str]) -> None:
        super().__init__(
            f"the lab's worker {name} ended early or did not respond; last lines of its log:\n  "
            + "\n  ".join(last_lines)
        )


class WorkerNotStartedError(LabError):
    """The lab cannot exchange messages with a worker process that has not been started."""

    def __init__(self, name: str) -> None:
        super().__init__(f"the lab's worker {name} has not been started")


class WorkerBeganLateError(LabError):
    """The machine was too busy: a worker began so late that the records do not show the planned run."""

    def __init__(self, name: str, late_us: int) -> None:
        super().__init__(
            f"the run is invalid: the machine is too busy, and the lab's worker {name} began "
            f"{late_us / 1000:.0f} ms after the start of the run"
        )


class CompletedRun(Struct):
    """The records and the measurements of a completed run.

    Attributes:
        plan: The plan of the run.
        records: All records, sorted by time.
        events: The number of the lab's timers that fired.
        late: The number of the lab's timers that fired late.
        not_asked: The number of requests that were due but not sent while their application and its sidecar were down.
        cores: The CPU cores of the lab, under `lab`, and of the sidecars, under `sidecars`.
        worker_cpu_s: The CPU time of each worker in seconds, by worker name.
    """

    plan: Plan
    records: list[AnyRecord]
    events: int
    late: int
    not_asked: int
    cores: dict[str, list[int]]
    worker_cpu_s: dict[str, float]

    @property
    def late_share(self) -> float:
        """The share of the lab's timers that fired late."""
        return self.late / self.events if self.events else 0.0


class _WorkerProcess:
    """A worker process, as the main process controls it."""

    def __init__(self, job: WorkerJob, log_path: Path) -> None:
        self.job = job
        self.log_path = log_path
        self.process: asyncio.subprocess.Process | None = None

    @property
    def exited(self) -> bool:
        """Whether the process was started and has ended."""
        return self.process is not None and self.process.returncode is not None

    async def start(self) -> WorkerReady:
        """Start the process, send its job and return its first message."""
        with self.log_path.open("wb") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnetusher.lab.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                limit=MAX_LINE_BYTES,
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        await self.send(self.job)
        return await self.receive(WorkerReady)

    async def send(self, message: Struct) -> None:
        """Send a message; do nothing if the process has closed its input.

        Raises:
            WorkerNotStartedError: The process was not started.
        """
        if self.process is None or self.process.stdin is None:
            raise WorkerNotStartedError(self.job.name)
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        with contextlib.suppress(ConnectionError):
            await self.process.stdin.drain()

    async def receive(self, message_type: type[Message]) -> Message:
        """Return the next message, or raise an error with the last lines of the log if none comes in time."""
        if self.process is None or self.process.stdout is None:
            raise WorkerNotStartedError(self.job.name)
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), WORKER_TIMEOUT_S)
        except TimeoutError:
            line = b""
        if not line:
            status = self.process.returncode
            last_lines = self._last_log_lines()
            log.error("lab.worker.died", worker=self.job.name, status=status, last_lines=last_lines)
            raise WorkerExitedError(self.job.name, last_lines)
        return msgspec.json.decode(line, type=message_type)

    def _last_log_lines(self) -> list[str]:
        return self.log_path.read_text(errors="replace").splitlines()[-sidecars.LAST_LOG_LINES :]

    async def kill(self) -> int:
        """Kill the process if it still runs, and return the number of killed processes."""
        if self.process is None or self.process.returncode is not None:
            return 0
        send_signal(self.process, signal.SIGKILL)
        await self.process.wait()
        return 1


class _CoreAssignment:
    """Divides the CPU cores between the lab and the sidecars.

    The lab's processes run on cores of their own, so that they cannot starve the sidecars of CPU time, and leave at
    least two cores to the sidecars. On a machine with one or two cores, the lab and the sidecars share them.
    """

    def __init__(self, worker_count: int) -> None:
        cores = sorted(os.sched_getaffinity(0))
        lab_cores = min(worker_count + 1, max(1, len(cores) - 2))
        self.lab = cores[:lab_cores] if len(cores) > 2 else cores
        self.sidecars = cores[lab_cores:] if len(cores) > 2 else cores

    def worker_cores(self, index: int) -> list[int]:
        """Return the core of a worker.

        Worker 0, which runs discovery, shares the first core with the main process. Each other worker has a core of its
        own as long as there are enough.
        """
        return [self.lab[index % len(self.lab)]]


async def run_experiment(experiment: Experiment, plan: Plan, tree: Path, out: Path, progress: Progress) -> CompletedRun:
    """Run an experiment, and end all processes that it started even if it fails or is cancelled.

    This thread has a core of its own meanwhile, and then its former cores again.

    Args:
        experiment: The experiment.
        plan: The times and the actions of each node.
        tree: The checkout whose deploy file starts the sidecars.
        out: The folder for the files of the run.
        progress: Called with the current activity and the completed share of the run.

    Raises:
        LabError: The run failed; the message gives the reason.
    """
    _make_folders(out)
    for signal_number in (signal.SIGINT, signal.SIGTERM):  # also replaces an ignored SIGINT that the process inherited
        asyncio.get_running_loop().add_signal_handler(signal_number, _cancel_callback(asyncio.current_task()))
    cores = os.sched_getaffinity(0)  # the run moves this thread to one core
    run = _Run(experiment, plan, tree, out, progress)
    try:
        return await run.run()
    finally:
        await asyncio.shield(run.clean_up())
        os.sched_setaffinity(0, cores)


def _make_folders(out: Path) -> None:
    (out / "logs").mkdir(parents=True, exist_ok=True)
    (out / "parts").mkdir(exist_ok=True)


def _cancel_callback(task: asyncio.Task[object] | None) -> Callable[[], None]:
    def cancel() -> None:
        """Cancel the task, if there is one."""
        if task is not None:
            task.cancel()

    return cancel


class _Run:
    """One run of an experiment. It owns the processes and the files of the run."""

    def __init__(self, experiment: Experiment, plan: Plan, tree: Path, out: Path, progress: Progress) -> None:
        self.experiment = experiment
        self.plan = plan
        self.tree = tree.resolve()
        self.out = out.resolve()
        self.progress = progress
        self.journal = Journal(self.out / "parts" / "lab.jsonl")
        self.workers: list[_WorkerProcess] = []
        self.fleet: Fleet | None = None
        self.cpu_wait_task: asyncio.Task[None] | None = None
        self.zero_ns = time.monotonic_ns()
        self.cleaned_up = False
        self.second_octet = MIN_SECOND_OCTET + int(draw.uniform(os.getpid(), time.monotonic_ns()) * SECOND_OCTETS)
        requests_per_s = int(experiment.load.requests_per_s)
        upstream_ids = [upstream.uid for upstream in plan.upstreams]
        sidecar_names = [sidecar.name for sidecar in plan.sidecars]
        self.upstream_groups = _distribute(upstream_ids, -(-requests_per_s // UPSTREAM_WORKER_REQUESTS_PER_S))
        self.client_groups = _distribute(sidecar_names, -(-requests_per_s // CLIENT_WORKER_REQUESTS_PER_S))
        self.cores = _CoreAssignment(len(self.upstream_groups) + len(self.client_groups))

    def now_us(self) -> int:
        """Return the time since time 0 of the run, in microseconds."""
        return (time.monotonic_ns() - self.zero_ns) // 1000

    async def run(self) -> CompletedRun:
        """Build the tree, start all processes, wait for the end of the run and return its records."""
        self.progress("building", 0.0)
        await asyncio.to_thread(sidecars.build, self.tree, membership=self.experiment.sidecars.membership)
        self.progress("starting", 0.0)
        fleet = await self._start_processes()
        await self._begin(fleet)
        await self._wait(fleet)
        return await self._finish()

    async def _start_processes(self) -> Fleet:
        """Start the upstreams, discovery, the sidecars and the clients; each needs the addresses of those before it."""
        os.sched_setaffinity(0, self.cores.worker_cores(0))
        endpoints = await self._start_upstreams()
        discovery_addresses = await self._start_discovery(endpoints)
        fleet = self.fleet = self._make_fleet(endpoints, discovery_addresses)
        await fleet.start()
        await self._start_clients(fleet)
        return fleet

    async def _start_upstreams(self) -> dict[str, dict[str, str]]:
        """Start the upstreams, and return the address of each upstream for each sidecar."""
        hosts = {upstream.uid: self._host(UPSTREAM_THIRD_OCTET, i) for i, upstream in enumerate(self.plan.upstreams)}
        workers = []
        for i, group in enumerate(self.upstream_groups):
            job = self._job("upstreams", f"upstreams-{i}", group, core_index=1 + i)
            job.hosts = hosts
            workers.append(self._add_worker(job))
        endpoints: dict[str, dict[str, str]] = {}
        for ready in await asyncio.gather(*(worker.start() for worker in workers)):
            endpoints |= ready.endpoints
        return endpoints

    async def _start_discovery(self, endpoints: dict[str, dict[str, str]]) -> dict[str, str]:
        """Start discovery, and return its address for each sidecar."""
        job = self._job("directory", DISCOVERY_NODE, [], core_index=0)
        job.endpoints = endpoints
        job.hosts = {DISCOVERY_NODE: self._host(DISCOVERY_THIRD_OCTET, 0)}
        ready = await self._add_worker(job).start()
        return ready.endpoints[DISCOVERY_NODE]

    async def _start_clients(self, fleet: Fleet) -> None:
        addresses = {name: sidecar.address for name, sidecar in fleet.sidecars.items()}
        workers = []
        for i, group in enumerate(self.client_groups):
            job = self._job("clients", f"clients-{i}", group, core_index=1 + len(self.upstream_groups) + i)
            job.addresses = addresses
            workers.append(self._add_worker(job))
        await asyncio.gather(*(worker.start() for worker in workers))

    def _make_fleet(self, endpoints: dict[str, dict[str, str]], discovery_addresses: dict[str, str]) -> Fleet:
        settings = FleetSettings(
            experiment=self.experiment,
            plan=self.plan,
            tree=self.tree,
            out=self.out,
            cores=self.cores.sidecars,
            endpoints=endpoints,
            discovery_addresses=discovery_addresses,
            hosts={sidecar.name: self._host(SIDECAR_THIRD_OCTET, i) for i, sidecar in enumerate(self.plan.sidecars)},
        )
        return Fleet(settings, self.journal.write, self.now_us)

    def _host(self, min_third_octet: int, index: int) -> str:
        """Return the loopback address of the node at an index of its kind.

        Args:
            min_third_octet: The lowest third octet of the nodes of this kind.
            index: The index of the node among the nodes of its kind.
        """
        return (
            f"127.{self.second_octet}"
            f".{min_third_octet + index // HOSTS_PER_THIRD_OCTET}.{1 + index % HOSTS_PER_THIRD_OCTET}"
        )

    def _job(
        self, role: Literal["upstreams", "directory", "clients"], name: str, members: list[str], *, core_index: int
    ) -> WorkerJob:
        return WorkerJob(
            role=role,
            name=name,
            experiment=self.experiment,
            plan=self.plan,
            journal=str(self.out / "parts" / f"{name}.jsonl"),
            cores=self.cores.worker_cores(core_index),
            members=members,
        )

    def _add_worker(self, job: WorkerJob) -> _WorkerProcess:
        worker = _WorkerProcess(job, self.out / "logs" / f"lab-{job.name}.log")
        self.workers.append(worker)
        return worker

    async def _begin(self, fleet: Fleet) -> None:
        """Set the common time 0 of all processes of the run."""
        order = StartOrder(time.monotonic_ns() + int(START_DELAY_S * 1e9), int((time.time() + START_DELAY_S) * 1000))
        self.zero_ns = order.zero_ns
        fleet.unix_zero_ms = order.unix_ms
        for worker in self.workers:
            await worker.send(order)
        fleet.begin()
        self.cpu_wait_task = asyncio.get_running_loop().create_task(self._measure_cpu_waits(fleet))
        log.info(
            "lab.play.begins",
            experiment=self.experiment.name,
            seed=self.plan.seed,
            out=str(self.out),
            sidecars=len(self.plan.sidecars),
            upstreams=len(self.plan.upstreams),
        )

    async def _wait(self, fleet: Fleet) -> None:
        """Wait for the end of the plan, and then for the longest deadline and the drain time.

        Raises:
            WorkerExitedError: A worker ended early, which also ends the run.
        """
        longest_deadline_s = max(c.deadline_ms for c in self.experiment.classes) / 1000
        end_us = int((self.plan.seconds + longest_deadline_s + DRAIN_S) * 1e6)
        psutil_processes: dict[int, psutil.Process] = {}
        while (now_us := self.now_us()) < end_us:
            await asyncio.sleep(min(SAMPLE_INTERVAL_S, (end_us - now_us) / 1e6))
            self._measure_usage(fleet, psutil_processes)
            self.progress("running", max(0.0, min(1.0, self.now_us() / end_us)))
            for worker in self.workers:
                if worker.exited:
                    await worker.receive(WorkerReady)  # raises an error with the last lines of the worker's log

    async def _measure_cpu_waits(self, fleet: Fleet) -> None:
        monitor = CpuWaitMonitor(self.journal.write, self.now_us)
        while True:
            monitor.sample(self._measured_processes(fleet))
            await asyncio.sleep(cpu_wait.SAMPLE_INTERVAL_S)

    def _measured_processes(self, fleet: Fleet) -> Iterator[MeasuredProcess]:
        for worker in self.workers:
            if worker.process is not None and worker.job.role != "directory":
                yield MeasuredProcess(worker.job.name, CpuWaitRole(worker.job.role), worker.process.pid)
        for sidecar in fleet.sidecars.values():
            if sidecar.process is not None:
                yield MeasuredProcess(sidecar.plan.name, CpuWaitRole.SIDECAR, sidecar.process.pid)

    def _measure_usage(self, fleet: Fleet, psutil_processes: dict[int, psutil.Process]) -> None:
        """Record the CPU time and the memory of all processes, except those that have just ended."""
        processes = [(worker.job.name, worker.process) for worker in self.workers]
        processes += [(sidecar.plan.name, sidecar.process) for sidecar in fleet.sidecars.values()]
        for name, process in [*processes, ("lab", None)]:  # None stands for the main process of the lab
            pid = process.pid if process is not None else os.getpid()
            try:
                psutil_process = psutil_processes.setdefault(pid, psutil.Process(pid))
                with psutil_process.oneshot():
                    cpu_times = psutil_process.cpu_times()
                    memory_bytes = psutil_process.memory_info().rss
            except psutil.Error:
                continue
            cpu_s = round(cpu_times.user + cpu_times.system, 3)
            self.journal.write(ProcessUsage(self.now_us(), name, cpu_s, round(memory_bytes / 2**20, 1)))

    async def _finish(self) -> CompletedRun:
        summaries = await self._stop_workers()
        await self.clean_up()
        self.progress("merging records", 1.0)
        all_records = self._merge_records()
        events = sum(summary.events for summary in summaries.values())
        late = sum(summary.late for summary in summaries.values())
        if late:
            log.warning("lab.late", worker="all", events=events, late=late)
        return CompletedRun(
            plan=self.plan,
            records=all_records,
            events=events,
            late=late,
            not_asked=sum(summary.not_asked for summary in summaries.values()),
            cores={"lab": self.cores.lab, "sidecars": self.cores.sidecars},
            worker_cpu_s={name: round(summary.cpu_s, 2) for name, summary in summaries.items()},
        )

    async def _stop_workers(self) -> dict[str, WorkerSummary]:
        summaries = {}
        for worker in self.workers:
            await worker.send(STOP_ORDER)
            summary = summaries[worker.job.name] = await worker.receive(WorkerSummary)
            if summary.began_late_us > MAX_BEGAN_LATE_US:
                raise WorkerBeganLateError(worker.job.name, summary.began_late_us)
        return summaries

    def _merge_records(self) -> list[AnyRecord]:
        """Merge the journals of all processes into one file, remove the journals, and return the records."""
        journal_paths = sorted((self.out / "parts").glob("*.jsonl"))
        all_records = records.merge(journal_paths, self.out / "events.jsonl")
        for journal_path in journal_paths:
            journal_path.unlink()
        (self.out / "parts").rmdir()
        return all_records

    async def clean_up(self) -> None:
        """Kill all processes that still run; a second call does nothing."""
        if self.cleaned_up:
            return
        self.cleaned_up = True
        killed = 0
        if self.cpu_wait_task is not None:
            self.cpu_wait_task.cancel()
        if self.fleet is not None:
            killed += await self.fleet.kill()
        for worker in self.workers:
            killed += await worker.kill()
        self.journal.close()
        log.info("lab.cleaned", processes=killed)


def _distribute(names: list[str], group_count: int) -> list[list[str]]:
    """Distribute names evenly over groups, one for each worker process.

    Adjacent names, which belong to nodes of the same zone, go to different groups.
    """
    group_count = max(1, min(group_count, len(names)))
    return [names[i::group_count] for i in range(group_count)]
