"""The sidecars of the soak: processes by the deploy file, each with a file of its own and a board of faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from garnetusher.lab.sidecars import deploy_file, die_with_parent
from garnetusher.lab.soak.records import Records, Step, now_s
from garnetusher.lab.syscall_faults import FaultBoard

KILL_GAP_S = 0.7  # SIGKILL follows SIGTERM the longest deadline and so much later
LONGEST_COUNTED_S = 3.0
READY_S = 20.0
DUMP_S = 2.0
FIRST_PORT = 10_000


def port_of(number: int, use: int) -> int:
    """A fixed one: each play has a host of its own, and the kernel gives out none below 32768 by itself."""
    return FIRST_PORT + 2 * number + use


class Sidecar:
    """One name, and the process that has it."""

    def __init__(
        self, number: int, host: str, folder: Path, tree: Path, settings: dict[str, Any], records: Records, faults: bool
    ) -> None:
        self.number, self.folder, self.tree, self.settings, self.records = number, folder, tree, settings, records
        self.address = (host, port_of(number, 0))
        self.admin = (host, port_of(number, 1))
        self.config = folder / "config.json"
        self.log = folder / "log.txt"
        self.board = FaultBoard(folder / "faults", number + 1) if faults else None
        self.process: asyncio.subprocess.Process | None = None
        self.expected = False  # its end is the soak's doing
        self.busy = False  # it is being restarted
        self.seed = 0

    def write_config(self, discovery_port: int, known: dict[str, Any], half: bool = False) -> None:
        """The file that the platform would put there; `half` leaves it cut short."""
        text = json.dumps(
            {
                "name": f"s{self.number}",
                "listen": f"{self.address[0]}:{self.address[1]}",
                "discovery": f"{self.address[0]}:{discovery_port}",
                "admin": f"{self.admin[0]}:{self.admin[1]}",
                "seed": f"{self.number * 1000 + self.seed:x}",
                "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512},
                "known": known,
                "settings": self.settings,
            }
        )
        self.config.write_text(text[: len(text) * 2 // 3] if half else text)

    def environment(self) -> Mapping[str, str]:
        plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV", "BALANCER_"))}
        told = {"BALANCER_NAME": f"s{self.number}", "BALANCER_CONFIG": str(self.config)}
        return plain | told | (self.board.environment() if self.board is not None else {})

    async def start(self) -> None:
        self.seed += 1
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                str(deploy_file(self.tree)["run"]),
                cwd=self.tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=self.environment(),
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        self.expected = False
        self.step("start")

    def step(self, what: str, detail: str = "") -> None:
        self.records.steps.append(Step(self.number, what, now_s(), detail))

    async def ready(self) -> bool:
        """Waits till it says yes."""
        ends_s = now_s() + READY_S
        while now_s() < ends_s and self.process is not None and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if b" 200 " in answer:
                    self.step("ready")
                    return True
            await asyncio.sleep(0.03)
        self.step("not ready")
        return False

    async def dump(self, why: str) -> None:
        """Keep what it remembers of its last events."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DUMP_S):
                reader, writer = await asyncio.open_connection(*self.admin)
                writer.write(b"GET /_trace HTTP/1.1\r\nHost: x\r\n\r\n")
                text = await reader.read()
                writer.close()
            (self.folder / f"trace-{why}.txt").write_bytes(text)

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def hold_up(self, for_s: float) -> None:
        if self.busy:
            return
        self.signal(signal.SIGSTOP)
        self.step("stop")
        await asyncio.sleep(for_s)
        self.signal(signal.SIGCONT)
        self.step("continue")

    async def restart(self, how: int, longest_deadline_s: float) -> None:
        """End it by SIGTERM or SIGKILL, and start it anew."""
        if self.busy or self.process is None:
            return
        self.busy = self.expected = True
        self.step("term" if how == signal.SIGTERM else "kill")
        self.signal(signal.SIGCONT)
        self.signal(how)
        try:
            await asyncio.wait_for(self.process.wait(), min(LONGEST_COUNTED_S, longest_deadline_s) + KILL_GAP_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.step("ended", str(self.process.returncode))
        await self.start()
        await self.ready()
        self.busy = False

    async def end(self) -> None:
        """Kill it; says whether it had died before."""
        if self.process is None:
            return
        if self.process.returncode is not None and not self.expected:
            self.step("died", str(self.process.returncode))
        self.expected = True
        self.signal(signal.SIGKILL)
        await self.process.wait()
