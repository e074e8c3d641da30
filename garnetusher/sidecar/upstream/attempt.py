"""One attempt at an upstream, from its choice to its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetusher.policy.events import Outcome
from garnetusher.sidecar.requests.messages import AttemptResult, HttpRequest, WritePermission, WritePermit
from garnetusher.sidecar.streaming import Head, Sink, Source
from garnetusher.sidecar.upstream import request_writer
from garnetusher.sidecar.upstream.request_writer import Address

if TYPE_CHECKING:
    from garnetusher.sidecar.upstream.connection import UpstreamConnection


class UpstreamAttempt:
    """One attempt: it has a connection, or waits until one is up.

    Attributes:
        address: where it goes.
        request: the client's request.
        connection: the connection that carries it, or that is opened for it; None before and after.
        written: whether any of it has been written.
        abandoned: whether its result is wanted no more.
        short_of_local_resources: this machine lacks what a connection takes.
        on_response_started: called with a long response's head; returns where it goes, or None if nowhere.
    """

    __slots__ = (
        "_loop",
        "_on_ended",
        "_permission",
        "abandoned",
        "address",
        "connection",
        "on_response_started",
        "request",
        "short_of_local_resources",
        "written",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        request: HttpRequest,
        permission: WritePermission,
        on_ended: Callable[[AttemptResult], None],
        on_response_started: Callable[[Head, Source], Sink | None],
    ) -> None:
        self._loop = loop
        self.address = address
        self.request = request
        self._permission = permission
        self._on_ended = on_ended
        self.on_response_started = on_response_started
        self.connection: UpstreamConnection | None = None
        self.written = False
        self.abandoned = False
        self.short_of_local_resources = False

    def permitted_head(self) -> bytes | None:
        """Return what is to be written now, long bodies aside.

        Returns:
            Head and short body; None if it may not be written: it ends then, as not written.
        """
        permit = self._permission()
        if isinstance(permit, WritePermit):
            head = request_writer.request_head(self.request, self.address, permit.remaining_us)
            return head + self.request.body
        self._loop.call_soon(self._end_as_not_written)
        return None

    def _end_as_not_written(self) -> None:
        if not self.abandoned:
            self.abandoned = True
            self.end(AttemptResult(Outcome.NOT_WRITTEN))

    def abandon(self) -> None:
        """Give it up: a connection that has carried it is closed, one that is still coming up is kept."""
        self.abandoned = True
        connection, self.connection = self.connection, None
        if connection is None:
            return
        connection.attempt = None
        connection.detach_upload(self)
        if self.written:
            connection.close()

    def end(self, result: AttemptResult) -> None:
        """Report its result."""
        self.connection = None
        self._on_ended(result)
