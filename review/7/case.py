"""The whole list of a large fleet comes in small pieces while requests are open."""

from __future__ import annotations

import asyncio
import resource
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as review  # noqa: E402 - the stand-ins lie beside the cases

UPSTREAMS = 3200  # STANDING: "fleets with up to sixteen times the upstreams (3,200 at most)"
PIECE_SIZE = 16  # bytes; DAYS: "in pieces of any size"
DESCRIPTORS = UPSTREAMS + 500  # below 4,096, the usual least limit
QUIET_S = 4.0
AFTER_S = 25.0
INTERVAL_S = 0.1  # one sidecar sees little traffic
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
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < DESCRIPTORS:
        message = f"the upstreams need {DESCRIPTORS} descriptors, and the machine allows {hard}"
        raise review.CannotRunError(message)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    upstreams = review.Upstreams(record)
    entries = []
    for index in range(UPSTREAMS):
        uid = f"s-{index * 2654435761 % 2**32:08x}"
        address = await upstreams.open(f"127.20.{index // 200}.{index % 200 + 1}", uid)
        entries.append(review.entry(uid, address, pod_group=index // 4))
    discovery = review.Discovery(record, entries)
    await discovery.open()
    sidecar = review.Sidecar(record, discovery.address, discovery.whole())
    try:
        sidecar.start()
        await sidecar.wait_until_ready()
        client = review.Client(record, sidecar.port)
        begin_s = record.now()
        running = asyncio.create_task(load(client, begin_s + QUIET_S + AFTER_S))
        await asyncio.sleep(QUIET_S)
        # One upstream begins to drain. The watch ends instead of telling, and the first answer to the next call is the
        # whole list, which leaves the draining one out.
        del discovery.entries[entries[0]["uid"]]
        discovery.version += 1
        if review.is_troubled():
            discovery.piece_size = PIECE_SIZE
        discovery.end_watches()
        await running
        client.close()
        crashed = sidecar.crashed()
    finally:
        sidecar.end()
    lost = [call for call in client.calls if call.is_lost]
    record.say(f"{len(client.calls)} requests, {len(lost)} lost; sidecar crashed: {crashed}")
    for call in lost[:5]:
        record.say(f"lost: {call.text()}")
    return review.BROKEN if lost or crashed else review.HELD


review.run_case(FOLDER, play)
