"""Errors of the downstream side."""

from __future__ import annotations

from garnetusher.errors import GarnetusherError


class RequestRejected(GarnetusherError):  # noqa: N818 - a response to the client, not an error of this program
    """An invalid request: the client gets an error status, and the connection closes after the response.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NotConnectedError(GarnetusherError):
    """A connection is used before the event loop has given it a stream transport."""

    def __init__(self) -> None:
        super().__init__("the connection has no stream transport yet")
