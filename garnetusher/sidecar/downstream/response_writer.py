"""Writes responses to a connection: status line, head and body."""

from __future__ import annotations

import asyncio

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.errors import NotConnectedError
from garnetusher.sidecar.streaming import LAST_CHUNK, STALL_TIMEOUT_US, Head, Source, chunk

WRITE_BUFFER_LIMIT = 32 * 1024  # unsent bytes of a long response before its upstream is paused
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
PIPELINING_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
}


def response_head(status: int, headers: bytes, *, close: bool) -> bytes:
    """Return a status line with headers.

    Args:
        status: one of `REASONS`.
        headers: header lines, each with its line end.
        close: tell the client that the connection closes behind the response.
    """
    connection = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (status, REASONS[status], headers, connection)


def content_type_header(content_type: bytes) -> bytes:
    """Return the header line of a content type, or nothing without one."""
    return b"Content-Type: %s\r\n" % content_type if content_type else b""


def retry_after_header(retry_after_us: int) -> bytes:
    """Return the header line that tells when to retry, or nothing for 0."""
    return b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""


class ResponseWriter:
    """The response that is being written to a connection; it is reused for the connection's next response.

    Attributes:
        source: where the rest of a streamed response comes from; None while none is streamed.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._blocked_since_us = 0  # since when the client has taken none of what was written; 0: all is taken
        self._blocked_size = 0  # the unsent bytes, as last checked
        self.reset()

    def reset(self) -> None:
        """Begin the connection's next response."""
        self.source: Source | None = None
        self._chunked = False

    def connect(self, transport: asyncio.BaseTransport) -> None:
        """Write to a transport from now on.

        Raises:
            NotConnectedError: it is no stream.
        """
        if not isinstance(transport, asyncio.Transport):
            raise NotConnectedError
        transport.set_write_buffer_limits(high=WRITE_BUFFER_LIMIT)
        self._transport = transport

    @property
    def transport(self) -> asyncio.Transport:
        """The connection's transport.

        Raises:
            NotConnectedError: it has none yet.
        """
        if self._transport is None:
            raise NotConnectedError
        return self._transport

    @property
    def unsent_size(self) -> int:
        """Bytes of responses that the client has not taken yet."""
        return self.transport.get_write_buffer_size()

    def write_continue(self) -> None:
        """Tell the client to send the body."""
        self.transport.write(CONTINUE_RESPONSE)

    def write_pipelining_error(self) -> None:
        """Reject what came behind a request before its response."""
        self.transport.write(PIPELINING_RESPONSE)

    def write_response(self, status: int, body: bytes, headers: bytes, *, close: bool) -> None:
        """Write a complete response; see `response_head` for the arguments."""
        headers += b"Content-Length: %d\r\n" % len(body)
        self.transport.write(response_head(status, headers, close=close) + body)

    def start_stream(self, head: Head, source: Source, *, allow_chunked: bool) -> bool:
        """Choose the framing of a streamed response: its length, chunks, or the end of the connection.

        Returns:
            Whether only the end of the connection will tell the end of the response.
        """
        self.source = source
        self._chunked = head.length is None and allow_chunked
        return head.length is None and not self._chunked

    def write_stream_head(self, head: Head, *, close: bool) -> None:
        """Write the head of a streamed response."""
        headers = content_type_header(head.content_type)
        if self._chunked:
            headers += b"Transfer-Encoding: chunked\r\n"
        elif head.length is not None:
            headers += b"Content-Length: %d\r\n" % head.length
        self.transport.write(response_head(200, headers, close=close))

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of a streamed response."""
        if not data or self.transport.is_closing():
            return
        if self._chunked:
            self.transport.writelines(chunk(data))
        else:
            self.transport.write(data)

    def end_stream(self) -> None:
        """Write the end of a streamed response."""
        if self._chunked:
            self.transport.write(LAST_CHUNK)

    def pause(self) -> None:
        """Pause the source: the client reads more slowly than the upstream sends."""
        self._blocked_since_us = monotonic_us()
        if self.source is not None:
            self.source.pause()

    def resume(self) -> None:
        """Resume the source: the client has taken most of what was written."""
        self._blocked_since_us = 0
        if self.source is not None:
            self.source.resume()

    def abort_if_stalled(self, now_us: int) -> None:
        """Abort the connection if its client has taken nothing for the stall time-out."""
        if not self._blocked_since_us:
            return
        unsent_size = self.unsent_size
        if unsent_size != self._blocked_size:
            self._blocked_since_us = now_us
            self._blocked_size = unsent_size
        elif now_us > self._blocked_since_us + STALL_TIMEOUT_US:
            self.transport.abort()
