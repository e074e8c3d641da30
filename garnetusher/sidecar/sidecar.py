"""Composition: the parts of one sidecar, which are made, started and given new settings together."""

from __future__ import annotations

import logging
import socket

from garnetusher.sidecar import configuration as configurations
from garnetusher.sidecar.configuration import Configuration
from garnetusher.sidecar.discovery.endpoint_list import EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.downstream.server import DownstreamServer
from garnetusher.sidecar.lifecycle import Lifecycle
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

BASE_MEMORY_BYTES = 20 * 1024 * 1024  # what the program takes without any request
USABLE_MEMORY_FRACTION = 0.75  # of the limit; the rest is for short requests and for what the allocator keeps
CLIENT_DESCRIPTOR_DIVISOR = (
    2  # clients have a third of the descriptors at most, in both processes of a takeover together
)
PROCESSES_AT_TAKEOVER = 2  # which share the limits while one takes over from the other


class Sidecar:
    """The parts of one sidecar.

    Attributes:
        configuration: the configuration in force.
        lifecycle: what the process is doing.
        trace: the latest events, and counters.
        connection_pool: the connections to upstreams.
        dispatcher: the requests in flight, and the policy.
        endpoint_list: the endpoints that discovery has listed.
        endpoint_watcher: the watch on the endpoint list.
        server: the connections of clients.
    """

    def __init__(self, configuration: Configuration, inherited: socket.socket | None = None) -> None:
        """Make the parts.

        Args:
            configuration: the configuration to begin with.
            inherited: the listening socket, if the platform holds it and another process may have it too.
        """
        settings = configuration.settings
        self.configuration = configuration
        self.lifecycle = Lifecycle()
        self.trace = Trace()
        self.connection_pool = ConnectionPool(configuration.idle_timeout_us, settings.connect_timeout_us, self.trace)
        self.dispatcher = RequestDispatcher(settings, configuration.seed, self.connection_pool, self.trace)
        self.endpoint_list = EndpointList(configuration.zones, configuration.machine_types)
        self.endpoint_watcher = EndpointWatcher(
            configuration.discovery, self.endpoint_list, self.dispatcher.on_endpoints_updated
        )
        self.dispatcher.watch_endpoints = self.endpoint_watcher.watch_endpoints
        process_count = 1 if inherited is None else PROCESSES_AT_TAKEOVER
        usable_bytes = int(configuration.memory_bytes * USABLE_MEMORY_FRACTION / process_count)
        self.server = DownstreamServer(
            self.dispatcher,
            settings,
            configuration.max_descriptors // CLIENT_DESCRIPTOR_DIVISOR,
            self.lifecycle,
            usable_bytes - BASE_MEMORY_BYTES,
        )

    def start(self) -> None:
        """Load the cached endpoint list, and let the policy or the watcher request a new one."""
        if self.configuration.cached_endpoints:
            self.endpoint_watcher.load_cached(self.configuration.cached_endpoints)
        if not self.configuration.settings.poll_endpoints:
            self.endpoint_watcher.watch_permanently()
        self.dispatcher.start()

    def reload(self, path: str) -> None:
        """Read the file again and put all of it in force.

        Raises:
            OSError: the file cannot be read; nothing has changed.
            ConfigurationError: it is malformed or incomplete; nothing has changed.
            SettingsTextError: a setting of the policy is missing or wrong; nothing has changed.
        """
        current = configurations.reload(path, self.configuration)
        previous, self.configuration = self.configuration, current
        self.endpoint_list.zones = current.zones
        self.endpoint_list.machine_types = current.machine_types
        self.connection_pool.apply_settings(current.idle_timeout_us, current.settings.connect_timeout_us)
        self.server.router = RequestRouter(current.settings)
        self.dispatcher.apply_settings(current.settings)
        self._apply_discovery(previous, current)
        log.info(
            "the configuration is taken anew, with the classes %s",
            ", ".join(request_class.name for request_class in current.settings.classes),
        )

    def _apply_discovery(self, previous: Configuration, current: Configuration) -> None:
        watcher = self.endpoint_watcher
        if current.discovery != previous.discovery:
            watcher.change_address(current.discovery)
        if current.settings.poll_endpoints != previous.settings.poll_endpoints:
            watcher.watches_permanently = not current.settings.poll_endpoints
            watcher.watch_endpoints(watcher.watches_permanently)
