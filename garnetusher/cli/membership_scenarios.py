"""`garnetusher model members`: membership figures by the size of the fleet, as a table and a plot."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from msgspec import structs

from garnetusher.model.membership_scenario import MembershipResult, Scenario, run_scenario

SIZES = (10, 100, 1000)  # numbers of members if the call gives none
# Fields of `MembershipResult` that the table shows.
COLUMNS = (
    "members",
    "loss",
    "starved",
    "seed",
    "joined_s",
    "bytes_a_second",
    "datagrams_a_second",
    "noticed_p50_s",
    "noticed_p99_s",
    "noticed",
    "accused",
    "split_s",
    "healed_s",
    "cpu_us",
)


def _run(size: int, loss: float, starved_share: float, seed: int) -> MembershipResult:
    return run_scenario(Scenario(size, loss, int(starved_share * size), seed, cpu_ns=time.thread_time_ns))


def measure(
    sizes: list[int], loss: float, starved_share: float, seeds: range, progress: Callable[[str, float], None]
) -> list[MembershipResult]:
    """Run the scenario for each size and seed on all cores, with the largest sizes first.

    Args:
        sizes: numbers of members in a fleet.
        loss: the share of datagrams that are lost.
        starved_share: the share of members that handle each event late.
        seeds: the seeds of the runs.
        progress: a function that receives the current activity and the completed share.

    Returns:
        The results, sorted by size and seed.
    """
    cases = [(size, seed) for size in sorted(sizes, reverse=True) for seed in seeds]
    run_sizes = [size for size, _ in cases]
    run_seeds = [seed for _, seed in cases]
    results = []
    with ProcessPoolExecutor() as pool:
        for result in pool.map(_run, run_sizes, [loss] * len(cases), [starved_share] * len(cases), run_seeds):
            results.append(result)
            progress(f"{result.members} members", len(results) / len(cases))
    return sorted(results, key=lambda result: (result.members, result.seed))


def table(results: list[MembershipResult]) -> str:
    """Return a Markdown table with a row for each run."""
    lines = [f"| {' | '.join(COLUMNS)} |", f"|{' ---: |' * len(COLUMNS)}"]
    lines += [f"| {' | '.join(f'{structs.asdict(result)[name]:g}' for name in COLUMNS)} |" for result in results]
    return "\n".join(lines)


def draw(results: list[MembershipResult], path: Path) -> None:
    """Draw an SVG file with the times and the traffic of each run against the size of the fleet."""
    import matplotlib  # noqa: PLC0415  the import is slow and only this command needs it

    matplotlib.use("svg")
    from matplotlib import pyplot as plt  # noqa: PLC0415  the backend must be chosen before this import

    plot, (times_axes, traffic_axes) = plt.subplots(1, 2, figsize=(9.5, 3.4))
    sizes = [result.members for result in results]
    for name, label in (
        ("noticed_p50_s", "kill detected, median"),
        ("noticed_p99_s", "kill detected, 99th percentile"),
        ("joined_s", "join of all members at once"),
        ("healed_s", "views equal after a split"),
    ):
        times_axes.plot(sizes, [getattr(result, name) for result in results], "o", ms=4, label=label)
    traffic_axes.plot(sizes, [result.bytes_a_second for result in results], "o", ms=4, color="#4c72b0")
    for axes, label in ((times_axes, "seconds"), (traffic_axes, "bytes a second that a member sends")):
        axes.set_xscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.25)
    times_axes.legend(fontsize=8)
    path.parent.mkdir(parents=True, exist_ok=True)
    plot.savefig(path, bbox_inches="tight", metadata={"Date": None})
    plt.close(plot)
