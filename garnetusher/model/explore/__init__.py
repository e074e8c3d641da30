"""Runs seeded schedules of events against a component without I/O, and shrinks the schedules that break a rule.

The explorer reaches a component through an adapter with the four methods of `Part`. A schedule is plain data: it is
drawn from its seed, runs without a real clock and without I/O, and is saved as JSON. A schedule that breaks a rule is
shrunk by delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input", 2002): the
shrinker removes steps, simplifies the setup and reduces numbers as long as the same rule breaks.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

import msgspec
from msgspec import Struct, structs

MAX_SHRINK_RUNS = 3000  # limit on the trial runs that shrink one schedule


class Step(Struct, frozen=True, array_like=True):
    """One event of a schedule.

    Attributes:
        what: The name of the event.
        a: The first number; the part defines its meaning.
        b: The second number; the part defines its meaning.
    """

    what: str
    a: int = 0
    b: int = 0


class Schedule(Struct, frozen=True):
    """A sequence of events with all that is needed to run it again.

    Attributes:
        part: The name of the `Part` that runs the schedule.
        seed: The seed from which the schedule was drawn. It is also the seed of all random draws during the run.
        setup: The initial settings by name; the part defines their meaning.
        steps: The events in order.
    """

    part: str
    seed: int
    setup: dict[str, int]
    steps: list[Step]


class BrokenRule(Struct, frozen=True):
    """A rule that did not hold during a schedule.

    Attributes:
        rule: The name of the rule.
        text: A description of the violation.
        step: The index of the step during or after which the rule did not hold; the number of steps if the final check
            found it.
    """

    rule: str
    text: str
    step: int


class FailingSchedule(Struct, frozen=True):
    """A schedule that breaks a rule, in the form that `garnetusher model replay` reads.

    Attributes:
        schedule: The schedule after shrinking.
        broken: The rule that the schedule breaks.
        drawn_steps: The number of steps before shrinking.
    """

    schedule: Schedule
    broken: BrokenRule
    drawn_steps: int


class Part(Protocol):
    """An adapter through which the explorer runs schedules on one component.

    Attributes:
        name: The name of the component in schedules and commands.
    """

    name: str

    def draw(self, seed: int, steps: int) -> Schedule:
        """Return the schedule of a seed, with at most `steps` steps."""

    def run(self, schedule: Schedule) -> BrokenRule | None:
        """Run a schedule on a new instance of the component; return the first broken rule, or None."""

    def simpler_setups(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        """Yield setups that are simpler than this one."""

    def describe(self, schedule: Schedule) -> list[str]:
        """Run a schedule; return lines of text that describe its setup, its steps and their effects."""


def explore(part: Part, seeds: Iterable[int], steps: int) -> Iterator[tuple[int, FailingSchedule | None]]:
    """Run the schedule of each seed; yield each seed with its shrunk failing schedule, or with None."""
    for seed in seeds:
        schedule = part.draw(seed, steps)
        broken = part.run(schedule)
        yield seed, None if broken is None else shrink(part, schedule, broken)


def shrink(part: Part, schedule: Schedule, broken: BrokenRule) -> FailingSchedule:
    """Return the smallest schedule that was found to break the same rule."""
    shrinker = _Shrinker(part, _cut_after_violation(schedule, broken), broken)
    shrinker.run()
    return FailingSchedule(shrinker.best, shrinker.broken, len(schedule.steps))


def _cut_after_violation(schedule: Schedule, broken: BrokenRule) -> Schedule:
    return structs.replace(schedule, steps=schedule.steps[: broken.step + 1])


class _Shrinker:
    """Shrinks a failing schedule until no reduction still breaks the same rule, within the limit on trial runs.

    Attributes:
        best: The smallest failing schedule so far.
        broken: The rule that this schedule breaks.
    """

    def __init__(self, part: Part, schedule: Schedule, broken: BrokenRule) -> None:
        self._part = part
        self.best = schedule
        self.broken = broken
        self._runs = 0

    def run(self) -> None:
        """Repeat all reductions until none of them is accepted or the limit on runs is reached."""
        previous_best = None
        while previous_best != self.best and self._runs < MAX_SHRINK_RUNS:
            previous_best = self.best
            self._remove_steps()
            for setup in self._part.simpler_setups(self.best.setup):
                self._accept(structs.replace(self.best, setup=setup))
            self._reduce_numbers()

    def _accept(self, schedule: Schedule) -> bool:
        """Run a smaller schedule; if it breaks the same rule, store it as the best one and return True."""
        if self._runs >= MAX_SHRINK_RUNS:
            return False
        self._runs += 1
        broken = self._part.run(schedule)
        if broken is None or broken.rule != self.broken.rule:
            return False
        self.best = _cut_after_violation(schedule, broken)
        self.broken = broken
        return True

    def _remove_steps(self) -> None:
        chunk_size = max(1, len(self.best.steps) // 2)
        while True:
            start = 0
            while start < len(self.best.steps):
                remaining = self.best.steps[:start] + self.best.steps[start + chunk_size :]
                if not self._accept(structs.replace(self.best, steps=remaining)):
                    start += chunk_size
            if chunk_size == 1:
                return
            chunk_size //= 2

    def _reduce_numbers(self) -> None:
        index = 0
        while index < len(self.best.steps):  # the list gets shorter if the rule breaks at an earlier step
            step = self.best.steps[index]
            smaller_steps = (
                Step(step.what),
                Step(step.what, step.a // 2, step.b),
                Step(step.what, step.a, step.b // 2),
            )
            for smaller in smaller_steps:
                if smaller != step and self._accept(self._replace_step(index, smaller)):
                    break
            index += 1

    def _replace_step(self, index: int, step: Step) -> Schedule:
        return structs.replace(self.best, steps=[*self.best.steps[:index], step, *self.best.steps[index + 1 :]])


def save(failure: FailingSchedule, path: Path) -> None:
    """Write a failing schedule to a file as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(failure), indent=1) + b"\n")


def load(path: Path) -> FailingSchedule:
    """Read a failing schedule from a file.

    Raises:
        OSError: The file cannot be read.
        msgspec.MsgspecError: The file does not contain a failing schedule; the message says why.
    """
    return msgspec.json.decode(path.read_bytes(), type=FailingSchedule)
