"""Explores membership under random orders of process faults and network faults.

The process faults are kills, restarts, pauses and clock skew; members also leave. The network faults are splits,
one-way cuts, garbage, and lost or duplicated datagrams. The simulated network and its nodes are in
garnetusher/model/members.py.

Three rules have to hold: a member's own (generation, incarnation) never decreases; each member uses a share of the
fleet-wide limits, and the shares of all members add up to at most one; and after all faults have ended, all running
members agree on which members are running.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from garnetusher.errors import GarnetusherError
from garnetusher.membership.fleet_size import HOLD_FAILED_US
from garnetusher.membership.state import Phase
from garnetusher.model.explore import BrokenRule, Schedule, Step
from garnetusher.model.members import SETTLE_US, Members, Node

SEED_NODES = 2  # number of nodes, from the start of the list, through which all nodes join
CONVERGENCE_US = 20_000_000  # more than twice the longest pause between two attempts to join
MAX_TOTAL_SHARE = 1.0001  # the shares of a limit may add up to one, plus a margin for rounding
HOUR_US = 3_600_000_000
MAX_ARGUMENT = 1000  # exclusive limit of the numbers that are drawn for a step
# An `advance` step lasts for a random time below one of these limits, which is chosen at random.
ADVANCE_LIMITS_MS = (50, 500, 500, 4000, 10_000)
GARBAGE_SENDER = ("10.9.9.9", 1)
# Invalid datagrams. A valid datagram is an authentication tag of 16 bytes followed by MessagePack data.
GARBAGE = [
    b"",
    b"\0" * 17,  # a number in place of the envelope
    b"\0" * 16 + b"\xc1",  # a byte that MessagePack never uses
    b"\0" * 16 + b"\x97\x01\xa5other",  # an envelope of another cluster that ends too early
    b"x" * 1400,  # more than the size limit of datagrams
    bytes(range(200)),
]
# Weights of the steps. Each seed chooses one set, so that schedules differ in which faults are frequent.
STEP_WEIGHTS: list[dict[str, int]] = [
    {"advance": 40, "kill": 10, "restart": 15, "leave": 3, "garbage": 2},
    {"advance": 40, "split": 6, "heal": 6, "kill": 4, "restart": 6, "cut": 4},
    {"advance": 40, "stop": 10, "go_on": 10, "kill": 2, "restart": 4},
    {"advance": 30, "cut": 10, "heal": 5, "stop": 4, "go_on": 6, "kill": 4, "restart": 8, "skew": 2, "leave": 2},
]


class RuleBrokenError(GarnetusherError):
    """A rule did not hold.

    Attributes:
        rule: The name of the rule.
    """

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


class Membership:
    """The `Part` that runs schedules on simulated members (`garnetusher.membership`)."""

    name = "membership"

    def draw(self, seed: int, steps: int) -> Schedule:
        """Return the schedule of a seed, with at most `steps` steps."""
        rng = random.Random(seed)
        setup = {
            "nodes": rng.choice([2, 3, 3, 4, 5]),
            "loss": rng.choice([0, 0, 5, 30]),
            "doubled": rng.choice([0, 0, 20]),
            "keys": rng.randrange(2),
        }
        weights = rng.choice(STEP_WEIGHTS)
        names = rng.choices(list(weights), list(weights.values()), k=rng.randint(max(4, steps // 4), steps))
        return Schedule(self.name, seed, setup, [_draw_step(rng, name) for name in names])

    def simpler_setups(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        """Yield setups in which one value is smaller."""
        for name, value in setup.items():
            minimum = 2 if name == "nodes" else 0
            for smaller in (minimum, value - 1):
                if minimum <= smaller < value:
                    yield setup | {name: smaller}

    def run(self, schedule: Schedule) -> BrokenRule | None:
        """Run a schedule on new nodes; return the first broken rule, or None."""
        schedule_run = _Run(schedule.setup, schedule.seed)
        completed = 0
        try:
            for step in schedule.steps:
                schedule_run.apply(step)
                schedule_run.check_rules()
                completed += 1
            schedule_run.check_convergence()
        except RuleBrokenError as broken:
            return BrokenRule(broken.rule, str(broken), completed)
        except Exception as error:  # any exception counts as a failure, since it would end the process
            return BrokenRule(f"crash: {type(error).__name__}", repr(error), completed)
        return None

    def describe(self, schedule: Schedule) -> list[str]:
        """Run a schedule; return its steps and the log events of the members as lines of text."""
        schedule_run = _Run(schedule.setup, schedule.seed)
        lines = [", ".join(f"{name} {value}" for name, value in schedule.setup.items())]
        try:
            for step in schedule.steps:
                lines.append(f"{schedule_run.members.clock.now_us / 1e6:.3f} s  {step.what} {step.a} {step.b}")
                schedule_run.apply(step)
                lines += schedule_run.new_log_lines()
                schedule_run.check_rules()
            schedule_run.check_convergence()
        except Exception as error:  # the last line reports the broken rule or the crash
            lines += [*schedule_run.new_log_lines(), f"    {type(error).__name__}: {error}"]
        return lines


def _stays(node: Node) -> bool:
    """Return whether the node has a process that is a member or joins; one that is leaving answers no join requests."""
    return node.member is not None and node.member.phase in (Phase.JOINING, Phase.PRESENT)


def _draw_step(rng: random.Random, name: str) -> Step:
    if name == "advance":
        return Step(name, rng.choice([rng.randrange(limit_ms) for limit_ms in ADVANCE_LIMITS_MS]))
    return Step(name, rng.randrange(MAX_ARGUMENT), rng.randrange(MAX_ARGUMENT))


class _Run:
    """One run of a schedule.

    Attributes:
        members: The nodes and the network.
    """

    def __init__(self, setup: dict[str, int], seed: int) -> None:
        keys = [b"k" * 32] if setup["keys"] else None
        self.members = Members(seed, loss=setup["loss"] / 100, keys=keys)
        self.members.duplication = setup["doubled"] / 100
        self.members.is_cut = self._is_cut
        self._nodes = [self.members.add(f"n{index}") for index in range(setup["nodes"])]
        self._highest_incarnations: dict[str, tuple[int, int]] = {}  # highest (generation, incarnation) of each name
        self._returned_log_events: dict[str, int] = {}  # number of log events of each node that were returned
        self._one_way_cuts: set[tuple[str, str]] = set()
        self._split_sides: dict[str, int] = {}  # side of each node in a network split, by name
        self._network_fault_since_us = 0  # the start of the first current cut or split; 0 = all nodes are connected
        self._healed_at_us = 0  # the end of the last network fault
        # Whether the shares may add up to more than one during the current network fault, or could during the last one,
        # because a node may not count another one that uses a share.
        self._excess_expected = False
        self._limits_checked_from_us = 0
        # The names of the steps are part of stored schedules and must not change.
        self._handlers: dict[str, Callable[[int, int], None]] = {
            "advance": self._advance,
            "kill": self._kill,
            "restart": self._restart,
            "leave": self._leave,
            "stop": self._pause,
            "go_on": self._resume,
            "cut": self._cut,
            "split": self._split,
            "heal": self._heal,
            "skew": self._skew_clock,
            "garbage": self._send_garbage,
        }
        for node in self._nodes:
            self.members.start(node, self._nodes[:SEED_NODES])
        self.members.run(SETTLE_US)
        self._limits_checked_from_us = self.members.clock.now_us + SETTLE_US

    def apply(self, step: Step) -> None:
        """Apply one step."""
        self._handlers[step.what](step.a, step.b)

    def _node(self, number: int) -> Node:
        return self._nodes[number % len(self._nodes)]

    def _is_cut(self, sender: Node, recipient: Node) -> bool:
        if (sender.name, recipient.name) in self._one_way_cuts:
            return True
        return self._split_sides.get(sender.name, 0) != self._split_sides.get(recipient.name, 0)

    def _postpone_limit_check(self) -> None:
        """Postpone the check of limits until the nodes have had time to learn of each other."""
        from_us = self.members.clock.now_us + 2 * SETTLE_US
        self._limits_checked_from_us = max(self._limits_checked_from_us, from_us)

    # Steps

    def _advance(self, duration_ms: int, _: int) -> None:
        self.members.run(duration_ms * 1000)

    def _kill(self, node_number: int, _: int) -> None:
        self.members.kill(self._node(node_number))

    def _restart(self, node_number: int, state_choice: int) -> None:
        """Restart a node; in three of four cases it reads its persisted state."""
        node = self._node(node_number)
        self.members.kill(node)
        read_persisted = state_choice % 4 > 0
        if not read_persisted:
            # a node without its persisted state may start with a lower (generation, incarnation)
            self._highest_incarnations.pop(node.name, None)
            node.persisted = None
        self.members.start(node, self._nodes[:SEED_NODES], read_persisted=read_persisted)
        self._postpone_limit_check()
        self._excess_expected = self._excess_expected or self._has_network_fault

    def _leave(self, node_number: int, _: int) -> None:
        self.members.leave(self._node(node_number))

    def _pause(self, node_number: int, _: int) -> None:
        self.members.pause(self._node(node_number))

    def _resume(self, node_number: int, _: int) -> None:
        self.members.resume(self._node(node_number))
        self._postpone_limit_check()

    def _cut(self, sender_number: int, recipient_number: int) -> None:
        sender, recipient = self._node(sender_number), self._node(recipient_number)
        if sender is not recipient:
            self._one_way_cuts.add((sender.name, recipient.name))
            self._record_network_fault()

    def _split(self, mask: int, _: int) -> None:
        self._split_sides = {node.name: mask >> index & 1 for index, node in enumerate(self._nodes)}
        self._record_network_fault()

    def _record_network_fault(self) -> None:
        if not self._has_network_fault:
            self._network_fault_since_us = self.members.clock.now_us
            self._excess_expected = self._excess_expected and self._lacks_time_to_rediscover()

    def _lacks_time_to_rediscover(self) -> bool:
        """Return whether the last network fault ended so recently that some members have not found each other yet."""
        is_recent = self.members.clock.now_us - self._healed_at_us < 2 * SETTLE_US
        return is_recent and not self._all_members_know_each_other()

    def _all_members_know_each_other(self) -> bool:
        joined = [node for node in self._nodes if node.member is not None and node.member.phase == Phase.PRESENT]
        names = {node.name for node in joined}
        return all(names <= set(self.members.active_names(node)) for node in joined)

    def _heal(self, _: int, __: int) -> None:
        self._one_way_cuts.clear()
        self._split_sides.clear()
        if self._has_network_fault:
            self._healed_at_us = self.members.clock.now_us
        self._network_fault_since_us = 0
        self._postpone_limit_check()

    def _skew_clock(self, node_number: int, hours: int) -> None:
        """Offset a node's wall clock by at most a day in either direction; generations derive from this clock."""
        self.members.clock_skew_us[self._node(node_number).name] = (hours % 48 - 24) * HOUR_US

    def _send_garbage(self, node_number: int, garbage_number: int) -> None:
        data = GARBAGE[garbage_number % len(GARBAGE)]
        self.members.deliver(self._node(node_number), GARBAGE_SENDER, data)

    # Rules

    @property
    def _has_network_fault(self) -> bool:
        return self._network_fault_since_us > 0

    def check_rules(self) -> None:
        """Check the rules that hold at any time.

        Raises:
            RuleBrokenError: A rule does not hold.
        """
        self._check_incarnations()
        self._check_limits()

    def _check_incarnations(self) -> None:
        for node in self._nodes:
            if node.member is not None and node.member.phase == Phase.PRESENT:
                own = (node.member.generation, node.member.incarnation)
                highest = self._highest_incarnations.get(node.name, own)
                if own < highest:
                    raise RuleBrokenError(
                        rule="incarnation",
                        text=f"{node.name} decreased its (generation, incarnation) from {highest} to {own}",
                    )
                self._highest_incarnations[node.name] = own

    def _check_limits(self) -> None:
        members, now_us = self.members, self.members.clock.now_us
        fleet_sizes = [(node.name, members.fleet_size(node).instances) for node in members.present_nodes()]
        total_share = sum(1 / fleet_size for _, fleet_size in fleet_sizes)
        present_since = [node.require_member().present_since_us for node in members.present_nodes()]
        if self._has_network_fault and self._network_fault_hides_members(present_since):
            self._excess_expected = True
        is_settled = all(now_us - since_us >= 2 * SETTLE_US for since_us in present_since)
        is_allowed = self._has_network_fault and self._excess_expected
        is_checked = now_us >= self._limits_checked_from_us and is_settled and not is_allowed
        if is_checked and total_share > MAX_TOTAL_SHARE:
            raise RuleBrokenError(
                rule="limits", text=f"shares of a limit add up to {total_share:.2f}; fleet sizes: {fleet_sizes}"
            )

    def _network_fault_hides_members(self, present_since: list[int]) -> bool:
        """Return whether a network fault may prevent nodes from counting other nodes that are running.

        This is the case if the fault has lasted for the time for which failed members are still counted, or if a node
        has joined during the fault or shortly before it.
        """
        if self.members.clock.now_us - self._network_fault_since_us >= HOLD_FAILED_US:
            return True
        return any(since_us >= self._network_fault_since_us - 2 * SETTLE_US for since_us in present_since)

    def check_convergence(self) -> None:
        """End all faults and check that all running members agree on which members are running.

        Raises:
            RuleBrokenError: The members do not agree, or another rule does not hold.
        """
        members = self.members
        self._end_faults()
        members.run(CONVERGENCE_US)
        running = sorted(node.name for node in self._nodes if node.running)
        for node in members.present_nodes():
            active = members.active_names(node)
            if active != running:
                raise RuleBrokenError(
                    rule="convergence", text=f"{node.name} considers {active} active; {running} are running"
                )
        joined = sorted(node.name for node in members.present_nodes())
        if joined != running:
            raise RuleBrokenError(
                rule="convergence", text=f"only {joined} of the running members {running} have joined"
            )
        digests = {node.require_member().view.digest for node in members.present_nodes()}
        if len(digests) > 1:
            raise RuleBrokenError(
                rule="convergence", text=f"{len(digests)} different views, although all have the same active members"
            )
        self.check_rules()

    def _end_faults(self) -> None:
        members = self.members
        members.loss = members.duplication = 0.0
        self._heal(0, 0)
        for node in self._nodes:
            members.resume(node)
        if not any(_stays(node) for node in self._nodes[:SEED_NODES]):
            members.start(self._nodes[0], self._nodes[:SEED_NODES])  # a node can join only through a seed

    # Log

    def new_log_lines(self) -> list[str]:
        """Return the log events since the last call as lines of text, sorted by time."""
        lines = []
        for node in self._nodes:
            new_events = node.log[self._returned_log_events.get(node.name, 0) :]
            self._returned_log_events[node.name] = len(node.log)
            for at_us, logged in new_events:
                fields = " ".join(f"{name}={value}" for name, value in logged.fields.items())
                lines.append((at_us, f"    {at_us / 1e6:.3f} {node.name}: {logged.event} {fields}"))
        return [line for _, line in sorted(lines)]
