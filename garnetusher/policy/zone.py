"""One zone: its state, and the evidence that attempts have given on it. `zones.py` decides on changes of the state."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

LOST_FRACTION = 0.75  # of a zone's endpoints have to fail in a row: half of them lost is no lost zone
MAX_SUSPECTS_NEEDED = 8  # so many different ones are enough, however many there are: 0.75 ** 8 is one in ten
MISS_EXPIRY_US = 5_000_000  # between two misses, after which the first says nothing of now
REPEATED_MISS_EVIDENCE = 0.5  # of a miss at an endpoint, or of a request, that has missed just now: one in three
OUTCOME_WINDOW = 20  # outcomes that make up a zone's latency ratio
INITIAL_BACKOFF_US = 500_000  # from the evacuation to the first health check
RECOVERY_STEPS: tuple[float, ...] = (0.1, 0.25, 0.5, 1.0)  # of the draws that may go to a zone being restored
MICROSECONDS_PER_S = 1_000_000


class ZoneState(enum.Enum):
    """How a zone is used."""

    ACTIVE = "near"  # in full
    SUSPECTED = "doubted"  # in full, but part of the evidence for evacuating it is there
    EVACUATED = "left"  # only health-checked
    RESTORING = "returning"  # by a part of the draws


@dataclass(slots=True)
class FailedAttempt:
    """An attempt that was refused, broke, was answered with an error, or was not answered in time.

    Attributes:
        zone: the zone of its endpoint.
        endpoint_id: its endpoint.
        sent_us: when it was sent.
        latency_ratio: its time beside the usual one.
        connection_refused: it found no connection, and was told so at once.
        already_overdue: it has counted as a miss before.
    """

    zone: int
    endpoint_id: int
    sent_us: int
    latency_ratio: float = 1.0
    connection_refused: bool = False
    already_overdue: bool = False


class Zone:
    """What this sidecar knows of one zone.

    Attributes:
        number: its index in the settings.
        state: how it is used.
        overridden: evacuated by an operator, so that evidence changes nothing.
        endpoint_count: endpoints listed as ready.
        suspects: endpoints that failed, or are overdue, since its last answer.
        misses: attempts that did.
        evidence: what they weigh together, as a power of ten.
        refused_connections: how many of them were connections refused at once.
        first_miss_us: when the first of these attempts was sent.
        last_miss_us: and the last.
        last_answer_us: the time of its last answer.
        latency_ratio: of its outcomes, smoothed.
        outcome_count: how many outcomes there were.
        slow_since_us: since when it has been slow beside the others; 0 = it is not.
        backoff_us: from its evacuation to the first health check.
        evacuated_us: when evidence last evacuated it; 0 = never.
        state_changed_us: when its state, or recovery step, last changed.
        next_health_check_us: when it may be health-checked next.
        refused_when_evacuated: connections were refused, so that its endpoints will have just started when it is back.
        recovery_step: index in `RECOVERY_STEPS` while it is being restored.
        consecutive_failures: failures in a row while it is being restored.
        reason: why it is in its state.
    """

    def __init__(self, number: int, now_us: int) -> None:
        self.number = number
        self.state = ZoneState.ACTIVE
        self.overridden = False
        self.endpoint_count = 0
        self.suspects: set[int] = set()
        self.misses = 0
        self.evidence = 0.0
        self.refused_connections = 0
        self.first_miss_us = 0
        self.last_miss_us = 0
        self.last_answer_us = now_us
        self.latency_ratio = 1.0
        self.outcome_count = 0
        self.slow_since_us = 0
        self.backoff_us = INITIAL_BACKOFF_US
        self.evacuated_us = 0
        self.state_changed_us = now_us
        self.next_health_check_us = 0
        self.refused_when_evacuated = False
        self.recovery_step = 0
        self.consecutive_failures = 0
        self.reason = "nothing seen"

    @property
    def in_use(self) -> bool:
        """Whether it takes its full part in draws."""
        return self.state in (ZoneState.ACTIVE, ZoneState.SUSPECTED)

    @property
    def is_judged(self) -> bool:
        """Whether there are outcomes enough to compare its latency ratio."""
        return self.outcome_count >= OUTCOME_WINDOW

    def suspects_needed(self) -> int:
        """Return how many different endpoints have to fail with no answer between."""
        return min(self.endpoint_count, max(2, math.ceil(LOST_FRACTION * self.endpoint_count)), MAX_SUSPECTS_NEEDED)

    def report(self, now_us: int) -> dict[str, object]:
        """Return its state, since when, and the figures behind it, with the keys of the admin address."""
        share = RECOVERY_STEPS[self.recovery_step] if self.state is ZoneState.RESTORING else float(self.in_use)
        return {
            "state": self.state.value,
            "by": "operator" if self.overridden else "evidence",
            "why": self.reason,
            "for_s": round((now_us - self.state_changed_us) / MICROSECONDS_PER_S, 1),
            "upstreams": self.endpoint_count,
            "part": share,
            "misses": self.misses,
            "evidence": round(self.evidence, 1),
            "pace": round(self.latency_ratio, 2),
        }

    def add_miss(self, endpoint_id: int, sent_us: int, evidence: float) -> None:
        """Add a miss to the evidence (after the accrual detector of Hayashibara et al., 2004)."""
        if sent_us - self.last_miss_us > MISS_EXPIRY_US:
            self.clear_evidence()
        self.last_miss_us = max(self.last_miss_us, sent_us)
        self.first_miss_us = min(self.first_miss_us or sent_us, sent_us)
        if endpoint_id in self.suspects:
            evidence = min(evidence, REPEATED_MISS_EVIDENCE)
        self.suspects.add(endpoint_id)
        self.misses += 1
        self.evidence += evidence

    def update_latency_ratio(self, latency_ratio: float) -> None:
        """Add an outcome to the smoothed ratio."""
        self.latency_ratio += (latency_ratio - self.latency_ratio) / OUTCOME_WINDOW
        self.outcome_count += 1

    def clear_evidence(self) -> None:
        """Forget the misses so far."""
        self.suspects.clear()
        self.misses = self.refused_connections = self.first_miss_us = 0
        self.evidence = 0.0
