"""Checked reading of the configuration file: objects whose values have to be of the expected form."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from garnetusher.sidecar.addresses import Address, AddressError, parse_address
from garnetusher.sidecar.errors import NOTHING, InvalidValueError, join_path

SEED_BASE = 16

_Number = TypeVar("_Number", int, float)


class ConfigurationError(InvalidValueError):
    """A configuration that cannot be used."""


class ConfigurationSection:
    """An object of the file, whose values are read with checks.

    All methods raise `ConfigurationError` if the key is missing or its value is not as expected.

    Attributes:
        value: the object.
        place: its path in the file.
    """

    def __init__(self, value: object, place: str, key: str) -> None:
        if not isinstance(value, Mapping):
            raise ConfigurationError(key, place, "an object", value)
        self.value = value
        self.place = join_path(place, key)

    def get(self, key: str) -> Any:
        """Return a value of any type."""
        if key not in self.value:
            raise ConfigurationError(key, self.place, "a value", NOTHING)
        return self.value[key]

    def section(self, key: str) -> ConfigurationSection:
        """Return an object."""
        return ConfigurationSection(self.get(key), self.place, key)

    def items(self, key: str) -> list[Any]:
        """Return a list of values of any type."""
        value = self.get(key)
        if not isinstance(value, list):
            raise ConfigurationError(key, self.place, "a list", value)
        return list(value)

    def sections(self, key: str) -> list[ConfigurationSection]:
        """Return a list of objects."""
        place = join_path(self.place, key)
        return [ConfigurationSection(value, place, str(index)) for index, value in enumerate(self.items(key))]

    def number(self, number_type: Callable[[Any], _Number], key: str) -> _Number:
        """Return a number, which may also stand in the file as text."""
        value = self.get(key)
        try:
            return number_type(value)
        except (TypeError, ValueError, OverflowError):
            raise ConfigurationError(key, self.place, "a number", value) from None

    def require_positive(self, key: str) -> None:
        """Check that a value is a positive number, and not a text."""
        value = self.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
            raise ConfigurationError(key, self.place, "a positive number", value)

    def address(self, key: str) -> Address:
        """Return an address in the form `host:port`."""
        return parse_configured_address(self.get(key), self.place, key)

    def seed(self, key: str) -> int:
        """Return a number that is written as hexadecimal text."""
        text = self.get(key)
        try:
            return int(text, SEED_BASE)
        except (TypeError, ValueError):
            raise ConfigurationError(key, self.place, "a hexadecimal number", text) from None


def parse_configured_address(text: object, place: str, key: str) -> Address:
    """Return an address of the configuration.

    Raises:
        ConfigurationError: it is no `host:port`.
    """
    if not isinstance(text, str):
        raise ConfigurationError(key, place, "host:port", text)
    try:
        return parse_address(text)
    except AddressError:
        raise ConfigurationError(key, place, "host:port", text) from None
