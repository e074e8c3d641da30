"""A connection to an upstream, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from garnetusher.errors import GarnetusherError
from garnetusher.policy.events import Outcome
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.closing_schedule import Admission
from garnetusher.sidecar.memory_budget import CONNECTION_SIZE, MemoryHolding, growing_buffer_size
from garnetusher.sidecar.read_pacing import ReadPacer
from garnetusher.sidecar.requests.messages import AttemptResult
from garnetusher.sidecar.requests.trace import EventName
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.streaming import Head, SharedBufferProtocol, Sink
from garnetusher.sidecar.transitions import UpstreamCloseReason
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.idle_reuse import IdleTiming
from garnetusher.sidecar.upstream.request_writer import Address, RequestWriter
from garnetusher.sidecar.upstream.response_reader import ResponseNotWantedError, ResponseReader

if TYPE_CHECKING:
    from garnetusher.sidecar.upstream.pool import ConnectionPool

# A response of unknown length is buffered for this time, in seconds. After that it is streamed, so that its first bytes
# reach the client without further delay.
MAX_BUFFERING_S = 0.1
# The rest of a head may wait for this time, in seconds, while this machine is short of memory or buffers. After that,
# its X-Deadline-Ms header would be wrong by about the 0.15 s that upstreams tolerate.
MAX_HEAD_DELAY_S = 0.1
UNREQUESTED_DATA_COUNTER = "unrequested data from upstreams"
RESPONSE_BEFORE_REQUEST_COUNTER = "responses from upstreams before the request"


class NotConnectedError(GarnetusherError):
    """A request was to be written on a connection that is not established yet."""

    def __init__(self, address: Address) -> None:
        super().__init__(
            f"expected an established connection to {address[0]}:{address[1]}, got one that is still being opened"
        )


class TransportTypeError(GarnetusherError, TypeError):
    """The event loop gave a connection a transport that is not a stream transport."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        super().__init__(f"expected a stream transport for an upstream connection, got {type(transport).__name__}")


class UpstreamConnection(SharedBufferProtocol):
    """A connection to an upstream, which is idle in its pool or carries one attempt.

    Attributes:
        address: the address of the upstream.
        endpoint_id: the endpoint that listened on the address when the connection was created, or `NO_ENDPOINT`.
        sock: the socket of the connection.
        attempt: the attempt that the connection carries or is being opened for.
        idle_timing: when the connection became idle, and how long it was idle before its attempt.
        response_reader: the reader for the response to the attempt.
        closed: whether the connection can carry no further attempt.
        reading_paused: whether reading is paused because the client reads a streamed response too slowly.
        last_read_us: when bytes of the response last arrived, or reading was last resumed.
    """

    def __init__(self, pool: ConnectionPool, address: Address, sock: ShortageTolerantSocket) -> None:
        self.address = address
        self.endpoint_id = pool.endpoint_id_at(address)
        self.sock = sock
        self.attempt: UpstreamAttempt | None = None
        self.idle_timing = IdleTiming()
        self.response_reader = ResponseReader()
        self.closed = False
        self.reading_paused = False
        self.last_read_us = 0
        self._holding = MemoryHolding(pool.memory)
        self._pacer = ReadPacer()
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._request_writer: RequestWriter | None = None
        self._is_close_recorded = False

    @property
    def request_writer(self) -> RequestWriter:
        """The writer for the requests of this connection.

        Raises:
            NotConnectedError: the connection is not established yet.
        """
        if self._request_writer is None:
            raise NotConnectedError(self.address)
        return self._request_writer

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the attempt that waits for this connection, or put the connection into the pool as idle."""
        if not isinstance(transport, asyncio.Transport):
            raise TransportTypeError(transport)
        self._transport = transport
        self._request_writer = RequestWriter(transport)
        transport.set_write_buffer_limits(high=0)  # the loop calls pause_writing whenever bytes are left unsent
        self._update_holding()
        if self.attempt is None or not self.send(self.attempt):
            self._pool.put_idle(self)

    @property
    def read_size(self) -> int:
        """The largest number of bytes that the next read may take; those of a streamed response may stay unsent."""
        if self.response_reader.sink is None:
            return self._pacer.read_size
        return min(self._pacer.read_size, self._pool.memory.stream_read_size)

    def _update_holding(self) -> None:
        """State the memory that the connection holds; a streamed request body counts at its client's connection."""
        unsent_size = 0
        if self._transport is not None and (self.attempt is None or self.attempt.request.upload is None):
            unsent_size = self._transport.get_write_buffer_size()
        self._holding.resize(CONNECTION_SIZE + growing_buffer_size(len(self.response_reader.body)) + unsent_size)

    def pause_writing(self) -> None:
        """Stop reading a long body from the client, as the send buffer of the kernel is full."""
        self._update_holding()
        self.request_writer.has_unsent_bytes = True
        if self.attempt is not None and self.attempt.request.upload is not None:
            self.attempt.request.upload.set_source_reading(enabled=False)

    def resume_writing(self) -> None:
        """Resume reading a long body from the client."""
        self._update_holding()
        self.request_writer.has_unsent_bytes = False
        self.request_writer.head_sent = True
        if self.attempt is not None and self.attempt.request.upload is not None:
            self.attempt.request.upload.set_source_reading(enabled=True)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self.attempt is None or not self.response_reader.expecting:
            self.close(UpstreamCloseReason.UNREQUESTED_DATA)
            return
        response = self.response_reader
        if not response.received and self._precedes_request():
            self.abort_response(UpstreamCloseReason.RESPONSE_BEFORE_REQUEST)
            return
        response.received += len(data)
        self.last_read_us = monotonic_us()
        was_in_body = response.in_body
        response.feed(data)
        self._pacer.record_read(len(data), response.calls)
        if response.complete:
            self._finish_complete()
        elif self.closed or response.unusable_reason is not None or response.exceeds_framing_limit:
            self.abort_response(response.unusable_reason or UpstreamCloseReason.RESPONSE_TOO_LARGE)
        else:
            self._buffer_or_stream(self.attempt, head_is_new=not was_in_body)

    def _buffer_or_stream(self, attempt: UpstreamAttempt, *, head_is_new: bool) -> None:
        """Decide how long the body of an incomplete response is buffered."""
        self._update_holding()
        response = self.response_reader
        if response.is_buffering_body and self._pool.memory.must_stream:
            self._start_streaming()
        elif head_is_new and response.is_buffering_body_of_unknown_length:
            self._pool.loop.call_later(MAX_BUFFERING_S, self._on_buffering_timeout, attempt)

    def _precedes_request(self) -> bool:
        """Return whether received bytes belong to an earlier request, as the upstream has not received the current one.

        The upstream's kernel acknowledges a request with or before the first bytes of its response. An upstream may
        respond to a long request before it has all of it, so nothing is known in that case.
        """
        return not self.request_writer.request_incomplete and self.sock.unacknowledged_size() > 0

    def eof_received(self) -> None:
        """Complete a response whose body ends where the connection ends."""
        self.closed = True
        self.record_close(UpstreamCloseReason.UPSTREAM_CLOSED)
        if self.attempt is not None and self.response_reader.feed_eof():
            self._finish_complete()

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt; the upstream may have run a completely written request, but never runs an incomplete one.

        A streamed response is an exception: it shows that the upstream runs the request before it has the whole body.
        """
        self.closed = True
        self.record_close(UpstreamCloseReason.UPSTREAM_CLOSED if error is None else UpstreamCloseReason.RESET)
        self._pool.remove_idle(self)
        if self.attempt is not None:
            never_ran = self.request_writer.request_incomplete and self.response_reader.sink is None
            self.finish(Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)
        self.response_reader.release()  # an abandoned attempt has not finished its response
        self._holding.release()

    # Requests

    def reuse_obstacle(self) -> UpstreamCloseReason | None:
        """Return why no request can be written on the connection, or None if one can be.

        A request would be lost if the upstream has already closed the connection, or if stray bytes from the upstream
        are still unread in the kernel.
        """
        if self.closed:
            return UpstreamCloseReason.UPSTREAM_CLOSED
        if self._transport is None or self._transport.is_closing():
            return UpstreamCloseReason.RESET
        try:
            stray_data = self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return UpstreamCloseReason.RESET
        return UpstreamCloseReason.UNREQUESTED_DATA if stray_data else UpstreamCloseReason.UPSTREAM_CLOSED

    def send(self, attempt: UpstreamAttempt) -> bool:
        """Write an attempt if that is still permitted; return whether it was permitted."""
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
        self.idle_timing.start_attempt(monotonic_us())
        try:
            self._write(writer, attempt, head)
        except OSError:  # epoll can't watch the socket, so the rest of the request or of its body can't be sent
            self._pool.loop.call_soon(self._abort_unsent, attempt)
        return True

    def _write(self, writer: RequestWriter, attempt: UpstreamAttempt, head: bytes) -> None:
        if not writer.write_head(head):
            self._pool.restart_attempt(self, attempt)
            return
        if not writer.head_sent:
            self._pool.loop.call_later(MAX_HEAD_DELAY_S, self._on_head_delayed, attempt)
        if attempt.request.upload is not None:
            writer.start_body(attempt.request.upload)
        if writer.transport.is_closing():
            # The write failed, as the connection was already broken; `connection_lost` then reports CONNECT_FAILED.
            writer.has_unsent_bytes = True

    def _on_head_delayed(self, attempt: UpstreamAttempt) -> None:
        """End an attempt whose head this machine still can't send; the upstream never runs the incomplete request."""
        if self.attempt is not attempt or self.request_writer.head_sent:
            return
        if self.sock.write_shortages.first_failure_us():
            self._abort_unsent(attempt)

    def _abort_unsent(self, attempt: UpstreamAttempt) -> None:
        """Close the connection and end its attempt, as this machine can't send the rest of the request."""
        if self.attempt is attempt:
            self.close(UpstreamCloseReason.LOCAL_SHORTAGE)
            self.finish(Outcome.NOT_WRITTEN)

    def detach_upload(self, attempt: UpstreamAttempt) -> None:
        """Stop passing the long body of an attempt to this connection."""
        if attempt.request.upload is not None and self._request_writer is not None:
            attempt.request.upload.detach(self._request_writer)

    # Streamed responses

    def pause(self) -> None:
        """Pause reading: the client reads a streamed response more slowly than the upstream sends it."""
        self.reading_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self.reading_paused = False
        self.last_read_us = monotonic_us()
        if self._transport is not None:
            self._transport.resume_reading()

    def start_streaming(self, head: Head) -> Sink | None:
        """Return the sink for the body of a streamed response; None if no client waits for it."""
        if self.attempt is None:
            return None
        sink = self.attempt.on_response_started(head, self)
        if sink is not None:
            self._pool.streaming.add(self)
        return sink

    def _on_buffering_timeout(self, attempt: UpstreamAttempt) -> None:
        """Start to stream a response of unknown length that was not complete within MAX_BUFFERING_S."""
        response = self.response_reader
        if self.attempt is not attempt or response.sink is not None or response.complete:
            return
        if response.body:
            self.begin_response()
        else:  # until the first byte, another attempt can still replace this one
            self._pool.loop.call_later(MAX_BUFFERING_S, self._on_buffering_timeout, attempt)

    def begin_response(self) -> bool:
        """Stream a successful response of unknown length from now on, even if none of its body has arrived.

        Its head came in time, and the rest may be long and slow: no timeout may end it. A request that may only have a
        whole response is an exception.

        Returns:
            Whether the response is streamed now. False if there is no such response, or if it can't be streamed; the
            attempt has ended in the second case.
        """
        if not self.response_reader.is_buffering_body_of_unknown_length:
            return False
        if self.attempt is not None and self.attempt.request.admission is not Admission.ANY_RESPONSE:
            return False
        self._start_streaming()
        return self.response_reader.sink is not None

    def _start_streaming(self) -> None:
        """Stream the response from now on; if that is not possible, end its attempt."""
        try:
            self.response_reader.start_streaming()
        except ResponseNotWantedError:
            self.abort_response(UpstreamCloseReason.RESPONSE_NOT_WANTED)
        except OSError:  # epoll can't watch the client's socket
            self.abort_response(UpstreamCloseReason.LOCAL_SHORTAGE)

    # End of an attempt or of the connection

    def abort_response(self, reason: UpstreamCloseReason) -> None:
        """Close the connection in the middle of a response, and end the attempt as RESET, or CANCELLED if unwanted."""
        self.close(reason)
        self.finish(Outcome.CANCELLED if self.response_reader.unwanted else Outcome.RESET)

    def _finish_complete(self) -> None:
        unusable_reason = self.response_reader.unusable_reason
        if self.closed or unusable_reason is not None or self.request_writer.request_incomplete:
            # The upstream would take the rest of an incomplete request for the next request.
            self.close(unusable_reason or UpstreamCloseReason.RESPONSE_BEFORE_REQUEST_END)
        else:
            self.idle_timing.response_acknowledged = self.sock.acknowledge_now()
        self.finish(self.response_reader.outcome())

    def finish(self, outcome: Outcome) -> None:
        """End the attempt; the connection becomes idle unless it is closed."""
        attempt, self.attempt = self.attempt, None
        response = self.response_reader
        lost = outcome is Outcome.RESET and response.received == 0
        self._pool.idle_reuse.record_reuse(self.idle_timing.before_attempt_us, lost=lost)
        result = AttemptResult(outcome)
        if outcome is Outcome.OK and response.sink is None:
            result = AttemptResult(outcome, bytes(response.body), response.content_type)
        response.release()
        self._update_holding()
        self._pool.streaming.discard(self)
        if not self.closed:
            self._become_idle()
        if attempt is not None:
            self.detach_upload(attempt)
            attempt.end(result)

    def _become_idle(self) -> None:
        try:
            if self.reading_paused:
                self.resume()
        except OSError:  # epoll can't watch the socket, so no further response could be read from it
            self.close(UpstreamCloseReason.LOCAL_SHORTAGE)
        else:
            self._pool.put_idle(self)

    def record_close(self, reason: UpstreamCloseReason) -> None:
        """Record why the connection closes; the first reason counts."""
        if not self._is_close_recorded:
            self._is_close_recorded = True
            self._pool.trace.record_state(EventName.UPSTREAM_CLOSE, reason, self.endpoint_id)
            if reason is UpstreamCloseReason.UNREQUESTED_DATA:
                self._pool.trace.count(UNREQUESTED_DATA_COUNTER)
            elif reason is UpstreamCloseReason.RESPONSE_BEFORE_REQUEST:
                self._pool.trace.count(RESPONSE_BEFORE_REQUEST_COUNTER)

    def close(self, reason: UpstreamCloseReason) -> None:
        """Close the connection, and notify the upstream immediately.

        The event loop closes the socket in its next iteration. After an attempt is abandoned, the next attempt may be
        written in this iteration, and two attempts may not be in flight together. The sending side is therefore shut
        down here.
        """
        self.closed = True
        self.record_close(reason)
        self._pool.remove_idle(self)
        self._pool.streaming.discard(self)
        if self._transport is not None:
            with contextlib.suppress(OSError):  # the upstream closed the connection first
                self.sock.shutdown(socket.SHUT_WR)
            try:
                self._transport.abort()
            except OSError:  # epoll could not stop watching for writing, and has removed the socket instead
                self._transport.abort()
