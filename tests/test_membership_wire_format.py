"""The wire format of each message.

The expected bytes were recorded from an earlier version, so these tests fail if a change makes the wire format
incompatible with that version.
"""

from __future__ import annotations

import pytest

from garnetusher.membership.codec import AUTH_TAG_BYTES, Codec
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
from garnetusher.membership.view import State

# The header of an array of seven fields, with version 1, cluster c, sender m0, generation 5 and sequence 1.
HEADER = "9701a163a26d300501"
NO_GOSSIP = "90"
ENTRY = Entry("m1", "10.0.0.1", 7000, "sidecar", "z", 3, 2, State.SUSPECTED, replaces=True, reporter="m2")
ENTRY_HEX = "9aa26d31a831302e302e302e31cd1b58a773696465636172a17a030201c3a26d32"
BODIES: list[tuple[Body, str]] = [
    (Ping(7, "m1", 9, claims_name=True), "95a470696e6707a26d3109c3"),
    (Ack(7, 9), "93a361636b0709"),
    (PingRequest(7, "m1", "10.0.0.1", 7000), "95a870696e675f72657107a26d31a831302e302e302e31cd1b58"),
    (Nack(7), "92a46e61636b07"),
    (Join(ENTRY), "92a46a6f696e" + ENTRY_HEX),
    (Welcome(ENTRY, 4), "93a777656c636f6d65" + ENTRY_HEX + "04"),
    (BucketDigests([1, 2], reply_requested=True), "93a76275636b657473920102c3"),
    (Entries([ENTRY]), "92a7656e747269657391" + ENTRY_HEX),
]


@pytest.mark.parametrize(("body", "body_hex"), BODIES, ids=[type(body).__name__ for body, _ in BODIES])
def test_codec_writes_and_reads_the_stored_bytes_when_a_body_is_sent(body: Body, body_hex: str) -> None:
    data = Codec("c").encode("m0", 5, body, [])
    assert data[AUTH_TAG_BYTES:].hex() == HEADER + body_hex + NO_GOSSIP
    received = Codec("c").decode(data)
    assert received is not None
    assert received.body == body


def test_codec_writes_the_stored_bytes_when_it_signs_and_adds_gossip() -> None:
    data = Codec("c", [b"k" * 16]).encode("m0", 5, Ack(7, 9), [ENTRY])
    assert data.hex() == "4267d0ebd2644c52bc565b04dfbf25f3" + HEADER + "93a361636b0709" + "91" + ENTRY_HEX
