"""One real sidecar: `python -m plovertrail`, told by its environment what it is."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable

from glenkeel.wire import WireError
from plovertrail import config
from plovertrail.admin import Admin, Route
from plovertrail.discovery import Directory, Discovery
from plovertrail.host import Host, clock_us
from plovertrail.lifecycle import Lifecycle
from plovertrail.server import Server
from plovertrail.upstreams import Pool

log = logging.getLogger(__name__)

UNREADABLE = (OSError, KeyError, TypeError, ValueError, WireError)  # what a malformed file raises
LINES_A_SECOND = 5
OWN_MEMORY = 20 * 1024 * 1024  # bytes that the program takes without any request
MEMORY_PART = 0.75  # of the limit; the rest is for short requests and for what the allocator keeps
STILL_COMING_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
FRESH_LIST_S = 4.5  # a process that takes over from another has 6 s to say yes
KILL_GAP_S = 0.7  # SIGKILL comes so long after the longest deadline, which counts for 3 s at most
LAST_ANSWER_S = 0.4  # with the longest aim, what a last request is left for its answer
LONGEST_STOP_S = 3.6  # SIGKILL comes 0.7 s after the longest deadline, of 3 s, at the soonest


class RateLimit(logging.Filter):
    """Lets a few lines a second through: the log may be a pipe, and a full one would hold up everything."""

    def __init__(self) -> None:
        super().__init__()
        self.second = 0
        self.lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        return self.lines <= LINES_A_SECOND


async def serve(settings: config.Config, stop: asyncio.Event,
                prepared: Callable[[Discovery], None] = lambda discovery: None,
                inherited: socket.socket | None = None) -> None:
    """Serve until told to stop, then answer what comes and what is open; `prepared` gets the discovery."""
    pool = Pool(settings.idle_us, settings.settings.connect_timeout_us)
    host = Host(settings.settings, settings.seed, pool)
    directory = Directory(settings.zones, settings.kinds)
    discovery = Discovery(settings.discovery, directory, host.list_changed)
    host.subscribe = discovery.subscribe
    if settings.known:
        discovery.cached(settings.known)
    if not settings.settings.list_on_request:
        discovery.keep()
    host.start()
    prepared(discovery)
    lifecycle = Lifecycle()
    processes = 1 if inherited is None else 2  # which share the limits
    room = int(settings.memory * MEMORY_PART / processes) - OWN_MEMORY
    server = Server(host, settings.settings, settings.sockets // 2 // processes, lifecycle, room)
    if settings.admin is not None:
        await Admin(operators_calls(server, lifecycle)).listen(settings.admin)
    if inherited is not None:
        await take_over(discovery, stop)
    lifecycle.start()
    await server.listen(inherited or settings.listen)
    await stop.wait()
    lifecycle.stop()
    await (end_alone(server) if inherited is None else end_beside(server))
    while server.clients and lifecycle.closing_for_s < LONGEST_STOP_S:
        server.close_idle(clock_us())
        await asyncio.sleep(0.01)


async def take_over(discovery: Discovery, stop: asyncio.Event) -> None:
    """Until the list is one to trust. Hazard: what another process knew at its start may be long out of date,
    and clients that are let in before would be sent to upstreams that have gone."""
    if discovery.watch is None:
        discovery.subscribe(True)  # at once: the module would spread its first call over the fleet's seconds
    waits = [asyncio.create_task(event.wait()) for event in (discovery.fresh, stop)]
    await asyncio.wait(waits, timeout=FRESH_LIST_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if not discovery.fresh.is_set():
        log.warning("discovery is silent: starting from the list as it was known")


async def end_alone(server: Server) -> None:
    """Nobody else takes clients here: the listener stays open while they may still come."""
    server.close_idle(clock_us())
    await asyncio.sleep(STILL_COMING_S)
    await server.stop_listening()


async def end_beside(server: Server) -> None:
    """Another process has the listening socket too. Hazard: what would be accepted from now on is better off
    there; and an idle connection closed at once would cost its next request, so each may carry a last one."""
    await server.stop_listening()
    classes = server.host.settings.classes
    killed_s = min(3.0, max(kind.deadline_us for kind in classes) / 1e6) + KILL_GAP_S
    idle_s = killed_s - max(kind.aim_us for kind in classes) / 1e6 - LAST_ANSWER_S
    while server.clients and server.lifecycle.closing_for_s < idle_s:
        await asyncio.sleep(0.01)


def operators_calls(server: Server, lifecycle: Lifecycle) -> dict[bytes, Route]:
    """The calls at the admin address."""
    def ready() -> tuple[bool, str]:
        return server.ready, lifecycle.state.value if server.host.ready else "no upstream"

    def drain() -> tuple[bool, str]:
        lifecycle.drain()
        return True, lifecycle.state.value

    def undrain() -> tuple[bool, str]:
        lifecycle.undrain()
        return True, lifecycle.state.value

    return {b"/_ready": Route(b"GET", ready), b"/_lameduck/on": Route(b"POST", drain),
            b"/_lameduck/off": Route(b"POST", undrain)}


def reload(path: str, discovery: Discovery) -> None:
    """Take the address of discovery from the file anew; a file that can't be read changes nothing."""
    try:
        address = config.load(path).discovery
    except UNREADABLE as error:
        log.warning("the configuration can't be read again: %r", error)
        return
    discovery.move(address)


async def run(settings: config.Config, path: str, inherited: socket.socket | None) -> None:
    """Serve until SIGTERM; SIGHUP means that the file has been replaced."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await serve(settings, stop,
                lambda discovery: loop.add_signal_handler(signal.SIGHUP, reload, path, discovery), inherited)


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
    try:
        path = os.environ["BALANCER_CONFIG"]
        settings = config.load(path, os.environ.get("BALANCER_ADMIN"))
        text = os.environ.get("BALANCER_SOCKET_FD")
        inherited = config.inherited_socket(text) if text else None
    except UNREADABLE as error:
        print(f"plovertrail: configuration: {error!r}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(settings, path, inherited))
    except OSError as error:
        print(f"plovertrail: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
