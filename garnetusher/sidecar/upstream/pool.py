"""The pool of connections to upstreams: it reuses idle connections and closes them before their upstream does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.memory_budget import MemoryBudget
from garnetusher.sidecar.requests.messages import AttemptResult, HttpRequest, WriteAuthorizer
from garnetusher.sidecar.requests.trace import NO_ENDPOINT, Trace
from garnetusher.sidecar.sockets import RETRY_INTERVAL_S, ShortageTolerantSocket
from garnetusher.sidecar.streaming import STALL_TIMEOUT_US, Head, Sink, Source
from garnetusher.sidecar.transitions import UpstreamCloseReason
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.connecting import Connector
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.idle_reuse import PREFERRED_SILENCE_US, IdleReuseEstimator
from garnetusher.sidecar.upstream.request_writer import Address

# Each stalled response holds two descriptors: an eighth of the least that a deployment has.
MAX_STALLED_RESPONSES = 16
SWEEP_INTERVAL_S = 0.1  # must be well below IDLE_TIMEOUT_MARGIN_US, or the upstream could close a connection first


class ConnectionPool:
    """Connections to all upstreams; an attempt reuses the idle connection that was used most recently.

    Attributes:
        loop: the event loop in which the pool was created.
        memory: bounds the bytes that all peers together make this process hold.
        idle: the idle connections to each address; the one that became idle first comes first.
        idle_reuse: the estimate of how long a connection may be idle and still be reused.
        streaming: the connections whose current response is streamed to the client.
        sweep_timer: the timer for the next call of `sweep`.
        trace: the latest events and the counters.
        endpoint_id_at: returns the endpoint on an address, which the events of its connections name.
    """

    def __init__(
        self,
        idle_timeout_us: int,
        connect_timeout_us: int,
        trace: Trace | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.memory = memory if memory is not None else MemoryBudget()
        self.idle_reuse = IdleReuseEstimator.for_idle_timeout(idle_timeout_us)
        self.idle: dict[Address, list[UpstreamConnection]] = {}
        self.streaming: set[UpstreamConnection] = set()
        self.trace = trace or Trace()
        self.endpoint_id_at: Callable[[Address], int] = lambda _address: NO_ENDPOINT
        self._connector = Connector(connect_timeout_us, self.trace, self._make_connection)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def apply_settings(self, idle_timeout_us: int, connect_timeout_us: int) -> None:
        """Apply new settings; a changed idle timeout discards the measurements of lost requests."""
        idle_reuse = IdleReuseEstimator.for_idle_timeout(idle_timeout_us)
        if idle_reuse.max_idle_us != self.idle_reuse.max_idle_us:
            self.idle_reuse = idle_reuse
        self._connector.connect_timeout_us = connect_timeout_us

    # Attempts

    def start_attempt(
        self,
        address: Address,
        http_request: HttpRequest,
        authorize_write: WriteAuthorizer,
        on_ended: Callable[[AttemptResult], None],
        on_response_started: Callable[[Head, Source], Sink | None],
    ) -> UpstreamAttempt:
        """Start an attempt on an idle connection, or on a new one.

        Args:
            address: the address of the upstream.
            http_request: the client's request.
            authorize_write: called just before the first byte is written.
            on_ended: called once with the result after this method returns, unless the attempt is abandoned first.
            on_response_started: called before `on_ended` if the response is streamed; returns the sink for its body, or
                None if no client waits for the response.
        """
        attempt = UpstreamAttempt(self.loop, address, http_request, authorize_write, on_ended, on_response_started)
        now_us = monotonic_us()
        connections = self.idle.get(address, [])[:]
        connection = self._find_reusable(connections, now_us) or _next_after_grace(connections, now_us)
        if connection is None:
            self.open_connection(attempt)
            return attempt
        self.remove_idle(connection)
        grace_remaining_us = connection.idle_timing.grace_remaining_us(now_us)
        if grace_remaining_us > 0:
            self.loop.call_later(grace_remaining_us / 1e6, self.send_after_grace, connection, attempt)
        else:
            self._send_or_add_idle(connection, attempt)
        return attempt

    def _find_reusable(self, connections: list[UpstreamConnection], now_us: int) -> UpstreamConnection | None:
        """Return a connection that can be reused now, and close those that are found to be unusable.

        Among the connections that have been silent for long enough, the one that was used last is preferred, so that
        the others reach their idle timeout. Otherwise the one that has been silent for the longest time is preferred.
        """
        past_grace = [each for each in connections if each.idle_timing.grace_remaining_us(now_us) <= 0]
        preferred_since_us = now_us - PREFERRED_SILENCE_US
        preferred = [each for each in reversed(past_grace) if each.idle_timing.since_us <= preferred_since_us]
        others = [each for each in past_grace if each.idle_timing.since_us > preferred_since_us]
        oldest_us = now_us - self.idle_reuse.limit_us()
        for connection in (*preferred, *others):
            if connection.idle_timing.since_us <= oldest_us:
                connection.close(self._idle_close_reason(connection, now_us))
            elif (obstacle := connection.reuse_obstacle()) is not None:
                connection.close(obstacle)
            else:
                return connection
        return None

    def send_after_grace(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Write an attempt on its reserved connection, unless it was abandoned or the connection is unusable."""
        obstacle = connection.reuse_obstacle()
        if obstacle is not None:
            connection.close(obstacle)
            if not attempt.abandoned:
                self.open_connection(attempt)
        elif attempt.abandoned:
            self._add_idle(connection)
        else:
            self._send_or_add_idle(connection, attempt)

    def _send_or_add_idle(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Write an attempt on an idle connection; put the connection back if the attempt is no longer permitted."""
        if not connection.send(attempt):
            self._add_idle(connection)

    def restart_attempt(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Start an attempt again on a new connection, as this machine had no memory to send its first byte.

        The event loop would send the buffered head later, when less time remains than its X-Deadline-Ms header says. A
        new connection writes a new head with the time that remains at that moment.
        """
        attempt.written, attempt.connection = False, None
        attempt.short_of_local_resources = True
        connection.attempt = None
        connection.close(UpstreamCloseReason.LOCAL_SHORTAGE)
        self.loop.call_later(RETRY_INTERVAL_S, self.open_connection, attempt)

    def open_connection(self, attempt: UpstreamAttempt) -> None:
        """Open a new connection for an attempt."""
        self._connector.start(attempt)

    def _make_connection(self, address: Address, sock: ShortageTolerantSocket) -> UpstreamConnection:
        return UpstreamConnection(self, address, sock)

    # Idle connections

    def put_idle(self, connection: UpstreamConnection) -> None:
        """Record that a connection becomes idle now, and add it to the idle connections."""
        connection.idle_timing.since_us = monotonic_us()
        self._add_idle(connection)

    def _add_idle(self, connection: UpstreamConnection) -> None:
        self.idle.setdefault(connection.address, []).append(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle connections, if it is one of them."""
        connections = self.idle.get(connection.address)
        if connections is None or connection not in connections:
            return
        connections.remove(connection)
        if not connections:
            del self.idle[connection.address]

    def close_idle_connections(self, address: Address, reason: UpstreamCloseReason) -> None:
        """Close all idle connections to an upstream."""
        for connection in self.idle.get(address, [])[:]:
            connection.close(reason)

    def sweep(self) -> None:
        """Close idle connections before their upstream does, and those of stalled responses if room is needed."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.idle_reuse.decay()
        self._abort_stalled_responses(monotonic_us() - STALL_TIMEOUT_US)
        now_us = monotonic_us()
        oldest_us = now_us - self.idle_reuse.limit_us()
        for connections in list(self.idle.values()):
            for connection in [each for each in connections if each.idle_timing.since_us <= oldest_us]:
                connection.close(self._idle_close_reason(connection, now_us))

    def _idle_close_reason(self, connection: UpstreamConnection, now_us: int) -> UpstreamCloseReason:
        """Return which limit a connection has exceeded that has been idle for too long."""
        if connection.idle_timing.since_us <= now_us - self.idle_reuse.max_idle_us:
            return UpstreamCloseReason.IDLE_LIMIT
        return UpstreamCloseReason.IDLE_REUSE_EVIDENCE

    def _abort_stalled_responses(self, no_data_since_us: int) -> None:
        """Close connections whose streamed response has stalled if their room is needed, the longest stall first.

        A hanging upstream may send the rest after any time, and its client waits for it; so time alone ends none.
        """
        stalled = [each for each in self.streaming if not each.reading_paused and each.last_read_us <= no_data_since_us]
        stalled.sort(key=lambda each: each.last_read_us)
        kept_count = 0 if self.memory.must_stream else MAX_STALLED_RESPONSES
        for connection in stalled[: max(0, len(stalled) - kept_count)]:
            connection.abort_response(UpstreamCloseReason.RESPONSE_STALLED)


def _next_after_grace(connections: list[UpstreamConnection], now_us: int) -> UpstreamConnection | None:
    """Return the connection whose grace period ends next, or None if opening another connection is faster.

    A stray second response may arrive a few milliseconds after the first. On a connection that is reused at once, the
    sidecar would take it for the response to the new request. Waiting for the rest of the grace period is cheaper than
    opening another connection.
    """
    acknowledged = [each for each in connections if each.idle_timing.response_acknowledged]
    in_grace = [each for each in acknowledged if each.idle_timing.grace_remaining_us(now_us) > 0]
    return min(in_grace, key=lambda each: each.idle_timing.since_us, default=None)
