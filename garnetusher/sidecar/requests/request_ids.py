"""Remembers the ids of requests that may have run and may not run twice.

A client that has left may send a request again under the same `X-Request-Id`, also to the process that replaces this
one. Such a repeat is not forwarded. An id is remembered from the arrival of its request, and forgotten if no attempt of
the request can have run.
"""

from __future__ import annotations

import enum
from _blake2 import blake2b  # `hashlib` would load OpenSSL, which takes megabytes
from typing import NamedTuple, Protocol

from garnetusher.sidecar.memory_budget import MemoryBudget, MemoryHolding

DIGEST_SIZE = 8  # bytes
ID_SIZE = 72  # bytes that one id takes in a set
MAX_IDS = 16_384
MEMORY_DIVISOR = 8  # the ids take at most this part of the memory budget
# An id is remembered at least for this time, or for the longest deduplication window of the settings if that is longer.
MIN_RETENTION_US = 30_000_000
UNKNOWN_TIME = 0


class Claim(enum.Enum):
    """The result of claiming an id for a request."""

    NEW = "new"  # the request may be forwarded
    REPEATED = "repeated"  # a request with this id may have run or may still run
    FULL = "full"  # no further id can be remembered, so the request may not be forwarded


class SharedRecord(NamedTuple):
    """What one of the processes of a takeover has done with an id.

    Attributes:
        key: the key of the request.
        claimed: whether the id was claimed; if not, it was forgotten.
        written_us: the time on the monotonic clock of the machine, which all its processes share, or UNKNOWN_TIME.
    """

    key: int
    claimed: bool
    written_us: int


class SharedIds(Protocol):
    """The ids that the processes of a takeover share."""

    def lock(self) -> None:
        """Keep other processes from claiming ids."""

    def unlock(self) -> None:
        """Let other processes claim ids again."""

    def read(self) -> list[SharedRecord]:
        """Return the records that were written since the last call."""

    def write(self, key: int, now_us: int, *, claimed: bool) -> None:
        """Write a key that this process has claimed or forgotten."""


def request_key(class_name: str, client_request_id: str) -> int:
    """Return the key under which a request is remembered."""
    name = f"{class_name}\0{client_request_id}".encode()
    return int.from_bytes(blake2b(name, digest_size=DIGEST_SIZE).digest(), "little")


class RequestIds:
    """A bounded set of keys in two generations; the older one is dropped when the newer one is full.

    Attributes:
        shared: the ids of the other process at a takeover; None if no process shares the clients' socket.
        retention_us: the time for which an id is remembered at least.
    """

    def __init__(self, memory: MemoryBudget, now_us: int, shared: SharedIds | None = None) -> None:
        self.shared = shared
        self.retention_us = MIN_RETENTION_US
        self._generation_capacity = max(1, min(MAX_IDS, memory.size // MEMORY_DIVISOR // ID_SIZE) // 2)
        self._holding = MemoryHolding(memory)
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._newer_since_us = now_us

    def apply_window(self, longest_window_us: int) -> None:
        """Remember ids at least for the longest deduplication window of the settings."""
        self.retention_us = max(MIN_RETENTION_US, longest_window_us)

    def claim(self, key: int, now_us: int) -> Claim:
        """Remember the id of a request that has just arrived, unless it is a repeat."""
        if self.shared is None:
            return self._claim(key, now_us)
        self.shared.lock()
        try:
            self._read_shared(now_us)
            result = self._claim(key, now_us)
            if result is Claim.NEW:
                self.shared.write(key, now_us, claimed=True)
            return result
        finally:
            self.shared.unlock()

    def forget(self, key: int) -> None:
        """Forget the id of a request that never ran, so that its client may send it again."""
        self._discard(key)
        if self.shared is not None:
            self.shared.lock()
            self.shared.write(key, UNKNOWN_TIME, claimed=False)
            self.shared.unlock()

    def _claim(self, key: int, now_us: int) -> Claim:
        if key in self._newer or key in self._older:
            return Claim.REPEATED
        return Claim.NEW if self._add(key, now_us) else Claim.FULL

    def _read_shared(self, now_us: int) -> None:
        """Read the records of the other process, each as of its own time.

        A new process reads thousands of records at once. As of now all of them would be too young to be dropped, and
        there would be no room for a new id.
        """
        if self.shared is None:
            return
        for record in self.shared.read():
            is_time_known = (
                UNKNOWN_TIME < record.written_us <= now_us
            )  # the file may be older than the start of the machine
            if record.claimed:
                self._add(record.key, record.written_us if is_time_known else now_us)
            else:
                self._discard(record.key)

    def _add(self, key: int, now_us: int) -> bool:
        """Add a key; return False if the oldest keys may not be dropped for it yet."""
        if len(self._newer) >= self._generation_capacity:
            if self._older and now_us < self._newer_since_us + self.retention_us:
                return False
            self._older, self._newer = self._newer, set()
            self._newer_since_us = now_us
        self._newer.add(key)
        self._update_holding()
        return True

    def _discard(self, key: int) -> None:
        self._newer.discard(key)
        self._older.discard(key)
        self._update_holding()

    def _update_holding(self) -> None:
        self._holding.resize(ID_SIZE * (len(self._newer) + len(self._older)))
