"""Writes requests to an upstream: the head, and a long body as it arrives from the client."""

from __future__ import annotations

import asyncio

from garnetusher.sidecar.requests.messages import HttpRequest
from garnetusher.sidecar.streaming import LAST_CHUNK, Upload, chunk

Address = tuple[str, int]


def request_head(request: HttpRequest, address: Address, remaining_us: int) -> bytes:
    """Return the head of an attempt: the client's headers, and X-Deadline-Ms with the remaining time."""
    host, port = address
    lines = [
        b"%s %s HTTP/1.1\r\nHost: %s:%d\r\n" % (request.method, request.target, host.encode(), port),
        request.headers,
        b"X-Deadline-Ms: %d\r\n" % max(1, remaining_us // 1000),
    ]
    length = request.upload.length if request.upload is not None else len(request.body)
    if length is None:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    elif request.method != b"GET" or length:
        lines.append(b"Content-Length: %d\r\n" % length)
    lines.append(b"\r\n")
    return b"".join(lines)


class RequestWriter:
    """Writes the requests of one connection, one after the other.

    Attributes:
        transport: the transport of the connection.
        has_unsent_bytes: whether some of the written bytes have not been passed to the kernel.
        head_sent: whether the kernel has all of the latest head and of what was written with it.
        body_incomplete: whether a part of the request's body has not arrived from the client yet.
    """

    __slots__ = ("_chunked", "body_incomplete", "has_unsent_bytes", "head_sent", "transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.has_unsent_bytes = False
        self.head_sent = False
        self.body_incomplete = False
        self._chunked = False

    @property
    def request_incomplete(self) -> bool:
        """Whether the upstream cannot have received the whole request yet."""
        return self.has_unsent_bytes or self.body_incomplete

    def write_head(self, head: bytes) -> bool:
        """Write a head and its buffered body; return False if no byte was sent although the connection is open."""
        self.transport.write(head)
        self.head_sent = not self.has_unsent_bytes
        return self.transport.get_write_buffer_size() < len(head) or self.transport.is_closing()

    def start_body(self, upload: Upload) -> None:
        """Write the part of a long body that has arrived; the upload passes on the rest as it arrives."""
        self.body_incomplete = True
        self._chunked = upload.length is None
        self.write_body_chunk(upload.attach(self))
        if upload.complete:
            self.end_body()
        if self.has_unsent_bytes:
            upload.set_source_reading(enabled=False)

    def write_body_chunk(self, data: bytes) -> None:
        """Write the next part of a long body."""
        if not data:
            return
        if self._chunked:
            self.transport.writelines(chunk(data))
        else:
            self.transport.write(data)

    def end_body(self) -> None:
        """Write the end of a long body."""
        if self._chunked:
            self.transport.write(LAST_CHUNK)
        self.body_incomplete = False
