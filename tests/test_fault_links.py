"""Tests simulated links on real sockets.

A cut of one or both directions holds data back and closes no connection; delivery resumes when the cut ends.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from garnetusher.lab import link_sockets
from garnetusher.lab.datagrams import Relay
from garnetusher.lab.run_clock import RunClock
from garnetusher.model.link import LinkConditions
from garnetusher.model.records import Journal

HOST = "127.77.0.1"
DATAGRAM_COUNT = 400
RESET_WAIT_S = 0.3  # a reset that is not held back arrives within this time on one machine


class UpperCaseEcho:
    """Answers with the received data in upper case."""

    def __init__(self, connection: link_sockets.Connection, received: list[bytes], undelivered: list[bytes]) -> None:
        self.connection, self.received, self.undelivered = connection, received, undelivered

    def data_arrived(self, data: bytes) -> None:
        self.received.append(data)
        self.connection.write(data.upper())

    def closed_by_sidecar(self) -> None:
        self.received.append(b"lost")

    def data_undelivered(self, data: bytes) -> None:
        self.undelivered.append(data)


@pytest.mark.parametrize(("to_node", "to_sidecar"), [(True, True), (True, False), (False, True)])
def test_listener_resumes_delivery_without_closing_when_a_cut_ends(
    tmp_path: Path, to_node: bool, to_sidecar: bool
) -> None:
    async def test() -> None:
        clock, received, undelivered = RunClock("test", Journal(tmp_path / "x")), list[bytes](), list[bytes]()
        listener = link_sockets.Listener(
            clock, HOST, lambda c: UpperCaseEcho(c, received, undelivered), 1, LinkConditions(delay_us=2_000)
        )
        listener.open()
        reader, writer = await asyncio.open_connection(HOST, listener.port)
        writer.write(b"one")
        assert await asyncio.wait_for(reader.read(9), 5) == b"ONE"
        listener.cut(to_node=to_node, to_sidecar=to_sidecar)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(9), 0.4)
        assert received == ([b"one"] if to_node else [b"one", b"two"])
        assert undelivered == ([b"two"] if to_node else [])
        for _ in range(3):  # a new connection is neither established nor refused
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.open_connection(HOST, listener.port), 0.15)
        listener.restore(to_node=to_node, to_sidecar=to_sidecar)
        # The old connection is not read again, because its last read was cancelled.
        reader, writer = await asyncio.open_connection(HOST, listener.port)
        writer.write(b"three")
        assert await asyncio.wait_for(reader.read(9), 5) == b"THREE"
        async with asyncio.timeout(5):
            while b"two" not in received:  # noqa: ASYNC110 - UpperCaseEcho sets no event
                await asyncio.sleep(0.01)
        listener.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, listener.port)
        listener.open()  # the listener uses the same port again
        (await asyncio.open_connection(HOST, listener.port))[1].close()
        listener.close()

    asyncio.run(test())


def test_relay_drops_and_duplicates_datagrams_when_links_have_faults(tmp_path: Path) -> None:
    class Member(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received: list[tuple[bytes, tuple[str, int]]] = []

        def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
            self.received.append((data, sender))

    async def test() -> None:
        loop, members = asyncio.get_running_loop(), {}
        for name in ("x", "y", "z"):
            members[name] = await loop.create_datagram_endpoint(Member, local_addr=(HOST, 0))
        relay = Relay(
            RunClock("test", Journal(tmp_path / "x")),
            {name: transport.get_extra_info("sockname") for name, (transport, _) in members.items()},
            1,
        )
        await relay.open(HOST)
        relay.conditions["x", "y"].loss, relay.conditions["x", "y"].duplicate = 0.25, 0.5
        relay.conditions["x", "z"].cut = 1
        for number in range(DATAGRAM_COUNT):
            for name in ("y", "z"):
                members["x"][0].sendto(b"%d" % number, relay.peer_address("x", name))
            members["z"][0].sendto(b"%d" % number, relay.peer_address("z", "x"))
            await asyncio.sleep(0)
        await asyncio.sleep(0.3)
        received = members["y"][1].received
        assert {sender for _, sender in received} == {relay.peer_address("y", "x")}
        assert 0.65 < len({data for data, _ in received}) / DATAGRAM_COUNT < 0.85
        assert len(received) > 1.2 * len(set(received))
        assert members["z"][1].received == []
        assert len(members["x"][1].received) == DATAGRAM_COUNT
        unknown_sender, _ = await loop.create_datagram_endpoint(Member, local_addr=(HOST, 0))
        unknown_sender.sendto(b"hello", relay.peer_address("z", "x"))
        await asyncio.sleep(0.05)
        assert len(members["x"][1].received) == DATAGRAM_COUNT
        relay.close()

    asyncio.run(test())


def test_listener_resets_connections_only_when_the_cut_has_ended(tmp_path: Path) -> None:
    async def test() -> None:
        clock, received = RunClock("test", Journal(tmp_path / "x")), list[bytes]()
        listener = link_sockets.Listener(
            clock, HOST, lambda c: UpperCaseEcho(c, received, []), 1, LinkConditions(delay_us=2_000)
        )
        listener.open()
        reader, writer = await asyncio.open_connection(HOST, listener.port)
        writer.write(b"one")
        assert await asyncio.wait_for(reader.read(9), 5) == b"ONE"
        listener.cut(to_node=True, to_sidecar=True)
        listener.abort_all()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(HOST, listener.port), RESET_WAIT_S)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(reading := asyncio.ensure_future(reader.read(9))), RESET_WAIT_S)
        listener.open()  # the machine has restarted
        listener.restore(to_node=True, to_sidecar=True)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reading, 5) == b""  # the reset arrives after the cut
        assert received[0] == b"one"
        assert b"two" not in received
        listener.close()

    asyncio.run(test())
