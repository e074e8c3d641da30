"""Pool: the endpoints of one tier, their slots, and a weighted random choice among those with a free slot.

The cost of a choice does not grow with the number of endpoints.

No operation here iterates over all endpoints. Each bucket contains endpoints of similar weight; an endpoint moves to
another bucket when its weight changes. A draw picks a bucket and then an endpoint in it, which it accepts with a
probability proportional to the endpoint's weight; otherwise it draws again (after Matias, Vitter and Ni, "Dynamic
generation of discrete random variates", 2003).
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Container, Iterable

from garnetusher.policy.endpoint_state import BucketKey, EndpointState
from garnetusher.policy.settings import Settings
from garnetusher.policy.slow_start import SlowStart

MAX_SLOTS = 8  # maximum number of slots that one sidecar uses at an endpoint, however fast the endpoint responds
MIN_SLOT_LIMIT = 1 / 64  # a failing endpoint receives about one attempt per 64 mean response times
# The objective ratio of a response is its response time divided by half the latency objective. Slot limits fall while
# it is above this target. A higher target overloads the endpoints; with a lower one, requests are shed too early.
TARGET_OBJECTIVE_RATIO = 0.85


class Pool:
    """The endpoints of one tier: this zone, the region's other zones or other regions.

    If crossing zones is free, all endpoints are in one tier.

    Attributes:
        admitted_fraction: fraction of the draws that may take a slot; it falls while the whole pool responds slowly.
        admission_credit: number of attempts that the pool admits now; arrivals raise it and each attempt spends 1.
        objective_ratio: smoothed ratio of response times to half the latency objective.
        unserved_allowance: how many more requests without a free slot slow start may count as responses; each response
            raises it.
        attempt_rate_per_s: recent rate of attempts per second.
        attempt_rate_updated_us: time at which the rate was last computed.
        last_arrival_us: time at which the last request arrived.
        latency_ratio: smoothed ratio of response times to the mean response time of the request class; distant pools
            have a higher ratio.
        exhausted_us: last time at which a request found no free slot in this pool.
        zones: the pool's endpoints by zone and id.
        in_use: the subset of endpoints that this sidecar's traffic needs, by id.
        slow_start: the warming endpoints.
        buckets: the endpoints with a free slot; see `update_weight`.
        ejections: heap of (end of the ejection, endpoint id, endpoint); some entries may be outdated.
    """

    def __init__(self, settings: Settings, now_us: int) -> None:
        self.admitted_fraction = 1.0
        self.admission_credit = 1.0
        self.objective_ratio = 0.0
        self.unserved_allowance = 0.0
        self.attempt_rate_per_s = 0.0
        self.attempt_rate_updated_us = now_us
        self.last_arrival_us = now_us
        self.latency_ratio = 1.0
        self.exhausted_us = 0
        self.zones: dict[int, dict[int, EndpointState]] = {}
        self.in_use: dict[int, EndpointState] = {}
        self.slow_start = SlowStart(settings, self.update_weight)
        self.buckets: dict[BucketKey, list[EndpointState]] = {}
        self.ejections: list[tuple[int, int, EndpointState]] = []

    # Members

    def add(self, state: EndpointState, now_us: int, initial_accrued: float) -> None:
        """Add an endpoint; `SlowStart.begin` describes `initial_accrued`."""
        self.slow_start.change_size(1)
        self.zones.setdefault(state.endpoint.zone, {})[state.endpoint.id] = state
        self.slow_start.begin(state, now_us, initial_accrued)

    def remove(self, state: EndpointState) -> None:
        """Remove an endpoint; its outstanding attempts continue."""
        self.slow_start.change_size(-1)
        state.listed = False
        self.set_in_use(state, 0, in_use=False)
        self.slow_start.end(state)
        self._remove_from_bucket(state)
        members = self.zones[state.endpoint.zone]
        del members[state.endpoint.id]
        if not members:
            del self.zones[state.endpoint.zone]

    def set_in_use(self, state: EndpointState, now_us: int, *, in_use: bool) -> None:
        """Add an endpoint to the subset in use, or remove it."""
        if in_use == state.in_use:
            return
        state.in_use = in_use
        if in_use:
            self.in_use[state.endpoint.id] = state
        else:
            del self.in_use[state.endpoint.id]
        self.update_weight(state, now_us)

    # Slots

    def usable_slots(self, state: EndpointState, now_us: int) -> int:
        """Return how many concurrent attempts this sidecar may have at an endpoint, given its health and warm-up."""
        if now_us < state.ejected_until_us or (state.cohort is not None and not state.attempt_due):
            return 0
        # the number of usable slots grows during the warm-up: with a single slot until the end, an endpoint would be
        # partly idle while requests find no free slot
        return max(1, int(state.slot_limit * state.open_fraction))

    def update_weight(self, state: EndpointState, now_us: int) -> None:
        """Update an endpoint's weight and bucket. Call this after its free slots or latency ratio have changed."""
        free = self.usable_slots(state, now_us) - state.slots_used
        if free <= 0 or not state.listed:
            self._remove_from_bucket(state)
            return
        state.weight = free / state.latency_ratio**2
        # each bucket has a power of two as its maximum weight, and its members' weights are at least half of that
        key = (state.endpoint.zone, state.in_use, state.cohort is not None, math.frexp(state.weight)[1])
        if state.bucket is None or state.bucket_key != key:
            self._remove_from_bucket(state)
            state.bucket_key, state.bucket = key, self.buckets.setdefault(key, [])
            state.bucket_index = len(state.bucket)
            state.bucket.append(state)

    def _remove_from_bucket(self, state: EndpointState) -> None:
        bucket, state.bucket = state.bucket, None
        if bucket is None:
            return
        last = bucket.pop()
        if last is not state:
            bucket[state.bucket_index], last.bucket_index = last, state.bucket_index
        if not bucket:
            del self.buckets[state.bucket_key]

    # Ejection

    def eject(self, state: EndpointState, until_us: int) -> None:
        """Close an endpoint's slots until the given time."""
        state.ejected_until_us = until_us
        heapq.heappush(self.ejections, (until_us, state.endpoint.id, state))

    def next_readmission_us(self) -> int:
        """Return the earliest end of an ejection; 0 = no endpoint is ejected."""
        while self.ejections and self.ejections[0][2].ejected_until_us != self.ejections[0][0]:
            heapq.heappop(self.ejections)
        return self.ejections[0][0] if self.ejections else 0

    def readmit(self, now_us: int) -> None:
        """Open the slots of the endpoints whose ejection has ended."""
        while 0 < self.next_readmission_us() <= now_us:
            self.update_weight(heapq.heappop(self.ejections)[2], now_us)

    # Draws

    def free_buckets(
        self, excluded: Container[int], *, in_use: bool | None = None, warming: bool | None = None
    ) -> list[tuple[float, list[EndpointState]]]:
        """Return (maximum weight, bucket) for the endpoints with a free slot.

        Args:
            excluded: numbers of the zones to leave out.
            in_use: True = only endpoints in use, False = only endpoints not in use, None = both.
            warming: True = only warming endpoints, False = only warmed-up endpoints, None = both.
        """
        return [
            (math.ldexp(1.0, exponent), bucket)
            for (zone, is_in_use, is_warming, exponent), bucket in self.buckets.items()
            if zone not in excluded
            and (in_use is None or is_in_use == in_use)
            and (warming is None or is_warming == warming)
        ]

    def draw(
        self, rng: random.Random, excluded: Container[int], *, in_use: bool | None = None, warming: bool | None = None
    ) -> EndpointState | None:
        """Draw an endpoint with a free slot by weight; None if there is none. Takes the arguments of `free_buckets`."""
        buckets = self.free_buckets(excluded, in_use=in_use, warming=warming)
        total = sum(max_weight * len(bucket) for max_weight, bucket in buckets)
        while buckets:
            point = rng.random() * total
            for max_weight, bucket in buckets:
                if point < max_weight * len(bucket):
                    index = int(point / max_weight)
                    if point - index * max_weight < bucket[index].weight:
                        return bucket[index]
                    break  # rejected, with a probability of at most 1/2: draw again
                point -= max_weight * len(bucket)
        return None

    def withdraw(self, states: Iterable[EndpointState]) -> list[EndpointState]:
        """Remove endpoints from their buckets and return them; `update_weight` puts them back."""
        withdrawn = [state for state in states if state.bucket is not None and state.pool is self]
        for state in withdrawn:
            self._remove_from_bucket(state)
        return withdrawn
