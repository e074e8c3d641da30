"""Tests the figures of logged zone states, and runs of the model with the policy of another source tree."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import pytest

from garnetusher import __main__ as command
from garnetusher.model import experiment, plan, zone_states
from garnetusher.model.records import ZoneStateLogged
from tests.experiment import ROOT, text

SECOND = 1_000_000


def test_figures_distinguish_justified_and_false_evacuations() -> None:
    config = experiment.load(ROOT / "experiments" / "zone-silent.toml")  # pacheco is silent from 8 to 18 s
    run_plan = plan.make(config, 1)
    lines = [
        ("pacheco-0", "pacheco", 8.2, "left"),
        ("pacheco-1", "pacheco", 8.6, "left"),
        ("ezeiza-0", "pacheco", 11.0, "left"),
        ("ezeiza-0", "barracas", 12.0, "left"),
        ("pacheco-0", "pacheco", 19.0, "returning"),
        ("pacheco-0", "pacheco", 21.0, "near"),
    ]
    records = []
    for name, zone, at_s, state in lines:
        line = f"INFO zone {config.topology.zones.index(zone)}: near -> {state}: why"
        record = zone_states.parse_zone_state(round(at_s * SECOND), name, line, config.topology.zones)
        assert record == ZoneStateLogged(round(at_s * SECOND), name, zone, "near", state, "why")
        records.append(record)
    assert zone_states.parse_zone_state(0, "x", "endpoint 3 ejected", config.topology.zones) is None
    figures = zone_states.figures(config, run_plan, records)
    assert figures["zone_leave_s"] == pytest.approx(0.6)
    assert figures["zone_leave_s.home"] == pytest.approx(0.4)
    assert figures["false_leaves"] == 1
    assert figures["zones_left"] == 1
    assert figures["zone_return_s"] == pytest.approx(3.0)
    # A state lasts until the next change or the run's end at 32 s. There are 18 pairs of 6 sidecars and 3 zones.
    assert figures["zone_state_s.left"] == pytest.approx((10.8 + 23.4 + 21 + 20) / 18)


def model_run(monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    monkeypatch.setattr(sys, "argv", ["garnetusher", "model", "run", *arguments])
    status = command.main()
    out = capfd.readouterr()
    return status, out.out + out.err


def test_model_run_uses_the_policy_of_another_tree_when_tree_is_given(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "small.toml").write_text(text(seconds=2))
    policy = tmp_path / "tree" / "garnetusher" / "policy"
    policy.mkdir(parents=True)
    for path in (ROOT / "garnetusher" / "policy").glob("*.py"):
        (policy / path.name).write_text(path.read_text().replace("INITIAL_SLOTS = 3.0", "INITIAL_SLOTS = 1.0"))
    digests = []
    for arguments in ((), ("--tree", str(ROOT)), ("--tree", str(policy.parent.parent))):
        _, out = model_run(monkeypatch, capfd, str(tmp_path / "small.toml"), "--json", *arguments)
        digests.append(json.loads(out)["digest"])
    assert digests[0] == digests[1] != digests[2]
    status, out = model_run(monkeypatch, capfd, str(tmp_path / "small.toml"), "--tree", str(tmp_path))
    assert status == 2
    assert "expected a checkout with garnetusher/policy/balancer.py" in out
