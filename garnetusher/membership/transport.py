"""The core's socket and timer: it owns them and decides nothing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from garnetusher.membership.member import Action, Datagram, Event, Leave, Member, SendTo, Wake
from garnetusher.membership.messages import Address

LEAVING_S = 2.0  # for the last words of one that leaves


def clock_us() -> int:
    """No wall clock: that may jump."""
    return time.monotonic_ns() // 1000


class Shell(asyncio.DatagramProtocol):
    """Runs one member. `act` is told every action but the datagrams."""

    def __init__(self, make: Callable[[Address, int], Member], act: Callable[[Action], None]) -> None:
        self.make, self.act = make, act
        self.loop = asyncio.get_running_loop()
        self.member: Member | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.bytes_in = self.bytes_out = 0
        self.ended = asyncio.Event()

    async def open(self, host: str, port: int) -> Address:
        """Bind, and begin to join; raises OSError."""
        self.transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        address: Address = self.transport.get_extra_info("sockname")[:2]
        self.member = self.make(address, clock_us())
        self._arm()
        return address

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.bytes_in += len(data)
        self.tell(Datagram(data, address))

    def tell(self, event: Event) -> None:
        if self.member is None or self.transport is None or self.transport.is_closing():
            return
        for action in self.member.handle(clock_us(), event):
            if isinstance(action, SendTo):
                self.bytes_out += len(action.data)
                self.transport.sendto(action.data, action.address)
            else:
                self.act(action)
        if self.member.phase == "stopped":
            self.close()
        else:
            self._arm()

    def _arm(self) -> None:
        assert self.member is not None
        if self.timer is not None:
            self.timer.cancel()
        after_us = self.member.next_us - clock_us()
        self.timer = self.loop.call_later(max(0.0, after_us / 1e6), self.tell, Wake())

    async def leave(self) -> None:
        """Say so to the others, and close."""
        self.tell(Leave())
        try:
            await asyncio.wait_for(self.ended.wait(), LEAVING_S)
        except TimeoutError:
            self.close()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
        self.ended.set()
