"""The state of one request in a simulated sidecar and its clients: the call, the attempts and their connections."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ClientCall:
    """One call of a client. A retry by the client is a separate call with the same `request_id`."""

    call_id: str
    request_id: str
    class_index: int
    tenant_index: int
    first_due_us: int
    retry_index: int
    client_timeout_at_us: int = 0
    completed: bool = False  # whether the client has stopped waiting for the response


@dataclass(slots=True)
class Connection:
    """A connection of a sidecar to an upstream."""

    upstream: str
    used: bool = False  # whether the connection has carried a request
    idle_since_us: int = 0
    open: bool = True


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt, from the point of view of its sidecar."""

    attempt_index: int
    endpoint_id: int
    sent_us: int
    connection: Connection | None = None
    written: bool = False
    ended: bool = False
    upstream_attempt_id: int = 0  # the attempt's number at the upstream; 0 until the upstream receives it
    abandoned: bool = False  # whether the sidecar has given up the attempt; a response that arrives later is ignored


@dataclass(slots=True)
class PendingRequest:
    """A request that a sidecar has accepted and still tracks."""

    request_id: int
    call: ClientCall
    deadline_us: int
    attempts: list[AttemptInFlight] = field(default_factory=list)
    completed: bool = False

    @property
    def removable(self) -> bool:
        """Whether the request has its final response and no attempt is in flight."""
        return self.completed and all(attempt.ended for attempt in self.attempts)
