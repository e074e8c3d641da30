"""`garnetusher zones`: shows the states of the zones at a running sidecar, and evacuates or restores a zone."""

from __future__ import annotations

import enum
from http import HTTPStatus
from urllib.parse import quote

import msgspec
import typer
from msgspec import Struct

from garnetusher import cli
from garnetusher.cli.admin_client import AdminAddress, call
from garnetusher.cli.options import JsonFlag

app = typer.Typer(help="Show the state of each zone at a sidecar; evacuate or restore a zone.")


class ZoneReport(Struct):
    """One zone in the answer to `GET /_zones`.

    Attributes:
        zone: the name of the zone.
        state: `near` (active), `doubted` (suspected), `left` (evacuated) or `returning` (being restored).
        decided_by: what led to the state: `evidence` from attempts, or `operator`.
        for_s: the time in this state, in seconds.
        upstreams: the number of endpoints in the zone.
        why: the reason for this state.
    """

    zone: str
    state: str
    decided_by: str = msgspec.field(name="by")
    for_s: float
    upstreams: int
    why: str


class ZoneOrder(enum.Enum):
    """An order of an operator; the value is its name in the path of the admin interface."""

    EVACUATE = "leave"
    RESTORE = "return"


@app.callback(invoke_without_command=True, epilog="Example: garnetusher zones --at 127.0.0.1:9100")
def zones(context: typer.Context, at: AdminAddress = "", *, as_json: JsonFlag = False) -> None:
    """Show the state of each zone, the time in this state and the reason for it."""
    if context.invoked_subcommand is not None:
        return
    response = call(at, "GET", "/_zones")
    if response.status != HTTPStatus.OK:
        cli.fail(f"the sidecar answered {response.status}: {response.text.strip()}", cli.FAILURE)
    if as_json:
        cli.say_json(msgspec.json.decode(response.text))
        return
    for report in msgspec.json.decode(response.text, type=list[ZoneReport]):
        cli.say(
            f"{report.zone:<16} {report.state:<10} by {report.decided_by:<9} for {report.for_s:>8.1f} s, "
            f"{report.upstreams} upstreams: {report.why}"
        )


@app.command(epilog="Example: garnetusher zones leave ezeiza --at 127.0.0.1:9100")
def leave(name: str, at: AdminAddress = "") -> None:
    """Evacuate a zone: send it no requests until `zones return`, whatever its upstreams answer."""
    _send_order(at, ZoneOrder.EVACUATE, name)


@app.command(name="return", epilog="Example: garnetusher zones return ezeiza --at 127.0.0.1:9100")
def restore(name: str, at: AdminAddress = "") -> None:
    """Restore a zone that an operator evacuated; its traffic returns in steps."""
    _send_order(at, ZoneOrder.RESTORE, name)


def _send_order(at: str, order: ZoneOrder, zone: str) -> None:
    response = call(at, "POST", f"/_zone/{order.value}?zone={quote(zone)}")
    if response.status != HTTPStatus.OK:
        cli.fail(response.text.strip(), cli.FAILURE)
    cli.say(response.text.strip())
