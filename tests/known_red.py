"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

One line a test: `path::test | cause | issue`. These run as strict expected failures; everything else about the run
stays as it is. Three lines at most, so that the file can't become a place to put failures.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

MOST_LINES = 3
SEPARATOR = " | "


class KnownRedError(ValueError):
    """The file is not in order; `str` says why."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One test that is expected to fail."""

    test: str  # its node id, without a parameter or with one
    cause: str
    issue: str

    def covers(self, node_id: str) -> bool:
        """Whether it names this test, or all its parameters."""
        return node_id == self.test or node_id.startswith(self.test + "[")


def read(path: Path) -> list[KnownRed]:
    """The lines of the file; raises KnownRedError on one that is malformed, or one too many."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise KnownRedError(f"{path.name}: expected at most {MOST_LINES} lines, got {len(lines)}")
    return [_parse(path, number, line) for number, line in enumerate(lines, 1)]


def _parse(path: Path, number: int, line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
        raise KnownRedError(f"{path.name}, line {number}: expected 'path::test | cause | issue', got {line!r}")
    return KnownRed(*parts)


def unknown(reds: Iterable[KnownRed], node_ids: Iterable[str]) -> list[KnownRed]:
    """Those that name no test of these."""
    known = list(node_ids)
    return [red for red in reds if not any(red.covers(node_id) for node_id in known)]
