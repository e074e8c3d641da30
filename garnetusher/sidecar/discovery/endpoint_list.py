"""Keeps the endpoints that discovery lists, assigns their ids, and creates the events that update the policy."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.sidecar.addresses import Address
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.discovery.messages import (
    ListEntry,
    RawList,
    parse_entries,
    parse_start_times_ms,
    parse_uids,
    removed_entry,
)
from garnetusher.sidecar.discovery.start_times import StartTimes

# Maximum number of entries that one iteration of the event loop parses or applies; such an iteration takes about 5 ms.
# An iteration with 10,000 entries would delay all requests by 100 ms.
BATCH_SIZE = 500

# Number of the first zone that the configuration does not list; no configuration lists this many zones. Each such zone
# has its own number, as its endpoints share no deduplicated requests with those of another zone.
FIRST_UNKNOWN_ZONE = 1 << 16


@dataclass(slots=True)
class EndpointUpdate:
    """The result of applying a list or a batch: an event for the policy, and the addresses of the endpoints."""

    event: EndpointsUpdated
    addresses: dict[int, Address]


class ListBatch:
    """A part of an endpoint list that is small enough to be processed in one iteration of the event loop."""

    def __init__(self, received: RawList, first_index: int = 0, *, is_last: bool = True) -> None:
        """Create a batch.

        Args:
            received: list that has only the entries of this batch.
            first_index: index of the first entry in the complete list, for error messages.
            is_last: whether this is the last batch of the complete list.
        """
        self.version = received.version
        self.update_kind = UpdateKind.SNAPSHOT if received.is_snapshot else UpdateKind.DELTA
        self.is_last = is_last
        self._first_index = first_index
        self._unparsed = received.entries
        self._entries: list[ListEntry] | None = None

    def entries(self) -> list[ListEntry]:
        """Return the parsed entries of the batch; the first call parses them.

        Raises:
            EndpointListError: an entry is malformed.
        """
        if self._entries is None:
            self._entries = parse_entries(self._unparsed, self._first_index)
            self._unparsed = []
        return self._entries


class EndpointList:
    """Converts discovery's entries to the policy's endpoints.

    Each uid gets a numeric id, and start times are converted to the sidecar's monotonic clock.

    Attributes:
        zones: names of the configured zones; the policy identifies a zone by its index in this list.
        machine_types: names of the machine types; the policy identifies a machine type by its index in this list.
        endpoint_ids: numeric id of each listed endpoint, by uid.
    """

    def __init__(self, zones: list[str], machine_types: list[str]) -> None:
        self.zones = zones
        self.machine_types = machine_types
        self.endpoint_ids: dict[Hashable, int] = {}
        self._unknown_zones: dict[str, int] = {}  # numbers of zones that the configuration does not list
        self._last_endpoint_id = 0
        self._start_times = StartTimes(monotonic_us)

    def split(self, received: RawList) -> list[ListBatch]:
        """Return the batches of `received`; applying them in order has the same effect as applying all of it.

        A long snapshot becomes several deltas, which first remove the endpoints that the snapshot does not list.

        Raises:
            EndpointListError: an entry has no valid start time or uid; parsing a batch detects other invalid values.
        """
        # The start times of the whole list are observed first, as they affect the estimate for every entry.
        self._start_times.observe(parse_start_times_ms(received.entries))
        if len(received.entries) <= BATCH_SIZE:
            return [ListBatch(received)]
        removed = self._removed_entries(received) if received.is_snapshot else []
        entries = [*removed, *received.entries]
        return [
            ListBatch(
                RawList(received.version, is_snapshot=False, entries=entries[start : start + BATCH_SIZE]),
                first_index=start - len(removed),
                is_last=start + BATCH_SIZE >= len(entries),
            )
            for start in range(0, len(entries), BATCH_SIZE)
        ]

    def apply(self, update_kind: UpdateKind, entries: Sequence[ListEntry], version: int) -> EndpointUpdate:
        """Apply the entries of a list or of a batch.

        Args:
            update_kind: kind of the list; any kind but `DELTA` removes the endpoints that are not in `entries`.
            entries: parsed entries.
            version: version of the list.

        Returns:
            The event for the policy, and the addresses of the endpoints in `entries`.
        """
        self._start_times.observe(entry.started_ms for entry in entries)
        endpoints: list[Endpoint] = []
        addresses: dict[int, Address] = {}
        for entry in entries:
            endpoint = self._create_endpoint(entry)
            endpoints.append(endpoint)
            addresses[endpoint.id] = entry.address
        if update_kind is not UpdateKind.DELTA:
            self._forget_unlisted({entry.uid for entry in entries})
        for entry in entries:
            if entry.status is EndpointStatus.REMOVED:
                self._forget(entry.uid)
        return EndpointUpdate(EndpointsUpdated(update_kind, endpoints, version), addresses)

    def _removed_entries(self, snapshot: RawList) -> list[ListEntry]:
        listed = parse_uids(snapshot.entries)
        return [removed_entry(uid) for uid in self.endpoint_ids if uid not in listed]

    def _create_endpoint(self, entry: ListEntry) -> Endpoint:
        if entry.uid not in self.endpoint_ids:
            self._last_endpoint_id += 1
            self.endpoint_ids[entry.uid] = self._last_endpoint_id
        return Endpoint(
            id=self.endpoint_ids[entry.uid],
            status=entry.status,
            zone=self._zone_number(entry.zone),
            machine_type=_index_of(entry.machine_type, self.machine_types),
            cell=entry.cell,
            weight=entry.weight,
            started_us=self._start_times.started_us(entry.uid, entry.started_ms),
        )

    def _zone_number(self, name: object) -> int:
        if isinstance(name, str) and name in self.zones:
            return self.zones.index(name)
        return self._unknown_zones.setdefault(repr(name), FIRST_UNKNOWN_ZONE + len(self._unknown_zones))

    def _forget_unlisted(self, listed: set[Hashable]) -> None:
        for uid in [uid for uid in self.endpoint_ids if uid not in listed]:
            self._forget(uid)

    def _forget(self, uid: Hashable) -> None:
        self.endpoint_ids.pop(uid, None)
        self._start_times.forget(uid)


def _index_of(name: object, names: list[str]) -> int:
    """Return the index of a name, or the number of names if the name is unknown."""
    return names.index(name) if isinstance(name, str) and name in names else len(names)
