"""Links on real sockets: a cut is silence and no close, one way or both, and a mended link carries on."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from garnetusher.lab import link_sockets
from garnetusher.lab.clockwork import Clockwork
from garnetusher.lab.datagrams import Relay
from garnetusher.model.link import LinkConditions
from garnetusher.model.records import Journal

HOST = "127.77.0.1"
COUNTED = 400
SOON = 0.3  # seconds in which a reset on this machine has come


class Echo:
    """Answers with what it receives, in upper case."""

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
def test_listener_carries_on_without_closing_when_a_cut_ends(tmp_path: Path, to_node: bool, to_sidecar: bool) -> None:
    async def test() -> None:
        clock, received, undelivered = Clockwork("test", Journal(tmp_path / "x")), list[bytes](), list[bytes]()
        listener = link_sockets.Listener(
            clock, HOST, lambda c: Echo(c, received, undelivered), 1, LinkConditions(delay_us=2_000)
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
        for _ in range(3):  # nobody comes in, and nobody is refused
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(asyncio.open_connection(HOST, listener.port), 0.15)
        listener.restore(to_node=to_node, to_sidecar=to_sidecar)
        reader, writer = await asyncio.open_connection(HOST, listener.port)  # the old one's read was cancelled
        writer.write(b"three")
        assert await asyncio.wait_for(reader.read(9), 5) == b"THREE"
        async with asyncio.timeout(5):
            while b"two" not in received:  # noqa: ASYNC110 - the peers set no event
                await asyncio.sleep(0.01)
        listener.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, listener.port)
        listener.open()  # at the same port again
        (await asyncio.open_connection(HOST, listener.port))[1].close()
        listener.close()

    asyncio.run(test())


def test_relay_loses_duplicates_and_cuts_datagrams_when_link_has_faults(tmp_path: Path) -> None:
    class Member(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received: list[tuple[bytes, tuple[str, int]]] = []

        def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
            self.received.append((data, sender))

    async def test() -> None:
        loop, made = asyncio.get_running_loop(), {}
        for name in ("x", "y", "z"):
            made[name] = await loop.create_datagram_endpoint(Member, local_addr=(HOST, 0))
        relay = Relay(
            Clockwork("test", Journal(tmp_path / "x")),
            {name: transport.get_extra_info("sockname") for name, (transport, _) in made.items()},
            1,
        )
        await relay.open(HOST)
        relay.conditions["x", "y"].loss, relay.conditions["x", "y"].duplicate = 0.25, 0.5
        relay.conditions["x", "z"].cut = 1
        for number in range(COUNTED):
            for name in ("y", "z"):
                made["x"][0].sendto(b"%d" % number, relay.as_seen_by("x", name))
            made["z"][0].sendto(b"%d" % number, relay.as_seen_by("z", "x"))
            await asyncio.sleep(0)
        await asyncio.sleep(0.3)
        received = made["y"][1].received
        assert {sender for _, sender in received} == {relay.as_seen_by("y", "x")}
        assert 0.65 < len({data for data, _ in received}) / COUNTED < 0.85
        assert len(received) > 1.2 * len(set(received))
        assert made["z"][1].received == []
        assert len(made["x"][1].received) == COUNTED
        stranger, _ = await loop.create_datagram_endpoint(Member, local_addr=(HOST, 0))
        stranger.sendto(b"hello", relay.as_seen_by("z", "x"))
        await asyncio.sleep(0.05)
        assert len(made["x"][1].received) == COUNTED
        relay.close()

    asyncio.run(test())


def test_listener_resets_connections_only_when_the_cut_has_ended(tmp_path: Path) -> None:
    async def test() -> None:
        clock, received = Clockwork("test", Journal(tmp_path / "x")), list[bytes]()
        listener = link_sockets.Listener(
            clock, HOST, lambda c: Echo(c, received, []), 1, LinkConditions(delay_us=2_000)
        )
        listener.open()
        reader, writer = await asyncio.open_connection(HOST, listener.port)
        writer.write(b"one")
        assert await asyncio.wait_for(reader.read(9), 5) == b"ONE"
        listener.cut(to_node=True, to_sidecar=True)
        listener.abort_all()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(HOST, listener.port), SOON)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(reading := asyncio.ensure_future(reader.read(9))), SOON)
        listener.open()  # it has started anew
        listener.restore(to_node=True, to_sidecar=True)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reading, 5) == b""  # its end is told at last
        assert received[0] == b"one"
        assert b"two" not in received
        listener.close()

    asyncio.run(test())
