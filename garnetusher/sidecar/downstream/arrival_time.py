"""When the bytes that are read from clients arrived, at the earliest.

While this process is held up or short of memory, bytes wait in the kernel and the time of their client runs. A request
is therefore dated by the last moment in which it was not there yet. All times are monotonic microseconds.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.sockets import ShortageTolerantSocket

BURST_WINDOW_US = (
    20_000  # bytes read so soon after the set-up, or after other bytes, may have arrived together with them
)
MAX_BURST_US = 500_000  # of a body that keeps coming after a hold-up, what was read so long after its start is new


class EventLoopLag:
    """Dates by a periodic check that is overdue for how long the event loop may have been held up."""

    def __init__(self) -> None:
        self._next_check_due_us = 0  # 0: no check has run yet

    def record_check(self, checked_at_us: int, interval_us: int) -> None:
        """Record that all that had arrived at the time of a check has been read."""
        self._next_check_due_us = checked_at_us + interval_us

    def earliest_arrival_us(self) -> int:
        """Return when bytes that are read now arrived, at the earliest."""
        if self._next_check_due_us:
            return min(monotonic_us(), self._next_check_due_us)
        return monotonic_us()


class ArrivalTimes:
    """The earliest times of arrival on one connection.

    Attributes:
        accepted_us: when the connection was made, at the earliest.
        arrived_us: when the bytes that were read last arrived, at the earliest.
        paused_since_us: since when the body is not read on; 0 while it is.
    """

    def __init__(
        self, accepted_us: int, loop_earliest_arrival_us: Callable[[], int], sock: ShortageTolerantSocket | None
    ) -> None:
        """Begin with a connection that has just been accepted.

        Args:
            accepted_us: when it was made, at the earliest.
            loop_earliest_arrival_us: when bytes read now arrived, as far as the event loop knows.
            sock: the connection's socket; without one the kernel can't be asked about it.
        """
        self.accepted_us = accepted_us
        self._loop_earliest_arrival_us = loop_earliest_arrival_us
        self._sock = sock
        self._set_up_us = 0  # when the event loop began to read it
        self.reset()

    def reset(self) -> None:
        """Begin a new request."""
        self.arrived_us = 0
        self.paused_since_us = 0
        self._read_at_us = 0  # when bytes were last read
        self._incomplete_at_us = 0  # when the rest of a paused body was last seen not to be in the kernel
        self._complete_since_us = 0  # since when it has been there, at the earliest; 0: it was not seen there

    def start_reading(self) -> int:
        """Record that the event loop reads the connection from now on; return the time."""
        self._set_up_us = monotonic_us()
        return self._set_up_us

    def record_read(self, *, first_request: bool) -> None:
        """Date bytes that have just been read.

        After a hold-up all that had arrived meanwhile is read piece by piece without a pause: the later pieces are as
        old as the first one.

        Args:
            first_request: the connection has not carried a valid request yet.
        """
        now_us = monotonic_us()
        arrived_us = self._earliest_arrival_us(first_request=first_request)
        in_burst = now_us < self._read_at_us + BURST_WINDOW_US and self.arrived_us < self._read_at_us - BURST_WINDOW_US
        if in_burst and arrived_us < self.arrived_us + MAX_BURST_US:
            arrived_us = min(arrived_us, self.arrived_us)
        self.arrived_us = arrived_us
        self._read_at_us = now_us

    def pause(self) -> None:
        """Record that the body is not read on from now on."""
        self.paused_since_us = self.paused_since_us or self._loop_earliest_arrival_us()

    def resume(self) -> None:
        """Record that the body is read on."""
        self.paused_since_us = 0
        self._incomplete_at_us = 0

    def complete_unread_since_us(self, missing_size: int | None) -> int:
        """Return since when all of a paused body has been in the kernel, at the earliest; 0 if it is still to come.

        Its client's time has begun then, though the last byte has not been read.

        Args:
            missing_size: the bytes of the body that have not been read; None if its length is not known.
        """
        if self.paused_since_us and not self._complete_since_us and missing_size is not None and self._sock is not None:
            if self._sock.unread_size() >= missing_size:
                self._complete_since_us = self._incomplete_at_us or min(self.paused_since_us, self.arrived_us)
            else:
                self._incomplete_at_us = monotonic_us()
        return self._complete_since_us

    def _earliest_arrival_us(self, *, first_request: bool) -> int:
        arrived_us = self._loop_earliest_arrival_us()
        if first_request and monotonic_us() < self._set_up_us + BURST_WINDOW_US:
            arrived_us = min(arrived_us, self.accepted_us)
        if self._sock is not None:
            arrived_us = min(arrived_us, self._sock.read_failures.since_us() or arrived_us)
        return min(arrived_us, self._complete_since_us or arrived_us)
