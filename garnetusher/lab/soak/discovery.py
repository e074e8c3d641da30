"""Simulated discovery agents of the soak.

There is one agent for each sidecar. It sends the endpoint list and its changes, except while a fault prevents this. The
sidecar either keeps a watch open (mode `pushed`), or polls when it needs the list (mode `on_request`).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from garnetusher.lab.soak.list_styles import PLAIN_STYLE, ListStyle, chunks
from garnetusher.lab.soak.plan import cell_of, zone_of
from garnetusher.lab.soak.records import EndpointChange, EndpointStatus, Records, now_s

KEEPALIVE_S = 2.0  # a watch without changes receives an empty line at this interval
OLD_ADDRESS_OPEN_S = 1.5  # watches at an old address are closed this long after the agent moves to a new address
KNOWN_AFTER_RELOAD_S = 4.0  # a sidecar has to know the endpoint list at most this long after SIGHUP
# A sidecar has to know the endpoint list at most this long after its watch falls silent or discovery becomes
# reachable again.
KNOWN_AFTER_SILENCE_S = 6.0
NEVER_RELOADED_S = -1e9
LISTS_IN_SERIES = 5
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class ListedEndpoint:
    """The endpoint list entry of one upstream."""

    number: int
    host: str
    port: int
    status: EndpointStatus
    boot_ms: int  # the start of the upstream, in milliseconds since the epoch; 0 = long ago

    def entry(self) -> dict[str, Any]:
        """Return the endpoint as an entry of the JSON list."""
        return {
            "uid": f"u{self.number}",
            "endpoint": f"{self.host}:{self.port}",
            "az": zone_of(self.number),
            "model": "m",
            "pod_group": cell_of(self.number),
            "state": self.status.value,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


@dataclass(frozen=True, slots=True)
class EncodedSnapshot:
    """The whole list of a version as it is sent in a style."""

    version: int
    style: ListStyle
    data: bytes


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change of an endpoint that an agent does not know yet."""

    upstream: int
    status: EndpointStatus
    boot_ms: int


class DiscoveryAgent:
    """The discovery agent of one sidecar."""

    def __init__(self, sidecar: int, host: str, records: Records, ports: list[int], *, pushed: bool) -> None:
        self.port = 0
        self.sent_bytes = 0  # the size of all lists and changes sent
        self.style = PLAIN_STYLE
        # This event is set once the kernel has the whole list of a watch that began after the last change of the style.
        self.whole_list_written = asyncio.Event()
        self._snapshot = EncodedSnapshot(0, PLAIN_STYLE, b"")
        self._sidecar = sidecar
        self._host = host
        self._records = records
        self._pushed = pushed
        self._loop = asyncio.get_running_loop()
        self._endpoints = [
            ListedEndpoint(number, host, port, EndpointStatus.ACTIVE, 0) for number, port in enumerate(ports)
        ]
        self._version = 1
        self._watches: list[asyncio.StreamWriter] = []
        # This event is cleared during an outage, in which the agent sends nothing and keeps all changes in `_pending`.
        self._reachable = asyncio.Event()
        self._reachable.set()
        self._pending: list[PendingChange] = []  # the changes of an outage, of which the agent does not know yet
        self._silent_watches: set[asyncio.StreamWriter] = set()
        self._silent_since_s = 0.0
        self._reloaded_s = NEVER_RELOADED_S
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Listen on a new port; the sidecar's configuration has to contain it."""
        server = await asyncio.start_server(self._serve, self._host, 0, family=socket.AF_INET)
        self._servers.append(server)
        self.port = int(server.sockets[0].getsockname()[1])

    async def change_address(self) -> None:
        """Listen on a new port; stop accepting on the old port, and close its watches after a delay."""
        old_servers = list(self._servers)
        old_watches = list(self._watches)
        await self.open()
        for server in old_servers:
            server.close()
        self._servers = self._servers[-1:]
        self._loop.call_later(OLD_ADDRESS_OPEN_S, _abort_all, old_watches)
        self._reloaded_s = now_s()

    def snapshot(self) -> dict[str, Any]:
        """Return the complete list as a JSON object."""
        return {
            "rev": self._version,
            "all": True,
            "targets": [endpoint.entry() for endpoint in self._endpoints if endpoint.status != EndpointStatus.REMOVED],
        }

    def change(self, upstream: int, status: EndpointStatus, boot_ms: int) -> None:
        """Change an endpoint, and send the change unless there is an outage."""
        change = PendingChange(upstream, status, boot_ms)
        if self._reachable.is_set():
            self._apply(change)
        else:
            self._pending.append(change)

    def _apply(self, change: PendingChange) -> EndpointChange:
        """Change an endpoint, send the change, and return its record."""
        endpoint = self._endpoints[change.upstream]
        endpoint.status = change.status
        endpoint.boot_ms = change.boot_ms
        return self._publish(endpoint)

    def start_outage(self) -> None:
        """Abort all watches; until the outage ends, connections are accepted but receive no response."""
        self._reachable.clear()
        _abort_all(self._watches)

    def end_outage(self) -> None:
        """Respond to connections again, and send the changes of the outage."""
        self._reachable.set()
        for pending in self._pending:
            change = self._apply(pending)
            change.notified_by_s = max(change.notified_by_s, now_s() + KNOWN_AFTER_SILENCE_S)
            if pending.status != EndpointStatus.ACTIVE:
                change.known_by_s = change.notified_by_s
        self._pending.clear()

    def reset_watches(self) -> None:
        """Abort all watches."""
        _abort_all(self._watches)

    def change_style(self, style: ListStyle) -> None:
        """Write all lists in a style from now on, and end the watches; the next ones begin with the whole list."""
        self.style = style
        self.whole_list_written.clear()
        for writer in set(self._watches) - self._silent_watches:
            writer.write(LAST_CHUNK)
            writer.close()

    def send_series(self, count: int = LISTS_IN_SERIES) -> None:
        """Send the whole list several times in a row on all watches, and a change without entries after each."""
        for writer in self._watches:
            for _ in range(count):
                self._send(writer, self.encode_snapshot(self.style))
                self._send(writer, self.style.encode(self._delta([])))

    def encode_snapshot(self, style: ListStyle) -> bytes:
        """Return the whole list in a style; it is kept until it changes, as encoding a long list takes a while."""
        if (self._snapshot.version, self._snapshot.style) != (self._version, style):
            self._snapshot = EncodedSnapshot(self._version, style, style.encode(self.snapshot()))
        return self._snapshot.data

    def change_silently(self, upstreams: Iterable[int], status: EndpointStatus) -> None:
        """Change endpoints without sending the changes; only whole lists that are sent later have them."""
        self._version += 1
        for number in upstreams:
            self._endpoints[number].status = status

    def change_all(self, upstreams: Iterable[int], status: EndpointStatus) -> None:
        """Change endpoints and send one change for each."""
        for number in upstreams:
            self.change(number, status, self._endpoints[number].boot_ms)

    async def flush(self) -> float:
        """Return the time at which the kernel has all that was sent on the watches."""
        for writer in self._watches:
            await writer.drain()
        return now_s()

    def silence_watches(self) -> None:
        """Send nothing more on the current watches, which stay open."""
        self._silent_watches |= set(self._watches)
        self._silent_since_s = now_s()

    def close(self) -> None:
        """Close the listener and all watches."""
        _abort_all(self._watches)
        for server in self._servers:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection as a watch."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            while not self._reachable.is_set():
                await self._reachable.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.transport.set_write_buffer_limits(high=0)  # `drain` waits until the kernel has all bytes
            self._watches.append(writer)
            self._send(writer, self.encode_snapshot(self.style))
            await writer.drain()
            self.whole_list_written.set()
            await self._keep_alive(reader, writer)
        if writer in self._watches:
            self._watches.remove(writer)
        writer.transport.abort()

    async def _keep_alive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send empty lines until the sidecar closes the watch."""
        while not writer.is_closing():
            try:
                await asyncio.wait_for(reader.read(1), KEEPALIVE_S)
            except TimeoutError:
                if self._reachable.is_set():
                    self._send(writer, chunks(b"\n", self.style.part_size))
            else:
                return

    def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if writer in self._silent_watches or writer.is_closing():
            return
        writer.write(data)
        self.sent_bytes += len(data)

    def _publish(self, endpoint: ListedEndpoint) -> EndpointChange:
        self._version += 1
        for writer in self._watches:
            self._send(writer, self.style.encode(self._delta([endpoint])))
        change = self._recorded_change(endpoint)
        self._records.endpoint_changes.append(change)
        return change

    def _delta(self, changed: list[ListedEndpoint]) -> dict[str, Any]:
        return {"rev": self._version, "all": False, "targets": [endpoint.entry() for endpoint in changed]}

    def _recorded_change(self, endpoint: ListedEndpoint) -> EndpointChange:
        """Return the record of a change that is sent now.

        The sidecar may use an active endpoint as soon as the change is sent, so it is known from the time of sending.
        """
        sent_s = now_s()
        known_by_s = self._known_by_s(sent_s)
        if endpoint.status != EndpointStatus.ACTIVE:
            return EndpointChange(self._sidecar, endpoint.number, endpoint.status, known_by_s, known_by_s)
        notified_by_s = known_by_s if self._watches else sent_s + KNOWN_AFTER_SILENCE_S
        return EndpointChange(self._sidecar, endpoint.number, endpoint.status, sent_s, notified_by_s)

    def _known_by_s(self, sent_s: float) -> float:
        """Return the latest time at which the sidecar has to know of a change that is sent at a time."""
        known_by_s = max(sent_s, self._reloaded_s + KNOWN_AFTER_RELOAD_S)
        if self._silent_watches:
            known_by_s = max(known_by_s, self._silent_since_s + KNOWN_AFTER_SILENCE_S)
        if not self._pushed and not self._watches:
            known_by_s = max(known_by_s, sent_s + KNOWN_AFTER_SILENCE_S)
        return known_by_s


def _abort_all(writers: list[asyncio.StreamWriter]) -> None:
    for writer in writers:
        writer.transport.abort()
