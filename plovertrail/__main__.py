"""One real sidecar: `python -m plovertrail`, told by its environment what it is."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
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
STILL_COMING_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
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
                prepared: Callable[[Discovery], None] = lambda discovery: None) -> None:
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
    server = Server(host, settings.settings, settings.sockets // 2, lifecycle)
    if settings.admin is not None:
        await Admin(operators_calls(server, lifecycle)).listen(settings.admin)
    lifecycle.start()
    await server.listen(settings.listen)
    await stop.wait()
    lifecycle.stop()
    server.close_idle(clock_us())
    await asyncio.sleep(STILL_COMING_S)
    server.stop_listening()
    while server.clients and lifecycle.closing_for_s < LONGEST_STOP_S:
        server.close_idle(clock_us())
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


async def run(settings: config.Config, path: str) -> None:
    """Serve until SIGTERM; SIGHUP means that the file has been replaced."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await serve(settings, stop,
                lambda discovery: loop.add_signal_handler(signal.SIGHUP, reload, path, discovery))


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
    try:
        path = os.environ["BALANCER_CONFIG"]
        settings = config.load(path, os.environ.get("BALANCER_ADMIN"))
    except UNREADABLE as error:
        print(f"plovertrail: configuration: {error!r}", file=sys.stderr)
        return 2
    asyncio.run(run(settings, path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
