"""Events that a member handles."""

from __future__ import annotations

from msgspec import Struct

from garnetusher.membership.messages import Address


class DatagramReceived(Struct, frozen=True):
    """A datagram has arrived at the member's socket."""

    data: bytes
    address: Address


class TimerFired(Struct, frozen=True):
    """The time given by `Member.next_us` has come."""


class LeaveRequested(Struct, frozen=True):
    """The process is about to end."""


Event = DatagramReceived | TimerFired | LeaveRequested
