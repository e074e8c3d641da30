"""Reduces a plan that fails: fewer faults, then fewer processes, as long as it still breaks the same rule."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from garnetusher.lab.soak.plan import UPSTREAM_FAULTS, Plan

RUNS_OF_CANDIDATE = 3  # a race is met by chance: a smaller plan passes only if it passes so often in a row
HALVINGS = 2


class PlanReducer:
    """Finds a smaller plan that breaks one of the same rules, in a limited number of runs."""

    def __init__(self, rules: set[str], broken_rules: Callable[[Plan], set[str]], max_runs: int) -> None:
        self._rules = rules
        self._broken_rules = broken_rules
        self._runs_left = max_runs

    def reduce(self, plan: Plan) -> Plan:
        """Return the smallest plan found."""
        smallest = plan
        for fault in plan.faults:
            smallest = self._smaller(smallest, smallest.without(fault))
        for _ in range(HALVINGS):
            candidate = halve_sidecars(smallest)
            if candidate is not None:
                smallest = self._smaller(smallest, candidate)
        return msgspec.structs.replace(smallest, broken_rules=sorted(self._rules))

    def _smaller(self, plan: Plan, candidate: Plan) -> Plan:
        return candidate if self._still_fails(candidate) else plan

    def _still_fails(self, candidate: Plan) -> bool:
        return any(broken & self._rules for broken in self._runs(candidate))

    def _runs(self, candidate: Plan) -> Iterator[set[str]]:
        for _ in range(RUNS_OF_CANDIDATE):
            if self._runs_left <= 0:
                return
            self._runs_left -= 1
            yield self._broken_rules(candidate)


def reduced(plan: Plan, rules: set[str], broken_rules: Callable[[Plan], set[str]], max_runs: int) -> Plan:
    """Return the smallest plan found in `max_runs` runs; `broken_rules` runs a plan and returns what it broke."""
    return PlanReducer(rules, broken_rules, max_runs).reduce(plan)


def halve_sidecars(plan: Plan) -> Plan | None:
    """Return the plan with half of its sidecars and the faults that still have a target, or None for a single one."""
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
