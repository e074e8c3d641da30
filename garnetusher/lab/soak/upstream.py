"""Simulated upstreams of the soak.

An upstream has a listener for each sidecar, so that the network can fail between one upstream and one sidecar alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from garnetusher.lab.soak.plan import FaultKind
from garnetusher.lab.soak.records import Attempt, Records, UpstreamRestart, now_s

# The backlog is short so that it can be filled. A connection that arrives at a full backlog is established one second
# or more later, when the kernel of the connecting side retransmits its SYN.
BACKLOG = 4
BACKLOG_DRAIN_S = 0.05  # a connection accepted up to this long after a listener resumes counts as queued
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
GARBAGE = (b"HTTP/1.1 200 OK\r\nContent-Length: zz\r\n\r\n", b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\n")
# An idle connection is closed early after SHORTEST_IDLE_S plus a random time below IDLE_SPREAD_S.
SHORTEST_IDLE_S = 0.02
IDLE_SPREAD_S = 0.3


class SimulatedUpstream:
    """One upstream with its active faults, listeners and connections."""

    def __init__(self, number: int, host: str, service_ms: float, records: Records, seed: int) -> None:
        self.number = number
        self.host = host
        self.records = records
        self.random = random.Random(f"{seed}-{number}")
        self.incarnation = 0  # the number of restarts
        self.boot_ms = 0  # when the upstream last restarted, in milliseconds since the epoch; 0 = long ago
        self.active_faults: dict[FaultKind, float] = {}  # the share of requests that each fault affects
        self.connections: set[UpstreamConnection] = set()
        self.listeners: dict[int, UpstreamListener] = {}  # the listeners by the number of the sidecar
        self.being_replaced = False
        self.accepted_connections = 0
        self._service_s = service_ms / 1000

    def open(self, sidecars: int) -> None:
        """Open a listener for each sidecar."""
        for sidecar in range(sidecars):
            self.listeners[sidecar] = UpstreamListener(self, sidecar)

    def draw_fault(self, kind: FaultKind) -> bool:
        """Draw whether a fault affects the current request."""
        return kind in self.active_faults and self.random.random() < self.active_faults[kind]

    def draw_service_s(self) -> float:
        """Draw the time for which the upstream processes a request, in seconds."""
        return self.random.expovariate(1 / self._service_s)

    def reset_connections(self, share: float) -> None:
        """Abort each connection with a probability of `share`."""
        for connection in list(self.connections):
            if self.random.random() < share:
                connection.abort()

    def restart(self, boot_ms: int) -> None:
        """Simulate a restart of the upstream's process; its new start time tells sidecars that it needs to warm up."""
        self.incarnation += 1
        self.boot_ms = boot_ms
        self.records.upstream_restarts.append(UpstreamRestart(self.number, self.incarnation, now_s()))
        self.reset_connections(1.0)

    def close(self) -> None:
        """Close all listeners and connections."""
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self.connections):
            connection.abort()


class UpstreamListener:
    """The listener of one upstream for one sidecar."""

    def __init__(self, upstream: SimulatedUpstream, sidecar: int) -> None:
        self.upstream = upstream
        self.sidecar = sidecar
        self.loop = asyncio.get_running_loop()
        self.resumed_s = 0.0  # when the listener last resumed accepting
        self._socket = socket.socket()
        self._socket.setblocking(False)  # noqa: FBT003 - setblocking takes no keyword arguments
        self._socket.bind((upstream.host, 0))
        self._socket.listen(BACKLOG)
        self.port = int(self._socket.getsockname()[1])
        self._backlog_fillers: list[socket.socket] = []
        self.loop.add_reader(self._socket.fileno(), self._accept)

    def suspend(self) -> None:
        """Stop accepting, and fill the backlog.

        Connections that arrive while the backlog is full are established only after a second or more.
        """
        self.loop.remove_reader(self._socket.fileno())
        for _ in range(BACKLOG + 2):
            filler = socket.socket()
            filler.setblocking(False)  # noqa: FBT003 - setblocking takes no keyword arguments
            filler.connect_ex((self.upstream.host, self.port))
            self._backlog_fillers.append(filler)

    def resume(self) -> None:
        """Accept connections again."""
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers.clear()
        self.resumed_s = now_s()
        if self._socket.fileno() >= 0:
            self.loop.add_reader(self._socket.fileno(), self._accept)

    def close(self) -> None:
        """Close the listener; its connections stay open."""
        self.resume()
        self.loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._socket.accept()
                self.upstream.accepted_connections += 1
                self.loop.create_task(self.loop.connect_accepted_socket(lambda: UpstreamConnection(self), accepted))


class UpstreamConnection(asyncio.Protocol):
    """One connection from a sidecar.

    Requests are read under all faults, since the records need their times.
    """

    def __init__(self, listener: UpstreamListener) -> None:
        self._listener = listener
        self._upstream = listener.upstream
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._first_byte_s = 0.0
        self._attempt: Attempt | None = None
        # A sidecar regards a connection in the backlog as established, so it may have written to this connection before
        # the upstream could read from it.
        self._queued = now_s() < listener.resumed_s + BACKLOG_DRAIN_S
        self._head_length = 0
        self._body_length = 0
        self._chunked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading requests from the sidecar."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError(type(transport))
        self._transport = transport
        self._upstream.connections.add(self)
        self._schedule_idle_close()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the open connections of the upstream."""
        self._upstream.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Process received data, and respond when the request is complete."""
        if not self._received:
            self._first_byte_s = now_s()
        self._received += data
        if self._attempt is None and HEAD_END in self._received:
            self._attempt = self._read_head()
        if self._attempt is not None and self._is_complete():
            self._attempt.body_complete_s = now_s()
            self._respond(self._attempt)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _schedule_idle_close(self) -> None:
        if FaultKind.IDLE_CLOSE in self._upstream.active_faults:
            idle_s = SHORTEST_IDLE_S + self._upstream.random.random() * IDLE_SPREAD_S
            self._listener.loop.call_later(idle_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self._attempt is None and self._transport is not None:
            self._transport.close()

    def _read_head(self) -> Attempt:
        head, _, _ = self._received.partition(HEAD_END)
        headers = _parse_headers(head)
        self._head_length = len(head) + len(HEAD_END)
        self._body_length = int(headers.get(b"content-length", b"0"))
        self._chunked = headers.get(b"transfer-encoding") == b"chunked"
        attempt = Attempt(
            headers[b"x-request-id"].decode(),
            self._listener.sidecar,
            self._upstream.number,
            self._first_byte_s,
            int(headers[b"x-deadline-ms"]) / 1000,
            self._upstream.incarnation,
            queued=self._queued,
        )
        self._queued = False
        self._upstream.records.attempts.append(attempt)
        return attempt

    def _is_complete(self) -> bool:
        if self._chunked:
            return self._received.endswith(LAST_CHUNK)
        return len(self._received) >= self._head_length + self._body_length

    def _respond(self, attempt: Attempt) -> None:
        upstream = self._upstream
        if FaultKind.SILENT in upstream.active_faults or FaultKind.HANG in upstream.active_faults:
            return
        if upstream.draw_fault(FaultKind.REJECT):
            attempt.rejected = True
            self._write(REJECTION)
        elif upstream.draw_fault(FaultKind.ERRORS):
            self._write_later(upstream.draw_service_s(), SERVER_ERROR)
        elif upstream.draw_fault(FaultKind.GARBAGE):
            self._write_later(upstream.draw_service_s(), upstream.random.choice(GARBAGE))
        else:
            self._write_later(upstream.draw_service_s(), RESPONSE)

    def _write_later(self, delay_s: float, response: bytes) -> None:
        self._listener.loop.call_later(delay_s, self._write, response)

    def _write(self, response: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if FaultKind.SILENT in self._upstream.active_faults:
            return
        self._received = b""
        self._attempt = None
        self._transport.write(response)
        self._schedule_idle_close()


def _parse_headers(head: bytes) -> dict[bytes, bytes]:
    lines = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in lines}
