"""Simulated clients of the soak.

They send requests at a given rate, without waiting for responses, and misbehave while a fault of the plan is active.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from garnetusher.errors import GarnetusherError
from garnetusher.lab.soak.plan import FaultKind, Plan, RequestClass, is_repeatable_anywhere
from garnetusher.lab.soak.records import End, MalformedConnection, Records, Request, now_s
from garnetusher.lab.soak.upstream import LAST_CHUNK, long_response_body, response_body

# Clients wait this long after the deadline. A response counts as late for 0.5 s after its deadline, and then as lost.
RESPONSE_TIMEOUT_S = 0.8
LATE_BODY_TIMEOUT_S = 8.0  # clients wait this long for a body after its head
MALFORMED_TIMEOUT_S = 4.0  # clients wait longer than the 3 s within which a sidecar has to close a malformed connection
WRITE_TIMEOUT_S = 10.0  # a client that can't write its whole request by then gives up
LONG_BODY_BYTES = 150_000
LARGE_BODY_BYTES = (5_000_000, 8_000_000)  # range of sizes; more than the kernels of both ends hold
CLOSING_BODY_BYTES = 60_000
CHUNK_BYTES = 65_536
SHORT_BODY_BYTES = 20
MAX_IDLE_CONNECTIONS = 6
MALFORMED_REQUESTS = (
    b"",
    b"GET /read HTTP/1.1\r\nX-Req",
    b"\x16\x03\x01\x02\x00",
    b"POST /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
)
PIPELINED_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
END_OF_STATUS = {200: End.SERVED, 503: End.REFUSED, 429: End.REFUSED}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER that turns it on with a timeout of 0 s

REUSE_SHARE = 0.85  # this share of requests reuses an idle connection if there is one

# Each share is the part of the connections or requests that a fault affects while it is active.
MALFORMED_SHARE = 0.3
LONG_BODY_SHARE = 0.5
LARGE_BODY_SHARE = 0.4
CHUNKED_SHARE = 0.5  # this share of large bodies is sent in chunks
CLOSING_SHARE = 0.5
PIPELINE_SHARE = 0.3
DISCONNECT_SHARE = 0.5
REPEATED_ID_SHARE = 0.2
RESET_SHARE = 0.3  # this share of disconnecting clients resets the connection
TRUNCATED_REQUEST_SHARE = 0.4
SLOW_WRITER_SHARE = 0.5
SLOW_WRITER_CUTS = 3
SLOW_WRITER_PAUSE_S = 0.15  # the longest pause between two pieces of a request
SLOW_HEAD_SHARE = 0.5
SLOW_HEAD_PAUSE_S = 1.8  # the longest pause within a head; a client may take 2 s for it
SLOW_HEAD_FIRST_BYTES = 20


class TruncatedResponseError(GarnetusherError):
    """A connection ended within a response."""


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """A connection from a client to the sidecar."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_closed(self) -> bool:
        """Whether the sidecar is known to have closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def abort(self) -> None:
        """Close at once and discard unsent data."""
        self.writer.transport.abort()


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    keep_alive: bool
    body: bytes


class ClientGroup:
    """All clients of one sidecar."""

    def __init__(
        self,
        sidecar: int,
        address: tuple[str, int],
        plan: Plan,
        records: Records,
        on_timeout: Callable[[str], Awaitable[None]],
    ) -> None:
        self.active_faults: set[FaultKind] = set()
        self._sidecar = sidecar
        self._address = address
        self._plan = plan
        self._records = records
        self._on_timeout = on_timeout  # called with the identifier of a request without a response
        self._random = random.Random(f"{plan.seed}-clients-{sidecar}")
        self._idle: list[ClientConnection] = []
        self._requests_made = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, ends_s: float) -> None:
        """Send requests until a given time, without waiting for responses, and then wait for the last response."""
        while now_s() < ends_s:
            await asyncio.sleep(self._random.expovariate(self._plan.rate_per_s))
            self._start_exchange()
        while self._tasks:
            await asyncio.wait(self._tasks)
        for connection in self._idle:
            connection.abort()

    def _start_exchange(self) -> None:
        if self._draw_fault(FaultKind.MALFORMED, MALFORMED_SHARE):
            exchange = self._send_malformed()
        else:
            self._requests_made += 1
            request_id = f"s{self._sidecar}-{self._requests_made}"
            exchange = self._send_request(request_id, self._random.choice(self._plan.classes))
        task = asyncio.get_running_loop().create_task(exchange)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _draw_fault(self, kind: FaultKind, share: float) -> bool:
        """Draw whether a fault affects the current request or connection."""
        return kind in self.active_faults and self._random.random() < share

    async def _connect(self) -> ClientConnection | None:
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            return None
        return ClientConnection(reader, writer)

    async def _send_malformed(self) -> None:
        """Send a malformed request, and record when the sidecar responds or closes the connection, if it does so."""
        connection = await self._connect()
        if connection is None:
            return
        connected_s = now_s()
        closed_s = 0.0
        with contextlib.suppress(ConnectionError, TimeoutError):
            connection.writer.write(self._random.choice(MALFORMED_REQUESTS))
            await asyncio.wait_for(connection.reader.read(100), MALFORMED_TIMEOUT_S)
            closed_s = now_s()
        if connection.writer.transport.is_closing() or connection.reader.at_eof():
            closed_s = closed_s or now_s()
        self._records.malformed_connections.append(MalformedConnection(self._sidecar, connected_s, closed_s))
        connection.abort()

    async def _send_request(self, request_id: str, request_class: RequestClass) -> None:
        """Send one request; retry it once on a new connection if a reused connection was closed before the response.

        The retry has its own identifier, so the oracle checks it as a separate request.
        """
        reused = self._idle.pop() if self._idle and self._random.random() < REUSE_SHARE else None
        request = await self._exchange(request_id, request_class, reused)
        if request is not None and request.disconnected_s and FaultKind.REPEATED_IDS in self.active_faults:
            await self._repeat(request, request_class)
        if request is not None and request.end is End.CLOSED and reused is not None:
            await self._exchange(request_id + "-again", request_class, None)

    async def _repeat(self, request: Request, request_class: RequestClass) -> None:
        """Send a request again under its id; the records of its attempts show whether it runs again."""
        if is_repeatable_anywhere(request_class):
            return
        connection = await self._connect()
        if connection is None:
            return
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, TruncatedResponseError):
            async with asyncio.timeout(request_class.deadline_ms / 1000 + RESPONSE_TIMEOUT_S):
                request.repeated_s = now_s()
                body = self._draw_body(request_class, closes=False)
                connection.writer.write(_encode(request.request_id, request_class, body))
                await _read_response(connection.reader, await _read_head(connection.reader))
        connection.abort()

    async def _exchange(
        self, request_id: str, request_class: RequestClass, reused: ClientConnection | None
    ) -> Request | None:
        """Send a request and wait for its response; return None if the request was not written completely."""
        connection = reused or await self._connect()
        if connection is None:
            return None
        closes = self._draw_fault(FaultKind.CLOSING_CLIENTS, CLOSING_SHARE)
        body = self._draw_body(request_class, closes=closes)
        is_chunked = len(body) > LONG_BODY_BYTES and self._random.random() < CHUNKED_SHARE
        data = _encode(request_id, request_class, body, closes=closes, is_chunked=is_chunked)
        pauses_in_head = self._draw_fault(FaultKind.SLOW_HEADS, SLOW_HEAD_SHARE)
        began_s = now_s() if pauses_in_head else 0.0
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                if not await self._write(connection.writer, data, pauses_in_head=pauses_in_head):
                    return None
        except (ConnectionError, TimeoutError):
            connection.abort()
            return None
        deadline_s = request_class.deadline_ms / 1000
        request = Request(request_id, self._sidecar, request_class.name, deadline_s, now_s(), reused is None)
        request.began_s = began_s
        self._records.requests[request_id] = request
        if self._draw_fault(FaultKind.PIPELINES, PIPELINE_SHARE):
            connection.writer.write(PIPELINED_REQUEST)
        disconnect_timer = self._schedule_disconnect(request, connection)
        await self._receive(request, connection)
        if disconnect_timer is not None:
            disconnect_timer.cancel()
        return request

    def _draw_body(self, request_class: RequestClass, *, closes: bool) -> bytes:
        if request_class.effect == "idempotent":
            return b""
        if self._draw_fault(FaultKind.LARGE_BODIES, LARGE_BODY_SHARE):
            return b"x" * self._random.randint(*LARGE_BODY_BYTES)
        if closes:
            return b"x" * CLOSING_BODY_BYTES
        is_long = self._draw_fault(FaultKind.LONG_BODIES, LONG_BODY_SHARE)
        return b"x" * (LONG_BODY_BYTES if is_long else SHORT_BODY_BYTES)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes, *, pauses_in_head: bool) -> bool:
        """Write a request; return whether it was written completely."""
        if self._draw_fault(FaultKind.TRUNCATED_REQUESTS, TRUNCATED_REQUEST_SHARE):
            writer.write(data[: self._random.randrange(1, len(data))])
            await asyncio.sleep(self._random.random())
            writer.transport.abort()
            return False
        if pauses_in_head:
            writer.write(data[:SLOW_HEAD_FIRST_BYTES])
            await asyncio.sleep(SLOW_HEAD_PAUSE_S * self._random.random())
            writer.write(data[SLOW_HEAD_FIRST_BYTES:])
        elif self._draw_fault(FaultKind.SLOW_WRITERS, SLOW_WRITER_SHARE):
            await self._write_slowly(writer, data)
        else:
            writer.write(data)
        if len(data) > LONG_BODY_BYTES:
            writer.transport.set_write_buffer_limits(high=0)  # `drain` then waits until the kernel has the last byte
        await writer.drain()
        return True

    async def _write_slowly(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        cuts = sorted(self._random.sample(range(1, len(data)), SLOW_WRITER_CUTS))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            writer.write(data[start:end])
            await asyncio.sleep(SLOW_WRITER_PAUSE_S * self._random.random())

    def _schedule_disconnect(self, request: Request, connection: ClientConnection) -> asyncio.TimerHandle | None:
        leaves = self._draw_fault(FaultKind.DISCONNECTS, DISCONNECT_SHARE)
        if not leaves and not self._draw_fault(FaultKind.REPEATED_IDS, REPEATED_ID_SHARE):
            return None
        delay_s = self._random.random() ** 2 * request.deadline_s
        return asyncio.get_running_loop().call_later(delay_s, self._disconnect, request, connection)

    def _disconnect(self, request: Request, connection: ClientConnection) -> None:
        """Disconnect before the response arrives: reset a share of the connections, and close the others."""
        if request.end is not None:
            return
        request.disconnected_s = now_s()
        if self._random.random() < RESET_SHARE:
            client_socket = connection.writer.get_extra_info("socket")
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.abort()

    async def _receive(self, request: Request, connection: ClientConnection) -> None:
        """Wait for the response, and record how the request ended."""
        keep_alive = False
        try:
            async with asyncio.timeout(request.deadline_s + RESPONSE_TIMEOUT_S) as time_limit:
                head = await _read_head(connection.reader)
                time_limit.reschedule(asyncio.get_running_loop().time() + LATE_BODY_TIMEOUT_S)
                response = await _read_response(connection.reader, head)
            keep_alive = response.keep_alive
            request.end = END_OF_STATUS.get(response.status, End.FAILED)
            bodies = (response_body(request.request_id), long_response_body(request.request_id))
            if request.end is End.SERVED and response.body not in bodies:
                request.foreign_body = response.body or b"(empty)"
        except TimeoutError:
            request.end = End.SILENT
        except TruncatedResponseError:
            request.end = End.BROKEN
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            request.end = End.CLOSED
        request.ended_s = now_s()
        if request.end is End.SILENT:
            await self._on_timeout(request.request_id)
        if keep_alive and not request.disconnected_s and self._may_keep_idle():
            self._idle.append(connection)
        else:
            connection.abort()

    def _may_keep_idle(self) -> bool:
        """Return whether a connection may be kept for reuse.

        A connection that may still carry the response to a pipelined request is not reused.
        """
        return FaultKind.PIPELINES not in self.active_faults and len(self._idle) < MAX_IDLE_CONNECTIONS


def _encode(
    request_id: str, request_class: RequestClass, body: bytes, *, closes: bool = False, is_chunked: bool = False
) -> bytes:
    method = "GET" if request_class.effect == "idempotent" else "POST"
    key = f"Idempotency-Key: {request_id}\r\n" if request_class.effect == "deduplicated" else ""
    length = "" if method == "GET" else f"Content-Length: {len(body)}\r\n"
    if is_chunked:
        length, body = "Transfer-Encoding: chunked\r\n", _in_chunks(body)
    if closes:
        length += "Connection: close\r\n"
    name = request_class.name
    head = (
        f"{method} /{name}/x HTTP/1.1\r\nHost: api\r\nX-Request-Id: {request_id}\r\nX-Class: {name}\r\n"
        f"X-Deadline-Ms: {request_class.deadline_ms}\r\n{key}{length}\r\n"
    )
    return head.encode() + body


def _in_chunks(body: bytes) -> bytes:
    pieces = [body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + LAST_CHUNK


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of a response.

    Raises:
        TruncatedResponseError: The connection ends within the head.
        asyncio.IncompleteReadError: The connection ends before the first byte.
        ConnectionError: The connection is reset before the head is complete.
    """
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise TruncatedResponseError from None
        raise


async def _read_response(reader: asyncio.StreamReader, head: bytes) -> Response:
    """Read the body that follows a head.

    Raises:
        TruncatedResponseError: The connection ends within the body.
    """
    headers = head.lower()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        raise TruncatedResponseError from None
    return Response(int(head.split(b" ")[1]), b"connection: close" not in headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: bytes) -> bytes:
    if b"transfer-encoding" in headers:
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    if b"content-length:" in headers:
        length = int(headers.split(b"content-length:")[1].split(b"\r\n")[0])
        return await reader.readexactly(length)
    return await reader.read()
