"""Crossings of attempts: the list, time and the connection change between choice, send and answer."""

from __future__ import annotations

import asyncio
from unittest.mock import ANY

import pytest

from glenkeel.interface import ListKind, Outcome, UpstreamState
from plovertrail import upstreams as upstreams_module
from tests.net import (
    OK,
    Discovery,
    Upstream,
    answering,
    entry,
    listing,
    read_message,
    request,
    sidecar,
    until,
)
from tests.test_crossing_stop import never_up
from tests.test_sidecar import run, status
from tests.world import World, settings, upstreams


def test_what_waits_for_a_connection_to_an_upstream_that_drains_goes_elsewhere() -> None:
    async def test() -> None:
        other, discovery = Upstream(answering(OK)), Discovery()
        await other.start()
        with never_up() as port:
            async with sidecar(known=listing(entry("u0", port)), discovery=discovery,
                               connect_timeout_us=60_000_000) as it:
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


def test_what_was_not_sent_is_placed_again_within_its_attempts() -> None:
    for most, expected in ((4, 2), (1, 1)):
        world = World(settings(max_attempts=most, second_copies=False))
        world.tell_list(upstreams(2))
        ident = world.arrive(class_index=1)
        first = world.owed[ident].tries[0].upstream
        gone = next(each for each in upstreams(2) if each.id == first)
        gone.state = UpstreamState.GONE
        world.tell_list([gone], ListKind.DELTA)
        world.end(ident, 0, Outcome.NOT_SENT)
        tries = world.owed[ident].tries
        assert len(tries) == expected and all(each.upstream != first for each in tries[1:])


def test_a_late_second_answer_is_not_taken_for_that_to_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstreams_module, "SETTLE_US", 10_000_000)  # no busy machine is slower than that

    async def test() -> None:
        late = asyncio.Event()

        async def stray(upstream: Upstream, writer: asyncio.StreamWriter) -> None:
            await until(lambda: len(upstream.requests) == 2)
            writer.write(OK.replace(b"done", b"late"))
            late.set()

        async def script(upstream: Upstream, number: int, reader: asyncio.StreamReader,
                         writer: asyncio.StreamWriter) -> None:
            if number == 0:
                strays.append(asyncio.create_task(stray(upstream, writer)))
            else:
                await late.wait()
                await asyncio.sleep(0.05)
            writer.write(OK)

        strays: list[asyncio.Task[None]] = []
        upstream = Upstream(script)
        async with sidecar(upstream) as it:
            for ident in ("1", "2"):
                assert await it.ask(request("pay", ident, b"b")) == (ANY, b"done")
        assert upstream.connections == 2

    run(test)
