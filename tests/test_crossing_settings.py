"""Crossings with settings that change, and requests whose tenant or class the settings do not know."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path

import pytest

from garnetusher.policy.events import SettingsChanged
from garnetusher.policy.settings import RequestClass, Settings, Tenant, previous_indexes
from garnetusher.sidecar.downstream.router import RequestRouter
from tests.world import World, classes, settings, upstreams

ROOT = Path(__file__).resolve().parent.parent
SITES = [tomllib.loads(path.read_text()) for path in sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))]
TENANTS = [Tenant("b", 10.0, 0.5), Tenant("b-b", 10.0, 0.5)]


def headers(tenant: str | None) -> list[tuple[bytes, bytes]]:
    named = [(b"X-Tenant", tenant.encode())] if tenant is not None else []
    return [(b"X-Request-Id", b"1"), (b"X-Deadline-Ms", b"900"), (b"X-Class", b"read"), *named]


def test_a_request_of_no_known_tenant_has_no_tenants_limits() -> None:
    catalogue = RequestRouter(Settings(classes(), tenants=TENANTS))
    for tenant, place in (("b", 0), ("b-b", 1), ("x", 2), ("", 2), (None, 2)):
        assert catalogue.route(b"GET", b"/read/it", headers(tenant)).tenant_index == place
    assert (
        RequestRouter(Settings(classes())).route(b"GET", b"/read/it", headers(None)).tenant_index == 0
    )  # where there are none

    world, plain = World(settings(tenants=TENANTS, over_quota_weight=0.2)), World()
    values = []
    for each in (world, plain):
        each.tell_list(upstreams(2))
        request = each.balancer.requests[each.arrive(class_index=1, tenant_index=2)]
        values.append(each.balancer.admission.expected_weight(request))
    assert values[0] == pytest.approx(0.2 * values[1])  # where there are shares it has none
    for _ in range(50):
        world.arrive(tenant_index=2)
    assert [party.recent_arrivals for party in world.balancer.context.tenant_states] == [0.0, 0.0]


@pytest.mark.parametrize("site", SITES, ids=lambda site: site["name"])
def test_a_class_is_known_by_its_whole_name(site: dict[str, list[dict[str, str]]]) -> None:
    """Also where one's name is another's beginning, or has letters that are odd but legal in a path."""
    effects = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
    kinds = [RequestClass(kind["name"], 1, 1, effect=effects[kind["effect"]]) for kind in site["class"]]
    tenants = [Tenant(tenant["name"], 1.0) for tenant in site.get("tenant", [])]
    catalogue = RequestRouter(Settings(kinds, tenants=tenants))
    for place, kind in enumerate(kinds):
        for number, tenant in enumerate(tenants):
            method = b"GET" if kind.effect == "idempotent" else b"POST"
            call = catalogue.route(
                method,
                f"/{kind.name}/a/b?c=/x".encode(),
                [
                    (b"X-Request-Id", b"1"),
                    (b"X-Deadline-Ms", b"9"),
                    (b"Idempotency-Key", b"k"),
                    (b"X-Class", kind.name.encode()),
                    (b"X-Tenant", tenant.name.encode()),
                ],
            )
            assert (call.class_index, call.tenant_index) == (place, number)


def test_nothing_names_a_deployment() -> None:
    """Neither the program nor the deploy file knows a class, a tenant or a zone of any site."""
    files = [ROOT / "deploy" / "balancer.toml"]
    for package in ("policy", "simulator", "sidecar"):
        files.extend((ROOT / "garnetusher" / package).rglob("*.py"))
    text = {str(path.relative_to(ROOT)): path.read_text() for path in files}
    assert len(SITES) >= 2 and len(text) > 10
    for site in SITES:
        names = [
            site["name"],
            *(each["name"] for each in site["class"]),
            *(each["name"] for each in site["tenant"]),
            *site["net"]["zones"],
        ]
        # one or two letters, or a plain word of the protocol, name nothing
        telling = [name for name in names if len(name) > 2 and name not in ("post", "fetch", "store", "east", "west")]
        assert len(telling) >= 3
        for name in telling:
            for where, what in text.items():
                assert name not in what, f"{where} names {json.dumps(name)} of {site['name']}"


def test_figures_of_tenants_and_classes_follow_their_names_whatever_the_order() -> None:
    kinds = classes()
    world = World(settings(tenants=TENANTS))
    world.tell_list(upstreams(2))
    for _ in range(20):
        world.arrive(tenant_index=1)
    held = next(iter(world.balancer.requests.values()))
    seen = world.balancer.context.tenant_states[1].recent_arrivals
    after = settings(
        tenants=[TENANTS[1], Tenant("b-", 1.0), TENANTS[0]],
        classes=[kinds[2], RequestClass("read", 200_000, 900_000, effect="at_most_once"), kinds[1]],
    )
    world.tell(SettingsChanged(after, previous_indexes(after.classes, kinds), previous_indexes(after.tenants, TENANTS)))
    assert [party.recent_arrivals for party in world.balancer.context.tenant_states] == [seen, 0.0, 0.0]
    assert held.class_state.rules is not after.classes[1] and held.class_state.rules.effect == "idempotent"
