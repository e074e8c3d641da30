"""Reduces a failing plan to fewer faults and then fewer sidecars, as long as it still breaks one of the same rules."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from garnetusher.lab.soak.plan import UPSTREAM_FAULTS, Plan

# A race occurs only in some runs, so a candidate passes only if none of this many runs breaks one of the rules.
RUNS_PER_CANDIDATE = 3
MAX_SIDECAR_HALVINGS = 2  # the largest number of times the sidecars may be halved


class PlanReducer:
    """Searches for a smaller plan that breaks one of the same rules, in a limited number of runs."""

    def __init__(self, rules: set[str], find_broken_rules: Callable[[Plan], set[str]], max_runs: int) -> None:
        self._rules = rules
        self._find_broken_rules = find_broken_rules
        self._runs_left = max_runs

    def reduce(self, plan: Plan) -> Plan:
        """Return the smallest plan found that breaks one of the rules."""
        smallest = plan
        for fault in plan.faults:
            smallest = self._candidate_if_failing(smallest, smallest.without_fault(fault))
        for _ in range(MAX_SIDECAR_HALVINGS):
            candidate = halve_sidecars(smallest)
            if candidate is not None:
                smallest = self._candidate_if_failing(smallest, candidate)
        return msgspec.structs.replace(smallest, broken_rules=sorted(self._rules))

    def _candidate_if_failing(self, plan: Plan, candidate: Plan) -> Plan:
        return candidate if self._still_fails(candidate) else plan

    def _still_fails(self, candidate: Plan) -> bool:
        return any(broken & self._rules for broken in self._run_repeatedly(candidate))

    def _run_repeatedly(self, candidate: Plan) -> Iterator[set[str]]:
        for _ in range(RUNS_PER_CANDIDATE):
            if self._runs_left <= 0:
                return
            self._runs_left -= 1
            yield self._find_broken_rules(candidate)


def reduce_plan(plan: Plan, rules: set[str], find_broken_rules: Callable[[Plan], set[str]], max_runs: int) -> Plan:
    """Return the smallest plan found that breaks one of the rules.

    `find_broken_rules` runs a plan and returns the rules that it broke; it is called at most `max_runs` times.
    """
    return PlanReducer(rules, find_broken_rules, max_runs).reduce(plan)


def halve_sidecars(plan: Plan) -> Plan | None:
    """Return the plan with half of its sidecars, or None if it has only one.

    Faults without a remaining target are removed.
    """
    if plan.sidecars < 2:
        return None
    count = plan.sidecars // 2
    faults = []
    for fault in plan.faults:
        if fault.kind in UPSTREAM_FAULTS:
            faults.append(fault)
        elif targets := [target for target in fault.targets if target < count]:
            faults.append(msgspec.structs.replace(fault, targets=targets))
    return msgspec.structs.replace(plan, sidecars=count, faults=faults)
