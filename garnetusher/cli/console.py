"""Output of commands: lines or one JSON document on standard output, progress on a terminal."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import rich.progress
from rich.console import Console
from rich.progress import BarColumn, TextColumn, TimeElapsedColumn

Progress = Callable[[str, float], None]
"""Called with what is being done and the share, from 0 to 1, that is complete."""

_error_console = Console(stderr=True, highlight=False)


def say(text: str) -> None:
    """Print text for people on standard output."""
    print(text, flush=True)


def say_json(document: object) -> None:
    """Print the one JSON document of a call with `--json`."""
    sys.stdout.buffer.write(msgspec.json.encode(document) + b"\n")
    sys.stdout.flush()


@contextmanager
def progress(title: str) -> Iterator[Progress]:
    """Show a progress bar on a terminal, and nothing in a pipe.

    Args:
        title: what the command does, in front of the bar.

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
    with rich.progress.Progress(*columns, console=_error_console, transient=True) as bar:
        task = bar.add_task(title, total=1.0)

        def update(activity: str, share: float) -> None:
            bar.update(task, description=f"{title}: {activity}", completed=share)

        yield update


def _ignore_progress(activity: str, share: float) -> None:
    pass
