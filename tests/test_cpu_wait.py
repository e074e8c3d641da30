"""Tests of the measurement of waits for a CPU core."""

from __future__ import annotations

import subprocess
import sys
import time

from garnetusher.lab.cpu_wait import CpuWaitMonitor, MeasuredProcess
from garnetusher.model.records import CpuWait, CpuWaitRole

BUSY_PROGRAM = "import os\nos.sched_setaffinity(0, {min(os.sched_getaffinity(0))})\nprint(flush=True)\nwhile True: pass"


def test_wait_is_recorded_when_two_processes_share_one_core() -> None:
    busy = [subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM], stdout=subprocess.PIPE) for _ in range(2)]
    try:
        for process in busy:
            assert process.stdout is not None
            process.stdout.readline()
        recorded: list[CpuWait] = []
        monitor = CpuWaitMonitor(recorded.append, lambda: time.monotonic_ns() // 1000)
        measured = [MeasuredProcess("first", CpuWaitRole.SIDECAR, busy[0].pid)]
        monitor.sample(measured)
        time.sleep(1.0)
        monitor.sample(measured)
    finally:
        for process in busy:
            process.kill()
            process.communicate()
    assert [(wait.process, wait.role) for wait in recorded] == [("first", CpuWaitRole.SIDECAR)]
    wait = recorded[0]
    assert wait.t - wait.since_t >= 1_000_000
    assert 100_000 <= wait.waited_us <= wait.t - wait.since_t
    monitor.sample(measured)  # the process has ended
    assert len(recorded) == 1
