"""What the simulated clients, upstreams and discovery agents of the soak record; times are monotonic seconds."""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass, field


def now_s() -> float:
    """Return the time of the monotonic clock, which all records use."""
    return time.monotonic()


class End(enum.Enum):
    """How a request ended for its client; the values are keys of summary.json."""

    SERVED = "served"
    REFUSED = "refused"  # shed: 503 or 429
    FAILED = "failed"
    BROKEN = "broken"  # the response began and was cut off, which its client saw
    CLOSED = "closed"  # the connection ended with no byte of a response
    SILENT = "silent"  # no response came before the client's timeout
    UNREACHED = "unreached"  # no connection was made


class ProcessEventKind(enum.StrEnum):
    """What was done to a sidecar's process, or what it did; the values are words of steps.txt."""

    START = "start"
    READY = "ready"
    NOT_READY = "not ready"
    TERMINATE = "term"
    KILL = "kill"
    PAUSE = "stop"
    RESUME = "continue"
    RELOAD = "reload"
    ENDED = "ended"  # an end that the soak caused
    DIED = "died"  # an end that the soak did not cause


class EndpointStatus(enum.StrEnum):
    """The states of an endpoint; the values are those of discovery's list."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True)
class Request:
    """One request that a client has written completely."""

    request_id: str
    sidecar: int
    class_name: str
    deadline_s: float
    sent_s: float
    new_connection: bool
    end: End | None = None
    ended_s: float = 0.0
    disconnected_s: float = 0.0  # when the client closed before its response; 0: it did not


@dataclass(slots=True)
class Attempt:
    """One request as an upstream received it."""

    request_id: str
    sidecar: int
    upstream: int
    first_byte_s: float
    announced_remaining_s: float  # the time until the deadline, as the sidecar told it to the upstream
    incarnation: int  # how often the upstream had been restarted
    body_complete_s: float = 0.0  # 0: the body never arrived completely
    rejected: bool = False  # the upstream answered that it did not run the request
    queued: bool = False  # it waited in the listener's backlog, so the time of its first byte is not known


@dataclass(slots=True)
class EndpointChange:
    """A change of an endpoint's status, and when its sidecar has to know of it at the latest."""

    sidecar: int
    upstream: int
    status: EndpointStatus
    known_by_s: float


@dataclass(slots=True)
class ProcessEvent:
    """One event of a sidecar's process."""

    sidecar: int
    kind: ProcessEventKind
    at_s: float
    detail: str = ""


@dataclass(slots=True)
class MalformedConnection:
    """A connection whose client sent no proper request."""

    sidecar: int
    connected_s: float
    closed_s: float  # when the sidecar answered or closed it; 0: never


@dataclass(slots=True)
class Lag:
    """A time in which the recording process itself did not run."""

    ended_s: float
    duration_s: float


@dataclass(slots=True)
class Records:
    """All records of a run."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    endpoint_changes: list[EndpointChange] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    malformed_connections: list[MalformedConnection] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
