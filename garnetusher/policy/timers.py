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

    def arm(self, readmissions_us: list[int]) -> None:
        """Ask the sidecar for the next timer, if it is sooner than the one already asked for.

        Args:
            readmissions_us: when ejected endpoints are readmitted, as far as a request waits for that.
        """
        self._discard_timers_of_completed_requests()
        times = [self._pending[0][0]] if self._pending else []
        times.extend(readmissions_us)
        if times and (self.armed_us == 0 or min(times) < self.armed_us):
            self.armed_us = min(times)
            self._context.actions.append(SetTimer(self.armed_us, 0))

    def _discard_timers_of_completed_requests(self) -> None:
        # most requests are answered before their timers; each timer for nothing costs as much as a request
        pending, requests = self._pending, self._context.requests
        while pending and pending[0][1] != TimerKind.POLL and pending[0][2] not in requests:
            heapq.heappop(pending)
