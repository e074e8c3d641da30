"""Opens connections to upstreams, with retries while this machine is short of the resources for a connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from garnetusher.policy.events import Outcome
from garnetusher.sidecar.requests.messages import AttemptResult
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.sockets import RETRY_INTERVAL_S, ShortageTolerantSocket, is_local_error
from garnetusher.sidecar.transitions import UpstreamCloseReason
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.request_writer import Address

LOCAL_FAILURE_COUNTER = "connecting failed on this machine"


class Connector:
    """Opens a connection for each attempt that has no idle connection to reuse.

    Attributes:
        connect_timeout_us: the longest time that connecting may take; 0 means no limit.
    """

    def __init__(
        self,
        connect_timeout_us: int,
        trace: Trace,
        make_connection: Callable[[Address, ShortageTolerantSocket], UpstreamConnection],
    ) -> None:
        self.connect_timeout_us = connect_timeout_us
        self._loop = asyncio.get_running_loop()
        self._trace = trace
        self._make_connection = make_connection
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, attempt: UpstreamAttempt) -> None:
        """Start to open a connection for an attempt."""
        task = self._loop.create_task(self._open(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, attempt: UpstreamAttempt) -> None:
        """Open a connection and write the attempt on it; if the attempt was abandoned, the connection becomes idle."""
        connection = None
        try:
            async with asyncio.timeout(self.connect_timeout_us / 1e6 or None) as time_limit:
                connection = await self._connect(attempt, time_limit)
            if connection is not None:
                established = connection
                await self._loop.create_connection(lambda: established, sock=established.sock)
        except (OSError, ValueError):  # connection refused, host unreachable, timeout, or invalid address
            if connection is not None:
                connection.attempt = None
                connection.record_close(UpstreamCloseReason.LOCAL_SHORTAGE)
                connection.sock.close()
            if not attempt.abandoned and not attempt.written:
                failed_locally = attempt.short_of_local_resources
                attempt.end(AttemptResult(Outcome.NOT_WRITTEN if failed_locally else Outcome.CONNECT_FAILED))

    async def _connect(self, attempt: UpstreamAttempt, time_limit: asyncio.Timeout) -> UpstreamConnection | None:
        """Connect for an attempt, with retries after local errors, which are no evidence against the upstream.

        Returns:
            An established connection; it carries the attempt unless the attempt has been abandoned in the meantime.
            None if the attempt was abandoned before the next try. This can also happen before the first try, because
            this task runs only in the next iteration of the event loop; by then the request may have been sent to
            another upstream.

        Raises:
            OSError: the upstream can't be reached.
            ValueError: the address of the upstream is invalid.
        """
        while not attempt.abandoned:
            attempt.short_of_local_resources = False
            try:
                return await self._connect_once(attempt, time_limit)
            except OSError as error:
                if not is_local_error(error):
                    raise
            attempt.short_of_local_resources = True
            self._trace.count(LOCAL_FAILURE_COUNTER)
            await asyncio.sleep(RETRY_INTERVAL_S)
        return None

    async def _connect_once(self, attempt: UpstreamAttempt, time_limit: asyncio.Timeout) -> UpstreamConnection:
        sock = ShortageTolerantSocket(socket.AF_INET, socket.SOCK_STREAM)
        connection = self._make_connection(attempt.address, sock)
        connection.attempt, attempt.connection = attempt, connection
        try:
            sock.setblocking(False)  # noqa: FBT003 - the standard library accepts this argument by position only
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.sock_connect(sock, attempt.address)
        except BaseException:
            # After a pause of this process, the timeout can cancel a connect that has succeeded in the meantime
            if not time_limit.expired() or not sock.is_connected():
                connection.attempt = attempt.connection = None
                sock.close()
                raise
        return connection
