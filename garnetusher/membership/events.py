"""The events that a member handles."""

from __future__ import annotations

from msgspec import Struct

from garnetusher.membership.messages import Address


class DatagramReceived(Struct, frozen=True):
    """A datagram arrived at the member's socket."""

    data: bytes
    address: Address


class TimerFired(Struct, frozen=True):
    """The time `Member.next_timer_us` was reached."""


class LeaveRequested(Struct, frozen=True):
    """The process is about to exit and leaves the cluster."""


Event = DatagramReceived | TimerFired | LeaveRequested
