"""Attempts during which the endpoint list, the time or the connection changes before the write or the response."""

from __future__ import annotations

import asyncio
import socket
import time
from unittest.mock import ANY

import pytest

from garnetusher.policy.events import EndpointStatus, Outcome, UpdateKind
from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.discovery.endpoint_list import EndpointList
from garnetusher.sidecar.discovery.messages import parse_entries, parse_list
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.upstream import idle_reuse
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.pool import ConnectionPool
from tests.net import (
    ERROR,
    OK,
    Discovery,
    Upstream,
    attempt_at,
    entry,
    listing,
    read_message,
    request,
    respond_with,
    sidecar,
    socket_pair,
    until,
)
from tests.policy_host import PolicyHost, settings, upstreams
from tests.runner import run, status
from tests.test_interleaving_stop import full_backlog_port
from tests.watch_harness import FakeTransport


def test_attempt_waiting_for_a_connection_is_sent_to_another_upstream_when_its_upstream_drains() -> None:
    async def test() -> None:
        other, discovery = Upstream(respond_with(OK)), Discovery()
        await other.start()
        with full_backlog_port() as port:
            async with sidecar(
                known=listing(entry("u0", port)), discovery=discovery, connect_timeout_us=60_000_000
            ) as running:
                await discovery.wait_for_watch()
                reader, writer = await running.connect()
                writer.write(request("pay", body=b"b"))
                await asyncio.sleep(0.1)
                discovery.send_update(listing(entry("u0", port, "leaving"), entry("u1", other.port), rev=2, full=False))
                assert status(await read_message(reader)) == 200
                writer.close()
        assert len(other.requests) == 1
        other.stop()

    run(test)


def test_attempt_waiting_for_a_connection_is_sent_to_another_upstream_when_its_upstream_restarts() -> None:
    """The policy chose a warm upstream, but the connection would be to a new process that is warming up."""

    async def test() -> None:
        other, discovery = Upstream(respond_with(OK)), Discovery()
        await other.start()
        with full_backlog_port() as port:
            async with sidecar(
                known=listing(entry("u0", port)),
                discovery=discovery,
                warm_up_us=60_000_000,
                connect_timeout_us=60_000_000,
            ) as running:
                await discovery.wait_for_watch()
                reader, writer = await running.connect()
                writer.write(request("pay", body=b"b"))
                await asyncio.sleep(0.1)
                restarted = entry("u0", port, boot_ms=int(time.time() * 1000))
                discovery.send_update(listing(restarted, entry("u1", other.port), rev=2, full=False))
                assert status(await read_message(reader)) == 200
                writer.close()
        assert len(other.requests) == 1
        other.stop()

    run(test)


@pytest.mark.parametrize("moved", [True, False])
def test_attempt_is_sent_once_when_its_endpoint_changes_before_the_connection_starts(moved: bool) -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_with(OK)), Upstream(respond_with(OK)), Discovery()
        await old.start()
        await new.start()
        async with sidecar(known=listing(entry("u0", old.port)), discovery=discovery) as running:
            await discovery.wait_for_watch()
            reader, writer = await running.connect()
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert status(await read_message(reader)) == 200  # the client connection and the watch are established
            # Both arrive in one round of the loop: the sidecar reads the request, then the list, and then connects.
            writer.write(request("pay", body=b"b"))
            updated = entry("u0", new.port) if moved else entry("u0", old.port, "leaving")
            discovery.send_update(listing(updated, entry("u1", new.port), rev=3, full=False))
            assert status(await read_message(reader)) == 200
            # If the withdrawn attempt had opened a connection, it would be established when this response arrives.
            await running.send_request(request("pay", "2", b"b"))
            writer.close()
        assert (len(old.requests), len(new.requests)) == (0, 2)
        old.stop()
        new.stop()

    run(test)


def test_request_waiting_for_a_connection_is_shed_at_once_when_the_endpoint_list_is_empty() -> None:
    async def test() -> None:
        discovery = Discovery()
        with full_backlog_port() as port:
            async with sidecar(
                known=listing(entry("u0", port)), discovery=discovery, connect_timeout_us=60_000_000
            ) as running:
                await discovery.wait_for_watch()
                reader, writer = await running.connect()
                writer.write(request("pay", body=b"b", deadline_ms=60_000))
                await asyncio.sleep(0.1)
                discovery.send_update(listing(rev=2))
                async with asyncio.timeout(10):  # the class sets a deadline of 20 s
                    assert status(await read_message(reader)) == 503
                writer.close()

    run(test)


@pytest.mark.parametrize(("scope", "expected"), [("all", 503), ("cell", 500)])
def test_retry_waiting_for_a_connection_is_not_sent_when_the_deduplication_window_has_ended(
    scope: str, expected: int
) -> None:
    """The response is sent when the window ends, and not at the deadline of the request after 15 s."""
    request_class = RequestClass(
        "mark",
        latency_objective_us=20_000_000,
        deadline_us=20_000_000,
        effect="deduplicated",
        deduplication_scope=scope,
        deduplication_window_us=1_000_000,
    )

    async def test() -> None:
        release_response, discovery = asyncio.Event(), Discovery()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release_response.wait()
            writer.write(ERROR)

        first = Upstream(script)
        await first.start()
        with full_backlog_port() as port:
            async with sidecar(
                known=listing(entry("u0", first.port)),
                discovery=discovery,
                classes=[request_class],
                connect_timeout_us=60_000_000,
            ) as running:
                await discovery.wait_for_watch()
                response = asyncio.create_task(running.send_request(request("mark", body=b"b")))
                await until(lambda: len(first.requests) == 1)
                discovery.send_update(listing(entry("u1", port), rev=2, full=False))
                reader, writer = await running.connect()
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_message(reader)  # the sidecar has applied the list by then
                writer.close()
                release_response.set()
                async with asyncio.timeout(10):
                    assert status(await response) == expected
        assert len(first.requests) == 1
        first.stop()

    run(test)


def test_request_is_retried_within_max_attempts_when_its_attempt_was_not_written() -> None:
    for max_attempts, expected in ((4, 2), (1, 1)):
        host = PolicyHost(settings(max_attempts=max_attempts, hedging=False))
        host.update_endpoints(upstreams(2))
        request_id = host.arrive(class_index=1)
        first = host.request_records[request_id].attempts[0].upstream
        removed = next(endpoint for endpoint in upstreams(2) if endpoint.id == first)
        removed.status = EndpointStatus.REMOVED
        host.update_endpoints([removed], UpdateKind.DELTA)
        host.end(request_id, 0, Outcome.NOT_WRITTEN)
        attempts = host.request_records[request_id].attempts
        assert len(attempts) == expected
        assert all(attempt.upstream != first for attempt in attempts[1:])


@pytest.mark.parametrize("has_stray_response", [True, False])
def test_connection_does_not_use_a_late_stray_response_for_the_next_request(
    monkeypatch: pytest.MonkeyPatch, has_stray_response: bool
) -> None:
    monkeypatch.setattr(idle_reuse, "RESPONSE_GRACE_US", 3_000_000)  # long enough for a busy machine

    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []
        release_response = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            if number:
                await release_response.wait()
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as running:
            assert await running.send_request(request("pay", "1", b"b")) == (ANY, b"done")
            second = asyncio.create_task(running.send_request(request("pay", "2", b"b")))
            # The request is written after 0.3 s, unless the sidecar first waits for a stray response
            await asyncio.sleep(0.3)
            if has_stray_response:
                writers[0].write(OK.replace(b"done", b"late"))
            release_response.set()
            assert await second == (ANY, b"done")
        assert upstream.connections == (2 if has_stray_response else 1)

    run(test)


def test_pool_keeps_the_connection_when_its_attempt_is_abandoned_during_the_response_grace() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 1_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        for abandoned in (True, False):
            sidecar_end, upstream_end = socket_pair()
            with sidecar_end, upstream_end:
                sidecar_end.setblocking(False)
                connection, transport = UpstreamConnection(pool, address, sidecar_end), FakeTransport()
                connection.connection_made(transport)
                pool.remove_idle(connection)
                attempt = attempt_at(pool, address, lambda result: None)
                if abandoned:
                    attempt.abandon()
                pool.send_after_grace(connection, attempt)
                assert transport.sent[:9] == (b"" if abandoned else b"POST /pay")
                assert pool.idle == ({address: [connection]} if abandoned else {})
                pool.idle.clear()

    run(test)


def test_upstream_sees_its_connection_close_at_once_when_the_attempt_is_abandoned() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 1_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        sidecar_end, upstream_end = socket_pair()
        with sidecar_end, upstream_end:
            sidecar_end.setblocking(False)
            connection = UpstreamConnection(pool, address, sidecar_end)
            await asyncio.get_running_loop().create_connection(lambda: connection, sock=sidecar_end)
            attempt = attempt_at(pool, address, lambda result: None)
            pool.remove_idle(connection)
            connection.send(attempt)
            attempt.abandon()  # no round of the loop follows before the checks
            assert upstream_end.recv(1000).startswith(b"POST /pay")
            assert upstream_end.recv(100, socket.MSG_DONTWAIT) == b""

    run(test)


def test_client_gets_one_response_when_response_and_timeout_arrive_together() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if number == 0:
                time.sleep(0.5)  # noqa: ASYNC251 - the next round of the blocked loop has both the response and the timeout

        upstream = Upstream(script)
        async with sidecar(upstream) as running:
            reader, writer = await running.connect()
            writer.write(request("pay", "1", b"b", deadline_ms=300))
            assert status(await read_message(reader)) == 200
            writer.write(request("pay", "2", b"b"))  # the next response belongs to this request
            head, body = await read_message(reader)
            assert status((head, body)) == 200
            assert b"close" not in head
            writer.close()
        assert len(upstream.requests) == 2

    run(test)


def test_unused_connection_becomes_idle_when_it_is_established_after_its_attempt_was_abandoned() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 1_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        with ShortageTolerantSocket() as sock:
            results: list[object] = []
            attempt = attempt_at(pool, address, results.append)
            connection, transport = UpstreamConnection(pool, address, sock), FakeTransport()
            connection.attempt, attempt.connection = attempt, connection
            attempt.abandon()
            connection.connection_made(transport)
            assert transport.sent == b""
            assert not results
            assert pool.idle == {address: [connection]}

    run(test)


def test_connection_is_not_reused_when_unrequested_bytes_have_arrived() -> None:
    async def test() -> None:
        closed = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if number == 0:
                await asyncio.sleep(0.1)  # the sidecar has read the response, and the connection is idle
                writer.write(b"HTTP/1.1 408 Request Timeout\r\n")
                await reader.read()
                closed.set()

        upstream = Upstream(script)
        async with sidecar(upstream) as running:
            assert status(await running.send_request(request("pay", "1", b"b"))) == 200
            await closed.wait()
            assert status(await running.send_request(request("pay", "2", b"b"))) == 200
        assert upstream.connections == 2

    run(test)


@pytest.mark.parametrize("class_name", ["pay", "read"])
def test_request_fails_only_if_not_idempotent_when_the_upstream_closes_during_the_write(class_name: str) -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if total_requests() == 2:
                writer.transport.abort()  # the upstream closes the connection while the sidecar reuses it
                raise ConnectionResetError
            writer.write(OK)

        upstreams = [Upstream(script), Upstream(script)]

        def total_requests() -> int:
            return sum(len(server.requests) for server in upstreams)

        async with sidecar(*upstreams) as running:
            body = b"b" if class_name == "pay" else b""
            statuses = [
                status(await running.send_request(request(class_name, str(number), body))) for number in range(3)
            ]
            assert statuses == ([200, 500, 200] if class_name == "pay" else [200, 200, 200])
            assert total_requests() == (3 if class_name == "pay" else 4)

    run(test)


def test_deduplicated_request_is_not_repeated_in_another_zone_when_the_configuration_lists_neither() -> None:
    """Discovery may list a zone before the configuration does; upstreams of two such zones share no memory."""
    request_class = RequestClass(
        "mark",
        latency_objective_us=500_000,
        deadline_us=500_000,
        effect="deduplicated",
        deduplication_scope="zone",
        deduplication_window_us=10_000_000,
    )

    async def test() -> None:
        first, second = Upstream(respond_with(ERROR)), Upstream(respond_with(ERROR))
        for upstream in (first, second):
            await upstream.start()
        known = listing(entry("u0", first.port) | {"az": "x"}, entry("u1", second.port) | {"az": "y"})
        async with sidecar(known=known, classes=[request_class]) as running:
            for number in range(4):
                response = await running.send_request(request("mark", str(number), b"b", deadline_ms=500))
                assert status(response) in (500, 503)
        ids = [{header_value(head, b"x-request-id") for head, _ in each.requests} for each in (first, second)]
        assert not ids[0] & ids[1]
        for upstream in (first, second):
            upstream.stop()

    run(test)


def header_value(head: bytes, name: bytes) -> bytes:
    return next(line.split(b":", 1)[1].strip() for line in head.split(b"\r\n") if line.lower().startswith(name))


def test_endpoint_list_keeps_zones_apart_when_the_configuration_gains_one() -> None:
    """An upstream that is listed in an unknown zone must not seem to be in the zone that the configuration gains."""

    async def test() -> None:
        endpoint_list = EndpointList(["a"], ["m"])

        def zone_of(name: str) -> int:
            raw = parse_list(listing(entry(f"u-{name}", 1) | {"az": name}, full=False))
            return endpoint_list.apply(UpdateKind.DELTA, parse_entries(raw.entries), 1).event.endpoints[0].zone

        unknown = zone_of("x")
        endpoint_list.zones = ["a", "b"]
        assert (zone_of("a"), zone_of("b")) == (0, 1)
        assert unknown not in (0, 1)

    run(test)
