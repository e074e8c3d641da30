"""`garnetusher config`: files checked without running anything."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from msgspec import Struct

from garnetusher import cli, config
from garnetusher.cli.options import JsonFlag
from garnetusher.model import experiment

app = typer.Typer(no_args_is_help=True, help="Check files without running anything.")


class ValidFile(Struct):
    """The JSON document for a file that is in order."""

    file: str
    ok: bool
    name: str


class InvalidFile(Struct):
    """The JSON document for a file that is not."""

    file: str
    ok: bool
    why: str


@app.callback()
def config_group() -> None:
    """Check files without running anything."""


@app.command(epilog="Example: garnetusher config check experiments/calm.toml")
def check(file: Annotated[Path, typer.Argument(help="An experiment, in TOML.")], *, as_json: JsonFlag = False) -> None:
    """Say whether a file holds; if not, which key, where, and what was expected."""
    try:
        checked = experiment.load(file)
    except config.FileError as error:
        if as_json:
            cli.say_json(InvalidFile(str(file), ok=False, why=str(error)))
        cli.fail(str(error))
    if as_json:
        cli.say_json(ValidFile(str(file), ok=True, name=checked.name))
    else:
        cli.say(
            f"{file}: experiment {checked.name}, {sum(checked.upstreams.per_zone.values())} upstreams, "
            f"{sum(checked.sidecars.per_zone.values())} sidecars, {len(checked.faults)} faults: good"
        )
