"""Runs the asynchronous part of a test, and reads what it got."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.net import TEST_TIMEOUT_S


def status(answer: tuple[bytes, bytes]) -> int:
    """Return the status of a response, given as head and body."""
    return int(answer[0].split(b" ")[1])


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on an event loop of its own; one that hangs is ended."""

    async def limited() -> None:
        async with asyncio.timeout(3 * TEST_TIMEOUT_S):
            await test()

    asyncio.run(limited())
