"""Each answer 200 has the body that an upstream made for that request, also when an upstream sends a second answer."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness

SEED = 35
DURATION_S = 20.0
UPSTREAMS = 12
CLIENTS = 12
THINK_TIME_S = 0.08  # mean time between an answer and the next request of a client; about 80 requests/s in all
BODY = b"x" * 212
CLASSES = (("manifest-read", 1500, 36), ("tag-write", 1000, 35), ("version-publish", 2000, 29))  # deadline ms, share
SPOILT_SHARE = 0.05
LATE_S = (0.001, 0.0039)  # how long after an answer its second copy is written


@dataclass
class Answers:
    """What the upstreams and the clients of the case saw.

    Attributes:
        seconds: the number of second answers that were written.
        statuses: the number of answers of the sidecar with each status.
        foreign: the ids of the requests that were answered 200 with another body than their own.
    """

    random: random.Random
    trouble: bool
    seconds: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    foreign: list[str] = field(default_factory=list)


async def client(number: int, sidecar: harness.Sidecar, answers: Answers, record: harness.Record) -> None:
    """Send one request at a time on one connection, and compare each answer 200 with the body made for the request."""
    rng = random.Random(f"{SEED}-{number}")
    stop_s = time.monotonic() + DURATION_S
    reader, writer = await sidecar.connect()
    count = 0
    while time.monotonic() < stop_s:
        await asyncio.sleep(rng.expovariate(1 / THINK_TIME_S))
        count += 1
        request_id = f"c{number}-{count}"
        name, deadline_ms, _ = rng.choices(CLASSES, [share for _, _, share in CLASSES])[0]
        body = BODY if name == "version-publish" else b""
        framing = f"Content-Length: {len(body)}" if body else ""
        record.write(f"client {number} sends {request_id} {name}")
        writer.write(harness.request_head(name, request_id, deadline_ms, framing) + body)
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            answer = await harness.read_message(reader)
        answers.statuses[answer.status] += 1
        record.write(f"client {number} gets {answer.status} {answer.body!r} for {request_id}")
        if answer.status == "200" and answer.body != harness.response_body(request_id):
            answers.foreign.append(request_id)
            record.write(f"FOREIGN: {name} {request_id} is answered with {answer.body!r}")
        if answer.headers.get("connection", "").lower() == "close":
            writer.close()
            reader, writer = await sidecar.connect()
    writer.close()


async def case(folder: Path, record: harness.Record) -> bool:
    """Return whether each answer 200 had the body of its own request."""
    answers = Answers(random.Random(SEED), record.trouble)

    async def respond(request: harness.HttpMessage, writer: asyncio.StreamWriter) -> None:
        harness.use_default_socket_options(writer)
        await harness.respond_once(request, writer)
        if answers.trouble and answers.random.random() < SPOILT_SHARE:
            delay_s = answers.random.uniform(*LATE_S)
            written_s = time.monotonic()
            await asyncio.sleep(delay_s)
            with contextlib.suppress(OSError):
                await harness.respond_once(request, writer)
                answers.seconds += 1
                late_ms = 1000 * (time.monotonic() - written_s)
                record.write(f"second answer to {request.request_id} written {late_ms:.1f} ms after the first")

    upstreams = await harness.start_upstreams(UPSTREAMS, record, respond)
    discovery = harness.Discovery(upstreams, record)
    await discovery.start()
    async with harness.Sidecar(folder, discovery) as sidecar:
        await asyncio.gather(*(client(number, sidecar, answers, record) for number in range(CLIENTS)))
        if sidecar.process.returncode is not None:
            text = f"the sidecar has ended: {sidecar.log()}"
            raise harness.CaseError(text)
    result = f"answers {dict(answers.statuses)}, second answers {answers.seconds}, foreign {len(answers.foreign)}"
    record.write(result)
    print(result)
    if not answers.statuses["200"] or (record.trouble and not answers.seconds):
        text = "nothing was served, or no second answer was written"
        raise harness.CaseError(text)
    return not answers.foreign


if __name__ == "__main__":
    sys.exit(harness.main(__file__, case))
