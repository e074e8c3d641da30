"""Guards against a list of upstreams that stops the event loop: its cost grows with its bytes, whatever its form."""

from __future__ import annotations

import asyncio
import json
import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest

from garnetusher.policy.events import EndpointStatus
from garnetusher.sidecar.discovery.endpoint_list import BATCH_SIZE
from garnetusher.sidecar.discovery.list_reader import MAX_LIST_BYTES, ListReader
from garnetusher.sidecar.discovery.watch import MAX_PENDING_STEPS, MESSAGE_COST
from garnetusher.sidecar.streaming import READ_BUFFER_SIZE
from tests.net import entry, listing, until
from tests.runner import run
from tests.watch_harness import RESPONSE_HEAD, WatcherHarness, chunk, lines

ENDPOINT_COUNT = 100
MAX_DECODES = 2  # of each received byte: the first line of a list, and the whole list
LARGER_FLEET = 4  # times the endpoints
MAX_LARGER_COST = 5  # times the work for LARGER_FLEET times the endpoints; 16 if the work grew with the square


def whole_list(endpoint_count: int) -> dict[str, object]:
    return listing(*(entry(f"u{n}", n + 1) for n in range(endpoint_count)), rev=3)


def list_with_objects_in_entries(endpoint_count: int) -> dict[str, object]:
    entries = (entry(f"u{n}", n + 1) | {"labels": {"rack": {"row": n}}} for n in range(endpoint_count))
    return listing(*entries, rev=3)


def with_commas_first(text: bytes) -> bytes:
    return text.replace(b",\n", b"\n,")


FORMS: dict[str, Callable[[int], bytes]] = {
    "one line": lambda count: lines(whole_list(count)),
    "indented": lambda count: lines(whole_list(count), indent=2),
    "commas first": lambda count: with_commas_first(lines(whole_list(count), indent=2)),
    "an entry in each line": lambda count: lines(whole_list(count)).replace(b"}, {", b"},\n{"),
    "an entry in each line, commas first": lambda count: lines(whole_list(count)).replace(b"}, {", b"}\n,{"),
    "objects in entries": lambda count: lines(list_with_objects_in_entries(count), indent=1),
    "objects, commas first": lambda count: with_commas_first(lines(list_with_objects_in_entries(count), indent=1)),
    "an object in each line": lambda count: lines(list_with_objects_in_entries(count)).replace(b"}", b"}\n")[:-1],
    "a long first line": lambda count: lines(whole_list(count)).replace(b"]}", b"]\n}"),
}


class DecodeCounter:
    """Counts the bytes that are decoded from JSON."""

    def __init__(self) -> None:
        self.size = 0
        self._loads = json.loads

    def loads(self, text: bytes) -> Any:
        self.size += len(text)
        return self._loads(text)


@pytest.mark.parametrize("form", FORMS)
def test_list_is_decoded_a_fixed_number_of_times_when_it_comes_in_any_form(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    counter, data = DecodeCounter(), FORMS[form](ENDPOINT_COUNT)
    monkeypatch.setattr(json, "loads", counter.loads)

    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD)
        for start in range(0, len(data), 1000):
            harness.watch().data_received(chunk(data[start : start + 1000]))
        assert [len(endpoints) for _, endpoints in harness.updates] == [ENDPOINT_COUNT]
        harness.stop()

    run(test)
    assert counter.size <= MAX_DECODES * len(data)


@pytest.mark.parametrize("form", FORMS)
def test_copied_bytes_grow_in_proportion_to_a_list_when_it_comes_in_small_parts(form: str) -> None:
    costs = [asyncio.run(allocated_size(FORMS[form](size * ENDPOINT_COUNT))) for size in (1, LARGER_FLEET)]
    assert costs[1] <= MAX_LARGER_COST * costs[0]


async def allocated_size(data: bytes) -> int:
    """Return the sum of the memory that the parts of a list make a watch allocate, and so the bytes that it copies."""
    harness = WatcherHarness()
    await harness.watch_permanently()
    watch, size = harness.watch(), 0
    watch.data_received(RESPONSE_HEAD)
    tracemalloc.start()
    try:
        for start in range(0, len(data), 16):
            part = chunk(data[start : start + 16])
            earlier_size, _ = tracemalloc.get_traced_memory()
            tracemalloc.reset_peak()
            watch.data_received(part)
            size += tracemalloc.get_traced_memory()[1] - earlier_size
    finally:
        tracemalloc.stop()
    assert len(harness.updates) == 1
    harness.stop()
    return size


def test_iteration_processes_few_messages_when_thousands_arrive_in_one_read() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        transport = await harness.watch_permanently()
        changes = [listing(entry("u0", 1), rev=n, full=False) for n in range(2, 2_000)]
        drain = listing(entry("u0", 1, "leaving"), rev=2_000, full=False)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(*changes, drain)))
        assert 0 < len(harness.updates) <= BATCH_SIZE // MESSAGE_COST
        assert transport.paused
        await until(lambda: harness.watcher.version == 2_000)
        assert [version for version, _ in harness.updates] == list(range(2, 2_001))
        assert harness.updates[-1] == (2_000, [("u0", EndpointStatus.DRAINING)])
        assert not transport.paused
        harness.stop()

    run(test)


def test_messages_before_the_end_of_a_response_are_processed_when_they_take_several_iterations() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        transport = await harness.watch_permanently()
        changes = [listing(entry("u0", 1), rev=n, full=False) for n in range(2, 500)]
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(*changes)) + b"0\r\n\r\n")
        await until(lambda: harness.watcher.watch is None)
        assert harness.watcher.version == 499
        assert transport.aborted
        harness.stop()

    run(test)


def test_waiting_messages_are_ignored_when_their_watch_is_replaced() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        changes = [listing(entry("u0", 1), rev=n, full=False) for n in range(2, 500)]
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(*changes)))
        version = harness.watcher.version
        harness.watcher.change_address(("127.0.0.1", 2))
        for _ in range(20):
            await asyncio.sleep(0)
        assert harness.watcher.version == version < 499
        harness.stop()

    run(test)


def test_lists_wait_in_the_watch_when_many_received_lists_are_not_applied() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        endpoints = [entry(f"u{n}", 1) for n in range(BATCH_SIZE + 1)]
        changes = [listing(*endpoints, rev=n, full=False) for n in range(2, 202)]
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(*changes)))
        most_steps = 0
        while harness.watcher.version < 201:
            most_steps = max(most_steps, len(harness.watcher.pending_steps))
            await asyncio.sleep(0)
        assert most_steps <= MAX_PENDING_STEPS + 4
        harness.stop()

    run(test)


def test_later_whole_list_replaces_one_that_is_not_applied_when_both_are_in_one_read() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        old = listing(*(entry(f"old{n}", 1) for n in range(BATCH_SIZE + 1)), rev=2)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(old, listing(entry("new", 1), rev=3))))
        await until(lambda: harness.watcher.version == 3)
        await until(lambda: not harness.watcher.pending_steps)
        assert list(harness.endpoint_list.endpoint_ids) == ["new"]
        harness.stop()

    run(test)


def test_last_entry_counts_when_a_uid_occurs_twice_in_a_list() -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        change = listing(entry("u0", 1), entry("u0", 1, "leaving"), rev=2, full=False)
        harness.watch().data_received(RESPONSE_HEAD + chunk(lines(change)))
        assert [status for _, status in harness.updates[0][1]][-1] is EndpointStatus.DRAINING
        assert len(harness.endpoint_list.endpoint_ids) == 1
        harness.stop()

    run(test)


@pytest.mark.parametrize(
    "repeated",
    [
        b" " * READ_BUFFER_SIZE,  # a line that never ends
        b"1,\n" * (READ_BUFFER_SIZE // 3),  # a list that never ends
    ],
)
def test_watch_ends_when_a_line_or_a_list_exceeds_the_size_limit(repeated: bytes) -> None:
    async def test() -> None:
        harness = WatcherHarness()
        transport = await harness.watch_permanently()
        harness.watch().data_received(RESPONSE_HEAD + chunk(b'{"rev": 2, "all": true, "targets": [\n'))
        for _ in range(2 * MAX_LIST_BYTES // len(repeated)):
            harness.watch().data_received(chunk(repeated))
            if transport.aborted:
                break
        assert transport.aborted
        assert not harness.updates
        harness.stop()

    run(test)


@pytest.mark.parametrize("rest", [b'{"uid": "x\n', b"\n", b" \n", b"{},\n\n", b"nope]}\n", b"]}, {}\n", b"]]}\n"])
def test_reader_rejects_a_list_when_a_later_line_is_malformed(rest: bytes) -> None:
    reader = ListReader()
    reader.feed(b'{"rev": 2, "all": true,\n')
    assert reader.next_message() is None
    reader.feed(b'"targets": [\n')
    assert reader.next_message() is None
    reader.feed(rest)
    with pytest.raises(ValueError, match=r"expected|Expecting|Extra data"):
        reader.next_message()
