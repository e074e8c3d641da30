"""Crossings of hand-overs: long bodies and long answers that overlap."""

from __future__ import annotations

import asyncio
import socket

import pytest

from garnetusher.sidecar.downstream.request_reader import RequestReader
from tests.net import request, sidecar
from tests.runner import run, status
from tests.streams import LONG_BODY, FunctionUpstream, upload_request
from tests.test_crossing_idle import next_status

DEADLINE_S = 0.5


def test_response_is_not_cut_at_deadline_when_it_began_before_body_was_complete() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(LONG_BODY) - 1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000])
            await reader.readexactly(1)
            await go.wait()
            writer.write(LONG_BODY[100_000:])
            await reader.read()

        async with sidecar(FunctionUpstream(play)) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=LONG_BODY, deadline_ms=int(1000 * DEADLINE_S))
            writer.write(whole[:-1])
            assert status((await reader.readuntil(b"\r\n\r\n"), b"")) == 200
            writer.write(whole[-1:])
            await asyncio.sleep(2 * DEADLINE_S)  # its time, from the last byte of its body on, is over
            go.set()
            assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
            writer.close()

    run(test)


@pytest.mark.parametrize("how", ["malformed", "stalls", "leaves"])
def test_started_response_is_reset_when_rest_of_body_fails(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """What goes wrong with the rest of its body then ends the answer in a way that its client can tell."""

    async def test() -> None:
        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(80_000)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY[:100_000])
            await reader.read()

        async with sidecar(FunctionUpstream(play)) as it:
            with socket.create_connection(("127.0.0.1", it.port)) as sock:
                whole = upload_request(LONG_BODY, 1000)
                sock.sendall(whole[:100_000])
                assert await next_status(sock) == 200
                if how == "malformed":
                    sock.sendall(b"no chunk\r\n" * 200)  # over the end of the one that is open
                elif how == "stalls":  # till its time is up, which is now
                    monkeypatch.setattr(
                        RequestReader, "deadline_us", property(lambda it: 0, lambda it, to: None), raising=False
                    )
                else:
                    sock.shutdown(socket.SHUT_WR)
                with pytest.raises(ConnectionResetError):  # noqa: PT012 - any of the reads may meet the reset
                    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
                        assert b"HTTP/1.1" not in data

    run(test)
