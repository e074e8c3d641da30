"""A second process takes over while the application goes on with long answers on its kept connections."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as review  # noqa: E402 - the stand-ins lie beside the cases

BODY_SIZE = 2 * 1024 * 1024  # bytes; DAYS: "up to 32 MB"
BODY_S = 4.0  # how long an upstream takes to write it; DAYS: "peers take seconds to read or write"
PIECES = 80
CLIENTS = 6
AFTER_TERM_S = 1.0  # PROTOCOL excuses what came up to 0.7 s after SIGTERM
KILL_S = 2.7  # the longest deadline of the settings and 0.7 s


async def answer(request: review.UpstreamRequest, writer: asyncio.StreamWriter) -> None:
    """Answer at once, or with a long body that is written steadily over some seconds."""
    if "manifest-read" not in request.target:
        await review.answer_at_once(request, writer)
        return
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n" % BODY_SIZE)
    piece = BODY_SIZE // PIECES
    for index in range(PIECES):
        size = BODY_SIZE - piece * (PIECES - 1) if index == PIECES - 1 else piece
        writer.write(b"x" * size)
        await writer.drain()
        await asyncio.sleep(BODY_S / PIECES)


async def play(record: review.Record) -> int:
    """Play the case and return its exit status."""
    upstreams = review.Upstreams(record, answer)
    entries = [review.entry(f"s-{index}", await upstreams.open("127.0.0.1", f"s-{index}")) for index in range(6)]
    discovery = review.Discovery(record, entries)
    await discovery.open()
    sidecar = review.Sidecar(record, discovery.address, discovery.whole(), listening=SOCKET)
    try:
        sidecar.start()
        await sidecar.wait_until_ready()
        old = sidecar.process
        client = review.Client(record, sidecar.port)
        await asyncio.gather(*(client.call("tag-write", 1000) for _ in range(CLIENTS)))
        if review.is_troubled() and old is not None:
            sidecar.start()
            await sidecar.wait_until_ready()
            old.send_signal(signal.SIGTERM)
            record.add("platform: SIGTERM to the old process")
        term_s = time.monotonic()
        await asyncio.sleep(AFTER_TERM_S)
        running = asyncio.gather(*(client.call("manifest-read", 1500) for _ in range(CLIENTS)))
        if review.is_troubled() and old is not None:
            await asyncio.sleep(term_s + KILL_S - time.monotonic())
            record.add(f"platform: SIGKILL to the old process; it has ended by itself: {old.poll() is not None}")
            old.kill()
        calls = await running
        crashed = sidecar.crashed()
    finally:
        sidecar.end()
    cut = [call for call in calls if call.status == 200 and not (call.is_whole and call.length == BODY_SIZE)]
    record.say(
        f"{len(calls)} long answers, asked for 1.0 s after SIGTERM, {len(cut)} cut off; new one crashed: {crashed}"
    )
    for call in cut:
        record.say(f"cut off after {call.length} of {BODY_SIZE} bytes: {call.text()}")
    return review.BROKEN if cut or crashed else review.HELD


SOCKET = review.listening_socket()
review.run_case(FOLDER, play)
