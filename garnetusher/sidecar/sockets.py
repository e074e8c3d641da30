"""Sockets on a machine that is short of memory for a moment, and which errors are local and say nothing of a peer."""

from __future__ import annotations

import array
import contextlib
import errno
import fcntl
import select
import selectors
import socket
import struct
import termios
import time
from typing import TYPE_CHECKING, Any, NoReturn

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

RETRY_S = 0.02  # between tries of a call that fails on this machine: short beside the shortest deadlines
STALL_GAP_US = 50_000  # a call that succeeds so soon after a failed one takes what that one could not take
EPOLL_PATIENCE_S = 0.5  # for which the process stands still to add a descriptor to epoll
EPOLL_RETRY_S = RETRY_S / 4  # the process stands still meanwhile

# Errors of this machine: what fails with them may be tried again, and they are no evidence against a peer.
SHORTAGES = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM))
OWN_ERRORS = SHORTAGES | {
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.EAGAIN,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EACCES,
    errno.EPERM,
    errno.EINTR,
}
SHORTAGE_TEXT = "short of memory or buffers"
LINGER_FOR_NO_TIME = struct.pack("ii", 1, 0)  # a struct linger: on, 0 s


def is_own(error: OSError) -> bool:
    """Return whether a call failed because of this machine."""
    return error.errno in OWN_ERRORS


def _raise_as_blocking(error: OSError) -> NoReturn:
    """Raise a shortage as BlockingIOError, after which the event loop tries again; other errors as they are."""
    if error.errno in SHORTAGES:
        raise BlockingIOError(errno.EAGAIN, SHORTAGE_TEXT) from None
    raise error


class Stall:
    """A row of failed tries to take something, and when it began.

    What is taken within STALL_GAP_US of a failed try is what that try wanted; later it is something else.
    """

    __slots__ = ("_first_failure_us", "_last_failure_us")

    def __init__(self) -> None:
        self._first_failure_us = 0
        self._last_failure_us = 0

    def note(self) -> None:
        """Record a failed try."""
        now_us = time.monotonic_ns() // 1000
        if now_us > self._last_failure_us + STALL_GAP_US:
            self._first_failure_us = now_us
        self._last_failure_us = now_us

    def since_us(self) -> int:
        """Return the earliest time at which what is taken now was there; 0 if it was taken at once."""
        now_us = time.monotonic_ns() // 1000
        return self._first_failure_us if now_us <= self._last_failure_us + STALL_GAP_US else 0


class SteadySocket(socket.socket):
    """A socket that reports a shortage of memory or buffers as BlockingIOError.

    The event loop takes any other error for the end of the connection, and what is in flight on it would be lost.

    Attributes:
        reads: since when reads have failed.
    """

    __slots__ = ("reads",)

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.reads = Stall()

    def setsockopt(self, *arguments: Any) -> None:
        """Set an option as `socket.setsockopt` does, but leave out TCP_NODELAY where there is no memory for it."""
        try:
            super().setsockopt(*arguments)
        except OSError as error:
            if error.errno not in SHORTAGES or arguments[:2] != (socket.IPPROTO_TCP, socket.TCP_NODELAY):
                raise

    def send(self, data: ReadableBuffer, flags: int = 0, /) -> int:
        """Send as `socket.send` does; a shortage raises BlockingIOError."""
        try:
            return super().send(data, flags)
        except OSError as error:
            _raise_as_blocking(error)

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Read as `socket.recv_into` does; a shortage raises BlockingIOError."""
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            self.reads.note()
            _raise_as_blocking(error)

    def peer_has_ended(self) -> bool:
        """Return whether the peer has closed or ended its sending side, which the event loop may not know yet."""
        if self.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self.fileno(), select.POLLRDHUP)
        try:
            return bool(poll.poll(0))
        except OSError:  # short of memory: the event loop finds out later
            return False

    def unread(self) -> int:
        """Return how many bytes wait in the kernel to be read; 0 if it can't say."""
        size = array.array("i", [0])
        try:
            fcntl.ioctl(self.fileno(), termios.FIONREAD, size)
        except OSError:
            return 0
        return size[0]

    def reset_at_close(self) -> None:
        """Let its close reset the connection, so that the peer does not take it for an orderly end."""
        with contextlib.suppress(OSError):
            super().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_FOR_NO_TIME)

    @classmethod
    def adopt(cls, sock: socket.socket) -> SteadySocket:
        """Return the same socket in this class."""
        return cls(sock.family, sock.type, sock.proto, fileno=sock.detach())


class PatientSelector(selectors.EpollSelector):
    """An epoll that waits to add a descriptor on a machine that is short for a moment.

    The process stands still meanwhile; a connection that the event loop never heard of would be lost.
    """

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Add a descriptor, with retries for EPOLL_PATIENCE_S."""
        ends_at_s = time.monotonic() + EPOLL_PATIENCE_S
        while True:
            try:
                return super().register(fileobj, events, data)
            except OSError as error:
                if error.errno not in (errno.ENOMEM, errno.ENOSPC) or time.monotonic() >= ends_at_s:
                    raise
            time.sleep(EPOLL_RETRY_S)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change it in two steps: `selectors`' own call forgets the descriptor where it fails."""
        self.unregister(fileobj)
        return self.register(fileobj, events, data)
