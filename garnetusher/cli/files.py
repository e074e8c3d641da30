"""`garnetusher config`: files checked without running anything."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from garnetusher import cli, config
from garnetusher.model import experiment

app = typer.Typer(no_args_is_help=True, help="Check files without running anything.")


@app.callback()
def files() -> None:
    """Check files without running anything."""


@app.command(epilog="Example: garnetusher config check experiments/calm.toml")
def check(
    file: Annotated[Path, typer.Argument(help="An experiment, in TOML.")],
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Say whether a file holds; if not, which key, where, and what was expected."""
    try:
        found = experiment.load(file)
    except config.FileError as error:
        if json:
            cli.say_json({"file": str(file), "ok": False, "why": str(error)})
        cli.fail(str(error))
    if json:
        cli.say_json({"file": str(file), "ok": True, "name": found.name})
    else:
        cli.say(
            f"{file}: experiment {found.name}, {sum(found.upstreams.per_zone.values())} upstreams, "
            f"{sum(found.sidecars.per_zone.values())} sidecars, {len(found.faults)} faults: good"
        )
