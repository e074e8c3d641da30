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

LOST_PART = 0.75  # of a zone's upstreams have to fail in a row: half of them lost is no lost zone
MOST_NEEDED = 8  # so many different ones tell it, however many there are: 0.75 ** 8 is one in ten
EVIDENCE = 6.0  # the odds, as a power of ten, against so many misses in a row in a zone that is well
DOUBT = 4.0  # and those for doubting it
QUIET_US = 300_000  # without an answer, for a zone to be silent: a crowded one still answers some
STALE_US = 5_000_000  # between two misses, after which the first speaks of another time
FAULT_ODDS = 1.5  # of one refused or broken attempt: one in thirty, as on days of broken connections
AGAIN_ODDS = 0.5  # of a miss at an upstream, or of a request, that has missed just now: one in three
LATE_PART = 0.05  # of the answers that are late in a zone that is well, at the least; the true part is learnt
LATE_MEMORY = 64  # answers that make it up
SLOW_TIMES = 2.5  # the pace of a zone beside the quickest other one's, for SLOW_FOR_US
SLOW_FOR_US = 2_000_000
MEMORY = 20  # outcomes that make up a zone's pace
FIRST_WAIT_US = 500_000  # from leaving to the first try
LONGEST_WAIT_US = 16_000_000  # after flaps, each of which doubles it
FLAP_MEMORY_US = 60_000_000  # a zone that held for so long starts again with the first wait
TRIES_EACH_A_SECOND = 2.0  # tries at a left zone, by the whole fleet, for each of its upstreams
SHORTEST_GAP_US = 250_000  # between this sidecar's tries
STEPS: tuple[float, ...] = (0.1, 0.25, 0.5, 1.0)  # of the draws that may go to a returning zone
STEP_US = 600_000  # that each of them lasts, at least
RETURN_FAULTS = 2  # in a row, which take a return back


class State(enum.Enum):
    NEAR = "near"  # used as ever
    DOUBTED = "doubted"  # half of what it takes to leave it is there
    LEFT = "left"  # only tried
    RETURNING = "returning"  # used by a part


class Zone:
    """What this sidecar knows of one zone."""

    def __init__(self, number: int, now_us: int) -> None:
        self.number = number
        self.state = State.NEAR
        self.ordered = False  # by an operator: evidence changes nothing
        self.upstreams = 0  # listed as ready
        self.suspects: set[int] = set()  # upstreams that failed, or are overdue, since its last answer
        self.misses = 0  # attempts that did
        self.evidence = 0.0  # what they weigh together, as a power of ten
        self.refusals = 0  # of them, connections refused at once
        self.first_us = 0  # when the first of these attempts set out
        self.missed_us = 0  # and the last
        self.answer_us = now_us  # of its last answer
        self.pace, self.seen = 1.0, 0  # of its outcomes, smoothed, and how many there were
        self.slow_us = 0  # since when it has been slow beside the others; 0: it is not
        self.wait_us = FIRST_WAIT_US
        self.left_us = 0  # when evidence last spoke for leaving it; 0: never
        self.changed_us = now_us
        self.try_us = 0  # when it may be tried next
        self.refused = False  # it was left as connections were refused: it will be back as just started
        self.step = 0
        self.faults = 0  # in a row, while returning
        self.why = "nothing seen"

    @property
    def used(self) -> bool:
        return self.state in (State.NEAR, State.DOUBTED)

    def needed(self) -> int:
        """How many different upstreams have to fail with no answer between."""
        return min(self.upstreams, max(2, math.ceil(LOST_PART * self.upstreams)), MOST_NEEDED)

    def told(self, now_us: int) -> dict[str, object]:
        """For operators: its state, since when, and the figures that speak for it."""
        return {
            "state": self.state.value,
            "by": "operator" if self.ordered else "evidence",
            "why": self.why,
            "for_s": round((now_us - self.changed_us) / 1_000_000, 1),
            "upstreams": self.upstreams,
            "part": STEPS[self.step] if self.state is State.RETURNING else float(self.used),
            "misses": self.misses,
            "evidence": round(self.evidence, 1),
            "pace": round(self.pace, 2),
        }

    def forget(self) -> None:
        self.suspects.clear()
        self.misses = self.refusals = self.first_us = 0
        self.evidence = 0.0


class Zones:
    """All zones, and the only place where their state changes. `changed` is told of each change."""

    def __init__(self, settings: Settings, seed: int, now_us: int, changed: Callable[[Zone, State], None]) -> None:
        self.settings = settings
        self.counted = 0  # of the fleet, as its members count each other; 0: nobody does
        self.random = random.Random(seed)  # of its own: what is drawn here must not change other draws
        self.changed = changed
        self.now_us = now_us
        self.zones: dict[int, Zone] = {}
        self.all_used, self.any_doubted = True, False
        self.late_part = LATE_PART

    @property
    def instances(self) -> int:
        """How many share what the fleet may do."""
        return self.counted or self.settings.fleet_size

    def of(self, number: int) -> Zone:
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

    def answered(self, number: int, sent_us: int, pace: float, now_us: int) -> None:
        """An upstream of the zone has answered, or turned the attempt away: it is there."""
        zone = self.of(number)
        self.now_us, zone.answer_us, zone.faults = now_us, now_us, 0
        zone.forget()
        self.learn(zone, pace)
        if zone.state is State.DOUBTED:
            self.move(zone, State.NEAR, "it answers")
        elif zone.state is State.LEFT and not zone.ordered and sent_us >= zone.changed_us and pace < SLOW_TIMES:
            zone.step = 0
            self.move(zone, State.RETURNING, "a try was answered")
        elif zone.state is State.RETURNING and now_us - zone.changed_us >= STEP_US:
            zone.step, zone.changed_us = zone.step + 1, now_us
            if zone.step >= len(STEPS) - 1:
                self.move(zone, State.NEAR, "it has held through all steps")
        else:
            self.compare(zone)

    def timed(self, late: bool) -> None:
        """Whether an answer that came, or was overtaken, was late: how often that is so tells what lateness weighs."""
        self.late_part += (float(late) - self.late_part) / LATE_MEMORY

    def failed(
        self, number: int, upstream: int, sent_us: int, refused: bool, known: bool, pace: float, now_us: int
    ) -> None:
        """An attempt was refused, broken, answered with an error, or not answered in time, which may be `known`."""
        zone, self.now_us = self.of(number), now_us
        self.learn(zone, pace)
        if not known:
            self.missed(zone, upstream, sent_us, FAULT_ODDS)
            zone.refusals += int(refused)
        if zone.state is State.LEFT and sent_us >= zone.changed_us:
            self.put_off(zone)
        elif zone.state is State.RETURNING and sent_us >= zone.changed_us:
            zone.faults += 1
            if zone.faults >= min(RETURN_FAULTS, zone.upstreams):
                self.leave(zone, f"{zone.faults} faults in a row while it returned")
        else:
            self.compare(zone)

    def overdue(self, number: int, upstream: int, sent_us: int, again: bool, now_us: int) -> None:
        """An attempt has been out for longer than answers take; it may still be answered. With `again` it is not
        the first of its request: what is heavy at one upstream is heavy at the next."""
        zone, self.now_us = self.of(number), now_us
        odds = AGAIN_ODDS if again else -math.log10(min(max(self.late_part, LATE_PART), 0.5))
        self.missed(zone, upstream, sent_us, odds)
        self.compare(zone)

    def missed(self, zone: Zone, upstream: int, sent_us: int, odds: float) -> None:
        """After the accrual detectors of Hayashibara et al. (2004): each miss adds what speaks against chance."""
        if sent_us - zone.missed_us > STALE_US:
            zone.forget()
        zone.missed_us = max(zone.missed_us, sent_us)
        zone.first_us = min(zone.first_us or sent_us, sent_us)
        odds = min(odds, AGAIN_ODDS) if upstream in zone.suspects else odds
        zone.suspects.add(upstream)
        zone.misses += 1
        zone.evidence += odds

    def learn(self, zone: Zone, pace: float) -> None:
        zone.pace += (pace - zone.pace) / MEMORY
        zone.seen += 1

    def compare(self, zone: Zone) -> None:
        """Weigh it against the others, which have to have answered since the first that it did not answer."""
        if not zone.used or zone.ordered or not zone.upstreams:
            return
        others = [z for z in self.zones.values() if z is not zone and z.used and z.upstreams]
        heard = [z for z in others if z.answer_us > zone.first_us and not z.suspects]
        seen = (
            f"{zone.misses} attempts at {len(zone.suspects)} of {zone.upstreams} upstreams failed in a row, "
            f"{zone.refusals} refused; one in 10^{zone.evidence:.1f} by chance"
        )
        # hazard: in a crowd many are late together, though not by chance; but answers go on coming
        silent = 2 * zone.refusals >= zone.misses or self.now_us - zone.answer_us >= QUIET_US
        if len(zone.suspects) >= zone.needed() and zone.evidence >= EVIDENCE and heard and silent:
            self.leave(zone, seen)
            return
        judged = [z for z in heard if z.seen >= MEMORY]
        slow = zone.seen >= MEMORY and any(zone.pace > SLOW_TIMES * max(z.pace, 0.5) for z in judged)
        zone.slow_us = (zone.slow_us or self.now_us) if slow else 0
        if slow and self.now_us - zone.slow_us >= SLOW_FOR_US:
            self.leave(zone, f"its pace is {zone.pace:.1f}, the others' {min(z.pace for z in judged):.1f}")
        elif zone.state is State.NEAR and 2 * len(zone.suspects) >= zone.needed() and zone.evidence >= DOUBT and heard:
            self.move(zone, State.DOUBTED, seen)

    def quiet(self, number: int, now_us: int) -> bool:
        """Whether attempts there have been missed, and none was answered for a while."""
        zone = self.of(number)
        return bool(zone.suspects) and now_us - zone.answer_us >= QUIET_US

    # Leaving and returning

    def leave(self, zone: Zone, why: str) -> None:
        flapped = zone.left_us > 0 and self.now_us - zone.left_us < FLAP_MEMORY_US
        zone.wait_us = min(2 * zone.wait_us, LONGEST_WAIT_US) if flapped else FIRST_WAIT_US
        zone.left_us = self.now_us
        zone.refused = 2 * zone.refusals >= zone.misses > 0 or (zone.refused and zone.state is State.RETURNING)
        zone.try_us = self.now_us + int(zone.wait_us * (0.5 + self.random.random()))
        zone.slow_us = 0
        self.move(zone, State.LEFT, why)

    def put_off(self, zone: Zone) -> None:
        """A try failed: the next one comes as late as the fleet's share of tries wants it, at least."""
        zone.try_us = self.now_us + int(max(self.gap_us(zone), zone.wait_us) * (0.5 + self.random.random()))

    def gap_us(self, zone: Zone) -> int:
        """Between this sidecar's tries, so that all sidecars together try each upstream a few times a second."""
        each = max(1, zone.upstreams) * TRIES_EACH_A_SECOND
        return max(SHORTEST_GAP_US, int(1_000_000 * self.instances / each))

    def move(self, zone: Zone, state: State, why: str) -> None:
        before, zone.state, zone.why, zone.changed_us = zone.state, state, why, self.now_us
        zone.faults = 0
        if state is not State.DOUBTED:
            zone.forget()
            zone.pace, zone.seen = 1.0, 0
        self.all_used = all(z.used for z in self.zones.values())
        self.any_doubted = any(z.state is State.DOUBTED for z in self.zones.values())
        self.changed(zone, before)

    def due_try(self, now_us: int) -> Zone | None:
        """A left zone that may be tried now; telling of it counts as the try."""
        for zone in self.zones.values():
            if zone.state is State.LEFT and not zone.ordered and zone.upstreams and now_us >= zone.try_us:
                zone.try_us = now_us + int(self.gap_us(zone) * (0.5 + self.random.random()))
                return zone
        return None

    def shut(self) -> set[int]:
        """The zones that take no part in one draw."""
        if self.all_used:
            return set()
        out = {
            z.number
            for z in self.zones.values()
            if not z.used and z.upstreams and (z.state is State.LEFT or self.random.random() >= STEPS[z.step])
        }
        if out and not any(z.upstreams and z.number not in out for z in self.zones.values()):
            return {z.number for z in self.zones.values() if z.ordered}  # hazard: there must be somewhere to send
        return out

    def doubted(self) -> set[int]:
        """Zones that what must not be repeated had better avoid."""
        return {z.number for z in self.zones.values() if z.state is State.DOUBTED} if self.any_doubted else set()

    # The list and the operator

    def listed(self, counts: dict[int, int], started: set[int], now_us: int) -> None:
        """How many ready upstreams each zone has, and which zones have some that have just started."""
        self.now_us = now_us
        for number in counts.keys() | self.zones.keys():
            zone = self.of(number)
            zone.upstreams = counts.get(number, 0)
            if not zone.upstreams or number in started:
                zone.forget()  # what failed is not there any more
            if number in started and zone.state is State.LEFT and not zone.ordered:
                zone.step = 0  # what has just started is cold by the list itself
                self.move(zone, State.RETURNING, "the list tells of upstreams that have started")

    def objection(self, number: int) -> str:
        """Why an operator can't have this zone left; "" if nothing speaks against it."""
        rest = [z for z in self.zones.values() if z.number != number and z.upstreams and not z.ordered]
        return "" if rest else "it is the last zone in use"

    def order(self, number: int, leave: bool, now_us: int) -> None:
        """An operator's word, which evidence does not undo."""
        zone, self.now_us = self.of(number), now_us
        if leave and not self.objection(number):
            zone.ordered = True
            self.move(zone, State.LEFT, "an operator's order")
        elif not leave and zone.ordered:
            zone.ordered, zone.step, zone.refused = False, 0, False
            self.move(zone, State.RETURNING, "an operator's order")
