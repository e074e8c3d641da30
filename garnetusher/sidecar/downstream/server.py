"""All client connections: their listener, their limits and their end."""

from __future__ import annotations

import asyncio
import socket

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.arrival_time import EventLoopLag
from garnetusher.sidecar.downstream.connection import CHECK_INTERVAL_S, ConnectionState, DownstreamConnection
from garnetusher.sidecar.downstream.listener import Listener, listen_at
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.lifecycle import Lifecycle, LifecycleState
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.streaming import BodyMemory

LISTEN_BACKLOG = 512  # connections that are not accepted yet
LISTEN_PATIENCE_S = 10.0  # for an address to come free: clients wait for 30 s at a start
BACKLOG_DRAIN_TIMEOUT_S = 1.0  # for accept to work again at the end: a third of the time that is left to respond
DRAIN_IDLE_CLOSE_DELAY_S = 1.5  # idle connections close so long after a drain began; 4 s after it none may be left
MIN_IDLE_US = 300_000  # since a connection was set up or had its response: its last request may be on its way
DEFAULT_BODY_MEMORY_SIZE = 64 * 1024 * 1024  # bytes


class DownstreamServer:
    """All client connections.

    Attributes:
        dispatcher: takes their requests.
        lifecycle: tells whether connections are to close.
        router: made from the current settings; replaced with them.
        connections: in the order in which they were set up.
        body_memory: for bodies that are longer than what is buffered.
        event_loop_lag: tells how old bytes may be that are read now.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        settings: Settings,
        max_connections: int,
        lifecycle: Lifecycle,
        body_memory_size: int = DEFAULT_BODY_MEMORY_SIZE,
    ) -> None:
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle
        self.body_memory = BodyMemory(body_memory_size)
        self.router = RequestRouter(settings)
        self.connections: dict[DownstreamConnection, None] = {}
        self.event_loop_lag = EventLoopLag()
        self._max_connections = max_connections
        self._listener: Listener | None = None

    @property
    def ready(self) -> bool:
        """Whether clients should send requests here."""
        return self.dispatcher.ready and self.lifecycle.serving

    @property
    def busy(self) -> bool:
        """Whether something is outstanding: a request, or a response that is not yet written."""
        return any(each.has_open_request or each.writer.unsent_size for each in self.connections)

    async def listen(self, where: tuple[str, int] | socket.socket) -> None:
        """Accept connections.

        Args:
            where: an address of this process, or a listening socket that other processes hold too.

        Raises:
            OSError: the address stays taken.
        """
        if isinstance(where, socket.socket):
            sock = where
        else:
            sock = await listen_at(where, LISTEN_BACKLOG, LISTEN_PATIENCE_S)
        self._listener = Listener(sock, lambda accepted: DownstreamConnection(self, accepted))
        self._listener.start()
        self.check_connections()

    async def stop_listening(self, shared: bool) -> None:  # noqa: FBT001 - a name that the program calls
        """Accept no more connections, and close this process's copy of the listening socket.

        Args:
            shared: another process holds the socket too and will accept what the kernel has queued; else that is
                accepted first, as a close would reset it.
        """
        if self._listener is None:
            return
        if not shared:
            await self._listener.drain(BACKLOG_DRAIN_TIMEOUT_S)
        self._listener.close()
        await self._listener.settled()

    def accepted_us(self) -> int:
        """Return when a connection that is accepted now was made, at the earliest."""
        stalled_since_us = self._listener.stall.since_us() if self._listener is not None else 0
        return min(self.event_loop_lag.earliest_arrival_us(), stalled_since_us or monotonic_us())

    def connected(self, connection: DownstreamConnection) -> None:
        """Add a connection; at the limit, close the oldest one without an open request for it.

        With no descriptor left no upstream could be reached. A connection that has not sent a valid request yet is
        closed before one that has.
        """
        if len(self.connections) >= self._max_connections:
            self._close_oldest()
        self.connections[connection] = None

    def _close_oldest(self) -> None:
        candidates = [each for each in self.connections if each.state is ConnectionState.ACTIVE]
        oldest = next((each for each in candidates if not each.has_sent_valid_request), None)
        if oldest is None:
            oldest = next((each for each in candidates if each.idle), None)
        if oldest is None:
            return
        if oldest.idle:
            oldest.schedule_close()
        else:
            oldest.close()

    def check_connections(self) -> None:
        """Check the time-outs of all connections, now and periodically."""
        loop = asyncio.get_running_loop()
        loop.call_later(CHECK_INTERVAL_S, self.check_connections)
        now_us = monotonic_us()
        # after a hold-up this timer may run before what has arrived is read, so the lag is told by the check before
        # this one for two more rounds of the loop
        loop.call_soon(loop.call_soon, self.event_loop_lag.record_check, now_us, int(CHECK_INTERVAL_S * 1e6))
        for connection in list(self.connections):
            connection.check_timeouts(now_us)
        draining = self.lifecycle.state is LifecycleState.DRAINING
        if draining and self.lifecycle.closing_for_s > DRAIN_IDLE_CLOSE_DELAY_S:
            self.close_idle(now_us - MIN_IDLE_US)

    def close_idle(self, idle_since_us: int) -> None:
        """Close the connections that have been idle since a moment or longer.

        A new connection stays for a while: its first request is on its way, and clients do not retry that.
        """
        new_idle_since_us = min(idle_since_us, monotonic_us() - MIN_IDLE_US)
        for connection in list(self.connections):
            limit_us = idle_since_us if connection.has_sent_valid_request else new_idle_since_us
            if connection.idle and connection.idle_since_us <= limit_us:
                connection.schedule_close()

    def shed_unread(self) -> None:
        """Shed all requests that have not been read completely: there is no time left for them."""
        for connection in list(self.connections):
            reading = connection.reader.message_started_us and not connection.reader.complete
            if reading and not connection.closing and connection.writer.source is None:
                connection.shed_unread()
