"""Structured logs of the lab: one JSON object per line, with a stable event name from `EVENTS`.

`docs/logs.md` lists the same names; a test compares the two lists. Every line has `at` (UTC, ISO 8601), `level`,
`event`, the fields that `EVENTS` lists for the event, and the fields that its logger adds to each line.
"""

from __future__ import annotations

import logging
import sys
from dataclasses import dataclass
from typing import Any, TextIO

import structlog

from garnetusher.errors import GarnetusherError

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


@dataclass(frozen=True, slots=True)
class LogEvent:
    """The meaning of a log event, and the names of the fields that it has in addition to those of every line."""

    summary: str
    fields: tuple[str, ...]


EVENTS: dict[str, LogEvent] = {
    "lab.play.begins": LogEvent("an experiment has started", ("experiment", "seed", "out", "sidecars", "upstreams")),
    "lab.play.ends": LogEvent(
        "an experiment has ended and its figures are available", ("experiment", "seed", "held", "broken", "late")
    ),
    "lab.tree.builds": LogEvent("the build of the tree under test has started", ("tree",)),
    "lab.sidecar.started": LogEvent("a sidecar process has started", ("sidecar", "pid")),
    "lab.sidecar.ready": LogEvent("a sidecar has answered `GET /up` with 200", ("sidecar", "after_s")),
    "lab.sidecar.died": LogEvent("a sidecar process ended unexpectedly", ("sidecar", "status", "last_lines")),
    "lab.fault.applied": LogEvent("a process fault has been carried out", ("sidecar", "what", "late_ms")),
    "lab.worker.died": LogEvent("a worker process of the lab ended early", ("worker", "status", "last_lines")),
    "lab.late": LogEvent("the lab ran behind its schedule", ("worker", "events", "late")),
    "lab.cleaned": LogEvent("all processes that the run started have ended", ("processes",)),
}


class UnknownEventError(GarnetusherError, ValueError):
    """The event name of a log line is not in `EVENTS`."""

    def __init__(self, event: object) -> None:
        super().__init__(f"expected an event name listed in garnetusher.logs.EVENTS, got {event!r}")


def _require_known_event(_logger: object, _method: str, fields: Any) -> Any:
    """Raise an error for an unknown event name; structlog calls this function for each log line."""
    if fields["event"] not in EVENTS:
        raise UnknownEventError(fields["event"])
    return fields


def configure(stream: TextIO | None = None, level: str = "info") -> None:
    """Configure all loggers of structlog to write JSON lines.

    Args:
        stream: the output stream; None means standard error.
        level: the lowest level that is written; a key of `LEVELS`.
    """
    structlog.configure(
        processors=[
            _require_known_event,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def logger(**fields: object) -> Any:
    """Return a logger that adds these fields to each line."""
    return structlog.get_logger(**fields)
