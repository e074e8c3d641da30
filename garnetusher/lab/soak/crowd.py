"""Crowds of clients that make a sidecar hold memory: slow, incomplete and very fragmented requests, and slow readers.

Each client repeats one shape of traffic on connections of its own until the crowd is stopped. A crowd is no part of the
requests that the oracle checks: its clients are owed only an error or a close.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
import socket
from dataclasses import dataclass

CONNECT_PAUSE_S = 0.05  # a client connects again this long after its connection ended
RESPONSE_TIMEOUT_S = 6.0
SLOW_BODY_BYTES = 60_000
SLOW_PIECE_BYTES = 1_500
SLOW_PIECE_PAUSE_S = 0.05
HALF_BODY_BYTES = (62_000, 400_000)
SHORT_FIELDS = 2_000
EMPTY_FIELDS = 3_900
LAST_LINE_DELAY_S = 1.5
LONG_RESPONSE_BYTES = (60_000, 500_000)
PAUSE_AFTER_RESPONSE_S = 0.5  # a crowd holds memory, and does not overload the upstreams
SLOW_READ_BYTES = 2_048
SLOW_READ_PAUSE_S = 0.05
SLOW_READ_BUFFER_BYTES = 4_096
LONG_ID_BYTES = 15_000


class CrowdShape(enum.StrEnum):
    """What each client of a crowd does."""

    SLOW_BODIES = "slow bodies"  # bodies just under the size that is streamed, in small pieces
    HALF_BODIES = "half bodies"  # the first half of a body, and nothing more
    SHORT_FIELDS = "short fields"  # heads with thousands of short fields, whose last line comes late
    EMPTY_FIELDS = "empty fields"  # SHORT_FIELDS with names of one byte and no values
    SLOW_READERS = "slow readers"  # responses of 60 to 500 KB that are read slowly through a small window
    LONG_IDS = "long ids"  # heads with an id of almost 16 KB


@dataclass(frozen=True, slots=True)
class CrowdTarget:
    """The sidecar that a crowd connects to, and the classes of its requests."""

    address: tuple[str, int]
    read_class: str  # a class of requests without a body
    write_class: str  # a class of requests with a body
    deadline_ms: int = 2_000


class Crowd:
    """Clients that keep a number of connections to one sidecar.

    Attributes:
        target: the sidecar.
        shapes: the shapes that the clients draw from before each connection.
        ended_connections: the number of connections that have ended.
    """

    def __init__(self, target: CrowdTarget, shapes: tuple[CrowdShape, ...], clients: int, seed: float) -> None:
        self.target = target
        self.shapes = shapes
        self.ended_connections = 0
        self._clients = clients
        self._random = random.Random(seed)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        self._tasks = [asyncio.create_task(self._run_client(number)) for number in range(self._clients)]

    async def stop(self) -> None:
        """Stop all clients and abort their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self, number: int) -> None:
        count = 0
        while True:
            count += 1
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                await self._use_connection(f"crowd-{number}-{count}")
            self.ended_connections += 1
            await asyncio.sleep(CONNECT_PAUSE_S * (0.5 + self._random.random()))

    async def _use_connection(self, request_id: str) -> None:
        shape = self._random.choice(self.shapes)
        sock = socket.socket()
        sock.setblocking(False)  # noqa: FBT003 - setblocking takes no keyword arguments
        if shape is CrowdShape.SLOW_READERS:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, self.target.address)
        reader, writer = await asyncio.open_connection(sock=sock, limit=SLOW_READ_BYTES)
        try:
            await self._play(shape, request_id, reader, writer)
        finally:
            writer.transport.abort()

    async def _play(
        self, shape: CrowdShape, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if shape is CrowdShape.SLOW_BODIES:
            await self._write_slowly(request_id, writer)
        elif shape is CrowdShape.HALF_BODIES:
            size = self._random.randint(*HALF_BODY_BYTES)
            writer.write(self._write_head(request_id, size) + bytes(size // 2))
        elif shape in (CrowdShape.SHORT_FIELDS, CrowdShape.EMPTY_FIELDS):
            is_short = shape is CrowdShape.SHORT_FIELDS
            fields = b"ab: cd\r\n" * SHORT_FIELDS if is_short else b"a:\r\n" * EMPTY_FIELDS
            writer.write(self._read_head(request_id) + fields)
            await asyncio.sleep(LAST_LINE_DELAY_S)
            writer.write(b"\r\n")
        elif shape is CrowdShape.LONG_IDS:
            writer.write(self._read_head(request_id + "x" * LONG_ID_BYTES) + b"\r\n")
        else:
            writer.write(self._read_head(request_id, self._random.randint(*LONG_RESPONSE_BYTES)) + b"\r\n")
            await _read_slowly(reader)
            return
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(PAUSE_AFTER_RESPONSE_S)

    async def _write_slowly(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        writer.write(self._write_head(request_id, SLOW_BODY_BYTES))
        for _ in range(SLOW_BODY_BYTES // SLOW_PIECE_BYTES):
            writer.write(bytes(SLOW_PIECE_BYTES))
            await writer.drain()
            await asyncio.sleep(SLOW_PIECE_PAUSE_S)

    def _read_head(self, request_id: str, response_bytes: int = 0) -> bytes:
        """Return a head without its last empty line; the target tells the upstream how long the response is to be."""
        return self._head("GET", self.target.read_class, request_id, f"?size={response_bytes}")

    def _write_head(self, request_id: str, body_bytes: int) -> bytes:
        head = self._head("POST", self.target.write_class, request_id, "")
        return head + b"Content-Length: %d\r\n\r\n" % body_bytes

    def _head(self, method: str, class_name: str, request_id: str, query: str) -> bytes:
        return (
            f"{method} /{class_name}/crowd{query} HTTP/1.1\r\nHost: api\r\nX-Request-Id: {request_id}\r\n"
            f"X-Class: {class_name}\r\nX-Deadline-Ms: {self.target.deadline_ms}\r\n"
        ).encode()


async def _read_slowly(reader: asyncio.StreamReader) -> None:
    while await reader.read(SLOW_READ_BYTES):  # noqa: ASYNC110 - the pause is the purpose
        await asyncio.sleep(SLOW_READ_PAUSE_S)
