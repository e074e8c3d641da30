"""Seeded schedules of events played against a core, and what breaks one made as small as it goes.

A part of the product joins in by four methods (`Part`). A schedule is plain data: it is drawn from its seed, played
with no clock and no I/O, and kept as JSON. A schedule that breaks something is shrunk by delta debugging (Zeller and
Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002): fewer steps, a smaller setting, smaller numbers,
as long as the same rule breaks.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

import msgspec
from msgspec import Struct, structs

MOST_PLAYS = 3000  # for shrinking one schedule


class Step(Struct, frozen=True, array_like=True):
    """One thing that happens; what the numbers mean is the part's business."""

    what: str
    a: int = 0
    b: int = 0


class Schedule(Struct, frozen=True):
    """All that is needed to play it again."""

    part: str
    seed: int
    setup: dict[str, int]
    steps: list[Step]


class Broken(Struct, frozen=True):
    """A rule that did not hold, and the number of the step after which it did not."""

    rule: str
    text: str
    step: int


class Find(Struct, frozen=True):
    """A schedule that breaks a rule. `kept` is what `model replay` reads."""

    schedule: Schedule
    broken: Broken
    drawn_steps: int  # before it was shrunk


class Part(Protocol):
    """What can be explored."""

    name: str

    def draw(self, seed: int, steps: int) -> Schedule:
        """The schedule of this seed."""

    def play(self, schedule: Schedule) -> Broken | None:
        """Play it on a new core; what broke first, or None."""

    def simpler(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        """Smaller settings to try instead."""

    def tell(self, schedule: Schedule) -> list[str]:
        """The schedule as a story, a line each step."""


def explore(part: Part, seeds: Iterable[int], steps: int) -> Iterator[tuple[int, Find | None]]:
    """Play the schedule of each seed; with each seed what it found, shrunk."""
    for seed in seeds:
        schedule = part.draw(seed, steps)
        broken = part.play(schedule)
        yield seed, None if broken is None else shrink(part, schedule, broken)


def shrink(part: Part, schedule: Schedule, broken: Broken) -> Find:
    """The smallest schedule found that breaks the same rule."""
    search = _Search(part, structs.replace(schedule, steps=schedule.steps[: broken.step + 1]), broken)
    search.run()
    return Find(search.best, search.broken, len(schedule.steps))


class _Search:
    def __init__(self, part: Part, schedule: Schedule, broken: Broken) -> None:
        self.part, self.best, self.broken = part, schedule, broken
        self.plays = 0

    def run(self) -> None:
        before = None
        while before != self.best and self.plays < MOST_PLAYS:
            before = self.best
            self.fewer_steps()
            for setup in self.part.simpler(self.best.setup):
                self.holds(structs.replace(self.best, setup=setup))
            self.smaller_numbers()

    def holds(self, schedule: Schedule) -> bool:
        """Whether the same rule still breaks; then this is the best so far."""
        if self.plays >= MOST_PLAYS:
            return False
        self.plays += 1
        broken = self.part.play(schedule)
        if broken is None or broken.rule != self.broken.rule:
            return False
        self.best = structs.replace(schedule, steps=schedule.steps[: broken.step + 1])
        self.broken = broken
        return True

    def fewer_steps(self) -> None:
        size = max(1, len(self.best.steps) // 2)
        while True:
            place = 0
            while place < len(self.best.steps):
                rest = self.best.steps[:place] + self.best.steps[place + size :]
                if not self.holds(structs.replace(self.best, steps=rest)):
                    place += size
            if size == 1:
                return
            size //= 2

    def smaller_numbers(self) -> None:
        place = 0
        while place < len(self.best.steps):
            step = self.best.steps[place]
            for other in (Step(step.what), Step(step.what, step.a // 2, step.b), Step(step.what, step.a, step.b // 2)):
                if other != step and self.holds(
                    structs.replace(self.best, steps=[*self.best.steps[:place], other, *self.best.steps[place + 1 :]])
                ):
                    break
            place += 1


def keep(find: Find, path: Path) -> None:
    """Write it so that it can be played again."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(find), indent=1) + b"\n")


def kept(path: Path) -> Find:
    """Read it back; raises OSError, or msgspec.MsgspecError naming what is wrong."""
    return msgspec.json.decode(path.read_bytes(), type=Find)
