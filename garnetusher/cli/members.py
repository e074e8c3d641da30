"""`garnetusher members`: the members of the fleet, as a running process sees them, and whether others disagree."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

import typer

from garnetusher import cli
from garnetusher.cli.admin_client import AdminAddress, call
from garnetusher.cli.options import JsonFlag

app = typer.Typer(
    help="Show the members of the fleet with their states, as a process sees them, and whether others disagree."
)


@app.callback(invoke_without_command=True, epilog="Example: garnetusher members --at 127.0.0.1:9100")
def members(at: AdminAddress = "", *, as_json: JsonFlag = False) -> None:
    """Show the state of each member and the time in this state, and list the members that disagree."""
    status, text = call(at, "GET", "/_members")
    if status == HTTPStatus.NOT_FOUND:
        cli.fail(
            "membership is not switched on at this sidecar; see fleet.membership in its configuration file",
            cli.FAILURE,
        )
    if status != HTTPStatus.OK:
        cli.fail(f"the sidecar answered {status}: {text.strip()}", cli.FAILURE)
    document: dict[str, Any] = json.loads(text)
    if as_json:
        cli.say_json(document)
        return
    cli.say("\n".join(format_lines(document)))


def format_lines(document: dict[str, Any]) -> list[str]:
    """Return the lines that the command prints for the answer to `GET /_members`."""
    if document["phase"] != "present":
        return [f"{document['phase']} {document.get('why', '')}".strip()]
    lines = [_summary_line(document)]
    lines += [_dispute_line(dispute) for dispute in document["disputes"]]
    lines += [_member_line(member) for member in document["members"]]
    if document["dropped"]:
        reasons = (f"{count} {reason}" for reason, count in document["dropped"].items())
        lines.append("dropped: " + ", ".join(reasons))
    return lines


def _summary_line(document: dict[str, Any]) -> str:
    agreement = "agreed" if document["agreed"] else "in dispute"
    # The members disagree, or the count still includes members that left or failed recently.
    count_note = "" if document["trusted"] else ", the count is held"
    return f"{document['cluster']}: limits are divided by {document['instances']}, {agreement}{count_note}"


def _dispute_line(dispute: dict[str, Any]) -> str:
    names = f", recently about {', '.join(dispute['on'])}" if dispute["on"] else ""
    return f"  in dispute with {dispute['with']} for {dispute['for_s']:.1f} s{names}"


def _member_line(member: dict[str, Any]) -> str:
    reporter = f", by {member['by']}" if member["by"] else ""
    return (
        f"{member['name']:<24} {member['state']:<8} {member['kind']:<8} {member['zone']:<12} "
        f"{member['address']:<22} for {member['for_s']:>8.1f} s{reporter}"
    )
