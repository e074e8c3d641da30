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
# Reading has caught up with a client if no read was full and no pause ended for this time, which is longer than the
# interval of the checks by which `EventLoopLag` detects a pause of this process.
CAUGHT_UP_US = 150_000
SEND_BUFFER_LIMIT = 4 * 1024 * 1024  # bytes; Linux's default for TCP
MAX_SEGMENT_SIZE = 64 * 1024  # bytes that a kernel queues at once; it does so while the queue is below its limit
# The number of bytes that a client's kernel holds at most, with the segment that exceeds the limit and the one that is
# being filled.
MAX_SEND_BUFFER_SIZE = SEND_BUFFER_LIMIT + 2 * MAX_SEGMENT_SIZE


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
        read_at_us: The time of the most recent read; 0 if the current request has none.
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
        self._is_first_poll = (
            False  # whether bytes that are read may have arrived before the event loop started to read
        )
        self.reset()

    def reset(self) -> None:
        """Reset the state for the connection's next request."""
        self.arrived_us = 0
        self.paused_since_us = 0
        self.read_at_us = 0
        self._backlog_since_us = 0  # the earliest arrival time of bytes that may be unread; 0 = all have been read
        self._backlog_seen_us = 0  # the time of the latest full read or end of a pause

    def start_reading(self) -> int:
        """Record that the event loop starts to read the connection now, and return the current time."""
        self._reading_started_us = monotonic_us()
        self._is_first_poll = True
        return self._reading_started_us

    def end_first_poll(self) -> None:
        """Record that the event loop has read all bytes that arrived before it started to read, however slow it is."""
        self._is_first_poll = False

    def record_read(self, *, first_request: bool, is_full: bool = False) -> None:
        """Update the arrival time for bytes that have just been read.

        After a pause of this process, the event loop reads all bytes that arrived during the pause in several reads
        shortly after each other, so bytes from the later reads may be as old as those from the first. A pause has
        taken place if the previous bytes arrived clearly earlier than they were read.

        Args:
            first_request: Whether the connection has not carried a valid request yet.
            is_full: Whether the read filled the buffer, so that more bytes may be unread.
        """
        now_us = monotonic_us()
        arrived_us = self._earliest_arrival_us(first_request=first_request)
        if arrived_us > self._backlog_seen_us + CAUGHT_UP_US:
            self._backlog_since_us = 0
        same_burst = now_us < self.read_at_us + BURST_WINDOW_US and self.arrived_us < self.read_at_us - BURST_WINDOW_US
        if same_burst and arrived_us < self.arrived_us + MAX_BURST_US:
            arrived_us = min(arrived_us, self.arrived_us)
        self.arrived_us = min(arrived_us, self._backlog_since_us or arrived_us)
        self.read_at_us = now_us
        if is_full:
            self._backlog_since_us = self._backlog_since_us or arrived_us
            self._backlog_seen_us = now_us

    def pause(self) -> None:
        """Record that reading of the body is paused."""
        self.paused_since_us = self.paused_since_us or self._loop_earliest_arrival_us()
        self._backlog_since_us = self._backlog_since_us or min(self.paused_since_us, self.arrived_us)

    def hold_back(self) -> None:
        """Record that reading is held back for a moment, so that bytes wait which have arrived already."""
        self._backlog_since_us = self._backlog_since_us or self.arrived_us
        self._backlog_seen_us = monotonic_us()

    def restart_pause(self, now_us: int) -> None:
        """Count the duration of the current pause from now."""
        self.paused_since_us = now_us

    def resume(self) -> None:
        """Record that reading of the body continues."""
        self.paused_since_us = 0
        self._backlog_seen_us = monotonic_us()

    def unread_end_since_us(self, missing_size: int | None) -> int:
        """Return the earliest time at which the client may have written the end of a body that is not read to its end.

        The client's deadline runs from that time. The end may wait in the kernel of this machine or of the client.

        Args:
            missing_size: The number of body bytes that have not been read; None if the body's length is unknown.

        Returns:
            The time; 0 if all bytes that the client may have written have been read, and the end is not among them.
        """
        if self._has_caught_up():
            self._backlog_since_us = 0
        elif self._backlog_since_us and not self._kernels_can_hold(missing_size):
            self._backlog_since_us = monotonic_us()
        return self._backlog_since_us

    def _has_caught_up(self) -> bool:
        """Return whether nothing is unread although reading has not been paused for some time."""
        if self.paused_since_us or monotonic_us() <= self._backlog_seen_us + CAUGHT_UP_US:
            return False
        return self._sock is None or self._sock.unread_size() == 0

    def _kernels_can_hold(self, size: int | None) -> bool:
        """Return whether the rest of a body may wait in the kernels of this machine and of the client."""
        if size is None or self._sock is None:
            return True
        return size <= self._sock.unread_size() + MAX_SEND_BUFFER_SIZE

    def _earliest_arrival_us(self, *, first_request: bool) -> int:
        arrived_us = self._loop_earliest_arrival_us()
        is_first_burst = self._is_first_poll or monotonic_us() < self._reading_started_us + BURST_WINDOW_US
        if first_request and is_first_burst:
            arrived_us = min(arrived_us, self.accepted_us)
        if self._sock is not None:
            arrived_us = min(arrived_us, self._sock.read_failures.first_failure_us() or arrived_us)
        return arrived_us
