"""The types of an experiment file and the validation of its values. Names of times end in their unit, `_s` or `_ms`.

`load` returns an `Experiment` in which every named place exists and every value is in its range. The code that uses an
experiment relies on that.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from garnetusher import config
from garnetusher.errors import GarnetusherError

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=10_000)]

Effect = Literal["idempotent", "at_most_once"]
FaultKind = Literal[
    "kill",
    "stop",
    "restart",
    "silent",
    "cut",
    "refuse",
    "slow",
    "loss",
    "duplicate",
    "reorder",
    "reset",
    "errors",
    "list_late",
    "list_lies",
    "burst",
    "power_loss",
    "disk_full",
    "disk_error",
    "clock_jump",
]
# Faults that neither the lab nor the model can inject yet, with the part of the product that they would affect.
UNSUPPORTED_FAULTS = {
    "power_loss": "durable",
    "disk_full": "durable",
    "disk_error": "durable",
    "clock_jump": "membership",
    "duplicate": "membership",
    "reorder": "membership",
}
# The key that each of these kinds of faults requires.
REQUIRED_KEYS = {
    "slow": "times",
    "loss": "share",
    "duplicate": "share",
    "reorder": "share",
    "reset": "share",
    "errors": "share",
    "burst": "times",
    "list_late": "by_s",
    "list_lies": "share",
}
LIST_FAULTS = ("list_late", "list_lies")
DIRECTORY_FAULTS = ("silent", "cut")
SIDECAR_FAULTS = ("kill", "stop", "restart", "silent", "cut", "loss")
UPSTREAM_FAULTS = ("kill", "stop", "restart", "silent", "cut", "refuse", "slow", "loss", "reset", "errors")
BOUND_PATTERN = re.compile(r"(?P<sign><=|>=|==)\s*(?P<figure>-?\d+(\.\d+)?)")
SHARE_TOLERANCE = 0.011  # files round shares to two decimal places, so their sum may differ from 1
MAX_NAMES_IN_MESSAGE = 12


class ExperimentError(GarnetusherError, ValueError):
    """An invalid value in an experiment; `config.read` reports it with the file's path.

    The class is a `ValueError` too because msgspec includes the message of a `ValueError` in its `ValidationError`.
    """

    def __init__(self, *, key: str, expected: str, found: object = None) -> None:
        super().__init__(f"{key}: expected {expected}" + (f", got {found!r}" if found is not None else ""))


class Topology(Struct, forbid_unknown_fields=True):
    """The regions with their zones, and the network between zones. Latencies are one-way."""

    regions: dict[str, list[str]]
    same_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 2.0
    cross_region_ms: NotNegative = 30.0
    jitter: Share = 0.25  # the largest deviation of a latency, up or down, as a share of the latency
    link_kb_per_s: NotNegative = 0.0  # a link's bandwidth in each direction, in thousands of bytes; 0: unlimited

    @property
    def zones(self) -> list[str]:
        """All zones, in the order of their regions."""
        return [zone for zones in self.regions.values() for zone in zones]

    def region_of(self, zone: str) -> str:
        """Return the region that a zone belongs to."""
        return next(region for region, zones in self.regions.items() if zone in zones)

    def one_way_ms(self, from_zone: str, to_zone: str) -> float:
        """Return the one-way latency from one zone to another, without jitter."""
        if from_zone == to_zone:
            return self.same_zone_ms
        if self.region_of(from_zone) == self.region_of(to_zone):
            return self.cross_zone_ms
        return self.cross_region_ms


class Upstreams(Struct, forbid_unknown_fields=True):
    """The capacity and behavior of the upstreams; the defaults describe the machine type `nodo-estandar`."""

    per_zone: dict[str, Annotated[int, Meta(ge=0)]]
    cores: Count = 3
    queue_per_core: Count = 20  # the longest queue per core; the upstream rejects further requests without running them
    speed_spread: Share = 0.1  # the largest deviation of the speed, up or down, as a share of the standard speed
    thrash: NotNegative = 0.04  # the share by which each request per core beyond `thrash_at` lengthens service times
    thrash_at: NotNegative = 5.0  # the number of requests per core above which service times increase
    choke_times: Annotated[float, Meta(ge=1)] = 2.6  # the slowdown factor after a long overload; 1: no slowdown
    choke_at: Positive = 5.5  # the number of requests per core above which the upstream is overloaded
    choke_over_s: Positive = 2.0  # the duration of an overload after which the slowdown begins
    choke_below: Share = 0.34  # the number of requests per core below which the upstream recovers
    choke_rest_s: Positive = 3.5  # the time below `choke_below` after which the slowdown ends
    choke_most_s: Positive = 27.0  # the longest duration of the slowdown
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.2  # the available share of the capacity right after a start
    warm_up_s: Positive = 18.0  # the time from a start until the full capacity is available
    overload_factor: Positive = 3.0  # the load at which a cold upstream crashes, as a multiple of its capacity
    fall_s: Positive = 3.0  # the window over which the load is measured for `overload_factor`
    connections_per_core: Count = 750
    handshake_ms: NotNegative = 2.5  # the work for each new connection, on a standard core
    handshake_trips: NotNegative = 2.0  # the number of round trips before a new connection's first request
    idle_s: Positive = 5.0  # the time after which an upstream closes an idle connection
    error_share: Share = 0.0005  # the share of requests that fail without a fault


class Sidecars(Struct, forbid_unknown_fields=True):
    """The processes under test and the limits that their platform sets."""

    per_zone: dict[str, Annotated[int, Meta(ge=0)]]
    memory_mb: Count = 192
    sockets: Count = 1024
    max_attempts: Count = 3
    second_copies: bool = True  # whether the sidecars hedge requests
    spread: NotNegative = 0.8  # the coefficient of variation of the sidecars' request rates
    told: Annotated[int, Meta(ge=0, le=10_000)] = 0  # the fleet size in each sidecar's settings; 0: the real one
    membership: bool = False  # whether the sidecars use membership to find the fleet size
    policy: Literal["slots", "random", "least", "two", "round_robin"] = "slots"  # only in virtual time (baselines.py)


class Load(Struct, forbid_unknown_fields=True):
    """The request rate, in an open loop: arrivals never wait for responses."""

    requests_per_s: Positive
    zones: dict[str, NotNegative] = {}  # relative weights of the zones' traffic; empty: by their numbers of sidecars


class Clients(Struct, forbid_unknown_fields=True):
    """When clients retry and when they time out."""

    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    backoff_ms: NotNegative = 60.0  # the mean delay before the first retry; doubled for each further retry
    honour: Share = 0.6  # the share of clients that wait as `Retry-After` says
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.8  # the shortest client timeout, as a share of the deadline
    marks: bool = True  # whether clients mark their retries as such
    impatient: Share = 0.002  # the share of calls whose client disconnects before its timeout


class Directory(Struct, forbid_unknown_fields=True):
    """How the discovery service sends the endpoint list, and its delays."""

    mode: Literal["pushed", "on_request"] = "pushed"  # `on_request`: the sidecars poll the list
    add_s: NotNegative = 1.2  # the time from an upstream's start until the service lists it
    notice_s: NotNegative = 2.2  # the time until the service removes an upstream whose process has ended
    silent_notice_s: NotNegative = 8.0  # the time until the service removes an upstream that cannot be reached
    spread_ms: NotNegative = 80.0  # the time between an update's deliveries to the first and to the last sidecar
    call_ms: NotNegative = 0.0  # the service time of a call; the service handles one call at a time
    calls_waiting: Count = 22  # the longest queue of calls; the service rejects further ones at once


class RequestClass(Struct, forbid_unknown_fields=True):
    """A class of requests, which share a latency objective, a weight and an effect."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    aim_ms: Positive  # the latency objective
    deadline_ms: Positive
    share: Share
    work_ms: Positive  # the mean work of a request on a standard core
    effect: Effect = "idempotent"
    worth: Positive = 1.0  # the weight of a request in served worth
    work_cv: Annotated[float, Meta(ge=0, le=3)] = 0.9  # the coefficient of variation of the work, which is lognormal

    def __post_init__(self) -> None:
        if self.deadline_ms < self.aim_ms:
            raise ExperimentError(key="deadline_ms", expected=f"at least aim_ms, {self.aim_ms}", found=self.deadline_ms)


class Tenant(Struct, forbid_unknown_fields=True):
    """A tenant and its share of the traffic."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    share: Share


class Place(Struct, forbid_unknown_fields=True):
    """The nodes that a fault affects.

    `part` is the share of the nodes selected by the other keys; the seed decides which of them the fault affects.
    """

    zone: str | None = None
    region: str | None = None
    sidecar: str | None = None
    upstream: str | None = None
    directory: bool = False
    agent: str | None = None  # not supported; `Experiment` rejects it
    part: Share | None = None
    of: Literal["upstreams", "sidecars"] = "upstreams"  # the type of the nodes


class Fault(Struct, forbid_unknown_fields=True):
    """A fault, the nodes that it affects, and its duration."""

    at_s: NotNegative
    what: FaultKind
    for_s: Positive | None = None  # None: until the end of the run
    where: Place = msgspec.field(default_factory=Place)
    to: Place | None = None  # `cut`: the nodes at the other end of the links; None: all nodes
    one_way: bool = False  # `cut`: whether only the direction from `where` to `to` is cut
    times: Positive | None = None  # `slow`, `burst`: the factor
    share: Share | None = None  # `loss`, `reset`, `errors`, `list_lies`: the affected share
    by_s: NotNegative | None = None  # `list_late`: the delay
    batch: Annotated[float, Meta(gt=0, le=1)] = 0.2  # `restart`: the share of upstreams that restart at a time
    drain_s: NotNegative = 3.0  # `restart` of upstreams: the time from `leaving` to the end of the process
    returns: Literal["warm", "cold"] = "warm"  # `silent`: the state of the upstreams once they can be reached again
    tenant: str | None = None  # `burst`: the tenant whose traffic changes; None: all tenants

    def __post_init__(self) -> None:
        product_part = UNSUPPORTED_FAULTS.get(self.what)
        if product_part is not None:
            expected = f"a supported fault; {self.what!r}, a fault of the {product_part} part, cannot be injected yet"
            raise ExperimentError(key="what", expected=expected)
        key = REQUIRED_KEYS.get(self.what)
        if key is not None and getattr(self, key) is None:
            raise ExperimentError(key=key, expected=f"a value, which {self.what!r} needs")
        if self.what == "restart" and self.for_s is None:
            raise ExperimentError(key="for_s", expected="a value, which 'restart' needs")
        if self.what != "cut":
            self._check_keys_of_cut()

    def _check_keys_of_cut(self) -> None:
        expected = "this key only with 'cut' as the fault"
        if self.to is not None:
            raise ExperimentError(key="to", expected=expected, found=self.what)
        if self.one_way:
            raise ExperimentError(key="one_way", expected=expected, found=self.what)


class Experiment(Struct, forbid_unknown_fields=True):
    """The content of an experiment file."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    topology: Topology
    upstreams: Upstreams
    sidecars: Sidecars
    load: Load
    classes: Annotated[list[RequestClass], Meta(min_length=1)] = msgspec.field(name="class")
    seed: Annotated[int, Meta(ge=0)] = 1
    seconds: Annotated[float, Meta(gt=0, le=7200)] = 30.0
    about: str = ""  # a one-line description for the report
    clients: Clients = msgspec.field(default_factory=Clients)
    directory: Directory = msgspec.field(default_factory=Directory)
    tenants: list[Tenant] = msgspec.field(name="tenant", default_factory=list)
    over_share_worth: Share = 0.2  # the share of its weight that a request beyond its tenant's quota keeps
    faults: list[Fault] = msgspec.field(name="fault", default_factory=list)
    expect: dict[str, str] = {}  # the bounds that a run must hold, by the names of the figures
    open: dict[str, str] = {}  # bounds that are not reached yet: reports show them, but missing them fails no run

    def __post_init__(self) -> None:
        self._check_zones()
        self._check_counts()
        _check_shares("class", [request_class.share for request_class in self.classes])
        names = [request_class.name for request_class in self.classes]
        if len(set(names)) != len(names):
            raise ExperimentError(key="class.*.name", expected="classes with different names", found=names)
        if self.tenants:
            _check_shares("tenant", [tenant.share for tenant in self.tenants])
        for index, fault in enumerate(self.faults):
            self._check_fault(f"fault.{index}", fault)
        _check_bounds("expect", self.expect)
        _check_bounds("open", self.open)

    def _check_zones(self) -> None:
        zones = self.topology.zones
        if not zones:
            raise ExperimentError(key="topology.regions", expected="at least one zone")
        if len(set(zones)) != len(zones):
            raise ExperimentError(key="topology.regions", expected="zones with different names", found=zones)
        per_zone_keys: tuple[tuple[str, Iterable[str]], ...] = (
            ("upstreams.per_zone", self.upstreams.per_zone),
            ("sidecars.per_zone", self.sidecars.per_zone),
            ("load.zones", self.load.zones),
        )
        for key, named_zones in per_zone_keys:
            for zone in named_zones:
                if zone not in zones:
                    raise ExperimentError(key=f"{key}.{zone}", expected=f"a zone out of {', '.join(zones)}")

    def _check_counts(self) -> None:
        for key, counts in (("upstreams", self.upstreams.per_zone), ("sidecars", self.sidecars.per_zone)):
            if sum(counts.values()) <= 0:
                raise ExperimentError(key=f"{key}.per_zone", expected="at least one node")

    def _check_fault(self, key: str, fault: Fault) -> None:
        if fault.at_s >= self.seconds:
            expected = f"a time within the {self.seconds:g} s of the experiment"
            raise ExperimentError(key=f"{key}.at_s", expected=expected, found=fault.at_s)
        self._check_place(f"{key}.where", fault.where)
        if fault.to is not None:
            self._check_place(f"{key}.to", fault.to)
        if fault.what == "burst":
            self._check_burst(key, fault)
        elif fault.what not in LIST_FAULTS and not fault.where.directory:
            _check_fault_kind(key, fault)
        if fault.where.directory and fault.what not in DIRECTORY_FAULTS:
            expected = f"for the directory one of {', '.join(DIRECTORY_FAULTS)}"
            raise ExperimentError(key=f"{key}.what", expected=expected, found=fault.what)

    def _check_place(self, key: str, place: Place) -> None:
        known_names: tuple[tuple[str, str | None, list[str]], ...] = (
            ("zone", place.zone, self.topology.zones),
            ("region", place.region, list(self.topology.regions)),
            ("sidecar", place.sidecar, sidecar_names(self)),
            ("upstream", place.upstream, upstream_names(self)),
        )
        for name, value, known in known_names:
            if value is not None and value not in known:
                more = ", ..." if len(known) > MAX_NAMES_IN_MESSAGE else ""
                expected = f"one of {', '.join(known[:MAX_NAMES_IN_MESSAGE])}{more}"
                raise ExperimentError(key=f"{key}.{name}", expected=expected, found=value)
        if place.agent is not None:
            raise ExperimentError(key=f"{key}.agent", expected="a place that exists; this version has no agents")

    def _check_burst(self, key: str, fault: Fault) -> None:
        names = [tenant.name for tenant in self.tenants]
        if fault.tenant is not None and fault.tenant not in names:
            raise ExperimentError(key=f"{key}.tenant", expected=f"one of {', '.join(names)}", found=fault.tenant)


def _check_shares(table: str, shares: list[float]) -> None:
    total = sum(shares)
    if abs(total - 1) >= SHARE_TOLERANCE:
        raise ExperimentError(key=f"{table}.*.share", expected="shares that add up to 1", found=round(total, 4))


def _check_bounds(table: str, bounds: dict[str, str]) -> None:
    for name, bound in bounds.items():
        if BOUND_PATTERN.fullmatch(bound) is None:
            expected = 'a bound such as ">= 0.9" (<=, >= or ==, and a number)'
            raise ExperimentError(key=f"{table}.{name}", expected=expected, found=bound)


def _check_fault_kind(key: str, fault: Fault) -> None:
    affects_sidecars = fault.where.of == "sidecars" or fault.where.sidecar is not None
    kinds = SIDECAR_FAULTS if affects_sidecars else UPSTREAM_FAULTS
    if fault.what not in kinds:
        node_type = "sidecars" if affects_sidecars else "upstreams"
        raise ExperimentError(
            key=f"{key}.what", expected=f"for {node_type} one of {', '.join(kinds)}", found=fault.what
        )


def upstream_names(experiment: Experiment) -> list[str]:
    """Return the names of the upstreams that run from the start, as in `fault.where.upstream`."""
    return [
        f"u-{zone}-{number}"
        for zone in experiment.topology.zones
        for number in range(experiment.upstreams.per_zone.get(zone, 0))
    ]


def sidecar_names(experiment: Experiment) -> list[str]:
    """Return the names of all sidecars, as in `fault.where.sidecar`."""
    return [
        f"{zone}-{number}"
        for zone in experiment.topology.zones
        for number in range(experiment.sidecars.per_zone.get(zone, 0))
    ]


def scaled(experiment: Experiment, sidecars: int, *, sidecars_only: bool = False) -> Experiment:
    """Return the experiment with its number of sidecars changed; zones keep their shares of the sidecars.

    Args:
        experiment: The experiment.
        sidecars: The approximate number of sidecars; every zone that has any keeps at least one.
        sidecars_only: Whether upstreams and load stay as they are, instead of growing with the sidecars.
    """
    factor = sidecars / sum(experiment.sidecars.per_zone.values())

    def scaled_counts(counts: dict[str, int]) -> dict[str, int]:
        """Return the count of each zone for the new size; a zone that had some keeps at least one."""
        return {zone: max(1, round(count * factor)) if count else 0 for zone, count in counts.items()}

    replace = msgspec.structs.replace
    if sidecars_only:
        return replace(
            experiment, sidecars=replace(experiment.sidecars, per_zone=scaled_counts(experiment.sidecars.per_zone))
        )
    return replace(
        experiment,
        load=replace(experiment.load, requests_per_s=experiment.load.requests_per_s * factor),
        sidecars=replace(experiment.sidecars, per_zone=scaled_counts(experiment.sidecars.per_zone)),
        upstreams=replace(experiment.upstreams, per_zone=scaled_counts(experiment.upstreams.per_zone)),
    )


def load(path: Path | str) -> Experiment:
    """Return the validated experiment of a file.

    Raises:
        config.FileError: The file cannot be read, or is invalid.
    """
    return config.read(path, Experiment)


def holds(bound: str, figure: float | None) -> bool:
    """Return whether a figure is within a bound such as `<= 3.0`; False if the figure is None (not measured).

    Raises:
        ExperimentError: The bound is malformed.
    """
    parsed = BOUND_PATTERN.fullmatch(bound)
    if parsed is None:
        raise ExperimentError(key="bound", expected="a comparison sign and a number", found=bound)
    if figure is None:
        return False
    limit = float(parsed["figure"])
    return {"<=": figure <= limit, ">=": figure >= limit, "==": figure == limit}[parsed["sign"]]
