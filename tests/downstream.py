"""Creates a downstream connection without sockets."""

from __future__ import annotations

import asyncio
from typing import cast

from garnetusher.policy.settings import Settings
from garnetusher.sidecar.downstream.connection import DownstreamConnection
from garnetusher.sidecar.downstream.server import DownstreamServer
from garnetusher.sidecar.lifecycle import Lifecycle
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.messages import HttpRequest
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.requests.write_gate import WriteGate
from tests.net import classes


class NullTransport(asyncio.Transport):
    """A transport that discards all written data."""

    def is_closing(self) -> bool:
        return False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def write(self, data: object) -> None:
        pass

    def write_eof(self) -> None:
        pass

    def close(self) -> None:
        pass

    def abort(self) -> None:
        pass


def new_connection(transport: asyncio.Transport | None = None) -> DownstreamConnection:
    """Return a connection whose dispatcher accepts every request and never responds."""
    settings = Settings(classes())

    class NullDispatcher:
        ready = True
        write_gate = WriteGate(Trace(), settings)

        def on_request(self, http_request: HttpRequest, sink: object) -> int:
            return 1

    client_connection = DownstreamConnection(
        DownstreamServer(cast(RequestDispatcher, NullDispatcher()), settings, 100, Lifecycle())
    )
    client_connection.connection_made(transport or NullTransport())
    return client_connection
