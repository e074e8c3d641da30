"""Crossings of attempts: the list, time and the connection change between choice, send and answer."""

from __future__ import annotations

import asyncio
import socket
import time
from unittest.mock import ANY

import pytest

from garnetusher.policy.events import EndpointStatus, Outcome, UpdateKind
from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.upstream import idle_reuse
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.pool import ConnectionPool
from tests.net import (
    OK,
    Discovery,
    Upstream,
    answering,
    attempt_at,
    entry,
    listing,
    read_message,
    request,
    sidecar,
    until,
)
from tests.test_crossing_stop import never_up
from tests.test_crossing_watch import Wire
from tests.test_sidecar import ERROR, run, status
from tests.world import World, settings, upstreams


def test_what_waits_for_a_connection_to_an_upstream_that_drains_goes_elsewhere() -> None:
    async def test() -> None:
        other, discovery = Upstream(answering(OK)), Discovery()
        await other.start()
        with never_up() as port:
            async with sidecar(
                known=listing(entry("u0", port)), discovery=discovery, connect_timeout_us=60_000_000
            ) as it:
                await discovery.watched()
                reader, writer = await it.connect()
                writer.write(request("pay", body=b"b"))
                await asyncio.sleep(0.1)
                discovery.line(listing(entry("u0", port, "leaving"), entry("u1", other.port), rev=2, full=False))
                assert status(await read_message(reader)) == 200
                writer.close()
        assert len(other.requests) == 1
        other.stop()

    run(test)


def test_what_waits_for_a_connection_to_an_upstream_that_starts_anew_goes_elsewhere() -> None:
    """It was chosen as a warm one; the connection would come up to a cold one."""

    async def test() -> None:
        other, discovery = Upstream(answering(OK)), Discovery()
        await other.start()
        with never_up() as port:
            async with sidecar(
                known=listing(entry("u0", port)),
                discovery=discovery,
                warm_up_us=60_000_000,
                connect_timeout_us=60_000_000,
            ) as it:
                await discovery.watched()
                reader, writer = await it.connect()
                writer.write(request("pay", body=b"b"))
                await asyncio.sleep(0.1)
                anew = entry("u0", port, boot_ms=int(time.time() * 1000))
                discovery.line(listing(anew, entry("u1", other.port), rev=2, full=False))
                assert status(await read_message(reader)) == 200
                writer.close()
        assert len(other.requests) == 1
        other.stop()

    run(test)


@pytest.mark.parametrize("moved", [True, False])
def test_what_is_chosen_and_recalled_in_one_round_of_the_loop_is_sent_once(moved: bool) -> None:
    async def test() -> None:
        old, new, discovery = Upstream(answering(OK)), Upstream(answering(OK)), Discovery()
        await old.start()
        await new.start()
        async with sidecar(known=listing(entry("u0", old.port)), discovery=discovery) as it:
            await discovery.watched()
            reader, writer = await it.connect()
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert status(await read_message(reader)) == 200  # it is set up, and so is the watch
            # no round of the loop between: the request is read, then the list, and then the connection is begun
            writer.write(request("pay", body=b"b"))
            told = entry("u0", new.port) if moved else entry("u0", old.port, "leaving")
            discovery.line(listing(told, entry("u1", new.port), rev=3, full=False))
            assert status(await read_message(reader)) == 200
            await it.ask(request("pay", "2", b"b"))  # what was begun would have come up by now
            writer.close()
        assert (len(old.requests), len(new.requests)) == (0, 2)
        old.stop()
        new.stop()

    run(test)


def test_what_waits_for_a_connection_where_nobody_is_listed_any_more_is_refused_at_once() -> None:
    async def test() -> None:
        discovery = Discovery()
        with never_up() as port:
            async with sidecar(
                known=listing(entry("u0", port)), discovery=discovery, connect_timeout_us=60_000_000
            ) as it:
                await discovery.watched()
                reader, writer = await it.connect()
                writer.write(request("pay", body=b"b", deadline_ms=60_000))
                await asyncio.sleep(0.1)
                discovery.line(listing(rev=2))
                async with asyncio.timeout(10):  # its own time is up after 20 s
                    assert status(await read_message(reader)) == 503
                writer.close()

    run(test)


@pytest.mark.parametrize(("group", "expected"), [("all", 503), ("cell", 500)])
def test_a_repeat_that_waits_for_a_connection_is_not_sent_once_the_memory_is_over(group: str, expected: int) -> None:
    """It is answered then, and not when its own time is up after 15 s."""
    kind = RequestClass(
        "mark",
        latency_objective_us=20_000_000,
        deadline_us=20_000_000,
        effect="deduplicated",
        deduplication_scope=group,
        deduplication_window_us=1_000_000,
    )

    async def test() -> None:
        go, discovery = asyncio.Event(), Discovery()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await go.wait()
            writer.write(ERROR)

        first = Upstream(script)
        await first.start()
        with never_up() as port:
            async with sidecar(
                known=listing(entry("u0", first.port)),
                discovery=discovery,
                classes=[kind],
                connect_timeout_us=60_000_000,
            ) as it:
                await discovery.watched()
                asked = asyncio.create_task(it.ask(request("mark", body=b"b")))
                await until(lambda: len(first.requests) == 1)
                discovery.line(listing(entry("u1", port), rev=2, full=False))
                reader, writer = await it.connect()
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_message(reader)  # the list is taken by then
                writer.close()
                go.set()
                async with asyncio.timeout(10):
                    assert status(await asked) == expected
        assert len(first.requests) == 1
        first.stop()

    run(test)


def test_what_was_not_sent_is_placed_again_within_its_attempts() -> None:
    for most, expected in ((4, 2), (1, 1)):
        world = World(settings(max_attempts=most, hedging=False))
        world.tell_list(upstreams(2))
        ident = world.arrive(class_index=1)
        first = world.owed[ident].tries[0].upstream
        gone = next(each for each in upstreams(2) if each.id == first)
        gone.status = EndpointStatus.REMOVED
        world.tell_list([gone], UpdateKind.DELTA)
        world.end(ident, 0, Outcome.NOT_WRITTEN)
        tries = world.owed[ident].tries
        assert len(tries) == expected and all(each.upstream != first for each in tries[1:])


@pytest.mark.parametrize("strays", [True, False])
def test_a_late_second_answer_is_not_taken_for_that_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch, strays: bool
) -> None:
    monkeypatch.setattr(idle_reuse, "RESPONSE_GRACE_US", 3_000_000)  # no busy machine is slower than that

    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []
        late = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            if number:
                await late.wait()
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            assert await it.ask(request("pay", "1", b"b")) == (ANY, b"done")
            second = asyncio.create_task(it.ask(request("pay", "2", b"b")))
            await asyncio.sleep(0.3)  # it is out by then, if it has not to wait for the connection to settle
            if strays:
                writers[0].write(OK.replace(b"done", b"late"))
            late.set()
            assert await second == (ANY, b"done")
        assert upstream.connections == (2 if strays else 1)

    run(test)


def test_what_is_given_up_while_its_connection_settles_is_not_sent_and_the_connection_is_kept() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 1_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        for given_up in (True, False):
            here, there = socket.socketpair()
            with here, there:
                here.setblocking(False)
                connection, wire = UpstreamConnection(pool, address, here), Wire()
                connection.connection_made(wire)
                pool.remove(connection)
                attempt = attempt_at(pool, address, lambda result: None)
                if given_up:
                    attempt.abandon()
                pool.send_after_grace(connection, attempt)
                assert wire.sent[:9] == (b"" if given_up else b"POST /pay")
                assert pool.idle == ({address: [connection]} if given_up else {})
                pool.idle.clear()

    run(test)


def test_an_attempt_that_is_given_up_has_ended_over_there_before_another_can_be_written() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 1_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        here, there = socket.socketpair()
        with here, there:
            here.setblocking(False)
            connection = UpstreamConnection(pool, address, here)
            await asyncio.get_running_loop().create_connection(lambda: connection, sock=here)
            attempt = attempt_at(pool, address, lambda result: None)
            pool.remove(connection)
            connection.send(attempt)
            attempt.abandon()  # no round of the loop after it
            assert there.recv(1000).startswith(b"POST /pay") and there.recv(100, socket.MSG_DONTWAIT) == b""

    run(test)


def test_an_answer_that_comes_with_its_time_out_counts_once() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if number == 0:
                time.sleep(0.5)  # the loop stands still: answer and time-out are both there in its next round

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", "1", b"b", deadline_ms=300))
            assert status(await read_message(reader)) == 200
            writer.write(request("pay", "2", b"b"))  # what follows is the next answer, and not a second one
            head, body = await read_message(reader)
            assert status((head, body)) == 200 and b"close" not in head
            writer.close()
        assert len(upstream.requests) == 2

    run(test)


def test_a_connection_that_comes_up_after_its_request_was_given_up_carries_nothing() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 1_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        with socket.socket() as sock:
            ends: list[object] = []
            attempt = attempt_at(pool, address, ends.append)
            connection, wire = UpstreamConnection(pool, address, sock), Wire()
            connection.attempt, attempt.connection = attempt, connection
            attempt.abandon()
            connection.connection_made(wire)
            assert wire.sent == b"" and not ends and pool.idle == {address: [connection]}

    run(test)


def test_a_connection_on_which_something_came_that_nobody_asked_for_is_not_used_again() -> None:
    async def test() -> None:
        closed = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if number == 0:
                await asyncio.sleep(0.1)  # the answer is taken, and the connection is idle
                writer.write(b"HTTP/1.1 408 Request Timeout\r\n")
                await reader.read()
                closed.set()

        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            assert status(await it.ask(request("pay", "1", b"b"))) == 200
            await closed.wait()
            assert status(await it.ask(request("pay", "2", b"b"))) == 200
        assert upstream.connections == 2

    run(test)


@pytest.mark.parametrize("kind", ["pay", "read"])
def test_an_upstream_that_closes_as_it_is_sent_to_costs_what_may_not_be_repeated_only(kind: str) -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if total() == 2:
                writer.transport.abort()  # the connection was used again, and had just been closed over there
                raise ConnectionResetError
            writer.write(OK)

        upstreams = [Upstream(script), Upstream(script)]

        def total() -> int:
            return sum(len(each.requests) for each in upstreams)

        async with sidecar(*upstreams) as it:
            body = b"b" if kind == "pay" else b""
            answers = [status(await it.ask(request(kind, str(number), body))) for number in range(3)]
            assert answers == ([200, 500, 200] if kind == "pay" else [200, 200, 200])
            assert total() == (3 if kind == "pay" else 4)

    run(test)
