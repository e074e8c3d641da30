"""New settings while requests are in flight."""

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
    churn,
    ready_world,
)
from tests.world import World, settings


def change_settings(world: World, **changes: object) -> None:
    before, world.settings = world.settings, settings(**changes)
    world.tell(
        SettingsChanged(
            world.settings,
            previous_indexes(world.settings.classes, before.classes),
            previous_indexes(world.settings.tenants, before.tenants),
        )
    )


def test_request_keeps_its_class_when_the_classes_are_reordered() -> None:
    world = ready_world()
    unsafe, safe = world.arrive(PAY), world.arrive(READ)
    change_settings(world, classes=list(reversed(settings().classes)))
    for request in (unsafe, safe):
        world.balancer.handle(
            world.now_us, AttemptEnded(request, 0, world.owed[request].tries[0].upstream, Outcome.ERROR, 1000)
        )
    assert world.balancer.requests.keys() == {safe}  # sent again; the unsafe one has failed


def test_class_estimates_follow_the_name_when_the_classes_change() -> None:
    world = ready_world()
    churn(world, 30, class_index=PAY, took_us=77_000)
    learnt = world.balancer.context.class_states[PAY].mean_response_us
    new = RequestClass("new", latency_objective_us=400_000, deadline_us=1_000_000)
    change_settings(world, classes=[new, settings().classes[PAY]])
    assert [kind.mean_response_us for kind in world.balancer.context.class_states] == [100_000, learnt]
    assert world.sends(world.arrive(0))
    assert world.sends(world.arrive(1))


def test_new_requests_follow_a_stricter_effect_when_the_classes_change() -> None:
    world = ready_world()
    strict = [dataclasses.replace(kind, effect="at_most_once") for kind in settings().classes]
    change_settings(world, classes=strict)
    request = world.arrive(READ)
    world.end(request, 0, Outcome.ERROR)
    assert len(world.sends(request)) == 1
    assert isinstance(world.answer(request), Fail)


def test_attempt_limit_holds_at_once_when_it_falls_and_for_new_requests_when_it_rises() -> None:
    world = ready_world(max_attempts=3)
    under_way = world.arrive(READ)
    change_settings(world, max_attempts=1)
    world.end(under_way, 0, Outcome.OVERLOADED)
    assert len(world.sends(under_way)) == 1
    under_way = world.arrive(READ)
    change_settings(world, max_attempts=3)
    world.end(under_way, 0, Outcome.OVERLOADED)
    assert len(world.sends(under_way)) == 1
    request = world.arrive(READ)
    world.end(request, 0, Outcome.OVERLOADED)
    assert len(world.sends(request)) == 2


def test_tenant_arrivals_follow_the_name_when_the_tenants_change() -> None:
    big, small = Tenant("big", 100.0), Tenant("small", 100.0)
    world = ready_world(tenants=[big, small], over_quota_weight=0.1)
    for _ in range(100):
        world.end(world.arrive(READ, tenant_index=0), 0, Outcome.OK)
    change_settings(world, tenants=[small, Tenant("new", 0.0), big], over_quota_weight=0.1)
    seen = [party.recent_arrivals for party in world.balancer.context.tenant_states]
    assert seen[0] == seen[1] == 0.0
    assert seen[2] > 50.0
    for tenant in (0, 1, 2, 3):
        assert world.sends(world.arrive(READ, tenant_index=tenant))
