"""The state of this process: readiness, draining and shutdown go by it, and nothing else holds a copy."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable


class LifecycleState(enum.Enum):
    """What this process is doing."""

    STARTING = "starting"  # it does not accept clients yet
    SERVING = "serving"
    DRAINING = "draining"  # an operator has asked clients to go elsewhere, for a time
    STOPPING = "stopping"  # it shuts down, and nothing reverses that


class Lifecycle:
    """Holds the state: stopping overrides draining, which overrides the others. Repeated calls change nothing."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._started = False
        self._drained_at_s: float | None = None
        self._stopped_at_s: float | None = None

    @property
    def state(self) -> LifecycleState:
        """The present state."""
        if self._stopped_at_s is not None:
            return LifecycleState.STOPPING
        if self._drained_at_s is not None:
            return LifecycleState.DRAINING
        return LifecycleState.SERVING if self._started else LifecycleState.STARTING

    @property
    def serving(self) -> bool:
        """Whether the readiness check succeeds."""
        return self.state is LifecycleState.SERVING

    @property
    def closing(self) -> bool:
        """Whether each connection closes after its next response."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.STOPPING)

    @property
    def closing_for_s(self) -> float:
        """For how long connections have been closing; 0 while they are not."""
        since_s = self._drained_at_s if self._stopped_at_s is None else self._stopped_at_s
        return 0.0 if since_s is None else self._clock() - since_s

    def start(self) -> None:
        """Serve from now on."""
        self._started = True

    def drain(self) -> None:
        """Drain until `undrain`; a repeated call does not put off when idle connections close."""
        if self._drained_at_s is None:
            self._drained_at_s = self._clock()

    def undrain(self) -> None:
        """End a drain."""
        self._drained_at_s = None

    def stop(self) -> None:
        """Shut down."""
        if self._stopped_at_s is None:
            self._stopped_at_s = self._clock()
