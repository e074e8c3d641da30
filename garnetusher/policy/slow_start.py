"""Slow start: limits endpoints that have just started to a share of the traffic that grows while they warm up.

Each response that a pool counts adds a fraction of an attempt to every warming endpoint, in proportion to its share of
the traffic. When the fractions of an endpoint add up to one (they accrue), an attempt is due: the endpoint may receive
its next attempt. Endpoints that started at about the same time form a cohort and have the same share. One counter per
cohort (`accrued`) is therefore enough, and the cost of a request does not grow with the number of endpoints.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import islice

from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.settings import Settings

# A warming endpoint is loaded up to this fraction of its overload factor, because its work arrives unevenly.
WARMING_SHARE = 0.45
# The warm-up time is divided into this many intervals. Endpoints that started in the same interval form a cohort, and
# their warm-up is counted from the end of that interval.
COHORTS_PER_WARM_UP = 64
SHARE_UPDATE_INTERVAL_US = 10_000  # during a warm-up of seconds, a share changes by less than 1% between updates
# Maximum number of endpoints of a cohort that one event marks as warmed up, so that the event does not take too long.
MAX_WARMED_UP_PER_EVENT = 256


class SlowStartCohort:
    """Endpoints that started at about the same time.

    Endpoints count as warmed up only when all members of the cohort have warmed up for certain. If they counted as
    warmed up before that, all sidecars would use all their slots at the same time and overload the endpoints, which
    rule 4 forbids.

    Attributes:
        started_us: latest possible start time of a member.
        members: the endpoints by id.
        share: traffic of one member relative to that of a warmed-up endpoint, as of the last update of the shares.
        accrued: number of attempts, with fractions, that each member has accrued since the cohort was created.
    """

    def __init__(self, started_us: int) -> None:
        self.started_us = started_us
        self.members: dict[int, EndpointState] = {}
        self.share = 0.0
        self.accrued = 0.0
        # heap of (value of `accrued` at which an attempt is due, endpoint id, endpoint); some entries may be outdated
        self._pending: list[tuple[float, int, EndpointState]] = []

    def schedule_attempt(self, state: EndpointState, after: float) -> None:
        """Let an endpoint's next attempt be due when the cohort has accrued `after` more attempts."""
        state.attempt_due, state.due_at_accrual = False, self.accrued + after
        heapq.heappush(self._pending, (state.due_at_accrual, state.endpoint.id, state))

    def accrue(self, amount: float) -> list[EndpointState]:
        """Add to the accrued attempts and return the endpoints for which an attempt has become due."""
        self.accrued += amount
        due: list[EndpointState] = []
        while self._pending and self._pending[0][0] <= self.accrued:
            due_at, _, state = heapq.heappop(self._pending)
            if state.cohort is self and not state.attempt_due and state.due_at_accrual == due_at:
                state.attempt_due, state.open_fraction = True, min(1.0, self.share)
                due.append(state)
        return due


class SlowStart:
    """The warming endpoints of one pool.

    Attributes:
        settings: the operator's settings.
        size: number of endpoints in the pool, warming or not.
        cohorts: the cohorts by their `started_us`.
        counted_responses: number of responses so far, plus the number that admission adds for arrivals.
    """

    def __init__(self, settings: Settings, update_weight: Callable[[EndpointState, int], None]) -> None:
        self.settings = settings
        self.size = 0
        self.cohorts: dict[int, SlowStartCohort] = {}
        self.counted_responses = 0.0
        self._update_weight = update_weight
        self._distributed = 0.0  # part of `counted_responses` that has been distributed to the cohorts
        self._total_share = 1.0  # sum over all endpoints; a warmed-up one has a share of 1
        self._next_share_update_us = 0

    def change_size(self, delta: int) -> None:
        """Add to the number of endpoints in the pool; `delta` may be negative."""
        self.size += delta
        self._next_share_update_us = 0

    def begin(self, state: EndpointState, now_us: int, initial_accrued: float) -> None:
        """Put an endpoint that is new or has restarted into its cohort.

        Args:
            state: the endpoint; it joins no cohort if it has already warmed up.
            now_us: current time.
            initial_accrued: fraction of the endpoint's first attempt that has already accrued, from 0 to 1.
        """
        self.end(state)
        self._next_share_update_us = 0
        warm_up_us = self.settings.warm_up_us
        if state.started_us > 0 and now_us - state.started_us < warm_up_us:
            if self.counted_responses > self._distributed:
                self.accrue(now_us)  # responses from before the endpoint joined are distributed without it
            interval_us = max(1, warm_up_us // COHORTS_PER_WARM_UP)
            cohort_start_us = -(-state.started_us // interval_us) * interval_us
            state.cohort = self.cohorts.setdefault(cohort_start_us, SlowStartCohort(cohort_start_us))
            state.cohort.members[state.endpoint.id] = state
            state.cohort.schedule_attempt(state, 1.0 - initial_accrued)
        self._update_weight(state, now_us)

    def end(self, state: EndpointState) -> None:
        """Remove an endpoint from its cohort, if it is in one."""
        cohort, state.cohort = state.cohort, None
        state.attempt_due, state.open_fraction = False, 1.0
        if cohort is not None:
            del cohort.members[state.endpoint.id]
            if not cohort.members:
                del self.cohorts[cohort.started_us]

    def all_warming(self) -> bool:
        """Return whether every endpoint of the pool is warming up, so that no warm one shows how fast load may grow."""
        return 0 < self.size == sum(len(cohort.members) for cohort in self.cohorts.values())

    def accrue(self, now_us: int) -> None:
        """Add to the accrued attempts of warming endpoints their share of the responses counted since the last call.

        Responses are counted, not requests: the capacity of the endpoints limits the number of responses, however many
        requests arrive. This prevents the overload of warming endpoints that rule 4 forbids. The share of a cohort
        grows as its endpoints warm up: if it kept its initial value, new endpoints would idle while the old ones are
        overloaded. In a large pool, a sidecar with little traffic takes seconds to accrue one attempt, and the endpoint
        warms up in that time.
        """
        responses, self._distributed = self.counted_responses - self._distributed, self.counted_responses
        if not self.cohorts:
            return
        if now_us >= self._next_share_update_us:
            self._update_shares(now_us)
        responses_per_share = responses / self._total_share
        for cohort in self.cohorts.values():
            for state in cohort.accrue(cohort.share * responses_per_share):
                self._update_weight(state, now_us)

    def _update_shares(self, now_us: int) -> None:
        """Compute the current shares and end the slow start of endpoints that have warmed up."""
        settings = self.settings
        self._total_share, self._next_share_update_us = float(self.size), now_us + SHARE_UPDATE_INTERVAL_US
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
