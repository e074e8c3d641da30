"""The table of ready endpoints: what an update of the endpoint list adds, changes and releases."""

from __future__ import annotations

import pytest

from garnetusher.policy.events import Endpoint, EndpointStatus, EndpointsUpdated, UpdateKind
from garnetusher.sidecar.requests.endpoints import Address, ReadyEndpoint, ReadyEndpoints


def address_of(endpoint_id: int) -> Address:
    return ("127.0.0.1", 1000 + endpoint_id)


def update(endpoints: ReadyEndpoints, kind: UpdateKind, *listed: Endpoint) -> list[Address]:
    """Apply an update with the address from `address_of` for each endpoint; return the released addresses."""
    return endpoints.update(EndpointsUpdated(kind, list(listed)), {entry.id: address_of(entry.id) for entry in listed})


@pytest.fixture
def endpoints() -> ReadyEndpoints:
    """Return a table with two ready endpoints, 0 and 1."""
    ready = ReadyEndpoints()
    assert update(ready, UpdateKind.SNAPSHOT, Endpoint(0), Endpoint(1)) == []
    return ready


def test_ready_endpoints_has_an_endpoint_when_it_is_listed_as_ready(endpoints: ReadyEndpoints) -> None:
    assert endpoints.any_ready
    assert endpoints.get(1) == ReadyEndpoint(Endpoint(1), address_of(1))
    assert endpoints.get(2) is None


@pytest.mark.parametrize("kind", [UpdateKind.SNAPSHOT, UpdateKind.CACHED])
def test_ready_endpoints_releases_an_endpoint_when_a_complete_list_lacks_it(
    endpoints: ReadyEndpoints, kind: UpdateKind
) -> None:
    assert update(endpoints, kind, Endpoint(1)) == [address_of(0)]
    assert endpoints.get(0) is None
    assert endpoints.get(1) is not None


def test_ready_endpoints_keeps_unlisted_endpoints_when_an_update_is_a_delta(endpoints: ReadyEndpoints) -> None:
    assert update(endpoints, UpdateKind.DELTA, Endpoint(1, started_us=5)) == []
    assert endpoints.get(0) is not None
    assert endpoints.get(1) == ReadyEndpoint(Endpoint(1, started_us=5), address_of(1))


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_ready_endpoints_releases_an_endpoint_when_it_is_no_longer_ready(
    endpoints: ReadyEndpoints, status: EndpointStatus
) -> None:
    assert update(endpoints, UpdateKind.DELTA, Endpoint(0, status)) == [address_of(0)]
    assert endpoints.get(0) is None


def test_ready_endpoints_releases_the_old_address_when_an_endpoint_has_moved(endpoints: ReadyEndpoints) -> None:
    moved = ("127.0.0.1", 2000)
    assert endpoints.update(EndpointsUpdated(UpdateKind.DELTA, [Endpoint(0)]), {0: moved}) == [address_of(0)]
    assert endpoints.get(0) == ReadyEndpoint(Endpoint(0), moved)


def test_ready_endpoints_keeps_all_endpoints_when_a_poll_has_failed(endpoints: ReadyEndpoints) -> None:
    assert endpoints.update(EndpointsUpdated(UpdateKind.FAILED), {}) == []
    assert endpoints.get(0) is not None
    assert endpoints.get(1) is not None


def test_ready_endpoints_is_empty_when_a_snapshot_is_empty(endpoints: ReadyEndpoints) -> None:
    assert update(endpoints, UpdateKind.SNAPSHOT) == [address_of(0), address_of(1)]
    assert not endpoints.any_ready


def test_ready_endpoints_finds_the_endpoint_of_an_address_while_it_is_ready(endpoints: ReadyEndpoints) -> None:
    assert endpoints.id_at(address_of(1)) == 1
    endpoints.update(EndpointsUpdated(UpdateKind.DELTA, [Endpoint(1)]), {1: address_of(5)})
    assert (endpoints.id_at(address_of(1)), endpoints.id_at(address_of(5))) == (None, 1)
