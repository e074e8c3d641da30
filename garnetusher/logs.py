"""Structured logs: one JSON object a line, with a stable event name from `EVENTS`.

`docs/logs.md` lists the same names; a test holds the two together. Every line has `at` (UTC, ISO 8601), `level`,
`event`, and the fields that the event's line in `EVENTS` names.
"""

from __future__ import annotations

import sys
from typing import Any, TextIO

import structlog

# event name -> (what it says, its fields)
EVENTS: dict[str, tuple[str, str]] = {
    "lab.play.begins": ("an experiment starts", "experiment, seed, out, sidecars, upstreams"),
    "lab.play.ends": ("its figures are there", "experiment, seed, held, broken, late"),
    "lab.tree.builds": ("the tree under test is built", "tree"),
    "lab.sidecar.started": ("a sidecar process runs", "sidecar, pid"),
    "lab.sidecar.ready": ("it has answered `GET /up` with 200", "sidecar, after_s"),
    "lab.sidecar.died": ("it ended though nobody asked it to", "sidecar, status, last_lines"),
    "lab.fault.applied": ("a process fault has been carried out", "sidecar, what, late_ms"),
    "lab.worker.died": ("a process of the lab itself ended early", "worker, status, last_lines"),
    "lab.late": ("the lab ran behind its own schedule", "worker, events, late"),
    "lab.cleaned": ("all that the play started has ended", "processes"),
}


class UnknownEvent(ValueError):
    """A log line with a name that no page lists."""


def _listed(logger: object, method: str, event: Any) -> Any:
    if event["event"] not in EVENTS:
        raise UnknownEvent(f"expected an event name listed in garnetusher.logs.EVENTS, got {event['event']!r}")
    return event


def configure(stream: TextIO | None = None, level: str = "info") -> None:
    """JSON lines to `stream` (standard error without one), from `level` up: debug, info, warning, error."""
    number = {"debug": 10, "info": 20, "warning": 30, "error": 40}[level]
    structlog.configure(
        processors=[
            _listed,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def logger(**fields: object) -> Any:
    """A logger whose lines all carry these fields."""
    return structlog.get_logger(**fields)
