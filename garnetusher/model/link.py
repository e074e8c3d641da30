"""A link between two parties: delay, jitter, loss, throttling and cuts, for streams and for datagrams.

`StreamLink` is one direction of a TCP connection: bytes arrive whole and in order, whatever happens to them on the
way, only later. What is lost on the way is sent again by TCP, so loss stalls a stream and drops nothing. A cut keeps
all that is sent until it is mended; nobody is told. `DatagramLink` drops, doubles and reorders.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

RETRANSMIT_US = 200_000  # TCP's shortest wait before it sends a lost segment again (RFC 6298 as deployed: 200 ms)
LONGEST_BACKOFF_US = 3_000_000  # of the waits that double during a cut, the longest that a mended link still shows
REORDERED_US = 3_000  # by which a reordered datagram is late, at most


@dataclass(slots=True)
class Weather:
    """What a link does at present; shared by all streams of one pair in one direction."""

    delay_us: int = 0  # one way
    jitter: float = 0.0  # of the delay, either way
    loss: float = 0.0  # share of the segments (TCP: stalls) or of the datagrams
    duplicate: float = 0.0
    reorder: float = 0.0
    bytes_per_s: float = 0.0  # 0: as much as comes
    cut: int = 0  # by how many faults


class StreamLink:
    """One direction of one connection."""

    def __init__(self, weather: Weather, rng: random.Random) -> None:
        self.weather, self._rng = weather, rng
        self._last_us = 0
        self._waiting: deque[tuple[int, bytes]] = deque()  # (due, data) in order; due is not known during a cut
        self._cut_at_us: int | None = None

    def send(self, now_us: int, data: bytes) -> None:
        """Bytes set out."""
        if self.weather.cut:
            self._cut_at_us = now_us if self._cut_at_us is None else self._cut_at_us
            self._waiting.append((-1, data))
            return
        self._waiting.append((self._due(now_us, len(data)), data))

    def arrived(self, now_us: int) -> list[bytes]:
        """What has come out at the other end by now, in order."""
        if self.weather.cut:
            return []  # what was on its way when the cut came is lost too, and sent again later
        out = []
        while self._waiting and 0 <= self._waiting[0][0] <= now_us:
            out.append(self._waiting.popleft()[1])
        return out

    def next_us(self) -> int | None:
        """When something comes out next; None: nothing is on its way, or it is cut."""
        if self.weather.cut or not self._waiting or self._waiting[0][0] < 0:
            return None
        return self._waiting[0][0]

    def mend(self, now_us: int) -> None:
        """The cut is over: TCP's next retransmission carries it all, which backs off as the cut lasts."""
        since = self._cut_at_us if self._cut_at_us is not None else now_us
        self._cut_at_us = None
        wait = self._rng.random() * min(max(now_us - since, RETRANSMIT_US), LONGEST_BACKOFF_US)
        sizes, self._waiting = list(self._waiting), deque()
        for _, data in sizes:
            self._waiting.append((max(self._due(now_us, len(data)), now_us + int(wait)), data))
            self._last_us = self._waiting[-1][0]

    @property
    def waiting(self) -> int:
        """Bytes on their way."""
        return sum(len(data) for _, data in self._waiting)

    def _due(self, now_us: int, size: int) -> int:
        w = self.weather
        due = now_us + _delay_us(w, self._rng)
        if w.loss and self._rng.random() < w.loss:
            due += RETRANSMIT_US
        if w.bytes_per_s:
            due = max(due, self._last_us) + int(size * 1e6 / w.bytes_per_s)
        self._last_us = max(due, self._last_us)
        return self._last_us


class DatagramLink:
    """One direction between two addresses."""

    def __init__(self, weather: Weather, rng: random.Random) -> None:
        self.weather, self._rng = weather, rng

    def send(self, now_us: int, data: bytes) -> list[tuple[int, bytes]]:
        """When each copy comes out; nothing where it is lost."""
        w, rng = self.weather, self._rng
        if w.cut or (w.loss and rng.random() < w.loss):
            return []
        copies = 2 if w.duplicate and rng.random() < w.duplicate else 1
        late = int(rng.random() * REORDERED_US) if w.reorder and rng.random() < w.reorder else 0
        return [(now_us + _delay_us(w, rng) + late, data) for _ in range(copies)]


def _delay_us(weather: Weather, rng: random.Random) -> int:
    if not weather.jitter:
        return weather.delay_us
    return int(weather.delay_us * (1 + weather.jitter * (2 * rng.random() - 1)))
