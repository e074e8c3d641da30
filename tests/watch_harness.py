"""An endpoint watcher whose peer, the discovery service, is played by the test."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from garnetusher.policy.events import EndpointStatus, EndpointsUpdated
from garnetusher.sidecar.addresses import Address
from garnetusher.sidecar.discovery.endpoint_list import EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher, WatchConnection
from tests.policy_host import PolicyHost

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a response body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class FakeTransport(asyncio.Transport):
    """A transport that records what is written to it and delivers nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.sent, self.aborted, self.paused = b"", False, False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def write(self, data: Any) -> None:
        self.sent += data

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


class WatcherHarness:
    """An endpoint watcher without a peer; the test acts as discovery and decides when a connection is established."""

    def __init__(self) -> None:
        self.updates: list[tuple[int, list[tuple[str, EndpointStatus]]]] = []
        self.endpoint_list = EndpointList(["a"], ["m"])
        self.watcher = EndpointWatcher(("127.0.0.1", 1), self.endpoint_list, self.on_update)

    async def watch_permanently(self) -> FakeTransport:
        self.watcher.watch_permanently()
        return self.connect()

    def connect(self) -> FakeTransport:
        """Establish the connection of the current watch."""
        watch, transport = self.watch(), FakeTransport()
        if self.watcher.connect_task is not None:
            self.watcher.connect_task.cancel()  # nothing listens at this address
        watch.connection_made(transport)
        return transport

    def watch(self) -> WatchConnection:
        assert self.watcher.watch is not None
        return self.watcher.watch

    def on_update(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        uids = {endpoint_id: uid for uid, endpoint_id in self.endpoint_list.endpoint_ids.items()}
        self.updates.append((event.version, [(str(uids.get(e.id, "gone")), e.status) for e in event.endpoints]))

    def deliver_to(self, policy: PolicyHost) -> None:
        """Pass the updates to a policy instead of recording them."""

        def on_update(event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
            policy.deliver(event)

        self.watcher.listener = on_update

    def stop(self) -> None:
        self.watcher.watches_permanently = False
        self.watcher.stop()


def lines(*lists: object, indent: int | None = None) -> bytes:
    return b"".join(json.dumps(document, indent=indent).encode() + b"\n" for document in lists)
