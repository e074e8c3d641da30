"""Structured logs: one JSON object a line, with a stable event name from `EVENTS`.

`docs/logs.md` lists the same names; a test holds the two together. Every line has `at` (UTC, ISO 8601), `level`,
`event`, and the fields that the event's entry in `EVENTS` names.
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
    """What a log event says, and the names of its fields."""

    summary: str
    fields: tuple[str, ...]


EVENTS: dict[str, LogEvent] = {
    "lab.play.begins": LogEvent("an experiment starts", ("experiment", "seed", "out", "sidecars", "upstreams")),
    "lab.play.ends": LogEvent("its figures are there", ("experiment", "seed", "held", "broken", "late")),
    "lab.tree.builds": LogEvent("the tree under test is built", ("tree",)),
    "lab.sidecar.started": LogEvent("a sidecar process runs", ("sidecar", "pid")),
    "lab.sidecar.ready": LogEvent("it has answered `GET /up` with 200", ("sidecar", "after_s")),
    "lab.sidecar.died": LogEvent("it ended though nobody asked it to", ("sidecar", "status", "last_lines")),
    "lab.fault.applied": LogEvent("a process fault has been carried out", ("sidecar", "what", "late_ms")),
    "lab.worker.died": LogEvent("a process of the lab itself ended early", ("worker", "status", "last_lines")),
    "lab.late": LogEvent("the lab ran behind its own schedule", ("worker", "events", "late")),
    "lab.cleaned": LogEvent("all that the play started has ended", ("processes",)),
}


class UnknownEventError(GarnetusherError, ValueError):
    """A log line has an event name that is not in `EVENTS`."""

    def __init__(self, event: object) -> None:
        super().__init__(f"expected an event name listed in garnetusher.logs.EVENTS, got {event!r}")


def _require_known_event(_logger: object, _method: str, fields: Any) -> Any:
    """Check the event's name; a processor of structlog."""
    if fields["event"] not in EVENTS:
        raise UnknownEventError(fields["event"])
    return fields


def configure(stream: TextIO | None = None, level: str = "info") -> None:
    """Configure all loggers to write JSON lines.

    Args:
        stream: where to; standard error without one.
        level: the lowest that is written; a key of `LEVELS`.
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
    """Make a logger whose lines all carry these fields."""
    return structlog.get_logger(**fields)
