"""The list service as the protocol page has it, for each sidecar at an address of its own and behind a link."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools
from msgspec import structs

from garnetusher.lab import linked
from garnetusher.lab.clockwork import Clockwork
from garnetusher.lab.sidecar_settings import STANDARD_MODEL
from garnetusher.model import draw
from garnetusher.model.experiment import Directory
from garnetusher.model.link import Weather
from garnetusher.model.plan import LONG_AGO, ListStep, Plan
from garnetusher.model.records import Listed, Told

EMPTY_LINE_S = 2.0
KEPT = 1000  # changes; a watch that asks for older ones gets the whole list
BUSY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
WATCH = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def entry(uid: str, zone: str, endpoint: str, state: str, boot_ms: int) -> dict[str, Any]:
    """One upstream in the protocol's form."""
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


class Caller:
    """A sidecar's connection to the list service."""

    def __init__(self, service: ListService, sidecar: str, connection: linked.Connection) -> None:
        self.service, self.sidecar, self.connection = service, sidecar, connection
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.gone = b"", False

    def received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.connection.abort()

    def lost(self) -> None:
        self.gone = True
        self.service.watchers.pop(self, None)

    def held(self, data: bytes) -> None:
        pass

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        target, self.target = self.target.decode("latin-1"), b""
        self.service.called(self, target)

    def line(self, lines: dict[str, Any] | None, steps: list[ListStep]) -> None:
        """One object of a watch, or the empty line that says that nothing has changed."""
        data = (json.dumps(lines) if lines is not None else "").encode() + b"\n"
        self.connection.write(b"%x\r\n%s\r\n" % (len(data), data), lambda: self.service.told(self.sidecar, steps))


class ListService:
    """The upstreams, as they are listed, and who watches."""

    def __init__(self, clock: Clockwork, plan: Plan, addresses: dict[str, dict[str, str]], figures: Directory) -> None:
        self.clock, self.plan, self.addresses, self.figures = clock, plan, addresses, figures
        self.spread_us = round(figures.spread_ms * 1000)
        self.free_us = 0  # when the calls that wait will have been answered
        self.unix_zero_ms = 0  # what the calendar says when the play starts
        self.rev = 1
        self.now: dict[str, ListStep] = {
            u.uid: ListStep(0, u.uid, u.zone, "active") for u in plan.upstreams if u.from_us == 0
        }
        self.changes: list[tuple[int, ListStep]] = []
        self.watchers: dict[Caller, int] = {}  # with the version that each has
        self.listeners: dict[str, linked.Listener] = {}

    def link(self, sidecar: str, host: str, usual: Weather) -> None:
        seed = int(draw.uniform(self.plan.seed, "link", "directory", sidecar) * 2**32)
        listener = linked.Listener(self.clock, host, lambda c: Caller(self, sidecar, c), seed, usual)
        listener.open()
        self.listeners[sidecar] = listener

    def begin(self, unix_zero_ms: int) -> None:
        self.unix_zero_ms = unix_zero_ms
        for step in self.plan.listed:
            self.clock.at(step.at_us, self._change, step)
        self._empty_lines()

    def called(self, caller: Caller, target: str) -> None:
        """Calls are answered one after another; beyond so many that wait, one is turned away at once."""
        takes_us, now = int(self.figures.call_ms * 1000), self.clock.now_us()
        if not takes_us:
            self.asked(caller, target)
        elif self.free_us - now > self.figures.calls_waiting * takes_us:
            self.clock.write(Listed(now, caller.sidecar, "turned away"))
            caller.connection.write(BUSY)
        else:
            self.free_us = max(now, self.free_us) + takes_us
            self.clock.at(self.free_us, self.asked, caller, target)

    def asked(self, caller: Caller, target: str) -> None:
        if caller.gone:  # it has not waited for its turn
            return
        parts = urlsplit(target)
        query = parse_qs(parts.query)
        if parts.path != "/discovery/hosts":
            caller.connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        following = query.get("follow") == ["1"]
        self.clock.write(Listed(self.clock.now_us(), caller.sidecar, "watch" if following else "whole"))
        if not following:
            body = json.dumps(self._whole(caller.sidecar)).encode()
            caller.connection.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body),
                lambda: self.told(caller.sidecar, list(self.now.values())),
            )
            return
        since = int(query.get("since", ["0"])[0])
        caller.connection.write(WATCH)
        oldest = self.changes[0][0] if self.changes else self.rev + 1
        if since == self.rev:
            caller.line(None, [])
        elif since > self.rev or since + 1 < oldest:
            caller.line(self._whole(caller.sidecar), list(self.now.values()))
        else:
            self._catch_up(caller, since)
        self.watchers[caller] = self.rev

    def told(self, sidecar: str, steps: list[ListStep]) -> None:
        now = self.clock.now_us()
        for step in steps:
            self.clock.write(Told(now, sidecar, step.uid, step.state, step.started_us))

    def _lines(self, sidecar: str, steps: list[ListStep], whole: bool) -> dict[str, Any]:
        entries = []
        for step in steps:
            boot_ms = 0 if step.started_us == LONG_AGO else self.unix_zero_ms + step.started_us // 1000
            entries.append(entry(step.uid, step.zone, self.addresses[step.uid][sidecar], step.state, boot_ms))
        return {"rev": self.rev, "all": whole, "targets": entries}

    def _whole(self, sidecar: str) -> dict[str, Any]:
        return self._lines(sidecar, list(self.now.values()), True)

    def _change(self, step: ListStep) -> None:
        before = self.now.get(step.uid)
        if before is not None and step.started_us == LONG_AGO:
            step = structs.replace(step, started_us=before.started_us)  # only a start moves it
        self.rev += 1
        self.changes.append((self.rev, step))
        del self.changes[:-KEPT]
        if step.state == "left":
            self.now.pop(step.uid, None)
        else:
            self.now[step.uid] = step
        for caller in self.watchers:
            after = draw.uniform(self.plan.seed, "spread", caller.sidecar, self.rev) * self.spread_us
            self.clock.at(self.clock.now_us() + int(after), self._push, caller)

    def _push(self, caller: Caller) -> None:
        since = self.watchers.get(caller)
        if since is not None and since < self.rev:
            self._catch_up(caller, since)
            self.watchers[caller] = self.rev

    def _catch_up(self, caller: Caller, since: int) -> None:
        latest = {step.uid: step for rev, step in self.changes if rev > since}
        steps = list(latest.values())
        caller.line(self._lines(caller.sidecar, steps, False), steps)

    def _empty_lines(self) -> None:
        for caller in self.watchers:
            caller.line(None, [])
        self.clock.loop.call_later(EMPTY_LINE_S, self._empty_lines)

    def close(self) -> None:
        for listener in self.listeners.values():
            listener.close()
