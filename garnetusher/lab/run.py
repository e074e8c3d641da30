"""Run one experiment on real processes: start the lab's workers and the sidecars, wait, stop them, read the records."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Literal, TypeVar

import msgspec
import psutil
from msgspec import Struct

from garnetusher.lab import sidecars
from garnetusher.lab.sidecars import Fleet, FleetSettings, LabError, die_with_parent
from garnetusher.lab.worker import MAX_LINE_BYTES, STOP_ORDER, StartOrder, WorkerJob, WorkerReady, WorkerSummary
from garnetusher.logs import logger
from garnetusher.model import draw, records
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import DIRECTORY, Plan
from garnetusher.model.records import AnyRecord, Journal, ProcessUsage

START_DELAY_S = 0.5  # from the start order until time 0 of the run, so that each worker has read it by then
CLIENT_WORKER_REQUESTS_PER_S = 1000  # that the clients of one process send
UPSTREAM_WORKER_REQUESTS_PER_S = 900  # that the upstreams of one process serve
SAMPLE_INTERVAL_S = 1.0  # between measurements of what processes use
DRAIN_S = 1.0  # after the last deadline, so that late responses are recorded too
WORKER_TIMEOUT_S = 60.0  # for a worker to open its sockets, or to close its journal

# The second octet of loopback addresses is drawn for a run, so that two labs seldom share a network; the third names
# the kind of node, with more octets after it where there are many.
FIRST_NETWORK = 64
NETWORKS = 128
DIRECTORY_HOSTS = 0
UPSTREAM_HOSTS = 1
SIDECAR_HOSTS = 200
HOSTS_PER_OCTET = 250

log = logger()
Message = TypeVar("Message", bound=Struct)
Progress = Callable[[str, float], None]  # what is done, and the part of the run that is over


class WorkerExitedError(LabError):
    """A process of the lab itself ended or hung before its work was done."""

    def __init__(self, name: str, last_lines: list[str]) -> None:
        super().__init__(f"the lab's own {name} ended early; its last lines:\n  " + "\n  ".join(last_lines))


class WorkerNotStartedError(LabError):
    """A message was exchanged with a process of the lab that has not been started."""

    def __init__(self, name: str) -> None:
        super().__init__(f"the lab's own {name} has not been started")


class CompletedRun(Struct):
    """What a run leaves.

    Attributes:
        plan: The plan that was carried out.
        records: All records, in the order of time.
        events: How many timers of the lab fired.
        late: How many of them fired late.
        not_asked: Requests that were not sent, as their application was down with its sidecar.
        cores: The CPU cores of the lab and of the sidecars.
        worker_cpu_s: What each worker used, by its name.
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
        """The part of the lab's timers that fired late."""
        return self.late / self.events if self.events else 0.0


class _WorkerProcess:
    """The main process's side of a worker."""

    def __init__(self, job: WorkerJob, log_path: Path) -> None:
        self.job = job
        self.log_path = log_path
        self.process: asyncio.subprocess.Process | None = None

    @property
    def exited(self) -> bool:
        return self.process is not None and self.process.returncode is not None

    async def start(self) -> WorkerReady:
        with self.log_path.open("wb") as errors:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnetusher.lab.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                limit=MAX_LINE_BYTES,
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        await self.send(self.job)
        return await self.receive(WorkerReady)

    async def send(self, message: Struct) -> None:
        if self.process is None or self.process.stdin is None:
            raise WorkerNotStartedError(self.job.name)
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")
        with contextlib.suppress(ConnectionError):
            await self.process.stdin.drain()

    async def receive(self, message_type: type[Message]) -> Message:
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
        """Kill it if it still runs; return how many processes that were."""
        if self.process is None or self.process.returncode is not None:
            return 0
        self.process.kill()
        await self.process.wait()
        return 1


class _CoreAssignment:
    """Divides the CPU cores: the lab's processes have some of their own, so that it can't starve the sidecars."""

    def __init__(self, workers: int) -> None:
        cores = sorted(os.sched_getaffinity(0))
        lab_cores = min(workers + 1, max(1, len(cores) - 2))
        self.lab = cores[:lab_cores] if len(cores) > 2 else cores
        self.sidecars = cores[lab_cores:] if len(cores) > 2 else cores

    def of_worker(self, index: int) -> list[int]:
        """Return the core of a worker; discovery (0) shares the first with the main process, others have one each."""
        return [self.lab[index % len(self.lab)]]


async def run_experiment(experiment: Experiment, plan: Plan, tree: Path, out: Path, progress: Progress) -> CompletedRun:
    """Run an experiment; whatever happens, no process that it started is left behind.

    Args:
        experiment: What is run.
        plan: What each node does when.
        tree: The checkout whose deploy file starts the sidecars.
        out: The folder of the run's files.
        progress: Called with what is being done.

    Raises:
        LabError: The experiment can't be run; the message says why.
    """
    _make_folders(out)
    for signal_number in (signal.SIGINT, signal.SIGTERM):  # SIGINT may have been inherited as ignored
        asyncio.get_running_loop().add_signal_handler(signal_number, _canceller(asyncio.current_task()))
    run = _Run(experiment, plan, tree, out, progress)
    try:
        return await run.run()
    finally:
        await asyncio.shield(run.clean_up())


def _make_folders(out: Path) -> None:
    (out / "logs").mkdir(parents=True, exist_ok=True)
    (out / "parts").mkdir(exist_ok=True)


def _canceller(task: asyncio.Task[object] | None) -> Callable[[], None]:
    def cancel() -> None:
        if task is not None:
            task.cancel()

    return cancel


class _Run:
    """One run of an experiment, with all processes and files that it owns."""

    def __init__(self, experiment: Experiment, plan: Plan, tree: Path, out: Path, progress: Progress) -> None:
        self.experiment = experiment
        self.plan = plan
        self.tree = tree.resolve()
        self.out = out.resolve()
        self.progress = progress
        self.journal = Journal(self.out / "parts" / "lab.jsonl")
        self.workers: list[_WorkerProcess] = []
        self.fleet: Fleet | None = None
        self.zero_ns = time.monotonic_ns()
        self.cleaned_up = False
        self.network = FIRST_NETWORK + int(draw.uniform(os.getpid(), time.monotonic_ns()) * NETWORKS)
        requests_per_s = int(experiment.load.requests_per_s)
        upstream_ids = [upstream.uid for upstream in plan.upstreams]
        sidecar_names = [sidecar.name for sidecar in plan.sidecars]
        self.upstream_parts = _distribute(upstream_ids, -(-requests_per_s // UPSTREAM_WORKER_REQUESTS_PER_S))
        self.client_parts = _distribute(sidecar_names, -(-requests_per_s // CLIENT_WORKER_REQUESTS_PER_S))
        self.cores = _CoreAssignment(len(self.upstream_parts) + len(self.client_parts))

    def now_us(self) -> int:
        """Return the time since the start of the run."""
        return (time.monotonic_ns() - self.zero_ns) // 1000

    async def run(self) -> CompletedRun:
        self.progress("building", 0.0)
        await asyncio.to_thread(sidecars.build, self.tree, membership=self.experiment.sidecars.membership)
        self.progress("starting", 0.0)
        fleet = await self._start_processes()
        await self._begin(fleet)
        await self._wait(fleet)
        return await self._finish()

    async def _start_processes(self) -> Fleet:
        """Start everything in the order in which addresses become known: upstreams, discovery, sidecars, clients."""
        os.sched_setaffinity(0, self.cores.of_worker(0))
        endpoints = await self._start_upstreams()
        discovery_addresses = await self._start_discovery(endpoints)
        fleet = self.fleet = self._make_fleet(endpoints, discovery_addresses)
        await fleet.start()
        await self._start_clients(fleet)
        return fleet

    async def _start_upstreams(self) -> dict[str, dict[str, str]]:
        """Return the address of each upstream for each sidecar."""
        hosts = {upstream.uid: self._host(UPSTREAM_HOSTS, i) for i, upstream in enumerate(self.plan.upstreams)}
        workers = []
        for i, part in enumerate(self.upstream_parts):
            job = self._job("upstreams", f"upstreams-{i}", part, core_index=1 + i)
            job.hosts = hosts
            workers.append(self._add_worker(job))
        endpoints: dict[str, dict[str, str]] = {}
        for ready in await asyncio.gather(*(worker.start() for worker in workers)):
            endpoints |= ready.endpoints
        return endpoints

    async def _start_discovery(self, endpoints: dict[str, dict[str, str]]) -> dict[str, str]:
        """Return the address of discovery for each sidecar."""
        job = self._job("directory", DIRECTORY, [], core_index=0)
        job.endpoints = endpoints
        job.hosts = {DIRECTORY: self._host(DIRECTORY_HOSTS, 0)}
        ready = await self._add_worker(job).start()
        return ready.endpoints[DIRECTORY]

    async def _start_clients(self, fleet: Fleet) -> None:
        addresses = {name: sidecar.address for name, sidecar in fleet.sidecars.items()}
        workers = []
        for i, part in enumerate(self.client_parts):
            job = self._job("clients", f"clients-{i}", part, core_index=1 + len(self.upstream_parts) + i)
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
            hosts={sidecar.name: self._host(SIDECAR_HOSTS, i) for i, sidecar in enumerate(self.plan.sidecars)},
        )
        return Fleet(settings, self.journal.write, self.now_us)

    def _host(self, first_octet: int, index: int) -> str:
        """Return a loopback address of a node's own."""
        return f"127.{self.network}.{first_octet + index // HOSTS_PER_OCTET}.{1 + index % HOSTS_PER_OCTET}"

    def _job(
        self, role: Literal["upstreams", "directory", "clients"], name: str, members: list[str], *, core_index: int
    ) -> WorkerJob:
        return WorkerJob(
            role=role,
            name=name,
            experiment=self.experiment,
            plan=self.plan,
            journal=str(self.out / "parts" / f"{name}.jsonl"),
            cores=self.cores.of_worker(core_index),
            members=members,
        )

    def _add_worker(self, job: WorkerJob) -> _WorkerProcess:
        worker = _WorkerProcess(job, self.out / "logs" / f"lab-{job.name}.log")
        self.workers.append(worker)
        return worker

    async def _begin(self, fleet: Fleet) -> None:
        """Set time 0 of the run, for all processes alike."""
        order = StartOrder(time.monotonic_ns() + int(START_DELAY_S * 1e9), int((time.time() + START_DELAY_S) * 1000))
        self.zero_ns = order.zero_ns
        fleet.unix_zero_ms = order.unix_ms
        for worker in self.workers:
            await worker.send(order)
        fleet.begin()
        log.info(
            "lab.play.begins",
            experiment=self.experiment.name,
            seed=self.plan.seed,
            out=str(self.out),
            sidecars=len(self.plan.sidecars),
            upstreams=len(self.plan.upstreams),
        )

    async def _wait(self, fleet: Fleet) -> None:
        """Wait until the last response can have come; a worker that exits early ends the run."""
        longest_deadline_s = max(c.deadline_ms for c in self.experiment.classes) / 1000
        end_us = int((self.plan.seconds + longest_deadline_s + DRAIN_S) * 1e6)
        meters: dict[int, psutil.Process] = {}
        while (now_us := self.now_us()) < end_us:
            await asyncio.sleep(min(SAMPLE_INTERVAL_S, (end_us - now_us) / 1e6))
            self._measure_usage(fleet, meters)
            self.progress("playing", max(0.0, min(1.0, self.now_us() / end_us)))
            for worker in self.workers:
                if worker.exited:
                    await worker.receive(WorkerReady)  # raises, with the last lines of its log

    def _measure_usage(self, fleet: Fleet, meters: dict[int, psutil.Process]) -> None:
        """Record CPU and memory of all processes; one that has just ended is passed over."""
        processes = [(worker.job.name, worker.process) for worker in self.workers]
        processes += [(sidecar.plan.name, sidecar.process) for sidecar in fleet.sidecars.values()]
        for name, process in [*processes, ("lab", None)]:
            pid = process.pid if process is not None else os.getpid()
            try:
                meter = meters.setdefault(pid, psutil.Process(pid))
                with meter.oneshot():
                    cpu_times = meter.cpu_times()
                    memory_bytes = meter.memory_info().rss
            except psutil.Error:
                continue
            cpu_s = round(cpu_times.user + cpu_times.system, 3)
            self.journal.write(ProcessUsage(self.now_us(), name, cpu_s, round(memory_bytes / 2**20, 1)))

    async def _finish(self) -> CompletedRun:
        summaries = await self._stop_workers()
        await self.clean_up()
        self.progress("reading", 1.0)
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
            summaries[worker.job.name] = await worker.receive(WorkerSummary)
        return summaries

    def _merge_records(self) -> list[AnyRecord]:
        """Merge the journals of all processes into one file, and remove them."""
        parts = sorted((self.out / "parts").glob("*.jsonl"))
        all_records = records.merge(parts, self.out / "events.jsonl")
        for part in parts:
            part.unlink()
        (self.out / "parts").rmdir()
        return all_records

    async def clean_up(self) -> None:
        """Kill whatever still runs; a second call does nothing."""
        if self.cleaned_up:
            return
        self.cleaned_up = True
        killed = 0
        if self.fleet is not None:
            killed += await self.fleet.kill()
        for worker in self.workers:
            killed += await worker.kill()
        self.journal.close()
        log.info("lab.cleaned", processes=killed)


def _distribute(names: list[str], parts: int) -> list[list[str]]:
    """Distribute names evenly; neighbours are of one zone, and go to different processes."""
    parts = max(1, min(parts, len(names)))
    return [names[i::parts] for i in range(parts)]
