"""Fleets of simulated members for tests."""

from __future__ import annotations

from garnetusher.model.members import Members, Node

SECOND = 1_000_000  # in microseconds
JOIN_US = 8 * SECOND
JOIN_WITH_LOSS_US = 20 * SECOND


def joined_fleet(
    size: int, seed: int = 1, loss: float = 0.0, keys: list[bytes] | None = None
) -> tuple[Members, list[Node]]:
    """Return that many members, joined through the first two, which all agree on who is present."""
    members = Members(seed, loss=loss, keys=keys)
    nodes = [members.add(f"m{index}") for index in range(size)]
    for node in nodes:
        members.start(node, nodes[:2])
    members.run(JOIN_US if not loss else JOIN_WITH_LOSS_US)
    assert all(members.active_names(node) == sorted(other.name for other in nodes) for node in nodes)
    return members, nodes


def logged(node: Node, event: str) -> list[dict[str, object]]:
    """Return the fields of each log event of that name."""
    return [log_event.fields for _, log_event in node.log if log_event.event == event]
