"""Streaming, with bounded memory, of request bodies and responses that are too long to be buffered."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_BUFFERED_SIZE = 64 * 1024  # bytes; a longer body or response is streamed
MAX_BODY_SIZE = 32 * 1024 * 1024  # bytes; the limit for a body or a response
# A peer that reads or sends nothing for this time has stalled; a slow peer may take seconds.
STALL_TIMEOUT_US = 10_000_000
# The maximum memory for one long body in bytes, including the bytes that are read but not yet written.
UPLOAD_MEMORY_SIZE = 256 * 1024
READ_BUFFER_SIZE = 64 * 1024  # bytes per read; each stream that waits for its peer holds this many
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> list[bytes]:
    """Return a part of a body in chunked transfer encoding."""
    return [b"%x\r\n" % len(data), data, b"\r\n"]


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Reads parts of bounded size into one buffer for all connections.

    The connections can share the buffer because each part is processed immediately. With a protocol that does not
    provide a buffer, the event loop reads up to 256 KiB at a time, and hundreds of streams would each hold that much.
    """

    _buffer = memoryview(bytearray(READ_BUFFER_SIZE))

    @property
    def read_size(self) -> int:
        """The largest number of bytes that the next read may take."""
        return READ_BUFFER_SIZE

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._buffer[: self.read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass a copy of the bytes that were read to `data_received`."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process the bytes of one read."""
        raise NotImplementedError


class BodySink(Protocol):
    """The receiver of a long request body: the upstream side, which writes the body for an attempt."""

    def write_body_chunk(self, data: bytes) -> None:
        """Write the next bytes."""

    def end_body(self) -> None:
        """Write the end of the body."""


class Sink(Protocol):
    """The receiver of a streamed response: the downstream side, which writes the response to the client."""

    def write_chunk(self, data: bytes) -> None:
        """Write the next bytes."""


class Source(Protocol):
    """The origin of a streamed response: the upstream side, which reads the response from the upstream."""

    def pause(self) -> None:
        """Pause reading: the client reads more slowly than the upstream sends."""

    def resume(self) -> None:
        """Resume reading."""


class BodySource(Protocol):
    """The origin of a long request body: the downstream side, which reads the body from the client."""

    def pause_body(self) -> None:
        """Pause reading: no attempt takes the body."""

    def resume_body(self) -> None:
        """Resume reading."""

    def mark_body_not_replayable(self) -> None:
        """Record that an attempt has taken more of the body than is buffered, so that no other attempt can send it."""


@dataclass(slots=True)
class Head:
    """The length and type of a streamed response, from its headers.

    Attributes:
        length: the length of the body in bytes; None if it is unknown until the body ends.
        content_type: the value of Content-Type; empty if the header is absent.
    """

    length: int | None
    content_type: bytes


class Upload:
    """A long body: the first part is buffered while the request can be retried, the rest is streamed as it arrives.

    Attributes:
        length: the length of the whole body in bytes; None if it is unknown until the body ends.
        replayable: whether the buffer has everything that has been read so far.
        complete: whether the last byte has been read.
    """

    def __init__(self, buffered: bytearray, length: int | None, source: BodySource) -> None:
        self.length = length
        self.replayable = True
        self.complete = False
        self._buffer = buffered
        self._source = source
        self._sink: BodySink | None = None

    @property
    def buffered(self) -> bytes:
        """The part of the body that is buffered."""
        return bytes(self._buffer)

    @property
    def buffered_size(self) -> int:
        """The number of bytes that are buffered."""
        return len(self._buffer)

    def attach(self, sink: BodySink) -> bytes:
        """Start to pass the body to an attempt; return the buffered part, which the attempt sends first."""
        self._sink = sink
        self._source.resume_body()
        return self.buffered

    def detach(self, sink: BodySink) -> None:
        """Stop passing the body to an attempt; do nothing if another attempt has replaced it."""
        if self._sink is sink:
            self._sink = None
            self._source.pause_body()

    def set_source_reading(self, *, enabled: bool) -> None:
        """Resume or pause reading from the client, depending on whether the attempt can send more of the body.

        Args:
            enabled: True to resume, False to pause.
        """
        if enabled:
            self._source.resume_body()
        else:
            self._source.pause_body()

    def feed(self, data: bytes) -> None:
        """Process the next bytes: they are buffered until an attempt takes the body, and streamed from then on."""
        if self._sink is None:
            if self.replayable:  # otherwise no attempt can use the bytes
                self._buffer += data
            return
        if self.replayable:
            self.replayable = False
            self._buffer = bytearray()
            self._source.mark_body_not_replayable()
        if self._sink is not None:  # None if the source has abandoned the attempt in the call above
            self._sink.write_body_chunk(data)

    def finish(self) -> None:
        """Record that the last byte has been read."""
        self.complete = True
        if self._sink is not None:
            self._sink.end_body()


class BodyMemory:
    """Bounds the memory for long bodies: when it is used up, further bodies wait in order and are not read.

    Attributes:
        free: the number of further bodies that fit into the memory.
        waiting: the callbacks that start to read the waiting bodies.
    """

    def __init__(self, size: int) -> None:
        """Start with all memory free.

        Args:
            size: the size of the memory in bytes; at least one body fits, whatever the size.
        """
        self.free = max(1, size // UPLOAD_MEMORY_SIZE)
        self.waiting: deque[Callable[[], None]] = deque()
        self._starting = False  # whether `_start_waiting` runs

    def acquire(self, begin: Callable[[], None]) -> None:
        """Call `begin` immediately, or as soon as there is memory."""
        if self.free > 0:
            self.free -= 1
            begin()
        else:
            self.waiting.append(begin)

    def release(self, begin: Callable[[], None]) -> None:
        """Remove a waiting body from the queue, or pass the memory of a finished body to the next body in the queue.

        Args:
            begin: the callback that was passed to `acquire` for the same body.
        """
        if begin in self.waiting:
            self.waiting.remove(begin)
            return
        self.free += 1
        self._start_waiting()

    def _start_waiting(self) -> None:
        """Start waiting bodies in order; one that ends at once returns its memory to this loop, without recursion."""
        if self._starting:
            return
        self._starting = True
        try:
            while self.waiting and self.free > 0:
                self.free -= 1
                self.waiting.popleft()()
        finally:
            self._starting = False
