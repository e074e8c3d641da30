"""An upstream hangs in the middle of a long answer, and gives the rest once the hang is over."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as review  # noqa: E402 - the stand-ins lie beside the cases

BODY_SIZE = 2 * 1024 * 1024  # bytes; DAYS: "up to 32 MB"
HANG_S = 14.0  # the site file and BRIEF: 6.3 to 24 s
PIECE_SIZE = 64 * 1024
DOWNLOADS = 3


async def answer(request: review.UpstreamRequest, writer: review.asyncio.StreamWriter) -> None:
    """Answer with a long body; a troubled upstream gives half of it, hangs, and gives the rest."""
    await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % BODY_SIZE)
    pieces = BODY_SIZE // PIECE_SIZE
    for index in range(pieces):
        if index == pieces // 2 and review.is_troubled():
            await asyncio.sleep(HANG_S)
        writer.write(request.request_id[:1].encode() * PIECE_SIZE)
        await writer.drain()


async def play(record: review.Record) -> int:
    """Play the case and return its exit status."""
    upstreams = review.Upstreams(record, answer)
    entries = [review.entry(f"s-{index}", await upstreams.open("127.0.0.1", f"s-{index}")) for index in range(4)]
    discovery = review.Discovery(record, entries)
    await discovery.open()
    sidecar = review.Sidecar(record, discovery.address, discovery.whole())
    try:
        sidecar.start()
        await sidecar.wait_until_ready()
        client = review.Client(record, sidecar.port)
        calls = await asyncio.gather(
            *(client.call("manifest-read", 1500, wait_s=HANG_S + 20.0) for _ in range(DOWNLOADS))
        )
        crashed = sidecar.crashed()
    finally:
        sidecar.end()
    cut = [call for call in calls if call.status == 200 and not (call.is_whole and call.length == BODY_SIZE)]
    record.say(f"{len(calls)} long answers of {BODY_SIZE} bytes, {len(cut)} cut off; sidecar crashed: {crashed}")
    for call in cut:
        record.say(f"cut off after {call.length} bytes: {call.request_id}")
    if any(call.status != 200 for call in calls):
        message = "a request was not served at all"
        raise review.CannotRunError(message)
    return review.BROKEN if cut or crashed else review.HELD


review.run_case(FOLDER, play)
