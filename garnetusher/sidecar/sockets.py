"""Sockets that tolerate a temporary shortage of memory, and the errors that this machine causes, not a peer."""

from __future__ import annotations

import array
import asyncio
import contextlib
import errno
import fcntl
import select
import selectors
import socket
import struct
import termios
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

# The time between tries of a call that fails with a local error; it is short compared with the shortest deadlines.
RETRY_INTERVAL_S = 0.02
# Calls belong to one streak of failures if each follows the previous failure within this time; see `FailureStreak`.
MAX_FAILURE_GAP_US = 50_000
# The whole process blocks while it retries to add a descriptor to epoll, so it retries more often than other calls.
EPOLL_RETRY_TIMEOUT_S = 0.5
EPOLL_RETRY_INTERVAL_S = RETRY_INTERVAL_S / 4

# Errors that this machine causes. A call that fails with one may be tried again, and the error is no evidence against
# a peer.
SHORTAGES = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM))
LOCAL_ERRORS = SHORTAGES | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EACCES,
    errno.EPERM,
    errno.EINTR,
    errno.ENOSPC,  # epoll_ctl: the limit on watched descriptors is reached
}
EPOLL_SHORTAGES = frozenset((errno.ENOMEM, errno.ENOSPC))  # epoll has no memory for a further descriptor
SHORTAGE_TEXT = "short of memory or buffers"
ZERO_LINGER = struct.pack("ii", 1, 0)  # struct linger with l_onoff = 1 and l_linger = 0 s


def is_local_error(error: OSError) -> bool:
    """Return whether a call failed because of this machine and not because of a peer."""
    return error.errno in LOCAL_ERRORS


def _shortage_error() -> BlockingIOError:
    """Return the error that makes the event loop try again.

    Callers raise any other error with a bare `raise`. A function that raised it as its argument would be part of the
    traceback and refer to the error, so only the garbage collector would free both and the bytes to send.
    """
    return BlockingIOError(errno.EAGAIN, SHORTAGE_TEXT)


class FailureStreak:
    """Consecutive failed calls to read bytes or accept a connection, and when the first of them failed.

    If a call succeeds within MAX_FAILURE_GAP_US after a failure, the data or connection that it returns is assumed to
    have waited since the first failure of the streak. What a later call returns may have arrived after the failures.
    """

    __slots__ = ("_first_failure_us", "_last_failure_us")

    def __init__(self) -> None:
        self._first_failure_us = 0
        self._last_failure_us = 0

    def record_failure(self) -> None:
        """Record a failed call."""
        now_us = time.monotonic_ns() // 1000
        if now_us > self._last_failure_us + MAX_FAILURE_GAP_US:
            self._first_failure_us = now_us
        self._last_failure_us = now_us

    def first_failure_us(self) -> int:
        """Return the time of the first failure of the current streak.

        Data or a connection that a call returns now may have waited since that time.

        Returns:
            The time in microseconds; 0 if no call failed within the last MAX_FAILURE_GAP_US.
        """
        now_us = time.monotonic_ns() // 1000
        return self._first_failure_us if now_us <= self._last_failure_us + MAX_FAILURE_GAP_US else 0


class ShortageTolerantSocket(socket.socket):
    """A socket that reports a shortage of memory or buffers as BlockingIOError.

    The event loop closes the connection after any other error, and the requests in flight on it would be lost.

    Attributes:
        read_failures: the consecutive failed reads.
        write_shortages: the consecutive writes that failed because of a shortage.
    """

    __slots__ = ("read_failures", "write_shortages")

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.read_failures = FailureStreak()
        self.write_shortages = FailureStreak()

    def setsockopt(self, *arguments: Any) -> None:
        """Set an option as `socket.setsockopt` does, but skip TCP_NODELAY if there is no memory for it."""
        try:
            super().setsockopt(*arguments)
        except OSError as error:
            if error.errno not in SHORTAGES or arguments[:2] != (socket.IPPROTO_TCP, socket.TCP_NODELAY):
                raise

    def connect(self, address: Any, /) -> None:
        """Connect as `socket.connect` does, but raise EAGAIN, a shortage of routing cache entries, as ENOBUFS.

        EAGAIN and EINPROGRESS are both a BlockingIOError, and the event loop waits for the connection after either.
        """
        try:
            super().connect(address)
        except BlockingIOError as error:
            if error.errno != errno.EAGAIN:
                raise
            raise OSError(errno.ENOBUFS, SHORTAGE_TEXT) from None

    def is_connected(self) -> bool:
        """Return whether the connection is established and has not broken."""
        try:
            self.getpeername()
        except OSError:
            return False
        return True

    def send(self, data: ReadableBuffer, flags: int = 0, /) -> int:
        """Send as `socket.send` does; a shortage raises BlockingIOError."""
        try:
            return super().send(data, flags)
        except OSError as error:
            if error.errno not in SHORTAGES:
                raise
            self.write_shortages.record_failure()
            raise _shortage_error() from None

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Read as `socket.recv_into` does; a shortage raises BlockingIOError."""
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            self.read_failures.record_failure()
            if error.errno not in SHORTAGES:
                raise
            raise _shortage_error() from None

    def peer_has_ended(self) -> bool:
        """Return whether the peer has closed the connection or its sending side; the event loop may not know yet."""
        if self.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self.fileno(), select.POLLRDHUP)
        try:
            return bool(poll.poll(0))
        except OSError:  # poll is short of memory; the event loop detects the end later
            return False

    def unread_size(self) -> int:
        """Return the number of bytes that wait in the kernel to be read; 0 after an error or a close."""
        return self._queue_size(termios.FIONREAD)

    def unacknowledged_size(self) -> int:
        """Return the number of sent bytes that the peer's kernel has not acknowledged; 0 after an error or a close."""
        return self._queue_size(termios.TIOCOUTQ)

    def _queue_size(self, ioctl_request: int) -> int:
        if self.fileno() < 0:
            return 0
        size = array.array("i", [0])
        try:
            fcntl.ioctl(self.fileno(), ioctl_request, size)
        except OSError:
            return 0
        return size[0]

    def acknowledge_now(self) -> bool:
        """Make this machine acknowledge all received bytes at once; return whether that was possible.

        The kernel otherwise delays the acknowledgement by up to 200 ms or until this side sends. The kernel of a peer
        without TCP_NODELAY holds small writes back until then (RFC 896).
        """
        try:
            super().setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
        except OSError:
            return False
        return True

    def reset_at_close(self) -> None:
        """Make a later close reset the connection, so that the peer does not see an orderly close."""
        with contextlib.suppress(OSError):
            super().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)

    @classmethod
    def adopt(cls, sock: socket.socket) -> ShortageTolerantSocket:
        """Return a ShortageTolerantSocket that takes over the descriptor of a socket."""
        return cls(sock.family, sock.type, sock.proto, fileno=sock.detach())


class RetryingEpollSelector(selectors.EpollSelector):
    """An epoll selector that retries to add a descriptor while this machine is short of memory.

    The process blocks meanwhile. Without the retry, the event loop would never learn of the connection, and the
    connection would be lost.

    Attributes:
        first_descriptor: the descriptor whose events are returned before all others; -1 = none.
    """

    def __init__(self) -> None:
        super().__init__()
        self.first_descriptor = -1

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events as `EpollSelector.select` does, and return those of `first_descriptor` first.

        A wait that a pause of this process interrupts returns no events once its timeout is over. The descriptors are
        therefore polled again, so that the event loop handles what arrived during the pause before its timers.
        """
        events = super().select(timeout)
        if not events and timeout != 0:
            events = super().select(0)
        for index, (key, _) in enumerate(events):
            if key.fd == self.first_descriptor:
                events.insert(0, events.pop(index))
                break
        return events

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Add a descriptor, with retries for EPOLL_RETRY_TIMEOUT_S."""
        retry_until_s = time.monotonic() + EPOLL_RETRY_TIMEOUT_S
        while True:
            try:
                return super().register(fileobj, events, data)
            except OSError as error:
                if error.errno not in EPOLL_SHORTAGES or time.monotonic() >= retry_until_s:
                    raise
            time.sleep(EPOLL_RETRY_INTERVAL_S)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events of a descriptor; if epoll fails, remove the descriptor and add it again with retries.

        The change alone needs no memory, but adding the descriptor again does.
        """
        descriptor = self.get_key(fileobj).fd
        try:
            return super().modify(fileobj, events, data)
        except OSError:  # the inherited method has removed the key, but not the descriptor
            with contextlib.suppress(OSError):
                self._selector.unregister(descriptor)  # type: ignore[attr-defined]
            return self.register(fileobj, events, data)


class SidecarEventLoop(asyncio.SelectorEventLoop):
    """An event loop that uses epoll, even if the `selectors` module could not use epoll when it was imported."""

    def __init__(self) -> None:
        self._epoll = RetryingEpollSelector()
        super().__init__(self._epoll)

    def handle_first(self, descriptor: int) -> None:
        """Handle the events of this descriptor before all others that are ready in the same iteration."""
        self._epoll.first_descriptor = descriptor
