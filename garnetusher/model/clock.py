"""Virtual time: one queue of what happens when, in one order for one seed."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import xxhash

MOST_AT_ONCE = 100_000  # events at one instant; more, and time stands still


class Stall(RuntimeError):
    """Virtual time does not move on; `str` names what kept arming itself."""


class Clock:
    """The queue. Events of one instant run in the order in which they were asked for."""

    def __init__(self) -> None:
        self.now_us = 0
        self.events = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self._number = 0
        self._digest = xxhash.xxh64()

    def at(self, at_us: int, what: Callable[..., None], *args: object) -> None:
        """Call then, or now if that has passed."""
        self._number += 1
        heapq.heappush(self._queue, (max(at_us, self.now_us), self._number, what, args))

    def run(self, until_us: int) -> None:
        """Carry out all that falls due by then; raises Stall where an instant does not end."""
        here = 0
        while self._queue and self._queue[0][0] <= until_us:
            at_us, _, what, args = heapq.heappop(self._queue)
            here = here + 1 if at_us == self.now_us else 0
            if here > MOST_AT_ONCE:
                raise Stall(
                    f"time stands still at {at_us / 1e6:.6f} s: {MOST_AT_ONCE} events, the last one {what.__qualname__}"
                )
            self.now_us = at_us
            self.events += 1
            what(*args)
        self.now_us = max(self.now_us, until_us)

    def note(self, text: str) -> None:
        """Something that the digest of the run stands for."""
        self._digest.update(f"{self.now_us} {text}\n".encode())

    @property
    def digest(self) -> str:
        return self._digest.hexdigest()
