"""The policy's own timers, multiplexed on the one timer that the sidecar keeps for it."""

from __future__ import annotations

import enum
import heapq

from garnetusher.policy.actions import SetTimer
from garnetusher.policy.context import PolicyContext


class TimerKind(enum.IntEnum):
    """What a timer is for; timers of one instant fire in this order."""

    BUFFER = enum.auto()  # the buffered request has waited long enough
    HEDGE = enum.auto()  # a request's attempt is slow enough for a hedged request
    OVERDUE = enum.auto()  # an attempt is out for longer than responses usually take
    POLL = enum.auto()  # the endpoint list is polled


class TimerQueue:
    """Pending timers, and the earliest one that the sidecar has been asked for."""

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._pending: list[tuple[int, TimerKind, int]] = []  # (when, kind, request id); a heap
        self.armed_us = 0  # the next timer already asked for; 0 = none

    def schedule(self, at_us: int, kind: TimerKind, request_id: int = 0) -> None:
        """Add a timer; it fires after now at the earliest."""
        heapq.heappush(self._pending, (max(at_us, self._context.now_us + 1), kind, request_id))

    def on_fired(self) -> None:
        """Note that the sidecar's timer has fired. An outdated one is ignored: otherwise each would arm another."""
        if self.armed_us <= self._context.now_us:
            self.armed_us = 0

    def pop_expired(self) -> tuple[TimerKind, int] | None:
        """Remove the next timer whose time has come and return its kind and request; None if there is none."""
        if not self._pending or self._pending[0][0] > self._context.now_us:
            return None
        _, kind, request_id = heapq.heappop(self._pending)
        return kind, request_id

    def arm(self, readmissions_us: list[int] | None) -> None:
        """Ask the sidecar for the next timer, if it is sooner than the one already asked for.

        Args:
            readmissions_us: when ejected endpoints are readmitted, if a request waits for that.
        """
        pending, requests = self._pending, self._context.requests
        # most requests are answered before their timers; each timer for nothing costs as much as a request
        while pending and pending[0][2] not in requests and pending[0][1] is not TimerKind.POLL:
            heapq.heappop(pending)
        times = [pending[0][0]] if pending else []
        if readmissions_us:
            times.extend(readmissions_us)
        if not times:
            return
        next_us = min(times)
        if self.armed_us == 0 or next_us < self.armed_us:
            self.armed_us = next_us
            self._context.actions.append(SetTimer(next_us, 0))
