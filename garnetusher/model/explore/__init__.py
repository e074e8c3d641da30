"""Run seeded schedules of events against a core, and shrink those that break a rule.

A part of the product is explored through the four methods of `Part`. A schedule is plain data: it is drawn from its
seed, run with no clock and no I/O, and saved as JSON. One that breaks a rule is shrunk by delta debugging (Zeller and
Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002): fewer steps, a smaller setup, smaller numbers,
as long as the same rule breaks.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

import msgspec
from msgspec import Struct, structs

MAX_SHRINK_RUNS = 3000  # for one schedule


class Step(Struct, frozen=True, array_like=True):
    """One event; the part defines what its numbers mean."""

    what: str
    a: int = 0
    b: int = 0


class Schedule(Struct, frozen=True):
    """All that is needed to run it again."""

    part: str
    seed: int
    setup: dict[str, int]
    steps: list[Step]


class Broken(Struct, frozen=True):
    """A rule that did not hold, and the number of the step after which it did not."""

    rule: str
    text: str
    step: int


class FailingSchedule(Struct, frozen=True):
    """A schedule that breaks a rule, as `model replay` reads it."""

    schedule: Schedule
    broken: Broken
    drawn_steps: int  # before it was shrunk


class Part(Protocol):
    """A part of the product that can be explored."""

    name: str

    def draw(self, seed: int, steps: int) -> Schedule:
        """Return the schedule of a seed, of so many steps at the most."""

    def play(self, schedule: Schedule) -> Broken | None:
        """Run a schedule on a new core; return the first rule that broke, or None."""

    def simpler(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        """Yield simpler setups than this one."""

    def tell(self, schedule: Schedule) -> list[str]:
        """Describe a schedule, a line for each step."""


def explore(part: Part, seeds: Iterable[int], steps: int) -> Iterator[tuple[int, FailingSchedule | None]]:
    """Run the schedule of each seed; yield each seed with its shrunk failure, if any."""
    for seed in seeds:
        schedule = part.draw(seed, steps)
        broken = part.play(schedule)
        yield seed, None if broken is None else shrink(part, schedule, broken)


def shrink(part: Part, schedule: Schedule, broken: Broken) -> FailingSchedule:
    """Return the smallest schedule found that breaks the same rule."""
    shrinker = _Shrinker(part, _until_breach(schedule, broken), broken)
    shrinker.run()
    return FailingSchedule(shrinker.best, shrinker.broken, len(schedule.steps))


def _until_breach(schedule: Schedule, broken: Broken) -> Schedule:
    return structs.replace(schedule, steps=schedule.steps[: broken.step + 1])


class _Shrinker:
    """The smallest failing schedule so far, made smaller until nothing more can be left out."""

    def __init__(self, part: Part, schedule: Schedule, broken: Broken) -> None:
        self._part = part
        self.best = schedule
        self.broken = broken
        self._runs = 0

    def run(self) -> None:
        """Shrink until a round brings nothing, or the runs are used up."""
        before = None
        while before != self.best and self._runs < MAX_SHRINK_RUNS:
            before = self.best
            self._remove_steps()
            for setup in self._part.simpler(self.best.setup):
                self._accept(structs.replace(self.best, setup=setup))
            self._reduce_numbers()

    def _accept(self, schedule: Schedule) -> bool:
        """Run a smaller schedule; keep it as the best and return True if it breaks the same rule."""
        if self._runs >= MAX_SHRINK_RUNS:
            return False
        self._runs += 1
        broken = self._part.play(schedule)
        if broken is None or broken.rule != self.broken.rule:
            return False
        self.best = _until_breach(schedule, broken)
        self.broken = broken
        return True

    def _remove_steps(self) -> None:
        size = max(1, len(self.best.steps) // 2)
        while True:
            place = 0
            while place < len(self.best.steps):
                rest = self.best.steps[:place] + self.best.steps[place + size :]
                if not self._accept(structs.replace(self.best, steps=rest)):
                    place += size
            if size == 1:
                return
            size //= 2

    def _reduce_numbers(self) -> None:
        index = 0
        while index < len(self.best.steps):  # which become fewer if an accepted schedule breaks the rule earlier
            step = self.best.steps[index]
            smaller_steps = (
                Step(step.what),
                Step(step.what, step.a // 2, step.b),
                Step(step.what, step.a, step.b // 2),
            )
            for smaller in smaller_steps:
                if smaller != step and self._accept(self._with_step(index, smaller)):
                    break
            index += 1

    def _with_step(self, index: int, step: Step) -> Schedule:
        return structs.replace(self.best, steps=[*self.best.steps[:index], step, *self.best.steps[index + 1 :]])


def save(failure: FailingSchedule, path: Path) -> None:
    """Write a failure to a file as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(failure), indent=1) + b"\n")


def load(path: Path) -> FailingSchedule:
    """Read a failure from a file.

    Raises:
        OSError: The file cannot be read.
        msgspec.MsgspecError: It is no failing schedule; the text says why.
    """
    return msgspec.json.decode(path.read_bytes(), type=FailingSchedule)
