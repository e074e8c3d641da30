"""The settings of the policy, which the operator chooses.

Durations and times are whole microseconds (`_us`). Each class validates its values and raises `SettingsError`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from garnetusher.errors import GarnetusherError

EFFECTS = ("idempotent", "deduplicated", "at_most_once")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
NON_NEGATIVE_SETTINGS = (
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
    """A setting is out of range; the message gives the expected range and the value found."""

    def __init__(self, expected: str, got: object) -> None:
        super().__init__(f"expected {expected}, got {got!r}")


def _require(condition: bool, expected: str, got: object) -> None:  # noqa: FBT001 - reads as an assertion
    if not condition:
        raise SettingsError(expected, got)


@dataclass(slots=True)
class RequestClass:
    """A request class: its latency objective, its weight and the effect of a repeated attempt.

    Attributes:
        name: The first segment of the request path.
        latency_objective_us: The response time up to which a response counts with the full weight.
        deadline_us: The time from arrival to deadline for requests that state no deadline.
        priority_weight: The weight of a response within the objective, relative to other classes.
        late_weight: The share of the weight with which a response after the objective still counts.
        latency_objective_stretch: How much the latency objective grows per unit of work of the request. The policy
            does not use it.
        effect: What a repeated attempt may do: "idempotent" = it has no additional effect; "deduplicated" = endpoints
            drop it; "at_most_once" = it must not run.
        deduplication_scope: Which endpoints drop repeats of each other's requests; one of `DEDUPLICATION_SCOPES`.
        deduplication_window_us: How long endpoints remember a request.
        streaming: Whether responses may be long and arrive in pieces.
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
        _require(self.effect in EFFECTS, f"an effect that is one of {', '.join(EFFECTS)}", self.effect)
        _require(
            self.deduplication_scope in DEDUPLICATION_SCOPES,
            f"a deduplication scope that is one of {', '.join(DEDUPLICATION_SCOPES)}",
            self.deduplication_scope,
        )
        _require(self.deduplication_window_us >= 0, "a deduplication window of 0 or more", self.deduplication_window_us)

    @property
    def is_repeatable_anywhere(self) -> bool:
        """Whether a further attempt at any endpoint has no additional effect."""
        if self.effect == "deduplicated":
            return self.deduplication_scope == "all"
        return self.effect == "idempotent"


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota: the request rate, summed over all sidecars, that is served at full weight.

    `quota_fraction` is the share of the total load that the quota stands for. The policy does not use it.
    """

    name: str
    quota_per_s: float
    quota_fraction: float = 0.0

    def __post_init__(self) -> None:
        _require(self.quota_per_s >= 0, "a tenant quota of 0 or more requests a second", self.quota_per_s)
        _require(0 <= self.quota_fraction <= 1, "a tenant quota fraction from 0 to 1", self.quota_fraction)


@dataclass(slots=True)
class Settings:
    """The settings of one sidecar; only `instance_index` and `zone` differ between sidecars.

    Attributes:
        classes: The request classes; events refer to them by index.
        tenants: The tenants; events refer to them by index.
        over_quota_weight: The fraction of its weight with which a request counts if its tenant exceeds the quota.
        weight_by_work: Whether weights are per unit of work; otherwise they are per request, and admission divides
            them by the mean response time to compare requests.
        fleet_size: The number of sidecars in the fleet, which share the quotas and the limits for calls to discovery.
        instance_index: The index of this sidecar in the fleet.
        zone: The zone of this sidecar.
        batch_interval_us: The shortest interval between two batches of events from the simulator. The policy does not
            use it.
        max_attempts: The maximum number of attempts of a request.
        max_retry_after_us: The longest Retry-After.
        connect_timeout_us: How long it may take to establish a connection.
        send_retry_after: Whether clients get a Retry-After.
        cancel_attempts: Whether attempts may be cancelled.
        health_checks: Whether health checks may be sent.
        hedging: Whether a request may have two outstanding attempts.
        poll_endpoints: Whether updates of the endpoint list arrive only after `WatchEndpoints` or `PollEndpoints`;
            otherwise they are pushed.
        poll_interval_us: The longest interval between two calls to discovery while the list is not watched.
        warm_up_initial_fraction: The minimum fraction of its full capacity that an endpoint has when it starts.
        warm_up_us: The time from the start of an endpoint until it is warm.
        overload_factor: The load at which a warming endpoint fails, as a multiple of its current capacity.
        overload_window_us: How long a load of `overload_factor` must last before a warming endpoint fails.
        cross_zone_cost: The cost of an attempt in another zone, as a share of the weight of its request.
        load_report_names: The names of the values in load reports, in their order.
        endpoint_weights: Whether the weights in the endpoint list state the relative capacities of the endpoints.
        zone_regions: The region of each zone, by zone index; a zone past the end of the list is in region 0.
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
        _require(len(set(names)) == len(names), "request classes with distinct names", names)
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
        for name in NON_NEGATIVE_SETTINGS:
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))

    @property
    def longest_deduplication_window_us(self) -> int:
        """The longest time for which endpoints remember a request of any class."""
        return max(request_class.deduplication_window_us for request_class in self.classes)


def previous_indexes(
    current: Sequence[RequestClass | Tenant], previous: Sequence[RequestClass | Tenant]
) -> list[int | None]:
    """Return the index that each class or tenant had before, matched by name; None for a new one."""
    indexes = {entry.name: index for index, entry in enumerate(previous)}
    return [indexes.get(entry.name) for entry in current]
