"""The command line `garnetusher`, which imports a group of commands only when that group is called."""

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
        name: the name of the group on the command line.
        module: the module whose `app` is the Typer application of the group.
        summary: the line that describes the group in the help.
    """

    name: str
    module: str
    summary: str


GROUPS = (
    CommandGroup("lab", "garnetusher.lab.commands", "Run experiments with injected faults on real processes."),
    CommandGroup(
        "model",
        "garnetusher.cli.model_commands",
        "Run the same experiments as `lab` in virtual time, with the policy that sidecars use.",
    ),
    CommandGroup(
        "zones", "garnetusher.cli.zones", "Show the state of each zone at a sidecar; evacuate or restore a zone."
    ),
    CommandGroup(
        "members",
        "garnetusher.cli.members",
        "Show the members of the fleet with their states, as a process sees them, and whether others disagree.",
    ),
    CommandGroup(
        "trace",
        "garnetusher.cli.trace",
        "Show the way of a request through a sidecar, or its latest transitions and closed connections.",
    ),
    CommandGroup("config", "garnetusher.cli.config_commands", "Check experiment files without running them."),
)


def application(called_group: str) -> typer.Typer:
    """Build the application; import only the group that is called and list the others by name and summary.

    Args:
        called_group: the name of a group; any other text imports no group.
    """
    app = typer.Typer(
        name=PROGRAM,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        epilog="Example: garnetusher lab run experiments/calm.toml",
        help="Run a fleet of sidecars, inject faults, and check which expectations and rules hold.",
    )
    for group in GROUPS:
        commands = importlib.import_module(group.module).app if group.name == called_group else _placeholder()
        app.add_typer(commands, name=group.name, help=group.summary)
    return app


def _placeholder() -> typer.Typer:
    """Return an application without commands for a group that is not called."""
    group = typer.Typer()
    group.callback(invoke_without_command=True)(_do_nothing)
    return group


def _do_nothing() -> None:
    pass


def main() -> int:
    """Run the command line.

    Returns:
        The exit status, as `garnetusher.cli.ExitStatus` defines it.
    """
    # The first argument that is not an option is the name of the group; no option before it takes a value.
    arguments = [argument for argument in sys.argv[1:] if not argument.startswith("-")]
    try:
        status = application(arguments[0] if arguments else "")(prog_name=PROGRAM, standalone_mode=False)
    except Exit as error:
        status = error.exit_code
    except Abort:
        status = ExitStatus.FAILURE
    except CommandError as error:
        status = _report_error(str(error), error.status)
    except TyperException as error:
        status = _report_usage_error(error.format_message())
    except KeyboardInterrupt:
        status = _report_error("stopped; nothing was left running", ExitStatus.FAILURE)
    return int(status or ExitStatus.SUCCESS)


def _report_error(message: str, status: ExitStatus) -> ExitStatus:
    print(f"{PROGRAM}: {message}", file=sys.stderr)
    return status


def _report_usage_error(message: str) -> ExitStatus:
    """Print a message of Typer on one line; print the help page of a call without arguments unchanged."""
    if message.startswith("Usage:"):
        print(message, file=sys.stderr)
        return ExitStatus.USAGE_ERROR
    return _report_error(" ".join(message.split()), ExitStatus.USAGE_ERROR)


if __name__ == "__main__":
    sys.exit(main())
