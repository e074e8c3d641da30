"""Tests the parsing of endpoint lists from JSON, and errors that name the key and the path of an invalid value."""

from __future__ import annotations

import pytest

from garnetusher.policy.events import EndpointStatus
from garnetusher.sidecar.discovery.messages import (
    EndpointListError,
    ListEntry,
    parse_cached_list,
    parse_entries,
    parse_list,
    parse_start_times_ms,
    parse_uids,
)
from tests.net import entry, listing


def test_parse_entries_returns_typed_entries() -> None:
    assert parse_entries([entry("u0", 80, "leaving", boot_ms=7)]) == [
        ListEntry("u0", ("127.0.0.1", 80), "a", "m", 1, EndpointStatus.DRAINING, 1.0, 7)
    ]


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("uid", ["u0"], "a string"),
        ("endpoint", "nowhere", "host:port"),
        ("endpoint", None, "host:port"),
        ("pod_group", "many", "a number"),
        ("pod_group", float("inf"), "a number"),
        ("state", "asleep", "one of active, leaving, left"),
        ("state", ["active"], "one of active, leaving, left"),
        ("capacity_hint", {}, "a number"),
        ("boot_ms", None, "a number"),
    ],
)
def test_parse_entries_names_key_and_path_when_a_value_is_invalid(key: str, value: object, expected: str) -> None:
    with pytest.raises(EndpointListError) as caught:
        parse_entries([entry("u0", 1), entry("u1", 1) | {key: value}], first_index=500)
    error = caught.value
    assert (error.key, error.place, error.expected, error.found) == (key, "targets.501", expected, value)
    assert str(error) == f"targets.501.{key}: expected {expected}, found {value!r}"


@pytest.mark.parametrize("key", list(entry("u0", 1)))
def test_parse_entries_names_key_when_it_is_missing(key: str) -> None:
    incomplete = {name: value for name, value in entry("u0", 1).items() if name != key}
    with pytest.raises(EndpointListError, match=rf"^targets\.0\.{key}: expected a value, found nothing$"):
        parse_entries([incomplete])


@pytest.mark.parametrize("raw_entry", [None, 5, "uid", ["uid"], {}])
def test_parse_start_times_and_uids_name_the_entry_when_it_is_malformed(raw_entry: object) -> None:
    for parse in (parse_start_times_ms, parse_uids):
        with pytest.raises(EndpointListError, match=r"^targets\.1\."):
            parse([entry("u0", 1), raw_entry])


@pytest.mark.parametrize("key", ["rev", "all", "targets"])
def test_parse_list_names_key_when_it_is_missing(key: str) -> None:
    incomplete = {name: value for name, value in listing().items() if name != key}
    with pytest.raises(EndpointListError, match=f"^{key}: expected a value, found nothing$"):
        parse_list(incomplete)


@pytest.mark.parametrize("document", [None, 5, "list", [], {"rev": "x", "all": True, "targets": []}])
def test_parse_list_fails_when_the_document_is_not_an_endpoint_list(document: object) -> None:
    with pytest.raises(EndpointListError):
        parse_list(document)


def test_parse_cached_list_returns_a_snapshot_when_the_key_for_it_is_missing() -> None:
    assert parse_cached_list({"rev": 3, "targets": []}).is_snapshot
