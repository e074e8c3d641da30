"""The monotonic clock of the sidecar, in microseconds."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1000


def monotonic_us() -> int:
    """Return the monotonic time, to which all times of requests, attempts and endpoints refer."""
    return time.monotonic_ns() // NANOSECONDS_PER_MICROSECOND
