"""`garnetusher members`: whom a running process holds for present, whether the others agree, and why."""

from __future__ import annotations

import json as jsons
from typing import Annotated, Any

import typer

from garnetusher import cli
from garnetusher.cli.zones import At, call

app = typer.Typer(help="Whom a running process holds for present, and whether the others agree.")


@app.callback(invoke_without_command=True, epilog="Example: garnetusher members --at 127.0.0.1:9100")
def members(
    at: At = "", json: Annotated[bool, typer.Option("--json", help="One JSON document on standard output.")] = False
) -> None:
    """Each member's state and since when; agreed, or in dispute with whom and on what."""
    status, text = call(at, "GET", "/_members")
    if status == 404:
        cli.fail("membership is not switched on there: fleet.membership in the sidecar's file", cli.NOT_HELD)
    if status != 200:
        cli.fail(f"the sidecar answered {status}: {text.strip()}", cli.NOT_HELD)
    found: dict[str, Any] = jsons.loads(text)
    if json:
        cli.say_json(found)
        return
    cli.say("\n".join(lines(found)))


def lines(found: dict[str, Any]) -> list[str]:
    """What a person is told."""
    if found["phase"] != "present":
        return [f"{found['phase']} {found.get('why', '')}".strip()]
    out = [
        f"{found['cluster']}: one part in {found['instances']}, {'agreed' if found['agreed'] else 'in dispute'}"
        f"{'' if found['trusted'] else ', the count is held'}"
    ]
    out += [
        f"  in dispute with {d['with']} for {d['for_s']:.1f} s"
        + (f", of late on {', '.join(d['on'])}" if d["on"] else "")
        for d in found["disputes"]
    ]
    out += [
        f"{m['name']:<24} {m['state']:<8} {m['kind']:<8} {m['zone']:<12} {m['address']:<22} "
        f"for {m['for_s']:>8.1f} s" + (f", by {m['by']}" if m["by"] else "")
        for m in found["members"]
    ]
    if found["dropped"]:
        out.append("dropped: " + ", ".join(f"{count} {why}" for why, count in found["dropped"].items()))
    return out
