"""Listening sockets that go on accepting on a machine that is short of descriptors or memory for a moment."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from garnetusher.sidecar.sockets import (
    RETRY_INTERVAL_S,
    SHORTAGES,
    FailureStreak,
    ShortageTolerantSocket,
    is_local_error,
)

MAX_ACCEPTS_PER_ROUND = 64  # then the event loop goes on to the connections that are there
MAX_SETUP_TRIES = int(1 / RETRY_INTERVAL_S)  # to add an accepted connection to the event loop: for about 1 s


class Listener:
    """Accepts connections at one listening socket.

    The event loop's own listener pauses for a second when accept fails for want of descriptors or memory, which is
    longer than many clients wait, and its pause outlives the socket.

    Attributes:
        sock: the listening socket.
        stall: since when connections could not be accepted.
        retry_timer: the timer after which accepting goes on; None unless it has paused on a shortage.
    """

    def __init__(self, sock: socket.socket, factory: Callable[[ShortageTolerantSocket], asyncio.BaseProtocol]) -> None:
        """Listen at a socket.

        Args:
            sock: a listening socket.
            factory: makes the protocol of a connection, in the moment in which that is accepted.
        """
        self.sock = sock
        self.stall = FailureStreak()
        self.retry_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._factory = factory
        self._setup_tasks: set[asyncio.Task[Any]] = set()  # of connections accepted, and not yet in the event loop
        sock.setblocking(False)  # noqa: FBT003 - the standard library takes it by position only

    def start(self) -> None:
        """Accept from now on."""
        self.retry_timer = None
        self._loop.add_reader(self.sock.fileno(), self.accept)

    def pause(self) -> None:
        """Stop accepting; what the kernel has queued stays there for other processes that hold the socket."""
        self._loop.remove_reader(self.sock.fileno())
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def accept(self) -> bool:
        """Accept some of the queued connections; return whether the queue is empty now."""
        for index in range(MAX_ACCEPTS_PER_ROUND):
            try:
                connection, _ = self.sock.accept()
            except BlockingIOError:
                if index == 0:  # another process has accepted it, or it can't be accepted yet
                    self.stall.record_failure()
                return True
            except OSError as error:
                self.stall.record_failure()
                if error.errno in SHORTAGES:
                    self.pause()
                    self.retry_timer = self._loop.call_later(RETRY_INTERVAL_S, self.start)
                    return False
                continue  # an error of the connection, which is gone by now
            self._set_up(ShortageTolerantSocket.adopt(connection))
        return False

    def _set_up(self, connection: ShortageTolerantSocket) -> None:
        task = self._loop.create_task(self._serve(connection, self._factory(connection)))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _serve(self, connection: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        """Add an accepted connection to the event loop; close it if that stays impossible."""
        for _ in range(MAX_SETUP_TRIES):
            try:
                await self._loop.connect_accepted_socket(lambda: protocol, connection)
            except OSError as error:
                if not is_local_error(error):
                    break
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                return
        connection.close()

    async def drain(self, longest_s: float) -> None:
        """Accept all that the kernel has queued, for at most so long; closing the socket would reset it."""
        ends_at_s = self._loop.time() + longest_s
        while not self.accept() and self._loop.time() < ends_at_s:  # noqa: ASYNC110 - the kernel's queue has no event
            await asyncio.sleep(RETRY_INTERVAL_S if self.retry_timer is not None else 0)

    def close(self) -> None:
        """Close this process's copy of the socket; other processes may hold one, too."""
        self.pause()
        self.sock.close()

    async def settled(self) -> None:
        """Wait until all accepted connections are in the event loop."""
        while self._setup_tasks:
            await asyncio.wait(set(self._setup_tasks))


def _listening_socket(address: tuple[str, int], backlog: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


async def listen_at(address: tuple[str, int], backlog: int, patience_s: float) -> socket.socket:
    """Open a listening socket, with retries while this machine does not allow it.

    A process that is started in the place of one that still ends, or on a machine that is short, tries again.

    Args:
        address: where to listen.
        backlog: connections that the kernel queues.
        patience_s: for how long to try.

    Raises:
        OSError: it is still impossible then, or can't be cured by a retry.
    """
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + patience_s
    while True:
        try:
            return _listening_socket(address, backlog)
        except OSError as error:
            if not is_local_error(error) or loop.time() >= ends_at_s:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
