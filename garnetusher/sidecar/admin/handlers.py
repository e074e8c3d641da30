"""The operators' calls at the admin address: readiness, drain, zones, the last events and the counters."""

from __future__ import annotations

import json
from collections.abc import Callable

from garnetusher.sidecar.admin.server import Route
from garnetusher.sidecar.sidecar import Sidecar


def operators_calls(sidecar: Sidecar) -> dict[bytes, Route]:
    """The calls at the admin address."""
    server, lifecycle = sidecar.server, sidecar.lifecycle

    def ready(query: str) -> tuple[bool, str]:
        return server.ready, lifecycle.state.value if server.dispatcher.ready else "no upstream"

    def drain(query: str) -> tuple[bool, str]:
        lifecycle.drain()
        return True, lifecycle.state.value

    def undrain(query: str) -> tuple[bool, str]:
        lifecycle.undrain()
        return True, lifecycle.state.value

    def zones(query: str) -> tuple[bool, str]:
        return True, json.dumps(server.dispatcher.zone_reports(sidecar.configuration.zones))

    def trace(query: str) -> tuple[bool, str]:
        name = query.removeprefix("request=")
        events = sidecar.trace.find(name) if query else list(sidecar.trace.events)
        return True, "\n".join(json.dumps(event.shown()) for event in events)

    def counters(query: str) -> tuple[bool, str]:
        return True, json.dumps(sidecar.trace.counts)

    def order(leave: bool) -> Callable[[str], tuple[bool, str]]:
        def call(query: str) -> tuple[bool, str]:
            names = sidecar.configuration.zones
            name = query.removeprefix("zone=")
            if name not in names:
                return False, f"expected ?zone= and one of {', '.join(names)}, got {name!r}"
            objection = server.dispatcher.override_zone(names.index(name), leave)
            return (
                not objection,
                f"zone {name} is not left: {objection}"
                if objection
                else f"zone {name} is {'left' if leave else 'returned to'} by an operator's order",
            )

        return call

    return {
        b"/_ready": Route(b"GET", ready),
        b"/_lameduck/on": Route(b"POST", drain),
        b"/_lameduck/off": Route(b"POST", undrain),
        b"/_zones": Route(b"GET", zones),
        b"/_trace": Route(b"GET", trace),
        b"/_counters": Route(b"GET", counters),
        b"/_zone/leave": Route(b"POST", order(True)),
        b"/_zone/return": Route(b"POST", order(False)),
    }
