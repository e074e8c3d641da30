"""Loads the file that replaces the configuration in force: at SIGHUP, and again while it is not in order yet."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.05  # between attempts to load a file
# A change counts as known to the sidecar 4 s after the signal if discovery sends it from its new address; discovery's
# old address ends before that.
RETRY_FOR_S = 5.0


@dataclass(frozen=True, slots=True)
class FileState:
    """What distinguishes one state of a file from the next."""

    inode: int
    size: int
    modified_ns: int

    @classmethod
    def of(cls, path: str) -> FileState:
        """Return the present state of a file.

        Raises:
            OSError: the file is absent, or this machine is short of resources.
        """
        status = os.stat(path)
        return cls(status.st_ino, status.st_size, status.st_mtime_ns)


class Reloader:
    """Loads a file at each signal.

    A file that is not in order is ignored, and read again for some seconds: it may be half written, or this machine
    may be short of what reading it takes, and no second signal would follow.
    """

    def __init__(self, path: str, apply: Callable[[str], None]) -> None:
        """Wait for signals.

        Args:
            path: the file.
            apply: puts all of the file in force, or raises and then has changed nothing.
        """
        self._loop = asyncio.get_running_loop()
        self._path = path
        self._apply = apply
        self._retry_until_s = 0.0  # on the event loop's clock
        self._rejected: FileState | None = None  # the state of the file that was not in order
        self._timer: asyncio.TimerHandle | None = None

    def signal(self) -> None:
        """Look at the file, which has been replaced or is being replaced."""
        self._retry_until_s = self._loop.time() + RETRY_FOR_S
        self._rejected = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._look(log_failure=True)

    def _look(self, *, log_failure: bool = False) -> None:
        """Apply the file if it has changed since it was rejected; on failure look again after a moment."""
        self._timer = None
        state: FileState | None = None
        try:
            state = FileState.of(self._path)
            if state != self._rejected:
                self._apply(self._path)
                return
        except Exception as error:  # whatever is wrong with the file, the running sidecar must go on
            if not isinstance(error, OSError):
                self._rejected = state
            if log_failure:
                log.warning("the configuration is not taken, all stays as it was: %r", error)
        if self._loop.time() < self._retry_until_s:
            self._timer = self._loop.call_later(RETRY_INTERVAL_S, self._look)
