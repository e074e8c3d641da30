"""The lab's own timers, which know when they ran late: a starved lab must not look like a fault of the sidecar."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from garnetusher.model.records import AnyRecord, Journal, LabActionLate

LATE_US = 5_000  # a timer that fires later counts as late: one in eighty of the shortest aim that files use
TICK_S = 0.005  # of the timer that watches the loop itself, also where nothing else is due


class Clockwork:
    """Microseconds from the start of the play, and timers on them."""

    def __init__(self, worker: str, journal: Journal) -> None:
        self.loop = asyncio.get_running_loop()
        self.worker, self.journal = worker, journal
        self.zero_ns = time.monotonic_ns()
        self.events = self.late = 0
        self._said_us = 0

    def begin(self, zero_ns: int) -> None:
        """The play starts at this time of the monotonic clock, which every process on the machine shares."""
        self.zero_ns = zero_ns
        self.at(0, self._tick, 0)

    def now_us(self) -> int:
        return (time.monotonic_ns() - self.zero_ns) // 1000

    def write(self, record: AnyRecord) -> None:
        self.journal.write(record)

    def at(self, at_us: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Call at that time, and count whether it came late."""
        return self.loop.call_at(self.zero_ns / 1e9 + at_us / 1e6, self._fire, at_us, what, args)

    def _fire(self, at_us: int, what: Callable[..., None], args: tuple[object, ...]) -> None:
        now = self.now_us()
        self.events += 1
        if now - at_us > LATE_US:
            self.late += 1
            if now - self._said_us > 1_000_000:
                self._said_us = now
                self.write(LabActionLate(now, self.worker, now - at_us))
        what(*args)

    def _tick(self, due_us: int) -> None:
        due_us = max(due_us + int(TICK_S * 1e6), self.now_us())
        self.at(due_us, self._tick, due_us)
