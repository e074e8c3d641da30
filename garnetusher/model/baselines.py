"""Well-known load-balancing policies to compare the product's own with, on the same draws.

Each keeps the rules (one answer, no unsafe repeat, nothing new to a draining upstream), knows the endpoint list and its
own attempts in flight, and retries what may be repeated while attempts and time remain. None queues or sheds before an
attempt has failed, and none knows that an upstream is warming up: a fleet of them may overload one, which the checker
then reports.
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


class Decisions(Protocol):
    """A policy: it decides on the requests of one sidecar."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions that follow from an event."""


class _Request:
    """A request without its final answer."""

    def __init__(self, event: RequestArrived) -> None:
        self.event = event
        self.tried: list[int] = []
        self.outcomes: list[Outcome] = []


class BaselineBalancer:
    """A policy that differs from the other baselines only in how it selects an endpoint.

    Attributes:
        rng: Where the selection draws from.
        in_flight: This sidecar's attempts in flight, by endpoint.
        turn: The counter of a round robin, from a random start.
    """

    def __init__(self, settings: Settings, seed: int, select: EndpointSelector) -> None:
        self.rng = random.Random(seed)
        self.in_flight: dict[int, int] = {}
        self.turn = self.rng.randrange(2**30)
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
        """Forward to a ready endpoint, preferably one that the request has not been sent to."""
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
        repeatable = self._class_of(request).effect == "idempotent" or outcome in NOT_EXECUTED
        attempts_left = len(request.tried) < self._settings.max_attempts
        return repeatable and attempts_left and now_us < request.event.deadline_us

    def _finish(self, request_id: int) -> list[Action]:
        """Give the final answer to a request that was not served: shed only if a repeat does no harm."""
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
    """Select the endpoint with the fewest of this sidecar's attempts in flight; among equals a random one."""
    fewest = min(balancer.in_flight.get(endpoint_id, 0) for endpoint_id in candidates)
    return balancer.rng.choice([e for e in candidates if balancer.in_flight.get(e, 0) == fewest])


def _select_better_of_two(balancer: BaselineBalancer, candidates: list[int]) -> int:
    """Select the better of two random ones (Mitzenmacher, "The Power of Two Choices", 2001)."""
    first = balancer.rng.choice(candidates)
    second = balancer.rng.choice(candidates)
    return min(first, second, key=lambda endpoint_id: balancer.in_flight.get(endpoint_id, 0))


def _select_round_robin(balancer: BaselineBalancer, candidates: list[int]) -> int:
    balancer.turn += 1
    return candidates[balancer.turn % len(candidates)]


OWN = "slots"  # the product's own policy
_SELECTORS: dict[str, EndpointSelector] = {
    "random": _select_random,
    "least": _select_least_requests,
    "two": _select_better_of_two,
    "round_robin": _select_round_robin,
}
NAMES = (OWN, *_SELECTORS)


def decisions(name: str, settings: Settings, seed: int, now_us: int) -> Decisions:
    """Return the policy of a name for one sidecar.

    Raises:
        KeyError: No policy has this name.
    """
    if name == OWN:
        return Balancer(settings, seed, now_us)
    return BaselineBalancer(settings, seed, _SELECTORS[name])
