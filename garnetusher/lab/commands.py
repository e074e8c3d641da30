"""The commands of `garnetusher lab`, which run experiments on real processes."""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
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
from garnetusher.lab.soak import ending_benchmark, list_benchmark
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

app = typer.Typer(no_args_is_help=True, help="Run experiments with injected faults on real processes.")

DEFAULT_COLUMNS = (
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

ExperimentFile = Annotated[Path, typer.Argument(help="The experiment, in TOML; the folder experiments/ has examples.")]
SeedOption = Annotated[
    int | None, typer.Option(help="Seed of all random draws; by default the seed in the file.", min=0)
]
TreeOption = Annotated[Path, typer.Option(help="The checkout whose `deploy/balancer.toml` starts the sidecars.")]
JsonFlag = Annotated[bool, typer.Option("--json", help="Print one JSON document on standard output.")]


@app.callback()
def lab() -> None:
    """Run experiments with injected faults on real processes."""


@app.command(epilog="Example: garnetusher lab run experiments/calm.toml --seed 3 --out found/calm")
def run(
    file: ExperimentFile,
    seed: SeedOption = None,
    out: Annotated[Path | None, typer.Option(help="A new folder for the results; by default one under found/.")] = None,
    tree: TreeOption = Path("."),
    as_json: JsonFlag = False,
) -> None:
    """Run an experiment; print its figures and their bounds, and the path of the report."""
    experiment = _load_experiment(file)
    run_seed = experiment.seed if seed is None else seed
    folder = out or Path("found") / f"{experiment.name}-{run_seed}-{time.strftime('%H%M%S')}"
    if folder.exists() and any(folder.iterdir()):
        cli.fail(f"--out {folder}: expected a new or empty folder")
    with cli.progress(f"{experiment.name}, seed {run_seed}") as progress:
        run_result = _run_and_report(experiment, run_seed, tree, folder, progress)
    if as_json:
        cli.say_json(run_result.document | {"report": str(folder / "report.html")})
    else:
        cli.say("\n".join(run_result.lines))
        cli.say(f"report: {folder / 'report.html'}")
    raise typer.Exit(cli.SUCCESS if run_result.held else cli.FAILURE)


@app.command(epilog="Example: garnetusher lab compare experiments/calm.toml --tree . --tree ../before --pairs 6")
def compare(
    file: ExperimentFile,
    tree: Annotated[list[Path], typer.Option(help="A checkout to compare; give the option twice, for A and for B.")],
    pairs: Annotated[
        int, typer.Option(min=1, help="Number of runs of each tree; with fewer than 6, no difference is significant.")
    ] = 6,
    seed: SeedOption = None,
    out: Annotated[Path | None, typer.Option(help="A new folder for the results.")] = None,
    as_json: JsonFlag = False,
) -> None:
    """Run two trees alternately with the same seeds; print the difference of each figure with its 95% interval."""
    if len(tree) != 2:
        cli.fail(f"--tree: expected two trees, A and B, got {len(tree)}")
    experiment = _load_experiment(file)
    first_seed = experiment.seed if seed is None else seed
    folder = out or Path("found") / f"compare-{experiment.name}-{time.strftime('%H%M%S')}"
    results: list[list[result.Result]] = [[], []]  # the results of tree A and those of tree B
    with cli.progress(f"{experiment.name}, {pairs} pairs") as progress:
        for pair in range(pairs):
            # The order of the two trees alternates, so that gradual changes in machine speed affect both equally.
            order = (0, 1) if pair % 2 == 0 else (1, 0)
            for tree_index in order:
                run_folder = folder / f"{'ab'[tree_index]}-{pair}"
                completed_share = sum(map(len, results)) / (2 * pairs)
                results[tree_index].append(
                    _run_and_report(
                        experiment,
                        first_seed + pair,
                        tree[tree_index],
                        run_folder,
                        lambda activity, share, completed_share=completed_share: progress(  # type: ignore[misc]
                            activity, completed_share + share / (2 * pairs)
                        ),
                    )
                )
    late_results = [r for tree_results in results for r in tree_results if r.late]
    a, b = ([r.figures for r in tree_results] for tree_results in results)
    differences = comparison.differences(a, b)
    document = {
        "name": experiment.name,
        "trees": [str(t) for t in tree],
        "pairs": pairs,
        "late": len(late_results),
        "differences": [
            msgspec.structs.asdict(difference) | {"shown": difference.significant} for difference in differences
        ],
    }
    (folder / "compare.json").write_bytes(msgspec.json.encode(document) + b"\n")
    if as_json:
        cli.say_json(document)
    else:
        for difference in sorted(differences, key=lambda difference: not difference.significant):
            cli.say(str(difference))
        if late_results:
            cli.say(f"the lab itself was late in {len(late_results)} runs, which makes them invalid")
    raise typer.Exit(
        cli.FAILURE if late_results or any(r.broken for tree_results in results for r in tree_results) else cli.SUCCESS
    )


@app.command(epilog="Example: garnetusher lab table found/calm-1 found/calm-2 --figure served_worth.whole")
def table(
    folders: Annotated[list[Path], typer.Argument(help="Folders with the results of `lab run`.")],
    figure: Annotated[
        list[str] | None, typer.Option(help="A figure to show as a column; may be given more than once.")
    ] = None,
) -> None:
    """Print the figures of several runs as a Markdown table, a row for each run."""
    columns = figure or list(DEFAULT_COLUMNS)
    cli.say(f"| play | held | {' | '.join(columns)} |\n| --- | --- |{' ---: |' * len(columns)}")
    for folder in folders:
        try:
            stored = result.read(folder / "result.json")
        except (OSError, msgspec.MsgspecError) as error:
            cli.fail(f"{folder / 'result.json'}: expected the result of a run: {error}")
        cells = [f"{stored.figures[name]:.4g}" if name in stored.figures else "-" for name in columns]
        cli.say(f"| {stored.name}, seed {stored.seed} | {'yes' if stored.held else 'no'} | {' | '.join(cells)} |")


@app.command(epilog="Example: garnetusher lab soak --seeds 1:40 --jobs 4 --out found/soak")
def soak(
    seeds: Annotated[str, typer.Option(help="Seeds of the runs, A:B.")] = "1:8",
    jobs: Annotated[int, typer.Option(min=1, help="Number of concurrent runs; each has about ten sidecars.")] = 4,
    sidecars: Annotated[int, typer.Option(min=1, max=40, help="Number of sidecars in each run.")] = 10,
    replay: Annotated[Path | None, typer.Option(help="The file of a saved plan to run in place of seeds.")] = None,
    reduce: Annotated[bool, typer.Option(help="Reduce the plans of failed runs, and save them.")] = False,
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and results.")] = None,
    tree: TreeOption = Path("."),
    as_json: JsonFlag = False,
) -> None:
    """Inject two or three random faults at a time into real sidecars, and check every rule of the protocol."""
    folder = (out or Path("found") / f"soak-{time.strftime('%H%M%S')}").resolve()
    folder.mkdir(parents=True, exist_ok=True)
    sidecar_processes.build(tree.resolve())
    try:
        with cli.progress("soak") as progress:
            if replay is not None:
                summary = campaigns.summarize([soak_run.run_plan(soak_plan.load(replay), folder, tree.resolve())])
            else:
                summary = campaigns.run_campaign(_parse_seeds(seeds), sidecars, jobs, folder, tree.resolve(), progress)
    except (LabError, CompilerError, OSError, msgspec.MsgspecError) as error:
        cli.fail(str(error))
    (folder / "summary.json").write_bytes(msgspec.json.format(msgspec.json.encode(summary), indent=1) + b"\n")
    for failure in summary.failed if reduce and replay is None else []:
        failure["replay"] = str(
            campaigns.reduce_and_save(
                campaigns.draw_soak(failure["seed"], sidecars), set(failure["rules"]), folder, tree.resolve()
            )
        )
    if as_json:
        cli.say_json(msgspec.to_builtins(summary))
    else:
        cli.say(
            f"{len(summary.seeds)} runs, {summary.minutes} minutes, {summary.requests} requests, {summary.attempts} "
            f"attempts; ends of requests: {summary.ends}"
        )
        cli.say(
            f"each pair of fault kinds overlapped in at least {summary.fewest_pairs} runs; the stand-ins were late "
            f"by at most {summary.worst_lag_s} s; peak memory {summary.peak_memory_mb} MB"
        )
        for failure in summary.failed:
            cli.say(f"seed {failure['seed']}: {failure['rules']}: {failure['first']}")
    raise typer.Exit(cli.SUCCESS if summary.held else cli.FAILURE)


@app.command(epilog="Example: garnetusher lab syscalls --jobs 8 --out found/syscalls")
def syscalls(
    jobs: Annotated[int, typer.Option(min=1, help="Number of concurrent runs; each has three sidecars.")] = 4,
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and the table.")] = None,
    tree: TreeOption = Path("."),
    as_json: JsonFlag = False,
) -> None:
    """Let each system call of the sidecar fail with each error that Linux documents; print a Markdown table."""
    folder = (out or Path("found") / f"syscalls-{time.strftime('%H%M%S')}").resolve()
    folder.mkdir(parents=True, exist_ok=True)
    sidecar_processes.build(tree.resolve())
    try:
        with cli.progress("system calls") as progress:
            rows = soak_sweep.run_sweep(jobs, folder, tree.resolve(), progress)
    except (LabError, CompilerError, OSError) as error:
        cli.fail(str(error))
    table_lines = [
        "| call | error | way | calls that failed | requests | rules |",
        "| --- | --- | --- | ---: | ---: | --- |",
        *(row.line() for row in rows),
    ]
    (folder / "table.md").write_text("\n".join(table_lines) + "\n")
    if as_json:
        cli.say_json({"rows": msgspec.to_builtins(rows)})
    else:
        cli.say("\n".join(table_lines))
    raise typer.Exit(cli.FAILURE if any(row.broken for row in rows) else cli.SUCCESS)


@app.command(epilog="Example: garnetusher lab size --upstreams 200 --times 16 --out found/size")
def size(
    upstreams: Annotated[int, typer.Option(min=1, help="Number of upstreams in the smaller run.")] = 200,
    times: Annotated[
        int, typer.Option(min=2, max=16, help="Number of upstreams in the larger run, as a multiple of --upstreams.")
    ] = 16,
    seconds: Annotated[float, typer.Option(min=1.0, help="Duration of each of the two runs.")] = 20.0,
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and figures.")] = None,
    tree: TreeOption = Path("."),
    as_json: JsonFlag = False,
) -> None:
    """Run the same load with few and with many upstreams; print the resource use of a sidecar and its limits."""
    folder = (out or Path("found") / f"size-{time.strftime('%H%M%S')}").resolve()
    sidecar_processes.build(tree.resolve())
    try:
        rows = soak_size.measure(upstreams, times, seconds, folder, tree.resolve())
    except (LabError, OSError) as error:
        cli.fail(str(error))
    if as_json:
        cli.say_json({"rows": [msgspec.to_builtins(row) | {"kept": row.kept} for row in rows]})
    else:
        cli.say(f"| what | {upstreams} upstreams | {upstreams * times} | limit | |\n| --- | ---: | ---: | ---: | --- |")
        cli.say("\n".join(row.line() for row in rows))
    raise typer.Exit(cli.SUCCESS if all(row.kept for row in rows) else cli.FAILURE)


@app.command(epilog="Example: garnetusher lab lists --upstreams 3200 --out found/lists")
def lists(
    upstreams: Annotated[int, typer.Option(min=2, help="Number of upstreams.")] = 3200,
    seconds: Annotated[float, typer.Option(min=8.0, help="Duration of each run.")] = 12.0,
    memory_mb: Annotated[int, typer.Option(min=32, help="Limit on the memory of the sidecar.")] = 192,
    match: Annotated[str, typer.Option(help="Run only the forms whose name has this text.")] = "",
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and figures.")] = None,
    tree: TreeOption = Path("."),
) -> None:
    """Let an endpoint list come in each of its forms beside requests; print a Markdown table."""
    folder = (out or Path("found") / f"lists-{time.strftime('%H%M%S')}").resolve()
    sidecar_processes.build(tree.resolve())
    plan = list_benchmark.plan_for_list(upstreams, seconds, memory_mb)
    cli.say("| form | lost | longest, ms | drain known after, ms | peak memory, MB | other breaches |")
    cli.say("| --- | ---: | ---: | ---: | ---: | ---: |")
    rows: list[list_benchmark.FormResult] = []
    for number, form in enumerate(form for form in list_benchmark.FORMS if match in form.name):
        try:
            rows.append(list_benchmark.measure(form, plan, folder / str(number), tree.resolve()))
        except (LabError, OSError) as error:
            cli.fail(str(error))
        cli.say(rows[-1].line())
    (folder / "forms.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1) + b"\n")
    raise typer.Exit(cli.SUCCESS if all(row.held for row in rows) else cli.FAILURE)


@app.command(epilog="Example: garnetusher lab endings --endings 10 --jobs 3 --out found/endings")
def endings(
    count: Annotated[int, typer.Option("--endings", min=1, help="Number of endings in each case.")] = 10,
    jobs: Annotated[int, typer.Option(min=1, help="Number of cases that run in parallel.")] = 2,
    match: Annotated[str, typer.Option(help="Run only the cases whose name has this text.")] = "",
    out: Annotated[Path | None, typer.Option(help="A new folder for logs and figures.")] = None,
    tree: TreeOption = Path("."),
) -> None:
    """Let processes end by takeovers and restarts beside clients that keep connections; print a Markdown table."""
    folder = (out or Path("found") / f"endings-{time.strftime('%H%M%S')}").resolve()
    sidecar_processes.build(tree.resolve())
    cases = [case for case in ending_benchmark.CASES if match in case.name]
    cli.say(
        "| case | endings | requests | cut late | cut early | refused | crossed | unread | failed | other breaches |"
    )
    cli.say("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    rows: list[ending_benchmark.EndingResult] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        runs = [
            pool.submit(ending_benchmark.measure, case, count, folder / str(number), tree.resolve())
            for number, case in enumerate(cases)
        ]
        for run in runs:
            try:
                rows.append(run.result())
            except (LabError, OSError) as error:
                cli.fail(str(error))
            cli.say(rows[-1].line())
    (folder / "endings.json").write_bytes(msgspec.json.format(msgspec.json.encode(rows), indent=1) + b"\n")
    raise typer.Exit(cli.SUCCESS if all(row.held for row in rows) else cli.FAILURE)


def _parse_seeds(seeds: str) -> range:
    first, colon, last = seeds.partition(":")
    if not first.isdecimal() or (colon and not last.isdecimal()):
        cli.fail(f"--seeds: expected A:B, got {seeds!r}")
    return range(int(first), int(last or first) + 1)


def _load_experiment(file: Path) -> Experiment:
    try:
        experiment = experiments.load(file)
    except config.FileError as error:
        cli.fail(str(error))
    if experiment.sidecars.policy != baselines.OWN_POLICY:
        cli.fail(
            f"{file}: sidecars.policy: expected {baselines.OWN_POLICY!r} on real processes, got "
            f"{experiment.sidecars.policy!r}; `garnetusher model run` supports it"
        )
    return experiment


def _run_and_report(
    experiment: Experiment, seed: int, tree: Path, folder: Path, progress: Callable[[str, float], None]
) -> result.Result:
    """Run an experiment once, write all its files, and return its result."""
    plan = plans.make(experiment, seed)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "lab.log").open("w", encoding="utf-8") as stream:
        logs.configure(stream)
        try:
            started_unix_ms = int(time.time() * 1000)
            completed_run = asyncio.run(run_experiment(experiment, plan, tree, folder, progress))
        except LabError as error:
            cli.fail(str(error), cli.USAGE_ERROR)
        except (asyncio.CancelledError, KeyboardInterrupt):
            cli.fail("stopped; nothing was left running", cli.FAILURE)
        run_result, requests = result.evaluate(
            experiment,
            plan,
            completed_run.records,
            completed_run.events,
            completed_run.late_share,
            completed_run.not_asked,
        )
        run_result.cores, run_result.tree = completed_run.cores, str(tree)
        logs.logger().info(
            "lab.play.ends",
            experiment=experiment.name,
            seed=seed,
            held=run_result.held,
            broken=len(run_result.broken),
            late=completed_run.late_share,
        )
    result.write(run_result, folder / "result.json")
    figures.histograms(experiment, plan, requests, folder / "latency.hlog", started_unix_ms)
    report.write(experiment, completed_run, run_result, requests, folder / "report.html")
    return run_result
