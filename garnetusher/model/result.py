"""The result of a run: figures against bounds, breaches, and whether the lab itself kept up."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from garnetusher.model import checker, figures
from garnetusher.model.checker import Breach
from garnetusher.model.experiment import Experiment, holds
from garnetusher.model.figures import RunCounts
from garnetusher.model.plan import Plan
from garnetusher.model.records import AnyRecord

LATE_SHARE = 0.01  # of the lab's own timers; a run in which more were late counts for nothing


class Expectation(Struct):
    """One line of `[expect]` or `[open]`."""

    name: str
    bound: str
    figure: float | None  # None: nothing was there to measure it by
    held: bool
    open: bool = False  # not reached yet, as everybody knows: it fails nothing


class Result(Struct):
    """`result.json`."""

    name: str
    seed: int
    held: bool
    late: bool  # the lab itself was late too often: the play counts for nothing
    figures: dict[str, float]
    expectations: list[Expectation]
    broken: list[Breach]
    events: int  # of the lab, or of virtual time
    cores: dict[str, list[int]] = {}  # of the lab
    tree: str = ""
    digest: str = ""  # of virtual time: the same seed and code give the same

    @property
    def document(self) -> dict[str, object]:
        """What `--json` prints."""
        return {
            "name": self.name,
            "seed": self.seed,
            "held": self.held,
            "figures": self.figures,
            "broken": self.broken,
            "late": self.late,
            "expectations": self.expectations,
        }

    @property
    def lines(self) -> list[str]:
        """What a person is told."""
        lines = [f"{self.name}, seed {self.seed}: {'held' if self.held else 'did not hold'}"]
        for e in self.expectations:
            state = ("open, reached here" if e.held else "open") if e.open else "held" if e.held else "NOT HELD"
            figure = "-" if e.figure is None else f"{e.figure:.4g}"
            lines.append(f"  {e.name:<36} {figure:>9}  {e.bound:<10} {state}")
        return lines + [f"  {why}" for why in self.why]

    @property
    def why(self) -> list[str]:
        """What keeps it from holding, a line each."""
        lines = [
            f"{e.name} is {'not measured' if e.figure is None else f'{e.figure:g}'}, expected {e.bound}"
            for e in self.expectations
            if not e.held and not e.open
        ]
        rules = sorted({b.rule for b in self.broken})
        lines += [
            f"rule {rule} broken {sum(b.rule == rule for b in self.broken)} times; first: "
            + next(b.what for b in self.broken if b.rule == rule)
            for rule in rules
        ]
        if self.late:
            lines.append(
                f"the lab was late in {self.figures['late_events']:.1%} of its events: this play counts for nothing"
            )
        return lines


def evaluate(
    experiment: Experiment,
    plan: Plan,
    records: list[AnyRecord],
    events: int,
    late_share: float = 0.0,
    not_asked: int = 0,
) -> tuple[Result, list[figures.Request]]:
    """The result of a play, real or in virtual time, and its requests for the report."""
    broken = checker.check(experiment, plan, records)
    requests = figures.requests_of(experiment, records)
    found = figures.figures(experiment, plan, records, requests, RunCounts(len(broken), late_share, not_asked))
    lines = [
        Expectation(name, bound, found.get(name), holds(bound, found.get(name)), opened)
        for opened, bounds in ((False, experiment.expect), (True, experiment.open))
        for name, bound in bounds.items()
    ]
    late = late_share > LATE_SHARE
    held = not broken and not late and all(line.held or line.open for line in lines)
    return Result(experiment.name, plan.seed, held, late, found, lines, broken, events), requests


def write(result: Result, path: Path) -> None:
    """Write a result to a file as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def read(path: Path) -> Result:
    """Read a result from a file."""
    return msgspec.json.decode(path.read_bytes(), type=Result)
