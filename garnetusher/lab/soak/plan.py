"""Plans of soak runs: the processes, the load, and the faults with their times.

A plan is drawn from a seed, or read from a file in which it was saved.
"""

from __future__ import annotations

import enum
import errno
import random
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct, field

from garnetusher.lab.syscall_faults import DOCUMENTED_ERRORS, Call

LOAD_S = 12.0
QUIET_START_S = 1.0  # no fault begins in the first QUIET_START_S of the load
QUIET_END_S = 2.5  # no group of faults begins in the last QUIET_END_S of the load
BEFORE_START_S = -1.0  # a fault with this time is in force before the processes start
FAULTS_IN_GROUP = 3
GROUP_SPREAD_S = 0.6  # the faults of one group begin within this time of each other
OVERLAP_MARGIN_S = 1.0  # two faults still overlap if the second begins up to this long after the end of the first
# The planned duration of a restart or kill, which decides only what it overlaps with; the injector waits until the new
# process is ready.
RESTART_DURATION_S = 4.0
UPSTREAMS_PER_CELL = 2
ZONES = "ab"  # the cells are assigned to the zones in turn
DEADLINES_MS = (300, 500, 1000, 1500, 2500)
COLD_SHARE = 0.13  # the fraction of its capacity that an upstream has when it starts
WARM_UP_S = 10.0  # the time from the start of an upstream until it has its full capacity
OVERLOAD_FACTOR = 3.0  # the load that overloads a starting upstream, as a multiple of its current capacity
OVERLOAD_WINDOW_S = 3.0  # a starting upstream must not be overloaded on average over this time


class FaultKind(enum.StrEnum):
    """The kinds of faults; the values are stored in saved plans and in summary.json."""

    PAUSE = "hold_up"  # the process is stopped by SIGSTOP and continued
    RESTART = "restart"  # the process is ended by SIGTERM and started again
    KILL = "kill"  # the process is ended by SIGKILL and started again
    RELOAD = "reload"  # discovery gets a new address, and the process receives SIGHUP
    RELOAD_BURST = "reload_burst"  # several reloads shortly after one another
    TRUNCATED_FILE = "half_file"  # SIGHUP while the configuration file is truncated; none when it is complete again
    WALL_CLOCK = "wall_clock"
    SYSCALLS = "syscalls"  # a system call fails
    DRAIN = "drain"  # the upstream drains, is removed from the list, restarts and is listed again
    COLD_START = "cold_start"  # DRAIN, but the upstream is removed without a drain
    HANG = "hang"  # no response to requests that arrive meanwhile
    RESET = "reset"  # a share of the upstream's connections is reset once
    ERRORS = "errors"  # responses with status 500
    REJECT = "turn_away"  # responses with status 503 which state that the request was not run
    SILENT = "silent"  # HANG, and no response to earlier requests that become due meanwhile
    SUSPENDED_ACCEPT = "late"  # the upstream does not accept connections, and its backlog is full
    GARBAGE = "garbage"  # malformed responses
    IDLE_CLOSE = "idle_close"  # idle connections are closed early
    OUTAGE = "outage"  # discovery does not respond
    WATCH_RESET = "watch_reset"  # all watches are reset once
    WATCH_SILENT = "watch_silent"  # the current watches stay open but receive nothing more
    DISCONNECTS = "leavers"  # clients disconnect before the response
    TRUNCATED_REQUESTS = "half_requests"  # clients disconnect within their requests
    MALFORMED = "strangers"  # connections without a valid request
    SLOW_WRITERS = "slow_writers"  # clients write requests in pieces
    PIPELINES = "pipelines"  # clients send a second request before the first response
    LONG_BODIES = "long_bodies"
    SECOND_RESPONSES = "second_responses"  # a second copy of a response follows it within milliseconds
    FREEZE = "freeze"  # the upstream reads nothing, as if its process were stopped
    CLOSING_CLIENTS = "closing_clients"  # clients send `Connection: close` with a body
    LARGE_BODIES = "large_bodies"  # bodies of megabytes
    CROWD = "crowd"  # a third of the descriptors is held by clients that make the sidecar hold memory
    FLOOD = "flood"  # one client sends costly or useless bytes at full speed
    LATE_BODIES = "late_bodies"  # responses whose head comes at once and whose long body comes late
    REPEATED_IDS = "repeated_ids"  # clients disconnect and send the same request again
    LIST_STYLES = "list_styles"  # long endpoint lists in layouts and parts of all kinds, and several in a row
    TAKEOVER = "takeover"  # a second process is started on the same listening socket, and then the first one is ended
    SIGNAL_SERIES = "signal_series"  # RESTART by SIGTERM, SIGHUP and SIGTERM in a row
    DRAIN_RESTART = "drain_restart"  # RESTART while an operator drains the process
    DRAIN_CANCELLED = "drain_cancelled"  # an operator drains the process and ends the drain
    LONG_RESPONSES = "long_responses"  # responses that begin at once and take seconds
    SLOW_HEADS = "slow_heads"  # clients pause for up to two seconds within the head of a request


# The plan that is drawn for a seed depends on the order of the kinds.
SIDECAR_FAULTS = (
    FaultKind.PAUSE,
    FaultKind.RESTART,
    FaultKind.KILL,
    FaultKind.RELOAD,
    FaultKind.RELOAD_BURST,
    FaultKind.TRUNCATED_FILE,
    FaultKind.WALL_CLOCK,
    FaultKind.SYSCALLS,
)
UPSTREAM_FAULTS = (
    FaultKind.DRAIN,
    FaultKind.COLD_START,
    FaultKind.HANG,
    FaultKind.RESET,
    FaultKind.ERRORS,
    FaultKind.REJECT,
    FaultKind.SILENT,
    FaultKind.SUSPENDED_ACCEPT,
    FaultKind.GARBAGE,
    FaultKind.IDLE_CLOSE,
)
DISCOVERY_FAULTS = (FaultKind.OUTAGE, FaultKind.WATCH_RESET, FaultKind.WATCH_SILENT)
CLIENT_FAULTS = (
    FaultKind.DISCONNECTS,
    FaultKind.TRUNCATED_REQUESTS,
    FaultKind.MALFORMED,
    FaultKind.SLOW_WRITERS,
    FaultKind.PIPELINES,
    FaultKind.LONG_BODIES,
)
# These kinds are drawn by `add_peer_faults` from a source of their own, so that `draw` keeps the plans of its seeds.
PEER_UPSTREAM_FAULTS = (FaultKind.SECOND_RESPONSES, FaultKind.FREEZE)
PEER_CLIENT_FAULTS = (FaultKind.CLOSING_CLIENTS, FaultKind.LARGE_BODIES)
PEER_FAULT_S = 4.0
PEER_FAULTS_START_S = 5.0  # peer faults begin before this time
SECOND_RESPONSE_SHARE = 0.1
# These kinds are drawn by `add_pressure`, together with a sidecar that is killed again and again under its crowd.
PRESSURE_UPSTREAM_FAULTS = (FaultKind.LATE_BODIES,)
PRESSURE_CLIENT_FAULTS = (FaultKind.CROWD, FaultKind.FLOOD, FaultKind.REPEATED_IDS)
PRESSURE_S = 6.0
PRESSURE_START_S = 3.0  # these faults begin before this time
PRESSURE_MEMORY_MB = 32  # the least memory of a deployment
PRESSURE_DESCRIPTORS = 1_024
PRESSURE_KILLS = 3
PRESSURE_KILL_GAP_S = 1.4
LATE_BODY_SHARE = 0.3
# This kind is drawn by `add_list_styles`.
LIST_STYLES_S = 4.0
LIST_STYLES_START_S = 5.0  # the styles change from before this time
ADDED_ENDPOINTS = 1_000
PRESSURE_ADDED_ENDPOINTS = 200  # at the least memory
# These kinds are drawn by `add_endings`. Each ending begins twice, the second time soon after the first one is over.
ENDING_FAULTS = (
    FaultKind.TAKEOVER,
    FaultKind.SIGNAL_SERIES,
    FaultKind.DRAIN_RESTART,
    FaultKind.DRAIN_CANCELLED,
)
ENDINGS_START_S = 4.0  # the first endings begin before this time
ENDING_GAP_S = 5.0  # the second endings begin this long after the first ones
ENDING_DURATION_S = 4.0
TAKEOVER_DIVISOR = 2  # this part of the sidecars is taken over
LONG_RESPONSE_SHARE = 0.5
ALL_FAULTS = SIDECAR_FAULTS + UPSTREAM_FAULTS + DISCOVERY_FAULTS + CLIENT_FAULTS

# Errors that end a connection by themselves. They are drawn only for the calls that make connections, since a read
# or write that fails with one of them on a client's connection would lose the requests on that connection.
CONNECTION_ENDING_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH)
CONNECTION_MAKING_CALLS = (Call.ACCEPT, Call.CONNECT)
# The calls that `_draw_syscall_error` chooses from.
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


class Fault(Struct, frozen=True):
    """One fault with its kind, time, targets and strength."""

    kind: FaultKind
    at_s: float
    duration_s: float = field(name="for_s")
    targets: list[int]  # the numbers of the sidecars or upstreams that the fault affects
    # The offset of the wall clock in seconds, the number of endpoints that lists have in addition, or the share of
    # responses, connections or calls that fail. If the kind is `syscalls`, 0 means that one call fails.
    value: float = 0.0
    call: int = 0  # the system call that fails, if the kind is `syscalls`
    error: int = 0  # the error of the system call, if the kind is `syscalls`; 0 stands for a short transfer


class RequestClass(Struct, frozen=True):
    """One class of requests."""

    name: str
    effect: Literal["idempotent", "deduplicated", "at_most_once"]
    deadline_ms: int
    group: Literal["all", "zone", "cell"] = "all"  # the upstreams that recognize a repeated request as a duplicate


class Plan(Struct, frozen=True):
    """The plan of one soak run."""

    seed: int
    load_s: float = field(name="seconds")
    sidecars: int
    upstreams: int
    rate_per_s: float  # the request rate of the clients of one sidecar
    service_ms: float  # the mean time for which an upstream processes a request
    classes: list[RequestClass]
    faults: list[Fault] = field(name="troubles")
    max_attempts: int = 3
    hedging: bool = field(name="second_copies", default=True)
    connect_timeout_ms: int = field(name="dial_timeout_ms", default=200)
    deduplication_window_ms: int = field(name="memory_ms", default=2000)
    mode: Literal["pushed", "on_request"] = "pushed"  # whether sidecars watch the endpoint list or poll it
    memory_mb: int = 96  # the limit on the memory of one sidecar
    descriptors: int = 512  # the limit on the descriptors of one sidecar
    broken_rules: list[str] = field(name="failed", default_factory=list)  # the rules that the saved plan broke

    def without_fault(self, removed: Fault) -> Plan:
        """Return the plan without one of its faults."""
        return msgspec.structs.replace(self, faults=[fault for fault in self.faults if fault is not removed])

    def overlapping_kinds(self) -> set[tuple[FaultKind, FaultKind]]:
        """Return the pairs of kinds for which the plan has two faults that overlap in time.

        A fault also overlaps with a fault that begins up to OVERLAP_MARGIN_S after its end.
        """
        return {
            (min(first.kind, second.kind), max(first.kind, second.kind))
            for first in self.faults
            for second in self.faults
            if first is not second and first.at_s <= second.at_s < first.at_s + first.duration_s + OVERLAP_MARGIN_S
        }


def cell_of(upstream: int) -> int:
    """Return the cell of an upstream."""
    return upstream // UPSTREAMS_PER_CELL


def zone_of(upstream: int) -> str:
    """Return the zone of an upstream."""
    return ZONES[cell_of(upstream) % len(ZONES)]


def is_repeatable_anywhere(request_class: RequestClass) -> bool:
    """Return whether a further attempt at any upstream has no additional effect."""
    if request_class.effect == "deduplicated":
        return request_class.group == "all"
    return request_class.effect == "idempotent"


def save(plan: Plan, path: Path) -> None:
    """Save a plan to a file, from which it can be replayed."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")


def load(path: Path) -> Plan:
    """Read a saved plan.

    Raises:
        msgspec.ValidationError: The file does not contain a plan.
        OSError: The file cannot be read.
    """
    return msgspec.json.decode(path.read_bytes(), type=Plan)


def draw(seed: int, sidecars: int = 10) -> Plan:
    """Return the plan of a seed; its faults are drawn in groups that overlap in time."""
    rng = random.Random(seed)
    upstreams = rng.randint(5, 8)
    classes = [
        RequestClass("read", "idempotent", rng.choice(DEADLINES_MS)),
        RequestClass("publish", "at_most_once", rng.choice(DEADLINES_MS)),
        RequestClass("mark", "deduplicated", rng.choice(DEADLINES_MS), rng.choice(("all", "zone", "cell"))),
    ]
    faults = _draw_faults(rng, sidecars, upstreams)
    return Plan(
        seed,
        LOAD_S,
        sidecars,
        upstreams,
        rate_per_s=rng.choice((3.0, 6.0, 10.0)),
        service_ms=rng.choice((5.0, 20.0, 60.0)),
        classes=classes,
        faults=sorted(faults, key=lambda fault: fault.at_s),
        max_attempts=rng.choice((2, 3, 4)),
        hedging=rng.random() < 0.7,
        connect_timeout_ms=rng.choice((200, 500, 1200)),
        deduplication_window_ms=rng.choice((700, 2000, 5000)),
        mode=rng.choice(("pushed", "pushed", "on_request")),
    )


def add_peer_faults(plan: Plan) -> Plan:
    """Return the plan with one more fault of each kind in which peers misbehave over several seconds."""
    rng = random.Random(f"{plan.seed}-peers")
    faults = list(plan.faults)
    for kind in PEER_UPSTREAM_FAULTS + PEER_CLIENT_FAULTS:
        at_s = round(QUIET_START_S + rng.random() * (PEER_FAULTS_START_S - QUIET_START_S), 3)
        if kind is FaultKind.FREEZE:
            targets = [rng.randrange(plan.upstreams)]
        else:
            targets = list(range(plan.upstreams if kind in PEER_UPSTREAM_FAULTS else plan.sidecars))
        share = SECOND_RESPONSE_SHARE if kind is FaultKind.SECOND_RESPONSES else 0.0
        faults.append(Fault(kind, at_s, PEER_FAULT_S, targets, share))
    return msgspec.structs.replace(plan, faults=sorted(faults, key=lambda fault: fault.at_s))


def add_pressure(plan: Plan) -> Plan:
    """Return the plan at the least memory, with crowds, floods, late bodies, repeated ids and a series of kills.

    One sidecar has the crowd and is killed under it; the other faults affect all sidecars.
    """
    rng = random.Random(f"{plan.seed}-pressure")
    crowded = rng.randrange(plan.sidecars)
    faults = list(plan.faults)
    for kind in PRESSURE_UPSTREAM_FAULTS + PRESSURE_CLIENT_FAULTS:
        at_s = round(QUIET_START_S + rng.random() * (PRESSURE_START_S - QUIET_START_S), 3)
        if kind is FaultKind.CROWD:
            targets = [crowded]
        else:
            targets = list(range(plan.upstreams if kind in PRESSURE_UPSTREAM_FAULTS else plan.sidecars))
        share = LATE_BODY_SHARE if kind is FaultKind.LATE_BODIES else 0.0
        faults.append(Fault(kind, at_s, PRESSURE_S, targets, share))
    kills_at_s = PRESSURE_START_S + rng.random()
    for number in range(PRESSURE_KILLS):
        at_s = round(kills_at_s + number * PRESSURE_KILL_GAP_S, 3)
        faults.append(Fault(FaultKind.KILL, at_s, PRESSURE_KILL_GAP_S, [crowded]))
    return msgspec.structs.replace(
        plan,
        faults=sorted(faults, key=lambda fault: fault.at_s),
        memory_mb=PRESSURE_MEMORY_MB,
        descriptors=PRESSURE_DESCRIPTORS,
    )


def add_list_styles(plan: Plan) -> Plan:
    """Return the plan with discovery agents that write long lists in all ways that the protocol allows."""
    rng = random.Random(f"{plan.seed}-lists")
    at_s = round(QUIET_START_S + rng.random() * (LIST_STYLES_START_S - QUIET_START_S), 3)
    targets = sorted(rng.sample(range(plan.sidecars), max(1, plan.sidecars // 2)))
    is_under_pressure = plan.memory_mb <= PRESSURE_MEMORY_MB
    added = PRESSURE_ADDED_ENDPOINTS if is_under_pressure else ADDED_ENDPOINTS
    fault = Fault(FaultKind.LIST_STYLES, at_s, LIST_STYLES_S, targets, added)
    return msgspec.structs.replace(plan, faults=sorted([*plan.faults, fault], key=lambda each: each.at_s))


def add_endings(plan: Plan) -> Plan:
    """Return the plan with long responses and slow heads while processes end in all ways.

    A sidecar that is taken over is neither killed nor restarted otherwise: clients would wait at its listening socket.
    """
    rng = random.Random(f"{plan.seed}-endings")
    crowded = {number for fault in plan.faults if fault.kind is FaultKind.CROWD for number in fault.targets}
    numbers = [number for number in range(plan.sidecars) if number not in crowded]
    rng.shuffle(numbers)
    taken_over = sorted(numbers[: max(1, plan.sidecars // TAKEOVER_DIVISOR)])
    others = numbers[len(taken_over) :]
    endings = [(FaultKind.TAKEOVER, number) for number in taken_over]
    endings += zip(ENDING_FAULTS[1:], others, strict=False)
    faults = [_without_targets(fault, taken_over) for fault in plan.faults]
    for kind, number in endings:
        at_s = QUIET_START_S + rng.random() * (ENDINGS_START_S - QUIET_START_S)
        for begins_s in (at_s, at_s + ENDING_GAP_S):
            faults.append(Fault(kind, round(begins_s, 3), ENDING_DURATION_S, [number]))
    duration_s = plan.load_s - QUIET_START_S
    faults.append(
        Fault(
            FaultKind.LONG_RESPONSES, QUIET_START_S, duration_s, list(range(plan.upstreams)), value=LONG_RESPONSE_SHARE
        )
    )
    faults.append(Fault(FaultKind.SLOW_HEADS, QUIET_START_S, duration_s, list(range(plan.sidecars))))
    return msgspec.structs.replace(plan, faults=sorted(faults, key=lambda fault: fault.at_s))


def _without_targets(fault: Fault, taken_over: list[int]) -> Fault:
    """Return a fault without the kills and restarts of sidecars that are taken over."""
    if fault.kind not in (FaultKind.RESTART, FaultKind.KILL):
        return fault
    return msgspec.structs.replace(fault, targets=[number for number in fault.targets if number not in taken_over])


def _draw_faults(rng: random.Random, sidecars: int, upstreams: int) -> list[Fault]:
    """Return groups of faults; each kind is drawn once before any kind is drawn again."""
    faults: list[Fault] = []
    group_at_s = QUIET_START_S + rng.random()
    kinds = list(ALL_FAULTS)
    rng.shuffle(kinds)
    while group_at_s < LOAD_S - QUIET_END_S:
        for _ in range(FAULTS_IN_GROUP):
            kind = kinds.pop() if kinds else rng.choice(ALL_FAULTS)
            at_s = group_at_s + rng.random() * GROUP_SPREAD_S
            faults.append(_draw_fault(rng, kind, at_s, sidecars, upstreams))
        group_at_s += 0.8 + rng.random() * 0.8
    return faults


def _draw_fault(rng: random.Random, kind: FaultKind, at_s: float, sidecars: int, upstreams: int) -> Fault:
    duration_s = 0.3 + rng.random() * 1.5
    if kind in UPSTREAM_FAULTS:
        targets = rng.sample(range(upstreams), rng.randint(1, max(1, upstreams // 2)))
    else:
        targets = rng.sample(range(sidecars), rng.randint(1, sidecars))
    strength: dict[str, Any] = {}
    if kind == FaultKind.PAUSE:
        duration_s = 0.05 + rng.random() * 0.25
    elif kind in (FaultKind.RESTART, FaultKind.KILL):
        targets = targets[: max(1, sidecars // 3)]
        duration_s = RESTART_DURATION_S
    elif kind == FaultKind.WALL_CLOCK:
        strength["value"] = rng.choice((-1, 1)) * rng.choice((3.0, 30.0, 3600.0))
    elif kind == FaultKind.SYSCALLS:
        strength = _draw_syscall_error(rng)
    elif kind in (FaultKind.ERRORS, FaultKind.REJECT, FaultKind.GARBAGE, FaultKind.RESET):
        strength["value"] = 0.3 + rng.random() * 0.7
    return Fault(kind, round(at_s, 3), round(duration_s, 3), sorted(targets), **strength)


def _draw_syscall_error(rng: random.Random) -> dict[str, Any]:
    call = rng.choice(SERVICE_CALLS)
    errors = [
        error
        for error in DOCUMENTED_ERRORS[call]
        if error not in CONNECTION_ENDING_ERRORS or call in CONNECTION_MAKING_CALLS
    ]
    return {"call": int(call), "error": rng.choice(errors), "value": rng.choice((0.0, 0.3, 1.0))}


def sidecar_settings(plan: Plan) -> dict[str, Any]:
    """Return the settings of all sidecars under the keys of the protocol; times are in microseconds."""
    return {
        "accounts": [],
        "areas": list(ZONES),
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
            "dial-timeout": plan.connect_timeout_ms * 1000,
            "max-retry-after": 1_000_000,
            "most-tries": plan.max_attempts,
            "probes": False,
            "retry-after": True,
            "second-copies": plan.hedging,
        },
        "invariants": {
            "ask-within": 10_000_000,
            "cold-share": COLD_SHARE,
            "drain-grace": 1_000_000,
            "fall": int(OVERLOAD_WINDOW_S * 1e6),
            "overload-factor": OVERLOAD_FACTOR,
            "warm-up": int(WARM_UP_S * 1e6),
        },
        "request-classes": [_class_settings(request_class, plan) for request_class in plan.classes],
    }


def _class_settings(request_class: RequestClass, plan: Plan) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim": request_class.deadline_ms * 500,  # half the deadline
        "deadline": request_class.deadline_ms * 1000,
        "effect": request_class.effect,
        "group": request_class.group,
        "late-worth": 0.5,
        "memory-span": plan.deduplication_window_ms * 1000,
        "worth": 1.0,
    }
