"""Tests of peers that offer or announce a change of the protocol, which the parser reports by an error of its own."""

from __future__ import annotations

from logging import ERROR

import pytest

from garnetusher.sidecar.requests.trace import EventName
from tests.net import OK, Upstream, request, respond_with, sidecar, until
from tests.runner import run, status
from tests.test_trace import wait_for_reason, watch_reasons
from tests.watch_harness import WatcherHarness

SWITCHING = b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
UPGRADE = "Connection: Upgrade\r\nUpgrade: h2c\r\n"


def assert_no_error_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Check the log of the sidecar, and that of the event loop about its connections."""
    messages = [
        (record.name.split(".")[0], record.getMessage()) for record in caplog.records if record.levelno >= ERROR
    ]
    assert [text for name, text in messages if name == "garnetusher" or text.startswith("Fatal error")] == []


@pytest.mark.parametrize("rest", [b"", b"noise"])
def test_watch_is_opened_again_when_discovery_changes_the_protocol(rest: bytes) -> None:
    # Guards against an error of the parser that nobody catches and that leaves the end of the watch to the event loop.
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        first = harness.watch()
        first.data_received(SWITCHING + rest)
        assert watch_reasons(harness).endswith("error response, waiting to reconnect")
        await until(lambda: harness.watcher.watch is not None)
        assert harness.watch() is not first
        harness.stop()

    run(test)


def test_attempt_fails_without_a_logged_error_when_an_upstream_changes_the_protocol(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(SWITCHING, OK)), max_attempts=1) as running:
            assert status(await running.send_request(request("pay", body=b"b"))) == 500
            assert "malformed response" in await wait_for_reason(
                running, EventName.UPSTREAM_CLOSE, "malformed response"
            )
            assert status(await running.send_request(request())) == 200

    run(test)
    assert_no_error_is_logged(caplog)


def test_operator_gets_an_answer_without_a_logged_error_when_the_call_offers_a_change_of_the_protocol(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            call = f"GET /_ready HTTP/1.1\r\nHost: x\r\n{UPGRADE}\r\n".encode()
            assert status(await running.send_request(call, running.admin_port)) == 200

    run(test)
    assert_no_error_is_logged(caplog)
