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
SIZE_QUERY = b"?size="
LAST_CHUNK = b"0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
GARBAGE = (b"HTTP/1.1 200 OK\r\nContent-Length: zz\r\n\r\n", b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\n")
# An idle connection is closed early after SHORTEST_IDLE_S plus a random time below IDLE_SPREAD_S.
SHORTEST_IDLE_S = 0.02
IDLE_SPREAD_S = 0.3
SECOND_RESPONSE_DELAY_S = (0.0005, 0.006)  # range of the time between a response and its second copy
SECOND_RESPONSE_PIECE_GAP_S = 0.001  # a copy in pieces has this pause before its body
SECOND_RESPONSE_PIECES_SHARE = 0.5
LONG_RESPONSE_BYTES = 100_000
LATE_BODY_S = 0.9
LONG_RESPONSE_S = 3.5  # longer than the time from a late request to SIGKILL
LONG_RESPONSE_PARTS = 35
CHUNKED_SHARE = 0.5  # this share of the responses that take seconds has no length


def response_body(request_id: str) -> bytes:
    """Return the body of the successful response to a request, which names the request."""
    return f"served {request_id}".encode()


def long_response_body(request_id: str) -> bytes:
    """Return the body of a long successful response, which names the request."""
    return response_body(request_id).ljust(LONG_RESPONSE_BYTES, b".")


def _response(request_id: str) -> bytes:
    body = response_body(request_id)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def _late_response(request_id: str) -> tuple[bytes, bytes]:
    """Return the head and the rest of a long response in chunks."""
    body = long_response_body(request_id)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


class SimulatedUpstream:
    """One upstream with its active faults, listeners and connections."""

    def __init__(self, number: int, host: str, service_ms: float, records: Records, seed: int) -> None:
        self.number = number
        self.host = host
        self.records = records
        self.random = random.Random(f"{seed}-{number}")
        self.incarnation = 0  # the number of restarts
        self.boot_ms = 0  # the last restart, in milliseconds since the epoch; 0 = long ago
        self.active_faults: dict[FaultKind, float] = {}  # the share of requests that each fault affects
        self.connections: set[UpstreamConnection] = set()
        self.listeners: dict[int, UpstreamListener] = {}  # the listeners by the number of the sidecar
        self.being_replaced = False
        self.accepted_connections = 0
        self.thawed_s = 0.0  # the time at which the latest freeze ended
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

    def freeze(self) -> None:
        """Stop reading from all connections; the kernel still accepts connections and some bytes."""
        self.active_faults[FaultKind.FREEZE] = 1.0
        for connection in self.connections:
            connection.pause_reading()

    def thaw(self) -> None:
        """Read from all connections again."""
        self.active_faults.pop(FaultKind.FREEZE, None)
        self.thawed_s = now_s()
        for connection in self.connections:
            connection.resume_reading()

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
        self.resumed_s = 0.0  # the time at which the listener last resumed accepting
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
        self._received = bytearray()
        self._first_byte_s = 0.0
        self._attempt: Attempt | None = None
        # A sidecar regards a connection in the backlog as established, so it may have written to this connection before
        # the upstream could read from it.
        self._queued = now_s() < listener.resumed_s + BACKLOG_DRAIN_S
        self._head_length = 0
        self._body_length = 0
        self._chunked = False
        self._response_bytes = 0  # the length of the response that the request asks for; 0 = the usual one
        self._late_attempt: Attempt | None = None  # the attempt whose response lacks its late body

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading requests from the sidecar."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError(type(transport))
        self._transport = transport
        # Small writes wait for the acknowledgement of the previous one, as on any socket with the default options.
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        self._upstream.connections.add(self)
        if FaultKind.FREEZE in self._upstream.active_faults:
            self.pause_reading()
        self._schedule_idle_close()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the open connections of the upstream."""
        self._upstream.connections.discard(self)
        if self._late_attempt is not None:
            self._late_attempt.cut_s = now_s()

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
        if self._late_attempt is not None:
            self._late_attempt.reset_s = now_s()
            self._late_attempt = None
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Leave further bytes in the kernel."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport is not None:
            self._transport.resume_reading()

    def _schedule_idle_close(self) -> None:
        if FaultKind.IDLE_CLOSE in self._upstream.active_faults:
            idle_s = SHORTEST_IDLE_S + self._upstream.random.random() * IDLE_SPREAD_S
            self._listener.loop.call_later(idle_s, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self._attempt is None and self._transport is not None:
            self._transport.close()

    def _read_head(self) -> Attempt:
        head, _, _ = self._received.partition(HEAD_END)
        headers = _parse_headers(bytes(head))
        self._head_length = len(head) + len(HEAD_END)
        self._body_length = int(headers.get(b"content-length", b"0"))
        self._chunked = headers.get(b"transfer-encoding") == b"chunked"
        self._response_bytes = int(head.partition(SIZE_QUERY)[2].partition(b" ")[0] or b"0")
        attempt = Attempt(
            headers[b"x-request-id"].decode(),
            self._listener.sidecar,
            self._upstream.number,
            self._first_byte_s,
            int(headers[b"x-deadline-ms"]) / 1000,
            self._upstream.incarnation,
            queued=self._queued,
            thawed_s=self._upstream.thawed_s,
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
        if any(kind in upstream.active_faults for kind in (FaultKind.SILENT, FaultKind.HANG, FaultKind.FREEZE)):
            return
        if upstream.draw_fault(FaultKind.REJECT):
            attempt.rejected = True
            self._write(REJECTION)
        elif upstream.draw_fault(FaultKind.ERRORS):
            self._write_later(upstream.draw_service_s(), SERVER_ERROR)
        elif upstream.draw_fault(FaultKind.GARBAGE):
            self._write_later(upstream.draw_service_s(), upstream.random.choice(GARBAGE))
        elif upstream.draw_fault(FaultKind.LATE_BODIES):
            self._respond_late(attempt)
        elif upstream.draw_fault(FaultKind.LONG_RESPONSES):
            self._respond_slowly(attempt)
        else:
            self._write_later(upstream.draw_service_s(), self._usual_response(attempt))

    def _usual_response(self, attempt: Attempt) -> bytes:
        if not self._response_bytes:
            return _response(attempt.request_id)
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self._response_bytes + bytes(self._response_bytes)

    def _respond_late(self, attempt: Attempt) -> None:
        """Write the head of a long response at once, and its body later."""
        if self._transport is None or self._transport.is_closing():
            return
        head, rest = _late_response(attempt.request_id)
        self._late_attempt = attempt
        attempt.late_head_s = now_s()
        self._transport.write(head)
        self._write_later(LATE_BODY_S, rest)

    def _respond_slowly(self, attempt: Attempt) -> None:
        """Write the head of a long response at once, and its body steadily over some seconds."""
        if self._transport is None or self._transport.is_closing():
            return
        body = long_response_body(attempt.request_id)
        size = -(-len(body) // LONG_RESPONSE_PARTS)
        parts = [body[start : start + size] for start in range(0, len(body), size)]
        framing = b"Content-Length: %d" % len(body)
        if self._upstream.random.random() < CHUNKED_SHARE:
            framing = b"Transfer-Encoding: chunked"
            parts = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
            parts[-1] += LAST_CHUNK
        self._late_attempt = attempt
        attempt.late_head_s = now_s()
        self._transport.write(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % framing)
        self._write_parts(attempt, parts)

    def _write_parts(self, attempt: Attempt, parts: list[bytes]) -> None:
        """Write the next part of a long response, and schedule the others."""
        if self._late_attempt is not attempt or self._transport is None or self._transport.is_closing():
            return
        if len(parts) == 1:
            self._write(parts[0])
            return
        self._transport.write(parts[0])
        self._listener.loop.call_later(LONG_RESPONSE_S / LONG_RESPONSE_PARTS, self._write_parts, attempt, parts[1:])

    def _write_later(self, delay_s: float, response: bytes) -> None:
        self._listener.loop.call_later(delay_s, self._write, response)

    def _write(self, response: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if FaultKind.SILENT in self._upstream.active_faults:
            if self._late_attempt is not None:  # from now on the upstream writes nothing, so the sidecar may give it up
                self._late_attempt.silenced_s = now_s()
            self._late_attempt = None
            return
        self._received = bytearray()
        self._attempt = self._late_attempt = None
        self._transport.write(response)
        if self._upstream.draw_fault(FaultKind.SECOND_RESPONSES):
            self._schedule_second_copy(response)
        self._schedule_idle_close()

    def _schedule_second_copy(self, response: bytes) -> None:
        rng = self._upstream.random
        due_s = now_s() + rng.uniform(*SECOND_RESPONSE_DELAY_S)
        if rng.random() < SECOND_RESPONSE_PIECES_SHARE:
            head, end, body = response.partition(HEAD_END)
            self._write_second_at(due_s, head + end)
            self._write_second_at(due_s + SECOND_RESPONSE_PIECE_GAP_S, body)
        else:
            self._write_second_at(due_s, response)

    def _write_second_at(self, due_s: float, data: bytes) -> None:
        self._listener.loop.call_later(due_s - now_s(), self._write_second, due_s, data)

    def _write_second(self, due_s: float, data: bytes) -> None:
        """Write a part of a second copy, unless this process is late: a sidecar can't recognize a later copy."""
        is_late = now_s() > due_s + SECOND_RESPONSE_PIECE_GAP_S
        if not is_late and self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def _parse_headers(head: bytes) -> dict[bytes, bytes]:
    lines = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in lines}
