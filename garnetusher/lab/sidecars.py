"""The processes under test: started as the deploy file of their tree says, broken by signals, never changed.

Only processes started here are ever signalled, by id; each dies with the lab, however that ends (prctl(2),
PR_SET_PDEATHSIG).
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from garnetusher.lab.clients import is_up
from garnetusher.lab.directory import entry
from garnetusher.logs import logger
from garnetusher.model import beliefs, draw
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, SidecarPlan, Step
from garnetusher.model.records import Believed, Process

READY_S = 30.0  # for a sidecar to say yes, as the platform waits
KILL_AFTER_S = 3.7  # SIGKILL follows SIGTERM so much later at the soonest
LOOK_S = 0.05  # between looks at what the sidecars have logged
LAST_LINES = 8  # of a log, shown when its process has died
_SET_PDEATHSIG = 1  # prctl's number for it

log = logger()


class LabError(RuntimeError):
    """A play that can't be played; `str` says why."""


def die_with_parent() -> None:
    """Run in a child before it becomes another program."""
    ctypes.CDLL(None).prctl(_SET_PDEATHSIG, signal.SIGKILL)


def deploy_file(tree: Path) -> dict[str, Any]:
    path = tree / "deploy" / "balancer.toml"
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise LabError(f"{path}: {error}") from None


def build(tree: Path, membership: bool = False) -> None:
    """What the tree's deploy file says, once for a play; and what members need, which is not in it."""
    log.info("lab.tree.builds", tree=str(tree))
    command = str(deploy_file(tree)["build"])
    if membership:
        command += "; .venv/bin/pip install -q --disable-pip-version-check -r requirements-fleet.txt"
    done = subprocess.run(
        ["/bin/sh", "-c", command],
        cwd=tree,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
        check=False,
        timeout=1200,
        env=_plain(),
    )
    if done.returncode != 0:
        raise LabError(f"{tree}: its build ended with {done.returncode}: {done.stderr.strip()[-500:]}")


def _plain() -> dict[str, str]:
    """The environment without what would lead a process of the tree to the lab's own Python."""
    return {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV", "BALANCER_"))}


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def settings(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> dict[str, Any]:
    """The settings of one sidecar, by the names of the protocol's page; times in microseconds."""
    u, s, zones = experiment.upstreams, experiment.sidecars, experiment.topology.zones
    return {
        "accounts": [
            {"name": t.name, "share": t.share, "allowance-per-s": t.share * experiment.load.requests_per_s}
            for t in experiment.tenants
        ],
        "areas": zones,
        "locality": zones.index(sidecar.zone),
        "kinds": ["nodo-estandar"],
        "family": "mesh",
        "bounds": {
            "cancel": True,
            "conn-idle": int(u.idle_s * 1e6),
            "dial-timeout": 200_000,
            "max-open": 20_000,
            "max-retry-after": 2_000_000,
            "most-tries": s.max_attempts,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": s.second_copies,
        },
        "client-habits": {"marks-retry": experiment.clients.marks},
        "fees": {"cross-zone": 0.022},
        "granularity": 1000,
        "instances": s.told or len(plan.sidecars),
        "self-index": plan.sidecars.index(sidecar),
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-share": min(0.13, u.cold_share),
            "drain-grace": 1_000_000,
            "fall": int(u.fall_s * 1e6),
            "overload-factor": u.overload_factor,
            "warm-up": int(u.warm_up_s * 1e6),
        },
        "over-share-worth": experiment.over_share_worth,
        "registry-mode": experiment.directory.mode,
        "report": {"how": "none", "names": []},
        "value-by": "request",
        "weights": "rough",
        "request-classes": [
            {
                "name": c.name,
                "aim": int(c.aim_ms * 1000),
                "deadline": int(c.deadline_ms * 1000),
                "effect": c.effect,
                "group": "all",
                "late-worth": 0.0,
                "memory-span": 5_000_000,
                "stream": False,
                "worth": c.worth,
            }
            for c in experiment.classes
        ],
    }


MEMBER_SEEDS = 3  # sidecars through which all join


class Sidecar:
    """One name, and the process that has it at present."""

    def __init__(self, fleet: Fleet, plan: SidecarPlan, host: str, discovery: str) -> None:
        self.fleet, self.plan, self.discovery = fleet, plan, discovery
        self.address = (host, free_port(host))
        self.admin = f"{host}:{free_port(host)}"
        self.member = f"{host}:{free_port(host)}"  # where its member listens, if it has one
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.expected = False  # its end is the lab's doing
        self.log_path = fleet.out / "logs" / f"{plan.name}.log"
        self.log_read = 0  # bytes of it

    async def spawn(self, at_us: int) -> None:
        fleet, name = self.fleet, self.plan.name
        self.starts += 1
        folder = fleet.out / "sidecars" / f"{name}-{self.starts}"
        (folder / "tmp").mkdir(parents=True)
        listen = f"{self.address[0]}:{self.address[1]}"
        path = folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": listen,
                    "discovery": self.discovery,
                    "admin": self.admin,
                    "seed": f"{int(draw.uniform(fleet.plan.seed, 'sidecar', name, self.starts) * 2**63):x}",
                    "limits": {
                        "cores": 1.0,
                        "memory_mb": fleet.experiment.sidecars.memory_mb,
                        "sockets": fleet.experiment.sidecars.sockets,
                    },
                    "known": fleet.known(name, at_us),
                    "settings": settings(fleet.experiment, fleet.plan, self.plan),
                    "fleet": {"regions": fleet.experiment.topology.regions} | fleet.membership(self),
                }
            )
        )
        told = {
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": listen,
            "BALANCER_DISCOVERY": self.discovery,
            "BALANCER_CONFIG": str(path),
            "BALANCER_ADMIN": self.admin,
            "TMPDIR": str(folder / "tmp"),
        }
        with self.log_path.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                fleet.command,
                cwd=fleet.tree,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                env=_plain() | told,
                preexec_fn=self._before_exec,
                start_new_session=True,
            )
        self.expected = False
        fleet.record(name, "spawned", self.process.pid)
        log.info("lab.sidecar.started", sidecar=name, pid=self.process.pid)
        fleet.watch(self, self.process)

    def _before_exec(self) -> None:
        """In the child, on its cores from its first step; set from here, it may have ended before."""
        die_with_parent()
        os.sched_setaffinity(0, self.fleet.cores)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def last_lines(self) -> list[str]:
        return self.log_path.read_text(errors="replace").splitlines()[-LAST_LINES:] if self.log_path.exists() else []

    def news(self) -> list[str]:
        """The whole lines that it has logged since the last call."""
        if not self.log_path.exists() or self.log_path.stat().st_size <= self.log_read:
            return []
        with self.log_path.open("rb") as file:
            file.seek(self.log_read)
            whole, newline, _ = file.read().rpartition(b"\n")
        self.log_read += len(whole) + len(newline)
        return whole.decode(errors="replace").splitlines()


class Fleet:
    """All sidecars of a play."""

    def __init__(
        self,
        experiment: Experiment,
        plan: Plan,
        tree: Path,
        out: Path,
        cores: list[int],
        endpoints: dict[str, dict[str, str]],
        lists: dict[str, str],
        hosts: dict[str, str],
        record: Callable[[Process | Believed], None],
        now_us: Callable[[], int],
    ) -> None:
        self.experiment, self.plan, self.tree, self.out, self.cores = experiment, plan, tree, out, cores
        self.endpoints = endpoints
        self.command = str(deploy_file(tree)["run"])
        self._record, self.now_us = record, now_us
        self.unix_zero_ms = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.sidecars = {s.name: Sidecar(self, s, hosts[s.name], lists[s.name]) for s in plan.sidecars}

    def record(self, name: str, what: str, pid: int = 0) -> None:
        self._record(Process(self.now_us(), name, what, pid))

    def known(self, sidecar: str, at_us: int) -> dict[str, Any]:
        """The list as it stands at some time; at a start that is what the sidecar last had."""
        boots = {u.uid: 0 for u in self.plan.upstreams if u.from_us == 0}
        zones = {u.uid: u.zone for u in self.plan.upstreams}
        states = dict.fromkeys(boots, "active")
        rev = 1
        for step in self.plan.listed:
            if step.at_us <= at_us:
                rev += 1
                states[step.uid] = step.state
                if step.started_us >= 0:
                    boots[step.uid] = self.unix_zero_ms + step.started_us // 1000
        return {
            "rev": rev,
            "all": True,
            "targets": [
                entry(uid, zones[uid], self.endpoints[uid][sidecar], state, boots.get(uid, 0))
                for uid, state in states.items()
                if state != "left"
            ],
        }

    def membership(self, sidecar: Sidecar) -> dict[str, Any]:
        """What switches a sidecar's member on, where the experiment wants members."""
        if not self.experiment.sidecars.membership:
            return {}
        seeds = [self.sidecars[plan.name].member for plan in self.plan.sidecars[:MEMBER_SEEDS]]
        return {"membership": {"cluster": "lab", "listen": sidecar.member, "seeds": seeds}}

    async def start(self) -> None:
        """All of them, ready; raises LabError with the last lines of the first that dies or never says yes."""
        for sidecar in self.sidecars.values():
            await sidecar.spawn(0)
        began = asyncio.get_running_loop().time()
        waiting = set(self.sidecars.values())
        while waiting:
            for sidecar in sorted(waiting, key=lambda s: s.plan.name):
                assert sidecar.process is not None
                after = asyncio.get_running_loop().time() - began
                if sidecar.process.returncode is not None:
                    raise LabError(
                        f"sidecar {sidecar.plan.name} died at its start with {sidecar.process.returncode}; "
                        "its last lines:\n  " + "\n  ".join(sidecar.last_lines())
                    )
                if await is_up(sidecar.address):
                    waiting.discard(sidecar)
                    self.record(sidecar.plan.name, "ready", sidecar.process.pid)
                    log.info("lab.sidecar.ready", sidecar=sidecar.plan.name, after_s=round(after, 2))
                elif after > READY_S:
                    raise LabError(
                        f"sidecar {sidecar.plan.name} was not ready within {READY_S:g} s; its last "
                        "lines:\n  " + "\n  ".join(sidecar.last_lines())
                    )
            await asyncio.sleep(0.02)

    def watch(self, sidecar: Sidecar, process: asyncio.subprocess.Process) -> None:
        async def ended() -> None:
            status = await process.wait()
            if sidecar.process is process and not sidecar.expected:
                self.record(sidecar.plan.name, "died", process.pid)
                log.error("lab.sidecar.died", sidecar=sidecar.plan.name, status=status, last_lines=sidecar.last_lines())
            else:
                self.record(sidecar.plan.name, "ended", process.pid)

        self.keep(ended())

    def keep(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def begin(self) -> None:
        for sidecar in self.sidecars.values():
            for step in sidecar.plan.steps:
                self.keep(self._carry_out(sidecar, step))
        self.keep(self._follow())

    async def _follow(self) -> None:
        """Write down what the sidecars log of zones, dated as it is read: their lines carry no time."""
        while True:
            for name, sidecar in self.sidecars.items():
                for line in sidecar.news():
                    told = beliefs.belief(self.now_us(), name, line, self.experiment.topology.zones)
                    if told is not None:
                        self._record(told)
            await asyncio.sleep(LOOK_S)

    async def _carry_out(self, sidecar: Sidecar, step: Step) -> None:
        await asyncio.sleep(max(0.0, (step.at_us - self.now_us()) / 1e6))
        name, pid = sidecar.plan.name, sidecar.process.pid if sidecar.process is not None else 0
        log.info("lab.fault.applied", sidecar=name, what=step.what, late_ms=(self.now_us() - step.at_us) // 1000)
        if step.what == "kill":
            sidecar.expected = True
            sidecar.signal(signal.SIGKILL)
            self.record(name, "killed", pid)
        elif step.what == "stop":
            sidecar.signal(signal.SIGSTOP)
            self.record(name, "stopped", pid)
        elif step.what == "cont":
            sidecar.signal(signal.SIGCONT)
            self.record(name, "continued", pid)
        elif step.what == "start":
            await sidecar.spawn(step.at_us)
        elif step.what == "restart" and sidecar.process is not None:
            sidecar.expected = True
            sidecar.signal(signal.SIGTERM)
            self.record(name, "term", pid)
            try:
                await asyncio.wait_for(sidecar.process.wait(), KILL_AFTER_S)
            except TimeoutError:
                sidecar.signal(signal.SIGKILL)
                await sidecar.process.wait()
            await sidecar.spawn(self.now_us())

    async def end(self) -> int:
        """Kill what is left; how many processes that were."""
        for task in list(self.tasks):
            task.cancel()
        count = 0
        for sidecar in self.sidecars.values():
            sidecar.expected = True
            if sidecar.process is not None and sidecar.process.returncode is None:
                count += 1
                sidecar.signal(signal.SIGKILL)
                await sidecar.process.wait()
        return count
