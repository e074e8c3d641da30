"""Second answers that come 3 ms late: does each client get the answer that was made for its request?"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Discovery,
    HttpMessage,
    Record,
    Sidecar,
    main,
    read_message,
    request_head,
    response,
    response_body,
    start_upstreams,
)

UPSTREAMS = 10
CLIENTS = 4
REQUESTS_PER_CLIENT = 100
DEADLINE_MS = 1500
ANSWERS_PER_SECOND_ANSWER = 10  # one answer in ten comes twice
SECOND_ANSWER_DELAY_S = 0.003


class TwiceAnswering:
    """Answers requests; one answer in ten is written a second time, 3 ms after the first."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers = 0

    async def respond(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        """Write the answer to a request, on a socket with the system's default options."""
        # asyncio switches TCP_NODELAY on; an ordinary socket of the system has it off.
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        answer = response(request)
        writer.write(answer)
        await writer.drain()
        self._answers += 1
        if self._record.trouble and self._answers % ANSWERS_PER_SECOND_ANSWER == 0:
            asyncio.get_running_loop().call_later(SECOND_ANSWER_DELAY_S, self._write_again, request, writer, answer)

    def _write_again(self, request: HttpMessage, writer: asyncio.StreamWriter, answer: bytes) -> None:
        self._record.write(f"upstream writes a second answer to {request.request_id}")
        with contextlib.suppress(OSError):
            writer.write(answer)


async def run_client(sidecar: Sidecar, number: int, record: Record, counts: Counter[str]) -> None:
    """Send requests one after the other on one connection, and compare each answer with the one that was made."""
    reader, writer = await sidecar.connect()
    for index in range(REQUESTS_PER_CLIENT):
        request_id = f"c{number}-{index:03d}"
        if index % 3 == 0:
            writer.write(request_head("version-publish", request_id, DEADLINE_MS, "Content-Length: 4") + b"data")
        else:
            writer.write(request_head("manifest-read", request_id, DEADLINE_MS))
        answer = await read_message(reader)
        record.write(f"client {number}: {request_id} gets {answer.status} {answer.body!r}")
        is_foreign = answer.status == "200" and answer.body != response_body(request_id)
        counts["foreign" if is_foreign else answer.status] += 1
        if is_foreign:
            record.write(f"FOREIGN ANSWER: {request_id} gets {answer.body!r}")
    writer.close()


async def case(folder: Path, record: Record) -> bool:
    """Return whether each answer 200 has the body that an upstream made for its request."""
    upstreams = await start_upstreams(UPSTREAMS, record, TwiceAnswering(record).respond)
    discovery = Discovery(upstreams, record)
    await discovery.start()
    counts: Counter[str] = Counter()
    async with Sidecar(folder, discovery) as sidecar:
        await asyncio.gather(*(run_client(sidecar, number, record, counts) for number in range(CLIENTS)))
    record.write(f"answers: {dict(counts)}")
    print(f"answers: {dict(counts)}")
    return counts["foreign"] == 0


if __name__ == "__main__":
    sys.exit(main(__file__, case))
