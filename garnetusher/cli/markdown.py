"""Formats tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Column(NamedTuple):
    """A column of a table.

    Attributes:
        title: the cell in the header row.
        alignment: the cell in the delimiter row, which is `---:` for a right-aligned column.
    """

    title: str
    alignment: str = "---"


def number_column(title: str) -> Column:
    """Return a right-aligned column for numbers."""
    return Column(title, "---:")


def table(columns: Sequence[Column], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table.

    Args:
        columns: the title and the alignment of each column.
        rows: the cells of each row, one for each column.
    """
    header = [_row([column.title for column in columns]), _row([column.alignment for column in columns])]
    return "\n".join(header + [_row(cells) for cells in rows])


def _row(cells: Sequence[str]) -> str:
    return "|" + "|".join(f" {cell} " if cell else " " for cell in cells) + "|"
