"""Calls to discovery that start a watch of the endpoint list, with backoff after failures.

The settings call this polling (`poll_endpoints`, `poll_interval_us`).
"""

from __future__ import annotations

from garnetusher.policy.actions import WatchEndpoints
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.events import UpdateKind
from garnetusher.policy.timers import TimerKind, TimerQueue
from garnetusher.policy.zones import Zones

# The mean interval between calls to discovery from the whole fleet while no call has failed. Discovery needs up to
# 0.2 s for one call.
CALL_GAP_US = 250_000
MAX_BACKOFF_FRACTION = 0.8  # the backoff before a call is at most this fraction of `poll_interval_us`
# By rule 3, an update must arrive within 6 s after discovery becomes reachable. A call can take 2.5 s of that time, and
# the remainder allows for stalls of the process.
MAX_CALL_SPREAD_US = 3_000_000
MAX_BACKOFF_EXPONENT = 20


class WatchStarter:
    """Schedules calls to discovery until a watch delivers the endpoint list, and again after each failure."""

    def __init__(self, context: PolicyContext, timers: TimerQueue, zones: Zones) -> None:
        self._context = context
        self._timers = timers
        self._zones = zones
        self._consecutive_failures = 0
        self._next_call_us = 0  # 0 = no call is scheduled because a watch delivers the list
        self._schedule_after_backoff()

    def on_update(self, update_kind: UpdateKind) -> None:
        """Handle an update of the list or a failure to get one."""
        if update_kind is UpdateKind.FAILED:
            self._consecutive_failures += 1
            self._schedule_after_backoff()
        elif update_kind is not UpdateKind.CACHED:
            self._consecutive_failures = 0
            self._next_call_us = 0

    def on_settings_changed(self, *, was_polling: bool) -> None:
        """Start or stop the calls if the new settings change whether the list has to be requested."""
        if self._context.settings.poll_endpoints != was_polling:
            self._next_call_us = 0
            self._schedule_after_backoff()

    def on_timer(self) -> None:
        """Start a watch if one is due, and schedule another call in case discovery does not respond to this one."""
        now_us = self._context.now_us
        if self._next_call_us != 0 and now_us >= self._next_call_us:
            self._context.actions.append(WatchEndpoints(active=True))
            self._schedule(now_us + max(CALL_GAP_US, self._context.settings.poll_interval_us // 2))

    def _schedule_after_backoff(self) -> None:
        self._schedule(self._context.now_us + self._backoff_us())

    def _schedule(self, at_us: int) -> None:
        if self._context.settings.poll_endpoints:
            self._next_call_us = at_us
            self._timers.schedule(at_us, TimerKind.WATCH)

    def _backoff_us(self) -> int:
        """Draw the random delay before discovery is called.

        One discovery service handles a few calls per second for the whole fleet, and calls that wait too long in its
        queue fail. If all sidecars call at once, as after a restart or when all watches break, every call fails.
        Therefore the calls are spread with full jitter over an interval that grows with the fleet and doubles with each
        failure. The interval has an upper bound because of rule 3: the list must be current soon after discovery can be
        reached, however many calls have failed.
        """
        exponent = min(max(0, self._consecutive_failures - 1), MAX_BACKOFF_EXPONENT)
        spread_us = CALL_GAP_US * self._zones.fleet_size * 2**exponent
        max_spread_us = min(MAX_CALL_SPREAD_US, int(self._context.settings.poll_interval_us * MAX_BACKOFF_FRACTION))
        return int(min(spread_us, max_spread_us) * self._context.random.random())
