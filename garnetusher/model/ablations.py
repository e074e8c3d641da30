"""Parts of the decisions switched off by name, to see what each is worth. Only virtual time plays them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

try:
    from garnetusher.policy import balancer, zones
    from garnetusher.policy.balancer import Balancer
    from garnetusher.policy.zones import State, Zone, Zones

    HAS_ZONES = True
except ImportError:  # the module of an earlier tree, which lacks some of these parts
    HAS_ZONES = False


def _leaving() -> None:
    """No zone is ever left by evidence."""
    Zones.compare = lambda self, zone: None  # type: ignore[method-assign]


def _lateness() -> None:
    """An attempt that is out for long tells nothing until its time is out."""
    Zones.overdue = lambda self, number, upstream, sent_us, again, now_us: None  # type: ignore[method-assign]


def _slowness() -> None:
    """A zone that answers slowly is not left for it."""
    zones.SLOW_TIMES = float("inf")


def _doubt() -> None:
    """A doubted zone is used as ever, also by what must not be repeated."""
    Zones.doubted = lambda self: set()  # type: ignore[method-assign]


def _steps() -> None:
    """A zone that has answered a try is used in full at once."""
    zones.STEPS = (1.0,)


def _coldness() -> None:
    """What refused connections is taken for what the list says of it."""
    move: Callable[[Zones, Zone, State, str], None] = Zones.move

    def warm(self: Zones, zone: Zone, state: State, why: str) -> None:
        zone.refused = False
        move(self, zone, state, why)

    Zones.move = warm  # type: ignore[method-assign]


def _waits() -> None:
    """Flaps do not make the next wait longer."""
    zones.LONGEST_WAIT_US = zones.FIRST_WAIT_US


def _elsewhere() -> None:
    """What was missed in a zone that is quiet is tried again there as anywhere."""
    Zones.quiet = lambda self, number, now_us: False  # type: ignore[method-assign]


def _near() -> None:
    """A near tier that lacks slots for a request opens some only if no tier has any, and copies go anywhere."""
    balancer.ROOM = 0.0
    Balancer.stays = lambda self, request: False  # type: ignore[method-assign]


PARTS = (_leaving, _lateness, _slowness, _doubt, _steps, _coldness, _waits, _elsewhere, _near) if HAS_ZONES else ()
ABLATIONS = {part.__name__[1:]: part for part in PARTS}


@contextmanager
def without(names: list[str]) -> Iterator[None]:
    """Play without these parts; raises KeyError on a name that is none."""
    if not names:
        yield
        return
    touched: list[tuple[Any, tuple[str, ...]]] = [
        (zones, ("SLOW_TIMES", "STEPS", "LONGEST_WAIT_US")),
        (balancer, ("ROOM",)),
        (Balancer, ("stays",)),
        (Zones, ("compare", "overdue", "doubted", "move", "quiet")),
    ]
    kept = [(where, name, getattr(where, name)) for where, names in touched for name in names]
    try:
        for name in names:
            ABLATIONS[name]()
        yield
    finally:
        for where, name, value in kept:
            setattr(where, name, value)
