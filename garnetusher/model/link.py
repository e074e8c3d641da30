"""A network link between two nodes: delay, jitter, loss, throttling and cuts, for streams and for datagrams.

`StreamLink` is one direction of a TCP connection: all bytes arrive in order. TCP retransmits lost segments, so loss
delays a stream and drops no bytes. Bytes sent during a cut are held back until the cut ends, and neither end sees an
error. `DatagramLink` drops, duplicates and reorders datagrams.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

RETRANSMIT_US = 200_000  # TCP's minimum retransmission timeout (RFC 6298; common implementations use 200 ms)
MAX_BACKOFF_US = 3_000_000  # limit of the retransmission timeout, which doubles during a cut
MAX_REORDER_DELAY_US = 3_000
UNSCHEDULED_US = -1  # replaces the arrival time of bytes sent during a cut, which is still unknown


@dataclass(slots=True)
class LinkConditions:
    """The current state of a link, shared by all streams of one pair of nodes in one direction.

    Attributes:
        delay_us: The one-way delay.
        jitter: The largest deviation from the delay, earlier or later, as a share of the delay.
        loss: The share of lost segments (each delays its stream) or of lost datagrams.
        duplicate: The share of datagrams that arrive twice.
        reorder: The share of datagrams that are delayed by up to `MAX_REORDER_DELAY_US`.
        bytes_per_s: The bandwidth; 0 means unlimited.
        cut: The number of active faults that cut the link.
    """

    delay_us: int = 0
    jitter: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    bytes_per_s: float = 0.0
    cut: int = 0


class StreamLink:
    """One direction of one TCP connection."""

    def __init__(self, conditions: LinkConditions, rng: random.Random) -> None:
        self.conditions = conditions
        self._rng = rng
        self._last_arrival_us = 0
        self._in_transit: deque[tuple[int, bytes]] = deque()  # (arrival time or UNSCHEDULED_US, data) in order
        self._first_held_us: int | None = None  # the time of the first bytes that were sent during the current cut

    def send(self, now_us: int, data: bytes) -> None:
        """Send bytes; during a cut they are held back until `end_cut`."""
        if self.conditions.cut:
            if self._first_held_us is None:
                self._first_held_us = now_us
            self._in_transit.append((UNSCHEDULED_US, data))
            return
        self._in_transit.append((self._schedule_arrival(now_us, len(data)), data))

    def take_arrived(self, now_us: int) -> list[bytes]:
        """Remove and return the data that has arrived at the other end by now, in order."""
        if self.conditions.cut:
            return []  # data in transit at the start of the cut is lost, and TCP retransmits it after the cut
        arrived: list[bytes] = []
        while self._in_transit and 0 <= self._in_transit[0][0] <= now_us:
            arrived.append(self._in_transit.popleft()[1])
        return arrived

    def next_arrival_us(self) -> int | None:
        """Return when the next bytes arrive; None if nothing is in transit or the link is cut."""
        if self.conditions.cut or not self._in_transit:
            return None
        arrival_us = self._in_transit[0][0]
        return None if arrival_us == UNSCHEDULED_US else arrival_us

    def end_cut(self, now_us: int) -> None:
        """End a cut, and schedule the arrival of all bytes that have not arrived.

        TCP's next retransmission delivers them. Its backoff, and so the longest wait, grows with the time since bytes
        were first sent during the cut.
        """
        held_since_us = now_us if self._first_held_us is None else self._first_held_us
        self._first_held_us = None
        backoff_us = min(max(now_us - held_since_us, RETRANSMIT_US), MAX_BACKOFF_US)
        retransmit_at_us = now_us + int(self._rng.random() * backoff_us)
        held, self._in_transit = self._in_transit, deque()
        for _, data in held:
            arrival_us = max(self._schedule_arrival(now_us, len(data)), retransmit_at_us)
            self._in_transit.append((arrival_us, data))
            self._last_arrival_us = arrival_us

    @property
    def bytes_in_transit(self) -> int:
        """The number of bytes sent and not yet taken at the other end."""
        return sum(len(data) for _, data in self._in_transit)

    def _schedule_arrival(self, now_us: int, size: int) -> int:
        conditions = self.conditions
        arrival_us = now_us + _delay_us(conditions, self._rng)
        if conditions.loss and self._rng.random() < conditions.loss:
            arrival_us += RETRANSMIT_US
        if conditions.bytes_per_s:
            arrival_us = max(arrival_us, self._last_arrival_us) + int(size * 1e6 / conditions.bytes_per_s)
        self._last_arrival_us = max(arrival_us, self._last_arrival_us)
        return self._last_arrival_us


class DatagramLink:
    """One direction of the datagram traffic between two addresses."""

    def __init__(self, conditions: LinkConditions, rng: random.Random) -> None:
        self.conditions = conditions
        self._rng = rng

    def send(self, now_us: int, data: bytes) -> list[tuple[int, bytes]]:
        """Send a datagram.

        Returns:
            The arrival time and the data of each copy; an empty list if the datagram is lost.
        """
        conditions, rng = self.conditions, self._rng
        if conditions.cut or self._happens(conditions.loss):
            return []
        copies = 2 if self._happens(conditions.duplicate) else 1
        reorder_delay_us = int(rng.random() * MAX_REORDER_DELAY_US) if self._happens(conditions.reorder) else 0
        return [(now_us + _delay_us(conditions, rng) + reorder_delay_us, data) for _ in range(copies)]

    def _happens(self, share: float) -> bool:
        """Draw whether a fault affects this datagram; a share of 0 consumes no random number."""
        return share > 0 and self._rng.random() < share


def _delay_us(conditions: LinkConditions, rng: random.Random) -> int:
    if not conditions.jitter:
        return conditions.delay_us
    return int(conditions.delay_us * (1 + conditions.jitter * (2 * rng.random() - 1)))
