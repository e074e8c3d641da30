"""Runs the tests that KNOWN-RED.txt lists as strict expected failures, and prints them at the end; and fails a test in
which the sidecar's gate counts a violation."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests import known_red

REDS = pytest.StashKey[list[known_red.KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", "violates: the test asks the gate for what breaks a rule")
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


@pytest.fixture(autouse=True)
def no_violations(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Of a sidecar in this process; those of other processes are in their logs."""
    from garnetusher.sidecar.requests.trace import Trace  # noqa: PLC0415 - the copy of this file in the test of the list has no sidecar

    found: list[str] = []
    violated = Trace.record_violation

    def noted(self: Trace, rule: str, ident: int, attempt: int = -1, upstream: int = -1) -> None:
        found.append(rule)
        violated(self, rule, ident, attempt, upstream)

    monkeypatch.setattr(Trace, "record_violation", noted)
    yield
    assert bool(found) == (request.node.get_closest_marker("violates") is not None), found
