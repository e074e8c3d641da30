"""Short plays on real processes: what the lab does, that it leaves nothing behind, and that its checker catches."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import psutil
import pytest

from garnetusher.lab.run import run_experiment
from garnetusher.lab.sidecars import LabError
from garnetusher.model import checker, compare, experiment, figures, plan, records
from garnetusher.model.records import (
    Attempt,
    AttemptUndelivered,
    ListUpdateSent,
    RequestSent,
    ResponseReceived,
    UpstreamAttemptEnded,
)
from tests.experiment import ROOT, small, text
from tests.processes import DEPLOY

SILENT = """
[[fault]]
at_s = 1
for_s = 1
what = "silent"
where = { zone = "b" }
[expect]
"rules_broken" = "== 0"
"served_worth.before" = ">= 0.3"
[open]
"served_worth.whole" = ">= 2"
"""


def tree(folder: Path, run: str) -> Path:
    """A tree whose sidecars are started by this command."""
    (folder / "deploy").mkdir()
    deploy = {"build": "true", "run": run, "sim": "false", "policy": [], "node": []}
    (folder / "deploy" / "balancer.toml").write_text("".join(f"{k} = {json.dumps(v)}\n" for k, v in deploy.items()))
    return folder


def lab(*words: str, **more: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "garnetusher", "lab", *words],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **more,
    )


def family(pid: int) -> list[Any]:
    return list(psutil.Process(pid).children(recursive=True))


def gone(processes: list[Any]) -> bool:
    _, alive = psutil.wait_procs(processes, timeout=20)
    return not alive


def test_a_play_ends_with_its_figures_and_its_files(tmp_path: Path) -> None:
    file, out = tmp_path / "it.toml", tmp_path / "out"
    file.write_text(text(more=SILENT))
    process = lab("run", str(file), "--out", str(out), "--json")
    told, errors = process.communicate(timeout=120)
    assert (process.returncode, errors) == (0, "")
    document = json.loads(told)
    assert document["name"] == "small"
    assert document["seed"] == 5
    assert document["held"]
    assert document["broken"] == []
    found = document["figures"]
    assert found["requests"] > 250
    assert found["served_worth.during_fault"] < found["served_worth.before"]
    assert [e["open"] for e in document["expectations"]] == [False, False, True]
    page = (out / "report.html").read_text()
    assert page.count("<svg") == 3
    assert "http://" not in page.replace("http://www.w3.org", "").replace("http://purl.org", "").replace(
        "http://creativecommons.org", ""
    ).replace("http://matplotlib.org", "")
    lines = list(records.read(out / "events.jsonl"))
    assert [r.t for r in lines] == sorted(r.t for r in lines)
    assert (out / "latency.hlog").read_text().count("Tag=publish") >= 2
    it = experiment.load(file)
    assert checker.check(it, plan.make(it, 5), lines) == []
    check_the_silence(lines)


def check_the_silence(lines: list[records.AnyRecord]) -> None:
    """Nothing gets through a cut, and what was written into it is on record; the other zone is served on."""
    cut = [r for r in lines if isinstance(r, Attempt) and r.upstream.startswith("u-b") and 1.05e6 < r.t < 2e6]
    near = [r for r in lines if isinstance(r, Attempt) and r.upstream.startswith("u-a") and 1.05e6 < r.t < 2e6]
    held = [r for r in lines if isinstance(r, AttemptUndelivered)]
    assert not cut
    assert len(near) > 30
    assert held
    assert all(r.upstream.startswith("u-b") for r in held)
    ended = [
        r for r in lines if isinstance(r, UpstreamAttemptEnded) and r.upstream.startswith("u-b") and r.how == "served"
    ]
    after = [r for r in lines if isinstance(r, Attempt) and r.upstream.startswith("u-b") and r.t > 2.1e6]
    assert after
    assert ended


def test_nothing_outlives_an_interrupt_or_a_killed_lab(tmp_path: Path) -> None:
    file = tmp_path / "it.toml"
    file.write_text(text(seconds=60, more='[[fault]]\nat_s = 0.2\nwhat = "stop"\nwhere = { sidecar = "a-0" }'))
    for number, how in enumerate((signal.SIGINT, signal.SIGTERM, signal.SIGKILL)):
        log = tmp_path / str(number) / "lab.log"
        process = lab("run", str(file), "--out", str(log.parent), start_new_session=True)
        while not (log.exists() and "lab.fault.applied" in log.read_text()):
            assert process.poll() is None
            time.sleep(0.05)
        children = family(process.pid)
        assert len(children) >= 5  # three workers, two sidecars, one of them stopped
        process.send_signal(how)
        process.communicate(timeout=30)
        assert gone(children)
        assert process.returncode == (1 if how != signal.SIGKILL else -signal.SIGKILL)


def test_an_interrupt_ends_a_lab_whose_parent_ignored_it(tmp_path: Path) -> None:
    """A shell without job control starts what it runs in the background so, and the disposition is inherited."""
    file, log = tmp_path / "it.toml", tmp_path / "out" / "lab.log"
    file.write_text(text(seconds=60, more='[[fault]]\nat_s = 0.2\nwhat = "stop"\nwhere = { sidecar = "a-0" }'))
    process = lab(
        "run",
        str(file),
        "--out",
        str(log.parent),
        start_new_session=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
    )
    try:
        while not (log.exists() and "lab.fault.applied" in log.read_text()):
            assert process.poll() is None
            time.sleep(0.05)
        process.send_signal(signal.SIGINT)
        process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 1


def test_a_sidecar_that_dies_at_its_start_ends_the_play_with_its_last_lines(tmp_path: Path) -> None:
    it = small()
    broken = tree(tmp_path, "echo first >&2; echo no good reason >&2; exit 3")
    with pytest.raises(LabError, match=r"(?s)died at its start with 3.*no good reason"):  # noqa: PT012 - the plan is made inside
        began = time.monotonic()
        asyncio.run(run_experiment(it, plan.make(it, 1), broken, tmp_path / "out", lambda what, part: None))
    assert time.monotonic() - began < 20


def test_a_sidecar_that_dies_later_is_a_crash(tmp_path: Path) -> None:
    run = DEPLOY["run"].replace("exec ", f"cd {ROOT}; (sleep 1.5; kill -9 $$) & exec ")
    # what was open is lost with it, and its client may see that before the lab sees the process end
    assert {"crash"} <= {b.rule for b in breaches(tmp_path, small(), run)} <= {"crash", "one_answer"}


def breaches(folder: Path, it: experiment.Experiment, run: str) -> list[checker.Breach]:
    made = plan.make(it, it.seed)
    played = asyncio.run(run_experiment(it, made, tree(folder, run), folder / "out", lambda what, part: None))
    return checker.check(it, made, played.records)


# a play in which the seeded fault has its occasion, and the rule that it breaks
OCCASIONS = {
    "answers_twice": ("one_answer", {}),
    "repeats_unsafe": ("no_repeat", {"more": '[[fault]]\nat_s = 0\nwhat = "errors"\nshare = 0.3'}),
    "sends_to_drained": (
        "drain",
        {
            "seconds": 5,
            "more": '[[fault]]\nat_s = 0.3\nfor_s = 1\nwhat = "restart"\n'
            'where = { zone = "b" }\nbatch = 0.5\ndrain_s = 3',
        },
    ),
    "pushes_cold_over": (
        "cold",
        {
            "seconds": 5,
            "load": 240,
            "machine": "fall_s = 1",
            "more": '[[fault]]\nat_s = 0.5\nfor_s = 1\nwhat = "kill"\nwhere = { zone = "b" }',
        },
    ),
    "holds_back": ("held_back", {"load": 700}),
}


@pytest.mark.parametrize("deed", OCCASIONS)
def test_a_seeded_fault_is_caught_and_the_program_itself_is_not_blamed(tmp_path: Path, deed: str) -> None:
    rule, changes = OCCASIONS[deed]
    it = small(**changes)  # type: ignore[arg-type]
    (tmp_path / "bad").mkdir()
    (tmp_path / "good").mkdir()
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    bad = breaches(
        tmp_path / "bad",
        it,
        f"cd {ROOT}; {DEPLOY['run'].replace('garnetusher.sidecar', f'tests.faulty.misdeeds {deed}')}",
    )
    assert {b.rule for b in bad} == {rule}
    assert all(b.lines for b in bad)
    assert breaches(tmp_path / "good", it, f"cd {ROOT}; {DEPLOY['run']}") == []


# The checker and the figures on records made by hand


def verdicts(*lines: records.AnyRecord) -> list[str]:
    it = small()
    return [b.rule for b in checker.check(it, plan.make(it, 1), sorted(lines, key=lambda r: r.t))]


ASKED = RequestSent(1_000_000, "a-0.1", "a-0.1", "a-0", 1, 0, 1_000_000, 2_000_000)
SENT = Attempt(1_001_000, 1, "a-0.1", "u-a-0", "a-0", 1_001_000, 20_000)
SERVED = (
    UpstreamAttemptEnded(1_030_000, 1, "a-0.1", "u-a-0", "a-0", "served"),
    ResponseReceived(1_031_000, "a-0.1", "a-0", 200, "u-a-0"),
)


@pytest.mark.parametrize(
    ("lines", "rules"),
    [
        ((ASKED, SENT, *SERVED), []),
        ((ASKED, SENT, SERVED[0], ResponseReceived(1_031_000, "a-0.1", "a-0", 200, "u-b-0")), ["one_answer"]),
        ((ASKED, SENT, SERVED[0], ResponseReceived(2_400_000, "a-0.1", "a-0", 200, "u-a-0")), []),
        ((ASKED, SENT, SERVED[0], ResponseReceived(2_600_000, "a-0.1", "a-0", 200, "u-a-0")), ["one_answer"]),
        ((ASKED, records.ResponseMissing(2_600_000, "a-0.1", "a-0")), ["one_answer"]),
        ((ASKED, records.SidecarClosedConnection(1_200_000, "a-0.1", "a-0")), ["one_answer"]),
        (
            (
                ASKED,
                records.ProcessChanged(1_100_000, "a-0", "killed"),
                records.SidecarClosedConnection(1_200_000, "a-0.1", "a-0"),
            ),
            [],
        ),
        (
            (
                ASKED,
                records.ProcessChanged(1_100_000, "a-0", "term"),
                records.SidecarClosedConnection(1_200_000, "a-0.1", "a-0"),
            ),
            ["one_answer"],
        ),
        ((ASKED, SENT, *SERVED, records.UnexpectedBytes(1_040_000, "a-0.1", "a-0")), ["one_answer"]),
        ((ASKED, ResponseReceived(1_500_000, "a-0.1", "a-0", 503)), []),
        ((ASKED, ResponseReceived(1_600_000, "a-0.1", "a-0", 503)), ["held_back"]),
        ((SENT,), ["no_repeat"]),
        ((ASKED, SENT, SERVED[0], ResponseReceived(1_031_000, "a-0.1", "a-0", 503)), ["no_repeat"]),
        (
            (
                ASKED,
                SENT,
                UpstreamAttemptEnded(1_002_000, 1, "a-0.1", "u-a-0", "a-0", "turned_away"),
                ResponseReceived(1_003_000, "a-0.1", "a-0", 503),
            ),
            [],
        ),
        (
            (
                ASKED,
                SENT,
                UpstreamAttemptEnded(1_002_000, 1, "a-0.1", "u-a-0", "a-0", "reset"),
                Attempt(1_005_000, 1, "a-0.1", "u-b-0", "a-0", 1_005_000, 20_000),
            ),
            ["no_repeat"],
        ),
        ((ListUpdateSent(0, "a-0", "u-a-0", "leaving"), ASKED, SENT, *SERVED), []),
        ((ListUpdateSent(-100_000, "a-0", "u-a-0", "leaving"), ASKED, SENT, *SERVED), ["drain"]),
        (
            (
                ListUpdateSent(-100_000, "a-0", "u-a-0", "leaving"),
                ListUpdateSent(900_000, "a-0", "u-a-0", "active"),
                ASKED,
                SENT,
                *SERVED,
            ),
            [],
        ),
    ],
)
def test_a_rule_is_judged_by_its_words(lines: tuple[records.AnyRecord, ...], rules: list[str]) -> None:
    assert verdicts(*lines) == rules


def test_worth_is_dated_from_when_the_request_was_due_and_counted_once() -> None:
    it = small()
    late = RequestSent(1_000_000, "a-0.2", "a-0.2", "a-0", 0, 0, 650_000, 1_900_000)  # the lab was late with it
    again = RequestSent(1_500_000, "a-0.1.1", "a-0.1", "a-0", 1, 0, 1_000_000, 2_200_000)
    found = figures.requests_of(
        it,
        [
            ASKED,
            late,
            ResponseReceived(1_010_000, "a-0.2", "a-0", 200, "u-a-0"),
            again,
            ResponseReceived(1_390_000, "a-0.1.1", "a-0", 200, "u-a-0"),
            ResponseReceived(1_395_000, "a-0.1", "a-0", 200, "u-b-0"),
        ],
    )
    assert [(r.ident, r.worth, r.answered_us) for r in found] == [("a-0.2", 1.0, 1_010_000), ("a-0.1", 3.0, 1_390_000)]
    assert [r.served(it.classes[r.cls].aim_ms * 1000) for r in found] == [False, True]


def test_a_difference_is_shown_only_where_there_is_one() -> None:
    same = compare.difference("x", [0.9, 0.92, 0.91, 0.9, 0.9, 0.91], [0.91, 0.9, 0.92, 0.9, 0.9, 0.9])
    assert not same.significant
    assert "no difference shown" in str(same)
    better = compare.difference("x", [0.8, 0.82, 0.81, 0.8, 0.82, 0.81], [0.9, 0.91, 0.93, 0.9, 0.9, 0.92])
    assert better.significant
    assert better.low < better.mean < better.high
    assert better.low > 0.05
    few = compare.difference("x", [0.8] * 5, [0.9] * 5)
    assert not few.significant
    assert "fewer than 6 are not enough" in str(few)
    with pytest.raises(ValueError, match="as many runs"):
        compare.difference("x", [1.0], [])


def test_the_lab_leaves_no_process_of_these_tests() -> None:
    mine = [p for p in psutil.Process(os.getpid()).children(recursive=True) if p.status() != psutil.STATUS_ZOMBIE]
    assert mine == []
