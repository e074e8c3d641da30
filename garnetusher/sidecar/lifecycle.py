"""The lifecycle state of this process; readiness, draining and shutdown share one `Lifecycle` object."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable


class LifecycleState(enum.Enum):
    """A stage in the lifecycle of this process."""

    STARTING = "starting"  # the process does not accept clients yet
    SERVING = "serving"
    DRAINING = "draining"  # an operator has temporarily asked clients to use other sidecars
    STOPPING = "stopping"  # the process is shutting down, which cannot be undone


class Lifecycle:
    """Tracks the lifecycle state.

    Stopping overrides draining, which overrides starting and serving. Repeated calls have no effect.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._started = False
        self._draining_since_s: float | None = None
        self._stopping_since_s: float | None = None

    @property
    def state(self) -> LifecycleState:
        """The current state."""
        if self._stopping_since_s is not None:
            return LifecycleState.STOPPING
        if self._draining_since_s is not None:
            return LifecycleState.DRAINING
        return LifecycleState.SERVING if self._started else LifecycleState.STARTING

    @property
    def serving(self) -> bool:
        """Whether the process is started and neither draining nor stopping, which the readiness check requires."""
        return self.state is LifecycleState.SERVING

    @property
    def closing(self) -> bool:
        """Whether each connection closes after its next response."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.STOPPING)

    @property
    def closing_for_s(self) -> float:
        """Seconds since connections began to close after their next response; 0 while they stay open."""
        since_s = self._draining_since_s if self._stopping_since_s is None else self._stopping_since_s
        return 0.0 if since_s is None else self._clock() - since_s

    def start(self) -> None:
        """Mark the process as serving."""
        self._started = True

    def drain(self) -> None:
        """Start draining, which lasts until `undrain`.

        A repeated call does not postpone the closing of idle connections.
        """
        if self._draining_since_s is None:
            self._draining_since_s = self._clock()

    def undrain(self) -> None:
        """Stop draining."""
        self._draining_since_s = None

    def stop(self, signal_age_s: float = 0.0) -> None:
        """Mark the process as shutting down, which cannot be undone.

        Args:
            signal_age_s: the longest time that may have passed since the signal to shut down arrived.
        """
        if self._stopping_since_s is None:
            self._stopping_since_s = self._clock() - signal_age_s
