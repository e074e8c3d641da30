"""A steady stream of requests through one `Balancer`, to see what its decisions cost: no machines, no links."""

from __future__ import annotations

from collections import deque

from garnetusher.policy import interface as api
from garnetusher.policy.balance import Balancer

Listing = api.UpstreamsUpdated
GAP_US = 10_000  # between requests: a hundred a second
ANSWER_US = 80_000  # eight are out at any time
START_US = 10**12
ZONES = 3
WARM_UP_US = 10**10  # long beside a measurement: what is cold at its start is so at its end


def listing(count: int, cold: bool) -> api.UpstreamsUpdated:
    """A whole list, spread over three zones; all of it old, or all of it started at
    different times of the last warm-up."""
    return api.UpstreamsUpdated(
        api.ListKind.FULL,
        [
            api.Upstream(i + 1, zone=i % ZONES, started_us=START_US - WARM_UP_US * 9 // 10 * i // count if cold else 0)
            for i in range(count)
        ],
    )


def change(whole: api.UpstreamsUpdated, number: int, of: int) -> api.UpstreamsUpdated:
    """The `number`th of so many changes of one entry, spread over the list: ready as it was, or draining."""
    entry = whole.upstreams[number * len(whole.upstreams) // of]
    state = api.UpstreamState.DRAINING if number % 2 else api.UpstreamState.READY
    return api.UpstreamsUpdated(
        api.ListKind.DELTA, [api.Upstream(entry.id, state, entry.zone, started_us=entry.started_us)]
    )


class Steady:
    """One sidecar among a hundred. Call `ask` for each request; it ends those whose answers are due by then."""

    def __init__(self, seed: int) -> None:
        classes = [api.RequestClass("read", 400_000, 1_500_000, effect="idempotent")]
        self.now_us = START_US
        self.balancer = Balancer(
            api.Settings(
                classes,
                instances=100,
                max_attempts=3,
                max_retry_after_us=1_000_000,
                connect_timeout_us=200_000,
                cancel=True,
                second_copies=True,
                cold_share=0.2,
                warm_up_us=WARM_UP_US,
                overload_factor=2.5,
                fall_us=1_000_000,
                cross_zone_fee=0.02,
            ),
            seed,
            START_US,
        )
        self.out: deque[tuple[int, int, int, int]] = deque()  # (due, request, attempt, upstream)
        self.timer_us = 0
        self.requests = self.sent = 0

    def tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, api.Send):
                self.sent += 1
                self.out.append((self.now_us + ANSWER_US, action.request, 0, action.upstream))
            elif isinstance(action, api.SetTimer):
                self.timer_us = action.at_us

    def ask(self) -> None:
        """One more request."""
        self.now_us += GAP_US
        if 0 < self.timer_us <= self.now_us:
            self.timer_us = 0
            self.tell(api.TimerFired(0))
        while self.out and self.out[0][0] <= self.now_us:
            _, request, attempt, upstream = self.out.popleft()
            self.tell(api.AttemptEnded(request, attempt, upstream, api.Outcome.OK, ANSWER_US, True))
        self.requests += 1
        self.tell(api.RequestArrived(self.requests, self.now_us + 1_500_000))
