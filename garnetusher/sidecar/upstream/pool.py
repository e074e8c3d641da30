"""The pool of connections to upstreams: idle connections, their reuse and their end."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import AttemptResult, HttpRequest, WritePermission
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.sockets import RETRY_S
from garnetusher.sidecar.streaming import STALL_TIMEOUT_US, Head, Sink, Source
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.connecting import Connector
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.idle_reuse import IdleReuseEstimator
from garnetusher.sidecar.upstream.request_writer import Address

SWEEP_INTERVAL_S = 0.1  # well under the margin that idle connections are closed before their upstream would


class ConnectionPool:
    """Connections to all upstreams. The most recently used one is used again first.

    Attributes:
        loop: the event loop that it was made in.
        idle: the idle connections to each address, in the order in which they became idle.
        idle_reuse: how long connections may be idle.
        streaming: the connections on which a long response is being passed on.
        sweep_timer: the timer of the next sweep.
    """

    def __init__(self, idle_timeout_us: int, connect_timeout_us: int, trace: Trace | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.idle_reuse = IdleReuseEstimator.for_idle_timeout(idle_timeout_us)
        self.idle: dict[Address, list[UpstreamConnection]] = {}
        self.streaming: set[UpstreamConnection] = set()
        self._connector = Connector(connect_timeout_us, trace or Trace(), self._make_connection)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def apply_settings(self, idle_timeout_us: int, connect_timeout_us: int) -> None:
        """Apply the operator's new settings; with another idle time-out, reuse is measured anew."""
        idle_reuse = IdleReuseEstimator.for_idle_timeout(idle_timeout_us)
        if idle_reuse.max_idle_us != self.idle_reuse.max_idle_us:
            self.idle_reuse = idle_reuse
        self._connector.connect_timeout_us = connect_timeout_us

    # Attempts

    def start_attempt(
        self,
        address: Address,
        call: HttpRequest,
        permission: WritePermission,
        ended: Callable[[AttemptResult], None],
        began: Callable[[Head, Source], Sink | None],
    ) -> UpstreamAttempt:
        """Start an attempt on an idle connection, or on a new one.

        Args:
            address: the upstream's.
            call: the client's request.
            permission: asked when the first byte is about to be written.
            ended: called once with the result, later, unless the attempt is abandoned first.
            began: called before it where the response is long; returns where it goes, or None if nowhere.
        """
        attempt = UpstreamAttempt(self.loop, address, call, permission, ended, began)
        now_us = monotonic_us()
        oldest_us = now_us - self.idle_reuse.limit_us()
        in_response_grace = []
        for connection in reversed(self.idle.get(address, [])[:]):
            if connection.idle.grace_remaining_us(now_us) > 0:
                in_response_grace.append(connection)
            elif connection.idle.since_us > oldest_us and connection.is_usable():
                self.remove(connection)
                self._send_or_keep(connection, attempt)
                return attempt
            else:
                connection.close()
        if in_response_grace:
            self._wait_for_grace(in_response_grace[-1], attempt, now_us)
        else:
            self.open_connection(attempt)
        return attempt

    def _wait_for_grace(self, connection: UpstreamConnection, attempt: UpstreamAttempt, now_us: int) -> None:
        """Reserve a connection that has just had a response.

        A stray second response, some milliseconds late, would be taken for that to this request. To wait for the rest
        of that time costs less than another connection.
        """
        self.remove(connection)
        delay_s = connection.idle.grace_remaining_us(now_us) / 1e6
        self.loop.call_later(delay_s, self.send_after_grace, connection, attempt)

    def send_after_grace(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Write an attempt on the connection reserved for it; either may have ended meanwhile."""
        if not connection.is_usable():
            connection.close()
            if not attempt.abandoned:
                self.open_connection(attempt)
        elif attempt.abandoned:
            self._keep(connection)
        else:
            self._send_or_keep(connection, attempt)

    def _send_or_keep(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Write an attempt on a connection that was idle and stays so if the attempt is not permitted any more."""
        if not connection.send(attempt):
            self._keep(connection)

    def restart_attempt(self, connection: UpstreamConnection, attempt: UpstreamAttempt) -> None:
        """Give an attempt a new connection, as this machine is short and nothing of it could be sent.

        What the loop sends as soon as it can would tell the upstream of time that has passed; so the head is written
        anew.
        """
        attempt.written, attempt.connection = False, None
        connection.attempt = None
        connection.close()
        self.loop.call_later(RETRY_S, self.open_connection, attempt)

    def open_connection(self, attempt: UpstreamAttempt) -> None:
        """Open a new connection for an attempt."""
        self._connector.start(attempt)

    def _make_connection(self, address: Address, sock: socket.socket) -> UpstreamConnection:
        return UpstreamConnection(self, address, sock)

    # Idle connections

    def put_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection that has become idle."""
        connection.idle.since_us = monotonic_us()
        self._keep(connection)

    def _keep(self, connection: UpstreamConnection) -> None:
        self.idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle ones, if it is among them."""
        connections = self.idle.get(connection.address)
        if connections is None or connection not in connections:
            return
        connections.remove(connection)
        if not connections:
            del self.idle[connection.address]

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an upstream."""
        for connection in self.idle.get(address, [])[:]:
            connection.close()

    def sweep(self) -> None:
        """Close connections that upstreams are about to close, and those whose long response has stalled."""
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        self.idle_reuse.decay()
        self._break_off_stalled(monotonic_us() - STALL_TIMEOUT_US)
        oldest_us = monotonic_us() - self.idle_reuse.limit_us()
        for connections in list(self.idle.values()):
            for connection in [each for each in connections if each.idle.since_us <= oldest_us]:
                connection.close()

    def _break_off_stalled(self, silent_since_us: int) -> None:
        stalled = [each for each in self.streaming if not each.reading_paused and each.last_read_us <= silent_since_us]
        for connection in stalled:
            connection.break_off()
