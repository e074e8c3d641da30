"""Members beside real sidecars: they find each other, and what one knows of them is told at the admin address."""

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

from garnetusher.cli import members as told
from garnetusher.sidecar.membership import switch
from tests.experiment import ROOT
from tests.net import free_port
from tests.processes import configuration

PATIENCE_S = 30.0  # for what takes seconds on a machine of its own


@contextmanager
def sidecars(folder: Path, memberships: list[dict[str, Any]]) -> Iterator[list[tuple[subprocess.Popen[bytes], str]]]:
    """Processes with their admin addresses."""
    running = []
    try:
        for number, membership in enumerate(memberships):
            place = folder / str(number)
            place.mkdir()
            admin = f"127.0.0.1:{free_port()}"
            path = configuration(place, name=f"n{number}", admin=admin, fleet={"membership": membership})
            with (place / "log").open("wb") as log:
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


def seen(at: str) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "garnetusher", "members", "--at", at, "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
    )
    return json.loads(done.stdout) if done.returncode == 0 else {"phase": done.stderr, "members": []}


def until(at: str, holds: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    began = time.monotonic()
    while not holds(found := seen(at)):
        assert time.monotonic() - began < PATIENCE_S, found
        time.sleep(0.1)
    return found


def states(found: dict[str, Any]) -> list[str]:
    return [m["state"] for m in found["members"]]


def test_sidecars_count_each_other_through_a_kill_and_a_farewell(tmp_path: Path) -> None:
    ports = [free_port() for _ in range(3)]
    seeds = [f"127.0.0.1:{port}" for port in ports[:2]]
    with sidecars(
        tmp_path, [{"cluster": "test", "listen": f"127.0.0.1:{port}", "seeds": seeds} for port in ports]
    ) as running:
        admin = running[0][1]
        whole = until(admin, lambda found: states(found) == ["present"] * 3 and found["agreed"])
        assert whole["instances"] == 3 and [m["name"] for m in whole["members"]] == ["n0", "n1", "n2"]
        running[2][0].kill()
        after = until(admin, lambda found: states(found) == ["present", "present", "failed"])
        assert after["instances"] == 3 and not after["trusted"]  # it may serve on, where nobody here hears it
        assert "the count is held" in told.lines(after)[0]
        running[1][0].send_signal(signal.SIGTERM)
        until(admin, lambda found: states(found) == ["present", "left", "failed"])


def test_a_sidecar_serves_without_a_membership_that_can_not_be(tmp_path: Path) -> None:
    with sidecars(tmp_path, [{"cluster": "test", "listen": "127.0.0.1:none"}]) as running:
        process, admin = running[0]
        found = until(admin, lambda found: "not switched on" in found["phase"])
        assert found["members"] == [] and process.poll() is None
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
def test_a_wrong_switch_names_its_key(raw: Any, key: str) -> None:
    with pytest.raises(ValueError, match=f"^fleet.membership{key}: expected"):
        switch(raw, "n", "z")
