"""Listening sockets that keep accepting connections after temporary shortages of descriptors or memory."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from garnetusher.sidecar.sockets import (
    EPOLL_RETRY_TIMEOUT_S,
    EPOLL_SHORTAGES,
    RETRY_INTERVAL_S,
    SHORTAGES,
    FailureStreak,
    ShortageTolerantSocket,
    is_local_error,
)

MAX_ACCEPTS_PER_ROUND = 64  # limit per event loop iteration, so that established connections are served too
MAX_SETUP_TRIES = int(1 / RETRY_INTERVAL_S)  # maximum tries to add a connection to the event loop; they take about 1 s


class Listener:
    """Accepts connections on one listening socket.

    When accept fails for lack of descriptors or memory, asyncio's own listener pauses for a second. That is longer
    than many clients wait, and asyncio's timer still fires after the socket is closed.

    Attributes:
        sock: The listening socket.
        accept_failures: Records the start of the current series of accept failures.
        retry_timer: Resumes accepting after a shortage; None unless a shortage has paused accepting.
    """

    def __init__(
        self, sock: socket.socket, protocol_factory: Callable[[ShortageTolerantSocket], asyncio.BaseProtocol]
    ) -> None:
        """Initialize for a listening socket, without accepting yet.

        Args:
            sock: The listening socket.
            protocol_factory: Creates the protocol of a connection; called immediately after accept.
        """
        self.sock = sock
        self.accept_failures = FailureStreak()
        self.retry_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._protocol_factory = protocol_factory
        self._setup_tasks: set[asyncio.Task[Any]] = set()  # tasks that add accepted connections to the event loop
        sock.setblocking(False)  # noqa: FBT003 - the standard library accepts this argument only by position

    def start(self) -> None:
        """Start or resume accepting connections; if epoll has no memory for this, try again later.

        The event loop has blocked the process for EPOLL_RETRY_TIMEOUT_S by then, so connections are served for as long.
        """
        self.retry_timer = None
        try:
            self._loop.add_reader(self.sock.fileno(), self.accept)
        except OSError as error:
            if error.errno not in EPOLL_SHORTAGES:
                raise
            self.retry_timer = self._loop.call_later(EPOLL_RETRY_TIMEOUT_S, self.start)

    def pause(self) -> None:
        """Stop accepting; connections in the kernel's queue stay there for other processes that share the socket."""
        self._loop.remove_reader(self.sock.fileno())
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def accept(self) -> bool:
        """Accept a limited number of queued connections and return whether the queue is empty."""
        for index in range(MAX_ACCEPTS_PER_ROUND):
            try:
                connection, _ = self.sock.accept()
            except BlockingIOError:
                # Another process has accepted the connection, or accepting is not possible yet. The error does not tell
                # which, so it is recorded as a failure; this can only make estimated arrival times earlier.
                if index == 0:
                    self.accept_failures.record_failure()
                return True
            except OSError as error:
                self.accept_failures.record_failure()
                if error.errno in SHORTAGES:
                    self.pause()
                    self.retry_timer = self._loop.call_later(RETRY_INTERVAL_S, self.start)
                    return False
                continue  # the error concerns one connection, which the kernel has removed from the queue
            self._set_up(ShortageTolerantSocket.adopt(connection))
        return False

    def _set_up(self, connection: ShortageTolerantSocket) -> None:
        task = self._loop.create_task(self._add_to_event_loop(connection, self._protocol_factory(connection)))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    async def _add_to_event_loop(self, connection: socket.socket, protocol: asyncio.BaseProtocol) -> None:
        """Add an accepted connection to the event loop, or close it if all tries fail."""
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

    async def drain(self, timeout_s: float) -> None:
        """Accept all connections that the kernel has queued, since closing the socket would reset them.

        Args:
            timeout_s: The maximum duration.
        """
        deadline_s = self._loop.time() + timeout_s
        while not self.accept() and self._loop.time() < deadline_s:  # noqa: ASYNC110 - no event reports an empty queue
            await asyncio.sleep(RETRY_INTERVAL_S if self.retry_timer is not None else 0)

    def close(self) -> None:
        """Close this process's copy of the socket; other processes may keep their copies open."""
        self.pause()
        self.sock.close()

    async def wait_for_setups(self) -> None:
        """Wait until each accepted connection is added to the event loop or closed."""
        while self._setup_tasks:
            await asyncio.wait(set(self._setup_tasks))


def _bind_and_listen(address: tuple[str, int], backlog: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


async def open_listening_socket(address: tuple[str, int], backlog: int, retry_timeout_s: float) -> socket.socket:
    """Open a listening socket, and retry after local errors.

    The address may still be in use by a previous process that is stopping, and the machine may be short of resources.

    Args:
        address: The host and port to listen on.
        backlog: The maximum number of connections that the kernel queues.
        retry_timeout_s: The time limit for retries.

    Raises:
        OSError: The socket cannot be opened within the time limit, or the error is not a local one.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + retry_timeout_s
    while True:
        try:
            return _bind_and_listen(address, backlog)
        except OSError as error:
            if not is_local_error(error) or loop.time() >= deadline_s:
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
