"""Datagrams between members: keys, invalid data, replays, other clusters and later versions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetusher.membership.actions import SendDatagram
from garnetusher.membership.codec import EMPTY_AUTH_TAG, Codec
from garnetusher.membership.events import DatagramReceived
from garnetusher.membership.key_file import KeyFileError, parse_keys
from garnetusher.membership.messages import Ack, Entry, Ping
from garnetusher.membership.replay_filter import WINDOW_BITS, Freshness, ReplayFilter
from garnetusher.membership.view import State
from garnetusher.model.members import CLUSTER
from tests.membership_fleet import SECOND_US, joined_fleet


def test_members_stay_present_when_keys_are_rotated_and_count_a_wrong_key() -> None:
    old, new = parse_keys("00" * 32)[0], parse_keys(f"# next\n{'11' * 16}  # comment\n")[0]
    members, nodes = joined_fleet(3, keys=[old])
    for keys in ([old, new], [new, old], [new]):  # all members accept a new key before any member signs with it
        for node in nodes:
            assert node.member is not None
            node.member.codec.keys = keys
            members.run(SECOND_US)
    assert len(members.active_names(nodes[0])) == 3
    assert members.failed_names(nodes[0]) == []
    assert nodes[0].member is not None
    assert nodes[1].member is not None
    nodes[1].member.codec.keys = [b"w" * 32]
    members.run(5 * SECOND_US)
    assert members.failed_names(nodes[0]) == ["m1"]
    assert nodes[0].member.codec.dropped["wrong key"] > 0


@pytest.mark.parametrize("text", ["", "zz", "00"])
def test_parse_keys_raises_when_a_line_is_not_a_key(text: str) -> None:
    with pytest.raises(KeyFileError, match="expected"):
        parse_keys(text)


_FLEET_FOR_INVALID_DATAGRAMS = joined_fleet(2)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=1400) | st.binary(max_size=300).map(lambda payload: EMPTY_AUTH_TAG + payload))
def test_view_is_unchanged_when_an_invalid_datagram_arrives(data: bytes) -> None:
    members, nodes = _FLEET_FOR_INVALID_DATAGRAMS
    member = nodes[0].member
    assert member is not None
    entries, dropped = dict(member.view.entries), sum(member.codec.dropped.values())
    members.deliver(nodes[0], ("10.9.9.9", 9), data)
    assert (dict(member.view.entries), sum(member.codec.dropped.values())) == (entries, dropped + 1)


def test_member_counts_the_reason_when_a_datagram_is_foreign_replayed_or_from_a_later_version() -> None:
    members, nodes = joined_fleet(2)
    member, other = nodes[0].member, nodes[1].member
    assert member is not None
    assert other is not None
    members.deliver(nodes[0], ("10.9.9.9", 9), Codec("another").encode("x", 1, Ack(1), []))
    ping = other.codec.encode("m1", other.generation, Ping(9, "m0"), [])
    answers = [member.handle(members.clock.now_us, DatagramReceived(ping, nodes[1].address)) for _ in range(2)]
    assert [any(isinstance(action, SendDatagram) for action in actions) for actions in answers] == [True, False]
    later_codec = Codec(CLUSTER)
    later_codec._sequence = 10**6
    gossip = Entry("m9", "10.8.8.8", 8, "sidecar", "z", 1, 0, State.PRESENT)
    data = later_codec.encode("m1", other.generation, Ack(1), [gossip]).replace(b"\xa3ack", b"\xa3new")
    member.handle(members.clock.now_us, DatagramReceived(data, nodes[1].address))
    assert member.codec.dropped == {"foreign": 1, "unknown kind": 1}
    assert member.dropped["replayed"] == 1
    assert "m9" in member.view.entries  # gossip in a datagram with an unknown body type is still merged


def test_replay_filter_accepts_each_sequence_number_once_when_they_arrive_out_of_order() -> None:
    replay_filter = ReplayFilter()
    order = [5, 3, 9, 4, 8]
    assert all(replay_filter.check("a", 1, sequence) == Freshness.FRESH for sequence in order)
    assert all(replay_filter.check("a", 1, sequence) == Freshness.REPLAYED for sequence in order)


def test_replay_filter_rejects_a_datagram_when_it_is_far_behind_or_from_an_old_generation() -> None:
    replay_filter = ReplayFilter()
    assert replay_filter.check("a", 2, WINDOW_BITS + 1) == Freshness.FRESH
    assert replay_filter.check("a", 2, 1) == Freshness.REPLAYED
    assert replay_filter.check("a", 1, 200) == Freshness.OLD_GENERATION
    assert replay_filter.check("a", 3, 1) == Freshness.FRESH
