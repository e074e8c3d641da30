"""Checks of command-line arguments; a failed check ends the command with a message of one line."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from garnetusher import config
from garnetusher.cli.errors import fail
from garnetusher.errors import GarnetusherError
from garnetusher.model import experiment
from garnetusher.model.experiment import Experiment


class SeedRangeError(GarnetusherError, ValueError):
    """A range of seeds does not have the form `A:B` with A at most B."""

    def __init__(self, text: str) -> None:
        super().__init__(f"expected A:B, as in 1:20, got {text!r}")


def parse_seed_range(text: str) -> range:
    """Parse `A:B` as the seeds from A to B, both included.

    Raises:
        SeedRangeError: the text has another form.
    """
    first, colon, last = text.partition(":")
    if not colon or not first.isdecimal() or not last.isdecimal() or int(first) > int(last):
        raise SeedRangeError(text)
    return range(int(first), int(last) + 1)


def seeds_or_fail(text: str) -> range:
    """Parse the value of `--seeds`.

    Raises:
        CommandError: the value is not a range of seeds.
    """
    try:
        return parse_seed_range(text)
    except SeedRangeError as error:
        fail(f"--seeds: {error}")


def experiment_or_fail(file: Path) -> Experiment:
    """Read an experiment file.

    Raises:
        CommandError: the file cannot be read or is invalid.
    """
    try:
        return experiment.load(file)
    except config.FileError as error:
        fail(str(error))


def require_choice(value: str, choices: Iterable[str], option: str = "") -> None:
    """Check that a value is one of the choices.

    Args:
        value: the value given.
        choices: the values allowed.
        option: the option that has the value; empty for a positional argument.

    Raises:
        CommandError: the value is not one of the choices.
    """
    allowed = list(choices)
    if value not in allowed:
        fail(f"{option} {value}".lstrip() + f": expected one of {', '.join(allowed)}")
