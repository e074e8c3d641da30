"""The same call with the decisions of another checkout: its `garnetusher.policy` in place of this one."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import garnetusher
from garnetusher import cli

CALL = "import sys; from garnetusher.__main__ import main; sys.exit(main())"
POLICY = Path("garnetusher", "policy")


def call(tree: Path, words: list[str]) -> int:
    """The status of `garnetusher` with these words, less `--tree`, in a process of its own.

    A tree that has the command but no `garnetusher.policy` is an older one, whose decisions have another interface: its
    whole command is run.
    """
    place = next(i for i, word in enumerate(words) if word == "--tree" or word.startswith("--tree="))
    rest = words[:place] + words[place + (2 if words[place] == "--tree" else 1) :]
    tree = tree.resolve()
    if not (tree / POLICY).is_dir() and (tree / "garnetusher" / "__main__.py").is_file():
        return _run([tree], rest)
    if not (tree / POLICY / "balancer.py").is_file():
        cli.fail(f"--tree {tree}: expected a checkout with {POLICY / 'balancer.py'}")
    with tempfile.TemporaryDirectory() as folder:
        overlay = Path(folder) / "garnetusher"
        overlay.mkdir()
        for part in Path(garnetusher.__file__).resolve().parent.iterdir():
            (overlay / part.name).symlink_to(tree / POLICY if part.name == POLICY.name else part)
        return _run([Path(folder)], rest)


def _run(paths: list[Path], words: list[str]) -> int:
    python_path = os.pathsep.join(map(str, paths))
    return subprocess.call([sys.executable, "-P", "-c", CALL, *words], env=os.environ | {"PYTHONPATH": python_path})
