"""The types that downstream, the dispatcher and upstream exchange: requests, their attempts and their responses."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from garnetusher.policy.events import Outcome
from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.closing_schedule import Admission
from garnetusher.sidecar.requests.endpoints import Address, ReadyEndpoint
from garnetusher.sidecar.streaming import Head, Sink, Source, Upload
from garnetusher.sidecar.transitions import UpstreamCloseReason

RESPONSE_MARGIN_US = 10_000  # a response is sent this long before the client times out, so that it arrives in time

# These outcomes prove that the upstream never started to execute the attempt.
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


@dataclass(slots=True)
class HttpRequest:
    """A request of the application, as the sidecar has read it.

    Attributes:
        method: the HTTP method.
        target: the HTTP request target.
        headers: the header lines that are forwarded to the upstream, each with its line end.
        body: the body; if `upload` is set, the part of the body that has been read.
        arrived_us: the earliest time at which the request may have arrived; the client timeout counts from this time.
        client_timeout_us: how long the client waits for a response, counted from `arrived_us`.
        class_index: the request class, as an index into the classes of the settings.
        tenant_index: the tenant, as an index into the tenants of the settings.
        affinity_key: the affinity key of the request; 0 = none. The policy does not use it.
        expected_work_us: the work of the request that the client expects, in microseconds; 0 = unknown.
        client_retry: whether the client marked the request as a retry.
        client_request_id: the client's `X-Request-Id`.
        upload: the streamed body, if it is too long for the buffer; else None.
        admission: what the request may receive, which a shutdown limits.
    """

    method: bytes
    target: bytes
    headers: bytes
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
    admission: Admission = Admission.ANY_RESPONSE

    @property
    def held_size(self) -> int:
        """The number of bytes that the request holds, without those of a streamed body."""
        return len(self.target) + len(self.headers) + len(self.body) + len(self.client_request_id)


class Disposition(enum.Enum):
    """The kinds of final responses; their values are counter names and trace reasons."""

    SERVED = "served"
    SHED = "refused"
    FAILED = "failed"
    REPEATED = "repeated"  # the id came before, and its request may not run twice


@dataclass(slots=True)
class FinalResponse:
    """The single final response to a request.

    Attributes:
        disposition: the kind of the response.
        body: the body from the upstream, if the request was served.
        content_type: the `Content-Type` from the upstream, if the request was served.
        retry_after_us: the delay after which the client of a shed request may retry; 0 = no Retry-After is sent.
    """

    disposition: Disposition
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt, with the response of the upstream if there is one."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""


class ResponseSink(Sink, Protocol):
    """The downstream connection on which a request arrived."""

    def send_response(self, response: FinalResponse) -> None:
        """Send the final response, unless a streamed response has started."""

    def begin_response(self, head: Head, source: Source) -> None:
        """Start a final response that is streamed because it is long."""

    def finish_response(self, *, complete: bool) -> None:
        """End a streamed response; if it is incomplete, abort it so that the client detects this."""

    def client_may_have_closed(self) -> bool:
        """Return whether the client has closed its connection, or may have done so behind bytes that are not read."""

    def earliest_body_end_us(self) -> int:
        """Return the earliest time at which the client may have sent the last byte of a body that is being read."""


class Denial(enum.Enum):
    """Why an attempt may not be written now.

    The member names are trace reasons and parts of counter names; the values are the texts of violations.

    Attributes:
        REQUEST_OVER: the final response has been sent, or the client has disconnected.
        ANSWER_BEGUN: the response of another attempt is being streamed to the client.
        CLIENT_LEFT: the client has closed its connection or its sending side, or may have done so unseen.
        TIME_OVER: the client timeout or the timeout of the attempt has expired.
        WINDOW_OVER: the deduplication window of an earlier attempt or the latest start of this attempt has passed.
        ENDPOINT_CHANGED: the endpoint is draining, was removed, has a new address or has restarted.
        MAY_HAVE_RUN: an earlier attempt may have run, and the request class does not permit this one to run as well.
        STILL_OUT: another attempt is in flight, and hedging is disabled.
        TOO_MANY: the request has reached its maximum number of attempts.
    """

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
    """Permission to write an attempt now.

    Attributes:
        remaining_us: the time left for the response, which the sidecar sends to the upstream.
    """

    remaining_us: int


WriteAuthorizer = Callable[[], WritePermit | Denial]


class AttemptHandle(Protocol):
    """The interface through which the dispatcher controls an attempt in flight on the upstream side."""

    @property
    def written(self) -> bool:
        """Whether any byte of the attempt has been written."""

    @property
    def short_of_local_resources(self) -> bool:
        """Whether the attempt has no connection because this machine lacked the resources for it."""

    def begin_response(self) -> bool:
        """Stream a response whose head has arrived but whose length is unknown; return whether it is streamed now."""

    def abandon(self) -> None:
        """Stop waiting for the response: write nothing more, and close the connection if the attempt has used it."""


class UpstreamTransport(Protocol):
    """The upstream side of the sidecar, which sends attempts to endpoints."""

    def start_attempt(
        self,
        address: Address,
        http_request: HttpRequest,
        authorize_write: WriteAuthorizer,
        on_ended: Callable[[AttemptResult], None],
        on_response_started: Callable[[Head, Source], Sink | None],
    ) -> AttemptHandle:
        """Start an attempt.

        Args:
            address: the address of the endpoint.
            http_request: the request to send.
            authorize_write: called immediately before the first byte is written; returns a permit or a denial.
            on_ended: called once after this method has returned, unless the attempt is abandoned first.
            on_response_started: called before `on_ended` if the response is streamed; returns the sink for the
                response, or None if nobody needs the response any more.

        Returns:
            The handle with which the caller can abandon the attempt.
        """

    def close_idle_connections(self, address: Address, reason: UpstreamCloseReason) -> None:
        """Close the idle connections to an endpoint."""


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to an endpoint.

    Attributes:
        endpoint_id: the endpoint that the policy chose.
        started_us: the start time of the attempt; if the request body arrives later, the time at which it is complete.
        chosen_endpoint: the endpoint as it was listed at the start of the attempt; None = it was no longer ready.
        handle: the handle from the upstream side while the attempt is in flight; else None.
        timeout_timer: the timer that ends the attempt at its timeout.
        latest_start_timer: the timer that withdraws an unwritten attempt at `latest_start_us`.
        timeout_us: the timeout that the policy set; 0 = the deadline of the request applies.
        latest_start_us: the time from which the attempt may no longer be written; 0 = no such limit.
        outcome: the outcome of the attempt; None = the attempt is in flight.
        written_us: the time at which the first byte was written; 0 = nothing has been written.
    """

    endpoint_id: int
    started_us: int
    chosen_endpoint: ReadyEndpoint | None
    handle: AttemptHandle | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    latest_start_timer: asyncio.TimerHandle | None = None
    timeout_us: int = 0
    latest_start_us: int = 0
    outcome: Outcome | None = None
    written_us: int = 0

    @property
    def ended(self) -> bool:
        """Whether the attempt has an outcome."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have executed the attempt, or may still execute it."""
        return self.written_us > 0 and self.outcome not in NEVER_RAN


class ResponseState(enum.Enum):
    """The progress of the response to a request."""

    AWAITED = enum.auto()  # nothing has been sent to the client
    STREAMING = enum.auto()  # the response of one attempt is being sent, and no other response can be sent
    COMPLETED = enum.auto()  # the final response has been sent, or the client has disconnected


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final response yet, or that has an attempt in flight.

    Attributes:
        request_id: the dispatcher's number for the request.
        http_request: the request as the client sent it.
        deadline_us: the time by which the response must be sent.
        response_sink: receives the response.
        body_complete: whether the body has been read to the end; until then the client timeout has not started.
        request_class: the class with the settings at the arrival of the request; later settings do not change it.
        max_attempts: the maximum number of attempts in the settings at the arrival of the request.
        response_state: the progress of the response.
        streaming_attempt_index: the index of the attempt whose response is streamed to the client; None = no attempt.
        attempts: the attempts in the order in which the policy requested them.
        deadline_timer: the timer that fails the request soon after its deadline if the policy has not responded.
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
        """Whether the final response has been sent, or the client has disconnected."""
        return self.response_state is ResponseState.COMPLETED

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may still run it.

        An upstream runs a request once it has all of it. A streamed response shows that it did not wait for that.
        """
        if not self.body_complete and self.streaming_attempt_index is None:
            return False
        return any(attempt.may_have_run for attempt in self.attempts)


@dataclass(frozen=True, slots=True)
class OverrideRejection:
    """The rejection of an operator's request to evacuate a zone, with the reason."""

    reason: str

    def __str__(self) -> str:
        return self.reason
