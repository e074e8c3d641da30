"""Measures the cost and the reaction times of membership in one scenario in virtual time.

All members of a fleet join at the same time, the fleet runs undisturbed, one member is killed, and the network is split
in two and healed. Some members can be starved of CPU time after all have joined.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from msgspec import Struct

from garnetusher.membership.actions import MemberChanged
from garnetusher.membership.view import State
from garnetusher.model.members import Members, Node, never_cut

CHECK_INTERVAL_US = 250_000  # time between two checks of all views
JOIN_LIMIT_US = 40_000_000
SETTLE_US = 3_000_000  # time between the last join and the undisturbed phase
UNDISTURBED_US = 10_000_000
DETECTION_LIMIT_US = 10_000_000
SPLIT_LIMIT_US = 30_000_000
HEAL_LIMIT_US = 30_000_000
STARVED_DELAY_US = 300_000  # extra delay of each datagram and timer of a starved member
SEED_NODES = 2  # number of nodes, from the start of the list, that all nodes use as seeds
NOT_REACHED = -1.0


class MembershipResult(Struct):
    """The results of one run; times are in seconds, and -1 means that a state was not reached.

    Attributes:
        members: The size of the fleet.
        loss: The share of datagrams that are lost.
        starved: The number of starved members.
        seed: The seed of the run.
        joined_s: The time until all members know all others.
        bytes_a_second: The bytes that a member sends per second of the undisturbed phase.
        datagrams_a_second: The datagrams that a member sends per second of the undisturbed phase.
        noticed_p50_s: The median time from the kill until another member considers the killed one failed.
        noticed_p99_s: The 99th percentile of the time from the kill until another member considers the killed
            one failed.
        noticed: The number of members that considered the killed one failed.
        accused: The number of running members that any other member considered failed before the split.
        split_s: The time from the split until one half agrees on its remaining members.
        healed_s: The time from the end of the split until all views are equal.
        cpu_us: The real CPU time per member and second of the undisturbed phase, in microseconds; 0 without `cpu_ns`.
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
    """The parameters of a run.

    Attributes:
        size: The number of members in the fleet.
        loss: The share of datagrams that are lost.
        starved: The number of starved members.
        seed: The seed of the run.
        split: Whether to split the fleet at the end.
        cpu_ns: A function that returns the CPU time used so far, in nanoseconds.
    """

    size: int
    loss: float
    starved: int
    seed: int
    split: bool = True
    cpu_ns: Callable[[], int] = lambda: 0


@dataclass(slots=True)
class _Cost:
    """The cost of one member per second of the undisturbed phase."""

    datagrams: float
    bytes_sent: float
    cpu_us: float


class _FailureLog:
    """Records when each node first considered another node failed.

    Attributes:
        times_us: The times by the name of the failed node, then by the name of the observing node.
    """

    def __init__(self) -> None:
        self.times_us: dict[str, dict[str, int]] = {}

    def member_changed(self, node: Node, now_us: int, change: MemberChanged) -> None:
        """Record when a node first learnt that a member has failed."""
        if change.entry.state == State.FAILED:
            self.times_us.setdefault(change.entry.name, {}).setdefault(node.name, now_us)


def run_scenario(scenario: Scenario) -> MembershipResult:
    """Run the scenario with one fleet and return the results."""
    members = Members(scenario.seed, loss=scenario.loss)
    nodes = [members.add(f"m{index:04}") for index in range(scenario.size)]
    for node in nodes:
        members.start(node, nodes[:SEED_NODES])
    joined_s = _run_until(members, JOIN_LIMIT_US, lambda: _all_have_active_count(nodes, len(nodes)))
    for node in nodes[SEED_NODES : SEED_NODES + scenario.starved]:
        members.delays_us[node.name] = STARVED_DELAY_US
    failures = _FailureLog()
    members.member_changed = failures.member_changed
    members.run(SETTLE_US)
    cost = _measure_cost(members, nodes, scenario.cpu_ns)
    killed_node = nodes[scenario.size // 2]
    killed_us = members.clock.now_us
    members.kill(killed_node)
    members.run(DETECTION_LIMIT_US)
    detection_s = sorted((at_us - killed_us) / 1e6 for at_us in failures.times_us.get(killed_node.name, {}).values())
    accused = len(failures.times_us.keys() - {killed_node.name})
    split_s = healed_s = NOT_REACHED
    if scenario.split:
        split_s, healed_s = _split_and_heal(members, nodes, killed_node)
    return MembershipResult(
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
    started_us, started_cpu_ns = members.clock.now_us, cpu_ns()
    members.run(UNDISTURBED_US)
    member_seconds = len(nodes) * (members.clock.now_us - started_us) / 1e6
    return _Cost(
        datagrams=(sum(node.sent_datagrams for node in nodes) - datagrams) / member_seconds,
        bytes_sent=(sum(node.sent_bytes for node in nodes) - bytes_sent) / member_seconds,
        cpu_us=(cpu_ns() - started_cpu_ns) / 1000 / member_seconds,
    )


def _split_and_heal(members: Members, nodes: list[Node], killed_node: Node) -> tuple[float, float]:
    """Split the fleet and heal it.

    Returns:
        The time from the split until one half agrees on its members, and the time from the end of the split until all
        views are equal, in seconds.
    """
    remaining = [node for node in nodes if node is not killed_node]
    half_names = {node.name for node in nodes[: len(nodes) // 2]}
    half = [node for node in remaining if node.name in half_names]
    members.is_cut = lambda sender, recipient: (sender.name in half_names) != (recipient.name in half_names)
    split_s = _run_until(members, SPLIT_LIMIT_US, lambda: _all_have_active_count(half, len(half)))
    members.is_cut = never_cut
    healed_s = _run_until(members, HEAL_LIMIT_US, lambda: _all_agree(remaining))
    return split_s, healed_s


def _all_have_active_count(nodes: list[Node], count: int) -> bool:
    return all(node.member is not None and node.member.view.active_count == count for node in nodes)


def _all_agree(nodes: list[Node]) -> bool:
    digests = {node.member.view.digest for node in nodes if node.member}
    return len(digests) == 1 and _all_have_active_count(nodes, len(nodes))


def _run_until(members: Members, limit_us: int, reached: Callable[[], bool]) -> float:
    """Return the time in seconds until a check finds that `reached` returns True, or -1 if the limit passes first."""
    started_us = members.clock.now_us
    while members.clock.now_us - started_us < limit_us:
        members.run(CHECK_INTERVAL_US)
        if reached():
            return (members.clock.now_us - started_us) / 1e6
    return NOT_REACHED


def _quantile(times_s: list[float], quantile: float) -> float:
    if not times_s:
        return NOT_REACHED
    return round(times_s[min(len(times_s) - 1, int(quantile * len(times_s)))], 3)
