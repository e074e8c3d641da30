"""From an experiment and a seed to what each party does when: the same plan for the lab and the model.

All times are microseconds from the start of the play. Everything that a fault brings about by itself (who dies, who
is told what by the list) is worked out here, before anything runs, so that a play can be told again from its seed.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec
import numpy as np
from msgspec import Struct, field

from garnetusher.model import draw
from garnetusher.model.experiment import Experiment, Fault, Place, sidecar_names, upstream_names

DIRECTORY = "directory"  # the name of the list service among the parties
DRAWN_AHEAD = 256  # arrivals drawn in one go
LONG_AGO = -1  # a start of which the list says nothing


class Step(Struct):
    """Something that happens to one party by itself. `value` is a factor or a share, where `what` has one."""

    at_us: int
    what: str
    value: float = 0.0


class UpstreamPlan(Struct):
    uid: str
    zone: str
    speed: float  # of each core, beside a standard one
    from_us: int = 0  # 0: it runs before the play begins, and is warm
    steps: list[Step] = field(default_factory=list)  # boot, die, hang, resume, refuse, accept, slow, errors, reset


class SidecarPlan(Struct):
    name: str
    zone: str
    rate_per_s: float
    steps: list[Step] = field(default_factory=list)  # kill, start, restart, stop, cont


class LinkStep(Struct):
    """A change of the links between these upstreams (or the directory) and these sidecars."""

    at_us: int
    what: str  # cut, mend, loss
    parties: list[str]  # uids, or DIRECTORY
    sidecars: list[str]
    to_sidecar: bool = True  # the direction from the party to the sidecar is meant
    to_party: bool = True
    value: float = 0.0


class ListStep(Struct):
    """What the list says of an upstream from some moment on."""

    at_us: int
    uid: str
    zone: str
    state: str  # active, leaving, left
    started_us: int = LONG_AGO


class Burst(Struct):
    at_us: int
    until_us: int
    times: float
    tenant: str | None
    sidecars: list[str]  # whose traffic it is


class Span(Struct):
    """A fault as the report shows it."""

    what: str
    label: str
    at_us: int
    until_us: int
    parties: list[str]


class Plan(Struct):
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
        return min(s.at_us for s in self.spans), max(s.until_us for s in self.spans)


def make(experiment: Experiment, seed: int) -> Plan:
    """The plan of one play."""
    return _Planner(experiment, seed).plan


def us(seconds: float) -> int:
    return round(seconds * 1_000_000)


class _Planner:
    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.experiment, self.seed = experiment, seed
        self.plan = Plan(seed, experiment.seconds, self._upstreams(), self._sidecars(), [], [], [], [])
        self.upstreams = {u.uid: u for u in self.plan.upstreams}
        self.sidecars = {s.name: s for s in self.plan.sidecars}
        for number, fault in enumerate(experiment.faults):
            self._play(number, fault)
        self._late_lists()
        self.plan.listed.sort(key=lambda step: (step.at_us, step.uid))
        self.plan.links.sort(key=lambda step: step.at_us)
        for steps in (*(u.steps for u in self.plan.upstreams), *(s.steps for s in self.plan.sidecars)):
            steps.sort(key=lambda step: step.at_us)

    def _upstreams(self) -> list[UpstreamPlan]:
        spread = self.experiment.upstreams.speed_spread
        return [
            UpstreamPlan(uid, uid[2:].rpartition("-")[0], 1 + spread * (2 * draw.uniform(self.seed, "speed", uid) - 1))
            for uid in upstream_names(self.experiment)
        ]

    def _sidecars(self) -> list[SidecarPlan]:
        e = self.experiment
        names = sidecar_names(e)
        zone_of = {name: name.rpartition("-")[0] for name in names}
        cv = e.sidecars.spread
        shape = 1 / cv**2 if cv else 0.0
        weights = {name: float(draw.stream(self.seed, "traffic", name).gamma(shape)) if cv else 1.0 for name in names}
        parts = e.load.zones or {zone: float(e.sidecars.per_zone.get(zone, 0)) for zone in e.topology.zones}
        parts = {zone: part for zone, part in parts.items() if e.sidecars.per_zone.get(zone, 0)}
        whole = sum(parts.values())
        plans = []
        for name in names:
            zone = zone_of[name]
            in_zone = sum(weight for other, weight in weights.items() if zone_of[other] == zone)
            rate = e.load.requests_per_s * parts.get(zone, 0.0) / whole * weights[name] / in_zone
            plans.append(SidecarPlan(name, zone, rate))
        return plans

    # Places

    def _of_zone(self, place: Place, zone: str) -> bool:
        return (place.zone is None or place.zone == zone) and (
            place.region is None or self.experiment.topology.region_of(zone) == place.region
        )

    def _part(self, number: int, place: Place, names: list[str]) -> list[str]:
        if place.part is None:
            return names
        count = math.ceil(place.part * len(names) - 1e-9)
        order = draw.stream(self.seed, "part", number).permutation(len(names))
        return sorted((names[i] for i in order[:count]), key=names.index)

    def _upstreams_in(self, number: int, place: Place) -> list[str]:
        if place.upstream is not None:
            return [place.upstream]
        if place.sidecar is not None or place.directory or place.of == "sidecars":
            return []
        first = [u.uid for u in self.plan.upstreams if u.from_us == 0 and self._of_zone(place, u.zone)]
        return self._part(number, place, first)

    def _sidecars_in(self, number: int, place: Place) -> list[str]:
        if place.sidecar is not None:
            return [place.sidecar]
        if place.upstream is not None or place.directory or place.of != "sidecars":
            return []
        return self._part(number, place, [s.name for s in self.plan.sidecars if self._of_zone(place, s.zone)])

    # Faults

    def _play(self, number: int, fault: Fault) -> None:
        at, end = us(fault.at_s), us(self.plan.seconds)
        until = min(end, at + us(fault.for_s)) if fault.for_s is not None else end
        uids, names = self._upstreams_in(number, fault.where), self._sidecars_in(number, fault.where)
        if fault.what == "burst":
            uids = []
        parties = [*uids, *names, *([DIRECTORY] if fault.where.directory else [])]
        where = ", ".join(
            f"{key} {value}"
            for key, value in (
                ("zone", fault.where.zone),
                ("region", fault.where.region),
                ("part", fault.where.part),
                ("tenant", fault.tenant),
            )
            if value is not None
        ) or ", ".join(parties[:3])
        self.plan.spans.append(Span(fault.what, f"{fault.what} {where}".strip(), at, until, parties))
        if fault.what == "burst":
            assert fault.times is not None
            asking = self._sidecars_in(number, msgspec.structs.replace(fault.where, of="sidecars"))
            self.plan.bursts.append(Burst(at, until, fault.times, fault.tenant, asking))
        elif fault.what == "restart":
            self._replace(number, uids, at, until, fault)
            self._restart(names, at, until)
        elif fault.what in ("silent", "cut", "loss"):
            self._links(fault, number, uids, names, at, until)
        elif fault.what == "list_lies":
            assert fault.share is not None
            liars = self._part(number, Place(part=fault.share), uids or [u.uid for u in self.plan.upstreams])
            for uid in liars:
                self._list(at, uid, "left")
                self._list(until, uid, "active")
        elif fault.what != "list_late":
            for name in names:
                self._to_sidecar(self.sidecars[name], fault.what, at, until, end)
            for uid in uids:
                self._to_upstream(self.upstreams[uid], fault, at, until, end)

    def _to_sidecar(self, sidecar: SidecarPlan, what: str, at: int, until: int, end: int) -> None:
        sidecar.steps.append(Step(at, what))
        if until < end:
            sidecar.steps.append(Step(until, "start" if what == "kill" else "cont"))

    def _to_upstream(self, upstream: UpstreamPlan, fault: Fault, at: int, until: int, end: int) -> None:
        notice = us(self.experiment.directory.notice_s)
        value = fault.times if fault.what == "slow" else fault.share
        start, back = {"kill": ("die", "boot"), "stop": ("hang", "resume"), "refuse": ("refuse", "accept")}.get(
            fault.what, (fault.what, fault.what)
        )
        upstream.steps.append(Step(at, start, value or 0.0))
        if until < end:
            upstream.steps.append(Step(until, back, 1.0 if fault.what == "slow" else 0.0))
        if fault.what == "kill":
            self._gone_and_back(upstream, at, until, end, notice)

    def _gone_and_back(self, upstream: UpstreamPlan, at: int, until: int, end: int, notice: int) -> None:
        """The list learns of an end only if that lasts as long as the notice takes."""
        if at + notice < until:
            self._list(at + notice, upstream.uid, "left")
        if until < end:
            self._list(until + us(self.experiment.directory.add_s), upstream.uid, "active", until)

    def _links(self, fault: Fault, number: int, uids: list[str], names: list[str], at: int, until: int) -> None:
        everybody = [s.name for s in self.plan.sidecars]
        all_parties = [*(u.uid for u in self.plan.upstreams), DIRECTORY]
        near_parties = [*uids, *([DIRECTORY] if fault.where.directory else [])]
        # each way: the parties whose links are meant, the sidecars at their other end
        pairs: list[tuple[list[str], list[str]]] = []
        if fault.to is None:
            if near_parties:
                pairs.append((near_parties, everybody))
            if names:
                pairs.append((all_parties, names))
            from_party = True
        else:
            far_names, far_uids = self._sidecars_in(number, fault.to), self._upstreams_in(number, fault.to)
            far_parties = [*far_uids, *([DIRECTORY] if fault.to.directory else [])]
            pairs = [(near_parties, far_names), (far_parties, names)]
            from_party = bool(near_parties and far_names)
        both = not fault.one_way
        begin, finish = ("loss", "loss") if fault.what == "loss" else ("cut", "mend")
        for parties, sidecars in pairs:
            if parties and sidecars:
                for when, what, value in ((at, begin, fault.share or 0.0), (until, finish, 0.0)):
                    self.plan.links.append(
                        LinkStep(when, what, parties, sidecars, both or from_party, both or not from_party, value)
                    )
        if fault.what == "silent":
            end, notice = us(self.plan.seconds), us(self.experiment.directory.silent_notice_s)
            for uid in uids:
                upstream = self.upstreams[uid]
                if fault.returns == "cold" and until < end:
                    # a lost machine starts anew, a little before its network is there again
                    # after the cut, or its end would be told: connections would be reset, new ones refused
                    upstream.steps += [Step(at + 1, "vanish"), Step(until, "boot")]
                    self._gone_and_back(upstream, at, until, end, notice)
                elif at + notice < until:
                    self._list(at + notice, uid, "left")
                    if until < end:
                        self._list(until + us(self.experiment.directory.add_s), uid, "active")

    def _replace(self, number: int, uids: list[str], at: int, until: int, fault: Fault) -> None:
        """Successors take the places of upstreams in batches; each starts cold as its predecessor is told to go."""
        d = self.experiment.directory
        batches = _batches(uids, math.ceil(fault.batch * len(self.plan.upstreams)) if uids else 1)
        for place, batch in enumerate(batches):
            begin = at + (until - at) * place // len(batches)
            for uid in batch:
                old = self.upstreams[uid]
                heir = UpstreamPlan(
                    f"{uid}-next-{number}",
                    old.zone,
                    1
                    + self.experiment.upstreams.speed_spread * (2 * draw.uniform(self.seed, "speed", uid, number) - 1),
                    begin,
                )
                heir.steps.append(Step(begin, "boot"))
                self.plan.upstreams.append(heir)
                self.upstreams[heir.uid] = heir
                self._list(begin + us(d.add_s), heir.uid, "active", begin)
                self._list(begin + us(d.add_s), uid, "leaving")
                ended = begin + us(d.add_s + fault.drain_s)
                old.steps.append(Step(ended, "die"))
                self._list(ended + us(d.notice_s), uid, "left")

    def _restart(self, names: list[str], at: int, until: int) -> None:
        for place, name in enumerate(names):
            self.sidecars[name].steps.append(Step(at + (until - at) * place // len(names), "restart"))

    # The list

    def _list(self, at_us: int, uid: str, state: str, started_us: int = LONG_AGO) -> None:
        self.plan.listed.append(ListStep(at_us, uid, self.upstreams[uid].zone, state, started_us))

    def _late_lists(self) -> None:
        for fault in self.experiment.faults:
            if fault.what != "list_late":
                continue
            at, by = us(fault.at_s), us(fault.by_s or 0.0)
            until = at + us(fault.for_s) if fault.for_s is not None else us(self.plan.seconds)
            for step in self.plan.listed:
                if at <= step.at_us < until:
                    step.at_us += by


def _batches(names: list[str], size: int) -> list[list[str]]:
    return [names[i : i + size] for i in range(0, len(names), size)]


def arrivals(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> Iterator[tuple[int, int, int]]:
    """When a sidecar's clients ask: (microseconds, class, tenant) in order; a Poisson stream, thinned to its bursts.

    Tenants beyond their usual rate in a burst take their own arrivals up, and no others'."""
    rng = draw.stream(plan.seed, "arrivals", sidecar.name)
    kinds = np.cumsum([c.share for c in experiment.classes])
    tenants = np.cumsum([t.share for t in experiment.tenants] or [1.0])
    bursts = [b for b in plan.bursts if sidecar.name in b.sidecars]
    most = max([1.0, *(b.times for b in bursts)])
    end, at = us(plan.seconds), 0.0
    peak = sidecar.rate_per_s * most
    if peak <= 0:
        return
    while True:
        draws = rng.random((DRAWN_AHEAD, 3))
        gaps = rng.exponential(1_000_000 / peak, DRAWN_AHEAD)
        classes_of = np.searchsorted(kinds, draws[:, 0] * kinds[-1], side="right")
        tenants_of = np.searchsorted(tenants, draws[:, 1] * tenants[-1], side="right")
        for place in range(DRAWN_AHEAD):
            at += float(gaps[place])
            if at >= end:
                return
            tenant = int(tenants_of[place])
            if not bursts or draws[place, 2] < _times(experiment, bursts, int(at), tenant) / most:
                yield int(at), int(classes_of[place]), tenant


def _times(experiment: Experiment, bursts: list[Burst], at_us: int, tenant: int) -> float:
    times = 1.0
    for burst in bursts:
        whose = burst.tenant is None or (experiment.tenants and experiment.tenants[tenant].name == burst.tenant)
        if burst.at_us <= at_us < burst.until_us and whose:
            times *= burst.times
    return times
