"""Errors of the clients' side."""

from __future__ import annotations

from garnetusher.errors import GarnetusherError


class RequestRejected(GarnetusherError):  # noqa: N818 - an answer to the client, and no fault of the program
    """A request that is not accepted: it is answered with a status, and its connection closes.

    Attributes:
        status: the HTTP status of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NotConnectedError(GarnetusherError):
    """A connection was used before the event loop had given it a stream transport."""

    def __init__(self) -> None:
        super().__init__("the connection has no stream transport yet")
