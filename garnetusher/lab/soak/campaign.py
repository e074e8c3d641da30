"""Many plays of the soak side by side, and what they gave together."""

from __future__ import annotations

import itertools
import multiprocessing
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

from msgspec import Struct

from garnetusher.lab.soak.plan import ALL, Plan, draw, save
from garnetusher.lab.soak.reduce import reduced
from garnetusher.lab.soak.run import Outcome, play

MOST_REDUCING_PLAYS = 24
PAIRS = tuple(itertools.combinations(sorted(ALL), 2))


class Summary(Struct):
    """All plays of a campaign."""

    seeds: list[int]
    minutes: float
    requests: int
    attempts: int
    ends: dict[str, int]
    troubles: dict[str, int]
    fewest_pairs: int
    rarest_pairs: list[str]
    failed: list[dict[str, Any]]
    worst_lag_s: float

    @property
    def held(self) -> bool:
        return not self.failed


def play_seed(seed: int, sidecars: int, folder: str, tree: str) -> Outcome:
    """In a process of its own."""
    return play(draw(seed, sidecars), Path(folder) / f"seed-{seed}", Path(tree))


def campaign(
    seeds: Iterable[int], sidecars: int, jobs: int, folder: Path, tree: Path, progress: Callable[[str, float], None]
) -> Summary:
    """Play all seeds, so many at once."""
    numbers = list(seeds)
    done: list[Outcome] = []
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        waiting = [pool.submit(play_seed, seed, sidecars, str(folder), str(tree)) for seed in numbers]
        for finished in as_completed(waiting):
            done.append(finished.result())
            failures = sum(bool(outcome.breaches) for outcome in done)
            progress(f"{len(done)} of {len(numbers)} played, {failures} broke a rule", len(done) / len(numbers))
    return summary(done)


def summary(done: list[Outcome]) -> Summary:
    done = sorted(done, key=lambda outcome: outcome.seed)
    ends, troubles, pairs = Counter[str](), Counter[str](), Counter[tuple[str, str]]()
    for outcome in done:
        ends.update(outcome.ends)
        troubles.update(outcome.troubles)
        pairs.update((first, second) for first, second in outcome.pairs)
    fewest = min(pairs[pair] for pair in PAIRS)
    rarest = [
        f"{first} and {second}: {pairs[first, second]}"
        for first, second in sorted(PAIRS, key=lambda pair: pairs[pair])[:5]
    ]
    failed = [
        {
            "seed": o.seed,
            "folder": o.folder,
            "rules": dict(Counter(b["rule"] for b in o.breaches)),
            "first": o.breaches[0]["text"],
        }
        for o in done
        if o.breaches
    ]
    return Summary(
        [o.seed for o in done],
        round(sum(o.seconds for o in done) / 60, 1),
        sum(o.requests for o in done),
        sum(o.attempts for o in done),
        dict(sorted(ends.items())),
        dict(sorted(troubles.items())),
        fewest,
        rarest,
        failed,
        max((o.worst_lag_s for o in done), default=0.0),
    )


def reduce_and_save(plan: Plan, rules: set[str], folder: Path, tree: Path) -> Path:
    """The smallest play that was found to break one of these rules, as a file that replays it."""
    count = itertools.count()

    def broken(smaller: Plan) -> set[str]:
        return {b["rule"] for b in play(smaller, folder / f"reduce-{plan.seed}-{next(count)}", tree).breaches}

    path = folder / f"failing-{plan.seed}.json"
    save(reduced(plan, rules, broken, MOST_REDUCING_PLAYS), path)
    return path
