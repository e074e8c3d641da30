"""Runs many plans of the soak at once, and summarises their results."""

from __future__ import annotations

import itertools
import multiprocessing
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

from msgspec import Struct, field

from garnetusher.lab.soak.plan import ALL_FAULTS, Plan, draw, save
from garnetusher.lab.soak.reduce import reduced
from garnetusher.lab.soak.run import RunResult, play

MAX_REDUCING_RUNS = 24
REPORTED_RAREST_PAIRS = 5
PAIRS = tuple(itertools.combinations(sorted(ALL_FAULTS), 2))


class Summary(Struct):
    """All runs of a campaign; summary.json has it."""

    seeds: list[int]
    minutes: float
    requests: int
    attempts: int
    ends: dict[str, int]
    faults: dict[str, int] = field(name="troubles")
    fewest_pairs: int  # how often the rarest pair of kinds overlapped
    rarest_pairs: list[str]
    failed: list[dict[str, Any]]
    worst_lag_s: float

    @property
    def held(self) -> bool:
        """Whether no run broke a rule."""
        return not self.failed


def campaign(
    seeds: Iterable[int], sidecars: int, jobs: int, folder: Path, tree: Path, progress: Callable[[str, float], None]
) -> Summary:
    """Run the plans of all seeds, `jobs` at once."""
    all_seeds = list(seeds)
    results: list[RunResult] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = [pool.submit(_run_seed, seed, sidecars, str(folder), str(tree)) for seed in all_seeds]
        for future in as_completed(futures):
            results.append(future.result())
            failures = sum(bool(result.breaches) for result in results)
            text = f"{len(results)} of {len(all_seeds)} played, {failures} broke a rule"
            progress(text, len(results) / len(all_seeds))
    return summary(results)


def summary(results: list[RunResult]) -> Summary:
    """Summarise the results of all runs."""
    results = sorted(results, key=lambda result: result.seed)
    ends = Counter[str]()
    faults = Counter[str]()
    pairs = Counter[tuple[str, str]]()
    for result in results:
        ends.update(result.ends)
        faults.update(result.faults)
        pairs.update(result.overlapping_kinds)
    rarest = sorted(PAIRS, key=lambda pair: pairs[pair])
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
        failed=[_failure(result) for result in results if result.breaches],
        worst_lag_s=max((result.worst_lag_s for result in results), default=0.0),
    )


def reduce_and_save(plan: Plan, rules: set[str], folder: Path, tree: Path) -> Path:
    """Save the smallest plan that was found to break one of these rules; return its file."""
    run_numbers = itertools.count()

    def broken_rules(smaller: Plan) -> set[str]:
        run_folder = folder / f"reduce-{plan.seed}-{next(run_numbers)}"
        return {breach.rule for breach in play(smaller, run_folder, tree).breaches}

    path = folder / f"failing-{plan.seed}.json"
    save(reduced(plan, rules, broken_rules, MAX_REDUCING_RUNS), path)
    return path


def _run_seed(seed: int, sidecars: int, folder: str, tree: str) -> RunResult:
    """Run the plan of a seed; called in a process of its own."""
    return play(draw(seed, sidecars), Path(folder) / f"seed-{seed}", Path(tree))


def _failure(result: RunResult) -> dict[str, Any]:
    """Return a failed run as summary.json has it."""
    return {
        "seed": result.seed,
        "folder": result.folder,
        "rules": dict(Counter(breach.rule for breach in result.breaches)),
        "first": result.breaches[0].text,
    }
