"""What overload does to an upstream: a long one degrades its service, and in slow start too much work crashes it."""

from __future__ import annotations

from garnetusher.model.experiment import Upstreams

BUDGET_TOLERANCE = 1.1  # by which chance may exceed the budget of a machine that warms up


class Degradation:
    """Whether a machine is degraded by overload, from how many jobs a core it has held and for how long."""

    def __init__(self, settings: Upstreams) -> None:
        self._settings = settings
        self._enabled = settings.choke_times > 1
        self._degraded_since_us: int | None = None
        self._overloaded_since_us: int | None = None
        self._idle_since_us: int | None = None  # since when it is mostly idle while degraded

    @property
    def degraded(self) -> bool:
        """Whether it is degraded now."""
        return self._degraded_since_us is not None

    def reset(self) -> None:
        """Forget everything: the machine starts anew."""
        self._degraded_since_us = self._overloaded_since_us = self._idle_since_us = None

    def update(self, now_us: int, jobs_per_core: float) -> None:
        """Take note of the load that the machine has now."""
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
        rest_us = self._settings.choke_rest_s * 1e6
        rested = self._idle_since_us is not None and now_us - self._idle_since_us >= rest_us
        if rested or now_us - degraded_since_us >= self._settings.choke_most_s * 1e6:
            self._degraded_since_us = self._overloaded_since_us = None


def overload_budget_us(settings: Upstreams, speed: float, started_us: int, now_us: int) -> float:
    """Return the work that a machine in slow start bears in the overload window that ends now.

    It is the overload factor times the machine's capacity over that window, with a tolerance for chance. A window that
    reaches back before the start counts in full, with the capacity at the start (rule 4 in the protocol page).

    Args:
        settings: The machine's.
        speed: Of each core, beside a standard one.
        started_us: When the machine started.
        now_us: The end of the window.

    Returns:
        Microseconds of work on a standard core.
    """
    window_us = settings.fall_s * 1e6
    warm_up_us = settings.warm_up_s * 1e6

    def warm_up_fraction(at_us: float) -> float:
        gained = (1 - settings.cold_share) * max(0.0, at_us - started_us) / warm_up_us
        return min(1.0, settings.cold_share + gained)

    mean_fraction = (warm_up_fraction(now_us - window_us) + warm_up_fraction(now_us)) / 2
    return BUDGET_TOLERANCE * settings.overload_factor * settings.cores * speed * mean_fraction * window_us
