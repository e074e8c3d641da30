"""Runs the tests that KNOWN-RED.txt lists as strict expected failures, and prints them at the end."""

from __future__ import annotations

import pytest

from tests import known_red

REDS = pytest.StashKey[list[known_red.KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[REDS] = known_red.read(config.rootpath / "KNOWN-RED.txt")
    except known_red.KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = config.stash[REDS]
    whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    strangers = known_red.unknown(reds, [item.nodeid for item in items])
    if strangers and whole_run:
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {strangers[0].test}")
    for item in items:
        for red in reds:
            if red.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in config.stash[REDS]:
        terminalreporter.write_line(f"KNOWN RED {red.test}: {red.cause} ({red.issue})")
