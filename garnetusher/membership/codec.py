"""Encoding of datagrams in MessagePack, with a version, the cluster's name and a sequence number.

A datagram is an authentication tag of 16 bytes (keyed BLAKE2b, or zeros if no key is set) followed by an `Envelope`.
The body is decoded separately, so that a body type of a later version is counted and ignored, while the gossip in the
same datagram is still used.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec
from msgspec import Struct

from garnetusher.errors import GarnetusherError
from garnetusher.membership.messages import (
    Ack,
    Body,
    BucketDigests,
    Entries,
    Entry,
    Join,
    Nack,
    Ping,
    PingRequest,
    Welcome,
)

# The version of envelopes. A new version only appends fields, so the known fields of a higher version are still read.
VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits into the minimum MTU of IPv6 together with the headers
AUTH_TAG_BYTES = 16
EMPTY_AUTH_TAG = bytes(AUTH_TAG_BYTES)
LONGER_LIST_BYTES = 2  # the header of a list of more than 15 entries takes this many more bytes
MAX_NAME_BYTES = 64  # limit for names of members and zones in UTF-8; names of senders are counted in characters
MAX_ROLE_LENGTH = 16
MAX_HOST_LENGTH = 45  # the length of the longest IPv6 address in text form
PORT_LIMIT = 65536
MAX_STATE = 3
NUMBER_LIMIT = 2**63  # generations and incarnations are less than this


class DropReason(enum.StrEnum):
    """The reason why a datagram is dropped; the values are keys of counters at the admin address."""

    OVERSIZED = "oversized"
    WRONG_KEY = "wrong key"
    FOREIGN = "foreign"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown kind"
    REPLAYED = "replayed"
    OLD_GENERATION = "old boot"


class DatagramError(GarnetusherError, ValueError):
    """A datagram is not accepted and must be dropped."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class Envelope(Struct, array_like=True, frozen=True):
    """A received datagram without its authentication tag; the body is decoded separately."""

    version: int
    cluster: str
    sender: str
    generation: int
    sequence: int
    body: msgspec.Raw
    gossip: list[Entry] = []


class _OutgoingEnvelope(Struct, array_like=True, frozen=True):
    """A datagram to send, without its authentication tag."""

    version: int
    cluster: str
    sender: str
    generation: int
    sequence: int
    body: Body
    gossip: list[Entry]


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_BODY_DECODER = msgspec.msgpack.Decoder(Body)
_BODY_TYPES = (Ping, Ack, PingRequest, Nack, Join, Welcome, BucketDigests, Entries)
_BODY_TAGS = frozenset(body_type.__struct_config__.tag for body_type in _BODY_TYPES)


class Received(Struct, frozen=True):
    """A valid datagram; `body` is None if its type is from a later version."""

    sender: str
    generation: int
    sequence: int
    body: Body | None
    gossip: list[Entry]


class Codec:
    """Encodes and decodes the datagrams of one cluster.

    Attributes:
        keys: The keys; the first one signs datagrams, and all are accepted.
        dropped: The number of dropped datagrams by reason.
    """

    def __init__(self, cluster: str, keys: Sequence[bytes] = ()) -> None:
        self.cluster = cluster
        self.keys = list(keys)
        self.dropped: Counter[str] = Counter()
        self._sequence = 0

    def encode(self, sender: str, generation: int, body: Body, gossip: list[Entry]) -> bytes:
        """Encode one datagram; the caller limits its size with `gossip_capacity`."""
        self._sequence += 1
        envelope = _OutgoingEnvelope(VERSION, self.cluster, sender, generation, self._sequence, body, gossip)
        data = _ENCODER.encode(envelope)
        auth_tag = self._auth_tag(self.keys[0], data) if self.keys else EMPTY_AUTH_TAG
        return auth_tag + data

    def gossip_capacity(self, sender: str, body: Body) -> int:
        """Return the number of bytes that are left for gossip in a datagram with this body."""
        envelope = _OutgoingEnvelope(VERSION, self.cluster, sender, NUMBER_LIMIT, NUMBER_LIMIT, body, [])
        return MAX_DATAGRAM_BYTES - AUTH_TAG_BYTES - len(_ENCODER.encode(envelope)) - LONGER_LIST_BYTES

    @staticmethod
    def encoded_size(entry: Entry) -> int:
        """Return the number of bytes in the encoding of an entry."""
        return len(_ENCODER.encode(entry))

    def decode(self, data: bytes) -> Received | None:
        """Decode one datagram.

        Returns:
            The datagram. None if it is malformed, from another cluster, oversized or not signed with a known key; the
            drop is then counted.
        """
        try:
            return self._decode(data)
        except DatagramError as error:
            self.dropped[error.reason.value] += 1
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self.dropped[DropReason.MALFORMED.value] += 1
        return None

    def _decode(self, data: bytes) -> Received:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramError(DropReason.OVERSIZED)
        auth_tag, payload = data[:AUTH_TAG_BYTES], data[AUTH_TAG_BYTES:]
        if self.keys and not self._is_signed(auth_tag, payload):
            raise DatagramError(DropReason.WRONG_KEY)
        envelope = _ENVELOPE_DECODER.decode(payload)
        if envelope.cluster != self.cluster:
            raise DatagramError(DropReason.FOREIGN)
        sender_valid = 0 < len(envelope.sender) <= MAX_NAME_BYTES
        if envelope.version < 1 or not are_valid(envelope.gossip) or not sender_valid:
            raise DatagramError(DropReason.MALFORMED)
        body = self._decode_body(envelope.body)
        return Received(envelope.sender, envelope.generation, envelope.sequence, body, envelope.gossip)

    def _decode_body(self, raw: msgspec.Raw) -> Body | None:
        untyped: Any = msgspec.msgpack.decode(raw)
        if isinstance(untyped, list) and untyped and isinstance(untyped[0], str) and untyped[0] not in _BODY_TAGS:
            self.dropped[DropReason.UNKNOWN_TYPE.value] += 1  # the body type is from a later version
            return None
        body = _BODY_DECODER.decode(raw)
        if not are_valid(_entries_in(body)):
            raise DatagramError(DropReason.MALFORMED)
        return body

    def _is_signed(self, auth_tag: bytes, payload: bytes) -> bool:
        return any(hmac.compare_digest(auth_tag, self._auth_tag(key, payload)) for key in self.keys)

    @staticmethod
    def _auth_tag(key: bytes, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, digest_size=AUTH_TAG_BYTES, key=key).digest()


def _entries_in(body: Body) -> list[Entry]:
    if isinstance(body, Entries):
        return body.entries
    if isinstance(body, Join):
        return [body.entry]
    if isinstance(body, Welcome) and body.known_entry is not None:
        return [body.known_entry]
    return []


def are_valid(entries: list[Entry]) -> bool:
    """Return whether all entries have values that a member can send; other entries must not enter the view."""
    return all(
        0 < len(entry.name.encode()) <= MAX_NAME_BYTES
        and len(entry.zone.encode()) <= MAX_NAME_BYTES
        and 0 < entry.port < PORT_LIMIT
        and 0 <= entry.state <= MAX_STATE
        and 0 <= entry.incarnation < NUMBER_LIMIT
        and 0 <= entry.generation < NUMBER_LIMIT
        and len(entry.role) <= MAX_ROLE_LENGTH
        and len(entry.host) <= MAX_HOST_LENGTH
        for entry in entries
    )
