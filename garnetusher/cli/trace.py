"""`garnetusher trace`: the way of one request through a running sidecar, or its latest transitions and closes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Annotated, Any
from urllib.parse import quote

import msgspec
import typer
from msgspec import Struct

from garnetusher import cli
from garnetusher.cli.admin_client import AdminAddress, call
from garnetusher.cli.options import JsonFlag

LATEST_SHOWN = 20  # rows of each kind in the table without --request; --json prints all that the sidecar keeps
RECEIVED = "taken"  # the first event of each request

app = typer.Typer(help="Show the way of a request through a sidecar, or its latest transitions and closed connections.")

RequestOption = Annotated[str, typer.Option("--request", help="X-Request-Id of the request, as its client sent it.")]


class TraceEvent(Struct):
    """One event in the answer to `GET /_trace`; docs/on-call/trace.md lists the names.

    Attributes:
        at_us: the time on the monotonic clock of the sidecar's machine.
        what: the kind of the event.
        request: the sidecar's number for the request; None if the event concerns a state or a connection.
        attempt: the index of the attempt.
        upstream: the number of the endpoint.
        reason: the detail of the event.
    """

    at_us: int
    what: str
    request: int | None = None
    attempt: int | None = None
    upstream: int | None = None
    reason: str = ""


@app.callback(
    invoke_without_command=True, epilog="Example: garnetusher trace --request 9b1f03aa5c7e2d41 --at 127.0.0.1:9100"
)
def trace(request: RequestOption = "", at: AdminAddress = "", *, as_json: JsonFlag = False) -> None:
    """Show the events of a request; without --request, the latest transitions and closed connections."""
    query = f"?request={quote(request, safe='')}" if request else ""
    response = call(at, "GET", f"/_trace{query}")
    if response.status != HTTPStatus.OK:
        cli.fail(f"the sidecar answered {response.status}: {response.text.strip()}", cli.FAILURE)
    documents, events = _parse(response.text)
    if request and not events:
        cli.fail(
            f"no request with the X-Request-Id {request!r} is in the trace: "
            "this sidecar has not received it, or its events have left the ring",
            cli.FAILURE,
        )
    if not request:
        documents = [document for document in documents if "request" not in document]
        events = [event for event in events if event.request is None]
    if as_json:
        cli.say_json(documents)
    else:
        cli.say("\n".join(request_table(events) if request else state_table(events)))


def request_table(events: Sequence[TraceEvent]) -> list[str]:
    """Return a table for each request among the events; several requests of a client may share an X-Request-Id."""
    lines: list[str] = []
    for number in dict.fromkeys(event.request for event in events):
        own_events = [event for event in events if event.request == number]
        received_us = next((event.at_us for event in own_events if event.what == RECEIVED), own_events[0].at_us)
        rows = [
            (
                f"+{(event.at_us - received_us) / 1000:.1f} ms",
                event.what,
                _number(event.attempt),
                _number(event.upstream),
                event.reason,
            )
            for event in own_events
        ]
        lines += [f"request {number}", *_align(("since received", "event", "attempt", "upstream", "reason"), rows)]
    return lines


def state_table(events: Sequence[TraceEvent]) -> list[str]:
    """Return a table of the latest events of each kind; their times count back from the latest of them."""
    shown: dict[str, int] = {}
    latest: list[TraceEvent] = []
    for event in reversed(events):
        shown[event.what] = shown.get(event.what, 0) + 1
        if shown[event.what] <= LATEST_SHOWN:
            latest.insert(0, event)
    rows = [
        (f"{(event.at_us - events[-1].at_us) / 1e6:.3f} s", event.what, _number(event.upstream), event.reason)
        for event in latest
    ]
    return _align(("before latest", "event", "upstream", "reason"), rows)


def _parse(text: str) -> tuple[list[dict[str, Any]], list[TraceEvent]]:
    """Return the JSON documents of an answer and the events in them."""
    lines = [line for line in text.splitlines() if line]
    try:
        documents = [msgspec.json.decode(line, type=dict[str, Any]) for line in lines]
        return documents, msgspec.convert(documents, list[TraceEvent])
    except msgspec.MsgspecError as error:
        cli.fail(f"the answer is not a trace: {error}", cli.FAILURE)


def _number(value: int | None) -> str:
    return "-" if value is None else str(value)


def _align(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a table: the first column is aligned to the right, the others to the left."""
    table = [header, *rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    return [
        "  ".join(
            [row[0].rjust(widths[0]), *(cell.ljust(width) for cell, width in zip(row[1:], widths[1:], strict=True))]
        ).rstrip()
        for row in table
    ]
