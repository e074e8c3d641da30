"""`garnetusher zones`: what a running sidecar believes of each zone, and the operator's hand on them."""

from __future__ import annotations

import http.client
import json as jsons
import os
from typing import Annotated, Any
from urllib.parse import quote

import typer

from garnetusher import cli

app = typer.Typer(help="What a sidecar believes of each zone; leave one, or return to it.")

PATIENCE_S = 2.0  # for an answer; a sidecar gives it at once
At = Annotated[str, typer.Option(help="The sidecar's admin address; else $BALANCER_ADMIN.")]


def call(at: str, method: str, path: str) -> tuple[int, str]:
    """One operator's call; ends the command where there is no answer."""
    where = at or os.environ.get("BALANCER_ADMIN", "")
    host, _, port = where.rpartition(":")
    if not host or not port.isdecimal():
        cli.fail(f"--at: expected host:port, got {where!r}")
    connection = http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except OSError as error:
        cli.fail(f"no answer from {where}: {error}", cli.NOT_HELD)
    finally:
        connection.close()


@app.callback(invoke_without_command=True, epilog="Example: garnetusher zones --at 127.0.0.1:9100")
def zones(
    context: typer.Context,
    at: At = "",
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,
) -> None:
    """Each zone's state, since when, and why."""
    if context.invoked_subcommand is not None:
        return
    status, text = call(at, "GET", "/_zones")
    if status != 200:
        cli.fail(f"the sidecar answered {status}: {text.strip()}", cli.NOT_HELD)
    found: list[dict[str, Any]] = jsons.loads(text)
    if json:
        cli.say_json(found)
        return
    for zone in found:
        cli.say(
            f"{zone['zone']:<16} {zone['state']:<10} by {zone['by']:<9} for {zone['for_s']:>8.1f} s, "
            f"{zone['upstreams']} upstreams: {zone['why']}"
        )


def order(at: str, what: str, name: str) -> None:
    status, text = call(at, "POST", f"/_zone/{what}?zone={quote(name)}")
    if status != 200:
        cli.fail(text.strip(), cli.NOT_HELD)
    cli.say(text.strip())


@app.command(epilog="Example: garnetusher zones leave ezeiza --at 127.0.0.1:9100")
def leave(name: str, at: At = "") -> None:
    """Send nothing to a zone until it is returned to, whatever its upstreams answer."""
    order(at, "leave", name)


@app.command(name="return", epilog="Example: garnetusher zones return ezeiza --at 127.0.0.1:9100")
def return_to(name: str, at: At = "") -> None:
    """Use a zone again that an operator had left, by steps."""
    order(at, "return", name)
