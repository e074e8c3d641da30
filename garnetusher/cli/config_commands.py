"""`garnetusher config`: checks experiment files without running them."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from msgspec import Struct

from garnetusher import cli, config
from garnetusher.cli.options import JsonFlag
from garnetusher.model import experiment

app = typer.Typer(no_args_is_help=True, help="Check experiment files without running them.")


class ValidFile(Struct):
    """The JSON document for a valid file."""

    file: str
    ok: bool
    name: str


class InvalidFile(Struct):
    """The JSON document for an invalid file."""

    file: str
    ok: bool
    why: str


@app.callback()
def config_group() -> None:
    """Check experiment files without running them."""


@app.command(epilog="Example: garnetusher config check experiments/calm.toml")
def check(file: Annotated[Path, typer.Argument(help="The experiment, in TOML.")], *, as_json: JsonFlag = False) -> None:
    """Report whether an experiment file is valid; if not, name the invalid key and the expected value."""
    try:
        loaded = experiment.load(file)
    except config.FileError as error:
        if as_json:
            cli.say_json(InvalidFile(str(file), ok=False, why=str(error)))
        cli.fail(str(error))
    if as_json:
        cli.say_json(ValidFile(str(file), ok=True, name=loaded.name))
    else:
        cli.say(
            f"{file}: experiment {loaded.name}, {sum(loaded.upstreams.per_zone.values())} upstreams, "
            f"{sum(loaded.sidecars.per_zone.values())} sidecars, {len(loaded.faults)} faults: valid"
        )
