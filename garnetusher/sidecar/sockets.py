"""Sockets on a machine that runs short for a moment, and which errors speak of that machine and not of a peer."""

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
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NoReturn

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

RETRY_S = 0.02  # after a call that failed for want of something here: short beside the shortest deadlines
AT_ONCE_US = 50_000  # a read that succeeds so soon after one that did not reads what that one wanted
STAND_STILL_S = 0.5  # within which a descriptor has to find its place in epoll
CONNECTIONS_A_ROUND = 64  # accepted before the loop goes on to those that are there

# errors of this machine: what they stop may be tried again, and they are no evidence against anybody else
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
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # lingering for no time


def is_own(error: OSError) -> bool:
    """Whether a call failed because of this machine."""
    return error.errno in OWN_ERRORS


def _later_if_short(error: OSError) -> NoReturn:
    if error.errno in SHORTAGES:
        raise BlockingIOError(errno.EAGAIN, "short of memory or buffers") from None
    raise error


class Stall:
    """Since when something that is there could not be taken, as it is tried again and again.

    What is taken soon after a try that failed is what that try wanted; later it is something else."""

    __slots__ = ("_last_us", "_since_us")

    def __init__(self) -> None:
        self._since_us = self._last_us = 0

    def note(self) -> None:
        """It could not be taken just now."""
        now_us = time.monotonic_ns() // 1000
        if now_us > self._last_us + AT_ONCE_US:
            self._since_us = now_us
        self._last_us = now_us

    def since_us(self) -> int:
        """When what is taken now was there at the soonest; 0 if it was taken at once."""
        return self._since_us if time.monotonic_ns() // 1000 <= self._last_us + AT_ONCE_US else 0


class SteadySocket(socket.socket):
    """A socket whose transfers find the kernel busy, and not broken, where it is short of memory or buffers.

    The event loop takes any other error for the end of the connection, and what is under way on it would be lost."""

    __slots__ = ("reads",)

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.reads = Stall()  # of what is to be read

    def setsockopt(self, *arguments: Any) -> None:
        """As `socket.setsockopt`, but without TCP_NODELAY where there is no memory for it."""
        try:
            super().setsockopt(*arguments)
        except OSError as error:
            if error.errno not in SHORTAGES or arguments[:2] != (socket.IPPROTO_TCP, socket.TCP_NODELAY):
                raise

    def send(self, data: ReadableBuffer, flags: int = 0, /) -> int:
        """As `socket.send`; raises BlockingIOError on a shortage."""
        try:
            return super().send(data, flags)
        except OSError as error:
            _later_if_short(error)

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """As `socket.recv_into`; raises BlockingIOError on a shortage."""
        try:
            return super().recv_into(buffer, nbytes, flags)
        except OSError as error:
            self.reads.note()
            _later_if_short(error)

    def peer_has_ended(self) -> bool:
        """Whether the kernel knows that the peer has closed, or ended its sending side; the loop may not know yet."""
        if self.fileno() < 0:
            return True
        look = select.poll()
        look.register(self.fileno(), select.POLLRDHUP)
        try:
            return bool(look.poll(0))
        except OSError:  # short of memory: the loop will tell
            return False

    def unread(self) -> int:
        """How many bytes the kernel holds for us; 0 where it does not tell."""
        size = array.array("i", [0])
        try:
            fcntl.ioctl(self.fileno(), termios.FIONREAD, size)
        except OSError:
            return 0
        return size[0]

    def reset_at_close(self) -> None:
        """Its close is to be seen as a break, and no end."""
        with contextlib.suppress(OSError):
            super().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)

    @classmethod
    def adopt(cls, sock: socket.socket) -> SteadySocket:
        """The same socket in this class."""
        return cls(sock.family, sock.type, sock.proto, fileno=sock.detach())


class Listener:
    """Accepts connections at one listening socket.

    The event loop's own listener pauses for a second when accept fails for want of descriptors or memory, which is
    longer than many clients wait, and its pause outlives the socket."""

    def __init__(self, sock: socket.socket, factory: Callable[[SteadySocket], asyncio.BaseProtocol]) -> None:
        """`factory` makes the protocol of a connection, in the moment in which that is accepted."""
        self.loop = asyncio.get_running_loop()
        self.sock = sock
        self.factory = factory
        self.timer: asyncio.TimerHandle | None = None
        self.stall = Stall()  # of connections that are to be accepted
        self.set_up: set[asyncio.Task[Any]] = set()  # accepted, and not yet known to the loop
        sock.setblocking(False)

    def start(self) -> None:
        """Accept from now on."""
        self.timer = None
        self.loop.add_reader(self.sock.fileno(), self.accept)

    def pause(self) -> None:
        """Accept nobody; what the kernel has queued stays there, for whoever else holds the socket."""
        self.loop.remove_reader(self.sock.fileno())
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def accept(self) -> bool:
        """Take some of those that are waiting; returns whether all of them were, or the queue is empty."""
        for number in range(CONNECTIONS_A_ROUND):
            try:
                connection, _ = self.sock.accept()
            except BlockingIOError:
                if number == 0:  # somebody else has taken it, or it can't be had yet
                    self.stall.note()
                return True
            except OSError as error:
                self.stall.note()
                if error.errno in SHORTAGES:
                    self.pause()
                    self.timer = self.loop.call_later(RETRY_S, self.start)
                    return False
                continue  # it came with a connection that has gone by now
            adopted = SteadySocket.adopt(connection)
            task = self.loop.create_task(self._serve(adopted, self.factory(adopted)))
            self.set_up.add(task)
            task.add_done_callback(self.set_up.discard)
        return False

    async def _serve(self, connection: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        """Make it known to the loop."""
        for _ in range(int(1 / RETRY_S)):
            try:
                await self.loop.connect_accepted_socket(lambda: protocol, connection)
                return
            except OSError as error:
                if not is_own(error):
                    break
                await asyncio.sleep(RETRY_S)
        connection.close()

    async def drain(self, longest_s: float) -> None:
        """Take all that the kernel has queued, for at most so long; closing the socket would reset it."""
        ends_at = self.loop.time() + longest_s
        while not self.accept() and self.loop.time() < ends_at:
            await asyncio.sleep(RETRY_S if self.timer is not None else 0)

    def close(self) -> None:
        """Let go of the socket; others may hold it too."""
        self.pause()
        self.sock.close()

    async def settled(self) -> None:
        """Until the loop knows all that were accepted."""
        while self.set_up:
            await asyncio.wait(set(self.set_up))


class PatientSelector(selectors.EpollSelector):
    """An epoll to which a descriptor can be added on a machine that is short for a moment, at the price of standing
    still till it can: a connection that the loop never heard of would be lost."""

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        ends_at = time.monotonic() + STAND_STILL_S
        while True:
            try:
                return super().register(fileobj, events, data)
            except OSError as error:
                if error.errno not in (errno.ENOMEM, errno.ENOSPC) or time.monotonic() >= ends_at:
                    raise
            time.sleep(RETRY_S / 4)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """In two steps: where the one that `selectors` makes fails, it forgets the descriptor."""
        self.unregister(fileobj)
        return self.register(fileobj, events, data)


async def listen_at(address: tuple[str, int], backlog: int, patience_s: float) -> socket.socket:
    """A socket that listens there; raises OSError where that stays impossible for so long.

    A process that is started in the place of one that still ends, or on a machine that is short, tries again."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + patience_s
    while True:
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(backlog)
            return sock
        except OSError as error:
            if sock is not None:
                sock.close()
            if not is_own(error) or loop.time() >= ends_at:
                raise
        await asyncio.sleep(RETRY_S)
