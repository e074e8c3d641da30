"""Guards against peers that hold all descriptors: they got their error, and go on sending."""

from __future__ import annotations

import asyncio
import json

from garnetusher.sidecar.downstream.connection import FORCED_CLOSES
from tests.net import OK, Upstream, read_message, request, respond_with, sidecar, until
from tests.runner import run, status

PEERS = 130  # the sidecar of the tests has at most 100 connections from clients
MAX_CONNECTIONS = 100
SEND_INTERVAL_S = 0.1
BAD_HEAD = b"POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n"


class Peer:
    """A peer that gets an error for a request without an id, and goes on sending its body."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, port: int) -> Peer:
        peer = cls(*await asyncio.open_connection("127.0.0.1", port))
        peer.writer.write(BAD_HEAD)
        assert (await peer.reader.readline()).startswith(b"HTTP/1.1 400 ")
        return peer

    @property
    def is_closed(self) -> bool:
        return self.writer.transport.is_closing() or self.reader.exception() is not None


async def keep_sending(peers: list[Peer]) -> None:
    while True:
        for peer in peers:
            if not peer.is_closed:
                peer.writer.write(b"x")
        await asyncio.sleep(SEND_INTERVAL_S)


def test_peers_that_go_on_sending_after_their_error_make_room_when_connections_are_at_their_limit() -> None:
    async def test() -> None:
        async with sidecar(Upstream(respond_with(OK))) as running:
            kept_reader, kept_writer = await running.connect()
            kept_writer.write(request())
            assert status(await read_message(kept_reader)) == 200
            peers: list[Peer] = []
            sending = asyncio.create_task(keep_sending(peers))
            for _ in range(PEERS):
                peers.append(await Peer.open(running.port))
            await until(lambda: sum(not peer.is_closed for peer in peers) < MAX_CONNECTIONS)
            assert status(await running.send_request(request())) == 200
            kept_writer.write(request())  # a client's own connection does not make room while there are such peers
            assert status(await read_message(kept_reader)) == 200
            _, counters = await running.send_request(b"GET /_counters HTTP/1.1\r\nHost: x\r\n\r\n", running.admin_port)
            assert json.loads(counters)[FORCED_CLOSES] >= PEERS - MAX_CONNECTIONS
            sending.cancel()
            for peer in peers:
                peer.writer.transport.abort()

    run(test)
