"""TOML files checked against typed models: one clear line for whatever is wrong with one.

A model is a `msgspec.Struct` with ``forbid_unknown_fields=True``. Keys that TOML wants bare but Python reserves
are renamed in the struct. `read` raises `FileError`, whose text names the file, the key, what was expected and,
for an unknown key, the nearest known one.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, get_args, get_type_hints

import msgspec

T = TypeVar("T", bound=msgspec.Struct)

_UNKNOWN = re.compile(r"Object contains unknown field `(?P<key>[^`]*)`(?: - at `\$(?P<path>[^`]*)`)?")
_MISSING = re.compile(r"Object missing required field `(?P<key>[^`]*)`(?: - at `\$(?P<path>[^`]*)`)?")
_OTHER = re.compile(r"(?P<what>.*?)(?: - at `\$(?P<path>[^`]*)`)?$", re.DOTALL)


class FileError(ValueError):
    """A file that can't be taken; `str` is the one line that says why."""

    def __init__(self, path: Path | str, key: str, why: str) -> None:
        super().__init__(f"{path}: {key + ': ' if key else ''}{why}")
        self.key = key


def read(path: Path | str, model: type[T]) -> T:
    """The file as `model`; raises FileError on what can't be opened, is no TOML, or doesn't fit."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(path, "", f"can't be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise FileError(
            path, "", f"expected text in UTF-8, found byte {error.object[error.start]:#04x} at position {error.start}"
        ) from None
    return parse(text, model, path)


def parse(text: str, model: type[T], path: Path | str = "(text)") -> T:
    """As `read`, of a text that has been read already."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError(path, "", f"expected TOML: {error}") from None
    try:
        return msgspec.convert(raw, model)
    except msgspec.ValidationError as error:
        raise _explain(path, model, str(error)) from None


def _explain(path: Path | str, model: type[msgspec.Struct], text: str) -> FileError:
    """msgspec's message in the words of the file: a dotted key, what was expected, the nearest known key."""
    for pattern in (_UNKNOWN, _MISSING):
        found = pattern.match(text)
        if found is None:
            continue
        place = _dotted(found["path"] or "")
        key = f"{place}.{found['key']}" if place else found["key"]
        if pattern is _MISSING:
            return FileError(path, key, "expected this key, which is missing")
        known = sorted(_keys_at(model, place))
        near = difflib.get_close_matches(found["key"], known, 1)
        hint = f"did you mean `{near[0]}`?" if near else f"known here: {', '.join(known)}"
        return FileError(path, key, f"unknown key; {hint}")
    other = _OTHER.match(text)
    assert other is not None
    what = other["what"]
    return FileError(path, _dotted(other["path"] or ""), what[:1].lower() + what[1:])


def _dotted(path: str) -> str:
    """`.fault[2].at_s` as it is said here: `fault.2.at_s`; the values of a table are named `[...]` by msgspec."""
    return path.replace("[...]", ".*").replace("[", ".").replace("]", "").lstrip(".")


def _keys_at(model: type[msgspec.Struct], place: str) -> Iterator[str]:
    """The keys that the table at a dotted place may have."""
    kind: Any = model
    for part in place.split(".") if place else []:
        if part.isdigit() or part == "*":
            continue
        field = next((f for f in msgspec.structs.fields(kind) if f.encode_name == part), None)
        if field is None:
            return
        kind = _struct_in(get_type_hints(kind)[field.name])
        if kind is None:
            return
    for field in msgspec.structs.fields(kind):
        yield field.encode_name


def _struct_in(annotation: Any) -> Any:
    """The first struct within an annotation such as `list[Fault]` or `Place | None`."""
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation
    return next((found for part in get_args(annotation) if (found := _struct_in(part)) is not None), None)
