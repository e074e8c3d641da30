"""The application's side: reads its requests over HTTP/1.1 and writes their answers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

import httptools

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.router import RequestRejected, RequestRouter, retry_after
from garnetusher.sidecar.lifecycle import Lifecycle, LifecycleState
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.messages import (
    RESPONSE_MARGIN_US,
    Disposition,
    FinalResponse,
    HttpRequest,
)
from garnetusher.sidecar.sockets import Listener, SteadySocket, listen_at
from garnetusher.sidecar.streaming import (
    HELD,
    LAST_CHUNK,
    LONGEST,
    STALL_US,
    BodyMemory,
    Head,
    Reading,
    Source,
    Upload,
    chunk,
)

log = logging.getLogger(__name__)

LONGEST_HEAD = 16 * 1024
LONGEST_READ_US = 2_700_000  # for a request to come whole; strangers are owed an end 3 s after they connect
FIRST_BODY_US = 900_000  # for the first bytes of a body, behind a head that may have taken 2 s
SLOWEST_BODY = 32_000  # bytes a second that earn it more time: half of what a slow client sends
MOST_AHEAD_US = 5_000_000  # more time than this is not earned ahead
FRAMING = 64 * 1024  # bytes that chunks may take beside the body itself
FRAMING_PART = 16  # and so many more for each byte of it: pieces may be of any size
LONGEST_WAIT_US = 5_000_000  # for room for a long body
UNWRITTEN = 32 * 1024  # of a long answer, before its upstream is held back
BACKLOG = 512  # connections not yet accepted
CHECK_S = 0.1  # between looks at what clients have sent
LISTEN_PATIENCE_S = 10.0  # for an address to come free: clients wait for 30 s at a start
DRAIN_BACKLOG_S = 1.0  # for accept to work again at the end: a third of the time that is left to answer
DRAIN_IDLE_S = 1.5  # after which idle connections close: 4 s after the call none may be left that was in use
QUIET_US = 300_000  # since a connection came or had its answer: its last request may be on its way
SOON_US = 1_000_000  # after which another process is there in the place of one that ends
SET_UP_US = 20_000  # what is read so soon after a connection was set up, or after another piece, may have come with it
MOST_HELD_US = 500_000  # of a body that streams on and on after a hold-up, so much is what had come in it
LINGER_S = 1.0  # how long a connection that is to end stays for its client to read what it was told
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


class DownstreamConnection(Reading):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, server: DownstreamServer, sock: SteadySocket | None = None) -> None:
        """`sock` is the connection's own; without one its peer can't be asked for."""
        self.server = server
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.open = False  # a request has been taken and not answered
        self.request_id = 0  # the host's name for it
        self.made_us = server.accepted_us()  # when it connected
        self.set_up_us = 0  # when the loop began to read it
        self.quiet_us = 0  # since when it has been idle, if it is
        self.begun_us = 0  # when the message now being read began
        self.limit_us = 0  # when more of it must have come
        self.proven = False  # it has sent a proper request
        self.extra = False  # bytes came while a request was open
        self.last = False  # the connection closes with the next answer
        self.ending = False  # what still comes is not read any more
        self.left = False  # its client sends nothing more
        self.leaving = False  # it closes unless a request of it is here
        self.blocked_us = 0  # since when what we write is not taken
        self.unwritten = 0  # and how much of it is left, as last seen
        self.reset()

    def reset(self) -> None:
        self.whole = self.headed = False
        self.begun_us = 0
        self.method = self.target = b""
        self.old = False  # of HTTP/1.0, which knows no chunks
        self.headers: list[tuple[bytes, bytes]] = []
        self.size = self.head = self.passed = 0  # bytes in all, of headers, and of the body
        self.length: int | None = None  # of the body, where the head tells
        self.chunked = False
        self.body = bytearray()
        self.http_request: HttpRequest | None = None  # as the head tells
        self.router: RequestRouter | None = None  # that it was read by
        self.upload: Upload | None = None
        self.waits_us = 0  # since when a long body is not read on
        self.looked_us = 0  # when the rest of it was last seen not to be here yet
        self.rest_since_us = 0  # since when it has been; 0: it was not seen
        self.read_us = 0  # when what was read last had come, at the soonest
        self.read_at_us = 0  # and when it was read
        self.source: Source | None = None  # of a long answer
        self.framed = False  # it goes out in chunks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=UNWRITTEN)
        self.set_up_us = self.quiet_us = monotonic_us()
        self.limit_us = self.made_us + LONGEST_READ_US
        self.server.connected(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.drop()

    def eof_received(self) -> bool:
        """Its client sends nothing more. Hazard: whether it has left or only waits for its answer no socket tells
        before something is written; so nothing is sent on for it from now on, and it gets an answer."""
        if not (self.open and self.whole):
            if self.source is not None:
                self.turn_away(400)  # a mere end would make the answer to half a body look whole
            return False
        self.last = self.left = True
        self.server.dispatcher.on_client_half_closed(self.request_id)
        return True

    def drop(self) -> None:
        """Whatever of a request is here goes no further."""
        if self.upload is not None:
            self.server.body_memory.leave(self.enter)
            self.upload = None
        if self.open:
            self.open = False
            self.server.dispatcher.on_client_disconnected(self.request_id)

    # A request, as the parser reads it

    def on_message_begin(self) -> None:
        if self.whole:
            self.extra = True

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole:
            return
        self.head += len(name) + len(value)
        if self.head > LONGEST_HEAD:
            raise RequestRejected(413, "the head is too long")
        if self.headed:  # what comes behind the body is none of the head
            return
        lower, value = name.lower(), value.strip(b" \t")  # the parser leaves blanks behind it
        if lower == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise RequestRejected(501, "no transfer coding but chunked")
            self.chunked = True
        elif lower == b"content-length":
            self.length = int(value)
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.whole:
            return
        self.headed = True
        self.method, self.old = self.parser.get_method(), self.parser.get_http_version() == "1.0"
        if not self.parser.should_keep_alive():
            self.last = True
        if self.target[:7].lower() == b"http://":  # the form that a client gives a proxy
            self.target = b"/" + self.target[7:].partition(b"/")[2]
        if self.is_up():
            return
        self.look_up()
        # hazard: the first bytes of a body may be late behind a slow head; strangers are owed an end by then
        pause_us = LONGEST_READ_US if self.proven else FIRST_BODY_US
        self.limit_us = max(self.limit_us, monotonic_us() + pause_us)
        if (self.length or 0) > LONGEST:
            raise RequestRejected(413, "the body is too long")
        expected = next((value for name, value in self.headers if name.lower() == b"expect"), b"")
        if expected.lower() not in (b"", b"100-continue"):
            raise RequestRejected(417, "unknown expectation")
        if expected and (self.chunked or self.length) and not self.old:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def look_up(self) -> HttpRequest:
        """Its place in the settings. Hazard: what has not come whole when they change is a new request, and a
        restriction holds for it."""
        if self.http_request is None or self.router is not self.server.router:
            self.router = self.server.router
            self.http_request = self.router.route(self.method, self.target, self.headers)
        return self.http_request

    def is_up(self) -> bool:
        return self.target == b"/up" and self.method == b"GET"

    def on_body(self, data: bytes) -> None:
        if self.whole:
            return
        self.passed += len(data)
        if self.passed > LONGEST:
            raise RequestRejected(413, "the body is too long")
        earned_us = len(data) * 1_000_000 // SLOWEST_BODY
        self.limit_us = max(self.limit_us, min(self.limit_us + earned_us, monotonic_us() + MOST_AHEAD_US))
        if self.upload is None:
            self.body += data
        else:
            self.upload.feed(data)

    def on_message_complete(self) -> None:
        self.whole = True

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self.quiet_us = monotonic_us()
            return
        if self.open and self.whole:
            self.extra = True  # pipelined: the open request is answered, then the connection ends
            return
        if self.begun_us == 0:
            self.begun_us = monotonic_us()
            if self.proven:
                self.limit_us = self.begun_us + LONGEST_READ_US
        self.size += len(data)
        self.note_read()
        try:
            self.feed(data)
            if self.ending:
                return  # answered while its body was still coming
            if self.whole:
                self.take()
            elif self.upload is None and len(self.body) > HELD:
                self.pass_on()
        except RequestRejected as reject:
            self.reject(reject)
        except Exception:
            # hazard: a fault with one request must end neither the process nor other requests
            log.exception("a request could not be read")
            self.turn_away(500)

    def note_read(self) -> None:
        """Hazard: after a hold-up all that had come meanwhile is read piece by piece, at once."""
        now_us, arrived_us = monotonic_us(), self.arrived_us()
        at_once = now_us < self.read_at_us + SET_UP_US and self.read_us < self.read_at_us - SET_UP_US
        if at_once and arrived_us < self.read_us + MOST_HELD_US:
            arrived_us = min(arrived_us, self.read_us)
        self.read_us, self.read_at_us = arrived_us, now_us

    def reject(self, reject: RequestRejected) -> None:
        self.turn_away(reject.status, str(reject).encode() + b"\n")

    def turn_away(self, status: int, body: bytes = b"", head: bytes = b"") -> None:
        begun = self.source is not None
        self.drop()
        if begun:  # hazard: what is written now would be read as part of the answer
            self.finish_response(whole=False)
        else:
            self.write(status, body, head, last=True)

    def refuse_unread(self, after_us: int = SOON_US) -> None:
        """It has not come whole, and so has not run."""
        settings = self.server.router.settings
        after_us = min(after_us, settings.max_retry_after_us) if settings.send_retry_after else 0
        self.turn_away(503, head=retry_after(after_us))

    def feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, RequestRejected) else error from None
        except httptools.HttpParserError:
            if not self.whole:
                raise RequestRejected(400, "malformed request") from None
            self.extra = True
        if not self.headed and self.size > LONGEST_HEAD + FRAMING_PART:
            raise RequestRejected(413, "the head is too long")  # hazard: one without end would fill the memory
        if not self.whole and self.size > LONGEST_HEAD + FRAMING + FRAMING_PART * self.passed:
            raise RequestRejected(413, "the body's framing is too long")

    def take(self) -> None:
        """The request has come whole."""
        arrived_us = self.read_us
        self.proven = True
        if self.is_up():
            self.write(200 if self.server.ready else 503, b"")
        elif self.upload is not None:
            self.upload.finish()
            if self.open:
                self.server.dispatcher.on_body_complete(self.request_id, arrived_us)
        else:
            call = self.look_up()
            call.arrived_us = arrived_us
            call.body = bytes(self.body)
            self.open = True
            self.request_id = self.server.dispatcher.on_request(call, self)

    # A long body

    def pass_on(self) -> None:
        """The body is longer than what is held: it goes on as it comes, once there is room for it."""
        self.upload = Upload(bytes(self.body), None if self.chunked else self.length, self.flow, self.gave_up)
        self.body = bytearray()
        self.flow(False)
        self.server.body_memory.enter(self.enter)

    def enter(self) -> None:
        try:
            call = self.look_up()
        except RequestRejected as reject:
            self.reject(reject)
            return
        call.upload = self.upload
        call.arrived_us = monotonic_us()
        self.open = self.proven = True
        self.request_id = self.server.dispatcher.on_request(call, self, whole=False)

    def gave_up(self) -> None:
        self.server.dispatcher.on_not_replayable(self.request_id)

    def flow(self, on: bool) -> None:
        """Read on, or not: the upstream does not take what comes, or there is none."""
        if self.transport is None or self.upload is None:
            return
        if on:
            self.waits_us = self.looked_us = 0
            self.limit_us = max(self.limit_us, monotonic_us() + LONGEST_READ_US)
            self.transport.resume_reading()
        elif not self.whole:
            self.waits_us = self.waits_us or self.server.arrived_us()
            self.transport.pause_reading()

    # Its answer

    def send_response(self, answer: FinalResponse) -> None:
        self.open = False
        if answer.disposition is Disposition.SERVED:
            head = b"Content-Type: %s\r\n" % answer.content_type if answer.content_type else b""
            self.write(200, answer.body, head)
        elif answer.disposition is Disposition.SHED:
            self.write(503, b"", retry_after(answer.retry_after_us))
        else:
            self.write(500, b"")

    def write(self, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        assert self.transport is not None
        if self.transport.is_closing() or self.ending:
            return
        self.decide_last(last)
        self.transport.write(self.head_of(status, head + b"Content-Length: %d\r\n" % len(body)) + body)
        self.over()

    def decide_last(self, last: bool = False) -> None:
        """Hazard: after an answer to a body that is still coming, what follows would be read as a request."""
        self.last = self.last or last or not self.whole or self.server.lifecycle.closing

    def head_of(self, status: int, head: bytes) -> bytes:
        close = b"Connection: close\r\n" if self.last else b""
        return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (status, REASONS[status], head, close)

    def begin_response(self, head: Head, source: Source) -> None:
        """A long answer: its length tells its end, or a last chunk, or else the end of the connection."""
        assert self.transport is not None
        self.source = source
        self.framed = head.length is None and not self.old
        self.decide_last(last=head.length is None and not self.framed)
        lines = b"Content-Type: %s\r\n" % head.content_type if head.content_type else b""
        if self.framed:
            lines += b"Transfer-Encoding: chunked\r\n"
        elif head.length is not None:
            lines += b"Content-Length: %d\r\n" % head.length
        self.transport.write(self.head_of(200, lines))

    def write_chunk(self, data: bytes) -> None:
        assert self.transport is not None
        if data and not self.transport.is_closing():
            if self.framed:
                self.transport.writelines(chunk(data))
            else:
                self.transport.write(data)

    def finish_response(self, whole: bool) -> None:
        """Hazard: a break that looked like an end would pass half an answer off as a whole one."""
        assert self.transport is not None
        self.open = False
        self.source = None
        if not whole:
            if self.sock is not None:  # a reset, and no mere end, which would end an answer without length
                self.sock.reset_at_close()
            self.transport.abort()
        elif not self.transport.is_closing():
            if self.framed:
                self.transport.write(LAST_CHUNK)
            self.over()

    def over(self) -> None:
        """The answer is whole: on to the next request, or to the connection's end."""
        assert self.transport is not None
        self.drop()
        if self.extra and not self.last:
            self.transport.write(b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        if self.last or self.extra:
            self.end()
        else:
            self.reset()
            self.quiet_us = monotonic_us()
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self.blocked_us = monotonic_us()
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        self.blocked_us = 0
        if self.source is not None:
            self.source.resume()

    def end(self) -> None:
        """Hazard: closing with bytes unread resets the connection, and the client may lose its answer."""
        assert self.transport is not None
        self.ending = True
        if self.left:  # nothing unread can come, and a burst of clients that left would hold descriptors for a second
            self.transport.close()
            return
        self.transport.resume_reading()
        with contextlib.suppress(OSError):  # its client has reset it in this moment; what was written is gone or there
            self.transport.write_eof()
        self.quiet_us = monotonic_us()
        self.linger(self.quiet_us + STALL_US)

    def linger(self, until_us: int) -> None:
        """Hazard: a client that reads slowly, or still sends, must not lose the end of its answer."""
        assert self.transport is not None
        now_us = monotonic_us()
        sends = self.quiet_us + LINGER_S * 1e6 > now_us and until_us > now_us
        if self.transport.get_write_buffer_size() or sends:
            asyncio.get_running_loop().call_later(LINGER_S, self.linger, until_us)
        else:
            self.transport.abort()

    @property
    def unwritten_size(self) -> int:
        """Bytes of answers that its client has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def idle(self) -> bool:
        return not self.open and not self.ending and self.begun_us == 0

    def client_has_closed(self) -> bool:
        """Whether its client has closed, or ended its sending side, as far as the kernel knows. Hazard: the loop reads
        a request before the end behind it, and nothing while reading is paused."""
        assert self.transport is not None
        if self.left or self.transport.is_closing():
            return True
        return self.sock is not None and self.sock.peer_has_ended()

    def arrived_us(self) -> int:
        """When what was just read had come, at the soonest. Hazard: time that it waited in the kernel, while this
        process was held up or short, its client has not got any more."""
        arrived_us = self.server.arrived_us()
        if not self.proven and monotonic_us() < self.set_up_us + SET_UP_US:
            arrived_us = min(arrived_us, self.made_us)
        if self.sock is not None:
            arrived_us = min(arrived_us, self.sock.reads.since_us() or arrived_us)
        return min(arrived_us, self.rest_since_us or arrived_us)

    def body_complete_since_us(self) -> int:
        """Since when a body that has not been read whole may have been written whole, at the soonest: its last bytes
        may be in its client's kernel. While it is read as it comes that is about now."""
        return self.waits_whole_since_us() or self.read_us

    def waits_whole_since_us(self) -> int:
        """Since when all of a body that is not read on has been in the kernel, at the soonest; 0: it is still to come.
        Hazard: its client's time has begun, though the last byte has not been read."""
        if self.waits_us and not self.rest_since_us and self.length is not None and self.sock is not None:
            if self.sock.unread() >= self.length - self.passed:
                self.rest_since_us = self.looked_us or min(self.waits_us, self.read_us)
            else:
                self.looked_us = monotonic_us()
        return self.rest_since_us

    def out_of_time(self, now_us: int) -> bool:
        """Whether a body that waits whole has to be answered before the next look. No upstream has had all of it."""
        since_us = self.waits_whole_since_us()
        return (
            bool(since_us)
            and self.http_request is not None
            and now_us + int(CHECK_S * 1e6) > since_us + self.http_request.client_timeout_us - RESPONSE_MARGIN_US
        )

    @property
    def unproven(self) -> bool:
        return not self.proven and not self.ending

    def close_soon(self) -> None:
        """End an idle connection, but first read what the kernel holds of it: two rounds of the loop. Hazard: closing
        resets a connection with a request in it that is there and was not read."""
        if not self.leaving:
            self.leaving = True
            loop = asyncio.get_running_loop()
            loop.call_soon(loop.call_soon, self.close_if_idle)

    def close_if_idle(self) -> None:
        self.leaving = False
        if self.idle:
            self.close()

    def close(self) -> None:
        """End a connection that carries no whole request."""
        assert self.transport is not None
        if not self.server.dispatcher.write_gate.may_close(self.request_id, self.open and self.whole):
            return
        self.ending = True
        self.transport.close()

    def check(self, now_us: int) -> None:
        """Hazard: a stranger that sends nothing, or half a request, would hold its connection for ever."""
        assert self.transport is not None
        if self.blocked_us:
            left = self.transport.get_write_buffer_size()
            if left != self.unwritten:
                self.blocked_us, self.unwritten = now_us, left
            elif now_us > self.blocked_us + STALL_US:
                self.transport.abort()
        if self.ending or self.whole or (self.proven and self.begun_us == 0):
            return
        if self.waits_us:
            if self.client_has_closed() or self.out_of_time(now_us):
                self.refuse_unread()
            elif not self.open and now_us > self.waits_us + LONGEST_WAIT_US:
                self.refuse_unread(LONGEST_WAIT_US)
            elif self.open and now_us > self.waits_us + STALL_US:
                self.server.dispatcher.on_body_stalled(self.request_id)
        elif now_us > self.limit_us:
            if self.begun_us:
                self.turn_away(408)
            else:
                self.close_soon()


class DownstreamServer:
    """All connections of the application."""

    def __init__(
        self,
        host: RequestDispatcher,
        settings: Settings,
        most_clients: int,
        lifecycle: Lifecycle,
        room: int = 64 * 1024 * 1024,
    ) -> None:
        self.dispatcher = host
        self.lifecycle = lifecycle
        self.body_memory = BodyMemory(room)
        self.router = RequestRouter(settings)
        self.max_connections = most_clients
        self.connections: dict[DownstreamConnection, None] = {}  # in the order of their coming
        self.listener: Listener | None = None
        self.check_at_us = 0  # when the next look at the clients is due

    def arrived_us(self) -> int:
        """When what is read now has come, at the soonest. Hazard: where this process was held up it may have waited in
        the kernel; the time of its client has run meanwhile. A look that is overdue tells for how long."""
        return min(monotonic_us(), self.check_at_us) if self.check_at_us else monotonic_us()

    def accepted_us(self) -> int:
        """When a connection that is accepted now was made, at the soonest."""
        stalled_since_us = self.listener.stall.since_us() if self.listener is not None else 0
        return min(self.arrived_us(), stalled_since_us or monotonic_us())

    @property
    def ready(self) -> bool:
        return self.dispatcher.ready and self.lifecycle.serving

    async def listen(self, where: tuple[str, int] | socket.socket) -> None:
        """Take clients at an address of our own, or from a socket that other processes hold too."""
        sock = where if isinstance(where, socket.socket) else await listen_at(where, BACKLOG, LISTEN_PATIENCE_S)
        self.listener = Listener(sock, lambda accepted: DownstreamConnection(self, accepted))
        self.listener.start()
        self.check()

    def connected(self, client: DownstreamConnection) -> None:
        """Hazard: with no descriptor left no upstream could be reached, so the oldest client without an open
        request goes, a stranger before one that has sent proper requests."""
        if len(self.connections) >= self.max_connections:
            staying = [other for other in self.connections if not other.leaving]
            oldest = next((other for other in staying if other.unproven), None)
            oldest = oldest or next((other for other in staying if other.idle), None)
            if oldest is not None and oldest.idle:
                oldest.close_soon()
            elif oldest is not None:
                oldest.close()
        self.connections[client] = None

    def check(self) -> None:
        asyncio.get_running_loop().call_later(CHECK_S, self.check)
        now_us = monotonic_us()
        # hazard: after a hold-up timers may run before what has come is read, and its time is to be told by this look
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self.looked, now_us)
        for client in list(self.connections):
            client.check(now_us)
        if self.lifecycle.state is LifecycleState.DRAINING and self.lifecycle.closing_for_s > DRAIN_IDLE_S:
            self.close_idle(now_us - QUIET_US)

    def looked(self, at_us: int) -> None:
        """What had come by this look at the clients has been read."""
        self.check_at_us = at_us + int(CHECK_S * 1e6)

    def close_idle(self, quiet_since_us: int) -> None:
        """Close the connections that have been idle since then. Hazard: the first request of a new one is on its way,
        and clients do not send that again."""
        new_us = monotonic_us() - QUIET_US
        for client in list(self.connections):
            if client.idle and client.quiet_us <= (quiet_since_us if client.proven else min(quiet_since_us, new_us)):
                client.close_soon()

    @property
    def busy(self) -> bool:
        """Whether something is under way: a request, or an answer that is not yet written."""
        return any(client.open or client.unwritten_size for client in self.connections)

    def turn_away_unread(self) -> None:
        """Refuse what has not come whole: there is no time left for it."""
        for client in list(self.connections):
            if client.begun_us and not client.whole and not client.ending and client.source is None:
                client.refuse_unread()

    async def stop_listening(self, shared: bool) -> None:
        """Accept nobody from now on, and close this copy of the socket. What the kernel has queued is taken first,
        unless another process has the socket too and will take it: a close would reset it."""
        if self.listener is None:
            return
        if not shared:
            await self.listener.drain(DRAIN_BACKLOG_S)
        self.listener.close()
        await self.listener.settled()
