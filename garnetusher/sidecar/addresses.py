"""Network addresses in the form `host:port`, as the configuration and the endpoint list have them."""

from __future__ import annotations

from garnetusher.errors import GarnetusherError

PORT_LIMIT = 1 << 16

Address = tuple[str, int]


class AddressError(GarnetusherError, ValueError):
    """A text that is no `host:port`."""

    def __init__(self, text: str) -> None:
        super().__init__(f"expected host:port, got {text!r}")


def parse_address(text: str) -> Address:
    """Return the host and the port of `host:port`.

    Raises:
        AddressError: the text has another form, or its port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) >= PORT_LIMIT:
        raise AddressError(text)
    return host, int(port)
