"""Bodies and answers that are longer than what is held: passed on as they come, within bounds."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

HELD = 64 * 1024  # of a body or an answer; what is longer passes through
LONGEST = 32 * 1024 * 1024
STALL_US = 10_000_000  # a peer that takes or gives nothing for so long has gone; they may take seconds
SEAT = 256 * 1024  # what a long body takes of the memory at the most: held, read, and not yet written
_READ = 64 * 1024  # a piece: each stream that waits for its peer holds one


LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> list[bytes]:
    """A piece of a body whose length is not known, as it goes on the wire."""
    return [b"%x\r\n" % len(data), data, b"\r\n"]


class Reading(asyncio.BufferedProtocol):
    """Reads pieces of a bounded size into one buffer that all connections share, as each is used at once.

    Hazard: the loop's own pieces are of 256 KiB, and hundreds of streams would hold one each."""

    _buffer = memoryview(bytearray(_READ))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


class Taker(Protocol):
    """The attempt's side of a long body."""

    def write_body_chunk(self, data: bytes) -> None:
        """More of it."""

    def end_body(self) -> None:
        """That was all."""


class Sink(Protocol):
    """The client's side of a long answer."""

    def write_chunk(self, data: bytes) -> None:
        """The next bytes."""


class Source(Protocol):
    """The upstream's side of a long answer."""

    def pause(self) -> None:
        """The client reads more slowly than the upstream gives."""

    def resume(self) -> None:
        """Go on."""


@dataclass(slots=True)
class Head:
    """What is known of a long answer at its first bytes."""

    length: int | None  # None until its end
    content_type: bytes


class Upload:
    """A long body: its first part, held while it may be sent again, and the rest as it comes.

    `flow` tells the client's side whether to read on, `passed` that what is held was given up."""

    def __init__(
        self, held: bytes, length: int | None, flow: Callable[[bool], None], passed: Callable[[], None]
    ) -> None:
        self.held = bytearray(held)
        self.length = length
        self.flow = flow
        self.tell_passed = passed
        self.passed = False
        self.whole = False
        self.taker: Taker | None = None

    def attach(self, taker: Taker) -> bytes:
        """An attempt takes it: what is held goes first."""
        self.taker = taker
        self.flow(True)
        return bytes(self.held)

    def detach(self, taker: Taker) -> None:
        if self.taker is taker:
            self.taker = None
            self.flow(False)

    def feed(self, data: bytes) -> None:
        if self.taker is None:
            if not self.passed:  # else it went nowhere, and goes nowhere any more
                self.held += data
            return
        if not self.passed:
            self.passed = True
            self.held = bytearray()
            self.tell_passed()
        if self.taker is not None:
            self.taker.write_body_chunk(data)

    def finish(self) -> None:
        self.whole = True
        if self.taker is not None:
            self.taker.end_body()


class BodyMemory:
    """The memory for long bodies: those that find none wait their turn, unread."""

    def __init__(self, size: int) -> None:
        self.left = max(1, size // SEAT)
        self.waiting: deque[Callable[[], None]] = deque()

    def enter(self, begin: Callable[[], None]) -> None:
        """Calls `begin`, at once or when there is room."""
        if self.left > 0:
            self.left -= 1
            begin()
        else:
            self.waiting.append(begin)

    def leave(self, begin: Callable[[], None]) -> None:
        """One that has waited or been in leaves."""
        if begin in self.waiting:
            self.waiting.remove(begin)
        elif self.waiting:
            self.waiting.popleft()()
        else:
            self.left += 1
