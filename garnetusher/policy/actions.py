"""The actions that the policy returns. The sidecar performs them in order.

The final answer to a request is the one response that its client gets, from an endpoint or from the sidecar itself.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Forward:
    """Start an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of these actions.

    Attributes:
        request_id: The id of the request.
        endpoint_id: The id of the endpoint to which the request is sent.
        timeout_us: The timeout, counted from this action or, if the request body is incomplete then, from the
            arrival of its last byte; 0 = until the client stops waiting.
        latest_start_us: The latest time at which the request may be written, in case the connection opens late; 0 = no
            limit.
    """

    request_id: int
    endpoint_id: int
    timeout_us: int = 0
    latest_start_us: int = 0


@dataclass(slots=True)
class Shed:
    """Give the final answer that the request was not served and that a retry by the client is safe.

    Attributes:
        request_id: The id of the request.
        retry_after_us: How long the client should wait before a retry; 0 = send no Retry-After.
    """

    request_id: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Give the final answer that the request failed and may have been executed."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt whose response is not needed."""

    request_id: int
    attempt_index: int


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint. The policy does not return this action."""

    endpoint_id: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` event with the token at the given time."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class WatchEndpoints:
    """Start a watch of the endpoint list that replaces any earlier watch, or stop the watch."""

    active: bool = True


@dataclass(slots=True)
class PollEndpoints:
    """Request the endpoint list once. The policy does not return this action."""


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another sidecar, or to all others if `recipient_id` is None.

    The policy does not return this action.
    """

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
