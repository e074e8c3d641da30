"""Dependencies point down, as docs/design.md draws them, and `run` is what it was."""

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

# what a part may import of the project; a deeper name goes before its parent's
ALLOWED = {
    "garnetusher.policy": {"garnetusher.policy"},
    # imported where the file switches it on
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
EVERYWHERE = {"garnetusher", "garnetusher.errors", "garnetusher.errors.GarnetusherError"}
BUILT_IN = {"cython_runtime", "_cython_3_3_0"}  # modules that httptools makes for itself
NOT_IN_A_CORE = {"asyncio", "socket", "threading", "subprocess", "time", "os", "selectors"}


def modules() -> Iterator[tuple[str, Path]]:
    for path in sorted((ROOT / "garnetusher").rglob("*.py")):
        yield ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"), path


def imported(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def below(name: str, part: str) -> bool:
    return name == part or name.startswith(part + ".")


def test_dependencies_point_down() -> None:
    wrong = []
    for module, path in modules():
        part = next((p for p in ALLOWED if below(module, p)), None)
        for name in imported(path):
            ours = below(name, "garnetusher")
            if (
                part is not None
                and ours
                and name not in EVERYWHERE
                and not any(below(name, allowed) or below(allowed, name) for allowed in ALLOWED[part])
            ):
                wrong.append(f"{module} imports {name}")
    assert wrong == []


def test_a_core_has_no_clock_and_no_socket() -> None:
    wrong = [
        f"{module} imports {name}"
        for module, path in modules()
        if below(module, "garnetusher.model") or (below(module, "garnetusher.membership") and path.stem != "transport")
        for name in imported(path) & NOT_IN_A_CORE
    ]
    assert wrong == []


def test_run_imports_what_it_did() -> None:
    code = (
        "import sys; before = set(sys.modules); import garnetusher.sidecar.__main__; "
        "print(*sorted({'.'.join(m.split('.')[:2]) if m.startswith('garnetusher.') else m.split('.')[0]"
        " for m in set(sys.modules) - before}))"
    )
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    assert set(found) - set(sys.stdlib_module_names) - BUILT_IN == {
        "garnetusher",
        "garnetusher.policy",
        "garnetusher.errors",
        "garnetusher.sidecar",
        "httptools",
    }
    assert (ROOT / "requirements.txt").read_text() == "httptools==0.9.0\n"


@pytest.mark.parametrize("admin", [False, True])
def test_run_opens_what_it_did(tmp_path: Path, admin: bool) -> None:
    path = write_configuration(tmp_path, known=listing(), **({"admin": "127.0.0.1:0"} if admin else {}))
    before = {p.name for p in tmp_path.iterdir()}
    with program(path, TMPDIR=str(tmp_path)) as process:
        listening: set[str] = set()
        while len(listening) < 1 + admin:
            assert process.poll() is None
            kinds, listening = descriptors(process.pid)
        assert len(listening) == 1 + admin
        # the loop's own: an epoll, and the pair of sockets that signals wake it by
        assert kinds.count("anon_inode") == 1
        assert kinds.count("unix") == 2
        assert kinds.count("file") == 0
    assert {p.name for p in tmp_path.iterdir()} == before


def descriptors(pid: int) -> tuple[list[str], set[str]]:
    """What each descriptor above the three usual ones is, and which TCP sockets listen."""
    inodes = {}
    for table in ("tcp", "unix"):
        lines = Path(f"/proc/{pid}/net/{table}").read_text().splitlines()[1:]
        for line in lines:
            words = line.split()
            if table == "tcp":
                inodes[words[9]] = "listening" if words[3] == "0A" else "tcp"
            else:
                inodes[words[6]] = "unix"
    kinds = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = str(link.readlink())
        except FileNotFoundError:
            continue
        if int(link.name) <= 2:
            continue
        if target.startswith("socket:"):
            kinds.append(inodes.get(target[8:-1], "unix") + target[8:-1])
        else:
            kinds.append("anon_inode" if target.startswith("anon_inode") else "file")
    plain = ["unix" if k.startswith("unix") else k for k in kinds]
    return plain, {k for k in kinds if k.startswith("listening")}
