"""Handlers of the admin server: readiness, draining, zones, the latest events, counters and members."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import unquote

from garnetusher.sidecar.admin.messages import AdminRequest, AdminResponse, Route
from garnetusher.sidecar.sidecar import Sidecar

if TYPE_CHECKING:
    from garnetusher.sidecar.membership import FleetMembership


class AdminHandlers:
    """Handles the requests of operators to one sidecar."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar

    def ready(self, request: AdminRequest) -> AdminResponse:
        """Report whether the sidecar is ready for clients, and the reason if it is not."""
        server = self._sidecar.server
        text = self._sidecar.lifecycle.state.value if server.dispatcher.ready else "no upstream"
        return _response(text, is_success=server.ready)

    def drain(self, request: AdminRequest) -> AdminResponse:
        """Start draining: ask clients to use other sidecars."""
        self._sidecar.lifecycle.drain()
        return _response(self._sidecar.lifecycle.state.value)

    def undrain(self, request: AdminRequest) -> AdminResponse:
        """Stop draining."""
        self._sidecar.lifecycle.undrain()
        return _response(self._sidecar.lifecycle.state.value)

    def zones(self, request: AdminRequest) -> AdminResponse:
        """Report the state of each zone in the policy."""
        reports = self._sidecar.server.dispatcher.zone_reports(self._sidecar.configuration.zones)
        return _response(json.dumps(reports))

    def trace(self, request: AdminRequest) -> AdminResponse:
        """Report the latest events; an `X-Request-Id` in `?request=` selects the events of that request.

        The id may be percent-encoded or literal. Like the ids of clients, its bytes are read as Latin-1.
        """
        trace = self._sidecar.trace
        client_request_id = request.query.removeprefix("request=")
        if request.query:
            events = trace.find(client_request_id) or trace.find(unquote(client_request_id, "latin-1"))
        else:
            events = trace.all_events()
        return _response("\n".join(json.dumps(event.to_dict()) for event in events))

    def counters(self, request: AdminRequest) -> AdminResponse:
        """Report the counters."""
        return _response(json.dumps(self._sidecar.trace.counts))

    def evacuate_zone(self, request: AdminRequest) -> AdminResponse:
        """Evacuate the zone in `?zone=`: stop forwarding requests to it."""
        return self._override_zone(request, evacuate=True)

    def restore_zone(self, request: AdminRequest) -> AdminResponse:
        """Restore the zone in `?zone=`: forward requests to it again."""
        return self._override_zone(request, evacuate=False)

    def _override_zone(self, request: AdminRequest, *, evacuate: bool) -> AdminResponse:
        names = self._sidecar.configuration.zones
        name = request.query.removeprefix("zone=")
        if name not in names:
            text = f"expected ?zone= and one of {', '.join(names)}, got {name!r}"
            return _response(text, is_success=False)
        rejection = self._sidecar.server.dispatcher.override_zone(names.index(name), evacuate=evacuate)
        if rejection is not None:
            return _response(f"zone {name} is not evacuated: {rejection}", is_success=False)
        return _response(f"zone {name} is {'evacuated' if evacuate else 'restored'} by an operator")


def admin_routes(sidecar: Sidecar, members: FleetMembership | None = None) -> dict[bytes, Route]:
    """Return the routes of the admin server by path.

    Args:
        sidecar: sidecar that the routes report on and change.
        members: fleet membership, if it is enabled.
    """
    handlers = AdminHandlers(sidecar)
    routes = {
        b"/_ready": Route(b"GET", handlers.ready),
        b"/_lameduck/on": Route(b"POST", handlers.drain),
        b"/_lameduck/off": Route(b"POST", handlers.undrain),
        b"/_zones": Route(b"GET", handlers.zones),
        b"/_trace": Route(b"GET", handlers.trace),
        b"/_counters": Route(b"GET", handlers.counters),
        b"/_zone/leave": Route(b"POST", handlers.evacuate_zone),
        b"/_zone/return": Route(b"POST", handlers.restore_zone),
    }
    if members is not None:
        routes[b"/_members"] = Route(b"GET", lambda _: _response(json.dumps(members.describe())))
    return routes


def _response(text: str, *, is_success: bool = True) -> AdminResponse:
    return AdminResponse(HTTPStatus.OK if is_success else HTTPStatus.SERVICE_UNAVAILABLE, text)
