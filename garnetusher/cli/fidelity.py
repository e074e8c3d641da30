"""`garnetusher model fidelity`: compares runs in virtual time with runs on real processes."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from msgspec import Struct, field

from garnetusher.cli import markdown
from garnetusher.cli.console import Progress
from garnetusher.cli.markdown import Column, number_column
from garnetusher.cli.runs import run_experiment
from garnetusher.model import experiment as experiments
from garnetusher.model import result
from garnetusher.model.experiment import Experiment
from garnetusher.model.result import Result

TOLERANCE = 0.05  # largest accepted difference of served worth between real processes and virtual time
SERVED_WORTH = "served_worth.whole"
FIGURES = (
    SERVED_WORTH,
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
    """Mean figures of the runs of one experiment.

    Attributes:
        name: the name of the experiment.
        seeds: the seeds of the runs.
        real: mean figures on real processes; a figure that no run has is missing.
        virtual: mean figures in virtual time; a figure that no run has is missing.
        rules_broken: the number of rule breaches in virtual time, over all runs.
    """

    name: str
    seeds: list[int]
    real: dict[str, float]
    virtual: dict[str, float]
    rules_broken: int = field(name="broken")

    @property
    def within_tolerance(self) -> bool:
        """Whether the two values of served worth differ by at most `TOLERANCE`."""
        return abs(self.served_worth_difference) <= TOLERANCE

    @property
    def served_worth_difference(self) -> float:
        """Served worth in virtual time minus served worth on real processes."""
        return self.virtual[SERVED_WORTH] - self.real[SERVED_WORTH]


def read_lab_runs(folders: Sequence[Path], library: Path) -> list[tuple[Result, Experiment]]:
    """Read results of the lab with their experiments, except for runs in which the lab was behind its schedule.

    Args:
        folders: output folders of `lab run`.
        library: the folder with the experiment files.

    Raises:
        FileError: an experiment cannot be read or is invalid.
        OSError: a result cannot be read.
        msgspec.MsgspecError: a result is invalid.
    """
    results = [result.read(folder / "result.json") for folder in folders]
    names = sorted({lab_result.name for lab_result in results})
    experiment_by_name = {name: experiments.load(library / f"{name}.toml") for name in names}
    return [(lab_result, experiment_by_name[lab_result.name]) for lab_result in results if not lab_result.late]


def measure(lab_runs: Sequence[tuple[Result, Experiment]], progress: Progress) -> list[Row]:
    """Repeat each run in virtual time with the same experiment and seed, and return a row for each experiment."""
    virtual_by_name: dict[str, list[Result]] = {}
    with ProcessPoolExecutor() as pool:
        runs = pool.map(run_experiment, [experiment for _, experiment in lab_runs], [real.seed for real, _ in lab_runs])
        for completed, run in enumerate(runs, 1):
            virtual_by_name.setdefault(run.result.name, []).append(run.result)
            progress(run.result.name, completed / len(lab_runs))
    return [
        _row(name, [real for real, _ in lab_runs if real.name == name], virtual)
        for name, virtual in virtual_by_name.items()
    ]


def _row(name: str, real: list[Result], virtual: list[Result]) -> Row:
    rules_broken = sum(len(run.broken) for run in virtual)
    return Row(name, [run.seed for run in real], _means(real), _means(virtual), rules_broken)


def _means(runs: list[Result]) -> dict[str, float]:
    values = {name: [run.figures[name] for run in runs if name in run.figures] for name in FIGURES}
    return {name: round(sum(present) / len(present), 5) for name, present in values.items() if present}


def table(rows: Sequence[Row]) -> str:
    """Return a Markdown table with a row for each experiment, in which each cell has the real and the virtual figure.

    The last column has the difference of served worth; `!` marks a difference above `TOLERANCE`.
    """
    columns = [Column("experiment"), *map(number_column, ("plays", *FIGURES, "worth apart"))]
    return markdown.table(columns, map(_cells, rows))


def _cells(row: Row) -> list[str]:
    figures = [
        f"{row.real[name]:.4g} / {row.virtual[name]:.4g}" if name in row.real and name in row.virtual else "-"
        for name in FIGURES
    ]
    mark = "" if row.within_tolerance else " !"
    return [row.name, str(len(row.seeds)), *figures, f"{row.served_worth_difference:+.4f}{mark}"]
