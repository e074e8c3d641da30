"""The bounded memory of request ids, in one process and shared by two."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnetusher.sidecar.memory_budget import MemoryBudget
from garnetusher.sidecar.requests import shared_request_ids
from garnetusher.sidecar.requests.request_ids import (
    ID_SIZE,
    MAX_IDS,
    MEMORY_DIVISOR,
    MIN_RETENTION_US,
    UNKNOWN_TIME,
    Claim,
    RequestIds,
    request_key,
)
from garnetusher.sidecar.requests.shared_request_ids import CAPACITY, SharedRequestIds

ID_COUNT = 8  # ids for which the memory of `small_ids` has room


def small_ids() -> RequestIds:
    return RequestIds(MemoryBudget(ID_COUNT * ID_SIZE * MEMORY_DIVISOR), 0)


def test_keys_differ_by_class_and_id() -> None:
    assert len({request_key(*names) for names in (("a", "1"), ("a", "2"), ("b", "1"), ("a1", ""))}) == 4


def test_new_ids_are_refused_when_the_memory_is_full_of_young_ones() -> None:
    ids = small_ids()
    assert [ids.claim(key, 1) for key in range(ID_COUNT)] == [Claim.NEW] * ID_COUNT
    assert ids.claim(ID_COUNT, MIN_RETENTION_US) is Claim.FULL
    assert ids.claim(0, MIN_RETENTION_US) is Claim.REPEATED
    ids.forget(ID_COUNT - 1)
    assert ids.claim(ID_COUNT, MIN_RETENTION_US) is Claim.NEW


def test_oldest_ids_are_dropped_when_they_have_been_kept_for_their_time() -> None:
    ids = small_ids()
    for key in range(ID_COUNT):
        ids.claim(key, 1)
    assert ids.claim(ID_COUNT, MIN_RETENTION_US + 1) is Claim.NEW
    assert ids.claim(0, MIN_RETENTION_US + 1) is Claim.NEW
    assert ids.claim(ID_COUNT - 1, MIN_RETENTION_US + 1) is Claim.REPEATED


def test_ids_are_kept_for_the_longest_window_of_the_settings() -> None:
    ids = small_ids()
    ids.apply_window(2 * MIN_RETENTION_US)
    for key in range(ID_COUNT):
        ids.claim(key, 1)
    assert ids.claim(ID_COUNT, MIN_RETENTION_US + 1) is Claim.FULL
    assert ids.claim(ID_COUNT, 2 * MIN_RETENTION_US + 1) is Claim.NEW


def test_memory_of_ids_is_part_of_the_budget() -> None:
    budget = MemoryBudget()
    ids = RequestIds(budget, 0)
    for key in range(10):
        ids.claim(key, 1)
    assert budget.used == 10 * ID_SIZE
    for key in range(10):
        ids.forget(key)
    assert budget.used == 0
    assert all(ids.claim(key, 1) is Claim.NEW for key in range(MAX_IDS))


def test_each_of_two_processes_knows_what_the_other_has_claimed_and_forgotten(tmp_path: Path) -> None:
    first, second = (RequestIds(MemoryBudget(), 0, SharedRequestIds(tmp_path)) for _ in range(2))
    assert first.claim(1, 1) is Claim.NEW
    assert second.claim(1, 1) is Claim.REPEATED
    assert second.claim(2, 1) is Claim.NEW
    assert first.claim(2, 1) is Claim.REPEATED
    first.forget(1)
    assert second.claim(1, 1) is Claim.NEW
    assert first.claim(1, 1) is Claim.REPEATED
    later = RequestIds(MemoryBudget(), 0, SharedRequestIds(tmp_path))
    assert [later.claim(key, 1) for key in (1, 2, 3)] == [Claim.REPEATED, Claim.REPEATED, Claim.NEW]


def test_new_process_takes_new_ids_when_the_other_has_shared_as_many_as_fit(tmp_path: Path) -> None:
    """Guards against a takeover after which the new process refuses all unsafe requests for 30 s."""
    interval_us = 10_000
    old = RequestIds(MemoryBudget(), 1, SharedRequestIds(tmp_path))
    claims = [old.claim(key, 1_000_000 + key * interval_us) for key in range(CAPACITY)]
    assert claims == [Claim.NEW] * CAPACITY
    now_us = 1_000_000 + CAPACITY * interval_us
    new = RequestIds(MemoryBudget(), now_us, SharedRequestIds(tmp_path))
    assert new.claim(CAPACITY, now_us) is Claim.NEW
    retained = range(CAPACITY - MIN_RETENTION_US // interval_us, CAPACITY)
    assert all(new.claim(key, now_us) is Claim.REPEATED for key in retained)


@pytest.mark.parametrize("written_us", [UNKNOWN_TIME, 60_000_000])
def test_shared_ids_count_as_young_when_their_time_is_unknown_or_in_the_future(tmp_path: Path, written_us: int) -> None:
    writer = SharedRequestIds(tmp_path)
    for key in range(CAPACITY):
        writer.write(key, written_us, claimed=True)
    ids = RequestIds(MemoryBudget(), 2, SharedRequestIds(tmp_path))
    assert ids.claim(CAPACITY, 2) is Claim.FULL
    assert ids.claim(CAPACITY - 1, 2) is Claim.REPEATED


def test_shared_records_are_read_once_and_overwritten_in_order(tmp_path: Path) -> None:
    writer, reader = SharedRequestIds(tmp_path), SharedRequestIds(tmp_path)
    assert (tmp_path / shared_request_ids.FILE_NAME).stat().st_size == shared_request_ids.FILE_SIZE
    for key in range(CAPACITY + 5):
        writer.write(key, 7_000_000, claimed=bool(key % 2))
    records = reader.read()
    assert records[0] == (5, True, 7_000_000)
    assert records[-1] == (CAPACITY + 4, False, 7_000_000)
    assert len(records) == CAPACITY
    assert reader.read() == writer.read() == []
