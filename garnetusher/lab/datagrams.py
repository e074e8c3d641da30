"""UDP behind links: between each pair of members stands a relay that loses, doubles, delays and reorders.

A member knows each other one by an address of its own, `Relay.as_seen_by`: what it sends there comes out at the other
from the address by which that one knows the sender. So members need not know of the relay.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from typing import cast

from garnetusher.lab.clockwork import Clockwork
from garnetusher.model import draw
from garnetusher.model.link import DatagramLink, LinkConditions

Address = tuple[str, int]


class _Side(asyncio.DatagramProtocol):
    """The socket at which `near` sends to `far`, and from which `near` hears of `far`."""

    def __init__(self, relay: Relay, near: str, far: str) -> None:
        self.relay, self.near, self.far = relay, near, far
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # Python 3.11's is none by its class

    def datagram_received(self, data: bytes, sender: Address) -> None:
        if sender == self.relay.members[self.near]:  # nobody else has anything to say here
            self.relay.carry(self.near, self.far, data)


class Relay:
    """All pairs of some members. `conditions` of a pair, one way, may be changed at any time."""

    def __init__(self, clock: Clockwork, members: dict[str, Address], seed: int) -> None:
        self.clock, self.members = clock, members
        self._sides: dict[tuple[str, str], _Side] = {}
        self.conditions = {(a, b): LinkConditions() for a in members for b in members if a != b}
        self._links = {
            pair: DatagramLink(conditions, random.Random(int(draw.uniform(seed, *pair) * 2**53)))
            for pair, conditions in self.conditions.items()
        }
        self.passed = self.lost = 0

    async def open(self, host: str) -> None:
        for near, far in self.conditions:
            make_side = functools.partial(_Side, self, near, far)
            _, side = await self.clock.loop.create_datagram_endpoint(make_side, local_addr=(host, 0))
            self._sides[near, far] = side

    def as_seen_by(self, near: str, far: str) -> Address:
        """The address by which one member knows another."""
        transport = self._sides[near, far].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")
        return host, port

    def carry(self, near: str, far: str, data: bytes) -> None:
        copies = self._links[near, far].send(self.clock.now_us(), data)
        self.lost += not copies
        for at_us, copy in copies:
            self.clock.at(at_us, self._deliver, near, far, copy)

    def _deliver(self, near: str, far: str, data: bytes) -> None:
        if self.conditions[near, far].cut:  # it came about while this one was on its way
            self.lost += 1
            return
        self.passed += 1
        transport = self._sides[far, near].transport
        if transport is not None and not transport.is_closing():
            with contextlib.suppress(OSError):
                transport.sendto(data, self.members[far])

    def close(self) -> None:
        for side in self._sides.values():
            if side.transport is not None:
                side.transport.close()
