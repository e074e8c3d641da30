"""Actions that the policy asks for. The sidecar carries them out in the order given."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Forward:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of these actions.

    Attributes:
        request_id: the request.
        endpoint_id: where it goes.
        timeout_us: counted from now, or from the last byte of a body that is still coming; 0 = until the client quits.
        latest_start_us: on a connection that comes up later it is not written any more; 0 = on any.
    """

    request_id: int
    endpoint_id: int
    timeout_us: int = 0
    latest_start_us: int = 0


@dataclass(slots=True)
class Shed:
    """Final answer: not done, and a retry is harmless.

    Attributes:
        request_id: the request.
        retry_after_us: how long the client is to wait before it retries; 0 = it is told nothing.
    """

    request_id: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Abandon an attempt whose answer nobody needs."""

    request_id: int
    attempt_index: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check."""

    endpoint_id: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` at that time."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list from now on, in place of an earlier watch; or stop."""

    active: bool = True


@dataclass(slots=True)
class PollEndpoints:
    """Ask for the endpoint list once."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True)
class SendToPeer:
    """Send something to another sidecar; `recipient_id` None = to every one."""

    payload: bytes
    recipient_id: int | None = None


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    Forward
    | Shed
    | Fail
    | CancelAttempt
    | CheckHealth
    | SetTimer
    | WatchEndpoints
    | PollEndpoints
    | CloseIdleConnections
    | SendToPeer
    | LogMessage
)
