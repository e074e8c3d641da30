"""Runs the sidecar as a process, with a configuration file, as the deploy file starts it."""

from __future__ import annotations

import json
import os
import subprocess
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.net import entry, free_port, listing

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# Durations are in microseconds.
SETTINGS: dict[str, Any] = {
    "accounts": [],
    "areas": ["a", "b"],
    "granularity": 5000,
    "bounds": {
        "conn-idle": 5000000,
        "dial-timeout": 200000,
        "most-tries": 4,
        "cancel": True,
        "probes": True,
        "retry-after": True,
        "second-copies": True,
    },
    "instances": 3,
    "invariants": {
        "ask-within": 10000000,
        "cold-share": 0.32,
        "fall": 2000000,
        "overload-factor": 2.5,
        "warm-up": 8900000,
    },
    "kinds": ["m"],
    "locality": 1,
    "registry-mode": "on_request",
    "report": {"how": "probe", "names": ["rif", "q"]},
    "weights": "nominal",
    "request-classes": [{"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "at_most_once", "worth": 10.0}],
}


def write_configuration(folder: Path, **changes: Any) -> Path:
    """Write a configuration file with these top-level keys changed, and return its path."""
    path = folder / "config.json"
    document = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": listing(entry("u", 1)),
    }
    path.write_text(json.dumps(document | changes))
    return path


@contextmanager
def program(path: Path, descriptors: tuple[int, ...] = (), **variables: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run the sidecar with this configuration file, extra environment variables and inherited file descriptors."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    base_environment = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    process = subprocess.Popen(
        ["/bin/sh", "-c", DEPLOY["run"]],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        pass_fds=descriptors,
        env=base_environment | {"BALANCER_CONFIG": str(path)} | variables,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def copy_and_locate(document: Any, path: str) -> tuple[Any, Any, str]:
    """Return a deep copy, the object in the copy that contains the last key of `path`, and that key."""
    copy = json.loads(json.dumps(document))
    *parents, last = path.split(".")
    inner: Any = copy
    for key in parents:
        inner = inner[int(key) if isinstance(inner, list) else key]
    return copy, inner, last


def without_key(document: Any, path: str) -> Any:
    """Return a copy without the key at `path`."""
    copy, inner, last = copy_and_locate(document, path)
    del inner[last]
    return copy


def with_value(document: Any, path: str, value: object) -> Any:
    """Return a copy with another value at `path`."""
    copy, inner, last = copy_and_locate(document, path)
    inner[last] = value
    return copy
