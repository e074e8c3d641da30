"""An event loop whose time moves when a test says so."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any


class DrivenLoop:
    """Time that moves when a test says so; no connection ever comes up."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.dials = 0

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, what: Callable[..., None], *args: object) -> Any:
        timer = (self.now + delay, len(self.timers), what, args)
        self.timers.append(timer)
        return SimpleNamespace(cancel=lambda: self.timers.remove(timer) if timer in self.timers else None)

    def create_task(self, task: Coroutine[Any, Any, None]) -> Any:
        task.close()
        self.dials += 1
        return SimpleNamespace(cancel=lambda: None)

    def advance(self, to: float) -> None:
        while self.timers and min(self.timers)[0] <= to:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            timer[2](*timer[3])
        self.now = to
