"""The timers of the policy, multiplexed on one timer of the sidecar."""

from __future__ import annotations

import enum
import heapq

from garnetusher.policy.actions import SetTimer
from garnetusher.policy.context import PolicyContext


class TimerKind(enum.IntEnum):
    """The purpose of a timer. Timers that are due at the same time fire in the order of these members."""

    BUFFER = enum.auto()  # the time limit of the buffered request is over
    HEDGE = enum.auto()  # an attempt is slow enough to be hedged
    OVERDUE = enum.auto()  # an attempt has been outstanding for longer than responses usually take
    WATCH = enum.auto()  # a call to discovery that starts a watch of the endpoint list is due


class TimerQueue:
    """The pending timers of the policy.

    Attributes:
        armed_us: The time for which the sidecar has been asked to set its timer; 0 = no timer is set.
    """

    def __init__(self, context: PolicyContext) -> None:
        self._context = context
        self._pending: list[tuple[int, TimerKind, int]] = []  # a heap of (time, kind, request id)
        self.armed_us = 0

    def schedule(self, at_us: int, kind: TimerKind, request_id: int = 0) -> None:
        """Add a timer. If its time is not in the future, it fires 1 microsecond from now."""
        heapq.heappush(self._pending, (max(at_us, self._context.now_us + 1), kind, request_id))

    def on_fired(self) -> None:
        """Record that the sidecar's timer has fired.

        A timer that fires before the armed time is outdated, because another timer has replaced it, and is ignored. If
        it were not ignored, each outdated timer would arm another one.
        """
        if self.armed_us <= self._context.now_us:
            self.armed_us = 0

    def pop_expired(self) -> tuple[TimerKind, int] | None:
        """Remove the next expired timer and return its kind and request id; None if none has expired."""
        if not self._pending or self._pending[0][0] > self._context.now_us:
            return None
        _, kind, request_id = heapq.heappop(self._pending)
        return kind, request_id

    def arm(self, readmissions_us: list[int] | None) -> None:
        """Ask the sidecar for a timer at the earliest pending time, unless an earlier one is armed.

        Args:
            readmissions_us: The times at which ejected endpoints are readmitted; None if no request waits for a slot.
        """
        pending, requests = self._pending, self._context.requests
        # Timers of requests that have been answered are dropped: most requests are answered before their timers expire,
        # and handling an unneeded timer costs as much as handling a request
        while pending and pending[0][2] not in requests and pending[0][1] is not TimerKind.WATCH:
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
