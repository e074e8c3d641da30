"""Lifeguard's local health multiplier: a process that may itself be slow waits longer before it accuses others."""

from __future__ import annotations

MAX_SCORE = 8  # as in Lifeguard: periods and timeouts are at most nine times as long


class LocalHealth:
    """A score from 0, healthy, to `MAX_SCORE`."""

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, by: int) -> None:
        """Raise the score on evidence that this process is slow, lower it on evidence of the contrary."""
        self.score = min(MAX_SCORE, max(0, self.score + by))

    def scale(self, duration_us: int) -> int:
        """Lengthen a period or a timeout by the score."""
        return duration_us * (1 + self.score)
