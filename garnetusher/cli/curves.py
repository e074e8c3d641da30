"""`garnetusher model curve`: what a fleet costs as it grows, as a table and as plots."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from msgspec import Struct, structs

from garnetusher.cli.plays import Play, play
from garnetusher.model.experiment import Experiment, scaled

SIZES = (10, 100, 1000, 10_000)
GROW = ("fleet", "sidecars")
# what is drawn: a figure of the plays and what a person calls it
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


class Point(Struct):
    """One policy at one size: means over the plays."""

    policy: str
    sidecars: int
    upstreams: int
    requests_per_s: float
    figures: dict[str, float]


def measure(
    experiment: Experiment,
    sizes: list[int],
    policies: list[str],
    grow: str,
    seeds: range,
    progress: Callable[[str, float], None],
) -> list[Point]:
    """All of them, the largest first, so that no core waits for it at the end."""
    cases = [(policy, size) for size in sorted(sizes, reverse=True) for policy in policies]
    fleets = {
        (policy, size): structs.replace(it, sidecars=structs.replace(it.sidecars, policy=policy))
        for policy, size in cases
        for it in [scaled(experiment, size, alone=grow == "sidecars")]
    }
    plays = [(case, seed) for case in cases for seed in seeds]
    found: dict[tuple[str, int], list[Play]] = {}
    with ProcessPoolExecutor() as pool:
        for done, ((case, _), played) in enumerate(
            zip(plays, pool.map(play, [fleets[case] for case, _ in plays], [seed for _, seed in plays]), strict=True)
        ):
            found.setdefault(case, []).append(played)
            progress(f"{case[0]}, {case[1]} sidecars", (done + 1) / len(plays))
    return [_point(policy, fleets[policy, size], found[policy, size]) for policy in policies for size in sorted(sizes)]


def _point(policy: str, it: Experiment, plays: list[Play]) -> Point:
    sidecars = sum(it.sidecars.per_zone.values())
    each = [
        p.result.figures
        | {
            "retries": p.result.figures["attempts_per_request"] - 1,
            "decision_us": p.decision_us,
            "list_calls_a_sidecar": p.result.figures["list_calls"] / sidecars,
        }
        for p in plays
    ]
    means = {name: round(sum(f[name] for f in each) / len(each), 5) for name in (*PLOTS, "rules_broken")}
    return Point(policy, sidecars, sum(it.upstreams.per_zone.values()), it.load.requests_per_s, means)


def table(points: list[Point]) -> str:
    """In Markdown, a row a point."""
    columns = list(PLOTS)
    lines = [
        f"| policy | sidecars | upstreams | requests a second | {' | '.join(PLOTS.values())} | rules broken |",
        f"| --- | ---: | ---: | ---: |{' ---: |' * (len(columns) + 1)}",
    ]
    lines += [
        f"| {p.policy} | {p.sidecars} | {p.upstreams} | {p.requests_per_s:g} | "
        f"{' | '.join(f'{p.figures[name]:.4g}' for name in columns)} | {p.figures['rules_broken']:g} |"
        for p in points
    ]
    return "\n".join(lines)


def draw(name: str, grow: str, points: list[Point], folder: Path) -> list[Path]:
    """A plot a figure, each policy a line over the size of the fleet."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot as plt

    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for key, label in PLOTS.items():
        figure, axes = plt.subplots(figsize=(5.2, 3.4))
        for policy in dict.fromkeys(p.policy for p in points):
            line = [p for p in points if p.policy == policy]
            sizes = [p.sidecars for p in line]
            axes.plot(sizes, [p.figures[key] for p in line], marker="o", ms=4, lw=1.3, label=policy)
        axes.set_xscale("log")
        axes.set_xlabel(f"sidecars, {'upstreams and load in proportion' if grow == 'fleet' else 'all else the same'}")
        axes.set_title(f"{name}: {label}", fontsize=10)
        axes.grid(alpha=0.25)
        if len({p.policy for p in points}) > 1:
            axes.legend(fontsize=8)
        paths.append(folder / f"{name}-{grow}-{key.replace('.', '-').replace('_', '-')}.svg")
        figure.savefig(paths[-1], bbox_inches="tight", metadata={"Date": None})
        plt.close(figure)
    return paths
