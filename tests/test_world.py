"""Experiments in virtual time: the same by the same seed, the rules kept, and time that does not stand still."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from msgspec import structs

from garnetusher.model import baselines, checker, figures, plan
from garnetusher.model.clock import Clock, Stall
from garnetusher.model.experiment import scaled
from garnetusher.model.records import Listed
from garnetusher.model.world import World
from garnetusher.policy.balancer import Balancer
from tests.experiment import ROOT, small, text

FAULTS = {
    "silent": 'what = "silent"\nreturns = "cold"\nwhere = { zone = "b" }',
    "one way": 'what = "cut"\none_way = true\nwhere = { zone = "b" }\nto = { of = "sidecars" }',
    "killed": 'what = "kill"\nwhere = { zone = "b" }',
    "replaced": 'what = "restart"\nwhere = { part = 1 }\nbatch = 0.3\ndrain_s = 1',
    "sidecars killed": 'what = "kill"\nwhere = { of = "sidecars" }',
    "sidecars stopped": 'what = "stop"\nwhere = { sidecar = "a-0" }',
    "sidecars restarted": 'what = "restart"\nwhere = { of = "sidecars" }',
    "erring": 'what = "errors"\nshare = 0.3',
    "resetting": 'what = "reset"\nshare = 0.3',
    "losing": 'what = "loss"\nshare = 0.1',
    "lying list": 'what = "list_lies"\nshare = 0.5',
    "hanging": 'what = "stop"\nwhere = { part = 0.3 }',
}


def told(hash_seed: int, *words: str) -> list[dict[str, object]]:
    environment = os.environ | {"PYTHONHASHSEED": str(hash_seed)}
    done = subprocess.run(
        [sys.executable, "-m", "garnetusher", "model", "run", *words, "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        env=environment,
    )
    found = json.loads(done.stdout)
    return found if isinstance(found, list) else [found]


def test_a_play_is_the_same_by_its_seed_whatever_process_plays_it(tmp_path: Path) -> None:
    file = tmp_path / "it.toml"
    file.write_text(text(more="[[fault]]\nat_s = 1\nfor_s = 1\n" + FAULTS["silent"]))
    one = told(1, str(file), "--seed", "2")
    several = told(77, str(file), "--seeds", "1:3")
    assert [d["seed"] for d in several] == [1, 2, 3] and len({d["digest"] for d in several}) == 3
    assert {k: v for k, v in several[1].items() if k != "took_s"} == {k: v for k, v in one[0].items() if k != "took_s"}


@pytest.mark.parametrize("name", FAULTS)
def test_the_rules_hold_through_a_fault_and_service_goes_on(name: str) -> None:
    it = small(seconds=5, more="[[fault]]\nat_s = 1.5\nfor_s = 1.5\n" + FAULTS[name])
    for seed in (1, 2):
        made = plan.make(it, seed)
        world = World(it, made)
        lines = world.run()
        assert checker.check(it, made, lines) == []
        requests = figures.requests_of(it, lines)
        found = figures.figures(it, made, lines, requests, 0, 0.0, 0)
        assert found["served_worth.before"] > 0.9 and found["served_worth.after"] > 0.7
        for sidecar in world.sidecars.values():  # nothing is left of what has been answered
            assert isinstance(sidecar.balancer, Balancer)
            assert not sidecar.open and not sidecar.balancer.requests
            assert all(server.slots_used == 0 for server in sidecar.balancer.endpoints.values())


@pytest.mark.parametrize("policy", [name for name in baselines.NAMES if name != baselines.OWN])
def test_a_plain_policy_keeps_the_rules_on_warm_upstreams(policy: str) -> None:
    it = small(seconds=4, more=f"[[fault]]\nat_s = 1\nfor_s = 1\n{FAULTS['one way']}")
    it.sidecars.policy = policy  # type: ignore[assignment]
    made = plan.make(it, 1)
    lines = World(it, made).run()
    assert checker.check(it, made, lines) == []
    found = figures.figures(it, made, lines, figures.requests_of(it, lines), 0, 0.0, 0)
    assert found["served_worth.before"] > 0.9 and 0.3 < found["crossings"] < 0.8  # it knows nothing of zones


def test_a_fleet_is_scaled_in_all_its_parts() -> None:
    more = scaled(small(), 20)
    assert more.sidecars.per_zone == {"a": 10, "b": 10} and more.upstreams.per_zone == {"a": 30, "b": 30}
    assert more.load.requests_per_s == 1200


def test_time_that_stands_still_is_told() -> None:
    clock = Clock()

    def again() -> None:
        clock.at(clock.now_us, again)

    clock.at(5, again)
    with pytest.raises(Stall, match="stands still at 0.000005 s.*again"):
        clock.run(10)


def test_calls_to_the_list_wait_their_turn_and_are_turned_away_beyond_a_queue() -> None:
    it = small(seconds=4, more='[[fault]]\nat_s = 1\nfor_s = 0.5\nwhat = "kill"\nwhere = { of = "sidecars" }')
    counts = {}
    for mode, call_ms, waiting in (("pushed", 0, 22), ("on_request", 40, 22), ("pushed", 400, 1)):
        listed = structs.replace(it.directory, mode=mode, call_ms=call_ms, calls_waiting=waiting)
        busy = scaled(structs.replace(it, directory=listed), 10, alone=True)
        made = plan.make(busy, 1)
        lines = World(busy, made).run()
        assert checker.check(busy, made, lines) == []
        counts[mode, call_ms] = sum(isinstance(r, Listed) for r in lines)
    assert counts["pushed", 0] == 20  # a call of each process
    # the module spreads its own calls over seconds; a watch that is kept calls again whenever it is turned away
    assert 10 <= counts["on_request", 40] <= 20 and counts["pushed", 400] > 40
