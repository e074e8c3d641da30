"""Output of commands: lines or one JSON document on standard output, and a progress bar on a terminal."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import rich.progress
from rich.console import Console
from rich.progress import BarColumn, TextColumn, TimeElapsedColumn

Progress = Callable[[str, float], None]
"""A function that receives the current activity and the completed share, from 0 to 1."""

_stderr_console = Console(stderr=True, highlight=False)


def say(text: str) -> None:
    """Print human-readable text on standard output."""
    print(text, flush=True)


def say_json(document: object) -> None:
    """Print the JSON document of a command that is called with `--json`."""
    sys.stdout.buffer.write(msgspec.json.encode(document) + b"\n")
    sys.stdout.flush()


@contextmanager
def progress(title: str) -> Iterator[Progress]:
    """Show a progress bar if standard error is a terminal.

    Args:
        title: the text in front of the bar, which says what the command does.

    Yields:
        A function that updates the bar.
    """
    if not sys.stderr.isatty():
        yield _ignore_progress
        return
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:3.0f}%"),
        TimeElapsedColumn(),
    )
    with rich.progress.Progress(*columns, console=_stderr_console, transient=True) as bar:
        task = bar.add_task(title, total=1.0)

        def update(activity: str, share: float) -> None:
            """Show an activity and the completed share, from 0 to 1."""
            bar.update(task, description=f"{title}: {activity}", completed=share)

        yield update


def _ignore_progress(activity: str, share: float) -> None:
    pass
