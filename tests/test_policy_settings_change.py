"""A change of settings while requests are in flight."""

from __future__ import annotations

import dataclasses

from garnetusher.policy.actions import Fail
from garnetusher.policy.events import (
    AttemptEnded,
    Outcome,
    SettingsChanged,
)
from garnetusher.policy.settings import RequestClass, Tenant, previous_indexes
from tests.policy_driver import (
    PAY,
    READ,
    ready_host,
    run_traffic,
)
from tests.policy_host import PolicyHost, settings


def change_settings(host: PolicyHost, **changes: object) -> None:
    previous, host.settings = host.settings, settings(**changes)
    host.deliver(
        SettingsChanged(
            host.settings,
            previous_indexes(host.settings.classes, previous.classes),
            previous_indexes(host.settings.tenants, previous.tenants),
        )
    )


def test_request_keeps_its_class_when_the_classes_are_reordered() -> None:
    host = ready_host()
    at_most_once, idempotent = host.arrive(PAY), host.arrive(READ)
    change_settings(host, classes=list(reversed(settings().classes)))
    for request in (at_most_once, idempotent):
        host.balancer.handle(
            host.now_us,
            AttemptEnded(request, 0, host.request_records[request].attempts[0].upstream, Outcome.ERROR, 1000),
        )
    # The idempotent request was retried, and the at_most_once request failed
    assert host.balancer.requests.keys() == {idempotent}


def test_class_estimates_follow_the_name_when_the_classes_change() -> None:
    host = ready_host()
    run_traffic(host, 30, class_index=PAY, response_time_us=77_000)
    mean_response_us = host.balancer.context.class_states[PAY].mean_response_us
    new = RequestClass("new", latency_objective_us=400_000, deadline_us=1_000_000)
    change_settings(host, classes=[new, settings().classes[PAY]])
    assert [state.mean_response_us for state in host.balancer.context.class_states] == [100_000, mean_response_us]
    assert host.forward_actions(host.arrive(0))
    assert host.forward_actions(host.arrive(1))


def test_new_requests_get_the_stricter_effect_when_the_classes_change() -> None:
    host = ready_host()
    strict_classes = [dataclasses.replace(request_class, effect="at_most_once") for request_class in settings().classes]
    change_settings(host, classes=strict_classes)
    request = host.arrive(READ)
    host.end(request, 0, Outcome.ERROR)
    assert len(host.forward_actions(request)) == 1
    assert isinstance(host.answer(request), Fail)


def test_attempt_limit_applies_immediately_when_it_falls_and_to_new_requests_when_it_rises() -> None:
    host = ready_host(max_attempts=3)
    in_flight = host.arrive(READ)
    change_settings(host, max_attempts=1)
    host.end(in_flight, 0, Outcome.OVERLOADED)
    assert len(host.forward_actions(in_flight)) == 1
    in_flight = host.arrive(READ)
    change_settings(host, max_attempts=3)
    host.end(in_flight, 0, Outcome.OVERLOADED)
    assert len(host.forward_actions(in_flight)) == 1
    request = host.arrive(READ)
    host.end(request, 0, Outcome.OVERLOADED)
    assert len(host.forward_actions(request)) == 2


def test_tenant_arrivals_follow_the_name_when_the_tenants_change() -> None:
    big, small = Tenant("big", 100.0), Tenant("small", 100.0)
    host = ready_host(tenants=[big, small], over_quota_weight=0.1)
    for _ in range(100):
        host.end(host.arrive(READ, tenant_index=0), 0, Outcome.OK)
    change_settings(host, tenants=[small, Tenant("new", 0.0), big], over_quota_weight=0.1)
    recent_arrivals = [tenant.recent_arrivals for tenant in host.balancer.context.tenant_states]
    assert recent_arrivals[0] == recent_arrivals[1] == 0.0
    assert recent_arrivals[2] > 50.0
    for tenant_index in (0, 1, 2, 3):
        assert host.forward_actions(host.arrive(READ, tenant_index=tenant_index))
