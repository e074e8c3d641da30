"""What all commands share: one clear line for a wrong call, progress on a terminal, JSON where it is asked for."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NoReturn

import msgspec
import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

HELD, NOT_HELD, WRONG = 0, 1, 2  # exit status: all held; something did not; the call or a file is wrong

console = Console(stderr=True, highlight=False)


def fail(text: str, status: int = WRONG) -> NoReturn:
    """End with this text on standard error: one line, unless it quotes a process's last lines."""
    print(f"garnetusher: {text}", file=sys.stderr)
    raise typer.Exit(status)


def say(text: str) -> None:
    """A line for people."""
    print(text, flush=True)


def say_json(document: object) -> None:
    """The one JSON document of a call with `--json`."""
    sys.stdout.buffer.write(msgspec.json.encode(document) + b"\n")
    sys.stdout.flush()


@contextmanager
def progress(title: str) -> Iterator[Callable[[str, float], None]]:
    """A bar on a terminal, nothing in a pipe. Call it with what is being done and the part that is over."""
    if not sys.stderr.isatty():
        yield lambda what, part: None
        return
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:3.0f}%"),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console, transient=True) as bar:
        task = bar.add_task(title, total=1.0)
        yield lambda what, part: bar.update(task, description=f"{title}: {what}", completed=part)
