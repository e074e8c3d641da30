"""The parts of one sidecar, which are made, started and given new settings together."""

from __future__ import annotations

import logging
import socket

from garnetusher.sidecar import configuration as config
from garnetusher.sidecar.discovery.endpoint_list import EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from garnetusher.sidecar.downstream.connection import DownstreamServer
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.lifecycle import Lifecycle
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

OWN_MEMORY = 20 * 1024 * 1024  # bytes that the program takes without any request
MEMORY_PART = 0.75  # of the limit; the rest is for short requests and for what the allocator keeps


class Sidecar:
    """The parts that are retuned together."""

    def __init__(self, settings: config.Configuration, inherited: socket.socket | None = None) -> None:
        self.configuration = settings
        self.lifecycle = Lifecycle()
        self.trace = Trace()
        self.connection_pool = ConnectionPool(
            settings.idle_timeout_us, settings.settings.connect_timeout_us, self.trace
        )
        self.dispatcher = RequestDispatcher(settings.settings, settings.seed, self.connection_pool, self.trace)
        self.endpoint_list = EndpointList(settings.zones, settings.machine_types)
        self.endpoint_watcher = EndpointWatcher(
            settings.discovery, self.endpoint_list, self.dispatcher.on_endpoints_updated
        )
        self.dispatcher.watch_endpoints = self.endpoint_watcher.watch_endpoints
        processes = 1 if inherited is None else 2  # which share the limits
        room = int(settings.memory_bytes * MEMORY_PART / processes) - OWN_MEMORY
        # clients hold a third of the descriptors at most, in both processes together
        self.server = DownstreamServer(
            self.dispatcher, settings.settings, settings.max_descriptors // 2, self.lifecycle, room
        )

    def start(self) -> None:
        """Take the list as it was known, and let the module or the network side ask for a new one."""
        if self.configuration.cached_endpoints:
            self.endpoint_watcher.load_cached(self.configuration.cached_endpoints)
        if not self.configuration.settings.poll_endpoints:
            self.endpoint_watcher.watch_permanently()
        self.dispatcher.start()

    def reload(self, path: str) -> None:
        """Take the file anew: all of it, once it has been checked whole; raises on what is wrong with it."""
        settings = config.reload(path, self.configuration)
        before, self.configuration = self.configuration, settings
        self.endpoint_list.zones, self.endpoint_list.machine_types = settings.zones, settings.machine_types
        self.connection_pool.apply_settings(settings.idle_timeout_us, settings.settings.connect_timeout_us)
        self.server.router = RequestRouter(settings.settings)
        self.dispatcher.apply_settings(settings.settings)
        if settings.discovery != before.discovery:
            self.endpoint_watcher.move(settings.discovery)
        if settings.settings.poll_endpoints != before.settings.poll_endpoints:
            self.endpoint_watcher.watching = not settings.settings.poll_endpoints
            self.endpoint_watcher.watch_endpoints(self.endpoint_watcher.watching)
        log.info(
            "the configuration is taken anew, with the classes %s",
            ", ".join(kind.name for kind in settings.settings.classes),
        )
