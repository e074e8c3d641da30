"""Manages all client connections: accepting, limiting and closing them."""

from __future__ import annotations

import asyncio
import itertools
import socket

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.closing_schedule import RESTART_RETRY_AFTER_US, Admission, ClosingSchedule
from garnetusher.sidecar.downstream.arrival_time import EventLoopLag
from garnetusher.sidecar.downstream.connection import ConnectionState, DownstreamConnection
from garnetusher.sidecar.downstream.listener import Listener, open_listening_socket
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.downstream.timeouts import CHECK_INTERVAL_S
from garnetusher.sidecar.lifecycle import Lifecycle, LifecycleState
from garnetusher.sidecar.memory_budget import RELIEF_FRACTION, MemoryBudget
from garnetusher.sidecar.read_pacing import PacedConnections
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.messages import HttpRequest
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.streaming import BodyMemory
from garnetusher.sidecar.transitions import ClientCloseReason

LISTEN_BACKLOG = 512  # maximum number of connections waiting to be accepted
LISTEN_RETRY_TIMEOUT_S = 10.0  # time for the address to become free; clients wait 30 s at startup
BACKLOG_DRAIN_TIMEOUT_S = 1.0  # time limit to accept the backlog at shutdown; about a third of the time to respond
BODY_MEMORY_DIVISOR = 2  # the part of the memory budget that bodies beyond the buffer limit may use


class DownstreamServer:
    """The server for all client connections.

    Attributes:
        dispatcher: Handles the requests of all connections.
        lifecycle: The state of the process, which decides whether connections close.
        router: The router for the current settings; replaced when the settings change.
        connections: All connections in the order in which they were set up.
        memory: Bounds the bytes that all peers together make this process hold.
        body_memory: Limits the memory for bodies that exceed the buffer limit.
        paced_connections: The connections whose reading is paused because their bytes are costly.
        event_loop_lag: Estimates the earliest time at which bytes that are read now may have arrived.
        shutdown_schedule: The schedule of the shutdown; None before SIGTERM.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        settings: Settings,
        max_connections: int,
        lifecycle: Lifecycle,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle
        self.paced_connections = PacedConnections()
        self.memory = memory if memory is not None else MemoryBudget()
        self.memory.on_incomplete_exceeded = self._relieve_memory
        self.body_memory = BodyMemory(self.memory.size // BODY_MEMORY_DIVISOR)
        self.router = RequestRouter(settings)
        self.connections: dict[DownstreamConnection, None] = {}
        self.event_loop_lag = EventLoopLag()
        self.shutdown_schedule: ClosingSchedule | None = None
        self._max_connections = max_connections
        self._listener: Listener | None = None
        self._is_relieving_memory = False

    @property
    def ready(self) -> bool:
        """Whether clients should send requests to this sidecar."""
        return self.dispatcher.ready and self.lifecycle.serving

    @property
    def trace(self) -> Trace:
        """The latest events and the counters."""
        return self.dispatcher.write_gate.trace

    @property
    def closing_reason(self) -> ClientCloseReason:
        """The reason of each close while the process drains or stops."""
        is_stopping = self.lifecycle.state is LifecycleState.STOPPING
        return ClientCloseReason.SHUTDOWN if is_stopping else ClientCloseReason.DRAINING

    @property
    def busy(self) -> bool:
        """Whether any connection has an open request or unsent response bytes."""
        return any(each.has_open_request or each.writer.unsent_size for each in self.connections)

    @property
    def retry_after_us(self) -> int:
        """The delay after which the client of a request that is shed may retry."""
        return RESTART_RETRY_AFTER_US if self.shutdown_schedule is None else self.shutdown_schedule.retry_after_us

    def begin_shutdown(self, schedule: ClosingSchedule) -> None:
        """Apply the schedule of a shutdown from now on, also to requests that were read before the signal was handled.

        After a pause of the process the event loop reads what has arrived before it handles the signal.
        """
        self.shutdown_schedule = schedule
        elapsed_s, now_us = self.lifecycle.closing_for_s, monotonic_us()
        for connection in list(self.connections):
            read_s = elapsed_s - (now_us - connection.arrival_times.read_at_us) / 1e6
            if not schedule.streams_responses(read_s):
                connection.limit_forwarded_request()

    def admission(self, http_request: HttpRequest) -> Admission:
        """Return what a request whose last byte is read now may receive."""
        if self.shutdown_schedule is None:
            return Admission.ANY_RESPONSE
        request_class = self.dispatcher.settings.classes[http_request.class_index]
        return self.shutdown_schedule.admission(
            self.lifecycle.closing_for_s, is_repeatable=request_class.is_repeatable_anywhere
        )

    async def listen(self, address_or_socket: tuple[str, int] | socket.socket) -> None:
        """Start accepting connections and checking time-outs.

        Args:
            address_or_socket: An address to bind, or a listening socket, which other processes may share.

        Raises:
            OSError: The address stays unavailable.
        """
        if isinstance(address_or_socket, socket.socket):
            sock = address_or_socket
        else:
            sock = await open_listening_socket(address_or_socket, LISTEN_BACKLOG, LISTEN_RETRY_TIMEOUT_S)
        self._listener = Listener(sock, lambda accepted: DownstreamConnection(self, accepted))
        self._listener.start()
        self.check_connections()

    async def stop_listening(self, shared: bool) -> None:  # noqa: FBT001 - all callers name the argument
        """Stop accepting connections and close this process's copy of the listening socket.

        Args:
            shared: Whether another process shares the socket and will accept the queued connections. If not, they are
                accepted first, because the close would reset them.
        """
        if self._listener is None:
            return
        if not shared:
            await self._listener.drain(BACKLOG_DRAIN_TIMEOUT_S)
        self._listener.close()
        await self._listener.wait_for_setups()

    def accepted_us(self) -> int:
        """Return the earliest time at which the client of a connection accepted now may have connected."""
        stalled_since_us = self._listener.accept_failures.first_failure_us() if self._listener is not None else 0
        return min(self.event_loop_lag.earliest_arrival_us(), stalled_since_us or monotonic_us())

    def add_connection(self, connection: DownstreamConnection) -> None:
        """Add a connection; at the limit, close another one that has no open request.

        The limit reserves descriptors for upstream connections.
        """
        if len(self.connections) >= self._max_connections:
            self._make_room()
        self.connections[connection] = None

    def _make_room(self) -> None:
        """Close the oldest connection of the first group that has one.

        Connections that have not sent a valid request yet are closed before the others. Those whose client has its
        response, but goes on sending, come first: nobody waits for anything on them.
        """
        lingering = [each for each in self.connections if each.is_lingering]
        active = [each for each in self.connections if each.state is ConnectionState.ACTIVE]
        groups = (
            (each for each in lingering if not each.has_sent_valid_request),
            (each for each in active if not each.has_sent_valid_request),
            (each for each in active if each.idle),
            iter(lingering),
        )
        oldest = next(itertools.chain(*groups), None)
        if oldest is None:
            return
        if oldest.is_lingering:
            oldest.end_lingering_close()
        elif oldest.idle:
            oldest.schedule_close(ClientCloseReason.CONNECTION_LIMIT)
        else:
            oldest.schedule_eviction()

    def check_connections(self) -> None:
        """Check the time-outs of all connections now, and schedule the next check."""
        loop = asyncio.get_running_loop()
        loop.call_later(CHECK_INTERVAL_S, self.check_connections)
        now_us = monotonic_us()
        # After a pause of the process, this timer may run before the event loop has read the bytes that arrived during
        # the pause. The check is therefore recorded two iterations later; until then, estimates use the previous check.
        loop.call_soon(loop.call_soon, self.event_loop_lag.record_check, now_us, int(CHECK_INTERVAL_S * 1e6))
        for connection in list(self.connections):
            connection.check_timeouts(now_us)
        if self.lifecycle.state is LifecycleState.DRAINING:
            self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections that the schedule of the shutdown or of the drain closes now."""
        schedule = self.shutdown_schedule or ClosingSchedule.for_drain()
        elapsed_s, now_us = self.lifecycle.closing_for_s, monotonic_us()
        for connection in list(self.connections):
            if connection.idle and schedule.closes_idle(
                elapsed_s,
                (now_us - connection.idle_since_us) / 1e6,
                has_sent_valid_request=connection.has_sent_valid_request,
            ):
                connection.schedule_close(self.closing_reason)

    def limit_incomplete_requests(self) -> None:
        """Apply the schedule to requests whose bodies are still arriving and end too late."""
        for connection in list(self.connections):
            connection.limit_incomplete_request()

    def _relieve_memory(self) -> None:
        """Shed requests that are still being read until they hold what they may hold.

        Clients that have not sent a valid request yet are shed before the others, and older requests before newer
        ones. Nothing of these requests has been forwarded.
        """
        if self._is_relieving_memory:
            return
        self._is_relieving_memory = True
        try:
            wanted = self.memory.incomplete - RELIEF_FRACTION * self.memory.incomplete_limit
            for connection in sorted(self._sheddable_connections(), key=DownstreamConnection.shedding_order):
                if wanted <= 0:
                    break
                wanted -= connection.holding.incomplete
                connection.shed_incomplete_request(ClientCloseReason.MEMORY)
        finally:
            self._is_relieving_memory = False

    def _sheddable_connections(self) -> list[DownstreamConnection]:
        return [each for each in self.connections if each.holding.incomplete and each.is_sheddable]

    def shed_incomplete_requests(self) -> None:
        """Shed all requests that have not been read completely, because no time is left to handle them."""
        for connection in list(self.connections):
            reading = connection.reader.message_started_us and not connection.reader.complete
            if reading and not connection.closing and connection.writer.source is None:
                connection.shed_incomplete_request(ClientCloseReason.SHUTDOWN, self.retry_after_us)
