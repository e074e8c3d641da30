"""Virtual time: an event queue whose order depends on nothing but what was scheduled."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import xxhash

from garnetusher.errors import GarnetusherError

MAX_EVENTS_PER_INSTANT = 100_000  # beyond this, some event is taken to schedule itself for ever


class Stall(GarnetusherError):  # noqa: N818 - the commands import it by this name
    """Virtual time does not move on; the message names the event that ran last."""


class Clock:
    """The event queue. Events of one instant run in the order in which they were scheduled.

    Attributes:
        now_us: The present time, in microseconds from the start.
        events: How many events have run.
    """

    def __init__(self) -> None:
        self.now_us = 0
        self.events = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._scheduled = 0
        self._digest = xxhash.xxh64()

    def at(self, at_us: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a call; one whose time has passed runs at the present instant."""
        self._scheduled += 1
        heapq.heappush(self._queue, (max(at_us, self.now_us), self._scheduled, callback, arguments))

    def run(self, until_us: int) -> None:
        """Run all events up to and including a time, and move on to it.

        Raises:
            Stall: More events were scheduled for one instant than `MAX_EVENTS_PER_INSTANT`.
        """
        events_at_instant = 0
        while self._queue and self._queue[0][0] <= until_us:
            at_us, _, callback, arguments = heapq.heappop(self._queue)
            events_at_instant = events_at_instant + 1 if at_us == self.now_us else 0
            if events_at_instant > MAX_EVENTS_PER_INSTANT:
                raise Stall(_stall_message(at_us, callback))
            self.now_us = at_us
            self.events += 1
            callback(*arguments)
        self.now_us = max(self.now_us, until_us)

    def note(self, text: str) -> None:
        """Add a text, with the present time, to the digest of the run."""
        self._digest.update(f"{self.now_us} {text}\n".encode())

    @property
    def digest(self) -> str:
        """The digest of all texts so far: equal for equal runs."""
        return self._digest.hexdigest()


def _stall_message(at_us: int, callback: Callable[..., None]) -> str:
    name = getattr(callback, "__qualname__", repr(callback))  # a partial has no name of its own
    return f"time stands still at {at_us / 1e6:.6f} s: {MAX_EVENTS_PER_INSTANT} events, the last one {name}"
