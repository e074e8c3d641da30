"""Connects a member to its UDP socket and timer, without protocol logic."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from garnetusher.membership.actions import Action, SendDatagram
from garnetusher.membership.events import DatagramReceived, Event, LeaveRequested, TimerFired
from garnetusher.membership.member import Member
from garnetusher.membership.messages import Address
from garnetusher.membership.state import Phase

LEAVE_TIMEOUT_S = 2.0  # limits the time for the leave broadcast


def monotonic_us() -> int:
    """Return the monotonic time in microseconds; unlike the wall clock, it never jumps."""
    return time.monotonic_ns() // 1000


class UdpTransport(asyncio.DatagramProtocol):
    """Runs one member.

    Args:
        create_member: Creates the member from the bound address and the current monotonic time.
        handle_action: Carries out all actions except `SendDatagram`.
    """

    def __init__(
        self, create_member: Callable[[Address, int], Member], handle_action: Callable[[Action], None]
    ) -> None:
        self._create_member = create_member
        self._handle_action = handle_action
        self.loop = asyncio.get_running_loop()
        self.member: Member | None = None
        self.bytes_in = 0
        self.bytes_out = 0
        self.closed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def open(self, host: str, port: int) -> Address:
        """Bind the socket, start to join, and return the bound address.

        Raises:
            OSError: The address cannot be bound.
        """
        self._transport, _ = await self.loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        address: Address = self._transport.get_extra_info("sockname")[:2]
        self.member = self._create_member(address, monotonic_us())
        self._set_timer(self.member)
        return address

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Count the bytes of the datagram and pass it to the member."""
        self.bytes_in += len(data)
        self.dispatch(DatagramReceived(data, address))

    def dispatch(self, event: Event) -> None:
        """Pass an event to the member and carry out the resulting actions."""
        member, transport = self.member, self._transport
        if member is None or transport is None or transport.is_closing():
            return
        for action in member.handle(monotonic_us(), event):
            if isinstance(action, SendDatagram):
                self.bytes_out += len(action.data)
                transport.sendto(action.data, action.address)
            else:
                self._handle_action(action)
        if member.phase == Phase.STOPPED:
            self.close()
        else:
            self._set_timer(member)

    def _set_timer(self, member: Member) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_us = member.next_timer_us - monotonic_us()
        self._timer = self.loop.call_later(max(0.0, delay_us / 1e6), self.dispatch, TimerFired())

    async def leave(self) -> None:
        """Broadcast that this process leaves, then close."""
        self.dispatch(LeaveRequested())
        try:
            await asyncio.wait_for(self.closed.wait(), LEAVE_TIMEOUT_S)
        except TimeoutError:
            self.close()

    def close(self) -> None:
        """Close the socket and stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
        self.closed.set()
