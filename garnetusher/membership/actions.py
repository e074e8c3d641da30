"""Actions that a member requests. The transport and its owner carry them out in order."""

from __future__ import annotations

import enum

from msgspec import Struct

from garnetusher.membership.messages import Address, Entry


class StopReason(enum.StrEnum):
    """The reason why a process is no longer a member; the values appear in the log and at the admin address."""

    LEFT = "left"
    REPLACED = "replaced"
    REFUSED = "refused"


class SendDatagram(Struct, frozen=True):
    """Send a datagram to an address."""

    address: Address
    data: bytes


class MemberChanged(Struct, frozen=True):
    """The view has a new state or generation for a member."""

    entry: Entry
    previous: Entry | None


class Persist(Struct, frozen=True):
    """Write the generation and the incarnation to disk, if there is a disk; neither may ever decrease."""

    generation: int
    incarnation: int


class LogEvent(Struct, frozen=True):
    """Write a line to the log.

    Attributes:
        event: The name of the event, which docs/logs.md lists.
        fields: The fields that docs/logs.md lists for the event.
    """

    event: str
    fields: dict[str, object]


class Stopped(Struct, frozen=True):
    """This process is no longer a member.

    Attributes:
        reason: The reason for the end of the membership.
        superseded_by: The address of the process that now has this process's member name, or None.
    """

    reason: StopReason
    superseded_by: Address | None = None


Action = SendDatagram | MemberChanged | Persist | LogEvent | Stopped
