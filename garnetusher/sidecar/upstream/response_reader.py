"""Reads the responses of an upstream, applies limits to their heads and bodies, and detects where they end."""

from __future__ import annotations

import enum
from typing import Protocol

import httptools

from garnetusher.errors import GarnetusherError
from garnetusher.policy.events import Outcome
from garnetusher.sidecar.streaming import MAX_BODY_SIZE, MAX_BUFFERED_SIZE, Head, Sink
from garnetusher.sidecar.transitions import UpstreamCloseReason

MAX_HEADERS_SIZE = 64 * 1024  # bytes; parsing 1 MiB of headers takes 40 ms, and all other requests wait meanwhile
# Framing is all of a response but its body: the heads, the sizes of chunks, and the trailers. A response may have
# MAX_FRAMING_SIZE bytes of it, and FRAMING_PER_BODY_BYTE more for each byte of the body, as chunks may have any size.
MAX_FRAMING_SIZE = 1024 * 1024
FRAMING_PER_BODY_BYTE = 16
CLIENT_ERRORS = range(400, 500)
UPSTREAM_CAUSED_STATUSES = (408, 429)  # client errors that the state of the upstream causes, not the request
OVERLOAD_STATUSES = (503, 504)  # with X-Not-Run: 1, the upstream has not started the request


class ResponseError(GarnetusherError, ValueError):
    """A response exceeds a limit, or has no client that waits for it."""


class ResponsePart(enum.Enum):
    """A part of a response that has a limit."""

    HEADERS = "response headers"
    BODY = "a response body"
    ERROR_BODY = "the body of an error response"


class ResponseTooLargeError(ResponseError):
    """A part of a response is larger than its limit."""

    def __init__(self, part: ResponsePart, limit: int) -> None:
        super().__init__(f"expected {part.value} of at most {limit} bytes, got more")


class ResponseNotWantedError(ResponseError):
    """The request was already completed in another way, so no client waits for a streamed response."""

    def __init__(self) -> None:
        super().__init__("the request of a streamed response is already completed")


class ResponseState(enum.Enum):
    """The progress of reading a response."""

    HEAD = "before the end of the final head"
    BODY = "between the final head and the end of the body"
    COMPLETE = "read to its end"


# The parser's callbacks compare states for each header. In Python 3.11, looking a member up in its enum takes 0.1 us;
# these constants avoid that.
_HEAD = ResponseState.HEAD
_BODY = ResponseState.BODY
_COMPLETE = ResponseState.COMPLETE


class ResponseConsumer(Protocol):
    """Provides the sink for a streamed response."""

    def start_streaming(self, head: Head) -> Sink | None:
        """Return the sink for the body of a streamed response; None if no client waits for it."""


class ResponseReader:
    """Reads the responses on one connection, one after the other; the parser calls its `on_` methods.

    Attributes:
        state: the progress of reading the response.
        unusable_reason: why no further response can be read from this connection; None if one can be.
        status: the status of the latest head, which may be that of an interim response.
        length: the value of Content-Length; None if the header is absent.
        content_type: the value of Content-Type; empty if the header is absent.
        body: the part of the body that has arrived and is not passed on.
        sink: the receiver of a streamed body; None while the body is buffered.
        received: the number of bytes of head and body that have arrived.
        calls: the number of heads, header fields, trailer fields and body parts in the latest call of `feed`.
        unwanted: whether no client waits for the response, which is therefore not read to its end.
    """

    __slots__ = (
        "_body_size",
        "_chunked",
        "_consumer",
        "_headers_size",
        "_not_run",
        "_parser",
        "_unreported_size",
        "body",
        "calls",
        "content_type",
        "length",
        "received",
        "sink",
        "state",
        "status",
        "unusable_reason",
        "unwanted",
    )

    def __init__(self) -> None:
        self._consumer: ResponseConsumer | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self.unusable_reason: UpstreamCloseReason | None = None
        self._reset()

    def _reset(self) -> None:
        self.state = _HEAD
        self.status = 0
        self.content_type = b""
        self.length: int | None = None
        self.body = bytearray()
        self.sink: Sink | None = None
        self.received = 0
        self.calls = 0
        self.unwanted = False
        self._body_size = 0
        self._headers_size = 0
        self._unreported_size = 0  # number of bytes since the parser last reported anything; it may hold all of them
        self._not_run = False
        self._chunked = False

    def start(self, consumer: ResponseConsumer) -> None:
        """Prepare to read the response to a new request."""
        self._parser = httptools.HttpResponseParser(self)
        self._consumer = consumer
        self._reset()

    def release(self) -> None:
        """Discard the parser and the body of a response that has ended."""
        self._parser = None
        self._consumer = None
        self.sink = None
        self.body = bytearray()

    @property
    def expecting(self) -> bool:
        """Whether a response is expected."""
        return self._parser is not None

    @property
    def in_body(self) -> bool:
        """Whether the final head has been read and the end of the body has not."""
        return self.state is _BODY

    @property
    def complete(self) -> bool:
        """Whether the response has been read to its end."""
        return self.state is _COMPLETE

    @property
    def exceeds_framing_limit(self) -> bool:
        """Whether the response has too many bytes besides its body; an endless response would use up the memory.

        A single field has its own limit: the parser holds it and copies it for each part in which it arrives.
        """
        max_size = MAX_FRAMING_SIZE + FRAMING_PER_BODY_BYTE * self._body_size
        return self.received > max_size or self._unreported_size > MAX_HEADERS_SIZE

    @property
    def is_buffering_body(self) -> bool:
        """Whether the body of a successful response is being buffered."""
        return self.state is _BODY and self.status == 200 and self.sink is None

    @property
    def is_buffering_body_of_unknown_length(self) -> bool:
        """Whether the body of a successful response with unknown length is being buffered."""
        return self.length is None and self.is_buffering_body

    def feed(self, data: bytes) -> None:
        """Parse received bytes; bytes that can't be parsed make the connection unusable."""
        if self._parser is None:
            return
        self.calls = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._set_unusable(self._error_reason(error))  # the following bytes could be taken for the next response
        self._unreported_size = 0 if self.calls else self._unreported_size + len(data)
        self._pass_on_body()

    def _pass_on_body(self) -> None:
        """Pass on all parts of a streamed body that one read has brought."""
        if self.sink is not None and self.body:
            data, self.body = bytes(self.body), bytearray()
            self.sink.write_chunk(data)

    def _error_reason(self, error: Exception) -> UpstreamCloseReason:
        """Return what an error of the parser, or of one of its callbacks, says about the received bytes."""
        if isinstance(error.__context__, ResponseTooLargeError):
            return UpstreamCloseReason.RESPONSE_TOO_LARGE
        if isinstance(error.__context__, ResponseNotWantedError):
            return UpstreamCloseReason.RESPONSE_NOT_WANTED
        return UpstreamCloseReason.UNREQUESTED_DATA if self.complete else UpstreamCloseReason.MALFORMED_RESPONSE

    def _set_unusable(self, reason: UpstreamCloseReason) -> None:
        if self.unusable_reason is None:
            self.unusable_reason = reason

    def feed_eof(self) -> bool:
        """Process the end of the upstream's stream; return whether it completes the response."""
        if self.state is not _BODY or self.length is not None or self._chunked:
            return False
        self.state = _COMPLETE
        return True

    def start_streaming(self) -> None:
        """Stream the body from here on, because it is too long to be buffered or takes too long.

        Raises:
            ResponseNotWantedError: no client waits for the response any more.
        """
        if self._consumer is not None:
            self.sink = self._consumer.start_streaming(Head(self.length, self.content_type))
        if self.sink is None:
            self.unwanted = True
            raise ResponseNotWantedError
        self._pass_on_body()

    def outcome(self) -> Outcome:
        """Return the outcome of the attempt, from its complete response."""
        if self.status == 200:
            return Outcome.OK
        if self.status in OVERLOAD_STATUSES and self._not_run:
            return Outcome.OVERLOADED
        if self.status in CLIENT_ERRORS and self.status not in UPSTREAM_CAUSED_STATUSES:
            return Outcome.REJECTED
        return Outcome.ERROR

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Handle the start of a message; a second message after the response makes the connection unusable."""
        if self.state is _COMPLETE:
            self._set_unusable(UpstreamCloseReason.UNREQUESTED_DATA)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Process a header of the head; trailers after the body are ignored.

        Raises:
            ResponseTooLargeError: the total size of the headers exceeds MAX_HEADERS_SIZE.
        """
        self.calls += 1
        if self.state is not _HEAD:
            return
        self._headers_size += len(name) + len(value)
        if self._headers_size > MAX_HEADERS_SIZE:
            raise ResponseTooLargeError(ResponsePart.HEADERS, MAX_HEADERS_SIZE)
        name, value = name.lower(), value.strip(b" \t")
        if name == b"x-not-run":
            self._not_run = value == b"1"
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-length":
            self.length = int(value)
        elif name == b"transfer-encoding":
            self._chunked = True

    def on_headers_complete(self) -> None:
        """Process the end of the head; a long successful response is streamed from here on.

        Raises:
            ResponseTooLargeError: Content-Length exceeds MAX_BODY_SIZE.
        """
        if self._parser is None or self.state is _COMPLETE:
            return
        self.calls += 1
        self.status = self._parser.get_status_code()
        if self.status >= 200:
            self.state = _BODY
        content_length = self.length or 0
        if content_length > MAX_BODY_SIZE:
            raise ResponseTooLargeError(ResponsePart.BODY, MAX_BODY_SIZE)
        if self.status == 200 and content_length > MAX_BUFFERED_SIZE:
            self.start_streaming()

    def on_body(self, data: bytes) -> None:
        """Stream or buffer a part of the body.

        Raises:
            ResponseTooLargeError: the body exceeds MAX_BODY_SIZE, or MAX_BUFFERED_SIZE in an error response.
        """
        if self.state is _COMPLETE:
            return
        self._body_size += len(data)
        if self._body_size > MAX_BODY_SIZE:
            raise ResponseTooLargeError(ResponsePart.BODY, MAX_BODY_SIZE)
        self.calls += 1
        if self.status != 200:  # the body of an error response is not used
            if self._body_size > MAX_BUFFERED_SIZE:
                raise ResponseTooLargeError(ResponsePart.ERROR_BODY, MAX_BUFFERED_SIZE)
            return
        self.body += data
        if self.sink is None and len(self.body) > MAX_BUFFERED_SIZE:
            self.start_streaming()

    def on_message_complete(self) -> None:
        """Complete the response, or discard an interim response; the final response follows it."""
        if self._parser is None or self.state is _COMPLETE:
            return
        if self.status < 200:
            self._not_run = False
            self.content_type, self.length = b"", None
            return
        self.state = _COMPLETE
        if not self._parser.should_keep_alive():
            self._set_unusable(UpstreamCloseReason.RESPONSE_REQUIRES_CLOSE)
