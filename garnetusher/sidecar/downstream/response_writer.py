"""Writes responses to a connection: status line, headers and body."""

from __future__ import annotations

import asyncio

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.errors import NotConnectedError
from garnetusher.sidecar.streaming import LAST_CHUNK, STALL_TIMEOUT_US, Head, Source, chunk

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
PIPELINING_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
}


def response_head(status: int, headers: bytes, *, close: bool) -> bytes:
    """Return a status line with headers.

    Args:
        status: A status from `REASON_PHRASES`.
        headers: Header lines, each with its line end.
        close: Whether to add `Connection: close`.
    """
    connection = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (status, REASON_PHRASES[status], headers, connection)


def content_type_header(content_type: bytes) -> bytes:
    """Return a Content-Type header line, or empty bytes for an empty type."""
    return b"Content-Type: %s\r\n" % content_type if content_type else b""


def retry_after_header(retry_after_us: int) -> bytes:
    """Return a Retry-After header line, or empty bytes for a delay of 0."""
    return b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""


class ResponseWriter:
    """Writer of a connection's current response; reused for each next response.

    Attributes:
        source: Supplies the rest of a streamed response; None while no response is streamed.
    """

    def __init__(self, write_buffer_limit: int) -> None:
        """Initialize for a connection.

        Args:
            write_buffer_limit: The number of unsent bytes above which the source of a streamed response is paused.
        """
        self._write_buffer_limit = write_buffer_limit
        self._transport: asyncio.Transport | None = None
        self._writing_paused = False  # whether the event loop has too many unsent bytes
        self._blocked_since_us = 0  # the time of the last progress of unsent bytes; 0 while none are known
        self._blocked_size = 0  # the number of bytes that the client had not acknowledged at the last check
        self.reset()

    def reset(self) -> None:
        """Reset the state for the connection's next response."""
        self.source: Source | None = None
        self._chunked = False

    def connect(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport to write to.

        Raises:
            NotConnectedError: The transport is not a stream transport.
        """
        if not isinstance(transport, asyncio.Transport):
            raise NotConnectedError
        transport.set_write_buffer_limits(high=self._write_buffer_limit)
        self._transport = transport

    @property
    def transport(self) -> asyncio.Transport:
        """The connection's transport.

        Raises:
            NotConnectedError: The connection has no transport yet.
        """
        if self._transport is None:
            raise NotConnectedError
        return self._transport

    @property
    def unsent_size(self) -> int:
        """The number of response bytes that are not yet handed to the kernel."""
        return self.transport.get_write_buffer_size()

    def write_continue(self) -> None:
        """Write a 100 (Continue) response, which asks the client to send the body."""
        self.transport.write(CONTINUE_RESPONSE)

    def write_pipelining_error(self) -> None:
        """Write an error response to bytes that the client sent without waiting for the response to its request."""
        self.transport.write(PIPELINING_RESPONSE)

    def write_response(self, status: int, body: bytes, headers: bytes, *, close: bool) -> None:
        """Write a complete response; `response_head` describes the arguments."""
        headers += b"Content-Length: %d\r\n" % len(body)
        self.transport.write(response_head(status, headers, close=close) + body)

    def start_stream(self, head: Head, source: Source, *, allow_chunked: bool) -> bool:
        """Choose the framing of a streamed response: a known length, chunks, or the close of the connection.

        Returns:
            Whether only the close of the connection marks the end of the response.
        """
        self.source = source
        if self._writing_paused:
            source.pause()
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
        """Pause the source because the client reads more slowly than the upstream sends."""
        self._writing_paused = True
        self._blocked_since_us = monotonic_us()
        if self.source is not None:
            self.source.pause()

    def resume(self) -> None:
        """Resume the source because most of the unsent bytes have been sent."""
        self._writing_paused = False
        self._blocked_since_us = 0
        if self.source is not None:
            self.source.resume()

    def is_stalled(self, now_us: int, unacknowledged_size: int) -> bool:
        """Return whether the client has read nothing for the duration of the stall time-out.

        The last unsent bytes may be too few to pause writing, so they count from the check that first finds them.

        Args:
            now_us: The time of the check.
            unacknowledged_size: The number of bytes in the kernel that the client has not acknowledged. They show the
                progress of a slow client: the kernel takes further bytes only when much of its buffer is free.
        """
        if not self.unsent_size:
            self._blocked_since_us = 0
            return False
        blocked_size = self.unsent_size + unacknowledged_size
        if not self._blocked_since_us or blocked_size != self._blocked_size:
            self._blocked_since_us = now_us
            self._blocked_size = blocked_size
        return now_us > self._blocked_since_us + STALL_TIMEOUT_US
