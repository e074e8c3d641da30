"""Writes `report.html`, a single file with embedded images and without scripts, which a browser opens from disk."""

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

MAX_SHOWN_BREACHES = 20  # the report shows this many breaches with their records; result.json has all breaches
MAX_SHOWN_LINES = 30  # the report shows this many records of one breach
STATE_COLOURS = {
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
FAULT_COLOUR = "#f5d6d0"
STATE_AFTER_CHANGE = {
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
    experiment: Experiment, completed_run: CompletedRun, result: Result, requests: list[figures.Request], path: Path
) -> None:
    """Write the report of a run."""
    timeline = figures.timeline(experiment, completed_run.plan, requests)
    template = jinja2.Environment(
        loader=jinja2.PackageLoader("garnetusher.lab", "."), autoescape=True, trim_blocks=True, lstrip_blocks=True
    ).get_template("report.html")
    path.write_text(
        template.render(
            experiment=experiment,
            result=result,
            spans=completed_run.plan.spans,
            shown_breaches=result.broken[:MAX_SHOWN_BREACHES],
            max_lines=MAX_SHOWN_LINES,
            figures=sorted(result.figures.items()),
            worth=_plot_over_time(completed_run, timeline, [("served worth", timeline.worth)]),
            latency=_plot_over_time(
                completed_run,
                timeline,
                [
                    ("median, ms", {z: [p[0] for p in timeline.latency_ms[z]] for z in timeline.zones}),
                    ("99th percentile, ms", {z: [p[1] for p in timeline.latency_ms[z]] for z in timeline.zones}),
                ],
            ),
            states=_plot_states(experiment, completed_run),
        ),
        encoding="utf-8",
    )


def _render_svg(figure: Any) -> Markup:
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = buffer.getvalue()
    return Markup(text[text.index("<svg") :])


def _shade_faults(axes: Any, completed_run: CompletedRun) -> None:
    for span in completed_run.plan.spans:
        axes.axvspan(span.at_us / 1e6, span.until_us / 1e6, color=FAULT_COLOUR, alpha=0.6, lw=0)


def _plot_over_time(
    completed_run: CompletedRun, timeline: figures.Timeline, panels: list[tuple[str, dict[str, list[Any]]]]
) -> Markup:
    figure, axes = plt.subplots(len(panels), 1, figsize=(10, 2.6 * len(panels)), sharex=True, squeeze=False)
    for panel, (label, by_zone) in zip(axes[:, 0], panels, strict=True):
        _shade_faults(panel, completed_run)
        for zone, values in by_zone.items():
            times = [(i + 0.5) * timeline.bin_us / 1e6 for i in range(len(values))]
            panel.plot(times, [float("nan") if v is None else v for v in values], label=zone, lw=1.3)
        panel.set_ylabel(label)
        panel.set_xlim(0, completed_run.plan.seconds)
        if label == "served worth":
            panel.set_ylim(-0.02, 1.05)
        else:
            panel.set_ylim(bottom=0)
        panel.grid(alpha=0.25)
    axes[0, 0].legend(loc="lower left", ncols=4, fontsize=8)
    axes[-1, 0].set_xlabel("seconds; faults are shaded")
    return _render_svg(figure)


def _plot_states(experiment: Experiment, completed_run: CompletedRun) -> Markup:
    """Plot the states of each process as coloured bars in a row along the time axis."""
    changes_by_process = _state_changes(experiment, completed_run)
    figure, axes = plt.subplots(figsize=(10, 0.6 + 0.17 * len(changes_by_process)))
    bars_by_state = {}
    for row, (_, changes) in enumerate(changes_by_process):
        for (start_s, state), (end_s, _) in zip(changes, [*changes[1:], (completed_run.plan.seconds, "")], strict=True):
            if end_s > start_s:
                bars_by_state[state] = axes.barh(
                    row, end_s - start_s, left=start_s, color=STATE_COLOURS[state], height=0.8
                )
    for span in completed_run.plan.spans:
        for edge in (span.at_us / 1e6, span.until_us / 1e6):
            axes.axvline(edge, color="black", lw=0.6, ls=":")
    axes.set_yticks(range(len(changes_by_process)), [name for name, _ in changes_by_process], fontsize=6)
    axes.invert_yaxis()
    axes.set_xlim(0, completed_run.plan.seconds)
    axes.legend(
        [bar[0] for bar in bars_by_state.values()],
        list(bars_by_state),
        loc="lower center",
        bbox_to_anchor=(0.5, 1.0),
        ncols=8,
        fontsize=8,
        frameon=False,
    )
    return _render_svg(figure)


def _state_changes(experiment: Experiment, completed_run: CompletedRun) -> list[tuple[str, list[tuple[float, str]]]]:
    """Return the time in seconds and the new state of each state change, by process.

    Any cut of an upstream's links shows as silent, even if it affects one direction or some of the sidecars only.
    """
    warm_up_s = experiment.upstreams.warm_up_s
    changes: dict[str, list[tuple[float, str]]] = {}
    for sidecar in completed_run.plan.sidecars:
        changes[sidecar.name] = [(0.0, "up")]
    for upstream in completed_run.plan.upstreams:
        changes[upstream.uid] = [(0.0, "up" if upstream.from_us == 0 else "down")]
    for step in completed_run.plan.links:
        for party in step.parties if step.what in ("cut", "mend") else []:
            if party in changes:
                changes[party].append((step.at_us / 1e6, "silent" if step.what == "cut" else "up"))
    for listed in completed_run.plan.listed:
        if listed.state == "leaving":
            changes[listed.uid].append((listed.at_us / 1e6, "leaving"))
    for record in completed_run.records:
        name = record.upstream if isinstance(record, UpstreamChanged) else getattr(record, "sidecar", "")
        if not isinstance(record, UpstreamChanged | ProcessChanged) or record.t < 0:
            continue
        at_s = record.t / 1e6
        state = STATE_AFTER_CHANGE.get(record.what)
        if record.what in ("slow", "errors", "reset"):
            # The start and the end of these faults have the same name.
            previous_state = changes[name][-1][1]
            state = "up" if previous_state in ("slow", "erring") else "slow" if record.what == "slow" else "erring"
        if state is not None:
            changes[name].append((at_s, state))
        if record.what == "boot":
            changes[name].append((at_s + warm_up_s, "up"))
    return [(name, _sort_changes(process_changes)) for name, process_changes in changes.items()]


def _sort_changes(changes: list[tuple[float, str]]) -> list[tuple[float, str]]:
    """Return state changes sorted by time. If a machine died while it warmed up, omit the end of its warm-up."""
    result: list[tuple[float, str]] = []
    for at_s, state in sorted(changes, key=lambda change: change[0]):
        if (
            state == "up"
            and result
            and result[-1][1] == "down"
            and at_s > 0
            and len(result) > 1
            and result[-2][1] == "cold"
        ):
            continue
        result.append((at_s, state))
    return result
