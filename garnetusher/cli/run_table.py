"""`garnetusher model run --seeds`: formats the runs of one experiment as a table with the mean of each figure."""

from __future__ import annotations

from collections.abc import Sequence

from garnetusher.cli import markdown
from garnetusher.cli.markdown import Column, number_column
from garnetusher.model.result import Result

FIGURES = (
    "served_worth.whole",
    "served_worth.during_fault",
    "served_worth.after",
    "crossings",
    "refused",
    "attempts_per_request",
    "zone_leave_s",
    "zone_leave_s.home",
    "zones_left",
    "zone_return_s",
    "back_to_098_s",
    "second_dip",
    "false_leaves",
    "rules_broken",
)


def table(results: Sequence[Result]) -> str:
    """Return a Markdown table with a row for each run and a row of means."""
    columns = [Column("seed"), Column("held"), *map(number_column, FIGURES), Column("digest")]
    means = ["mean", "", *(_mean(results, name) for name in FIGURES), ""]
    return markdown.table(columns, [*map(_cells, results), means])


def _cells(result: Result) -> list[str]:
    figures = [f"{result.figures[name]:.4g}" if name in result.figures else "-" for name in FIGURES]
    return [str(result.seed), "yes" if result.held else "no", *figures, result.digest]


def _mean(results: Sequence[Result], name: str) -> str:
    values = [result.figures[name] for result in results if name in result.figures]
    return f"{sum(values) / len(values):.4g}" if values else "-"
