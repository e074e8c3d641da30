"""A steady stream of requests through one `Balancer`, to see what its decisions cost: no machines, no links."""

from __future__ import annotations

from collections import deque

from garnetusher.policy.actions import Forward, SetTimer
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from garnetusher.policy.settings import RequestClass, Settings

Listing = EndpointsUpdated
GAP_US = 10_000  # between requests: a hundred a second
ANSWER_US = 80_000  # eight are out at any time
START_US = 10**12
ZONES = 3
WARM_UP_US = 10**10  # long beside a measurement: what is cold at its start is so at its end


def listing(count: int, cold: bool) -> EndpointsUpdated:
    """A whole list, spread over three zones; all of it old, or all of it started at
    different times of the last warm-up."""
    return EndpointsUpdated(
        UpdateKind.SNAPSHOT,
        [
            Endpoint(i + 1, zone=i % ZONES, started_us=START_US - WARM_UP_US * 9 // 10 * i // count if cold else 0)
            for i in range(count)
        ],
    )


def change(whole: EndpointsUpdated, number: int, of: int) -> EndpointsUpdated:
    """The `number`th of so many changes of one entry, spread over the list: ready as it was, or draining."""
    entry = whole.endpoints[number * len(whole.endpoints) // of]
    state = EndpointStatus.DRAINING if number % 2 else EndpointStatus.READY
    return EndpointsUpdated(UpdateKind.DELTA, [Endpoint(entry.id, state, entry.zone, started_us=entry.started_us)])


class Steady:
    """One sidecar among a hundred. Call `ask` for each request; it ends those whose answers are due by then."""

    def __init__(self, seed: int) -> None:
        classes = [RequestClass("read", 400_000, 1_500_000, effect="idempotent")]
        self.now_us = START_US
        self.balancer = Balancer(
            Settings(
                classes,
                fleet_size=100,
                max_attempts=3,
                max_retry_after_us=1_000_000,
                connect_timeout_us=200_000,
                cancel_attempts=True,
                hedging=True,
                warm_up_initial_fraction=0.2,
                warm_up_us=WARM_UP_US,
                overload_factor=2.5,
                overload_window_us=1_000_000,
                cross_zone_cost=0.02,
            ),
            seed,
            START_US,
        )
        self.out: deque[tuple[int, int, int, int]] = deque()  # (due, request, attempt, upstream)
        self.timer_us = 0
        self.requests = self.sent = 0

    def tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, Forward):
                self.sent += 1
                self.out.append((self.now_us + ANSWER_US, action.request_id, 0, action.endpoint_id))
            elif isinstance(action, SetTimer):
                self.timer_us = action.at_us

    def ask(self) -> None:
        """One more request."""
        self.now_us += GAP_US
        if 0 < self.timer_us <= self.now_us:
            self.timer_us = 0
            self.tell(TimerFired(0))
        while self.out and self.out[0][0] <= self.now_us:
            _, request, attempt, upstream = self.out.popleft()
            self.tell(AttemptEnded(request, attempt, upstream, Outcome.OK, ANSWER_US, True))
        self.requests += 1
        self.tell(RequestArrived(self.requests, self.now_us + 1_500_000))
