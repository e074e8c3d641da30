"""Discovery takes three seconds for each call, and has a change that the sidecar's list at the start lacks."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as review  # noqa: E402 - the stand-ins lie beside the cases

CALL_S = (
    3.0  # the time that a slow discovery takes for a call; STANDING counts a change as told after 6 s at the latest
)
TOLD_S = 6.0
GRACE_S = 1.0  # `invariants.drain-grace`
SECONDS = 25.0
INTERVAL_S = 0.1
CLASSES = (("manifest-read", 1500), ("tag-write", 1000), ("version-publish", 2000))


async def load(client: review.Client, until_s: float) -> None:
    """Send ten requests a second, each class in turn."""
    tasks = []
    while client.record.now() < until_s:
        class_name, deadline_ms = CLASSES[len(tasks) % len(CLASSES)]
        tasks.append(asyncio.create_task(client.call(class_name, deadline_ms)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def play(record: review.Record) -> int:
    """Play the case and return its exit status."""
    upstreams = review.Upstreams(record)
    entries = [review.entry(f"s-{index}", await upstreams.open("127.0.0.1", f"s-{index}")) for index in range(4)]
    discovery = review.Discovery(record, entries)
    await discovery.open()
    known = discovery.whole()
    discovery.version += 1
    gone = discovery.entries.pop("s-0")["uid"]
    discovery.call_s = CALL_S if review.is_troubled() else 0.1
    sidecar = review.Sidecar(record, discovery.address, known)
    sidecar.document["settings"]["registry-mode"] = "on_request"
    try:
        sidecar.start()
        await sidecar.wait_until_ready()
        told_s = record.now() + TOLD_S
        client = review.Client(record, sidecar.port)
        await load(client, record.now() + SECONDS)
        client.close()
        crashed = sidecar.crashed()
    finally:
        sidecar.end()
    end_s = told_s + GRACE_S + review.SLACK_S
    late = [run for run in upstreams.runs if run[1] == gone and run[0] > end_s]
    record.say(
        f"{len(client.calls)} requests, {len(late)} of them sent to {gone} after {end_s:.3f}; crashed: {crashed}"
    )
    return review.BROKEN if late or crashed else review.HELD


review.run_case(FOLDER, play)
