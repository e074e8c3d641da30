"""Parses network addresses of the form `host:port`, which the configuration and the endpoint list use."""

from __future__ import annotations

from garnetusher.errors import GarnetusherError

PORT_LIMIT = 1 << 16

Address = tuple[str, int]


class AddressError(GarnetusherError, ValueError):
    """A string is not a valid `host:port` address."""

    def __init__(self, text: str) -> None:
        super().__init__(f"expected host:port, got {text!r}")


def parse_address(text: str) -> Address:
    """Return the host and the port of `host:port`.

    Raises:
        AddressError: `text` does not have this form, or its port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) >= PORT_LIMIT:
        raise AddressError(text)
    return host, int(port)
