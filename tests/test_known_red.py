"""Checks that the list of known failures excuses only the failing tests that it names."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

SAMPLE_TESTS = """
import pytest

def test_good(): pass
def test_bad(): assert False
def test_worse(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 0
"""


def run_suite(folder: Path, *lines: str) -> subprocess.CompletedProcess[str]:
    """Run a small test suite with these lines in its list of known failures."""
    tests = folder / "tests"
    tests.mkdir()
    source_folder = Path(__file__).parent
    for name in ("conftest.py", "known_red.py", "__init__.py"):
        shutil.copy(source_folder / name, tests / name)
    (tests / "test_it.py").write_text(SAMPLE_TESTS)
    (folder / "pytest.ini").write_text(
        "[pytest]\ntestpaths = tests\npythonpath = .\naddopts = -q -p no:cacheprovider\n"
    )
    (folder / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
    return subprocess.run([sys.executable, "-m", "pytest"], cwd=folder, capture_output=True, text=True, check=False)


ALL_FAILURES_LISTED = (
    "tests/test_it.py::test_bad | command | a failure | issue 1",
    "tests/test_it.py::test_worse | command | a failure | issue 2",
    "tests/test_it.py::test_each | command | a failure | issue 3",
)


def test_run_passes_and_prints_the_lines_when_all_failures_are_listed(tmp_path: Path) -> None:
    completed = run_suite(tmp_path, *ALL_FAILURES_LISTED)
    assert completed.returncode == 0, completed.stdout
    assert "1 passed, 4 xfailed" in completed.stdout
    assert "KNOWN RED tests/test_it.py::test_bad: command: a failure (issue 1)" in completed.stdout


def test_run_fails_when_a_failure_is_not_listed(tmp_path: Path) -> None:
    completed = run_suite(tmp_path, *ALL_FAILURES_LISTED[:2])
    assert completed.returncode == 1
    assert "2 failed, 1 passed, 2 xfailed" in completed.stdout


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("tests/test_it.py::test_good | command | a failure | issue 1", "XPASS(strict)"),
        (
            "tests/test_it.py::test_gone | command | a failure | issue 1",
            "no such test: tests/test_it.py::test_gone",
        ),
        ("tests/test_it.py::test_bad | command | no issue", f"expected '{known_red.FORM}'"),
        ("tests/test_it.py::test_bad | | a failure | issue 1", f"expected '{known_red.FORM}'"),
        ("tests/test_it.py::test_bad | a | b | c | issue 1", f"expected '{known_red.FORM}'"),
        ("tests/test_it.py::test_worse | command | a failure | issue 1", "test_worse is listed twice"),
        ("review/9 | sh review/9/run.sh | no such case | issue 1", f"expected '{known_red.FORM}'"),
        ("tests/test_it.py::test_each[1] | command | a failure | issue 1", "test_each[1] is listed twice"),
    ],
)
def test_run_fails_when_a_line_is_wrong(tmp_path: Path, line: str, message: str) -> None:
    completed = run_suite(tmp_path, *ALL_FAILURES_LISTED[1:], line)
    assert completed.returncode != 0
    assert message in completed.stdout + completed.stderr


def test_run_prints_a_case_of_the_reviews_without_running_it(tmp_path: Path) -> None:
    script = tmp_path / "review" / "6" / "run.sh"
    script.parent.mkdir(parents=True)
    script.write_text("touch was-run\n")
    completed = run_suite(tmp_path, *ALL_FAILURES_LISTED, "review/6 | sh review/6/run.sh | a failure | issue 4")
    assert completed.returncode == 0, completed.stdout
    assert "KNOWN RED review/6: sh review/6/run.sh: a failure (issue 4)" in completed.stdout
    assert not list(tmp_path.rglob("was-run"))


def test_run_passes_when_the_list_names_each_case_of_a_test(tmp_path: Path) -> None:
    cases = [f"tests/test_it.py::test_each[{n}] | command | a failure | issue 3" for n in (1, 2)]
    completed = run_suite(tmp_path, *ALL_FAILURES_LISTED[:2], *cases)
    assert completed.returncode == 0, completed.stdout
    assert "1 passed, 4 xfailed" in completed.stdout
