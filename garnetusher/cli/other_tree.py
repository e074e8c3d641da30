"""Runs the same command with the policy of another checkout instead of the policy of this one."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import garnetusher
from garnetusher.cli.errors import fail

TREE_OPTION = "--tree"
MAIN_CODE = "import sys; from garnetusher.__main__ import main; sys.exit(main())"
POLICY_PATH = Path("garnetusher", "policy")


def run_command(tree: Path, arguments: Sequence[str]) -> int:
    """Run `garnetusher` with the policy of a checkout in a child process.

    A checkout that has the command but no `garnetusher.policy` is older, and its policy has another interface. The
    function then runs the command of that checkout instead.

    Args:
        tree: the checkout.
        arguments: the arguments of the command line; `--tree` and its value are removed.

    Returns:
        The exit status.

    Raises:
        CommandError: the checkout has no policy.
    """
    tree = tree.resolve()
    remaining = _without_tree_option(arguments)
    if not (tree / POLICY_PATH).is_dir() and (tree / "garnetusher" / "__main__.py").is_file():
        return _run(tree, remaining)
    if not (tree / POLICY_PATH / "balancer.py").is_file():
        fail(f"{TREE_OPTION} {tree}: expected a checkout with {POLICY_PATH / 'balancer.py'}")
    with tempfile.TemporaryDirectory() as folder:
        _link_package(Path(folder), tree / POLICY_PATH)
        return _run(Path(folder), remaining)


def _without_tree_option(arguments: Sequence[str]) -> list[str]:
    remaining = []
    iterator = iter(arguments)
    for argument in iterator:
        if argument == TREE_OPTION:
            next(iterator, None)  # skips the value of the option
        elif not argument.startswith(f"{TREE_OPTION}="):
            remaining.append(argument)
    return remaining


def _link_package(folder: Path, policy: Path) -> None:
    """Create a package `garnetusher` that links to this package, except that `policy` links to the other checkout."""
    package = folder / "garnetusher"
    package.mkdir()
    for entry in Path(garnetusher.__file__).resolve().parent.iterdir():
        (package / entry.name).symlink_to(policy if entry.name == POLICY_PATH.name else entry)


def _run(python_path: Path, arguments: Sequence[str]) -> int:
    environment = os.environ | {"PYTHONPATH": str(python_path)}
    # `-P` keeps the current folder, which may contain another `garnetusher`, out of the import path.
    return subprocess.call([sys.executable, "-P", "-c", MAIN_CODE, *arguments], env=environment)
