"""The effects of overload on an upstream: long overload degrades its service, and overload in slow start crashes it."""

from __future__ import annotations

from garnetusher.model.experiment import Upstreams

OVERLOAD_BUDGET_TOLERANCE = 1.1  # the exact budget is multiplied by this factor to tolerate random bursts


class Degradation:
    """Tracks whether overload degrades a machine, from its jobs per core over time."""

    def __init__(self, settings: Upstreams) -> None:
        self._settings = settings
        self._enabled = settings.choke_times > 1
        self._degraded_since_us: int | None = None
        self._overloaded_since_us: int | None = None
        self._idle_since_us: int | None = None  # the last fall of a degraded machine's load to `choke_below`

    @property
    def degraded(self) -> bool:
        """Whether the machine is degraded now."""
        return self._degraded_since_us is not None

    def reset(self) -> None:
        """Clear the state when the machine starts again."""
        self._degraded_since_us = self._overloaded_since_us = self._idle_since_us = None

    def update(self, now_us: int, jobs_per_core: float) -> None:
        """Update the state with the current load of the machine."""
        if not self._enabled:
            return
        if self._degraded_since_us is None:
            self._update_normal(now_us, jobs_per_core)
        else:
            self._update_degraded(now_us, jobs_per_core, self._degraded_since_us)

    def _update_normal(self, now_us: int, jobs_per_core: float) -> None:
        if jobs_per_core <= self._settings.choke_at:
            self._overloaded_since_us = None
            return
        if self._overloaded_since_us is None:
            self._overloaded_since_us = now_us
        if now_us - self._overloaded_since_us >= self._settings.choke_over_s * 1e6:
            self._degraded_since_us = now_us
            self._idle_since_us = None

    def _update_degraded(self, now_us: int, jobs_per_core: float, degraded_since_us: int) -> None:
        if jobs_per_core > self._settings.choke_below:
            self._idle_since_us = None
        elif self._idle_since_us is None:
            self._idle_since_us = now_us
        recovery_us = self._settings.choke_rest_s * 1e6
        recovered = self._idle_since_us is not None and now_us - self._idle_since_us >= recovery_us
        if recovered or now_us - degraded_since_us >= self._settings.choke_most_s * 1e6:
            self._degraded_since_us = self._overloaded_since_us = None


def overload_budget_us(settings: Upstreams, speed: float, started_us: int, now_us: int) -> float:
    """Return how much work a machine in slow start can receive during the overload window without a crash.

    The budget is the overload factor times the machine's capacity over the window, with a tolerance for random bursts.
    For the part of the window before the start, the capacity at the start applies, as rule 4 of the protocol states.

    Args:
        settings: The settings of the machine.
        speed: The speed of each core; a standard core has speed 1.
        started_us: When the machine started.
        now_us: The end of the window.

    Returns:
        The work in microseconds on a standard core.
    """
    window_us = settings.fall_s * 1e6
    warm_up_us = settings.warm_up_s * 1e6

    def warm_up_fraction(at_us: float) -> float:
        """Return the part of its full capacity that the upstream has at a time."""
        gained_fraction = (1 - settings.cold_share) * max(0.0, at_us - started_us) / warm_up_us
        return min(1.0, settings.cold_share + gained_fraction)

    mean_fraction = (warm_up_fraction(now_us - window_us) + warm_up_fraction(now_us)) / 2
    return OVERLOAD_BUDGET_TOLERANCE * settings.overload_factor * settings.cores * speed * mean_fraction * window_us
