"""Crossings of closing idle connections with what is on its way over them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnetusher.sidecar.downstream import request_reader
from garnetusher.sidecar.downstream import server as downstream_server
from garnetusher.sidecar.downstream.server import DownstreamServer
from tests.net import OK, Upstream, answering, request, sidecar
from tests.runner import run, status

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


async def answer_of(sock: socket.socket) -> int:
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


def test_a_request_in_the_kernel_when_idle_connections_close_is_served() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            with socket.create_connection(("127.0.0.1", it.port)) as sock:
                sock.sendall(request(ident="1"))
                assert await answer_of(sock) == 200
                sock.send(request(ident="2"))  # no round of the loop between: it is there, and was not read
                it.stop.set()
                assert await answer_of(sock) == 200
            await it.task

    run(test)


def test_the_first_request_of_a_new_connection_is_waited_for_at_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream_server, "MIN_IDLE_US", 20_000_000)  # no busy machine is slower than that

    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            with socket.create_connection(("127.0.0.1", it.port)) as sock:
                while await it.call("GET", "/_ready") != 200:
                    pass
                it.stop.set()
                while await it.call("GET", "/_ready") == 200:
                    pass
                sock.send(request())
                assert await answer_of(sock) == 200
            await it.task

    run(test)


def test_the_first_request_of_a_connection_that_rested_is_served_though_its_time_is_just_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        resting: list[socket.socket] = []
        check = DownstreamServer.check_connections

        def look(server: DownstreamServer) -> None:
            if resting and len(server.connections) != 1:  # the fixture's own connection is still there
                asyncio.get_running_loop().call_later(0.01, look, server)
                return
            if resting:
                resting.pop().send(request())  # after the loop's last look, and before the look at the time
            check(server)

        monkeypatch.setattr(DownstreamServer, "check_connections", look)
        async with sidecar(Upstream(answering(OK))) as it:
            monkeypatch.setattr(request_reader, "READ_TIMEOUT_US", 0)
            with socket.create_connection(("127.0.0.1", it.port)) as sock:
                resting.append(sock)
                assert await answer_of(sock) == 200

    run(test)


@pytest.mark.parametrize("rounds", range(4))
def test_the_oldest_connection_does_not_make_room_once_its_request_is_here(rounds: int) -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            with socket.create_connection(("127.0.0.1", it.port)) as oldest:
                oldest.sendall(request(ident="1"))
                assert await answer_of(oldest) == 200
                others = [socket.create_connection(("127.0.0.1", it.port)) for _ in range(98)]
                for other in others:  # clients that have sent proper requests, as the oldest has
                    other.sendall(UP)
                    assert await answer_of(other) == 200
                last = socket.create_connection(("127.0.0.1", it.port))
                last.sendall(UP)
                assert await answer_of(last) == 200  # as many as may be
                one_more = socket.create_connection(("127.0.0.1", it.port))
                oldest.setblocking(True)
                for _ in range(rounds):  # of the loop, in one of which the new connection is set up
                    await asyncio.sleep(0)
                oldest.send(request(ident="2"))
                assert await answer_of(oldest) == 200
                for sock in (*others, last, one_more):
                    sock.close()

    run(test)
