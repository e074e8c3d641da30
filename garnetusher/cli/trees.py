"""The same call with the decisions of another checkout: its `glenkeel` in place of this one, and all else as it is."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

import garnetusher
from garnetusher import cli

CALL = "import sys; from garnetusher.__main__ import main; sys.exit(main())"


def call(tree: Path, words: list[str]) -> int:
    """The status of `garnetusher` with these words, less `--tree`, in a process of its own."""
    module = tree.resolve() / "glenkeel"
    if not (module / "balance.py").is_file():
        cli.fail(f"--tree {tree}: expected a checkout with glenkeel/balance.py")
    place = next(i for i, word in enumerate(words) if word == "--tree" or word.startswith("--tree="))
    rest = words[:place] + words[place + (2 if words[place] == "--tree" else 1):]
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "glenkeel").symlink_to(module)
        own = str(Path(garnetusher.__file__).resolve().parent.parent)
        return subprocess.call([sys.executable, "-P", "-c", CALL, *rest],
                               env=os.environ | {"PYTHONPATH": os.pathsep.join((folder, own))})
