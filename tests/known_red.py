"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

One line a test: `path::test | cause | issue`. These run as strict expected failures; everything else about the run
stays as it is. Three lines at most, so that the file can't become a place to put failures.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

MAX_LINES = 3
SEPARATOR = " | "


class KnownRedError(ValueError):
    """The list is malformed."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is expected to fail."""

    test: str  # its node id, with or without a parameter
    cause: str
    issue: str

    def covers(self, node_id: str) -> bool:
        """Tell whether the line names this test, with all its parameters or with this one."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def read(path: Path) -> list[KnownRed]:
    """Read the list; an absent file is an empty list.

    Raises:
        KnownRedError: a line is malformed, or there are more than `MAX_LINES`.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise KnownRedError(f"{path.name}: expected at most {MAX_LINES} lines, got {len(lines)}")
    return [_parse(path, line_number, line) for line_number, line in enumerate(lines, 1)]


def _parse(path: Path, line_number: int, line: str) -> KnownRed:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
        raise KnownRedError(f"{path.name}, line {line_number}: expected 'path::test | cause | issue', got {line!r}")
    return KnownRed(*fields)


def unknown(entries: Iterable[KnownRed], node_ids: Iterable[str]) -> list[KnownRed]:
    """Select the entries that name none of these tests."""
    existing = list(node_ids)
    return [entry for entry in entries if not any(entry.covers(node_id) for node_id in existing)]
