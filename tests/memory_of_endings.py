"""Measures the memory of a sidecar while all its connections end in one way: a long run, started by hand.

The command is `python -m tests.memory_of_endings --seconds 100`. It runs all ways side by side, each with a sidecar of
its own, and prints a Markdown table. The memory has to stay within 2 MB from the tenth second on.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import tempfile
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.net import OK, Upstream, entry, listing, request, respond_with, wait_for_listener
from tests.processes import program, write_configuration
from tests.streams import upload_request
from tests.test_ended_connections import BODY, CLOSING, reset

CLIENTS = 60
REQUESTS_PER_CONNECTION = (5, 15)
MAX_PAUSE_S = 0.5
SETTLED_AFTER_S = 10.0
SAMPLE_INTERVAL_S = 0.25
MAX_GROWTH_MB = 2.0
KIB_PER_MB = 1024

Client = tuple[asyncio.StreamReader, asyncio.StreamWriter]
End = Callable[[Client], Awaitable[None]]


async def read_to_end(client: Client) -> None:
    await client[0].read()


async def answer(client: Client, data: bytes) -> None:
    client[1].write(data)
    head = await client[0].readuntil(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    await client[0].readexactly(int(length or b"0"))


async def close(client: Client) -> None:
    await answer(client, request("pay", body=BODY))


async def say_close(client: Client) -> None:
    client[1].write(request("pay", body=BODY, extra="Connection: close\r\n"))
    await read_to_end(client)


async def say_close_in_chunks(client: Client) -> None:
    client[1].write(upload_request(BODY, 4096, "Connection: close\r\n"))
    await read_to_end(client)


async def half_close(client: Client) -> None:
    client[1].write(request("pay", body=BODY))
    client[1].write_eof()
    await read_to_end(client)


async def reset_after_response(client: Client) -> None:
    await answer(client, request("pay", body=BODY))
    reset(client[1])


async def reset_during_request(client: Client) -> None:
    client[1].write(request("pay", body=BODY))
    await client[1].drain()
    await asyncio.sleep(0.01)
    reset(client[1])


async def leave_body(client: Client) -> None:
    client[1].write(request("pay", body=BODY)[:-1])
    await client[1].drain()


async def be_rejected(client: Client) -> None:
    client[1].write(request("pay", body=BODY).replace(b"/pay/", b"/unknown/"))
    await read_to_end(client)


async def upstream_closes(client: Client) -> None:
    await answer(client, request("pay", body=BODY))


WAYS: dict[str, End] = {
    each.__name__: each
    for each in (
        close,
        say_close,
        say_close_in_chunks,
        half_close,
        reset_after_response,
        reset_during_request,
        leave_body,
        be_rejected,
        upstream_closes,
    )
}


@dataclass(frozen=True)
class Measurement:
    """The memory of one run in MB, after `SETTLED_AFTER_S`, and the number of connections that ended."""

    way: str
    ended: int
    first_mb: float
    largest_mb: float

    @property
    def is_flat(self) -> bool:
        return self.largest_mb - self.first_mb <= MAX_GROWTH_MB


def memory_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("RssAnon")) / KIB_PER_MB


async def use_connections(port: int, way: str, seed: int, ended: list[int]) -> None:
    rng = random.Random(seed)
    while True:
        client = await asyncio.open_connection("127.0.0.1", port)
        try:
            for _ in range(rng.randint(*REQUESTS_PER_CONNECTION)):
                await asyncio.sleep(rng.random() * MAX_PAUSE_S)
                await answer(client, request("pay"))
            await WAYS[way](client)
            ended.append(1)
        except (OSError, asyncio.IncompleteReadError):
            continue
        finally:
            client[1].close()


async def measure_way(way: str, seconds: float) -> Measurement:
    upstreams = [Upstream(respond_with(CLOSING if way == "upstream_closes" else OK)) for _ in range(6)]
    for upstream in upstreams:
        await upstream.start()
    with tempfile.TemporaryDirectory() as folder:
        known = listing(*(entry(f"u{index}", upstream.port) for index, upstream in enumerate(upstreams)))
        path = write_configuration(Path(folder), known=known)
        port = json.loads(path.read_text())["listen"].split(":")[1]
        ended: list[int] = []
        samples: list[float] = []
        with program(path) as process:
            await wait_for_listener(int(port))
            tasks = [asyncio.create_task(use_connections(int(port), way, seed, ended)) for seed in range(CLIENTS)]
            await asyncio.sleep(SETTLED_AFTER_S)
            for _ in range(int((seconds - SETTLED_AFTER_S) / SAMPLE_INTERVAL_S)):
                samples.append(memory_mb(process.pid))
                await asyncio.sleep(SAMPLE_INTERVAL_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    return Measurement(way, len(ended), samples[0], max(samples))


def run_way(way: str, seconds: float) -> Measurement:
    """Measure one way; worker processes call this."""
    return asyncio.run(measure_way(way, seconds))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=100.0)
    seconds = parser.parse_args().seconds
    print("| way | connections ended | MB after 10 s | largest MB | flat |\n| --- | ---: | ---: | ---: | --- |")
    with ProcessPoolExecutor(len(WAYS)) as pool:
        results = list(pool.map(run_way, WAYS, [seconds] * len(WAYS)))
    for result in results:
        verdict = "yes" if result.is_flat else "NO"
        print(f"| {result.way} | {result.ended} | {result.first_mb:.1f} | {result.largest_mb:.1f} | {verdict} |")
    return 0 if all(result.is_flat for result in results) else 1


if __name__ == "__main__":
    raise SystemExit(main())
