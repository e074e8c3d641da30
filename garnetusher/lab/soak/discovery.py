"""Discovery of the soak: an agent for each sidecar, which tells its list and its changes, or is silent."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from dataclasses import dataclass
from typing import Any

from garnetusher.lab.soak.records import Change, Records, now_s

EMPTY_LINE_S = 2.0
OLD_CLOSES_S = 1.5  # after a new configuration, the old address closes what is open
AFTER_RELOAD_S = 4.0  # what discovery has counts as told so long after SIGHUP
AFTER_SILENCE_S = 6.0  # and so long after a watch fell silent, or after it could be reached again


@dataclass
class Entry:
    """One upstream as the list has it."""

    uid: str
    host: str
    port: int
    state: str
    boot_ms: int
    cell: int

    def line(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{self.host}:{self.port}",
            "az": "ab"[self.cell % 2],
            "model": "m",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


class Agent:
    """The agent beside one sidecar."""

    def __init__(self, sidecar: int, host: str, records: Records, ports: list[int], pushed: bool) -> None:
        self.sidecar, self.host, self.records, self.pushed = sidecar, host, records, pushed
        self.loop = asyncio.get_running_loop()
        self.entries = [Entry(f"u{number}", host, port, "active", 0, number // 2) for number, port in enumerate(ports)]
        self.version = 1
        self.watches: list[asyncio.StreamWriter] = []
        self.out = False  # discovery is down: the agent is silent and learns nothing
        self.unsent: list[Entry] = []  # changes of an outage
        self.silent_since_s = 0.0  # of the watches that are open; 0: they talk
        self.silent: set[asyncio.StreamWriter] = set()
        self.reloaded_s = -1e9
        self.told_bytes = 0  # of lists and changes
        self.servers: list[asyncio.Server] = []
        self.port = 0

    async def open(self) -> None:
        """Listen at a new port; the sidecar's file names it."""
        server = await asyncio.start_server(self.serve, self.host, 0, family=socket.AF_INET)
        self.servers.append(server)
        self.port = int(server.sockets[0].getsockname()[1])

    async def move(self) -> None:
        """A new address; the old one takes nobody and closes its watches soon."""
        old, watches = list(self.servers), list(self.watches)
        await self.open()
        for server in old:
            server.close()
        self.servers = self.servers[-1:]
        self.loop.call_later(OLD_CLOSES_S, self.drop, watches)
        self.reloaded_s = now_s()

    def drop(self, watches: list[asyncio.StreamWriter]) -> None:
        for writer in watches:
            writer.transport.abort()

    def listing(self) -> dict[str, Any]:
        return {
            "rev": self.version,
            "all": True,
            "targets": [entry.line() for entry in self.entries if entry.state != "left"],
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call: a watch."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            while self.out:
                await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            self.say(writer, self.listing())
            while not writer.is_closing():
                try:
                    await asyncio.wait_for(reader.read(1), EMPTY_LINE_S)
                    break
                except TimeoutError:
                    if not self.out:
                        self.say(writer, None)
        if writer in self.watches:
            self.watches.remove(writer)
        writer.transport.abort()

    def say(self, writer: asyncio.StreamWriter, lines: object) -> None:
        if writer in self.silent or writer.is_closing():
            return
        data = (json.dumps(lines).encode() if lines is not None else b"") + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.told_bytes += len(data)

    def change(self, number: int, state: str, boot_ms: int) -> None:
        """Discovery has news of one upstream."""
        entry = self.entries[number]
        entry.state, entry.boot_ms = state, boot_ms
        if self.out:
            self.unsent.append(entry)
        else:
            self.tell(entry)

    def tell(self, entry: Entry) -> None:
        self.version += 1
        for writer in self.watches:
            self.say(writer, {"rev": self.version, "all": False, "targets": [entry.line()]})
        if entry.state == "active":  # it may be sent to from the first moment in which that may have arrived
            self.records.changes.append(Change(self.sidecar, int(entry.uid[1:]), entry.state, now_s()))
            return
        told_s = max(now_s(), self.reloaded_s + AFTER_RELOAD_S)
        if self.silent:
            told_s = max(told_s, self.silent_since_s + AFTER_SILENCE_S)
        if not self.pushed and not self.watches:
            told_s = max(told_s, now_s() + AFTER_SILENCE_S)
        self.records.changes.append(Change(self.sidecar, int(entry.uid[1:]), entry.state, told_s))

    def go_out(self) -> None:
        self.out = True
        self.drop(self.watches)

    def come_back(self) -> None:
        self.out = False
        for entry in self.unsent:
            self.tell(entry)
            if entry.state != "active":
                self.records.changes[-1].told_s = max(self.records.changes[-1].told_s, now_s() + AFTER_SILENCE_S)
        self.unsent.clear()

    def fall_silent(self) -> None:
        """The watches that are open say nothing any more, and stay open."""
        self.silent |= set(self.watches)
        self.silent_since_s = now_s()

    def close(self) -> None:
        self.drop(self.watches)
        for server in self.servers:
            server.close()
