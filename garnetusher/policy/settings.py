"""The operator's settings, as the policy takes them.

Durations and times are whole microseconds (`_us`). Every class checks itself and raises `SettingsError`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from garnetusher.errors import GarnetusherError

EFFECTS = ("idempotent", "deduplicated", "at_most_once")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
NOT_NEGATIVE = (
    "zone",
    "batch_interval_us",
    "max_retry_after_us",
    "connect_timeout_us",
    "poll_interval_us",
    "warm_up_us",
    "overload_window_us",
    "cross_zone_cost",
)


class SettingsError(GarnetusherError, ValueError):
    """A setting is out of its range; the message says what was expected and what was found."""

    def __init__(self, expected: str, got: object) -> None:
        super().__init__(f"expected {expected}, got {got!r}")


def _require(condition: bool, expected: str, got: object) -> None:  # noqa: FBT001 - reads as an assertion
    if not condition:
        raise SettingsError(expected, got)


@dataclass(slots=True)
class RequestClass:
    """One class of requests: its latency objective, its weight and what a repeated attempt may do.

    Attributes:
        name: the first segment of the request's path.
        latency_objective_us: an answer within this earns the full weight.
        deadline_us: the default time, from arrival, in which an answer is due.
        priority_weight: what an answer within the objective is worth beside other classes.
        late_weight: share of the weight left for an answer after the objective.
        latency_objective_stretch: the objective grows by this multiple of the request's own work.
        effect: one of `EFFECTS`.
        deduplication_scope: which endpoints drop each other's repeats; one of `DEDUPLICATION_SCOPES`.
        deduplication_window_us: how long endpoints remember a request.
        streaming: whether answers may be long and come in pieces.
    """

    name: str
    latency_objective_us: int
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0
    latency_objective_stretch: float = 0.0
    effect: str = "idempotent"
    deduplication_scope: str = "all"
    deduplication_window_us: int = 0
    streaming: bool = False

    def __post_init__(self) -> None:
        _require(self.latency_objective_us > 0, "a request class latency objective above 0", self.latency_objective_us)
        _require(self.deadline_us > 0, "a request class deadline above 0", self.deadline_us)
        _require(self.priority_weight >= 0, "a request class weight of 0 or more", self.priority_weight)
        _require(0 <= self.late_weight <= 1, "a late weight from 0 to 1", self.late_weight)
        _require(
            self.latency_objective_stretch >= 0,
            "a latency objective stretch of 0 or more",
            self.latency_objective_stretch,
        )
        _require(self.effect in EFFECTS, f"an effect out of {', '.join(EFFECTS)}", self.effect)
        _require(
            self.deduplication_scope in DEDUPLICATION_SCOPES,
            f"a deduplication scope out of {', '.join(DEDUPLICATION_SCOPES)}",
            self.deduplication_scope,
        )
        _require(self.deduplication_window_us >= 0, "a deduplication window of 0 or more", self.deduplication_window_us)


@dataclass(slots=True)
class Tenant:
    """One tenant and its quota: the request rate, over all sidecars together, that is served at full weight."""

    name: str
    quota_per_s: float
    quota_fraction: float = 0.0

    def __post_init__(self) -> None:
        _require(self.quota_per_s >= 0, "a tenant quota of 0 or more requests a second", self.quota_per_s)
        _require(0 <= self.quota_fraction <= 1, "a tenant quota fraction from 0 to 1", self.quota_fraction)


@dataclass(slots=True)
class Settings:
    """What the operator allows and wants; the same for all sidecars but for `instance_index` and `zone`.

    Attributes:
        classes: the request classes; events name them by their index.
        tenants: the tenants; events name them by their index.
        over_quota_weight: share of the weight left for requests beyond their tenant's quota.
        weight_by_work: whether weights are given per unit of work and not per request.
        fleet_size: how many sidecars share the quotas.
        instance_index: the place of this sidecar among them.
        zone: the zone of this sidecar.
        batch_interval_us: the shortest gap between the simulator's batches.
        max_attempts: attempts that a request may have.
        max_retry_after_us: the longest Retry-After.
        connect_timeout_us: how long a connection may take to come up.
        send_retry_after: whether clients are told a Retry-After.
        cancel_attempts: whether attempts may be cancelled.
        health_checks: whether health checks may be sent.
        hedging: whether two attempts of a request may be out together.
        poll_endpoints: changes of the endpoint list come only after `WatchEndpoints` or `PollEndpoints`.
        poll_interval_us: without a watch, the list must be polled this often.
        warm_up_initial_fraction: the share of its capacity that an endpoint has at least when it starts.
        warm_up_us: how long after its start an endpoint is warmed up.
        overload_factor: a warming endpoint falls over at this multiple of its capacity,
        overload_window_us: sustained for this long.
        cross_zone_cost: what an attempt in another zone costs, as a share of the weight.
        load_report_names: the names of the values in load reports, in their order.
        endpoint_weights: whether the list's weights tell the endpoints' sizes.
        zone_regions: the region of each zone; a zone that is not in it is in region 0.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    fleet_size: int = 1
    instance_index: int = 0
    zone: int = 0
    batch_interval_us: int = 1000
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    send_retry_after: bool = True
    cancel_attempts: bool = False
    health_checks: bool = False
    hedging: bool = False
    poll_endpoints: bool = False
    poll_interval_us: int = 0
    warm_up_initial_fraction: float = 1.0
    warm_up_us: int = 0
    overload_factor: float = 1.0
    overload_window_us: int = 0
    cross_zone_cost: float = 0.0
    load_report_names: list[str] = field(default_factory=list)
    endpoint_weights: bool = False
    zone_regions: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        names = [request_class.name for request_class in self.classes]
        _require(len(set(names)) == len(names), "request classes of different names", names)
        _require(self.fleet_size >= 1, "a fleet size of 1 or more", self.fleet_size)
        _require(self.instance_index >= 0, "an instance index of 0 or more", self.instance_index)
        _require(0 <= self.over_quota_weight <= 1, "an over-quota weight from 0 to 1", self.over_quota_weight)
        _require(self.max_attempts >= 1, "a max_attempts of 1 or more", self.max_attempts)
        _require(
            0 < self.warm_up_initial_fraction <= 1,
            "an initial warm-up fraction above 0, at most 1",
            self.warm_up_initial_fraction,
        )
        _require(self.overload_factor > 0, "an overload_factor above 0", self.overload_factor)
        for name in NOT_NEGATIVE:
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))


def previous_indexes(
    current: Sequence[RequestClass | Tenant], previous: Sequence[RequestClass | Tenant]
) -> list[int | None]:
    """Return the index that each class or tenant had before, matched by name; None for a new one."""
    indexes = {entry.name: index for index, entry in enumerate(previous)}
    return [indexes.get(entry.name) for entry in current]
