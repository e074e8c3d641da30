"""Bounds the bytes that peers can make this process hold, over all connections and requests.

The budget is what the memory limit leaves beside the process itself. Each owner of such bytes has a `MemoryHolding`,
and states its size after each change. When the total exceeds a limit, the budget asks its owner to give memory back.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from garnetusher.sidecar.streaming import MAX_BUFFERED_SIZE, READ_BUFFER_SIZE

# The part of the memory limit that the process plans with. The rest is for the overhead of the allocator.
USABLE_MEMORY_FRACTION = 0.92
PROCESS_GROWTH = 1024 * 1024  # bytes by which the process itself grows in service: traces, estimates, free objects
MIN_CONTENT_SIZE = (
    1024 * 1024
)  # bytes beside all connections; short requests are served even if the limit leaves nothing
ENDPOINT_SIZE = 4 * 1024  # bytes that the policy and the pool hold for one endpoint
DEFAULT_BUDGET_SIZE = 128 * 1024 * 1024
# Requests that are still being read may use this part of what everything else leaves;
# the rest serves complete requests.
INCOMPLETE_FRACTION = 0.6
# Relief frees a little more than needed, so that it does not run again for the next bytes.
RELIEF_FRACTION = 0.95

# What the objects of one connection or request take, beside the bytes that they hold.
CONNECTION_SIZE = 4 * 1024
REQUEST_SIZE = 6 * 1024
GROWING_BUFFER_FACTOR = 1.25  # a buffer that grows has room for its next bytes, and leaves gaps where it was before

MIN_STREAM_READ_SIZE = 2 * 1024
STREAM_READ_DIVISOR = 64  # one read of a streamed response takes at most this part of the free memory
MIN_WRITE_BUFFER_LIMIT = 4 * 1024
MAX_WRITE_BUFFER_LIMIT = 32 * 1024
WRITE_BUFFER_DIVISOR = 1024  # about the number of clients that may be slow to read at the same time


class MemoryBudget:
    """Counts the bytes that peers make the process hold.

    Attributes:
        size: the number of bytes that all holdings together should not exceed.
        used: the sum of all holdings in bytes.
        incomplete: the part of `used` that belongs to requests that are still being read.
        on_incomplete_exceeded: called when requests that are still being read hold too much; it sheds some of them.
    """

    def __init__(self, size: int = DEFAULT_BUDGET_SIZE) -> None:
        self.size = size
        self.used = 0
        self.incomplete = 0
        self.on_incomplete_exceeded: Callable[[], None] = lambda: None

    @classmethod
    def for_process(
        cls, memory_bytes: int, process_count: int, endpoint_count: int, max_connections: int
    ) -> MemoryBudget:
        """Return the budget of this process; it is created before the process serves peers.

        Args:
            memory_bytes: the limit on the memory of all processes together.
            process_count: the number of processes that share the limit.
            endpoint_count: the number of endpoints that the process knows at its start.
            max_connections: the largest number of connections from clients.
        """
        share_bytes = memory_bytes / process_count
        process = ProcessMemory.measure()
        process_bytes = process.private_bytes + process.shared_bytes / process_count + PROCESS_GROWTH
        endpoint_bytes = endpoint_count * ENDPOINT_SIZE
        min_size = max_connections * CONNECTION_SIZE + MIN_CONTENT_SIZE
        return cls(max(min_size, int(USABLE_MEMORY_FRACTION * share_bytes - process_bytes - endpoint_bytes)))

    @property
    def free(self) -> int:
        """The number of bytes that are left; 0 if the budget is exceeded."""
        return max(0, self.size - self.used)

    @property
    def exceeded(self) -> bool:
        """Whether all holdings together exceed the budget."""
        return self.used > self.size

    @property
    def incomplete_excess(self) -> int:
        """The number of bytes by which requests that are still being read exceed what they may use now."""
        return self.incomplete - self.incomplete_limit

    @property
    def incomplete_limit(self) -> int:
        """The number of bytes that requests that are still being read may hold now."""
        used_otherwise = self.used - self.incomplete
        return max(0, int(INCOMPLETE_FRACTION * (self.size - used_otherwise)))

    @property
    def stream_read_size(self) -> int:
        """The number of bytes that one read of a streamed response may take."""
        return min(READ_BUFFER_SIZE, max(MIN_STREAM_READ_SIZE, self.free // STREAM_READ_DIVISOR))

    @property
    def write_buffer_limit(self) -> int:
        """The number of unsent bytes above which the source of a response to one client is paused."""
        return min(MAX_WRITE_BUFFER_LIMIT, max(MIN_WRITE_BUFFER_LIMIT, self.size // WRITE_BUFFER_DIVISOR))

    @property
    def must_stream(self) -> bool:
        """Whether a response may not be buffered to its end, because that could exceed the budget."""
        return self.free < MAX_BUFFERED_SIZE


def growing_buffer_size(length: int) -> int:
    """Return the memory of a buffer of a given length that has grown in small steps."""
    return int(GROWING_BUFFER_FACTOR * length)


class MemoryHolding:
    """The bytes that one connection or request holds, until it is released."""

    __slots__ = ("_budget", "_incomplete", "_is_released", "_size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._size = 0
        self._incomplete = 0
        self._is_released = False

    @property
    def size(self) -> int:
        """The number of bytes that are held."""
        return self._size

    @property
    def incomplete(self) -> int:
        """The part of `size` that belongs to a request that is still being read."""
        return self._incomplete

    def resize(self, size: int, incomplete: int = 0) -> None:
        """Set the number of bytes that are held; nothing happens after the release.

        Args:
            size: all bytes.
            incomplete: the part of them that belongs to a request that is still being read.
        """
        if self._is_released:
            return
        budget = self._budget
        budget.used += size - self._size
        budget.incomplete += incomplete - self._incomplete
        self._size, self._incomplete = size, incomplete
        if incomplete and budget.incomplete_excess > 0:
            budget.on_incomplete_exceeded()

    def release(self) -> None:
        """Hold nothing from now on."""
        self.resize(0)
        self._is_released = True


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """The resident memory of a process in bytes.

    Attributes:
        private_bytes: the part that belongs to this process alone.
        shared_bytes: the part that other processes of the same program share, such as the pages of its files.
    """

    private_bytes: int = 15 * 1024 * 1024
    shared_bytes: int = 10 * 1024 * 1024

    @classmethod
    def measure(cls) -> ProcessMemory:
        """Return the memory of this process, or that of a typical one without requests if the kernel does not tell."""
        try:
            fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
            resident_pages, shared_pages = int(fields[1]), int(fields[2])
        except (OSError, ValueError, IndexError):
            return cls()
        page_size = os.sysconf("SC_PAGE_SIZE")
        return cls((resident_pages - shared_pages) * page_size, shared_pages * page_size)
