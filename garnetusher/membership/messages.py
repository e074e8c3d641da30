"""Messages between members, and their datagrams: MessagePack with a version, the cluster's name and a sequence number.

A datagram is an authentication tag of 16 bytes (keyed BLAKE2b; zeroes where no key is set) and an `Envelope`. Messages
are arrays: the order of fields and the tags are the wire format. A body is decoded separately: one that a later version
has added is counted and ignored, and the gossip beside it is still used.
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

VERSION = 1  # of envelopes; of a higher one the fields known here are read, as fields are only ever appended
MAX_DATAGRAM_BYTES = 1200  # under the smallest path MTU that IPv6 allows, less its headers
AUTH_TAG_BYTES = 16
EMPTY_AUTH_TAG = bytes(AUTH_TAG_BYTES)
LONGER_LIST_BYTES = 2  # more that the header of a list of over 15 entries takes
MAX_NAME_BYTES = 64  # of a member or a zone, in UTF-8; of a sender, in characters
MAX_ROLE_LENGTH = 16
MAX_HOST_LENGTH = 45  # an IPv6 address in text
MAX_STATE = 3
NUMBER_LIMIT = 2**63  # of generations and incarnations, exclusive
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
Address = tuple[str, int]


class KeyFileError(GarnetusherError, ValueError):
    """A key file can't be used."""


class DropReason(enum.StrEnum):
    """Why a datagram is not taken; the values are keys of counters at the admin address."""

    OVERSIZED = "oversized"
    WRONG_KEY = "wrong key"
    FOREIGN = "foreign"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown kind"
    REPLAYED = "replayed"
    OLD_GENERATION = "old boot"


class DatagramError(GarnetusherError, ValueError):
    """A datagram is not taken."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


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
        digest: of the sender's whole view; 0 = none.
        claims_name: the sender wants the target's name.
    """

    probe_id: int
    target: str
    digest: int = 0
    claims_name: bool = False


class Ack(Struct, array_like=True, frozen=True, tag="ack"):
    """The answer to a `Ping`; `digest` is of the sender's whole view."""

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
    """A request to be told of the members."""

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


class Envelope(Struct, array_like=True, frozen=True):
    """A datagram as it is read; the body is decoded separately."""

    version: int
    cluster: str
    sender: str
    generation: int
    sequence: int
    body: msgspec.Raw
    gossip: list[Entry] = []


class _OutgoingEnvelope(Struct, array_like=True, frozen=True):
    """A datagram as it is written."""

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
    """A valid datagram; `body` is None where a later version has added its type."""

    sender: str
    generation: int
    sequence: int
    body: Body | None
    gossip: list[Entry]


class Codec:
    """Encodes and decodes the datagrams of one cluster.

    Attributes:
        keys: the first one signs; all are accepted.
        dropped: counts by reason of datagrams that were not taken.
    """

    def __init__(self, cluster: str, keys: Sequence[bytes] = ()) -> None:
        self.cluster = cluster
        self.keys = list(keys)
        self.dropped: Counter[str] = Counter()
        self._sequence = 0

    def encode(self, sender: str, generation: int, body: Body, gossip: list[Entry]) -> bytes:
        """Encode one datagram; the caller keeps it within the limit by `room`."""
        self._sequence += 1
        envelope = _OutgoingEnvelope(VERSION, self.cluster, sender, generation, self._sequence, body, gossip)
        data = _ENCODER.encode(envelope)
        auth_tag = self._auth_tag(self.keys[0], data) if self.keys else EMPTY_AUTH_TAG
        return auth_tag + data

    def room(self, sender: str, body: Body) -> int:
        """Return how many bytes of gossip fit beside this body."""
        envelope = _OutgoingEnvelope(VERSION, self.cluster, sender, NUMBER_LIMIT, NUMBER_LIMIT, body, [])
        return MAX_DATAGRAM_BYTES - AUTH_TAG_BYTES - len(_ENCODER.encode(envelope)) - LONGER_LIST_BYTES

    @staticmethod
    def size(entry: Entry) -> int:
        """Return how many bytes an entry takes."""
        return len(_ENCODER.encode(entry))

    def decode(self, data: bytes) -> Received | None:
        """Decode one datagram; None, and counted, where it is malformed, foreign, oversized or has no known key."""
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
            self.dropped[DropReason.UNKNOWN_TYPE.value] += 1  # of a later version
            return None
        body = _BODY_DECODER.decode(raw)
        if not are_valid(_entries_of(body)):
            raise DatagramError(DropReason.MALFORMED)
        return body

    def _is_signed(self, auth_tag: bytes, payload: bytes) -> bool:
        return any(hmac.compare_digest(auth_tag, self._auth_tag(key, payload)) for key in self.keys)

    @staticmethod
    def _auth_tag(key: bytes, payload: bytes) -> bytes:
        return hashlib.blake2b(payload, digest_size=AUTH_TAG_BYTES, key=key).digest()


def _entries_of(body: Body) -> list[Entry]:
    if isinstance(body, Entries):
        return body.entries
    if isinstance(body, Join):
        return [body.entry]
    if isinstance(body, Welcome) and body.known_entry is not None:
        return [body.known_entry]
    return []


def are_valid(entries: list[Entry]) -> bool:
    """Return whether a member can have sent these entries; others must not get into a view."""
    return all(
        0 < len(entry.name.encode()) <= MAX_NAME_BYTES
        and len(entry.zone.encode()) <= MAX_NAME_BYTES
        and 0 < entry.port < 65536
        and 0 <= entry.state <= MAX_STATE
        and 0 <= entry.incarnation < NUMBER_LIMIT
        and 0 <= entry.generation < NUMBER_LIMIT
        and len(entry.role) <= MAX_ROLE_LENGTH
        and len(entry.host) <= MAX_HOST_LENGTH
        for entry in entries
    )


def parse_keys(text: str) -> list[bytes]:
    """Parse a key file: a key a line in hexadecimal, the one that signs first.

    Raises:
        KeyFileError: a line is no key, or there is none.
    """
    keys = []
    for line_number, line in enumerate(text.splitlines(), 1):
        digits = line.split("#")[0].strip()
        if digits:
            keys.append(_parse_key(digits, line_number))
    if not keys:
        message = "expected at least one key"
        raise KeyFileError(message)
    return keys


def _parse_key(digits: str, line_number: int) -> bytes:
    try:
        key = bytes.fromhex(digits)
    except ValueError:
        message = f"line {line_number}: expected a key in hexadecimal"
        raise KeyFileError(message) from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        message = f"line {line_number}: expected a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {len(key)}"
        raise KeyFileError(message)
    return key
