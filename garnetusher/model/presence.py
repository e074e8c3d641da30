"""What membership costs and how fast it is, by the size of the fleet: one scenario in virtual time.

A fleet joins all at once, runs undisturbed, loses one member, and is split in two and healed. Some members may be
starved from the time when all have joined.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from garnetusher.membership.actions import MemberChanged
from garnetusher.membership.view import State
from garnetusher.model.members import Members, Node, never_cut

CHECK_INTERVAL_US = 250_000  # between two comparisons of all views
JOIN_LIMIT_US = 40_000_000
SETTLE_US = 3_000_000  # between the last join and the undisturbed time
UNDISTURBED_US = 10_000_000
DETECTION_LIMIT_US = 10_000_000
SPLIT_LIMIT_US = 30_000_000
HEAL_LIMIT_US = 30_000_000
STARVED_DELAY_US = 300_000  # by which each event of a starved process is handled late
SEEDS = 2  # of the nodes, that all join through
NOT_REACHED = -1.0


class Presence(Struct):
    """Results of one run; times in seconds, -1 where the state was not reached.

    Attributes:
        members: size of the fleet.
        loss: share of datagrams that are lost.
        starved: members that are starved.
        seed: of the run.
        joined_s: until all know all.
        bytes_a_second: of datagrams that a member sends while undisturbed.
        datagrams_a_second: that a member sends while undisturbed.
        noticed_p50_s: from a kill until a member believes it failed, median over the others.
        noticed_p99_s: the same, 99th percentile.
        noticed: members that believed it failed.
        accused: running members that any other believed failed before the split.
        split_s: until both halves agree on who is left.
        healed_s: from the end of the split until all views are equal.
        cpu_us: of this machine, for a member and an undisturbed second; 0 where the caller gives no clock.
    """

    members: int
    loss: float
    starved: int
    seed: int
    joined_s: float
    bytes_a_second: float
    datagrams_a_second: float
    noticed_p50_s: float
    noticed_p99_s: float
    noticed: int
    accused: int
    split_s: float
    healed_s: float
    cpu_us: float


@dataclass(slots=True)
class Scenario:
    """What to run.

    Attributes:
        size: members of the fleet.
        loss: share of datagrams that are lost.
        starved: members that are starved.
        seed: of the run.
        split: whether to split the fleet at the end.
        cpu_ns: a clock of used processor time.
    """

    size: int
    loss: float
    starved: int
    seed: int
    split: bool = True
    cpu_ns: Callable[[], int] = lambda: 0


@dataclass(slots=True)
class _Cost:
    """What one member costs in an undisturbed second."""

    datagrams: float
    bytes_sent: float
    cpu_us: float


class _FailureLog:
    """When each node first believed another failed."""

    def __init__(self) -> None:
        self.times_us: dict[str, dict[str, int]] = {}  # by failed name, then by believer

    def member_changed(self, node: Node, now_us: int, change: MemberChanged) -> None:
        if change.entry.state == State.FAILED:
            self.times_us.setdefault(change.entry.name, {}).setdefault(node.name, now_us)


def run_scenario(scenario: Scenario) -> Presence:
    """Run one fleet through the scenario."""
    members = Members(scenario.seed, loss=scenario.loss)
    nodes = [members.add(f"m{index:04}") for index in range(scenario.size)]
    for node in nodes:
        members.start(node, nodes[:SEEDS])
    joined_s = _run_until(members, JOIN_LIMIT_US, lambda: _all_see(nodes, len(nodes)))
    for node in nodes[SEEDS : SEEDS + scenario.starved]:
        members.delays_us[node.name] = STARVED_DELAY_US
    failures = _FailureLog()
    members.member_changed = failures.member_changed
    members.run(SETTLE_US)
    cost = _measure_cost(members, nodes, scenario.cpu_ns)
    victim = nodes[scenario.size // 2]
    killed_us = members.clock.now_us
    members.kill(victim)
    members.run(DETECTION_LIMIT_US)
    detection_s = sorted((at - killed_us) / 1e6 for at in failures.times_us.get(victim.name, {}).values())
    accused = len(failures.times_us.keys() - {victim.name})
    split_s = healed_s = NOT_REACHED
    if scenario.split:
        split_s, healed_s = _split_and_heal(members, nodes, victim)
    return Presence(
        members=scenario.size,
        loss=scenario.loss,
        starved=scenario.starved,
        seed=scenario.seed,
        joined_s=joined_s,
        bytes_a_second=round(cost.bytes_sent, 1),
        datagrams_a_second=round(cost.datagrams, 2),
        noticed_p50_s=_quantile(detection_s, 0.5),
        noticed_p99_s=_quantile(detection_s, 0.99),
        noticed=len(detection_s),
        accused=accused,
        split_s=split_s,
        healed_s=healed_s,
        cpu_us=round(cost.cpu_us, 1),
    )


def _measure_cost(members: Members, nodes: list[Node], cpu_ns: Callable[[], int]) -> _Cost:
    datagrams = sum(node.sent_datagrams for node in nodes)
    bytes_sent = sum(node.sent_bytes for node in nodes)
    began_us, began_cpu_ns = members.clock.now_us, cpu_ns()
    members.run(UNDISTURBED_US)
    member_seconds = len(nodes) * (members.clock.now_us - began_us) / 1e6
    return _Cost(
        datagrams=(sum(node.sent_datagrams for node in nodes) - datagrams) / member_seconds,
        bytes_sent=(sum(node.sent_bytes for node in nodes) - bytes_sent) / member_seconds,
        cpu_us=(cpu_ns() - began_cpu_ns) / 1000 / member_seconds,
    )


def _split_and_heal(members: Members, nodes: list[Node], victim: Node) -> tuple[float, float]:
    """Return the seconds until one half agrees on its members, and until all views are equal after the split."""
    remaining = [node for node in nodes if node is not victim]
    half_names = {node.name for node in nodes[: len(nodes) // 2]}
    half = [node for node in remaining if node.name in half_names]
    members.is_cut = lambda sender, recipient: (sender.name in half_names) != (recipient.name in half_names)
    split_s = _run_until(members, SPLIT_LIMIT_US, lambda: _all_see(half, len(half)))
    members.is_cut = never_cut
    healed_s = _run_until(members, HEAL_LIMIT_US, lambda: _all_agree(remaining))
    return split_s, healed_s


def _all_see(nodes: list[Node], count: int) -> bool:
    return all(node.member is not None and node.member.view.active_count == count for node in nodes)


def _all_agree(nodes: list[Node]) -> bool:
    digests = {node.member.view.digest for node in nodes if node.member}
    return len(digests) == 1 and _all_see(nodes, len(nodes))


def _run_until(members: Members, limit_us: int, reached: Callable[[], bool]) -> float:
    """Return after how many seconds a check found the state reached."""
    began_us = members.clock.now_us
    while members.clock.now_us - began_us < limit_us:
        members.run(CHECK_INTERVAL_US)
        if reached():
            return (members.clock.now_us - began_us) / 1e6
    return NOT_REACHED


def _quantile(times_s: list[float], quantile: float) -> float:
    if not times_s:
        return NOT_REACHED
    return round(times_s[min(len(times_s) - 1, int(quantile * len(times_s)))], 3)
