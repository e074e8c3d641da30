"""Messages between members.

Messages are MessagePack arrays, so the order of fields and the tags define the wire format. New fields are only
appended.
"""

from __future__ import annotations

from msgspec import Struct

Address = tuple[str, int]


class Entry(Struct, array_like=True, frozen=True):
    """The information about one member that a view holds and members exchange.

    Of two entries for the same name, the one with the higher (generation, incarnation, state) supersedes the other.

    Attributes:
        name: The name of the member, which is unique in the cluster.
        host: The host at which other members reach the member.
        port: The UDP port of the member.
        role: The role of the member: sidecar, agent or replica.
        zone: The zone in which the member runs.
        generation: The generation of the process; a later process of the same name has a higher one.
        incarnation: A number that only the member itself raises, to refute other members' entries about it.
        state: The state of the member, as a value of `view.State`.
        replaces: Whether the process is configured to take the name from a process that may still be running.
        reporter: Name of the member that reports this one as suspected, failed or left. Suspicions by different
            reporters confirm each other.
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
        """The address at which other members reach the member."""
        return self.host, self.port


class Ping(Struct, array_like=True, frozen=True, tag="ping"):
    """A probe.

    Attributes:
        probe_id: The id of the probe, which the answer repeats.
        target: Name of the probed member.
        digest: The digest of the sender's complete view; 0 if there is none.
        claims_name: Whether the sender claims the name of the target.
    """

    probe_id: int
    target: str
    digest: int = 0
    claims_name: bool = False


class Ack(Struct, array_like=True, frozen=True, tag="ack"):
    """The answer to a `Ping`; `digest` is the digest of the sender's complete view, or 0."""

    probe_id: int
    digest: int = 0


class PingRequest(Struct, array_like=True, frozen=True, tag="ping_req"):
    """A request to probe a member on behalf of the sender."""

    probe_id: int
    target: str
    host: str
    port: int


class Nack(Struct, array_like=True, frozen=True, tag="nack"):
    """The answer of a relay that works but has received no answer from the target."""

    probe_id: int


class Join(Struct, array_like=True, frozen=True, tag="join"):
    """A request to join the cluster, which asks for the list of members."""

    entry: Entry


class Welcome(Struct, array_like=True, frozen=True, tag="welcome"):
    """The answer to a `Join`; an exchange of buckets then transfers the entries.

    Attributes:
        known_entry: The sender's entry for the name of the joining process, or None.
        member_count: The number of active members in the sender's view.
    """

    known_entry: Entry | None
    member_count: int = 0


class BucketDigests(Struct, array_like=True, frozen=True, tag="buckets"):
    """The digest of each bucket of names; `reply_requested` asks the recipient for its own digests."""

    digests: list[int]
    reply_requested: bool = False


class Entries(Struct, array_like=True, frozen=True, tag="entries"):
    """The entries of buckets that differ; the list is empty if the datagram only carries gossip."""

    entries: list[Entry]


Body = Ping | Ack | PingRequest | Nack | Join | Welcome | BucketDigests | Entries
