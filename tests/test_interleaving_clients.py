"""Interleavings with a client that disconnects or closes only its sending side."""

from __future__ import annotations

import asyncio

import pytest

from garnetusher.policy.actions import Action
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import AttemptEnded, Event, Outcome
from garnetusher.sidecar.streaming import UPLOAD_MEMORY_SIZE, BodyMemory
from tests.net import OK, Upstream, entry, listing, read_message, request, respond_with, sidecar, until
from tests.runner import run, status
from tests.streams import upload_request
from tests.test_interleaving_stop import full_backlog_port

MAX_FORWARD_DELAY_S = 0.3  # a waiting request would be forwarded within this time


async def wait_for_requests(upstream: Upstream, count: int) -> None:
    await until(lambda: len(upstream.requests) == count)


def test_buffered_request_is_shed_when_client_half_closes() -> None:
    async def test() -> None:
        respond = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await respond.wait()
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream) as running:
            outstanding_clients = [await running.connect() for _ in range(3)]
            for number, (_, writer) in enumerate(outstanding_clients):
                writer.write(request("pay", str(number), b"b"))
            await wait_for_requests(upstream, 3)  # these requests take all slots of the upstream
            reader, writer = await running.connect()
            writer.write(request("pay", "waits", b"b"))
            await asyncio.sleep(0.1)
            writer.write_eof()
            assert status(await read_message(reader)) == 503
            assert await reader.read() == b""
            respond.set()
            for client_reader, _ in outstanding_clients:
                assert status(await read_message(client_reader)) == 200
            assert len(upstream.requests) == 3
            for _, client_writer in (*outstanding_clients, (reader, writer)):
                client_writer.close()

    run(test)


def test_unwritten_attempt_is_withdrawn_when_client_half_closes() -> None:
    async def test() -> None:
        with full_backlog_port() as port:
            async with sidecar(known=listing(entry("u", port)), connect_timeout_us=60_000_000) as running:
                reader, writer = await running.connect()
                writer.write(request("pay", body=b"b"))
                await asyncio.sleep(0.1)
                writer.write_eof()
                assert status(await read_message(reader)) == 503
                writer.close()

    run(test)


@pytest.mark.parametrize("response", [OK, b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000])
def test_outstanding_request_gets_response_when_client_half_closes(response: bytes) -> None:
    async def test() -> None:
        respond = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(response[:-1])
            await respond.wait()
            writer.write(response[-1:])

        upstream = Upstream(script)
        async with sidecar(upstream) as running:
            reader, writer = await running.connect()
            writer.write(request("pay", body=b"b"))
            await wait_for_requests(upstream, 1)
            await asyncio.sleep(0.1)
            writer.write_eof()
            await asyncio.sleep(0.1)
            respond.set()
            assert (await read_message(reader))[1] == response.partition(b"\r\n\r\n")[2]
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_outstanding_request_is_not_retried_when_client_half_closes() -> None:
    async def test() -> None:
        respond = asyncio.Event()

        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await respond.wait()
            writer.transport.abort()
            raise ConnectionResetError

        upstreams = [Upstream(script), Upstream(script)]
        async with sidecar(*upstreams) as running:
            reader, writer = await running.connect()
            writer.write(request())
            await until(lambda: sum(len(each.requests) for each in upstreams) == 1)
            writer.write_eof()
            await asyncio.sleep(0.1)
            respond.set()
            assert status(await read_message(reader)) == 503
            assert sum(len(each.requests) for each in upstreams) == 1
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_waiting_body_leaves_the_queue_for_memory_when_client_disconnects(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("garnetusher.sidecar.downstream.server.BodyMemory", lambda size: BodyMemory(UPLOAD_MEMORY_SIZE))

    async def test() -> None:
        upstream = Upstream(respond_with(OK))
        async with sidecar(upstream) as running:
            _, first_writer = await running.connect()
            first_writer.write(upload_request(b"x" * 200_000)[:-1])
            await asyncio.sleep(0.2)
            _, second_writer = await running.connect()
            second_writer.write(upload_request(b"y" * 180_000))
            await second_writer.drain()
            await asyncio.sleep(0.2)
            second_writer.close()
            await asyncio.sleep(3 * MAX_FORWARD_DELAY_S)
            first_writer.transport.abort()
            await asyncio.sleep(0.3)
            assert not upstream.requests
            response = await running.send_request(upload_request(b"z" * 180_000))  # memory for this body is free again
            assert status(response) == 200
            assert len(upstream.requests) == 1

    run(test)


def test_endpoint_is_not_blamed_when_client_disconnects_before_its_connection_is_established(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    outcomes, handle = list[Outcome](), Balancer.handle

    def recording_handle(self: Balancer, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded):
            outcomes.append(event.outcome)
        return handle(self, now_us, event)

    monkeypatch.setattr(Balancer, "handle", recording_handle)

    async def test() -> None:
        with full_backlog_port() as port:
            async with sidecar(known=listing(entry("u", port)), connect_timeout_us=60_000_000) as running:
                _, writer = await running.connect()
                writer.write(upload_request(b"x" * 200_000)[:100_000])
                await asyncio.sleep(0.2)
                writer.transport.abort()
                await until(lambda: bool(outcomes))
                assert outcomes == [Outcome.NOT_WRITTEN]

    run(test)
