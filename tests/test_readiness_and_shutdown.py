"""Tests of readiness, and of the shutdown of a sidecar with open requests."""

from __future__ import annotations

import asyncio

from tests.net import OK, Upstream, listing, never_respond, read_message, request, sidecar, until
from tests.runner import run, status


def test_up_returns_200_only_when_there_is_an_upstream() -> None:
    async def test() -> None:
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        async with sidecar(known=listing()) as instance:
            assert status(await instance.send_request(up)) == 503
        async with sidecar(Upstream(never_respond)) as instance:
            assert status(await instance.send_request(up)) == 200

    run(test)


def test_sidecar_serves_open_and_late_requests_when_stopping() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(
            upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            writer.write(OK)

        upstreams = [Upstream(script), Upstream(script)]  # each upstream has one slot

        def request_count() -> int:
            return sum(len(upstream.requests) for upstream in upstreams)

        async with sidecar(*upstreams) as instance:
            idle_reader, idle_writer = await instance.connect()
            # Shutdown closes an idle connection immediately only if it has sent a request. A new connection gets time
            # to send its first one.
            idle_writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert status(await read_message(idle_reader)) == 200
            reader, writer = await instance.connect()
            writer.write(request(request_id="1"))
            await until(lambda: request_count() == 1)
            instance.stop.set()
            assert await idle_reader.read() == b""
            late_reader, late_writer = await instance.connect()
            late_writer.write(request(request_id="2"))
            await until(lambda: request_count() == 2)
            release.set()
            for client_reader in (reader, late_reader):
                head, body = await read(client_reader)
                assert body == b"done"
                assert b"Connection: close" in head
            for client_writer in (idle_writer, writer, late_writer):
                client_writer.close()
            await instance.task

    async def read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        response = await reader.read()
        head, _, body = response.partition(b"\r\n\r\n")
        return head, body

    run(test)
