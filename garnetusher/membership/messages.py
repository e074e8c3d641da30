"""What members say to each other: MessagePack in datagrams, with a version, the cluster's name and a sequence number.

A datagram is a tag of 16 bytes (keyed BLAKE2b; zeroes where no key is set) and an `Envelope`. Its body is decoded
apart: a body that a later version has added is counted and passed over, and the gossip beside it is still taken.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec
from msgspec import Struct

VERSION = 1  # of envelopes; one that says more is read as far as this knows it, as fields are only ever added
MOST_BYTES = 1200  # of a datagram: under the least path MTU that IPv6 allows, less its headers
TAG_BYTES = 16
NO_TAG = bytes(TAG_BYTES)
LONGEST_NAME = 64  # of a member, a zone or the cluster, in bytes of UTF-8
Address = tuple[str, int]


class Entry(Struct, array_like=True, frozen=True):
    """What is known of one member. Who is newer goes by (boot, incarnation, state)."""

    name: str
    host: str
    port: int
    kind: str  # sidecar, agent, replica
    zone: str
    boot: int  # of the process: a later process of the same name has a higher one
    incarnation: int  # raised by the member alone, to refute what is said of it
    state: int  # view.State, a number so that higher states go before lower ones
    replaces: bool = False  # it has taken an earlier process's place on purpose
    by: str = ""  # who doubts it: several that do so on their own weigh more than one

    @property
    def address(self) -> Address:
        return self.host, self.port


class Ping(Struct, array_like=True, frozen=True, tag="ping"):
    """Are you there? `digest` is of the whole view."""

    number: int
    target: str
    digest: int = 0
    clash: bool = False  # asked by one that wants this name


class Ack(Struct, array_like=True, frozen=True, tag="ack"):
    number: int
    digest: int = 0


class PingReq(Struct, array_like=True, frozen=True, tag="ping_req"):
    """Ask that member for me."""

    number: int
    target: str
    host: str
    port: int


class Nack(Struct, array_like=True, frozen=True, tag="nack"):
    """It has not answered me either, but I am well: what you asked for has come to me."""

    number: int


class Join(Struct, array_like=True, frozen=True, tag="join"):
    """Tell me who is there."""

    entry: Entry


class Welcome(Struct, array_like=True, frozen=True, tag="welcome"):
    """What I know of your name, if anything, and how many count here; they follow by buckets."""

    known: Entry | None
    members: int = 0


class Buckets(Struct, array_like=True, frozen=True, tag="buckets"):
    """A digest of each bucket of names; `answer` where the other side is to send its own."""

    digests: list[int]
    answer: bool = False


class Entries(Struct, array_like=True, frozen=True, tag="entries"):
    """A part of a bucket that differs."""

    entries: list[Entry]


Body = Ping | Ack | PingReq | Nack | Join | Welcome | Buckets | Entries


class Envelope(Struct, array_like=True, frozen=True):
    version: int
    cluster: str
    sender: str
    boot: int
    sequence: int
    body: msgspec.Raw
    gossip: list[Entry] = []


class _Wire(Struct, array_like=True, frozen=True):
    """An envelope as it is written: the body is already there."""

    version: int
    cluster: str
    sender: str
    boot: int
    sequence: int
    body: Body
    gossip: list[Entry]


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_BODY = msgspec.msgpack.Decoder(Body)
_TAGS = frozenset(kind.__struct_config__.tag for kind in (Ping, Ack, PingReq, Nack, Join, Welcome, Buckets, Entries))


class Received(Struct, frozen=True):
    """A datagram that is in order; `body` is None where a later version has added its kind."""

    sender: str
    boot: int
    sequence: int
    body: Body | None
    gossip: list[Entry]


class Codec:
    """Datagrams of one cluster. `dropped` counts by reason what was not taken."""

    def __init__(self, cluster: str, keys: Sequence[bytes] = ()) -> None:
        self.cluster, self.keys = cluster, list(keys)  # the first one signs; all are accepted
        self.dropped: Counter[str] = Counter()
        self._sequence = 0

    def encode(self, sender: str, boot: int, body: Body, gossip: list[Entry]) -> bytes:
        """One datagram; the caller keeps it short (`room`)."""
        self._sequence += 1
        data = _ENCODER.encode(_Wire(VERSION, self.cluster, sender, boot, self._sequence, body, gossip))
        return (self._tag(self.keys[0], data) if self.keys else NO_TAG) + data

    def room(self, sender: str, body: Body) -> int:
        """How many bytes of gossip still fit beside this body."""
        bare = _Wire(VERSION, self.cluster, sender, 2**63, 2**63, body, [])
        return MOST_BYTES - TAG_BYTES - len(_ENCODER.encode(bare)) - 2  # a longer list takes two bytes more

    @staticmethod
    def size(entry: Entry) -> int:
        return len(_ENCODER.encode(entry))

    def decode(self, data: bytes) -> Received | None:
        """What it says; None, and counted, where it is malformed, foreign, oversized or signed with no known key."""
        try:
            if len(data) > MOST_BYTES:
                raise _Dropped("oversized")
            tag, rest = data[:TAG_BYTES], data[TAG_BYTES:]
            if self.keys and not any(hmac.compare_digest(tag, self._tag(key, rest)) for key in self.keys):
                raise _Dropped("wrong key")
            envelope = _ENVELOPE.decode(rest)
            if envelope.cluster != self.cluster:
                raise _Dropped("foreign")
            if envelope.version < 1 or not sane(envelope.gossip) or not 0 < len(envelope.sender) <= LONGEST_NAME:
                raise _Dropped("malformed")
            body = self._body(envelope.body)
        except _Dropped as drop:
            self.dropped[str(drop)] += 1
            return None
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.dropped["malformed"] += 1
            return None
        return Received(envelope.sender, envelope.boot, envelope.sequence, body, envelope.gossip)

    def _body(self, raw: msgspec.Raw) -> Body | None:
        untyped: Any = msgspec.msgpack.decode(raw)
        if isinstance(untyped, list) and untyped and isinstance(untyped[0], str) and untyped[0] not in _TAGS:
            self.dropped["unknown kind"] += 1  # of a later version
            return None
        body = _BODY.decode(raw)
        if isinstance(body, Entries):
            entries = body.entries
        else:
            entries = [e for e in (getattr(body, "entry", None), getattr(body, "known", None)) if e is not None]
        if not sane(entries):
            raise _Dropped("malformed")
        return body

    @staticmethod
    def _tag(key: bytes, data: bytes) -> bytes:
        return hashlib.blake2b(data, digest_size=TAG_BYTES, key=key).digest()


class _Dropped(ValueError):
    """Why a datagram is not taken."""


def sane(entries: list[Entry]) -> bool:
    """Whether entries can be what a member has said; what can't must not get into a view."""
    return all(
        0 < len(e.name.encode()) <= LONGEST_NAME
        and len(e.zone.encode()) <= LONGEST_NAME
        and 0 < e.port < 65536
        and 0 <= e.state <= 3
        and 0 <= e.incarnation < 2**63
        and 0 <= e.boot < 2**63
        and len(e.kind) <= 16
        and len(e.host) <= 45
        for e in entries
    )


def keys_of(text: str) -> list[bytes]:
    """The keys of a key file: a line each in hexadecimal, the one to sign with first; raises ValueError."""
    keys = []
    for number, line in enumerate(text.splitlines(), 1):
        word = line.split("#")[0].strip()
        if word:
            try:
                key = bytes.fromhex(word)
            except ValueError:
                raise ValueError(f"line {number}: expected a key in hexadecimal") from None
            if not 16 <= len(key) <= 64:
                raise ValueError(f"line {number}: expected a key of 16 to 64 bytes, got {len(key)}")
            keys.append(key)
    if not keys:
        raise ValueError("expected at least one key")
    return keys
