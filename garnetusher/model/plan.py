"""Computes the plan of a run from an experiment and a seed. The plan states what each node does and when.

The lab and the model use the same plan. It contains the direct effects of every fault (which nodes stop, and how the
endpoint list changes) and is complete before the run begins, so a run can be repeated from its seed.
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
    DISCOVERY_NODE,
    LONG_AGO,
    Burst,
    LinkStep,
    ListStep,
    Plan,
    SidecarPlan,
    Span,
    Step,
    UpstreamPlan,
    microseconds,
)

__all__ = [
    "DISCOVERY_NODE",
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

MAX_NODES_IN_LABEL = 3  # the label of a fault without a named place lists at most this many nodes
# The steps of an upstream at the start and end of these faults. Other faults use the step of their own name at both
# times: first with the fault's value, then with the one that ends the fault.
UPSTREAM_STEPS = {"kill": ("die", "boot"), "stop": ("hang", "resume"), "refuse": ("refuse", "accept")}


class PlanError(GarnetusherError):
    """A fault lacks a key that it needs; the validation of experiment files excludes this."""


class _ScheduledFault(Struct):
    """A fault with the nodes that it affects, and its start and end.

    Attributes:
        index: The fault's position in the experiment.
        fault: The fault as configured.
        at_us: The fault's start.
        until_us: The fault's end, at most the end of the run.
        ends: Whether the fault ends before the run does.
        upstreams: The upstreams that the fault affects.
        sidecars: The sidecars that the fault affects.
    """

    index: int
    fault: Fault
    at_us: int
    until_us: int
    ends: bool
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
    """Draw the speed of an upstream's cores, relative to a standard core."""
    return 1 + experiment.upstreams.speed_spread * (2 * draw.uniform(seed, "speed", *purpose) - 1)


def _sidecar_plans(experiment: Experiment, seed: int) -> list[SidecarPlan]:
    """Divide the traffic among zones, and a zone's traffic among its sidecars by their weights."""
    weights = _sidecar_weights(experiment, seed)
    zone_of = {name: name.rpartition("-")[0] for name in weights}
    traffic_by_zone = _traffic_by_zone(experiment)
    total_traffic = sum(traffic_by_zone.values())
    plans = []
    for name, weight in weights.items():
        zone = zone_of[name]
        zone_weight = sum(other_weight for other_name, other_weight in weights.items() if zone_of[other_name] == zone)
        rate_per_s = (
            experiment.load.requests_per_s * traffic_by_zone.get(zone, 0.0) / total_traffic * weight / zone_weight
        )
        plans.append(SidecarPlan(name, zone, rate_per_s))
    return plans


def _sidecar_weights(experiment: Experiment, seed: int) -> dict[str, float]:
    """Draw the relative traffic of each sidecar."""
    names = sidecar_names(experiment)
    spread = experiment.sidecars.spread
    if not spread:
        return dict.fromkeys(names, 1.0)
    shape = 1 / spread**2
    return {name: float(draw.stream(seed, "traffic", name).gamma(shape)) for name in names}


def _traffic_by_zone(experiment: Experiment) -> dict[str, float]:
    """Return the relative traffic of each zone that has sidecars."""
    counts = experiment.sidecars.per_zone
    traffic_by_zone = experiment.load.zones or {zone: float(counts.get(zone, 0)) for zone in experiment.topology.zones}
    return {zone: traffic for zone, traffic in traffic_by_zone.items() if counts.get(zone, 0)}


class _Planner:
    """Builds a plan from the faults, one after another."""

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self._experiment, self._seed = experiment, seed
        upstreams, sidecars = _upstream_plans(experiment, seed), _sidecar_plans(experiment, seed)
        self.plan = Plan(seed, experiment.seconds, upstreams, sidecars, [], [], [], [])
        self._targets = FaultTargets(experiment, self.plan)
        self._upstreams = {upstream.uid: upstream for upstream in upstreams}
        self._sidecars = {sidecar.name: sidecar for sidecar in sidecars}
        for index, fault in enumerate(experiment.faults):
            self._add_fault(self._schedule(index, fault))
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

    def _schedule(self, index: int, fault: Fault) -> _ScheduledFault:
        at_us, run_end_us = microseconds(fault.at_s), microseconds(self.plan.seconds)
        until_us = run_end_us if fault.for_s is None else min(run_end_us, at_us + microseconds(fault.for_s))
        upstreams = [] if fault.what == "burst" else self._targets.upstreams(index, fault.where)
        sidecars = self._targets.sidecars(index, fault.where)
        return _ScheduledFault(index, fault, at_us, until_us, until_us < run_end_us, upstreams, sidecars)

    def _add_fault(self, scheduled: _ScheduledFault) -> None:
        nodes = with_directory([*scheduled.upstreams, *scheduled.sidecars], scheduled.fault.where)
        label = _label(scheduled.fault, nodes)
        self.plan.spans.append(Span(scheduled.fault.what, label, scheduled.at_us, scheduled.until_us, nodes))
        match scheduled.fault.what:
            case "burst":
                self._add_burst(scheduled)
            case "restart":
                self._replace_upstreams(scheduled)
                self._restart_sidecars(scheduled)
            case "silent" | "cut" | "loss":
                self._add_link_steps(scheduled)
                if scheduled.fault.what == "silent":
                    self._add_unreachable_steps(scheduled)
            case "list_lies":
                self._add_false_list_updates(scheduled)
            case "list_late":
                pass  # `_delay_list_updates` runs after all faults have added their list updates
            case _:
                self._add_node_steps(scheduled)

    def _add_burst(self, scheduled: _ScheduledFault) -> None:
        times = _required(scheduled.fault.times, "times", scheduled.fault)
        sidecars = self._targets.sidecars(scheduled.index, structs.replace(scheduled.fault.where, of="sidecars"))
        self.plan.bursts.append(Burst(scheduled.at_us, scheduled.until_us, times, scheduled.fault.tenant, sidecars))

    def _add_false_list_updates(self, scheduled: _ScheduledFault) -> None:
        share = _required(scheduled.fault.share, "share", scheduled.fault)
        upstreams = scheduled.upstreams or [upstream.uid for upstream in self.plan.upstreams]
        for uid in self._targets.random_subset(scheduled.index, share, upstreams):
            self._add_list_step(scheduled.at_us, uid, "left")
            self._add_list_step(scheduled.until_us, uid, "active")

    def _add_node_steps(self, scheduled: _ScheduledFault) -> None:
        for name in scheduled.sidecars:
            self._add_sidecar_steps(self._sidecars[name], scheduled)
        for uid in scheduled.upstreams:
            self._add_upstream_steps(self._upstreams[uid], scheduled)

    def _add_sidecar_steps(self, sidecar: SidecarPlan, scheduled: _ScheduledFault) -> None:
        sidecar.steps.append(Step(scheduled.at_us, scheduled.fault.what))
        if scheduled.ends:
            sidecar.steps.append(Step(scheduled.until_us, "start" if scheduled.fault.what == "kill" else "cont"))

    def _add_upstream_steps(self, upstream: UpstreamPlan, scheduled: _ScheduledFault) -> None:
        fault = scheduled.fault
        begin, end = UPSTREAM_STEPS.get(fault.what, (fault.what, fault.what))
        begin_value, end_value = (fault.times, 1.0) if fault.what == "slow" else (fault.share, 0.0)
        upstream.steps.append(Step(scheduled.at_us, begin, begin_value or 0.0))
        if scheduled.ends:
            upstream.steps.append(Step(scheduled.until_us, end, end_value))
        if fault.what == "kill":
            self._add_outage_to_list(upstream.uid, scheduled, self._experiment.directory.notice_s, cold=True)

    # Replacements

    def _replace_upstreams(self, scheduled: _ScheduledFault) -> None:
        """Replace upstreams in batches.

        A successor starts cold, and the endpoint list adds it at the time when its predecessor begins to drain.
        """
        batch_size = math.ceil(scheduled.fault.batch * len(self.plan.upstreams))
        batches = [scheduled.upstreams[i : i + batch_size] for i in range(0, len(scheduled.upstreams), batch_size)]
        for index, batch in enumerate(batches):
            for uid in batch:
                self._replace_upstream(uid, scheduled, _spread_time_us(scheduled, index, len(batches)))

    def _replace_upstream(self, uid: str, scheduled: _ScheduledFault, begin_us: int) -> None:
        directory = self._experiment.directory
        old = self._upstreams[uid]
        speed = _speed(self._experiment, self._seed, uid, scheduled.index)
        successor = UpstreamPlan(f"{uid}-next-{scheduled.index}", old.zone, speed, begin_us)
        successor.steps.append(Step(begin_us, "boot"))
        self.plan.upstreams.append(successor)
        self._upstreams[successor.uid] = successor
        listed_us = begin_us + microseconds(directory.add_s)
        self._add_list_step(listed_us, successor.uid, "active", begin_us)
        self._add_list_step(listed_us, uid, "leaving")
        ended_us = begin_us + microseconds(directory.add_s + scheduled.fault.drain_s)
        old.steps.append(Step(ended_us, "die"))
        self._add_list_step(ended_us + microseconds(directory.notice_s), uid, "left")

    def _restart_sidecars(self, scheduled: _ScheduledFault) -> None:
        for index, name in enumerate(scheduled.sidecars):
            self._sidecars[name].steps.append(
                Step(_spread_time_us(scheduled, index, len(scheduled.sidecars)), "restart")
            )

    # Links

    def _add_link_steps(self, scheduled: _ScheduledFault) -> None:
        fault = scheduled.fault
        both_ways = not fault.one_way
        node_pairs, where_selects_parties = self._linked_nodes(scheduled)
        begin, end = ("loss", "loss") if fault.what == "loss" else ("cut", "mend")
        for parties, sidecars in node_pairs:
            if not parties or not sidecars:
                continue
            to_sidecar, to_party = both_ways or where_selects_parties, both_ways or not where_selects_parties
            steps = ((scheduled.at_us, begin, fault.share or 0.0), (scheduled.until_us, end, 0.0))
            self.plan.links += [
                LinkStep(at_us, what, parties, sidecars, to_sidecar, to_party, value) for at_us, what, value in steps
            ]

    def _linked_nodes(self, scheduled: _ScheduledFault) -> tuple[list[tuple[list[str], list[str]]], bool]:
        """Return both ends of the links that a fault affects.

        Returns:
            Pairs of parties (upstreams or the discovery service) and sidecars, and whether `where` selects the parties.
        """
        fault = scheduled.fault
        parties_at_where = with_directory(scheduled.upstreams, fault.where)
        if fault.to is None:
            all_sidecars = [sidecar.name for sidecar in self.plan.sidecars]
            all_parties = [*(upstream.uid for upstream in self.plan.upstreams), DISCOVERY_NODE]
            return [(parties_at_where, all_sidecars), (all_parties, scheduled.sidecars)], True
        sidecars_at_to = self._targets.sidecars(scheduled.index, fault.to)
        parties_at_to = with_directory(self._targets.upstreams(scheduled.index, fault.to), fault.to)
        return [(parties_at_where, sidecars_at_to), (parties_at_to, scheduled.sidecars)], bool(
            parties_at_where and sidecars_at_to
        )

    def _add_unreachable_steps(self, scheduled: _ScheduledFault) -> None:
        """Remove unreachable upstreams from the endpoint list, and restart those that return cold."""
        cold = scheduled.fault.returns == "cold" and scheduled.ends
        for uid in scheduled.upstreams:
            if cold:
                # The upstream ends 1 us after its links are cut, so that sidecars do not see its connections close.
                # It starts again when the links work again.
                self._upstreams[uid].steps += [Step(scheduled.at_us + 1, "vanish"), Step(scheduled.until_us, "boot")]
            self._add_outage_to_list(uid, scheduled, self._experiment.directory.silent_notice_s, cold=cold)

    # The endpoint list

    def _add_list_step(self, at_us: int, uid: str, state: str, started_us: int = LONG_AGO) -> None:
        self.plan.listed.append(ListStep(at_us, uid, self._upstreams[uid].zone, state, started_us))

    def _add_outage_to_list(self, uid: str, scheduled: _ScheduledFault, notice_s: float, *, cold: bool) -> None:
        """Remove an upstream from the list if its fault outlasts the notice time, and list it as active afterwards.

        An upstream that returns warm and was never removed is not listed again.
        """
        removed_us = scheduled.at_us + microseconds(notice_s)
        removed = removed_us < scheduled.until_us
        if removed:
            self._add_list_step(removed_us, uid, "left")
        if scheduled.ends and (cold or removed):
            listed_us = scheduled.until_us + microseconds(self._experiment.directory.add_s)
            self._add_list_step(listed_us, uid, "active", scheduled.until_us if cold else LONG_AGO)

    def _delay_list_updates(self) -> None:
        for fault in self._experiment.faults:
            if fault.what != "list_late":
                continue
            at_us, delay_us = microseconds(fault.at_s), microseconds(fault.by_s or 0.0)
            until_us = at_us + microseconds(fault.for_s) if fault.for_s is not None else microseconds(self.plan.seconds)
            for step in self.plan.listed:
                if at_us <= step.at_us < until_us:
                    step.at_us += delay_us


def _label(fault: Fault, nodes: list[str]) -> str:
    place: Place = fault.where
    named = (("zone", place.zone), ("region", place.region), ("part", place.part), ("tenant", fault.tenant))
    where = ", ".join(f"{key} {value}" for key, value in named if value is not None)
    return f"{fault.what} {where or ', '.join(nodes[:MAX_NODES_IN_LABEL])}".strip()


def _spread_time_us(scheduled: _ScheduledFault, index: int, count: int) -> int:
    """Return the time of the change at `index` if `count` changes are spread evenly over a fault."""
    return scheduled.at_us + (scheduled.until_us - scheduled.at_us) * index // count


def _required(value: float | None, key: str, fault: Fault) -> float:
    if value is None:
        message = f"fault {fault.what!r} at {fault.at_s:g} s: expected the key {key}, which is missing"
        raise PlanError(message)
    return value
