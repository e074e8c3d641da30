"""One play: the lab's processes and the sidecars are started, the plan runs, everything ends, the records are read."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec
import psutil
from msgspec import Struct

from garnetusher.lab import sidecars
from garnetusher.lab.sidecars import Fleet, LabError, die_with_parent
from garnetusher.lab.worker import LONGEST_LINE, Begin, Closing, Job, Ready
from garnetusher.logs import logger
from garnetusher.model import draw, records
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import DIRECTORY, Plan
from garnetusher.model.records import AnyRecord, Journal, Usage

LEAD_S = 0.5  # from the word to begin until the play does
ASKED_OF_A_WORKER = 1000  # requests a second, for the applications of one process
SERVED_BY_A_WORKER = 900  # and for the upstreams of one process
SAMPLE_S = 1.0  # between looks at what processes use
ENDING_S = 1.0  # after the last deadline: answers that come too late are still seen
ANSWER_S = 60.0  # for a worker to open its sockets, or to close its journal

log = logger()
S = TypeVar("S", bound=Struct)
Progress = Callable[[str, float], None]  # what is done, and the part of the play that is over


class Played(Struct):
    """What a play leaves: the plan, all records in order, and how the lab itself fared."""

    plan: Plan
    records: list[AnyRecord]
    events: int
    late: int
    not_asked: int
    cores: dict[str, list[int]]
    worker_cpu_s: dict[str, float]

    @property
    def late_share(self) -> float:
        return self.late / self.events if self.events else 0.0


class _WorkerProcess:
    """The lab's side of a worker."""

    def __init__(self, job: Job, log_path: Path) -> None:
        self.job, self.log_path = job, log_path
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> Ready:
        with self.log_path.open("wb") as errors:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "garnetusher.lab.worker",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                limit=LONGEST_LINE,
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        await self.tell(self.job)
        return await self.hear(Ready)

    async def tell(self, order: Struct) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        with contextlib.suppress(ConnectionError):
            await self.process.stdin.drain()

    async def hear(self, kind: type[S]) -> S:
        assert self.process is not None and self.process.stdout is not None
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_S)
        except TimeoutError:
            line = b""
        if not line:
            status = self.process.returncode
            last = self.log_path.read_text(errors="replace").splitlines()[-sidecars.LAST_LINES :]
            log.error("lab.worker.died", worker=self.job.name, status=status, last_lines=last)
            raise LabError(f"the lab's own {self.job.name} ended early; its last lines:\n  " + "\n  ".join(last))
        return msgspec.json.decode(line, type=kind)

    async def end(self) -> int:
        if self.process is None or self.process.returncode is not None:
            return 0
        self.process.kill()
        await self.process.wait()
        return 1


class _Cores:
    """Who runs where: the lab's processes have cores of their own, so that it can't starve the sidecars."""

    def __init__(self, workers: int) -> None:
        cores = sorted(os.sched_getaffinity(0))
        own = min(workers + 1, max(1, len(cores) - 2))
        self.lab = cores[:own] if len(cores) > 2 else cores
        self.sidecars = cores[own:] if len(cores) > 2 else cores

    def of(self, number: int) -> list[int]:
        """The list service shares the first core with the lab's main process; the others have one each."""
        return [self.lab[number % len(self.lab)]]


async def play(experiment: Experiment, plan: Plan, tree: Path, out: Path, progress: Progress) -> Played:
    """Play it; raises LabError where it can't be played. Whatever happens, nothing it started is left behind."""
    (out / "logs").mkdir(parents=True, exist_ok=True)
    (out / "parts").mkdir(exist_ok=True)
    for number in (signal.SIGINT, signal.SIGTERM):  # SIGINT may have been inherited as ignored
        asyncio.get_running_loop().add_signal_handler(number, _cancel(asyncio.current_task()))
    it = _Play(experiment, plan, tree.resolve(), out.resolve(), progress)
    try:
        return await it.run()
    finally:
        await asyncio.shield(it.clean())


def _cancel(task: asyncio.Task[object] | None) -> Callable[[], None]:
    def cancel() -> None:
        if task is not None:
            task.cancel()

    return cancel


class _Play:
    def __init__(self, experiment: Experiment, plan: Plan, tree: Path, out: Path, progress: Progress) -> None:
        self.experiment, self.plan, self.tree, self.out, self.progress = experiment, plan, tree, out, progress
        self.journal = Journal(out / "parts" / "lab.jsonl")
        self.workers: list[_WorkerProcess] = []
        self.fleet: Fleet | None = None
        self.zero_ns = time.monotonic_ns()
        self.cleaned = False
        self.network = 64 + int(draw.uniform(os.getpid(), time.monotonic_ns()) * 128)  # two labs seldom share it

    def now_us(self) -> int:
        return (time.monotonic_ns() - self.zero_ns) // 1000

    async def run(self) -> Played:
        self.progress("building", 0.0)
        await asyncio.to_thread(sidecars.build, self.tree, self.experiment.sidecars.membership)
        self.progress("starting", 0.0)
        await self._start()
        assert self.fleet is not None
        begin = Begin(time.monotonic_ns() + int(LEAD_S * 1e9), int((time.time() + LEAD_S) * 1000))
        self.zero_ns, self.fleet.unix_zero_ms = begin.zero_ns, begin.unix_ms
        for worker in self.workers:
            await worker.tell(begin)
        self.fleet.begin()
        log.info(
            "lab.play.begins",
            experiment=self.experiment.name,
            seed=self.plan.seed,
            out=str(self.out),
            sidecars=len(self.plan.sidecars),
            upstreams=len(self.plan.upstreams),
        )
        await self._wait()
        return await self._end()

    async def _start(self) -> None:
        e, plan = self.experiment, self.plan
        uids, names = [u.uid for u in plan.upstreams], [s.name for s in plan.sidecars]
        serving = _spread(uids, -(-int(e.load.requests_per_s) // SERVED_BY_A_WORKER))
        asking = _spread(names, -(-int(e.load.requests_per_s) // ASKED_OF_A_WORKER))
        self.cores = _Cores(len(serving) + len(asking))
        os.sched_setaffinity(0, self.cores.of(0))
        hosts = {uid: self._host(1, number) for number, uid in enumerate(uids)}
        upstreams = [
            self._worker("upstreams", f"upstreams-{i}", part, 1 + i, hosts=hosts) for i, part in enumerate(serving)
        ]
        endpoints: dict[str, dict[str, str]] = {}
        for ready in await asyncio.gather(*(w.start() for w in upstreams)):
            endpoints |= ready.endpoints
        lists = self._worker(DIRECTORY, DIRECTORY, [], 0, endpoints=endpoints, hosts={DIRECTORY: self._host(0, 0)})
        calls = (await lists.start()).endpoints[DIRECTORY]
        self.fleet = Fleet(
            e,
            plan,
            self.tree,
            self.out,
            self.cores.sidecars,
            endpoints,
            calls,
            {name: self._host(200, number) for number, name in enumerate(names)},
            self.journal.write,
            self.now_us,
        )
        await self.fleet.start()
        addresses = {name: s.address for name, s in self.fleet.sidecars.items()}
        clients = [
            self._worker("clients", f"clients-{i}", part, 1 + len(serving) + i, addresses=addresses)
            for i, part in enumerate(asking)
        ]
        await asyncio.gather(*(w.start() for w in clients))

    def _host(self, kind: int, number: int) -> str:
        """A loopback address for each party."""
        return f"127.{self.network}.{kind + number // 250}.{1 + number % 250}"

    def _worker(self, role: str, name: str, members: list[str], number: int, **more: object) -> _WorkerProcess:
        job = msgspec.convert(
            {
                "role": role,
                "name": name,
                "members": members,
                "cores": self.cores.of(number),
                "journal": str(self.out / "parts" / f"{name}.jsonl"),
                "plan": self.plan,
                "experiment": self.experiment,
                **more,
            },
            Job,
        )
        worker = _WorkerProcess(job, self.out / "logs" / f"lab-{name}.log")
        self.workers.append(worker)
        return worker

    async def _wait(self) -> None:
        """Until the last answer can have come; a worker that ends early ends the play."""
        longest_s = max(c.deadline_ms for c in self.experiment.classes) / 1000
        end_us = int((self.plan.seconds + longest_s + ENDING_S) * 1e6)
        meters: dict[int, psutil.Process] = {}
        while (now := self.now_us()) < end_us:
            await asyncio.sleep(min(SAMPLE_S, (end_us - now) / 1e6))
            self._measure(meters)
            self.progress("playing", max(0.0, min(1.0, self.now_us() / end_us)))
            for worker in self.workers:
                if worker.process is not None and worker.process.returncode is not None:
                    await worker.hear(Ready)

    def _measure(self, meters: dict[int, psutil.Process]) -> None:
        assert self.fleet is not None
        alive = [(w.job.name, w.process) for w in self.workers]
        alive += [(s.plan.name, s.process) for s in self.fleet.sidecars.values()]
        for name, process in [*alive, ("lab", None)]:
            pid = process.pid if process is not None else os.getpid()
            try:
                meter = meters.setdefault(pid, psutil.Process(pid))
                with meter.oneshot():
                    times, memory = meter.cpu_times(), meter.memory_info().rss
            except psutil.Error:
                continue
            self.journal.write(
                Usage(self.now_us(), name, round(times.user + times.system, 3), round(memory / 2**20, 1))
            )

    async def _end(self) -> Played:
        closings = {}
        for worker in self.workers:
            await worker.tell(Begin(0, 0))
            closings[worker.job.name] = await worker.hear(Closing)
        await self.clean()
        self.progress("reading", 1.0)
        parts = sorted((self.out / "parts").glob("*.jsonl"))
        whole = records.merge(parts, self.out / "events.jsonl")
        for part in parts:
            part.unlink()
        (self.out / "parts").rmdir()
        events, late = (sum(getattr(c, name) for c in closings.values()) for name in ("events", "late"))
        if late:
            log.warning("lab.late", worker="all", events=events, late=late)
        return Played(
            self.plan,
            whole,
            events,
            late,
            sum(c.not_asked for c in closings.values()),
            {"lab": self.cores.lab, "sidecars": self.cores.sidecars},
            {name: round(c.cpu_s, 2) for name, c in closings.items()},
        )

    async def clean(self) -> None:
        """End whatever still runs; told again it does nothing."""
        if self.cleaned:
            return
        self.cleaned, count = True, 0
        if self.fleet is not None:
            count += await self.fleet.end()
        for worker in self.workers:
            count += await worker.end()
        self.journal.close()
        log.info("lab.cleaned", processes=count)


def _spread(names: list[str], parts: int) -> list[list[str]]:
    """As even as it goes: neighbours are of one zone, and go to different processes."""
    parts = max(1, min(parts, len(names)))
    return [names[i::parts] for i in range(parts)]
