"""Tests of the admin server over loopback sockets: readiness, draining and malformed requests."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from garnetusher.sidecar.admin import server as admin_server
from garnetusher.sidecar.configuration import load
from garnetusher.sidecar.lifecycle import Lifecycle, LifecycleState
from tests.net import OK, Upstream, read_message, request, respond_with, sidecar
from tests.processes import write_configuration
from tests.runner import run, status

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def test_stopping_overrides_draining_and_a_repeated_drain_does_not_restart_its_time() -> None:
    now_s = [0.0]
    lifecycle = Lifecycle(lambda: now_s[0])
    assert lifecycle.state is LifecycleState.STARTING
    assert not lifecycle.serving
    assert not lifecycle.closing
    lifecycle.undrain()  # has no effect because no drain is active
    lifecycle.start()
    assert lifecycle.serving
    assert lifecycle.closing_for_s == 0.0
    lifecycle.drain()
    now_s[0] = 2.0
    lifecycle.drain()
    assert lifecycle.state is LifecycleState.DRAINING
    assert lifecycle.closing
    assert lifecycle.closing_for_s == 2.0
    lifecycle.undrain()
    assert lifecycle.serving
    assert lifecycle.closing_for_s == 0.0
    lifecycle.drain()
    lifecycle.stop()
    lifecycle.undrain()
    now_s[0] = 3.0
    assert lifecycle.state is LifecycleState.STOPPING
    assert lifecycle.closing
    assert lifecycle.closing_for_s == 1.0


def test_lifecycle_keeps_the_drain_when_it_begins_before_the_start() -> None:
    lifecycle = Lifecycle()
    lifecycle.drain()
    lifecycle.start()
    assert lifecycle.state is LifecycleState.DRAINING
    lifecycle.undrain()
    assert lifecycle.serving


def test_sidecar_serves_during_a_drain_and_is_ready_again_when_it_ends() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as instance:
            assert await instance.call_admin("GET", "/_ready") == 200
            assert status(await instance.send_request(UP)) == 200
            open_reader, open_writer = await instance.connect()
            open_writer.write(request())
            assert b"close" not in (await read_message(open_reader))[0]
            idle_reader, idle_writer = await instance.connect()
            for _ in range(2):
                assert await instance.call_admin("POST", "/_lameduck/on") == 200
                assert status(await instance.send_request(UP)) == 503
                assert await instance.call_admin("GET", "/_ready") == 503
            open_writer.write(request(request_id="2"))  # the last request on this connection
            head, body = await read_message(open_reader)
            assert body == b"done"
            assert b"Connection: close" in head
            # A client may send a request before it sees the failed readiness check.
            assert (await instance.send_request(request(request_id="3")))[1] == b"done"
            async with asyncio.timeout(3.5):
                assert await open_reader.read() == b""
                assert await idle_reader.read() == b""
            for _ in range(2):
                assert await instance.call_admin("POST", "/_lameduck/off") == 200
                assert status(await instance.send_request(UP)) == 200
                assert await instance.call_admin("GET", "/_ready") == 200
            head, body = await instance.send_request(request(request_id="4"))
            assert body == b"done"
            assert b"Connection: close" not in head
            for writer in (open_writer, idle_writer):
                writer.close()

    run(test)


def test_sidecar_stays_not_ready_when_a_drain_ends_after_sigterm() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as instance:
            assert await instance.call_admin("POST", "/_lameduck/on") == 200
            instance.stop.set()
            await asyncio.sleep(0)
            assert await instance.call_admin("POST", "/_lameduck/off") == 200
            assert status(await instance.send_request(UP)) == 503
            await instance.task

    run(test)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET /unknown HTTP/1.1\r\n\r\n", 404),
        (b"GET /read/it HTTP/1.1\r\nX-Request-Id: 1\r\nX-Deadline-Ms: 100\r\n\r\n", 404),
        (b"POST /_ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /_lameduck/on HTTP/1.1\r\n\r\n", 405),
        (b"noise\r\n\r\n", 400),
        (b"\x00\xff\r\n\r\n", 400),
        (b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", 400),
        (b"GET /_ready HTTP/1.1\r\nX-Endless: " + b"x" * 9000, 413),
        (b"GET /_ready?x=1 HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"POST /_lameduck/off HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 200),
    ],
)
def test_admin_server_answers_with_an_error_when_a_call_is_malformed(data: bytes, expected: int) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as instance:
            reader, writer = await asyncio.open_connection("127.0.0.1", instance.admin_port)
            writer.write(data)
            response = await reader.read()
            writer.close()
            assert int(response.split(b" ")[1]) == expected
            assert b"Connection: close" in response
            assert status(await instance.send_request(UP)) == 200

    run(test)


def test_admin_server_ends_stalled_connections_when_there_are_many(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_server, "REQUEST_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as instance:
            stalled = [await asyncio.open_connection("127.0.0.1", instance.admin_port) for _ in range(40)]
            for _, writer in stalled:
                writer.write(b"POST /_lameduck/on HT")
            assert await instance.call_admin("GET", "/_ready") == 200
            responses = [await reader.read() for reader, _ in stalled[-3:]]
            assert all(response.startswith(b"HTTP/1.1 408 ") for response in responses)
            for _, writer in stalled:
                writer.close()
            assert status(await instance.send_request(UP)) == 200

    run(test)


def test_load_prefers_the_admin_address_of_the_environment_when_the_file_also_has_one(tmp_path: Path) -> None:
    path = write_configuration(tmp_path)
    assert load(str(path)).admin is None
    path.write_text(json.dumps(json.loads(path.read_text()) | {"admin": "127.0.0.1:15000"}))
    assert load(str(path)).admin == ("127.0.0.1", 15000)
    assert load(str(path), "127.0.0.1:15001").admin == ("127.0.0.1", 15001)
