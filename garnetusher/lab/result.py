"""What a play comes to: figures against bounds, breaches, and whether the lab itself kept up."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from garnetusher.lab import checker, figures
from garnetusher.lab.checker import Breach
from garnetusher.lab.play import LATE_SHARE, Played
from garnetusher.model.experiment import Experiment, holds


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
    events: int  # of the lab
    cores: dict[str, list[int]]
    tree: str = ""

    @property
    def why(self) -> list[str]:
        """What keeps it from holding, a line each."""
        lines = [f"{e.name} is {'not measured' if e.figure is None else f'{e.figure:g}'}, expected {e.bound}"
                 for e in self.expectations if not e.held and not e.open]
        rules = sorted({b.rule for b in self.broken})
        lines += [f"rule {rule} broken {sum(b.rule == rule for b in self.broken)} times; first: "
                  + next(b.what for b in self.broken if b.rule == rule) for rule in rules]
        if self.late:
            lines.append(f"the lab was late in {self.figures['late_events']:.1%} of its events: this play counts for "
                         "nothing")
        return lines


def judge(experiment: Experiment, played: Played, tree: str) -> tuple[Result, list[figures.Request]]:
    """The result of a play, and its requests for the report."""
    broken = checker.check(experiment, played.plan, played.records)
    requests = figures.requests_of(experiment, played.records)
    found = figures.figures(experiment, played.plan, played.records, requests, len(broken), played.late_share,
                            played.not_asked)
    lines = [Expectation(name, bound, found.get(name), holds(bound, found.get(name)))
             for name, bound in experiment.expect.items()]
    lines += [Expectation(name, bound, found.get(name), holds(bound, found.get(name)), True)
              for name, bound in experiment.open.items()]
    late = played.late_share > LATE_SHARE
    held = not broken and not late and all(line.held or line.open for line in lines)
    return Result(experiment.name, played.plan.seed, held, late, found, lines, broken, played.events, played.cores,
                  tree), requests


def write(result: Result, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def read(path: Path) -> Result:
    return msgspec.json.decode(path.read_bytes(), type=Result)
