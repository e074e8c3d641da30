"""Reads requests from a connection's bytes, within limits of size and time."""

from __future__ import annotations

import enum
from collections.abc import Callable

import httptools

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.errors import RequestRejected
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.requests.messages import HttpRequest
from garnetusher.sidecar.streaming import MAX_BODY_SIZE, MAX_BUFFERED_SIZE, Upload

MAX_HEAD_SIZE = 16 * 1024  # bytes
READ_TIMEOUT_US = 2_700_000  # for a complete request; a new client is owed a response or an end 3 s after it connects
FIRST_BODY_TIMEOUT_US = 900_000  # for the first bytes of a body, behind a head that may have taken 2 s
MIN_BODY_RATE = 32_000  # bytes a second that extend the deadline: half of what a slow client sends
MAX_DEADLINE_AHEAD_US = 5_000_000  # a deadline is never extended to later than this from now
MAX_FRAMING_SIZE = 64 * 1024  # bytes that chunked framing may take beside the body itself
MAX_FRAMING_PER_BODY_BYTE = 16  # and so many more for each byte of it: chunks may be of any size
READINESS_TARGET = b"/up"


class ReadState(enum.Enum):
    """Which part of a request is being read."""

    HEAD = "head"
    BODY = "body"
    COMPLETE = "complete"


class RequestReader:
    """The request that is being read from a connection; it is reused for the connection's next request.

    Attributes:
        state: which part is being read.
        message_started_us: when the first bytes of the message were read; 0 before them.
        deadline_us: when more of the message must have been read.
        has_extra_bytes: bytes came behind the request, before its response.
        keep_alive: the client wants to keep the connection after the response.
        is_http_1_0: the client speaks HTTP/1.0, which has no chunked framing.
        body: what is buffered of the body.
        upload: where the rest of the body goes once it is longer than what is buffered.
        http_request: the request as the head describes it; None until it is routed.
    """

    def __init__(self, on_head_complete: Callable[[], None]) -> None:
        """Begin the first request.

        Args:
            on_head_complete: called once for each head, before any of its body; may raise `RequestRejected`.
        """
        self._on_head_complete = on_head_complete
        self._parser = httptools.HttpRequestParser(self)
        self.deadline_us = 0
        self.has_extra_bytes = False
        self.reset()

    def reset(self) -> None:
        """Begin the connection's next request; its deadline stays until its first bytes come."""
        self.state = ReadState.HEAD
        self.message_started_us = 0
        self.keep_alive = True
        self.is_http_1_0 = False
        self.body = bytearray()
        self.upload: Upload | None = None
        self.http_request: HttpRequest | None = None
        self._router: RequestRouter | None = None  # the one that made `http_request`
        self._method = b""
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunked = False
        self._content_length: int | None = None
        self._received_size = 0  # bytes in all
        self._head_size = 0  # bytes of header names and values
        self._body_size = 0  # bytes of the body that have been read

    @property
    def complete(self) -> bool:
        """Whether all of the request has been read."""
        return self.state is ReadState.COMPLETE

    @property
    def is_readiness_check(self) -> bool:
        """Whether it asks for the readiness of this sidecar itself."""
        return self._target == READINESS_TARGET and self._method == b"GET"

    @property
    def body_length(self) -> int | None:
        """The length of the body; None if only its end will tell."""
        return None if self._chunked else self._content_length

    @property
    def missing_size(self) -> int | None:
        """How many bytes of the body have not been read; None if the head does not tell."""
        return None if self._content_length is None else self._content_length - self._body_size

    @property
    def exceeds_buffer(self) -> bool:
        """Whether more of the body has been read than is buffered, and it has to be streamed."""
        return self.upload is None and len(self.body) > MAX_BUFFERED_SIZE

    def start_message(self, *, renew_deadline: bool) -> None:
        """Record the first bytes of a message; does nothing on later ones.

        Args:
            renew_deadline: the message has the full time from now on; else the deadline stays.
        """
        if self.message_started_us:
            return
        self.message_started_us = monotonic_us()
        if renew_deadline:
            self.set_deadline(self.message_started_us)

    def set_deadline(self, started_us: int) -> None:
        """Let the read time-out count from a moment."""
        self.deadline_us = started_us + READ_TIMEOUT_US

    def extend_deadline(self) -> None:
        """Grant at least the read time-out from now on."""
        self.deadline_us = max(self.deadline_us, monotonic_us() + READ_TIMEOUT_US)

    def extend_deadline_for_first_body(self) -> None:
        """Grant the time for the first bytes of a body behind the first head of a connection."""
        self.deadline_us = max(self.deadline_us, monotonic_us() + FIRST_BODY_TIMEOUT_US)

    def route(self, router: RequestRouter) -> HttpRequest:
        """Return the request with its place in the current settings.

        A request that was not complete when the settings changed counts as a new one, and is routed again.

        Raises:
            RequestRejected: the head does not fit the settings.
        """
        if self.http_request is None or self._router is not router:
            self._router = router
            self.http_request = router.route(self._method, self._target, self._headers)
        return self.http_request

    def check_head(self) -> None:
        """Check the length and the expectation that the head tells.

        Raises:
            RequestRejected: one of them is not accepted.
        """
        if (self._content_length or 0) > MAX_BODY_SIZE:
            raise RequestRejected(413, "the body is too long")
        if self._expectation().lower() not in (b"", b"100-continue"):
            raise RequestRejected(417, "unknown expectation")

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        has_body = self._chunked or bool(self._content_length)
        return bool(self._expectation()) and has_body and not self.is_http_1_0

    def feed(self, data: bytes) -> None:
        """Read bytes of the connection.

        Raises:
            RequestRejected: the request is malformed, too long or not accepted.
        """
        self._received_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, RequestRejected) else error from None
        except httptools.HttpParserError:
            if not self.complete:
                raise RequestRejected(400, "malformed request") from None
            self.has_extra_bytes = True
        self._check_size()

    def _check_size(self) -> None:
        """Bound the bytes that the parser doesn't report: a head or a chunk's framing without end."""
        if self.state is ReadState.HEAD and self._received_size > MAX_HEAD_SIZE + MAX_FRAMING_PER_BODY_BYTE:
            raise RequestRejected(413, "the head is too long")
        max_framing_size = MAX_FRAMING_SIZE + MAX_FRAMING_PER_BODY_BYTE * self._body_size
        if not self.complete and self._received_size > MAX_HEAD_SIZE + max_framing_size:
            raise RequestRejected(413, "the body's framing is too long")

    def _expectation(self) -> bytes:
        return next((value for name, value in self._headers if name.lower() == b"expect"), b"")

    # Callbacks of the parser. What follows a complete request is not part of it.

    def on_message_begin(self) -> None:
        """Note a second request behind one that has no response yet."""
        if self.complete:
            self.has_extra_bytes = True

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        if not self.complete:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, or check the size of a trailer."""
        if self.complete:
            return
        self._head_size += len(name) + len(value)
        if self._head_size > MAX_HEAD_SIZE:
            raise RequestRejected(413, "the head is too long")
        if self.state is not ReadState.HEAD:  # a trailer behind the body is not part of the head
            return
        lower_name = name.lower()
        value = value.strip(b" \t")  # the parser leaves blanks behind it
        if lower_name == b"transfer-encoding":
            if value.lower() != b"chunked":
                raise RequestRejected(501, "no transfer coding but chunked")
            self._chunked = True
        elif lower_name == b"content-length":
            self._content_length = int(value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand over the head."""
        if self.complete:
            return
        self.state = ReadState.BODY
        self._method = self._parser.get_method()
        self.is_http_1_0 = self._parser.get_http_version() == "1.0"
        self.keep_alive = self._parser.should_keep_alive()
        if self._target[:7].lower() == b"http://":  # the absolute form that a client sends to a proxy
            self._target = b"/" + self._target[7:].partition(b"/")[2]
        self._on_head_complete()

    def on_body(self, data: bytes) -> None:
        """Buffer a piece of the body or stream it on, and extend the deadline by its size."""
        if self.complete:
            return
        self._body_size += len(data)
        if self._body_size > MAX_BODY_SIZE:
            raise RequestRejected(413, "the body is too long")
        earned_us = len(data) * 1_000_000 // MIN_BODY_RATE
        extended_us = min(self.deadline_us + earned_us, monotonic_us() + MAX_DEADLINE_AHEAD_US)
        self.deadline_us = max(self.deadline_us, extended_us)
        if self.upload is None:
            self.body += data
        else:
            self.upload.feed(data)

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.state = ReadState.COMPLETE
