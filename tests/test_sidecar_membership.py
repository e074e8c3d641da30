"""Membership of real sidecars: they find each other, and the admin address shows the view of each."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from garnetusher.cli.members import format_lines
from garnetusher.sidecar.membership import MembershipSettingsError, parse_membership_settings
from tests.experiment import ROOT
from tests.net import free_port
from tests.processes import write_configuration

TIMEOUT_S = 30.0  # the awaited changes take a few seconds on an idle machine


@contextmanager
def running_sidecars(
    folder: Path, memberships: list[dict[str, Any]]
) -> Iterator[list[tuple[subprocess.Popen[bytes], str]]]:
    """Run one sidecar per membership setting, and yield each process with its admin address."""
    running = []
    try:
        for index, membership in enumerate(memberships):
            directory = folder / str(index)
            directory.mkdir()
            admin = f"127.0.0.1:{free_port()}"
            path = write_configuration(directory, name=f"n{index}", admin=admin, fleet={"membership": membership})
            with (directory / "log").open("wb") as log:
                running.append(
                    (
                        subprocess.Popen(
                            [sys.executable, "-m", "garnetusher.sidecar"],
                            cwd=ROOT,
                            stderr=log,
                            env=os.environ | {"BALANCER_CONFIG": str(path)},
                        ),
                        admin,
                    )
                )
        yield running
    finally:
        for process, _ in running:
            process.kill()
            process.wait()


def read_members(admin: str) -> dict[str, Any]:
    completed = subprocess.run(
        [sys.executable, "-m", "garnetusher", "members", "--at", admin, "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    return json.loads(completed.stdout) if completed.returncode == 0 else {"phase": completed.stderr, "members": []}


def wait_until(admin: str, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    started_s = time.monotonic()
    while not condition(document := read_members(admin)):
        assert time.monotonic() - started_s < TIMEOUT_S, document
        time.sleep(0.1)
    return document


def states(document: dict[str, Any]) -> list[str]:
    return [member["state"] for member in document["members"]]


def test_sidecars_count_each_other_when_one_is_killed_and_one_leaves(tmp_path: Path) -> None:
    ports = [free_port() for _ in range(3)]
    seeds = [f"127.0.0.1:{port}" for port in ports[:2]]
    with running_sidecars(
        tmp_path, [{"cluster": "test", "listen": f"127.0.0.1:{port}", "seeds": seeds} for port in ports]
    ) as running:
        admin = running[0][1]
        complete = wait_until(admin, lambda document: states(document) == ["present"] * 3 and document["agreed"])
        assert complete["instances"] == 3
        assert [member["name"] for member in complete["members"]] == ["n0", "n1", "n2"]
        running[2][0].kill()
        after = wait_until(admin, lambda document: states(document) == ["present", "present", "failed"])
        assert after["instances"] == 3
        assert not after["trusted"]
        assert "the count is held" in format_lines(after)[0]
        running[1][0].send_signal(signal.SIGTERM)
        wait_until(admin, lambda document: states(document) == ["present", "left", "failed"])


def test_sidecar_runs_without_membership_when_its_membership_settings_are_wrong(tmp_path: Path) -> None:
    with running_sidecars(tmp_path, [{"cluster": "test", "listen": "127.0.0.1:none"}]) as running:
        process, admin = running[0]
        document = wait_until(admin, lambda document: "not switched on" in document["phase"])
        assert document["members"] == []
        assert process.poll() is None
        assert "fleet.membership.listen: expected host:port" in (tmp_path / "0" / "log").read_text()


@pytest.mark.parametrize(
    ("raw", "key"),
    [
        ([], ""),
        ({"listen": "h:1"}, ".cluster"),
        ({"cluster": "c"}, ".listen"),
        ({"cluster": "c", "listen": "h:1", "seeds": "h:2"}, ".seeds"),
        ({"cluster": "c", "listen": "h:1", "seeds": ["h"]}, ".seeds.0"),
        ({"cluster": "c", "listen": "h:1", "floor": 0}, ".floor"),
        ({"cluster": "c", "listen": "h:1", "flor": 2}, ".flor"),
    ],
)
def test_parse_membership_settings_names_the_key_when_it_is_wrong(raw: Any, key: str) -> None:
    with pytest.raises(MembershipSettingsError, match=f"^fleet.membership{key}: expected"):
        parse_membership_settings(raw, "n", "z")
