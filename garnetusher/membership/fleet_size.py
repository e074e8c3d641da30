"""How many share what the fleet may do, while views may differ: the number that keeps the fleet's limits.

Each sidecar allows itself one part in so many. Counting too few lets all together through too much; counting too many
only leaves something unused. So growth counts at once, one that has said that it leaves goes on counting for a moment,
and one that has only fallen silent for as long as a split may last: it may be serving on the other side.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence

from msgspec import Struct

from garnetusher.membership.member import Member
from garnetusher.membership.view import State, counts

HOLD_US = 10_000_000  # for which the largest count goes on holding: longer than it takes until a change is agreed on
HOLD_FAILED_US = 120_000_000  # for which one that has failed counts on: twice the split of a minute that must pass


class Share(Struct, frozen=True):
    """What consumers are told: one part in `instances`, this one being the `index`th of those present."""

    instances: int
    index: int
    trusted: bool  # views agree, and nobody counts who is not there


class Count:
    """Tell it of each view; `saw` gives what holds now. The floor is what the operator says is the least, or 1."""

    def __init__(self, floor: int = 1, hold_us: int = HOLD_US, hold_failed_us: int = HOLD_FAILED_US) -> None:
        self.floor, self.hold_us, self.hold_failed_us = max(1, floor), hold_us, hold_failed_us
        self._seen: deque[tuple[int, int]] = deque()  # (until when it holds, count): later, and fewer

    def saw(
        self, now_us: int, present: Sequence[str], failed: Mapping[str, int], own: str, agreed: bool, welcomed: int = 0
    ) -> Share:
        """A view: the names present, in order; those that failed and since when; whether others agree with it; and of
        how many a newcomer was told, while it has not heard of them all."""
        count = len(present) + sum(now_us - since_us < self.hold_failed_us for since_us in failed.values())
        count = max(count, welcomed)
        while self._seen and self._seen[0][0] <= now_us and agreed:
            self._seen.popleft()
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((now_us + self.hold_us, count))
        most = self._seen[0][1]
        index = present.index(own) if own in present else 0
        return Share(max(most, self.floor), index, agreed and most == len(present))

    def of(self, member: Member, now_us: int, kind: str) -> Share:
        """What holds by one member's view of its kind."""
        entries = [entry for _, entry in sorted(member.view.entries.items()) if entry.kind == kind]
        present = [entry.name for entry in entries if counts(entry)]
        failed = {entry.name: member.view.since_us[entry.name] for entry in entries if entry.state == State.FAILED}
        # a newcomer was told of others that may still be on their way into its view
        welcomed = member.welcomed + 1 if now_us - member.present_us < self.hold_us else 0
        return self.saw(now_us, present, failed, member.name, member.agreed, welcomed)
