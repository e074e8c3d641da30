"""What the errors of the sidecar have in common."""

from __future__ import annotations

import enum

from garnetusher.errors import GarnetusherError


class Missing(enum.Enum):
    """Stands in an error for the value of a key that is not there."""

    NOTHING = "nothing"

    def __repr__(self) -> str:
        return self.value


NOTHING = Missing.NOTHING


class InvalidValueError(GarnetusherError, ValueError):
    """A value in a JSON document or in the environment that cannot be used.

    Attributes:
        key: the key whose value is wrong or missing.
        place: the path of the object that has the key; empty for the document as a whole.
        expected: what the value should be.
        found: what is there instead.
    """

    def __init__(self, key: str, place: str, expected: str, found: object) -> None:
        super().__init__(f"{join_path(place, key)}: expected {expected}, found {found!r}")
        self.key = key
        self.place = place
        self.expected = expected
        self.found = found


def join_path(place: str, key: str) -> str:
    """Return the path of a key of the object at `place`."""
    return f"{place}.{key}" if place else key
