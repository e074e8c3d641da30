"""What the stand-ins of the soak write down; times are seconds of the monotonic clock."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass, field


def now_s() -> float:
    return time.monotonic()


class End(enum.Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"  # an answer that began and was cut off, which its client saw
    CLOSED = "closed"  # the connection ended with no byte of an answer
    SILENT = "silent"  # nothing came within its time and half a second more
    UNREACHED = "unreached"  # it was never taken: no connection


@dataclass(slots=True)
class Request:
    """One request of a client, which has been written whole."""

    ident: str
    sidecar: int
    kind: str
    deadline_s: float
    sent_s: float
    new_connection: bool
    end: End | None = None
    ended_s: float = 0.0
    left_s: float = 0.0  # when its client closed before its answer; 0: it stayed
    read_s: float = 0.0


@dataclass(slots=True)
class Attempt:
    """One request as it came to an upstream."""

    ident: str
    sidecar: int
    upstream: int
    first_byte_s: float
    told_s: float  # the time that it was told
    starts: int  # of the upstream: which of its lives
    whole_s: float = 0.0
    turned_away: bool = False
    queued: bool = False  # it was written before it could be read: when, nobody here knows


@dataclass(slots=True)
class Change:
    """What a sidecar's agent was told of an upstream, and by when that counts as told to the sidecar."""

    sidecar: int
    upstream: int
    state: str
    told_s: float


@dataclass(slots=True)
class Step:
    """Something that was done to a sidecar's process, or that it did."""

    sidecar: int
    what: str  # "start", "ready", "term", "kill", "stop", "continue", "reload", "ended"
    at_s: float
    detail: str = ""


@dataclass(slots=True)
class Records:
    """All of a play."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    strangers: list[tuple[int, float, float]] = field(default_factory=list)  # sidecar, came, got an end (0: never)
    lags: list[tuple[float, float]] = field(default_factory=list)  # when the stand-ins were late, and by how much
