"""`garnetusher model fidelity`: whether virtual time says what real processes say."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from msgspec import Struct

from garnetusher.cli.plays import play
from garnetusher.model import experiment as experiments
from garnetusher.model import result
from garnetusher.model.experiment import Experiment

CLOSE = 0.05  # of worth, between a play on real processes and one in virtual time
WORTH = "served_worth.whole"
FIGURES = (
    WORTH,
    "served_worth.during_fault",
    "served_worth.after",
    "crossings",
    "connections_per_request",
    "attempts_per_request",
    "refused",
    "failed",
    "zone_leave_s.home",
)


class Row(Struct):
    """Means of one experiment's plays; a figure that one side does not have is left out."""

    name: str
    seeds: list[int]
    real: dict[str, float]
    virtual: dict[str, float]
    broken: int  # rules, in virtual time

    @property
    def close(self) -> bool:
        return abs(self.real[WORTH] - self.virtual[WORTH]) <= CLOSE


def pairs(folders: list[Path], library: Path) -> list[tuple[result.Result, Experiment]]:
    """Each play with its experiment's file; raises what reading them raises. Plays in which the lab was late count
    for nothing."""
    found = [result.read(folder / "result.json") for folder in folders]
    known = {name: experiments.load(library / f"{name}.toml") for name in sorted({r.name for r in found})}
    return [(r, known[r.name]) for r in found if not r.late]


def measure(plays: list[tuple[result.Result, Experiment]], progress: Callable[[str, float], None]) -> list[Row]:
    """Play each again in virtual time, with the same seed."""
    virtual: dict[str, list[result.Result]] = {}
    with ProcessPoolExecutor() as pool:
        for done, played in enumerate(pool.map(play, [it for _, it in plays], [r.seed for r, _ in plays])):
            virtual.setdefault(played.result.name, []).append(played.result)
            progress(played.result.name, (done + 1) / len(plays))
    rows = []
    for name, modelled in virtual.items():
        real = [r for r, _ in plays if r.name == name]
        broken = sum(len(r.broken) for r in modelled)
        rows.append(Row(name, [r.seed for r in real], _means(real), _means(modelled), broken))
    return rows


def _means(plays: list[result.Result]) -> dict[str, float]:
    every = {name: [r.figures[name] for r in plays if name in r.figures] for name in FIGURES}
    return {name: round(sum(values) / len(values), 5) for name, values in every.items() if values}


def table(rows: list[Row]) -> str:
    """In Markdown: real and virtual, a figure a column."""
    lines = [
        f"| experiment | plays | {' | '.join(FIGURES)} | worth apart |",
        f"| --- | ---: |{' ---: |' * (len(FIGURES) + 1)}",
    ]
    for row in rows:
        cells = [
            f"{row.real[name]:.4g} / {row.virtual[name]:.4g}" if name in row.real and name in row.virtual else "-"
            for name in FIGURES
        ]
        apart = row.virtual[WORTH] - row.real[WORTH]
        mark = "" if row.close else " !"
        lines.append(f"| {row.name} | {len(row.seeds)} | {' | '.join(cells)} | {apart:+.4f}{mark} |")
    return "\n".join(lines)
