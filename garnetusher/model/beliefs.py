"""What sidecars have believed about zones, from the lines that they logged, and the figures that follow.

A belief proves nothing: the rules are judged by what upstreams and clients saw (checker.py). These figures say when a
sidecar noticed a fault, whether it was right, and how long it took to trust a zone again.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import numpy as np

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, Span
from garnetusher.model.records import AnyRecord, ZoneStateLogged

LOG_LINE = re.compile(r"zone (\d+): (\w+) -> (\w+): (.*)")
# zone states as sidecars log them and records have them
ACTIVE = "near"
EVACUATED = "left"
FAULTS_WITHOUT_EVACUATION = ("restart", "burst", "list_late", "list_lies")
AFTERMATH_US = 5_000_000  # an evacuation may still be justified so long after a fault: queues, warming upstreams
FAULTY_SHARE = 0.5  # a zone is faulty if more than this share of its upstreams is


def parse_zone_state(at_us: int, sidecar: str, line: str, zones: list[str]) -> ZoneStateLogged | None:
    """Return a line of a sidecar's log as a record; None if it says nothing of a zone's state.

    Args:
        at_us: When the line was logged, or read.
        sidecar: Whose log it is.
        line: The line.
        zones: The names of the zones by the index that sidecars log.
    """
    found = LOG_LINE.search(line)
    if found is None or int(found[1]) >= len(zones):
        return None
    return ZoneStateLogged(at_us, sidecar, zones[int(found[1])], found[2], found[3], found[4])


def figures(experiment: Experiment, plan: Plan, records: Iterable[AnyRecord]) -> dict[str, float]:
    """Return the figures of one run, without those for which there was no occasion.

    `zone_leave_s` (median), `zone_leave_s_most` and `zone_return_s` are over the sidecars that evacuated a faulty zone;
    `.home` is over the zone's own sidecars, as the others hardly use it. `zones_left` is the share of a faulty zone's
    own sidecars that evacuated it. `false_leaves` counts evacuations of zones without a fault. `zone_state_s.STATE` is
    the mean time for which a sidecar held a zone to be in that state.
    """
    beliefs = [record for record in records if isinstance(record, ZoneStateLogged)]
    found = {"false_leaves": float(sum(_is_false_evacuation(plan, record) for record in beliefs))}
    found |= _state_times(experiment, plan, beliefs)
    found |= _reaction_figures(_reactions(experiment, plan, beliefs))
    return found


@dataclass(slots=True)
class _Reactions:
    """How sidecars reacted to faulty zones, in seconds from a fault's start (evacuations) or end (restorations)."""

    evacuations_s: list[float] = field(default_factory=list)
    home_evacuations_s: list[float] = field(default_factory=list)  # by the zone's own sidecars
    restorations_s: list[float] = field(default_factory=list)
    home_sidecars: int = 0  # that had a faulty zone, evacuated or not


def _reactions(experiment: Experiment, plan: Plan, beliefs: list[ZoneStateLogged]) -> _Reactions:
    reactions = _Reactions()
    for span in plan.spans:
        for zone in experiment.topology.zones:
            if _is_faulty(plan, span, zone):
                _add_reactions(reactions, plan, beliefs, span, zone)
    return reactions


def _add_reactions(reactions: _Reactions, plan: Plan, beliefs: list[ZoneStateLogged], span: Span, zone: str) -> None:
    evacuated_s, restored_s = _transitions(beliefs, span, zone)
    sidecars = [sidecar for sidecar in plan.sidecars if sidecar.name not in span.parties]
    home = [sidecar for sidecar in sidecars if sidecar.zone == zone]
    reactions.home_sidecars += len(home)
    reactions.evacuations_s += [evacuated_s[s.name] for s in sidecars if s.name in evacuated_s]
    reactions.home_evacuations_s += [evacuated_s[s.name] for s in home if s.name in evacuated_s]
    reactions.restorations_s += [restored_s[s.name] for s in sidecars if s.name in restored_s]


def _transitions(beliefs: list[ZoneStateLogged], span: Span, zone: str) -> tuple[dict[str, float], dict[str, float]]:
    """Return when each sidecar first evacuated a zone during a fault, and when it used the zone as before after it."""
    evacuated_s: dict[str, float] = {}
    restored_s: dict[str, float] = {}
    for record in beliefs:
        if record.zone != zone:
            continue
        if record.state == EVACUATED and span.at_us <= record.t < span.until_us:
            evacuated_s.setdefault(record.sidecar, (record.t - span.at_us) / 1e6)
        elif record.state == ACTIVE and record.t >= span.until_us and record.sidecar in evacuated_s:
            # the last one counts, as a zone may be evacuated again
            restored_s[record.sidecar] = (record.t - span.until_us) / 1e6
    return evacuated_s, restored_s


def _reaction_figures(reactions: _Reactions) -> dict[str, float]:
    found: dict[str, float] = {}
    for suffix, times_s in (("", reactions.evacuations_s), (".home", reactions.home_evacuations_s)):
        if times_s:
            found[f"zone_leave_s{suffix}"] = float(np.median(times_s))
            found[f"zone_leave_s_most{suffix}"] = max(times_s)
    if reactions.restorations_s:
        found["zone_return_s"] = float(np.median(reactions.restorations_s))
    if reactions.home_sidecars:
        found["zones_left"] = len(reactions.home_evacuations_s) / reactions.home_sidecars
    return found


def _upstreams_of(plan: Plan, zone: str) -> set[str]:
    """Return the upstreams that a zone has from the start."""
    return {upstream.uid for upstream in plan.upstreams if upstream.zone == zone and upstream.from_us == 0}


def _is_faulty(plan: Plan, span: Span, zone: str) -> bool:
    """Return whether a fault strikes so much of a zone that it is no mistake to evacuate it."""
    upstreams = _upstreams_of(plan, zone)
    faulty = upstreams & set(span.parties)
    return span.what not in FAULTS_WITHOUT_EVACUATION and len(faulty) > FAULTY_SHARE * len(upstreams)


def _is_false_evacuation(plan: Plan, record: ZoneStateLogged) -> bool:
    """Return whether a zone was evacuated though no fault had struck it or the sidecar itself."""
    if record.state != EVACUATED:
        return False
    involved = _upstreams_of(plan, record.zone) | {record.sidecar}
    return not any(_may_explain(span, involved, record.t) for span in plan.spans)


def _may_explain(span: Span, involved: set[str], at_us: int) -> bool:
    """Return whether a fault of any of these nodes justifies an evacuation at that time."""
    if span.what in FAULTS_WITHOUT_EVACUATION or not involved & set(span.parties):
        return False
    return span.at_us <= at_us < span.until_us + AFTERMATH_US


def _state_times(experiment: Experiment, plan: Plan, beliefs: list[ZoneStateLogged]) -> dict[str, float]:
    """Return the mean time in each state but the active one, over all pairs of a sidecar and a zone."""
    end_us = int(plan.seconds * 1e6)
    total_us: dict[str, float] = defaultdict(float)
    current: dict[tuple[str, str], tuple[int, str]] = {}  # by sidecar and zone: since when, which state
    for record in beliefs:
        since_us, state = current.get((record.sidecar, record.zone), (0, record.before))
        total_us[state] += max(0, min(record.t, end_us) - since_us)
        current[record.sidecar, record.zone] = (record.t, record.state)
    for since_us, state in current.values():
        total_us[state] += max(0, end_us - since_us)
    pairs = max(1, len(plan.sidecars) * len(experiment.topology.zones))
    return {
        f"zone_state_s.{state}": spent_us / 1e6 / pairs
        for state, spent_us in sorted(total_us.items())
        if state != ACTIVE
    }
