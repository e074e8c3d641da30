"""Parts of the decisions switched off by name, to see what each is worth. Only virtual time plays them."""

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
except ImportError:  # the module of an earlier tree, which lacks some of these parts
    HAS_ZONES = False


def _leaving() -> None:
    """No zone is ever left by evidence."""
    Zones.evaluate = lambda self, zone: None  # type: ignore[method-assign]


def _lateness() -> None:
    """An attempt that is out for long tells nothing until its time is out."""
    Zones.record_overdue = lambda self, number, endpoint_id, sent_us, now_us, *, repeated: None  # type: ignore[method-assign]


def _slowness() -> None:
    """A zone that answers slowly is not left for it."""
    zones.SLOW_FACTOR = float("inf")


def _doubt() -> None:
    """A doubted zone is used as ever, also by what must not be repeated."""
    Zones.suspected = lambda self: set()  # type: ignore[method-assign]


def _steps() -> None:
    """A zone that has answered a try is used in full at once."""
    zone_module.RECOVERY_STEPS = (1.0,)


def _coldness() -> None:
    """What refused connections is taken for what the list says of it."""
    move: Callable[[Zones, Zone, ZoneState, str], None] = Zones.change_state

    def warm(self: Zones, zone: Zone, state: ZoneState, reason: str) -> None:
        zone.refused_when_evacuated = False
        move(self, zone, state, reason)

    Zones.change_state = warm  # type: ignore[method-assign]


def _waits() -> None:
    """Flaps do not make the next wait longer."""
    zones.MAX_BACKOFF_US = zone_module.INITIAL_BACKOFF_US


def _elsewhere() -> None:
    """What was missed in a zone that is quiet is tried again there as anywhere."""
    Zones.is_silent = lambda self, number, now_us: False  # type: ignore[method-assign]


def _near() -> None:
    """A near tier that lacks slots for a request opens some only if no tier has any, and copies go anywhere."""
    outlier.SPARE_CAPACITY_LOAD = 0.0
    EndpointSelector.hedge_stays_in_tier = lambda self, request: False  # type: ignore[method-assign]


PARTS = (_leaving, _lateness, _slowness, _doubt, _steps, _coldness, _waits, _elsewhere, _near) if HAS_ZONES else ()
ABLATIONS = {part.__name__[1:]: part for part in PARTS}


@contextmanager
def without(names: list[str]) -> Iterator[None]:
    """Play without these parts; raises KeyError on a name that is none."""
    if not names:
        yield
        return
    touched: list[tuple[Any, tuple[str, ...]]] = [
        (zones, ("SLOW_FACTOR", "MAX_BACKOFF_US")),
        (zone_module, ("RECOVERY_STEPS",)),
        (outlier, ("SPARE_CAPACITY_LOAD",)),
        (EndpointSelector, ("hedge_stays_in_tier",)),
        (Zones, ("evaluate", "record_overdue", "suspected", "change_state", "is_silent")),
    ]
    kept = [(where, name, getattr(where, name)) for where, names in touched for name in names]
    try:
        for name in names:
            ABLATIONS[name]()
        yield
    finally:
        for where, name, value in kept:
            setattr(where, name, value)
