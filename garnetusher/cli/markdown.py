"""Tables in Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple


class Column(NamedTuple):
    """The head of a column and how its cells are aligned."""

    title: str
    alignment: str = "---"


def number_column(title: str) -> Column:
    """Make a column of numbers, which are aligned to the right."""
    return Column(title, "---:")


def table(columns: Sequence[Column], rows: Iterable[Sequence[str]]) -> str:
    """Format a table.

    Args:
        columns: the heads.
        rows: the cells, as many in each row as there are columns.
    """
    head = [_row([column.title for column in columns]), _row([column.alignment for column in columns])]
    return "\n".join(head + [_row(cells) for cells in rows])


def _row(cells: Sequence[str]) -> str:
    return "|" + "|".join(f" {cell} " if cell else " " for cell in cells) + "|"
