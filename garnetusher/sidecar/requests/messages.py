"""A client's request and its attempts, as the client's side, the host and the upstreams' side hand them on."""

from __future__ import annotations

import asyncio
import enum
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from garnetusher.policy.events import Endpoint, Outcome
from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.streaming import Head, Sink, Source, Upload


def monotonic_us() -> int:
    """The module's clock."""
    return time.monotonic_ns() // 1000


RESPONSE_MARGIN_US = 10_000  # an answer sets out so long before the client's time is out, to be there in time

# outcomes that prove that an attempt was never begun with
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


@dataclass(slots=True)
class HttpRequest:
    """A request of the application, as it was read."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that go on to the upstream
    body: bytes
    arrived_us: int
    client_timeout_us: int  # counted from its arrival
    class_index: int
    tenant_index: int = 0
    affinity_key: int = 0
    expected_work_us: int = 0
    client_retry: bool = False
    client_request_id: str = ""  # its client's: X-Request-Id
    upload: Upload | None = None  # the body, where it is too long to be held


class Disposition(enum.Enum):
    """What the application is told."""

    SERVED = "served"
    SHED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """The one final answer to a request."""

    disposition: Disposition
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as the upstream's side saw it."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""


class ResponseSink(Sink, Protocol):
    """The client's side of a request."""

    def send_response(self, answer: FinalResponse) -> None:
        """The one final answer, unless one has begun."""

    def begin_response(self, head: Head, source: Source) -> None:
        """The final answer, which is long and comes in pieces."""

    def finish_response(self, whole: bool) -> None:
        """Its end, or its break, which the client has to see."""

    def client_has_closed(self) -> bool:
        """Whether the client has closed, or ended its sending side, as far as the kernel knows by now."""

    def body_complete_since_us(self) -> int:
        """Since when a body that has not been read whole may have been written whole, at the soonest."""


class Denial(enum.Enum):
    """Why an attempt may not be written now."""

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
    """An attempt may be written now."""

    remaining_us: int  # what its upstream is told that it has


WritePermission = Callable[[], WritePermit | Denial]


class AttemptHandle(Protocol):
    """An attempt that is out."""

    @property
    def written(self) -> bool:
        """Whether any of it has been written."""

    def abandon(self) -> None:
        """Stop waiting: nothing more is written, and a connection that has carried it is closed."""


class UpstreamTransport(Protocol):
    """The side of the upstreams."""

    def start_attempt(
        self,
        address: tuple[str, int],
        call: HttpRequest,
        permission: WritePermission,
        ended: Callable[[AttemptResult], None],
        began: Callable[[Head, Source], Sink | None],
    ) -> AttemptHandle:
        """Begin an attempt. `permission` is asked when its first byte is to be written. `ended` is called once,
        later, unless the attempt is given up first; before it `began`, where the answer is a long one, which tells
        where it goes if anybody still wants it."""

    def close_idle_connections(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an upstream."""


@dataclass(slots=True)
class Attempt:
    endpoint_id: int
    started_us: int
    address: tuple[str, int] | None  # where it was then; None: it was gone
    handle: AttemptHandle | None = None
    timer: asyncio.TimerHandle | None = None
    timeout_us: int = 0  # as the module said
    latest_start_us: int = 0  # it is not written later than this; 0: whenever
    endpoint: Endpoint | None = None  # its upstream, as listed then
    outcome: Outcome | None = None  # None while it is out
    written_us: int = 0  # when its first byte was; 0: not yet

    @property
    def ended(self) -> bool:
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """Whether its upstream may have begun with it, or may yet."""
        return self.written_us > 0 and self.outcome not in NEVER_RAN


@dataclass(slots=True)
class PendingRequest:
    request_id: int
    http_request: HttpRequest
    deadline_us: int
    response_sink: ResponseSink
    body_complete: bool  # else its body is still coming, and its time has not begun
    request_class: RequestClass  # as it was when it came
    max_attempts: int  # likewise
    streaming_attempt_index: int = -1  # the attempt whose answer has begun to go to the client
    attempts: list[Attempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    completed: bool = False  # it has had its final answer, or the client has gone
