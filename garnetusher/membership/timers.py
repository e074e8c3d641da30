"""A queue of callbacks ordered by the time at which they are due."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterator

Callback = Callable[[], None]


class TimerQueue:
    """Callbacks in order of their due times; callbacks with equal times keep the order in which they were scheduled."""

    def __init__(self, sequence_numbers: Iterator[int] | None = None) -> None:
        self._sequence_numbers = sequence_numbers if sequence_numbers is not None else itertools.count(1)
        self._heap: list[tuple[int, int, Callback]] = []

    @property
    def next_due_us(self) -> int | None:
        """The earliest due time, or None when no timer is set."""
        return self._heap[0][0] if self._heap else None

    def schedule(self, at_us: int, callback: Callback) -> None:
        """Schedule the callback for the given time."""
        heapq.heappush(self._heap, (at_us, next(self._sequence_numbers), callback))

    def pop_due(self, now_us: int) -> Callback | None:
        """Remove and return the first callback that is due, or None when none is due."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[2]

    def postpone_all(self, delay_us: int) -> None:
        """Delay all timers by the same duration."""
        self._heap = [(at_us + delay_us, sequence_number, callback) for at_us, sequence_number, callback in self._heap]

    def clear(self) -> None:
        """Cancel all timers."""
        self._heap.clear()
