"""A stand-in for the discovery service; it implements the protocol for snapshots and watches.

Each sidecar reaches the stand-in at a separate address, through a separate link.
"""

from __future__ import annotations

import json
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools
from msgspec import structs

from garnetusher.lab import link_sockets
from garnetusher.lab.run_clock import RunClock
from garnetusher.lab.sidecar_settings import STANDARD_MODEL
from garnetusher.model import draw
from garnetusher.model.experiment import Directory
from garnetusher.model.link import LinkConditions
from garnetusher.model.plan import LONG_AGO, ListStep, Plan
from garnetusher.model.records import DiscoveryCalled, ListUpdateSent

KEEPALIVE_INTERVAL_S = 2.0  # the time between the empty lines that keep a watch alive
MAX_STORED_CHANGES = 1000  # a watch that needs older changes receives a snapshot
HOSTS_PATH = "/discovery/hosts"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
OVERLOADED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SNAPSHOT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def endpoint_entry(uid: str, zone: str, endpoint: str, state: str, boot_ms: int) -> dict[str, Any]:
    """Return the entry of an upstream in the endpoint list, as the discovery protocol defines it."""
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": zone,
        "model": STANDARD_MODEL,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class SidecarConnection:
    """A sidecar's connection to discovery."""

    def __init__(self, server: DiscoveryServer, sidecar: str, link_connection: link_sockets.Connection) -> None:
        self.server = server
        self.sidecar = sidecar
        self.link_connection = link_connection
        self.closed = False
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""

    # Callbacks of the link

    def data_arrived(self, data: bytes) -> None:
        """Parse bytes that the link has delivered."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.link_connection.abort()

    def closed_by_sidecar(self) -> None:
        """End the watch of this connection."""
        self.closed = True
        self.server.watchers.pop(self, None)

    def data_undelivered(self, data: bytes) -> None:
        """Do nothing: calls that the sidecar sends while the link is cut are not recorded."""

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Pass a complete request to the server."""
        target, self._target = self._target.decode("latin-1"), b""
        self.server.request_received(self, target)

    # Methods for the server

    def send_watch_event(self, document: dict[str, Any], steps: list[ListStep]) -> None:
        """Send an event to a watching sidecar; `steps` are the changes that the event contains."""
        self._send_chunk(json.dumps(document).encode() + b"\n", steps)

    def send_keepalive(self) -> None:
        """Send an empty line, which keeps a watch without changes alive."""
        self._send_chunk(b"\n", [])

    def _send_chunk(self, data: bytes, steps: list[ListStep]) -> None:
        chunk = b"%x\r\n%s\r\n" % (len(data), data)
        self.link_connection.write(chunk, partial(self.server.record_delivery, self.sidecar, steps))


class DiscoveryServer:
    """The discovery service: the endpoint list, its recent changes, and the sidecars that poll or watch the list.

    Attributes:
        watchers: The connections with a watch, and the last revision sent to each one.
        listeners: The listening socket of each sidecar.
    """

    def __init__(self, clock: RunClock, plan: Plan, addresses: dict[str, dict[str, str]], settings: Directory) -> None:
        self.clock = clock
        self.plan = plan
        self.watchers: dict[SidecarConnection, int] = {}
        self.listeners: dict[str, link_sockets.Listener] = {}
        self._addresses = addresses
        self._settings = settings
        self._max_push_delay_us = round(settings.spread_ms * 1000)
        self._busy_until_us = 0  # the time at which the last call in the queue is answered
        self._unix_zero_ms = 0  # the wall clock time at the start of the run, in Unix milliseconds
        self._revision = 1
        # The current entries by uid, each as the last change of the entry.
        self._listed: dict[str, ListStep] = {
            upstream.uid: ListStep(0, upstream.uid, upstream.zone, "active")
            for upstream in plan.upstreams
            if upstream.from_us == 0
        }
        self._changes: list[tuple[int, ListStep]] = []  # the latest changes, each with its revision

    def open_listener(self, sidecar: str, host: str, normal_conditions: LinkConditions) -> None:
        """Open the listener for one sidecar."""
        seed = int(draw.uniform(self.plan.seed, "link", "directory", sidecar) * 2**32)
        listener = link_sockets.Listener(
            self.clock,
            host,
            lambda link_connection: SidecarConnection(self, sidecar, link_connection),
            seed,
            normal_conditions,
        )
        listener.open()
        self.listeners[sidecar] = listener

    def begin(self, unix_zero_ms: int) -> None:
        """Schedule the changes of the endpoint list; `unix_zero_ms` is the wall clock time at the start of the run."""
        self._unix_zero_ms = unix_zero_ms
        for step in self.plan.listed:
            self.clock.at(step.at_us, self._change_list, step)
        self._send_keepalives()

    def close(self) -> None:
        """Close all sockets."""
        for listener in self.listeners.values():
            listener.close()

    # Calls

    def request_received(self, connection: SidecarConnection, target: str) -> None:
        """Answer a call after all calls in the queue; reject the call if the queue is full."""
        call_us = int(self._settings.call_ms * 1000)
        now_us = self.clock.now_us()
        if not call_us:
            self._answer(connection, target)
        elif self._busy_until_us - now_us > self._settings.calls_waiting * call_us:
            self.clock.write(DiscoveryCalled(now_us, connection.sidecar, "turned away"))
            connection.link_connection.write(OVERLOADED_RESPONSE)
        else:
            self._busy_until_us = max(now_us, self._busy_until_us) + call_us
            self.clock.at(self._busy_until_us, self._answer, connection, target)

    def _answer(self, connection: SidecarConnection, target: str) -> None:
        if connection.closed:  # the sidecar closed the connection while the call was in the queue
            return
        url = urlsplit(target)
        if url.path != HOSTS_PATH:
            connection.link_connection.write(NOT_FOUND_RESPONSE)
            return
        query = parse_qs(url.query)
        watching = query.get("follow") == ["1"]
        self.clock.write(DiscoveryCalled(self.clock.now_us(), connection.sidecar, "watch" if watching else "whole"))
        if watching:
            self._start_watch(connection, int(query.get("since", ["0"])[0]))
        else:
            self._send_snapshot(connection)

    def _send_snapshot(self, connection: SidecarConnection) -> None:
        body = json.dumps(self._snapshot(connection.sidecar)).encode()
        sent_steps = list(self._listed.values())  # the list may change before the link delivers the snapshot
        connection.link_connection.write(
            SNAPSHOT_HEAD % len(body) + body, partial(self.record_delivery, connection.sidecar, sent_steps)
        )

    def _start_watch(self, connection: SidecarConnection, since: int) -> None:
        connection.link_connection.write(WATCH_HEAD)
        oldest = self._changes[0][0] if self._changes else self._revision + 1
        if since == self._revision:
            connection.send_keepalive()
        elif since > self._revision or since + 1 < oldest:
            connection.send_watch_event(self._snapshot(connection.sidecar), list(self._listed.values()))
        else:
            self._send_delta(connection, since)
        self.watchers[connection] = self._revision

    def record_delivery(self, sidecar: str, steps: list[ListStep]) -> None:
        """Record that changes of the list have been delivered to a sidecar."""
        now_us = self.clock.now_us()
        for step in steps:
            self.clock.write(ListUpdateSent(now_us, sidecar, step.uid, step.state, step.started_us))

    # Endpoint list

    def _document(self, sidecar: str, steps: list[ListStep], *, snapshot: bool) -> dict[str, Any]:
        targets = [
            endpoint_entry(step.uid, step.zone, self._addresses[step.uid][sidecar], step.state, self._boot_ms(step))
            for step in steps
        ]
        return {"rev": self._revision, "all": snapshot, "targets": targets}

    def _boot_ms(self, step: ListStep) -> int:
        """Return the start time of an upstream in Unix milliseconds; 0, which is long ago, if no step states it."""
        return 0 if step.started_us == LONG_AGO else self._unix_zero_ms + step.started_us // 1000

    def _snapshot(self, sidecar: str) -> dict[str, Any]:
        return self._document(sidecar, list(self._listed.values()), snapshot=True)

    def _change_list(self, step: ListStep) -> None:
        previous = self._listed.get(step.uid)
        if previous is not None and step.started_us == LONG_AGO:
            # The step is not a start of the upstream, so the upstream keeps its start time.
            step = structs.replace(step, started_us=previous.started_us)
        self._revision += 1
        self._changes.append((self._revision, step))
        del self._changes[:-MAX_STORED_CHANGES]
        if step.state == "left":
            self._listed.pop(step.uid, None)
        else:
            self._listed[step.uid] = step
        for connection in self.watchers:
            delay_share = draw.uniform(self.plan.seed, "spread", connection.sidecar, self._revision)
            delay_us = int(delay_share * self._max_push_delay_us)
            self.clock.at(self.clock.now_us() + delay_us, self._push, connection)

    def _push(self, connection: SidecarConnection) -> None:
        since = self.watchers.get(connection)
        if since is not None and since < self._revision:
            self._send_delta(connection, since)
            self.watchers[connection] = self._revision

    def _send_delta(self, connection: SidecarConnection, since: int) -> None:
        latest = {step.uid: step for revision, step in self._changes if revision > since}
        steps = list(latest.values())
        connection.send_watch_event(self._document(connection.sidecar, steps, snapshot=False), steps)

    def _send_keepalives(self) -> None:
        for connection in self.watchers:
            connection.send_keepalive()
        self.clock.loop.call_later(KEEPALIVE_INTERVAL_S, self._send_keepalives)
