"""`garnetusher lab`: experiments on real processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from garnetusher import cli, config, logs
from garnetusher.lab import report
from garnetusher.lab import sidecars as sidecar_processes
from garnetusher.lab.run import run_experiment
from garnetusher.lab.sidecars import LabError
from garnetusher.lab.soak import campaign as campaigns
from garnetusher.lab.soak import plan as soak_plan
from garnetusher.lab.soak import run as soak_run
from garnetusher.lab.soak import size as soak_size
from garnetusher.lab.soak import sweep as soak_sweep
from garnetusher.lab.syscall_faults import CompilerError
from garnetusher.model import baselines, figures, result
from garnetusher.model import compare as comparison
from garnetusher.model import experiment as experiments
from garnetusher.model import plan as plans
from garnetusher.model.experiment import Experiment

app = typer.Typer(no_args_is_help=True, help="Experiments on real processes, with faults between them.")

SHOWN = (
    "served_worth.whole",
    "served_worth.before",
    "served_worth.during_fault",
    "served_worth.after",
    "leave_s",
    "back_to_normal_s",
    "crossings",
    "refused",
    "failed",
    "rules_broken",
    "late_events",
)

File = Annotated[Path, typer.Argument(help="The experiment, in TOML; experiments/ has a library of them.")]
Seed = Annotated[int | None, typer.Option(help="Of all random draws; else the file's.", min=0)]
Tree = Annotated[Path, typer.Option(help="The checkout whose `deploy/balancer.toml` starts the sidecars.")]
Json = Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")]


@app.callback()
def lab() -> None:
    """Experiments on real processes, with faults between them."""


@app.command(epilog="Example: garnetusher lab run experiments/calm.toml --seed 3 --out found/calm")
def run(
    file: File,
    seed: Seed = None,
    out: Annotated[Path | None, typer.Option(help="A new folder for the results; else one under found/.")] = None,
    tree: Tree = Path("."),
    json: Json = False,
) -> None:
    """Play one experiment; print its figures against their bounds, and where the report is."""
    experiment = _load(file)
    number = experiment.seed if seed is None else seed
    folder = out or Path("found") / f"{experiment.name}-{number}-{time.strftime('%H%M%S')}"
    if folder.exists() and any(folder.iterdir()):
        cli.fail(f"--out {folder}: expected a new or empty folder")
    with cli.progress(f"{experiment.name}, seed {number}") as progress:
        found = _play(experiment, number, tree, folder, progress)
    if json:
        cli.say_json(found.document | {"report": str(folder / "report.html")})
    else:
        cli.say("\n".join(found.lines))
        cli.say(f"report: {folder / 'report.html'}")
    raise typer.Exit(cli.SUCCESS if found.held else cli.FAILURE)


@app.command(epilog="Example: garnetusher lab compare experiments/calm.toml --tree . --tree ../before --pairs 6")
def compare(
    file: File,
    tree: Annotated[list[Path], typer.Option(help="Two of them: A, then B.")],
    pairs: Annotated[int, typer.Option(min=1, help="Plays of each; under 6 no difference is shown.")] = 6,
    seed: Seed = None,
    out: Annotated[Path | None, typer.Option(help="A new folder for the results.")] = None,
    json: Json = False,
) -> None:
    """Play two trees in turn on the same draws; give each figure's difference with an interval of 95 in 100."""
    if len(tree) != 2:
        cli.fail(f"--tree: expected two of them, A and B, got {len(tree)}")
    experiment = _load(file)
    first = experiment.seed if seed is None else seed
    folder = out or Path("found") / f"compare-{experiment.name}-{time.strftime('%H%M%S')}"
    plays: list[list[result.Result]] = [[], []]
    with cli.progress(f"{experiment.name}, {pairs} pairs") as progress:
        for pair in range(pairs):
            order = (0, 1) if pair % 2 == 0 else (1, 0)  # whatever drifts meets both alike
            for which in order:
                place = folder / f"{'ab'[which]}-{pair}"
                done = sum(map(len, plays)) / (2 * pairs)
                plays[which].append(
                    _play(
                        experiment,
                        first + pair,
                        tree[which],
                        place,
                        lambda what, part, done=done: progress(  # type: ignore[misc]
                            what, done + part / (2 * pairs)
                        ),
                    )
                )
    late = [r for some in plays for r in some if r.late]
    a, b = ([r.figures for r in some] for some in plays)
    found = comparison.differences(a, b)
    document = {
        "name": experiment.name,
        "trees": [str(t) for t in tree],
        "pairs": pairs,
        "late": len(late),
        "differences": [msgspec.structs.asdict(d) | {"shown": d.significant} for d in found],
    }
    (folder / "compare.json").write_bytes(msgspec.json.encode(document) + b"\n")
    if json:
        cli.say_json(document)
    else:
        for d in sorted(found, key=lambda d: not d.significant):
            cli.say(str(d))
        if late:
            cli.say(f"in {len(late)} plays the lab itself was late: they count for nothing")
    raise typer.Exit(cli.FAILURE if late or any(r.broken for some in plays for r in some) else cli.SUCCESS)


@app.command(epilog="Example: garnetusher lab table found/calm-1 found/calm-2 --figure served_worth.whole")
def table(
    folders: Annotated[list[Path], typer.Argument(help="Folders that `lab run` has filled.")],
    figure: Annotated[list[str] | None, typer.Option(help="A column; may be given again.")] = None,
) -> None:
    """The figures of several plays as a Markdown table, a row each."""
    columns = figure or list(SHOWN)
    cli.say(f"| play | held | {' | '.join(columns)} |\n| --- | --- |{' ---: |' * len(columns)}")
    for folder in folders:
        try:
            found = result.read(folder / "result.json")
        except (OSError, msgspec.MsgspecError) as error:
            cli.fail(f"{folder / 'result.json'}: expected the result of a play: {error}")
        cells = [f"{found.figures[name]:.4g}" if name in found.figures else "-" for name in columns]
        cli.say(f"| {found.name}, seed {found.seed} | {'yes' if found.held else 'no'} | {' | '.join(cells)} |")


@app.command(epilog="Example: garnetusher lab soak --seeds 1:40 --jobs 4 --out found/soak")
def soak(
    seeds: Annotated[str, typer.Option(help="The first and the last, as A:B.")] = "1:8",
    jobs: Annotated[int, typer.Option(min=1, help="Plays at once; each has some ten sidecars.")] = 4,
    sidecars: Annotated[int, typer.Option(min=1, max=40, help="Of one play.")] = 10,
    replay: Annotated[Path | None, typer.Option(help="A play that was saved, in place of seeds.")] = None,
    reduce: Annotated[bool, typer.Option(help="Make plays that fail smaller, and save them.")] = False,
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and findings.")] = None,
    tree: Tree = Path("."),
    json: Json = False,
) -> None:
    """Play seeded faults, two or three at a time, on real sidecars, and judge every rule of the protocol."""
    folder = (out or Path("found") / f"soak-{time.strftime('%H%M%S')}").resolve()
    folder.mkdir(parents=True, exist_ok=True)
    sidecar_processes.build(tree.resolve())
    try:
        with cli.progress("soak") as progress:
            if replay is not None:
                found = campaigns.summarize([soak_run.run_plan(soak_plan.load(replay), folder, tree.resolve())])
            else:
                found = campaigns.run_campaign(_range(seeds), sidecars, jobs, folder, tree.resolve(), progress)
    except (LabError, CompilerError, OSError, msgspec.MsgspecError) as error:
        cli.fail(str(error))
    (folder / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    for failure in found.failed if reduce and replay is None else []:
        failure["replay"] = str(
            campaigns.reduce_and_save(
                soak_plan.draw(failure["seed"], sidecars), set(failure["rules"]), folder, tree.resolve()
            )
        )
    if json:
        cli.say_json(msgspec.to_builtins(found))
    else:
        cli.say(
            f"{len(found.seeds)} plays, {found.minutes} minutes, {found.requests} requests, {found.attempts} "
            f"attempts; ends: {found.ends}"
        )
        cli.say(
            f"each pair of kinds overlapped in {found.fewest_pairs} plays or more; the stand-ins were late by "
            f"{found.worst_lag_s} s at the most"
        )
        for failure in found.failed:
            cli.say(f"seed {failure['seed']}: {failure['rules']}: {failure['first']}")
    raise typer.Exit(cli.SUCCESS if found.held else cli.FAILURE)


@app.command(epilog="Example: garnetusher lab syscalls --jobs 8 --out found/syscalls")
def syscalls(
    jobs: Annotated[int, typer.Option(min=1, help="Plays at once; each has three sidecars.")] = 4,
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and the table.")] = None,
    tree: Tree = Path("."),
    json: Json = False,
) -> None:
    """Fail each system call of the sidecar with each error that Linux documents for it; print a Markdown table."""
    folder = (out or Path("found") / f"syscalls-{time.strftime('%H%M%S')}").resolve()
    folder.mkdir(parents=True, exist_ok=True)
    sidecar_processes.build(tree.resolve())
    try:
        with cli.progress("system calls") as progress:
            rows = soak_sweep.run_sweep(jobs, folder, tree.resolve(), progress)
    except (LabError, CompilerError, OSError) as error:
        cli.fail(str(error))
    table = [
        "| call | error | way | calls that failed | requests | rules |",
        "| --- | --- | --- | ---: | ---: | --- |",
        *(row.line() for row in rows),
    ]
    (folder / "table.md").write_text("\n".join(table) + "\n")
    if json:
        cli.say_json({"rows": msgspec.to_builtins(rows)})
    else:
        cli.say("\n".join(table))
    raise typer.Exit(cli.FAILURE if any(row.broken for row in rows) else cli.SUCCESS)


@app.command(epilog="Example: garnetusher lab size --upstreams 200 --times 16 --out found/size")
def size(
    upstreams: Annotated[int, typer.Option(min=1, help="At the usual size.")] = 200,
    times: Annotated[int, typer.Option(min=2, max=16, help="How many times as many at the larger size.")] = 16,
    seconds: Annotated[float, typer.Option(min=1.0, help="Of each of the two plays.")] = 20.0,
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and figures.")] = None,
    tree: Tree = Path("."),
    json: Json = False,
) -> None:
    """Play the same day beside few and many upstreams; print what a sidecar needs beside what it may."""
    folder = (out or Path("found") / f"size-{time.strftime('%H%M%S')}").resolve()
    sidecar_processes.build(tree.resolve())
    try:
        rows = soak_size.measure(upstreams, times, seconds, folder, tree.resolve())
    except (LabError, OSError) as error:
        cli.fail(str(error))
    if json:
        cli.say_json({"rows": [msgspec.to_builtins(row) | {"kept": row.kept} for row in rows]})
    else:
        cli.say(f"| what | {upstreams} upstreams | {upstreams * times} | limit | |\n| --- | ---: | ---: | ---: | --- |")
        cli.say("\n".join(row.line() for row in rows))
    raise typer.Exit(cli.SUCCESS if all(row.kept for row in rows) else cli.FAILURE)


def _range(seeds: str) -> range:
    first, colon, last = seeds.partition(":")
    if not first.isdecimal() or (colon and not last.isdecimal()):
        cli.fail(f"--seeds: expected A:B, got {seeds!r}")
    return range(int(first), int(last or first) + 1)


def _load(file: Path) -> Experiment:
    try:
        experiment = experiments.load(file)
    except config.FileError as error:
        cli.fail(str(error))
    if experiment.sidecars.policy != baselines.OWN_POLICY:
        cli.fail(
            f"{file}: sidecars.policy: expected {baselines.OWN_POLICY!r} on real processes, got "
            f"{experiment.sidecars.policy!r}; `garnetusher model run` plays it"
        )
    return experiment


def _play(
    experiment: Experiment, seed: int, tree: Path, folder: Path, progress: Callable[[str, float], None]
) -> result.Result:
    """One play, with all its files written."""
    plan = plans.make(experiment, seed)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "lab.log").open("w", encoding="utf-8") as stream:
        logs.configure(stream)
        try:
            began_ms = int(time.time() * 1000)
            played = asyncio.run(run_experiment(experiment, plan, tree, folder, progress))
        except LabError as error:
            cli.fail(str(error), cli.USAGE_ERROR)
        except (asyncio.CancelledError, KeyboardInterrupt):
            cli.fail("stopped; nothing was left running", cli.FAILURE)
        found, requests = result.evaluate(
            experiment, plan, played.records, played.events, played.late_share, played.not_asked
        )
        found.cores, found.tree = played.cores, str(tree)
        logs.logger().info(
            "lab.play.ends",
            experiment=experiment.name,
            seed=seed,
            held=found.held,
            broken=len(found.broken),
            late=played.late_share,
        )
    result.write(found, folder / "result.json")
    figures.histograms(experiment, plan, requests, folder / "latency.hlog", began_ms)
    report.write(experiment, played, found, requests, folder / "report.html")
    return found
