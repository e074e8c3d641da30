"""The clock of the sidecar: monotonic, in microseconds."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1000


def monotonic_us() -> int:
    """Read the monotonic clock, which all times of requests, attempts and endpoints refer to."""
    return time.monotonic_ns() // NANOSECONDS_PER_MICROSECOND
