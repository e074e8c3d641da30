"""Clients that say `Connection: close` with their last request: does the sidecar stay under its limit on memory?"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Discovery, Record, Sidecar, main, read_message, request_head, start_upstreams

UPSTREAMS = 12
CLIENTS = 120  # clients may hold a third of 384 descriptors
BODY = bytes(64 * 1024)  # "A body holds at most 64 KiB"
READS_BEFORE_PUBLISH = (18, 30)  # number of reads on a connection before its one long request
MAX_PAUSE_S = 0.8  # between two requests of a client
DURATION_S = 100.0
SAMPLE_INTERVAL_S = 0.1
RECORD_INTERVAL_S = 5.0
READ_DEADLINE_MS, PUBLISH_DEADLINE_MS = 1500, 2000


class Clients:
    """The client connections of one application; each carries some reads and ends with a publish."""

    def __init__(self, sidecar: Sidecar, record: Record) -> None:
        self.counts: Counter[str] = Counter()
        self.waiting: set[str] = set()  # requests that were sent whole, and whose client waits for the answer
        self._sidecar = sidecar
        self._record = record

    async def run(self, number: int) -> None:
        """Use one connection after the other until the task is cancelled."""
        rng = random.Random(number)
        connections = 0
        while True:
            connections += 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._use_connection(f"c{number}-{connections}", rng)

    async def _use_connection(self, name: str, rng: random.Random) -> None:
        reader, writer = await self._sidecar.connect()
        try:
            for index in range(rng.randint(*READS_BEFORE_PUBLISH)):
                await asyncio.sleep(rng.random() * MAX_PAUSE_S)
                request_id = f"{name}-r{index}"
                writer.write(request_head("manifest-read", request_id, READ_DEADLINE_MS))
                await self._wait_for_answer(request_id, reader)
            request_id = f"{name}-p"
            framing = f"Content-Length: {len(BODY)}"
            if self._record.trouble:
                framing = f"Connection: close\r\n{framing}"
            writer.write(request_head("version-publish", request_id, PUBLISH_DEADLINE_MS, framing) + BODY)
            await self._wait_for_answer(request_id, reader)
            self.counts["connections ended"] += 1
        finally:
            writer.close()

    async def _wait_for_answer(self, request_id: str, reader: asyncio.StreamReader) -> None:
        self.waiting.add(request_id)
        answer = await read_message(reader)
        self.waiting.discard(request_id)
        self.counts[answer.status] += 1
        self._record.write(f"{request_id} gets {answer.status}")


async def watch_memory(sidecar: Sidecar, clients: Clients, record: Record) -> bool:
    """Act as the platform, which kills a sidecar over its limit; return whether it stayed under it."""
    started_s = time.monotonic()
    next_record_s = peak_mb = 0.0
    while (elapsed_s := time.monotonic() - started_s) < DURATION_S:
        memory_mb = sidecar.own_memory_mb()
        peak_mb = max(peak_mb, memory_mb)
        is_over = memory_mb > sidecar.memory_mb
        if elapsed_s >= next_record_s or is_over:
            next_record_s += RECORD_INTERVAL_S
            record.write(f"after {elapsed_s:.1f} s: {memory_mb:.1f} MB of {sidecar.memory_mb}, {dict(clients.counts)}")
        if is_over:
            sidecar.process.kill()
            text = f"killed after {elapsed_s:.1f} s with {memory_mb:.1f} MB; requests lost: {len(clients.waiting)}"
            record.write(f"{text}: {sorted(clients.waiting)}")
            print(f"{text}, {dict(clients.counts)}")
            return False
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    print(f"peak {peak_mb:.1f} MB, {dict(clients.counts)}")
    record.write(f"peak {peak_mb:.1f} MB")
    return True


async def case(folder: Path, record: Record) -> bool:
    """Return whether the sidecar stays under its limit on memory."""
    upstreams = await start_upstreams(UPSTREAMS, record)
    for upstream in upstreams:
        upstream.work_s = 0.1
    discovery = Discovery(upstreams, record)
    await discovery.start()
    async with Sidecar(folder, discovery, memory_mb=80, sockets=384) as sidecar:
        record.write(f"at the start: {sidecar.own_memory_mb():.1f} MB")
        clients = Clients(sidecar, record)
        tasks = [asyncio.create_task(clients.run(number)) for number in range(CLIENTS)]
        try:
            return await watch_memory(sidecar, clients, record)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    sys.exit(main(__file__, case))
