"""Lifeguard's local health multiplier: a process that may be slow itself waits longer before it suspects others."""

from __future__ import annotations

MAX_SCORE = 8  # the same limit as in Lifeguard; periods and timeouts become at most nine times as long


class LocalHealth:
    """A score from 0, which is healthy, to `MAX_SCORE`."""

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, delta: int) -> None:
        """Add to the score; a positive delta is evidence that this process is slow, a negative delta that it is not."""
        self.score = min(MAX_SCORE, max(0, self.score + delta))

    def scale(self, duration_us: int) -> int:
        """Return a period or timeout multiplied by 1 + score."""
        return duration_us * (1 + self.score)
