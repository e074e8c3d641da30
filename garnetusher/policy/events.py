"""Events that the policy is told: requests, ends of attempts, the endpoint list, settings and timers.

Times are whole microseconds (`_us`) on the sidecar's monotonic clock. Hand events to `Balancer.handle` in their order
of arrival.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from garnetusher.policy.settings import Settings


class Outcome(enum.Enum):
    """How one attempt or health check ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # the endpoint found fault with the request itself; may have run
    OVERLOADED = "full"  # rejected unseen; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run or be running
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # cancelled by us; may have run
    NOT_WRITTEN = "not_sent"  # the sidecar could not write it; never ran


# outcomes that prove that an attempt was never begun with
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


class EndpointStatus(enum.Enum):
    """What the endpoint list says of one endpoint."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class UpdateKind(enum.Enum):
    """What an `EndpointsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    SNAPSHOT = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known, possibly outdated
    FAILED = "failed"  # a poll failed or the watch broke; the list stays as it was


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list: an upstream process.

    Attributes:
        id: the sidecar's number for it.
        status: whether it may be sent to.
        zone: the index of its zone.
        machine_type: the index of its type.
        cell: its group of replicas.
        weight: its relative size.
        started_us: its most recent start; 0 = long ago.
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
    """The endpoint list, a change of it, or the failure to get it."""

    update_kind: UpdateKind
    endpoints: list[Endpoint] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request has been read.

    Attributes:
        request_id: the sidecar's number for it.
        deadline_us: when the client stops waiting.
        class_index: its class in the settings.
        tenant_index: its tenant in the settings; beyond their tenants it is none of them.
        affinity_key: 0 = none.
        expected_work_us: on a standard core; 0 = not known.
        client_retry: the client sends it again.
        writes: it changes something.
        body_complete: else its body is still coming, and its time begins with `RequestBodyComplete`.
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
    """The last byte of a long body has come; timeouts of its outstanding attempts count from here."""

    request_id: int
    deadline_us: int


@dataclass(slots=True)
class DeadlineChanged:
    """A request whose body is complete has to be answered by another time; its attempts' timeouts follow."""

    request_id: int
    deadline_us: int


@dataclass(slots=True)
class RequestNotReplayable:
    """More of a long body has gone to an endpoint than is buffered: the request can't be retried."""

    request_id: int


@dataclass(slots=True)
class ClientDisconnected:
    """The client has gone; no answer is owed any more."""

    request_id: int


@dataclass(slots=True)
class ClientHalfClosed:
    """The client sends nothing more and may have gone: nothing is forwarded for it now, but an answer is still owed."""

    request_id: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has its outcome.

    Attributes:
        request_id: the request.
        attempt_index: which of its attempts.
        endpoint_id: where it went.
        outcome: how it ended.
        elapsed_us: since it was chosen, or since the body was complete.
        request_completed: the request has had its answer; otherwise one is still owed.
        load_report: values in the order of `Settings.load_report_names`.
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
    """The first bytes of a long response have gone to the client, which is bound to this attempt."""

    request_id: int
    attempt_index: int
    endpoint_id: int
    elapsed_us: int = 0


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has its outcome."""

    endpoint_id: int
    outcome: Outcome
    elapsed_us: int = 0
    load_report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class SettingsChanged:
    """The operator has replaced the settings.

    New requests name classes and tenants by their new indexes; those in flight keep the class that they came with.

    Attributes:
        settings: the new settings.
        previous_class_indexes: the index that each class had till now; None for a new one.
        previous_tenant_indexes: likewise of each tenant.
    """

    settings: Settings
    previous_class_indexes: list[int | None]
    previous_tenant_indexes: list[int | None]


@dataclass(slots=True)
class ZoneOverridden:
    """An operator evacuates a zone or restores it; no evidence changes an evacuation by an operator."""

    zone: int
    evacuate: bool


@dataclass(slots=True)
class FleetSizeChanged:
    """How many sidecars there are by membership, which overrides the settings' number; 0: as the settings say."""

    fleet_size: int


@dataclass(slots=True)
class TimerFired:
    """The time of a `SetTimer` has come."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """Another sidecar has sent something."""

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
