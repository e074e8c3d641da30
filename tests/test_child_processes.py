"""Tests of the functions for the lab's child processes."""

from __future__ import annotations

import asyncio
import os
import signal
import threading
from collections.abc import Callable

import pytest

from garnetusher.lab.child_processes import send_signal


def delay_exit_watchers(monkeypatch: pytest.MonkeyPatch) -> threading.Event:
    """Hold back asyncio's waits for child processes, as a busy machine does, until the returned event is set."""
    released = threading.Event()
    original: Callable[[int, int], tuple[int, int]] = os.waitpid

    def delayed(pid: int, options: int) -> tuple[int, int]:
        if threading.current_thread() is not threading.main_thread():
            released.wait()
        return original(pid, options)

    monkeypatch.setattr(os, "waitpid", delayed)
    return released


def wait_until_zombie(pid: int) -> None:
    """Wait until a child has exited, without reading its exit status."""
    os.waitid(os.P_PID, pid, os.WEXITED | os.WNOWAIT)


async def exit_status_after_late_signal(watchers_released: threading.Event) -> int:
    process = await asyncio.create_subprocess_exec("/bin/sleep", "60")
    send_signal(process, signal.SIGTERM)
    wait_until_zombie(process.pid)
    send_signal(process, signal.SIGKILL)
    watchers_released.set()
    return await process.wait()


def test_exit_status_is_kept_when_signal_follows_exit(monkeypatch: pytest.MonkeyPatch) -> None:
    """A signal to a child that has just exited must not read its exit status, which asyncio would report as 255."""
    watchers_released = delay_exit_watchers(monkeypatch)
    assert asyncio.run(exit_status_after_late_signal(watchers_released)) == -signal.SIGTERM


def test_signal_is_ignored_when_child_has_ended() -> None:
    async def signal_ended_child() -> int:
        process = await asyncio.create_subprocess_exec("/bin/true")
        status = await process.wait()
        send_signal(process, signal.SIGKILL)
        send_signal(None, signal.SIGKILL)
        return status

    assert asyncio.run(signal_ended_child()) == 0
