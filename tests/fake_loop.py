"""A fake event loop whose time a test advances."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any


class FakeEventLoop:
    """Runs timers when a test advances the time, and counts connection attempts, none of which succeeds."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.timers: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.connect_count = 0

    def time(self) -> float:
        return self.now_s

    def call_later(self, delay_s: float, callback: Callable[..., None], *args: object) -> Any:
        timer = (self.now_s + delay_s, len(self.timers), callback, args)
        self.timers.append(timer)
        return SimpleNamespace(cancel=lambda: self.timers.remove(timer) if timer in self.timers else None)

    def call_soon(self, callback: Callable[..., None], *args: object) -> Any:
        return self.call_later(0, callback, *args)

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> Any:
        coroutine.close()
        self.connect_count += 1
        return SimpleNamespace(cancel=lambda: None)

    def advance(self, until_s: float) -> None:
        while self.timers and min(self.timers)[0] <= until_s:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now_s = max(self.now_s, timer[0])
            timer[2](*timer[3])
        self.now_s = until_s
