"""Functions for the child processes that the lab starts, controls and ends."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal

_PR_SET_PDEATHSIG = 1  # the number of the option in linux/prctl.h


def die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends.

    A child process calls this function before it executes a program.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def send_signal(process: asyncio.subprocess.Process | None, signal_number: int) -> None:
    """Send a signal to a child process if it still runs.

    `Process.send_signal()` and `Process.kill()` poll the child first. If the child has just exited, the poll reads its
    exit status before asyncio does, and asyncio then reports the status 255.
    """
    if process is None or process.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, signal_number)
