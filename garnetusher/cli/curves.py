"""`garnetusher model curve`: figures by the size of the fleet, as a table and as plots."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from msgspec import Struct, structs

from garnetusher.cli import markdown
from garnetusher.cli.console import Progress
from garnetusher.cli.markdown import Column, number_column
from garnetusher.cli.runs import CompletedRun, run_experiment
from garnetusher.model.experiment import Experiment, scaled

SIZES = (10, 100, 1000, 10_000)  # numbers of sidecars if the call gives none
GROW_FLEET, GROW_SIDECARS = "fleet", "sidecars"
GROWTH_MODES = (GROW_FLEET, GROW_SIDECARS)
RULES_BROKEN = "rules_broken"
# The figures in the table, each of which also has a plot; maps their names to their titles.
PLOTS = {
    "served_worth.whole": "worth served",
    "retries": "retries a request",
    "crossings": "crossings a request",
    "connections_per_request": "connections opened a request",
    "list_calls_a_sidecar": "list calls a sidecar",
    "decision_us": "CPU of decisions, us a request",
    "refused": "refused",
    "work_unserved": "work that served nothing",
}


class CurvePoint(Struct):
    """The figures of one policy at one fleet size, as means over the runs."""

    policy: str
    sidecars: int
    upstreams: int
    requests_per_s: float
    figures: dict[str, float]


class CurveDocument(Struct):
    """The JSON document of `model curve`."""

    name: str
    grow: str
    seeds: list[int]
    points: list[CurvePoint]
    plots: list[str]


class _Case(NamedTuple):
    policy: str
    sidecars: int


def measure(
    experiment: Experiment,
    sizes: Sequence[int],
    policies: Sequence[str],
    grow: str,
    seeds: Sequence[int],
    progress: Progress,
) -> list[CurvePoint]:
    """Run the experiment under each policy at each size with each seed.

    The largest fleets run first, so that no core stays idle at the end while another core runs a large fleet.

    Args:
        experiment: the experiment to run.
        sizes: numbers of sidecars.
        policies: policy names from `garnetusher.model.baselines.POLICY_NAMES`.
        grow: one of `GROWTH_MODES`; it decides whether upstreams and load grow with the sidecars.
        seeds: seeds of the runs; each policy runs at each size once per seed.
        progress: a function that is called after each run.

    Returns:
        The points, in the order of the policies and then of the sizes.
    """
    cases = [_Case(policy, size) for size in sorted(sizes, reverse=True) for policy in policies]
    experiment_by_case = {case: _scale_for_case(experiment, case, grow) for case in cases}
    scheduled = [(case, seed) for case in cases for seed in seeds]
    runs_by_case: dict[_Case, list[CompletedRun]] = {case: [] for case in cases}
    with ProcessPoolExecutor() as pool:
        runs = pool.map(
            run_experiment, [experiment_by_case[case] for case, _ in scheduled], [seed for _, seed in scheduled]
        )
        for completed, ((case, _), run) in enumerate(zip(scheduled, runs, strict=True), 1):
            runs_by_case[case].append(run)
            progress(f"{case.policy}, {case.sidecars} sidecars", completed / len(scheduled))
    ordered = [_Case(policy, size) for policy in policies for size in sorted(sizes)]
    return [_point(case.policy, experiment_by_case[case], runs_by_case[case]) for case in ordered]


def _scale_for_case(experiment: Experiment, case: _Case, grow: str) -> Experiment:
    scaled_experiment = scaled(experiment, case.sidecars, sidecars_only=grow == GROW_SIDECARS)
    return structs.replace(scaled_experiment, sidecars=structs.replace(scaled_experiment.sidecars, policy=case.policy))


def _point(policy: str, experiment: Experiment, runs: Sequence[CompletedRun]) -> CurvePoint:
    sidecars = sum(experiment.sidecars.per_zone.values())
    upstreams = sum(experiment.upstreams.per_zone.values())
    figures_by_run = [_figures(run, sidecars) for run in runs]
    means = {
        name: round(sum(figures[name] for figures in figures_by_run) / len(figures_by_run), 5)
        for name in (*PLOTS, RULES_BROKEN)
    }
    return CurvePoint(policy, sidecars, upstreams, experiment.load.requests_per_s, means)


def _figures(run: CompletedRun, sidecars: int) -> dict[str, float]:
    """Return the figures of a run and the additional figures of a curve."""
    figures = run.result.figures
    return figures | {
        "retries": figures["attempts_per_request"] - 1,
        "decision_us": run.decision_cpu_us,
        "list_calls_a_sidecar": figures["list_calls"] / sidecars,
    }


def table(points: Sequence[CurvePoint]) -> str:
    """Return a Markdown table with a row for each point."""
    titles = ("sidecars", "upstreams", "requests a second", *PLOTS.values(), "rules broken")
    columns = [Column("policy"), *map(number_column, titles)]
    return markdown.table(columns, map(_cells, points))


def _cells(point: CurvePoint) -> list[str]:
    return [
        point.policy,
        str(point.sidecars),
        str(point.upstreams),
        f"{point.requests_per_s:g}",
        *(f"{point.figures[name]:.4g}" for name in PLOTS),
        f"{point.figures[RULES_BROKEN]:g}",
    ]


def draw(name: str, grow: str, points: Sequence[CurvePoint], folder: Path) -> list[Path]:
    """Draw an SVG plot of each figure in `PLOTS` against the size of the fleet, with a line for each policy.

    Args:
        name: the name of the experiment.
        grow: one of `GROWTH_MODES`.
        points: the points to draw.
        folder: the folder of the files; it is created if it does not exist.

    Returns:
        The paths of the files.
    """
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for figure_name in PLOTS:
        path = folder / f"{name}-{grow}-{figure_name.replace('.', '-').replace('_', '-')}.svg"
        _draw_plot(name, grow, points, figure_name, path)
        paths.append(path)
    return paths


def _draw_plot(name: str, grow: str, points: Sequence[CurvePoint], figure_name: str, path: Path) -> None:
    import matplotlib  # noqa: PLC0415 -- the import is slow and few commands need it

    matplotlib.use("svg")
    from matplotlib import pyplot as plt  # noqa: PLC0415 -- the backend must be chosen before this import

    plot, axes = plt.subplots(figsize=(5.2, 3.4))
    policies = list(dict.fromkeys(point.policy for point in points))
    for policy in policies:
        policy_points = [point for point in points if point.policy == policy]
        sizes = [point.sidecars for point in policy_points]
        values = [point.figures[figure_name] for point in policy_points]
        axes.plot(sizes, values, marker="o", ms=4, lw=1.3, label=policy)
    axes.set_xscale("log")
    axes.set_xlabel(f"sidecars, {'upstreams and load in proportion' if grow == GROW_FLEET else 'all else the same'}")
    axes.set_title(f"{name}: {PLOTS[figure_name]}", fontsize=10)
    axes.grid(alpha=0.25)
    if len(policies) > 1:
        axes.legend(fontsize=8)
    plot.savefig(path, bbox_inches="tight", metadata={"Date": None})
    plt.close(plot)
