"""Parts of the decisions switched off by name, to see what each is worth. Only virtual time plays them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

try:
    from glenkeel import zones
    from glenkeel.zones import State, Zone, Zones
    HAS_ZONES = True
except ImportError:  # the module of an earlier tree, which has none of these parts
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


PARTS = (_leaving, _lateness, _slowness, _doubt, _steps, _coldness, _waits) if HAS_ZONES else ()
ABLATIONS = {part.__name__[1:]: part for part in PARTS}


@contextmanager
def without(names: list[str]) -> Iterator[None]:
    """Play without these parts; raises KeyError on a name that is none."""
    if not names:
        yield
        return
    kept = [(zones, name, getattr(zones, name)) for name in ("SLOW_TIMES", "STEPS", "LONGEST_WAIT_US")]
    methods = [(name, getattr(Zones, name)) for name in ("compare", "overdue", "doubted", "move")]
    try:
        for name in names:
            ABLATIONS[name]()
        yield
    finally:
        for module, name, value in kept:
            setattr(module, name, value)
        for name, value in methods:
            setattr(Zones, name, value)
