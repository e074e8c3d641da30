"""Decides when client connections close, and what late requests may receive, while a process drains or stops.

The schedule is a pure function of the kind of ending, the time since it began and the state of a connection. It does no
I/O and has no clock: `shutdown` and the downstream server apply its decisions.

SIGKILL can arrive `KILL_DELAY_S` after the longest deadline, counted from SIGTERM. A request with a time limit is
answered before that time, but a streamed response has no time limit: SIGKILL cuts it off. The process therefore streams
no response to a request that came more than `STREAMING_TIME_S` after SIGTERM.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from garnetusher.policy.settings import RequestClass

KILL_DELAY_S = 0.7  # SIGKILL arrives at least this long after the longest deadline
MAX_DEADLINE_S = 3.0  # longer deadlines are capped at this value
STREAMING_TIME_S = KILL_DELAY_S  # SIGKILL leaves a request that came by then at least its deadline
FINAL_RESPONSE_MARGIN_S = 0.2  # the last responses precede SIGKILL by this time because the event loop may be busy
ACCEPT_AFTER_SIGTERM_S = 0.5  # clients open new connections for up to 0.4 s after SIGTERM
LAST_REQUEST_S = 0.5  # idle connections then close before `STREAMING_TIME_S` even if the loop stalls for 0.15 s
DRAIN_IDLE_CLOSE_DELAY_S = 1.5  # delay from the start of a drain; all idle connections must close within 4 s
MIN_IDLE_S = 0.3  # minimum idle time of a connection without a valid request, which may be in transit
MIN_IDLE_BETWEEN_REQUESTS_S = 0.05  # many clients send their next request as soon as they have a response
RESTART_RETRY_AFTER_US = 1_000_000  # time within which a new process replaces one that is stopping


class Ending(enum.Enum):
    """How a process stops serving its clients."""

    DRAIN = "an operator has asked clients to use other sidecars; the process goes on"
    RESTART = "after SIGTERM, nobody accepts connections until another process is started"
    REPLACEMENT = "after SIGTERM, another process accepts connections on the same listening socket"


class Admission(enum.Enum):
    """What a request that has been read completely may receive."""

    ANY_RESPONSE = "any response, which is streamed if it is long"
    WHOLE_RESPONSE = "only a response that is short enough to be buffered"
    REFUSAL = "a refusal, before it is forwarded"


@dataclass(frozen=True, slots=True)
class ClosingSchedule:
    """The decisions for one ending; times count from SIGTERM, or from the start of the drain, in seconds.

    Attributes:
        ending: how the process stops serving its clients.
        kill_s: earliest time at which SIGKILL can arrive; infinite for a drain.
    """

    ending: Ending
    kill_s: float

    @classmethod
    def for_drain(cls) -> ClosingSchedule:
        """Return the schedule of a drain, after which the process goes on."""
        return cls(Ending.DRAIN, float("inf"))

    @classmethod
    def for_shutdown(cls, classes: Sequence[RequestClass], *, has_successor: bool) -> ClosingSchedule:
        """Return the schedule of a shutdown.

        Args:
            classes: the request classes, whose longest deadline determines when SIGKILL can arrive.
            has_successor: whether another process shares the listening socket.
        """
        longest_deadline_s = max(request_class.deadline_us for request_class in classes) / 1e6
        ending = Ending.REPLACEMENT if has_successor else Ending.RESTART
        return cls(ending, min(MAX_DEADLINE_S, longest_deadline_s) + KILL_DELAY_S)

    @property
    def final_responses_s(self) -> float:
        """The time at which all requests still in flight are answered."""
        return self.kill_s - FINAL_RESPONSE_MARGIN_S

    @property
    def close_remaining_s(self) -> float:
        """The time at which the remaining idle connections close, even if a client may be sending a request."""
        return self.kill_s - FINAL_RESPONSE_MARGIN_S / 2

    @property
    def retry_after_us(self) -> int:
        """The delay after which the client of a refused request may retry; 0 = at once."""
        return 0 if self.ending is Ending.REPLACEMENT else RESTART_RETRY_AFTER_US

    def streams_responses(self, elapsed_s: float) -> bool:
        """Return whether a request that is complete now may have a streamed response."""
        return self.ending is Ending.DRAIN or elapsed_s < STREAMING_TIME_S

    def admission(self, elapsed_s: float, *, is_repeatable: bool) -> Admission:
        """Return what a request that is complete now may receive.

        A request that may not run twice is refused before it runs, as the length of its response is not known then.

        Args:
            elapsed_s: the time since the ending began.
            is_repeatable: whether the request may be refused after it has run.
        """
        if self.streams_responses(elapsed_s):
            return Admission.ANY_RESPONSE
        return Admission.WHOLE_RESPONSE if is_repeatable else Admission.REFUSAL

    def rejects_incomplete(self, elapsed_s: float) -> bool:
        """Return whether requests that have not been read completely are rejected."""
        return elapsed_s >= self.final_responses_s

    def closes_idle(self, elapsed_s: float, idle_s: float, *, has_sent_valid_request: bool) -> bool:
        """Return whether a connection without a request closes.

        Closing a connection loses a request that its client is sending at that moment, so a connection that is likely
        to carry the next request stays open. Each response closes its connection, so that it is the last request.

        Args:
            elapsed_s: the time since the ending began.
            idle_s: the time since the connection was set up or finished a response.
            has_sent_valid_request: whether the client has sent a valid request.
        """
        if elapsed_s >= self.close_remaining_s:
            return True
        if self.ending is Ending.DRAIN:
            return elapsed_s > DRAIN_IDLE_CLOSE_DELAY_S and idle_s >= MIN_IDLE_S
        if not has_sent_valid_request:
            return elapsed_s >= LAST_REQUEST_S and idle_s >= MIN_IDLE_S
        if self.ending is Ending.REPLACEMENT and elapsed_s < LAST_REQUEST_S:
            return False
        return idle_s >= MIN_IDLE_BETWEEN_REQUESTS_S
