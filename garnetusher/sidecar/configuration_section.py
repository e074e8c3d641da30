"""Reads values from objects of the configuration file and checks their type."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from garnetusher.sidecar.addresses import Address, AddressError, parse_address
from garnetusher.sidecar.errors import NOTHING, InvalidValueError, join_path

SEED_BASE = 16

_Number = TypeVar("_Number", int, float)


class ConfigurationError(InvalidValueError):
    """The configuration is invalid."""


class ConfigurationSection:
    """An object of the configuration file whose values are checked when read.

    All methods raise `ConfigurationError` if the key is missing or its value does not have the expected type.

    Attributes:
        value: the JSON object.
        place: path of the object in the file.
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
        """Return the object at `key` as a section."""
        return ConfigurationSection(self.get(key), self.place, key)

    def items(self, key: str) -> list[Any]:
        """Return a list of values of any type."""
        value = self.get(key)
        if not isinstance(value, list):
            raise ConfigurationError(key, self.place, "a list", value)
        return list(value)

    def sections(self, key: str) -> list[ConfigurationSection]:
        """Return a list of objects as sections."""
        place = join_path(self.place, key)
        return [ConfigurationSection(value, place, str(index)) for index, value in enumerate(self.items(key))]

    def number(self, number_type: Callable[[Any], _Number], key: str) -> _Number:
        """Return a number, which the file may also contain as a string."""
        value = self.get(key)
        try:
            return number_type(value)
        except (TypeError, ValueError, OverflowError):
            raise ConfigurationError(key, self.place, "a number", value) from None

    def require_positive(self, key: str) -> None:
        """Check that a value is a positive number and not a string."""
        value = self.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
            raise ConfigurationError(key, self.place, "a positive number", value)

    def address(self, key: str) -> Address:
        """Return an address in the form `host:port`."""
        return parse_configured_address(self.get(key), self.place, key)

    def seed(self, key: str) -> int:
        """Return a number that the file contains as a hexadecimal string."""
        text = self.get(key)
        try:
            return int(text, SEED_BASE)
        except (TypeError, ValueError):
            raise ConfigurationError(key, self.place, "a hexadecimal number", text) from None


def parse_configured_address(text: object, place: str, key: str) -> Address:
    """Parse an address from the configuration.

    Raises:
        ConfigurationError: `text` does not have the form `host:port`.
    """
    if not isinstance(text, str):
        raise ConfigurationError(key, place, "host:port", text)
    try:
        return parse_address(text)
    except AddressError:
        raise ConfigurationError(key, place, "host:port", text) from None
