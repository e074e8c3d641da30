"""The file that replaces the configuration in force: read at SIGHUP, and again while it is not whole yet."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable

log = logging.getLogger(__name__)

RETRY_S = 0.05  # between looks at a file that could not be taken
# what discovery tells at its new address counts as told 4 s after the signal, and its old one ends before that
PATIENCE_S = 5.0
Stamp = tuple[int, int, int]  # what tells one state of a file from the next


def stamp_of(path: str) -> Stamp:
    """The file's inode, size and time of change; raises OSError."""
    status = os.stat(path)
    return status.st_ino, status.st_size, status.st_mtime_ns


class Reloader:
    """Takes a file at each signal. One that is not in order is left, and looked at again for some seconds: it may be
    half written, or this machine may be short of what reading it takes, and no second signal would follow."""

    def __init__(self, path: str, take: Callable[[str], None]) -> None:
        """`take` takes all of a file or raises, and then has changed nothing."""
        self.loop = asyncio.get_running_loop()
        self.path, self.take = path, take
        self.ends_at = 0.0
        self.rejected: Stamp | None = None  # the state of the file that was not in order
        self.timer: asyncio.TimerHandle | None = None

    def signal(self) -> None:
        """The file has been replaced, or is being replaced."""
        self.ends_at = self.loop.time() + PATIENCE_S
        self.rejected = None
        if self.timer is not None:
            self.timer.cancel()
        self.look(first=True)

    def look(self, first: bool = False) -> None:
        """Take the file if it has changed since it was rejected."""
        self.timer = None
        stamp: Stamp | None = None
        try:
            stamp = stamp_of(self.path)
            if stamp != self.rejected:
                self.take(self.path)
                return
        except Exception as error:  # hazard: whatever is wrong with it, the running sidecar must go on
            if not isinstance(error, OSError):
                self.rejected = stamp
            if first:
                log.warning("the configuration is not taken, all stays as it was: %r", error)
        if self.loop.time() < self.ends_at:
            self.timer = self.loop.call_later(RETRY_S, self.look)
