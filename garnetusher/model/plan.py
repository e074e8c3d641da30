"""From an experiment and a seed to what each node does when: the same plan for the lab and the model.

All that a fault brings about by itself (which nodes stop, what the endpoint list says of them) is worked out here,
before anything runs, so that a run can be repeated from its seed.
"""

from __future__ import annotations

import math

from msgspec import Struct, structs

from garnetusher.errors import GarnetusherError
from garnetusher.model import draw
from garnetusher.model.arrivals import arrivals
from garnetusher.model.experiment import Experiment, Fault, Place, sidecar_names, upstream_names
from garnetusher.model.fault_targets import FaultTargets, with_directory
from garnetusher.model.plan_types import (
    DIRECTORY,
    LONG_AGO,
    Burst,
    LinkStep,
    ListStep,
    Plan,
    SidecarPlan,
    Span,
    Step,
    UpstreamPlan,
    us,
)

__all__ = [
    "DIRECTORY",
    "LONG_AGO",
    "Burst",
    "LinkStep",
    "ListStep",
    "Plan",
    "PlanError",
    "SidecarPlan",
    "Span",
    "Step",
    "UpstreamPlan",
    "arrivals",
    "make",
]

LABELLED_NODES = 3  # named by a fault's label, where its place has no name
# the steps of an upstream at a fault's start and end; other faults have one step that takes a value
UPSTREAM_STEPS = {"kill": ("die", "boot"), "stop": ("hang", "resume"), "refuse": ("refuse", "accept")}


class PlanError(GarnetusherError):
    """A fault lacks a key that it needs; experiments read from files have been checked for it."""


class _Strike(Struct):
    """A fault with the nodes that it strikes and its span of time."""

    index: int
    fault: Fault
    at_us: int
    until_us: int
    ends: bool  # before the run does
    upstreams: list[str]
    sidecars: list[str]


def make(experiment: Experiment, seed: int) -> Plan:
    """Return the plan of one run.

    Raises:
        PlanError: A fault lacks a key that it needs.
    """
    return _Planner(experiment, seed).plan


def _upstream_plans(experiment: Experiment, seed: int) -> list[UpstreamPlan]:
    return [
        UpstreamPlan(uid, uid.removeprefix("u-").rpartition("-")[0], _speed(experiment, seed, uid))
        for uid in upstream_names(experiment)
    ]


def _speed(experiment: Experiment, seed: int, *purpose: object) -> float:
    """Draw the speed of an upstream's cores, beside a standard one."""
    return 1 + experiment.upstreams.speed_spread * (2 * draw.uniform(seed, "speed", *purpose) - 1)


def _sidecar_plans(experiment: Experiment, seed: int) -> list[SidecarPlan]:
    """Share the traffic out to zones, and in a zone to its sidecars by their weights."""
    weights = _sidecar_weights(experiment, seed)
    zone_of = {name: name.rpartition("-")[0] for name in weights}
    zone_parts = _zone_parts(experiment)
    total_parts = sum(zone_parts.values())
    plans = []
    for name, weight in weights.items():
        zone = zone_of[name]
        zone_weight = sum(other for other_name, other in weights.items() if zone_of[other_name] == zone)
        rate_per_s = experiment.load.requests_per_s * zone_parts.get(zone, 0.0) / total_parts * weight / zone_weight
        plans.append(SidecarPlan(name, zone, rate_per_s))
    return plans


def _sidecar_weights(experiment: Experiment, seed: int) -> dict[str, float]:
    """Draw each sidecar's traffic beside the others'."""
    names = sidecar_names(experiment)
    spread = experiment.sidecars.spread
    if not spread:
        return dict.fromkeys(names, 1.0)
    shape = 1 / spread**2
    return {name: float(draw.stream(seed, "traffic", name).gamma(shape)) for name in names}


def _zone_parts(experiment: Experiment) -> dict[str, float]:
    """Return the parts of the traffic that zones with sidecars have."""
    counts = experiment.sidecars.per_zone
    parts = experiment.load.zones or {zone: float(counts.get(zone, 0)) for zone in experiment.topology.zones}
    return {zone: part for zone, part in parts.items() if counts.get(zone, 0)}


class _Planner:
    """Builds the plan fault by fault."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self._experiment, self._seed = experiment, seed
        upstreams, sidecars = _upstream_plans(experiment, seed), _sidecar_plans(experiment, seed)
        self.plan = Plan(seed, experiment.seconds, upstreams, sidecars, [], [], [], [])
        self._targets = FaultTargets(experiment, self.plan)
        self._upstreams = {upstream.uid: upstream for upstream in upstreams}
        self._sidecars = {sidecar.name: sidecar for sidecar in sidecars}
        for index, fault in enumerate(experiment.faults):
            self._add_fault(self._strike(index, fault))
        self._delay_list_updates()
        self._sort()

    def _sort(self) -> None:
        self.plan.listed.sort(key=lambda step: (step.at_us, step.uid))
        self.plan.links.sort(key=lambda step: step.at_us)
        for upstream in self.plan.upstreams:
            upstream.steps.sort(key=lambda step: step.at_us)
        for sidecar in self.plan.sidecars:
            sidecar.steps.sort(key=lambda step: step.at_us)

    # Faults

    def _strike(self, index: int, fault: Fault) -> _Strike:
        at_us, run_end_us = us(fault.at_s), us(self.plan.seconds)
        until_us = run_end_us if fault.for_s is None else min(run_end_us, at_us + us(fault.for_s))
        upstreams = [] if fault.what == "burst" else self._targets.upstreams(index, fault.where)
        sidecars = self._targets.sidecars(index, fault.where)
        return _Strike(index, fault, at_us, until_us, until_us < run_end_us, upstreams, sidecars)

    def _add_fault(self, strike: _Strike) -> None:
        nodes = with_directory([*strike.upstreams, *strike.sidecars], strike.fault.where)
        label = _label(strike.fault, nodes)
        self.plan.spans.append(Span(strike.fault.what, label, strike.at_us, strike.until_us, nodes))
        match strike.fault.what:
            case "burst":
                self._add_burst(strike)
            case "restart":
                self._replace_upstreams(strike)
                self._restart_sidecars(strike)
            case "silent" | "cut" | "loss":
                self._add_link_steps(strike)
                if strike.fault.what == "silent":
                    self._lose_contact(strike)
            case "list_lies":
                self._add_false_list_updates(strike)
            case "list_late":
                pass  # once all updates are known
            case _:
                self._add_node_steps(strike)

    def _add_burst(self, strike: _Strike) -> None:
        times = _required(strike.fault.times, "times", strike.fault)
        sidecars = self._targets.sidecars(strike.index, structs.replace(strike.fault.where, of="sidecars"))
        self.plan.bursts.append(Burst(strike.at_us, strike.until_us, times, strike.fault.tenant, sidecars))

    def _add_false_list_updates(self, strike: _Strike) -> None:
        share = _required(strike.fault.share, "share", strike.fault)
        upstreams = strike.upstreams or [upstream.uid for upstream in self.plan.upstreams]
        for uid in self._targets.part(strike.index, share, upstreams):
            self._list(strike.at_us, uid, "left")
            self._list(strike.until_us, uid, "active")

    def _add_node_steps(self, strike: _Strike) -> None:
        for name in strike.sidecars:
            self._add_sidecar_steps(self._sidecars[name], strike)
        for uid in strike.upstreams:
            self._add_upstream_steps(self._upstreams[uid], strike)

    def _add_sidecar_steps(self, sidecar: SidecarPlan, strike: _Strike) -> None:
        sidecar.steps.append(Step(strike.at_us, strike.fault.what))
        if strike.ends:
            sidecar.steps.append(Step(strike.until_us, "start" if strike.fault.what == "kill" else "cont"))

    def _add_upstream_steps(self, upstream: UpstreamPlan, strike: _Strike) -> None:
        fault = strike.fault
        begin, end = UPSTREAM_STEPS.get(fault.what, (fault.what, fault.what))
        value, usual = (fault.times, 1.0) if fault.what == "slow" else (fault.share, 0.0)
        upstream.steps.append(Step(strike.at_us, begin, value or 0.0))
        if strike.ends:
            upstream.steps.append(Step(strike.until_us, end, usual))
        if fault.what == "kill":
            self._list_lost_upstream(upstream.uid, strike, self._experiment.directory.notice_s, cold=True)

    # Replacements

    def _replace_upstreams(self, strike: _Strike) -> None:
        """Replace upstreams in batches; a successor starts cold and is listed as its predecessor begins to drain."""
        batch_size = math.ceil(strike.fault.batch * len(self.plan.upstreams))
        batches = [strike.upstreams[i : i + batch_size] for i in range(0, len(strike.upstreams), batch_size)]
        for index, batch in enumerate(batches):
            for uid in batch:
                self._replace_upstream(uid, strike, _spread(strike, index, len(batches)))

    def _replace_upstream(self, uid: str, strike: _Strike, begin_us: int) -> None:
        directory = self._experiment.directory
        old = self._upstreams[uid]
        speed = _speed(self._experiment, self._seed, uid, strike.index)
        successor = UpstreamPlan(f"{uid}-next-{strike.index}", old.zone, speed, begin_us)
        successor.steps.append(Step(begin_us, "boot"))
        self.plan.upstreams.append(successor)
        self._upstreams[successor.uid] = successor
        listed_us = begin_us + us(directory.add_s)
        self._list(listed_us, successor.uid, "active", begin_us)
        self._list(listed_us, uid, "leaving")
        ended_us = begin_us + us(directory.add_s + strike.fault.drain_s)
        old.steps.append(Step(ended_us, "die"))
        self._list(ended_us + us(directory.notice_s), uid, "left")

    def _restart_sidecars(self, strike: _Strike) -> None:
        for index, name in enumerate(strike.sidecars):
            self._sidecars[name].steps.append(Step(_spread(strike, index, len(strike.sidecars)), "restart"))

    # Links

    def _add_link_steps(self, strike: _Strike) -> None:
        fault = strike.fault
        both_ways = not fault.one_way
        ends, from_parties = self._link_ends(strike)
        begin, end = ("loss", "loss") if fault.what == "loss" else ("cut", "mend")
        for parties, sidecars in ends:
            if not parties or not sidecars:
                continue
            to_sidecar, to_party = both_ways or from_parties, both_ways or not from_parties
            steps = ((strike.at_us, begin, fault.share or 0.0), (strike.until_us, end, 0.0))
            self.plan.links += [
                LinkStep(at_us, what, parties, sidecars, to_sidecar, to_party, value) for at_us, what, value in steps
            ]

    def _link_ends(self, strike: _Strike) -> tuple[list[tuple[list[str], list[str]]], bool]:
        """Return the two ends of the links that a fault strikes.

        Returns:
            Pairs of upstreams (or the discovery service) and sidecars, and whether `where` is the upstreams' end.
        """
        fault = strike.fault
        near_parties = with_directory(strike.upstreams, fault.where)
        if fault.to is None:
            all_sidecars = [sidecar.name for sidecar in self.plan.sidecars]
            all_parties = [*(upstream.uid for upstream in self.plan.upstreams), DIRECTORY]
            return [(near_parties, all_sidecars), (all_parties, strike.sidecars)], True
        far_sidecars = self._targets.sidecars(strike.index, fault.to)
        far_parties = with_directory(self._targets.upstreams(strike.index, fault.to), fault.to)
        return [(near_parties, far_sidecars), (far_parties, strike.sidecars)], bool(near_parties and far_sidecars)

    def _lose_contact(self, strike: _Strike) -> None:
        """Add what follows for upstreams that cannot be reached: the list drops them, their machines may be lost."""
        cold = strike.fault.returns == "cold" and strike.ends
        for uid in strike.upstreams:
            if cold:
                # The machine ends after the links are cut: otherwise its connections would be reset. It is started
                # again as they are mended.
                self._upstreams[uid].steps += [Step(strike.at_us + 1, "vanish"), Step(strike.until_us, "boot")]
            self._list_lost_upstream(uid, strike, self._experiment.directory.silent_notice_s, cold=cold)

    # The endpoint list

    def _list(self, at_us: int, uid: str, state: str, started_us: int = LONG_AGO) -> None:
        self.plan.listed.append(ListStep(at_us, uid, self._upstreams[uid].zone, state, started_us))

    def _list_lost_upstream(self, uid: str, strike: _Strike, notice_s: float, *, cold: bool) -> None:
        """List an upstream as removed if it is lost for longer than the notice takes, and as active afterwards.

        One that comes back warm and was never removed is not listed anew.
        """
        removed_us = strike.at_us + us(notice_s)
        removed = removed_us < strike.until_us
        if removed:
            self._list(removed_us, uid, "left")
        if strike.ends and (cold or removed):
            listed_us = strike.until_us + us(self._experiment.directory.add_s)
            self._list(listed_us, uid, "active", strike.until_us if cold else LONG_AGO)

    def _delay_list_updates(self) -> None:
        for fault in self._experiment.faults:
            if fault.what != "list_late":
                continue
            at_us, delay_us = us(fault.at_s), us(fault.by_s or 0.0)
            until_us = at_us + us(fault.for_s) if fault.for_s is not None else us(self.plan.seconds)
            for step in self.plan.listed:
                if at_us <= step.at_us < until_us:
                    step.at_us += delay_us


def _label(fault: Fault, nodes: list[str]) -> str:
    place: Place = fault.where
    named = (("zone", place.zone), ("region", place.region), ("part", place.part), ("tenant", fault.tenant))
    where = ", ".join(f"{key} {value}" for key, value in named if value is not None)
    return f"{fault.what} {where or ', '.join(nodes[:LABELLED_NODES])}".strip()


def _spread(strike: _Strike, index: int, count: int) -> int:
    """Return when the n-th of several changes happens, spread evenly over a fault."""
    return strike.at_us + (strike.until_us - strike.at_us) * index // count


def _required(value: float | None, key: str, fault: Fault) -> float:
    if value is None:
        message = f"fault {fault.what!r} at {fault.at_s:g} s: expected the key {key}, found none"
        raise PlanError(message)
    return value
