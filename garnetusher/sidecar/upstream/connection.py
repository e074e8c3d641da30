"""A connection to an upstream, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from garnetusher.errors import GarnetusherError
from garnetusher.policy.events import Outcome
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import AttemptResult
from garnetusher.sidecar.streaming import Head, SharedBufferProtocol, Sink
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.idle_reuse import IdleTiming
from garnetusher.sidecar.upstream.request_writer import Address, RequestWriter
from garnetusher.sidecar.upstream.response_reader import ResponseNotWantedError, ResponseReader

if TYPE_CHECKING:
    from garnetusher.sidecar.upstream.pool import ConnectionPool

# A response of unknown length is kept for so long, in seconds; one that takes longer is passed on as it comes, so that
# its first bytes aren't late.
MAX_HOLD_S = 0.1


class NotConnectedError(GarnetusherError):
    """A connection that is not up yet was asked to write."""

    def __init__(self, address: Address) -> None:
        super().__init__(f"expected a connection to {address[0]}:{address[1]} that is up, got one that is not")


class TransportTypeError(GarnetusherError, TypeError):
    """The event loop gave a connection a transport that is no stream."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        super().__init__(f"expected a stream transport for an upstream connection, got {type(transport).__name__}")


class UpstreamConnection(SharedBufferProtocol):
    """A connection to an upstream, idle in its pool or with one attempt on it.

    Attributes:
        address: the upstream's.
        sock: its socket.
        attempt: the attempt that it carries, or is opened for.
        idle: since when it is idle, and how long it was.
        response_reader: reads the response of its attempt.
        closed: it carries no further attempt.
        reading_paused: nothing is read, as the client of a long response does not take it.
        last_read_us: when something of the response last came, or reading went on.
    """

    def __init__(self, pool: ConnectionPool, address: Address, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.attempt: UpstreamAttempt | None = None
        self.idle = IdleTiming()
        self.response_reader = ResponseReader()
        self.closed = False
        self.reading_paused = False
        self.last_read_us = 0
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._request_writer: RequestWriter | None = None

    @property
    def request_writer(self) -> RequestWriter:
        """What writes its attempts' requests.

        Raises:
            NotConnectedError: the connection is not up yet.
        """
        if self._request_writer is None:
            raise NotConnectedError(self.address)
        return self._request_writer

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the attempt that waits for this connection, or keep the connection as idle."""
        if not isinstance(transport, asyncio.Transport):
            raise TransportTypeError(transport)
        self._transport = transport
        self._request_writer = RequestWriter(transport)
        transport.set_write_buffer_limits(high=0)  # pause_writing is called whenever something is left unsent
        if self.attempt is None or not self.send(self.attempt):
            self._pool.put_idle(self)

    def pause_writing(self) -> None:
        """Stop the client of a long body: the kernel takes no more."""
        self.request_writer.has_unsent_bytes = True
        if self.attempt is not None and self.attempt.request.upload is not None:
            self.attempt.request.upload.flow(on=False)

    def resume_writing(self) -> None:
        """Let the client of a long body go on."""
        self.request_writer.has_unsent_bytes = False
        if self.attempt is not None and self.attempt.request.upload is not None:
            self.attempt.request.upload.flow(on=True)

    def data_received(self, data: bytes) -> None:
        """Read a part of the response."""
        if self.attempt is None or not self.response_reader.expecting:
            self.close()  # bytes without a request
            return
        response = self.response_reader
        response.received += len(data)
        self.last_read_us = monotonic_us()
        had_begun = response.in_body
        response.feed(data)
        if response.complete:
            self._finish_complete()
        elif self.closed or response.connection_unusable or response.exceeds_framing_limit:
            self.break_off()
        elif not had_begun and response.has_unknown_length:
            self._pool.loop.call_later(MAX_HOLD_S, self._on_hold_timer, self.attempt)

    def eof_received(self) -> None:
        """Complete a response that ends with the connection."""
        self.closed = True
        if self.attempt is not None and self.response_reader.end_of_connection():
            self._finish_complete()

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt: a request that was written completely may have run, another one has not."""
        self.closed = True
        self._pool.remove(self)
        if self.attempt is not None:
            never_ran = self.request_writer.request_incomplete and self.response_reader.sink is None
            self.finish(Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)

    # Requests

    def is_usable(self) -> bool:
        """Return whether a request can be written.

        An end or stray bytes that are in the kernel and were not read yet would cost the request.
        """
        if self.closed or self._transport is None or self._transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, attempt: UpstreamAttempt) -> bool:
        """Write an attempt, if that is still permitted; return whether it was."""
        writer = self.request_writer
        head = attempt.permitted_head()
        if head is None:
            self.attempt = attempt.connection = None
            return False
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        self.response_reader.start(self)
        self.reading_paused = False
        self.last_read_us = 0
        self.idle.start_attempt(monotonic_us())
        if not writer.write_head(head):
            self._pool.restart_attempt(self, attempt)
            return True
        if attempt.request.upload is not None:
            writer.start_body(attempt.request.upload)
        if writer.transport.is_closing():  # the write failed: the connection had broken before
            writer.has_unsent_bytes = True
        return True

    def detach_upload(self, attempt: UpstreamAttempt) -> None:
        """Take no more of the attempt's long body."""
        if attempt.request.upload is not None and self._request_writer is not None:
            attempt.request.upload.detach(self._request_writer)

    # Long responses

    def pause(self) -> None:
        """Stop reading: the client takes a long response more slowly than it comes."""
        self.reading_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        self.reading_paused = False
        self.last_read_us = monotonic_us()
        if self._transport is not None:
            self._transport.resume_reading()

    def start_streaming(self, head: Head) -> Sink | None:
        """Return where the body of a long response goes; None if no client waits for it."""
        if self.attempt is None:
            return None
        sink = self.attempt.on_response_started(head, self)
        if sink is not None:
            self._pool.streaming.add(self)
        return sink

    def _on_hold_timer(self, attempt: UpstreamAttempt) -> None:
        """Pass on a response of unknown length that takes long."""
        response = self.response_reader
        if self.attempt is not attempt or response.sink is not None or response.complete:
            return
        if not response.body:
            self._pool.loop.call_later(MAX_HOLD_S, self._on_hold_timer, attempt)
            return
        try:
            response.start_streaming()
        except ResponseNotWantedError:
            self.break_off()

    # Ends

    def break_off(self) -> None:
        """Close the connection in the middle of a response."""
        self.close()
        self.finish(Outcome.RESET)

    def _finish_complete(self) -> None:
        if self.closed or self.response_reader.connection_unusable or self.request_writer.request_incomplete:
            self.close()  # the rest of an incomplete request would be read as the next one
        self.finish(self.response_reader.outcome())

    def finish(self, outcome: Outcome) -> None:
        """End the attempt, and keep the connection as idle unless it is closed."""
        attempt, self.attempt = self.attempt, None
        response = self.response_reader
        lost = outcome is Outcome.RESET and response.received == 0
        self._pool.idle_reuse.record_reuse(self.idle.before_attempt_us, lost=lost)
        result = AttemptResult(outcome)
        if outcome is Outcome.OK and response.sink is None:
            result = AttemptResult(outcome, bytes(response.body), response.content_type)
        response.release()
        self._pool.streaming.discard(self)
        if not self.closed:
            if self.reading_paused:
                self.resume()
            self._pool.put_idle(self)
        if attempt is not None:
            self.detach_upload(attempt)
            attempt.end(result)

    def close(self) -> None:
        """Close the connection, and tell the upstream at once.

        The loop closes the socket in its next round. The next attempt of an abandoned one may be written in this
        round, and two may not be out together; so the sending side is shut down here.
        """
        self.closed = True
        self._pool.remove(self)
        self._pool.streaming.discard(self)
        if self._transport is not None:
            with contextlib.suppress(OSError):  # the upstream has ended it first
                self.sock.shutdown(socket.SHUT_WR)
            self._transport.abort()
