"""Tests how the sidecar polls and watches the endpoint list."""

from __future__ import annotations

import asyncio
from typing import cast

from garnetusher.sidecar.discovery.endpoint_list import EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from tests.fake_loop import FakeEventLoop
from tests.net import OK, TEST_TIMEOUT_S, Discovery, Upstream, entry, listing, request, respond_with, sidecar
from tests.runner import run, status


def test_sidecar_uses_cached_endpoints_at_once_and_applies_updates_on_arrival() -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_with(OK)), Upstream(respond_with(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery) as running:
            assert status(await running.send_request(request())) == 200
            assert len(old.requests) == 1
            await discovery.wait_for_watch()
            assert b"follow=1&since=1 " in discovery.watch_requests[0]
            changes = [entry("u0", old.port, "leaving"), entry("u1", new.port)]
            discovery.send_update(listing(*changes, rev=2, full=False))

            async def new_upstream_is_used() -> bool:
                assert status(await running.send_request(request())) == 200
                return bool(new.requests)

            while not await new_upstream_is_used():
                pass
            earlier_count = len(old.requests)
            for _ in range(5):
                await new_upstream_is_used()
            assert len(old.requests) == earlier_count
            discovery.writers[-1].transport.abort()
            await discovery.wait_for_watch()
            assert b"since=2 " in discovery.watch_requests[1]
        new.stop()

    run(test)


def test_sidecar_keeps_watch_open_when_updates_are_pushed() -> None:
    async def test() -> None:
        old, new, discovery = Upstream(respond_with(OK)), Upstream(respond_with(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery, poll_endpoints=False) as running:
            await discovery.wait_for_watch()
            discovery.send_update(listing(entry("u0", old.port, "left"), entry("u1", new.port), rev=2, full=False))
            while not new.requests:
                assert status(await running.send_request(request())) == 200
            earlier_count = len(old.requests)
            assert status(await running.send_request(request())) == 200
            assert len(old.requests) == earlier_count
            discovery.writers[-1].transport.abort()  # the watch fails, and the sidecar reconnects
            await discovery.wait_for_watch()
            assert b"follow=1&since=2 " in discovery.watch_requests[1]
        new.stop()

    run(test)


def test_watcher_keeps_old_list_and_ends_watch_when_update_is_malformed() -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_with(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as running:
            await discovery.wait_for_watch()
            discovery.send_update({"rev": 2, "all": True, "targets": [{"uid": "u0"}]})
            await discovery.wait_for_watch()
            assert status(await running.send_request(request())) == 200

    run(test)


def test_watcher_requests_the_full_list_when_cached_endpoints_are_malformed() -> None:
    async def test() -> None:
        probe = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        upstream, discovery = Upstream(respond_with(OK)), Discovery()
        known = {"rev": 7, "all": True, "targets": [{"uid": "u0", "state": "unheard of"}]}
        async with sidecar(upstream, discovery=discovery, known=known) as running:
            assert status(await running.send_request(probe)) == 503
            await discovery.wait_for_watch()
            assert b"since=0 " in discovery.watch_requests[0]
            discovery.send_update(listing(entry("u0", upstream.port), rev=8))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while status(await running.send_request(probe)) != 200:
                    pass
            assert status(await running.send_request(request())) == 200

    run(test)


def test_watcher_reconnects_when_watch_is_silent() -> None:
    async def test() -> None:
        discovery = Discovery()
        async with sidecar(Upstream(respond_with(OK)), discovery=discovery):
            await discovery.wait_for_watch()
            discovery.send_update(listing(rev=2, full=False))
            await discovery.wait_for_watch()
            assert len(discovery.watch_requests) == 2

    run(test)


def test_watcher_connects_twice_within_7_s_when_discovery_is_silent() -> None:
    async def test() -> None:
        loop = FakeEventLoop()
        watcher = EndpointWatcher(("127.0.0.1", 1), EndpointList(["a"], ["m"]), lambda event, addresses: None)
        watcher.loop = cast(asyncio.AbstractEventLoop, loop)
        watcher.watch_permanently()
        assert watcher.watch is not None
        watcher.watch.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        initial_count = loop.connect_count
        loop.advance(2.5)  # discovery sends an empty line every 2 s, so one is late
        assert loop.connect_count == initial_count
        loop.advance(6.9)  # 6 s until a change counts as known, plus 1 s for drains
        assert loop.connect_count == initial_count + 2

    run(test)
