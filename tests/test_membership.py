"""Membership: explored schedules, bugs seeded into it that they find, what reaches its port, and what it costs."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from garnetusher.membership import fleet_size as count
from garnetusher.membership import member as core
from garnetusher.membership.member import Datagram, Leave, Member, SendTo, Wake
from garnetusher.membership.messages import MOST_BYTES, NO_TAG, Ack, Codec, Entry, Ping, keys_of
from garnetusher.membership.transport import Shell
from garnetusher.membership.view import State
from garnetusher.model import explore, plan
from garnetusher.model.explore.membership import Membership
from garnetusher.model.members import CLUSTER, Members, Node
from garnetusher.model.world import World
from garnetusher.policy.balancer import Balancer
from tests.experiment import small
from tests.world import settings as settings_of

SECOND = 1_000_000
STEPS = 30


def fleet(size: int, seed: int = 1, loss: float = 0.0, keys: list[bytes] | None = None) -> tuple[Members, list[Node]]:
    """So many, joined through the first two, and agreed."""
    members = Members(seed, loss=loss, keys=keys)
    nodes = [members.add(f"m{number}") for number in range(size)]
    for node in nodes:
        members.start(node, nodes[:2])
    members.run((8 if not loss else 20) * SECOND)
    assert all(members.believed(node) == sorted(n.name for n in nodes) for node in nodes)
    return members, nodes


def said(node: Node, event: str) -> list[dict[str, object]]:
    return [s.fields for _, s in node.said if s.event == event]


def test_explored_schedules_hold() -> None:
    assert [find.broken.text for _, find in explore.explore(Membership(), range(1, 26), STEPS) if find] == []


def forgets_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Member, "_on_again", lambda self: None)


def never_refutes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Member, "_about_me", lambda self, entry: None)


def drops_the_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(count, "HOLD_FAILED_US", 0)
    monkeypatch.setattr(count.Count.__init__, "__defaults__", (1, 0, 0))


@pytest.mark.parametrize("bug", [forgets_failed, never_refutes, drops_the_silent])
def test_schedules_find_seeded_bugs(bug: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch) -> None:
    bug(monkeypatch)
    part = Membership()
    broken = next((b for seed in range(1, 200) if (b := part.play(part.draw(seed, STEPS))) is not None), None)
    assert broken is not None and broken.rule in ("convergence", "limits")


@pytest.mark.parametrize("seed", [9_182_256, 9_182_296])
def test_schedules_that_broke_a_rule_once_hold(seed: int) -> None:
    """A process started anew with the boot of the one before it; two that never found each other behind a dead seed."""
    part = Membership()
    assert part.play(part.draw(seed, 120)) is None


def test_a_death_is_noticed_by_all_and_nobody_else_is_accused_though_a_tenth_is_starved() -> None:
    members, nodes = fleet(30, loss=0.1)
    for node in nodes[3:6]:
        members.slow[node.name] = 300_000  # each of its turns comes late
    failed: dict[str, dict[str, int]] = {}

    def changed(node: Node, now_us: int, change: core.Changed) -> None:
        if change.entry.state == State.FAILED:
            failed.setdefault(change.entry.name, {}).setdefault(node.name, now_us)

    members.changed = changed
    members.run(20 * SECOND)
    assert failed == {}
    began = members.clock.now_us
    members.kill(nodes[10])
    members.run(8 * SECOND)
    assert set(failed) == {"m10"} and len(failed["m10"]) == 29
    assert sorted(at - began for at in failed["m10"].values())[14] < 3 * SECOND


def test_a_split_heals_and_a_sleeper_wakes_as_what_it_was() -> None:
    members, nodes = fleet(12)
    names = sorted(n.name for n in nodes)
    members.cut = lambda a, b: (a in nodes[:5]) != (b in nodes[:5])
    members.run(30 * SECOND)
    assert members.believed(nodes[0]) == sorted(n.name for n in nodes[:5])
    assert sum(1 / members.share(n).instances for n in nodes) <= 1  # both halves go on, and allow no more than before
    members.cut = lambda a, b: False
    members.stop(nodes[7])
    members.run(5 * SECOND)
    members.go_on(nodes[7])
    members.run(5 * SECOND)
    assert all(members.believed(n) == names for n in nodes)
    assert said(nodes[7], "membership.starved")


def test_a_name_that_is_taken_is_refused_and_one_that_replaces_is_the_same_member() -> None:
    members, nodes = fleet(4)
    rival = members.add("m3")
    members.nodes["m3"] = nodes[3]
    members.start(rival, nodes[:2])
    members.run(5 * SECOND)
    assert (rival.ended, nodes[3].ended) == ("refused", "")
    assert said(rival, "membership.stopped") and said(nodes[3], "membership.name_taken")
    heir = members.add("m3")
    members.start(heir, nodes[:2], replaces=True)
    members.run(5 * SECOND)
    assert str(nodes[3].ended) == "replaced" and heir.running
    assert members.view(nodes[0])["m3"].address == heir.address and len(members.believed(nodes[0])) == 4


def test_one_that_leaves_is_told_apart_from_one_that_failed_and_counts_for_a_moment() -> None:
    members, nodes = fleet(5)
    assert members.share(nodes[0]).instances == 5
    members.leave(nodes[4])
    members.run(2 * SECOND)
    assert nodes[4].ended == "left" and members.view(nodes[0])["m4"].state == State.LEFT
    assert members.share(nodes[0]).instances == 5
    members.run(count.HOLD_US)
    assert members.share(nodes[0]).instances == 4


def test_keys_are_rolled_with_the_old_one_accepted_and_a_wrong_one_is_counted() -> None:
    old, new = keys_of("00" * 32)[0], keys_of(f"# next\n{'11' * 16}  # comment\n")[0]
    members, nodes = fleet(3, keys=[old])
    for keys in ([old, new], [new, old], [new]):  # known everywhere before it signs anywhere
        for node in nodes:
            assert node.member is not None
            node.member.codec.keys = keys
            members.run(SECOND)
    assert len(members.believed(nodes[0])) == 3 and members.failed(nodes[0]) == []
    assert nodes[0].member is not None and nodes[1].member is not None
    nodes[1].member.codec.keys = [b"w" * 32]
    members.run(5 * SECOND)
    assert members.failed(nodes[0]) == ["m1"] and nodes[0].member.codec.dropped["wrong key"] > 0
    for text in ("", "zz", "00"):
        with pytest.raises(ValueError, match="expected"):
            keys_of(text)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.binary(max_size=1400) | st.binary(max_size=300).map(lambda b: NO_TAG + b))
def test_garbage_changes_nothing(data: bytes) -> None:
    members, nodes = _POND
    member = nodes[0].member
    assert member is not None
    before = dict(member.view.entries), sum(member.codec.dropped.values())
    members.arrive(nodes[0], ("10.9.9.9", 9), data)
    assert (dict(member.view.entries), sum(member.codec.dropped.values())) == (before[0], before[1] + 1)


_POND = fleet(2)


def test_what_is_foreign_replayed_or_of_a_later_version_is_told_apart() -> None:
    members, nodes = fleet(2)
    one, other = nodes[0].member, nodes[1].member
    assert one is not None and other is not None
    members.arrive(nodes[0], ("10.9.9.9", 9), Codec("another").encode("x", 1, Ack(1), []))
    ping = other.codec.encode("m1", other.boot, Ping(9, "m0"), [])
    answers = [one.handle(members.clock.now_us, Datagram(ping, nodes[1].address)) for _ in range(2)]
    assert [any(isinstance(a, SendTo) for a in actions) for actions in answers] == [True, False]
    later = Codec(CLUSTER)
    later._sequence = 10**6
    news = Entry("m9", "10.8.8.8", 8, "sidecar", "z", 1, 0, State.PRESENT)
    data = later.encode("m1", other.boot, Ack(1), [news]).replace(b"\xa3ack", b"\xa3new")
    one.handle(members.clock.now_us, Datagram(data, nodes[1].address))
    assert one.codec.dropped == {"foreign": 1, "unknown kind": 1} and one.counted["replayed"] == 1
    assert "m9" in one.view.entries  # the gossip beside a body that is not known yet is taken


def test_datagrams_stay_short_and_a_storm_of_joins_is_told_to_all() -> None:
    members = Members(3)
    longest = [0]
    send = members.send

    def measured(node: Node, action: SendTo) -> None:
        longest[0] = max(longest[0], len(action.data))
        send(node, action)

    members.send = measured  # type: ignore[method-assign]
    nodes = [members.add(f"a-rather-long-name-of-a-sidecar-{number:03}", zone="barracas") for number in range(60)]
    for node in nodes:
        members.start(node, nodes[:2])
    members.run(6 * SECOND)
    assert {len(members.believed(node)) for node in nodes} == {60} and 600 < longest[0] <= MOST_BYTES


def test_a_member_wants_a_turn_soon_and_ends_when_it_leaves() -> None:
    rng = random.Random(1)
    member = Member(core.Settings("a", "sidecar", "z", "10.0.0.1", 1), Codec("c"), 1, 1, 0)
    now = 0
    for _ in range(200):
        now = max(now + 1, member.next_us) + rng.randrange(1000)
        member.handle(now, Wake())
        assert now - SECOND < member.next_us <= now + 61 * SECOND
    member.handle(now, Leave())
    for _ in range(10):
        now = max(now, member.next_us)
        member.handle(now, Wake())
    assert member.phase == "stopped"


def test_members_on_real_sockets_find_each_other_and_say_goodbye() -> None:
    async def test() -> None:
        shells: list[Shell] = []
        told: list[core.Action] = []
        seeds: list[tuple[str, int]] = []

        def member(number: int) -> Callable[[tuple[str, int], int], Member]:
            return lambda address, now_us: Member(
                core.Settings(f"p{number}", "sidecar", "z", *address, seeds=list(seeds)),
                Codec("test"),
                1,
                number,
                now_us,
            )

        for number in range(4):
            shells.append(Shell(member(number), told.append))
            seeds.append(await shells[-1].open("127.0.0.1", 0))
        async with asyncio.timeout(20):
            while any(s.member is None or s.member.view.present < 4 for s in shells):
                await asyncio.sleep(0.02)
            await shells[3].leave()
            first = shells[0].member
            while first is None or first.view.entries["p3"].state != State.LEFT:
                await asyncio.sleep(0.02)
        assert core.Stopped("left") in told
        for shell in shells:
            shell.close()

    asyncio.run(test())


def test_what_the_fleet_may_do_is_divided_by_those_who_are_there() -> None:
    it = small(seconds=8)
    it = structs.replace(it, sidecars=structs.replace(it.sidecars, per_zone={"a": 3, "b": 2}, told=50, membership=True))
    world = World(it, plan.make(it, 1))

    def counted() -> list[int]:
        return [s.balancer.zones.fleet_size for s in world.sidecars.values() if isinstance(s.balancer, Balancer)]

    told = counted()
    world.run()
    assert (told, counted()) == ([50] * 5, [5] * 5)
    zones = Balancer(settings_of(fleet_size=50), 1, 0).zones
    zones.get(0).endpoint_count = 2
    alone = zones.health_check_gap_us(zones.get(0))
    zones.member_count = 5
    assert zones.health_check_gap_us(zones.get(0)) == alone / 10
