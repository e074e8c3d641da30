"""The command `garnetusher`. Each group of commands is imported only when it is called."""

from __future__ import annotations

import importlib
import sys

import typer
from typer.exceptions import Abort, Exit, TyperException

from garnetusher import cli

GROUPS = {
    "lab": ("garnetusher.lab.commands", "Experiments on real processes, with faults between them."),
    "model": ("garnetusher.cli.virtual", "The same experiments in virtual time, with the real decisions."),
    "zones": ("garnetusher.cli.zones", "What a sidecar believes of each zone; leave one, or return to it."),
    "members": ("garnetusher.cli.members", "Whom a process holds for present, and whether the others agree."),
    "config": ("garnetusher.cli.files", "Check files without running anything."),
}


def application(called: str) -> typer.Typer:
    """The whole command; of the groups only the one called is more than its name."""
    app = typer.Typer(
        name="garnetusher",
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        epilog="Example: garnetusher lab run experiments/calm.toml",
        help="A fleet of sidecars through failures: run it, break it, see what holds.",
    )
    for name, (module, text) in GROUPS.items():
        group = importlib.import_module(module).app if name == called else typer.Typer()
        if name != called:
            group.callback(invoke_without_command=True)(_nothing)
        app.add_typer(group, name=name, help=text)
    return app


def _nothing() -> None:
    """Stands for a group that was not called."""


def main() -> int:
    """Run the command line; see garnetusher.cli for what the status says."""
    words = [word for word in sys.argv[1:] if not word.startswith("-")]
    try:
        status = application(words[0] if words else "")(prog_name="garnetusher", standalone_mode=False)
    except Exit as error:
        status = error.exit_code
    except Abort:
        status = cli.NOT_HELD
    except TyperException as error:
        text = error.format_message()
        helped = text.startswith("Usage:")  # called with nothing: the help page, as it stands
        print(text if helped else f"garnetusher: {' '.join(text.split())}", file=sys.stderr)
        status = cli.WRONG
    except KeyboardInterrupt:
        print("garnetusher: stopped; nothing was left running", file=sys.stderr)
        status = cli.NOT_HELD
    return int(status or 0)


if __name__ == "__main__":
    sys.exit(main())
