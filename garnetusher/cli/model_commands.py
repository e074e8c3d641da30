"""`garnetusher model`: runs experiments in virtual time."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from garnetusher import cli, config
from garnetusher.cli import (
    curves,
    decision_cost,
    membership_scenarios,
    other_tree,
    policy_comparison,
    run_table,
    schedule_search,
)
from garnetusher.cli import fidelity as fidelity_check
from garnetusher.cli.argument_checks import experiment_or_fail, require_choice, seeds_or_fail
from garnetusher.cli.options import ExperimentFile, JsonFlag
from garnetusher.cli.runs import CompletedRun, run_experiment
from garnetusher.model import baselines as baseline_policies
from garnetusher.model import experiment as experiments
from garnetusher.model import explore as exploration
from garnetusher.model.ablations import ABLATIONS
from garnetusher.model.clock import StallError
from garnetusher.model.experiment import Experiment

app = typer.Typer(
    no_args_is_help=True, help="Run the same experiments as `lab` in virtual time, with the policy that sidecars use."
)


@app.callback()
def model() -> None:
    """Run the same experiments as `lab` in virtual time, with the policy that sidecars use."""


@app.command(epilog="Example: garnetusher model run experiments/zone-silent.toml --sidecars 100 --seeds 1:8")
def run(  # noqa: PLR0913 -- a parameter for each option of the command
    file: ExperimentFile,
    *,
    seed: Annotated[
        int | None, typer.Option(min=0, help="Seed of all random draws; the seed in the file if not given.")
    ] = None,
    seeds: Annotated[str | None, typer.Option(help="Seeds of several runs, A:B, spread over the cores.")] = None,
    sidecars: Annotated[
        int | None, typer.Option(min=1, help="Number of sidecars; upstreams and load scale in proportion.")
    ] = None,
    disabled: Annotated[
        list[str] | None,
        typer.Option("--without", help=f"A part of the policy to disable: {', '.join(ABLATIONS)}."),
    ] = None,
    tree: Annotated[
        Path | None, typer.Option(help="A checkout; its policy replaces the policy of this checkout.")
    ] = None,
    as_json: JsonFlag = False,
) -> None:
    """Run an experiment in virtual time; print its figures and their bounds."""
    if tree is not None:
        raise typer.Exit(other_tree.run_command(tree, sys.argv[1:]))
    experiment = experiment_or_fail(file)
    run_seeds = seeds_or_fail(seeds) if seeds is not None else [experiment.seed if seed is None else seed]
    for name in disabled or []:
        require_choice(name, ABLATIONS, "--without")
    if sidecars is not None:
        experiment = experiments.scaled(experiment, sidecars)
    runs = _run_seeds(experiment, run_seeds, disabled or [])
    _print_runs(runs, single=seeds is None, as_json=as_json)
    cli.finish(held=all(run.result.held for run in runs))


def _run_seeds(experiment: Experiment, seeds: Sequence[int], disabled: Sequence[str]) -> list[CompletedRun]:
    """Run an experiment once per seed, on all cores."""
    completed: list[CompletedRun] = []
    try:
        with (
            cli.progress(f"{experiment.name} in virtual time") as progress,
            ProcessPoolExecutor(min(len(seeds), os.cpu_count() or 1)) as pool,
        ):
            count = len(seeds)
            for run in pool.map(run_experiment, repeat(experiment, count), seeds, repeat(disabled, count)):
                completed.append(run)
                progress("running", len(completed) / count)
    except StallError as error:
        cli.fail(str(error), cli.FAILURE)
    return completed


def _print_runs(runs: Sequence[CompletedRun], *, single: bool, as_json: bool) -> None:
    if as_json:
        documents = [run.document for run in runs]
        cli.say_json(documents[0] if single else documents)
    elif single:
        cli.say("\n".join(runs[0].result.lines))
    else:
        cli.say(run_table.table([run.result for run in runs]))


@app.command(epilog="Example: garnetusher model baselines experiments/crash.toml --seeds 1:8")
def baselines(
    file: ExperimentFile,
    seeds: Annotated[str, typer.Option(help="Seeds of the runs of each policy, A:B.")] = "1:8",
    *,
    as_json: JsonFlag = False,
) -> None:
    """Compare the policy with baseline policies on the same random draws; print a row of means for each policy."""
    experiment = experiment_or_fail(file)
    run_seeds = seeds_or_fail(seeds)
    with cli.progress(f"{experiment.name} by policy") as progress:
        comparison = policy_comparison.compare(experiment, run_seeds, progress)
    if as_json:
        cli.say_json(comparison)
    else:
        cli.say(policy_comparison.table(comparison))


@app.command(epilog="Example: garnetusher model cost --upstreams 10 --upstreams 10000")
def cost(
    list_lengths: Annotated[
        list[int] | None, typer.Option("--upstreams", min=1, help="Number of endpoints in the list.")
    ] = None,
    *,
    as_json: JsonFlag = False,
) -> None:
    """Measure the CPU time of decisions on one request for each list length, with warm and with cold endpoints."""
    lengths = list_lengths or decision_cost.LIST_LENGTHS
    cases = [(length, all_warming) for all_warming in (False, True) for length in lengths]
    costs: list[decision_cost.DecisionCost] = []
    with cli.progress("decisions") as progress:
        for length, all_warming in cases:
            progress(f"{length} upstreams{', all cold' if all_warming else ''}", len(costs) / len(cases))
            costs.append(decision_cost.measure(length, all_warming=all_warming))
    if as_json:
        cli.say_json(costs)
    else:
        cli.say(decision_cost.table(costs))


@app.command(epilog="Example: garnetusher model explore module --seeds 1:20000")
def explore(
    part: Annotated[
        str, typer.Argument(help=f"The part of the program to explore: {', '.join(schedule_search.PARTS)}.")
    ],
    seeds: Annotated[str, typer.Option(help="Seeds of the schedules, A:B; each seed gives one schedule.")] = "1:2000",
    max_steps: Annotated[int, typer.Option("--steps", min=4, help="Maximum number of steps in a schedule.")] = 120,
    out: Annotated[Path, typer.Option(help="Folder for the failing schedules.")] = Path("found"),
    *,
    as_json: JsonFlag = False,
) -> None:
    """Run random schedules of events against a part; shrink and save those that break a rule."""
    require_choice(part, schedule_search.PARTS)
    schedule_seeds = seeds_or_fail(seeds)
    with cli.progress(f"exploring {part}") as progress:
        for result in schedule_search.search(part, schedule_seeds, max_steps):
            progress(f"{len(result.failures)} failures", result.schedules / len(schedule_seeds))
    paths = schedule_search.save_smallest(result, out)
    if as_json:
        cli.say_json(result)
    else:
        cli.say("\n".join([*result.lines, *(f"saved: {path}" for path in paths)]))
    cli.finish(held=not result.failures)


@app.command(epilog="Example: garnetusher model replay found/module-slots-17.json")
def replay(file: Annotated[Path, typer.Argument(help="A schedule that `model explore` saved.")]) -> None:
    """Run a failing schedule again; print it step by step."""
    try:
        failure = exploration.load(file)
    except (OSError, msgspec.MsgspecError) as error:
        cli.fail(f"{file}: expected a schedule that `model explore` saved: {error}")
    schedule, parts = failure.schedule, schedule_search.PARTS
    if schedule.part not in parts:
        cli.fail(f"{file}: part: expected one of {', '.join(parts)}, got {schedule.part!r}")
    part = parts[schedule.part]
    broken = part.run(schedule)
    cli.say("\n".join(part.describe(schedule)))
    cli.say(
        f"broke {broken.text}"
        if broken is not None
        else f"no rule was broken; the saved schedule broke {failure.broken.text}"
    )
    cli.finish(held=broken is None)


@app.command(epilog="Example: garnetusher model curve experiments/fleet.toml --sidecars 10 --sidecars 1000")
def curve(  # noqa: PLR0913 -- a parameter for each option of the command
    file: ExperimentFile,
    *,
    sizes: Annotated[
        list[int] | None, typer.Option("--sidecars", min=1, help="Number of sidecars in the fleet.")
    ] = None,
    policies: Annotated[
        list[str] | None, typer.Option("--policy", help=f"One of {', '.join(baseline_policies.POLICY_NAMES)}.")
    ] = None,
    grow: Annotated[
        str, typer.Option(help="What grows: `fleet`, with upstreams and load, or `sidecars` alone.")
    ] = curves.GROW_FLEET,
    seeds: Annotated[str, typer.Option(help="Seeds of the runs of each size, A:B.")] = "1:2",
    out: Annotated[Path, typer.Option(help="Folder for the plots.")] = Path("found/curve"),
    as_json: JsonFlag = False,
) -> None:
    """Run a fleet at several sizes; print a table and plot served worth, retries, crossings and other figures."""
    experiment = experiment_or_fail(file)
    run_seeds = seeds_or_fail(seeds)
    for name in policies or []:
        require_choice(name, baseline_policies.POLICY_NAMES, "--policy")
    require_choice(grow, curves.GROWTH_MODES, "--grow")
    fleet_sizes = sorted(set(sizes or curves.SIZES))
    with cli.progress(f"{experiment.name} at {len(fleet_sizes)} sizes") as progress:
        points = curves.measure(
            experiment, fleet_sizes, policies or [baseline_policies.OWN_POLICY], grow, run_seeds, progress
        )
    paths = curves.draw(experiment.name, grow, points, out)
    if as_json:
        cli.say_json(curves.CurveDocument(experiment.name, grow, list(run_seeds), points, list(map(str, paths))))
    else:
        cli.say("\n".join([curves.table(points), "", *(f"plot: {path}" for path in paths)]))


@app.command(epilog="Example: garnetusher model members --size 10 --size 1000 --loss 0.1 --starved 0.1")
def members(
    sizes: Annotated[list[int] | None, typer.Option("--size", min=2, help="Number of members in the fleet.")] = None,
    loss: Annotated[float, typer.Option(min=0, max=1, help="Share of the datagrams that are lost.")] = 0.0,
    starved: Annotated[
        float, typer.Option(min=0, max=1, help="Share of the members that handle each event 0.3 s late.")
    ] = 0.0,
    seeds: Annotated[str, typer.Option(help="Seeds of the runs of each size, A:B.")] = "1:2",
    out: Annotated[Path, typer.Option(help="File of the plot.")] = Path("found/members.svg"),
    *,
    as_json: JsonFlag = False,
) -> None:
    """Measure membership by fleet size: joins, a kill, a network split that heals, and the cost without faults."""
    run_seeds = seeds_or_fail(seeds)
    fleet_sizes = sorted(set(sizes or membership_scenarios.SIZES))
    with cli.progress("members") as progress:
        runs = membership_scenarios.measure(fleet_sizes, loss, starved, run_seeds, progress)
    membership_scenarios.draw(runs, out)
    if as_json:
        cli.say_json(runs)
    else:
        cli.say(f"{membership_scenarios.table(runs)}\n\nplot: {out}")
    # The command fails if any member was considered failed while it was running.
    cli.finish(held=not any(run.accused for run in runs))


@app.command(epilog="Example: garnetusher model fidelity found/calm-1 found/crash-1")
def fidelity(
    folders: Annotated[list[Path], typer.Argument(help="Output folders of `lab run`.")],
    library: Annotated[Path, typer.Option(help="Folder with the experiment files.")] = Path("experiments"),
    tree: Annotated[
        Path | None, typer.Option(help="A checkout; its policy replaces the policy of this checkout.")
    ] = None,
    *,
    as_json: JsonFlag = False,
) -> None:
    """Compare runs of the lab with runs of the same experiments and seeds in virtual time; print means."""
    if tree is not None:
        raise typer.Exit(other_tree.run_command(tree, sys.argv[1:]))
    try:
        lab_runs = fidelity_check.read_lab_runs(folders, library)
    except (config.FileError, OSError, msgspec.MsgspecError) as error:
        cli.fail(str(error))
    with cli.progress("fidelity") as progress:
        rows = fidelity_check.measure(lab_runs, progress)
    if as_json:
        cli.say_json(rows)
    else:
        cli.say(fidelity_check.table(rows))
    cli.finish(held=all(row.within_tolerance for row in rows))
