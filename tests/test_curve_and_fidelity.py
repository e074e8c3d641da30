"""Tests of `model curve`, which measures fleets of growing size, and `model fidelity`, which compares lab runs."""

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


def run_model_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "garnetusher", "model", *arguments],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        env=os.environ | {"PYTHONHASHSEED": "5"},
    )


def test_curve_has_a_point_for_each_size_and_policy_and_a_plot_for_each_cost(tmp_path: Path) -> None:
    points = curves.measure(small(), [2, 8], ["slots", "random"], "sidecars", range(1, 3), lambda activity, share: None)
    assert [(point.policy, point.sidecars, point.upstreams) for point in points] == [
        ("slots", 2, 6),
        ("slots", 8, 6),
        ("random", 2, 6),
        ("random", 8, 6),
    ]
    small_fleet, large_fleet = points[0].figures, points[1].figures
    # Each sidecar has its own connections.
    assert large_fleet["connections_per_request"] > small_fleet["connections_per_request"]
    assert small_fleet["decision_us"] > 0
    assert small_fleet["list_calls_a_sidecar"] == large_fleet["list_calls_a_sidecar"] == 1
    paths = curves.draw("small", "sidecars", points, tmp_path)
    assert len(paths) == len(curves.PLOTS)
    assert all("<svg" in path.read_text() for path in paths)
    grown_point = curves.measure(small(), [4], ["slots"], "fleet", range(1, 2), lambda activity, share: None)[0]
    assert (grown_point.upstreams, grown_point.requests_per_s) == (12, 240)


def test_fidelity_reports_figures_outside_the_tolerance_and_excludes_late_runs(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(text())
    folders = []
    for seed, served_change, late in ((1, 0.0, False), (2, -0.2, False), (3, -0.9, True)):
        run_result = run_experiment(small(), seed).result
        run_result.figures[fidelity.SERVED_WORTH] += served_change
        run_result.late = late
        folders.append(tmp_path / str(seed))
        folders[-1].mkdir()
        result.write(run_result, folders[-1] / "result.json")
    # The third run is late and does not count, so only the second one can exceed the tolerance.
    for run_folders, differs in ((folders[:1], False), (folders[::2], False), (folders, True)):
        (row,) = fidelity.measure(fidelity.read_lab_runs(run_folders, tmp_path), lambda activity, share: None)
        assert row.within_tolerance != differs
        assert row.seeds == ([1, 2] if differs else [1])
        assert row.real["refused"] == row.virtual["refused"]
    completed = run_model_command("fidelity", *map(str, folders), "--library", str(tmp_path))
    assert completed.returncode == 1
    assert "0.1000 !" in completed.stdout  # the mean difference of the first two runs, 0.0 and 0.2


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("curve", "experiments/fleet.toml", "--policy", "best"), "--policy best: expected one of"),
        (("curve", "experiments/fleet.toml", "--grow", "all"), "--grow all: expected one of"),
        (("curve", "experiments/fleet.toml", "--seeds", "3"), "--seeds: expected A:B"),
        (("fidelity", "nowhere"), "nowhere/result.json"),
    ],
)
def test_command_prints_one_line_when_an_argument_is_invalid(arguments: tuple[str, ...], message: str) -> None:
    completed = run_model_command(*arguments)
    assert completed.returncode == 2
    assert message in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_curve_prints_one_json_document_when_json_is_requested(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(text(seconds=1))
    completed = run_model_command(
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
    document = json.loads(completed.stdout)
    assert document["points"][0]["sidecars"] == 2
    assert all(Path(path).is_file() for path in document["plots"])
