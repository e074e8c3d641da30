"""Crossings of hand-overs: long bodies and long answers that overlap."""

from __future__ import annotations

import asyncio

from tests.net import request, sidecar
from tests.test_long import LONG, Raw
from tests.test_sidecar import run, status

DEADLINE_S = 0.5


def test_a_long_answer_that_begins_before_its_body_is_whole_is_not_cut_at_the_deadline() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(LONG) - 1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:100_000])
            await reader.readexactly(1)
            await go.wait()
            writer.write(LONG[100_000:])
            await reader.read()

        async with sidecar(Raw(play)) as it:
            reader, writer = await it.connect()
            whole = request("pay", body=LONG, deadline_ms=int(1000 * DEADLINE_S))
            writer.write(whole[:-1])
            assert status((await reader.readuntil(b"\r\n\r\n"), b"")) == 200
            writer.write(whole[-1:])
            await asyncio.sleep(2 * DEADLINE_S)  # its time, from the last byte of its body on, is over
            go.set()
            assert await reader.readexactly(len(LONG)) == LONG
            writer.close()

    run(test)
