"""A queue of callbacks by the time at which they are to run."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator

Callback = Callable[[], None]


class TimerQueue:
    """Callbacks in the order of their deadlines, and of their scheduling where two deadlines are equal."""

    def __init__(self, numbers: Iterator[int] | None = None) -> None:
        self._numbers = numbers if numbers is not None else itertools.count(1)
        self._heap: list[tuple[int, int, Callback]] = []

    @property
    def next_due_us(self) -> int | None:
        """The earliest deadline; None when no timer is set."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at_us: int, callback: Callback) -> None:
        """Run the callback at that time."""
        heapq.heappush(self._heap, (at_us, next(self._numbers), callback))

    def pop_due(self, now_us: int) -> Callback | None:
        """Remove and return the first callback that is due; None when none is."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[2]

    def postpone_all(self, by_us: int) -> None:
        """Move every deadline by the same time."""
        self._heap = [(at_us + by_us, number, callback) for at_us, number, callback in self._heap]

    def clear(self) -> None:
        """Cancel all timers."""
        self._heap.clear()
