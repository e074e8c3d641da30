"""The upstream list: discovery's entries, and the watch on their changes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections import deque
from collections.abc import Callable
from typing import Any

import httptools

from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.configuration import parse_address
from garnetusher.sidecar.discovery.start_times import StartTimes

log = logging.getLogger(__name__)

# What discovery has to tell counts as told after 6 s and allows 1 s more, whether it arrived or not: within
# that time a silent watch must be noticed and called for twice.
SILENCE_S = 3.0  # an empty line comes every 2 s
ANSWER_S = 2.5  # of a call that has not been answered: the first line may be an empty one
CALL_AGAIN_S = 0.25  # the agent answers at once and at no cost; short beside the 1 s that a drain leaves
LONGEST_LINE = 4 * 1024 * 1024
PIECE = 500  # entries taken in one go, in some 5 ms; ten thousand at once would hold up all requests for 100 ms
STATES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.REMOVED}
Address = tuple[str, int]
Listener = Callable[[EndpointsUpdated, dict[int, Address]], None]


class EndpointList:
    """Turns discovery's entries into the module's: a number for each uid, times on the module's clock."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.idents: dict[str, int] = {}
        self.last_ident = 0
        self.boot_times = StartTimes(monotonic_us)

    def read(self, lines: Any, kind: UpdateKind | None = None) -> tuple[EndpointsUpdated, dict[int, Address]]:
        """The event for one list, with the addresses of its entries; raises on what is malformed."""
        if kind is None:
            kind = UpdateKind.SNAPSHOT if lines["all"] else UpdateKind.DELTA
        self.observe(lines)
        entries, addresses = [], {}
        for line in lines["targets"]:
            entry, addresses_of = self.entry(line)
            entries.append(entry)
            addresses[entry.id] = addresses_of
        if kind is not UpdateKind.DELTA:
            listed = {line["uid"] for line in lines["targets"]}
            for uid in [uid for uid in self.idents if uid not in listed]:
                self.forget(uid)
        for line in lines["targets"]:
            if STATES[line["state"]] is EndpointStatus.REMOVED:
                self.forget(line["uid"])
        return EndpointsUpdated(kind, entries, int(lines["rev"])), addresses

    def forget(self, uid: str) -> None:
        self.idents.pop(uid, None)
        self.boot_times.forget(uid)

    def observe(self, lines: Any) -> None:
        """What a list tells of the time of day; of the whole of a long one, before its first piece is read."""
        self.boot_times.observe(int(line["boot_ms"]) for line in lines["targets"])

    def pieces(self, lines: Any) -> list[Any]:
        """A long list as changes of a few entries each, to be read one by one: first what is not listed any more."""
        targets = lines["targets"]
        self.observe(lines)
        if len(targets) <= PIECE:
            return [lines]
        if lines["all"]:
            listed = {line["uid"] for line in targets}
            targets = [
                {
                    "uid": uid,
                    "endpoint": "0.0.0.0:1",
                    "az": "",
                    "model": "",
                    "pod_group": 0,
                    "state": "left",
                    "capacity_hint": 1.0,
                    "boot_ms": 0,
                }
                for uid in self.idents
                if uid not in listed
            ] + targets
        return [
            {"rev": lines["rev"], "all": False, "targets": targets[i : i + PIECE]}
            for i in range(0, len(targets), PIECE)
        ]

    def check(self, lines: Any) -> None:
        """Raises on what is malformed in a part of a list, and takes nothing of it."""
        for line in lines["targets"]:
            hash(line["uid"])
            self.parse(line)

    def entry(self, line: Any) -> tuple[Endpoint, Address]:
        upstream, address = self.parse(line)
        uid = line["uid"]
        if uid not in self.idents:
            self.last_ident += 1
            self.idents[uid] = self.last_ident
        upstream.id = self.idents[uid]
        upstream.started_us = self.boot_times.started_us(uid, int(line["boot_ms"]))
        return upstream, address

    def parse(self, line: Any) -> tuple[Endpoint, Address]:
        """All of an entry but its number and its start; raises on what is malformed."""
        int(line["boot_ms"])
        return Endpoint(
            id=0,
            status=STATES[line["state"]],
            zone=self.zones.index(line["az"]) if line["az"] in self.zones else len(self.zones),
            machine_type=self.kinds.index(line["model"]) if line["model"] in self.kinds else len(self.kinds),
            cell=int(line["pod_group"]),
            weight=float(line["capacity_hint"]),
        ), parse_address(line["endpoint"])


class Watch(asyncio.Protocol):
    """One call for changes: it lasts until its connection ends, and then has failed."""

    def __init__(self, discovery: EndpointWatcher) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.pending = b""
        self.text = b""  # of a list that comes on several lines, those that are here
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.replaced:  # while its connection came up
            transport.abort()
            return
        host, port = self.discovery.address
        transport.write(
            b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n"
            % (self.discovery.version, host.encode(), port)
        )

    @property
    def replaced(self) -> bool:
        """Hazard: what a watch still says once another has its place is no news, and proves nothing of that one."""
        return self is not self.discovery.watch

    def data_received(self, data: bytes) -> None:
        if self.replaced:
            return
        self.answered = True
        try:
            self.parser.feed_data(data)
        except Exception as error:
            log.warning("the watch can't be read: %r", error)
            self.fail()

    def on_body(self, data: bytes) -> None:
        if self.parser.get_status_code() != 200:
            return
        self.discovery.heard()
        *lines, self.pending = (self.pending + data).split(b"\n")
        if len(self.pending) > LONGEST_LINE:
            raise ValueError("a line without end")
        for line in lines:
            if not self.replaced:  # by what the line before has led to
                self.line(line.strip())

    def line(self, line: bytes) -> None:
        """One more; raises ValueError on what is no part of a list."""
        if line:
            begun, self.text = bool(self.text), self.text + line
            if len(self.text) > LONGEST_LINE:
                raise ValueError("a list without end")
            if begun and not line.endswith(b"}"):
                return  # lists may come indented, on many lines; to try each of them would take seconds
            try:
                lists = json.loads(self.text)
            except json.JSONDecodeError as error:
                if not self.text.startswith(b"{") or error.pos < len(error.doc):
                    raise
                return
            self.text = b""
            self.discovery.changed(lists)
        elif self.text:
            raise ValueError("a list that breaks off")
        if not self.discovery.pieces:
            self.discovery.fresh.set()  # an empty line tells that nothing has changed

    def on_message_complete(self) -> None:
        self.fail()

    def connection_lost(self, error: Exception | None) -> None:
        self.fail()

    def fail(self, again: bool = False) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.discovery.ended(self, again)


class EndpointWatcher:
    """Holds the watch on the list's changes: for good, or as the module asks for it.

    Where the module asks, it is told how each call fails; a watch kept for good is called for again here, and so is,
    once, one that was answered and has fallen silent. Those of a fleet do so spread over the 2 s between empty lines.
    """

    def __init__(self, address: Address, directory: EndpointList, listener: Listener) -> None:
        self.loop = asyncio.get_running_loop()
        self.address = address
        self.endpoint_list = directory
        self.listener = listener
        self.version = 0
        self.watch: Watch | None = None
        self.dial: asyncio.Task[None] | None = None
        self.heard_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.fresh = asyncio.Event()  # it has answered once: the list is no longer what others remembered
        # what is not yet taken: (entries, version after them, whether they are only to be checked)
        self.pieces: deque[tuple[Any, int | None, bool]] = deque()
        self.watching = False  # the watch is called for again whenever it ends

    def load_cached(self, lines: Any) -> None:
        """The list as the sidecar last had it."""
        try:
            event, addresses = self.endpoint_list.read(lines, UpdateKind.CACHED)
        except Exception as error:
            # hazard: an old list that can't be read would keep the sidecar from ever asking for a new one
            log.warning("the known list can't be read: %r", error)
            return
        self.version = event.version
        self.listener(event, addresses)

    def watch_permanently(self) -> None:
        """Hazard: where changes are pushed the module never asks, and without a watch none would arrive."""
        self.watching = True
        self.watch_endpoints(True)

    def move(self, address: Address) -> None:
        """Watch at another address from now on; hazard: what the old one still says may be out of date."""
        self.address = address
        log.info("discovery has moved to %s:%d", *address)
        self.watch_endpoints(True)

    def watch_endpoints(self, active: bool) -> None:
        """Ask for changes from now on, in place of an earlier call; or stop."""
        self.stop()
        if active:
            self.watch = Watch(self)
            self.heard()
            self.timer = self.loop.call_later(ANSWER_S, self.check)
            self.dial = self.loop.create_task(self.connect(self.watch))

    def stop(self) -> None:
        watch, self.watch = self.watch, None
        if self.timer is not None:
            self.timer.cancel()
        if self.dial is not None:
            self.dial.cancel()
        if watch is not None and watch.transport is not None:
            watch.transport.abort()

    async def connect(self, watch: Watch) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *self.address)
        except (OSError, ValueError):  # or no host's name
            self.ended(watch)

    def heard(self) -> None:
        self.heard_at = self.loop.time()

    def check(self) -> None:
        """Hazard: a machine that is cut off says nothing, and its watch would stay open for ever."""
        if self.watch is None:
            return
        left = self.heard_at + (SILENCE_S if self.watch.answered else ANSWER_S) - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        else:
            log.warning("the watch is silent")
            # hazard: what it hides counts as told 6 s after it fell silent; the module's next call may be later
            self.watch.fail(again=self.watch.answered)

    def changed(self, lines: Any) -> None:
        """Take a change, or the whole list; a long one in pieces, between which requests go on, once all of them have
        been checked. Hazard: what is not yet taken would be lost if the watch were called for from its version on."""
        version = int(lines["rev"])
        if lines["all"]:
            self.pieces.clear()  # whatever has not been taken yet: this is newer
        waiting = bool(self.pieces)
        *first, last = self.endpoint_list.pieces(lines)
        if first:
            self.pieces.extend([(piece, None, True) for piece in (*first, last)])
        self.pieces.extend([*((piece, None, False) for piece in first), (last, version, False)])
        if not waiting:
            self.take()

    def take(self) -> None:
        """One piece; the others in later rounds of the loop."""
        piece, version, only_check = self.pieces[0]
        try:
            if only_check:
                self.endpoint_list.check(piece)
            else:
                event, addresses = self.endpoint_list.read(piece)
        except Exception:
            self.pieces.clear()
            raise
        self.pieces.popleft()
        if not only_check:
            self.version = self.version if version is None else version
            self.listener(event, addresses)
        if self.pieces:
            self.loop.call_soon(self.take_next)
        else:
            self.fresh.set()

    def take_next(self) -> None:
        if self.pieces:
            try:
                self.take()
            except Exception as error:
                log.warning("the list can't be read: %r", error)
                if self.watch is not None:
                    self.watch.fail()

    def ended(self, watch: Watch, again: bool = False) -> None:
        if watch is not self.watch:
            return
        self.stop()
        if self.watching or again:
            self.timer = self.loop.call_later(CALL_AGAIN_S, self.watch_endpoints, True)
        else:
            self.listener(EndpointsUpdated(UpdateKind.FAILED), {})
