"""Slow start: endpoints that have just started get a share of the traffic that grows while they warm up.

Endpoints of a pool that started at about the same time form a cohort, for which sends are accrued by one figure, so
that the cost of a request does not grow with the number of endpoints.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import islice

from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.settings import Settings

WARMING_SHARE = 0.45  # of the multiple that overloads a warming endpoint: its work comes in lumps
COHORTS_PER_WARM_UP = 64  # an endpoint counts as started at the end of its cohort's interval
RECOUNT_INTERVAL_US = 10_000  # between recounts: in a warm-up of seconds a share moves by less than a hundredth
MAX_WARMED_UP_PER_EVENT = 256  # endpoints that an event takes for warmed up at the most, so that none is held up


class SlowStartCohort:
    """Endpoints that started at about the same time.

    They count as warmed up only when they surely are. Sooner, all sidecars would open their slots at one moment and
    overload them together (rule 4).

    Attributes:
        started_us: the latest start that a member can have.
        members: the endpoints, by id.
        share: how much one of them gets beside a warmed up endpoint, at the last recount.
        accrued: sends that have come due to each since the first.
    """

    def __init__(self, started_us: int) -> None:
        self.started_us = started_us
        self.members: dict[int, EndpointState] = {}
        self.share = 0.0
        self.accrued = 0.0
        self._pending: list[tuple[float, int, EndpointState]] = []  # (due at, endpoint id, ...); a heap, some outdated

    def schedule_send(self, state: EndpointState, after: float) -> None:
        """Let one send come due to an endpoint when the cohort has accrued so much more."""
        state.send_due, state.due_at_accrual = False, self.accrued + after
        heapq.heappush(self._pending, (state.due_at_accrual, state.endpoint.id, state))

    def accrue(self, amount: float) -> list[EndpointState]:
        """Accrue sends and return the endpoints to which one has come due."""
        self.accrued += amount
        due: list[EndpointState] = []
        while self._pending and self._pending[0][0] <= self.accrued:
            due_at, _, state = heapq.heappop(self._pending)
            if state.cohort is self and not state.send_due and state.due_at_accrual == due_at:
                state.send_due, state.open_fraction = True, min(1.0, self.share)
                due.append(state)
        return due


class SlowStart:
    """The warming endpoints of one pool.

    Attributes:
        settings: the operator's settings.
        size: how many endpoints the pool has.
        cohorts: by the start that they are counted from.
        served: responses so far, and what arrivals count for beside them.
    """

    def __init__(self, settings: Settings, update_weight: Callable[[EndpointState, int], None]) -> None:
        self.settings = settings
        self.size = 0
        self.cohorts: dict[int, SlowStartCohort] = {}
        self.served = 0.0
        self._update_weight = update_weight
        self._distributed = 0.0  # the part of `served` of which the cohorts have had their shares
        self._total_share = 1.0  # of all endpoints, a warmed up one counting 1, at the last recount
        self._next_recount_us = 0

    def change_size(self, by: int) -> None:
        """Note that the pool has got more or fewer endpoints."""
        self.size += by
        self._next_recount_us = 0

    def begin(self, state: EndpointState, now_us: int, first_send_accrued: float) -> None:
        """Put an endpoint that is new, or has started anew, into its cohort.

        Args:
            state: the endpoint; one that has warmed up long ago joins no cohort.
            now_us: the time.
            first_send_accrued: how much of the first send to it has accrued, from 0 to 1.
        """
        self.end(state)
        self._next_recount_us = 0
        warm_up_us = self.settings.warm_up_us
        if state.started_us > 0 and now_us - state.started_us < warm_up_us:
            if self.served > self._distributed:
                self.accrue(now_us)  # what was served before it came is not for it
            interval_us = max(1, warm_up_us // COHORTS_PER_WARM_UP)
            counted_us = -(-state.started_us // interval_us) * interval_us
            state.cohort = self.cohorts.setdefault(counted_us, SlowStartCohort(counted_us))
            state.cohort.members[state.endpoint.id] = state
            state.cohort.schedule_send(state, 1.0 - first_send_accrued)
        self._update_weight(state, now_us)

    def end(self, state: EndpointState) -> None:
        """Take an endpoint out of its cohort, if it is in one."""
        cohort, state.cohort = state.cohort, None
        state.send_due, state.open_fraction = False, 1.0
        if cohort is not None:
            del cohort.members[state.endpoint.id]
            if not cohort.members:
                del self.cohorts[cohort.started_us]

    def all_warming(self) -> bool:
        """Return whether every endpoint of the pool is warming up, so that none sets the pace."""
        return 0 < self.size == sum(len(cohort.members) for cohort in self.cohorts.values())

    def accrue(self, now_us: int) -> None:
        """Let sends come due to warming endpoints, by their share of what the pool has served meanwhile.

        Rule 4: the fleet serves no more than it can, however much is asked of it. By initial shares alone successors
        would idle while the old endpoints are crowded; and beside many others a light sidecar takes seconds for a
        share, in which the endpoint warms up: so it is counted by the warm-up of now.
        """
        served, self._distributed = self.served - self._distributed, self.served
        if not self.cohorts:
            return
        if now_us >= self._next_recount_us:
            self._recount(now_us)
        served_each = served / self._total_share
        for cohort in self.cohorts.values():
            for state in cohort.accrue(cohort.share * served_each):
                self._update_weight(state, now_us)

    def _recount(self, now_us: int) -> None:
        """Compute the shares of now and release endpoints that have warmed up."""
        settings = self.settings
        self._total_share, self._next_recount_us = float(self.size), now_us + RECOUNT_INTERVAL_US
        growth_per_us = (1.0 - settings.warm_up_initial_fraction) / max(1, settings.warm_up_us)
        warmed_up = []
        for cohort in self.cohorts.values():
            age_us = max(0, now_us - cohort.started_us)
            if age_us >= settings.warm_up_us:
                warmed_up.append(cohort)
                cohort.share = 1.0
            else:
                warm_up_fraction = settings.warm_up_initial_fraction + growth_per_us * age_us
                cohort.share = WARMING_SHARE * settings.overload_factor * warm_up_fraction
            self._total_share += (cohort.share - 1.0) * len(cohort.members)
        for cohort in warmed_up:
            for state in list(islice(cohort.members.values(), MAX_WARMED_UP_PER_EVENT)):
                self.end(state)
                self._update_weight(state, now_us)
