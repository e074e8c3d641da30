"""Unusual but legal events cause no failure, and invalid settings raise errors that name the expected value."""

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
    UpdateKind,
)
from garnetusher.policy.settings import RequestClass, Tenant
from tests.policy_host import START_US, PolicyHost, settings, upstreams


def test_policy_ignores_events_when_they_refer_to_unknown_ids() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(3))
    for event in (
        AttemptEnded(77, 0, 100, Outcome.OK, 5, True),
        ClientDisconnected(77),
        TimerFired(123456),
        ResponseStarted(77, 0, 100, 5),
        HealthCheckEnded(4242, Outcome.OK, 5, [1.0, 2.0]),
        PeerMessage(1, b"hi"),
        EndpointsUpdated(UpdateKind.FAILED),
    ):
        assert host.deliver(event) == []
    assert host.forward_actions(host.arrive(0))


def test_policy_ignores_events_when_the_request_is_completed() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(3))
    request = host.arrive(0)
    host.disconnect_client(request)
    assert host.end(request, 0, Outcome.ERROR) == []
    assert host.deliver(AttemptEnded(request, 0, 100, Outcome.OK, 5, True)) == []
    assert host.deliver(ClientDisconnected(request)) == []
    served = host.arrive(0)
    host.end(served, 0, Outcome.OK)
    assert host.deliver(ClientDisconnected(served)) == []


def test_policy_ignores_an_outcome_when_the_attempt_does_not_exist() -> None:
    host = PolicyHost()
    host.update_endpoints(upstreams(3))
    request = host.arrive(0)
    assert host.deliver(AttemptEnded(request, 9, 100, Outcome.OK, 5, False)) == []


def test_policy_does_not_retry_when_a_streamed_response_breaks() -> None:
    host = PolicyHost(settings(classes=[RequestClass("feed", 100_000, 500_000, streaming=True)]))
    host.update_endpoints(upstreams(3))
    request = host.arrive(0)
    host.start_response(request, 0)
    host.advance(3_000_000)
    host.end(request, 0, Outcome.RESET)
    assert len(host.forward_actions(request)) == 1
    assert not isinstance(host.answer(request), Fail)


def test_policy_repeats_its_actions_when_seed_and_events_are_the_same() -> None:
    first, second, other_seed = (Balancer(settings(), seed, START_US) for seed in (5, 5, 6))
    actions_by_balancer = []
    for balancer in (first, second, other_seed):
        actions = balancer.handle(START_US, EndpointsUpdated(UpdateKind.SNAPSHOT, upstreams(9)))
        for request_id in range(20):
            actions += balancer.handle(START_US, RequestArrived(request_id, START_US + 900_000))
        actions_by_balancer.append(actions)
    assert actions_by_balancer[0] == actions_by_balancer[1] != actions_by_balancer[2]


@pytest.mark.parametrize(
    ("construct", "expected_text"),
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
def test_settings_errors_name_the_expected_value_when_a_value_is_wrong(construct: object, expected_text: str) -> None:
    with pytest.raises(ValueError, match="expected") as caught:
        construct()  # type: ignore[operator]
    assert expected_text in str(caught.value)
