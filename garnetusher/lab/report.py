"""`report.html`: one file that opens from disk, with its pictures inside and no script."""

from __future__ import annotations

import io
from pathlib import Path
from typing import Any

import jinja2
import matplotlib
from markupsafe import Markup

from garnetusher.lab.run import CompletedRun
from garnetusher.model import figures
from garnetusher.model.experiment import Experiment
from garnetusher.model.records import ProcessChanged, UpstreamChanged
from garnetusher.model.result import Result

matplotlib.use("svg")
from matplotlib import pyplot as plt

SHOWN_BREACHES = 20  # with their event lines; result.json has all
SHOWN_LINES = 30  # of one breach
COLOURS = {
    "up": "#4c9a5b",
    "cold": "#7fb3d5",
    "leaving": "#c9b458",
    "hung": "#8e44ad",
    "slow": "#e67e22",
    "silent": "#555555",
    "refusing": "#d98880",
    "down": "#c0392b",
    "stopped": "#8e44ad",
    "stopping": "#c9b458",
    "erring": "#e67e22",
}
FAULT = "#f5d6d0"
AFTER = {
    "die": "down",
    "vanish": "down",
    "hang": "hung",
    "resume": "up",
    "refuse": "refusing",
    "accept": "up",
    "fell_over": "down",
    "boot": "cold",
    "spawned": "up",
    "ready": "up",
    "killed": "down",
    "died": "down",
    "term": "stopping",
    "ended": "down",
    "stopped": "stopped",
    "continued": "up",
}


def write(
    experiment: Experiment, played: CompletedRun, result: Result, requests: list[figures.Request], path: Path
) -> None:
    """The whole report of a play."""
    told = figures.timeline(experiment, played.plan, requests)
    template = jinja2.Environment(
        loader=jinja2.PackageLoader("garnetusher.lab", "."), autoescape=True, trim_blocks=True, lstrip_blocks=True
    ).get_template("report.html")
    path.write_text(
        template.render(
            experiment=experiment,
            result=result,
            spans=played.plan.spans,
            shown=result.broken[:SHOWN_BREACHES],
            lines=SHOWN_LINES,
            figures=sorted(result.figures.items()),
            worth=_over_time(played, told, [("served worth", told.worth)]),
            latency=_over_time(
                played,
                told,
                [
                    ("median, ms", {z: [p[0] for p in told.latency_ms[z]] for z in told.zones}),
                    ("99th, ms", {z: [p[1] for p in told.latency_ms[z]] for z in told.zones}),
                ],
            ),
            states=_states(experiment, played),
        ),
        encoding="utf-8",
    )


def _svg(figure: Any) -> Markup:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    return Markup(text[text.index("<svg") :])


def _shade(axes: Any, played: CompletedRun) -> None:
    for span in played.plan.spans:
        axes.axvspan(span.at_us / 1e6, span.until_us / 1e6, color=FAULT, alpha=0.6, lw=0)


def _over_time(played: CompletedRun, told: figures.Timeline, panels: list[tuple[str, dict[str, list[Any]]]]) -> Markup:
    figure, axes = plt.subplots(len(panels), 1, figsize=(10, 2.6 * len(panels)), sharex=True, squeeze=False)
    for place, (label, by_zone) in zip(axes[:, 0], panels, strict=True):
        _shade(place, played)
        for zone, values in by_zone.items():
            times = [(i + 0.5) * told.bin_us / 1e6 for i in range(len(values))]
            place.plot(times, [float("nan") if v is None else v for v in values], label=zone, lw=1.3)
        place.set_ylabel(label)
        place.set_xlim(0, played.plan.seconds)
        if label == "served worth":
            place.set_ylim(-0.02, 1.05)
        else:
            place.set_ylim(bottom=0)
        place.grid(alpha=0.25)
    axes[0, 0].legend(loc="lower left", ncols=4, fontsize=8)
    axes[-1, 0].set_xlabel("seconds; faults are shaded")
    return _svg(figure)


def _states(experiment: Experiment, played: CompletedRun) -> Markup:
    """Each process on one line of time, in the colour of its state."""
    rows = _rows(experiment, played)
    figure, axes = plt.subplots(figsize=(10, 0.6 + 0.17 * len(rows)))
    seen = {}
    for place, (_, steps) in enumerate(rows):
        for (at, state), (until, _) in zip(steps, [*steps[1:], (played.plan.seconds, "")], strict=True):
            if until > at:
                seen[state] = axes.barh(place, until - at, left=at, color=COLOURS[state], height=0.8)
    for span in played.plan.spans:
        for edge in (span.at_us / 1e6, span.until_us / 1e6):
            axes.axvline(edge, color="black", lw=0.6, ls=":")
    axes.set_yticks(range(len(rows)), [name for name, _ in rows], fontsize=6)
    axes.invert_yaxis()
    axes.set_xlim(0, played.plan.seconds)
    axes.legend(
        [bar[0] for bar in seen.values()],
        list(seen),
        loc="lower center",
        bbox_to_anchor=(0.5, 1.0),
        ncols=8,
        fontsize=8,
        frameon=False,
    )
    return _svg(figure)


def _rows(experiment: Experiment, played: CompletedRun) -> list[tuple[str, list[tuple[float, str]]]]:
    warm_s = experiment.upstreams.warm_up_s
    rows: dict[str, list[tuple[float, str]]] = {}
    for sidecar in played.plan.sidecars:
        rows[sidecar.name] = [(0.0, "up")]
    for upstream in played.plan.upstreams:
        rows[upstream.uid] = [(0.0, "up" if upstream.from_us == 0 else "down")]
    for step in played.plan.links:
        for party in step.parties if step.what in ("cut", "mend") else []:
            if party in rows:
                rows[party].append((step.at_us / 1e6, "silent" if step.what == "cut" else "up"))
    for listed in played.plan.listed:
        if listed.state == "leaving":
            rows[listed.uid].append((listed.at_us / 1e6, "leaving"))
    for record in played.records:
        name = record.upstream if isinstance(record, UpstreamChanged) else getattr(record, "sidecar", "")
        if not isinstance(record, UpstreamChanged | ProcessChanged) or record.t < 0:
            continue
        at = record.t / 1e6
        state = AFTER.get(record.what)
        if record.what in ("slow", "errors", "reset"):
            was = rows[name][-1][1]
            state = "up" if was in ("slow", "erring") else "slow" if record.what == "slow" else "erring"
        if state is not None:
            rows[name].append((at, state))
        if record.what == "boot":
            rows[name].append((at + warm_s, "up"))
    return [(name, _settled(steps)) for name, steps in rows.items()]


def _settled(steps: list[tuple[float, str]]) -> list[tuple[float, str]]:
    """In order of time; a machine that dies while it warms up does not turn warm."""
    out: list[tuple[float, str]] = []
    for at, state in sorted(steps, key=lambda s: s[0]):
        if state == "up" and out and out[-1][1] == "down" and at > 0 and len(out) > 1 and out[-2][1] == "cold":
            continue
        out.append((at, state))
    return out
