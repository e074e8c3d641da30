"""Plain policies to lay beside the product's own, on the same draws: what any balancer does with no idea of slots.

Each keeps the rules (one answer, no unsafe repeat, nothing new to what drains), knows the list and its own sends, and
repeats what may be repeated while attempts and time remain. None waits, thins out or refuses before it has failed, and
none knows that an upstream is cold: a fleet of them may push one over, which the checker then says.
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
from garnetusher.policy.settings import Settings

NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)


class Decisions(Protocol):
    """What decides on a sidecar's requests."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """The actions that follow from an event; both are in garnetusher/policy/events.py."""


class _Request:
    def __init__(self, event: RequestArrived) -> None:
        self.event = event
        self.tried: list[int] = []
        self.outcomes: list[Outcome] = []


class Plain:
    """One sidecar's decisions; `choose` picks among the ready upstreams, rather one that the request has not had."""

    def __init__(self, settings: Settings, seed: int, choose: Callable[[Plain, list[int]], int]) -> None:
        self.settings, self.choose = settings, choose
        self.random = random.Random(seed)
        self.ready: dict[int, Endpoint] = {}
        self.out: dict[int, int] = {}  # this sidecar's sends under way, by upstream
        self.turn = self.random.randrange(2**30)  # of round robin
        self.requests: dict[int, _Request] = {}

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            self.requests[event.request_id] = _Request(event)
            return self._send(event.request_id)
        if isinstance(event, AttemptEnded):
            return self._ended(now_us, event)
        if isinstance(event, ClientDisconnected):
            self.requests.pop(event.request_id, None)
        elif isinstance(event, EndpointsUpdated) and event.update_kind is not UpdateKind.FAILED:
            if event.update_kind is not UpdateKind.DELTA:
                self.ready.clear()
            for entry in event.endpoints:
                if entry.status is EndpointStatus.READY:
                    self.ready[entry.id] = entry
                else:
                    self.ready.pop(entry.id, None)
        return []

    def _send(self, ident: int) -> list[Action]:
        request = self.requests[ident]
        choice = [upstream for upstream in self.ready if upstream not in request.tried] or list(self.ready)
        if not choice:
            return self._give_up(ident)
        upstream = self.choose(self, choice)
        request.tried.append(upstream)
        self.out[upstream] = self.out.get(upstream, 0) + 1
        return [Forward(ident, upstream, 0)]

    def _ended(self, now_us: int, event: AttemptEnded) -> list[Action]:
        self.out[event.endpoint_id] = max(0, self.out.get(event.endpoint_id, 0) - 1)
        request = self.requests.get(event.request_id)
        if request is None:
            return []
        request.outcomes.append(event.outcome)
        if event.request_completed:
            del self.requests[event.request_id]
            return []
        kind = self.settings.classes[request.event.class_index]
        again = kind.effect == "idempotent" or event.outcome in NEVER_RAN
        if again and len(request.tried) < self.settings.max_attempts and now_us < request.event.deadline_us:
            return self._send(event.request_id)
        return self._give_up(event.request_id)

    def _give_up(self, ident: int) -> list[Action]:
        request = self.requests.pop(ident)
        kind = self.settings.classes[request.event.class_index]
        harmless = kind.effect == "idempotent" or all(outcome in NEVER_RAN for outcome in request.outcomes)
        return [Shed(ident, 0) if harmless else Fail(ident)]


def _random(it: Plain, choice: list[int]) -> int:
    return it.random.choice(choice)


def _least(it: Plain, choice: list[int]) -> int:
    """The one with the fewest of this sidecar's sends; among equals a random one."""
    fewest = min(it.out.get(upstream, 0) for upstream in choice)
    return it.random.choice([upstream for upstream in choice if it.out.get(upstream, 0) == fewest])


def _two(it: Plain, choice: list[int]) -> int:
    """The better of two random ones (Mitzenmacher, "The Power of Two Choices", 2001)."""
    return min(it.random.choice(choice), it.random.choice(choice), key=lambda upstream: it.out.get(upstream, 0))


def _round_robin(it: Plain, choice: list[int]) -> int:
    it.turn += 1
    return choice[it.turn % len(choice)]


OWN = "slots"  # the product's own
_CHOICES: dict[str, Callable[[Plain, list[int]], int]] = {
    "random": _random,
    "least": _least,
    "two": _two,
    "round_robin": _round_robin,
}
NAMES = (OWN, *_CHOICES)


def decisions(name: str, settings: Settings, seed: int, now_us: int) -> Decisions:
    """One sidecar's decisions by the name of their policy; raises KeyError on an unknown one."""
    if name == OWN:
        return Balancer(settings, seed, now_us)
    return Plain(settings, seed, _CHOICES[name])
