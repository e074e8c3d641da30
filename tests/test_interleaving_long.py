"""Tests of long bodies and long responses that overlap: the upstream responds before it has the whole body."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.downstream.request_reader import RequestReader
from garnetusher.sidecar.sockets import ShortageTolerantSocket
from garnetusher.sidecar.streaming import Head
from tests.downstream import NullDispatcher, NullTransport, new_connection, new_server
from tests.net import classes, request, sidecar
from tests.runner import run, status
from tests.streams import LONG_BODY, FunctionUpstream, upload_request
from tests.test_interleaving_idle import next_status

DEADLINE_S = 0.5


def test_response_is_not_cut_at_deadline_when_it_began_before_body_was_complete() -> None:
    async def test() -> None:
        client_has_waited = asyncio.Event()

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(LONG_BODY) - 1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000])
            await reader.readexactly(1)
            await client_has_waited.wait()
            writer.write(LONG_BODY[100_000:])
            await reader.read()

        async with sidecar(FunctionUpstream(handle)) as running:
            reader, writer = await running.connect()
            upload = request("pay", body=LONG_BODY, deadline_ms=int(1000 * DEADLINE_S))
            writer.write(upload[:-1])
            assert status((await reader.readuntil(b"\r\n\r\n"), b"")) == 200
            writer.write(upload[-1:])
            await asyncio.sleep(2 * DEADLINE_S)  # longer than the deadline, which counts from the last byte of the body
            client_has_waited.set()
            assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
            writer.close()

    run(test)


@pytest.mark.parametrize("failure", ["malformed", "stalls", "closes"])
def test_started_response_is_reset_when_rest_of_body_fails(failure: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """If the rest of the body fails after the response has started, the client must see an incomplete response."""

    async def test() -> None:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(80_000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000])
            await reader.read()

        async with sidecar(FunctionUpstream(handle)) as running:
            with socket.create_connection(("127.0.0.1", running.port)) as sock:
                upload = upload_request(LONG_BODY, 1000)
                sock.sendall(upload[:100_000])
                assert await next_status(sock) == 200
                if failure == "malformed":
                    sock.sendall(b"no chunk\r\n" * 200)  # more bytes than the current chunk lacks
                elif failure == "stalls":  # the body stalls until its read deadline, which the patch sets into the past
                    monkeypatch.setattr(
                        RequestReader,
                        "deadline_us",
                        property(lambda request_reader: 0, lambda request_reader, value: None),
                        raising=False,
                    )
                else:
                    sock.shutdown(socket.SHUT_WR)
                with pytest.raises(ConnectionResetError):  # noqa: PT012 - any of the reads may receive the reset
                    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
                        assert b"HTTP/1.1" not in data

    run(test)


class AbortRecordingTransport(NullTransport):
    """A transport that records whether the connection was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class IdleSource:
    """The source of a streamed response that sends nothing."""

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass


@pytest.mark.parametrize("client_half_closes", [False, True])
@pytest.mark.parametrize("waited_s", [2 * DEADLINE_S, 20.0])
def test_started_response_is_not_reset_when_the_upstream_leaves_the_rest_of_the_body_unread(
    waited_s: float, client_half_closes: bool
) -> None:
    """The whole rest of the body waits in the kernel, and nothing is wrong with the response."""

    async def test() -> None:
        client, accepted = socket.socketpair()
        sock = ShortageTolerantSocket.adopt(accepted)
        transport, dispatcher = AbortRecordingTransport(), NullDispatcher(Settings(classes()))
        client_connection = new_connection(transport, new_server(dispatcher), sock)
        upload = request("pay", body=LONG_BODY[:80_000], deadline_ms=int(1000 * DEADLINE_S))
        client_connection.data_received(upload[:-1000])
        assert client_connection.has_open_request
        client_connection.begin_response(Head(len(LONG_BODY), b""), IdleSource())
        client.sendall(upload[-1000:])
        if client_half_closes:
            client.shutdown(socket.SHUT_WR)
        paused_since_us = client_connection.arrival_times.paused_since_us
        assert paused_since_us
        client_connection.check_timeouts(paused_since_us + int(1e6 * waited_s))
        assert not transport.aborted
        assert not dispatcher.calls
        assert client_connection.has_open_request
        client.close()
        sock.close()

    run(test)
