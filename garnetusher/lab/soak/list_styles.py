"""Ways in which discovery may write an endpoint list: the layout of the JSON text, and the size of its parts."""

from __future__ import annotations

import enum
import functools
import json
import random
from dataclasses import dataclass
from typing import Any

PART_SIZES = (1, 3, 16, 200, 64 * 1024)  # bytes; a message is written in chunks of one of these sizes
ADDED_ADDRESS = "127.0.0.1:9"
EMPTY_LINES = b"\n \n\r\n"


class Layout(enum.StrEnum):
    """Layouts of a JSON text; all are valid, and only the first has a list in one line."""

    ONE_LINE = "one line"
    INDENTED = "indented"
    COMMAS_FIRST = "commas first"
    ENTRY_PER_LINE = "an entry in each line"
    OBJECT_PER_ENTRY = "an object within each entry"
    OBJECT_FIRST = "an object within each entry, commas first"


HAS_OBJECTS = frozenset((Layout.OBJECT_PER_ENTRY, Layout.OBJECT_FIRST))
IS_INDENTED = HAS_OBJECTS | {Layout.INDENTED, Layout.COMMAS_FIRST}
SEPARATORS = {
    Layout.ONE_LINE: ", ",
    Layout.INDENTED: ",\n",
    Layout.COMMAS_FIRST: "\n,",
    Layout.ENTRY_PER_LINE: ",\n",
    Layout.OBJECT_PER_ENTRY: ",\n",
    Layout.OBJECT_FIRST: "\n,",
}


@dataclass(frozen=True, slots=True)
class ListStyle:
    """A layout, a size of parts, and a number of endpoints that are added to each whole list.

    The added endpoints drain, so no request goes to them; they make the list as long as that of a large fleet.
    """

    layout: Layout = Layout.ONE_LINE
    part_size: int = PART_SIZES[-1]
    added_endpoints: int = 0

    def encode(self, document: dict[str, Any]) -> bytes:
        """Return a list as chunks of a response, with empty lines after it unless it has the plain style."""
        entries = [_entry_text(entry, self.layout) for entry in document["targets"]]
        added = self.added_endpoints if document["all"] else 0
        if entries and added:
            entries.append("")  # a separator before the added entries
        before, after = self._frame(document)
        text_before = (before + SEPARATORS[self.layout].join(entries)).encode()
        empty_lines = b"" if self == PLAIN_STYLE else EMPTY_LINES
        text_after = after.encode() + b"\n" + empty_lines
        parts = (
            chunks(text_before, self.part_size),
            _added_chunks(self.layout, self.part_size, added),
            chunks(text_after, self.part_size),
        )
        return b"".join(parts)

    def _frame(self, document: dict[str, Any]) -> tuple[str, str]:
        line_end = "" if self.layout is Layout.ONE_LINE else "\n"
        head = f'"rev": {json.dumps(document["rev"])},{line_end} "all": {json.dumps(document["all"])},{line_end}'
        return f'{{{line_end}{head} "targets": [{line_end}', f"{line_end}]{line_end}}}"


PLAIN_STYLE = ListStyle()


def draw_style(rng: random.Random, added_endpoints: int) -> ListStyle:
    """Return a random style."""
    return ListStyle(rng.choice(tuple(Layout)), rng.choice(PART_SIZES), added_endpoints)


def prepare_styles(added_endpoints: int) -> None:
    """Encode the added endpoints in all styles, so that the recording process is not busy with it during the load."""
    for layout in Layout:
        for part_size in PART_SIZES:
            _added_chunks(layout, part_size, added_endpoints)


def chunks(data: bytes, part_size: int) -> bytes:
    """Return data in chunked transfer encoding, with chunks of a size."""
    if len(data) <= part_size:
        return b"%x\r\n%s\r\n" % (len(data), data) if data else b""
    parts = (data[start : start + part_size] for start in range(0, len(data), part_size))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def _entry_text(entry: dict[str, Any], layout: Layout) -> str:
    if layout in HAS_OBJECTS:
        entry = entry | {"labels": {"rack": {"row": 7, "text": 'a "quoted" {bracket'}}}
    return json.dumps(entry, indent=1 if layout in IS_INDENTED else None)


@functools.cache
def _added_chunks(layout: Layout, part_size: int, count: int) -> bytes:
    texts = (_entry_text(_added_entry(number), layout) for number in range(count))
    return chunks(SEPARATORS[layout].join(texts).encode(), part_size)


def _added_entry(number: int) -> dict[str, Any]:
    return {
        "uid": f"added-{number}",
        "endpoint": ADDED_ADDRESS,
        "az": "a",
        "model": "m",
        "pod_group": number,
        "state": "leaving",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
