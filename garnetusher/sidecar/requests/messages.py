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


def clock_us() -> int:
    """The module's clock."""
    return time.monotonic_ns() // 1000


ANSWER_MARGIN_US = 10_000  # an answer sets out so long before the client's time is out, to be there in time

# outcomes that prove that an attempt was never begun with
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


@dataclass(slots=True)
class Call:
    """A request of the application, as it was read."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that go on to the upstream
    body: bytes
    arrived_us: int
    deadline_us: int  # counted from its arrival
    class_index: int
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    retried: bool = False
    name: str = ""  # its client's: X-Request-Id
    upload: Upload | None = None  # the body, where it is too long to be held


class Verdict(enum.Enum):
    """What the application is told."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The one final answer to a request."""

    verdict: Verdict
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0


@dataclass(slots=True)
class Result:
    """How an attempt ended, as the upstream's side saw it."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""


class Asker(Sink, Protocol):
    """The client's side of a request."""

    def answer(self, answer: Answer) -> None:
        """The one final answer, unless one has begun."""

    def begin(self, head: Head, source: Source) -> None:
        """The final answer, which is long and comes in pieces."""

    def finish(self, whole: bool) -> None:
        """Its end, or its break, which the client has to see."""

    def has_left(self) -> bool:
        """Whether the client has closed, or ended its sending side, as far as the kernel knows by now."""

    def whole_since_us(self) -> int:
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
class Permit:
    """An attempt may be written now."""

    left_us: int  # what its upstream is told that it has


Permission = Callable[[], Permit | Denial]


class Flight(Protocol):
    """An attempt that is out."""

    @property
    def written(self) -> bool:
        """Whether any of it has been written."""

    def give_up(self) -> None:
        """Stop waiting: nothing more is written, and a connection that has carried it is closed."""


class Upstreams(Protocol):
    """The side of the upstreams."""

    def start(
        self,
        address: tuple[str, int],
        call: Call,
        permission: Permission,
        ended: Callable[[Result], None],
        began: Callable[[Head, Source], Sink | None],
    ) -> Flight:
        """Begin an attempt. `permission` is asked when its first byte is to be written. `ended` is called once,
        later, unless the attempt is given up first; before it `began`, where the answer is a long one, which tells
        where it goes if anybody still wants it."""

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an upstream."""


@dataclass(slots=True)
class Attempt:
    upstream: int
    sent_us: int
    address: tuple[str, int] | None  # where it was then; None: it was gone
    flight: Flight | None = None
    timer: asyncio.TimerHandle | None = None
    timeout_us: int = 0  # as the module said
    start_by_us: int = 0  # it is not written later than this; 0: whenever
    entry: Endpoint | None = None  # its upstream, as listed then
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
class Request:
    ident: int
    call: Call
    due_us: int
    asker: Asker
    whole: bool  # else its body is still coming, and its time has not begun
    kind: RequestClass  # as it was when it came
    most_attempts: int  # likewise
    bound: int = -1  # the attempt whose answer has begun to go to the client
    attempts: list[Attempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    over: bool = False  # it has had its final answer, or the client has gone
