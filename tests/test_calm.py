"""Odd but legal events are taken calmly; direct misuse is told plainly."""

from __future__ import annotations

import pytest

from garnetusher.policy.actions import Fail
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from garnetusher.policy.events import UpdateKind as Kind
from garnetusher.policy.settings import RequestClass, Tenant
from tests.world import START_US, World, settings, upstreams


def test_policy_changes_nothing_when_events_are_about_unknown_items() -> None:
    world = World()
    world.tell_list(upstreams(3))
    for event in (
        AttemptEnded(77, 0, 100, Outcome.OK, 5, True),
        ClientDisconnected(77),
        TimerFired(123456),
        ResponseStarted(77, 0, 100, 5),
        HealthCheckEnded(4242, Outcome.OK, 5, [1.0, 2.0]),
        PeerMessage(1, b"hi"),
        EndpointsUpdated(Kind.FAILED),
    ):
        assert world.tell(event) == []
    assert world.sends(world.arrive(0))


def test_policy_ignores_events_when_the_request_is_completed() -> None:
    world = World()
    world.tell_list(upstreams(3))
    request = world.arrive(0)
    world.quit(request)
    assert world.end(request, 0, Outcome.ERROR) == []
    assert world.tell(AttemptEnded(request, 0, 100, Outcome.OK, 5, True)) == []
    assert world.tell(ClientDisconnected(request)) == []
    served = world.arrive(0)
    world.end(served, 0, Outcome.OK)
    assert world.tell(ClientDisconnected(served)) == []


def test_policy_ignores_an_outcome_when_the_attempt_was_never_made() -> None:
    world = World()
    world.tell_list(upstreams(3))
    request = world.arrive(0)
    assert world.tell(AttemptEnded(request, 9, 100, Outcome.OK, 5, False)) == []


def test_policy_does_not_retry_when_a_streamed_response_breaks() -> None:
    world = World(settings(classes=[RequestClass("feed", 100_000, 500_000, streaming=True)]))
    world.tell_list(upstreams(3))
    request = world.arrive(0)
    world.begin_stream(request, 0)
    world.advance(3_000_000)
    world.end(request, 0, Outcome.RESET)
    assert len(world.sends(request)) == 1
    assert not isinstance(world.answer(request), Fail)


def test_policy_repeats_its_actions_when_seed_and_events_are_the_same() -> None:
    first, second, other = (Balancer(settings(), seed, START_US) for seed in (5, 5, 6))
    told = []
    for balancer in (first, second, other):
        actions = balancer.handle(START_US, EndpointsUpdated(Kind.SNAPSHOT, upstreams(9)))
        for n in range(20):
            actions += balancer.handle(START_US, RequestArrived(n, START_US + 900_000))
        told.append(actions)
    assert told[0] == told[1] != told[2]


@pytest.mark.parametrize(
    ("make", "words"),
    [
        (lambda: RequestClass("x", 0, 10), "latency objective above 0"),
        (lambda: RequestClass("x", 10, -1), "deadline above 0"),
        (lambda: RequestClass("x", 10, 10, effect="maybe"), "idempotent, deduplicated, at_most_once"),
        (lambda: RequestClass("x", 10, 10, deduplication_scope="planet"), "all, zone, cell"),
        (lambda: RequestClass("x", 10, 10, late_weight=2), "late weight from 0 to 1"),
        (lambda: Tenant("t", -1), "quota of 0 or more"),
        (lambda: settings(max_attempts=-1), "max_attempts of 1 or more"),
        (lambda: settings(fleet_size=0), "fleet size of 1 or more"),
        (lambda: settings(warm_up_initial_fraction=0), "initial warm-up fraction above 0"),
        (lambda: settings(warm_up_us=-5), "warm_up_us of 0 or more"),
        (lambda: settings(classes=[]), "at least one request class"),
    ],
)
def test_settings_say_what_was_expected_when_a_value_is_wrong(make: object, words: str) -> None:
    with pytest.raises(ValueError, match="expected") as caught:
        make()  # type: ignore[operator]
    assert words in str(caught.value)
