"""Estimates of the earliest time at which the bytes read from clients arrived.

While this process is paused or short of memory, received bytes wait in the kernel, and the client's deadline already
runs. The arrival time of a request is therefore the last time at which the request was known not to have arrived. All
times are monotonic microseconds.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.sockets import ShortageTolerantSocket

# Bytes that are read within this time after the set-up of a connection or after a previous read may have arrived
# together with the connection or with the previous bytes.
BURST_WINDOW_US = 20_000
# All bytes of a burst of reads are estimated to be as old as the first bytes of the burst. If the estimate for a later
# read alone is at least this much later, the body has kept arriving after the pause, and that estimate is used instead.
MAX_BURST_US = 500_000


class EventLoopLag:
    """Detects pauses of the event loop from the delay of a periodic check."""

    def __init__(self) -> None:
        self._next_check_due_us = 0  # 0 means that no check has run yet
        self._last_check_due_us = 0

    def record_check(self, checked_at_us: int, interval_us: int) -> None:
        """Record that the event loop has read all bytes that had arrived before a check."""
        self._last_check_due_us = self._next_check_due_us
        self._next_check_due_us = checked_at_us + interval_us

    def earliest_arrival_us(self) -> int:
        """Return the earliest time at which bytes that are read now may have arrived."""
        if self._next_check_due_us:
            return min(monotonic_us(), self._next_check_due_us)
        return monotonic_us()

    def earliest_signal_us(self) -> int:
        """Return the earliest time at which a signal that is handled now may have arrived.

        After a pause, the event loop handles a signal only some iterations after the check that the pause has delayed.
        """
        return min(self.earliest_arrival_us(), self._last_check_due_us or self.earliest_arrival_us())


class ArrivalTimes:
    """The earliest arrival times on one connection.

    Attributes:
        accepted_us: The earliest time at which the client may have connected.
        arrived_us: The earliest time at which the most recently read bytes may have arrived.
        paused_since_us: The time from which the pause in reading the body counts; 0 while it is not paused.
    """

    def __init__(
        self, accepted_us: int, loop_earliest_arrival_us: Callable[[], int], sock: ShortageTolerantSocket | None
    ) -> None:
        """Initialize for a connection that has just been accepted.

        Args:
            accepted_us: The earliest time at which the client may have connected.
            loop_earliest_arrival_us: Returns the earliest time at which bytes that are read now may have arrived,
                judged by the delays of the event loop.
            sock: The connection's socket. Without it, the estimates do not use information from the kernel.
        """
        self.accepted_us = accepted_us
        self._loop_earliest_arrival_us = loop_earliest_arrival_us
        self._sock = sock
        self._reading_started_us = 0  # the time at which the event loop started to read the connection
        self.reset()

    def reset(self) -> None:
        """Reset the state for the connection's next request."""
        self.arrived_us = 0
        self.paused_since_us = 0
        self._read_at_us = 0  # the time of the most recent read
        self._incomplete_at_us = 0  # the last time at which the kernel held only a part of a paused body's rest
        self._complete_since_us = 0  # the earliest time at which the kernel may have held the whole rest

    def start_reading(self) -> int:
        """Record that the event loop starts to read the connection now, and return the current time."""
        self._reading_started_us = monotonic_us()
        return self._reading_started_us

    def record_read(self, *, first_request: bool) -> None:
        """Update the arrival time for bytes that have just been read.

        After a pause of this process, the event loop reads all bytes that arrived during the pause in several reads
        shortly after each other, so bytes from the later reads may be as old as those from the first. A pause has
        taken place if the previous bytes arrived clearly earlier than they were read.

        Args:
            first_request: Whether the connection has not carried a valid request yet.
        """
        now_us = monotonic_us()
        arrived_us = self._earliest_arrival_us(first_request=first_request)
        same_burst = (
            now_us < self._read_at_us + BURST_WINDOW_US and self.arrived_us < self._read_at_us - BURST_WINDOW_US
        )
        if same_burst and arrived_us < self.arrived_us + MAX_BURST_US:
            arrived_us = min(arrived_us, self.arrived_us)
        self.arrived_us = arrived_us
        self._read_at_us = now_us

    def pause(self) -> None:
        """Record that reading of the body is paused."""
        self.paused_since_us = self.paused_since_us or self._loop_earliest_arrival_us()

    def restart_pause(self, now_us: int) -> None:
        """Count the duration of the current pause from now."""
        self.paused_since_us = now_us

    def resume(self) -> None:
        """Record that reading of the body continues."""
        self.paused_since_us = 0
        self._incomplete_at_us = 0

    def complete_unread_since_us(self, missing_size: int | None) -> int:
        """Return the earliest time at which the kernel may have held the whole rest of a paused body; 0 if unknown.

        The client's deadline runs from that time, although the last byte has not been read. If no earlier call found
        the rest incomplete, it may have been complete when reading paused, or as soon as the last read bytes arrived.

        Args:
            missing_size: The number of body bytes that have not been read; None if the body's length is unknown.
        """
        if self.paused_since_us and not self._complete_since_us and missing_size is not None and self._sock is not None:
            if self._sock.unread_size() >= missing_size:
                self._complete_since_us = self._incomplete_at_us or min(self.paused_since_us, self.arrived_us)
            else:
                self._incomplete_at_us = monotonic_us()
        return self._complete_since_us

    def _earliest_arrival_us(self, *, first_request: bool) -> int:
        arrived_us = self._loop_earliest_arrival_us()
        if first_request and monotonic_us() < self._reading_started_us + BURST_WINDOW_US:
            arrived_us = min(arrived_us, self.accepted_us)
        if self._sock is not None:
            arrived_us = min(arrived_us, self._sock.read_failures.first_failure_us() or arrived_us)
        return min(arrived_us, self._complete_since_us or arrived_us)
