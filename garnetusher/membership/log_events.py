"""The log lines of docs/logs.md: names and fields stay as scripts read them, whatever the code calls these things."""

from __future__ import annotations

from garnetusher.membership.actions import LogEvent, StopReason
from garnetusher.membership.messages import Address, Entry
from garnetusher.membership.view import State

_STATE_LABELS = {State.PRESENT: "present", State.SUSPECTED: "doubted", State.FAILED: "failed", State.LEFT: "left"}


def state_label(state: int) -> str:
    """Return the word for a state in the log and at the admin address."""
    return _STATE_LABELS[State(state)]


def joined(generation: int, member_count: int) -> LogEvent:
    """Return the event of this process becoming present."""
    return LogEvent("membership.joined", {"boot": generation, "members": member_count})


def state_changed(entry: Entry) -> LogEvent:
    """Return the event of a change in what is believed of a member."""
    fields: dict[str, object] = {
        "member": entry.name,
        "boot": entry.generation,
        "incarnation": entry.incarnation,
        "by": entry.reporter,
    }
    return LogEvent(f"membership.{state_label(entry.state)}", fields)


def refuted(incarnation: int, accusation: Entry) -> LogEvent:
    """Return the event of this process answering an accusation by a higher incarnation."""
    fields: dict[str, object] = {
        "incarnation": incarnation,
        "by": accusation.reporter,
        "state": int(accusation.state),
    }
    return LogEvent("membership.refuted", fields)


def starved(late_us: int) -> LogEvent:
    """Return the event of this process not being run for so long."""
    return LogEvent("membership.starved", {"late_s": round(late_us / 1e6, 3)})


def name_taken(other: Address, generation: int) -> LogEvent:
    """Return the event of another process that wants this name, or had it."""
    return LogEvent("membership.name_taken", {"by": _format_address(other), "boot": generation})


def stopped(reason: StopReason, superseded_by: Address | None) -> LogEvent:
    """Return the event of the end of this process as a member."""
    by = _format_address(superseded_by) if superseded_by else ""
    return LogEvent("membership.stopped", {"why": reason.value, "by": by})


def _format_address(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
