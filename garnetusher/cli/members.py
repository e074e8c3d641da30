"""`garnetusher members`: which members a running process believes present, whether the others agree, and why."""

from __future__ import annotations

import json as json_module
from http import HTTPStatus
from typing import Annotated, Any

import typer

from garnetusher import cli
from garnetusher.cli.zones import At, call

app = typer.Typer(help="Whom a running process holds for present, and whether the others agree.")


@app.callback(invoke_without_command=True, epilog="Example: garnetusher members --at 127.0.0.1:9100")
def members(
    at: At = "",
    json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False,  # noqa: FBT002  typer makes a flag of it
) -> None:
    """Each member's state and since when; agreed, or in dispute with whom and on what."""
    status, text = call(at, "GET", "/_members")
    if status == HTTPStatus.NOT_FOUND:
        cli.fail("membership is not switched on there: fleet.membership in the sidecar's file", cli.NOT_HELD)
    if status != HTTPStatus.OK:
        cli.fail(f"the sidecar answered {status}: {text.strip()}", cli.NOT_HELD)
    document: dict[str, Any] = json_module.loads(text)
    if json:
        cli.say_json(document)
        return
    cli.say("\n".join(format_lines(document)))


def format_lines(document: dict[str, Any]) -> list[str]:
    """Return the lines for a terminal."""
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
    held = "" if document["trusted"] else ", the count is held"
    return f"{document['cluster']}: one part in {document['instances']}, {agreement}{held}"


def _dispute_line(dispute: dict[str, Any]) -> str:
    names = f", of late on {', '.join(dispute['on'])}" if dispute["on"] else ""
    return f"  in dispute with {dispute['with']} for {dispute['for_s']:.1f} s{names}"


def _member_line(member: dict[str, Any]) -> str:
    reporter = f", by {member['by']}" if member["by"] else ""
    return (
        f"{member['name']:<24} {member['state']:<8} {member['kind']:<8} {member['zone']:<12} "
        f"{member['address']:<22} for {member['for_s']:>8.1f} s{reporter}"
    )
