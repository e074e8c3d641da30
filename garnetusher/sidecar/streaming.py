"""Bodies and responses that are longer than what is buffered: streamed on as they come, within bounds."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_BUFFERED_SIZE = 64 * 1024  # bytes of a body or a response that are buffered; what is longer is streamed
MAX_BODY_SIZE = 32 * 1024 * 1024  # bytes of a body or a response
STALL_TIMEOUT_US = 10_000_000  # a peer that takes or sends nothing for so long has gone; a slow one may take seconds
UPLOAD_MEMORY_SIZE = 256 * 1024  # bytes that a long body takes at the most: buffered, read, and not yet written
READ_BUFFER_SIZE = 64 * 1024  # bytes read at once; each stream that waits for its peer holds so many
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> list[bytes]:
    """Return a piece of a body whose length is not known, in chunked framing."""
    return [b"%x\r\n" % len(data), data, b"\r\n"]


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Reads pieces of a bounded size into one buffer that all connections share, as each is used at once.

    The event loop's own pieces are of 256 KiB, and hundreds of streams would hold one each.
    """

    _buffer = memoryview(bytearray(READ_BUFFER_SIZE))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand over a copy of what was read."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take a piece."""
        raise NotImplementedError


class BodySink(Protocol):
    """Takes a long body: an attempt at an upstream."""

    def write_body_chunk(self, data: bytes) -> None:
        """Write the next bytes."""

    def end_body(self) -> None:
        """Write the end."""


class Sink(Protocol):
    """Takes a long response: the client's side."""

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes."""


class Source(Protocol):
    """Gives a long response: the upstream's side."""

    def pause(self) -> None:
        """Read no more for now: the client reads more slowly than the upstream sends."""

    def resume(self) -> None:
        """Read on."""


class BodySource(Protocol):
    """Gives a long body: the client's side."""

    def pause_body(self) -> None:
        """Read no more for now: no attempt takes the body."""

    def resume_body(self) -> None:
        """Read on."""

    def body_not_replayable(self) -> None:
        """Note that more of the body went to an attempt than is buffered, so that no other can send it."""


@dataclass(slots=True)
class Head:
    """What is known of a long response at its first bytes.

    Attributes:
        length: of its body; None if only its end will tell.
        content_type: empty if it has none.
    """

    length: int | None
    content_type: bytes


class Upload:
    """A long body: its first part, buffered while the request may be sent again, and the rest as it comes.

    Attributes:
        length: of the whole body; None if only its end will tell.
        replayable: the buffer has all that has been read so far.
        complete: the last byte has been read.
    """

    def __init__(self, buffered: bytes, length: int | None, source: BodySource) -> None:
        self.length = length
        self.replayable = True
        self.complete = False
        self._buffer = bytearray(buffered)
        self._source = source
        self._sink: BodySink | None = None

    @property
    def buffered(self) -> bytes:
        """What is buffered."""
        return bytes(self._buffer)

    def attach(self, sink: BodySink) -> bytes:
        """Let an attempt take the body; return what is buffered, which goes first."""
        self._sink = sink
        self._source.resume_body()
        return self.buffered

    def detach(self, sink: BodySink) -> None:
        """Let an attempt take no more; does nothing if another one has taken its place."""
        if self._sink is sink:
            self._sink = None
            self._source.pause_body()

    def flow(self, *, on: bool) -> None:
        """Read on, or read no more for now, as the attempt's connection takes the body.

        Args:
            on: read on.
        """
        if on:
            self._source.resume_body()
        else:
            self._source.pause_body()

    def feed(self, data: bytes) -> None:
        """Take the next bytes: they are buffered until an attempt takes the body, and streamed on from then."""
        if self._sink is None:
            if self.replayable:  # else no attempt can use them
                self._buffer += data
            return
        if self.replayable:
            self.replayable = False
            self._buffer = bytearray()
            self._source.body_not_replayable()
        if self._sink is not None:  # the attempt may have been given up on that notice
            self._sink.write_body_chunk(data)

    def finish(self) -> None:
        """Note the last byte."""
        self.complete = True
        if self._sink is not None:
            self._sink.end_body()


class BodyMemory:
    """Bounds the memory for long bodies: those that find none wait for it in turn, unread.

    Attributes:
        free: how many more bodies find memory.
        waiting: what begins the bodies that wait.
    """

    def __init__(self, size: int) -> None:
        """Begin with all memory free.

        Args:
            size: in bytes; it is enough for one body at the least.
        """
        self.free = max(1, size // UPLOAD_MEMORY_SIZE)
        self.waiting: deque[Callable[[], None]] = deque()

    def acquire(self, begin: Callable[[], None]) -> None:
        """Call `begin`, at once or when there is memory."""
        if self.free > 0:
            self.free -= 1
            begin()
        else:
            self.waiting.append(begin)

    def release(self, begin: Callable[[], None]) -> None:
        """End the wait of a body, or give its memory to the next one."""
        if begin in self.waiting:
            self.waiting.remove(begin)
        elif self.waiting:
            self.waiting.popleft()()
        else:
            self.free += 1
