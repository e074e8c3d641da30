"""When upstreams started, on this process's monotonic clock, from times of day that other machines tell.

Neither this machine's wall clock nor another's can be believed alone: either may have been stepped, by seconds or by an
hour. Taken for older than it is, an upstream that has just started would be sent a warm one's load by all sidecars
together, and fall; taken for younger it serves less for the time of one warm-up. So what is believed of the time of day
now is the least that it can be: by the newest start that the list tells of, which lies in the past, and what has passed
since it was told; and no more than the wall clock says, as one upstream's clock may be the one that is ahead.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

LONG_AGO = 0  # in a list: it started before anybody cares


def wall_clock_us() -> int:
    """Unix time, as this machine tells it."""
    return time.time_ns() // 1000


class StartTimes:
    """Start times of upstreams; one that was told again with the same time of day keeps the one it was given."""

    def __init__(self, clock_us: Callable[[], int], wall_us: Callable[[], int] = wall_clock_us) -> None:
        self.clock_us = clock_us
        self.wall_us = wall_us
        self.newest_offset_us: int | None = None  # of the newest start, from this process's clock to the time of day
        self.given: dict[str, tuple[int, int]] = {}  # uid -> (its start as told, in ms; on this process's clock)

    def observe(self, starts_ms: Iterable[int]) -> None:
        """A list tells of these starts: by now it is as late as the newest of them, and it goes on from there."""
        newest_ms = max(starts_ms, default=LONG_AGO)
        if newest_ms == LONG_AGO:
            return
        offset_us = newest_ms * 1000 - self.clock_us()
        self.newest_offset_us = offset_us if self.newest_offset_us is None else max(self.newest_offset_us, offset_us)

    def now_us(self) -> int:
        """The least that the time of day can be."""
        wall_us = self.wall_us()
        return wall_us if self.newest_offset_us is None else min(wall_us, self.newest_offset_us + self.clock_us())

    def started_us(self, uid: str, start_ms: int) -> int:
        """When it started, on this process's clock; 0 for long ago."""
        if start_ms == LONG_AGO:
            self.given.pop(uid, None)
            return 0
        told_ms, given_us = self.given.get(uid, (LONG_AGO, 0))
        if told_ms != start_ms:
            age_us = max(0, self.now_us() - start_ms * 1000)
            given_us = max(1, self.clock_us() - age_us)  # 0 would mean long ago
            self.given[uid] = (start_ms, given_us)
        return given_us

    def forget(self, uid: str) -> None:
        """It is not listed any more."""
        self.given.pop(uid, None)
