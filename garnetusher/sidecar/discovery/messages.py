"""The endpoint list as discovery sends it: typed entries and lists, and the functions that parse them from JSON.

The keys of the JSON are discovery's own; this module is the only one that knows them.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any, TypeVar

from garnetusher.policy.events import EndpointStatus
from garnetusher.sidecar.addresses import Address, AddressError, parse_address
from garnetusher.sidecar.errors import NOTHING, InvalidValueError, join_path

KEY_VERSION = "rev"
KEY_SNAPSHOT = "all"
KEY_ENTRIES = "targets"
KEY_UID = "uid"
KEY_ADDRESS = "endpoint"
KEY_ZONE = "az"
KEY_MACHINE_TYPE = "model"
KEY_CELL = "pod_group"
KEY_STATE = "state"
KEY_WEIGHT = "capacity_hint"
KEY_STARTED_MS = "boot_ms"

STATUSES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.REMOVED}
REMOVED_ADDRESS: Address = ("0.0.0.0", 1)  # of an entry that is only listed to say that the endpoint is removed

LIST = -1  # in place of an entry's index: the list itself
_CONVERSION_ERRORS = (TypeError, KeyError, ValueError, OverflowError)
_Number = TypeVar("_Number", int, float)


class EndpointListError(InvalidValueError):
    """An endpoint list that cannot be read."""


@dataclass(slots=True)
class ListEntry:
    """What discovery says of one endpoint.

    Attributes:
        uid: its name, unique and never used again; text by the protocol, but any JSON scalar is accepted.
        address: where it listens.
        zone: the name of its zone; compared with known names only.
        machine_type: the name of its machine type; likewise.
        cell: its group of replicas.
        status: whether it may be sent to.
        weight: its relative size.
        started_ms: when it started, in Unix time; 0 = long ago.
    """

    uid: Hashable
    address: Address
    zone: object
    machine_type: object
    cell: int
    status: EndpointStatus
    weight: float
    started_ms: int


@dataclass(slots=True)
class RawList:
    """An endpoint list whose entries have not been parsed yet, as parsing thousands of them takes a while.

    Attributes:
        version: the version that the receiver has once it has applied the list.
        is_snapshot: whether it is the complete list; otherwise it has the changed entries only.
        entries: the entries, as read from JSON.
    """

    version: int
    is_snapshot: bool
    entries: list[Any]


def parse_list(document: object) -> RawList:
    """Return the list that a JSON document holds, with its entries still to be parsed.

    Raises:
        EndpointListError: the document is no endpoint list.
    """
    is_snapshot = bool(_value(document, KEY_SNAPSHOT, LIST))
    return _parse_list_of_kind(document, is_snapshot=is_snapshot)


def parse_cached_list(document: object) -> RawList:
    """Return the list that a JSON document holds, which is complete without saying so.

    Raises:
        EndpointListError: the document is no endpoint list.
    """
    return _parse_list_of_kind(document, is_snapshot=True)


def parse_start_times_ms(entries: list[Any]) -> list[int]:
    """Return the start times of all entries, and parse nothing else of them.

    Raises:
        EndpointListError: an entry has none.
    """
    try:
        return [int(entry[KEY_STARTED_MS]) for entry in entries]  # the fast way, as there may be thousands
    except _CONVERSION_ERRORS:  # the careful way says which entry is at fault
        return [_number(int, entry, KEY_STARTED_MS, index) for index, entry in enumerate(entries)]


def parse_uids(entries: list[Any]) -> set[Hashable]:
    """Return the uids of all entries, and parse nothing else of them.

    Raises:
        EndpointListError: an entry has none.
    """
    try:
        return {entry[KEY_UID] for entry in entries}  # the fast way, as there may be thousands
    except _CONVERSION_ERRORS:  # the careful way says which entry is at fault
        return {_uid(entry, index) for index, entry in enumerate(entries)}


def parse_entries(entries: list[Any], first_index: int = 0) -> list[ListEntry]:
    """Parse entries.

    Args:
        entries: the entries, as read from JSON; one that is typed already stays as it is.
        first_index: the place of the first of them in the list, for errors.

    Raises:
        EndpointListError: one of them is malformed.
    """
    return [
        entry if isinstance(entry, ListEntry) else _parse_entry(entry, index)
        for index, entry in enumerate(entries, first_index)
    ]


def removed_entry(uid: Hashable) -> ListEntry:
    """Return the entry that says that an endpoint is removed."""
    return ListEntry(
        uid=uid,
        address=REMOVED_ADDRESS,
        zone="",
        machine_type="",
        cell=0,
        status=EndpointStatus.REMOVED,
        weight=1.0,
        started_ms=0,
    )


def _parse_list_of_kind(document: object, *, is_snapshot: bool) -> RawList:
    version = _number(int, document, KEY_VERSION, LIST)
    entries = _value(document, KEY_ENTRIES, LIST)
    if not isinstance(entries, list):
        raise _error(KEY_ENTRIES, LIST, "a list of entries", entries)
    return RawList(version, is_snapshot, entries)


def _parse_entry(entry: object, index: int) -> ListEntry:
    return ListEntry(
        uid=_uid(entry, index),
        address=_address(entry, index),
        zone=_value(entry, KEY_ZONE, index),
        machine_type=_value(entry, KEY_MACHINE_TYPE, index),
        cell=_number(int, entry, KEY_CELL, index),
        status=_status(entry, index),
        weight=_number(float, entry, KEY_WEIGHT, index),
        started_ms=_number(int, entry, KEY_STARTED_MS, index),
    )


def _value(container: object, key: str, index: int) -> Any:
    if not isinstance(container, dict):
        raise _error(key, index, "an object that has this key", container)
    value = container.get(key, NOTHING)
    if value is NOTHING:
        raise _error(key, index, "a value", value)
    return value


def _number(number_type: Callable[[Any], _Number], container: object, key: str, index: int) -> _Number:
    value = _value(container, key, index)
    try:
        return number_type(value)
    except _CONVERSION_ERRORS:
        raise _error(key, index, "a number", value) from None


def _uid(entry: object, index: int) -> Hashable:
    uid: object = _value(entry, KEY_UID, index)
    if not isinstance(uid, Hashable):
        raise _error(KEY_UID, index, "a text", uid)
    return uid


def _address(entry: object, index: int) -> Address:
    text = _value(entry, KEY_ADDRESS, index)
    try:
        return parse_address(text)
    except (AddressError, AttributeError):  # a value that is no text has no `rpartition`
        raise _error(KEY_ADDRESS, index, "host:port", text) from None


def _status(entry: object, index: int) -> EndpointStatus:
    state = _value(entry, KEY_STATE, index)
    if not isinstance(state, str) or state not in STATUSES:
        raise _error(KEY_STATE, index, f"one of {', '.join(STATUSES)}", state)
    return STATUSES[state]


def _error(key: str, index: int, expected: str, found: object) -> EndpointListError:
    place = "" if index == LIST else join_path(KEY_ENTRIES, str(index))
    return EndpointListError(key, place, expected, found)
