"""The real program on a machine that fails it: system calls, hold-ups and the wall clock, by tests' orders."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from subprocess import Popen
from typing import Any

from garnetusher.lab.syscall_faults import Call, FaultBoard
from tests.net import TEST_TIMEOUT_S, read_message, wait_for_listener
from tests.processes import configuration, program
from tests.runner import status


@dataclass
class Machine:
    """One running program, its faults, and where its clients go."""

    process: Popen[bytes]
    faults: FaultBoard
    address: tuple[str, int]
    config: Path

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)

    async def send_request(self, data: bytes) -> int:
        """The status of the answer to one request on a connection of its own."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return status(await read_message(reader))
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def held_up(self, seconds: float) -> AsyncIterator[None]:
        """The program does not run for so long; what the body does meets it stopped."""
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.02)
        yield
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)

    def leave_unread(self, data: bytes) -> None:
        """A client that connects, sends this and closes at once."""
        with socket.create_connection(self.address) as sock:
            sock.sendall(data)


@contextlib.asynccontextmanager
async def machine(
    folder: Path, wall_step_s: float = 0.0, failing: tuple[Call, int, int] | None = None, **config: Any
) -> AsyncIterator[Machine]:
    """The program as the deploy file starts it, ready for clients; `failing` is a call that fails from its start on,
    the error, and how many times."""
    path = configuration(folder, **config)
    host, port = json.loads(path.read_text())["listen"].split(":")
    faults = FaultBoard(folder / "faults")
    faults.step_wall_clock(wall_step_s)
    if failing is not None:
        call, error, count = failing
        faults.inject(call, error, count=count)
    with program(path, (), **faults.environment()) as process:
        await wait_for_listener(int(port), lambda: process.poll() is None)
        yield Machine(process, faults, (host, int(port)), path)
