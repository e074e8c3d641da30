"""`model curve` and `model fidelity`: a fleet that grows, and plays of the lab laid beside virtual time."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from garnetusher.cli import curves, fidelity
from garnetusher.cli.runs import run_experiment
from garnetusher.model import result
from tests.experiment import ROOT, small, text


def call(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "garnetusher", "model", *words],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONHASHSEED": "5"},
    )


def test_a_curve_has_a_point_for_each_size_and_policy_and_a_plot_for_each_cost(tmp_path: Path) -> None:
    points = curves.measure(small(), [2, 8], ["slots", "random"], "sidecars", range(1, 3), lambda what, part: None)
    assert [(p.policy, p.sidecars, p.upstreams) for p in points] == [
        ("slots", 2, 6),
        ("slots", 8, 6),
        ("random", 2, 6),
        ("random", 8, 6),
    ]
    few, many = points[0].figures, points[1].figures
    assert many["connections_per_request"] > few["connections_per_request"]  # each keeps its own
    assert few["decision_us"] > 0
    assert few["list_calls_a_sidecar"] == many["list_calls_a_sidecar"] == 1
    paths = curves.draw("small", "sidecars", points, tmp_path)
    assert len(paths) == len(curves.PLOTS)
    assert all("<svg" in path.read_text() for path in paths)
    grown = curves.measure(small(), [4], ["slots"], "fleet", range(1, 2), lambda what, part: None)[0]
    assert (grown.upstreams, grown.requests_per_s) == (12, 240)


def test_fidelity_tells_what_is_apart_and_leaves_late_plays_out(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(text())
    folders = []
    for seed, served, late in ((1, 0.0, False), (2, -0.2, False), (3, -0.9, True)):
        found = run_experiment(small(), seed).result
        found.figures[fidelity.SERVED_WEIGHT] += served
        found.late = late
        folders.append(tmp_path / str(seed))
        folders[-1].mkdir()
        result.write(found, folders[-1] / "result.json")
    for which, apart in ((folders[:1], False), (folders[::2], False), (folders, True)):
        (row,) = fidelity.measure(fidelity.read_lab_runs(which, tmp_path), lambda what, part: None)
        assert row.within_tolerance != apart
        assert row.seeds == ([1, 2] if apart else [1])
        assert row.real["refused"] == row.virtual["refused"]
    done = call("fidelity", *map(str, folders), "--library", str(tmp_path))
    assert done.returncode == 1
    assert "0.1000 !" in done.stdout


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("curve", "experiments/fleet.toml", "--policy", "best"), "--policy best: expected one of"),
        (("curve", "experiments/fleet.toml", "--grow", "all"), "--grow all: expected one of"),
        (("curve", "experiments/fleet.toml", "--seeds", "3"), "--seeds: expected A:B"),
        (("fidelity", "nowhere"), "nowhere/result.json"),
    ],
)
def test_a_wrong_call_is_told_in_a_line(words: tuple[str, ...], told: str) -> None:
    done = call(*words)
    assert done.returncode == 2
    assert told in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_a_curve_is_one_document_where_that_is_asked_for(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(text(seconds=1))
    done = call(
        "curve",
        str(tmp_path / "small.toml"),
        "--sidecars",
        "2",
        "--seeds",
        "1:1",
        "--out",
        str(tmp_path / "out"),
        "--json",
    )
    found = json.loads(done.stdout)
    assert found["points"][0]["sidecars"] == 2
    assert all(Path(path).is_file() for path in found["plots"])
