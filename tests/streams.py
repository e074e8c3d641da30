"""Long bodies and responses, and an upstream whose connections a function of the test handles."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.net import OK, Upstream, request, respond_with

LONG_BODY = bytes(range(256)) * 4096  # 1 MiB
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Not-Run\r\n\r\n"
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class FunctionUpstream(Upstream):
    """An upstream that calls a function for each of its connections."""

    def __init__(self, handler: ConnectionHandler) -> None:
        super().__init__(respond_with(OK))
        self.handler = handler

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self.handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def chunked(data: bytes, size: int, extra: bytes = b"") -> bytes:
    """Return data in chunks of `size` bytes, each with the chunk extension `extra`."""
    return b"".join(
        b"%x%s\r\n%s\r\n" % (len(data[offset : offset + size]), extra, data[offset : offset + size])
        for offset in range(0, len(data), size)
    )


async def read_body(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of a message in any framing: with a length, chunked, or up to the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lower = head.lower()
    if b"transfer-encoding: chunked" in lower:
        body = bytearray()
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return head, bytes(body)
    if b"content-length: " in lower:
        return head, await reader.readexactly(int(lower.split(b"content-length: ")[1].split(b"\r\n")[0]))
    return head, await reader.read()


def upload_request(body: bytes, chunk_size: int = 0, extra: str = "") -> bytes:
    """Return an at_most_once request with a long body; it has Content-Length if `chunk_size` is 0, or else chunks."""
    if not chunk_size:
        return request("pay", body=body, extra=extra)
    head = request("pay", extra=extra).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + chunked(body, chunk_size, b";x") + b"0\r\nX-Trailer: 1\r\n\r\n"
