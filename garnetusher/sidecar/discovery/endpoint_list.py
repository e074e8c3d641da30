"""The endpoints that discovery has listed: their numbers, and the events by which the policy learns of them."""

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

# Entries that are parsed or applied in one round of the event loop, in some 5 ms. Ten thousand at once would delay all
# requests by 100 ms.
PIECE_SIZE = 500


@dataclass(slots=True)
class EndpointUpdate:
    """What the policy and the connections need to know of one list: the event, and where its endpoints listen."""

    event: EndpointsUpdated
    addresses: dict[int, Address]


class ListPiece:
    """A part of an endpoint list that is small enough to be handled in one round of the event loop."""

    def __init__(self, received: RawList, first_index: int = 0, *, is_last: bool = True) -> None:
        """Hold a part of a list.

        Args:
            received: the part, as a list of its own.
            first_index: the index of its first entry in the complete list, for errors.
            is_last: whether the list is applied in full with this piece.
        """
        self.version = received.version
        self.update_kind = UpdateKind.SNAPSHOT if received.is_snapshot else UpdateKind.DELTA
        self.is_last = is_last
        self._first_index = first_index
        self._unparsed = received.entries
        self._entries: list[ListEntry] | None = None

    def entries(self) -> list[ListEntry]:
        """Return its entries, which are parsed at the first call.

        Raises:
            EndpointListError: an entry is malformed.
        """
        if self._entries is None:
            self._entries = parse_entries(self._unparsed, self._first_index)
            self._unparsed = []
        return self._entries


class EndpointList:
    """Translates entries of discovery into endpoints of the policy.

    Each uid gets a number, and start times are converted to the sidecar's monotonic clock.

    Attributes:
        zones: the names of the zones, by their index in the settings.
        machine_types: likewise of machine types.
        endpoint_ids: the number of each uid that is listed.
    """

    def __init__(self, zones: list[str], machine_types: list[str]) -> None:
        self.zones = zones
        self.machine_types = machine_types
        self.endpoint_ids: dict[Hashable, int] = {}
        self._last_endpoint_id = 0
        self._start_times = StartTimes(monotonic_us)

    def split(self, received: RawList) -> list[ListPiece]:
        """Return a list as pieces, which make the same changes one after another as the list would at once.

        A long snapshot becomes deltas, of which the first ones remove what is not listed any more.

        Raises:
            EndpointListError: an entry has no start time or no uid; other faults show when a piece is parsed.
        """
        # All start times of a long list are observed before its first entry is applied.
        self._start_times.observe(parse_start_times_ms(received.entries))
        if len(received.entries) <= PIECE_SIZE:
            return [ListPiece(received)]
        removed = self._removed_entries(received) if received.is_snapshot else []
        entries = [*removed, *received.entries]
        return [
            ListPiece(
                RawList(received.version, is_snapshot=False, entries=entries[start : start + PIECE_SIZE]),
                first_index=start - len(removed),
                is_last=start + PIECE_SIZE >= len(entries),
            )
            for start in range(0, len(entries), PIECE_SIZE)
        ]

    def apply(self, update_kind: UpdateKind, entries: Sequence[ListEntry], version: int) -> EndpointUpdate:
        """Apply the entries of a list, or of a piece of it.

        Args:
            update_kind: what the entries are; all but `DELTA` mean that endpoints that are not listed are removed.
            entries: the entries.
            version: the version of the list.

        Returns:
            The update to pass on.
        """
        self._start_times.observe(entry.started_ms for entry in entries)
        endpoints: list[Endpoint] = []
        addresses: dict[int, Address] = {}
        for entry in entries:
            endpoint = self._endpoint(entry)
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

    def _endpoint(self, entry: ListEntry) -> Endpoint:
        if entry.uid not in self.endpoint_ids:
            self._last_endpoint_id += 1
            self.endpoint_ids[entry.uid] = self._last_endpoint_id
        return Endpoint(
            id=self.endpoint_ids[entry.uid],
            status=entry.status,
            zone=_index_of(entry.zone, self.zones),
            machine_type=_index_of(entry.machine_type, self.machine_types),
            cell=entry.cell,
            weight=entry.weight,
            started_us=self._start_times.started_us(entry.uid, entry.started_ms),
        )

    def _forget_unlisted(self, listed: set[Hashable]) -> None:
        for uid in [uid for uid in self.endpoint_ids if uid not in listed]:
            self._forget(uid)

    def _forget(self, uid: Hashable) -> None:
        self.endpoint_ids.pop(uid, None)
        self._start_times.forget(uid)


def _index_of(name: object, names: list[str]) -> int:
    """Return the index of a name; one past the last for a name that is not known."""
    return names.index(name) if isinstance(name, str) and name in names else len(names)
