"""The HTTP server for operators, which accepts one request per connection and answers it immediately."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import cast

import httptools

from garnetusher.sidecar.addresses import Address
from garnetusher.sidecar.admin.messages import AdminRequest, AdminResponse, Route
from garnetusher.sidecar.downstream.listener import Listener, open_listening_socket
from garnetusher.sidecar.downstream.response_writer import REASON_PHRASES
from garnetusher.sidecar.downstream.server import LISTEN_RETRY_TIMEOUT_S

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # allows several stalled connections and some that send complete requests
BACKLOG = 64  # maximum number of connections not accepted yet
REQUEST_TIMEOUT_S = 2.0  # time limit to receive a request; callers wait only 1 s for a response
MAX_REQUEST_BYTES = 8 * 1024


class AdminConnection(asyncio.Protocol):
    """A connection that carries one request."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self._target = b""
        self._received_bytes = 0
        self._is_request_complete = False
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request, for at most `REQUEST_TIMEOUT_S`."""
        self._transport = cast("asyncio.Transport", transport)  # a TCP transport can both read and write
        self._server.add(self)
        response = AdminResponse(HTTPStatus.REQUEST_TIMEOUT, "the request was not complete before the timeout")
        self._timeout = self._server.loop.call_later(REQUEST_TIMEOUT_S, self._respond, response)

    def connection_lost(self, error: Exception | None) -> None:
        """Unregister from the server, discard the parser, which refers to this object, and cancel the timeout."""
        self._server.remove(self)
        self._parser = None
        if self._timeout is not None:
            self._timeout.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse more of the request."""
        if self._is_answered or self._parser is None:
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return  # the offer to change the protocol is ignored, and the request has its response
        except httptools.HttpParserError:
            self._respond(AdminResponse(HTTPStatus.BAD_REQUEST, "malformed request"))
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._respond(AdminResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request is too large"))

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target; requests after the first one on a connection are ignored."""
        if not self._is_request_complete:
            self._target += url

    def on_message_complete(self) -> None:
        """Answer the request."""
        if self._is_request_complete or self._parser is None:
            return
        self._is_request_complete = True
        path, _, query = self._target.partition(b"?")
        request = AdminRequest(self._parser.get_method(), path, query.decode("latin-1"))
        self._respond(self._server.handle(request))

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _respond(self, response: AdminResponse) -> None:
        if self._is_answered or self._transport is None:
            return
        self._is_answered = True
        self._transport.write(_serialize(response))
        self._transport.close()


class AdminServer:
    """Server for operators; its connection limit keeps stalled callers from using the file descriptors of clients."""

    def __init__(self, routes: dict[bytes, Route]) -> None:
        self.loop = asyncio.get_running_loop()
        self._routes = routes
        self._connections: dict[AdminConnection, None] = {}  # ordered by arrival, oldest first
        self._listener: Listener | None = None

    async def listen(self, address: Address) -> None:
        """Start to accept connections.

        Raises:
            OSError: the address is still in use after the last retry.
        """
        sock = await open_listening_socket(address, BACKLOG, LISTEN_RETRY_TIMEOUT_S)
        self._listener = Listener(sock, lambda _: AdminConnection(self))
        self._listener.start()

    def add(self, connection: AdminConnection) -> None:
        """Register a new connection, and abort the oldest one if there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.abort()
        self._connections[connection] = None

    def remove(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)

    def handle(self, request: AdminRequest) -> AdminResponse:
        """Return the response to a request."""
        route = self._routes.get(request.path)
        if route is None:
            return AdminResponse(HTTPStatus.NOT_FOUND, "unknown path")
        if request.method != route.method:
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "this path requires another method", route.method)
        response = route.handle(request)
        if request.method == b"POST":
            log.info("operator request %s: %s", request.path.decode(), response.text)
        return response


def _serialize(response: AdminResponse) -> bytes:
    body = response.text.encode() + b"\n"
    lines = [
        b"HTTP/1.1 %d %s" % (response.status, REASON_PHRASES[response.status]),
        b"Content-Type: text/plain",
        b"Connection: close",
        b"Content-Length: %d" % len(body),
    ]
    if response.allowed_method:
        lines.append(b"Allow: %s" % response.allowed_method)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
