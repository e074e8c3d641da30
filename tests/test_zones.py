"""Evacuation and restoration of zones by evidence or by an operator, in unit tests and in fleets in virtual time."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest

from garnetusher.model import checker, experiment, figures, plan
from garnetusher.model.ablations import ablate
from garnetusher.model.records import ZoneStateLogged
from garnetusher.model.simulation import Simulation
from garnetusher.policy.events import Endpoint, Outcome, ZoneOverridden
from garnetusher.policy.zone import FailedAttempt, Zone, ZoneState
from garnetusher.policy.zones import SILENCE_US, Zones
from tests.experiment import ROOT
from tests.net import OK, Upstream, request, respond_with, sidecar
from tests.policy_host import PolicyHost, settings, upstreams
from tests.runner import run

SECOND = 1_000_000


def make_zones(count: int = 3, endpoint_count: int = 4, **setting_changes: Any) -> tuple[Zones, list[str]]:
    """Return zones that have all just answered and a list to which their state changes are appended."""
    changes: list[str] = []
    zones = Zones(
        settings(**setting_changes), 1, 0, lambda zone, _previous: changes.append(f"{zone.number} {zone.state.value}")
    )
    zones.update_endpoint_counts(dict.fromkeys(range(count), endpoint_count), set(), 0)
    return zones, changes


def record_failures(
    zones: Zones, zone: int, count: int, at_us: int, refused: bool = True, endpoint_count: int = 9
) -> None:
    for number in range(count):
        attempt = FailedAttempt(zone, number % endpoint_count, at_us + number, connection_refused=refused)
        zones.record_failure(attempt, at_us + number + 100)


def record_response(zones: Zones, zone: int, at_us: int, sent_us: int | None = None) -> None:
    zones.record_response(zone, at_us - 50 if sent_us is None else sent_us, 1.0, at_us)


def test_zone_is_evacuated_when_different_endpoints_fail_in_a_row_and_others_answer() -> None:
    zones, changes = make_zones()
    record_failures(zones, 0, 4, SECOND)
    assert changes == []  # no other zone has answered in the meantime: the fault may be at this sidecar
    record_response(zones, 1, SECOND + 200)
    record_failures(zones, 0, 1, SECOND + 300)
    assert changes == ["0 left"]
    assert zones.excluded() == {0}
    assert zones.get(0).refused_when_evacuated


def test_zone_is_kept_when_half_of_it_fails_and_its_misses_are_cleared_when_it_answers() -> None:
    zones, changes = make_zones()
    for at_s in range(1, 60):
        record_response(zones, 1, at_s * SECOND)
        record_failures(zones, 0, 12, at_s * SECOND, endpoint_count=2)  # repeated failures of two of the four endpoints
    assert "0 left" not in changes
    record_response(zones, 0, 61 * SECOND)
    assert zones.get(0).failing_endpoints == set()
    assert zones.get(0).state is ZoneState.ACTIVE


def test_zone_is_kept_when_it_is_the_last_in_use() -> None:
    zones, _ = make_zones()
    for number in (0, 1, 2):
        for other in range(3):
            if other != number:
                record_response(zones, other, SECOND * (number + 1))
        record_failures(zones, number, 6, SECOND * (number + 1) - 10)
        record_response(zones, 2, SECOND * (number + 1) + 200)
        record_failures(zones, number, 6, SECOND * (number + 1) + 10)
    assert zones.get(2).is_fully_used
    assert zones.excluded() == {0, 1}


def test_zone_is_kept_when_the_endpoints_that_failed_have_left_the_list() -> None:
    host = PolicyHost()
    entries = [Endpoint(100 + number, zone=number // 4) for number in range(8)]
    host.update_endpoints(entries)
    zones = host.balancer.zones
    for number in range(3):
        zones.record_failure(FailedAttempt(0, 100 + number, host.now_us, connection_refused=True), host.now_us)
    record_response(zones, 1, host.now_us + 100)
    assert zones.get(0).is_fully_used
    host.now_us += 1000
    host.update_endpoints(entries[3:])
    zones.record_failure(FailedAttempt(0, 103, host.now_us, connection_refused=True), host.now_us)
    assert zones.get(0).is_fully_used  # a single failure of its only endpoint is not enough


def zones_with_one_lost() -> tuple[Zones, list[str], Zone]:
    zones, changes = make_zones()
    record_failures(zones, 0, 6, SECOND)
    record_response(zones, 1, SECOND + 200)
    record_failures(zones, 0, 6, SECOND + 300)
    changes.clear()
    return zones, changes, zones.get(0)


def test_zone_is_restored_in_steps_and_its_backoff_doubles_when_it_flaps() -> None:
    zones, changes, zone = zones_with_one_lost()
    at_us, backoffs = SECOND + 300, []
    for _ in range(7):
        backoffs.append(zone.backoff_us)
        at_us = zone.next_trial_us
        assert zones.take_zone_due_for_trial(at_us - 1) is None
        assert zones.take_zone_due_for_trial(at_us) is zone
        assert zones.take_zone_due_for_trial(at_us) is None
        record_response(zones, 0, at_us + 100, sent_us=at_us)
        assert (zone.state.value, zone.recovery_step) == ("returning", 0)
        share = sum(0 not in zones.excluded() for _ in range(1000)) / 1000
        assert 0.05 < share < 0.16
        record_response(zones, 1, at_us + 200)
        record_failures(zones, 0, 3, at_us + 300)
        assert zone.state.value == "left"
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] == 16 * SECOND
    assert backoffs[1] == 2 * backoffs[0]
    at_us = zone.next_trial_us
    zones.take_zone_due_for_trial(at_us)
    for step in range(20):
        record_response(zones, 0, at_us + 100 + step * 300_000, sent_us=at_us + step * 300_000)
    assert zone.state.value == "near"
    assert changes.count("0 near") == 1
    assert zones.excluded() == set()


def test_zone_trial_requests_stay_bounded_when_the_fleet_is_large() -> None:
    zones, _, zone = zones_with_one_lost()
    zones.settings = settings(fleet_size=200)
    checks, at_us = 0, zone.next_trial_us
    for _ in range(600):
        at_us += 100_000
        checks += zones.take_zone_due_for_trial(at_us) is not None
    assert 200 * checks / 60 / zone.endpoint_count < 2.5  # checks of the whole fleet per endpoint and second


def test_zone_follows_the_operator_when_overridden_unless_it_is_the_last_in_use() -> None:
    zones, changes = make_zones(2)
    zones.override(0, SECOND, evacuate=True)
    assert zones.excluded() == {0}
    assert zones.get(0).report(SECOND)["by"] == "operator"
    record_response(zones, 0, 2 * SECOND)
    zones.update_endpoint_counts({0: 4, 1: 4}, {0}, 3 * SECOND)
    assert zones.excluded() == {0}
    assert zones.take_zone_due_for_trial(99 * SECOND) is None
    assert zones.evacuation_rejection(1)
    assert not zones.evacuation_rejection(0)
    zones.override(1, 4 * SECOND, evacuate=True)
    zones.override(0, 5 * SECOND, evacuate=False)
    assert changes == ["0 left", "0 returning"]


def test_zone_is_in_the_third_tier_when_it_is_in_another_region() -> None:
    zones, _ = make_zones(4, cross_zone_cost=0.02, zone=1, zone_regions=[0, 0, 1, 1])
    assert [zones.tier(z) for z in range(4)] == [1, 0, 2, 2]
    without_regions, _ = make_zones(4, cross_zone_cost=0.02, zone=1)
    assert [without_regions.tier(z) for z in range(4)] == [1, 0, 1, 1]


# Whole fleets in virtual time: which zones the sidecars evacuate, and whether the run satisfies the rules


def run_fleet(name: str, seed: int = 1) -> tuple[Counter[str], dict[str, float]]:
    spec = experiment.load(ROOT / "experiments" / f"{name}.toml")
    run_plan = plan.make(spec, seed)
    records = Simulation(spec, run_plan).run()
    evacuations = Counter(r.zone for r in records if isinstance(r, ZoneStateLogged) and r.state == "left")
    assert checker.check(spec, run_plan, records) == []
    requests = figures.requests_of(spec, records)
    return evacuations, figures.figures(spec, run_plan, records, requests, figures.RunCounts())


@pytest.mark.parametrize(
    "name",
    [
        "zone-refused",
        "zone-silent",
        "zone-one-way",
        "zone-late-list",
        "zone-dead-listed",
        "zone-flaps",
        "zone-silent-light",
    ],
)
def test_fleet_evacuates_only_the_lost_zone_when_one_is_lost(name: str) -> None:
    evacuations, results = run_fleet(name)
    assert evacuations["pacheco"] >= 2
    assert set(evacuations) == {"pacheco"}
    assert results["served_worth.after"] > 0.97


@pytest.mark.parametrize(
    "name",
    [
        "calm",
        "tenant-burst",
        "zone-doubled",
        "zone-deploy",
        "rolling-upstreams",
        "zone-half",
        "sidecar-cut",
        "zone-grey-light",
    ],
)
def test_fleet_evacuates_no_zone_when_none_is_lost(name: str) -> None:
    assert run_fleet(name)[0] == Counter()


def test_fleet_stays_in_the_near_zone_when_it_has_capacity() -> None:
    assert run_fleet("calm")[1]["crossings"] < 0.03  # 0.32 if near slots open only when no slot is free anywhere


def test_hedge_stays_in_its_tier_when_that_tier_is_healthy() -> None:
    for has_miss in (False, True):
        host = PolicyHost(settings(cross_zone_cost=0.02, cancel_attempts=False))
        host.update_endpoints(upstreams(4))  # two endpoints in this zone, two in the next
        balancer = host.balancer
        for endpoint_id in (100, 101):
            balancer.endpoints[endpoint_id].slot_limit = 1.0
        first, second = host.arrive(0), host.arrive(0)  # these take all slots in this zone
        if has_miss:
            balancer.zones.record_failure(FailedAttempt(0, 101, host.now_us), host.now_us)
        host.advance(150_000)
        crossed = [send for request_id in (first, second) for send in host.forward_actions(request_id)[1:]]
        assert bool(crossed) == has_miss
        assert all(send.endpoint_id in (102, 103) for send in crossed)


@pytest.mark.parametrize("zone_answers", [False, True])
def test_retry_goes_to_another_zone_when_its_zone_is_silent(zone_answers: bool) -> None:
    host = PolicyHost(settings(cross_zone_cost=0.02, max_attempts=3))
    host.update_endpoints(upstreams(6))
    host.advance(SILENCE_US)
    request_id, ended_count = host.arrive(0), 0
    while len(host.forward_actions(request_id)) > ended_count:  # every attempt in this zone fails to connect
        if zone_answers:
            host.balancer.zones.record_response(0, host.now_us, 1.0, host.now_us)
        is_near = host.forward_actions(request_id)[ended_count].endpoint_id < 102
        host.end(request_id, ended_count, Outcome.CONNECT_FAILED if is_near else Outcome.OK)
        ended_count += 1
    assert ended_count == (3 if zone_answers else 2)
    assert (host.forward_actions(request_id)[-1].endpoint_id < 102) == zone_answers


def test_fleet_keeps_the_third_zone_when_two_are_lost() -> None:
    evacuations, results = run_fleet("two-zones")
    assert set(evacuations) == {"pacheco", "ezeiza"}
    assert results["false_leaves"] == 0


def test_fleet_serves_from_other_regions_when_a_region_is_lost() -> None:
    evacuations, results = run_fleet("region-lost")
    assert set(evacuations) == {"ezeiza", "quilmes"}
    assert results["served_worth.zone.ezeiza"] > 0.6


def test_ablation_removes_evacuations_only_when_it_is_active() -> None:
    with ablate(["leaving"]):
        assert run_fleet("zone-silent")[0] == Counter()
    assert run_fleet("zone-silent")[0]["pacheco"] >= 4


# Overrides by an operator


def test_admin_address_reports_and_overrides_zones_when_asked() -> None:
    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        async with sidecar(upstream) as balancer:
            await balancer.send_request(request())
            _, body = await balancer.send_request(b"GET /_zones HTTP/1.1\r\nHost: x\r\n\r\n", balancer.admin_port)
            assert [(z["zone"], z["state"], z["upstreams"]) for z in json.loads(body)] == [("a", "near", 1)]
            for path, status, text in (
                ("leave?zone=a", 503, b"last zone"),
                ("leave?zone=x", 503, b"one of a"),
                ("return?zone=a", 200, b"zone a is restored by an operator"),
            ):
                head, body = await balancer.send_request(
                    f"POST /_zone/{path} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), balancer.admin_port
                )
                assert int(head.split()[1]) == status
                assert text in body

    run(test)


def test_policy_sends_nothing_to_a_zone_when_an_operator_evacuates_it() -> None:
    host = PolicyHost(settings(cross_zone_cost=0.02))
    host.update_endpoints(upstreams(6))
    host.deliver(ZoneOverridden(0, True))
    for _ in range(30):
        request_id = host.arrive(0)
        assert all(send.endpoint_id not in (100, 101) for send in host.forward_actions(request_id))
