"""Makes a play that fails smaller: fewer troubles, then fewer processes, as long as it still breaks the same rule."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from garnetusher.lab.soak.plan import OF_UPSTREAMS, Plan

TRIES = 3  # a crossing is met by chance: a smaller play counts as sound only if it holds so often in a row


def reduced(plan: Plan, rules: set[str], broken: Callable[[Plan], set[str]], most_plays: int) -> Plan:
    """The smallest play found in so many; `broken` plays one and says which rules it broke."""
    left = most_plays

    def still(smaller: Plan) -> bool:
        nonlocal left
        for _ in range(TRIES):
            if left <= 0:
                return False
            left -= 1
            if broken(smaller) & rules:
                return True
        return False

    smallest = plan
    for smaller in _candidates(plan):
        candidate = smaller(smallest)
        if candidate is not None and still(candidate):
            smallest = candidate
    return msgspec.structs.replace(smallest, failed=sorted(rules))


def _candidates(plan: Plan) -> Iterable[Callable[[Plan], Plan | None]]:
    for trouble in plan.troubles:
        yield lambda it, trouble=trouble: it.without(trouble)  # type: ignore[misc]
    yield fewer_sidecars
    yield fewer_sidecars


def fewer_sidecars(plan: Plan) -> Plan | None:
    """Half of the processes; troubles that struck only the others are left out."""
    if plan.sidecars < 2:
        return None
    count = plan.sidecars // 2
    troubles = []
    for trouble in plan.troubles:
        if trouble.kind in OF_UPSTREAMS:
            troubles.append(trouble)
        elif targets := [target for target in trouble.targets if target < count]:
            troubles.append(msgspec.structs.replace(trouble, targets=targets))
    return msgspec.structs.replace(plan, sidecars=count, troubles=troubles)
