"""Rejects replayed datagrams, and datagrams from an earlier process with the name of the sender."""

from __future__ import annotations

import enum
from collections.abc import Container

from msgspec import Struct

WINDOW_BITS = 64  # this many of a sender's latest sequence numbers may arrive out of order
_WINDOW_MASK = (1 << WINDOW_BITS) - 1


class Freshness(enum.Enum):
    """The result of a check of a datagram's generation and sequence number."""

    FRESH = enum.auto()
    REPLAYED = enum.auto()
    OLD_GENERATION = enum.auto()


class _Window(Struct):
    """The sequence numbers received from one process; bit n of `received` stands for `highest` - n."""

    generation: int
    highest: int
    received: int = 1


class ReplayFilter:
    """Accepts each sequence number of a sender once, and rejects earlier generations of the sender."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def check(self, sender: str, generation: int, sequence: int) -> Freshness:
        """Return whether a datagram is fresh, replayed or from an old generation, and record a fresh one."""
        window = self._windows.get(sender)
        if window is None or generation > window.generation:
            self._windows[sender] = _Window(generation, sequence)
            return Freshness.FRESH
        if generation < window.generation:
            return Freshness.OLD_GENERATION
        behind = window.highest - sequence
        if behind < 0:
            window.highest = sequence
            window.received = ((window.received << min(-behind, WINDOW_BITS)) | 1) & _WINDOW_MASK
            return Freshness.FRESH
        if behind >= WINDOW_BITS or window.received >> behind & 1:
            return Freshness.REPLAYED
        window.received |= 1 << behind
        return Freshness.FRESH

    def retain(self, names: Container[str]) -> None:
        """Remove all senders except the named ones."""
        self._windows = {name: window for name, window in self._windows.items() if name in names}
