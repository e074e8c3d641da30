"""`garnetusher model members`: membership by the size of the fleet, as a table and a plot."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from msgspec import structs

from garnetusher.model import presence
from garnetusher.model.presence import Presence

SIZES = (10, 100, 1000)
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


def _play(size: int, loss: float, starved: float, seed: int) -> Presence:
    return presence.play(size, loss, int(starved * size), seed, time.thread_time_ns)


def measure(
    sizes: list[int], loss: float, starved: float, seeds: range, progress: Callable[[str, float], None]
) -> list[Presence]:
    """A play for each size and seed, the largest first."""
    cases = [(size, seed) for size in sorted(sizes, reverse=True) for seed in seeds]
    found = []
    with ProcessPoolExecutor() as pool:
        for played in pool.map(
            _play, [size for size, _ in cases], [loss] * len(cases), [starved] * len(cases), [seed for _, seed in cases]
        ):
            found.append(played)
            progress(f"{played.members} members", len(found) / len(cases))
    return sorted(found, key=lambda p: (p.members, p.seed))


def table(plays: list[Presence]) -> str:
    """In Markdown, a row a play."""
    lines = [f"| {' | '.join(COLUMNS)} |", f"|{' ---: |' * len(COLUMNS)}"]
    lines += [f"| {' | '.join(f'{structs.asdict(p)[name]:g}' for name in COLUMNS)} |" for p in plays]
    return "\n".join(lines)


def draw(plays: list[Presence], path: Path) -> None:
    """Times and bytes over the size of the fleet."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot as plt

    figure, (times, costs) = plt.subplots(1, 2, figsize=(9.5, 3.4))
    sizes = [p.members for p in plays]
    for name, label in (
        ("noticed_p50_s", "a kill noticed, median"),
        ("noticed_p99_s", "99th"),
        ("joined_s", "joins of all at once"),
        ("healed_s", "views equal after a split"),
    ):
        times.plot(sizes, [getattr(p, name) for p in plays], "o", ms=4, label=label)
    costs.plot(sizes, [p.bytes_a_second for p in plays], "o", ms=4, color="#4c72b0")
    for axes, label in ((times, "seconds"), (costs, "bytes a second that a member sends")):
        axes.set_xscale("log")
        axes.set_xlabel("members")
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.25)
    times.legend(fontsize=8)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
