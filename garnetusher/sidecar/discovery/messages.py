"""The endpoint list as discovery sends it: types for lists and entries, and functions that parse them from JSON.

Discovery defines the keys of the JSON; no other module uses them.
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
REMOVED_ADDRESS: Address = ("0.0.0.0", 1)  # placeholder in an entry that reports a removal

WHOLE_LIST = -1  # an index that denotes the list itself instead of one of its entries
_CONVERSION_ERRORS = (TypeError, KeyError, ValueError, OverflowError)
_Number = TypeVar("_Number", int, float)


class EndpointListError(InvalidValueError):
    """An endpoint list is malformed."""


@dataclass(slots=True)
class ListEntry:
    """One endpoint as discovery lists it.

    Attributes:
        uid: name of the endpoint, unique and never reused; a string in the protocol, but any JSON scalar is accepted.
        address: address on which the endpoint listens.
        zone: name of the endpoint's zone; only compared with the configured names, so its type is not checked.
        machine_type: name of the endpoint's machine type; its type is not checked, as for `zone`.
        cell: group of replicas that the endpoint belongs to.
        status: whether requests may be sent to the endpoint.
        weight: relative capacity of the endpoint.
        started_ms: start time of the endpoint in Unix time; 0 means that it started too long ago to matter.
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
    """An endpoint list with unparsed entries: parsing thousands of them at once would block the event loop.

    Attributes:
        version: version that the receiver has once it has applied the list.
        is_snapshot: whether the list is complete; a delta has only the changed entries.
        entries: entries as decoded from JSON.
    """

    version: int
    is_snapshot: bool
    entries: list[Any]


def parse_list(document: object) -> RawList:
    """Return the endpoint list in a JSON document, with its entries unparsed.

    Raises:
        EndpointListError: the document is not an endpoint list.
    """
    is_snapshot = bool(_value(document, KEY_SNAPSHOT, WHOLE_LIST))
    return _parse_list_of_kind(document, is_snapshot=is_snapshot)


def parse_cached_list(document: object) -> RawList:
    """Return the cached endpoint list in a JSON document; it is always a snapshot, even if `KEY_SNAPSHOT` is missing.

    Raises:
        EndpointListError: the document is not an endpoint list.
    """
    return _parse_list_of_kind(document, is_snapshot=True)


def parse_start_times_ms(entries: list[Any]) -> list[int]:
    """Return the start times of all entries without parsing their other values.

    Raises:
        EndpointListError: an entry has no valid start time.
    """
    try:
        return [int(entry[KEY_STARTED_MS]) for entry in entries]  # fast path, as a list may have thousands of entries
    except _CONVERSION_ERRORS:  # the slow path raises an error that names the malformed entry
        return [_number(int, entry, KEY_STARTED_MS, index) for index, entry in enumerate(entries)]


def parse_uids(entries: list[Any]) -> set[Hashable]:
    """Return the uids of all entries without parsing their other values.

    Raises:
        EndpointListError: an entry has no valid uid.
    """
    try:
        return {entry[KEY_UID] for entry in entries}  # fast path, as a list may have thousands of entries
    except _CONVERSION_ERRORS:  # the slow path raises an error that names the malformed entry
        return {_uid(entry, index) for index, entry in enumerate(entries)}


def parse_entries(entries: list[Any], first_index: int = 0) -> list[ListEntry]:
    """Parse entries.

    Args:
        entries: entries as decoded from JSON; a `ListEntry` among them is returned unchanged.
        first_index: index of the first entry in the complete list, for error messages.

    Raises:
        EndpointListError: an entry is malformed.
    """
    return [
        entry if isinstance(entry, ListEntry) else _parse_entry(entry, index)
        for index, entry in enumerate(entries, first_index)
    ]


def removed_entry(uid: Hashable) -> ListEntry:
    """Return an entry that reports the removal of an endpoint."""
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
    version = _number(int, document, KEY_VERSION, WHOLE_LIST)
    entries = _value(document, KEY_ENTRIES, WHOLE_LIST)
    if not isinstance(entries, list):
        raise _error(KEY_ENTRIES, WHOLE_LIST, "a list of entries", entries)
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
        raise _error(KEY_UID, index, "a string", uid)
    return uid


def _address(entry: object, index: int) -> Address:
    text = _value(entry, KEY_ADDRESS, index)
    try:
        return parse_address(text)
    except (AddressError, AttributeError):  # AttributeError: the value is not a string
        raise _error(KEY_ADDRESS, index, "host:port", text) from None


def _status(entry: object, index: int) -> EndpointStatus:
    state = _value(entry, KEY_STATE, index)
    if not isinstance(state, str) or state not in STATUSES:
        raise _error(KEY_STATE, index, f"one of {', '.join(STATUSES)}", state)
    return STATUSES[state]


def _error(key: str, index: int, expected: str, found: object) -> EndpointListError:
    place = "" if index == WHOLE_LIST else join_path(KEY_ENTRIES, str(index))
    return EndpointListError(key, place, expected, found)
