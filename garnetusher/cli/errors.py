"""Exit statuses of commands, and the error that ends a command with a message and an exit status."""

from __future__ import annotations

import enum
from typing import NoReturn

import typer

from garnetusher.errors import GarnetusherError


class ExitStatus(enum.IntEnum):
    """The exit statuses of every command."""

    SUCCESS = 0  # every expectation and rule holds
    FAILURE = 1  # an expectation or rule does not hold, a process cannot be reached, or the user interrupts
    USAGE_ERROR = 2  # an argument or a file is invalid


class CommandError(GarnetusherError):
    """A command cannot continue.

    Attributes:
        status: the exit status of the process.
    """

    def __init__(self, message: str, status: ExitStatus) -> None:
        super().__init__(message)
        self.status = status


def fail(message: str, status: ExitStatus = ExitStatus.USAGE_ERROR) -> NoReturn:
    """End the command with an error message.

    Args:
        message: the text for standard error; one line, unless it quotes the last output lines of a process.
        status: the exit status.

    Raises:
        CommandError: always.
    """
    raise CommandError(message, status)


def finish(*, held: bool) -> NoReturn:
    """End a command that has printed its output; the exit status says whether all expectations and rules hold.

    Raises:
        typer.Exit: always.
    """
    raise typer.Exit(ExitStatus.SUCCESS if held else ExitStatus.FAILURE)
