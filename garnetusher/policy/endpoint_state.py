"""State that this sidecar keeps for one endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetusher.policy.events import Endpoint

if TYPE_CHECKING:
    from garnetusher.policy.slots import Pool
    from garnetusher.policy.slow_start import SlowStartCohort

# With one slot for each endpoint, a busy sidecar would fill all slots right after its start and shed requests until
# more slots open.
INITIAL_SLOTS = 3.0

BucketKey = tuple[int, bool, bool, int]  # zone, in use, warming up, exponent of the weight


class EndpointState:
    """One ready endpoint: its slots, its health and its position in the pool's buckets.

    Attributes:
        endpoint: the endpoint's entry in the endpoint list.
        pool: the pool of the endpoint's tier.
        started_us: start time from the endpoint list, or the time at which the endpoint's zone was restored if the zone
            had refused connections.
        slots_used: number of slots taken by this sidecar's attempts.
        slot_limit: number of slots; below 1, the endpoint has one slot and is ejected for a time after each attempt.
        ejected_until_us: time at which the ejection ends; no slot is open before.
        consecutive_failures: number of immediate failures since the last attempt that did not fail immediately.
        latency_ratio: smoothed ratio of the endpoint's response times to the mean response time of the request class.
        logged_as_ejected: whether the last log line about the endpoint reported an ejection.
        listed: whether the endpoint list contains the endpoint; attempts that are outstanding at its removal still
            update this state.
        in_use: whether the endpoint belongs to the subset that this sidecar's traffic needs.
        cohort: the endpoint's slow-start cohort; None once it has warmed up.
        attempt_due: whether a warming endpoint may receive its next attempt now; `slow_start.py` describes the rule.
        due_at_accrual: value of the cohort's `accrued` at which the next attempt is due.
        open_fraction: fraction of the slots that the warm-up permits to use; updated each time an attempt is due.
        weight: weight of the endpoint in draws, computed from its free slots and its latency ratio.
        bucket: bucket that contains the endpoint; None while it has no free slot.
        bucket_index: index of the endpoint in the bucket.
        bucket_key: key of the bucket.
    """

    __slots__ = (
        "attempt_due",
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
        self.attempt_due = False
        self.due_at_accrual = 0.0
        self.open_fraction = 1.0
        self.weight = 0.0
        self.bucket: list[EndpointState] | None = None
        self.bucket_index = 0
        self.bucket_key: BucketKey = (0, False, False, 0)
