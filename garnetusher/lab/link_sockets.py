"""Sockets behind simulated links: each pair of a node and a sidecar has its own listening socket and its own link.

A node is an upstream or the discovery service. The stand-in for the node runs in the same process as the link, so data
is not copied through another process. A cut closes no connection: the link holds back the data of each direction that
is cut, and new connections are not established. To prevent new connections, the listener fills the accept queue of its
socket, so that the kernel drops further connection requests (`listen(2)` with a backlog of 0).
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

from garnetusher.errors import GarnetusherError
from garnetusher.lab.run_clock import RunClock
from garnetusher.model.link import LinkConditions, StreamLink

BACKLOG = 512  # the backlog of a listening socket while its link is not cut
FILLER_CONNECTIONS = 4  # one fills a queue with a backlog of 0; the others are a safety margin
MIN_DELAY_US = 400  # shorter delays are not simulated: the timers of the event loop have a resolution of 1 ms


class UnexpectedTransportError(GarnetusherError):
    """The event loop passed a connection a transport that is not a byte stream."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        super().__init__(f"connection: expected a stream transport, got {type(transport).__name__}")


class ConnectionHandler(Protocol):
    """The node's end of a connection."""

    def data_arrived(self, data: bytes) -> None:
        """Handle bytes that the link has delivered."""

    def closed_by_sidecar(self) -> None:
        """Handle the close of the connection by the sidecar; a close during a cut is reported after the cut."""

    def data_undelivered(self, data: bytes) -> None:
        """Handle bytes that the sidecar sent during a cut; the link holds them back."""


def _passes_at_once(link: StreamLink) -> bool:
    """Return whether data sent now arrives now, because its delay is below the resolution of the timers."""
    conditions = link.conditions
    return conditions.delay_us < MIN_DELAY_US and not (
        conditions.cut or conditions.loss or conditions.bytes_per_s or link.bytes_in_transit
    )


class Connection(asyncio.Protocol):
    """The node's end of one connection, behind the link.

    Attributes:
        listener: The listener that has accepted the connection.
        transport: The transport, once the connection is established.
        handler: The node's handler of the connection.
    """

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self._clock = listener.clock
        self._inbound = StreamLink(listener.to_node, listener.rng)
        self._outbound = StreamLink(listener.to_sidecar, listener.rng)
        # One entry for each write in `_outbound`; None for a write without a callback.
        self._delivery_callbacks: deque[Callable[[], None] | None] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._closed_by_sidecar = False
        self._close_reported = False
        self._closed_by_node = False
        self.handler = listener.make_handler(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        if not isinstance(transport, asyncio.Transport):
            raise UnexpectedTransportError(transport)
        self.transport = transport
        self.listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Send data of the sidecar through the link; called by the event loop."""
        if self.listener.to_node.cut:
            self.handler.data_undelivered(data)
        if self._closed_by_node:
            return
        if not self.listener.to_node.cut and _passes_at_once(self._inbound):
            self.handler.data_arrived(data)
            return
        self._inbound.send(self._clock.now_us(), data)
        self._deliver()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the close of the connection by the sidecar; called by the event loop."""
        self._closed_by_sidecar = True
        if self.listener.to_node.cut or self._closed_by_node:
            # The held data is lost: a sidecar that has closed the connection retransmits nothing.
            self._inbound = StreamLink(self.listener.to_node, self.listener.rng)
        self._deliver()

    def write(self, data: bytes, on_delivered: Callable[[], None] | None = None) -> None:
        """Send data to the sidecar; `on_delivered` is called when the link has delivered the data."""
        if self._closed_by_node or self._closed_by_sidecar or self.transport is None:
            return
        if _passes_at_once(self._outbound):
            self.transport.write(data)
            if on_delivered is not None:
                on_delivered()
            return
        self._outbound.send(self._clock.now_us(), data)
        self._delivery_callbacks.append(on_delivered)
        self._deliver()

    def close(self) -> None:
        """Close the connection after all written data is delivered."""
        self._closed_by_node = True
        if self.transport is not None and not self._outbound.bytes_in_transit:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection; during a cut the reset can't reach the sidecar, so the transport stays open."""
        self._closed_by_node = True
        if self.transport is not None and not self.listener.to_sidecar.cut:
            self.transport.abort()

    def restore_to_node(self) -> None:
        """Resume delivery to the node after a cut."""
        self._inbound.end_cut(self._clock.now_us())
        self._deliver()

    def restore_to_sidecar(self) -> None:
        """Resume delivery to the sidecar after a cut; a reset that was held back is sent now."""
        self._outbound.end_cut(self._clock.now_us())
        if self._closed_by_node and self.transport is not None:
            self.transport.abort()
        self._deliver()

    def _deliver(self) -> None:
        """Deliver the data that is due, in both directions."""
        now_us = self._clock.now_us()
        self._deliver_to_node(now_us)
        self._deliver_to_sidecar(now_us)
        self._close_transport_when_done()
        self._report_close_when_done()
        self._set_timer()

    def _deliver_to_node(self, now_us: int) -> None:
        for data in self._inbound.take_arrived(now_us):
            if not self._closed_by_node:
                self.handler.data_arrived(data)

    def _deliver_to_sidecar(self, now_us: int) -> None:
        for data in self._outbound.take_arrived(now_us):
            on_delivered = self._delivery_callbacks.popleft()
            if self.transport is not None and not self._closed_by_sidecar:
                self.transport.write(data)
                if on_delivered is not None:
                    on_delivered()

    def _close_transport_when_done(self) -> None:
        blocked = self._outbound.bytes_in_transit or self.listener.to_sidecar.cut
        if self._closed_by_node and self.transport is not None and not blocked:
            self.transport.close()

    def _report_close_when_done(self) -> None:
        blocked = self._inbound.bytes_in_transit or self.listener.to_node.cut
        if self._closed_by_sidecar and not self._close_reported and not blocked:
            self._close_reported = True
            self.listener.connections.discard(self)
            self.handler.closed_by_sidecar()

    def _set_timer(self) -> None:
        times_us = [t for t in (self._inbound.next_arrival_us(), self._outbound.next_arrival_us()) if t is not None]
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if times_us:
            self._timer = self._clock.at(min(times_us), self._deliver)


class Listener:
    """The listening socket of one pair of a node and a sidecar, and the conditions of its link in both directions.

    Attributes:
        clock: The clock of the run.
        make_handler: Creates the node's handler of a new connection.
        rng: The random number generator of the links.
        to_node: The conditions from the sidecar to the node.
        to_sidecar: The conditions from the node to the sidecar.
        connections: The open connections.
        host: The IP address of the socket.
        port: The port; 0 before the first `open`.
    """

    def __init__(
        self,
        clock: RunClock,
        host: str,
        make_handler: Callable[[Connection], ConnectionHandler],
        seed: int,
        normal_conditions: LinkConditions | None = None,
    ) -> None:
        self.clock = clock
        self.make_handler = make_handler
        self.rng = random.Random(seed)
        self.to_node = replace(normal_conditions or LinkConditions())
        self.to_sidecar = replace(normal_conditions or LinkConditions())
        self.connections: set[Connection] = set()
        self.host = host
        self.port = 0
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []  # the connections that fill the accept queue during a cut
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Start to listen; the kernel chooses a port the first time, and later calls use the same port."""
        if self._socket is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)  # noqa: FBT003 - the signature of the socket module
        sock.bind((self.host, self.port))
        sock.listen(BACKLOG)
        self.port = sock.getsockname()[1]
        self._socket = sock
        if self._any_direction_cut:
            self._fill_accept_queue(sock)
        else:
            self.clock.loop.add_reader(sock.fileno(), self._accept)

    def refuse(self) -> None:
        """Refuse new connections; open connections are not closed."""
        self._empty_accept_queue()
        if self._socket is not None:
            self.clock.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def cut(self, *, to_node: bool, to_sidecar: bool) -> None:
        """Cut the given directions; a direction stays cut until `restore` ends each of its cuts."""
        was_cut = self._any_direction_cut
        self.to_node.cut += int(to_node)
        self.to_sidecar.cut += int(to_sidecar)
        if self._any_direction_cut and not was_cut and self._socket is not None:
            self._accept()
            self._fill_accept_queue(self._socket)

    def restore(self, *, to_node: bool, to_sidecar: bool) -> None:
        """End one cut of each given direction; a direction is restored when all its cuts have ended."""
        self.to_node.cut -= int(to_node)
        self.to_sidecar.cut -= int(to_sidecar)
        if not self._any_direction_cut and self._socket is not None:
            self._empty_accept_queue()
            self._socket.listen(BACKLOG)
            self.clock.loop.add_reader(self._socket.fileno(), self._accept)
        for connection in list(self.connections):
            if to_node and not self.to_node.cut:
                connection.restore_to_node()
            if to_sidecar and not self.to_sidecar.cut:
                connection.restore_to_sidecar()

    def abort_all(self) -> None:
        """Reset all connections; during a cut, the resets reach the sidecar after the cut."""
        for connection in list(self.connections):
            connection.abort()
            if not self.to_sidecar.cut:
                self.connections.discard(connection)

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self.refuse()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    @property
    def _any_direction_cut(self) -> bool:
        """Whether either direction is cut; a new connection needs both directions."""
        return bool(self.to_node.cut or self.to_sidecar.cut)

    def _accept(self) -> None:
        while self._socket is not None:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setblocking(False)  # noqa: FBT003 - the signature of the socket module
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task: asyncio.Task[object] = self.clock.loop.create_task(
                self.clock.loop.connect_accepted_socket(lambda: Connection(self), sock)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _fill_accept_queue(self, listening_socket: socket.socket) -> None:
        """Fill the accept queue; otherwise the kernel would establish connections that are never accepted."""
        self.clock.loop.remove_reader(listening_socket.fileno())
        listening_socket.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)  # noqa: FBT003 - the signature of the socket module
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    def _empty_accept_queue(self) -> None:
        """Close the filler connections, and accept and close all queued connections.

        A sidecar's connection in the queue is closed too, as after a restart of the machine. A queue without filler
        connections is left as it is.
        """
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
