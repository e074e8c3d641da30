"""What membership costs and how fast it is, by the size of the fleet: one story, played in virtual time.

A fleet joins all at once; is left alone; loses one member; is split in two and mended; and has some starved members
from its start on where that is asked for.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from garnetusher.membership.member import Changed
from garnetusher.membership.view import State
from garnetusher.model.members import Members, Node

STEP_US = 250_000  # between two looks at all views
JOIN_US, CALM_US, NOTICE_US, SPLIT_US, HEAL_US = 40_000_000, 10_000_000, 10_000_000, 30_000_000, 30_000_000
STARVED_US = 300_000  # that each turn of a starved process comes late


class Presence(Struct):
    """Of one play; times in seconds, those that were not reached are -1."""

    members: int
    loss: float
    starved: int
    seed: int
    joined_s: float  # until all know all
    bytes_a_second: float  # of datagrams that a member sends, in calm
    datagrams_a_second: float
    noticed_p50_s: float  # from a kill until each of the others holds it for failed
    noticed_p99_s: float
    noticed: int
    accused: int  # members that ran and were held for failed by anybody, in calm and after the kill
    split_s: float  # until both halves agree on who is left
    healed_s: float  # from the end of the split until all views are equal
    cpu_us: float  # of this machine, for a member and second of calm; 0 where the caller has no clock


def play(
    size: int, loss: float, starved: int, seed: int, cpu_ns: Callable[[], int] = lambda: 0, split: bool = True
) -> Presence:
    """One fleet through all of it."""
    members = Members(seed, loss=loss)
    nodes = [members.add(f"m{number:04}") for number in range(size)]
    for node in nodes:
        members.start(node, nodes[:2])
    names = [node.name for node in nodes]
    joined = _until(members, JOIN_US, lambda: _all_see(nodes, len(names)))
    for node in nodes[2 : 2 + starved]:
        members.slow[node.name] = STARVED_US
    failed: dict[str, dict[str, int]] = {}

    def changed(node: Node, now_us: int, change: Changed) -> None:
        if change.entry.state == State.FAILED:
            failed.setdefault(change.entry.name, {}).setdefault(node.name, now_us)

    members.changed = changed
    members.run(3_000_000)
    sent, bytes_ = sum(n.sent for n in nodes), sum(n.sent_bytes for n in nodes)
    began, cpu = members.clock.now_us, cpu_ns()
    members.run(CALM_US)
    each = size * (members.clock.now_us - began) / 1e6
    calm = (sum(n.sent for n in nodes) - sent) / each, (sum(n.sent_bytes for n in nodes) - bytes_) / each
    cost = (cpu_ns() - cpu) / 1000 / each
    victim, killed_us = nodes[size // 2], members.clock.now_us
    members.kill(victim)
    members.run(NOTICE_US)
    times = sorted((at - killed_us) / 1e6 for at in failed.get(victim.name, {}).values())
    accused = len(failed.keys() - {victim.name})
    apart = healed = -1.0
    if split:
        left = [n for n in nodes if n is not victim]
        half = set(names[: size // 2])
        members.cut = lambda a, b: (a.name in half) != (b.name in half)
        mine = [n for n in left if n.name in half]
        apart = _until(members, SPLIT_US, lambda: _all_see(mine, len(mine)))
        members.cut = lambda a, b: False
        healed = _until(
            members,
            HEAL_US,
            lambda: len({n.member.view.digest for n in left if n.member}) == 1 and _all_see(left, len(left)),
        )
    return Presence(
        size,
        loss,
        starved,
        seed,
        joined,
        round(calm[1], 1),
        round(calm[0], 2),
        _at(times, 0.5),
        _at(times, 0.99),
        len(times),
        accused,
        apart,
        healed,
        round(cost, 1),
    )


def _all_see(nodes: list[Node], count: int) -> bool:
    return all(n.member is not None and n.member.view.present == count for n in nodes)


def _until(members: Members, most_us: int, reached: Callable[[], bool]) -> float:
    """How long it took, to the next look; -1 if it was not reached."""
    began = members.clock.now_us
    while members.clock.now_us - began < most_us:
        members.run(STEP_US)
        if reached():
            return (members.clock.now_us - began) / 1e6
    return -1.0


def _at(times: list[float], part: float) -> float:
    return round(times[min(len(times) - 1, int(part * len(times)))], 3) if times else -1.0
