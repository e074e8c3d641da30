"""Zone health: collects evidence from attempts and decides which zones receive traffic.

A zone is evacuated when its endpoints fail together while other zones respond. An evacuated zone receives only
trial requests; once it responds to one, it is restored in steps. `outlier.py` judges each endpoint on its own; this
module detects failures that the endpoints of a zone share. No zone is evacuated unless another zone has responded in
the meantime: if all zones fail, the fault is at this sidecar or affects all zones, and an evacuation would not help.
The texts of reasons and the values of states are logged and reported by the admin API, so they must not change.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

# RECOVERY_STEPS is read from the module, so that an ablation can replace it
from garnetusher.policy import zone as zone_module
from garnetusher.policy.settings import Settings
from garnetusher.policy.zone import (
    INITIAL_BACKOFF_US,
    MICROSECONDS_PER_S,
    REPEATED_MISS_EVIDENCE,
    FailedAttempt,
    Zone,
    ZoneState,
)

# Evidence from which a zone is evacuated. A healthy zone has such misses with a probability of 10 ** -6.
EVACUATION_EVIDENCE = 6.0
SUSPICION_EVIDENCE = 4.0  # evidence from which a zone is suspected, on the same scale
# A zone is silent after this long without a response. An overloaded zone still responds to some attempts in this time.
SILENCE_US = 300_000
# Evidence of one failed attempt. It assumes that up to about one attempt in thirty (10 ** -1.5) fails in a healthy
# zone, as happens while connections break often.
FAILURE_EVIDENCE = 1.5
MIN_OVERDUE_FRACTION = 0.05  # lower bound of the learned fraction of attempts that are overdue in a healthy zone
MAX_OVERDUE_FRACTION = 0.5  # upper bound of the learned fraction of overdue attempts
OVERDUE_FRACTION_WINDOW = 64  # number of attempts over which that fraction is smoothed
# A zone is slow if its latency ratio is this multiple of the fastest other zone's; it is evacuated after being slow for
# SLOW_DURATION_US.
SLOW_FACTOR = 2.5
SLOW_DURATION_US = 2_000_000
# Lower bound of another zone's latency ratio in the comparison, so that one very fast zone does not make others slow
MIN_COMPARED_RATIO = 0.5
MAX_BACKOFF_US = 16_000_000  # upper limit of the backoff, which doubles each time the zone flaps
FLAP_WINDOW_US = 60_000_000  # the backoff is reset if the last evacuation is at least this long ago
TRIALS_PER_S_PER_ENDPOINT = 2.0  # limit for the trial requests of the whole fleet at an evacuated zone
MIN_TRIAL_GAP_US = 250_000  # minimum gap between this sidecar's trial requests to a zone
RECOVERY_STEP_US = 600_000  # minimum duration of each step in RECOVERY_STEPS
RECOVERY_FAILURES = 2  # a zone that is being restored is evacuated again after this many failures in a row


class Zones:
    """All zones. Only this class changes their states.

    Attributes:
        settings: the operator's settings.
        member_count: size of the fleet according to membership; 0 = the settings' `fleet_size` applies.
        random: separate random source, so that the numbers drawn here do not change draws elsewhere.
        zones: the zones by number.
        all_fully_used: whether all zones take part in all draws: none is evacuated or being restored.
    """

    def __init__(
        self, settings: Settings, seed: int, now_us: int, on_change: Callable[[Zone, ZoneState], None]
    ) -> None:
        self.settings = settings
        self.member_count = 0
        self.random = random.Random(seed)
        self.zones: dict[int, Zone] = {}
        self.all_fully_used = True
        self._on_change = on_change  # called with the zone and its previous state
        self._now_us = now_us
        self._any_suspected = False
        self._overdue_fraction = MIN_OVERDUE_FRACTION

    @property
    def fleet_size(self) -> int:
        """Number of sidecars in the fleet, which share fleet-wide limits."""
        return self.member_count or self.settings.fleet_size

    def get(self, number: int) -> Zone:
        """Return a zone, adding it if it is unknown."""
        if number not in self.zones:
            self.zones[number] = Zone(number, self._now_us)
        return self.zones[number]

    def tier(self, number: int) -> int:
        """Return 0 for this sidecar's zone, 1 for others in its region, 2 for the rest; 0 if crossing zones is free."""
        settings = self.settings
        if number == settings.zone or settings.cross_zone_cost <= 0:
            return 0
        return 1 if self._region(settings.zone) == self._region(number) else 2

    def _region(self, number: int) -> int:
        regions = self.settings.zone_regions
        return regions[number] if number < len(regions) else 0

    # Evidence

    def record_response(self, number: int, sent_us: int, latency_ratio: float, now_us: int) -> None:
        """Record a response, which may be an overload rejection; either proves that the zone is reachable."""
        zone = self.get(number)
        self._now_us, zone.last_response_us, zone.consecutive_failures = now_us, now_us, 0
        zone.clear_evidence()
        zone.update_latency_ratio(latency_ratio)
        if zone.state is ZoneState.SUSPECTED:
            self.change_state(zone, ZoneState.ACTIVE, "it answers")
        elif self._passes_trial(zone, sent_us, latency_ratio):
            zone.recovery_step = 0
            self.change_state(zone, ZoneState.RESTORING, "a try was answered")
        elif zone.state is ZoneState.RESTORING and now_us - zone.state_changed_us >= RECOVERY_STEP_US:
            zone.recovery_step, zone.state_changed_us = zone.recovery_step + 1, now_us
            if zone.recovery_step >= len(zone_module.RECOVERY_STEPS) - 1:
                self.change_state(zone, ZoneState.ACTIVE, "it has held through all steps")
        else:
            self.evaluate(zone)

    def update_overdue_fraction(self, *, overdue: bool) -> None:
        """Update the fraction of attempts that become overdue in a healthy zone.

        Call this for each attempt that succeeded or was cancelled.
        """
        self._overdue_fraction += (float(overdue) - self._overdue_fraction) / OVERDUE_FRACTION_WINDOW

    def record_failure(self, attempt: FailedAttempt, now_us: int) -> None:
        """Record a failed attempt as evidence against its zone."""
        zone, self._now_us = self.get(attempt.zone), now_us
        zone.update_latency_ratio(attempt.latency_ratio)
        if not attempt.already_overdue:
            zone.add_miss(attempt.endpoint_id, attempt.sent_us, FAILURE_EVIDENCE)
            zone.refused_connections += int(attempt.connection_refused)
        is_recent = attempt.sent_us >= zone.state_changed_us
        if zone.state is ZoneState.EVACUATED and is_recent:
            self._postpone_trial(zone)
        elif zone.state is ZoneState.RESTORING and is_recent:
            zone.consecutive_failures += 1
            if zone.consecutive_failures >= min(RECOVERY_FAILURES, zone.endpoint_count):
                self._evacuate(zone, f"{zone.consecutive_failures} faults in a row while it returned")
        else:
            self.evaluate(zone)

    def record_overdue(self, number: int, endpoint_id: int, sent_us: int, now_us: int, *, repeated: bool) -> None:
        """Record an outstanding attempt that takes longer than expected; its endpoint may still respond.

        Args:
            number: number of the zone.
            endpoint_id: endpoint that the attempt was sent to.
            sent_us: time at which the attempt was sent.
            now_us: current time.
            repeated: whether an earlier attempt of the same request was overdue too. Such a miss is weaker evidence,
                because an expensive request is slow at every endpoint.
        """
        zone, self._now_us = self.get(number), now_us
        overdue_fraction = min(max(self._overdue_fraction, MIN_OVERDUE_FRACTION), MAX_OVERDUE_FRACTION)
        zone.add_miss(endpoint_id, sent_us, REPEATED_MISS_EVIDENCE if repeated else -math.log10(overdue_fraction))
        self.evaluate(zone)

    def evaluate(self, zone: Zone) -> None:
        """Suspect or evacuate a zone if it fails or is slow compared with zones that responded since its first miss."""
        if not zone.is_fully_used or zone.overridden or not zone.endpoint_count:
            return
        others = [
            other for other in self.zones.values() if other is not zone and other.is_fully_used and other.endpoint_count
        ]
        answering = [
            other for other in others if other.last_response_us > zone.first_miss_us and not other.failing_endpoints
        ]
        if self._is_lost(zone) and answering:
            self._evacuate(zone, self._describe_misses(zone))
            return
        compared_ratios = [other.latency_ratio for other in answering if other.has_enough_outcomes]
        is_slow = zone.has_enough_outcomes and any(
            zone.latency_ratio > SLOW_FACTOR * max(ratio, MIN_COMPARED_RATIO) for ratio in compared_ratios
        )
        zone.slow_since_us = (zone.slow_since_us or self._now_us) if is_slow else 0
        if is_slow and self._now_us - zone.slow_since_us >= SLOW_DURATION_US:
            self._evacuate(zone, f"its pace is {zone.latency_ratio:.1f}, the others' {min(compared_ratios):.1f}")
        elif self._is_suspicious(zone) and answering:
            self.change_state(zone, ZoneState.SUSPECTED, self._describe_misses(zone))

    def is_silent(self, number: int, now_us: int) -> bool:
        """Return whether a zone has misses and has not responded for `SILENCE_US`."""
        zone = self.get(number)
        return bool(zone.failing_endpoints) and now_us - zone.last_response_us >= SILENCE_US

    def _passes_trial(self, zone: Zone, sent_us: int, latency_ratio: float) -> bool:
        return (
            zone.state is ZoneState.EVACUATED
            and not zone.overridden
            and sent_us >= zone.state_changed_us
            and latency_ratio < SLOW_FACTOR
        )

    def _is_lost(self, zone: Zone) -> bool:
        if len(zone.failing_endpoints) < zone.failing_endpoints_needed() or zone.evidence < EVACUATION_EVIDENCE:
            return False
        # in an overloaded zone, many attempts become overdue for one common reason, so the evidence, which assumes
        # independent misses, is too high; but an overloaded zone still responds to some attempts
        return 2 * zone.refused_connections >= zone.misses or self._now_us - zone.last_response_us >= SILENCE_US

    def _is_suspicious(self, zone: Zone) -> bool:
        return (
            zone.state is ZoneState.ACTIVE
            and 2 * len(zone.failing_endpoints) >= zone.failing_endpoints_needed()
            and zone.evidence >= SUSPICION_EVIDENCE
        )

    def _describe_misses(self, zone: Zone) -> str:
        return (
            f"{zone.misses} attempts at {len(zone.failing_endpoints)} of {zone.endpoint_count} upstreams "
            f"failed in a row, {zone.refused_connections} refused; one in 10^{zone.evidence:.1f} by chance"
        )

    # Evacuating and restoring

    def change_state(self, zone: Zone, state: ZoneState, reason: str) -> None:
        """Move a zone to another state and report the change."""
        previous_state, zone.state, zone.reason, zone.state_changed_us = zone.state, state, reason, self._now_us
        zone.consecutive_failures = 0
        if state is not ZoneState.SUSPECTED:
            zone.clear_evidence()
            zone.latency_ratio, zone.outcome_count = 1.0, 0
        self.all_fully_used = all(other.is_fully_used for other in self.zones.values())
        self._any_suspected = any(other.state is ZoneState.SUSPECTED for other in self.zones.values())
        self._on_change(zone, previous_state)

    def _evacuate(self, zone: Zone, reason: str) -> None:
        has_flapped = zone.evacuated_us > 0 and self._now_us - zone.evacuated_us < FLAP_WINDOW_US
        zone.backoff_us = min(2 * zone.backoff_us, MAX_BACKOFF_US) if has_flapped else INITIAL_BACKOFF_US
        zone.evacuated_us = self._now_us
        mostly_refused = 2 * zone.refused_connections >= zone.misses > 0
        was_refused = zone.refused_when_evacuated and zone.state is ZoneState.RESTORING
        zone.refused_when_evacuated = mostly_refused or was_refused
        zone.next_trial_us = self._now_us + self._jittered(zone.backoff_us)
        zone.slow_since_us = 0
        self.change_state(zone, ZoneState.EVACUATED, reason)

    def take_zone_due_for_trial(self, now_us: int) -> Zone | None:
        """Return an evacuated zone for which a trial request is due and schedule the next; None if none is due."""
        for zone in self.zones.values():
            if zone.state is not ZoneState.EVACUATED or zone.overridden or not zone.endpoint_count:
                continue
            if now_us >= zone.next_trial_us:
                zone.next_trial_us = now_us + self._jittered(self.trial_gap_us(zone))
                return zone
        return None

    def _postpone_trial(self, zone: Zone) -> None:
        wait_us = max(self.trial_gap_us(zone), zone.backoff_us)
        zone.next_trial_us = self._now_us + self._jittered(wait_us)

    def trial_gap_us(self, zone: Zone) -> int:
        """Return the gap between this sidecar's trial requests that keeps the fleet within its limit per endpoint."""
        trials_per_s = max(1, zone.endpoint_count) * TRIALS_PER_S_PER_ENDPOINT
        return max(MIN_TRIAL_GAP_US, int(MICROSECONDS_PER_S * self.fleet_size / trials_per_s))

    def _jittered(self, duration_us: int) -> int:
        return int(duration_us * (0.5 + self.random.random()))

    # Draws

    def excluded(self) -> set[int]:
        """Return the numbers of the zones that the next draw leaves out; the choice is random for restoring zones."""
        if self.all_fully_used:
            return set()
        excluded = {
            zone.number
            for zone in self.zones.values()
            if not zone.is_fully_used and zone.endpoint_count and self._is_excluded_from_draw(zone)
        }
        if excluded and not any(z.endpoint_count and z.number not in excluded for z in self.zones.values()):
            # no zone with endpoints would remain, so only the zones that an operator evacuated are left out
            return {zone.number for zone in self.zones.values() if zone.overridden}
        return excluded

    def suspected(self) -> set[int]:
        """Return the numbers of the suspected zones. Requests that must not be retried avoid them if possible."""
        if not self._any_suspected:
            return set()
        return {zone.number for zone in self.zones.values() if zone.state is ZoneState.SUSPECTED}

    def _is_excluded_from_draw(self, zone: Zone) -> bool:
        return (
            zone.state is ZoneState.EVACUATED or self.random.random() >= zone_module.RECOVERY_STEPS[zone.recovery_step]
        )

    # The endpoint list and the operator

    def update_endpoint_counts(
        self, counts: dict[int, int], zones_with_started_endpoints: set[int], now_us: int
    ) -> None:
        """Update the number of ready endpoints in each zone.

        Args:
            counts: number of ready endpoints by zone.
            zones_with_started_endpoints: numbers of the zones with endpoints that are new or have restarted.
            now_us: current time.
        """
        self._now_us = now_us
        for number in counts.keys() | self.zones.keys():
            zone = self.get(number)
            zone.endpoint_count = counts.get(number, 0)
            has_started_endpoints = number in zones_with_started_endpoints
            if not zone.endpoint_count or has_started_endpoints:
                zone.clear_evidence()  # the endpoints that failed are gone or have restarted
            if has_started_endpoints and zone.state is ZoneState.EVACUATED and not zone.overridden:
                # no trial request is needed: slow start limits the load of the endpoints that have started
                zone.recovery_step = 0
                self.change_state(zone, ZoneState.RESTORING, "the list tells of upstreams that have started")

    def evacuation_rejection(self, number: int) -> str:
        """Return the reason why an operator can't evacuate a zone; "" if they can."""
        others = [z for z in self.zones.values() if z.number != number and z.endpoint_count and not z.overridden]
        return "" if others else "it is the last zone in use"

    def override(self, number: int, now_us: int, *, evacuate: bool) -> None:
        """Evacuate or restore a zone on an operator's order; evidence does not undo such an evacuation."""
        zone, self._now_us = self.get(number), now_us
        if evacuate and not self.evacuation_rejection(number):
            zone.overridden = True
            self.change_state(zone, ZoneState.EVACUATED, "an operator's order")
        elif not evacuate and zone.overridden:
            zone.overridden, zone.recovery_step, zone.refused_when_evacuated = False, 0, False
            self.change_state(zone, ZoneState.RESTORING, "an operator's order")
