"""Tests of connections to upstreams: reuse, idle timeouts and incomplete writes."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnetusher.policy.events import Outcome
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.messages import AttemptResult
from garnetusher.sidecar.upstream.connection import UpstreamConnection
from garnetusher.sidecar.upstream.idle_reuse import FIRST_ATTEMPT, NEVER_USED, RESPONSE_GRACE_US, IdleReuseEstimator
from garnetusher.sidecar.upstream.pool import ConnectionPool
from tests.net import OK, Upstream, attempt_at, request, respond_with, sidecar, until
from tests.runner import run


def test_pool_reuses_connection_except_when_it_has_ended_or_sent_extra_bytes() -> None:
    async def test() -> None:
        with_extra_bytes, closing = OK + b"HTTP/1.1 200 OK\r\n", OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
        upstream = Upstream(respond_with(OK, with_extra_bytes, OK, closing, OK))
        async with sidecar(upstream) as running:
            for number in range(5):
                assert (await running.send_request(request(request_id=str(number))))[1] == b"done"
                await asyncio.sleep(2 * RESPONSE_GRACE_US / 1e6)  # the pool waits for the grace period before a reuse
        assert upstream.connections == 3

    run(test)


def test_idle_reuse_estimator_lowers_limit_when_idle_connections_lose_requests() -> None:
    estimator = IdleReuseEstimator(4_700_000)
    for _ in range(40):  # one request in ten is lost after any idle time, which must not lower the limit
        for idle_us in (10_000, 60_000, 110_000, 300_000):
            for number in range(10):
                estimator.record_reuse(idle_us, lost=number == 0)
    assert estimator.limit_us() == 4_700_000
    for _ in range(10):
        estimator.record_reuse(60_000, lost=False)
        estimator.record_reuse(110_000, lost=True)
    assert 60_000 < estimator.limit_us() <= 110_000
    for _ in range(600):  # the sweeps of one minute
        estimator.decay()
    assert estimator.limit_us() == 4_700_000


@pytest.mark.parametrize("max_idle_us", [0, 10_000, 25_000, 99_000, 60_000_000])
def test_idle_reuse_estimator_never_exceeds_idle_timeout(max_idle_us: int) -> None:
    estimator = IdleReuseEstimator(max_idle_us)
    for idle_us in (-1, 0, 24_999, 25_000, max_idle_us, 2 * max_idle_us):
        for _ in range(20):
            estimator.record_reuse(idle_us, lost=True)
            assert 0 <= estimator.limit_us() <= max_idle_us


@pytest.mark.parametrize("idle_us", [FIRST_ATTEMPT, NEVER_USED])
def test_idle_reuse_estimator_ignores_losses_when_the_connection_was_not_idle_before(idle_us: int) -> None:
    estimator = IdleReuseEstimator(4_700_000)
    for _ in range(40):  # an upstream that accepts connections and resets them shows nothing about idle connections
        estimator.record_reuse(idle_us, lost=True)
    assert estimator.limit_us() == 4_700_000


def test_pool_closes_connections_idle_for_a_time_after_which_requests_are_lost() -> None:
    async def test() -> None:
        pool, address = ConnectionPool(60_000_000, 10_000_000), ("127.0.0.1", 1)
        pool.sweep_timer.cancel()
        with socket.socket() as sock:
            connection = UpstreamConnection(pool, address, sock)
            connection.idle_timing.since_us = monotonic_us() - 60_000
            pool.idle[address] = [connection]
            pool.sweep()
            pool.sweep_timer.cancel()
            assert pool.idle == {address: [connection]}
            for _ in range(10):
                reused = UpstreamConnection(pool, address, sock)
                reused.idle_timing.before_attempt_us, reused.closed = 60_000, True
                reused.finish(Outcome.RESET)
            pool.sweep()
            pool.sweep_timer.cancel()
            assert pool.idle == {}
            assert connection.closed

    run(test)


def test_pool_closes_idle_connection_before_upstream_does() -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            if not await reader.read(1):
                ended.set()
            raise ConnectionResetError

        async with sidecar(Upstream(script), idle_timeout_us=400_000) as running:
            await running.send_request(request())
            await ended.wait()

    run(test)


@pytest.mark.parametrize("early_response", [b"", OK])
def test_connection_closes_when_request_was_not_written_completely(early_response: bytes) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        pool, results = ConnectionPool(60_000_000, 10_000_000), list[AttemptResult]()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            sock, peer = socket.socket(), None
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            sock.connect(listener.getsockname())
            sock.setblocking(False)
            peer, _ = listener.accept()
        connection = UpstreamConnection(pool, peer.getsockname(), sock)
        connection.attempt = attempt_at(pool, connection.address, results.append, b"x" * 1_000_000)
        await loop.create_connection(lambda: connection, sock=sock)
        assert connection.request_writer.has_unsent_bytes
        if early_response:
            peer.sendall(early_response)
            await until(lambda: bool(results))
        peer.close()
        await until(lambda: bool(results))
        assert [result.outcome for result in results] == [Outcome.OK if early_response else Outcome.CONNECT_FAILED]
        assert pool.idle == {}
        assert connection.closed
        pool.sweep_timer.cancel()

    run(test)
