"""A member among others in virtual time: failures, splits, names that are taken, leaving and joining."""

from __future__ import annotations

import random

from garnetusher.membership.actions import MemberChanged, SendDatagram
from garnetusher.membership.codec import MAX_DATAGRAM_BYTES, Codec
from garnetusher.membership.events import LeaveRequested, TimerFired
from garnetusher.membership.member import Member
from garnetusher.membership.settings import MemberSettings
from garnetusher.membership.view import State
from garnetusher.model.members import Members, Node
from tests.membership_fleet import SECOND, joined_fleet, logged


def test_failure_detector_notices_a_kill_and_accuses_nobody_else_when_a_tenth_is_starved() -> None:
    members, nodes = joined_fleet(30, loss=0.1)
    for node in nodes[3:6]:
        members.delays_us[node.name] = 300_000
    failed: dict[str, dict[str, int]] = {}

    def member_changed(node: Node, now_us: int, change: MemberChanged) -> None:
        if change.entry.state == State.FAILED:
            failed.setdefault(change.entry.name, {}).setdefault(node.name, now_us)

    members.member_changed = member_changed
    members.run(20 * SECOND)
    assert failed == {}
    killed_us = members.clock.now_us
    members.kill(nodes[10])
    members.run(8 * SECOND)
    assert set(failed) == {"m10"}
    assert len(failed["m10"]) == 29
    assert sorted(at_us - killed_us for at_us in failed["m10"].values())[14] < 3 * SECOND


def test_members_agree_again_when_a_split_heals_and_a_paused_process_resumes() -> None:
    members, nodes = joined_fleet(12)
    names = sorted(node.name for node in nodes)
    members.is_cut = lambda sender, recipient: (sender in nodes[:5]) != (recipient in nodes[:5])
    members.run(30 * SECOND)
    assert members.active_names(nodes[0]) == sorted(node.name for node in nodes[:5])
    # both halves go on, and allow no more than before
    assert sum(1 / members.fleet_size(node).instances for node in nodes) <= 1
    members.is_cut = lambda sender, recipient: False
    members.pause(nodes[7])
    members.run(5 * SECOND)
    members.resume(nodes[7])
    members.run(5 * SECOND)
    assert all(members.active_names(node) == names for node in nodes)
    assert logged(nodes[7], "membership.starved")


def test_name_conflict_is_decided_for_the_holder_unless_the_newcomer_replaces_it() -> None:
    members, nodes = joined_fleet(4)
    rival = members.add("m3")
    members.nodes["m3"] = nodes[3]
    members.start(rival, nodes[:2])
    members.run(5 * SECOND)
    assert (rival.stop_reason, nodes[3].stop_reason) == ("refused", "")
    assert logged(rival, "membership.stopped")
    assert logged(nodes[3], "membership.name_taken")
    successor = members.add("m3")
    members.start(successor, nodes[:2], replaces=True)
    members.run(5 * SECOND)
    assert str(nodes[3].stop_reason) == "replaced"
    assert successor.running
    assert members.entries(nodes[0])["m3"].address == successor.address
    assert len(members.active_names(nodes[0])) == 4


def test_member_is_believed_left_and_not_failed_when_it_leaves() -> None:
    members, nodes = joined_fleet(5)
    members.leave(nodes[4])
    members.run(2 * SECOND)
    assert nodes[4].stop_reason == "left"
    assert members.entries(nodes[0])["m4"].state == State.LEFT


def test_datagrams_stay_short_and_all_are_known_when_sixty_join_at_once() -> None:
    members = Members(3)
    longest = [0]
    send = members.send

    def send_measured(sender: Node, action: SendDatagram) -> None:
        longest[0] = max(longest[0], len(action.data))
        send(sender, action)

    members.send = send_measured  # type: ignore[method-assign]
    nodes = [members.add(f"a-rather-long-name-of-a-sidecar-{index:03}", zone="barracas") for index in range(60)]
    for node in nodes:
        members.start(node, nodes[:2])
    members.run(6 * SECOND)
    assert {len(members.active_names(node)) for node in nodes} == {60}
    assert 600 < longest[0] <= MAX_DATAGRAM_BYTES


def test_member_sets_its_timer_soon_and_stops_when_it_leaves() -> None:
    rng = random.Random(1)
    member = Member(MemberSettings("a", "sidecar", "z", "10.0.0.1", 1), Codec("c"), 1, 1, 0)
    now_us = 0
    for _ in range(200):
        now_us = max(now_us + 1, member.next_us) + rng.randrange(1000)
        member.handle(now_us, TimerFired())
        assert now_us - SECOND < member.next_us <= now_us + 61 * SECOND
    member.handle(now_us, LeaveRequested())
    for _ in range(10):
        now_us = max(now_us, member.next_us)
        member.handle(now_us, TimerFired())
    assert member.phase == "stopped"
