"""`garnetusher zones`: the states of the zones at a running sidecar, and an operator's orders on them."""

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

__all__ = ["At", "app", "call"]  # `cli.members` imports `At` and `call` from here

app = typer.Typer(help="What a sidecar believes of each zone; leave one, or return to it.")

At = AdminAddress


class ZoneReport(Struct):
    """One zone in the answer to `GET /_zones`.

    Attributes:
        zone: its name.
        state: one of active, suspected, evacuated and restoring, in the words of the admin interface.
        decided_by: evidence or an operator.
        for_s: how long it has been in this state.
        upstreams: how many endpoints it has.
        why: the reason for this state.
    """

    zone: str
    state: str
    decided_by: str = msgspec.field(name="by")
    for_s: float
    upstreams: int
    why: str


class ZoneOrder(enum.Enum):
    """An operator's order; the value is its name in the path."""

    EVACUATE = "leave"
    RESTORE = "return"


@app.callback(invoke_without_command=True, epilog="Example: garnetusher zones --at 127.0.0.1:9100")
def zones(context: typer.Context, at: AdminAddress = "", *, as_json: JsonFlag = False) -> None:
    """Each zone's state, since when, and why."""
    if context.invoked_subcommand is not None:
        return
    response = call(at, "GET", "/_zones")
    if response.status != HTTPStatus.OK:
        cli.fail(f"the sidecar answered {response.status}: {response.text.strip()}", cli.NOT_HELD)
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
    """Send nothing to a zone until it is returned to, whatever its upstreams answer."""
    _send_order(at, ZoneOrder.EVACUATE, name)


@app.command(name="return", epilog="Example: garnetusher zones return ezeiza --at 127.0.0.1:9100")
def return_to(name: str, at: AdminAddress = "") -> None:
    """Use a zone again that an operator had left, by steps."""
    _send_order(at, ZoneOrder.RESTORE, name)


def _send_order(at: str, order: ZoneOrder, zone: str) -> None:
    response = call(at, "POST", f"/_zone/{order.value}?zone={quote(zone)}")
    if response.status != HTTPStatus.OK:
        cli.fail(response.text.strip(), cli.NOT_HELD)
    cli.say(response.text.strip())
