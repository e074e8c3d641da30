"""One attempt at an upstream, from its start to its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetusher.policy.events import Outcome
from garnetusher.sidecar.requests.messages import AttemptResult, HttpRequest, WriteAuthorizer, WritePermit
from garnetusher.sidecar.streaming import Head, Sink, Source
from garnetusher.sidecar.transitions import UpstreamCloseReason
from garnetusher.sidecar.upstream import request_writer
from garnetusher.sidecar.upstream.request_writer import Address

if TYPE_CHECKING:
    from garnetusher.sidecar.upstream.connection import UpstreamConnection


class UpstreamAttempt:
    """One attempt, which has a connection or waits until a connection is established.

    Attributes:
        address: the address of the upstream.
        request: the client's request.
        connection: the connection that carries the attempt or is being opened for it; None before and after that.
        written: whether any byte of the attempt has been written.
        abandoned: whether the result of the attempt is no longer needed.
        short_of_local_resources: whether connecting last failed because this machine lacked the resources for it.
        on_response_started: called with the head of a streamed response; returns the sink for its body, or None if no
            client waits for the response.
    """

    __slots__ = (
        "_authorize_write",
        "_loop",
        "_on_ended",
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
        authorize_write: WriteAuthorizer,
        on_ended: Callable[[AttemptResult], None],
        on_response_started: Callable[[Head, Source], Sink | None],
    ) -> None:
        self._loop = loop
        self.address = address
        self.request = request
        self._authorize_write = authorize_write
        self._on_ended = on_ended
        self.on_response_started = on_response_started
        self.connection: UpstreamConnection | None = None
        self.written = False
        self.abandoned = False
        self.short_of_local_resources = False

    def permitted_head(self) -> bytes | None:
        """Request the permission to write the attempt, and return the first bytes to write.

        Returns:
            The head and the buffered body; a streamed body is not included. None if the attempt may not be written; it
            then ends as NOT_WRITTEN.
        """
        permit = self._authorize_write()
        if isinstance(permit, WritePermit):
            head = request_writer.request_head(self.request, self.address, permit.remaining_us)
            return head + self.request.body
        self._loop.call_soon(self._end_as_not_written)
        return None

    def _end_as_not_written(self) -> None:
        if not self.abandoned:
            self.abandoned = True
            self.end(AttemptResult(Outcome.NOT_WRITTEN))

    def begin_response(self) -> bool:
        """Stream a response whose head has arrived but whose length is unknown; return whether it is streamed now."""
        return self.connection is not None and self.connection.begin_response()

    def abandon(self) -> None:
        """Abandon the attempt: close its connection if the attempt was written, but keep one that is being opened."""
        self.abandoned = True
        connection, self.connection = self.connection, None
        if connection is None:
            return
        connection.attempt = None
        connection.detach_upload(self)
        if self.written:
            connection.close(UpstreamCloseReason.ATTEMPT_ABANDONED)

    def end(self, result: AttemptResult) -> None:
        """Report the result of the attempt."""
        self.connection = None
        self._on_ended(result)
