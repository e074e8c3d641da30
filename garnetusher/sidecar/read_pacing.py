"""Bounds the effort that one peer's bytes cause in an iteration of the event loop, and over time.

The effort of a read is the number of calls that its bytes make the parser do: a chunk of one byte or a header field of
four bytes costs as much as a chunk of 64 KiB. A connection whose reads are dense in calls gets smaller reads, and
a client's connection also gets pauses between them. Its bytes wait in the kernel, and other connections are served.
"""

from __future__ import annotations

from garnetusher.sidecar.streaming import READ_BUFFER_SIZE

INITIAL_READ_SIZE = 2 * 1024  # bytes; the first bytes of a peer may be dense
MIN_READ_SIZE = 512  # bytes
MAX_CALLS_PER_READ = 256  # about half a millisecond of parsing
DENSE_CALLS = MAX_CALLS_PER_READ // 2  # a read with more calls is followed by a pause
GROWTH_FACTOR = 4  # the reads of a peer whose bytes are not dense grow by this factor
PAUSE_S = 0.005  # one connection takes at most about a tenth of a core
CONNECTIONS_PER_PAUSE = 4  # with more paused connections than this, the pauses grow in proportion to their number


class PacedConnections:
    """The number of connections that are paused now, which share one part of the core.

    Attributes:
        count: the number of paused connections.
    """

    def __init__(self) -> None:
        self.count = 0

    @property
    def pause_s(self) -> float:
        """How long the next pause lasts, in seconds."""
        return PAUSE_S * max(1.0, (self.count + 1) / CONNECTIONS_PER_PAUSE)


class ReadPacer:
    """Chooses the size of the reads of one connection.

    Attributes:
        read_size: the largest number of bytes that the next read may take.
    """

    def __init__(self) -> None:
        self.read_size = INITIAL_READ_SIZE

    def record_read(self, size: int, calls: int) -> bool:
        """Adapt the size of the next read to the last one.

        Args:
            size: the number of bytes that were read.
            calls: the number of calls of the parser that they caused.

        Returns:
            Whether reading has to pause.
        """
        if calls > MAX_CALLS_PER_READ:
            self.read_size = max(MIN_READ_SIZE, size * MAX_CALLS_PER_READ // calls)
        elif size >= self.read_size and calls <= DENSE_CALLS:
            self.read_size = min(READ_BUFFER_SIZE, GROWTH_FACTOR * self.read_size)
        return calls > DENSE_CALLS
