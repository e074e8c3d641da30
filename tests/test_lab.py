"""Short lab runs on real processes, and checks of the lab's cleanup, of its checker and of its figures."""

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

SILENT_ZONE = """
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


def write_tree(folder: Path, run: str) -> Path:
    """Write the deploy file of a tree whose sidecars start with the given command, and return the tree."""
    (folder / "deploy").mkdir()
    deploy = {"build": "true", "run": run, "sim": "false", "policy": [], "node": []}
    (folder / "deploy" / "balancer.toml").write_text("".join(f"{k} = {json.dumps(v)}\n" for k, v in deploy.items()))
    return folder


def start_lab(*arguments: str, **options: Any) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "garnetusher", "lab", *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        **options,
    )


def descendants(pid: int) -> list[Any]:
    return list(psutil.Process(pid).children(recursive=True))


def all_ended(processes: list[Any]) -> bool:
    _, alive = psutil.wait_procs(processes, timeout=20)
    return not alive


def test_run_writes_figures_and_files_when_experiment_completes(tmp_path: Path) -> None:
    experiment_file, out_folder = tmp_path / "it.toml", tmp_path / "out"
    experiment_file.write_text(text(more=SILENT_ZONE))
    process = start_lab("run", str(experiment_file), "--out", str(out_folder), "--json")
    output, errors = process.communicate(timeout=120)
    assert (process.returncode, errors) == (0, ""), output
    document = json.loads(output)
    assert document["name"] == "small"
    assert document["seed"] == 5
    assert document["held"]
    assert document["broken"] == []
    measured = document["figures"]
    assert measured["requests"] > 250
    assert measured["served_worth.during_fault"] < measured["served_worth.before"]
    assert [expectation["open"] for expectation in document["expectations"]] == [False, False, True]
    page = (out_folder / "report.html").read_text()
    assert page.count("<svg") == 3
    assert "http://" not in page.replace("http://www.w3.org", "").replace("http://purl.org", "").replace(
        "http://creativecommons.org", ""
    ).replace("http://matplotlib.org", "")
    run_records = list(records.read(out_folder / "events.jsonl"))
    assert [record.t for record in run_records] == sorted(record.t for record in run_records)
    assert (out_folder / "latency.hlog").read_text().count("Tag=publish") >= 2
    loaded_experiment = experiment.load(experiment_file)
    assert checker.check(loaded_experiment, plan.make(loaded_experiment, 5), run_records) == []
    check_silent_zone(run_records)


def check_silent_zone(run_records: list[records.AnyRecord]) -> None:
    """Check that only the cut links lose attempts, that the records show these losses, and that the links recover."""
    silent_zone_attempts = [
        record
        for record in run_records
        if isinstance(record, Attempt) and record.upstream.startswith("u-b") and 1.05e6 < record.t < 2e6
    ]
    other_zone_attempts = [
        record
        for record in run_records
        if isinstance(record, Attempt) and record.upstream.startswith("u-a") and 1.05e6 < record.t < 2e6
    ]
    undelivered = [record for record in run_records if isinstance(record, AttemptUndelivered)]
    assert not silent_zone_attempts
    assert len(other_zone_attempts) > 30
    assert undelivered
    assert all(record.upstream.startswith("u-b") for record in undelivered)
    served = [
        record
        for record in run_records
        if isinstance(record, UpstreamAttemptEnded) and record.upstream.startswith("u-b") and record.how == "served"
    ]
    later_attempts = [
        record
        for record in run_records
        if isinstance(record, Attempt) and record.upstream.startswith("u-b") and record.t > 2.1e6
    ]
    assert later_attempts
    assert served


def test_lab_leaves_no_process_when_interrupted_or_killed(tmp_path: Path) -> None:
    experiment_file = tmp_path / "it.toml"
    experiment_file.write_text(
        text(seconds=60, more='[[fault]]\nat_s = 0.2\nwhat = "stop"\nwhere = { sidecar = "a-0" }')
    )
    for index, signal_number in enumerate((signal.SIGINT, signal.SIGTERM, signal.SIGKILL)):
        log_path = tmp_path / str(index) / "lab.log"
        process = start_lab("run", str(experiment_file), "--out", str(log_path.parent), start_new_session=True)
        while not (log_path.exists() and "lab.fault.applied" in log_path.read_text()):
            assert process.poll() is None
            time.sleep(0.05)
        children = descendants(process.pid)
        assert len(children) >= 5  # three workers and two sidecars, one of which is stopped
        process.send_signal(signal_number)
        process.communicate(timeout=30)
        assert all_ended(children)
        assert process.returncode == (1 if signal_number != signal.SIGKILL else -signal.SIGKILL)


def test_interrupt_ends_lab_when_parent_ignores_the_signal(tmp_path: Path) -> None:
    """A shell without job control starts background processes with SIGINT ignored, and children inherit that."""
    experiment_file, log_path = tmp_path / "it.toml", tmp_path / "out" / "lab.log"
    experiment_file.write_text(
        text(seconds=60, more='[[fault]]\nat_s = 0.2\nwhat = "stop"\nwhere = { sidecar = "a-0" }')
    )
    process = start_lab(
        "run",
        str(experiment_file),
        "--out",
        str(log_path.parent),
        start_new_session=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_IGN),
    )
    try:
        while not (log_path.exists() and "lab.fault.applied" in log_path.read_text()):
            assert process.poll() is None
            time.sleep(0.05)
        process.send_signal(signal.SIGINT)
        process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 1


def test_run_fails_with_last_log_lines_when_sidecar_dies_at_start(tmp_path: Path) -> None:
    small_experiment = small()
    failing_tree = write_tree(tmp_path, "echo first >&2; echo no good reason >&2; exit 3")
    with pytest.raises(LabError, match=r"(?s)exited during startup with status 3.*no good reason"):  # noqa: PT012 - the block makes the plan too
        started_s = time.monotonic()
        asyncio.run(
            run_experiment(
                small_experiment,
                plan.make(small_experiment, 1),
                failing_tree,
                tmp_path / "out",
                lambda activity, share: None,
            )
        )
    assert time.monotonic() - started_s < 20


def test_checker_reports_crash_when_sidecar_dies_during_run(tmp_path: Path) -> None:
    run_command = DEPLOY["run"].replace("exec ", f"cd {ROOT}; (sleep 1.5; kill -9 $$) & exec ")
    # Requests in progress are lost, and their clients may notice the loss before the lab notices the process exit.
    assert (
        {"crash"}
        <= {breach.rule for breach in run_and_check(tmp_path, small(), run_command)}
        <= {"crash", "one_answer"}
    )


def run_and_check(folder: Path, tested_experiment: experiment.Experiment, run_command: str) -> list[checker.Breach]:
    run_plan = plan.make(tested_experiment, tested_experiment.seed)
    completed_run = asyncio.run(
        run_experiment(
            tested_experiment, run_plan, write_tree(folder, run_command), folder / "out", lambda activity, share: None
        )
    )
    return checker.check(tested_experiment, run_plan, completed_run.records)


# Maps each defect of the sidecar to the rule that it breaks and to the experiment changes that expose the defect.
DEFECT_EXPERIMENTS = {
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


@pytest.mark.parametrize("defect", DEFECT_EXPERIMENTS)
def test_checker_reports_a_breach_only_when_sidecar_has_a_seeded_defect(tmp_path: Path, defect: str) -> None:
    rule, changes = DEFECT_EXPERIMENTS[defect]
    defect_experiment = small(**changes)  # type: ignore[arg-type]
    (tmp_path / "bad").mkdir()
    (tmp_path / "good").mkdir()
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    breaches = run_and_check(
        tmp_path / "bad",
        defect_experiment,
        f"cd {ROOT}; {DEPLOY['run'].replace('garnetusher.sidecar', f'tests.faulty.defective_sidecar {defect}')}",
    )
    assert {breach.rule for breach in breaches} == {rule}
    assert all(breach.lines for breach in breaches)
    assert run_and_check(tmp_path / "good", defect_experiment, f"cd {ROOT}; {DEPLOY['run']}") == []


# The tests below run the checker and the figures on hand-written records.


def broken_rules(*run_records: records.AnyRecord) -> list[str]:
    small_experiment = small()
    return [
        breach.rule
        for breach in checker.check(
            small_experiment, plan.make(small_experiment, 1), sorted(run_records, key=lambda record: record.t)
        )
    ]


REQUEST = RequestSent(1_000_000, "a-0.1", "a-0.1", "a-0", 1, 0, 1_000_000, 2_000_000)
ATTEMPT = Attempt(1_001_000, 1, "a-0.1", "u-a-0", "a-0", 1_001_000, 20_000)
SERVED = (
    UpstreamAttemptEnded(1_030_000, 1, "a-0.1", "u-a-0", "a-0", "served"),
    ResponseReceived(1_031_000, "a-0.1", "a-0", 200, "u-a-0"),
)


def waited(process: str, waited_us: int, at_us: int = 1_300_000) -> records.CpuWait:
    """Return the record of a sidecar that waited for a CPU core in the 90 ms before a time."""
    return records.CpuWait(at_us, process, records.CpuWaitRole.SIDECAR, at_us - 90_000, waited_us)


@pytest.mark.parametrize(
    ("run_records", "rules"),
    [
        ((REQUEST, ATTEMPT, *SERVED), []),
        ((REQUEST, ATTEMPT, SERVED[0], ResponseReceived(1_031_000, "a-0.1", "a-0", 200, "u-b-0")), ["one_answer"]),
        ((REQUEST, ATTEMPT, SERVED[0], ResponseReceived(2_400_000, "a-0.1", "a-0", 200, "u-a-0")), []),
        ((REQUEST, ATTEMPT, SERVED[0], ResponseReceived(2_600_000, "a-0.1", "a-0", 200, "u-a-0")), ["one_answer"]),
        ((REQUEST, records.ResponseMissing(2_600_000, "a-0.1", "a-0")), ["one_answer"]),
        ((REQUEST, records.SidecarClosedConnection(1_200_000, "a-0.1", "a-0")), ["one_answer"]),
        (
            (
                REQUEST,
                records.ProcessChanged(1_100_000, "a-0", "killed"),
                records.SidecarClosedConnection(1_200_000, "a-0.1", "a-0"),
            ),
            [],
        ),
        (
            (
                REQUEST,
                records.ProcessChanged(1_100_000, "a-0", "term"),
                records.SidecarClosedConnection(1_200_000, "a-0.1", "a-0"),
            ),
            ["one_answer"],
        ),
        ((REQUEST, ATTEMPT, *SERVED, records.UnexpectedBytes(1_040_000, "a-0.1", "a-0")), ["one_answer"]),
        ((REQUEST, ResponseReceived(1_500_000, "a-0.1", "a-0", 503)), []),
        ((REQUEST, ResponseReceived(1_600_000, "a-0.1", "a-0", 503)), ["held_back"]),
        ((REQUEST, waited("a-0", 50_000), ResponseReceived(1_600_000, "a-0.1", "a-0", 503)), []),
        ((REQUEST, waited("a-0", 49_000), ResponseReceived(1_600_000, "a-0.1", "a-0", 503)), ["held_back"]),
        ((REQUEST, waited("b-0", 90_000), ResponseReceived(1_600_000, "a-0.1", "a-0", 503)), ["held_back"]),
        ((REQUEST, waited("a-0", 90_000, 900_000), ResponseReceived(1_600_000, "a-0.1", "a-0", 503)), ["held_back"]),
        ((ATTEMPT,), ["no_repeat"]),
        ((REQUEST, ATTEMPT, SERVED[0], ResponseReceived(1_031_000, "a-0.1", "a-0", 503)), ["no_repeat"]),
        (
            (
                REQUEST,
                ATTEMPT,
                UpstreamAttemptEnded(1_002_000, 1, "a-0.1", "u-a-0", "a-0", "turned_away"),
                ResponseReceived(1_003_000, "a-0.1", "a-0", 503),
            ),
            [],
        ),
        (
            (
                REQUEST,
                ATTEMPT,
                UpstreamAttemptEnded(1_002_000, 1, "a-0.1", "u-a-0", "a-0", "reset"),
                Attempt(1_005_000, 1, "a-0.1", "u-b-0", "a-0", 1_005_000, 20_000),
            ),
            ["no_repeat"],
        ),
        ((ListUpdateSent(0, "a-0", "u-a-0", "leaving"), REQUEST, ATTEMPT, *SERVED), []),
        ((ListUpdateSent(-100_000, "a-0", "u-a-0", "leaving"), REQUEST, ATTEMPT, *SERVED), ["drain"]),
        (
            (
                ListUpdateSent(-100_000, "a-0", "u-a-0", "leaving"),
                ListUpdateSent(900_000, "a-0", "u-a-0", "active"),
                REQUEST,
                ATTEMPT,
                *SERVED,
            ),
            [],
        ),
    ],
)
def test_checker_reports_the_broken_rules_when_given_records(
    run_records: tuple[records.AnyRecord, ...], rules: list[str]
) -> None:
    assert broken_rules(*run_records) == rules


def test_latency_starts_when_request_was_due_and_retries_count_once() -> None:
    small_experiment = small()
    # The lab sent this request 350 ms after it was due.
    late_request = RequestSent(1_000_000, "a-0.2", "a-0.2", "a-0", 0, 0, 650_000, 1_900_000)
    retry = RequestSent(1_500_000, "a-0.1.1", "a-0.1", "a-0", 1, 0, 1_000_000, 2_200_000)
    requests = figures.requests_of(
        small_experiment,
        [
            REQUEST,
            late_request,
            ResponseReceived(1_010_000, "a-0.2", "a-0", 200, "u-a-0"),
            retry,
            ResponseReceived(1_390_000, "a-0.1.1", "a-0", 200, "u-a-0"),
            ResponseReceived(1_395_000, "a-0.1", "a-0", 200, "u-b-0"),
        ],
    )
    assert [(request.ident, request.worth, request.answered_us) for request in requests] == [
        ("a-0.2", 1.0, 1_010_000),
        ("a-0.1", 3.0, 1_390_000),
    ]
    assert [request.served(small_experiment.classes[request.cls].aim_ms * 1000) for request in requests] == [
        False,
        True,
    ]


def test_difference_is_significant_only_when_figures_differ() -> None:
    equal = compare.difference("x", [0.9, 0.92, 0.91, 0.9, 0.9, 0.91], [0.91, 0.9, 0.92, 0.9, 0.9, 0.9])
    assert not equal.significant
    assert "no difference shown" in str(equal)
    better = compare.difference("x", [0.8, 0.82, 0.81, 0.8, 0.82, 0.81], [0.9, 0.91, 0.93, 0.9, 0.9, 0.92])
    assert better.significant
    assert better.low < better.mean < better.high
    assert better.low > 0.05
    too_few = compare.difference("x", [0.8] * 5, [0.9] * 5)
    assert not too_few.significant
    assert "fewer than 6 are not enough" in str(too_few)
    with pytest.raises(ValueError, match="as many runs"):
        compare.difference("x", [1.0], [])


def test_no_child_process_is_left_after_the_tests_of_this_file() -> None:
    children = [
        process
        for process in psutil.Process(os.getpid()).children(recursive=True)
        if process.status() != psutil.STATUS_ZOMBIE
    ]
    assert children == []
