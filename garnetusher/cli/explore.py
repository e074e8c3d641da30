"""`garnetusher model explore` and `model replay`: schedules spread over the cores, finds kept as files."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from msgspec import Struct

from garnetusher.model import explore
from garnetusher.model.explore import Find, Part
from garnetusher.model.explore.membership import Membership
from garnetusher.model.explore.module import Module

PARTS: dict[str, Part] = {part.name: part for part in (Module(), Membership())}
CHUNK = 250  # seeds that a process plays in one go
STORY_LINES = 40  # of a find, shown when it is found; the file has all


class Explored(Struct):
    """What a search has found so far."""

    part: str
    seeds: list[int]  # the first and the last
    schedules: int = 0
    steps: int = 0  # of each schedule, at the most
    finds: list[Find] = []

    @property
    def lines(self) -> list[str]:
        """What a person is told."""
        rules = Counter(find.broken.rule for find in self.finds)
        told = ", ".join(f"{count} broke {rule}" for rule, count in rules.items()) or "nothing broke"
        lines = [
            f"{self.part}: {self.schedules} schedules of up to {self.steps} steps, seeds {self.seeds[0]} to "
            f"{self.seeds[1]}: {told}"
        ]
        seen: set[str] = set()
        for find in self.finds:
            if find.broken.rule not in seen:
                seen.add(find.broken.rule)
                story = PARTS[self.part].tell(find.schedule)
                lines += [
                    f"seed {find.schedule.seed}, {len(find.schedule.steps)} steps of {find.drawn_steps}: "
                    f"{find.broken.text}",
                    *("  " + line for line in story[-STORY_LINES:]),
                ]
        return lines


def _chunk(part: str, seeds: range, steps: int) -> list[Find]:
    return [find for _, find in explore.explore(PARTS[part], seeds, steps) if find is not None]


def search(part: str, seeds: range, steps: int) -> Iterator[Explored]:
    """Play all seeds, over all cores; yields the state after each chunk, in the order of the seeds."""
    state = Explored(part, [seeds[0], seeds[-1]], steps=steps)
    chunks = [seeds[i : i + CHUNK] for i in range(0, len(seeds), CHUNK)]
    with ProcessPoolExecutor(min(len(chunks), os.cpu_count() or 1)) as pool:
        for chunk, finds in zip(
            chunks, pool.map(_chunk, [part] * len(chunks), chunks, [steps] * len(chunks)), strict=True
        ):
            state.schedules += len(chunk)
            state.finds.extend(finds)
            yield state


def keep(found: Explored, folder: Path) -> list[Path]:
    """A file for the smallest find of each rule."""
    smallest: dict[str, Find] = {}
    for find in found.finds:
        if find.broken.rule not in smallest or len(find.schedule.steps) < len(
            smallest[find.broken.rule].schedule.steps
        ):
            smallest[find.broken.rule] = find
    paths = []
    for rule, find in smallest.items():
        name = "".join(c if c.isalnum() else "-" for c in rule)
        paths.append(folder / f"{found.part}-{name}-{find.schedule.seed}.json")
        folder.mkdir(parents=True, exist_ok=True)
        explore.keep(find, paths[-1])
    return paths
