"""What this process is doing: the one place that knows, which all others ask."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable


class LifecycleState(enum.Enum):
    STARTING = "starting"  # it has no list to serve from yet
    SERVING = "serving"
    DRAINING = "draining"  # an operator has asked its clients away, for a time
    STOPPING = "stopping"  # it ends, and nothing turns that back


class Lifecycle:
    """Stopping wins over draining, draining over the rest; each may be told again without effect."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._started = False
        self._drained_at: float | None = None
        self._stopped_at: float | None = None

    @property
    def state(self) -> LifecycleState:
        if self._stopped_at is not None:
            return LifecycleState.STOPPING
        if self._drained_at is not None:
            return LifecycleState.DRAINING
        return LifecycleState.SERVING if self._started else LifecycleState.STARTING

    @property
    def serving(self) -> bool:
        """Whether clients are told to come."""
        return self.state is LifecycleState.SERVING

    @property
    def closing(self) -> bool:
        """Whether each answer is the last one of its connection."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.STOPPING)

    @property
    def closing_for_s(self) -> float:
        """How long it has been so; 0 while it is not."""
        at = self._drained_at if self._stopped_at is None else self._stopped_at
        return 0.0 if at is None else self._clock() - at

    def start(self) -> None:
        self._started = True

    def drain(self) -> None:
        """Hazard: told again, it must not put off the moment when idle connections close."""
        if self._drained_at is None:
            self._drained_at = self._clock()

    def undrain(self) -> None:
        self._drained_at = None

    def stop(self) -> None:
        if self._stopped_at is None:
            self._stopped_at = self._clock()
