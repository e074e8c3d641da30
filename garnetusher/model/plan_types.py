"""What each node of a run does when: plain data, the same for the lab and the model.

All times are microseconds from the start of the run.
"""

from __future__ import annotations

from msgspec import Struct, field

DIRECTORY = "directory"  # the name of the discovery service among the nodes
LONG_AGO = -1  # a start of which the endpoint list says nothing


class Step(Struct):
    """Something that happens to one node by itself. `value` is a factor or a share, where `what` has one."""

    at_us: int
    what: str
    value: float = 0.0


class UpstreamPlan(Struct):
    """An upstream and what happens to it: boot, die, hang, resume, refuse, accept, slow, errors, reset, vanish."""

    uid: str
    zone: str
    speed: float  # of each core, beside a standard one
    from_us: int = 0  # 0: it runs before the run begins, and is warmed up
    steps: list[Step] = field(default_factory=list)


class SidecarPlan(Struct):
    """A sidecar, its clients' request rate, and what happens to it: kill, start, restart, stop, cont."""

    name: str
    zone: str
    rate_per_s: float
    steps: list[Step] = field(default_factory=list)


class LinkStep(Struct):
    """A change of the links between these upstreams (or the discovery service) and these sidecars."""

    at_us: int
    what: str  # cut, mend, loss
    parties: list[str]  # upstreams, or DIRECTORY
    sidecars: list[str]
    to_sidecar: bool = True  # whether it affects what goes to the sidecars
    to_party: bool = True  # whether it affects what goes from them
    value: float = 0.0


class ListStep(Struct):
    """What the endpoint list says of an upstream from some moment on."""

    at_us: int
    uid: str
    zone: str
    state: str  # active, leaving, left
    started_us: int = LONG_AGO


class Burst(Struct):
    """A span of time in which some traffic is a multiple of what it usually is."""

    at_us: int
    until_us: int
    times: float
    tenant: str | None  # None: every tenant
    sidecars: list[str]  # whose traffic it is


class Span(Struct):
    """A fault as the report shows it."""

    what: str
    label: str
    at_us: int
    until_us: int
    parties: list[str]


class Plan(Struct):
    """Everything that happens in a run by itself."""

    seed: int
    seconds: float
    upstreams: list[UpstreamPlan]
    sidecars: list[SidecarPlan]
    links: list[LinkStep]
    listed: list[ListStep]
    bursts: list[Burst]
    spans: list[Span]

    @property
    def faulty_us(self) -> tuple[int, int] | None:
        """From the first fault's start to the last one's end; None without faults."""
        if not self.spans:
            return None
        return min(span.at_us for span in self.spans), max(span.until_us for span in self.spans)


def us(seconds: float) -> int:
    """Return seconds as microseconds."""
    return round(seconds * 1_000_000)
