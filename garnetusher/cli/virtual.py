"""`garnetusher model`: experiments in virtual time."""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from msgspec import structs

from garnetusher import cli, config
from garnetusher.cli import cost as costs
from garnetusher.cli import curves as growing
from garnetusher.cli import explore as explorer
from garnetusher.cli import fidelity as faithful
from garnetusher.cli import presence as presences
from garnetusher.cli import trees
from garnetusher.cli.plays import play, span
from garnetusher.model import baselines as policies
from garnetusher.model import experiment as experiments
from garnetusher.model import explore as exploring
from garnetusher.model.ablations import ABLATIONS
from garnetusher.model.clock import Stall

app = typer.Typer(no_args_is_help=True, help="The same experiments in virtual time, with the real decisions.")

COLUMNS = (
    "served_worth.whole",
    "served_worth.during_fault",
    "served_worth.after",
    "crossings",
    "refused",
    "attempts_per_request",
    "zone_leave_s",
    "zone_leave_s.home",
    "zones_left",
    "zone_return_s",
    "back_to_098_s",
    "second_dip",
    "false_leaves",
    "rules_broken",
)

COMPARED = (
    "served_worth.whole",
    "served_worth.during_fault",
    "served_worth.after",
    "crossings",
    "refused",
    "failed",
    "attempts_per_request",
    "connections_per_request",
    "work_unserved",
    "rules_broken",
)


@app.callback()
def model() -> None:
    """The same experiments in virtual time, with the real decisions."""


@app.command(epilog="Example: garnetusher model run experiments/zone-silent.toml --sidecars 100 --seeds 1:8")
def run(
    file: Annotated[Path, typer.Argument(help="The experiment, in TOML.")],
    seed: Annotated[int | None, typer.Option(min=0, help="Of all random draws; else the file's.")] = None,
    seeds: Annotated[str | None, typer.Option(help="Several plays, A:B, spread over the cores.")] = None,
    sidecars: Annotated[int | None, typer.Option(min=1, help="So many, with all else in proportion.")] = None,
    off: Annotated[
        list[str] | None,
        typer.Option("--without", help=f"A part of the decisions to do without: {', '.join(ABLATIONS)}."),
    ] = None,
    tree: Annotated[Path | None, typer.Option(help="A checkout whose decisions are played; else these.")] = None,
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Play an experiment in virtual time; print its figures against their bounds."""
    if tree is not None:
        raise typer.Exit(trees.call(tree, sys.argv[1:]))
    try:
        experiment = experiments.load(file)
        numbers = span(seeds) if seeds is not None else [experiment.seed if seed is None else seed]
    except config.FileError as error:
        cli.fail(str(error))
    except ValueError as error:
        cli.fail(f"--seeds: {error}")
    unknown = [name for name in off or [] if name not in ABLATIONS]
    if unknown:
        cli.fail(f"--without {unknown[0]}: expected one of {', '.join(ABLATIONS)}")
    if sidecars is not None:
        experiment = experiments.scaled(experiment, sidecars)
    found = []
    try:
        with (
            cli.progress(f"{experiment.name} in virtual time") as progress,
            ProcessPoolExecutor(min(len(numbers), os.cpu_count() or 1)) as pool,
        ):
            for played in pool.map(play, [experiment] * len(numbers), numbers, [off or []] * len(numbers)):
                found.append((played.result, played.took_s))
                progress("playing", len(found) / len(numbers))
    except Stall as error:
        cli.fail(str(error), cli.NOT_HELD)
    documents = [r.document | {"digest": r.digest, "events": r.events, "took_s": round(took, 3)} for r, took in found]
    if json:
        cli.say_json(documents[0] if seeds is None else documents)
    elif seeds is None:
        cli.say("\n".join(found[0][0].lines))
    else:
        cli.say(f"| seed | held | {' | '.join(COLUMNS)} | digest |\n| --- | --- |{' ---: |' * len(COLUMNS)} --- |")
        for r, _ in found:
            cells = [f"{r.figures[name]:.4g}" if name in r.figures else "-" for name in COLUMNS]
            cli.say(f"| {r.seed} | {'yes' if r.held else 'no'} | {' | '.join(cells)} | {r.digest} |")
        every = [[r.figures[name] for r, _ in found if name in r.figures] for name in COLUMNS]
        means = [f"{sum(values) / len(values):.4g}" if values else "-" for values in every]
        cli.say(f"| mean | | {' | '.join(means)} | |")
    raise typer.Exit(cli.HELD if all(r.held for r, _ in found) else cli.NOT_HELD)


@app.command(epilog="Example: garnetusher model baselines experiments/crash.toml --seeds 1:8")
def baselines(
    file: Annotated[Path, typer.Argument(help="The experiment, in TOML.")],
    seeds: Annotated[str, typer.Option(help="Plays of each policy, A:B.")] = "1:8",
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Lay the product's policy beside plain ones on the same draws: means, a row each."""
    try:
        experiment, numbers = experiments.load(file), span(seeds)
    except config.FileError as error:
        cli.fail(str(error))
    except ValueError as error:
        cli.fail(f"--seeds: {error}")
    rows: dict[str, dict[str, float]] = {}
    with cli.progress(f"{experiment.name} by policy") as progress, ProcessPoolExecutor() as pool:
        for name in policies.NAMES:
            progress(name, len(rows) / len(policies.NAMES))
            it = structs.replace(experiment, sidecars=structs.replace(experiment.sidecars, policy=name))
            found = [p.result.figures for p in pool.map(play, [it] * len(numbers), numbers)]
            rows[name] = {
                key: round(sum(f[key] for f in found if key in f) / sum(key in f for f in found), 4)
                for key in COMPARED
                if any(key in f for f in found)
            }
    if json:
        cli.say_json({"name": experiment.name, "seeds": list(numbers), "policies": rows})
        return
    cli.say(f"| {experiment.name} | {' | '.join(COMPARED)} |\n| --- |{' ---: |' * len(COMPARED)}")
    for name, row in rows.items():
        cli.say(f"| {name} | {' | '.join(f'{row[key]:g}' if key in row else '-' for key in COMPARED)} |")


@app.command(epilog="Example: garnetusher model cost --upstreams 10 --upstreams 10000")
def cost(
    upstreams: Annotated[list[int] | None, typer.Option(min=1, help="A length of the list.")] = None,
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Measure what one request's decisions cost this machine, by the length of the list, warm and all cold."""
    cases = [(count, cold) for cold in (False, True) for count in upstreams or (10, 100, 1000, 10_000)]
    found: list[costs.Cost] = []
    with cli.progress("decisions") as progress:
        for count, cold in cases:
            progress(f"{count} upstreams{', all cold' if cold else ''}", len(found) / len(cases))
            found.append(costs.measure(count, cold))
    if json:
        cli.say_json(found)
    else:
        cli.say(costs.table(found))


@app.command(epilog="Example: garnetusher model explore module --seeds 1:20000")
def explore(
    part: Annotated[str, typer.Argument(help=f"What to explore: {', '.join(explorer.PARTS)}.")],
    seeds: Annotated[str, typer.Option(help="A schedule each, A:B.")] = "1:2000",
    steps: Annotated[int, typer.Option(min=4, help="In a schedule, at the most.")] = 120,
    out: Annotated[Path, typer.Option(help="Where what breaks is kept.")] = Path("found"),
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Play seeded schedules of events against a core; shrink and keep those that break a rule."""
    if part not in explorer.PARTS:
        cli.fail(f"{part}: expected one of {', '.join(explorer.PARTS)}")
    try:
        numbers = span(seeds)
    except ValueError as error:
        cli.fail(f"--seeds: {error}")
    with cli.progress(f"exploring {part}") as progress:
        for found in explorer.search(part, numbers, steps):
            progress(f"{len(found.finds)} found", found.schedules / len(numbers))
    paths = explorer.keep(found, out)
    if json:
        cli.say_json(found)
    else:
        cli.say("\n".join([*found.lines, *(f"kept: {path}" for path in paths)]))
    raise typer.Exit(cli.NOT_HELD if found.finds else cli.HELD)


@app.command(epilog="Example: garnetusher model replay found/module-slots-17.json")
def replay(file: Annotated[Path, typer.Argument(help="What `model explore` has kept.")]) -> None:
    """Play a schedule that broke a rule once more; tell it step by step."""
    try:
        find = exploring.kept(file)
    except (OSError, msgspec.MsgspecError) as error:
        cli.fail(f"{file}: expected a schedule that `model explore` has kept: {error}")
    if find.schedule.part not in explorer.PARTS:
        cli.fail(f"{file}: part: expected one of {', '.join(explorer.PARTS)}, got {find.schedule.part!r}")
    part = explorer.PARTS[find.schedule.part]
    broken = part.play(find.schedule)
    cli.say("\n".join(part.tell(find.schedule)))
    cli.say(f"broke {broken.text}" if broken is not None else f"holds now; it broke {find.broken.text}")
    raise typer.Exit(cli.HELD if broken is None else cli.NOT_HELD)


@app.command(epilog="Example: garnetusher model curve experiments/fleet.toml --sidecars 10 --sidecars 1000")
def curve(
    file: Annotated[Path, typer.Argument(help="The experiment, in TOML.")],
    sidecars: Annotated[list[int] | None, typer.Option(min=1, help="A size of the fleet.")] = None,
    policy: Annotated[list[str] | None, typer.Option(help=f"One of {', '.join(policies.NAMES)}.")] = None,
    grow: Annotated[
        str, typer.Option(help="What grows: `fleet` with upstreams and load, or `sidecars` alone.")
    ] = "fleet",
    seeds: Annotated[str, typer.Option(help="Plays of each, A:B.")] = "1:2",
    out: Annotated[Path, typer.Option(help="Where plots and figures go.")] = Path("found/curve"),
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Play a fleet of growing size; a table, and a plot for each of worth, retries, crossings and other costs."""
    try:
        experiment, numbers = experiments.load(file), span(seeds)
    except config.FileError as error:
        cli.fail(str(error))
    except ValueError as error:
        cli.fail(f"--seeds: {error}")
    for name in policy or []:
        if name not in policies.NAMES:
            cli.fail(f"--policy {name}: expected one of {', '.join(policies.NAMES)}")
    if grow not in growing.GROW:
        cli.fail(f"--grow {grow}: expected one of {', '.join(growing.GROW)}")
    sizes = sorted(set(sidecars or growing.SIZES))
    with cli.progress(f"{experiment.name} at {len(sizes)} sizes") as progress:
        points = growing.measure(experiment, sizes, policy or [policies.OWN], grow, numbers, progress)
    paths = growing.draw(experiment.name, grow, points, out)
    if json:
        cli.say_json(
            {
                "name": experiment.name,
                "grow": grow,
                "seeds": list(numbers),
                "points": points,
                "plots": [str(path) for path in paths],
            }
        )
    else:
        cli.say("\n".join([growing.table(points), "", *(f"plot: {path}" for path in paths)]))


@app.command(epilog="Example: garnetusher model members --size 10 --size 1000 --loss 0.1 --starved 0.1")
def members(
    size: Annotated[list[int] | None, typer.Option(min=2, help="Members of a fleet.")] = None,
    loss: Annotated[float, typer.Option(min=0, max=1, help="Part of the datagrams that are lost.")] = 0.0,
    starved: Annotated[float, typer.Option(min=0, max=1, help="Part whose turns come 0.3 s late.")] = 0.0,
    seeds: Annotated[str, typer.Option(help="Plays of each, A:B.")] = "1:2",
    out: Annotated[Path, typer.Option(help="Where the plot goes.")] = Path("found/members.svg"),
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Membership by the size of the fleet: joins, a kill, a split that heals, and what it costs in calm."""
    try:
        numbers = span(seeds)
    except ValueError as error:
        cli.fail(f"--seeds: {error}")
    with cli.progress("members") as progress:
        found = presences.measure(sorted(set(size or presences.SIZES)), loss, starved, numbers, progress)
    presences.draw(found, out)
    if json:
        cli.say_json(found)
    else:
        cli.say(f"{presences.table(found)}\n\nplot: {out}")
    raise typer.Exit(cli.NOT_HELD if any(play.accused for play in found) else cli.HELD)


@app.command(epilog="Example: garnetusher model fidelity found/calm-1 found/crash-1")
def fidelity(
    folders: Annotated[list[Path], typer.Argument(help="Folders that `lab run` has filled.")],
    library: Annotated[Path, typer.Option(help="Where the experiments' files are.")] = Path("experiments"),
    tree: Annotated[Path | None, typer.Option(help="A checkout whose decisions are played.")] = None,
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Lay plays of the lab beside the same experiments and seeds in virtual time: means by experiment."""
    if tree is not None:
        raise typer.Exit(trees.call(tree, sys.argv[1:]))
    try:
        pairs = faithful.pairs(folders, library)
    except (config.FileError, OSError, msgspec.MsgspecError) as error:
        cli.fail(str(error))
    with cli.progress("fidelity") as progress:
        found = faithful.measure(pairs, progress)
    if json:
        cli.say_json(found)
    else:
        cli.say(faithful.table(found))
    raise typer.Exit(cli.HELD if all(row.close for row in found) else cli.NOT_HELD)
