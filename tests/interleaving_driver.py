"""Peers on plain sockets that a seed plays step by step against a real sidecar in the same loop.

Nothing happens between two steps but the rounds of the loop that a step asks for, so what is there in one look of the
loop, and in which order, is the seed's choice and no race's."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from dataclasses import dataclass, field

from tests.net import PATIENCE_S, Discovery, Sidecar, entry, listing, request, sidecar

SETTLED_ROUNDS = 40  # of the loop, in which what was told is taken and a connection on this machine comes up
OPEN, SERVED, BEGUN, FAILED, NOT_RUN, BROKEN = "open", "served", "begun", "failed", "not run", "broken"
BEGINNINGS = {
    SERVED: b"HTTP/1.1 200 OK\r\n",
    BEGUN: b"HTTP/1.1 200 OK\r\n",
    FAILED: b"HTTP/1.1 500 Oops\r\n",
    NOT_RUN: b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n",
}
LONG = 100_000  # bytes, more than is held of a body or of an answer


@dataclass
class Came:
    """A request that has come whole to an upstream."""

    ident: str
    line: Line
    round: int
    state: str = OPEN
    rest: bytes = b""  # of its answer, which has begun


@dataclass(eq=False)
class Line:
    """A connection from the sidecar to an upstream."""

    sock: socket.socket
    data: bytes = b""
    open: bool = True


@dataclass(eq=False)
class Place:
    """An upstream's address."""

    uid: str
    listener: socket.socket
    lines: list[Line] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    drained_round: int = -1

    @property
    def port(self) -> int:
        return int(self.listener.getsockname()[1])


@dataclass(eq=False)
class Caller:
    """A client's connection, which carries one request."""

    ident: str
    kind: str
    sock: socket.socket
    rest: bytes  # of its request, not sent yet
    data: bytes = b""
    ended: bool = False  # by the sidecar
    left_round: int = -1
    again: bool = False  # on a connection that has carried a request: if that closes unread, it is sent anew elsewhere
    over: bool = False  # answered, and its connection goes on with another


def whole_message(data: bytes) -> tuple[bytes, bytes, bytes] | None:
    """Head, body and what follows, if all of it is there."""
    head, found, rest = data.partition(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    length = int(lengths[0].split(b":")[1]) if lengths else 0
    return (head, rest[:length], rest[length:]) if found and len(rest) >= length else None


def body_of(ident: str, long: bool) -> bytes:
    """What a request carries, or its answer: nobody else's."""
    return (ident + ";").encode() * (LONG // len(ident) if long else 1)


class Play:
    """One seed's steps, and what must hold after each of them and at the end."""

    def __init__(self, seed: int) -> None:
        self.dice = random.Random(seed)
        self.round = 0
        self.rev = 1
        self.calls: list[Caller] = []
        self.places = [self.place(f"u{number}") for number in range(3)]
        self.discovery = Discovery()
        self.steps: list[str] = []
        self.stopped = False
        self.stops_at = self.dice.randrange(300)  # a step that most plays don't reach

    def place(self, uid: str) -> Place:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        return Place(uid, listener)

    def note(self, what: str) -> None:
        self.steps.append(f"{self.round} {what}")

    def need(self, held: bool, what: str) -> None:
        if not held:
            raise AssertionError(f"{what}; the last steps: {self.steps[-25:]}")

    async def play(self, steps: int) -> None:
        known = listing(*(entry(place.uid, place.port) for place in self.places))
        async with sidecar(
            known=known, discovery=self.discovery, cancel_attempts=True, hedging=self.dice.random() < 0.5
        ) as it:
            await self.discovery.watched()
            try:
                for number in range(steps):
                    self.step(it, number)
                    for _ in range(self.dice.choice((0, 0, 0, 1, 1, 2, 3, SETTLED_ROUNDS))):
                        await self.turn()
                    if self.dice.random() < 0.05:
                        await asyncio.sleep(0.015)  # connections settle
                        self.look()
                await self.finish()
            finally:
                for place in self.places:
                    place.listener.close()
                    for line in place.lines:
                        line.sock.close()
                for call in self.calls:
                    call.sock.close()

    async def turn(self) -> None:
        self.round += 1
        await asyncio.sleep(0)
        self.look()

    async def finish(self) -> None:
        """What was begun is ended, and all upstreams answer but to a process that ends; then everybody who is there has
        an answer."""
        until = time.monotonic() + PATIENCE_S
        for call in self.calls:
            self.send(call, len(call.rest))
        while time.monotonic() < until and any(not self.served(call) for call in self.calls):
            for place in self.places:
                for came in place.came:
                    if came.state == BEGUN or (came.state == OPEN and not self.stopped):
                        self.answer(place, came, SERVED)
            await asyncio.sleep(0.002)
            self.look()
        for call in self.calls:
            self.need(self.served(call), f"{call.ident} has no answer: {call.data[:90]!r}, ended: {call.ended}")

    def came(self, ident: str) -> list[Came]:
        return [came for place in self.places for came in place.came if came.ident == ident]

    def served(self, call: Caller) -> bool:
        if call.over or call.left_round >= 0 or whole_message(call.data) is not None:
            return True
        if not call.ended:
            return False
        unread = call.again and not call.data and not self.came(call.ident)
        return unread or (b" 200 " in call.data[:16] and any(came.state == BROKEN for came in self.came(call.ident)))

    # What a step does

    def step(self, it: Sidecar, number: int) -> None:
        if number == self.stops_at:
            self.note("SIGTERM")
            it.stop.set()
            self.stopped = True
            return
        what = self.dice.choices(
            (self.call, self.go_on, self.say_more, self.leave, self.answer_one, self.tell, self.stray),
            (7, 3, 4, 3, 8, 3, 1),
        )[0]
        what(it)

    def call(self, it: Sidecar) -> None:
        if not self.stopped:
            sock = socket.create_connection(("127.0.0.1", it.port))
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.ask(sock, again=False)

    def go_on(self, it: Sidecar) -> None:
        """Another request on a connection that is at rest."""
        resting = [
            call
            for call in self.calls
            if call.left_round < 0 and not call.over and not call.ended and whole_message(call.data) is not None
        ]
        if resting:
            call = self.dice.choice(resting)
            call.over = True
            self.ask(call.sock, again=True)

    def ask(self, sock: socket.socket, again: bool) -> None:
        kind = self.dice.choice(("pay", "pay", "read", "mark"))
        ident = f"{kind}{len(self.calls)}"
        data = request(kind, ident, b"" if kind == "read" else body_of(ident, self.dice.random() < 0.1))
        call = Caller(ident, kind, sock, data, again=again)
        self.calls.append(call)
        self.send(call, self.dice.choice((len(data), len(data), len(data) - 1, len(data) // 2, 30)))

    def send(self, call: Caller, size: int) -> None:
        if call.rest and call.left_round < 0:
            with contextlib.suppress(OSError):
                call.sock.send(call.rest[:size])
            self.note(f"{call.ident} sends {size} of {len(call.rest)}")
            call.rest = call.rest[size:]

    def say_more(self, it: Sidecar) -> None:
        halves = [call for call in self.calls if call.rest]
        if halves:
            call = self.dice.choice(halves)
            self.send(call, len(call.rest))

    def leave(self, it: Sidecar) -> None:
        there = [call for call in self.calls if not self.served(call)]
        if there:
            call, how = self.dice.choice(there), self.dice.choice(("ends", "resets", "closes"))
            call.left_round = self.round
            self.note(f"{call.ident} {how}")
            if how == "ends":
                with contextlib.suppress(OSError):
                    call.sock.shutdown(socket.SHUT_WR)
                return
            if how == "resets":
                call.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            call.sock.close()

    def open(self) -> list[tuple[Place, Came]]:
        return [
            (place, came)
            for place in self.places
            for came in place.came
            if came.state in (OPEN, BEGUN) and came.line.open
        ]

    def answer_one(self, it: Sidecar) -> None:
        if there := self.open():
            place, came = self.dice.choice(there)
            after = (SERVED, BROKEN) if came.state == BEGUN else (SERVED, SERVED, BEGUN, FAILED, NOT_RUN, BROKEN)
            self.answer(place, came, self.dice.choice(after))

    def answer(self, place: Place, came: Came, how: str) -> None:
        self.note(f"{place.uid}: {came.ident} is {how}")
        begun, came.state = came.state == BEGUN, how
        if how == BROKEN:
            came.line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            came.line.sock.close()
            came.line.open = False
        elif came.line.open:
            data = came.rest
            if not begun:
                body = body_of(came.ident, how == BEGUN) if how in (SERVED, BEGUN) else b""
                data = BEGINNINGS[how] + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            if how == BEGUN:
                data, came.rest = data[:-1000], data[-1000:]
            with contextlib.suppress(OSError):
                came.line.sock.send(data)

    def stray(self, it: Sidecar) -> None:
        """More comes behind an answer, at once."""
        if there := self.open():
            place, came = self.dice.choice(there)
            self.answer(place, came, SERVED)
            with contextlib.suppress(OSError):
                came.line.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")

    def tell(self, it: Sidecar) -> None:
        """One drains, and another is there in its place."""
        ready = [place for place in self.places if place.drained_round < 0]
        place, new = self.dice.choice(ready), self.place(f"u{len(self.places)}")
        self.places.append(new)
        place.drained_round = self.round
        self.rev += 1
        self.note(f"{place.uid} drains, {new.uid} is there")
        self.discovery.line(
            listing(
                entry(place.uid, place.port, self.dice.choice(("leaving", "left"))),
                entry(new.uid, new.port),
                rev=self.rev,
                full=False,
            )
        )

    # What comes, and what must hold

    def look(self) -> None:
        for place in self.places:
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock, _ = place.listener.accept()
                    sock.setblocking(False)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what a step sends is there at once
                    place.lines.append(Line(sock))
            for line in place.lines:
                if line.open:
                    self.look_at(place, line)
        for call in self.calls:
            if not call.over and not call.ended and call.sock.fileno() >= 0:
                self.look_to(call)

    def look_to(self, call: Caller) -> None:
        try:
            data = call.sock.recv(1_000_000)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        call.data, call.ended = call.data + data, not data
        if data and (answer := whole_message(call.data)) is not None:
            head, body, more = answer
            self.need(not more, f"{call.ident} has a second answer: {more[:90]!r}")
            self.need(
                b" 200 " not in head[:16] or body in (body_of(call.ident, False), body_of(call.ident, True)),
                f"{call.ident} was given {body[:90]!r}",
            )

    def look_at(self, place: Place, line: Line) -> None:
        try:
            data = line.sock.recv(1_000_000)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        if not data:
            line.open = False
            line.sock.close()
            return
        line.data += data
        while (message := whole_message(line.data)) is not None:
            head, body, line.data = message
            came = Came(head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode(), line, self.round)
            place.came.append(came)
            self.note(f"{came.ident} is at {place.uid}")
            self.check_came(place, came, body)

    def check_came(self, place: Place, came: Came, body: bytes) -> None:
        call = next(call for call in self.calls if call.ident == came.ident)
        self.need(
            call.kind == "read" or body in (body_of(call.ident, False), body_of(call.ident, True)),
            f"{came.ident} came with {body[:90]!r}",
        )
        long = len(body) > LONG // 2  # its first byte may have come before
        self.need(
            long or place.drained_round < 0 or came.round <= place.drained_round + SETTLED_ROUNDS,
            f"{came.ident} came to {place.uid}, which drains",
        )
        self.need(
            call.left_round < 0 or came.round <= call.left_round + SETTLED_ROUNDS,
            f"{came.ident} was sent on though its client had left",
        )
        ran = [each.state for each in self.came(came.ident) if each.state != NOT_RUN]
        self.need(call.kind != "pay" or len(ran) == 1, f"{came.ident} has run twice: {ran}")
