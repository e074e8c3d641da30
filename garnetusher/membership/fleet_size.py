"""The number of instances by which the fleet's limits are divided, while views may differ.

Each sidecar allows itself one part in that number. A number that is too small lets all sidecars together through too
much; one that is too large only leaves capacity unused. So growth counts at once, a member that left counts on for a
moment, and one that failed for as long as a split may last: it may be serving on the other side.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence

from msgspec import Struct

from garnetusher.membership.member import Member
from garnetusher.membership.view import State, is_active

HOLD_US = 10_000_000  # for which the largest size holds on: longer than it takes until a change is agreed on
HOLD_FAILED_US = 120_000_000  # for which a failed member counts on: twice the split of a minute that must be survived


class FleetSize(Struct, frozen=True):
    """What limits are divided by.

    Attributes:
        instances: one part in so many is this sidecar's.
        index: its place among the members present.
        trusted: views agree, and only members that are present count.
    """

    instances: int
    index: int
    trusted: bool


class SizeObservation(Struct, frozen=True):
    """What one view says of the fleet's size.

    Attributes:
        present: names of the active members, in order.
        failed_since_us: failed members, and when they failed.
        own_name: the observer.
        agreed: other members have the same view.
        welcome_count: how many a newcomer was told of, while it may not have heard of them all.
    """

    present: Sequence[str]
    failed_since_us: Mapping[str, int]
    own_name: str
    agreed: bool
    welcome_count: int = 0


class FleetSizeEstimator:
    """Holds the largest size of late; `floor` is the least that the operator allows."""

    def __init__(self, floor: int = 1, hold_us: int = HOLD_US, hold_failed_us: int = HOLD_FAILED_US) -> None:
        self._floor = max(1, floor)
        self._hold_us = hold_us
        self._hold_failed_us = hold_failed_us
        self._held: deque[tuple[int, int]] = deque()  # (held until, size): deadlines ascend, sizes descend

    def estimate(self, member: Member, now_us: int, role: str) -> FleetSize:
        """Return the size of the fleet by one member's view of its role."""
        view = member.view
        entries = [entry for _, entry in sorted(view.entries.items()) if entry.role == role]
        is_newcomer = now_us - member.present_since_us < self._hold_us
        observation = SizeObservation(
            present=[entry.name for entry in entries if is_active(entry)],
            failed_since_us={e.name: view.since_us[e.name] for e in entries if e.state == State.FAILED},
            own_name=member.name,
            agreed=member.agreed,
            welcome_count=member.welcome_member_count + 1 if is_newcomer else 0,
        )
        return self.observe(now_us, observation)

    def observe(self, now_us: int, observation: SizeObservation) -> FleetSize:
        """Take in an observation and return the size that holds now."""
        self._hold(now_us, self._count(now_us, observation), agreed=observation.agreed)
        largest = self._held[0][1]
        present = observation.present
        index = present.index(observation.own_name) if observation.own_name in present else 0
        trusted = observation.agreed and largest == len(present)
        return FleetSize(max(largest, self._floor), index, trusted)

    def _count(self, now_us: int, observation: SizeObservation) -> int:
        failed_since = observation.failed_since_us.values()
        recently_failed = sum(now_us - since_us < self._hold_failed_us for since_us in failed_since)
        return max(len(observation.present) + recently_failed, observation.welcome_count)

    def _hold(self, now_us: int, size: int, *, agreed: bool) -> None:
        """Add a size; larger ones expire only while views agree."""
        while agreed and self._held and self._held[0][0] <= now_us:
            self._held.popleft()
        while self._held and self._held[-1][1] <= size:
            self._held.pop()
        self._held.append((now_us + self._hold_us, size))
