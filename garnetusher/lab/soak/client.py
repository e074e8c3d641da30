"""Clients of the soak: requests at their own pace, and some that misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable

from garnetusher.lab.soak.plan import Class, Plan
from garnetusher.lab.soak.records import End, Records, Request, now_s

LATE_S = 0.5  # after its deadline an answer earns nothing; later it is lost
STRANGER_S = 4.0  # a stranger waits longer than the 3 s that it is owed
LONG_BODY = 150_000
MOST_IDLE = 6
STRANGERS = (b"", b"GET /read HTTP/1.1\r\nX-Req", b"\x16\x03\x01\x02\x00", b"POST /nothing HTTP/1.1\r\nHost: x\r\n\r\n")


class Broken(Exception):
    """A connection that ended within an answer."""


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Application:
    """All clients of one sidecar."""

    def __init__(
        self,
        sidecar: int,
        address: tuple[str, int],
        plan: Plan,
        records: Records,
        unanswered: Callable[[str], Awaitable[None]],
    ) -> None:
        self.sidecar, self.address, self.plan, self.records = sidecar, address, plan, records
        self.unanswered = unanswered  # is told of a request that has had nothing in its time
        self.random = random.Random(f"{plan.seed}-clients-{sidecar}")
        self.idle: list[Connection] = []
        self.doing: set[str] = set()
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, ends_s: float) -> None:
        """Ask till then; arrivals never wait for answers."""
        while now_s() < ends_s:
            await asyncio.sleep(self.random.expovariate(self.plan.rate_per_s))
            self.spawn()
        while self.tasks:
            await asyncio.wait(self.tasks)
        for _, writer in self.idle:
            writer.transport.abort()

    def spawn(self) -> None:
        if "strangers" in self.doing and self.random.random() < 0.3:
            work = self.stranger()
        else:
            self.number += 1
            work = self.ask(f"s{self.sidecar}-{self.number}", self.random.choice(self.plan.classes))
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def stranger(self) -> None:
        """Somebody who sends no proper request, and is owed an end."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        came_s, ended_s = now_s(), 0.0
        with contextlib.suppress(ConnectionError, TimeoutError):
            writer.write(self.random.choice(STRANGERS))
            await asyncio.wait_for(reader.read(100), STRANGER_S)
            ended_s = now_s()
        if writer.transport.is_closing() or reader.at_eof():
            ended_s = ended_s or now_s()
        self.records.strangers.append((self.sidecar, came_s, ended_s))
        writer.transport.abort()

    def data(self, ident: str, kind: Class, body: bytes) -> bytes:
        method = "GET" if kind.effect == "idempotent" else "POST"
        key = f"Idempotency-Key: {ident}\r\n" if kind.effect == "deduplicated" else ""
        length = "" if method == "GET" else f"Content-Length: {len(body)}\r\n"
        return (
            f"{method} /{kind.name}/x HTTP/1.1\r\nHost: api\r\nX-Request-Id: {ident}\r\nX-Class: {kind.name}\r\n"
            f"X-Deadline-Ms: {kind.deadline_ms}\r\n{key}{length}\r\n"
        ).encode() + body

    async def ask(self, ident: str, kind: Class) -> None:
        """One request, to its end; on a connection that was closed as it was sent once more on a new one."""
        used = self.idle.pop() if self.idle and self.random.random() < 0.85 else None
        request = await self.try_once(ident, kind, used)
        if request is not None and request.end is End.CLOSED and used is not None:
            await self.try_once(ident + "-again", kind, None)

    async def try_once(self, ident: str, kind: Class, used: Connection | None) -> Request | None:
        try:
            reader, writer = used or await asyncio.open_connection(*self.address)
        except OSError:
            return None
        long = "long_bodies" in self.doing and kind.effect != "idempotent" and self.random.random() < 0.5
        body = b"" if kind.effect == "idempotent" else b"x" * (LONG_BODY if long else 20)
        try:
            if not await self.send(writer, self.data(ident, kind, body)):
                return None
        except ConnectionError:
            return None
        request = Request(ident, self.sidecar, kind.name, kind.deadline_ms / 1000, now_s(), used is None)
        self.records.requests[ident] = request
        if "pipelines" in self.doing and self.random.random() < 0.3:
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        leaving = None
        if "leavers" in self.doing and self.random.random() < 0.5:
            leaving = asyncio.get_running_loop().call_later(
                self.random.random() ** 2 * request.deadline_s, self.leave, request, writer
            )
        await self.hear(request, reader, writer)
        if leaving is not None:
            leaving.cancel()
        return request

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        """Write a request; returns whether it was written whole."""
        if "half_requests" in self.doing and self.random.random() < 0.4:
            writer.write(data[: self.random.randrange(1, len(data))])
            await asyncio.sleep(self.random.random())
            writer.transport.abort()
            return False
        if "slow_writers" in self.doing and self.random.random() < 0.5:
            cuts = sorted(self.random.sample(range(1, len(data)), 3))
            for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
                writer.write(data[start:end])
                await asyncio.sleep(0.15 * self.random.random())
        else:
            writer.write(data)
        await writer.drain()
        return True

    def leave(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Its client has gone, with a reset or an end."""
        if request.end is None:
            request.left_s = now_s()
            if self.random.random() < 0.3:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def hear(self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Its answer."""
        status, again = 0, False
        try:
            async with asyncio.timeout(request.deadline_s + LATE_S + 0.3):
                status, again = await self.answer(reader)
            request.end = {200: End.SERVED, 503: End.REFUSED, 429: End.REFUSED}.get(status, End.FAILED)
        except TimeoutError:
            request.end = End.SILENT
        except Broken:
            request.end = End.BROKEN
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            request.end = End.CLOSED
        request.ended_s = now_s()
        if request.end is End.SILENT:
            await self.unanswered(request.ident)
        if again and not request.left_s and "pipelines" not in self.doing and len(self.idle) < MOST_IDLE:
            self.idle.append((reader, writer))
        else:
            writer.transport.abort()

    async def answer(self, reader: asyncio.StreamReader) -> tuple[int, bool]:
        """The status of one whole answer, and whether the connection stays."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise Broken from None
            raise
        status, lower = int(head.split(b" ")[1]), head.lower()
        try:
            if b"transfer-encoding" in lower:
                while await reader.readuntil(b"\r\n") != b"0\r\n":
                    pass
                await reader.readuntil(b"\r\n")
            elif b"content-length:" in lower:
                length = int(lower.split(b"content-length:")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            else:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            raise Broken from None
        return status, b"connection: close" not in lower
