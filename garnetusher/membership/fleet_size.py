"""Estimates the size of the fleet, by which each sidecar divides the fleet's limits.

The members' views may differ for a time, so the estimate is cautious. If it is too small, all sidecars together exceed
a limit; if it is too large, some capacity stays unused. Therefore, a new member counts at once, and a member that left
still counts for a short time. A failed member counts for as long as a network split may last, because it may be serving
on the other side of the split.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence

from msgspec import Struct

from garnetusher.membership.member import Member
from garnetusher.membership.view import State, is_active

HOLD_US = 10_000_000  # an observed size counts for this time, which is longer than members take to agree on a change
# A failed member counts for this time. It is twice as long as the network split of one minute that the fleet must
# survive.
HOLD_FAILED_US = 120_000_000


class FleetSize(Struct, frozen=True):
    """The estimated size of the fleet.

    Attributes:
        instances: The number of instances by which limits are divided.
        index: The position of this sidecar among the active members, sorted by name.
        trusted: Whether all views agree and the estimate equals the number of active members.
    """

    instances: int
    index: int
    trusted: bool


class SizeObservation(Struct, frozen=True):
    """The size of the fleet according to one view.

    Attributes:
        present: Names of the active members, sorted.
        failed_since_us: The time at which each failed member was declared failed, keyed by name.
        own_name: Name of the member that has the view.
        agreed: Whether the other members have the same view.
        welcome_count: For a new member, the size of the fleet according to a seed, as its own view may not be complete
            yet; otherwise 0.
    """

    present: Sequence[str]
    failed_since_us: Mapping[str, int]
    own_name: str
    agreed: bool
    welcome_count: int = 0


class FleetSizeEstimator:
    """Estimates the size of the fleet as the largest recently observed size.

    Args:
        floor: The smallest size to return, which the operator sets.
        hold_us: The time for which an observed size counts.
        hold_failed_us: The time for which a failed member counts.
    """

    def __init__(self, floor: int = 1, hold_us: int = HOLD_US, hold_failed_us: int = HOLD_FAILED_US) -> None:
        self._floor = max(1, floor)
        self._hold_us = hold_us
        self._hold_failed_us = hold_failed_us
        self._held_sizes: deque[tuple[int, int]] = deque()  # (expiry time, size); times ascend and sizes descend

    def estimate(self, member: Member, now_us: int, role: str) -> FleetSize:
        """Return the size of the fleet, counting the members of one role in a member's view."""
        view = member.view
        entries = [entry for _, entry in sorted(view.entries.items()) if entry.role == role]
        is_new_member = now_us - member.present_since_us < self._hold_us
        observation = SizeObservation(
            present=[entry.name for entry in entries if is_active(entry)],
            failed_since_us={e.name: view.state_since_us[e.name] for e in entries if e.state == State.FAILED},
            own_name=member.name,
            agreed=member.agreed,
            welcome_count=member.welcome_member_count + 1 if is_new_member else 0,
        )
        return self.observe(now_us, observation)

    def observe(self, now_us: int, observation: SizeObservation) -> FleetSize:
        """Record an observation, and return the current estimate."""
        self._record_size(now_us, self._observed_size(now_us, observation), agreed=observation.agreed)
        largest = self._held_sizes[0][1]
        present = observation.present
        index = present.index(observation.own_name) if observation.own_name in present else 0
        trusted = observation.agreed and largest == len(present)
        return FleetSize(max(largest, self._floor), index, trusted)

    def _observed_size(self, now_us: int, observation: SizeObservation) -> int:
        failed_since = observation.failed_since_us.values()
        recently_failed = sum(now_us - since_us < self._hold_failed_us for since_us in failed_since)
        return max(len(observation.present) + recently_failed, observation.welcome_count)

    def _record_size(self, now_us: int, size: int, *, agreed: bool) -> None:
        """Record a size; earlier, larger sizes expire at their time, but not while views differ."""
        while agreed and self._held_sizes and self._held_sizes[0][0] <= now_us:
            self._held_sizes.popleft()
        while self._held_sizes and self._held_sizes[-1][1] <= size:
            self._held_sizes.pop()
        self._held_sizes.append((now_us + self._hold_us, size))
