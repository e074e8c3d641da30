"""Tests of the records that the lab's discovery service writes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import cast

from msgspec import structs

from garnetusher.lab import link_sockets
from garnetusher.lab.discovery import DiscoveryServer, SidecarConnection
from garnetusher.lab.run_clock import RunClock
from garnetusher.model import plan, records
from garnetusher.model.plan import ListStep
from garnetusher.model.records import Journal, ListUpdateSent
from tests.experiment import small

SNAPSHOT_CALL = b"GET /discovery/hosts HTTP/1.1\r\nHost: discovery\r\n\r\n"


class SlowLink:
    """A link that holds all written data back until the test delivers it."""

    def __init__(self) -> None:
        self.deliveries: list[Callable[[], None]] = []

    def write(self, data: bytes, delivered: Callable[[], None]) -> None:
        """Store the callback of a write."""
        self.deliveries.append(delivered)


async def recorded_states(journal_path: Path) -> list[tuple[str, str]]:
    """Return the recorded upstreams with their states if the list changes while a snapshot is on its way."""
    experiment = small()
    run_plan = plan.make(experiment, 1)
    drained = run_plan.upstreams[0]
    change = ListStep(0, drained.uid, drained.zone, "leaving")
    run_plan = structs.replace(run_plan, listed=[change])
    journal = Journal(journal_path)
    clock = RunClock("test", journal)
    addresses = {upstream.uid: {"a-0": "127.0.0.1:1"} for upstream in run_plan.upstreams}
    server = DiscoveryServer(clock, run_plan, addresses, experiment.directory)
    link = SlowLink()
    connection = SidecarConnection(server, "a-0", cast(link_sockets.Connection, link))
    connection.data_arrived(SNAPSHOT_CALL)
    server.begin(0)
    await asyncio.sleep(0.05)  # the change of the list is due at time 0
    (deliver,) = link.deliveries
    deliver()
    journal.close()
    return [
        (record.upstream, record.state)
        for record in records.read(journal_path)
        if isinstance(record, ListUpdateSent) and record.upstream == drained.uid
    ]


def test_delivered_snapshot_is_recorded_as_it_was_sent_when_the_list_has_changed(tmp_path: Path) -> None:
    """A sidecar must not be blamed for a drain that the snapshot on its way did not contain."""
    states = asyncio.run(recorded_states(tmp_path / "records.jsonl"))
    assert [state for _, state in states] == ["active"]
