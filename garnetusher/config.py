"""Reads TOML files into typed models and reports an invalid file in one line.

A model is a `msgspec.Struct` with ``forbid_unknown_fields=True``. If a key is a reserved word of Python, the field
has another name in the struct and declares the key as its encoded name.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, get_args, get_type_hints

import msgspec

from garnetusher.errors import GarnetusherError

Model = TypeVar("Model", bound=msgspec.Struct)

# Error messages of msgspec: each has the reason and the location in the document.
_UNKNOWN_KEY = re.compile(r"Object contains unknown field `(?P<key>[^`]*)`(?: - at `\$(?P<path>[^`]*)`)?")
_MISSING_KEY = re.compile(r"Object missing required field `(?P<key>[^`]*)`(?: - at `\$(?P<path>[^`]*)`)?")
_LOCATION = re.compile(r" - at `\$(?P<path>[^`]*)`$")


class FileError(GarnetusherError, ValueError):
    """A file cannot be read or does not fit its model.

    The message is one line with the file, the key, what was expected and, for an unknown key, the nearest known one.

    Attributes:
        key: the dotted key; empty if the error concerns the whole file.
    """

    def __init__(self, path: Path | str, key: str, reason: str) -> None:
        super().__init__(f"{path}: {key + ': ' if key else ''}{reason}")
        self.key = key


def read(path: Path | str, model: type[Model]) -> Model:
    """Read a TOML file into a model.

    Raises:
        FileError: the file cannot be read, is not valid TOML, or does not fit the model.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(path, "", f"can't be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        byte = error.object[error.start]
        reason = f"expected text in UTF-8, found byte {byte:#04x} at position {error.start}"
        raise FileError(path, "", reason) from None
    return parse(text, model, path)


def parse(text: str, model: type[Model], path: Path | str = "(text)") -> Model:
    """Parse TOML text into a model.

    Args:
        text: the TOML text.
        model: the type of the result.
        path: the name of the text in error messages.

    Raises:
        FileError: the text is not valid TOML or does not fit the model.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError(path, "", f"expected TOML: {error}") from None
    try:
        return msgspec.convert(document, model)
    except msgspec.ValidationError as error:
        raise _file_error(path, model, str(error)) from None


def _file_error(path: Path | str, model: type[msgspec.Struct], message: str) -> FileError:
    """Convert a message of msgspec to an error that names the file and the dotted key."""
    unknown = _UNKNOWN_KEY.match(message)
    if unknown is not None:
        table = _dotted(unknown["path"] or "")
        return FileError(path, _join(table, unknown["key"]), f"unknown key; {_hint(model, table, unknown['key'])}")
    missing = _MISSING_KEY.match(message)
    if missing is not None:
        table = _dotted(missing["path"] or "")
        return FileError(path, _join(table, missing["key"]), "expected this key, which is missing")
    location = _LOCATION.search(message)
    reason = message if location is None else message[: location.start()]
    return FileError(path, _dotted(location["path"]) if location is not None else "", reason[:1].lower() + reason[1:])


def _hint(model: type[msgspec.Struct], table: str, key: str) -> str:
    """Return a hint with the known key that is closest to an unknown key, or with all known keys if none is close."""
    known = sorted(_known_keys(model, table))
    nearest = difflib.get_close_matches(key, known, 1)
    return f"did you mean `{nearest[0]}`?" if nearest else f"known keys: {', '.join(known)}"


def _dotted(path: str) -> str:
    """Convert a path of msgspec such as `.fault[2].at_s` to a dotted key such as `fault.2.at_s`.

    msgspec writes `[...]` for any key of a mapping; it becomes `*`.
    """
    return path.replace("[...]", ".*").replace("[", ".").replace("]", "").lstrip(".")


def _join(table: str, key: str) -> str:
    return f"{table}.{key}" if table else key


def _known_keys(model: type[msgspec.Struct], table: str) -> Iterator[str]:
    """Yield the keys that the table with this dotted key may have."""
    struct: Any = model
    for part in table.split(".") if table else []:
        if part.isdigit() or part == "*":
            continue  # an index of a list or a key of a mapping; `struct` is already the type of the elements
        field = next((field for field in msgspec.structs.fields(struct) if field.encode_name == part), None)
        if field is None:
            return
        struct = _find_struct(get_type_hints(struct)[field.name])
        if struct is None:
            return
    for field in msgspec.structs.fields(struct):
        yield field.encode_name


def _find_struct(annotation: Any) -> Any:
    """Return the first struct within an annotation such as `list[Fault]` or `Place | None`, or None."""
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation
    candidates = (_find_struct(argument) for argument in get_args(annotation))
    return next((struct for struct in candidates if struct is not None), None)
