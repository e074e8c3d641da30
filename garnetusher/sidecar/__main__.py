"""One real sidecar: `python -m garnetusher.sidecar`, told by its environment what it is."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, TypeVar

from garnetusher.policy.settings_text import SettingsTextError
from garnetusher.sidecar import configuration as config
from garnetusher.sidecar import logs
from garnetusher.sidecar.admin.handlers import operators_calls
from garnetusher.sidecar.admin.server import Admin, Route
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from garnetusher.sidecar.downstream.connection import DownstreamServer
from garnetusher.sidecar.reload import Reloader
from garnetusher.sidecar.requests.messages import monotonic_us
from garnetusher.sidecar.sidecar import Sidecar
from garnetusher.sidecar.sockets import RETRY_S, PatientSelector, is_own

if TYPE_CHECKING:
    from garnetusher.sidecar.membership import Members

log = logging.getLogger(__name__)
Made = TypeVar("Made")

UNREADABLE = (OSError, KeyError, TypeError, ValueError, SettingsTextError)  # what a malformed file raises
REPLACED_IN_S = 1.0  # a file that is absent or half written at a start is there by then
START_PATIENCE_S = 5.0  # on a machine that is short: clients wait for 30 s at a start, other sidecars for 10 s
STILL_COMING_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
FRESH_LIST_S = 4.5  # a process that takes over from another has 6 s to say yes
KILL_GAP_S = 0.7  # SIGKILL comes so long after the longest deadline at the soonest
LONGEST_COUNTED_S = 3.0  # a deadline that is longer counts as this
LAST_ANSWER_S = 0.4  # with the longest aim, what a last request is left for its answer
ENDS_BEFORE_S = 0.2  # SIGKILL, the last answers set out: time for a busy loop to write them


async def serve(
    settings: config.Configuration,
    stop: asyncio.Event,
    prepared: Callable[[Sidecar], None] = lambda sidecar: None,
    inherited: socket.socket | None = None,
) -> None:
    """Serve until told to stop, then answer what comes and what is open; `prepared` gets the parts."""
    sidecar = Sidecar(settings, inherited)
    server, lifecycle, discovery = sidecar.server, sidecar.lifecycle, sidecar.endpoint_watcher
    sidecar.start()
    prepared(sidecar)
    members = await with_members(sidecar)
    if settings.admin is not None:
        await Admin(
            operators_calls(sidecar)
            | (
                {b"/_members": Route(b"GET", lambda query: (True, json.dumps(members.tell())))}
                if members is not None
                else {}
            )
        ).listen(settings.admin)
    if inherited is not None:
        await take_over(discovery, stop)
    lifecycle.start()
    await server.listen(inherited or settings.listen)
    await stop.wait()
    lifecycle.stop()
    killed_s = soonest_kill_s(server)
    server.dispatcher.finish_by(monotonic_us() + int((killed_s - ENDS_BEFORE_S) * 1e6))
    if members is not None:
        await members.leave()
    await (end_alone(server) if inherited is None else end_beside(server, killed_s))
    # hazard: what is under way when a process ends by itself is lost; when SIGKILL ends it, it need not be
    while server.busy or (server.connections and lifecycle.closing_for_s < killed_s - ENDS_BEFORE_S / 2):
        server.close_idle(monotonic_us())
        if lifecycle.closing_for_s >= killed_s - ENDS_BEFORE_S:
            server.turn_away_unread()
        await asyncio.sleep(0.01)


def soonest_kill_s(server: DownstreamServer) -> float:
    """From SIGTERM to SIGKILL, at the least."""
    longest_s = max(kind.deadline_us for kind in server.dispatcher.settings.classes) / 1e6
    return min(LONGEST_COUNTED_S, longest_s) + KILL_GAP_S


async def with_members(sidecar: Sidecar) -> Members | None:
    """The member beside this sidecar, if the file switches it on. Hazard: without it the sidecar serves as it does
    alone, so whatever is wrong with it must not keep the sidecar from starting."""
    fleet = sidecar.configuration.raw.get("fleet") if isinstance(sidecar.configuration.raw, Mapping) else None
    if not isinstance(fleet, Mapping) or "membership" not in fleet:
        return None
    raw, zones, zone = sidecar.configuration.raw, sidecar.configuration.zones, sidecar.configuration.settings.zone
    try:
        from garnetusher.sidecar.membership import Members, switch

        members = Members(
            switch(fleet["membership"], str(raw.get("name", "")), zones[zone]), sidecar.dispatcher.set_fleet_size
        )
        own = await members.open()
    except ImportError as error:
        log.warning("no membership, as %s; pip install -r requirements-fleet.txt brings what it needs", error)
    except (OSError, ValueError) as error:
        log.warning("no membership, as %s", error)
    else:
        log.info("membership at %s:%d", *own)
        return members
    return None


async def take_over(discovery: EndpointWatcher, stop: asyncio.Event) -> None:
    """Until the list is one to trust. Hazard: what another process knew at its start may be long out of date,
    and clients that are let in before would be sent to upstreams that have gone."""
    if discovery.watch is None:
        discovery.watch_endpoints(True)  # at once: the module would spread its first call over the fleet's seconds
    waits = [asyncio.create_task(event.wait()) for event in (discovery.has_current_list, stop)]
    await asyncio.wait(waits, timeout=FRESH_LIST_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if not discovery.has_current_list.is_set():
        log.warning("discovery is silent: starting from the list as it was known")


async def end_alone(server: DownstreamServer) -> None:
    """Nobody else takes clients here: the listener stays open while they may still come."""
    server.close_idle(monotonic_us())
    await asyncio.sleep(STILL_COMING_S)
    await server.stop_listening(shared=False)


async def end_beside(server: DownstreamServer, killed_s: float) -> None:
    """Another process has the listening socket too. Hazard: what would be accepted from now on is better off
    there; and an idle connection closed at once would cost its next request, so each may carry a last one."""
    await server.stop_listening(shared=True)
    idle_s = (
        killed_s - max(kind.latency_objective_us for kind in server.dispatcher.settings.classes) / 1e6 - LAST_ANSWER_S
    )
    while server.connections and server.lifecycle.closing_for_s < idle_s:
        await asyncio.sleep(0.01)


async def run(settings: config.Configuration, path: str, inherited: socket.socket | None) -> None:
    """Serve until SIGTERM; SIGHUP means that the file has been replaced."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await serve(
        settings,
        stop,
        lambda sidecar: loop.add_signal_handler(signal.SIGHUP, Reloader(path, sidecar.reload).signal),
        inherited,
    )


def main() -> int:
    """Run the sidecar; the status is 2 for a configuration that is not in order, 1 where it can't start."""
    logs.configure()
    try:
        path = os.environ["BALANCER_CONFIG"]
        settings = whole_file(path, os.environ.get("BALANCER_ADMIN"))
        text = os.environ.get("BALANCER_SOCKET_FD")
        inherited = config.inherited_socket(text) if text else None
    except UNREADABLE as error:
        print(f"garnetusher.sidecar: configuration: {error!r}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=lambda: patiently(event_loop)) as runner:
            runner.run(run(settings, path, inherited))
    except OSError as error:
        print(f"garnetusher.sidecar: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


def whole_file(path: str, admin: str | None) -> config.Configuration:
    """The configuration; raises as `config.load` on one that stays absent or not in order for a moment longer than it
    takes to replace a file."""
    ends_at = time.monotonic() + REPLACED_IN_S
    while True:
        try:
            return patiently(lambda: config.load(path, admin))
        except UNREADABLE:
            if time.monotonic() >= ends_at:
                raise
        time.sleep(RETRY_S)


def event_loop() -> asyncio.AbstractEventLoop:
    """A loop on epoll, also where that failed when `selectors` tried it at its import."""
    return asyncio.SelectorEventLoop(PatientSelector())


def patiently(make: Callable[[], Made]) -> Made:
    """What `make` gives, tried again while this machine is short of what it takes; raises what it raises then."""
    ends_at = time.monotonic() + START_PATIENCE_S
    while True:
        try:
            return make()
        except OSError as error:
            if not is_own(error) or time.monotonic() >= ends_at:
                raise
        time.sleep(RETRY_S)


if __name__ == "__main__":
    sys.exit(main())
