"""Which upstreams have a slot free, kept so that a draw costs the same among ten and ten thousand.

Nothing here walks the list. An upstream lies in a bucket with those of about its weight, and is moved when the weight
changes; a draw picks a bucket, then one of it, and takes that by its weight or picks again (after Matias, Vitter and
Ni, "Dynamic generation of discrete random variates", 2003). Upstreams that start at about the same time come due
together, by one figure for all of them. Events and their meaning: garnetusher/policy/events.py.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Container, Iterable
from itertools import islice

from garnetusher.policy.events import Endpoint
from garnetusher.policy.settings import Settings

MAX_SLOTS = 8  # no endpoint gets more from one sidecar, however quick its responses
MIN_SLOT_LIMIT = 1 / 64  # a failing endpoint is tried about once in 64 usual response times
TARGET_LOAD = 0.85  # of the slow response time, where slots settle: more chokes endpoints, less sheds too early
INITIAL_SLOTS = 3.0  # a busy sidecar would fill one each in its first moment, and refuse till more open
WARMING_SHARE = 0.45  # of the multiple that pushes a cold upstream over: its work comes in lumps
COHORTS_PER_WARM_UP = 64  # in the time of a warm-up: what starts within one counts as started at its end
RECOUNT_INTERVAL_US = (
    10_000  # between counts of what is warm: in a warm-up of seconds a part moves by under one in a hundred
)
MAX_WARMED_UP_PER_EVENT = 256  # upstreams that an event takes for warm at the most, so that none is held up


class EndpointState:
    """What this sidecar knows of one upstream."""

    __slots__ = (
        "bucket",
        "bucket_index",
        "bucket_key",
        "cohort",
        "consecutive_failures",
        "due_at_accrual",
        "ejected_until_us",
        "endpoint",
        "in_use",
        "latency_ratio",
        "listed",
        "logged_as_ejected",
        "open_fraction",
        "pool",
        "send_due",
        "slot_limit",
        "slots_used",
        "started_us",
        "weight",
    )

    def __init__(self, entry: Endpoint, pool: Pool) -> None:
        self.endpoint = entry
        self.started_us = entry.started_us  # as listed, or as its zone's return tells
        self.pool = pool
        self.slots_used = 0  # slots taken by this sidecar's sends
        self.slot_limit = INITIAL_SLOTS  # slots open while it is well; below 1 the one slot rests between sends
        self.ejected_until_us = 0
        self.consecutive_failures = 0  # attempts that failed at once since the last that did not
        self.latency_ratio = 1.0  # time of its answers beside those of the others, smoothed
        self.logged_as_ejected = False  # as last logged
        self.listed = True  # as ready; else it is forgotten, and only ends of attempts are still to come
        self.in_use = False  # its slots are open; the others' stay closed till needed
        self.cohort: SlowStartCohort | None = None  # while it is cold
        self.send_due = False  # while it is cold: a send has come due to it
        self.due_at_accrual = 0.0  # else the growth of its cohort at which one does
        self.open_fraction = 1.0  # of its slots that are open: as warm as it was when that send came due
        self.weight = 0.0  # of its free slots
        self.bucket: list[EndpointState] | None = None  # where it lies while it has any
        self.bucket_index = 0  # in its bucket
        self.bucket_key = (0, False, False, 0)  # of its bucket


class SlowStartCohort:
    """Cold upstreams of a pool that started at about the same time. Hazard: called warm any sooner than they surely
    are, they would be let in to by all sidecars at one moment, which together push them over (rule 4)."""

    def __init__(self, started_us: int) -> None:
        self.started_us = started_us
        self.members: dict[int, EndpointState] = {}
        self.share = 0.0  # how much one gets beside a warm one, at the last count
        self.accrued = 0.0  # sends that have come due to each since the first
        self.pending: list[
            tuple[float, int, EndpointState]
        ] = []  # (growth at which it is due, ...); a heap, some stale

    def schedule_send(self, server: EndpointState, by: float) -> None:
        """One send comes due to it when the cohort has grown by so much."""
        server.send_due, server.due_at_accrual = False, self.accrued + by
        heapq.heappush(self.pending, (server.due_at_accrual, server.endpoint.id, server))


class Pool:
    """Upstreams thinned together: all, or, where crossing zones costs, those of a tier: this zone, this region's
    others, other regions'."""

    def __init__(self, settings: Settings, now_us: int) -> None:
        self.settings = settings
        self.admitted_fraction = 1.0  # part of the draws that may take a slot: falls while answers are slow all over
        self.admission_credit = 1.0  # draws admitted and not yet used
        self.load = 0.0  # its answers' times of late: 1 = half the aim
        self.served = 0.0  # answers so far, and what arrivals count for beside them
        self.unserved = 0.0  # of what finds no slot, how much may still count beside them
        self.distributed = 0.0  # of them, those of which cold upstreams have had their parts
        self.send_rate_per_s = 0.0  # sends a second, of late
        self.send_rate_updated_us = now_us
        self.last_arrival_us = now_us  # of the last request
        self.latency_ratio = 1.0  # of its answers, smoothed: far away they take longer
        self.exhausted_us = 0  # when a request last found no free slot here
        self.size = 0
        self.total_share = 1.0  # each by its part, as counted last
        self.next_recount_us = 0  # when to count them again
        self.zones: dict[int, dict[int, EndpointState]] = {}  # its upstreams, by zone
        self.in_use: dict[int, EndpointState] = {}  # those whose slots are open
        self.cohorts: dict[int, SlowStartCohort] = {}  # the cold ones, by the start that they are counted from
        self.buckets: dict[tuple[int, bool, bool, int], list[EndpointState]] = {}  # those with a free slot: see `weigh`
        self.ejections: list[tuple[int, int, EndpointState]] = []  # (its end, ...); a heap, some stale

    # Who is there

    def add(self, server: EndpointState, now_us: int, due: float) -> None:
        self.size, self.next_recount_us = self.size + 1, 0
        self.zones.setdefault(server.endpoint.zone, {})[server.endpoint.id] = server
        self.begin_warm_up(server, now_us, due)

    def remove(self, server: EndpointState) -> None:
        self.size, self.next_recount_us = self.size - 1, 0
        server.listed = False
        self.set_in_use(server, 0, in_use=False)
        self.end_warm_up(server)
        self.remove_from_bucket(server)
        members = self.zones[server.endpoint.zone]
        del members[server.endpoint.id]
        if not members:
            del self.zones[server.endpoint.zone]

    def set_in_use(self, server: EndpointState, now_us: int, *, in_use: bool) -> None:
        """Open its slots, or close them till they are needed."""
        if in_use != server.in_use:
            server.in_use = in_use
            if in_use:
                self.in_use[server.endpoint.id] = server
            else:
                del self.in_use[server.endpoint.id]
            self.update_weight(server, now_us)

    # Cold upstreams

    def begin_warm_up(self, server: EndpointState, now_us: int, due: float) -> None:
        """It is new, or has started anew. Of the first send to it `due` has come due, from 0 to 1."""
        self.end_warm_up(server)
        self.next_recount_us = 0
        if server.started_us > 0 and now_us - server.started_us < self.settings.warm_up_us:
            if self.served > self.distributed:
                self.accrue(now_us)  # what was served before it came is not for it
            width = max(1, self.settings.warm_up_us // COHORTS_PER_WARM_UP)
            counted_us = -(-server.started_us // width) * width
            server.cohort = self.cohorts.setdefault(counted_us, SlowStartCohort(counted_us))
            server.cohort.members[server.endpoint.id] = server
            server.cohort.schedule_send(server, 1.0 - due)
        self.update_weight(server, now_us)

    def end_warm_up(self, server: EndpointState) -> None:
        """It is no cold one any more."""
        cohort, server.cohort, server.send_due, server.open_fraction = server.cohort, None, False, 1.0
        if cohort is not None:
            del cohort.members[server.endpoint.id]
            if not cohort.members:
                del self.cohorts[cohort.started_us]

    def all_warming(self) -> bool:
        """Whether none of them sets the pace."""
        return 0 < self.size == sum(len(cohort.members) for cohort in self.cohorts.values())

    def accrue(self, now_us: int) -> None:
        """Rule 4: a cold upstream gets its part, by warmth, of what this sidecar sees served by its pool; and the fleet
        serves no more than it can, however much is asked of it. Hazard: a cold one's warmth is the least it can have,
        and successors kept to that idle while the old ones are crowded. Hazard: beside many others its part takes a
        light sidecar seconds, while it warms: it is counted by the warmth of now."""
        served, self.distributed = self.served - self.distributed, self.served
        if not self.cohorts:
            return
        if now_us >= self.next_recount_us:
            self.recount(now_us)
        each = served / self.total_share
        for cohort in self.cohorts.values():
            cohort.accrued += cohort.share * each
            while cohort.pending and cohort.pending[0][0] <= cohort.accrued:
                at, _, server = heapq.heappop(cohort.pending)
                if server.cohort is cohort and not server.send_due and server.due_at_accrual == at:
                    server.send_due, server.open_fraction = True, min(1.0, cohort.share)
                    self.update_weight(server, now_us)

    def recount(self, now_us: int) -> None:
        """The parts of now, for a little while; and what is warm by now is no cold one any more."""
        s, self.total_share, self.next_recount_us = self.settings, float(self.size), now_us + RECOUNT_INTERVAL_US
        rate, times = (1.0 - s.warm_up_initial_fraction) / max(1, s.warm_up_us), WARMING_SHARE * s.overload_factor
        warmed = []
        for cohort in self.cohorts.values():
            age_us = max(0, now_us - cohort.started_us)
            if age_us >= s.warm_up_us:
                warmed.append(cohort)
            cohort.share = 1.0 if age_us >= s.warm_up_us else times * (s.warm_up_initial_fraction + rate * age_us)
            self.total_share += (cohort.share - 1.0) * len(cohort.members)
        for cohort in warmed:
            for server in list(islice(cohort.members.values(), MAX_WARMED_UP_PER_EVENT)):
                self.end_warm_up(server)
                self.update_weight(server, now_us)

    # Free slots

    def open_slots(self, server: EndpointState, now_us: int) -> int:
        """How many of this sidecar's sends an upstream may have now; the one place where health lives."""
        if now_us < server.ejected_until_us or (server.cohort is not None and not server.send_due):
            return 0
        # hazard: with one slot, however warm, the last to warm up are left idle beside requests that find none
        return max(1, int(server.slot_limit * server.open_fraction))

    def update_weight(self, server: EndpointState, now_us: int) -> None:
        """To be called when anything of it has changed: it counts by its free slots, and less where it is slow."""
        free = self.open_slots(server, now_us) - server.slots_used
        if free <= 0 or not server.listed:
            self.remove_from_bucket(server)
            return
        server.weight = free / server.latency_ratio**2
        # a bucket's weights lie between half of its size, a power of two, and the whole
        key = (server.endpoint.zone, server.in_use, server.cohort is not None, math.frexp(server.weight)[1])
        if server.bucket is None or server.bucket_key != key:
            self.remove_from_bucket(server)
            server.bucket_key, server.bucket = key, self.buckets.setdefault(key, [])
            server.bucket_index = len(server.bucket)
            server.bucket.append(server)

    def remove_from_bucket(self, server: EndpointState) -> None:
        """Out of its bucket."""
        bucket, server.bucket = server.bucket, None
        if bucket is None:
            return
        last = bucket.pop()
        if last is not server:
            bucket[server.bucket_index], last.bucket_index = last, server.bucket_index
        if not bucket:
            del self.buckets[server.bucket_key]

    def eject(self, server: EndpointState, until_us: int) -> None:
        """Its slots are closed till then."""
        server.ejected_until_us = until_us
        heapq.heappush(self.ejections, (until_us, server.endpoint.id, server))

    def next_readmission_us(self) -> int:
        """When the next rest ends; 0: nobody rests."""
        while self.ejections and self.ejections[0][2].ejected_until_us != self.ejections[0][0]:
            heapq.heappop(self.ejections)
        return self.ejections[0][0] if self.ejections else 0

    def readmit(self, now_us: int) -> None:
        """Open the slots of those whose rest is over."""
        while 0 < self.next_readmission_us() <= now_us:
            self.update_weight(heapq.heappop(self.ejections)[2], now_us)

    def free_buckets(
        self, shut: Container[int], used: bool | None, cold: bool | None
    ) -> list[tuple[float, list[EndpointState]]]:
        """The buckets, with their sizes, of those with a slot free and in no zone that is shut; `used` and `cold` ask
        for these alone."""
        return [
            (math.ldexp(1.0, exponent), bucket)
            for (at, in_use, is_cold, exponent), bucket in self.buckets.items()
            if at not in shut and (used is None or in_use == used) and (cold is None or is_cold == cold)
        ]

    def draw(
        self, rng: random.Random, shut: Container[int], used: bool | None, cold: bool | None
    ) -> EndpointState | None:
        """A random one of them, by weight; None if there is none."""
        buckets = self.free_buckets(shut, used, cold)
        whole = sum(size * len(bucket) for size, bucket in buckets)
        while buckets:
            place = rng.random() * whole
            for size, bucket in buckets:
                if place < size * len(bucket):
                    number = int(place / size)
                    if place - number * size < bucket[number].weight:
                        return bucket[number]
                    break  # once in two times, at the most
                place -= size * len(bucket)
        return None

    def withdraw(self, servers: Iterable[EndpointState]) -> list[EndpointState]:
        """Take these out of the next draws; whoever asks for it weighs them again."""
        out = [server for server in servers if server.bucket is not None and server.pool is self]
        for server in out:
            self.remove_from_bucket(server)
        return out
