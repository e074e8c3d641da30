"""What an experiment file holds, checked whole. Times end in `_s` or `_ms` as people write them.

`load` gives an `Experiment` in which every place named exists and every figure is in its range; whatever comes
later may rely on that.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from garnetusher import config

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=10_000)]

Effect = Literal["idempotent", "at_most_once"]
What = Literal[
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
# Kinds whose part of the product is still to come: a file that asks for one is told so, not half obeyed.
LATER = {
    "power_loss": "durable",
    "disk_full": "durable",
    "disk_error": "durable",
    "clock_jump": "membership",
    "duplicate": "membership",
    "reorder": "membership",
}
NEEDS = {
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
FOR_SIDECARS = ("kill", "stop", "restart", "silent", "cut", "loss")
FOR_UPSTREAMS = ("kill", "stop", "restart", "silent", "cut", "refuse", "slow", "loss", "reset", "errors")
BOUND = re.compile(r"(?P<sign><=|>=|==)\s*(?P<figure>-?\d+(\.\d+)?)")


def _need(condition: bool, where: str, expected: str, got: object = None) -> None:
    if not condition:
        raise ValueError(f"{where}: expected {expected}" + (f", got {got!r}" if got is not None else ""))


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
        return [zone for zones in self.regions.values() for zone in zones]

    def region_of(self, zone: str) -> str:
        return next(region for region, zones in self.regions.items() if zone in zones)

    def one_way_ms(self, a: str, b: str) -> float:
        if a == b:
            return self.same_zone_ms
        return self.cross_zone_ms if self.region_of(a) == self.region_of(b) else self.cross_region_ms


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
    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    aim_ms: Positive
    deadline_ms: Positive
    share: Share
    work_ms: Positive
    effect: Effect = "idempotent"
    worth: Positive = 1.0
    work_cv: Annotated[float, Meta(ge=0, le=3)] = 0.9  # coefficient of variation, lognormal

    def __post_init__(self) -> None:
        _need(self.deadline_ms >= self.aim_ms, "deadline_ms", f"at least aim_ms, {self.aim_ms}", self.deadline_ms)


class Tenant(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    share: Share


class Place(Struct, forbid_unknown_fields=True):
    """Whom a fault meets. `part` takes a share of what the others leave, drawn by the seed."""

    zone: str | None = None
    region: str | None = None
    sidecar: str | None = None
    upstream: str | None = None
    directory: bool = False
    agent: str | None = None
    part: Share | None = None
    of: Literal["upstreams", "sidecars"] = "upstreams"


class Fault(Struct, forbid_unknown_fields=True):
    at_s: NotNegative
    what: What
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
        _need(
            self.what not in LATER,
            "what",
            f"a fault that can be played; {self.what!r} comes with the {LATER.get(self.what)} part",
        )
        key = NEEDS.get(self.what)
        if key is not None:
            _need(getattr(self, key) is not None, key, f"this key, which {self.what!r} needs")
        _need(self.what != "restart" or self.for_s is not None, "for_s", "this key, which 'restart' needs")
        _need(self.to is None or self.what == "cut", "to", "this key only with 'cut', and the fault is", self.what)
        _need(
            not self.one_way or self.what == "cut", "one_way", "this key only with 'cut', and the fault is", self.what
        )


class Experiment(Struct, forbid_unknown_fields=True):
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
        zones = self.topology.zones
        _need(len(zones) > 0, "topology.regions", "at least one zone")
        _need(len(set(zones)) == len(zones), "topology.regions", "zones of different names", zones)
        for key, per_zone in (
            ("upstreams.per_zone", self.upstreams.per_zone),
            ("sidecars.per_zone", self.sidecars.per_zone),
            ("load.zones", self.load.zones),
        ):
            for zone in per_zone:
                _need(zone in zones, f"{key}.{zone}", f"a zone out of {', '.join(zones)}")
        for key, counts in (("upstreams", self.upstreams.per_zone), ("sidecars", self.sidecars.per_zone)):
            _need(sum(counts.values()) > 0, f"{key}.per_zone", "at least one of them")
        _need(
            abs(sum(c.share for c in self.classes) - 1) < 0.011,
            "class.*.share",
            "shares that add up to 1",
            round(sum(c.share for c in self.classes), 4),
        )
        names = [c.name for c in self.classes]
        _need(len(set(names)) == len(names), "class.*.name", "classes of different names", names)
        _need(
            not self.tenants or abs(sum(t.share for t in self.tenants) - 1) < 0.011,
            "tenant.*.share",
            "shares that add up to 1",
            round(sum(t.share for t in self.tenants), 4),
        )
        for number, fault in enumerate(self.faults):
            self._check(f"fault.{number}", fault)
        for table in ("expect", "open"):
            for name, bound in getattr(self, table).items():
                _need(
                    BOUND.fullmatch(bound) is not None,
                    f"{table}.{name}",
                    'a bound such as ">= 0.9" (<=, >= or ==, and a number)',
                    bound,
                )

    def _check(self, key: str, fault: Fault) -> None:
        _need(
            fault.at_s < self.seconds,
            f"{key}.at_s",
            f"a time within the {self.seconds:g} s of the experiment",
            fault.at_s,
        )
        for side, place in (("where", fault.where), ("to", fault.to)):
            if place is None:
                continue
            for name, known in (
                ("zone", self.topology.zones),
                ("region", list(self.topology.regions)),
                ("sidecar", sidecar_names(self)),
                ("upstream", upstream_names(self)),
            ):
                value = getattr(place, name)
                _need(
                    value is None or value in known,
                    f"{key}.{side}.{name}",
                    f"one of {', '.join(known[:12])}{', ...' if len(known) > 12 else ''}",
                    value,
                )
            _need(
                place.agent is None, f"{key}.{side}.agent", "a place that exists; agents come with the directory part"
            )
        sidecars = fault.where.of == "sidecars" or fault.where.sidecar is not None
        if fault.what == "burst":
            _need(
                fault.tenant is None or fault.tenant in [t.name for t in self.tenants],
                f"{key}.tenant",
                f"one of {', '.join(t.name for t in self.tenants)}",
                fault.tenant,
            )
        elif fault.what not in ("list_late", "list_lies") and not fault.where.directory:
            kinds = FOR_SIDECARS if sidecars else FOR_UPSTREAMS
            _need(
                fault.what in kinds,
                f"{key}.what",
                f"for {'sidecars' if sidecars else 'upstreams'} one of {', '.join(kinds)}",
                fault.what,
            )
        if fault.where.directory:
            _need(fault.what in ("silent", "cut"), f"{key}.what", "for the directory one of silent, cut", fault.what)


def upstream_names(experiment: Experiment) -> list[str]:
    """Those that are there from the start, as `fault.where.upstream` names them."""
    return [
        f"u-{zone}-{number}"
        for zone in experiment.topology.zones
        for number in range(experiment.upstreams.per_zone.get(zone, 0))
    ]


def sidecar_names(experiment: Experiment) -> list[str]:
    return [
        f"{zone}-{number}"
        for zone in experiment.topology.zones
        for number in range(experiment.sidecars.per_zone.get(zone, 0))
    ]


def scaled(experiment: Experiment, sidecars: int, alone: bool = False) -> Experiment:
    """The same with about so many sidecars; zones keep their parts. Upstreams and load grow with them, unless they
    grow `alone`."""
    times = sidecars / sum(experiment.sidecars.per_zone.values())

    def more(counts: dict[str, int]) -> dict[str, int]:
        return {zone: max(1, round(count * times)) if count else 0 for zone, count in counts.items()}

    replace = msgspec.structs.replace
    if alone:
        return replace(experiment, sidecars=replace(experiment.sidecars, per_zone=more(experiment.sidecars.per_zone)))
    return replace(
        experiment,
        load=replace(experiment.load, requests_per_s=experiment.load.requests_per_s * times),
        sidecars=replace(experiment.sidecars, per_zone=more(experiment.sidecars.per_zone)),
        upstreams=replace(experiment.upstreams, per_zone=more(experiment.upstreams.per_zone)),
    )


def load(path: Path | str) -> Experiment:
    """Read and check a file; raises `config.FileError`."""
    return config.read(path, Experiment)


def holds(bound: str, figure: float | None) -> bool:
    """Whether a figure keeps a bound such as `<= 3.0`; one that was not measured keeps none."""
    found = BOUND.fullmatch(bound)
    assert found is not None, bound
    if figure is None:
        return False
    limit = float(found["figure"])
    return {"<=": figure <= limit, ">=": figure >= limit, "==": figure == limit}[found["sign"]]
