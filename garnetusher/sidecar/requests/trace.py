"""The last events of requests, kept in memory, and counters since the start: for operators and for the log."""

from __future__ import annotations

import enum
import json
import logging
from collections import Counter, deque
from typing import NamedTuple

from garnetusher.sidecar.clock import monotonic_us

log = logging.getLogger(__name__)

LAST_EVENTS = 1024  # some seconds of a busy sidecar; 150 KB
MAX_LOGGED_EVENTS = 24  # of one request: a log line has to stay below what a pipe takes at once

NO_REQUEST = 0
NO_ATTEMPT = -1
NO_ENDPOINT = -1


class EventName(enum.StrEnum):
    """What happened; the values are part of the JSON at the admin address (docs/on-call/requests.md)."""

    RECEIVED = "taken"
    CHOSEN = "chosen"
    DENIED = "denied"
    WRITTEN = "written"
    ENDED = "ended"
    ANSWERED = "answered"
    CLIENT_DISCONNECTED = "client gone"
    CLIENT_HALF_CLOSED = "client sends no more"
    VIOLATION = "violation"


class TraceEvent(NamedTuple):
    """One step of a request.

    Attributes:
        at_us: when, on the monotonic clock.
        name: what happened.
        request_id: the dispatcher's number of the request; `NO_REQUEST` if it concerns none.
        attempt_index: the attempt, or `NO_ATTEMPT`.
        endpoint_id: the endpoint of the attempt, or `NO_ENDPOINT`.
        reason: an outcome, a denial, a disposition, a rule, or the client's id of a received request.
    """

    at_us: int
    name: EventName
    request_id: int = NO_REQUEST
    attempt_index: int = NO_ATTEMPT
    endpoint_id: int = NO_ENDPOINT
    reason: str = ""

    def shown(self) -> dict[str, object]:
        """Return the event with the keys of the admin address, without those that do not apply."""
        shown: dict[str, object] = {"at_us": self.at_us, "what": self.name.value}
        if self.request_id != NO_REQUEST:
            shown["request"] = self.request_id
        if self.attempt_index != NO_ATTEMPT:
            shown["attempt"] = self.attempt_index
        if self.endpoint_id != NO_ENDPOINT:
            shown["upstream"] = self.endpoint_id
        if self.reason:
            shown["reason"] = self.reason
        return shown


class Trace:
    """A ring of the last events, and the counters."""

    def __init__(self) -> None:
        self.events: deque[TraceEvent] = deque(maxlen=LAST_EVENTS)
        self.counts: Counter[str] = Counter()

    def note(
        self,
        name: EventName,
        request_id: int = NO_REQUEST,
        attempt_index: int = NO_ATTEMPT,
        endpoint_id: int = NO_ENDPOINT,
        reason: str = "",
    ) -> None:
        """Append an event, dated now."""
        self.events.append(TraceEvent(monotonic_us(), name, request_id, attempt_index, endpoint_id, reason))

    def count(self, counter: str) -> None:
        """Increment a counter; its name comes from a fixed set."""
        self.counts[counter] += 1

    def of_request(self, request_id: int) -> list[TraceEvent]:
        """Return the events of a request that are still in the ring."""
        return [event for event in self.events if event.request_id == request_id]

    def find(self, client_request_id: str) -> list[TraceEvent]:
        """Return the events of the requests that have this `X-Request-Id`."""
        request_ids = {
            event.request_id
            for event in self.events
            if event.name is EventName.RECEIVED and event.reason == client_request_id
        }
        return [event for event in self.events if event.request_id in request_ids]

    def violated(
        self, rule: str, request_id: int, attempt_index: int = NO_ATTEMPT, endpoint_id: int = NO_ENDPOINT
    ) -> None:
        """Count and log a violation of a rule, prevented or not, with the events of its request."""
        self.note(EventName.VIOLATION, request_id, attempt_index, endpoint_id, rule)
        self.count(f"violation: {rule}")
        events = [event.shown() for event in self.of_request(request_id)[-MAX_LOGGED_EVENTS:]]
        log.error(
            "rule violated: %s: request %d attempt %d upstream %d: %s",
            rule,
            request_id,
            attempt_index,
            endpoint_id,
            json.dumps(events),
        )
