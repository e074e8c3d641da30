"""A file in which the processes of a takeover share the ids of requests that may not run twice.

The file is a ring of records of fixed size behind a counter of all records that were ever written. A lock on the file
makes reading, checking and writing one step. It lies in `$TMPDIR`, which the platform gives to both processes.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import struct
from pathlib import Path

from garnetusher.sidecar.requests.request_ids import SharedRecord

FILE_NAME = "garnetusher-request-ids"
CAPACITY = 16_384  # records
COUNTER = struct.Struct("<Q")
RECORD = struct.Struct("<Q?3xI")  # key, whether it is claimed, time in seconds; earlier versions write the time 0
US_PER_S = 1_000_000
FILE_SIZE = COUNTER.size + CAPACITY * RECORD.size


class SharedRequestIds:
    """The records of both processes, mapped into memory."""

    def __init__(self, folder: Path) -> None:
        """Open the file, or create it with no records.

        Raises:
            OSError: the file can't be opened, extended or mapped.
        """
        self._descriptor = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        os.posix_fallocate(self._descriptor, 0, FILE_SIZE)  # a write to a page that has no room would end the process
        self._map = mmap.mmap(self._descriptor, FILE_SIZE)
        self._read_count = 0  # the number of records that `read` has passed

    def lock(self) -> None:
        """Keep other processes from claiming ids; they hold the lock for microseconds."""
        fcntl.flock(self._descriptor, fcntl.LOCK_EX)

    def unlock(self) -> None:
        """Let other processes claim ids again."""
        fcntl.flock(self._descriptor, fcntl.LOCK_UN)

    def read(self) -> list[SharedRecord]:
        """Return the records that were written since the last call.

        The caller holds the lock. Records that have been overwritten in the ring are skipped.
        """
        count = self._count()
        first = max(self._read_count, count - CAPACITY)
        self._read_count = count
        return [self._record(number) for number in range(first, count)]

    def _record(self, number: int) -> SharedRecord:
        key, claimed, written_s = RECORD.unpack_from(self._map, _offset(number))
        return SharedRecord(key, claimed, written_s * US_PER_S)

    def write(self, key: int, now_us: int, *, claimed: bool) -> None:
        """Write a key that this process has claimed or forgotten; the caller holds the lock."""
        count = self._count()
        written_s = -(-now_us // US_PER_S)  # rounded up, so that an id is kept for all of its time
        RECORD.pack_into(self._map, _offset(count), key, claimed, written_s)
        COUNTER.pack_into(self._map, 0, count + 1)
        if self._read_count == count:
            self._read_count = count + 1

    def _count(self) -> int:
        return int(COUNTER.unpack_from(self._map, 0)[0])


def _offset(number: int) -> int:
    return COUNTER.size + number % CAPACITY * RECORD.size
