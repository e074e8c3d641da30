"""Estimates when endpoints started, on this process's monotonic clock, from Unix times that other machines report.

No wall clock can be trusted alone, neither this machine's nor another's: either may have been stepped by seconds or by
an hour. If the estimate makes a newly started endpoint too old, all sidecars together send it the load of a warmed-up
endpoint, and it fails. If the estimate makes the endpoint too young, the endpoint only gets less load during one
warm-up. So this module uses the lowest possible value of the current Unix time: the newest start time that a list has
reported, plus the time that has passed since the report. The current time cannot be lower, as a reported start time is
in the past. The wall clock is an upper limit for this value, as one endpoint's clock may be ahead.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

LONG_AGO = 0  # start time, in a list or on the monotonic clock, of an endpoint that started too long ago to matter
EARLIEST_START_US = 1  # lowest start time on the monotonic clock, as 0 means long ago


def wall_clock_us() -> int:
    """Return the Unix time of this machine's wall clock."""
    return time.time_ns() // 1000


@dataclass(slots=True)
class StartEstimate:
    """The start time of an endpoint as discovery reported it, and the estimate that was made from it."""

    reported_ms: int
    started_us: int


class StartTimes:
    """Start times of endpoints; an estimate is kept for as long as the reported start time stays the same."""

    def __init__(self, clock_us: Callable[[], int], wall_us: Callable[[], int] = wall_clock_us) -> None:
        """Create an empty collection of start times.

        Args:
            clock_us: returns the time of the monotonic clock, to which start times are converted.
            wall_us: returns the Unix time of this machine's wall clock.
        """
        self._clock_us = clock_us
        self._wall_us = wall_us
        self._min_unix_offset_us: int | None = None  # lowest possible difference between Unix time and monotonic time
        self._estimates: dict[Hashable, StartEstimate] = {}

    def observe(self, starts_ms: Iterable[int]) -> None:
        """Record the start times that a list reports: the current Unix time is at least the newest of them."""
        newest_ms = max(starts_ms, default=LONG_AGO)
        if newest_ms == LONG_AGO:
            return
        offset_us = newest_ms * 1000 - self._clock_us()
        if self._min_unix_offset_us is None or offset_us > self._min_unix_offset_us:
            self._min_unix_offset_us = offset_us

    def lowest_unix_us(self) -> int:
        """Return the lowest possible value of the current Unix time."""
        wall_us = self._wall_us()
        if self._min_unix_offset_us is None:
            return wall_us
        return min(wall_us, self._min_unix_offset_us + self._clock_us())

    def started_us(self, uid: Hashable, start_ms: int) -> int:
        """Return the estimated start time of an endpoint on the monotonic clock; 0 means long ago."""
        if start_ms == LONG_AGO:
            self._estimates.pop(uid, None)
            return LONG_AGO
        estimate = self._estimates.get(uid)
        if estimate is not None and estimate.reported_ms == start_ms:
            return estimate.started_us
        age_us = max(0, self.lowest_unix_us() - start_ms * 1000)
        started_us = max(EARLIEST_START_US, self._clock_us() - age_us)
        self._estimates[uid] = StartEstimate(start_ms, started_us)
        return started_us

    def forget(self, uid: Hashable) -> None:
        """Delete the estimate of an endpoint that is no longer listed."""
        self._estimates.pop(uid, None)
