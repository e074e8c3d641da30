"""Guards against a begun response that is cut off although its upstream still sends the rest and there is room."""

from __future__ import annotations

import asyncio

import pytest

from garnetusher.sidecar.memory_budget import MemoryBudget
from garnetusher.sidecar.upstream import pool as pool_module
from tests.net import request, sidecar
from tests.runner import run
from tests.streams import FunctionUpstream, read_body

STALL_US = 300_000
HANG_S = 1.2
BODY = bytes(range(256)) * 1024
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)


async def answer_with_pause(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + BODY[:100_000])
    await asyncio.sleep(HANG_S)
    writer.write(BODY[100_000:])
    await writer.drain()


async def read_responses(count: int) -> list[bool]:
    """Return for each response whether it is whole; each request comes a little later than the one before."""

    async def read_one(port: int, number: int) -> bool:
        await asyncio.sleep(0.15 * number)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request())
        try:
            _, body = await read_body(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()
        return body == BODY

    async with sidecar(*(FunctionUpstream(answer_with_pause) for _ in range(4))) as running:
        return await asyncio.gather(*(read_one(running.port, number) for number in range(count)))


@pytest.fixture(autouse=True)
def short_stall_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "STALL_TIMEOUT_US", STALL_US)


def test_response_is_whole_when_its_upstream_hangs_for_longer_than_the_stall_timeout() -> None:
    async def test() -> None:
        assert await read_responses(3) == [True, True, True]

    run(test)


def test_longest_stall_ends_when_too_many_responses_have_stalled(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "MAX_STALLED_RESPONSES", 2)

    async def test() -> None:
        assert await read_responses(4) == [False, False, True, True]

    run(test)


def test_stalled_responses_end_when_memory_is_short(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemoryBudget, "must_stream", True)

    async def test() -> None:
        assert await read_responses(2) == [False, False]

    run(test)
