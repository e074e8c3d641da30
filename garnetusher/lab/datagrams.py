"""A UDP relay between members of the membership protocol; it drops, duplicates, delays and reorders datagrams.

The relay has a socket for each ordered pair of members. A member sends datagrams for a peer to the address of the
socket for that pair (`Relay.peer_address`). The relay delivers them from the socket of the reverse pair, so the peer
can reply to the source address. The members therefore need no code for the relay.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from typing import cast

from garnetusher.lab.run_clock import RunClock
from garnetusher.model import draw
from garnetusher.model.link import DatagramLink, LinkConditions

Address = tuple[str, int]


class _PairSocket(asyncio.DatagramProtocol):
    """The relay's socket to which `member` sends for `peer`, and from which `member` receives from `peer`."""

    def __init__(self, relay: Relay, member: str, peer: str) -> None:
        self.relay, self.member, self.peer = relay, member, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        # In Python 3.11, the transport's class does not derive from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Forward a datagram of the member; called by the event loop."""
        if sender == self.relay.members[self.member]:  # datagrams of other senders are ignored
            self.relay.forward(self.member, self.peer, data)


class Relay:
    """Relays datagrams between all pairs of members.

    Attributes:
        clock: The clock that schedules deliveries.
        members: The address of each member by its name.
        conditions: The link conditions by sender and receiver; they may be changed at any time.
        delivered: The number of datagrams that the relay has delivered.
        lost: The number of datagrams that the relay has dropped.
    """

    def __init__(self, clock: RunClock, members: dict[str, Address], seed: int) -> None:
        self.clock, self.members = clock, members
        self._sockets: dict[tuple[str, str], _PairSocket] = {}
        self.conditions = {(a, b): LinkConditions() for a in members for b in members if a != b}
        self._links = {
            pair: DatagramLink(conditions, random.Random(int(draw.uniform(seed, *pair) * 2**53)))
            for pair, conditions in self.conditions.items()
        }
        self.delivered = self.lost = 0

    async def open(self, host: str) -> None:
        """Open the sockets of all pairs at an address."""
        for member, peer in self.conditions:
            make_socket = functools.partial(_PairSocket, self, member, peer)
            _, pair_socket = await self.clock.loop.create_datagram_endpoint(make_socket, local_addr=(host, 0))
            self._sockets[member, peer] = pair_socket

    def peer_address(self, member: str, peer: str) -> Address:
        """Return the address at which a member reaches a peer."""
        transport = self._sockets[member, peer].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")
        return host, port

    def forward(self, sender: str, receiver: str, data: bytes) -> None:
        """Send a datagram through the link of a pair, which may drop, duplicate or delay it."""
        copies = self._links[sender, receiver].send(self.clock.now_us(), data)
        self.lost += not copies  # the link has dropped the datagram
        for at_us, copy in copies:
            self.clock.at(at_us, self._deliver, sender, receiver, copy)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if self.conditions[sender, receiver].cut:  # the link was cut while the datagram was in transit
            self.lost += 1
            return
        self.delivered += 1
        transport = self._sockets[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            with contextlib.suppress(OSError):
                transport.sendto(data, self.members[receiver])

    def close(self) -> None:
        """Close all sockets."""
        for pair_socket in self._sockets.values():
            if pair_socket.transport is not None:
                pair_socket.transport.close()
