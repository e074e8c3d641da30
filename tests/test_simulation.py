"""Simulation runs: a seed determines the result, no rule is broken, and the clock reports stalled virtual time."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from functools import partial
from pathlib import Path

import pytest
from msgspec import structs

from garnetusher.model import baselines, checker, figures, plan
from garnetusher.model.clock import Clock, StallError
from garnetusher.model.experiment import scaled
from garnetusher.model.records import DiscoveryCalled
from garnetusher.model.simulation import Simulation
from garnetusher.policy.balancer import Balancer
from tests.experiment import ROOT, small, text

FAULTS = {
    "silent": 'what = "silent"\nreturns = "cold"\nwhere = { zone = "b" }',
    "one way": 'what = "cut"\none_way = true\nwhere = { zone = "b" }\nto = { of = "sidecars" }',
    "upstreams killed": 'what = "kill"\nwhere = { zone = "b" }',
    "upstreams restarted": 'what = "restart"\nwhere = { part = 1 }\nbatch = 0.3\ndrain_s = 1',
    "sidecars killed": 'what = "kill"\nwhere = { of = "sidecars" }',
    "sidecars stopped": 'what = "stop"\nwhere = { sidecar = "a-0" }',
    "sidecars restarted": 'what = "restart"\nwhere = { of = "sidecars" }',
    "errors": 'what = "errors"\nshare = 0.3',
    "resets": 'what = "reset"\nshare = 0.3',
    "loss": 'what = "loss"\nshare = 0.1',
    "wrong list": 'what = "list_lies"\nshare = 0.5',
    "hung": 'what = "stop"\nwhere = { part = 0.3 }',
}


def run_model(hash_seed: int, *arguments: str) -> list[dict[str, object]]:
    environment = os.environ | {"PYTHONHASHSEED": str(hash_seed)}
    completed = subprocess.run(
        [sys.executable, "-m", "garnetusher", "model", "run", *arguments, "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
        env=environment,
    )
    documents = json.loads(completed.stdout)
    return documents if isinstance(documents, list) else [documents]


def test_run_with_the_same_seed_is_equal_in_another_process(tmp_path: Path) -> None:
    file = tmp_path / "experiment.toml"
    file.write_text(text(more="[[fault]]\nat_s = 1\nfor_s = 1\n" + FAULTS["silent"]))
    single = run_model(1, str(file), "--seed", "2")
    several = run_model(77, str(file), "--seeds", "1:3")
    assert [d["seed"] for d in several] == [1, 2, 3]
    assert len({d["digest"] for d in several}) == 3
    assert {k: v for k, v in several[1].items() if k != "took_s"} == {
        k: v for k, v in single[0].items() if k != "took_s"
    }


@pytest.mark.parametrize("name", FAULTS)
def test_simulation_keeps_the_rules_and_recovers_when_a_fault_occurs(name: str) -> None:
    config = small(seconds=5, more="[[fault]]\nat_s = 1.5\nfor_s = 1.5\n" + FAULTS[name])
    for seed in (1, 2):
        run_plan = plan.make(config, seed)
        simulation = Simulation(config, run_plan)
        records = simulation.run()
        assert checker.check(config, run_plan, records) == []
        requests = figures.requests_of(config, records)
        run_figures = figures.figures(config, run_plan, records, requests, figures.RunCounts())
        assert run_figures["served_worth.before"] > 0.9
        assert run_figures["served_worth.after"] > 0.7
        for sidecar in simulation.sidecars.values():  # no state of answered requests is left
            assert isinstance(sidecar.balancer, Balancer)
            assert not sidecar.pending
            assert not sidecar.balancer.requests
            assert all(endpoint.slots_used == 0 for endpoint in sidecar.balancer.endpoints.values())


@pytest.mark.parametrize("policy", [name for name in baselines.POLICY_NAMES if name != baselines.OWN_POLICY])
def test_baseline_policy_keeps_the_rules_when_one_direction_is_cut(policy: str) -> None:
    # all upstreams stay warm, because the fault restarts none
    config = small(seconds=4, more=f"[[fault]]\nat_s = 1\nfor_s = 1\n{FAULTS['one way']}")
    config.sidecars.policy = policy  # type: ignore[assignment]
    run_plan = plan.make(config, 1)
    records = Simulation(config, run_plan).run()
    assert checker.check(config, run_plan, records) == []
    run_figures = figures.figures(config, run_plan, records, figures.requests_of(config, records), figures.RunCounts())
    assert run_figures["served_worth.before"] > 0.9
    assert 0.3 < run_figures["crossings"] < 0.8


def test_scaled_changes_all_parts_of_a_fleet_when_sidecars_grow() -> None:
    larger = scaled(small(), 20)
    assert larger.sidecars.per_zone == {"a": 10, "b": 10}
    assert larger.upstreams.per_zone == {"a": 30, "b": 30}
    assert larger.load.requests_per_s == 1200


def test_clock_raises_stall_when_an_event_schedules_itself_at_its_own_instant() -> None:
    clock = Clock()

    def schedule_again() -> None:
        clock.at(clock.now_us, schedule_again)

    clock.at(5, schedule_again)
    with pytest.raises(StallError, match=r"virtual time is stalled at 0\.000005 s.*schedule_again"):
        clock.run(10)


def test_clock_names_the_callback_when_a_partial_stalls() -> None:
    clock = Clock()

    def schedule_again() -> None:
        clock.at(clock.now_us, partial(schedule_again))

    clock.at(5, schedule_again)
    with pytest.raises(StallError, match=r"virtual time is stalled at 0\.000005 s.*schedule_again"):
        clock.run(10)


def test_discovery_queues_calls_and_rejects_them_when_its_queue_is_full() -> None:
    config = small(seconds=4, more='[[fault]]\nat_s = 1\nfor_s = 0.5\nwhat = "kill"\nwhere = { of = "sidecars" }')
    counts = {}
    for mode, call_ms, max_waiting in (("pushed", 0, 22), ("on_request", 40, 22), ("pushed", 400, 1)):
        directory = structs.replace(config.directory, mode=mode, call_ms=call_ms, calls_waiting=max_waiting)
        larger = scaled(structs.replace(config, directory=directory), 10, sidecars_only=True)
        run_plan = plan.make(larger, 1)
        records = Simulation(larger, run_plan).run()
        assert checker.check(larger, run_plan, records) == []
        counts[mode, call_ms] = sum(isinstance(r, DiscoveryCalled) for r in records)
    assert counts["pushed", 0] == 20  # one call per process: each of the 10 sidecars is killed and started again
    # a polling policy spreads its calls over seconds; a rejected watch is retried until it succeeds
    assert 10 <= counts["on_request", 40] <= 20
    assert counts["pushed", 400] > 40
