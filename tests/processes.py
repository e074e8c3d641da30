"""The sidecar as a process: its configuration file, and the program that the deploy file starts."""

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


def configuration(folder: Path, **changes: Any) -> Path:
    """Write a configuration file with these top-level keys changed; returns its path."""
    path = folder / "config.json"
    whole = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": SETTINGS,
        "known": listing(entry("u", 1)),
    }
    path.write_text(json.dumps(whole | changes))
    return path


@contextmanager
def program(path: Path, keep: tuple[int, ...] = (), **variables: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run the program with that configuration file, more environment variables, and these descriptors kept open."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True, timeout=600)
    plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    process = subprocess.Popen(
        ["/bin/sh", "-c", DEPLOY["run"]],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        pass_fds=keep,
        env=plain | {"BALANCER_CONFIG": str(path)} | variables,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def copied(whole: Any, path: str) -> tuple[Any, Any, str]:
    """A copy, with the part of it that holds the key at the end of this path, and that key."""
    copy = json.loads(json.dumps(whole))
    *way, last = path.split(".")
    inner: Any = copy
    for key in way:
        inner = inner[int(key) if isinstance(inner, list) else key]
    return copy, inner, last


def without(whole: Any, path: str) -> Any:
    """A copy that lacks this key."""
    copy, inner, last = copied(whole, path)
    del inner[last]
    return copy


def with_value(whole: Any, path: str, value: object) -> Any:
    """A copy with another value there."""
    copy, inner, last = copied(whole, path)
    inner[last] = value
    return copy
