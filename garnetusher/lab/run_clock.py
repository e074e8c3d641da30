"""A clock with timers for one run; it records timers that fire late.

If the lab lacks CPU time, its own delays must not be mistaken for faults of the sidecar.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from garnetusher.model.records import AnyRecord, Journal, LabActionLate

LATE_US = 5_000  # a longer delay makes a timer late; 1/80 of the shortest latency objective in the experiment files
TICK_INTERVAL_S = 0.005  # a timer fires this often to detect a delayed event loop while no other timer is due


class RunClock:
    """The time since the start of the run in microseconds, and timers that fire at given times of the run.

    Attributes:
        loop: The running event loop.
        worker: The name of the worker process, for the records of late timers.
        journal: The journal to which records are written.
        zero_ns: The start of the run on the monotonic clock, in nanoseconds.
        events: The number of timers that have fired.
        late: The number of timers that have fired late.
    """

    def __init__(self, worker: str, journal: Journal) -> None:
        self.loop = asyncio.get_running_loop()
        self.worker, self.journal = worker, journal
        self.zero_ns = time.monotonic_ns()
        self.events = self.late = 0
        self._last_late_record_us = 0
        self._stopped = False

    def begin(self, zero_ns: int) -> None:
        """Set the start of the run, on the monotonic clock that all processes of the machine share."""
        self.zero_ns = zero_ns
        self.at(0, self._tick, 0)

    def now_us(self) -> int:
        """Return the time since the start of the run, in microseconds."""
        return (time.monotonic_ns() - self.zero_ns) // 1000

    def stop(self) -> None:
        """Ignore all later timers and records, because the journal is about to be closed."""
        self._stopped = True

    def write(self, record: AnyRecord) -> None:
        """Write a record to the journal."""
        if not self._stopped:
            self.journal.write(record)

    def at(self, at_us: int, action: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Call `action` with `args` at a time of the run; count the call, and whether it is late."""
        return self.loop.call_at(self.zero_ns / 1e9 + at_us / 1e6, self._fire, at_us, action, args)

    def _fire(self, at_us: int, action: Callable[..., None], args: tuple[object, ...]) -> None:
        if self._stopped:
            return
        now_us = self.now_us()
        self.events += 1
        if now_us - at_us > LATE_US:
            self.late += 1
            if now_us - self._last_late_record_us > 1_000_000:  # writes at most one record per second
                self._last_late_record_us = now_us
                self.write(LabActionLate(now_us, self.worker, now_us - at_us))
        action(*args)

    def _tick(self, due_us: int) -> None:
        due_us = max(due_us + int(TICK_INTERVAL_S * 1e6), self.now_us())
        self.at(due_us, self._tick, due_us)
