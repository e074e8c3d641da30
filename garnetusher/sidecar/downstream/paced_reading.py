"""Pauses and resumes the reads of one client connection, for its owner and for the effort that its bytes cause."""

from __future__ import annotations

import asyncio

from garnetusher.sidecar.downstream.arrival_time import ArrivalTimes
from garnetusher.sidecar.read_pacing import PacedConnections, ReadPacer
from garnetusher.sidecar.sockets import RETRY_INTERVAL_S

DISCARDED_BYTES_PER_CALL = 256  # discarding so many bytes counts as one call of the parser
UNPACED_DISCARDED_SIZE = 1024 * 1024  # bytes of a connection that are discarded at full speed


class PacedReading:
    """Reads while neither the owner nor the effort of the last read requires a pause.

    Attributes:
        is_paced: whether reading is paused because the last read was costly.
    """

    def __init__(self, arrival_times: ArrivalTimes, paced_connections: PacedConnections) -> None:
        """Initialize for a connection without a transport.

        Args:
            arrival_times: the arrival times of the connection, which count bytes that wait.
            paced_connections: all connections that are paused for their effort.
        """
        self.is_paced = False
        self._arrival_times = arrival_times
        self._paced_connections = paced_connections
        self._pacer = ReadPacer()
        self._is_paused = False  # whether the owner has paused reading
        self._discarded_size = 0  # number of bytes that were read but not parsed
        self._transport: asyncio.Transport | None = None

    def connect(self, transport: asyncio.Transport) -> None:
        """Set the transport of the connection, which reads already."""
        self._transport = transport

    @property
    def read_size(self) -> int:
        """The largest number of bytes that the next read may take."""
        return self._pacer.read_size

    def pause(self) -> None:
        """Pause reading for the owner."""
        self._is_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading for the owner; a pause for the effort goes on."""
        self._is_paused = False
        self._resume_unless_paused()

    def record_read(self, size: int, calls: int) -> None:
        """Adapt to a read, and pause if it was costly.

        Args:
            size: the number of bytes that were read.
            calls: the number of calls of the parser that they caused.
        """
        if self._pacer.record_read(size, calls):
            self._pace()

    def record_discarded(self, size: int) -> None:
        """Adapt to a read whose bytes were discarded; the rest of an ordinary request costs no pauses."""
        self._discarded_size += size
        is_costly = self._discarded_size > UNPACED_DISCARDED_SIZE
        self.record_read(size, size // DISCARDED_BYTES_PER_CALL if is_costly else 0)

    def _pace(self) -> None:
        """Stop reading for a moment, so that the bytes of this client wait in the kernel."""
        if self.is_paced or self._transport is None or self._transport.is_closing():
            return
        self.is_paced = True
        self._arrival_times.hold_back()
        self._transport.pause_reading()
        asyncio.get_running_loop().call_later(self._paced_connections.pause_s, self._end_pace)
        self._paced_connections.count += 1

    def _end_pace(self) -> None:
        self.is_paced = False
        try:
            self._resume_unless_paused()
        except OSError:  # epoll can't watch the socket now
            self.is_paced = True
            asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._end_pace)
            return
        self._arrival_times.hold_back()
        self._paced_connections.count -= 1

    def _resume_unless_paused(self) -> None:
        is_paused = self._is_paused or self.is_paced
        if self._transport is not None and not is_paused and not self._transport.is_closing():
            self._transport.resume_reading()
