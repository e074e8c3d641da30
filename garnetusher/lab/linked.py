"""Sockets behind links: every pair of a stand-in and a sidecar has a listening socket of its own, and with it a link.

The stand-in speaks to the far side of the link, in this process, so no byte is copied through another. A cut closes
nothing: what comes is read and kept, what is answered is kept, and new connections never come up, because the
listening socket's queue is filled until the kernel drops what knocks (`listen(2)`, a backlog of 0).
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from garnetusher.lab.clockwork import Clockwork
from garnetusher.model.link import StreamLink, Weather

BACKLOG = 512
FILL_TRIES = 4  # one connection fills a queue of length 0; the others make sure
SAME_US = 400  # a way shorter than this is taken at once: the loop's timers are no finer than a millisecond


class Peer(Protocol):
    """The stand-in's side of a connection."""

    def received(self, data: bytes) -> None:
        """Bytes have come through the link."""

    def lost(self) -> None:
        """The other side has closed, as far as this side can know."""

    def held(self, data: bytes) -> None:
        """Bytes were written into a cut link, and stay there."""


def _straight(link: StreamLink) -> bool:
    """Whether what sets out now may be taken as there: nothing delays it by more than timers can tell."""
    w = link.weather
    return w.delay_us < SAME_US and not (w.cut or w.loss or w.bytes_per_s or link.waiting)


class Connection(asyncio.Protocol):
    """One connection, seen from the stand-in through its link."""

    def __init__(self, listener: Listener) -> None:
        self.listener, self.clock = listener, listener.clock
        self.transport: asyncio.Transport | None = None
        self.inbound = StreamLink(listener.to_party, listener.rng)
        self.outbound = StreamLink(listener.to_sidecar, listener.rng)
        self._notes: deque[Callable[[], None] | None] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._gone = self._told = False
        self.closed = False  # by the stand-in
        self.peer = listener.peer(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self.listener.to_party.cut:
            self.peer.held(data)
        if self.closed:
            return
        if not self.listener.to_party.cut and _straight(self.inbound):
            self.peer.received(data)
            return
        self.inbound.send(self.clock.now_us(), data)
        self._pump()

    def connection_lost(self, error: Exception | None) -> None:
        self._gone = True
        if self.listener.to_party.cut or self.closed:
            self.inbound = StreamLink(self.listener.to_party, self.listener.rng)  # what was kept is sent no more
        self._pump()

    def write(self, data: bytes, sent: Callable[[], None] | None = None) -> None:
        """Towards the sidecar; `sent` is called when it has been written to the sidecar's end."""
        if self.closed or self._gone or self.transport is None:
            return
        if _straight(self.outbound):
            self.transport.write(data)
            if sent is not None:
                sent()
            return
        self.outbound.send(self.clock.now_us(), data)
        self._notes.append(sent)
        self._pump()

    def close(self) -> None:
        """The stand-in ends it in order: what has been written still goes."""
        self.closed = True
        if self.transport is not None and not self.outbound.waiting:
            self.transport.close()

    def abort(self) -> None:
        """The stand-in breaks it; behind a cut that is not told either, and the transport stays open."""
        self.closed = True
        if self.transport is not None and not self.listener.to_sidecar.cut:
            self.transport.abort()

    def mend(self, inbound: bool) -> None:
        now = self.clock.now_us()
        (self.inbound if inbound else self.outbound).mend(now)
        if self.closed and not inbound and self.transport is not None:
            self.transport.abort()  # its end can be told at last
        self._pump()

    def _pump(self) -> None:
        now = self.clock.now_us()
        for data in self.inbound.arrived(now):
            if not self.closed:
                self.peer.received(data)
        for data in self.outbound.arrived(now):
            note = self._notes.popleft()
            if self.transport is not None and not self._gone:
                self.transport.write(data)
                if note is not None:
                    note()
        if (
            self.closed
            and self.transport is not None
            and not self.outbound.waiting
            and not self.listener.to_sidecar.cut
        ):
            self.transport.close()
        if self._gone and not self._told and not self.inbound.waiting and not self.listener.to_party.cut:
            self._told = True
            self.listener.connections.discard(self)
            self.peer.lost()
        self._arm()

    def _arm(self) -> None:
        times = [t for t in (self.inbound.next_us(), self.outbound.next_us()) if t is not None]
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if times:
            self._timer = self.clock.at(min(times), self._pump)


class Listener:
    """The listening socket of one pair, with the weather of its link both ways."""

    def __init__(
        self, clock: Clockwork, host: str, peer: Callable[[Connection], Peer], seed: int, usual: Weather | None = None
    ) -> None:
        self.clock, self.peer, self.rng = clock, peer, random.Random(seed)
        self.to_party, self.to_sidecar = (replace(usual or Weather()) for _ in range(2))
        self.connections: set[Connection] = set()
        self.host, self.port = host, 0
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Listen, at a port of the kernel's choice the first time and at the same one ever after."""
        if self._socket is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((self.host, self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]
        self._socket = sock
        if self._cut:
            self._fill()
        else:
            self.clock.loop.add_reader(sock.fileno(), self._accept)

    def refuse(self) -> None:
        """From now on connecting is refused; open connections are for the caller to break."""
        self._let_fillers_go()
        if self._socket is not None:
            self.clock.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def cut(self, to_party: bool, to_sidecar: bool) -> None:
        was = self._cut
        self.to_party.cut += int(to_party)
        self.to_sidecar.cut += int(to_sidecar)
        if self._cut and not was and self._socket is not None:
            self._accept()
            self._fill()

    def mend(self, to_party: bool, to_sidecar: bool) -> None:
        self.to_party.cut -= int(to_party)
        self.to_sidecar.cut -= int(to_sidecar)
        if not self._cut and self._socket is not None:
            self._let_fillers_go()
            self._socket.listen(BACKLOG)
            self.clock.loop.add_reader(self._socket.fileno(), self._accept)
        for connection in list(self.connections):
            for meant, inbound, weather in ((to_party, True, self.to_party), (to_sidecar, False, self.to_sidecar)):
                if meant and not weather.cut:
                    connection.mend(inbound)

    def abort_all(self) -> None:
        """Those behind a cut stay, as nobody can be told; mending tells them."""
        for connection in list(self.connections):
            connection.abort()
            if not self.to_sidecar.cut:
                self.connections.discard(connection)

    def close(self) -> None:
        self.refuse()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @property
    def _cut(self) -> bool:
        """A connection needs both ways to come up."""
        return bool(self.to_party.cut or self.to_sidecar.cut)

    def _accept(self) -> None:
        while self._socket is not None:
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task: asyncio.Task[object] = self.clock.loop.create_task(
                self.clock.loop.connect_accepted_socket(lambda: Connection(self), sock)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _fill(self) -> None:
        """Hazard: with room in its queue the kernel would complete connections that nobody accepts."""
        assert self._socket is not None
        self.clock.loop.remove_reader(self._socket.fileno())
        self._socket.listen(0)
        for _ in range(FILL_TRIES):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    def _let_fillers_go(self) -> None:
        """Those that came up are accepted and closed; a sidecar's own that waits in the queue is reset with them,
        as on a machine that is back and knows nothing of it."""
        fillers, self._fillers = self._fillers, []
        for filler in fillers:
            filler.close()
        while self._socket is not None and fillers:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                break
            with contextlib.suppress(OSError):
                sock.close()
