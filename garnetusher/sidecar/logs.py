"""The log of this process on standard error, which must never hold the process up."""

from __future__ import annotations

import logging
import os
import select
import time

LINES_A_SECOND = 5
LONGEST_LINE = 4096  # bytes: what a pipe takes whole, or not at all, without blocking once it says that it takes any


class RateLimit(logging.Filter):
    """Lets a few lines a second through."""

    def __init__(self) -> None:
        super().__init__()
        self.second = 0
        self.lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= LINES_A_SECOND


class NonBlockingHandler(logging.Handler):
    """Writes a line where it can be written at once, and leaves it out where not: a log may be a pipe, and whoever
    reads it may have stopped. The next line that is written tells how many are missing."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record)
        if self.dropped:
            line = f"({self.dropped} lines are missing here)\n{line}"
        data = line.encode(errors="backslashreplace")[: LONGEST_LINE - 1] + b"\n"
        try:
            self.dropped = 0 if self.takes_more() and os.write(self.descriptor, data) else self.dropped + 1
        except OSError:  # a full disk, an end without a reader: no log is worth the process
            self.dropped += 1

    def takes_more(self) -> bool:
        """Whether a write would not block."""
        look = select.poll()
        look.register(self.descriptor, select.POLLOUT)
        return any(event & select.POLLOUT for _, event in look.poll(0))


def configure(descriptor: int = 2) -> None:
    """All of this process's log goes to that descriptor."""
    handler = NonBlockingHandler(descriptor)
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", handlers=[handler])
