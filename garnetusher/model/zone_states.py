"""Computes figures of the zone states that sidecars logged.

`checker.py` does not use these states: it checks the rules on the records of upstreams and clients. The figures state
when sidecars evacuated a faulty zone, whether an evacuation was justified, and how long sidecars took to use a zone
normally again.
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
# Zone states, as in the log lines of sidecars and in records.
ACTIVE = "near"
EVACUATED = "left"
FAULTS_WITHOUT_EVACUATION = ("restart", "burst", "list_late", "list_lies")
# An evacuation is still justified this long after a fault, while queues are full or upstreams warm up.
FAULT_RECOVERY_US = 5_000_000
FAULTY_SHARE = 0.5  # a zone is faulty if a fault affects more than this share of its upstreams


def parse_zone_state(at_us: int, sidecar: str, line: str, zones: list[str]) -> ZoneStateLogged | None:
    """Return the record for a line of a sidecar's log, or None if the line states no change of a zone's state.

    Args:
        at_us: The time when the line was logged, or read.
        sidecar: The sidecar that logged the line.
        line: The line.
        zones: The names of the zones; sidecars log the index.
    """
    found = LOG_LINE.search(line)
    if found is None or int(found[1]) >= len(zones):
        return None
    return ZoneStateLogged(at_us, sidecar, zones[int(found[1])], found[2], found[3], found[4])


def figures(experiment: Experiment, plan: Plan, records: Iterable[AnyRecord]) -> dict[str, float]:
    """Return the figures of one run that could be measured.

    `zone_leave_s` (median), `zone_leave_s_most` (maximum) and `zone_return_s` (median) cover the sidecars that
    evacuated a faulty zone. The suffix `.home` limits a figure to the zone's own sidecars, as the others send it little
    traffic. `zones_left` is the share of a faulty zone's own sidecars that evacuated it. `false_leaves` is the number
    of evacuations of zones without a fault. `zone_state_s.STATE` is the mean time in a state other than `near`, over
    all pairs of a sidecar and a zone.
    """
    state_changes = [record for record in records if isinstance(record, ZoneStateLogged)]
    found = {"false_leaves": float(sum(_is_false_evacuation(plan, record) for record in state_changes))}
    found |= _state_times(experiment, plan, state_changes)
    found |= _reaction_figures(_reactions(experiment, plan, state_changes))
    return found


@dataclass(slots=True)
class _Reactions:
    """How sidecars reacted to faulty zones, in seconds from a fault's start (evacuations) or end (restorations)."""

    evacuations_s: list[float] = field(default_factory=list)
    home_evacuations_s: list[float] = field(default_factory=list)  # evacuations by the zone's own sidecars
    restorations_s: list[float] = field(default_factory=list)
    home_sidecars: int = 0  # the number of sidecars in faulty zones, with or without an evacuation


def _reactions(experiment: Experiment, plan: Plan, state_changes: list[ZoneStateLogged]) -> _Reactions:
    reactions = _Reactions()
    for span in plan.spans:
        for zone in experiment.topology.zones:
            if _is_faulty(plan, span, zone):
                _add_reactions(reactions, plan, state_changes, span, zone)
    return reactions


def _add_reactions(
    reactions: _Reactions, plan: Plan, state_changes: list[ZoneStateLogged], span: Span, zone: str
) -> None:
    evacuated_s, restored_s = _transitions(state_changes, span, zone)
    sidecars = [sidecar for sidecar in plan.sidecars if sidecar.name not in span.parties]
    home = [sidecar for sidecar in sidecars if sidecar.zone == zone]
    reactions.home_sidecars += len(home)
    reactions.evacuations_s += [evacuated_s[s.name] for s in sidecars if s.name in evacuated_s]
    reactions.home_evacuations_s += [evacuated_s[s.name] for s in home if s.name in evacuated_s]
    reactions.restorations_s += [restored_s[s.name] for s in sidecars if s.name in restored_s]


def _transitions(
    state_changes: list[ZoneStateLogged], span: Span, zone: str
) -> tuple[dict[str, float], dict[str, float]]:
    """Return when each sidecar first evacuated a zone during a fault, and when it restored the zone afterwards."""
    evacuated_s: dict[str, float] = {}
    restored_s: dict[str, float] = {}
    for record in state_changes:
        if record.zone != zone:
            continue
        if record.state == EVACUATED and span.at_us <= record.t < span.until_us:
            evacuated_s.setdefault(record.sidecar, (record.t - span.at_us) / 1e6)
        elif record.state == ACTIVE and record.t >= span.until_us and record.sidecar in evacuated_s:
            # Only the last restoration counts, because the sidecar may evacuate the zone again after earlier ones.
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
    """Return the upstreams of a zone that run from the start."""
    return {upstream.uid for upstream in plan.upstreams if upstream.zone == zone and upstream.from_us == 0}


def _is_faulty(plan: Plan, span: Span, zone: str) -> bool:
    """Return whether a fault affects enough of a zone's upstreams to justify an evacuation."""
    upstreams = _upstreams_of(plan, zone)
    faulty = upstreams & set(span.parties)
    return span.what not in FAULTS_WITHOUT_EVACUATION and len(faulty) > FAULTY_SHARE * len(upstreams)


def _is_false_evacuation(plan: Plan, record: ZoneStateLogged) -> bool:
    """Return whether a record is an evacuation although no fault had affected the zone or the sidecar."""
    if record.state != EVACUATED:
        return False
    nodes = _upstreams_of(plan, record.zone) | {record.sidecar}
    return not any(_justifies_evacuation(span, nodes, record.t) for span in plan.spans)


def _justifies_evacuation(span: Span, nodes: set[str], at_us: int) -> bool:
    """Return whether the fault affects any of these nodes and justifies an evacuation at that time."""
    if span.what in FAULTS_WITHOUT_EVACUATION or not nodes & set(span.parties):
        return False
    return span.at_us <= at_us < span.until_us + FAULT_RECOVERY_US


def _state_times(experiment: Experiment, plan: Plan, state_changes: list[ZoneStateLogged]) -> dict[str, float]:
    """Return the mean time in each state except the active one, over all pairs of a sidecar and a zone."""
    end_us = int(plan.seconds * 1e6)
    total_us: dict[str, float] = defaultdict(float)
    current: dict[tuple[str, str], tuple[int, str]] = {}  # by sidecar and zone: the state and its start
    for record in state_changes:
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
