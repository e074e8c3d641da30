"""`garnetusher model baselines`: compares the policy with baseline policies on the same random draws."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

from msgspec import Struct, structs

from garnetusher.cli import markdown
from garnetusher.cli.console import Progress
from garnetusher.cli.markdown import Column, number_column
from garnetusher.cli.runs import run_experiment
from garnetusher.model import baselines
from garnetusher.model.experiment import Experiment

FIGURES = (
    "served_worth.whole",
    "served_worth.during_fault",
    "served_worth.after",
    "crossings",
    "refused",
    "failed",
    "attempts_per_request",
    "connections_per_request",
    "work_unserved",
    "rules_broken",
)


class PolicyComparison(Struct):
    """Mean figures of each policy over the same seeds.

    Attributes:
        name: the name of the experiment.
        seeds: the seeds; every policy runs once with each seed.
        policies: the mean of each of `FIGURES`, by policy name and then by figure name; a figure that
            no run has is missing.
    """

    name: str
    seeds: list[int]
    policies: dict[str, dict[str, float]]


def compare(experiment: Experiment, seeds: Sequence[int], progress: Progress) -> PolicyComparison:
    """Run the experiment under each policy with each seed."""
    comparison = PolicyComparison(experiment.name, list(seeds), {})
    with ProcessPoolExecutor() as pool:
        for index, policy in enumerate(baselines.POLICY_NAMES):
            progress(policy, index / len(baselines.POLICY_NAMES))
            variant = structs.replace(experiment, sidecars=structs.replace(experiment.sidecars, policy=policy))
            runs = pool.map(run_experiment, repeat(variant, len(seeds)), seeds)
            comparison.policies[policy] = _means([run.result.figures for run in runs])
    return comparison


def _means(runs: list[dict[str, float]]) -> dict[str, float]:
    means = {}
    for name in FIGURES:
        values = [figures[name] for figures in runs if name in figures]
        if values:
            means[name] = round(sum(values) / len(values), 4)
    return means


def table(comparison: PolicyComparison) -> str:
    """Return a Markdown table with a row for each policy."""
    columns = [Column(comparison.name), *map(number_column, FIGURES)]
    rows = [
        [policy, *(f"{means[name]:g}" if name in means else "-" for name in FIGURES)]
        for policy, means in comparison.policies.items()
    ]
    return markdown.table(columns, rows)
