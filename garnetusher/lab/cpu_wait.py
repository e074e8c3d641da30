"""Measures how long the processes of a run wait for a CPU core.

On a busy machine, a process that is ready to run may wait for its core. The checker must not blame a sidecar for the
time that the scheduler kept it, or the lab's own workers, from running.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from garnetusher.model.records import CpuWait, CpuWaitRole

SAMPLE_INTERVAL_S = 0.1
SHORTEST_WAIT_US = 1_000  # shorter waits within a sample interval are not recorded


class MeasuredProcess(NamedTuple):
    """A process whose waits are measured."""

    name: str
    role: CpuWaitRole
    pid: int


class _Sample(NamedTuple):
    at_us: int
    total_wait_ns: int


class CpuWaitMonitor:
    """Records the waits of processes between successive samples."""

    def __init__(self, write_record: Callable[[CpuWait], None], now_us: Callable[[], int]) -> None:
        self._write_record = write_record
        self._now_us = now_us
        self._last_samples: dict[int, _Sample] = {}

    def sample(self, processes: Iterable[MeasuredProcess]) -> None:
        """Record the wait of each process since its previous sample, except for a process that has ended."""
        for process in processes:
            total_wait_ns = _total_wait_ns(process.pid)
            if total_wait_ns is None:
                continue
            now_us = self._now_us()
            last = self._last_samples.get(process.pid)
            self._last_samples[process.pid] = _Sample(now_us, total_wait_ns)
            if last is None:
                continue
            waited_us = (total_wait_ns - last.total_wait_ns) // 1000
            if waited_us >= SHORTEST_WAIT_US:
                self._write_record(CpuWait(now_us, process.name, process.role, last.at_us, waited_us))


def _total_wait_ns(pid: int) -> int | None:
    """Return how long the main thread of a process has been ready but not running, or None if that is unknown."""
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return None
    return int(fields[1])  # the fields are the time on a core, the time in the run queue, and the number of time slices
