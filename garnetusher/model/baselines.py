"""Well-known load-balancing policies, with which the product's own policy is compared on the same random draws.

Each baseline follows the rules: one answer for each request, no unsafe retry, no new attempt on a draining upstream.
It knows the endpoint list and its own attempts in flight, and it retries requests that are safe to repeat while
attempts and time remain. No baseline queues requests, and none sheds or fails a request unless an attempt has failed or
no endpoint is ready. None knows that an upstream is warming up. A fleet with a baseline can therefore overload an
upstream, which the checker then reports.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from garnetusher.policy.actions import Action, Fail, Forward, Shed
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from garnetusher.policy.settings import RequestClass, Settings

NOT_EXECUTED = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


class Policy(Protocol):
    """A load-balancing policy for the requests of one sidecar."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions that follow from an event."""


class _Request:
    """A request without a final answer.

    Attributes:
        event: The event with which the request arrived.
        tried: The ID of the endpoint of each attempt, in order.
        outcomes: The outcomes of the ended attempts.
    """

    def __init__(self, event: RequestArrived) -> None:
        self.event = event
        self.tried: list[int] = []
        self.outcomes: list[Outcome] = []


class BaselineBalancer:
    """A baseline policy; the baselines differ only in the function that selects an endpoint.

    Attributes:
        rng: The source of random numbers for the selection.
        in_flight: The number of this sidecar's attempts in flight, by endpoint ID.
        round_robin_counter: The counter of the round-robin selection, which starts at a random number.
    """

    def __init__(self, settings: Settings, seed: int, select: EndpointSelector) -> None:
        self.rng = random.Random(seed)
        self.in_flight: dict[int, int] = {}
        self.round_robin_counter = self.rng.randrange(2**30)
        self._settings = settings
        self._select = select
        self._ready: dict[int, Endpoint] = {}
        self._requests: dict[int, _Request] = {}

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions that follow from an event."""
        if isinstance(event, RequestArrived):
            self._requests[event.request_id] = _Request(event)
            return self._forward(event.request_id)
        if isinstance(event, AttemptEnded):
            return self._attempt_ended(now_us, event)
        if isinstance(event, ClientDisconnected):
            self._requests.pop(event.request_id, None)
        elif isinstance(event, EndpointsUpdated):
            self._update_endpoints(event)
        return []

    def _update_endpoints(self, event: EndpointsUpdated) -> None:
        if event.update_kind is UpdateKind.FAILED:
            return
        if event.update_kind is not UpdateKind.DELTA:
            self._ready.clear()
        for endpoint in event.endpoints:
            if endpoint.status is EndpointStatus.READY:
                self._ready[endpoint.id] = endpoint
            else:
                self._ready.pop(endpoint.id, None)

    def _forward(self, request_id: int) -> list[Action]:
        """Forward a request to a ready endpoint, preferably one that the request has not been forwarded to."""
        request = self._requests[request_id]
        candidates = [endpoint_id for endpoint_id in self._ready if endpoint_id not in request.tried]
        candidates = candidates or list(self._ready)
        if not candidates:
            return self._finish(request_id)
        endpoint_id = self._select(self, candidates)
        request.tried.append(endpoint_id)
        self.in_flight[endpoint_id] = self.in_flight.get(endpoint_id, 0) + 1
        return [Forward(request_id, endpoint_id, 0)]

    def _attempt_ended(self, now_us: int, event: AttemptEnded) -> list[Action]:
        self.in_flight[event.endpoint_id] = max(0, self.in_flight.get(event.endpoint_id, 0) - 1)
        request = self._requests.get(event.request_id)
        if request is None:
            return []
        request.outcomes.append(event.outcome)
        if event.request_completed:
            del self._requests[event.request_id]
            return []
        if self._may_retry(now_us, request, event.outcome):
            return self._forward(event.request_id)
        return self._finish(event.request_id)

    def _may_retry(self, now_us: int, request: _Request, outcome: Outcome) -> bool:
        may_repeat = self._class_of(request).effect == "idempotent" or outcome in NOT_EXECUTED
        attempts_left = len(request.tried) < self._settings.max_attempts
        return may_repeat and attempts_left and now_us < request.event.deadline_us

    def _finish(self, request_id: int) -> list[Action]:
        """Shed a request that was not served if a retry is safe; otherwise fail it."""
        request = self._requests.pop(request_id)
        not_executed = all(outcome in NOT_EXECUTED for outcome in request.outcomes)
        if not_executed or self._class_of(request).effect == "idempotent":
            return [Shed(request_id, 0)]
        return [Fail(request_id)]

    def _class_of(self, request: _Request) -> RequestClass:
        return self._settings.classes[request.event.class_index]


EndpointSelector = Callable[[BaselineBalancer, list[int]], int]


def _select_random(balancer: BaselineBalancer, candidates: list[int]) -> int:
    return balancer.rng.choice(candidates)


def _select_least_requests(balancer: BaselineBalancer, candidates: list[int]) -> int:
    """Select the endpoint with the fewest attempts of this sidecar in flight; break ties at random."""
    min_in_flight = min(balancer.in_flight.get(endpoint_id, 0) for endpoint_id in candidates)
    return balancer.rng.choice(
        [candidate for candidate in candidates if balancer.in_flight.get(candidate, 0) == min_in_flight]
    )


def _select_better_of_two(balancer: BaselineBalancer, candidates: list[int]) -> int:
    """Select the less loaded of two random endpoints (Mitzenmacher, "The Power of Two Choices", 2001)."""
    first = balancer.rng.choice(candidates)
    second = balancer.rng.choice(candidates)
    return min(first, second, key=lambda endpoint_id: balancer.in_flight.get(endpoint_id, 0))


def _select_round_robin(balancer: BaselineBalancer, candidates: list[int]) -> int:
    balancer.round_robin_counter += 1
    return candidates[balancer.round_robin_counter % len(candidates)]


OWN_POLICY = "slots"  # the product's own policy, `Balancer`
_SELECTORS: dict[str, EndpointSelector] = {
    "random": _select_random,
    "least": _select_least_requests,
    "two": _select_better_of_two,
    "round_robin": _select_round_robin,
}
POLICY_NAMES = (OWN_POLICY, *_SELECTORS)


def create_policy(name: str, settings: Settings, seed: int, now_us: int) -> Policy:
    """Return a new instance of the named policy for one sidecar.

    Raises:
        KeyError: No policy has this name.
    """
    if name == OWN_POLICY:
        return Balancer(settings, seed, now_us)
    return BaselineBalancer(settings, seed, _SELECTORS[name])
