"""Members in virtual time: failures, network splits, name conflicts, leaving and joining."""

from __future__ import annotations

import random

from garnetusher.membership.actions import MemberChanged, SendDatagram
from garnetusher.membership.codec import MAX_DATAGRAM_BYTES, Codec
from garnetusher.membership.events import LeaveRequested, TimerFired
from garnetusher.membership.member import Member
from garnetusher.membership.settings import MemberSettings
from garnetusher.membership.view import State
from garnetusher.model.members import Members, Node
from tests.membership_fleet import SECOND_US, joined_fleet, logged_fields


def test_failure_detector_notices_a_kill_and_accuses_no_other_member_when_a_tenth_of_the_members_is_delayed() -> None:
    members, nodes = joined_fleet(30, loss=0.1)
    for node in nodes[3:6]:
        members.delays_us[node.name] = 300_000
    failed: dict[str, dict[str, int]] = {}

    def member_changed(node: Node, now_us: int, change: MemberChanged) -> None:
        if change.entry.state == State.FAILED:
            failed.setdefault(change.entry.name, {}).setdefault(node.name, now_us)

    members.member_changed = member_changed
    members.run(20 * SECOND_US)
    assert failed == {}
    killed_us = members.clock.now_us
    members.kill(nodes[10])
    members.run(8 * SECOND_US)
    assert set(failed) == {"m10"}
    assert len(failed["m10"]) == 29
    assert sorted(at_us - killed_us for at_us in failed["m10"].values())[14] < 3 * SECOND_US


def test_members_agree_again_when_a_network_split_heals_and_a_paused_process_resumes() -> None:
    members, nodes = joined_fleet(12)
    names = sorted(node.name for node in nodes)
    members.is_cut = lambda sender, recipient: (sender in nodes[:5]) != (recipient in nodes[:5])
    members.run(30 * SECOND_US)
    assert members.active_names(nodes[0]) == sorted(node.name for node in nodes[:5])
    # Both sides of the split keep running, and their shares of a limit add up to no more than the limit.
    assert sum(1 / members.fleet_size(node).instances for node in nodes) <= 1
    members.is_cut = lambda sender, recipient: False
    members.pause(nodes[7])
    members.run(5 * SECOND_US)
    members.resume(nodes[7])
    members.run(5 * SECOND_US)
    assert all(members.active_names(node) == names for node in nodes)
    assert logged_fields(nodes[7], "membership.starved")


def test_holder_keeps_its_name_unless_the_newcomer_replaces_it() -> None:
    members, nodes = joined_fleet(4)
    newcomer = members.add("m3")
    members.nodes["m3"] = nodes[3]  # `add` has registered the newcomer under this name instead of the holder
    members.start(newcomer, nodes[:2])
    members.run(5 * SECOND_US)
    assert (newcomer.stop_reason, nodes[3].stop_reason) == ("refused", "")
    assert logged_fields(newcomer, "membership.stopped")
    assert logged_fields(nodes[3], "membership.name_taken")
    successor = members.add("m3")
    members.start(successor, nodes[:2], replaces=True)
    members.run(5 * SECOND_US)
    assert str(nodes[3].stop_reason) == "replaced"
    assert successor.running
    assert members.entries(nodes[0])["m3"].address == successor.address
    assert len(members.active_names(nodes[0])) == 4


def test_member_has_the_state_left_and_not_failed_when_it_leaves() -> None:
    members, nodes = joined_fleet(5)
    members.leave(nodes[4])
    members.run(2 * SECOND_US)
    assert nodes[4].stop_reason == "left"
    assert members.entries(nodes[0])["m4"].state == State.LEFT


def test_datagrams_stay_within_the_limit_and_all_members_are_known_when_sixty_join_at_once() -> None:
    members = Members(3)
    longest_bytes = [0]
    send = members.send

    def send_measured(sender: Node, action: SendDatagram) -> None:
        longest_bytes[0] = max(longest_bytes[0], len(action.data))
        send(sender, action)

    members.send = send_measured  # type: ignore[method-assign]
    nodes = [members.add(f"a-rather-long-name-of-a-sidecar-{index:03}", zone="barracas") for index in range(60)]
    for node in nodes:
        members.start(node, nodes[:2])
    members.run(6 * SECOND_US)
    assert {len(members.active_names(node)) for node in nodes} == {60}
    assert 600 < longest_bytes[0] <= MAX_DATAGRAM_BYTES


def test_member_sets_its_next_timer_within_61_seconds_and_stops_when_it_leaves() -> None:
    rng = random.Random(1)
    member = Member(MemberSettings("a", "sidecar", "z", "10.0.0.1", 1), Codec("c"), 1, 1, 0)
    now_us = 0
    for _ in range(200):
        now_us = max(now_us + 1, member.next_timer_us) + rng.randrange(1000)
        member.handle(now_us, TimerFired())
        # The longest timer is FORGET_PERIOD_US, 60 s.
        assert now_us - SECOND_US < member.next_timer_us <= now_us + 61 * SECOND_US
    member.handle(now_us, LeaveRequested())
    for _ in range(10):
        now_us = max(now_us, member.next_timer_us)
        member.handle(now_us, TimerFired())
    assert member.phase == "stopped"
