"""Simulated fleets of members for tests."""

from __future__ import annotations

from garnetusher.model.members import Members, Node

SECOND_US = 1_000_000
JOIN_DURATION_US = 8 * SECOND_US  # after this simulated time, all members have joined and know each other
JOIN_DURATION_WITH_LOSS_US = 20 * SECOND_US


def joined_fleet(
    size: int, seed: int = 1, loss: float = 0.0, keys: list[bytes] | None = None
) -> tuple[Members, list[Node]]:
    """Return simulated members that have joined through the first two; all of them consider all others active."""
    members = Members(seed, loss=loss, keys=keys)
    nodes = [members.add(f"m{index}") for index in range(size)]
    for node in nodes:
        members.start(node, nodes[:2])
    members.run(JOIN_DURATION_US if not loss else JOIN_DURATION_WITH_LOSS_US)
    assert all(members.active_names(node) == sorted(other.name for other in nodes) for node in nodes)
    return members, nodes


def logged_fields(node: Node, event: str) -> list[dict[str, object]]:
    """Return the fields of each log event with the given name."""
    return [log_event.fields for _, log_event in node.log if log_event.event == event]
