"""Idle connections that are closed while a request is on its way over them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnetusher.sidecar.downstream import request_reader
from garnetusher.sidecar.downstream import server as downstream_server
from garnetusher.sidecar.downstream.server import DownstreamServer
from tests.net import OK, Upstream, request, respond_with, sidecar
from tests.runner import run, status

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


async def next_status(sock: socket.socket) -> int:
    """The status of the next answer on a connection that the test writes to by itself; 0 if it ends without one."""
    loop, data = asyncio.get_running_loop(), b""
    sock.setblocking(False)
    while b"\r\n\r\n" not in data:
        try:
            more = await loop.sock_recv(sock, 65536)
        except ConnectionError:
            return 0
        if not more:
            return 0
        data += more
    return status((data, b""))


def test_unread_request_is_served_when_idle_connections_are_closed() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                sock.sendall(request(request_id="1"))
                assert await next_status(sock) == 200
                sock.send(request(request_id="2"))  # no round of the loop between: it is there, and was not read
                running.stop.set()
                assert await next_status(sock) == 200
            await running.task

    run(test)


def test_first_request_of_a_new_connection_is_awaited_when_the_process_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream_server, "MIN_IDLE_US", 20_000_000)  # no busy machine is slower than that

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


def test_first_request_of_a_silent_connection_is_served_when_its_read_limit_has_just_passed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        silent_sockets: list[socket.socket] = []
        check = DownstreamServer.check_connections

        def check_after_request(server: DownstreamServer) -> None:
            if silent_sockets and len(server.connections) != 1:  # the fixture's own connection is still there
                asyncio.get_running_loop().call_later(0.01, check_after_request, server)
                return
            if silent_sockets:
                silent_sockets.pop().send(request())  # after the loop's last look, and before the look at the time
            check(server)

        monkeypatch.setattr(DownstreamServer, "check_connections", check_after_request)
        async with sidecar(Upstream(respond_with(OK))) as running:
            monkeypatch.setattr(request_reader, "READ_TIMEOUT_US", 0)
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                silent_sockets.append(sock)
                assert await next_status(sock) == 200

    run(test)


@pytest.mark.parametrize("rounds", range(4))
def test_oldest_connection_is_not_evicted_when_its_next_request_has_arrived(rounds: int) -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            with socket.create_connection(("127.0.0.1", running.port)) as oldest:
                oldest.sendall(request(request_id="1"))
                assert await next_status(oldest) == 200
                others = [socket.create_connection(("127.0.0.1", running.port)) for _ in range(98)]
                for other in others:  # clients that have sent proper requests, as the oldest has
                    other.sendall(UP)
                    assert await next_status(other) == 200
                last = socket.create_connection(("127.0.0.1", running.port))
                last.sendall(UP)
                assert await next_status(last) == 200  # as many as may be
                one_more = socket.create_connection(("127.0.0.1", running.port))
                oldest.setblocking(True)
                for _ in range(rounds):  # of the loop, in one of which the new connection is set up
                    await asyncio.sleep(0)
                oldest.send(request(request_id="2"))
                assert await next_status(oldest) == 200
                for sock in (*others, last, one_more):
                    sock.close()

    run(test)
