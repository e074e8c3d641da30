"""Runs the sidecar process with faults that a test controls: failing system calls, pauses and a wrong wall clock."""

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

from garnetusher.lab.syscall_faults import Call, FaultTable
from tests.net import TEST_TIMEOUT_S, read_message, wait_for_listener
from tests.processes import program, write_configuration
from tests.runner import status


@dataclass
class SidecarOnFaultyHost:
    """A sidecar process, the faults injected into its system calls, its listening address and its configuration."""

    process: Popen[bytes]
    faults: FaultTable
    address: tuple[str, int]
    config: Path

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.address)

    async def send_request(self, data: bytes) -> int:
        """Return the status of the response to a request that is sent on a new connection."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return status(await read_message(reader))
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def paused(self, seconds: float) -> AsyncIterator[None]:
        """Stop the process, run the body of the `async with` while it is stopped, and continue it after `seconds`."""
        self.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.02)
        yield
        await asyncio.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)

    def send_and_close(self, data: bytes) -> None:
        """Connect, send `data` and close at once without reading a response."""
        with socket.create_connection(self.address) as sock:
            sock.sendall(data)


@contextlib.asynccontextmanager
async def sidecar_on_faulty_host(
    folder: Path, wall_clock_offset_s: float = 0.0, failing: tuple[Call, int, int] | None = None, **config: Any
) -> AsyncIterator[SidecarOnFaultyHost]:
    """Run the sidecar as the deploy file starts it; the body of the `async with` starts when the sidecar listens.

    Args:
        folder: The folder for the configuration and the injected faults.
        wall_clock_offset_s: The offset of the wall clock from the true time in seconds.
        failing: A system call that fails from the start of the process on, its error, and how many times it fails.
        config: The top-level keys of the configuration that differ from the default, with their values.
    """
    path = write_configuration(folder, **config)
    host, port = json.loads(path.read_text())["listen"].split(":")
    faults = FaultTable(folder / "faults")
    faults.step_wall_clock(wall_clock_offset_s)
    if failing is not None:
        call, error, count = failing
        faults.inject(call, error, count=count)
    with program(path, (), **faults.environment()) as process:
        await wait_for_listener(int(port), lambda: process.poll() is None)
        yield SidecarOnFaultyHost(process, faults, (host, int(port)), path)
