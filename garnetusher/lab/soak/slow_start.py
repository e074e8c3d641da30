"""Checks that the sidecars together do not overload an upstream that has just started.

An upstream in slow start has a growing fraction of its capacity. Within every window of `OVERLOAD_WINDOW_S` it may
receive `OVERLOAD_FACTOR` times the requests that it can process in that window, with a tolerance for random bursts. An
overload is a breach only if most of its attempts come from sidecars that knew of the upstream's start.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from garnetusher.lab.soak.allowances import Allowances
from garnetusher.lab.soak.discovery import KNOWN_AFTER_SILENCE_S
from garnetusher.lab.soak.plan import COLD_SHARE, OVERLOAD_FACTOR, OVERLOAD_WINDOW_S, WARM_UP_S, Plan
from garnetusher.lab.soak.records import Attempt, EndpointStatus, Records

INFORMED_SHARE = 2 / 3  # an overload is a breach if a larger share of its attempts is from informed sidecars
# A fault hits at most half of the upstreams, so the other half must be able to process the whole load.
CAPACITY_MARGIN = 2.0
SMALL_BUDGET = 30  # a budget below this many requests has a larger relative tolerance


@dataclass(frozen=True, slots=True)
class Overload:
    """One overload of an upstream in slow start.

    Attributes:
        upstream: The number of the upstream.
        at_s: The time of the attempt that exceeded the limit, in seconds of the monotonic clock.
        age_s: The time since the start of the upstream.
        attempts: The number of attempts in the window that ends at `at_s`.
        informed: The number of these attempts from sidecars that knew of the start.
        limit: The largest number of attempts that is allowed in the window.
    """

    upstream: int
    at_s: float
    age_s: float
    attempts: int
    informed: int
    limit: float

    def __str__(self) -> str:
        return (
            f"u{self.upstream}, started {self.age_s:.1f} s before, received {self.attempts} attempts in "
            f"{OVERLOAD_WINDOW_S:g} s, {self.informed} of them from sidecars that knew of the start; "
            f"the limit is {self.limit:.0f}"
        )


def find_overloads(plan: Plan, records: Records, allowances: Allowances) -> Iterator[Overload]:
    """Yield the first overload of each start of an upstream that is a breach."""
    attempts: dict[tuple[int, int], list[Attempt]] = defaultdict(list)
    for attempt in records.attempts:
        if not attempt.queued and not allowances.was_frozen(attempt):
            attempts[attempt.upstream, attempt.incarnation].append(attempt)
    notifications = _Notifications(records, allowances)
    for restart in records.upstream_restarts:
        received = sorted(attempts[restart.upstream, restart.incarnation], key=lambda attempt: attempt.first_byte_s)
        informed = [notifications.was_informed(attempt, restart.at_s) for attempt in received]
        overload = _first_overload(plan, allowances, restart.at_s, received, informed)
        if overload is not None:
            yield overload


def _first_overload(
    plan: Plan, allowances: Allowances, started_s: float, attempts: list[Attempt], informed: list[bool]
) -> Overload | None:
    first = 0
    for last, attempt in enumerate(attempts):
        at_s = attempt.first_byte_s
        age_s = at_s - started_s
        if age_s > WARM_UP_S:
            return None
        while attempts[first].first_byte_s <= at_s - OVERLOAD_WINDOW_S:
            first += 1
        received = last + 1 - first
        limit = burst_limit(allowed_requests(plan, age_s, allowances.recording_slack_s(at_s)))
        informed_attempts = sum(informed[first : last + 1])
        if received > limit and informed_attempts > INFORMED_SHARE * received:
            return Overload(attempt.upstream, at_s, age_s, received, informed_attempts, limit)
    return None


def allowed_requests(plan: Plan, age_s: float, slack_s: float = 0.0) -> float:
    """Return the number of requests that a starting upstream may receive on average within one window.

    Args:
        plan: The plan, from which the capacity of an upstream follows.
        age_s: The time from the start of the upstream to the end of the window.
        slack_s: The time by which the records of the attempts in the window may be late.
    """
    capacity_per_s = CAPACITY_MARGIN * plan.sidecars * plan.rate_per_s / plan.upstreams
    mean_fraction = (_capacity_fraction(age_s - OVERLOAD_WINDOW_S) + _capacity_fraction(age_s)) / 2
    return OVERLOAD_FACTOR * capacity_per_s * mean_fraction * (OVERLOAD_WINDOW_S + slack_s)


def burst_limit(mean: float) -> float:
    """Return the largest number of requests that counts as a random burst if `mean` requests are allowed on average."""
    if mean < SMALL_BUDGET:
        return mean + 3 * math.sqrt(mean) + 3
    return mean + 2 * math.sqrt(mean) + 2


def _capacity_fraction(age_s: float) -> float:
    """Return an upstream's capacity relative to that of a warm one; before its start, the capacity at its start."""
    return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * max(0.0, age_s) / WARM_UP_S)


class _Notifications:
    """The times at which the sidecars knew of the starts of upstreams."""

    def __init__(self, records: Records, allowances: Allowances) -> None:
        self._allowances = allowances
        self._notified_by_s: dict[tuple[int, int], list[float]] = defaultdict(list)
        for change in records.endpoint_changes:
            if change.status is EndpointStatus.ACTIVE:
                self._notified_by_s[change.sidecar, change.upstream].append(change.notified_by_s)

    def was_informed(self, attempt: Attempt, started_s: float) -> bool:
        """Return whether the sidecar knew of the upstream's start when it began an attempt.

        A process that started later than the upstream knows of it once it has the endpoint list.
        """
        process_started_s = self._allowances.last_start_s(attempt.sidecar, attempt.first_byte_s)
        if process_started_s is not None and process_started_s > started_s:
            return attempt.first_byte_s >= process_started_s + KNOWN_AFTER_SILENCE_S
        notified_by_s = self._notified_by_s[attempt.sidecar, attempt.upstream]
        return any(started_s <= time_s <= attempt.first_byte_s for time_s in notified_by_s)
