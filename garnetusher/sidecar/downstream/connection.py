"""One client connection: it carries one HTTP/1.1 request at a time, from its first byte to the end of its response."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
from typing import TYPE_CHECKING

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.arrival_time import ArrivalTimes
from garnetusher.sidecar.downstream.errors import RequestRejected
from garnetusher.sidecar.downstream.request_reader import RequestReader
from garnetusher.sidecar.downstream.response_writer import ResponseWriter, content_type_header, retry_after_header
from garnetusher.sidecar.requests.messages import RESPONSE_MARGIN_US, Disposition, FinalResponse
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.streaming import STALL_TIMEOUT_US, Head, SharedBufferProtocol, Source, Upload

if TYPE_CHECKING:
    from garnetusher.sidecar.downstream.server import DownstreamServer

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1  # between checks of all connections
BODY_MEMORY_TIMEOUT_US = 5_000_000  # for memory for a long body to come free
RESTART_RETRY_AFTER_US = 1_000_000  # after which another process has taken the place of one that stops
LINGER_INTERVAL_S = 1.0  # between checks whether a client has read its last response


class ConnectionState(enum.Enum):
    """Whether a connection takes further requests."""

    ACTIVE = "active"
    CLOSE_SCHEDULED = "close scheduled"  # it closes after two rounds of the loop if no request has been read by then
    CLOSING = "closing"  # what still comes is discarded


class DownstreamConnection(SharedBufferProtocol):
    """A client's connection.

    Attributes:
        state: whether it takes further requests.
        reader: the request that is being read.
        writer: the response that is being written.
        arrival_times: when what was read arrived.
        has_open_request: the dispatcher has a request of it that has no final response yet.
        has_sent_valid_request: a valid request has been read from it, so its next one has the full read time-out.
        idle_since_us: when it was set up, or its last response or discarded bytes ended.
    """

    def __init__(self, server: DownstreamServer, sock: ShortageTolerantSocket | None = None) -> None:
        """Begin with a connection that has just been accepted.

        Args:
            server: the server that accepted it.
            sock: its socket; without one the kernel can't be asked about its client.
        """
        self.server = server
        self.state = ConnectionState.ACTIVE
        self.reader = RequestReader(self._on_head_complete)
        self.writer = ResponseWriter()
        self.arrival_times = ArrivalTimes(server.accepted_us(), server.event_loop_lag.earliest_arrival_us, sock)
        self.has_open_request = False
        self.has_sent_valid_request = False
        self.idle_since_us = 0
        self._sock = sock
        self._request_id = 0  # the dispatcher's number for the request
        self._close_after_response = False
        self._client_half_closed = False  # the client sends nothing more

    @property
    def transport(self) -> asyncio.Transport:
        """The transport; raises `NotConnectedError` before `connection_made`."""
        return self.writer.transport

    @property
    def closing(self) -> bool:
        """Whether what still comes is discarded."""
        return self.state is ConnectionState.CLOSING

    @property
    def idle(self) -> bool:
        """Whether it waits for the first bytes of a request."""
        return not self.has_open_request and not self.closing and self.reader.message_started_us == 0

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read."""
        self.writer.connect(transport)
        self.idle_since_us = self.arrival_times.start_reading()
        self.reader.set_deadline(self.arrival_times.accepted_us)
        self.server.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection; its request goes no further."""
        self.server.connections.pop(self, None)
        self._drop_request()

    def eof_received(self) -> bool:
        """Handle the end of the client's sending side; return whether the connection stays open.

        No socket tells whether the client has disconnected or only waits for its response before something is
        written. So nothing is forwarded for it from now on, and it gets a response.
        """
        if not (self.has_open_request and self.reader.complete):
            if self.writer.source is not None:
                self._reject(400)  # a plain end would make the response to half a body look complete
            return False
        self._close_after_response = True
        self._client_half_closed = True
        self.server.dispatcher.on_client_half_closed(self._request_id)
        return True

    def pause_writing(self) -> None:
        """Hold back the source of the response."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Let the source of the response go on."""
        self.writer.resume()

    def data_received(self, data: bytes) -> None:
        """Read bytes of a request."""
        if self.closing:
            self.idle_since_us = monotonic_us()
            return
        if self.has_open_request and self.reader.complete:
            self.reader.has_extra_bytes = True  # pipelined: the open request gets its response, then the end
            return
        self.reader.start_message(renew_deadline=self.has_sent_valid_request)
        self.arrival_times.record_read(first_request=not self.has_sent_valid_request)
        try:
            self._read_request(data)
        except RequestRejected as rejection:
            self._reject_with_reason(rejection)
        except Exception:
            # a fault with one request must end neither the process nor other requests
            log.exception("a request could not be read")
            self._reject(500)

    # Reading a request

    def _read_request(self, data: bytes) -> None:
        self.reader.feed(data)
        if self.closing:
            return  # it got its response while its body was still coming
        if self.reader.complete:
            self._on_request_complete()
        elif self.reader.exceeds_buffer:
            self._start_upload()

    def _on_head_complete(self) -> None:
        if not self.reader.keep_alive:
            self._close_after_response = True
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
        """Hand over the request, or the end of its body."""
        self.has_sent_valid_request = True
        if self.reader.is_readiness_check:
            self._write_response(200 if self.server.ready else 503, b"")
        elif self.reader.upload is not None:
            self._finish_upload(self.reader.upload)
        else:
            self._dispatch_buffered_request()

    def _dispatch_buffered_request(self) -> None:
        http_request = self.reader.route(self.server.router)
        http_request.arrived_us = self.arrival_times.arrived_us
        http_request.body = bytes(self.reader.body)
        self.has_open_request = True
        self._request_id = self.server.dispatcher.on_request(http_request, self)

    # A body that is longer than what is buffered

    def _start_upload(self) -> None:
        """Stream the body on as it comes, once there is memory for it."""
        self.reader.upload = Upload(bytes(self.reader.body), self.reader.body_length, self)
        self.reader.body = bytearray()
        self.pause_body()
        self.server.body_memory.acquire(self._dispatch_streamed_request)

    def _dispatch_streamed_request(self) -> None:
        try:
            http_request = self.reader.route(self.server.router)
        except RequestRejected as rejection:
            self._reject_with_reason(rejection)
            return
        http_request.upload = self.reader.upload
        http_request.arrived_us = monotonic_us()
        self.has_open_request = True
        self.has_sent_valid_request = True
        self._request_id = self.server.dispatcher.on_request(http_request, self, body_complete=False)

    def _finish_upload(self, upload: Upload) -> None:
        arrived_us = self.arrival_times.arrived_us  # the end of the upload may bring a response, which resets it
        upload.finish()
        if self.has_open_request:
            self.server.dispatcher.on_body_complete(self._request_id, arrived_us)

    def pause_body(self) -> None:
        """Read no more of the body: no upstream takes it."""
        if self.reader.upload is None or self.reader.complete:
            return
        self.arrival_times.pause()
        self.transport.pause_reading()

    def resume_body(self) -> None:
        """Read more of the body."""
        if self.reader.upload is None:
            return
        self.arrival_times.resume()
        self.reader.extend_deadline()
        self.transport.resume_reading()

    def body_not_replayable(self) -> None:
        """Tell the dispatcher that more of the body was streamed on than is buffered."""
        self.server.dispatcher.on_not_replayable(self._request_id)

    # Rejecting a request without the dispatcher

    def shed_unread(self, retry_after_us: int = RESTART_RETRY_AFTER_US) -> None:
        """Shed a request that has not been read completely, and so has not run.

        Args:
            retry_after_us: told to the client as far as the settings allow.
        """
        settings = self.server.router.settings
        retry_after_us = min(retry_after_us, settings.max_retry_after_us) if settings.send_retry_after else 0
        self._reject(503, headers=retry_after_header(retry_after_us))

    def _reject_with_reason(self, rejection: RequestRejected) -> None:
        self._reject(rejection.status, str(rejection).encode() + b"\n")

    def _reject(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Drop the request and close the connection behind an error response.

        Where a streamed response has begun, an error would be read as part of it: the connection is reset instead.
        """
        response_started = self.writer.source is not None
        self._drop_request()
        if response_started:
            self.finish_response(complete=False)
        else:
            self._write_response(status, body, headers, close=True)

    def _drop_request(self) -> None:
        """Take a request that is here no further."""
        if self.reader.upload is not None:
            self.server.body_memory.release(self._dispatch_streamed_request)
            self.reader.upload = None
        if self.has_open_request:
            self.has_open_request = False
            self.server.dispatcher.on_client_disconnected(self._request_id)

    # The response, as the dispatcher hands it over

    def send_response(self, response: FinalResponse) -> None:
        """Write the one final response, unless a streamed one has begun."""
        self.has_open_request = False
        if response.disposition is Disposition.SERVED:
            self._write_response(200, response.body, content_type_header(response.content_type))
        elif response.disposition is Disposition.SHED:
            self._write_response(503, b"", retry_after_header(response.retry_after_us))
        else:
            self._write_response(500, b"")

    def begin_response(self, head: Head, source: Source) -> None:
        """Write the head of the final response, which is long and is streamed."""
        ends_with_connection = self.writer.start_stream(head, source, allow_chunked=not self.reader.is_http_1_0)
        self._decide_close(close=ends_with_connection)
        self.writer.write_stream_head(head, close=self._close_after_response)

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes of a streamed response."""
        self.writer.write_chunk(data)

    def finish_response(self, *, complete: bool) -> None:
        """End a streamed response.

        Args:
            complete: it is; else the connection is reset, as a plain end would make it look complete.
        """
        self.has_open_request = False
        self.writer.source = None
        if not complete:
            if self._sock is not None:
                self._sock.reset_at_close()
            self.transport.abort()
        elif not self.transport.is_closing():
            self.writer.end_stream()
            self._on_response_complete()

    def client_has_closed(self) -> bool:
        """Return whether the client has closed, or ended its sending side, as far as the kernel knows.

        The event loop reads a request before the end behind it, and nothing while reading is paused.
        """
        if self._client_half_closed or self.transport.is_closing():
            return True
        return self._sock is not None and self._sock.peer_has_ended()

    def earliest_body_end_us(self) -> int:
        """Return since when a body that has not been read completely may have been sent completely, at the earliest.

        Its last bytes may be in the client's kernel. While it is read as it comes that is about now.
        """
        return self._complete_unread_since_us() or self.arrival_times.arrived_us

    def _complete_unread_since_us(self) -> int:
        return self.arrival_times.complete_unread_since_us(self.reader.missing_size)

    def _write_response(self, status: int, body: bytes, headers: bytes = b"", *, close: bool = False) -> None:
        if self.transport.is_closing() or self.closing:
            return
        self._decide_close(close=close)
        self.writer.write_response(status, body, headers, close=self._close_after_response)
        self._on_response_complete()

    def _decide_close(self, *, close: bool) -> None:
        """Close after a response to a body that is still coming: what follows would be read as a request."""
        if close or not self.reader.complete or self.server.lifecycle.closing:
            self._close_after_response = True

    def _on_response_complete(self) -> None:
        """Go on to the next request, or end the connection."""
        self._drop_request()
        if self.reader.has_extra_bytes and not self._close_after_response:
            self.writer.write_pipelining_error()
        if self._close_after_response or self.reader.has_extra_bytes:
            self._end()
            return
        self.reader.reset()
        self.writer.reset()
        self.arrival_times.reset()
        self.idle_since_us = monotonic_us()
        self.transport.resume_reading()

    # The end of the connection

    def _end(self) -> None:
        """End the sending side and discard what still comes.

        Closing with bytes unread would reset the connection, and the client might lose its response.
        """
        self.state = ConnectionState.CLOSING
        if self._client_half_closed:  # no bytes can come any more, and the descriptor is free at once
            self.transport.close()
            return
        self.transport.resume_reading()
        with contextlib.suppress(OSError):  # the client has just reset the connection
            self.transport.write_eof()
        self.idle_since_us = monotonic_us()
        self._linger(self.idle_since_us + STALL_TIMEOUT_US)

    def _linger(self, deadline_us: int) -> None:
        """Abort once the client, which may read slowly or still send, has the end of its response.

        Args:
            deadline_us: a client that sends without end is waited for no longer than this.
        """
        now_us = monotonic_us()
        still_sends = self.idle_since_us + LINGER_INTERVAL_S * 1e6 > now_us and deadline_us > now_us
        if self.writer.unsent_size or still_sends:
            asyncio.get_running_loop().call_later(LINGER_INTERVAL_S, self._linger, deadline_us)
        else:
            self.transport.abort()

    def schedule_close(self) -> None:
        """Close an idle connection after two rounds of the loop, in which what the kernel holds of it is read.

        Closing at once would reset a connection with a request that has arrived and was not read.
        """
        if self.state is ConnectionState.ACTIVE:
            self.state = ConnectionState.CLOSE_SCHEDULED
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.state is ConnectionState.CLOSE_SCHEDULED:
            self.state = ConnectionState.ACTIVE
        if self.idle:
            self.close()

    def close(self) -> None:
        """Close a connection that carries no complete request."""
        carries_request = self.has_open_request and self.reader.complete
        if not self.server.dispatcher.write_gate.may_close(self._request_id, carries_request):
            return
        self.state = ConnectionState.CLOSING
        self.transport.close()

    # Time-outs

    def check_timeouts(self, now_us: int) -> None:
        """End what has taken too long: a client that sends nothing or half a request would stay for ever.

        Args:
            now_us: the time of the check, which all connections share.
        """
        self.writer.abort_if_stalled(now_us)
        if self.closing or self.reader.complete:
            return
        if self.has_sent_valid_request and self.reader.message_started_us == 0:
            return  # idle between two requests
        if self.arrival_times.paused_since_us:
            self._check_paused_body(now_us)
        elif now_us > self.reader.deadline_us:
            if self.reader.message_started_us:
                self._reject(408)
            else:
                self.schedule_close()

    def _check_paused_body(self, now_us: int) -> None:
        paused_us = now_us - self.arrival_times.paused_since_us
        if self.client_has_closed() or self._must_respond_before_next_check(now_us):
            self.shed_unread()
        elif not self.has_open_request and paused_us > BODY_MEMORY_TIMEOUT_US:
            self.shed_unread(BODY_MEMORY_TIMEOUT_US)
        elif self.has_open_request and paused_us > STALL_TIMEOUT_US:
            self.server.dispatcher.on_body_stalled(self._request_id)

    def _must_respond_before_next_check(self, now_us: int) -> bool:
        """Whether the client's time for a body that has arrived, but can't be read on, is nearly over."""
        complete_since_us = self._complete_unread_since_us()
        http_request = self.reader.http_request
        if not complete_since_us or http_request is None:
            return False
        response_due_us = complete_since_us + http_request.client_timeout_us - RESPONSE_MARGIN_US
        return now_us + int(CHECK_INTERVAL_S * 1e6) > response_due_us
