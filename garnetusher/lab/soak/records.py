"""The records that the simulated clients, upstreams and discovery agents of the soak make.

Points in time are seconds of the monotonic clock; `deadline_s` is relative to the time of sending.
"""

from __future__ import annotations

import enum
import time
from dataclasses import dataclass, field

TAKEOVER_DETAIL = "takeover"  # the detail of a SIGTERM after which another process accepts the connections


def now_s() -> float:
    """Return the time of the monotonic clock in seconds."""
    return time.monotonic()


class End(enum.Enum):
    """The result of a request for its client; the values are keys in summary.json."""

    SERVED = "served"
    REFUSED = "refused"  # the sidecar shed the request with status 503 or 429
    FAILED = "failed"  # the status of the response is none of 200, 503 and 429
    BROKEN = "broken"  # the response began and was cut off, which the client detects
    CLOSED = "closed"  # the connection ended before the first byte of a response
    SILENT = "silent"  # no complete response arrived before the client's timeout
    UNREACHED = "unreached"  # not set at present: a request whose client cannot connect has no record


class ProcessEventKind(enum.StrEnum):
    """The kinds of events of a sidecar's process; the values are written to steps.txt."""

    START = "start"
    READY = "ready"
    NOT_READY = "not ready"
    TERMINATE = "term"
    KILL = "kill"
    PAUSE = "stop"
    RESUME = "continue"
    RELOAD = "reload"
    ENDED = "ended"  # the process ended because the soak terminated or killed it
    DIED = "died"  # the process ended by itself


class EndpointStatus(enum.StrEnum):
    """The states of an endpoint; the values are the states in the endpoint list of discovery."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True)
class Request:
    """One request that a client wrote completely."""

    request_id: str
    sidecar: int
    class_name: str
    deadline_s: float  # the time from sending the request to its deadline
    sent_s: float
    new_connection: bool
    end: End | None = None
    ended_s: float = 0.0
    disconnected_s: float = 0.0  # the time at which the client disconnected before the response; 0 if it did not
    repeated_s: float = 0.0  # the time at which the client sent the request again under its id; 0 if it did not
    began_s: float = 0.0  # the time of the first byte, if the client paused within the request; 0 if it did not
    foreign_body: bytes = b""  # the body of a response with status 200, if it is not the one made for this request


@dataclass(slots=True)
class Attempt:
    """One attempt for a request, as an upstream received it."""

    request_id: str
    sidecar: int
    upstream: int
    first_byte_s: float
    announced_remaining_s: float  # the time until the deadline, as the sidecar announced it in the request
    incarnation: int  # the number of restarts of the upstream before the attempt
    body_complete_s: float = 0.0  # 0 if the body never arrived completely
    rejected: bool = False  # the upstream responded that it did not run the request
    queued: bool = False  # the connection waited in the backlog, so the first byte has no known time
    thawed_s: float = 0.0  # the time at which the latest freeze of the upstream had ended; 0 if there was none
    late_head_s: float = 0.0  # the time at which the head of a response was written whose long body comes late
    cut_s: float = 0.0  # the time at which the sidecar closed the connection before the late body was written
    silenced_s: float = 0.0  # the time at which the upstream fell silent before the late body was written
    reset_s: float = 0.0  # the time at which the upstream itself reset the connection before the late body was written


@dataclass(slots=True)
class EndpointChange:
    """A change of an endpoint's status, and the latest time at which the sidecar has to know of it.

    Attributes:
        sidecar: The number of the sidecar.
        upstream: The number of the upstream.
        status: The new status.
        known_by_s: The time from which the status applies to attempts. An active endpoint may be used at once.
        notified_by_s: The time by which the sidecar has received the change, also that of an active endpoint.
    """

    sidecar: int
    upstream: int
    status: EndpointStatus
    known_by_s: float
    notified_by_s: float = 0.0


@dataclass(slots=True)
class UpstreamRestart:
    """A start of an upstream after its first one."""

    upstream: int
    incarnation: int
    at_s: float


@dataclass(slots=True)
class ProcessEvent:
    """One event of a sidecar's process."""

    sidecar: int
    kind: ProcessEventKind
    at_s: float
    detail: str = ""


@dataclass(slots=True)
class MalformedConnection:
    """A connection whose client sent no valid request."""

    sidecar: int
    connected_s: float
    closed_s: float  # the time at which the sidecar responded or closed the connection; 0 if it did neither


@dataclass(slots=True)
class MemorySample:
    """The anonymous memory of a sidecar's process, which belongs to this process alone."""

    sidecar: int
    at_s: float
    size_mb: float


@dataclass(slots=True)
class Lag:
    """An interval in which the recording process itself did not run."""

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
    upstream_restarts: list[UpstreamRestart] = field(default_factory=list)
    memory_peaks: dict[int, MemorySample] = field(default_factory=dict)  # the largest sample of each sidecar
