"""Which zones are used: evidence from attempts alone, and one owner of each zone's state.

A zone is left when it looks lost beside the others, tried while it is left, and returned to by steps. Upstreams are
still judged one by one (balance.py); here is only what they have in common. Nothing is left unless another zone has
answered meanwhile: when all look bad, the fault is here or everywhere, and leaving would mend nothing.
"""

import enum
import math
import random
from collections.abc import Callable

from garnetusher.policy.settings import Settings

LOST_FRACTION = 0.75  # of a zone's upstreams have to fail in a row: half of them lost is no lost zone
MAX_SUSPECTS_NEEDED = 8  # so many different ones tell it, however many there are: 0.75 ** 8 is one in ten
EVACUATION_EVIDENCE = 6.0  # the odds, as a power of ten, against so many misses in a row in a zone that is well
SUSPICION_EVIDENCE = 4.0  # and those for doubting it
SILENCE_US = 300_000  # without an answer, for a zone to be silent: a crowded one still answers some
MISS_EXPIRY_US = 5_000_000  # between two misses, after which the first speaks of another time
FAILURE_EVIDENCE = 1.5  # of one refused or broken attempt: one in thirty, as on days of broken connections
REPEATED_MISS_EVIDENCE = 0.5  # of a miss at an upstream, or of a request, that has missed just now: one in three
MIN_LATE_FRACTION = 0.05  # of the answers that are late in a zone that is well, at the least; the true part is learnt
LATE_WINDOW = 64  # answers that make it up
SLOW_FACTOR = 2.5  # the pace of a zone beside the quickest other one's, for SLOW_FOR_US
SLOW_DURATION_US = 2_000_000
OUTCOME_WINDOW = 20  # outcomes that make up a zone's pace
INITIAL_BACKOFF_US = 500_000  # from leaving to the first try
MAX_BACKOFF_US = 16_000_000  # after flaps, each of which doubles it
FLAP_WINDOW_US = 60_000_000  # a zone that held for so long starts again with the first wait
HEALTH_CHECKS_PER_S_PER_ENDPOINT = 2.0  # tries at a left zone, by the whole fleet, for each of its upstreams
MIN_HEALTH_CHECK_GAP_US = 250_000  # between this sidecar's tries
RECOVERY_STEPS: tuple[float, ...] = (0.1, 0.25, 0.5, 1.0)  # of the draws that may go to a returning zone
RECOVERY_STEP_US = 600_000  # that each of them lasts, at least
RECOVERY_FAILURES = 2  # in a row, which take a return back


class ZoneState(enum.Enum):
    ACTIVE = "near"  # used as ever
    SUSPECTED = "doubted"  # half of what it takes to leave it is there
    EVACUATED = "left"  # only tried
    RESTORING = "returning"  # used by a part


class Zone:
    """What this sidecar knows of one zone."""

    def __init__(self, number: int, now_us: int) -> None:
        self.number = number
        self.state = ZoneState.ACTIVE
        self.overridden = False  # by an operator: evidence changes nothing
        self.endpoint_count = 0  # listed as ready
        self.suspects: set[int] = set()  # upstreams that failed, or are overdue, since its last answer
        self.misses = 0  # attempts that did
        self.evidence = 0.0  # what they weigh together, as a power of ten
        self.refused_connections = 0  # of them, connections refused at once
        self.first_miss_us = 0  # when the first of these attempts set out
        self.last_miss_us = 0  # and the last
        self.last_answer_us = now_us  # of its last answer
        self.latency_ratio, self.outcome_count = 1.0, 0  # of its outcomes, smoothed, and how many there were
        self.slow_since_us = 0  # since when it has been slow beside the others; 0: it is not
        self.backoff_us = INITIAL_BACKOFF_US
        self.evacuated_us = 0  # when evidence last spoke for leaving it; 0: never
        self.state_changed_us = now_us
        self.next_health_check_us = 0  # when it may be tried next
        self.refused_when_evacuated = False  # it was left as connections were refused: it will be back as just started
        self.recovery_step = 0
        self.consecutive_failures = 0  # in a row, while returning
        self.reason = "nothing seen"

    @property
    def in_use(self) -> bool:
        return self.state in (ZoneState.ACTIVE, ZoneState.SUSPECTED)

    def suspects_needed(self) -> int:
        """How many different upstreams have to fail with no answer between."""
        return min(self.endpoint_count, max(2, math.ceil(LOST_FRACTION * self.endpoint_count)), MAX_SUSPECTS_NEEDED)

    def report(self, now_us: int) -> dict[str, object]:
        """For operators: its state, since when, and the figures that speak for it."""
        return {
            "state": self.state.value,
            "by": "operator" if self.overridden else "evidence",
            "why": self.reason,
            "for_s": round((now_us - self.state_changed_us) / 1_000_000, 1),
            "upstreams": self.endpoint_count,
            "part": RECOVERY_STEPS[self.recovery_step] if self.state is ZoneState.RESTORING else float(self.in_use),
            "misses": self.misses,
            "evidence": round(self.evidence, 1),
            "pace": round(self.latency_ratio, 2),
        }

    def clear_evidence(self) -> None:
        self.suspects.clear()
        self.misses = self.refused_connections = self.first_miss_us = 0
        self.evidence = 0.0


class Zones:
    """All zones, and the only place where their state changes. `changed` is told of each change."""

    def __init__(self, settings: Settings, seed: int, now_us: int, changed: Callable[[Zone, ZoneState], None]) -> None:
        self.settings = settings
        self.member_count = 0  # of the fleet, as its members count each other; 0: nobody does
        self.random = random.Random(seed)  # of its own: what is drawn here must not change other draws
        self.on_change = changed
        self.now_us = now_us
        self.zones: dict[int, Zone] = {}
        self.all_in_use, self.any_suspected = True, False
        self.late_fraction = MIN_LATE_FRACTION

    @property
    def fleet_size(self) -> int:
        """How many share what the fleet may do."""
        return self.member_count or self.settings.fleet_size

    def get(self, number: int) -> Zone:
        if number not in self.zones:
            self.zones[number] = Zone(number, self.now_us)
        return self.zones[number]

    def tier(self, number: int) -> int:
        """0: this zone, 1: this region's others, 2: other regions'. Without regions all zones are in one."""
        s = self.settings
        if number == s.zone or s.cross_zone_cost <= 0:
            return 0
        here, there = (s.zone_regions[z] if z < len(s.zone_regions) else 0 for z in (s.zone, number))
        return 1 if here == there else 2

    # Evidence

    def record_answer(self, number: int, sent_us: int, pace: float, now_us: int) -> None:
        """An upstream of the zone has answered, or turned the attempt away: it is there."""
        zone = self.get(number)
        self.now_us, zone.last_answer_us, zone.consecutive_failures = now_us, now_us, 0
        zone.clear_evidence()
        self.update_latency_ratio(zone, pace)
        if zone.state is ZoneState.SUSPECTED:
            self.change_state(zone, ZoneState.ACTIVE, "it answers")
        elif (
            zone.state is ZoneState.EVACUATED
            and not zone.overridden
            and sent_us >= zone.state_changed_us
            and pace < SLOW_FACTOR
        ):
            zone.recovery_step = 0
            self.change_state(zone, ZoneState.RESTORING, "a try was answered")
        elif zone.state is ZoneState.RESTORING and now_us - zone.state_changed_us >= RECOVERY_STEP_US:
            zone.recovery_step, zone.state_changed_us = zone.recovery_step + 1, now_us
            if zone.recovery_step >= len(RECOVERY_STEPS) - 1:
                self.change_state(zone, ZoneState.ACTIVE, "it has held through all steps")
        else:
            self.evaluate(zone)

    def record_lateness(self, late: bool) -> None:
        """Whether an answer that came, or was overtaken, was late: how often that is so tells what lateness weighs."""
        self.late_fraction += (float(late) - self.late_fraction) / LATE_WINDOW

    def record_failure(
        self, number: int, upstream: int, sent_us: int, refused: bool, known: bool, pace: float, now_us: int
    ) -> None:
        """An attempt was refused, broken, answered with an error, or not answered in time, which may be `known`."""
        zone, self.now_us = self.get(number), now_us
        self.update_latency_ratio(zone, pace)
        if not known:
            self.add_miss(zone, upstream, sent_us, FAILURE_EVIDENCE)
            zone.refused_connections += int(refused)
        if zone.state is ZoneState.EVACUATED and sent_us >= zone.state_changed_us:
            self.postpone_health_check(zone)
        elif zone.state is ZoneState.RESTORING and sent_us >= zone.state_changed_us:
            zone.consecutive_failures += 1
            if zone.consecutive_failures >= min(RECOVERY_FAILURES, zone.endpoint_count):
                self.evacuate(zone, f"{zone.consecutive_failures} faults in a row while it returned")
        else:
            self.evaluate(zone)

    def record_overdue(self, number: int, upstream: int, sent_us: int, again: bool, now_us: int) -> None:
        """An attempt has been out for longer than answers take; it may still be answered. With `again` it is not
        the first of its request: what is heavy at one upstream is heavy at the next."""
        zone, self.now_us = self.get(number), now_us
        odds = REPEATED_MISS_EVIDENCE if again else -math.log10(min(max(self.late_fraction, MIN_LATE_FRACTION), 0.5))
        self.add_miss(zone, upstream, sent_us, odds)
        self.evaluate(zone)

    def add_miss(self, zone: Zone, upstream: int, sent_us: int, odds: float) -> None:
        """After the accrual detectors of Hayashibara et al. (2004): each miss adds what speaks against chance."""
        if sent_us - zone.last_miss_us > MISS_EXPIRY_US:
            zone.clear_evidence()
        zone.last_miss_us = max(zone.last_miss_us, sent_us)
        zone.first_miss_us = min(zone.first_miss_us or sent_us, sent_us)
        odds = min(odds, REPEATED_MISS_EVIDENCE) if upstream in zone.suspects else odds
        zone.suspects.add(upstream)
        zone.misses += 1
        zone.evidence += odds

    def update_latency_ratio(self, zone: Zone, pace: float) -> None:
        zone.latency_ratio += (pace - zone.latency_ratio) / OUTCOME_WINDOW
        zone.outcome_count += 1

    def evaluate(self, zone: Zone) -> None:
        """Weigh it against the others, which have to have answered since the first that it did not answer."""
        if not zone.in_use or zone.overridden or not zone.endpoint_count:
            return
        others = [z for z in self.zones.values() if z is not zone and z.in_use and z.endpoint_count]
        heard = [z for z in others if z.last_answer_us > zone.first_miss_us and not z.suspects]
        seen = (
            f"{zone.misses} attempts at {len(zone.suspects)} of {zone.endpoint_count} upstreams failed in a row, "
            f"{zone.refused_connections} refused; one in 10^{zone.evidence:.1f} by chance"
        )
        # hazard: in a crowd many are late together, though not by chance; but answers go on coming
        silent = 2 * zone.refused_connections >= zone.misses or self.now_us - zone.last_answer_us >= SILENCE_US
        if len(zone.suspects) >= zone.suspects_needed() and zone.evidence >= EVACUATION_EVIDENCE and heard and silent:
            self.evacuate(zone, seen)
            return
        judged = [z for z in heard if z.outcome_count >= OUTCOME_WINDOW]
        slow = zone.outcome_count >= OUTCOME_WINDOW and any(
            zone.latency_ratio > SLOW_FACTOR * max(z.latency_ratio, 0.5) for z in judged
        )
        zone.slow_since_us = (zone.slow_since_us or self.now_us) if slow else 0
        if slow and self.now_us - zone.slow_since_us >= SLOW_DURATION_US:
            self.evacuate(
                zone, f"its pace is {zone.latency_ratio:.1f}, the others' {min(z.latency_ratio for z in judged):.1f}"
            )
        elif (
            zone.state is ZoneState.ACTIVE
            and 2 * len(zone.suspects) >= zone.suspects_needed()
            and zone.evidence >= SUSPICION_EVIDENCE
            and heard
        ):
            self.change_state(zone, ZoneState.SUSPECTED, seen)

    def is_silent(self, number: int, now_us: int) -> bool:
        """Whether attempts there have been missed, and none was answered for a while."""
        zone = self.get(number)
        return bool(zone.suspects) and now_us - zone.last_answer_us >= SILENCE_US

    # Leaving and returning

    def evacuate(self, zone: Zone, why: str) -> None:
        flapped = zone.evacuated_us > 0 and self.now_us - zone.evacuated_us < FLAP_WINDOW_US
        zone.backoff_us = min(2 * zone.backoff_us, MAX_BACKOFF_US) if flapped else INITIAL_BACKOFF_US
        zone.evacuated_us = self.now_us
        zone.refused_when_evacuated = 2 * zone.refused_connections >= zone.misses > 0 or (
            zone.refused_when_evacuated and zone.state is ZoneState.RESTORING
        )
        zone.next_health_check_us = self.now_us + int(zone.backoff_us * (0.5 + self.random.random()))
        zone.slow_since_us = 0
        self.change_state(zone, ZoneState.EVACUATED, why)

    def postpone_health_check(self, zone: Zone) -> None:
        """A try failed: the next one comes as late as the fleet's share of tries wants it, at least."""
        zone.next_health_check_us = self.now_us + int(
            max(self.health_check_gap_us(zone), zone.backoff_us) * (0.5 + self.random.random())
        )

    def health_check_gap_us(self, zone: Zone) -> int:
        """Between this sidecar's tries, so that all sidecars together try each upstream a few times a second."""
        each = max(1, zone.endpoint_count) * HEALTH_CHECKS_PER_S_PER_ENDPOINT
        return max(MIN_HEALTH_CHECK_GAP_US, int(1_000_000 * self.fleet_size / each))

    def change_state(self, zone: Zone, state: ZoneState, why: str) -> None:
        before, zone.state, zone.reason, zone.state_changed_us = zone.state, state, why, self.now_us
        zone.consecutive_failures = 0
        if state is not ZoneState.SUSPECTED:
            zone.clear_evidence()
            zone.latency_ratio, zone.outcome_count = 1.0, 0
        self.all_in_use = all(z.in_use for z in self.zones.values())
        self.any_suspected = any(z.state is ZoneState.SUSPECTED for z in self.zones.values())
        self.on_change(zone, before)

    def take_due_health_check(self, now_us: int) -> Zone | None:
        """A left zone that may be tried now; telling of it counts as the try."""
        for zone in self.zones.values():
            if (
                zone.state is ZoneState.EVACUATED
                and not zone.overridden
                and zone.endpoint_count
                and now_us >= zone.next_health_check_us
            ):
                zone.next_health_check_us = now_us + int(self.health_check_gap_us(zone) * (0.5 + self.random.random()))
                return zone
        return None

    def excluded(self) -> set[int]:
        """The zones that take no part in one draw."""
        if self.all_in_use:
            return set()
        out = {
            z.number
            for z in self.zones.values()
            if not z.in_use
            and z.endpoint_count
            and (z.state is ZoneState.EVACUATED or self.random.random() >= RECOVERY_STEPS[z.recovery_step])
        }
        if out and not any(z.endpoint_count and z.number not in out for z in self.zones.values()):
            return {z.number for z in self.zones.values() if z.overridden}  # hazard: there must be somewhere to send
        return out

    def suspected(self) -> set[int]:
        """Zones that what must not be repeated had better avoid."""
        return (
            {z.number for z in self.zones.values() if z.state is ZoneState.SUSPECTED} if self.any_suspected else set()
        )

    # The list and the operator

    def update_endpoint_counts(self, counts: dict[int, int], started: set[int], now_us: int) -> None:
        """How many ready upstreams each zone has, and which zones have some that have just started."""
        self.now_us = now_us
        for number in counts.keys() | self.zones.keys():
            zone = self.get(number)
            zone.endpoint_count = counts.get(number, 0)
            if not zone.endpoint_count or number in started:
                zone.clear_evidence()  # what failed is not there any more
            if number in started and zone.state is ZoneState.EVACUATED and not zone.overridden:
                zone.recovery_step = 0  # what has just started is cold by the list itself
                self.change_state(zone, ZoneState.RESTORING, "the list tells of upstreams that have started")

    def objection(self, number: int) -> str:
        """Why an operator can't have this zone left; "" if nothing speaks against it."""
        rest = [z for z in self.zones.values() if z.number != number and z.endpoint_count and not z.overridden]
        return "" if rest else "it is the last zone in use"

    def override(self, number: int, leave: bool, now_us: int) -> None:
        """An operator's word, which evidence does not undo."""
        zone, self.now_us = self.get(number), now_us
        if leave and not self.objection(number):
            zone.overridden = True
            self.change_state(zone, ZoneState.EVACUATED, "an operator's order")
        elif not leave and zone.overridden:
            zone.overridden, zone.recovery_step, zone.refused_when_evacuated = False, 0, False
            self.change_state(zone, ZoneState.RESTORING, "an operator's order")
