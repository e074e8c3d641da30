"""Parses requests from the bytes of a connection, within limits on size and time."""

from __future__ import annotations

import enum
from collections.abc import Callable

import httptools

from garnetusher.sidecar.body_buffer import BodyBuffer
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.errors import RequestRejected
from garnetusher.sidecar.downstream.router import ROUTING_HEADERS, RequestRouter
from garnetusher.sidecar.memory_budget import growing_buffer_size
from garnetusher.sidecar.requests.messages import HttpRequest
from garnetusher.sidecar.streaming import MAX_BODY_SIZE, MAX_BUFFERED_SIZE, Upload

MAX_HEAD_SIZE = 16 * 1024  # bytes
READ_TIMEOUT_US = 2_700_000  # time for a whole request; a new client must get a response or a close within 3 s
FIRST_BODY_TIMEOUT_US = 900_000  # time for the first body bytes after the head; the head itself may have taken 2 s
# At this rate in bytes/s, the deadline moves on as fast as time passes. A slow client sends at twice this rate.
MIN_BODY_RATE = 32_000
MAX_DEADLINE_AHEAD_US = 5_000_000  # maximum time from now until a deadline that body bytes extend
MAX_FIELD_SIZE = 16 * 1024  # bytes of a field, or of the framing of a chunk, that is not complete yet
MAX_FRAMING_SIZE = 64 * 1024  # bytes of chunked framing that a body of any size may have
MAX_FRAMING_PER_BODY_BYTE = 16  # additional framing bytes per body byte, because chunks may be of any size
READINESS_TARGET = b"/up"
# Headers that apply to one connection only, or are rewritten for each attempt. They are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
        b"x-deadline-ms",
    )
)


class ReadState(enum.Enum):
    """The part of a request that is being read."""

    HEAD = "head"
    BODY = "body"
    COMPLETE = "complete"
    RELEASED = "released"  # the connection reads no further request, and remaining input is ignored


class RequestReader:
    """Parser state of a connection's current request; reused for each next request.

    Attributes:
        state: The part of the request that is being read.
        message_started_us: The time at which the first bytes of the request were read; 0 before that.
        deadline_us: The time at which reading times out.
        has_extra_bytes: Whether the client sent more bytes after the request without waiting for the response.
        keep_alive: Whether the client wants to keep the connection open after the response.
        is_http_1_0: Whether the client uses HTTP/1.0, which has no chunked framing.
        body: The buffered part of the body.
        upload: Receives the rest of a body that exceeds the buffer limit; None while the body is not streamed.
        http_request: The request that the router made from the head; None before routing.
    """

    def __init__(self, on_head_complete: Callable[[], None]) -> None:
        """Initialize for the first request of a connection.

        Args:
            on_head_complete: Called once per request, after its head and before its body; may raise `RequestRejected`.
        """
        self._on_head_complete: Callable[[], None] | None = on_head_complete
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.deadline_us = 0
        self.has_extra_bytes = False
        self.reset()

    def reset(self) -> None:
        """Reset the state for the connection's next request; the deadline stays until that request starts."""
        self.state = ReadState.HEAD
        self.message_started_us = 0
        self.keep_alive = True
        self.is_http_1_0 = False
        self.body = BodyBuffer()
        self.upload: Upload | None = None
        self.http_request: HttpRequest | None = None
        self._router: RequestRouter | None = None  # the router that made `http_request`
        self._method = b""
        self._target = b""
        self._forwarded_headers = bytearray()  # header lines in the form in which upstreams get them
        self._routing_headers: dict[bytes, bytes] = {}  # the last value of each of ROUTING_HEADERS
        self._expectation = b""
        self._chunked = False
        self._content_length: int | None = None
        self._received_size = 0  # number of bytes received, including head and framing
        self._head_size = 0  # number of bytes in header names and values
        self._routing_size = 0  # number of bytes in the values of `_routing_headers`
        self._body_size = 0  # number of body bytes that have been read
        self._passed_on_size = 0  # the part of `_body_size` that earlier calls of `feed` have passed on
        self._calls = 0  # number of header fields and body parts in the latest call of `feed`
        self._unreported_size = 0  # number of bytes since the parser last reported either; it may hold all of them

    def release(self) -> None:
        """Discard the request, the parser and the callback, as the connection reads no further request.

        The parser and the callback refer back to the reader and its connection. Without this method only the garbage
        collector would free them, together with the body, and it runs by the number of objects and not by their size.
        """
        self.reset()
        self.state = ReadState.RELEASED
        self._parser = None
        self._on_head_complete = None

    @property
    def complete(self) -> bool:
        """Whether the whole request has been read."""
        return self.state is ReadState.COMPLETE

    @property
    def _is_reading(self) -> bool:
        return self.state in (ReadState.HEAD, ReadState.BODY)

    @property
    def is_readiness_check(self) -> bool:
        """Whether the request asks whether this sidecar itself is ready."""
        return self._target == READINESS_TARGET and self._method == b"GET"

    @property
    def body_length(self) -> int | None:
        """The length of the body; None if the body is chunked or the head states no length."""
        return None if self._chunked else self._content_length

    @property
    def missing_size(self) -> int | None:
        """The number of body bytes that have not been read; None if the head states no length."""
        return None if self._content_length is None else self._content_length - self._body_size

    @property
    def exceeds_buffer(self) -> bool:
        """Whether the body exceeds the buffer limit and must be streamed from now on."""
        return self.upload is None and len(self.body) > MAX_BUFFERED_SIZE

    def start_message(self, *, renew_deadline: bool) -> None:
        """Record that the first bytes of a request arrived; do nothing for later bytes.

        Args:
            renew_deadline: Whether the full read time-out starts now. If not, the deadline stays.
        """
        if self.message_started_us:
            return
        self.message_started_us = monotonic_us()
        if renew_deadline:
            self.set_deadline(self.message_started_us)

    def set_deadline(self, started_us: int) -> None:
        """Set the deadline to one read time-out after a given time."""
        self.deadline_us = started_us + READ_TIMEOUT_US

    def extend_deadline(self) -> None:
        """Extend the deadline to at least one read time-out from now."""
        self.deadline_us = max(self.deadline_us, monotonic_us() + READ_TIMEOUT_US)

    def extend_deadline_for_first_body(self) -> None:
        """Extend the deadline for the first bytes of the first body on a connection."""
        self.deadline_us = max(self.deadline_us, monotonic_us() + FIRST_BODY_TIMEOUT_US)

    def route(self, router: RequestRouter) -> HttpRequest:
        """Return the request with its class and tenant according to the router's settings.

        A request that was incomplete when the settings changed is routed again, as a new request would be.

        Raises:
            RequestRejected: The head is not valid under the settings.
        """
        if self.http_request is None or self._router is not router:
            self._router = router
            self.http_request = router.route(self._method, self._target, self._routing_headers)
            self.http_request.headers = bytes(self._forwarded_headers)
        return self.http_request

    @property
    def held_size(self) -> int:
        """The number of bytes of the current request that are in memory."""
        copies = 1 if self.http_request is None else 2  # the routed request has its own copy of the headers
        head_size = copies * (len(self._forwarded_headers) + len(self._target)) + self._routing_size
        return growing_buffer_size(head_size) + self.body.held_size

    def release_head(self) -> None:
        """Discard the head, of which the routed request has a copy."""
        self._target = b""
        self._forwarded_headers = bytearray()
        self._routing_headers = {}
        self._routing_size = 0

    @property
    def calls(self) -> int:
        """The number of header fields and body parts in the latest call of `feed`."""
        return self._calls

    def take_body(self) -> bytes:
        """Return the buffered body and keep nothing of it."""
        return self.body.take()

    def check_head(self) -> None:
        """Check the Content-Length and Expect headers.

        Raises:
            RequestRejected: The body is too long or the expectation is unknown.
        """
        if (self._content_length or 0) > MAX_BODY_SIZE:
            raise RequestRejected(413, "the body is too long")
        if self._expectation.lower() not in (b"", b"100-continue"):
            raise RequestRejected(417, "unknown expectation")

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for a 100 (Continue) response before it sends the body."""
        return bool(self._expectation) and self._has_body and not self.is_http_1_0

    @property
    def _has_body(self) -> bool:
        return self._chunked or bool(self._content_length)

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection.

        Raises:
            RequestRejected: The request is malformed, too long or not accepted.
        """
        self._received_size += len(data)
        self._calls = 0
        self._parse(data)
        self._unreported_size = 0 if self._calls else self._unreported_size + len(data)
        self._pass_on_body()
        self._check_size()

    def _parse(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._parse_after_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserCallbackError as error:
            # A local variable for the cause would be part of its own traceback, and keep `data` until a collection.
            raise _cause_of(error) from None
        except httptools.HttpParserError:
            if self._is_reading:
                raise RequestRejected(400, "malformed request") from None
            self.has_extra_bytes = True

    def _parse_after_upgrade(self, rest: bytes) -> None:
        """Parse the bytes after a head that offers to change the protocol; a server may ignore the offer.

        The parser ends such a request at its head (RFC 9110, section 7.8, and CONNECT), so another parser reads the
        body. It gets a head with the same framing and without the offer.
        """
        if self.state is ReadState.RELEASED:
            return
        self._parser = httptools.HttpRequestParser(self)
        if self._is_reading:
            framing = (
                b"Transfer-Encoding: chunked" if self._chunked else b"Content-Length: %d" % (self._content_length or 0)
            )
            self._parse(b"POST / HTTP/1.1\r\n%s\r\n\r\n" % framing)
        if rest:
            self._parse(rest)

    def _check_size(self) -> None:
        """Limit bytes that the parser does not report, such as an endless head or endless chunk framing.

        An incomplete head may exceed MAX_HEAD_SIZE by MAX_FRAMING_PER_BODY_BYTE bytes.
        """
        if self.state is ReadState.HEAD and self._received_size > MAX_HEAD_SIZE + MAX_FRAMING_PER_BODY_BYTE:
            raise RequestRejected(413, "the head is too long")
        max_framing_size = MAX_FRAMING_SIZE + MAX_FRAMING_PER_BODY_BYTE * self._body_size
        if self._is_reading and self._received_size > MAX_HEAD_SIZE + max_framing_size:
            raise RequestRejected(413, "the body's framing is too long")
        if self.state is ReadState.BODY and self._unreported_size > MAX_FIELD_SIZE:
            raise RequestRejected(413, "a field of the body's framing is too long")

    # Parser callbacks. They ignore data after a complete request.

    def on_message_begin(self) -> None:
        """Record a further request that arrives before the response to the current request."""
        if self.complete:
            self.has_extra_bytes = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self.state is ReadState.HEAD:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or check the size of a trailer field."""
        if not self._is_reading:
            return
        self._calls += 1
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD_SIZE:
            raise RequestRejected(413, "the head is too long")
        if self.state is not ReadState.HEAD:  # trailer fields after the body are not part of the head
            return
        lower_name = name.lower()
        value = value.strip(b" \t")  # the parser keeps trailing whitespace
        if lower_name in ROUTING_HEADERS:
            self._routing_headers[lower_name] = value
            self._routing_size += len(value)
        if lower_name not in CONNECTION_HEADERS:
            self._forwarded_headers += b"%s: %s\r\n" % (name, value)
        elif lower_name == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise RequestRejected(501, "no transfer coding but chunked")
            self._chunked = True
        elif lower_name == b"content-length":
            self._content_length = int(value)
        elif lower_name == b"expect":
            self._expectation = self._expectation or value

    def on_headers_complete(self) -> None:
        """Report the complete head to the connection."""
        if self.state is not ReadState.HEAD or self._parser is None or self._on_head_complete is None:
            return
        self.state = ReadState.BODY
        self._method = self._parser.get_method()
        self.is_http_1_0 = self._parser.get_http_version() == "1.0"
        self.keep_alive = self._parser.should_keep_alive()
        if self._target[:7].lower() == b"http://":  # absolute form, which clients use for a proxy
            self._target = b"/" + self._target[7:].partition(b"/")[2]
        self._on_head_complete()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body; `feed` passes on all parts of one read together."""
        if not self._is_reading:
            return
        self._calls += 1
        self._body_size += len(data)
        if self._body_size > MAX_BODY_SIZE:
            raise RequestRejected(413, "the body is too long")
        self.body.append(data)

    def _pass_on_body(self) -> None:
        """Extend the deadline by the body bytes of one read, and pass them on if the body is streamed."""
        new_size = self._body_size - self._passed_on_size
        if not new_size:
            return
        self._passed_on_size = self._body_size
        extension_us = new_size * 1_000_000 // MIN_BODY_RATE
        extended_us = min(self.deadline_us + extension_us, monotonic_us() + MAX_DEADLINE_AHEAD_US)
        self.deadline_us = max(self.deadline_us, extended_us)
        if self.upload is not None:
            self.upload.feed(self.take_body())

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        if self._parser is None:
            return
        if self._parser.should_upgrade() and self._has_body:
            return  # `_parse_after_upgrade` reads the body
        self.state = ReadState.COMPLETE


def _cause_of(error: httptools.HttpParserCallbackError) -> BaseException:
    """Return the rejection that a callback of the parser raised, or the parser's error itself."""
    return error.__context__ if isinstance(error.__context__, RequestRejected) else error
