"""The parts of one sidecar, which are made, started and given new settings together."""

from __future__ import annotations

import logging
import socket

from garnetusher.sidecar import configuration as config
from garnetusher.sidecar.discovery.watch import Directory, Discovery
from garnetusher.sidecar.downstream.connection import Server
from garnetusher.sidecar.downstream.router import Catalogue
from garnetusher.sidecar.lifecycle import Lifecycle
from garnetusher.sidecar.requests.dispatcher import Host
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.upstream.pool import Pool

log = logging.getLogger(__name__)

OWN_MEMORY = 20 * 1024 * 1024  # bytes that the program takes without any request
MEMORY_PART = 0.75  # of the limit; the rest is for short requests and for what the allocator keeps


class Sidecar:
    """The parts that are retuned together."""

    def __init__(self, settings: config.Config, inherited: socket.socket | None = None) -> None:
        self.settings = settings
        self.lifecycle = Lifecycle()
        self.trace = Trace()
        self.pool = Pool(settings.idle_us, settings.settings.connect_timeout_us, self.trace)
        self.host = Host(settings.settings, settings.seed, self.pool, self.trace)
        self.directory = Directory(settings.zones, settings.kinds)
        self.discovery = Discovery(settings.discovery, self.directory, self.host.list_changed)
        self.host.subscribe = self.discovery.subscribe
        processes = 1 if inherited is None else 2  # which share the limits
        room = int(settings.memory * MEMORY_PART / processes) - OWN_MEMORY
        # clients hold a third of the descriptors at most, in both processes together
        self.server = Server(self.host, settings.settings, settings.sockets // 2, self.lifecycle, room)

    def start(self) -> None:
        """Take the list as it was known, and let the module or the network side ask for a new one."""
        if self.settings.known:
            self.discovery.cached(self.settings.known)
        if not self.settings.settings.poll_endpoints:
            self.discovery.keep()
        self.host.start()

    def take(self, path: str) -> None:
        """Take the file anew: all of it, once it has been checked whole; raises on what is wrong with it."""
        settings = config.load_again(path, self.settings)
        before, self.settings = self.settings, settings
        self.directory.zones, self.directory.kinds = settings.zones, settings.kinds
        self.pool.retune(settings.idle_us, settings.settings.connect_timeout_us)
        self.server.catalogue = Catalogue(settings.settings)
        self.host.retune(settings.settings)
        if settings.discovery != before.discovery:
            self.discovery.move(settings.discovery)
        if settings.settings.poll_endpoints != before.settings.poll_endpoints:
            self.discovery.kept = not settings.settings.poll_endpoints
            self.discovery.subscribe(self.discovery.kept)
        log.info(
            "the configuration is taken anew, with the classes %s",
            ", ".join(kind.name for kind in settings.settings.classes),
        )
