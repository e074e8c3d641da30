"""Runs many soak plans in parallel, and summarizes their results."""

from __future__ import annotations

import itertools
import multiprocessing
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

from msgspec import Struct, field

from garnetusher.lab.soak.plan import (
    ALL_FAULTS,
    Plan,
    add_endings,
    add_list_styles,
    add_peer_faults,
    add_pressure,
    draw,
    save,
)
from garnetusher.lab.soak.reduce import reduce_plan
from garnetusher.lab.soak.run import RunResult, run_plan

MAX_REDUCTION_RUNS = 24
REPORTED_RAREST_PAIRS = 5
PRESSURE_SEED_DIVISOR = 2
FAULT_KIND_PAIRS = tuple(itertools.combinations(sorted(ALL_FAULTS), 2))


class Summary(Struct):
    """The summary of all runs of a campaign, as it is written to summary.json."""

    seeds: list[int]
    minutes: float
    requests: int
    attempts: int
    ends: dict[str, int]
    faults: dict[str, int] = field(name="troubles")
    fewest_pairs: int  # the number of runs in which faults of the rarest pair of kinds overlapped
    rarest_pairs: list[str]
    failed: list[dict[str, Any]]
    worst_lag_s: float
    peak_memory_mb: float

    @property
    def held(self) -> bool:
        """Whether no run broke a rule."""
        return not self.failed


def run_campaign(
    seeds: Iterable[int],
    sidecars: int,
    jobs: int,
    folder: Path,
    tree: Path,
    progress: Callable[[str, float], None],
) -> Summary:
    """Run the plans of all seeds, `jobs` of them in parallel, and return the summary.

    Args:
        seeds: The seeds from which the plans are drawn.
        sidecars: The number of sidecars in each run.
        jobs: The number of worker processes.
        folder: The folder for the logs and records; each run has its own subfolder.
        tree: The checkout whose deploy file starts the sidecars.
        progress: Receives a text and the completed share of the runs, from 0 to 1.
    """
    all_seeds = list(seeds)
    results: list[RunResult] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = [pool.submit(_run_seed, seed, sidecars, str(folder), str(tree)) for seed in all_seeds]
        for future in as_completed(futures):
            results.append(future.result())
            failures = sum(bool(result.breaches) for result in results)
            text = f"{len(results)} of {len(all_seeds)} runs completed, {failures} broke a rule"
            progress(text, len(results) / len(all_seeds))
    return summarize(results)


def summarize(results: list[RunResult]) -> Summary:
    """Return the summary of the results of all runs."""
    results = sorted(results, key=lambda result: result.seed)
    ends = Counter[str]()
    faults = Counter[str]()
    pairs = Counter[tuple[str, str]]()
    for result in results:
        ends.update(result.ends)
        faults.update(result.faults)
        pairs.update(result.overlapping_kinds)
    rarest = sorted(FAULT_KIND_PAIRS, key=lambda pair: pairs[pair])
    return Summary(
        seeds=[result.seed for result in results],
        minutes=round(sum(result.duration_s for result in results) / 60, 1),
        requests=sum(result.requests for result in results),
        attempts=sum(result.attempts for result in results),
        ends=dict(sorted(ends.items())),
        faults=dict(sorted(faults.items())),
        fewest_pairs=pairs[rarest[0]],
        rarest_pairs=[
            f"{first} and {second}: {pairs[first, second]}" for first, second in rarest[:REPORTED_RAREST_PAIRS]
        ],
        failed=[_failure_entry(result) for result in results if result.breaches],
        worst_lag_s=max((result.worst_lag_s for result in results), default=0.0),
        peak_memory_mb=max((result.peak_memory_mb for result in results), default=0.0),
    )


def reduce_and_save(plan: Plan, rules: set[str], folder: Path, tree: Path) -> Path:
    """Reduce a failing plan, save the smallest plan found that breaks one of the rules, and return its path."""
    run_numbers = itertools.count()

    def find_broken_rules(candidate: Plan) -> set[str]:
        """Run a plan and return the names of the rules that it broke."""
        run_folder = folder / f"reduce-{plan.seed}-{next(run_numbers)}"
        return {breach.rule for breach in run_plan(candidate, run_folder, tree).breaches}

    path = folder / f"failing-{plan.seed}.json"
    save(reduce_plan(plan, rules, find_broken_rules, MAX_REDUCTION_RUNS), path)
    return path


def draw_soak(seed: int, sidecars: int) -> Plan:
    """Return the plan that a campaign runs for a seed; every second seed also puts the sidecars under pressure."""
    plan = add_peer_faults(draw(seed, sidecars))
    return add_endings(add_list_styles(plan if seed % PRESSURE_SEED_DIVISOR else add_pressure(plan)))


def _run_seed(seed: int, sidecars: int, folder: str, tree: str) -> RunResult:
    """Run the plan of a seed in a worker process."""
    return run_plan(draw_soak(seed, sidecars), Path(folder) / f"seed-{seed}", Path(tree))


def _failure_entry(result: RunResult) -> dict[str, Any]:
    """Return the entry of a failed run in summary.json."""
    return {
        "seed": result.seed,
        "folder": result.folder,
        "rules": dict(Counter(breach.rule for breach in result.breaches)),
        "first": result.breaches[0].text,
    }
