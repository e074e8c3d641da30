"""The endpoints that are ready, with their addresses, as the endpoint list has them now."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ReadyEndpoint:
    """An endpoint that takes requests, and where it listens."""

    endpoint: Endpoint
    address: Address


class ReadyEndpoints:
    """The ready endpoints by their ids; changed by updates of the list only."""

    def __init__(self) -> None:
        self._ready: dict[int, ReadyEndpoint] = {}

    @property
    def any_ready(self) -> bool:
        """Whether there is an endpoint to send to."""
        return bool(self._ready)

    def get(self, endpoint_id: int) -> ReadyEndpoint | None:
        """Return a ready endpoint, or None if it is not ready or not listed."""
        return self._ready.get(endpoint_id)

    def update(self, event: EndpointsUpdated, addresses: Mapping[int, Address]) -> list[Address]:
        """Apply an update of the endpoint list.

        Args:
            event: the update.
            addresses: where the endpoints of the update listen, by their ids.

        Returns:
            The addresses that are used no more, in the order of the update.
        """
        released: list[Address] = []
        if event.update_kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            for endpoint_id in self._ready.keys() - addresses.keys():
                released.append(self._ready.pop(endpoint_id).address)
        for endpoint in event.endpoints:
            address = addresses[endpoint.id]
            before = self._ready.get(endpoint.id)
            if before is not None and before.address != address:
                del self._ready[endpoint.id]
                released.append(before.address)
            if endpoint.status is EndpointStatus.READY:
                self._ready[endpoint.id] = ReadyEndpoint(endpoint, address)
            else:
                self._ready.pop(endpoint.id, None)
                released.append(address)
        return released
