"""Logging to standard error without ever blocking the process."""

from __future__ import annotations

import logging
import os
import select
import time

STANDARD_ERROR = 2
MAX_LINES_PER_SECOND = 5
MAX_LINE_BYTES = 4096  # a writable pipe accepts this many bytes in one write without blocking


class RateLimit(logging.Filter):
    """Passes at most `MAX_LINES_PER_SECOND` records a second."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is within the limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._line_count = 0
        self._line_count += 1
        return self._line_count <= MAX_LINES_PER_SECOND


class NonBlockingHandler(logging.Handler):
    """Writes a line if that does not block, and drops it otherwise, because the reader of the log may have stopped.

    The next line written is preceded by the number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._dropped_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        line = self.format(record)
        if self._dropped_count:
            line = f"({self._dropped_count} log lines were dropped here)\n{line}"
        data = line.encode(errors="backslashreplace")[: MAX_LINE_BYTES - 1] + b"\n"
        if self._write(data):
            self._dropped_count = 0
        else:
            self._dropped_count += 1

    def _write(self, data: bytes) -> bool:
        try:
            return self._is_writable() and os.write(self._descriptor, data) > 0
        except OSError:  # if the disk is full or the pipe has no reader, the process continues without its log
            return False

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        return any(event & select.POLLOUT for _, event in poll.poll(0))


def configure(descriptor: int = STANDARD_ERROR) -> None:
    """Write all log records of this process to a file descriptor."""
    handler = NonBlockingHandler(descriptor)
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", handlers=[handler])
