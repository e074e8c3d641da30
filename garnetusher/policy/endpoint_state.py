"""What this sidecar knows of one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetusher.policy.events import Endpoint

if TYPE_CHECKING:
    from garnetusher.policy.slots import Pool
    from garnetusher.policy.slow_start import SlowStartCohort

INITIAL_SLOTS = 3.0  # a busy sidecar would fill one each in its first moment, and shed until more open

BucketKey = tuple[int, bool, bool, int]  # zone, in use, warming up, exponent of the weight


class EndpointState:
    """One ready endpoint, with its slots, its health and its place in the pool's buckets.

    Attributes:
        endpoint: its entry in the endpoint list.
        pool: the pool of its tier.
        started_us: its start as listed, or as the return of its zone shows.
        slots_used: slots taken by this sidecar's attempts.
        slot_limit: slots open while it is well; below 1 its one slot is closed for a time between attempts.
        ejected_until_us: its slots are closed till then.
        consecutive_failures: attempts that failed immediately since the last that did not.
        latency_ratio: the time of its responses beside the usual one, smoothed.
        logged_as_ejected: what the log says of it.
        listed: otherwise it has been removed, and only ends of attempts are still to come.
        in_use: its slots are open; those of others stay closed till they are needed.
        cohort: its cohort while it is warming up.
        send_due: while it is warming up, whether a send is due.
        due_at_accrual: otherwise the accrual of its cohort at which one will be.
        open_fraction: the part of its slots that is open, by its warm-up when that send came due.
        weight: of its free slots, in draws.
        bucket: the bucket it lies in; None while it has no free slot.
        bucket_index: its index there.
        bucket_key: the key of that bucket.
    """

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

    def __init__(self, endpoint: Endpoint, pool: Pool) -> None:
        self.endpoint = endpoint
        self.pool = pool
        self.started_us = endpoint.started_us
        self.slots_used = 0
        self.slot_limit = INITIAL_SLOTS
        self.ejected_until_us = 0
        self.consecutive_failures = 0
        self.latency_ratio = 1.0
        self.logged_as_ejected = False
        self.listed = True
        self.in_use = False
        self.cohort: SlowStartCohort | None = None
        self.send_due = False
        self.due_at_accrual = 0.0
        self.open_fraction = 1.0
        self.weight = 0.0
        self.bucket: list[EndpointState] | None = None
        self.bucket_index = 0
        self.bucket_key: BucketKey = (0, False, False, 0)
