"""Runs asynchronous tests and reads the status of responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.net import TEST_TIMEOUT_S


def status(response: tuple[bytes, bytes]) -> int:
    """Return the status of a response, which is a pair of head and body."""
    return int(response[0].split(b" ")[1])


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on a new event loop, with a timeout that ends a test that hangs."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(3 * TEST_TIMEOUT_S):
            await test()

    asyncio.run(run_with_timeout())
