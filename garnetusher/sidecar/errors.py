"""Base classes and helpers for the errors of the sidecar."""

from __future__ import annotations

import enum

from garnetusher.errors import GarnetusherError


class Missing(enum.Enum):
    """Placeholder in an error for the value of a missing key."""

    NOTHING = "nothing"

    def __repr__(self) -> str:
        return self.value


NOTHING = Missing.NOTHING


class InvalidValueError(GarnetusherError, ValueError):
    """A value in a JSON document or in the environment is invalid.

    Attributes:
        key: key whose value is invalid or missing.
        place: path of the object that contains the key; empty for the whole document.
        expected: description of a valid value.
        found: actual value.
    """

    def __init__(self, key: str, place: str, expected: str, found: object) -> None:
        super().__init__(f"{join_path(place, key)}: expected {expected}, found {found!r}")
        self.key = key
        self.place = place
        self.expected = expected
        self.found = found


def join_path(place: str, key: str) -> str:
    """Return the path of `key` in the object at path `place`."""
    return f"{place}.{key}" if place else key
