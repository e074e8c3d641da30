"""Reloads the configuration file at SIGHUP, and retries while the file is not valid yet."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.05  # delay between attempts to load a file
# If the new file has a new address of discovery, the sidecar must apply a change from that address within 4 s after the
# signal. Discovery stops listening on the old address before these 4 s are over. Retries continue for 1 s more.
RETRY_FOR_S = 5.0


@dataclass(frozen=True, slots=True)
class FileState:
    """Metadata that differs between two versions of a file."""

    inode: int
    size: int
    modified_ns: int

    @classmethod
    def of(cls, path: str) -> FileState:
        """Return the current state of a file.

        Raises:
            OSError: the file is absent, or this machine is short of resources.
        """
        status = os.stat(path)
        return cls(status.st_ino, status.st_size, status.st_mtime_ns)


class Reloader:
    """Loads a file at each signal.

    If the file cannot be applied, the reloader keeps the current configuration and retries for `RETRY_FOR_S` seconds.
    The file may be half written, or this machine may be short of the resources to read it. The retries are necessary
    because no second signal follows in these cases.
    """

    def __init__(self, path: str, apply: Callable[[str], None]) -> None:
        """Prepare to load the file at each call of `on_signal`.

        Args:
            path: file to load.
            apply: callback that applies the whole file, or raises an exception and changes nothing.
        """
        self._loop = asyncio.get_running_loop()
        self._path = path
        self._apply = apply
        self._retry_until_s = 0.0  # time on the clock of the event loop
        self._rejected_state: FileState | None = None  # state of the file when it was last rejected as invalid
        self._timer: asyncio.TimerHandle | None = None

    def on_signal(self) -> None:
        """Load the file, which has been replaced or is being replaced."""
        self._retry_until_s = self._loop.time() + RETRY_FOR_S
        self._rejected_state = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._try_load(log_failure=True)

    def _try_load(self, *, log_failure: bool = False) -> None:
        """Apply the file unless it is unchanged since it was rejected; on failure retry after `RETRY_INTERVAL_S`."""
        self._timer = None
        state: FileState | None = None
        try:
            state = FileState.of(self._path)
            if state != self._rejected_state:
                self._apply(self._path)
                return
        except Exception as error:  # the running sidecar must survive any error in the file
            if not isinstance(error, OSError):
                self._rejected_state = state
            if log_failure:
                log.warning("rejected the new configuration and kept the current one: %r", error)
        if self._loop.time() < self._retry_until_s:
            self._timer = self._loop.call_later(RETRY_INTERVAL_S, self._try_load)
