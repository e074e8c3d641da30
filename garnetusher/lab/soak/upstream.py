"""Upstreams of the soak: a listener for each sidecar, so that what lies between two can fail for that pair alone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from garnetusher.lab.soak.records import Attempt, Records, now_s

BACKLOG = 4  # few, so that the backlog can be filled: connections that come then are up a second later
QUEUED_S = 0.05  # after a listener accepts again, what it accepts was in its queue
OK_BODY = b"done"
GARBAGE = (b"HTTP/1.1 200 OK\r\nContent-Length: zz\r\n\r\n", b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\n")


class Upstream:
    """One upstream: what it is doing wrong by now, and its connections."""

    def __init__(self, number: int, host: str, service_ms: float, records: Records, seed: int) -> None:
        self.host, self.number, self.service_s, self.records = host, number, service_ms / 1000, records
        self.random = random.Random(f"{seed}-{number}")
        self.starts = 0
        self.boot_ms = 0
        self.doing: dict[str, float] = {}  # trouble -> share
        self.connections: set[Connection] = set()
        self.links: dict[int, Link] = {}  # by sidecar
        self.gone = False
        self.accepted = 0  # connections

    async def open(self, sidecars: int) -> None:
        for sidecar in range(sidecars):
            self.links[sidecar] = Link(self, sidecar)

    def does(self, what: str) -> bool:
        """Whether a trouble that strikes a share of requests strikes this one."""
        return what in self.doing and self.random.random() < self.doing[what]

    def reset_all(self, share: float) -> None:
        for connection in list(self.connections):
            if self.random.random() < share:
                connection.abort()

    def restart(self, boot_ms: int) -> None:
        """Its process dies and another takes its place, cold."""
        self.starts, self.boot_ms = self.starts + 1, boot_ms
        self.reset_all(1.0)

    def close(self) -> None:
        for link in self.links.values():
            link.close()
        for connection in list(self.connections):
            connection.abort()


class Link:
    """The listener of one upstream for one sidecar."""

    def __init__(self, upstream: Upstream, sidecar: int) -> None:
        self.upstream, self.sidecar = upstream, sidecar
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.bind((upstream.host, 0))
        self.sock.listen(BACKLOG)
        self.port = int(self.sock.getsockname()[1])
        self.fillers: list[socket.socket] = []
        self.let_in_s = 0.0  # when it last began to accept again
        self.loop.add_reader(self.sock.fileno(), self.accept)

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.sock.accept()
                self.upstream.accepted += 1
                self.loop.create_task(self.loop.connect_accepted_socket(lambda: Connection(self), sock))

    def hold_back(self) -> None:
        """Connections that come from now on are up only a second or more later."""
        self.loop.remove_reader(self.sock.fileno())
        for _ in range(BACKLOG + 2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.upstream.host, self.port))
            self.fillers.append(filler)

    def let_in(self) -> None:
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.let_in_s = now_s()
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock.fileno(), self.accept)

    def close(self) -> None:
        self.let_in()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()


class Connection(asyncio.Protocol):
    """One connection of a sidecar. Requests are read as they come, whatever is wrong: when they began counts."""

    def __init__(self, link: Link) -> None:
        self.link, self.upstream = link, link.upstream
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.attempt: Attempt | None = None
        # what its sidecar has taken for a connection was in the queue, and what it wrote was not read
        self.queued = now_s() < link.let_in_s + QUEUED_S
        self.head_end = 0
        self.length = 0
        self.idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.upstream.connections.add(self)
        self.rest()

    def connection_lost(self, error: Exception | None) -> None:
        self.upstream.connections.discard(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def rest(self) -> None:
        """An upstream may close an idle connection early."""
        if "idle_close" in self.upstream.doing:
            self.link.loop.call_later(0.02 + self.upstream.random.random() * 0.3, self.close_if_idle)

    def close_if_idle(self) -> None:
        if self.attempt is None and self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        first = not self.data
        self.data += data
        if first:
            self.first_byte_s = now_s()
        if self.attempt is None and b"\r\n\r\n" in self.data:
            self.begin()
        if self.attempt is not None and self.whole():
            self.attempt.whole_s = now_s()
            self.respond(self.attempt)

    def begin(self) -> None:
        head, _, _ = self.data.partition(b"\r\n\r\n")
        self.head_end = len(head) + 4
        fields = {
            name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in head.split(b"\r\n")[1:])
        }
        self.length = int(fields.get(b"content-length", b"0"))
        self.chunked = fields.get(b"transfer-encoding") == b"chunked"
        self.attempt = Attempt(
            fields[b"x-request-id"].decode(),
            self.link.sidecar,
            self.upstream.number,
            self.first_byte_s,
            int(fields[b"x-deadline-ms"]) / 1000,
            self.upstream.starts,
            queued=self.queued,
        )
        self.queued = False
        self.upstream.records.attempts.append(self.attempt)

    def whole(self) -> bool:
        if self.chunked:
            return self.data.endswith(b"0\r\n\r\n")
        return len(self.data) >= self.head_end + self.length

    def respond(self, attempt: Attempt) -> None:
        upstream, later = self.upstream, self.link.loop.call_later
        if "silent" in upstream.doing or "hang" in upstream.doing:
            return
        if upstream.does("turn_away"):
            attempt.turned_away = True
            self.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        elif upstream.does("errors"):
            later(self.worked_s(), self.write, b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
        elif upstream.does("garbage"):
            later(self.worked_s(), self.write, upstream.random.choice(GARBAGE))
        else:
            later(
                self.worked_s(),
                self.write,
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(OK_BODY), OK_BODY),
            )

    def worked_s(self) -> float:
        return self.upstream.random.expovariate(1 / self.upstream.service_s)

    def write(self, answer: bytes) -> None:
        if self.transport is None or self.transport.is_closing() or "silent" in self.upstream.doing:
            return
        self.data, self.attempt = b"", None
        self.transport.write(answer)
        self.rest()
