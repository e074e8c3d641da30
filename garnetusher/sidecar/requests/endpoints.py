"""The endpoints that are ready according to the current endpoint list, with their addresses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ReadyEndpoint:
    """An endpoint that accepts requests, and the address on which it listens."""

    endpoint: Endpoint
    address: Address


class ReadyEndpoints:
    """The ready endpoints by id; only updates of the endpoint list change them."""

    def __init__(self) -> None:
        self._ready: dict[int, ReadyEndpoint] = {}
        self._ids: dict[Address, int] = {}  # ready endpoints; if several share an address, the latest one

    @property
    def any_ready(self) -> bool:
        """Whether at least one endpoint is ready."""
        return bool(self._ready)

    def get(self, endpoint_id: int) -> ReadyEndpoint | None:
        """Return the ready endpoint with this id, or None if it is not ready or not listed."""
        return self._ready.get(endpoint_id)

    def id_at(self, address: Address) -> int | None:
        """Return the id of the ready endpoint that listens on an address, or None."""
        return self._ids.get(address)

    def update(self, event: EndpointsUpdated, addresses: Mapping[int, Address]) -> list[Address]:
        """Apply an update of the endpoint list.

        Args:
            event: the update.
            addresses: the addresses on which the endpoints of the update listen, by endpoint id.

        Returns:
            The addresses that are no longer in use: first those of endpoints that a complete list lacks, in any order,
            then those of the listed endpoints in the order of the update.
        """
        released: list[Address] = []
        if event.update_kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            for endpoint_id in self._ready.keys() - addresses.keys():
                released.append(self._remove(self._ready[endpoint_id]))
        for endpoint in event.endpoints:
            address = addresses[endpoint.id]
            previous = self._ready.get(endpoint.id)
            if previous is not None and previous.address != address:
                released.append(self._remove(previous))
                previous = None
            if endpoint.status is EndpointStatus.READY:
                self._ready[endpoint.id] = ReadyEndpoint(endpoint, address)
                self._ids[address] = endpoint.id
            else:
                if previous is not None:
                    self._remove(previous)
                released.append(address)
        return released

    def _remove(self, ready: ReadyEndpoint) -> Address:
        """Remove a ready endpoint and return its address."""
        del self._ready[ready.endpoint.id]
        if self._ids.get(ready.address) == ready.endpoint.id:
            del self._ids[ready.address]
        return ready.address
