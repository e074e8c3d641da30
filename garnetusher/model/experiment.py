"""The types of an experiment file, and its checks. Times end in `_s` or `_ms`, as in the file.

`load` gives an `Experiment` in which every place named exists and every figure is in its range; whatever comes
later may rely on that.
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
# Kinds that need a part of the product that does not exist yet, by that part.
UNSUPPORTED_FAULTS = {
    "power_loss": "durable",
    "disk_full": "durable",
    "disk_error": "durable",
    "clock_jump": "membership",
    "duplicate": "membership",
    "reorder": "membership",
}
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
BOUND = re.compile(r"(?P<sign><=|>=|==)\s*(?P<figure>-?\d+(\.\d+)?)")
SHARE_TOLERANCE = 0.011  # shares are written with two digits
NAMES_IN_MESSAGE = 12


class ExperimentError(GarnetusherError, ValueError):
    """A value of an experiment that does not fit; `config.read` reports it with the file's path.

    It is a `ValueError` too, as msgspec takes such an error as part of its own report.
    """

    def __init__(self, *, key: str, expected: str, found: object = None) -> None:
        super().__init__(f"{key}: expected {expected}" + (f", got {found!r}" if found is not None else ""))


class Topology(Struct, forbid_unknown_fields=True):
    """Regions hold zones; the times are one way."""

    regions: dict[str, list[str]]
    same_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 2.0
    cross_region_ms: NotNegative = 30.0
    jitter: Share = 0.25  # of each time, either way
    link_kb_per_s: NotNegative = 0.0  # that a link carries each way, in thousands of bytes; 0: as much as comes

    @property
    def zones(self) -> list[str]:
        """The zones of all regions."""
        return [zone for zones in self.regions.values() for zone in zones]

    def region_of(self, zone: str) -> str:
        """Return the region that a zone belongs to."""
        return next(region for region, zones in self.regions.items() if zone in zones)

    def one_way_ms(self, from_zone: str, to_zone: str) -> float:
        """Return the time from one zone to another."""
        if from_zone == to_zone:
            return self.same_zone_ms
        if self.region_of(from_zone) == self.region_of(to_zone):
            return self.cross_zone_ms
        return self.cross_region_ms


class Upstreams(Struct, forbid_unknown_fields=True):
    """The machines that serve; the figures are those of the kind `nodo-estandar`."""

    per_zone: dict[str, Annotated[int, Meta(ge=0)]]
    cores: Count = 3
    queue_per_core: Count = 20  # requests that wait; beyond that they are turned away unseen
    speed_spread: Share = 0.1  # of the true speeds, either way
    thrash: NotNegative = 0.04  # each held request per core beyond `thrash_at` adds this to all service times
    thrash_at: NotNegative = 5.0
    choke_times: Annotated[float, Meta(ge=1)] = 2.6  # slower, once it has been crowded for long; 1: never
    choke_at: Positive = 5.5  # requests held per core, beyond which it counts as crowded
    choke_over_s: Positive = 2.0  # for so long
    choke_below: Share = 0.34  # it recovers once it has held less than this per core
    choke_rest_s: Positive = 3.5  # for so long,
    choke_most_s: Positive = 27.0  # or after this at the latest
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.2  # of its capacity, right after a start
    warm_up_s: Positive = 18.0
    overload_factor: Positive = 3.0  # a cold one that is sent this multiple of its capacity
    fall_s: Positive = 3.0  # for so long falls over
    connections_per_core: Count = 750
    handshake_ms: NotNegative = 2.5  # work of a new connection
    handshake_trips: NotNegative = 2.0  # round trips that the first request waits
    idle_s: Positive = 5.0  # after which an idle connection is closed
    error_share: Share = 0.0005


class Sidecars(Struct, forbid_unknown_fields=True):
    """The processes under test, and what their platform allows them."""

    per_zone: dict[str, Annotated[int, Meta(ge=0)]]
    memory_mb: Count = 192
    sockets: Count = 1024
    max_attempts: Count = 3
    second_copies: bool = True
    spread: NotNegative = 0.8  # of their traffic: the coefficient of variation
    told: Annotated[int, Meta(ge=0, le=10_000)] = 0  # how many each is told that they are, at its start; 0: the truth
    membership: bool = False  # they count each other
    policy: Literal["slots", "random", "least", "two", "round_robin"] = "slots"  # virtual time only: baselines.py


class Load(Struct, forbid_unknown_fields=True):
    """Open loop: arrivals never wait for answers."""

    requests_per_s: Positive
    zones: dict[str, NotNegative] = {}  # a zone's part of the traffic, beside the others; else by its sidecars


class Clients(Struct, forbid_unknown_fields=True):
    """How clients retry and when they give up."""

    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    backoff_ms: NotNegative = 60.0
    honour: Share = 0.6  # of them wait as `Retry-After` says
    try_share: Annotated[float, Meta(gt=0, le=1)] = 0.8  # of the deadline, after which a try is given up
    marks: bool = True  # a try that comes again says so
    impatient: Share = 0.002  # of them leave before their time


class Directory(Struct, forbid_unknown_fields=True):
    """How late the list is."""

    mode: Literal["pushed", "on_request"] = "pushed"
    add_s: NotNegative = 1.2  # until a started upstream is listed
    notice_s: NotNegative = 2.2  # until a dead one is off the list
    silent_notice_s: NotNegative = 8.0  # until one that answers nothing is
    spread_ms: NotNegative = 80.0  # between the first and the last sidecar told
    call_ms: NotNegative = 0.0  # that it takes for a call, one after another
    calls_waiting: Count = 22  # beyond which a call is turned away at once


class RequestClass(Struct, forbid_unknown_fields=True):
    """Requests with one latency objective, weight and effect."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    aim_ms: Positive
    deadline_ms: Positive
    share: Share
    work_ms: Positive
    effect: Effect = "idempotent"
    worth: Positive = 1.0
    work_cv: Annotated[float, Meta(ge=0, le=3)] = 0.9  # coefficient of variation, lognormal

    def __post_init__(self) -> None:
        if self.deadline_ms < self.aim_ms:
            raise ExperimentError(key="deadline_ms", expected=f"at least aim_ms, {self.aim_ms}", found=self.deadline_ms)


class Tenant(Struct, forbid_unknown_fields=True):
    """A tenant and its part of the traffic."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    share: Share


class Place(Struct, forbid_unknown_fields=True):
    """The nodes that a fault strikes. `part` takes a share of those that the other keys select, drawn by the seed."""

    zone: str | None = None
    region: str | None = None
    sidecar: str | None = None
    upstream: str | None = None
    directory: bool = False
    agent: str | None = None
    part: Share | None = None
    of: Literal["upstreams", "sidecars"] = "upstreams"


class Fault(Struct, forbid_unknown_fields=True):
    """A fault, where it strikes and for how long."""

    at_s: NotNegative
    what: FaultKind
    for_s: Positive | None = None  # none: to the end
    where: Place = msgspec.field(default_factory=Place)
    to: Place | None = None  # `cut`: the other side; none: everybody
    one_way: bool = False  # `cut`: only what goes from `where` to `to` is lost
    times: Positive | None = None  # `slow`, `burst`
    share: Share | None = None  # `loss`, `reset`, `errors`, `list_lies`
    by_s: NotNegative | None = None  # `list_late`
    batch: Annotated[float, Meta(gt=0, le=1)] = 0.2  # `restart`: the part that goes at a time
    drain_s: NotNegative = 3.0  # `restart` of upstreams: from `leaving` to the end
    returns: Literal["warm", "cold"] = "warm"  # `silent`: how its upstreams come back
    tenant: str | None = None  # `burst`

    def __post_init__(self) -> None:
        part = UNSUPPORTED_FAULTS.get(self.what)
        if part is not None:
            expected = f"a fault that can be played; {self.what!r} comes with the {part} part"
            raise ExperimentError(key="what", expected=expected)
        key = REQUIRED_KEYS.get(self.what)
        if key is not None and getattr(self, key) is None:
            raise ExperimentError(key=key, expected=f"this key, which {self.what!r} needs")
        if self.what == "restart" and self.for_s is None:
            raise ExperimentError(key="for_s", expected="this key, which 'restart' needs")
        if self.what != "cut":
            self._check_keys_of_cut()

    def _check_keys_of_cut(self) -> None:
        expected = "this key only with 'cut', and the fault is"
        if self.to is not None:
            raise ExperimentError(key="to", expected=expected, found=self.what)
        if self.one_way:
            raise ExperimentError(key="one_way", expected=expected, found=self.what)


class Experiment(Struct, forbid_unknown_fields=True):
    """All of an experiment file."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    topology: Topology
    upstreams: Upstreams
    sidecars: Sidecars
    load: Load
    classes: Annotated[list[RequestClass], Meta(min_length=1)] = msgspec.field(name="class")
    seed: Annotated[int, Meta(ge=0)] = 1
    seconds: Annotated[float, Meta(gt=0, le=7200)] = 30.0
    about: str = ""  # one line for the report
    clients: Clients = msgspec.field(default_factory=Clients)
    directory: Directory = msgspec.field(default_factory=Directory)
    tenants: list[Tenant] = msgspec.field(name="tenant", default_factory=list)
    over_share_worth: Share = 0.2  # of a request beyond its tenant's share
    faults: list[Fault] = msgspec.field(name="fault", default_factory=list)
    expect: dict[str, str] = {}
    open: dict[str, str] = {}  # figures that are not reached yet: shown, and never failing

    def __post_init__(self) -> None:
        self._check_zones()
        self._check_counts()
        _check_shares("class", [request_class.share for request_class in self.classes])
        names = [request_class.name for request_class in self.classes]
        if len(set(names)) != len(names):
            raise ExperimentError(key="class.*.name", expected="classes of different names", found=names)
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
            raise ExperimentError(key="topology.regions", expected="zones of different names", found=zones)
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
                raise ExperimentError(key=f"{key}.per_zone", expected="at least one of them")

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
                more = ", ..." if len(known) > NAMES_IN_MESSAGE else ""
                expected = f"one of {', '.join(known[:NAMES_IN_MESSAGE])}{more}"
                raise ExperimentError(key=f"{key}.{name}", expected=expected, found=value)
        if place.agent is not None:
            raise ExperimentError(
                key=f"{key}.agent", expected="a place that exists; agents come with the directory part"
            )

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
        if BOUND.fullmatch(bound) is None:
            expected = 'a bound such as ">= 0.9" (<=, >= or ==, and a number)'
            raise ExperimentError(key=f"{table}.{name}", expected=expected, found=bound)


def _check_fault_kind(key: str, fault: Fault) -> None:
    strikes_sidecars = fault.where.of == "sidecars" or fault.where.sidecar is not None
    kinds = SIDECAR_FAULTS if strikes_sidecars else UPSTREAM_FAULTS
    if fault.what not in kinds:
        side = "sidecars" if strikes_sidecars else "upstreams"
        raise ExperimentError(key=f"{key}.what", expected=f"for {side} one of {', '.join(kinds)}", found=fault.what)


def upstream_names(experiment: Experiment) -> list[str]:
    """Return the upstreams that are there from the start, as `fault.where.upstream` names them."""
    return [
        f"u-{zone}-{number}"
        for zone in experiment.topology.zones
        for number in range(experiment.upstreams.per_zone.get(zone, 0))
    ]


def sidecar_names(experiment: Experiment) -> list[str]:
    """Return all sidecars, as `fault.where.sidecar` names them."""
    return [
        f"{zone}-{number}"
        for zone in experiment.topology.zones
        for number in range(experiment.sidecars.per_zone.get(zone, 0))
    ]


def scaled(experiment: Experiment, sidecars: int, *, alone: bool = False) -> Experiment:
    """Return the experiment with about so many sidecars, zones keeping their parts.

    Args:
        experiment: The experiment.
        sidecars: How many.
        alone: Whether upstreams and load stay as they are, instead of growing with the sidecars.
    """
    times = sidecars / sum(experiment.sidecars.per_zone.values())

    def grown(counts: dict[str, int]) -> dict[str, int]:
        return {zone: max(1, round(count * times)) if count else 0 for zone, count in counts.items()}

    replace = msgspec.structs.replace
    if alone:
        return replace(experiment, sidecars=replace(experiment.sidecars, per_zone=grown(experiment.sidecars.per_zone)))
    return replace(
        experiment,
        load=replace(experiment.load, requests_per_s=experiment.load.requests_per_s * times),
        sidecars=replace(experiment.sidecars, per_zone=grown(experiment.sidecars.per_zone)),
        upstreams=replace(experiment.upstreams, per_zone=grown(experiment.upstreams.per_zone)),
    )


def load(path: Path | str) -> Experiment:
    """Read and check a file.

    Raises:
        config.FileError: It cannot be read, or does not fit.
    """
    return config.read(path, Experiment)


def holds(bound: str, figure: float | None) -> bool:
    """Return whether a figure keeps a bound such as `<= 3.0`; one that was not measured keeps none.

    Raises:
        ExperimentError: The bound is none.
    """
    parsed = BOUND.fullmatch(bound)
    if parsed is None:
        raise ExperimentError(key="bound", expected="a sign and a number", found=bound)
    if figure is None:
        return False
    limit = float(parsed["figure"])
    return {"<=": figure <= limit, ">=": figure >= limit, "==": figure == limit}[parsed["sign"]]
