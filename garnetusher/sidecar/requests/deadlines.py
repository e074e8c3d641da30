"""Deadlines of requests and timeouts of attempts, as timers of the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import RESPONSE_MARGIN_US, Attempt, HttpRequest, PendingRequest

OVERDUE_DELAY_US = 5_000  # the dispatcher's own timer fires so long after the deadline that the policy keeps
MICROSECONDS_PER_SECOND = 1e6


class Deadlines:
    """The timers of requests and attempts.

    Attributes:
        process_deadline_us: when this process gives its last responses; 0 = it is not stopping.
    """

    def __init__(
        self,
        on_request_overdue: Callable[[PendingRequest], None],
        on_attempt_timeout: Callable[[PendingRequest, int], None],
    ) -> None:
        self.process_deadline_us = 0
        self._loop = asyncio.get_running_loop()
        self._on_request_overdue = on_request_overdue
        self._on_attempt_timeout = on_attempt_timeout

    def call_at(self, at_us: int, callback: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Call back at a time of the monotonic clock, never before it."""
        delay_us = max(0, at_us - monotonic_us() + 1)
        return self._loop.call_later(delay_us / MICROSECONDS_PER_SECOND, callback, *args)

    def request_deadline_us(self, http_request: HttpRequest) -> int:
        """Return when a request has to have its response: in the client's time, and before this process ends."""
        deadline_us = http_request.arrived_us + max(1, http_request.client_timeout_us - RESPONSE_MARGIN_US)
        if self.process_deadline_us:
            return min(deadline_us, self.process_deadline_us)
        return deadline_us

    def set_request_deadline(self, request: PendingRequest, deadline_us: int) -> None:
        """Set a deadline, with a timer of its own: the client gets a response whatever becomes of the policy's."""
        request.deadline_us = deadline_us
        self.cancel_request_timer(request)
        request.deadline_timer = self.call_at(deadline_us + OVERDUE_DELAY_US, self._on_request_overdue, request)

    def start_attempt_timer(self, request: PendingRequest, attempt_index: int) -> None:
        """Start, or start again, the timeout of an attempt, which ends with its request's deadline at the latest."""
        attempt = request.attempts[attempt_index]
        self.cancel_attempt_timer(attempt)
        timeout_at_us = request.deadline_us
        if attempt.timeout_us:
            timeout_at_us = min(timeout_at_us, attempt.started_us + attempt.timeout_us)
        attempt.timeout_timer = self.call_at(timeout_at_us, self._on_attempt_timeout, request, attempt_index)

    def restart_attempt_timers(self, request: PendingRequest) -> None:
        """Start the timeouts of all attempts in flight again, after a change of the deadline."""
        for attempt_index, attempt in enumerate(request.attempts):
            if not attempt.ended:
                self.start_attempt_timer(request, attempt_index)

    @staticmethod
    def cancel_request_timer(request: PendingRequest) -> None:
        """Cancel the timer of a request's deadline."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    @staticmethod
    def cancel_attempt_timer(attempt: Attempt) -> None:
        """Cancel the timer of an attempt's timeout."""
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
