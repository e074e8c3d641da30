"""The result of a run: figures compared with their bounds, breaches, and whether the lab itself was late."""

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

MAX_LATE_SHARE = 0.01  # a run is invalid if more than this share of the lab's own timers was late


class Expectation(Struct):
    """A bound from `[expect]` or `[open]` and the figure that it limits."""

    name: str
    bound: str
    figure: float | None  # None: the run provided nothing to measure
    held: bool
    open: bool = False  # whether the bound is a goal that is not reached yet; missing it does not fail the run


class Result(Struct):
    """The content of `result.json`."""

    name: str
    seed: int
    held: bool
    late: bool  # whether the lab itself was late too often, which makes the run invalid
    figures: dict[str, float]
    expectations: list[Expectation]
    broken: list[Breach]
    events: int  # the number of events that the lab or the simulation has processed
    cores: dict[str, list[int]] = {}  # the CPU cores that the lab assigned to itself and to the sidecars
    tree: str = ""  # the path of the source tree that the lab ran
    digest: str = ""  # the digest of a run in virtual time; equal for the same seed and code

    @property
    def document(self) -> dict[str, object]:
        """The content that `--json` prints."""
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
        """The readable report, line by line."""
        lines = [f"{self.name}, seed {self.seed}: {'held' if self.held else 'did not hold'}"]
        for e in self.expectations:
            state = ("open, reached here" if e.held else "open") if e.open else "held" if e.held else "NOT HELD"
            figure = "-" if e.figure is None else f"{e.figure:.4g}"
            lines.append(f"  {e.name:<36} {figure:>9}  {e.bound:<10} {state}")
        return lines + [f"  {reason}" for reason in self.why]

    @property
    def why(self) -> list[str]:
        """The reasons why the run did not hold, one per line."""
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
            lines.append(f"the lab was late in {self.figures['late_events']:.1%} of its events: this run is invalid")
        return lines


def evaluate(
    experiment: Experiment,
    plan: Plan,
    records: list[AnyRecord],
    events: int,
    late_share: float = 0.0,
    not_asked: int = 0,
) -> tuple[Result, list[figures.Request]]:
    """Return the result of a run, real or in virtual time, and the run's requests for the report."""
    broken = checker.check(experiment, plan, records)
    requests = figures.requests_of(experiment, records)
    found = figures.figures(experiment, plan, records, requests, RunCounts(len(broken), late_share, not_asked))
    expectations = [
        Expectation(name, bound, found.get(name), holds(bound, found.get(name)), is_open)
        for is_open, bounds in ((False, experiment.expect), (True, experiment.open))
        for name, bound in bounds.items()
    ]
    late = late_share > MAX_LATE_SHARE
    held = not broken and not late and all(e.held or e.open for e in expectations)
    return Result(experiment.name, plan.seed, held, late, found, expectations, broken, events), requests


def write(result: Result, path: Path) -> None:
    """Write a result to a file as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def read(path: Path) -> Result:
    """Read a result from a file."""
    return msgspec.json.decode(path.read_bytes(), type=Result)
