"""Requests through the real sidecar over loopback sockets: what it forwards, retries and responds."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import Event
from tests.net import ERROR, NOT_RUN, OK, Upstream, entry, listing, never_respond, request, respond_with, sidecar, until
from tests.runner import run, status

# Without `X-Not-Run`, this response does not prove that the request never ran.
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


def test_sidecar_forwards_request_and_response_unchanged() -> None:
    async def test() -> None:
        upstream = Upstream(
            respond_with(b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n")
        )
        async with sidecar(upstream) as running:
            head, body = await running.send_request(request("mark", "77", b"\x00body\r\n"))
        assert status((head, body)) == 200
        assert body == b"\x00\xff\r\n\r\n"
        assert b"Content-Type: a/b" in head
        received_head, received_body = upstream.requests[0]
        assert received_head.startswith(b"POST /mark/it?x=1 HTTP/1.1\r\n")
        assert received_body == b"\x00body\r\n"
        assert b"X-Request-Id: 77\r\n" in received_head
        assert b"Idempotency-Key: k\r\n" in received_head
        deadline_ms = int(received_head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0])
        assert 0 < deadline_ms <= 15_000

    run(test)


@pytest.mark.parametrize(
    ("first", "expected", "attempts"),
    [
        (NOT_RUN, 200, 2),  # the request never ran, so it may be retried although it is not idempotent
        (ERROR, 500, 1),
        (SERVICE_UNAVAILABLE, 500, 1),  # the request may have run; a 503 from the sidecar would promise that it did not
        (b"HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 500, 1),
        (b"", 500, 1),
        (b"noise\r\n\r\n", 500, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 70_000, 500, 1),
        (b"HTTP/1.1 200 OK\r\nX-Endless: " + b"x" * 1_100_000, 500, 1),
        (OK.replace(b"\r\n", b"\r\n" + b"X-Pad: pppp\r\n" * 10_000, 1), 500, 1),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200, 1),
    ],
)
def test_sidecar_retries_non_idempotent_request_only_when_it_never_ran(
    first: bytes, expected: int, attempts: int
) -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if total_requests() > 1:
                writer.write(OK)
                return
            if first:
                writer.write(first)
                await writer.drain()
            if first.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r") or not first:
                writer.close()

        upstreams = [Upstream(script), Upstream(script)]

        def total_requests() -> int:
            return sum(len(upstream.requests) for upstream in upstreams)

        async with sidecar(*upstreams) as running:
            response = await running.send_request(request("pay", body=b"b"))
        assert (status(response), total_requests()) == (expected, attempts)

    run(test)


def test_sidecar_does_not_retry_when_upstream_rejects_request() -> None:
    async def test() -> None:
        rejected = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
        upstreams = [Upstream(respond_with(rejected)) for _ in range(3)]
        async with sidecar(*upstreams) as running:
            assert status(await running.send_request(request())) == 500
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run(test)


def test_sidecar_sheds_with_retry_after_when_connecting_fails() -> None:
    async def test() -> None:
        stopped = Upstream(never_respond)
        await stopped.start()
        stopped.stop()
        endpoint_list = listing(entry("u0", stopped.port))
        async with sidecar(known=endpoint_list) as running:
            response = await running.send_request(request("pay"))
        assert status(response) == 503
        assert 0.0 < float(response[0].split(b"Retry-After: ")[1].split(b"\r\n")[0]) <= 1.0

    run(test)


def test_sidecar_responds_before_deadline_when_upstream_is_silent() -> None:
    async def test() -> None:
        async with sidecar(Upstream(never_respond)) as running:
            started = asyncio.get_running_loop().time()
            response = await running.send_request(request("pay", deadline_ms=400))
            elapsed_s = asyncio.get_running_loop().time() - started
        assert status(response) == 500
        assert elapsed_s >= 0.3

    run(test)


def test_dispatcher_responds_to_all_requests_when_policy_raises_or_ignores_an_event(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    handle = Balancer.handle

    def faulty_handle(self: Balancer, now_us: int, event: Event) -> list[Any]:
        if getattr(event, "affinity_key", 0):
            raise RuntimeError("injected policy error")
        if getattr(event, "client_retry", False):
            return []
        return handle(self, now_us, event)

    monkeypatch.setattr(Balancer, "handle", faulty_handle)

    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            assert status(await running.send_request(request(extra="X-Key: 5\r\n"))) == 500
            assert status(await running.send_request(request(deadline_ms=300, extra="X-Retry: 1\r\n"))) == 500
            assert status(await running.send_request(request())) == 200

    run(test)


def test_sidecar_does_not_retry_when_client_has_disconnected() -> None:
    async def test() -> None:
        release_response = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if number == 0:
                await release_response.wait()
                writer.write(NOT_RUN)
            else:
                writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as running:
            _, writer = await running.connect()
            writer.write(request())
            await until(lambda: len(upstream.requests) == 1)
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.05)
            release_response.set()
            assert status(await running.send_request(request(request_id="2"))) == 200
        assert [b"X-Request-Id: 2" in head for head, _ in upstream.requests] == [False, True]

    run(test)
