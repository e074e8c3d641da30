"""The applications beside the sidecars: open-loop arrivals, tries, deadlines, impatience.

An application starts and stops with its sidecar, as the platform has it: what it would have asked meanwhile is not
asked. It never waits for an answer before the next arrival; a request is dated from when it was due, so that a stall
anywhere, in the lab too, counts in full.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import httptools

from garnetusher.lab.clockwork import Clockwork
from garnetusher.model.client import WAIT_ON_US, Client
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, SidecarPlan, Step, arrivals
from garnetusher.model.records import Answered, Asked, Broke, Crossed, Extra, GaveUp, Quit, Silent, Unreached, Vanished

RESTART_STOPS_US = 300_000  # after SIGTERM the application stops to ask
CROSSING_US = 50_000  # a close that comes so soon behind a request on a used connection may not have seen it
POLL_S = 0.05  # between calls for `GET /up` of a sidecar that starts
UP = b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n"


class Try:
    """One try of a request."""

    __slots__ = ("ident", "request", "cls", "tenant", "first_us", "until_us", "number", "over", "crossed")

    def __init__(self, ident: str, request: str, cls: int, tenant: int, first_us: int, number: int) -> None:
        self.ident, self.request, self.cls, self.tenant = ident, request, cls, tenant
        self.first_us, self.number = first_us, number
        self.until_us = 0
        self.over = self.crossed = False


class Line(asyncio.Protocol):
    """A connection of the application."""

    def __init__(self, app: Application) -> None:
        self.app = app
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.current: Try | None = None
        self.last = ""
        self.carried, self.sent_us = 0, 0
        self.body = b""
        self.retry_after_us = 0
        self.closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.app.lines.add(self)

    def carry(self, it: Try, data: bytes) -> None:
        assert self.transport is not None
        self.current, self.last = it, it.ident
        self.carried, self.sent_us = self.carried + 1, self.app.clock.now_us()
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.retry_after_us, self.closing = b"", 0, False
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.current is None or self.parser is None:
            self.app.extra(self)
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_begin(self) -> None:
        if self.current is None and self.last:
            self.app.extra(self)

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.current is None or self.parser.get_status_code() < 200:
            return
        it, self.current = self.current, None
        if not self.parser.should_keep_alive():
            self.closing = True
        self.app.answered(self, it, self.parser.get_status_code())

    def connection_lost(self, error: Exception | None) -> None:
        self.app.lost(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Application:
    """The client process of one sidecar."""

    def __init__(
        self, clock: Clockwork, experiment: Experiment, plan: Plan, sidecar: SidecarPlan, address: tuple[str, int]
    ) -> None:
        self.clock, self.experiment, self.sidecar, self.address = clock, experiment, sidecar, address
        self.client = Client(experiment, plan.seed, sidecar.name)
        self.source: Iterator[tuple[int, int, int]] = iter(arrivals(experiment, plan, sidecar))
        self.lines: set[Line] = set()
        self.idle: list[Line] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0
        self.asking = True
        self.not_asked = 0
        self.until_us = round(plan.seconds * 1e6)

    def begin(self) -> None:
        self._next()
        for step in self.sidecar.steps:
            self.clock.at(step.at_us, self._process, step)

    # Arrivals

    def _next(self) -> None:
        arrival = next(self.source, None)
        if arrival is not None:
            self.clock.at(arrival[0], self._arrive, *arrival)

    def _arrive(self, due_us: int, cls: int, tenant: int) -> None:
        self._next()
        if not self.asking:
            self.not_asked += 1
            return
        self.number += 1
        ident = f"{self.sidecar.name}.{self.number}"
        self._try(Try(ident, ident, cls, tenant, due_us, 0))

    def _try(self, it: Try) -> None:
        wait_us = self.client.patience_us(it.cls)
        while self.idle:
            line = self.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                self._ask(line, it, wait_us)
                return
        self._spawn(self._dial(it, wait_us))

    def _spawn(self, work: contextlib.AbstractAsyncContextManager[None] | object) -> None:
        task: asyncio.Task[None] = self.clock.loop.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, it: Try, wait_us: int) -> None:
        try:
            async with asyncio.timeout(wait_us / 1e6):
                _, line = await self.clock.loop.create_connection(lambda: Line(self), *self.address)
        except OSError:
            self.clock.write(
                Unreached(self.clock.now_us(), it.ident, it.request, self.sidecar.name, it.cls, it.tenant, it.first_us)
            )
            self._again(it, True, 0)
            return
        self._ask(line, it, wait_us)

    def _ask(self, line: Line, it: Try, wait_us: int) -> None:
        now = self.clock.now_us()
        kind = self.experiment.classes[it.cls]
        wait_ms = max(1, wait_us // 1000)
        it.until_us = now + wait_us
        safe = kind.effect == "idempotent"
        tenant = f"X-Tenant: {self.experiment.tenants[it.tenant].name}\r\n" if self.experiment.tenants else ""
        again = "X-Retry: 1\r\n" if it.number and self.experiment.clients.marks else ""
        head = (
            f"{'GET' if safe else 'POST'} /{kind.name}/it HTTP/1.1\r\nHost: api.internal\r\n"
            f"X-Request-Id: {it.ident}\r\nX-Class: {kind.name}\r\n{tenant}X-Deadline-Ms: {wait_ms}\r\n"
            + again
            + ("" if safe else "Content-Length: 2\r\n")
            + "\r\n"
            + ("" if safe else "{}")
        )
        line.carry(it, head.encode())
        self.clock.write(
            Asked(now, it.ident, it.request, self.sidecar.name, it.cls, it.tenant, it.first_us, it.until_us)
        )
        self.clock.at(it.until_us, self._time_out, line, it)
        leaves_us = self.client.leaves_after_us(wait_us)
        if leaves_us is not None:
            self.clock.at(now + leaves_us, self._quit, line, it)

    # What comes of a try

    def answered(self, line: Line, it: Try, status: int) -> None:
        now = self.clock.now_us()
        words = line.body.decode("latin-1").split()
        by = words[0] if status == 200 and len(words) == 2 and words[1] == it.ident else ""
        self.clock.write(Answered(now, it.ident, self.sidecar.name, status, by, line.retry_after_us))
        if not line.closing:
            self.idle.append(line)
        elif line.transport is not None:
            line.transport.close()
        if not it.over:
            it.over = True
            if status != 200:
                self._again(it, status in (429, 503), line.retry_after_us)

    def lost(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        it, line.current = line.current, None
        if it is None:
            return
        now = self.clock.now_us()
        if line.carried > 1 and not it.crossed and not it.over and now - line.sent_us < CROSSING_US:
            it.crossed = True
            self.clock.write(Crossed(now, it.ident, self.sidecar.name))
            self._spawn(self._dial(it, it.until_us - now))
            return
        self.clock.write(Broke(now, it.ident, self.sidecar.name))
        if not it.over:
            it.over = True
            self._again(it, False, 0)

    def extra(self, line: Line) -> None:
        self.clock.write(Extra(self.clock.now_us(), line.last, self.sidecar.name))
        line.abort()

    def _time_out(self, line: Line, it: Try) -> None:
        if it.over or line.current is not it:
            return
        it.over = True
        self.clock.write(GaveUp(self.clock.now_us(), it.ident, self.sidecar.name))
        self.clock.at(it.until_us + WAIT_ON_US, self._last_look, line, it)
        self._again(it, False, 0)

    def _last_look(self, line: Line, it: Try) -> None:
        if line.current is it:
            line.current = None
            self.clock.write(Silent(self.clock.now_us(), it.ident, self.sidecar.name))
            line.abort()

    def _quit(self, line: Line, it: Try) -> None:
        if not it.over and line.current is it:
            it.over, line.current = True, None
            self.clock.write(Quit(self.clock.now_us(), it.ident, self.sidecar.name))
            line.abort()

    def _again(self, it: Try, harmless: bool, retry_after_us: int) -> None:
        at = self.client.comes_again_us(self.clock.now_us(), it.cls, it.number, it.first_us, harmless, retry_after_us)
        if at is not None:
            self.clock.at(at, self._come_again, it)

    def _come_again(self, it: Try) -> None:
        if self.asking:
            number = it.number + 1
            self._try(Try(f"{it.request}.{number}", it.request, it.cls, it.tenant, it.first_us, number))

    # With its sidecar

    def _process(self, step: Step) -> None:
        now = self.clock.now_us()
        if step.what == "kill":
            self.asking = False
            for line in list(self.lines):
                it, line.current = line.current, None
                if it is not None:
                    it.over = True
                    self.clock.write(Vanished(now, it.ident, self.sidecar.name))
                line.abort()
        elif step.what == "start":
            self._spawn(self._wait_until_up())
        elif step.what == "restart":
            self.clock.at(now + RESTART_STOPS_US, self._stop_asking)

    def _stop_asking(self) -> None:
        self.asking = False
        self._spawn(self._wait_until_up())

    async def _wait_until_up(self) -> None:
        await asyncio.sleep(2 * POLL_S)
        while self.clock.now_us() < self.until_us:
            if await is_up(self.address):
                self.asking = True
                return
            await asyncio.sleep(POLL_S)

    def close(self) -> None:
        for line in list(self.lines):
            line.current = None
            line.abort()


async def is_up(address: tuple[str, int], patience_s: float = 0.5) -> bool:
    """Whether a sidecar says yes at `GET /up`."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(UP)
            return (await reader.readline()).split(b" ")[1:2] == [b"200"]
    except OSError:
        return False
    finally:
        if writer is not None:
            writer.close()
