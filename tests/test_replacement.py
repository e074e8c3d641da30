"""Tests of a takeover: the inherited socket, the endpoint list of the successor, and the exit of the predecessor."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest

from garnetusher.sidecar import closing_schedule, startup
from garnetusher.sidecar.configuration import open_inherited_socket
from tests.net import (
    OK,
    TEST_TIMEOUT_S,
    Discovery,
    Upstream,
    entry,
    free_ports,
    listing,
    read_message,
    request,
    respond_with,
    sidecar,
)
from tests.processes import program, write_configuration
from tests.runner import run, status

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


@contextlib.contextmanager
def platform_socket() -> Iterator[socket.socket]:
    """Yield a listening socket for clients, like the one that the platform holds open across processes."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(512)
        yield sock


def test_open_inherited_socket_fails_when_it_is_not_a_listening_socket() -> None:
    with tempfile.TemporaryFile() as file, socket.socket() as plain, platform_socket() as shared_socket:
        for text in ("x", "-1", "", "1e3", "999999", "9" * 30, str(file.fileno())):
            with pytest.raises(ValueError, match="BALANCER_SOCKET_FD"):
                open_inherited_socket(text)
        with pytest.raises(ValueError, match="not a listening socket"):
            open_inherited_socket(str(os.dup(plain.fileno())))
        open_inherited_socket(str(os.dup(shared_socket.fileno()))).close()


@pytest.mark.parametrize("text", ["seven", "0"])
def test_program_exits_with_one_line_when_the_socket_is_not_inheritable(tmp_path: Path, text: str) -> None:
    with program(write_configuration(tmp_path), BALANCER_SOCKET_FD=text) as process:
        _, errors = process.communicate(timeout=TEST_TIMEOUT_S)
        assert process.returncode == 2
        assert len(errors.splitlines()) == 1
        assert b"BALANCER_SOCKET_FD" in errors


def test_successor_accepts_clients_when_discovery_has_answered() -> None:
    async def test() -> None:
        removed_upstream, upstream, discovery = Upstream(respond_with(OK)), Upstream(respond_with(OK)), Discovery()
        await upstream.start()
        with platform_socket() as shared_socket:
            async with sidecar(removed_upstream, discovery=discovery, inherited=shared_socket) as instance:
                await discovery.wait_for_watch()
                waiting = asyncio.create_task(instance.send_request(request()))
                assert await instance.call_admin("GET", "/_ready") == 503
                assert not waiting.done()
                assert not removed_upstream.requests
                discovery.send_update(listing(entry("u9", upstream.port), rev=2))
                assert status(await waiting) == 200
                assert await instance.call_admin("GET", "/_ready") == 200
                assert len(upstream.requests) == 1
                assert not removed_upstream.requests
        upstream.stop()

    run(test)


def test_successor_is_ready_in_time_when_discovery_is_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(startup, "CURRENT_LIST_TIMEOUT_S", 0.2)

    async def test() -> None:
        with platform_socket() as shared_socket:
            async with sidecar(Upstream(respond_with(OK)), inherited=shared_socket) as instance:
                assert status(await instance.send_request(request())) == 200
                assert await instance.call_admin("GET", "/_ready") == 200

    run(test)


def test_predecessor_serves_a_last_request_per_connection_when_it_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing_schedule, "LAST_REQUEST_S", 20.0)  # longer than the test takes on a busy host

    async def test() -> None:
        upstream, second = Upstream(respond_with(OK)), Upstream(respond_with(OK))
        old_discovery, new_discovery = Discovery(), Discovery()
        with platform_socket() as shared_socket:
            async with (
                sidecar(upstream, discovery=old_discovery, inherited=shared_socket) as old,
                sidecar(second, discovery=new_discovery, inherited=shared_socket) as new,
            ):
                await old_discovery.wait_for_watch()
                old_discovery.send_update(listing(rev=1, full=False))
                reader, writer = await old.connect()
                idle_reader, idle_writer = await old.connect()
                for each_reader, each_writer in ((reader, writer), (idle_reader, idle_writer)):
                    each_writer.write(request())
                    assert b"close" not in (await read_message(each_reader))[0]
                await new_discovery.wait_for_watch()
                new_discovery.send_update(listing(rev=1, full=False))
                while await new.call_admin("GET", "/_ready") != 200:
                    pass
                old.stop.set()
                await asyncio.sleep(0.05)
                # The new process accepts connections that clients open during the shutdown of the old one.
                for number in range(20):
                    assert status(await new.send_request(request(request_id=f"n{number}"))) == 200
                assert len(second.requests) == 20
                await asyncio.sleep(0.5)
                writer.write(request(request_id="last"))
                head, body = await read_message(reader)
                assert body == b"done"
                assert b"Connection: close" in head
                assert await reader.read() == b""
                assert await idle_reader.read() == b""
                writer.close()
                idle_writer.close()
                await old.task
                assert status(await new.send_request(request(request_id="after"))) == 200

    run(test)


def test_only_the_predecessor_exits_when_it_receives_sigterm(tmp_path: Path) -> None:
    async def test() -> None:
        upstream, discovery = Upstream(respond_with(OK)), Discovery()
        await upstream.start()
        await discovery.start()
        known = listing(entry("u0", upstream.port))
        path = write_configuration(tmp_path, known=known, discovery=f"127.0.0.1:{discovery.port}")

        async def request_status(port: int, request_id: str) -> int:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request("pay", request_id, b"b", deadline_ms=1000))
            response = await read_message(reader)
            writer.close()
            return status(response)

        async def ready(port: int) -> bool:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except ConnectionRefusedError:
                return False
            writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
            response = await read_message(reader)
            writer.close()
            # An empty line on the watch tells the sidecars that the cached list is current, so that they become ready.
            for watch in discovery.writers:
                watch.write(b"1\r\n\n\r\n")
            return status(response) == 200

        with platform_socket() as shared_socket:
            descriptor, port = shared_socket.fileno(), shared_socket.getsockname()[1]
            first, second = free_ports(2)
            with (
                program(
                    path, (descriptor,), BALANCER_SOCKET_FD=str(descriptor), BALANCER_ADMIN=f"127.0.0.1:{first}"
                ) as old,
                program(
                    path, (descriptor,), BALANCER_SOCKET_FD=str(descriptor), BALANCER_ADMIN=f"127.0.0.1:{second}"
                ) as new,
            ):
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    while not (await ready(first) and await ready(second)):  # noqa: ASYNC110 - polls two processes
                        await asyncio.sleep(0.02)
                    assert await request_status(port, "0") == 200
                    old.send_signal(signal.SIGTERM)
                    assert [await request_status(port, str(number)) for number in range(1, 60)] == [200] * 59
                    assert await asyncio.to_thread(old.wait, TEST_TIMEOUT_S) == 0
                    assert [await request_status(port, str(number)) for number in range(60, 70)] == [200] * 10
                    assert new.poll() is None
        upstream.stop()
        discovery.stop()

    asyncio.run(test())


def test_sidecar_serves_clients_on_a_third_of_the_descriptors_when_it_shares_the_socket() -> None:
    async def test() -> None:
        discovery = Discovery()
        with platform_socket() as shared_socket:
            async with sidecar(Upstream(respond_with(OK)), discovery=discovery, inherited=shared_socket) as instance:
                await discovery.wait_for_watch()
                discovery.send_update(listing(rev=1, full=False))
                clients = [await instance.connect() for _ in range(200 // 3)]
                for reader, writer in clients:
                    writer.write(request())
                    assert status(await read_message(reader)) == 200
                    writer.close()

    run(test)


def test_successor_accepts_no_client_when_it_is_stopped_before_it_is_ready() -> None:
    async def test() -> None:
        discovery = Discovery()
        with platform_socket() as shared_socket:
            async with sidecar(Upstream(respond_with(OK)), discovery=discovery, inherited=shared_socket) as instance:
                await discovery.wait_for_watch()
                _, writer = await instance.connect()
                instance.stop.set()
                await instance.task
                shared_socket.setblocking(False)
                shared_socket.accept()[0].close()  # the connection still waits in the backlog
                writer.close()

    run(test)
