"""When the endpoint list is polled, with backoff after failures."""

from __future__ import annotations

from garnetusher.policy.actions import WatchEndpoints
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.events import UpdateKind
from garnetusher.policy.timers import TimerKind, TimerQueue
from garnetusher.policy.zones import Zones

POLL_GAP_US = 250_000  # between the fleet's calls to discovery, at first: one costs it up to 0.2 s
FIRST_POLL_FRACTION = 0.8  # of the poll interval, in which a call is made
# an update must arrive within 6 s after discovery could be reached; a call takes up to 2.5 s of that, stalls the rest
MAX_POLL_GAP_US = 3_000_000
MAX_BACKOFF_EXPONENT = 20


class EndpointPoller:
    """Polls the endpoint list until a watch delivers it, and again whenever a poll has failed."""

    def __init__(self, context: PolicyContext, timers: TimerQueue, zones: Zones) -> None:
        self._context = context
        self._timers = timers
        self._zones = zones
        self._consecutive_failures = 0
        self._next_poll_us = 0  # 0 = no poll is scheduled, as the list is being watched
        self._schedule_after_backoff()

    def on_update(self, update_kind: UpdateKind) -> None:
        """Note an update of the list, or the failure to get one."""
        if update_kind is UpdateKind.FAILED:
            self._consecutive_failures += 1
            self._schedule_after_backoff()
        elif update_kind is not UpdateKind.CACHED:
            self._consecutive_failures = 0
            self._next_poll_us = 0

    def on_settings_changed(self, *, was_polling: bool) -> None:
        """Start or stop polling if the new settings say so."""
        if self._context.settings.poll_endpoints != was_polling:
            self._next_poll_us = 0
            self._schedule_after_backoff()

    def on_timer(self) -> None:
        """Poll if it is time, and schedule the next poll in case no answer comes: a call may be lost."""
        now_us = self._context.now_us
        if self._next_poll_us != 0 and now_us >= self._next_poll_us:
            self._context.actions.append(WatchEndpoints(active=True))
            self._schedule(now_us + max(POLL_GAP_US, self._context.settings.poll_interval_us // 2))

    def _schedule_after_backoff(self) -> None:
        self._schedule(self._context.now_us + self._backoff_us())

    def _schedule(self, at_us: int) -> None:
        if self._context.settings.poll_endpoints:
            self._next_poll_us = at_us
            self._timers.schedule(at_us, TimerKind.POLL)

    def _backoff_us(self) -> int:
        """Draw the time until discovery is called.

        One service serves a few calls a second for the whole fleet, and those that have waited too long fail. Calls
        that all sidecars make at once, as when they restart or all watches break, let none through. So they are spread
        with full jitter over a time that grows with the fleet and doubles with each failure. Rule 3: the list must be
        current soon after discovery can be reached, however many calls have failed; so that time has a bound.
        """
        exponent = min(max(0, self._consecutive_failures - 1), MAX_BACKOFF_EXPONENT)
        spread_us = POLL_GAP_US * self._zones.fleet_size * 2**exponent
        longest_us = min(MAX_POLL_GAP_US, int(self._context.settings.poll_interval_us * FIRST_POLL_FRACTION))
        return int(min(spread_us, longest_us) * self._context.random.random())
