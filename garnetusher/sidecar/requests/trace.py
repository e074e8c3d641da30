"""The most recent events, kept in memory, and counters since the process start, for operators and the log.

Request events and each kind of state events (transitions and closed connections) have separate rings, so that no kind
displaces another: clients that open a connection for each request close many.
"""

from __future__ import annotations

import enum
import heapq
import json
import logging
from collections import Counter, defaultdict, deque
from typing import NamedTuple

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.transitions import (
    ClientCloseReason,
    LateRequest,
    LifecycleTransition,
    UpstreamCloseReason,
    WatchTransition,
)

log = logging.getLogger(__name__)

TRACE_CAPACITY = 1024  # holds a few seconds of events of a busy sidecar in 150 KB
STATE_TRACE_CAPACITY = 256  # for each kind of state events; serializing all events blocks the loop for milliseconds
MAX_LOGGED_EVENTS = 24  # limits the events in a log line, so that the line fits into one write to a pipe

MAX_REASON_LENGTH = 128  # clients choose the length of their ids

NO_REQUEST = 0
NO_ATTEMPT = -1
NO_ENDPOINT = -1

StateReason = WatchTransition | LifecycleTransition | ClientCloseReason | UpstreamCloseReason


class EventName(enum.StrEnum):
    """The kinds of events; their values are part of the JSON of the admin API (docs/on-call/trace.md)."""

    RECEIVED = "taken"
    CHOSEN = "chosen"
    DENIED = "denied"
    WRITTEN = "written"
    ENDED = "ended"
    LATE = "late after SIGTERM"
    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "client gone"
    CLIENT_HALF_CLOSED = "client sends no more"
    VIOLATION = "violation"
    WATCH = "watch"
    LIFECYCLE = "lifecycle"
    CLIENT_CLOSE = "client connection closed"
    UPSTREAM_CLOSE = "upstream connection closed"


class TraceEvent(NamedTuple):
    """One event in the lifetime of a request, of a connection, of the watch or of the process.

    Attributes:
        at_us: the time of the event on the monotonic clock.
        name: the kind of the event.
        request_id: the dispatcher's number for the request; `NO_REQUEST` if the event concerns no request.
        attempt_index: the index of the attempt; `NO_ATTEMPT` if the event concerns no attempt.
        endpoint_id: the endpoint of the attempt; `NO_ENDPOINT` if the event concerns no endpoint.
        reason: the detail of the event: an outcome, a denial, a disposition, a rule, the client's `X-Request-Id`,
            or a value of an enum in `garnetusher.sidecar.transitions`.
    """

    at_us: int
    name: EventName
    request_id: int = NO_REQUEST
    attempt_index: int = NO_ATTEMPT
    endpoint_id: int = NO_ENDPOINT
    reason: str = ""

    def to_dict(self) -> dict[str, object]:
        """Return the event with the keys that the admin API uses, without the fields that do not apply."""
        result: dict[str, object] = {"at_us": self.at_us, "what": self.name.value}
        if self.request_id != NO_REQUEST:
            result["request"] = self.request_id
        if self.attempt_index != NO_ATTEMPT:
            result["attempt"] = self.attempt_index
        if self.endpoint_id != NO_ENDPOINT:
            result["upstream"] = self.endpoint_id
        if self.reason:
            result["reason"] = self.reason
        return result


class Trace:
    """Ring buffers of the most recent events, and the counters.

    Attributes:
        events: the request events, oldest first.
        counts: the counters.
    """

    def __init__(self) -> None:
        self.events: deque[TraceEvent] = deque(maxlen=TRACE_CAPACITY)
        self._state_events: defaultdict[EventName, deque[TraceEvent]] = defaultdict(
            lambda: deque(maxlen=STATE_TRACE_CAPACITY)
        )
        self.counts: Counter[str] = Counter()

    def record_event(
        self,
        name: EventName,
        request_id: int = NO_REQUEST,
        attempt_index: int = NO_ATTEMPT,
        endpoint_id: int = NO_ENDPOINT,
        reason: str = "",
    ) -> None:
        """Append a request event with the current time."""
        reason = reason[:MAX_REASON_LENGTH]
        self.events.append(TraceEvent(monotonic_us(), name, request_id, attempt_index, endpoint_id, reason))

    def record_state(self, name: EventName, reason: StateReason, endpoint_id: int = NO_ENDPOINT) -> None:
        """Append a transition or a closed connection with the current time."""
        self._state_events[name].append(TraceEvent(monotonic_us(), name, endpoint_id=endpoint_id, reason=reason))

    @property
    def state_events(self) -> list[TraceEvent]:
        """The transitions and closed connections in the order of their times."""
        return _merge(*self._state_events.values())

    def all_events(self) -> list[TraceEvent]:
        """Return the events of all rings in the order of their times."""
        return _merge(self.events, *self._state_events.values())

    def count(self, counter: str) -> None:
        """Increment a counter; callers may only pass names from a bounded set."""
        self.counts[counter] += 1

    def events_of_request(self, request_id: int) -> list[TraceEvent]:
        """Return the events of a request that are still in the ring buffer."""
        return [event for event in self.events if event.request_id == request_id]

    def find(self, client_request_id: str) -> list[TraceEvent]:
        """Return the buffered events of the requests that have this `X-Request-Id`."""
        request_ids = {
            event.request_id
            for event in self.events
            if event.name is EventName.RECEIVED and event.reason == client_request_id[:MAX_REASON_LENGTH]
        }
        return [event for event in self.events if event.request_id in request_ids]

    def record_late_request(self, request_id: int, reason: LateRequest) -> None:
        """Record that a request which came late after SIGTERM is refused."""
        self.record_event(EventName.LATE, request_id, reason=reason)
        self.count(f"{EventName.LATE}: {reason}")

    def record_violation(
        self, rule: str, request_id: int, attempt_index: int = NO_ATTEMPT, endpoint_id: int = NO_ENDPOINT
    ) -> None:
        """Count a rule violation that occurred or was prevented, and log it with the last events of its request."""
        self.record_event(EventName.VIOLATION, request_id, attempt_index, endpoint_id, rule)
        self.count(f"violation: {rule}")
        events = [event.to_dict() for event in self.events_of_request(request_id)[-MAX_LOGGED_EVENTS:]]
        log.error(
            "rule violated: %s: request %d attempt %d upstream %d: %s",
            rule,
            request_id,
            attempt_index,
            endpoint_id,
            json.dumps(events),
        )


def _merge(*rings: deque[TraceEvent]) -> list[TraceEvent]:
    return list(heapq.merge(*rings, key=lambda event: event.at_us))
