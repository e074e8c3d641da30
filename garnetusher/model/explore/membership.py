"""Membership under any order of deliveries, losses, kills, restarts, stops and splits (garnetusher/model/members.py).

What has to hold: a member's own (boot, incarnation) never goes back; what all take as their parts of a limit adds up
to no more than one; and once faults stop, all that run agree on who runs.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from garnetusher.membership.fleet_size import HOLD_FAILED_US
from garnetusher.model.explore import Broken, Schedule, Step
from garnetusher.model.members import SETTLE_US, Members, Node

SEEDS = 2  # of the nodes, that others join through
CALM_US = 20_000_000  # after the last fault: longer than a joiner waits between calls, twice over
GARBAGE = [b"", b"\0" * 17, b"\0" * 16 + b"\xc1", b"\0" * 16 + b"\x97\x01\xa5other", b"x" * 1400, bytes(range(200))]
TEMPERS: list[dict[str, int]] = [
    {"advance": 40, "kill": 10, "restart": 15, "leave": 3, "garbage": 2},
    {"advance": 40, "split": 6, "heal": 6, "kill": 4, "restart": 6, "cut": 4},
    {"advance": 40, "stop": 10, "go_on": 10, "kill": 2, "restart": 4},
    {"advance": 30, "cut": 10, "heal": 5, "stop": 4, "go_on": 6, "kill": 4, "restart": 8, "skew": 2, "leave": 2},
]


class Broke(AssertionError):
    def __init__(self, rule: str, text: str) -> None:
        super().__init__(text)
        self.rule = rule


class Membership:
    """`Part` for `garnetusher.membership`."""

    name = "membership"

    def draw(self, seed: int, steps: int) -> Schedule:
        rng = random.Random(seed)
        setup = {
            "nodes": rng.choice([2, 3, 3, 4, 5]),
            "loss": rng.choice([0, 0, 5, 30]),
            "doubled": rng.choice([0, 0, 20]),
            "keys": rng.randrange(2),
        }
        temper = rng.choice(TEMPERS)
        names = rng.choices(list(temper), list(temper.values()), k=rng.randint(max(4, steps // 4), steps))
        return Schedule(self.name, seed, setup, [self._step(rng, name) for name in names])

    def _step(self, rng: random.Random, what: str) -> Step:
        if what == "advance":
            return Step(
                what,
                rng.choice(
                    [
                        rng.randrange(50),
                        rng.randrange(500),
                        rng.randrange(500),
                        rng.randrange(4000),
                        rng.randrange(10_000),
                    ]
                ),
            )
        return Step(what, rng.randrange(1000), rng.randrange(1000))

    def simpler(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        for name, value in setup.items():
            least = 2 if name == "nodes" else 0
            for other in (least, value - 1):
                if least <= other < value:
                    yield setup | {name: other}

    def play(self, schedule: Schedule) -> Broken | None:
        run, done = _Run(schedule.setup, schedule.seed), 0
        try:
            for step in schedule.steps:
                run.step(step)
                run.audit()
                done += 1
            run.calm()
        except Broke as broke:
            return Broken(broke.rule, str(broke), done)
        except Exception as error:  # whatever it raises: the process would be gone
            return Broken(f"crash: {type(error).__name__}", repr(error), done)
        return None

    def tell(self, schedule: Schedule) -> list[str]:
        """What happened, and what each member said of it."""
        run = _Run(schedule.setup, schedule.seed)
        lines = [", ".join(f"{name} {value}" for name, value in schedule.setup.items())]
        try:
            for step in schedule.steps:
                lines += [f"{run.members.clock.now_us / 1e6:.3f} s  {step.what} {step.a} {step.b}"]
                run.step(step)
                lines += run.news()
                run.audit()
            run.calm()
        except Exception as error:  # the breach, or the crash, that the story is about
            lines += [*run.news(), f"    {type(error).__name__}: {error}"]
        return lines


class _Run:
    """One play."""

    def __init__(self, setup: dict[str, int], seed: int) -> None:
        keys = [b"k" * 32] if setup["keys"] else None
        self.members = Members(seed, loss=setup["loss"] / 100, keys=keys)
        self.members.doubled = setup["doubled"] / 100
        self.nodes = [self.members.add(f"n{number}") for number in range(setup["nodes"])]
        self.own: dict[str, tuple[int, int]] = {}  # the highest (boot, incarnation) that a name has had
        self.told: dict[str, int] = {}  # how much of what it said is in the story
        self.one_way: set[tuple[str, str]] = set()
        self.sides: dict[str, int] = {}
        self.apart_us = 0  # since when some can't hear others
        self.unknown = False  # somebody has come meanwhile
        self.fair_us = 0  # until then some can't know of others that have come
        self.members.cut = lambda a, b: (
            (a.name, b.name) in self.one_way or self.sides.get(a.name, 0) != self.sides.get(b.name, 0)
        )
        for node in self.nodes:
            self.members.start(node, self.nodes[:SEEDS])
        self.members.run(SETTLE_US)
        self.fair_us = self.members.clock.now_us + SETTLE_US

    def step(self, step: Step) -> None:
        getattr(self, step.what)(step.a, step.b)

    def node(self, which: int) -> Node:
        return self.nodes[which % len(self.nodes)]

    @property
    def apart(self) -> bool:
        return self.apart_us > 0

    def unfair(self) -> None:
        self.fair_us = max(self.fair_us, self.members.clock.now_us + 2 * SETTLE_US)

    # What can happen

    def advance(self, ms: int, _: int) -> None:
        self.members.run(ms * 1000)

    def kill(self, which: int, _: int) -> None:
        self.members.kill(self.node(which))

    def restart(self, which: int, how: int) -> None:
        """With what it had written in three of four cases."""
        node = self.node(which)
        self.members.kill(node)
        disk = how % 4 > 0
        if not disk:
            self.own.pop(node.name, None)  # what nobody kept can't be held against it
            node.kept = None
        self.members.start(node, self.nodes[:SEEDS], disk=disk)
        self.unfair()
        self.unknown = self.unknown or self.apart

    def leave(self, which: int, _: int) -> None:
        self.members.leave(self.node(which))

    def stop(self, which: int, _: int) -> None:
        self.members.stop(self.node(which))

    def go_on(self, which: int, _: int) -> None:
        self.members.go_on(self.node(which))
        self.unfair()

    def cut(self, a: int, b: int) -> None:
        if self.node(a) is not self.node(b):
            self.one_way.add((self.node(a).name, self.node(b).name))
            self.apart_us = self.apart_us or self.members.clock.now_us

    def split(self, mask: int, _: int) -> None:
        self.sides = {node.name: mask >> number & 1 for number, node in enumerate(self.nodes)}
        self.apart_us = self.apart_us or self.members.clock.now_us

    def heal(self, _: int, __: int) -> None:
        self.one_way.clear()
        self.sides.clear()
        self.apart_us, self.unknown = 0, False
        self.unfair()

    def skew(self, which: int, hours: int) -> None:
        """The wall clock jumps, by up to a day either way; boots go by it."""
        self.members.clock_skew_us[self.node(which).name] = (hours % 48 - 24) * 3_600_000_000

    def garbage(self, which: int, what: int) -> None:
        self.members.arrive(self.node(which), ("10.9.9.9", 1), GARBAGE[what % len(GARBAGE)])

    # What has to hold

    def audit(self) -> None:
        members = self.members
        for node in self.nodes:
            if node.member is not None and node.member.phase == "present":
                own = (node.member.boot, node.member.incarnation)
                if own < self.own.get(node.name, own):
                    raise Broke("incarnation", f"{node.name} went back from {self.own[node.name]} to {own}")
                self.own[node.name] = own
        parts = [(node.name, members.share(node).instances) for node in members.present()]
        whole = sum(1 / instances for _, instances in parts)
        if self.apart and members.clock.now_us - self.apart_us >= HOLD_FAILED_US:
            self.unknown = True  # a split that outlasts the hold
        entered = [node.member.present_us for node in members.present() if node.member is not None]
        self.unknown = self.unknown or (self.apart and any(at >= self.apart_us - 2 * SETTLE_US for at in entered))
        settled = all(members.clock.now_us - at >= 2 * SETTLE_US for at in entered)
        if members.clock.now_us >= self.fair_us and settled and not self.unknown and whole > 1.0001:
            raise Broke("limits", f"parts add up to {whole:.2f}: {parts}")

    def calm(self) -> None:
        """Faults stop; whoever runs has to agree on who runs."""
        members = self.members
        members.loss = members.doubled = 0.0
        self.heal(0, 0)
        for node in self.nodes:
            members.go_on(node)
        if not any(node.running for node in self.nodes[:SEEDS]):
            members.start(self.nodes[0], self.nodes[:SEEDS])  # with no seed a joiner finds nobody
        members.run(CALM_US)
        running = sorted(node.name for node in self.nodes if node.running)
        for node in members.present():
            if members.believed(node) != running:
                raise Broke("convergence", f"{node.name} believes in {members.believed(node)}; there are {running}")
        joined = sorted(node.name for node in members.present())
        if joined != running:
            raise Broke("convergence", f"only {joined} have joined of {running}")
        digests = {node.member.view.digest for node in members.present() if node.member is not None}
        if len(digests) > 1:
            raise Broke("convergence", f"{len(digests)} different views though the same names count")
        self.audit()

    def news(self) -> list[str]:
        out = []
        for node in self.nodes:
            fresh = node.said[self.told.get(node.name, 0) :]
            self.told[node.name] = len(node.said)
            out += [
                (
                    at,
                    f"    {at / 1e6:.3f} {node.name}: {said.event} "
                    f"{' '.join(f'{k}={v}' for k, v in said.fields.items())}",
                )
                for at, said in fresh
            ]
        return [line for _, line in sorted(out)]
