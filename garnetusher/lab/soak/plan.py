"""What a play of the soak does, drawn from its seed: the processes, the load, and the troubles with their times."""

from __future__ import annotations

import errno
import random
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct, field

from garnetusher.lab.syscall_faults import DOCUMENTED, Call

SECONDS = 12.0  # of load; trouble begins after QUIET_S and ends before the last seconds
QUIET_S = 1.0
END_S = 2.5
BEFORE_START_S = -1.0  # when a fault strikes that is there as the processes start
TOGETHER_S = 0.6  # troubles of one group begin within so long of each other

SidecarTrouble = Literal["hold_up", "restart", "kill", "reload", "reload_burst", "half_file", "wall_clock", "syscalls"]
UpstreamTrouble = Literal[
    "drain", "cold_start", "hang", "reset", "errors", "turn_away", "silent", "late", "garbage", "idle_close"
]
DiscoveryTrouble = Literal["outage", "watch_reset", "watch_silent"]
ClientTrouble = Literal["leavers", "half_requests", "strangers", "slow_writers", "pipelines", "long_bodies"]
Kind = SidecarTrouble | UpstreamTrouble | DiscoveryTrouble | ClientTrouble

OF_SIDECARS: tuple[Kind, ...] = (
    "hold_up",
    "restart",
    "kill",
    "reload",
    "reload_burst",
    "half_file",
    "wall_clock",
    "syscalls",
)
OF_UPSTREAMS: tuple[Kind, ...] = (
    "drain",
    "cold_start",
    "hang",
    "reset",
    "errors",
    "turn_away",
    "silent",
    "late",
    "garbage",
    "idle_close",
)
OF_DISCOVERY: tuple[Kind, ...] = ("outage", "watch_reset", "watch_silent")
OF_CLIENTS: tuple[Kind, ...] = ("leavers", "half_requests", "strangers", "slow_writers", "pipelines", "long_bodies")
ALL: tuple[Kind, ...] = OF_SIDECARS + OF_UPSTREAMS + OF_DISCOVERY + OF_CLIENTS

# errors that end a connection by themselves: they are drawn only where connections are made, and never for reads and
# writes, which clients' connections make too and would lose what is under way
ENDS_CONNECTIONS = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH)
SERVICE_CALLS = (
    Call.ACCEPT,
    Call.SOCKET,
    Call.CONNECT,
    Call.RECV,
    Call.SEND,
    Call.EPOLL_WAIT,
    Call.SETSOCKOPT,
    Call.POLL,
    Call.SHUTDOWN,
    Call.OPEN,
)


class Trouble(Struct, frozen=True):
    """One trouble: what, when, to whom, and how much of it."""

    kind: Kind
    at_s: float
    for_s: float
    targets: list[int]  # sidecars, or upstreams, by number
    value: float = 0.0  # the step of a clock, the share of answers, ...
    call: int = 0  # of `syscalls`
    error: int = 0


class Class(Struct, frozen=True):
    """One class of requests."""

    name: str
    effect: Literal["idempotent", "deduplicated", "at_most_once"]
    deadline_ms: int
    group: Literal["all", "zone", "cell"] = "all"


class Plan(Struct, frozen=True):
    """A whole play."""

    seed: int
    seconds: float
    sidecars: int
    upstreams: int
    rate_per_s: float  # requests of one sidecar's clients
    service_ms: float  # that an upstream works on a request, on the mean
    classes: list[Class]
    troubles: list[Trouble]
    max_attempts: int = 3
    second_copies: bool = True
    dial_timeout_ms: int = 200
    memory_ms: int = 2000  # of upstreams, for repeats
    mode: Literal["pushed", "on_request"] = "pushed"
    failed: list[str] = field(default_factory=list)  # rules that broke when it was saved

    def without(self, dropped: Trouble) -> Plan:
        """The same play with one trouble less."""
        return msgspec.structs.replace(self, troubles=[t for t in self.troubles if t is not dropped])

    def pairs(self) -> set[tuple[Kind, Kind]]:
        """The kinds of which two troubles overlap in time, counting the second after each."""
        found = set()
        for first in self.troubles:
            for second in self.troubles:
                if first is not second and first.at_s <= second.at_s < first.at_s + first.for_s + 1.0:
                    found.add((min(first.kind, second.kind), max(first.kind, second.kind)))
        return found


def save(plan: Plan, path: Path) -> None:
    """As a file that replays it."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")


def load(path: Path) -> Plan:
    """A saved play; raises msgspec.ValidationError or OSError."""
    return msgspec.json.decode(path.read_bytes(), type=Plan)


def draw(seed: int, sidecars: int = 10) -> Plan:
    """The play of a seed. Troubles come in groups of three that overlap."""
    rng = random.Random(seed)
    upstreams = rng.randint(5, 8)
    deadlines = (300, 500, 1000, 1500, 2500)
    classes = [
        Class("read", "idempotent", rng.choice(deadlines)),
        Class("publish", "at_most_once", rng.choice(deadlines)),
        Class("mark", "deduplicated", rng.choice(deadlines), rng.choice(("all", "zone", "cell"))),
    ]
    troubles: list[Trouble] = []
    at_s = QUIET_S + rng.random()
    kinds = _shuffled_kinds(rng)
    while at_s < SECONDS - END_S:
        for _ in range(3):
            kind = kinds.pop() if kinds else rng.choice(ALL)
            troubles.append(_trouble(rng, kind, at_s + rng.random() * TOGETHER_S, sidecars, upstreams))
        at_s += 0.8 + rng.random() * 0.8
    return Plan(
        seed,
        SECONDS,
        sidecars,
        upstreams,
        rate_per_s=rng.choice((3.0, 6.0, 10.0)),
        service_ms=rng.choice((5.0, 20.0, 60.0)),
        classes=classes,
        troubles=sorted(troubles, key=lambda trouble: trouble.at_s),
        max_attempts=rng.choice((2, 3, 4)),
        second_copies=rng.random() < 0.7,
        dial_timeout_ms=rng.choice((200, 500, 1200)),
        memory_ms=rng.choice((700, 2000, 5000)),
        mode=rng.choice(("pushed", "pushed", "on_request")),
    )


def _shuffled_kinds(rng: random.Random) -> list[Kind]:
    kinds = list(ALL)
    rng.shuffle(kinds)
    return kinds


def _trouble(rng: random.Random, kind: Kind, at_s: float, sidecars: int, upstreams: int) -> Trouble:
    for_s = 0.3 + rng.random() * 1.5
    if kind in OF_UPSTREAMS:
        some = rng.sample(range(upstreams), rng.randint(1, max(1, upstreams // 2)))
    else:
        some = rng.sample(range(sidecars), rng.randint(1, sidecars))
    more: dict[str, Any] = {}
    if kind == "hold_up":
        for_s = 0.05 + rng.random() * 0.25
    elif kind in ("restart", "kill"):
        some = some[: max(1, sidecars // 3)]
        for_s = 4.0
    elif kind == "wall_clock":
        more["value"] = rng.choice((-1, 1)) * rng.choice((3.0, 30.0, 3600.0))
    elif kind == "syscalls":
        call = rng.choice(SERVICE_CALLS)
        errors = [e for e in DOCUMENTED[call] if e not in ENDS_CONNECTIONS or call in (Call.ACCEPT, Call.CONNECT)]
        more |= {"call": int(call), "error": rng.choice(errors), "value": rng.choice((0.0, 0.3, 1.0))}
    elif kind in ("errors", "turn_away", "garbage", "reset"):
        more["value"] = 0.3 + rng.random() * 0.7
    return Trouble(kind, round(at_s, 3), round(for_s, 3), sorted(some), **more)


def settings(plan: Plan) -> dict[str, Any]:
    """The settings of all sidecars, by the names of the protocol's page; times in microseconds."""
    return {
        "accounts": [],
        "areas": ["a", "b"],
        "granularity": 1000,
        "instances": plan.sidecars,
        "locality": 0,
        "kinds": ["m"],
        "registry-mode": plan.mode,
        "report": {"how": "none", "names": []},
        "weights": "none",
        "bounds": {
            "cancel": True,
            "conn-idle": 3_000_000,
            "dial-timeout": plan.dial_timeout_ms * 1000,
            "max-retry-after": 1_000_000,
            "most-tries": plan.max_attempts,
            "probes": False,
            "retry-after": True,
            "second-copies": plan.second_copies,
        },
        "invariants": {
            "ask-within": 10_000_000,
            "cold-share": 0.13,
            "drain-grace": 1_000_000,
            "fall": 3_000_000,
            "overload-factor": 3.0,
            "warm-up": 10_000_000,
        },
        "request-classes": [
            {
                "name": c.name,
                "aim": c.deadline_ms * 500,
                "deadline": c.deadline_ms * 1000,
                "effect": c.effect,
                "group": c.group,
                "late-worth": 0.5,
                "memory-span": plan.memory_ms * 1000,
                "worth": 1.0,
            }
            for c in plan.classes
        ],
    }
