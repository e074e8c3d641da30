"""What happened of late, and how often: the last events in memory, and counters, both for operators and for logs."""

from __future__ import annotations

import json
import logging
from collections import Counter, deque
from typing import NamedTuple

from garnetusher.sidecar.requests.messages import monotonic_us

log = logging.getLogger(__name__)

LAST_EVENTS = 1024  # some seconds of a busy sidecar; 150 KB
TOLD_EVENTS = 24  # of one request in the log: a line has to stay under what a pipe takes at once


class Event(NamedTuple):
    """One step of a request, or of this process."""

    at_us: int
    what: str  # "taken", "written", "answered", "watch", ...
    request: int = 0  # the host's number for it; 0: of none
    attempt: int = -1
    upstream: int = -1
    reason: str = ""

    def shown(self) -> dict[str, object]:
        """Without what does not apply."""
        return {
            name: value
            for name, value in self._asdict().items()
            if value not in (-1, "") and (name, value) != ("request", 0)
        }


class Trace:
    """The ring of the last events, and the counters."""

    def __init__(self) -> None:
        self.events: deque[Event] = deque(maxlen=LAST_EVENTS)
        self.counts: Counter[str] = Counter()

    def note(self, what: str, request: int = 0, attempt: int = -1, upstream: int = -1, reason: str = "") -> None:
        """Something has happened; it is counted by its name and its reason, if that comes from a fixed set."""
        self.events.append(Event(monotonic_us(), what, request, attempt, upstream, reason))

    def count(self, what: str) -> None:
        self.counts[what] += 1

    def of_request(self, ident: int) -> list[Event]:
        """Its steps, as far as they are still here."""
        return [event for event in self.events if event.request == ident]

    def find(self, name: str) -> list[Event]:
        """The steps of the request that its client calls so (`X-Request-Id`)."""
        idents = {event.request for event in self.events if event.what == "taken" and event.reason == name}
        return [event for event in self.events if event.request in idents]

    def violated(self, rule: str, request: int, attempt: int = -1, upstream: int = -1) -> None:
        """A rule would have been broken here, or has been: counted, and logged with all that is known of it."""
        self.note("violation", request, attempt, upstream, rule)
        self.count(f"violation: {rule}")
        steps = [event.shown() for event in self.of_request(request)[-TOLD_EVENTS:]]
        log.error(
            "rule violated: %s: request %d attempt %d upstream %d: %s",
            rule,
            request,
            attempt,
            upstream,
            json.dumps(steps),
        )
