"""A steady load for measurements of the CPU cost of one `Balancer`, without simulated machines or links."""

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

EndpointListUpdate = EndpointsUpdated
REQUEST_INTERVAL_US = 10_000  # 100 requests per second
RESPONSE_TIME_US = 80_000  # eight attempts are outstanding at any time
START_US = 10**12
ZONES = 3
WARM_UP_US = 10**10  # far longer than a measurement, so that an endpoint stays cold throughout


def endpoint_list(count: int, cold: bool) -> EndpointsUpdated:
    """Return a complete endpoint list, spread over three zones.

    Args:
        count: The number of endpoints.
        cold: Whether all endpoints are warming up, with different start times; otherwise all are warm.
    """
    return EndpointsUpdated(
        UpdateKind.SNAPSHOT,
        [
            Endpoint(
                index + 1,
                zone=index % ZONES,
                started_us=START_US - WARM_UP_US * 9 // 10 * index // count if cold else 0,
            )
            for index in range(count)
        ],
    )


def status_update(full_list: EndpointsUpdated, index: int, count: int) -> EndpointsUpdated:
    """Return one of a series of updates of one endpoint each; their endpoints are spread evenly over the list.

    Args:
        full_list: The complete endpoint list.
        index: The index of the update; with an even index the endpoint stays ready, with an odd one it is draining.
        count: The number of updates.
    """
    entry = full_list.endpoints[index * len(full_list.endpoints) // count]
    status = EndpointStatus.DRAINING if index % 2 else EndpointStatus.READY
    return EndpointsUpdated(UpdateKind.DELTA, [Endpoint(entry.id, status, entry.zone, started_us=entry.started_us)])


class SteadyLoad:
    """The balancer of one sidecar in a fleet of 100, with a constant request rate and response time.

    Attributes:
        now_us: The current time.
        balancer: The balancer.
        in_flight: The outstanding attempts in order: end time, request ID, attempt index, endpoint ID.
        timer_us: The time of the next timer; 0 = none.
        requests: The number of requests so far.
        sent: The number of requests that the balancer forwarded.
    """

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
        self.in_flight: deque[tuple[int, int, int, int]] = deque()
        self.timer_us = 0
        self.requests = self.sent = 0

    def handle(self, event: Event) -> None:
        """Send an event to the balancer and carry out its actions."""
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, Forward):
                self.sent += 1
                self.in_flight.append((self.now_us + RESPONSE_TIME_US, action.request_id, 0, action.endpoint_id))
            elif isinstance(action, SetTimer):
                self.timer_us = action.at_us

    def send_request(self) -> None:
        """Advance the time to the next request, end the attempts that are due, and send the request."""
        self.now_us += REQUEST_INTERVAL_US
        if 0 < self.timer_us <= self.now_us:
            self.timer_us = 0
            self.handle(TimerFired(0))
        while self.in_flight and self.in_flight[0][0] <= self.now_us:
            _, request_id, attempt_index, endpoint_id = self.in_flight.popleft()
            self.handle(AttemptEnded(request_id, attempt_index, endpoint_id, Outcome.OK, RESPONSE_TIME_US, True))
        self.requests += 1
        self.handle(RequestArrived(self.requests, self.now_us + 1_500_000))
