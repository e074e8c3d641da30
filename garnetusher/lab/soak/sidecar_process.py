"""Sidecar processes of the soak.

Each process runs the command of the deploy file with its own configuration.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from garnetusher.lab.child_processes import die_with_parent, send_signal
from garnetusher.lab.sidecars import deploy_file
from garnetusher.lab.soak.records import TAKEOVER_DETAIL, ProcessEvent, ProcessEventKind, Records, now_s
from garnetusher.lab.syscall_faults import FaultTable

KILL_GAP_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this time
LONGEST_DRAIN_S = 3.0  # the wait between SIGTERM and SIGKILL counts at most this much of the longest deadline
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.03
KIB_PER_MB = 1024
TRACE_TIMEOUT_S = 2.0
# Ports can be fixed because each run has its own host address and the kernel assigns no ports below 32768.
FIRST_PORT = 10_000
PORTS_PER_SIDECAR = 3
SERVICE_PORT_OFFSET = 0
ADMIN_PORT_OFFSETS = (1, 2)  # a process and the one that takes over from it use them in turn
LISTEN_BACKLOG = 512
# Sidecars do not inherit environment variables with these prefixes from the soak's own process, because such variables
# would change how a sidecar starts.
REMOVED_VARIABLE_PREFIXES = ("PYTHON", "VIRTUAL_ENV", "BALANCER_")


@dataclass(frozen=True, slots=True)
class SidecarSetup:
    """The address, folders and settings of a sidecar."""

    number: int
    host: str
    folder: Path
    tree: Path
    settings: dict[str, Any]
    injects_syscall_faults: bool
    memory_mb: int
    descriptors: int
    is_taken_over: bool = False  # whether the soak holds the listening socket, so that another process can take over


class SidecarProcess:
    """One sidecar, and the process that currently runs it."""

    def __init__(self, setup: SidecarSetup, records: Records) -> None:
        self.number = setup.number
        self.address = (setup.host, _port(setup.number, SERVICE_PORT_OFFSET))
        self.log = setup.folder / "log.txt"
        self.fault_table = (
            FaultTable(setup.folder / "faults", setup.number + 1) if setup.injects_syscall_faults else None
        )
        self.process: asyncio.subprocess.Process | None = None
        self.restarting = False
        self._setup = setup
        self._records = records
        self._listener = socket.create_server(self.address, backlog=LISTEN_BACKLOG) if setup.is_taken_over else None
        self._shared_folder = setup.folder / "tmp"
        self._shared_folder.mkdir(parents=True, exist_ok=True)
        self._configuration = setup.folder / "config.json"
        self._end_expected = False  # whether the soak itself ended the process
        self._starts = 0

    def write_configuration(self, discovery_port: int, endpoints: dict[str, Any], *, truncated: bool = False) -> None:
        """Write the configuration file, which the deployment platform provides in production.

        If `truncated` is set, the file contains only the first two thirds of the text.
        """
        host = self._setup.host
        text = json.dumps(
            {
                "name": f"s{self.number}",
                "listen": f"{host}:{self.address[1]}",
                "discovery": f"{host}:{discovery_port}",
                "admin": f"{host}:{self._admin_address[1]}",
                "seed": f"{self.number * 1000 + self._starts:x}",
                "limits": {"cores": 1.0, "memory_mb": self._setup.memory_mb, "sockets": self._setup.descriptors},
                "known": endpoints,
                "settings": self._setup.settings,
            }
        )
        self._configuration.write_text(text[: len(text) * 2 // 3] if truncated else text)

    async def start(self) -> None:
        """Start the process, without waiting until it is ready."""
        self._starts += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                str(deploy_file(self._setup.tree)["run"]),
                cwd=self._setup.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self._environment(),
                pass_fds=() if self._listener is None else (self._listener.fileno(),),
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        self._end_expected = False
        self.record(ProcessEventKind.START)

    def record(self, kind: ProcessEventKind, detail: str = "") -> None:
        """Record an event of the process with the current time."""
        self._records.process_events.append(ProcessEvent(self.number, kind, now_s(), detail))

    async def wait_until_ready(self) -> bool:
        """Wait until the sidecar reports that it is up; return False if the process ends or the wait times out."""
        ends_s = now_s() + READY_TIMEOUT_S
        while now_s() < ends_s and self._is_running():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._is_up():
                    self.record(ProcessEventKind.READY)
                    return True
            await asyncio.sleep(READY_POLL_S)
        self.record(ProcessEventKind.NOT_READY)
        return False

    async def save_trace(self, label: str) -> None:
        """Save the sidecar's trace of its last events if the admin port returns it."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(TRACE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._admin_address)
                writer.write(b"GET /_trace HTTP/1.1\r\nHost: x\r\n\r\n")
                text = await reader.read()
                writer.close()
            (self._setup.folder / f"trace-{label}.txt").write_bytes(text)

    def memory_mb(self) -> float:
        """Return the anonymous memory of the process in MB; 0 if it does not run."""
        if not self._is_running() or self.process is None:
            return 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / KIB_PER_MB
        return 0.0

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        send_signal(self.process, signal_number)

    async def pause(self, duration_s: float) -> None:
        """Stop the process by SIGSTOP, and continue it after a time, also if another one has taken over meanwhile."""
        if self.restarting:
            return
        paused = self.process
        send_signal(paused, signal.SIGSTOP)
        self.record(ProcessEventKind.PAUSE)
        await asyncio.sleep(duration_s)
        send_signal(paused, signal.SIGCONT)
        self.record(ProcessEventKind.RESUME)

    async def restart(
        self, longest_deadline_s: float, signal_numbers: Sequence[int], write_configuration: Callable[[], None]
    ) -> None:
        """End the process by SIGKILL, or by a series of signals with SIGTERM among them, and start it again.

        Args:
            longest_deadline_s: The longest deadline of a request class, which determines when SIGKILL is due.
            signal_numbers: The signals.
            write_configuration: Writes the configuration of the new process, with the current endpoint list.
        """
        if self.restarting or self.process is None:
            return
        self.restarting = self._end_expected = True
        self.record(ProcessEventKind.TERMINATE if signal.SIGTERM in signal_numbers else ProcessEventKind.KILL)
        self.send_signal(signal.SIGCONT)
        for signal_number in signal_numbers:
            self.send_signal(signal_number)
        await self._await_end(self.process, longest_deadline_s)
        write_configuration()
        await self.start()
        await self.wait_until_ready()
        self.restarting = False

    async def take_over(self, longest_deadline_s: float) -> None:
        """Start a second process beside the running one, and end the first by SIGTERM once the second is ready."""
        predecessor = self.process
        if self.restarting or predecessor is None:
            return
        self.restarting = True
        try:
            await self.start()
            await self.wait_until_ready()
            self.record(ProcessEventKind.TERMINATE, TAKEOVER_DETAIL)
            send_signal(predecessor, signal.SIGTERM)
            await self._await_end(predecessor, longest_deadline_s)
        finally:
            send_signal(predecessor, signal.SIGKILL)
        self.restarting = False

    async def drain(self, *, enabled: bool) -> None:
        """Begin or end a drain as an operator does."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self._call_admin("POST", f"/_lameduck/{'on' if enabled else 'off'}")

    async def _await_end(self, process: asyncio.subprocess.Process, longest_deadline_s: float) -> None:
        """Wait for the end of a process after SIGTERM, and kill it when that is due."""
        try:
            await asyncio.wait_for(process.wait(), min(LONGEST_DRAIN_S, longest_deadline_s) + KILL_GAP_S)
            ended_s = now_s()
        except TimeoutError:
            ended_s = now_s()  # the kernel closes its connections now, and reports its end later
            send_signal(process, signal.SIGKILL)
            await process.wait()
        event = ProcessEvent(self.number, ProcessEventKind.ENDED, ended_s, str(process.returncode))
        self._records.process_events.append(event)

    async def kill(self) -> None:
        """Kill the process, and record whether it had ended by itself before."""
        if self._listener is not None:
            self._listener.close()
        if self.process is None:
            return
        if self.process.returncode is not None and not self._end_expected:
            self.record(ProcessEventKind.DIED, str(self.process.returncode))
        self._end_expected = True
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    def _is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def _is_up(self) -> bool:
        if self._listener is not None:  # another process may accept the connections to the service address
            return await self._call_admin("GET", "/_ready")
        return await _call(self.address, "GET", "/up")

    async def _call_admin(self, method: str, path: str) -> bool:
        return await _call(self._admin_address, method, path)

    @property
    def _admin_address(self) -> tuple[str, int]:
        """The admin address of the process that was started last."""
        return self._setup.host, _port(self.number, ADMIN_PORT_OFFSETS[self._starts % len(ADMIN_PORT_OFFSETS)])

    def _environment(self) -> Mapping[str, str]:
        inherited = {
            name: value for name, value in os.environ.items() if not name.startswith(REMOVED_VARIABLE_PREFIXES)
        }
        host, port = self._admin_address
        own = {
            "BALANCER_NAME": f"s{self.number}",
            "BALANCER_CONFIG": str(self._configuration),
            "BALANCER_ADMIN": f"{host}:{port}",
            "TMPDIR": str(self._shared_folder),
        }
        if self._listener is not None:
            own["BALANCER_SOCKET_FD"] = str(self._listener.fileno())
        return inherited | own | (self.fault_table.environment() if self.fault_table is not None else {})


async def _call(address: tuple[str, int], method: str, path: str) -> bool:
    """Send a request without a body, and return whether the response has status 200."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        return b" 200 " in await reader.readuntil(b"\r\n")
    finally:
        writer.close()


def _port(sidecar: int, offset: int) -> int:
    return FIRST_PORT + PORTS_PER_SIDECAR * sidecar + offset
