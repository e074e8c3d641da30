"""State of one zone and the evidence that attempts provide about it. `zones.py` decides when the state changes.

A miss is an attempt that failed or is overdue. Each miss adds evidence that the zone is lost: the negative decimal
logarithm of the probability that a healthy zone has such a miss. Evidence of 1 is one in ten, of 2 one in a hundred.

A trial request is a client request that is sent to an evacuated zone to find out whether the zone responds again.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

# A zone counts as lost when this fraction of its endpoints fail without a response in between. A zone in which half of
# the endpoints fail is not lost.
LOST_FRACTION = 0.75
# Failures of this many different endpoints are enough in a zone of any size. If fewer than 75% of the endpoints fail,
# the probability that eight different ones fail in a row is below one in ten (0.75 ** 8).
MAX_FAILING_ENDPOINTS_NEEDED = 8
MISS_EXPIRY_US = 5_000_000  # after a gap this long between two misses, the earlier misses no longer count
# Evidence of a miss whose endpoint or request has already had another miss. In a healthy zone, such a repeated miss has
# a probability of about one in three (10 ** -0.5).
REPEATED_MISS_EVIDENCE = 0.5
OUTCOME_WINDOW = 20  # number of outcomes over which a zone's latency ratio is smoothed
INITIAL_BACKOFF_US = 500_000  # delay from the evacuation to the first trial request
# Fractions of the draws in which a zone takes part while it is being restored, one fraction per step.
RECOVERY_STEPS: tuple[float, ...] = (0.1, 0.25, 0.5, 1.0)
MICROSECONDS_PER_S = 1_000_000


class ZoneState(enum.Enum):
    """How much traffic a zone receives."""

    ACTIVE = "near"  # takes part in all draws
    SUSPECTED = "doubted"  # takes part in all draws; its evidence is not sufficient for an evacuation
    EVACUATED = "left"  # receives only trial requests
    RESTORING = "returning"  # takes part in a fraction of the draws; the fraction grows in steps


@dataclass(slots=True)
class FailedAttempt:
    """An attempt that could not connect, lost its connection, returned an error or timed out.

    Attributes:
        zone: number of the endpoint's zone.
        endpoint_id: id of the endpoint.
        sent_us: time at which the attempt was sent.
        latency_ratio: elapsed time divided by the mean response time of the request class.
        connection_refused: whether the connection failed immediately, without a timeout.
        already_overdue: whether the attempt has already counted as a miss because it was overdue.
    """

    zone: int
    endpoint_id: int
    sent_us: int
    latency_ratio: float = 1.0
    connection_refused: bool = False
    already_overdue: bool = False


class Zone:
    """What this sidecar knows about one zone.

    Attributes:
        number: index of the zone in the settings.
        state: how much traffic the zone receives.
        overridden: whether an operator evacuated the zone; if so, evidence does not change its state.
        endpoint_count: number of endpoints listed as ready.
        failing_endpoints: ids of the endpoints with a miss since the zone's last response.
        misses: number of misses since the zone's last response.
        evidence: negative decimal logarithm of the probability that a healthy zone has all these misses by chance.
        refused_connections: number of misses that were immediate connection failures.
        first_miss_us: time at which the earliest missed attempt was sent; 0 = no miss.
        last_miss_us: time at which the latest missed attempt was sent.
        last_response_us: time of the zone's last response.
        latency_ratio: smoothed latency ratio of the zone's outcomes.
        outcome_count: number of outcomes in the latency ratio.
        slow_since_us: time since which the zone has been slow compared with other zones; 0 = the zone is not slow.
        backoff_us: delay from the zone's evacuation to its first trial request.
        evacuated_us: time of the last evacuation by evidence; 0 = never.
        state_changed_us: time of the last change of the state or of the recovery step.
        next_trial_us: earliest time of the next trial request.
        refused_when_evacuated: whether the zone was evacuated because connections were refused. If so, its endpoints
            are assumed to have restarted when the zone responds again.
        recovery_step: index in `RECOVERY_STEPS` while the zone is being restored.
        consecutive_failures: number of failures in a row while the zone is being restored.
        reason: why the zone is in its state, as text for logs and for the admin API.
    """

    def __init__(self, number: int, now_us: int) -> None:
        self.number = number
        self.state = ZoneState.ACTIVE
        self.overridden = False
        self.endpoint_count = 0
        self.failing_endpoints: set[int] = set()
        self.misses = 0
        self.evidence = 0.0
        self.refused_connections = 0
        self.first_miss_us = 0
        self.last_miss_us = 0
        self.last_response_us = now_us
        self.latency_ratio = 1.0
        self.outcome_count = 0
        self.slow_since_us = 0
        self.backoff_us = INITIAL_BACKOFF_US
        self.evacuated_us = 0
        self.state_changed_us = now_us
        self.next_trial_us = 0
        self.refused_when_evacuated = False
        self.recovery_step = 0
        self.consecutive_failures = 0
        self.reason = "nothing seen"

    @property
    def is_fully_used(self) -> bool:
        """Whether the zone takes part in all draws."""
        return self.state in (ZoneState.ACTIVE, ZoneState.SUSPECTED)

    @property
    def has_enough_outcomes(self) -> bool:
        """Whether the latency ratio covers enough outcomes to be compared with other zones."""
        return self.outcome_count >= OUTCOME_WINDOW

    def failing_endpoints_needed(self) -> int:
        """Return how many different endpoints must fail, without a response in between, for the zone to be lost."""
        return min(
            self.endpoint_count, max(2, math.ceil(LOST_FRACTION * self.endpoint_count)), MAX_FAILING_ENDPOINTS_NEEDED
        )

    def report(self, now_us: int) -> dict[str, object]:
        """Return the zone's state, its duration and the evidence for it, under the keys of the admin API."""
        draw_fraction = (
            RECOVERY_STEPS[self.recovery_step] if self.state is ZoneState.RESTORING else float(self.is_fully_used)
        )
        return {
            "state": self.state.value,
            "by": "operator" if self.overridden else "evidence",
            "why": self.reason,
            "for_s": round((now_us - self.state_changed_us) / MICROSECONDS_PER_S, 1),
            "upstreams": self.endpoint_count,
            "part": draw_fraction,
            "misses": self.misses,
            "evidence": round(self.evidence, 1),
            "pace": round(self.latency_ratio, 2),
        }

    def add_miss(self, endpoint_id: int, sent_us: int, evidence: float) -> None:
        """Add a miss to the evidence, as the accrual failure detector of Hayashibara et al. (2004) does."""
        if sent_us - self.last_miss_us > MISS_EXPIRY_US:
            self.clear_evidence()
        self.last_miss_us = max(self.last_miss_us, sent_us)
        self.first_miss_us = min(self.first_miss_us or sent_us, sent_us)
        if endpoint_id in self.failing_endpoints:
            evidence = min(evidence, REPEATED_MISS_EVIDENCE)
        self.failing_endpoints.add(endpoint_id)
        self.misses += 1
        self.evidence += evidence

    def update_latency_ratio(self, latency_ratio: float) -> None:
        """Add the latency ratio of one outcome to the smoothed ratio."""
        self.latency_ratio += (latency_ratio - self.latency_ratio) / OUTCOME_WINDOW
        self.outcome_count += 1

    def forget_endpoint(self, endpoint_id: int) -> None:
        """Discard the misses if one of them was at this endpoint, which has left the endpoint list."""
        if endpoint_id in self.failing_endpoints:
            self.clear_evidence()

    def clear_evidence(self) -> None:
        """Discard all misses and their evidence."""
        self.failing_endpoints.clear()
        self.misses = self.refused_connections = self.first_miss_us = 0
        self.evidence = 0.0
