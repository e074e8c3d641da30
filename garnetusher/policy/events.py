"""The events that the sidecar or the simulator sends to the policy.

They report requests, attempt outcomes, endpoint list updates, new settings and timers.

Times are whole microseconds (`_us`) on the monotonic clock of the sidecar. The sidecar passes events to
`Balancer.handle` in the order in which they occur.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from garnetusher.policy.settings import Settings


class Outcome(enum.Enum):
    """How one attempt or health check ended."""

    OK = "ok"
    ERROR = "error"  # the endpoint answered with an error; it may have executed the request
    REJECTED = "rejected"  # the endpoint found the request itself invalid; it may have executed it
    OVERLOADED = "full"  # the endpoint rejected the request without reading it; it was not executed
    TIMEOUT = "timeout"  # no response arrived in time; the request may have been executed or may still be running
    CONNECT_FAILED = "connect_failed"  # no connection was established; the request was not executed
    RESET = "reset"  # the connection broke; the request may have been executed
    CANCELLED = "cancelled"  # the sidecar cancelled the attempt; the request may have been executed
    NOT_WRITTEN = "not_sent"  # the sidecar could not write the request; it was not executed


# Outcomes that prove that no endpoint started to execute the request
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


class EndpointStatus(enum.Enum):
    """The status of an endpoint in the endpoint list."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class UpdateKind(enum.Enum):
    """The kind of data in an `EndpointsUpdated` event."""

    DELTA = "delta"  # only the changed entries
    SNAPSHOT = "full"  # the complete list
    CACHED = "cached"  # the complete list from the cache, possibly outdated
    FAILED = "failed"  # a poll failed or the watch broke; the list does not change


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list: an upstream process.

    Attributes:
        id: The number that the sidecar assigned to the endpoint.
        status: Whether requests may be sent to it.
        zone: The index of its zone.
        machine_type: The number of its machine type. The policy does not use it.
        cell: The number of the replica group that it belongs to.
        weight: The capacity of the endpoint relative to other endpoints.
        started_us: The time of its most recent start; 0 = so long ago that the endpoint has warmed up.
    """

    id: int
    status: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    machine_type: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True)
class EndpointsUpdated:
    """The endpoint list or a change to the list has arrived, or the sidecar has failed to get it.

    Attributes:
        update_kind: The kind of data.
        endpoints: The entries of the list or of the change.
        version: The version of the endpoint list. The policy does not use it.
    """

    update_kind: UpdateKind
    endpoints: list[Endpoint] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """The sidecar has read a request of a client.

    Attributes:
        request_id: The number that the sidecar assigned to the request.
        deadline_us: The time when the client stops waiting.
        class_index: The index of its class in the settings.
        tenant_index: The index of its tenant in the settings; an index past the last tenant means no tenant.
        affinity_key: The affinity key of the request; 0 = none. The policy does not use it.
        expected_work_us: The work of the request that the client expects, in microseconds; 0 = unknown.
        client_retry: Whether the request is a retry by the client.
        writes: Whether the request changes data. The policy does not use it; `RequestClass.effect` limits retries.
        body_complete: Whether the whole body has arrived. If not, the deadline is set by `RequestBodyComplete`.
    """

    request_id: int
    deadline_us: int
    class_index: int = 0
    tenant_index: int = 0
    affinity_key: int = 0
    expected_work_us: int = 0
    client_retry: bool = False
    writes: bool = False
    body_complete: bool = True


@dataclass(slots=True)
class RequestBodyComplete:
    """The last byte of a long request body has arrived; timeouts of outstanding attempts count from this event."""

    request_id: int
    deadline_us: int


@dataclass(slots=True)
class DeadlineChanged:
    """The deadline of a request with a complete body has changed; the timeouts of its attempts change with it."""

    request_id: int
    deadline_us: int


@dataclass(slots=True)
class RequestNotReplayable:
    """More of a long request body has been sent to an endpoint than is buffered, so the request cannot be retried."""

    request_id: int


@dataclass(slots=True)
class ClientDisconnected:
    """The request needs no final answer from the policy: its client has disconnected, or the sidecar has failed it."""

    request_id: int


@dataclass(slots=True)
class ClientHalfClosed:
    """The client sends nothing more and may have disconnected.

    The request is not forwarded any more, but it still needs a final answer.
    """

    request_id: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        request_id: The id of the request.
        attempt_index: The index of the attempt among those of the request.
        endpoint_id: The id of the endpoint that the attempt was sent to.
        outcome: How the attempt ended.
        elapsed_us: The time since the endpoint was chosen or, if that was later, since the body was complete.
        request_completed: Whether the request has its final answer; otherwise it still needs one.
        load_report: The values that the endpoint reported, in the order of `Settings.load_report_names`.
    """

    request_id: int
    attempt_index: int
    endpoint_id: int
    outcome: Outcome
    elapsed_us: int = 0
    request_completed: bool = False
    load_report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of a long response have been sent to the client; no other attempt can answer the request now."""

    request_id: int
    attempt_index: int
    endpoint_id: int
    elapsed_us: int = 0


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check requested by `CheckHealth` has ended. The policy ignores this event."""

    endpoint_id: int
    outcome: Outcome
    elapsed_us: int = 0
    load_report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class SettingsChanged:
    """The operator has replaced the settings.

    New requests refer to classes and tenants by their new indexes; requests in flight keep their class and tenant.

    Attributes:
        settings: The new settings.
        previous_class_indexes: For each class, its index in the previous settings; None for a new class.
        previous_tenant_indexes: For each tenant, its index in the previous settings; None for a new tenant.
    """

    settings: Settings
    previous_class_indexes: list[int | None]
    previous_tenant_indexes: list[int | None]


@dataclass(slots=True)
class ZoneOverridden:
    """An operator has evacuated or restored a zone; outcomes of attempts do not undo an evacuation by an operator."""

    zone: int
    evacuate: bool


@dataclass(slots=True)
class FleetSizeChanged:
    """The number of sidecars according to membership has changed.

    It overrides `Settings.fleet_size`; 0 = use the number in the settings.
    """

    fleet_size: int


@dataclass(slots=True)
class TimerFired:
    """A timer requested by `SetTimer` has expired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Another sidecar has sent a message. The policy ignores this event."""

    sender_id: int
    payload: bytes


Event = (
    EndpointsUpdated
    | RequestArrived
    | RequestBodyComplete
    | DeadlineChanged
    | RequestNotReplayable
    | ClientDisconnected
    | ClientHalfClosed
    | AttemptEnded
    | ResponseStarted
    | HealthCheckEnded
    | SettingsChanged
    | ZoneOverridden
    | FleetSizeChanged
    | TimerFired
    | PeerMessage
)
