"""`garnetusher model explore`: searches schedules for broken rules on all cores and saves the failing ones."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from pathlib import Path

from msgspec import Struct, field

from garnetusher.model import explore
from garnetusher.model.explore import FailingSchedule, Part
from garnetusher.model.explore.membership import Membership
from garnetusher.model.explore.module import Module

PARTS: dict[str, Part] = {part.name: part for part in (Module(), Membership())}
SEEDS_PER_TASK = 250  # number of seeds that a worker process explores in one task
SHOWN_STEPS = 40  # number of steps that are printed from the end of a schedule; the saved file has all steps


class SearchResult(Struct):
    """The current result of a search.

    Attributes:
        part: the explored part, which is a key of `PARTS`.
        seeds: the first and the last seed.
        schedules: the number of schedules that have run.
        max_steps: the maximum number of steps in a schedule.
        failures: the schedules that broke a rule, after shrinking.
    """

    part: str
    seeds: list[int]
    schedules: int = 0
    max_steps: int = field(name="steps", default=0)
    failures: list[FailingSchedule] = field(name="finds", default_factory=list)

    @property
    def lines(self) -> list[str]:
        """The result as lines of text: a summary and the first failure of each rule."""
        counts = Counter(failure.broken.rule for failure in self.failures)
        summary = ", ".join(f"{count} broke {rule}" for rule, count in counts.items()) or "no rule was broken"
        lines = [
            f"{self.part}: {self.schedules} schedules of up to {self.max_steps} steps, seeds {self.seeds[0]} to "
            f"{self.seeds[1]}: {summary}"
        ]
        first_by_rule: dict[str, FailingSchedule] = {}
        for failure in self.failures:
            first_by_rule.setdefault(failure.broken.rule, failure)
        for failure in first_by_rule.values():
            lines += self._failure_lines(failure)
        return lines

    def _failure_lines(self, failure: FailingSchedule) -> list[str]:
        schedule = failure.schedule
        steps = PARTS[self.part].describe(schedule)[-SHOWN_STEPS:]
        return [
            f"seed {schedule.seed}, {len(schedule.steps)} steps, shrunk from {failure.drawn_steps}: "
            f"{failure.broken.text}",
            *("  " + step for step in steps),
        ]


def search(part: str, seeds: range, max_steps: int) -> Iterator[SearchResult]:
    """Run the schedule of each seed on all cores.

    Args:
        part: the part to explore, which is a key of `PARTS`.
        seeds: the seeds, each of which determines a schedule.
        max_steps: the maximum number of steps in a schedule.

    Yields:
        The result so far, after each group of seeds and in the order of the seeds; always the same object, which the
        function updates.
    """
    result = SearchResult(part, [seeds[0], seeds[-1]], max_steps=max_steps)
    groups = [seeds[start : start + SEEDS_PER_TASK] for start in range(0, len(seeds), SEEDS_PER_TASK)]
    with ProcessPoolExecutor(min(len(groups), os.cpu_count() or 1)) as pool:
        failures_by_group = pool.map(_failures, repeat(part, len(groups)), groups, repeat(max_steps, len(groups)))
        for group, failures in zip(groups, failures_by_group, strict=True):
            result.schedules += len(group)
            result.failures.extend(failures)
            yield result


def _failures(part: str, seeds: range, max_steps: int) -> list[FailingSchedule]:
    return [failure for _, failure in explore.explore(PARTS[part], seeds, max_steps) if failure is not None]


def save_smallest(result: SearchResult, folder: Path) -> list[Path]:
    """Write the smallest failure of each rule to a separate file.

    Returns:
        The paths of the files. If no rule was broken, there are no files and the folder is not created.
    """
    paths = []
    for rule, failure in _smallest_by_rule(result.failures).items():
        rule_in_file_name = "".join(character if character.isalnum() else "-" for character in rule)
        path = folder / f"{result.part}-{rule_in_file_name}-{failure.schedule.seed}.json"
        folder.mkdir(parents=True, exist_ok=True)
        explore.save(failure, path)
        paths.append(path)
    return paths


def _smallest_by_rule(failures: list[FailingSchedule]) -> dict[str, FailingSchedule]:
    smallest: dict[str, FailingSchedule] = {}
    for failure in failures:
        best = smallest.setdefault(failure.broken.rule, failure)
        if len(failure.schedule.steps) < len(best.schedule.steps):
            smallest[failure.broken.rule] = failure
    return smallest
