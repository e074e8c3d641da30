"""One client that sends costly or useless bytes at full speed, on one connection as long as the sidecar keeps it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import itertools

from garnetusher.lab.soak.crowd import CrowdTarget

CHUNKS_PER_WRITE = 5_000
FIELDS_PER_HEAD = 2_000
USELESS_BYTES = 32_768


class FloodKind(enum.StrEnum):
    """What the client sends."""

    SMALL_CHUNKS = "chunks of one byte"
    EMPTY_LINES = "empty lines"
    READINESS = "readiness checks"
    UNSOUND = "unsound requests"
    TENANTS = "ever new tenants"
    FIELDS = "heads of short fields"
    DISCARDED = "bytes after an error"


class Flood:
    """Sends one kind of bytes until it is cancelled; it connects again whenever its connection ends."""

    def __init__(self, kind: FloodKind, target: CrowdTarget) -> None:
        self.kind = kind
        self.target = target
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Flood the sidecar without an end."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.target.address)
                writer.transport.set_write_buffer_limits(high=1)
                try:
                    await self._use(reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.kind in (FloodKind.READINESS, FloodKind.TENANTS, FloodKind.FIELDS):
            while True:
                writer.write(self._whole_request())
                await _read_response(reader)
        first, rest = self._endless_bytes()
        writer.write(first)
        while not writer.transport.is_closing():
            writer.write(rest)
            await writer.drain()
            await asyncio.sleep(0)  # `drain` does not yield while the kernel takes all bytes

    def _endless_bytes(self) -> tuple[bytes, bytes]:
        """Return the first bytes of a connection, and the bytes that follow them again and again."""
        if self.kind is FloodKind.SMALL_CHUNKS:
            head = self._head("POST", self.target.write_class) + b"Transfer-Encoding: chunked\r\n\r\n"
            return head, b"1\r\nx\r\n" * CHUNKS_PER_WRITE
        if self.kind is FloodKind.EMPTY_LINES:
            return b"", b"\r\n" * (USELESS_BYTES // 2)
        if self.kind is FloodKind.UNSOUND:
            return b"", b"GET /unknown HTTP/1.1\r\nHost: api\r\n\r\n"
        return b"unsound\r\n\r\n", bytes(USELESS_BYTES)

    def _whole_request(self) -> bytes:
        if self.kind is FloodKind.READINESS:
            return b"GET /up HTTP/1.1\r\nHost: api\r\n\r\n"
        fields = b"a: b\r\n" * FIELDS_PER_HEAD if self.kind is FloodKind.FIELDS else b""
        return self._head("GET", self.target.read_class) + fields + b"\r\n"

    def _head(self, method: str, class_name: str) -> bytes:
        number = next(self._numbers)
        return (
            f"{method} /{class_name}/flood HTTP/1.1\r\nHost: api\r\nX-Request-Id: flood-{number}\r\n"
            f"X-Tenant: tenant-{number}\r\nX-Deadline-Ms: {self.target.deadline_ms}\r\n"
        ).encode()


async def _read_response(reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    await reader.readexactly(int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0] or b"0"))
