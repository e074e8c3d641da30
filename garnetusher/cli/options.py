"""Arguments and options that several commands declare."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

ExperimentFile = Annotated[Path, typer.Argument(help="The experiment, in TOML.")]
JsonFlag = Annotated[bool, typer.Option("--json", help="Print one JSON document on standard output.")]
