"""Opens connections to upstreams, again and again where this machine is short of what a connection takes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from garnetusher.policy.events import Outcome
from garnetusher.sidecar.requests.messages import AttemptResult
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.sockets import RETRY_S, SteadySocket, is_own
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.request_writer import Address

LOCAL_FAILURE_COUNTER = "connecting failed on this machine"


class Connector:
    """Opens a connection for each attempt that finds no idle one.

    Attributes:
        connect_timeout_us: how long a connection may take to come up; 0 = as long as its attempt waits.
    """

    def __init__(
        self,
        connect_timeout_us: int,
        trace: Trace,
        make_connection: Callable[[Address, socket.socket], UpstreamConnection],
    ) -> None:
        self.connect_timeout_us = connect_timeout_us
        self._loop = asyncio.get_running_loop()
        self._trace = trace
        self._make_connection = make_connection
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, attempt: UpstreamAttempt) -> None:
        """Begin to open a connection for an attempt."""
        task = self._loop.create_task(self._open(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, attempt: UpstreamAttempt) -> None:
        """Open a connection and write the attempt on it, if it is still wanted; else the connection is kept."""
        connection = None
        try:
            async with asyncio.timeout(self.connect_timeout_us / 1e6 or None):
                connection = await self._connect(attempt)
            if connection is not None:
                connected = connection
                await self._loop.create_connection(lambda: connected, sock=connected.sock)
        except (OSError, ValueError):  # refused, unreachable, not up in time, or no host's name
            if connection is not None:
                connection.attempt = None
                connection.sock.close()
            if not attempt.abandoned and not attempt.written:
                local = attempt.short_of_local_resources
                attempt.end(AttemptResult(Outcome.NOT_WRITTEN if local else Outcome.CONNECT_FAILED))

    async def _connect(self, attempt: UpstreamAttempt) -> UpstreamConnection | None:
        """Connect for an attempt, with retries while this machine is short; that says nothing of the upstream.

        Returns:
            A connection that is up; it carries the attempt unless that is abandoned meanwhile. None if the attempt was
            abandoned before the first try: in the round of the loop that chose it, it may be elsewhere by now.

        Raises:
            OSError: the upstream can't be reached.
            ValueError: its address is none.
        """
        while not attempt.abandoned:
            attempt.short_of_local_resources = False
            try:
                return await self._connect_once(attempt)
            except OSError as error:
                if not is_own(error):
                    raise
            attempt.short_of_local_resources = True
            self._trace.count(LOCAL_FAILURE_COUNTER)
            await asyncio.sleep(RETRY_S)
        return None

    async def _connect_once(self, attempt: UpstreamAttempt) -> UpstreamConnection:
        sock = SteadySocket(socket.AF_INET, socket.SOCK_STREAM)
        connection = self._make_connection(attempt.address, sock)
        connection.attempt, attempt.connection = attempt, connection
        try:
            sock.setblocking(False)  # noqa: FBT003 - the standard library takes it by position only
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.sock_connect(sock, attempt.address)
        except BaseException:
            connection.attempt = attempt.connection = None
            sock.close()
            raise
        return connection
