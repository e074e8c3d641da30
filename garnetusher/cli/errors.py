"""How a command ends: its exit status, and the error that carries a message and a status to `garnetusher.__main__`."""

from __future__ import annotations

import enum
from typing import NoReturn

import typer

from garnetusher.errors import GarnetusherError


class ExitStatus(enum.IntEnum):
    """The exit statuses of every command."""

    HELD = 0  # every expectation and rule held
    NOT_HELD = 1  # an expectation or rule did not hold, or a process could not be reached
    WRONG_CALL = 2  # an argument or a file is wrong


class CommandError(GarnetusherError):
    """A command can't go on.

    Attributes:
        status: the exit status of the process.
    """

    def __init__(self, message: str, status: ExitStatus) -> None:
        super().__init__(message)
        self.status = status


def fail(message: str, status: ExitStatus = ExitStatus.WRONG_CALL) -> NoReturn:
    """End the command with an error message.

    Args:
        message: printed on standard error; one line, unless it quotes the last lines of a process.
        status: the exit status.

    Raises:
        CommandError: always.
    """
    raise CommandError(message, status)


def finish(*, held: bool) -> NoReturn:
    """End the command after its output, with the status that says whether everything held.

    Raises:
        typer.Exit: always.
    """
    raise typer.Exit(ExitStatus.HELD if held else ExitStatus.NOT_HELD)
