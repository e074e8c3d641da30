"""The deadlines of requests and the timeouts of attempts, implemented as timers of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import RESPONSE_MARGIN_US, Attempt, HttpRequest, PendingRequest

# The policy responds by the deadline. If it does not, a timer fails the request this long after the deadline.
UNANSWERED_DELAY_US = 5_000
MICROSECONDS_PER_SECOND = 1e6


class Deadlines:
    """The timers of requests and attempts.

    Attributes:
        process_deadline_us: the time by which all responses must be sent because the process stops; 0 = not stopping.
    """

    def __init__(
        self,
        on_request_unanswered: Callable[[PendingRequest], None],
        on_attempt_timeout: Callable[[PendingRequest, int], None],
    ) -> None:
        self.process_deadline_us = 0
        self._loop = asyncio.get_running_loop()
        self._on_request_unanswered = on_request_unanswered
        self._on_attempt_timeout = on_attempt_timeout

    def call_at(self, at_us: int, callback: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Schedule a callback for a time of the monotonic clock; it never runs earlier."""
        delay_us = max(0, at_us - monotonic_us() + 1)
        return self._loop.call_later(delay_us / MICROSECONDS_PER_SECOND, callback, *args)

    def request_deadline_us(self, http_request: HttpRequest) -> int:
        """Return the time by which a request needs its response: before the client times out or the process ends."""
        deadline_us = http_request.arrived_us + max(1, http_request.client_timeout_us - RESPONSE_MARGIN_US)
        if self.process_deadline_us:
            return min(deadline_us, self.process_deadline_us)
        return deadline_us

    def set_request_deadline(self, request: PendingRequest, deadline_us: int) -> None:
        """Set the deadline of a request, with a timer that ensures a response even if the policy sends none."""
        request.deadline_us = deadline_us
        self.cancel_request_timer(request)
        request.deadline_timer = self.call_at(deadline_us + UNANSWERED_DELAY_US, self._on_request_unanswered, request)

    def start_attempt_timer(self, request: PendingRequest, attempt_index: int) -> None:
        """Start or restart the timeout of an attempt; it expires no later than the deadline of the request."""
        attempt = request.attempts[attempt_index]
        self.cancel_attempt_timer(attempt)
        timeout_at_us = request.deadline_us
        if attempt.timeout_us:
            timeout_at_us = min(timeout_at_us, attempt.started_us + attempt.timeout_us)
        attempt.timeout_timer = self.call_at(timeout_at_us, self._on_attempt_timeout, request, attempt_index)

    def restart_attempt_timers(self, request: PendingRequest) -> None:
        """Restart the timeouts of all attempts in flight after a change of the deadline."""
        for attempt_index, attempt in enumerate(request.attempts):
            if not attempt.ended:
                self.start_attempt_timer(request, attempt_index)

    @staticmethod
    def cancel_request_timer(request: PendingRequest) -> None:
        """Cancel the deadline timer of a request."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    @staticmethod
    def cancel_attempt_timer(attempt: Attempt) -> None:
        """Cancel the timeout timer of an attempt."""
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()

    @classmethod
    def cancel_attempt_timers(cls, attempt: Attempt) -> None:
        """Cancel all timers of an attempt that has ended; a timer holds the request, with its body, until it fires."""
        cls.cancel_attempt_timer(attempt)
        if attempt.latest_start_timer is not None:
            attempt.latest_start_timer.cancel()
