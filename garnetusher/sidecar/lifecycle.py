"""The lifecycle state of this process; readiness, draining and shutdown share one `Lifecycle` object."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable

from garnetusher.sidecar.transitions import LifecycleTransition


class LifecycleState(enum.Enum):
    """A stage in the lifecycle of this process; each value is also the value of a `LifecycleTransition`."""

    STARTING = "starting"  # the process does not accept clients yet
    SERVING = "serving"
    DRAINING = "draining"  # an operator has temporarily asked clients to use other sidecars
    STOPPING = "stopping"  # the process is shutting down, which cannot be undone


class Lifecycle:
    """Tracks the lifecycle state.

    Stopping overrides draining, which overrides starting and serving. Repeated calls have no effect.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_transition: Callable[[LifecycleTransition], None] = lambda _: None,
    ) -> None:
        """Start in the state `STARTING`.

        Args:
            clock: returns the monotonic time in seconds.
            on_transition: called with each state that the process enters, and with each step of its shutdown.
        """
        self._clock = clock
        self._on_transition = on_transition
        self._last_transition: LifecycleTransition | None = None
        self._started = False
        self._draining_since_s: float | None = None
        self._stopping_since_s: float | None = None
        self._reported_state: LifecycleState | None = None
        self._report_state()

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
        self._report_state()

    def drain(self) -> None:
        """Start draining, which lasts until `undrain`.

        A repeated call does not postpone the closing of idle connections.
        """
        if self._draining_since_s is None:
            self._draining_since_s = self._clock()
            self._report_state()

    def undrain(self) -> None:
        """Stop draining."""
        self._draining_since_s = None
        self._report_state()

    def stop(self, signal_age_s: float = 0.0) -> None:
        """Mark the process as shutting down, which cannot be undone.

        Args:
            signal_age_s: the longest time that may have passed since the signal to shut down arrived.
        """
        if self._stopping_since_s is None:
            self._stopping_since_s = self._clock() - signal_age_s
            self._report_state()

    def report(self, transition: LifecycleTransition) -> bool:
        """Report a state or a step of the shutdown; return False if it was the last one that was reported."""
        if transition is self._last_transition:
            return False
        self._last_transition = transition
        self._on_transition(transition)
        return True

    def _report_state(self) -> None:
        if self.state is not self._reported_state:
            self._reported_state = self.state
            self.report(LifecycleTransition(self.state.value))
