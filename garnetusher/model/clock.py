"""Virtual time: an event queue whose order depends only on the scheduled events."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import xxhash

from garnetusher.errors import GarnetusherError

MAX_EVENTS_PER_INSTANT = 100_000  # above this limit, an event is assumed to reschedule itself endlessly


class StallError(GarnetusherError):
    """Virtual time does not advance; the message names the last event."""


class Clock:
    """The event queue; events of one instant run in the order in which they were scheduled.

    Attributes:
        now_us: The current time, in microseconds since the start.
        events: The number of events that have run.
    """

    def __init__(self) -> None:
        self.now_us = 0
        self.events = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._scheduled_count = 0
        self._digest = xxhash.xxh64()

    def at(self, at_us: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback; a callback whose time has passed runs at the current instant."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (max(at_us, self.now_us), self._scheduled_count, callback, arguments))

    def run(self, until_us: int) -> None:
        """Run all events up to and including a time, and advance the clock to it.

        Raises:
            StallError: One instant has more events than `MAX_EVENTS_PER_INSTANT`.
        """
        events_at_instant = 0
        while self._queue and self._queue[0][0] <= until_us:
            at_us, _, callback, arguments = heapq.heappop(self._queue)
            events_at_instant = events_at_instant + 1 if at_us == self.now_us else 0
            if events_at_instant > MAX_EVENTS_PER_INSTANT:
                raise StallError(_stall_message(at_us, callback))
            self.now_us = at_us
            self.events += 1
            callback(*arguments)
        self.now_us = max(self.now_us, until_us)

    def add_to_digest(self, text: str) -> None:
        """Add a text and the current time to the digest of the run."""
        self._digest.update(f"{self.now_us} {text}\n".encode())

    @property
    def digest(self) -> str:
        """The digest of all texts so far; equal runs have equal digests."""
        return self._digest.hexdigest()


def _stall_message(at_us: int, callback: Callable[..., None]) -> str:
    name = getattr(callback, "__qualname__", repr(callback))  # a partial has no `__qualname__`
    return f"virtual time is stalled at {at_us / 1e6:.6f} s: {MAX_EVENTS_PER_INSTANT} events, the last one is {name}"
