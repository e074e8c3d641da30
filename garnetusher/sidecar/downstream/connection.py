"""One client connection, which handles one HTTP/1.1 request at a time from its first byte to its complete response."""

from __future__ import annotations

import asyncio
import enum
import logging
from typing import TYPE_CHECKING

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.closing_schedule import RESTART_RETRY_AFTER_US, Admission
from garnetusher.sidecar.downstream import timeouts
from garnetusher.sidecar.downstream.arrival_time import ArrivalTimes
from garnetusher.sidecar.downstream.errors import RequestRejected
from garnetusher.sidecar.downstream.lingering_close import LingeringClose
from garnetusher.sidecar.downstream.paced_reading import PacedReading
from garnetusher.sidecar.downstream.request_reader import RequestReader
from garnetusher.sidecar.downstream.response_writer import ResponseWriter, content_type_header, retry_after_header
from garnetusher.sidecar.memory_budget import CONNECTION_SIZE, MemoryHolding, growing_buffer_size
from garnetusher.sidecar.requests.messages import Disposition, FinalResponse
from garnetusher.sidecar.requests.trace import NO_REQUEST, EventName
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.streaming import (
    UPLOAD_MEMORY_SIZE,
    Head,
    SharedBufferProtocol,
    Source,
    Upload,
)
from garnetusher.sidecar.transitions import ClientCloseReason, LateRequest

if TYPE_CHECKING:
    from garnetusher.sidecar.downstream.server import DownstreamServer

log = logging.getLogger(__name__)

MAX_HIDDEN_CLOSE_US = 50_000  # half the time after a close within which an attempt may begin
MIN_HIDING_SIZE = 32 * 1024  # with fewer unread bytes, the receive buffer has room for the end of the input
EMPTY_LINE = b"\r\n"
CROSSED_CLOSES = "closes of idle connections that crossed a request"  # the name of a counter
FORCED_CLOSES = "closes of connections that did not wait for the client"  # the name of a counter


class ConnectionState(enum.Enum):
    """The states of a connection, which tell whether it accepts further requests."""

    ACTIVE = "active"
    CLOSE_SCHEDULED = "close scheduled"  # closes after two event loop iterations unless a request arrives first
    CLOSING = "closing"  # further input is discarded


class DownstreamConnection(SharedBufferProtocol):
    """A connection from a client.

    Attributes:
        state: Whether the connection accepts further requests.
        reader: Parses the current request.
        writer: Writes the current response.
        arrival_times: Estimates when the bytes that were read arrived.
        reading: Pauses and resumes the reads of the connection.
        holding: The memory that the connection holds.
        has_open_request: Whether the dispatcher handles a request from this connection; False after the response.
        has_sent_valid_request: Whether the client has sent a valid request. After the first valid request, each
            further request has the full read time-out.
        idle_since_us: The latest time at which the connection was set up or finished a response.
    """

    def __init__(self, server: DownstreamServer, sock: ShortageTolerantSocket | None = None) -> None:
        """Initialize a connection that has just been accepted.

        Args:
            server: The server that accepted the connection.
            sock: The connection's socket. Without it, the kernel's information about the client is not used.
        """
        self.server = server
        self.state = ConnectionState.ACTIVE
        self.reader = RequestReader(self._on_head_complete)
        self.writer = ResponseWriter(server.memory.write_buffer_limit)
        self.holding = MemoryHolding(server.memory)
        self.arrival_times = ArrivalTimes(server.accepted_us(), server.event_loop_lag.earliest_arrival_us, sock)
        self.reading = PacedReading(self.arrival_times, server.paced_connections)
        self.has_open_request = False
        self.has_sent_valid_request = False
        self.idle_since_us = 0
        self._sock = sock
        self._request_id = 0  # the dispatcher's identifier of the current request
        self._close_reason: ClientCloseReason | None = None  # set once it closes after the current response
        self._is_close_recorded = False
        self._is_closed_idle = False  # whether the sidecar closed the connection while no request was open
        self._lingering_close = LingeringClose(self.writer)
        self._client_half_closed = False  # the client has closed its sending side
        self._has_body_memory = False  # whether the body has a place in the body memory

    @property
    def transport(self) -> asyncio.Transport:
        """The connection's transport; raises `NotConnectedError` before `connection_made`."""
        return self.writer.transport

    @property
    def closing(self) -> bool:
        """Whether the connection is closing and discards further input."""
        return self.state is ConnectionState.CLOSING

    @property
    def idle(self) -> bool:
        """Whether the connection waits for the first bytes of a request."""
        return not self.has_open_request and not self.closing and self.reader.message_started_us == 0

    @property
    def is_sheddable(self) -> bool:
        """Whether the current request is incomplete and nothing of it has been forwarded."""
        return bool(self.reader.message_started_us) and not (
            self.has_open_request or self.closing or self.reader.complete or self.writer.source is not None
        )

    @property
    def is_sending_response(self) -> bool:
        """Whether a response is being streamed to the client, or not all bytes of one are sent."""
        return self.writer.source is not None or bool(self.writer.unsent_size)

    def shedding_order(self) -> tuple[bool, int]:
        """Return the key that sorts connections by the order in which their incomplete requests are shed."""
        return self.has_sent_valid_request, self.reader.message_started_us

    # Memory

    def update_holding(self) -> None:
        """State the memory that the connection holds; this may shed requests, also that of this connection."""
        size = CONNECTION_SIZE + self.writer.unsent_size
        if self._has_body_memory:
            self.holding.resize(size + UPLOAD_MEMORY_SIZE)
        else:
            incomplete_size = self._incomplete_size()
            self.holding.resize(size + incomplete_size, incomplete_size)

    def _incomplete_size(self) -> int:
        """Return the number of bytes of a request that is still being read; a dispatched one counts its own bytes."""
        upload = self.reader.upload
        return self.reader.held_size + (growing_buffer_size(upload.buffered_size) if upload is not None else 0)

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading from the client."""
        self.writer.connect(transport)
        self.reading.connect(self.transport)
        self.idle_since_us = self.arrival_times.start_reading()
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, self.arrival_times.end_first_poll)
        self.reader.set_deadline(self.arrival_times.accepted_us)
        self.server.add_connection(self)
        self.update_holding()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the server and cancel its request."""
        self.record_close(ClientCloseReason.CLIENT_CLOSED if exc is None else ClientCloseReason.RESET)
        if self._is_closed_idle and self.has_unread_bytes():
            self.server.trace.count(CROSSED_CLOSES)
        self.server.connections.pop(self, None)
        self._drop_request()
        self.reader.release()
        self.writer.reset()
        self.holding.release()
        self._lingering_close.cancel()

    def eof_received(self) -> bool:
        """Handle the end of the client's input and return whether the connection stays open.

        The client may have disconnected, or may only have closed its sending side and wait for the response. The socket
        shows the difference only once the sidecar writes to it. The client therefore gets a response, but the sidecar
        forwards no further attempts of its request.
        """
        if not (self.has_open_request and self.reader.complete):
            self.record_close(ClientCloseReason.CLIENT_CLOSED)
            if self.writer.source is not None:
                # An orderly close would make a partial response look complete.
                self.reject(400, ClientCloseReason.CLIENT_CLOSED)
            return False
        self._close_after_response(ClientCloseReason.CLIENT_HALF_CLOSED)
        self._client_half_closed = True
        self.server.dispatcher.on_client_half_closed(self._request_id)
        return True

    def pause_writing(self) -> None:
        """Pause the source of the response."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Resume the source of the response."""
        self.writer.resume()
        self.update_holding()

    @property
    def read_size(self) -> int:
        """The largest number of bytes that the next read may take."""
        return self.reading.read_size

    def data_received(self, data: bytes) -> None:
        """Process bytes from the client, and pause reading if they were costly."""
        is_parsed = self._process(data, is_full=len(data) >= self.reading.read_size)
        if is_parsed:
            self.reading.record_read(len(data), self.reader.calls)
        elif not self.has_open_request:  # behind an open request, the client's close has to be read in time
            self.reading.record_discarded(len(data))
        self.update_holding()

    def _process(self, data: bytes, *, is_full: bool) -> bool:
        """Process bytes from the client, and return whether they were parsed and not discarded.

        Args:
            data: The bytes of one read.
            is_full: Whether the read was as large as it could be, so that more bytes may be unread.
        """
        if self.closing:
            self._lingering_close.note_input()
            return False
        between_requests = self.reader.complete or not self.reader.message_started_us
        if between_requests and data == EMPTY_LINE:
            return False  # RFC 9112, section 2.2: ignore at least one empty line before a request
        if self.has_open_request and self.reader.complete:
            self.reader.has_extra_bytes = True  # pipelining: the connection closes after the open request's response
            return False
        self.reader.start_message(renew_deadline=self.has_sent_valid_request)
        self.arrival_times.record_read(first_request=not self.has_sent_valid_request, is_full=is_full)
        try:
            self._read_request(data)
        except RequestRejected as rejection:
            self._reject_with_reason(rejection)
        except Exception:
            # An unexpected error in one request must affect neither the process nor other requests.
            log.exception("unexpected error while processing a client request; responding with status 500")
            self.reject(500, ClientCloseReason.INTERNAL_ERROR)
        return True

    # Reading a request

    def _read_request(self, data: bytes) -> None:
        self.reader.feed(data)
        if self.closing:
            return  # the client got a response before the body was complete
        if self.reader.complete:
            self._on_request_complete()
        elif self.reader.exceeds_buffer:
            self._start_upload()

    def _on_head_complete(self) -> None:
        if not self.reader.keep_alive:
            self._close_after_response(ClientCloseReason.CLIENT_ASKED)
        if self.reader.is_readiness_check:
            return
        self.reader.route(self.server.router)
        if self.has_sent_valid_request:
            self.reader.extend_deadline()
        else:
            self.reader.extend_deadline_for_first_body()
        self.reader.check_head()
        if self.reader.expects_continue:
            self.writer.write_continue()

    def _on_request_complete(self) -> None:
        """Dispatch the request, or the end of a streamed body."""
        self.has_sent_valid_request = True
        if self.reader.is_readiness_check:
            self._write_response(200 if self.server.ready else 503, b"")
        elif self.reader.upload is not None:
            self._finish_upload(self.reader.upload)
        else:
            self._dispatch_buffered_request()

    def _dispatch_buffered_request(self) -> None:
        http_request = self.reader.route(self.server.router)
        if self.server.memory.exceeded:
            self._refuse_complete_request()
            return
        http_request.admission = self.server.admission(http_request)
        http_request.arrived_us = self.arrival_times.arrived_us
        http_request.body = self.reader.take_body()
        self.reader.release_head()
        self.has_open_request = True
        self._request_id = self.server.dispatcher.on_request(http_request, self)

    # Bodies that exceed the buffer limit

    def _start_upload(self) -> None:
        """Switch to streaming the body, which begins when body memory is available."""
        self.reader.upload = Upload(bytearray(self.reader.take_body()), self.reader.body_length, self)
        self.pause_body()
        self.server.body_memory.acquire(self._dispatch_streamed_request)

    def _dispatch_streamed_request(self) -> None:
        self._has_body_memory = True
        try:
            http_request = self.reader.route(self.server.router)
        except RequestRejected as rejection:
            self._reject_with_reason(rejection)
            return
        http_request.admission = self.server.admission(http_request)
        http_request.upload = self.reader.upload
        http_request.arrived_us = monotonic_us()
        self.reader.release_head()
        self.has_open_request = True
        self.has_sent_valid_request = True
        self._request_id = self.server.dispatcher.on_request(http_request, self, body_complete=False)

    def limit_incomplete_request(self) -> None:
        """Apply the schedule of the shutdown to a request whose head is complete and whose body is not."""
        http_request = self.reader.http_request
        if http_request is None or self.reader.complete or self.closing or self.writer.source is not None:
            return
        http_request.admission = self.server.admission(http_request)
        if http_request.admission is Admission.REFUSAL:
            request_id = self._request_id if self.has_open_request else NO_REQUEST
            self.server.trace.record_late_request(request_id, LateRequest.NOT_REPEATABLE)
            self.shed_incomplete_request(ClientCloseReason.SHUTDOWN, self.server.retry_after_us)

    def limit_forwarded_request(self) -> None:
        """Let a request that came late, but was forwarded before that was known, have no streamed response."""
        if self.has_open_request and self.reader.complete and self.reader.http_request is not None:
            self.reader.http_request.admission = Admission.WHOLE_RESPONSE

    def _finish_upload(self, upload: Upload) -> None:
        arrived_us = self.arrival_times.arrived_us  # a response during `finish` resets this time
        http_request = self.reader.http_request
        if http_request is not None and self.server.admission(http_request) is not Admission.ANY_RESPONSE:
            self.limit_forwarded_request()
        upload.finish()
        if self.has_open_request:
            self.server.dispatcher.on_body_complete(self._request_id, arrived_us)

    def pause_body(self) -> None:
        """Pause reading the body because no upstream attempt is ready to receive it."""
        if self.reader.upload is None or self.reader.complete:
            return
        self.arrival_times.pause()
        self.reading.pause()

    def resume_body(self) -> None:
        """Resume reading the body."""
        if self.reader.upload is None:
            return
        self.arrival_times.resume()
        self.reader.extend_deadline()
        self.reading.resume()

    def mark_body_not_replayable(self) -> None:
        """Tell the dispatcher that the body cannot be replayed, because it exceeds the buffer."""
        self.server.dispatcher.on_not_replayable(self._request_id)

    # Rejecting a request without the dispatcher

    def _refuse_complete_request(self) -> None:
        """Refuse a request of which nothing has been forwarded, because the memory is used up."""
        self.reader.take_body()
        self._write_response(503, b"", self._retry_after_header(RESTART_RETRY_AFTER_US))

    def _retry_after_header(self, retry_after_us: int) -> bytes:
        """Return a Retry-After header line with a delay that the settings limit and may disable."""
        settings = self.server.router.settings
        return (
            retry_after_header(min(retry_after_us, settings.max_retry_after_us)) if settings.send_retry_after else b""
        )

    def shed_incomplete_request(self, reason: ClientCloseReason, retry_after_us: int = RESTART_RETRY_AFTER_US) -> None:
        """Shed a request that has not been read completely and therefore has not run.

        If the head of a response has arrived already, that response is passed on instead.

        Args:
            reason: Why the request is not read to its end.
            retry_after_us: The value of the Retry-After header, limited by the settings, which may also disable it.
        """
        if self.has_open_request and self.server.dispatcher.begin_any_response(self._request_id):
            return
        self.reject(503, reason, headers=self._retry_after_header(retry_after_us))

    def _reject_with_reason(self, rejection: RequestRejected) -> None:
        self.reject(rejection.status, ClientCloseReason.BAD_REQUEST, str(rejection).encode() + b"\n")

    def reject(self, status: int, reason: ClientCloseReason, body: bytes = b"", headers: bytes = b"") -> None:
        """Drop the request, send an error response and close the connection.

        If a streamed response has started, the client would read the error as part of it, so the connection is
        reset instead.
        """
        response_started = self.writer.source is not None
        self._drop_request()
        self._close_reason = reason
        if response_started:
            self.record_close(reason)
            self.finish_response(complete=False)
        else:
            self._write_response(status, body, headers)

    def _drop_request(self) -> None:
        """Cancel the current request, if there is one, and release its body memory.

        The memory is released last, because the next body takes it at once, and its request may change the policy.
        """
        upload, self.reader.upload = self.reader.upload, None
        if self.has_open_request:
            self.has_open_request = False
            self.server.dispatcher.on_client_disconnected(self._request_id)
        self._has_body_memory = False
        if upload is not None:
            self.server.body_memory.release(self._dispatch_streamed_request)

    # Responses from the dispatcher

    def send_response(self, response: FinalResponse) -> None:
        """Write the single final response of a request whose response has not been streamed."""
        self.has_open_request = False
        if response.disposition is Disposition.SERVED:
            self._write_response(200, response.body, content_type_header(response.content_type))
        elif response.disposition is Disposition.SHED:
            self._write_response(503, b"", retry_after_header(response.retry_after_us))
        elif response.disposition is Disposition.REPEATED:
            self._write_response(409, b"a request with this id may have run\n")
        else:
            self._write_response(500, b"")

    def begin_response(self, head: Head, source: Source) -> None:
        """Write the head of a long final response, whose body is streamed."""
        ends_with_connection = self.writer.start_stream(head, source, allow_chunked=not self.reader.is_http_1_0)
        if ends_with_connection:
            self._close_after_response(ClientCloseReason.RESPONSE_REQUIRES_CLOSE)
        self._decide_close()
        self.writer.write_stream_head(head, close=self._close_reason is not None)

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of a streamed response."""
        self.writer.write_chunk(data)
        self.update_holding()

    def finish_response(self, *, complete: bool) -> None:
        """Finish a streamed response.

        Args:
            complete: Whether all of the response was written. If not, the connection is reset.
        """
        self.has_open_request = False
        self.writer.source = None
        if not complete:
            self.record_close(ClientCloseReason.RESPONSE_INCOMPLETE)
            self.reset()
        elif not self.transport.is_closing():
            self.writer.end_stream()
            self._on_response_complete()

    def client_has_closed(self) -> bool:
        """Return whether the kernel knows that the client has closed the connection or its sending side.

        The event loop may not know yet: it reads pending data before the end of input, and reads nothing while reading
        is paused.
        """
        if self._client_half_closed or self.transport.is_closing():
            return True
        return self._sock is not None and self._sock.peer_has_ended()

    def client_may_have_closed(self) -> bool:
        """Return whether the client has closed, or may have closed behind bytes that are not read.

        A full receive buffer keeps the end of the input in the client's kernel, which goes on sending after a close. An
        attempt that begins later than `MAX_HIDDEN_CLOSE_US` after the close would break the rule on clients that left.
        """
        return self.client_has_closed() or self._hides_end_of_input()

    def _hides_end_of_input(self) -> bool:
        if self._sock is None or monotonic_us() < self.arrival_times.read_at_us + MAX_HIDDEN_CLOSE_US:
            return False
        unread_size = self._sock.unread_size()
        missing_size = self.reader.missing_size
        end_is_here = missing_size is not None and missing_size <= unread_size
        return unread_size >= MIN_HIDING_SIZE and not end_is_here

    def earliest_body_end_us(self) -> int:
        """Return the earliest time at which the client may have sent all of a body that is not read completely.

        The last bytes may still be in the client's kernel. If reading is not behind, nothing better is known than the
        arrival time of the most recently read bytes, which is about the current time.
        """
        return self.arrival_times.unread_end_since_us(self.reader.missing_size) or self.arrival_times.arrived_us

    def _write_response(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.transport.is_closing() or self.closing:
            return
        self._decide_close()
        self.writer.write_response(status, body, headers, close=self._close_reason is not None)
        self._on_response_complete()

    def _close_after_response(self, reason: ClientCloseReason) -> None:
        """Close the connection after the current response; the first reason counts."""
        if self._close_reason is None:
            self._close_reason = reason

    def _decide_close(self) -> None:
        """Decide whether the connection closes after the response.

        It closes if the body is incomplete, because the rest of the body would be parsed as the next request.
        """
        if not self.reader.complete:
            self._close_after_response(ClientCloseReason.RESPONSE_BEFORE_BODY_END)
        if self.server.lifecycle.closing:
            self._close_after_response(self.server.closing_reason)

    def _on_response_complete(self) -> None:
        """Prepare for the next request or close the connection."""
        self._drop_request()
        if self.reader.has_extra_bytes and self._close_reason is None:
            self.writer.write_pipelining_error()
            self._close_reason = ClientCloseReason.PIPELINED
        if self._close_reason is not None:
            self._start_lingering_close(self._close_reason)
        else:
            self._wait_for_next_request()
        self.update_holding()

    def _wait_for_next_request(self) -> None:
        self.reader.reset()
        self.writer.reset()
        self.arrival_times.reset()
        self.idle_since_us = monotonic_us()
        self.reading.resume()

    # Closing the connection

    def record_close(self, reason: ClientCloseReason) -> None:
        """Record why the connection closes; the first reason counts."""
        if not self._is_close_recorded:
            self._is_close_recorded = True
            self.server.trace.record_state(EventName.CLIENT_CLOSE, reason)

    def _start_lingering_close(self, reason: ClientCloseReason) -> None:
        """Close the sending side and discard further input."""
        self.record_close(reason)
        self.state = ConnectionState.CLOSING
        self.reader.release()  # the close may take seconds
        if self._client_half_closed:  # no further input can arrive, and an immediate close frees the descriptor
            self.transport.close()
            return
        self.reading.resume()
        self._lingering_close.start()

    @property
    def is_lingering(self) -> bool:
        """Whether the kernel has the whole last response, and the connection only waits for the client's close."""
        return self._lingering_close.only_waits_for_client

    def end_lingering_close(self) -> None:
        """Close at once, because another connection needs the descriptor."""
        self.server.trace.count(FORCED_CLOSES)
        self._lingering_close.abort()

    def schedule_close(self, reason: ClientCloseReason) -> None:
        """Close an idle connection after two event loop iterations, which read pending input from the kernel.

        An immediate close would reset a connection with a request that has arrived but has not been read.
        """
        if self.state is ConnectionState.ACTIVE:
            self.state = ConnectionState.CLOSE_SCHEDULED
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, self._close_if_idle, reason)

    def schedule_eviction(self) -> None:
        """Close a connection whose first request is incomplete, after the same two iterations as an idle one."""
        if self.state is ConnectionState.ACTIVE:
            self.state = ConnectionState.CLOSE_SCHEDULED
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, self._evict)

    def _evict(self) -> None:
        if self.state is ConnectionState.CLOSE_SCHEDULED:
            self.state = ConnectionState.ACTIVE
        if not self.closing and not self.has_sent_valid_request:
            self.shed_incomplete_request(ClientCloseReason.CONNECTION_LIMIT)
            self.transport.close()  # without lingering, because another connection needs the descriptor

    def _close_if_idle(self, reason: ClientCloseReason) -> None:
        if self.state is ConnectionState.CLOSE_SCHEDULED:
            self.state = ConnectionState.ACTIVE
        if self.idle and not self.has_unread_bytes():
            self.close(reason)

    def close(self, reason: ClientCloseReason) -> None:
        """Close the connection if the write gate confirms that it carries no complete request."""
        carries_request = self.has_open_request and self.reader.complete
        if not self.server.dispatcher.write_gate.may_close(self._request_id, carries_request):
            return
        self.record_close(reason)
        self._is_closed_idle = True
        self.state = ConnectionState.CLOSING
        self.transport.close()

    def reset(self) -> None:
        """Reset the connection, because an orderly close would make the response look complete."""
        if self._sock is not None:
            self._sock.reset_at_close()
        self.transport.abort()

    def check_timeouts(self, now_us: int) -> None:
        """Apply the time-outs at a time, which is the same for all connections."""
        self.update_holding()
        timeouts.check(self, now_us)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes wait in the kernel: the process was held up, or was short of memory for the reads."""
        return self._sock is not None and self._sock.unread_size() > 0

    def has_stalled_client(self, now_us: int) -> bool:
        """Return whether the client has read nothing of a response for the stall time-out."""
        if self._sock is None or not self.writer.unsent_size:
            return self.writer.is_stalled(now_us, 0)
        return self.writer.is_stalled(now_us, self._sock.unacknowledged_size())

    def report_stalled_body(self) -> None:
        """Tell the dispatcher that the upstream has stopped reading the body."""
        self.server.dispatcher.on_body_stalled(self._request_id)
