"""When endpoints started, on this process's monotonic clock, estimated from times of day that other machines report.

Neither this machine's wall clock nor another's can be trusted alone: either may have been stepped, by seconds or by an
hour. If an endpoint that has just started were taken for older than it is, all sidecars together would send it the load
of a warmed-up one, and it would fail; if it were taken for younger, it would only serve less during one warm-up. So the
estimate of the present time of day is the lowest possible one: the newest start that a list has reported, which lies
in the past, and what has passed since then; and no more than the wall clock says, as one endpoint's clock may be ahead.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

LONG_AGO = 0  # a start time, in a list or on the monotonic clock, that is too long ago to matter
EARLIEST_START_US = 1  # on the monotonic clock, where 0 means long ago


def wall_clock_us() -> int:
    """Return Unix time, as this machine's clock has it."""
    return time.time_ns() // 1000


@dataclass(slots=True)
class KnownStart:
    """The start of an endpoint, as reported and as estimated then."""

    reported_ms: int
    started_us: int


class StartTimes:
    """Start times of endpoints; one that is reported again with the same time of day keeps its estimate."""

    def __init__(self, clock_us: Callable[[], int], wall_us: Callable[[], int] = wall_clock_us) -> None:
        """Start with no endpoint.

        Args:
            clock_us: the monotonic clock to which start times are converted.
            wall_us: this machine's time of day.
        """
        self._clock_us = clock_us
        self._wall_us = wall_us
        self._wall_offset_us: int | None = None  # from the monotonic clock to the lowest possible time of day
        self._known: dict[Hashable, KnownStart] = {}

    def observe(self, starts_ms: Iterable[int]) -> None:
        """Note that a list reports these starts: the time of day is at least the newest of them."""
        newest_ms = max(starts_ms, default=LONG_AGO)
        if newest_ms == LONG_AGO:
            return
        offset_us = newest_ms * 1000 - self._clock_us()
        if self._wall_offset_us is None or offset_us > self._wall_offset_us:
            self._wall_offset_us = offset_us

    def now_us(self) -> int:
        """Return the lowest possible time of day."""
        wall_us = self._wall_us()
        if self._wall_offset_us is None:
            return wall_us
        return min(wall_us, self._wall_offset_us + self._clock_us())

    def started_us(self, uid: Hashable, start_ms: int) -> int:
        """Return when an endpoint started, on the monotonic clock; 0 for long ago."""
        if start_ms == LONG_AGO:
            self._known.pop(uid, None)
            return LONG_AGO
        known = self._known.get(uid)
        if known is not None and known.reported_ms == start_ms:
            return known.started_us
        age_us = max(0, self.now_us() - start_ms * 1000)
        started_us = max(EARLIEST_START_US, self._clock_us() - age_us)
        self._known[uid] = KnownStart(start_ms, started_us)
        return started_us

    def forget(self, uid: Hashable) -> None:
        """Forget an endpoint that is not listed any more."""
        self._known.pop(uid, None)
