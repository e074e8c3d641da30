"""The trace of states: transitions and closed connections with their reasons, and the page that documents the names."""

from __future__ import annotations

import asyncio
import enum
import json
import re
from collections.abc import Iterable
from typing import Any, cast

import pytest

from garnetusher.policy.events import Outcome
from garnetusher.sidecar import shutdown
from garnetusher.sidecar.discovery.endpoint_list import BATCH_SIZE
from garnetusher.sidecar.requests.messages import Denial, Disposition
from garnetusher.sidecar.requests.trace import STATE_TRACE_CAPACITY, TRACE_CAPACITY, EventName, Trace
from garnetusher.sidecar.transitions import LifecycleTransition, WatchTransition
from tests.experiment import ROOT
from tests.fake_loop import FakeEventLoop
from tests.net import OK, Sidecar, Upstream, entry, listing, never_respond, request, respond_with, sidecar, until
from tests.runner import run
from tests.test_interleaving_watch import RESPONSE_HEAD, WatcherHarness, chunk, lines

DOCUMENTED: dict[str, Iterable[str]] = {
    "Kinds: `what`": EventName,
    "Denials: `denied`": Denial.__members__,
    "Outcomes: `ended`": [outcome.value for outcome in Outcome],
    "Dispositions: `answered`": [disposition.value for disposition in Disposition],
    "Watch of the endpoint list: `watch`": WatchTransition,
    "Process: `lifecycle`": LifecycleTransition,
}


async def trace_of(running: Sidecar) -> list[dict[str, Any]]:
    """Return the events that the admin address reports."""
    _, body = await running.send_request(b"GET /_trace HTTP/1.1\r\n\r\n", running.admin_port)
    return [json.loads(line) for line in body.decode().splitlines() if line]


async def reasons(running: Sidecar, name: EventName) -> list[str]:
    """Return the reasons of the events of one kind."""
    return [event["reason"] for event in await trace_of(running) if event["what"] == name]


async def wait_for_reason(running: Sidecar, name: EventName, reason: enum.StrEnum) -> None:
    """Wait until an event of this kind has this reason."""
    async with asyncio.timeout(10):
        while reason.value not in await reasons(running, name):  # noqa: ASYNC110 - no event reports new trace events
            await asyncio.sleep(0.01)


def test_page_documents_exactly_the_names_of_each_enum() -> None:
    page = (ROOT / "docs" / "on-call" / "trace.md").read_text()
    sections = dict(part.split("\n", 1) for part in page.split("\n## ")[1:])
    documented = {
        title: re.findall(r"^\| `([^`]+)` \| [^|]+ \| [^|]+ \|$", text, re.M) for title, text in sections.items()
    }
    assert documented == {title: [str(name) for name in names] for title, names in DOCUMENTED.items()}


def test_trace_keeps_both_rings_apart_and_merges_them_by_time() -> None:
    trace = Trace()
    for number in range(1, 2 * STATE_TRACE_CAPACITY):
        trace.record_state(EventName.WATCH, WatchTransition.CURRENT)
        trace.record_event(EventName.RECEIVED, number)
    events = trace.all_events()
    assert len(events) == TRACE_CAPACITY + STATE_TRACE_CAPACITY
    assert [event.at_us for event in events] == sorted(event.at_us for event in events)
    assert set(trace.state_events[0].to_dict()) == {"at_us", "what", "reason"}


def watch_reasons(harness: WatcherHarness) -> list[str]:
    return [event.reason for event in harness.watcher._trace.state_events]


def test_watch_records_its_states_from_the_connection_to_a_current_list() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD + chunk(b"\n"))
        for revision in (2, 3):
            harness.watch().data_received(chunk(lines(listing(entry("u0", 1), rev=revision))) + chunk(b"\n"))
        harness.watch().data_received(chunk(lines(listing(*(entry(f"n{n}", 1) for n in range(3 * BATCH_SIZE)), rev=4))))
        await until(lambda: not harness.watcher.pending_steps)
        harness.watcher.change_address(("127.0.0.1", 2))
        harness.watcher.watch_endpoints(False)
        assert watch_reasons(harness) == [
            "connecting",
            "awaiting response",
            "streaming",
            "current",
            "applying a long list",
            "current",
            "address changed",
            "connecting",
            "stopped",
        ]

    run(test)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (None, WatchTransition.CONNECTION_LOST),
        (RESPONSE_HEAD + b"0\r\n\r\n", WatchTransition.RESPONSE_ENDED),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", WatchTransition.ERROR_RESPONSE),
        (RESPONSE_HEAD + chunk(b"[]\n"), WatchTransition.MALFORMED),
    ],
)
@pytest.mark.parametrize("permanently", [True, False])
def test_watch_records_why_it_broke_and_who_opens_the_next(
    data: bytes | None, expected: WatchTransition, permanently: bool
) -> None:
    async def test() -> None:
        harness = WatcherHarness()
        if permanently:
            harness.watcher.watch_permanently()
        else:
            harness.watcher.watch_endpoints(True)
        harness.connect()
        if data is None:
            harness.watch().connection_lost(ConnectionResetError())
        else:
            harness.watch().data_received(data)
        next_step = WatchTransition.RETRY_WAITING if permanently else WatchTransition.POLICY_WAITING
        assert watch_reasons(harness)[-2:] == [expected, next_step]
        harness.stop()

    run(test)


def test_watch_records_silence_missing_responses_and_failed_connects() -> None:
    async def test() -> None:
        harness, loop = WatcherHarness(), FakeEventLoop()
        real_loop, harness.watcher.loop = harness.watcher.loop, cast(asyncio.AbstractEventLoop, loop)
        harness.watcher.watch_permanently()
        harness.connect()
        harness.watch().data_received(RESPONSE_HEAD)
        loop.advance(6.0)  # silence for 3 s, and then no connection for 2.5 s
        assert [reason for reason in watch_reasons(harness) if reason not in ("connecting", "awaiting response")] == [
            "streaming",
            "silent",
            "waiting to reconnect",
            "no response",
            "waiting to reconnect",
        ]
        harness.watcher.loop = real_loop
        harness.watcher.watch_endpoints(True)  # nothing listens at this address
        await until(lambda: watch_reasons(harness)[-2:] == ["connect failed", "waiting to reconnect"])
        harness.stop()

    run(test)


def test_lifecycle_is_traced_from_the_start_to_the_rejection_of_incomplete_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shutdown, "MAX_DEADLINE_S", 1.0)

    async def test() -> None:
        async with sidecar(Upstream(never_respond)) as running:
            await running.call_admin("POST", "/_lameduck/on")
            await running.call_admin("POST", "/_lameduck/off")
            _, writer = await running.connect()
            writer.write(request())  # keeps the process from exiting
            running.stop.set()
            await wait_for_reason(running, EventName.LIFECYCLE, LifecycleTransition.REJECTING_INCOMPLETE)
            assert await reasons(running, EventName.LIFECYCLE) == [
                "starting",
                "serving",
                "draining",
                "serving",
                "stopping",
                "closed",
                "rejecting incomplete requests",
            ]
            writer.close()

    run(test)


def test_admin_reports_state_events_between_the_requests_and_not_with_one_of_them() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            await running.send_request(request(request_id="mine"))
            await running.call_admin("POST", "/_lameduck/on")
            names = [event["what"] for event in await trace_of(running)]
            assert names[0] == "lifecycle"
            assert names.index("answered") < len(names) - 1 - names[::-1].index("lifecycle")
            _, body = await running.send_request(b"GET /_trace?request=mine HTTP/1.1\r\n\r\n", running.admin_port)
            assert [json.loads(line)["what"] for line in body.splitlines()] == [
                "taken",
                "chosen",
                "written",
                "ended",
                "answered",
            ]

    run(test)
