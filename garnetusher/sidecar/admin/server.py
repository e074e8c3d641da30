"""The operators' calls, at an address of their own: one call to a connection, answered at once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from garnetusher.sidecar.downstream.listener import Listener, listen_at
from garnetusher.sidecar.downstream.response_writer import REASONS
from garnetusher.sidecar.downstream.server import LISTEN_PATIENCE_S

log = logging.getLogger(__name__)

MOST_CALLERS = 16  # connections; a few that stall and some that don't
BACKLOG = 64  # connections not yet accepted
LONGEST_CALL_S = 2.0  # for a call to come whole; a caller waits 1 s for its answer
LONGEST_CALL = 8 * 1024  # bytes


@dataclass(slots=True)
class Reply:
    status: int
    text: str
    allow: bytes = b""


@dataclass(slots=True)
class Route:
    method: bytes
    call: Callable[[str], tuple[bool, str]]  # is told what stands behind the path's `?`; yes or no, and a word on it


class Caller(asyncio.Protocol):
    """One connection, which carries one call."""

    def __init__(self, admin: Admin) -> None:
        self.admin = admin
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.target = b""
        self.received = 0
        self.whole = False
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.admin.connected(self)
        self.timer = self.admin.loop.call_later(LONGEST_CALL_S, self.answer, Reply(408, "no whole call"))

    def connection_lost(self, error: Exception | None) -> None:
        self.admin.callers.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_message_complete(self) -> None:
        if not self.whole:
            self.whole = True
            path, _, query = self.target.partition(b"?")
            self.answer(self.admin.reply(self.parser.get_method(), path, query.decode("latin-1")))

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.answer(Reply(400, "malformed call"))
        if self.received > LONGEST_CALL:
            self.answer(Reply(413, "the call is too long"))

    def answer(self, reply: Reply) -> None:
        if self.answered or self.transport is None:
            return
        self.answered = True
        body = reply.text.encode() + b"\n"
        head = b"Content-Type: text/plain\r\nConnection: close\r\nContent-Length: %d\r\n" % len(body)
        if reply.allow:
            head += b"Allow: %s\r\n" % reply.allow
        line = b"HTTP/1.1 %d %s\r\n" % (reply.status, REASONS[reply.status])
        self.transport.write(line + head + b"\r\n" + body)
        self.transport.close()


class Admin:
    """Hazard: callers that stall must take no descriptor from clients: they are few, and the oldest goes."""

    def __init__(self, routes: dict[bytes, Route]) -> None:
        self.loop = asyncio.get_running_loop()
        self.routes = routes
        self.callers: dict[Caller, None] = {}  # in the order of their coming
        self.listener: Listener | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Raises OSError where the address stays taken."""
        self.listener = Listener(await listen_at(address, BACKLOG, LISTEN_PATIENCE_S), lambda sock: Caller(self))
        self.listener.start()

    def connected(self, caller: Caller) -> None:
        if len(self.callers) >= MOST_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()
        self.callers[caller] = None

    def reply(self, method: bytes, path: bytes, query: str) -> Reply:
        route = self.routes.get(path)
        if route is None:
            return Reply(404, "unknown call")
        if method != route.method:
            return Reply(405, "not the method of this call", route.method)
        yes, text = route.call(query)
        if method == b"POST":
            log.info("an operator called %s: %s", path.decode(), text)
        return Reply(200 if yes else 503, text)
