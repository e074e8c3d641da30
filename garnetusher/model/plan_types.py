"""Data types for the plan of a run, which states what each node does and when. The lab and the model share them.

All times are in microseconds from the start of the run.
"""

from __future__ import annotations

from msgspec import Struct, field

DISCOVERY_NODE = "directory"  # the discovery service's name in lists of nodes
LONG_AGO = -1  # the start time of an upstream whose list entry states none; the upstream counts as warm


class Step(Struct):
    """A planned event of one node. Some kinds of events use `value` as a factor or a share."""

    at_us: int
    what: str
    value: float = 0.0


class UpstreamPlan(Struct):
    """An upstream and its steps.

    The steps are boot, die, hang, resume, refuse, accept, slow, errors, reset, and vanish (the process ends while its
    links are cut).
    """

    uid: str
    zone: str
    speed: float  # the speed of each core, relative to a standard core
    from_us: int = 0  # the upstream's start; 0: before the run, so the upstream is warm
    steps: list[Step] = field(default_factory=list)


class SidecarPlan(Struct):
    """A sidecar, its clients' request rate, and its steps: kill, start, restart, stop (SIGSTOP), cont (SIGCONT)."""

    name: str
    zone: str
    rate_per_s: float
    steps: list[Step] = field(default_factory=list)


class LinkStep(Struct):
    """A change of the links between some upstreams (or the discovery service) and some sidecars."""

    at_us: int
    what: str  # cut, mend, loss
    parties: list[str]  # upstreams, or DISCOVERY_NODE
    sidecars: list[str]
    to_sidecar: bool = True  # whether the change affects the direction to the sidecars
    to_party: bool = True  # whether the change affects the direction from the sidecars
    value: float = 0.0


class ListStep(Struct):
    """A change of an upstream's entry in the endpoint list."""

    at_us: int
    uid: str
    zone: str
    state: str  # active, leaving, left
    started_us: int = LONG_AGO  # the start of the upstream's process


class Burst(Struct):
    """An interval in which some traffic is a multiple of its usual rate."""

    at_us: int
    until_us: int
    times: float
    tenant: str | None  # None: every tenant
    sidecars: list[str]  # the sidecars whose traffic changes


class Span(Struct):
    """A fault, with its interval and nodes, for the report, the checker and the figures."""

    what: str  # the kind of the fault
    label: str  # the text in the report
    at_us: int
    until_us: int
    parties: list[str]  # the affected nodes: upstreams, sidecars, or DISCOVERY_NODE


class Plan(Struct):
    """All planned events of a run."""

    seed: int
    seconds: float
    upstreams: list[UpstreamPlan]
    sidecars: list[SidecarPlan]
    links: list[LinkStep]
    listed: list[ListStep]
    bursts: list[Burst]
    spans: list[Span]

    @property
    def fault_interval_us(self) -> tuple[int, int] | None:
        """The first fault's start and the last fault's end; None without faults."""
        if not self.spans:
            return None
        return min(span.at_us for span in self.spans), max(span.until_us for span in self.spans)


def microseconds(seconds: float) -> int:
    """Return seconds as microseconds."""
    return round(seconds * 1_000_000)
