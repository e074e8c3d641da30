"""Tests that no request is lost if it arrives while the sidecar is about to close its idle connection."""

from __future__ import annotations

import _socket
import asyncio
import errno
import socket
from typing import Any

import pytest

from garnetusher.sidecar import closing_schedule
from garnetusher.sidecar.downstream import request_reader
from garnetusher.sidecar.downstream.server import DownstreamServer
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.transitions import ClientCloseReason
from tests.downstream import new_connection
from tests.net import OK, Upstream, request, respond_with, sidecar
from tests.runner import run, status

UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


async def next_status(sock: socket.socket) -> int:
    """Return the status of the next response on a raw socket; 0 if the connection ends without a response."""
    loop, data = asyncio.get_running_loop(), b""
    sock.setblocking(False)
    while b"\r\n\r\n" not in data:
        try:
            received = await loop.sock_recv(sock, 65536)
        except ConnectionError:
            return 0
        if not received:
            return 0
        data += received
    return status((data, b""))


def test_unread_request_is_served_when_idle_connections_are_closed() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                sock.sendall(request(request_id="1"))
                assert await next_status(sock) == 200
                # The loop does not run between these two calls, so the request waits unread in the kernel.
                sock.send(request(request_id="2"))
                running.stop.set()
                assert await next_status(sock) == 200
            await running.task

    run(test)


def test_first_request_of_a_new_connection_is_awaited_when_the_process_shuts_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(closing_schedule, "MIN_IDLE_S", 20.0)  # longer than the test takes on a busy host

    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                while await running.call_admin("GET", "/_ready") != 200:
                    pass
                running.stop.set()
                while await running.call_admin("GET", "/_ready") == 200:
                    pass
                sock.send(request())
                assert await next_status(sock) == 200
            await running.task

    run(test)


def test_first_request_of_a_silent_connection_is_served_when_its_read_timeout_has_just_passed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        silent_sockets: list[socket.socket] = []
        check_connections = DownstreamServer.check_connections

        def check_after_request(server: DownstreamServer) -> None:
            if silent_sockets and len(server.connections) != 1:  # the connection of `sidecar` itself is still open
                asyncio.get_running_loop().call_later(0.01, check_after_request, server)
                return
            if silent_sockets:
                # The request arrives after the loop polled the socket, and before the sidecar checks the read timeout.
                silent_sockets.pop().send(request())
            check_connections(server)

        monkeypatch.setattr(DownstreamServer, "check_connections", check_after_request)
        async with sidecar(Upstream(respond_with(OK))) as running:
            monkeypatch.setattr(request_reader, "READ_TIMEOUT_US", 0)
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                silent_sockets.append(sock)
                assert await next_status(sock) == 200

    run(test)


@pytest.mark.parametrize("loop_iterations", range(4))
def test_oldest_connection_is_not_closed_at_the_limit_when_its_next_request_has_arrived(loop_iterations: int) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            with socket.create_connection(("127.0.0.1", running.port)) as oldest:
                oldest.sendall(request(request_id="1"))
                assert await next_status(oldest) == 200
                others = [socket.create_connection(("127.0.0.1", running.port)) for _ in range(98)]
                for other in others:  # each has sent a valid request, as the oldest connection has
                    other.sendall(UP_REQUEST)
                    assert await next_status(other) == 200
                newest = socket.create_connection(("127.0.0.1", running.port))
                newest.sendall(UP_REQUEST)
                assert await next_status(newest) == 200  # the number of connections has now reached its limit
                excess = socket.create_connection(("127.0.0.1", running.port))
                oldest.setblocking(True)
                for _ in range(loop_iterations):  # the event loop sets up the new connection in one of its iterations
                    await asyncio.sleep(0)
                oldest.send(request(request_id="2"))
                assert await next_status(oldest) == 200
                for sock in (*others, newest, excess):
                    sock.close()

    run(test)


def test_unread_request_is_served_when_reads_fail_while_idle_connections_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loop has looked at the connection before it is closed, but this machine had no memory for the read."""
    failures_left, sidecar_port = [0], [0]

    def fail_for_a_moment(sock: socket.socket, *arguments: Any) -> int:
        if sock.getsockname()[1] != sidecar_port[0] or not failures_left[0]:
            return _socket.socket.recv_into(sock, *arguments)
        failures_left[0] -= 1
        raise OSError(errno.ENOBUFS, "No buffer space available")

    monkeypatch.setattr(socket.socket, "recv_into", fail_for_a_moment, raising=False)

    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            sidecar_port[0] = running.port
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                sock.sendall(request(request_id="1"))
                assert await next_status(sock) == 200
                failures_left[0] = 20  # iterations of the event loop
                sock.send(request(request_id="2"))
                running.stop.set()
                assert await next_status(sock) == 200
            assert not failures_left[0]
            await running.task

    run(test)


@pytest.mark.parametrize("loop_iterations", range(4))
def test_incomplete_request_is_answered_when_its_connection_is_closed_at_the_limit(loop_iterations: int) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            others = [socket.create_connection(("127.0.0.1", running.port)) for _ in range(99)]
            for other in others:
                other.sendall(UP_REQUEST)
                assert await next_status(other) == 200
            with socket.create_connection(("127.0.0.1", running.port)) as newest:
                data = request()
                newest.sendall(data[:-10])
                while await running.call_admin("GET", "/_ready") != 200:  # the sidecar has read the first part
                    pass
                excess = socket.create_connection(("127.0.0.1", running.port))
                for _ in range(loop_iterations):  # the event loop sets up the excess connection in one of them
                    await asyncio.sleep(0)
                newest.setblocking(True)
                newest.send(data[-10:])
                assert await next_status(newest) in (200, 503)
            for sock in (*others, excess):
                sock.close()

    run(test)


def test_idle_close_raises_no_error_when_its_client_closes_first(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        client, accepted = socket.socketpair()
        sock = ShortageTolerantSocket.adopt(accepted)
        client_connection = new_connection(sock=sock)
        client_connection.schedule_close(ClientCloseReason.NO_REQUEST)
        client.close()
        sock.close()  # the event loop closes the socket of a lost connection in its next iteration
        for _ in range(3):  # the two iterations after which an idle connection closes, and one more
            await asyncio.sleep(0)
        assert client_connection.closing

    run(test)
    assert not caplog.records
