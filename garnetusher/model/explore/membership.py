"""Membership under any order of deliveries, losses, kills, restarts, pauses and splits (garnetusher/model/members.py).

Three rules have to hold: a member's own (generation, incarnation) never goes back; what all members take as their parts
of a limit adds up to no more than one; and once faults stop, all running members agree on who runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from garnetusher.errors import GarnetusherError
from garnetusher.membership.fleet_size import HOLD_FAILED_US
from garnetusher.membership.state import Phase
from garnetusher.model.explore import Broken, Schedule, Step
from garnetusher.model.members import SETTLE_US, Members, Node

SEEDS = 2  # of the nodes, that others join through
CALM_US = 20_000_000  # after the last fault: longer than a joiner waits between attempts, twice over
UNDER_LIMIT = 1.0001  # what parts of a limit may add up to, with rounding
HOUR_US = 3_600_000_000
MAX_ARGUMENT = 1000  # of a drawn step, exclusive
ADVANCE_LIMITS_MS = (50, 500, 500, 4000, 10_000)
GARBAGE_SENDER = ("10.9.9.9", 1)
GARBAGE = [b"", b"\0" * 17, b"\0" * 16 + b"\xc1", b"\0" * 16 + b"\x97\x01\xa5other", b"x" * 1400, bytes(range(200))]
STEP_WEIGHTS: list[dict[str, int]] = [
    {"advance": 40, "kill": 10, "restart": 15, "leave": 3, "garbage": 2},
    {"advance": 40, "split": 6, "heal": 6, "kill": 4, "restart": 6, "cut": 4},
    {"advance": 40, "stop": 10, "go_on": 10, "kill": 2, "restart": 4},
    {"advance": 30, "cut": 10, "heal": 5, "stop": 4, "go_on": 6, "kill": 4, "restart": 8, "skew": 2, "leave": 2},
]


class RuleBrokenError(GarnetusherError):
    """A rule did not hold."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


class Membership:
    """`Part` for `garnetusher.membership`."""

    name = "membership"

    def draw(self, seed: int, steps: int) -> Schedule:
        """Draw the schedule of a seed."""
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

    def simpler(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        """Yield smaller settings."""
        for name, value in setup.items():
            least = 2 if name == "nodes" else 0
            for smaller in (least, value - 1):
                if least <= smaller < value:
                    yield setup | {name: smaller}

    def play(self, schedule: Schedule) -> Broken | None:
        """Run the schedule; return the first rule that broke."""
        run = _Run(schedule.setup, schedule.seed)
        completed = 0
        try:
            for step in schedule.steps:
                run.apply(step)
                run.check_rules()
                completed += 1
            run.check_convergence()
        except RuleBrokenError as broken:
            return Broken(broken.rule, str(broken), completed)
        except Exception as error:  # any exception would end the process
            return Broken(f"crash: {type(error).__name__}", repr(error), completed)
        return None

    def tell(self, schedule: Schedule) -> list[str]:
        """Run the schedule; return its steps and what each member logged."""
        run = _Run(schedule.setup, schedule.seed)
        lines = [", ".join(f"{name} {value}" for name, value in schedule.setup.items())]
        try:
            for step in schedule.steps:
                lines.append(f"{run.members.clock.now_us / 1e6:.3f} s  {step.what} {step.a} {step.b}")
                run.apply(step)
                lines += run.new_log_lines()
                run.check_rules()
            run.check_convergence()
        except Exception as error:  # the broken rule, or the crash, that the caller wants to see
            lines += [*run.new_log_lines(), f"    {type(error).__name__}: {error}"]
        return lines


def _draw_step(rng: random.Random, name: str) -> Step:
    if name == "advance":
        return Step(name, rng.choice([rng.randrange(limit_ms) for limit_ms in ADVANCE_LIMITS_MS]))
    return Step(name, rng.randrange(MAX_ARGUMENT), rng.randrange(MAX_ARGUMENT))


class _Run:
    """One run of a schedule.

    Attributes:
        members: the nodes and the network.
    """

    def __init__(self, setup: dict[str, int], seed: int) -> None:
        keys = [b"k" * 32] if setup["keys"] else None
        self.members = Members(seed, loss=setup["loss"] / 100, keys=keys)
        self.members.duplication = setup["doubled"] / 100
        self.members.is_cut = self._is_cut
        self._nodes = [self.members.add(f"n{index}") for index in range(setup["nodes"])]
        self._highest: dict[str, tuple[int, int]] = {}  # (generation, incarnation) that a name has had
        self._logged: dict[str, int] = {}  # log events by node that `new_log_lines` has returned
        self._one_way_cuts: set[tuple[str, str]] = set()
        self._sides: dict[str, int] = {}  # of a split, by name
        self._divided_since_us = 0  # since when some nodes can't hear others; 0 = all can
        self._limits_excused = False  # some node can't know of another that counts
        self._limits_checked_from_us = 0
        # names of steps are part of stored schedules
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
            self.members.start(node, self._nodes[:SEEDS])
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
        return self._sides.get(sender.name, 0) != self._sides.get(recipient.name, 0)

    def _suspend_limits(self) -> None:
        """Give the nodes time to learn of each other before limits are checked again."""
        from_us = self.members.clock.now_us + 2 * SETTLE_US
        self._limits_checked_from_us = max(self._limits_checked_from_us, from_us)

    # Steps

    def _advance(self, duration_ms: int, _: int) -> None:
        self.members.run(duration_ms * 1000)

    def _kill(self, node_number: int, _: int) -> None:
        self.members.kill(self._node(node_number))

    def _restart(self, node_number: int, disk_number: int) -> None:
        """Restart a node, in three of four cases with what it had persisted."""
        node = self._node(node_number)
        self.members.kill(node)
        disk = disk_number % 4 > 0
        if not disk:
            self._highest.pop(node.name, None)  # what was not persisted may go back
            node.persisted = None
        self.members.start(node, self._nodes[:SEEDS], disk=disk)
        self._suspend_limits()
        self._limits_excused = self._limits_excused or self._is_divided

    def _leave(self, node_number: int, _: int) -> None:
        self.members.leave(self._node(node_number))

    def _pause(self, node_number: int, _: int) -> None:
        self.members.pause(self._node(node_number))

    def _resume(self, node_number: int, _: int) -> None:
        self.members.resume(self._node(node_number))
        self._suspend_limits()

    def _cut(self, sender_number: int, recipient_number: int) -> None:
        sender, recipient = self._node(sender_number), self._node(recipient_number)
        if sender is not recipient:
            self._one_way_cuts.add((sender.name, recipient.name))
            self._note_division()

    def _split(self, mask: int, _: int) -> None:
        self._sides = {node.name: mask >> index & 1 for index, node in enumerate(self._nodes)}
        self._note_division()

    def _note_division(self) -> None:
        self._divided_since_us = self._divided_since_us or self.members.clock.now_us

    def _heal(self, _: int, __: int) -> None:
        self._one_way_cuts.clear()
        self._sides.clear()
        self._divided_since_us = 0
        self._limits_excused = False
        self._suspend_limits()

    def _skew_clock(self, node_number: int, hours: int) -> None:
        """Let the wall clock, which generations are taken from, jump by up to a day either way."""
        self.members.clock_skew_us[self._node(node_number).name] = (hours % 48 - 24) * HOUR_US

    def _send_garbage(self, node_number: int, garbage_number: int) -> None:
        data = GARBAGE[garbage_number % len(GARBAGE)]
        self.members.deliver(self._node(node_number), GARBAGE_SENDER, data)

    # Rules

    @property
    def _is_divided(self) -> bool:
        return self._divided_since_us > 0

    def check_rules(self) -> None:
        """Check the rules that hold at any time.

        Raises:
            RuleBrokenError: one does not hold.
        """
        self._check_incarnations()
        self._check_limits()

    def _check_incarnations(self) -> None:
        for node in self._nodes:
            if node.member is not None and node.member.phase == Phase.PRESENT:
                own = (node.member.generation, node.member.incarnation)
                highest = self._highest.get(node.name, own)
                if own < highest:
                    raise RuleBrokenError(rule="incarnation", text=f"{node.name} went back from {highest} to {own}")
                self._highest[node.name] = own

    def _check_limits(self) -> None:
        members, now_us = self.members, self.members.clock.now_us
        instances = [(node.name, members.fleet_size(node).instances) for node in members.present_nodes()]
        total = sum(1 / number for _, number in instances)
        present_since = [node.require_member().present_since_us for node in members.present_nodes()]
        if self._is_divided and self._division_hides_members(present_since):
            self._limits_excused = True
        is_settled = all(now_us - since_us >= 2 * SETTLE_US for since_us in present_since)
        is_checked = now_us >= self._limits_checked_from_us and is_settled and not self._limits_excused
        if is_checked and total > UNDER_LIMIT:
            raise RuleBrokenError(rule="limits", text=f"parts add up to {total:.2f}: {instances}")

    def _division_hides_members(self, present_since: list[int]) -> bool:
        """Return whether a division outlasts the hold of failed members, or somebody has joined during it."""
        if self.members.clock.now_us - self._divided_since_us >= HOLD_FAILED_US:
            return True
        return any(since_us >= self._divided_since_us - 2 * SETTLE_US for since_us in present_since)

    def check_convergence(self) -> None:
        """End all faults; then whoever runs has to agree on who runs.

        Raises:
            RuleBrokenError: they do not agree.
        """
        members = self.members
        self._end_faults()
        members.run(CALM_US)
        running = sorted(node.name for node in self._nodes if node.running)
        for node in members.present_nodes():
            active = members.active_names(node)
            if active != running:
                raise RuleBrokenError(rule="convergence", text=f"{node.name} believes in {active}; there are {running}")
        joined = sorted(node.name for node in members.present_nodes())
        if joined != running:
            raise RuleBrokenError(rule="convergence", text=f"only {joined} have joined of {running}")
        digests = {node.require_member().view.digest for node in members.present_nodes()}
        if len(digests) > 1:
            raise RuleBrokenError(
                rule="convergence", text=f"{len(digests)} different views though the same names count"
            )
        self.check_rules()

    def _end_faults(self) -> None:
        members = self.members
        members.loss = members.duplication = 0.0
        self._heal(0, 0)
        for node in self._nodes:
            members.resume(node)
        if not any(node.running for node in self._nodes[:SEEDS]):
            members.start(self._nodes[0], self._nodes[:SEEDS])  # without a seed a joiner finds nobody

    # Log

    def new_log_lines(self) -> list[str]:
        """Return what the members logged since the last call, by time."""
        lines = []
        for node in self._nodes:
            new_events = node.log[self._logged.get(node.name, 0) :]
            self._logged[node.name] = len(node.log)
            for at_us, logged in new_events:
                fields = " ".join(f"{name}={value}" for name, value in logged.fields.items())
                lines.append((at_us, f"    {at_us / 1e6:.3f} {node.name}: {logged.event} {fields}"))
        return [line for _, line in sorted(lines)]
