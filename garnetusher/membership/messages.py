"""Messages between members.

Messages are arrays in MessagePack: the order of fields and the tags are the wire format. Fields are only ever appended.
"""

from __future__ import annotations

from msgspec import Struct

Address = tuple[str, int]


class Entry(Struct, array_like=True, frozen=True):
    """What is believed of one member. (generation, incarnation, state) decides which entry supersedes which.

    Attributes:
        name: unique in the cluster.
        host: the member's address.
        port: its UDP port.
        role: sidecar, agent or replica.
        zone: where it runs.
        generation: of the process; a later process of the same name has a higher one.
        incarnation: raised by the member alone, to refute what others believe of it.
        state: `view.State` as a number.
        replaces: it has taken over from an earlier process on purpose.
        reporter: who suspects it, or has declared it failed; independent suspicions confirm each other.
    """

    name: str
    host: str
    port: int
    role: str
    zone: str
    generation: int
    incarnation: int
    state: int
    replaces: bool = False
    reporter: str = ""

    @property
    def address(self) -> Address:
        """Where the member is reached."""
        return self.host, self.port


class Ping(Struct, array_like=True, frozen=True, tag="ping"):
    """A probe.

    Attributes:
        probe_id: repeated in the answer.
        target: name of the member that is probed.
        digest: of the sender's complete view; 0 = none.
        claims_name: the sender wants the target's name.
    """

    probe_id: int
    target: str
    digest: int = 0
    claims_name: bool = False


class Ack(Struct, array_like=True, frozen=True, tag="ack"):
    """The answer to a `Ping`; `digest` is of the sender's complete view."""

    probe_id: int
    digest: int = 0


class PingRequest(Struct, array_like=True, frozen=True, tag="ping_req"):
    """A request to probe a member for the sender."""

    probe_id: int
    target: str
    host: str
    port: int


class Nack(Struct, array_like=True, frozen=True, tag="nack"):
    """The target has not answered the relay either; the relay itself is well."""

    probe_id: int


class Join(Struct, array_like=True, frozen=True, tag="join"):
    """A request for the list of members."""

    entry: Entry


class Welcome(Struct, array_like=True, frozen=True, tag="welcome"):
    """The answer to a `Join`; the entries follow by an exchange of buckets.

    Attributes:
        known_entry: what is known of the joiner's name.
        member_count: how many members are active.
    """

    known_entry: Entry | None
    member_count: int = 0


class BucketDigests(Struct, array_like=True, frozen=True, tag="buckets"):
    """A digest of each bucket of names; `reply_requested` asks for the recipient's own."""

    digests: list[int]
    reply_requested: bool = False


class Entries(Struct, array_like=True, frozen=True, tag="entries"):
    """Entries of buckets that differ; empty where only the gossip beside it matters."""

    entries: list[Entry]


Body = Ping | Ack | PingRequest | Nack | Join | Welcome | BucketDigests | Entries
