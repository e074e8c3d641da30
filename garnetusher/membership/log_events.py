"""The log events that docs/logs.md lists.

Scripts read the event and field names, so these stay the same even where the code uses other terms.
"""

from __future__ import annotations

from garnetusher.membership.actions import LogEvent, StopReason
from garnetusher.membership.messages import Address, Entry
from garnetusher.membership.view import State

_STATE_LABELS = {State.PRESENT: "present", State.SUSPECTED: "doubted", State.FAILED: "failed", State.LEFT: "left"}


def state_label(state: int) -> str:
    """Return the name of a state in the log and at the admin address."""
    return _STATE_LABELS[State(state)]


def joined(generation: int, member_count: int) -> LogEvent:
    """Return the event to log when this process becomes present."""
    return LogEvent("membership.joined", {"boot": generation, "members": member_count})


def state_changed(entry: Entry) -> LogEvent:
    """Return the event to log when a member's state or generation changes in the view."""
    fields: dict[str, object] = {
        "member": entry.name,
        "boot": entry.generation,
        "incarnation": entry.incarnation,
        "by": entry.reporter,
    }
    return LogEvent(f"membership.{state_label(entry.state)}", fields)


def refuted(incarnation: int, accusation: Entry) -> LogEvent:
    """Return the event to log when this process refutes an accusation with a higher incarnation."""
    fields: dict[str, object] = {
        "incarnation": incarnation,
        "by": accusation.reporter,
        "state": int(accusation.state),
    }
    return LogEvent("membership.refuted", fields)


def starved(late_us: int) -> LogEvent:
    """Return the event to log when this process could not run for the given time."""
    return LogEvent("membership.starved", {"late_s": round(late_us / 1e6, 3)})


def name_taken(other: Address, generation: int) -> LogEvent:
    """Return the event to log when another process claims or uses the name of this process."""
    return LogEvent("membership.name_taken", {"by": _format_address(other), "boot": generation})


def stopped(reason: StopReason, superseded_by: Address | None) -> LogEvent:
    """Return the event to log when this process is no longer a member."""
    by = _format_address(superseded_by) if superseded_by else ""
    return LogEvent("membership.stopped", {"why": reason.value, "by": by})


def _format_address(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"
