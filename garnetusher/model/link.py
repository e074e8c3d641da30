"""A network link between two nodes: delay, jitter, loss, throttling and cuts, for streams and for datagrams.

`StreamLink` is one direction of a TCP connection: all bytes arrive, and in order, only later. TCP sends lost segments
again, so loss stalls a stream and drops nothing. A cut keeps all that is sent until it is mended, and neither end sees
an error. `DatagramLink` drops, duplicates and reorders.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

RETRANSMIT_US = 200_000  # TCP's shortest wait before it sends a lost segment again (RFC 6298 as deployed: 200 ms)
LONGEST_BACKOFF_US = 3_000_000  # the longest retransmission wait, doubled during a cut, that a mended link still has
MAX_REORDER_DELAY_US = 3_000
UNSCHEDULED_US = -1  # the arrival time of what was sent into a cut


@dataclass(slots=True)
class Weather:
    """The state of a link at present, shared by all streams of one pair of nodes in one direction.

    Attributes:
        delay_us: One way.
        jitter: As a share of the delay, in both directions from it.
        loss: The share of segments (which stall a stream) or of datagrams that are lost.
        duplicate: The share of datagrams that arrive twice.
        reorder: The share of datagrams that are delayed by up to `MAX_REORDER_DELAY_US`.
        bytes_per_s: The bandwidth; 0 is unlimited.
        cut: How many faults cut the link.
    """

    delay_us: int = 0
    jitter: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    bytes_per_s: float = 0.0
    cut: int = 0


class StreamLink:
    """One direction of one connection."""

    def __init__(self, weather: Weather, rng: random.Random) -> None:
        self.weather = weather
        self._rng = rng
        self._last_arrival_us = 0
        self._in_transit: deque[tuple[int, bytes]] = deque()  # (arrival or UNSCHEDULED_US, data), in order
        self._first_held_us: int | None = None  # when the first bytes were sent into the present cut

    def send(self, now_us: int, data: bytes) -> None:
        """Send bytes."""
        if self.weather.cut:
            if self._first_held_us is None:
                self._first_held_us = now_us
            self._in_transit.append((UNSCHEDULED_US, data))
            return
        self._in_transit.append((self._schedule_arrival(now_us, len(data)), data))

    def arrived(self, now_us: int) -> list[bytes]:
        """Take what has arrived at the other end by now, in order."""
        if self.weather.cut:
            return []  # what was in transit when the cut came is lost too, and sent again later
        arrived: list[bytes] = []
        while self._in_transit and 0 <= self._in_transit[0][0] <= now_us:
            arrived.append(self._in_transit.popleft()[1])
        return arrived

    def next_us(self) -> int | None:
        """Return when bytes arrive next; None if nothing is in transit, or the link is cut."""
        if self.weather.cut or not self._in_transit:
            return None
        arrival_us = self._in_transit[0][0]
        return None if arrival_us == UNSCHEDULED_US else arrival_us

    def mend(self, now_us: int) -> None:
        """End a cut: TCP's next retransmission, whose backoff has grown with the cut, carries all that was held."""
        held_since_us = now_us if self._first_held_us is None else self._first_held_us
        self._first_held_us = None
        backoff_us = min(max(now_us - held_since_us, RETRANSMIT_US), LONGEST_BACKOFF_US)
        retransmit_at_us = now_us + int(self._rng.random() * backoff_us)
        held, self._in_transit = self._in_transit, deque()
        for _, data in held:
            arrival_us = max(self._schedule_arrival(now_us, len(data)), retransmit_at_us)
            self._in_transit.append((arrival_us, data))
            self._last_arrival_us = arrival_us

    @property
    def waiting(self) -> int:
        """Bytes in transit."""
        return sum(len(data) for _, data in self._in_transit)

    def _schedule_arrival(self, now_us: int, size: int) -> int:
        weather = self.weather
        arrival_us = now_us + _delay_us(weather, self._rng)
        if weather.loss and self._rng.random() < weather.loss:
            arrival_us += RETRANSMIT_US
        if weather.bytes_per_s:
            arrival_us = max(arrival_us, self._last_arrival_us) + int(size * 1e6 / weather.bytes_per_s)
        self._last_arrival_us = max(arrival_us, self._last_arrival_us)
        return self._last_arrival_us


class DatagramLink:
    """One direction between two addresses."""

    def __init__(self, weather: Weather, rng: random.Random) -> None:
        self.weather = weather
        self._rng = rng

    def send(self, now_us: int, data: bytes) -> list[tuple[int, bytes]]:
        """Send a datagram.

        Returns:
            When each copy arrives, with its data; nothing if the datagram is lost.
        """
        weather, rng = self.weather, self._rng
        if weather.cut or self._happens(weather.loss):
            return []
        copies = 2 if self._happens(weather.duplicate) else 1
        reorder_delay_us = int(rng.random() * MAX_REORDER_DELAY_US) if self._happens(weather.reorder) else 0
        return [(now_us + _delay_us(weather, rng) + reorder_delay_us, data) for _ in range(copies)]

    def _happens(self, share: float) -> bool:
        """Draw whether something that strikes a share of datagrams strikes this one; a share of 0 draws nothing."""
        return share > 0 and self._rng.random() < share


def _delay_us(weather: Weather, rng: random.Random) -> int:
    if not weather.jitter:
        return weather.delay_us
    return int(weather.delay_us * (1 + weather.jitter * (2 * rng.random() - 1)))
