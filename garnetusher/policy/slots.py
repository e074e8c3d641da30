"""Which endpoints have a slot free, kept so that a draw costs the same among ten and ten thousand.

Nothing here walks the list. An endpoint lies in a bucket with those of about its weight and is moved when the weight
changes; a draw picks a bucket, then an endpoint of it, and takes that by its weight or picks again (after Matias,
Vitter and Ni, "Dynamic generation of discrete random variates", 2003).
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Container, Iterable

from garnetusher.policy.endpoint_state import BucketKey, EndpointState
from garnetusher.policy.settings import Settings
from garnetusher.policy.slow_start import SlowStart

MAX_SLOTS = 8  # no endpoint gets more from one sidecar, however quick its responses
MIN_SLOT_LIMIT = 1 / 64  # a failing endpoint is tried about once in 64 usual response times
TARGET_LOAD = 0.85  # of the slow response time, where slots settle: more chokes endpoints, less sheds too early


class Pool:
    """The endpoints of one tier: this zone, this region's other zones, or other regions; one, where crossing is free.

    Attributes:
        admitted_fraction: part of the draws that may take a slot; it falls while responses are slow in the whole pool.
        admission_credit: draws admitted and not yet used.
        load: the time of its recent responses; 1 = half the latency objective.
        unserved: of the requests that find no slot, how much may still count for warming endpoints.
        send_rate_per_s: attempts a second, of late.
        send_rate_updated_us: when that was computed.
        last_arrival_us: when the last request arrived.
        latency_ratio: the time of its responses beside the usual one, smoothed: far away they take longer.
        exhausted_us: when a request last found no free slot here.
        zones: its endpoints by zone and id.
        in_use: the endpoints whose slots are open.
        slow_start: its warming endpoints.
        buckets: the endpoints with a free slot; see `update_weight`.
        ejections: a heap of (end, endpoint id, endpoint), some of them outdated.
    """

    def __init__(self, settings: Settings, now_us: int) -> None:
        self.admitted_fraction = 1.0
        self.admission_credit = 1.0
        self.load = 0.0
        self.unserved = 0.0
        self.send_rate_per_s = 0.0
        self.send_rate_updated_us = now_us
        self.last_arrival_us = now_us
        self.latency_ratio = 1.0
        self.exhausted_us = 0
        self.zones: dict[int, dict[int, EndpointState]] = {}
        self.in_use: dict[int, EndpointState] = {}
        self.slow_start = SlowStart(settings, self.update_weight)
        self.buckets: dict[BucketKey, list[EndpointState]] = {}
        self.ejections: list[tuple[int, int, EndpointState]] = []

    # Members

    def add(self, state: EndpointState, now_us: int, first_send_accrued: float) -> None:
        """Add an endpoint; `first_send_accrued` as in `SlowStart.begin`."""
        self.slow_start.change_size(1)
        self.zones.setdefault(state.endpoint.zone, {})[state.endpoint.id] = state
        self.slow_start.begin(state, now_us, first_send_accrued)

    def remove(self, state: EndpointState) -> None:
        """Remove an endpoint; attempts that are outstanding there still end."""
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
        """Open the slots of an endpoint, or close them till they are needed."""
        if in_use == state.in_use:
            return
        state.in_use = in_use
        if in_use:
            self.in_use[state.endpoint.id] = state
        else:
            del self.in_use[state.endpoint.id]
        self.update_weight(state, now_us)

    # Slots

    def open_slots(self, state: EndpointState, now_us: int) -> int:
        """Return how many attempts of this sidecar an endpoint may have now, by its health and warm-up."""
        if now_us < state.ejected_until_us or (state.cohort is not None and not state.send_due):
            return 0
        # with one slot until it has warmed up, an endpoint would be left idle beside requests that find none
        return max(1, int(state.slot_limit * state.open_fraction))

    def update_weight(self, state: EndpointState, now_us: int) -> None:
        """Weigh an endpoint by its free slots and its latency ratio; to be called when any of that has changed."""
        free = self.open_slots(state, now_us) - state.slots_used
        if free <= 0 or not state.listed:
            self._remove_from_bucket(state)
            return
        state.weight = free / state.latency_ratio**2
        # the weights in a bucket lie between half of its size, which is a power of two, and all of it
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
        """Close the slots of an endpoint till then."""
        state.ejected_until_us = until_us
        heapq.heappush(self.ejections, (until_us, state.endpoint.id, state))

    def next_readmission_us(self) -> int:
        """Return when the next ejection ends; 0 = no endpoint is ejected."""
        while self.ejections and self.ejections[0][2].ejected_until_us != self.ejections[0][0]:
            heapq.heappop(self.ejections)
        return self.ejections[0][0] if self.ejections else 0

    def readmit(self, now_us: int) -> None:
        """Open the slots of endpoints whose ejection is over."""
        while 0 < self.next_readmission_us() <= now_us:
            self.update_weight(heapq.heappop(self.ejections)[2], now_us)

    # Draws

    def free_buckets(
        self, excluded: Container[int], *, in_use: bool | None = None, warming: bool | None = None
    ) -> list[tuple[float, list[EndpointState]]]:
        """Return the buckets of endpoints with a free slot, each with its size.

        Args:
            excluded: zones that are left out.
            in_use: only endpoints whose slots are open, or only others; None = all.
            warming: only endpoints that are warming up, or only others; None = all.
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
        """Draw an endpoint with a free slot by weight; None if there is none. Arguments as in `free_buckets`."""
        buckets = self.free_buckets(excluded, in_use=in_use, warming=warming)
        total = sum(size * len(bucket) for size, bucket in buckets)
        while buckets:
            point = rng.random() * total
            for size, bucket in buckets:
                if point < size * len(bucket):
                    index = int(point / size)
                    if point - index * size < bucket[index].weight:
                        return bucket[index]
                    break  # draw again: at most every other time
                point -= size * len(bucket)
        return None

    def withdraw(self, states: Iterable[EndpointState]) -> list[EndpointState]:
        """Take endpoints out of the next draws and return them; the caller updates their weights afterwards."""
        withdrawn = [state for state in states if state.bucket is not None and state.pool is self]
        for state in withdrawn:
            self._remove_from_bucket(state)
        return withdrawn
