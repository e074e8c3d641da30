"""What sidecars have believed of zones, from the lines they logged, and the figures that follow.

A belief is no proof of anything: the rules are judged by what upstreams and clients saw (checker.py). These figures say
when a sidecar noticed, whether it was right, and how long it took to trust a zone again.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable

import numpy as np

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, Span
from garnetusher.model.records import AnyRecord, Believed

LINE = re.compile(r"zone (\d+): (\w+) -> (\w+): (.*)")
HARMLESS = ("restart", "burst", "list_late", "list_lies")  # no zone has to be left for these
AFTER_US = 5_000_000  # what a fault leaves behind may still speak for leaving: queues, cold machines
FAULTY_PART = 0.5  # of a zone's upstreams: from there on to leave it is no mistake


def belief(t: int, sidecar: str, line: str, zones: list[str]) -> Believed | None:
    """A line of a sidecar's log as a record; None if it tells of no zone."""
    found = LINE.search(line)
    if found is None or int(found[1]) >= len(zones):
        return None
    return Believed(t, sidecar, zones[int(found[1])], found[2], found[3], found[4])


def figures(experiment: Experiment, plan: Plan, records: Iterable[AnyRecord]) -> dict[str, float]:
    """The figures of one play, those left out that had no occasion.

    `zone_leave_s` (median), `zone_leave_s_most` and `zone_return_s` are over the sidecars that left a faulty zone, with
    `.home` over the zone's own, as the others hardly use it; `zones_left` is the part of those that left it.
    `false_leaves` counts leaves of zones without a fault, `zone_state_s.STATE` is the mean time a sidecar held a zone
    for that.
    """
    told = [r for r in records if isinstance(r, Believed)]
    out = {"false_leaves": float(sum(r.state == "left" and not _excused(plan, r) for r in told))}
    out |= _time_in(experiment, plan, told)
    leaves: dict[str, list[float]] = {"": [], ".home": []}
    returns: list[float] = []
    owners = left = 0
    for span, zone in ((s, z) for s in plan.spans for z in experiment.topology.zones if _faulty(plan, s, z)):
        names = [s.name for s in plan.sidecars if s.name not in span.parties]
        first, back = _moves(told, span, zone)
        returns += [back[name] for name in names if name in back]
        home = [s.name for s in plan.sidecars if s.zone == zone and s.name in names]
        leaves[""] += [first[name] for name in names if name in first]
        leaves[".home"] += [first[name] for name in home if name in first]
        owners, left = owners + len(home), left + sum(name in first for name in home)
    for whose, times in leaves.items():
        if times:
            out[f"zone_leave_s{whose}"] = float(np.median(times))
            out[f"zone_leave_s_most{whose}"] = max(times)
    if returns:
        out["zone_return_s"] = float(np.median(returns))
    if owners:
        out["zones_left"] = left / owners
    return out


def _moves(told: list[Believed], span: Span, zone: str) -> tuple[dict[str, float], dict[str, float]]:
    """Seconds from the fault's start to when each sidecar first left the zone, and from its end to when it was near."""
    first: dict[str, float] = {}
    back: dict[str, float] = {}
    for r in told:
        if r.zone == zone and r.state == "left" and span.at_us <= r.t < span.until_us:
            first.setdefault(r.sidecar, (r.t - span.at_us) / 1e6)
        elif r.zone == zone and r.state == "near" and r.t >= span.until_us and r.sidecar in first:
            back[r.sidecar] = (r.t - span.until_us) / 1e6  # the last one counts: a return may be taken back
    return first, back


def _members(plan: Plan, zone: str) -> set[str]:
    return {u.uid for u in plan.upstreams if u.zone == zone and u.from_us == 0}


def _faulty(plan: Plan, span: Span, zone: str) -> bool:
    members = _members(plan, zone)
    return span.what not in HARMLESS and len(members & set(span.parties)) > FAULTY_PART * len(members)


def _excused(plan: Plan, told: Believed) -> bool:
    """Whether a fault that the sidecar could see touched the zone, or the sidecar itself."""
    members = _members(plan, told.zone) | {told.sidecar}
    return any(
        members & set(span.parties) and span.what not in HARMLESS and span.at_us <= told.t < span.until_us + AFTER_US
        for span in plan.spans
    )


def _time_in(experiment: Experiment, plan: Plan, told: list[Believed]) -> dict[str, float]:
    end_us = int(plan.seconds * 1e6)
    spent: dict[str, float] = defaultdict(float)
    since: dict[tuple[str, str], tuple[int, str]] = {}
    for r in told:
        at, state = since.get((r.sidecar, r.zone), (0, r.before))
        spent[state] += max(0, min(r.t, end_us) - at)
        since[r.sidecar, r.zone] = (r.t, r.state)
    for at, state in since.values():
        spent[state] += max(0, end_us - at)
    pairs = max(1, len(plan.sidecars) * len(experiment.topology.zones))
    return {f"zone_state_s.{state}": us / 1e6 / pairs for state, us in sorted(spent.items()) if state != "near"}
