"""Starts the sidecar processes under test, and injects process faults by signals.

The deploy file of the tree under test starts the sidecars, so that the lab runs them unmodified. The lab signals only
processes that it started itself, by process id. The kernel kills each of them when the lab ends, for whatever reason
(prctl(2), PR_SET_PDEATHSIG).
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from garnetusher.errors import GarnetusherError
from garnetusher.lab.child_processes import die_with_parent, send_signal
from garnetusher.lab.clients import is_ready
from garnetusher.lab.discovery import endpoint_entry
from garnetusher.lab.sidecar_settings import settings_document
from garnetusher.logs import logger
from garnetusher.model import draw, zone_states
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, SidecarPlan, Step
from garnetusher.model.records import ProcessChanged, ZoneStateLogged

BUILD_TIMEOUT_S = 1200
READY_TIMEOUT_S = 30.0  # the platform allows a sidecar the same time to become ready
READY_POLL_INTERVAL_S = 0.02
# A sidecar that has not exited this long after SIGTERM receives SIGKILL. This is the earliest time of SIGKILL on the
# platform if the longest deadline is 3 s or more (garnetusher/sidecar/shutdown.py).
SIGKILL_DELAY_S = 3.7
LOG_POLL_INTERVAL_S = 0.05  # the interval between reads of the sidecars' logs
LAST_LOG_LINES = 8  # the number of log lines that an error about an ended process quotes
BUILD_ERROR_CHARACTERS = 500  # an error quotes this many characters from the end of a build's standard error
SEED_MEMBERS = 3  # the number of sidecars through which all others join the membership
SEED_RANGE = 2**63

log = logger()


class LabError(GarnetusherError):
    """An experiment failed to run; the message gives the reason."""


class DeployFileError(LabError):
    """The deploy file of a tree cannot be read."""

    def __init__(self, path: Path, cause: Exception) -> None:
        super().__init__(f"{path}: {cause}")


class BuildError(LabError):
    """The build command of a tree failed."""

    def __init__(self, tree: Path, status: int, error_output: str) -> None:
        super().__init__(
            f"{tree}: the build command exited with status {status}: {error_output.strip()[-BUILD_ERROR_CHARACTERS:]}"
        )


class SidecarStartError(LabError):
    """A sidecar exited during its startup, or was not ready in time."""

    def __init__(self, sidecar: str, failure: str, last_lines: list[str]) -> None:
        super().__init__(f"sidecar {sidecar} {failure}; last lines of its log:\n  " + "\n  ".join(last_lines))


def deploy_file(tree: Path) -> dict[str, Any]:
    """Return the content of a tree's deploy file.

    Raises:
        DeployFileError: The file is missing or is not valid TOML.
    """
    path = tree / "deploy" / "balancer.toml"
    try:
        return tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise DeployFileError(path, error) from None


def build(tree: Path, *, membership: bool = False) -> None:
    """Run the build command of a tree's deploy file.

    Args:
        tree: The checkout.
        membership: Whether to install the membership's requirements too, which the deploy file does not install.

    Raises:
        BuildError: The command failed.
    """
    log.info("lab.tree.builds", tree=str(tree))
    command = str(deploy_file(tree)["build"])
    if membership:
        command += "; .venv/bin/pip install -q --disable-pip-version-check -r requirements-fleet.txt"
    completed = subprocess.run(
        ["/bin/sh", "-c", command],
        cwd=tree,
        capture_output=True,
        text=True,
        stdin=subprocess.DEVNULL,
        check=False,
        timeout=BUILD_TIMEOUT_S,
        env=_clean_environment(),
    )
    if completed.returncode != 0:
        raise BuildError(tree, completed.returncode, completed.stderr)


def _clean_environment() -> dict[str, str]:
    """Return the environment without variables that make the tree's processes use the lab's Python or settings."""
    return {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV", "BALANCER_"))}


def free_port(host: str) -> int:
    """Return a TCP port that is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings that all sidecars of a run share.

    Attributes:
        experiment: The experiment.
        plan: The process faults of each sidecar and the changes of the endpoint list, with their times.
        tree: The checkout whose deploy file starts the sidecars.
        out: The folder for the files of the run.
        cores: The CPU cores that the sidecars may use.
        endpoints: The `host:port` of each upstream for each sidecar, by upstream uid and sidecar name.
        discovery_addresses: The `host:port` of discovery for each sidecar, by sidecar name.
        hosts: The loopback address of each sidecar, by sidecar name.
    """

    experiment: Experiment
    plan: Plan
    tree: Path
    out: Path
    cores: list[int]
    endpoints: dict[str, dict[str, str]]
    discovery_addresses: dict[str, str]
    hosts: dict[str, str]


class Sidecar:
    """A sidecar of the plan, and the process that currently runs under its name.

    Attributes:
        fleet: The fleet of the sidecar.
        plan: The plan of the sidecar.
        discovery_address: The `host:port` at which the sidecar reaches discovery.
        address: The host and the port on which the sidecar listens for its application.
        admin_address: The `host:port` of the sidecar's admin interface.
        member_address: The `host:port` of the sidecar in the membership, used only if the experiment enables it.
        process: The current process, or the last one if it has ended.
        starts: The number of processes started so far.
        exit_expected: Whether the lab itself ends the process.
        log_path: The log of all processes of the sidecar.
    """

    def __init__(self, fleet: Fleet, plan: SidecarPlan) -> None:
        settings = fleet.settings
        host = settings.hosts[plan.name]
        self.fleet = fleet
        self.plan = plan
        self.discovery_address = settings.discovery_addresses[plan.name]
        self.address = (host, free_port(host))
        self.admin_address = f"{host}:{free_port(host)}"
        self.member_address = f"{host}:{free_port(host)}"
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.exit_expected = False
        self.log_path = settings.out / "logs" / f"{plan.name}.log"
        self._log_offset = 0  # the number of bytes of the log that have been read

    async def spawn(self, at_us: int) -> None:
        """Start a process.

        Args:
            at_us: The time since time 0 of the run; the configuration file has the endpoint list of that time.
        """
        fleet = self.fleet
        name = self.plan.name
        self.starts += 1
        folder = fleet.settings.out / "sidecars" / f"{name}-{self.starts}"
        configuration_path = self._write_configuration(folder, at_us)
        with self.log_path.open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                fleet.command,
                cwd=fleet.settings.tree,
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                env=_clean_environment() | self._variables(folder, configuration_path),
                preexec_fn=self._before_exec,
                start_new_session=True,
            )
        self.exit_expected = False
        fleet.record(name, "spawned", self.process.pid)
        log.info("lab.sidecar.started", sidecar=name, pid=self.process.pid)
        fleet.watch_exit(self, self.process)

    @property
    def _listen_address(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def _write_configuration(self, folder: Path, at_us: int) -> Path:
        (folder / "tmp").mkdir(parents=True)
        path = folder / "config.json"
        path.write_text(json.dumps(self._configuration(at_us)))
        return path

    def _configuration(self, at_us: int) -> dict[str, Any]:
        fleet = self.fleet
        experiment, plan = fleet.settings.experiment, fleet.settings.plan
        seed = int(draw.uniform(plan.seed, "sidecar", self.plan.name, self.starts) * SEED_RANGE)
        return {
            "name": self.plan.name,
            "listen": self._listen_address,
            "discovery": self.discovery_address,
            "admin": self.admin_address,
            "seed": f"{seed:x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": experiment.sidecars.memory_mb,
                "sockets": experiment.sidecars.sockets,
            },
            "known": fleet.listed_endpoints(self.plan.name, at_us),
            "settings": settings_document(experiment, plan, self.plan),
            "fleet": {"regions": experiment.topology.regions} | fleet.membership_configuration(self),
        }

    def _variables(self, folder: Path, configuration_path: Path) -> dict[str, str]:
        return {
            "BALANCER_NAME": self.plan.name,
            "BALANCER_LISTEN": self._listen_address,
            "BALANCER_DISCOVERY": self.discovery_address,
            "BALANCER_CONFIG": str(configuration_path),
            "BALANCER_ADMIN": self.admin_address,
            "TMPDIR": str(folder / "tmp"),
        }

    def _before_exec(self) -> None:
        """Set the CPU cores in the child process before it executes the program.

        If the parent set the cores after the start, the child could already have run on other cores, or have ended.
        """
        die_with_parent()
        os.sched_setaffinity(0, self.fleet.settings.cores)

    def signal(self, signal_number: int) -> None:
        """Send a signal if the process still runs."""
        send_signal(self.process, signal_number)

    def last_log_lines(self) -> list[str]:
        """Return the last lines of the sidecar's log."""
        if not self.log_path.exists():
            return []
        return self.log_path.read_text(errors="replace").splitlines()[-LAST_LOG_LINES:]

    def new_log_lines(self) -> list[str]:
        """Return the complete lines that the sidecar has logged since the previous call."""
        if not self.log_path.exists() or self.log_path.stat().st_size <= self._log_offset:
            return []
        with self.log_path.open("rb") as log_file:
            log_file.seek(self._log_offset)
            complete_lines, newline, _ = log_file.read().rpartition(b"\n")
        self._log_offset += len(complete_lines) + len(newline)
        return complete_lines.decode(errors="replace").splitlines()


class Fleet:
    """All sidecars of a run."""

    def __init__(
        self,
        settings: FleetSettings,
        write_record: Callable[[ProcessChanged | ZoneStateLogged], None],
        now_us: Callable[[], int],
    ) -> None:
        self.settings = settings
        self.command = str(deploy_file(settings.tree)["run"])
        self.now_us = now_us
        self.unix_zero_ms = 0  # the wall-clock time at time 0 of the run, in Unix milliseconds
        self._write_record = write_record
        self._tasks: set[asyncio.Task[None]] = set()
        self.sidecars = {plan.name: Sidecar(self, plan) for plan in settings.plan.sidecars}

    def record(self, sidecar: str, change: str, pid: int = 0) -> None:
        """Record a change of a sidecar's process."""
        self._write_record(ProcessChanged(self.now_us(), sidecar, change, pid))

    def listed_endpoints(self, sidecar: str, at_us: int) -> dict[str, Any]:
        """Return the endpoint list that a sidecar already knows if it starts at the given time of the run."""
        plan = self.settings.plan
        # Start times in Unix milliseconds; 0, which is long ago, for upstreams that started before the run.
        started_ms = {upstream.uid: 0 for upstream in plan.upstreams if upstream.from_us == 0}
        zones = {upstream.uid: upstream.zone for upstream in plan.upstreams}
        states = dict.fromkeys(started_ms, "active")
        revision = 1
        for step in plan.listed:
            if step.at_us <= at_us:
                revision += 1
                states[step.uid] = step.state
                if step.started_us >= 0:
                    started_ms[step.uid] = self.unix_zero_ms + step.started_us // 1000
        return {
            "rev": revision,
            "all": True,
            "targets": [
                endpoint_entry(uid, zones[uid], self.settings.endpoints[uid][sidecar], state, started_ms.get(uid, 0))
                for uid, state in states.items()
                if state != "left"
            ],
        }

    def membership_configuration(self, sidecar: Sidecar) -> dict[str, Any]:
        """Return the configuration of a sidecar's membership, which is empty if the experiment does not enable it."""
        if not self.settings.experiment.sidecars.membership:
            return {}
        seeds = [self.sidecars[plan.name].member_address for plan in self.settings.plan.sidecars[:SEED_MEMBERS]]
        return {"membership": {"cluster": "lab", "listen": sidecar.member_address, "seeds": seeds}}

    async def start(self) -> None:
        """Start all sidecars, and wait until all of them are ready.

        Raises:
            SidecarStartError: A sidecar exited or was not ready in time.
        """
        for sidecar in self.sidecars.values():
            await sidecar.spawn(0)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        waiting = set(self.sidecars.values())
        while waiting:
            for sidecar in sorted(waiting, key=lambda s: s.plan.name):
                if await self._check_ready(sidecar, loop.time() - started_s):
                    waiting.discard(sidecar)
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _check_ready(self, sidecar: Sidecar, elapsed_s: float) -> bool:
        name, process = sidecar.plan.name, sidecar.process
        if process is None:
            raise SidecarStartError(name, "has no process", [])
        if process.returncode is not None:
            raise SidecarStartError(
                name, f"exited during startup with status {process.returncode}", sidecar.last_log_lines()
            )
        if await is_ready(sidecar.address):
            self.record(name, "ready", process.pid)
            log.info("lab.sidecar.ready", sidecar=name, after_s=round(elapsed_s, 2))
            return True
        if elapsed_s > READY_TIMEOUT_S:
            raise SidecarStartError(name, f"was not ready within {READY_TIMEOUT_S:g} s", sidecar.last_log_lines())
        return False

    def watch_exit(self, sidecar: Sidecar, process: asyncio.subprocess.Process) -> None:
        """Start a task that records the end of a process, and whether the lab caused it."""
        self._start_task(self._record_exit(sidecar, process))

    async def _record_exit(self, sidecar: Sidecar, process: asyncio.subprocess.Process) -> None:
        name = sidecar.plan.name
        status = await process.wait()
        if sidecar.process is process and not sidecar.exit_expected:
            self.record(name, "died", process.pid)
            log.error("lab.sidecar.died", sidecar=name, status=status, last_lines=sidecar.last_log_lines())
        else:
            self.record(name, "ended", process.pid)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def begin(self) -> None:
        """Schedule the plan's process faults, and start to follow the sidecars' logs."""
        for sidecar in self.sidecars.values():
            for step in sidecar.plan.steps:
                self._start_task(self._apply_fault(sidecar, step))
        self._start_task(self._follow_logs())

    async def _follow_logs(self) -> None:
        """Record the zone states that the sidecars log.

        The time of a record is when the lab read the line, because the log lines carry no time.
        """
        zones = self.settings.experiment.topology.zones
        while True:
            for name, sidecar in self.sidecars.items():
                for line in sidecar.new_log_lines():
                    zone_record = zone_states.parse_zone_state(self.now_us(), name, line, zones)
                    if zone_record is not None:
                        self._write_record(zone_record)
            await asyncio.sleep(LOG_POLL_INTERVAL_S)

    async def _apply_fault(self, sidecar: Sidecar, step: Step) -> None:
        await asyncio.sleep(max(0.0, (step.at_us - self.now_us()) / 1e6))
        name = sidecar.plan.name
        pid = sidecar.process.pid if sidecar.process is not None else 0
        log.info("lab.fault.applied", sidecar=name, what=step.what, late_ms=(self.now_us() - step.at_us) // 1000)
        if step.what == "kill":
            sidecar.exit_expected = True
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
            await self._restart(sidecar, sidecar.process)

    async def _restart(self, sidecar: Sidecar, process: asyncio.subprocess.Process) -> None:
        """Restart a sidecar as the platform does: send SIGTERM, and SIGKILL if the process does not exit in time."""
        sidecar.exit_expected = True
        sidecar.signal(signal.SIGTERM)
        self.record(sidecar.plan.name, "term", process.pid)
        try:
            await asyncio.wait_for(process.wait(), SIGKILL_DELAY_S)
        except TimeoutError:
            sidecar.signal(signal.SIGKILL)
            await process.wait()
        await sidecar.spawn(self.now_us())

    async def kill(self) -> int:
        """Kill the sidecars that still run, and return the number of killed processes."""
        for task in list(self._tasks):
            task.cancel()
        killed = 0
        for sidecar in self.sidecars.values():
            sidecar.exit_expected = True
            if sidecar.process is not None and sidecar.process.returncode is None:
                killed += 1
                sidecar.signal(signal.SIGKILL)
                await sidecar.process.wait()
        return killed
