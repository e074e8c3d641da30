"""Actions that a member asks for. The transport and its owner carry them out in the order given."""

from __future__ import annotations

import enum

from msgspec import Struct

from garnetusher.membership.messages import Address, Entry


class StopReason(enum.StrEnum):
    """Why a process is no longer a member; the values appear in the log and at the admin address."""

    LEFT = "left"
    REPLACED = "replaced"
    REFUSED = "refused"


class SendDatagram(Struct, frozen=True):
    """Send a datagram."""

    address: Address
    data: bytes


class MemberChanged(Struct, frozen=True):
    """The state or generation believed of a member has changed."""

    entry: Entry
    previous: Entry | None


class Persist(Struct, frozen=True):
    """Write both numbers to disk, if there is one: neither may ever decrease."""

    generation: int
    incarnation: int


class LogEvent(Struct, frozen=True):
    """Write a line to the log.

    Attributes:
        event: a name from docs/logs.md.
        fields: the fields that docs/logs.md lists for it.
    """

    event: str
    fields: dict[str, object]


class Stopped(Struct, frozen=True):
    """This process is no longer a member.

    Attributes:
        reason: why.
        superseded_by: the process that has the name now, if there is one.
    """

    reason: StopReason
    superseded_by: Address | None = None


Action = SendDatagram | MemberChanged | Persist | LogEvent | Stopped
