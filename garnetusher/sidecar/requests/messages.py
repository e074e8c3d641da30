"""A client's request, its attempts and its response, as downstream, the dispatcher and upstream exchange them."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from garnetusher.policy.events import Outcome
from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.requests.endpoints import Address, ReadyEndpoint
from garnetusher.sidecar.streaming import Head, Sink, Source, Upload

RESPONSE_MARGIN_US = 10_000  # a response is sent so long before the client's timeout, to arrive in time

# outcomes which prove that an upstream never began with an attempt
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


@dataclass(slots=True)
class HttpRequest:
    """A request of the application, as it was read.

    Attributes:
        method: the HTTP method.
        target: the HTTP request target.
        headers: those that are forwarded to the upstream.
        body: the body, or what has been read of it when `upload` is set.
        arrived_us: when it arrived, at the earliest.
        client_timeout_us: how long the client waits, counted from its arrival.
        class_index: its class, as an index into the settings' classes.
        tenant_index: its tenant, as an index into the settings' tenants.
        affinity_key: requests with the same key go to the same endpoint; 0 = none.
        expected_work_us: how long the client expects it to take; 0 = unknown.
        client_retry: whether the client says that it is a retry.
        client_request_id: the client's `X-Request-Id`.
        upload: the body, if it is too long to be buffered.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    arrived_us: int
    client_timeout_us: int
    class_index: int
    tenant_index: int = 0
    affinity_key: int = 0
    expected_work_us: int = 0
    client_retry: bool = False
    client_request_id: str = ""
    upload: Upload | None = None


class Disposition(enum.Enum):
    """The kind of a final response; the values are counter keys and trace reasons."""

    SERVED = "served"
    SHED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """The one final response to a request.

    Attributes:
        disposition: its kind.
        body: the upstream's body, of a served request.
        content_type: the upstream's `Content-Type`, of a served request.
        retry_after_us: when the client of a shed request may retry; 0 = no Retry-After is sent.
    """

    disposition: Disposition
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, with the upstream's response if there is one."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""


class ResponseSink(Sink, Protocol):
    """The downstream connection that a request came on."""

    def send_response(self, response: FinalResponse) -> None:
        """Send the one final response, unless a streamed one has begun."""

    def begin_response(self, head: Head, source: Source) -> None:
        """Begin the final response, which is long and is streamed."""

    def finish_response(self, *, complete: bool) -> None:
        """End a streamed response, or break it off so that the client notices."""

    def client_has_closed(self) -> bool:
        """Whether the client has closed, or ended its sending side, as far as the kernel knows by now."""

    def body_complete_since_us(self) -> int:
        """Return the earliest time at which the client may have written the last byte of a body still being read."""


class Denial(enum.Enum):
    """Why an attempt may not be written now; the names are counter keys and trace reasons."""

    REQUEST_OVER = "the request has its final answer, or its client has gone"
    ANSWER_BEGUN = "another attempt's answer has begun to go to the client"
    CLIENT_LEFT = "the client has closed or sends no more"
    TIME_OVER = "the time of the client or of the attempt is over"
    WINDOW_OVER = "upstreams may have forgotten an earlier attempt"
    ENDPOINT_CHANGED = "the upstream drains, is gone, has moved or has started anew"
    MAY_HAVE_RUN = "an earlier attempt may have run, and the class may not be repeated"
    STILL_OUT = "an earlier attempt is out, and two may not be"
    TOO_MANY = "the request has had all its attempts"


@dataclass(frozen=True, slots=True)
class WritePermit:
    """An attempt may be written now.

    Attributes:
        remaining_us: the time left, which is sent to its upstream.
    """

    remaining_us: int


WritePermission = Callable[[], WritePermit | Denial]


class AttemptHandle(Protocol):
    """An attempt in flight, as the upstream side knows it."""

    @property
    def written(self) -> bool:
        """Whether any byte of it has been written."""

    def abandon(self) -> None:
        """Stop waiting: nothing more is written, and a connection that has carried it is closed."""


class UpstreamTransport(Protocol):
    """The side of the upstreams."""

    def start_attempt(
        self,
        address: Address,
        http_request: HttpRequest,
        permission: WritePermission,
        on_ended: Callable[[AttemptResult], None],
        on_response_started: Callable[[Head, Source], Sink | None],
    ) -> AttemptHandle:
        """Start an attempt.

        Args:
            address: where it goes.
            http_request: what is sent.
            permission: called when the first byte is about to be written.
            on_ended: called once, later, unless the attempt is abandoned first.
            on_response_started: called before it where the response is streamed; returns where the response goes, or
                None if it is not needed any more.

        Returns:
            The handle to abandon it by.
        """

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an endpoint."""


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an endpoint.

    Attributes:
        endpoint_id: where the policy sent it.
        started_us: when it started; of a body that is still coming, when that is complete.
        target: the endpoint as it was listed then; None = it was no longer ready.
        handle: the upstream side's handle, while the attempt is in flight.
        timeout_timer: the timer of its timeout.
        timeout_us: the policy's timeout; 0 = the request's deadline.
        latest_start_us: it is not written from this time on; 0 = no such limit.
        outcome: how it ended; None = it is in flight.
        written_us: when its first byte was written; 0 = not yet.
    """

    endpoint_id: int
    started_us: int
    target: ReadyEndpoint | None
    handle: AttemptHandle | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    timeout_us: int = 0
    latest_start_us: int = 0
    outcome: Outcome | None = None
    written_us: int = 0

    @property
    def ended(self) -> bool:
        """Whether it has an outcome."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Whether its upstream may have begun with it, or may yet."""
        return self.written_us > 0 and self.outcome not in NEVER_RAN


class ResponseState(enum.Enum):
    """How far the response to a request is."""

    AWAITED = enum.auto()  # nothing has been sent to the client
    STREAMING = enum.auto()  # the first bytes of an attempt's response have been sent, and no other response can be
    COMPLETED = enum.auto()  # the client has its response, or has disconnected


@dataclass(slots=True)
class PendingRequest:
    """A request whose response or attempts are not complete.

    Attributes:
        request_id: the dispatcher's number for it.
        http_request: what the client sent.
        deadline_us: when its response has to be sent.
        response_sink: where the response goes.
        body_complete: whether its body has been read to the end; if not, the client's timeout has not begun.
        request_class: its class as it was at the arrival: later settings do not change it.
        max_attempts: the limit of attempts at the arrival.
        response_state: how far its response is.
        streaming_attempt_index: the attempt whose response is streamed to the client.
        attempts: in the order in which the policy asked for them.
        deadline_timer: the timer of its deadline.
    """

    request_id: int
    http_request: HttpRequest
    deadline_us: int
    response_sink: ResponseSink
    body_complete: bool
    request_class: RequestClass
    max_attempts: int
    response_state: ResponseState = ResponseState.AWAITED
    streaming_attempt_index: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    deadline_timer: asyncio.TimerHandle | None = None

    @property
    def is_response_awaited(self) -> bool:
        """Whether nothing has been sent to the client."""
        return self.response_state is ResponseState.AWAITED

    @property
    def is_streaming(self) -> bool:
        """Whether an attempt's response is being streamed to the client."""
        return self.response_state is ResponseState.STREAMING

    @property
    def completed(self) -> bool:
        """Whether the client has its response, or has disconnected."""
        return self.response_state is ResponseState.COMPLETED


@dataclass(frozen=True, slots=True)
class OverrideRejection:
    """Why an operator's order for a zone is not followed."""

    reason: str

    def __str__(self) -> str:
        return self.reason
