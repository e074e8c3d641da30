"""Checks the dependencies between packages, as docs/design.md draws them, and what the sidecar imports and opens."""

from __future__ import annotations

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.experiment import ROOT
from tests.net import listing
from tests.processes import program, write_configuration

# Project modules that each package or module may import. A subpackage comes before its parent, because the first match
# applies.
ALLOWED_IMPORTS = {
    "garnetusher.policy": {"garnetusher.policy"},
    # The sidecar imports this module only if its configuration file enables membership.
    "garnetusher.sidecar.membership": {"garnetusher.membership", "garnetusher.sidecar"},
    "garnetusher.sidecar": {"garnetusher.policy", "garnetusher.sidecar"},
    "garnetusher.simulator": {"garnetusher.policy", "garnetusher.simulator"},
    "garnetusher.config": set(),
    "garnetusher.logs": set(),
    "garnetusher.membership": {"garnetusher.membership"},
    "garnetusher.model": {"garnetusher.policy", "garnetusher.config", "garnetusher.membership", "garnetusher.model"},
    "garnetusher.cli": {"garnetusher.config", "garnetusher.logs", "garnetusher.model", "garnetusher.cli"},
    "garnetusher.lab": {
        "garnetusher.config",
        "garnetusher.logs",
        "garnetusher.model",
        "garnetusher.cli",
        "garnetusher.lab",
    },
}
ALLOWED_EVERYWHERE = {"garnetusher", "garnetusher.errors", "garnetusher.errors.GarnetusherError"}
CYTHON_MODULES = {"cython_runtime", "_cython_3_3_0"}  # modules that httptools creates when it is imported
CLOCK_AND_IO_MODULES = {"asyncio", "socket", "threading", "subprocess", "time", "os", "selectors"}


def modules() -> Iterator[tuple[str, Path]]:
    for path in sorted((ROOT / "garnetusher").rglob("*.py")):
        yield ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"), path


def imported_names(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def is_within(name: str, package: str) -> bool:
    return name == package or name.startswith(package + ".")


def test_packages_import_only_allowed_packages() -> None:
    violations = []
    for module, path in modules():
        package = next((p for p in ALLOWED_IMPORTS if is_within(module, p)), None)
        for name in imported_names(path):
            is_project_module = is_within(name, "garnetusher")
            if (
                package is not None
                and is_project_module
                and name not in ALLOWED_EVERYWHERE
                and not any(
                    is_within(name, allowed) or is_within(allowed, name) for allowed in ALLOWED_IMPORTS[package]
                )
            ):
                violations.append(f"{module} imports {name}")
    assert violations == []


def test_model_and_membership_import_no_clock_and_no_io() -> None:
    violations = [
        f"{module} imports {name}"
        for module, path in modules()
        if is_within(module, "garnetusher.model")
        or (is_within(module, "garnetusher.membership") and path.stem != "transport")
        for name in imported_names(path) & CLOCK_AND_IO_MODULES
    ]
    assert violations == []


def test_sidecar_imports_only_httptools_beyond_the_standard_library() -> None:
    code = (
        "import sys; before = set(sys.modules); import garnetusher.sidecar.__main__; "
        "print(*sorted({'.'.join(m.split('.')[:2]) if m.startswith('garnetusher.') else m.split('.')[0]"
        " for m in set(sys.modules) - before}))"
    )
    imported = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    assert set(imported) - set(sys.stdlib_module_names) - CYTHON_MODULES == {
        "garnetusher",
        "garnetusher.policy",
        "garnetusher.errors",
        "garnetusher.sidecar",
        "httptools",
    }
    assert (ROOT / "requirements.txt").read_text() == "httptools==0.9.0\n"


@pytest.mark.parametrize("admin", [False, True])
def test_sidecar_opens_only_the_expected_descriptors(tmp_path: Path, admin: bool) -> None:
    path = write_configuration(tmp_path, known=listing(), **({"admin": "127.0.0.1:0"} if admin else {}))
    before = {p.name for p in tmp_path.iterdir()}
    with program(path, TMPDIR=str(tmp_path)) as process:
        listening: set[str] = set()
        while len(listening) < 1 + admin:
            assert process.poll() is None
            kinds, listening = descriptors(process.pid)
        assert len(listening) == 1 + admin
        # The event loop has an epoll descriptor and a pair of sockets through which signals wake it.
        assert kinds.count("anon_inode") == 1
        assert kinds.count("unix") == 2
        assert kinds.count("file") == 0
    assert {p.name for p in tmp_path.iterdir()} == before


def descriptors(pid: int) -> tuple[list[str], set[str]]:
    """Return the kind of each descriptor except the standard streams, and the listening TCP sockets."""
    kind_by_inode = {}
    for table in ("tcp", "unix"):
        lines = Path(f"/proc/{pid}/net/{table}").read_text().splitlines()[1:]
        for line in lines:
            fields = line.split()
            if table == "tcp":
                kind_by_inode[fields[9]] = "listening" if fields[3] == "0A" else "tcp"
            else:
                kind_by_inode[fields[6]] = "unix"
    kinds = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = str(link.readlink())
        except FileNotFoundError:
            continue
        if int(link.name) <= 2:
            continue
        if target.startswith("socket:"):
            # The target is `socket:[inode]`. The inode is part of the kind so that two listening sockets differ.
            kinds.append(kind_by_inode.get(target[8:-1], "unix") + target[8:-1])
        else:
            kinds.append("anon_inode" if target.startswith("anon_inode") else "file")
    kinds_without_inode = ["unix" if k.startswith("unix") else k for k in kinds]
    return kinds_without_inode, {k for k in kinds if k.startswith("listening")}
