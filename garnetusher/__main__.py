"""The command `garnetusher`. Each group of commands is imported only when it is called."""

from __future__ import annotations

import importlib
import sys
from dataclasses import dataclass

import typer
from typer.exceptions import Abort, Exit, TyperException

from garnetusher.cli import CommandError, ExitStatus

PROGRAM = "garnetusher"


@dataclass(frozen=True, slots=True)
class CommandGroup:
    """A group of commands.

    Attributes:
        name: its word on the command line.
        module: what has its Typer application, as `app`.
        summary: its line in the help.
    """

    name: str
    module: str
    summary: str


GROUPS = (
    CommandGroup("lab", "garnetusher.lab.commands", "Experiments on real processes, with faults between them."),
    CommandGroup(
        "model",
        "garnetusher.cli.model_commands",
        "The same experiments in virtual time, with the real decisions.",
    ),
    CommandGroup("zones", "garnetusher.cli.zones", "What a sidecar believes of each zone; leave one, or return to it."),
    CommandGroup(
        "members",
        "garnetusher.cli.members",
        "Whom a process holds for present, and whether the others agree.",
    ),
    CommandGroup("config", "garnetusher.cli.config_commands", "Check files without running anything."),
)


def application(called_group: str) -> typer.Typer:
    """Build the whole command; only the group called is imported, the others are only names in the help.

    Args:
        called_group: the name of a group; any other word for none.
    """
    app = typer.Typer(
        name=PROGRAM,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        epilog="Example: garnetusher lab run experiments/calm.toml",
        help="A fleet of sidecars through failures: run it, break it, see what holds.",
    )
    for group in GROUPS:
        commands = importlib.import_module(group.module).app if group.name == called_group else _placeholder()
        app.add_typer(commands, name=group.name, help=group.summary)
    return app


def _placeholder() -> typer.Typer:
    """Stand for a group that is not called."""
    group = typer.Typer()
    group.callback(invoke_without_command=True)(_do_nothing)
    return group


def _do_nothing() -> None:
    pass


def main() -> int:
    """Run the command line.

    Returns:
        The exit status; see `garnetusher.cli.ExitStatus`.
    """
    words = [word for word in sys.argv[1:] if not word.startswith("-")]
    try:
        status = application(words[0] if words else "")(prog_name=PROGRAM, standalone_mode=False)
    except Exit as error:
        status = error.exit_code
    except Abort:
        status = ExitStatus.NOT_HELD
    except CommandError as error:
        status = _report(str(error), error.status)
    except TyperException as error:
        status = _report_wrong_call(error.format_message())
    except KeyboardInterrupt:
        status = _report("stopped; nothing was left running", ExitStatus.NOT_HELD)
    return int(status or ExitStatus.HELD)


def _report(message: str, status: ExitStatus) -> ExitStatus:
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    return status


def _report_wrong_call(message: str) -> ExitStatus:
    """Print Typer's message in one line; the help page, for a call without arguments, as it stands."""
    if message.startswith("Usage:"):
        print(message, file=sys.stderr)
        return ExitStatus.WRONG_CALL
    return _report(" ".join(message.split()), ExitStatus.WRONG_CALL)


if __name__ == "__main__":
    sys.exit(main())
