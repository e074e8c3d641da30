"""Ablations: switch off parts of the policy by name to measure their effect. Available only in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

try:
    from garnetusher.policy import outlier, zones
    from garnetusher.policy import zone as zone_module
    from garnetusher.policy.selection import EndpointSelector
    from garnetusher.policy.zone import Zone, ZoneState
    from garnetusher.policy.zones import Zones

    HAS_ZONES = True
except ImportError:  # `model run --tree` may load the policy of an older source tree, which lacks some parts
    HAS_ZONES = False


def _leaving() -> None:
    """Do not suspect or evacuate zones because their attempts fail or are slow."""
    Zones.evaluate = lambda self, zone: None  # type: ignore[method-assign]


def _lateness() -> None:
    """Do not count overdue attempts against their zones before they time out."""
    Zones.record_overdue = lambda self, number, endpoint_id, sent_us, now_us, *, repeated: None  # type: ignore[method-assign]


def _slowness() -> None:
    """Do not evacuate a zone because it answers slowly."""
    zones.SLOW_FACTOR = float("inf")


def _doubt() -> None:
    """Do not avoid suspected zones for requests that must not be retried."""
    Zones.suspected = lambda self: set()  # type: ignore[method-assign]


def _steps() -> None:
    """Restore a zone at once instead of in steps after it has answered a health check."""
    zone_module.RECOVERY_STEPS = (1.0,)


def _coldness() -> None:
    """Do not treat endpoints of a zone that refused connections as restarted; rely on the list's start times alone."""
    change_state: Callable[[Zones, Zone, ZoneState, str], None] = Zones.change_state

    def change_state_without_refusal(self: Zones, zone: Zone, state: ZoneState, reason: str) -> None:
        """Change the state of a zone, and forget that it refused connections."""
        zone.refused_when_evacuated = False
        change_state(self, zone, state, reason)

    Zones.change_state = change_state_without_refusal  # type: ignore[method-assign]


def _waits() -> None:
    """Do not double the backoff when a zone flaps."""
    zones.MAX_BACKOFF_US = zone_module.INITIAL_BACKOFF_US


def _elsewhere() -> None:
    """Do not avoid a silent zone when retrying a request that has an attempt there."""
    Zones.is_silent = lambda self, number, now_us: False  # type: ignore[method-assign]


def _near() -> None:
    """Raise slot limits in near tiers only if no tier has a free slot, and let hedges go to any tier."""
    outlier.SPARE_CAPACITY_LOAD = 0.0
    EndpointSelector.hedge_stays_in_tier = lambda self, request: False  # type: ignore[method-assign]


PARTS = (_leaving, _lateness, _slowness, _doubt, _steps, _coldness, _waits, _elsewhere, _near) if HAS_ZONES else ()
ABLATIONS = {part.__name__[1:]: part for part in PARTS}


@contextmanager
def ablate(names: list[str]) -> Iterator[None]:
    """Switch the named parts off for the duration of the context.

    Raises:
        KeyError: a name is not in `ABLATIONS`.
    """
    if not names:
        yield
        return
    patched: list[tuple[Any, tuple[str, ...]]] = [
        (zones, ("SLOW_FACTOR", "MAX_BACKOFF_US")),
        (zone_module, ("RECOVERY_STEPS",)),
        (outlier, ("SPARE_CAPACITY_LOAD",)),
        (EndpointSelector, ("hedge_stays_in_tier",)),
        (Zones, ("evaluate", "record_overdue", "suspected", "change_state", "is_silent")),
    ]
    saved = [(owner, name, getattr(owner, name)) for owner, names in patched for name in names]
    try:
        for name in names:
            ABLATIONS[name]()
        yield
    finally:
        for owner, name, value in saved:
            setattr(owner, name, value)
