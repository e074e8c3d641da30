"""The list of known failures lets a run pass over just what it names, and over nothing else."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest

def test_good(): pass
def test_bad(): assert False
def test_worse(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 0
"""


def run(folder: Path, *lines: str) -> subprocess.CompletedProcess[str]:
    """A run of a small suite under this list."""
    tests = folder / "tests"
    tests.mkdir()
    here = Path(__file__).parent
    for name in ("conftest.py", "known_red.py", "__init__.py"):
        shutil.copy(here / name, tests / name)
    (tests / "test_it.py").write_text(TESTS)
    (folder / "pytest.ini").write_text(
        "[pytest]\ntestpaths = tests\npythonpath = .\naddopts = -q -p no:cacheprovider\n"
    )
    (folder / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
    return subprocess.run([sys.executable, "-m", "pytest"], cwd=folder, capture_output=True, text=True, check=False)


ALL_RED = (
    "tests/test_it.py::test_bad | a cause | issue 1",
    "tests/test_it.py::test_worse | a cause | issue 2",
    "tests/test_it.py::test_each | a cause | issue 3",
)


def test_what_is_listed_may_fail_and_is_printed(tmp_path: Path) -> None:
    done = run(tmp_path, *ALL_RED)
    assert done.returncode == 0, done.stdout
    assert "1 passed, 4 xfailed" in done.stdout
    assert "KNOWN RED tests/test_it.py::test_bad: a cause (issue 1)" in done.stdout


def test_what_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    done = run(tmp_path, *ALL_RED[:2])
    assert done.returncode == 1 and "2 failed, 1 passed, 2 xfailed" in done.stdout


@pytest.mark.parametrize(
    ("line", "complaint"),
    [
        ("tests/test_it.py::test_good | a cause | issue 1", "XPASS(strict)"),
        ("tests/test_it.py::test_gone | a cause | issue 1", "no such test: tests/test_it.py::test_gone"),
        ("tests/test_it.py::test_bad | no issue", "expected 'path::test | cause | issue'"),
    ],
)
def test_a_line_that_is_wrong_fails_the_run(tmp_path: Path, line: str, complaint: str) -> None:
    done = run(tmp_path, *ALL_RED[1:], line)
    assert done.returncode != 0 and complaint in done.stdout + done.stderr


def test_a_fourth_line_fails_the_run(tmp_path: Path) -> None:
    done = run(tmp_path, *ALL_RED, "tests/test_it.py::test_good | a cause | issue 4")
    assert done.returncode != 0 and "at most 3 lines, got 4" in done.stdout + done.stderr
