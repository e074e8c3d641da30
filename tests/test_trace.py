"""The trace of states: transitions and closed connections with their reasons, and the page that documents the names."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
from collections.abc import Iterable
from typing import Any

import pytest

from garnetusher.policy.actions import CloseIdleConnections
from garnetusher.policy.events import Endpoint, EndpointsUpdated, Outcome, UpdateKind
from garnetusher.policy.settings import Settings
from garnetusher.sidecar import closing_schedule, transitions
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.discovery.endpoint_list import BATCH_SIZE
from garnetusher.sidecar.downstream import request_reader, timeouts
from garnetusher.sidecar.downstream.timeouts import BODY_MEMORY_TIMEOUT_US
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.messages import Denial, Disposition
from garnetusher.sidecar.requests.trace import STATE_TRACE_CAPACITY, TRACE_CAPACITY, EventName, Trace
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.streaming import STALL_TIMEOUT_US
from garnetusher.sidecar.upstream import pool as pool_module
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.pool import ConnectionPool
from tests import net
from tests.downstream import NullTransport, new_connection
from tests.experiment import ROOT
from tests.net import OK, Sidecar, Upstream, attempt_at, entry, listing, read_message, request, sidecar, until
from tests.runner import run
from tests.streams import CHUNKED, LONG_BODY, FunctionUpstream, chunked, upload_request
from tests.watch_harness import RESPONSE_HEAD, FakeTransport, WatcherHarness, chunk, lines

CLIENT, UPSTREAM = EventName.CLIENT_CLOSE, EventName.UPSTREAM_CLOSE
HTTP_1_0 = request(extra="Connection: keep-alive\r\n").replace(b"HTTP/1.1", b"HTTP/1.0")
LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
DOCUMENTED: dict[str, Iterable[str]] = {
    "Kinds: `what`": EventName,
    "Denials: `denied`": Denial.__members__,
    "Outcomes: `ended`": [outcome.value for outcome in Outcome],
    "Dispositions: `answered`": [disposition.value for disposition in Disposition],
    "Late requests: `late after SIGTERM`": transitions.LateRequest,
    "Watch of the endpoint list: `watch`": transitions.WatchTransition,
    "Process: `lifecycle`": transitions.LifecycleTransition,
    "Client connections: `client connection closed`": transitions.ClientCloseReason,
    "Upstream connections: `upstream connection closed`": transitions.UpstreamCloseReason,
}


async def events_of(running: Sidecar, what: EventName) -> list[dict[str, Any]]:
    """Return the events of one kind that the admin address reports."""
    _, body = await running.send_request(b"GET /_trace HTTP/1.1\r\n\r\n", running.admin_port)
    return [event for event in map(json.loads, body.splitlines()) if event["what"] == what]


async def wait_for_reason(running: Sidecar, what: EventName, reason: str = "") -> list[str]:
    """Wait until an event of a kind has a reason, and return the reasons of this kind in their order."""
    async with asyncio.timeout(10):
        while True:
            reasons = [event.get("reason", "") for event in await events_of(running, what)]
            if reason in reasons:
                return reasons
            await asyncio.sleep(0.01)


def test_page_documents_exactly_the_names_of_each_enum() -> None:
    page = (ROOT / "docs" / "on-call" / "trace.md").read_text()
    sections = (section.split("\n", 1) for section in page.split("\n## ")[1:])
    documented = {title: re.findall(r"^\| `([^`]+)` \| [^|]+ \| [^|]+ \|$", text, re.M) for title, text in sections}
    assert documented == {title: [str(name) for name in names] for title, names in DOCUMENTED.items()}


def test_trace_keeps_a_ring_for_each_kind_and_merges_them_by_time() -> None:
    trace = Trace()
    trace.record_state(EventName.LIFECYCLE, transitions.LifecycleTransition.STARTING)
    for number in range(1, 2 * TRACE_CAPACITY):
        trace.record_state(CLIENT, transitions.ClientCloseReason.CLIENT_CLOSED)
        trace.record_event(EventName.RECEIVED, number)
    events = trace.all_events()
    assert len(events) == 1 + STATE_TRACE_CAPACITY + TRACE_CAPACITY
    assert events[0].name is EventName.LIFECYCLE
    assert [event.at_us for event in events] == sorted(event.at_us for event in events)
    assert set(events[0].to_dict()) == {"at_us", "what", "reason"}


def watch_reasons(harness: WatcherHarness) -> str:
    return ", ".join(event.reason for event in harness.watcher._trace.state_events)


def test_watch_records_its_states_from_the_connection_to_a_current_list() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD + chunk(b"\n"))
        for size in (1, 2, 3 * BATCH_SIZE):
            harness.watch().data_received(chunk(lines(listing(*(entry(f"n{n}", 1) for n in range(size)), rev=size))))
        await until(lambda: not harness.watcher.pending_steps)
        harness.watcher.change_address(("127.0.0.1", 2))
        harness.watcher.watch_endpoints(False)
        assert watch_reasons(harness) == (
            "connecting, awaiting response, streaming, current, applying a long list, current, "
            "address changed, connecting, stopped"
        )

    run(test)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", "connection lost"),
        (RESPONSE_HEAD + b"0\r\n\r\n", "response ended"),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "error response"),
        (RESPONSE_HEAD + chunk(b"[]\n"), "malformed data"),
    ],
)
def test_watch_records_why_it_broke_and_who_opens_the_next(data: bytes, expected: str) -> None:
    async def test() -> None:
        for permanently, next_step in ((True, "waiting to reconnect"), (False, "waiting for the policy")):
            harness = WatcherHarness()
            harness.watcher.watches_permanently = permanently
            harness.watcher.watch_endpoints(True)
            harness.connect()
            harness.watch().data_received(data) if data else harness.watch().connection_lost(ConnectionResetError())
            assert watch_reasons(harness).endswith(f", {expected}, {next_step}")
            harness.stop()

    run(test)


def test_lifecycle_and_the_closes_of_a_drain_and_a_shutdown_are_traced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing_schedule, "MAX_DEADLINE_S", 1.0)

    async def test() -> None:
        async with sidecar(Upstream(net.respond_with(OK, OK, b"HTTP/1.1 "))) as running:
            await running.call_admin("POST", "/_lameduck/on")
            await running.send_request(request())
            await running.call_admin("POST", "/_lameduck/off")
            (idle, idle_writer), (_, last_writer) = [await running.connect() for _ in range(2)]
            idle_writer.write(request())
            await read_message(idle)
            last_writer.write(request(request_id="last"))  # no response follows, which keeps the process from exiting
            await wait_for_reason(running, EventName.RECEIVED, "last")
            running.stop.set()
            assert (await wait_for_reason(running, CLIENT, "shutdown"))[-2:] == ["draining", "shutdown"]
            steps = await wait_for_reason(running, EventName.LIFECYCLE, "rejecting incomplete requests")
            assert ", ".join(steps[:-1]) == "starting, serving, draining, serving, stopping, closed"
            for writer in (idle_writer, last_writer):
                writer.close()

    run(test)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@pytest.mark.parametrize(
    ("what", "reason", "sent", "response"),
    [
        (CLIENT, "client closed", b"", OK),
        (CLIENT, "reset", b"GET /read HT", OK),
        (CLIENT, "client sends no more", request(), OK),
        (CLIENT, "client asked", request(extra="Connection: close\r\n"), OK),
        (CLIENT, "bad request", b"noise\r\n\r\n", OK),
        (CLIENT, "pipelined request", request() + request(), OK),
        (CLIENT, "no request", b"", OK),
        (CLIENT, "read timeout", b"GET /read HT", OK),
        (CLIENT, "response before the end of the body", upload_request(LONG_BODY)[:200_000], OK),
        (CLIENT, "response requires close", HTTP_1_0, CHUNKED + chunked(LONG_BODY, 9000) + b"0\r\n\r\n"),
        (CLIENT, "response incomplete", request(), CHUNKED + chunked(LONG_BODY, 9000)),
        (UPSTREAM, "upstream closed", request(), OK),
        (UPSTREAM, "reset", request(), b""),
        (UPSTREAM, "attempt abandoned", request(deadline_ms=300), b""),
        (UPSTREAM, "unrequested data", request(), OK + b"HTTP/1.1 408 Request Timeout\r\n"),
        (UPSTREAM, "response requires close", request(), OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")),
        (UPSTREAM, "malformed response", request(), b"noise\r\n\r\n"),
        (UPSTREAM, "response too large", request(), LONG_HEAD.replace(b"200000", b"999999999")),
        (UPSTREAM, "response before the end of the request", upload_request(LONG_BODY)[:200_000], OK),
        (UPSTREAM, "response stalled", request(), LONG_HEAD + b"x"),
        (UPSTREAM, "idle limit", request(), OK),
    ],
)
def test_close_of_a_connection_is_traced_once_with_its_reason(
    monkeypatch: pytest.MonkeyPatch, what: EventName, reason: str, sent: bytes, response: bytes
) -> None:
    monkeypatch.setattr(pool_module, "STALL_TIMEOUT_US", 300_000)
    monkeypatch.setattr(pool_module, "MAX_STALLED_RESPONSES", 0)
    if reason in ("no request", "read timeout"):
        monkeypatch.setattr(request_reader, "READ_TIMEOUT_US", 300_000)

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        if reason == "reset":
            reset(writer)
        while reason not in ("upstream closed", "response incomplete", "reset") and await reader.read(1 << 16):
            pass

    async def test() -> None:
        idle_timeout_us = 400_000 if reason == "idle limit" else 60_000_000
        async with sidecar(FunctionUpstream(handle), idle_timeout_us=idle_timeout_us, max_attempts=1) as running:
            await wait_for_reason(running, CLIENT, "client closed")  # the harness has connected and closed
            earlier, closes = len(await events_of(running, what)), list[dict[str, Any]]()
            reader, writer = await running.connect()
            writer.write(sent)
            if reason == "client sends no more":
                writer.write_eof()
            if what is CLIENT and reason in ("client closed", "reset"):
                await asyncio.sleep(0.05)  # the sidecar has read what was sent
                reset(writer) if reason == "reset" else writer.close()
            if what is CLIENT:
                await asyncio.gather(reader.read(), return_exceptions=True)
            while not closes:
                closes = (await events_of(running, what))[earlier:]
            writer.close()
            await asyncio.sleep(0.05)
            closes = (await events_of(running, what))[earlier:]
            assert [(event["reason"], "upstream" in event) for event in closes] == [(reason, what is UPSTREAM)]

    run(test)


class UnreadTransport(NullTransport):
    """A transport whose client has not read the last bytes."""

    def get_write_buffer_size(self) -> int:
        return 1000


def test_closes_at_the_limits_of_client_connections_are_traced(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        stalled = new_connection(UnreadTransport())
        crowded, waiting, late, failing = [new_connection() for _ in range(4)]
        connections = [stalled, crowded, waiting, late, failing]
        now_us = monotonic_us()
        stalled.check_timeouts(now_us)
        stalled.check_timeouts(now_us + STALL_TIMEOUT_US + 1)
        crowded.server._max_connections = 1
        crowded.server.add_connection(late)
        for _ in range(3):  # the iterations of the loop that read a pending request
            await asyncio.sleep(0)
        monkeypatch.setattr(timeouts, "must_respond_before_next_check", lambda each, now_us: each is late)
        for paused in (waiting, late):
            paused.server.body_memory.free = 0
            paused.data_received(upload_request(LONG_BODY)[:70_000])
            paused.check_timeouts(monotonic_us() + BODY_MEMORY_TIMEOUT_US + 1)
        monkeypatch.setattr(failing, "_read_request", None)
        failing.data_received(request())
        assert [[event.reason for event in each.server.trace.state_events] for each in connections] == [
            ["client does not read"],
            ["connection limit"],
            ["no memory for the body"],
            ["body not read in time"],
            ["internal error"],
        ]

    run(test)


def test_reused_connections_cause_no_state_events_until_their_endpoint_drains() -> None:
    async def test() -> None:
        upstream, discovery = Upstream(net.respond_with(OK)), net.Discovery()
        async with sidecar(upstream, discovery=discovery) as running:
            await discovery.wait_for_watch()
            reader, writer = await running.connect()
            for number in range(5):
                writer.write(request(request_id=str(number)))
                await read_message(reader)
            assert await events_of(running, UPSTREAM) == []
            assert len(await events_of(running, CLIENT)) == 1  # the connection of the harness
            discovery.send_update(listing(entry("u0", upstream.port, "leaving"), rev=2, full=False))
            assert await wait_for_reason(running, UPSTREAM, "endpoint removed") == ["endpoint removed"]
            writer.close()

    run(test)


def test_closes_that_the_pool_and_the_policy_decide_are_traced(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 10_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        dispatcher = RequestDispatcher(Settings(net.classes()), 1, pool, pool.trace)
        dispatcher.on_endpoints_updated(EndpointsUpdated(UpdateKind.SNAPSHOT, [Endpoint(7)]), {7: address})
        pool.endpoint_id_at = dispatcher.endpoint_id_at
        with ShortageTolerantSocket() as sock:
            unused, unsent, unwanted = (UpstreamConnection(pool, address, sock) for _ in range(3))
            pool.idle[address] = [unused]
            dispatcher._execute(CloseIdleConnections(7))
            for connection, unsent_size in ((unsent, 1 << 20), (unwanted, 0)):
                connection.connection_made(transport := FakeTransport())
                monkeypatch.setattr(transport, "get_write_buffer_size", lambda size=unsent_size: size)
                connection.send(attempt_at(pool, address, lambda result: None))
                connection.data_received(LONG_HEAD)  # no client waits for it
        closes = [(event.reason, event.endpoint_id) for event in pool.trace.state_events]
        assert closes == [("endpoint not in use", 7), ("shortage on this machine", 7), ("response not wanted", 7)]

    run(test)
