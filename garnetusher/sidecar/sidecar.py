"""Creates, starts and reconfigures the components of one sidecar."""

from __future__ import annotations

import logging
import os
import socket
from pathlib import Path

from garnetusher.sidecar import configuration as configurations
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.closing_schedule import ClosingSchedule
from garnetusher.sidecar.configuration import Configuration
from garnetusher.sidecar.discovery.endpoint_list import EndpointList
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from garnetusher.sidecar.downstream.router import RequestRouter
from garnetusher.sidecar.downstream.server import DownstreamServer
from garnetusher.sidecar.lifecycle import Lifecycle
from garnetusher.sidecar.memory_budget import MemoryBudget
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.request_ids import SharedIds
from garnetusher.sidecar.requests.trace import EventName, Trace
from garnetusher.sidecar.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

# Clients of both processes together need at most a third of the descriptors during a takeover. The limit for client
# connections is half of the descriptors; the other half remains for upstream connections.
CLIENT_DESCRIPTOR_DIVISOR = 2
SHARED_FOLDER_VARIABLE = "TMPDIR"  # the folder that both processes share
PROCESSES_AT_TAKEOVER = 2  # both processes share the limits while one takes over from the other


def endpoint_count(endpoint_list: object) -> int:
    """Return the number of entries of an endpoint list in the form of discovery; 0 if it has another form."""
    entries = endpoint_list.get("targets") if isinstance(endpoint_list, dict) else None
    return len(entries) if isinstance(entries, list) else 0


def open_shared_ids() -> SharedIds | None:
    """Open the request ids that both processes of a takeover share; None if the platform gives them no folder."""
    folder = os.environ.get(SHARED_FOLDER_VARIABLE)
    if not folder:
        return None
    from garnetusher.sidecar.requests.shared_request_ids import (  # noqa: PLC0415 imported only at a takeover
        SharedRequestIds,
    )

    try:
        return SharedRequestIds(Path(folder))
    except OSError as error:
        log.warning("request ids are not shared with the other process of a takeover: %s", error)
        return None


class Sidecar:
    """The components of one sidecar.

    Attributes:
        configuration: current configuration.
        lifecycle: lifecycle state of the process.
        trace: latest events and counters.
        memory: bound on the bytes that peers make the process hold.
        connection_pool: connections to upstreams.
        dispatcher: dispatcher of the requests in flight, which runs the policy.
        endpoint_list: endpoints that discovery has listed.
        endpoint_watcher: watcher of the endpoint list.
        server: server for the connections of clients.
    """

    def __init__(self, configuration: Configuration, inherited: socket.socket | None = None) -> None:
        """Create the components.

        Args:
            configuration: initial configuration.
            inherited: listening socket, if the platform holds it open and another process may share it.
        """
        settings = configuration.settings
        self._has_successor = inherited is not None  # another process accepts the connections once this one stops
        self.configuration = configuration
        self.trace = Trace()
        max_connections = configuration.max_descriptors // CLIENT_DESCRIPTOR_DIVISOR
        self.memory = MemoryBudget.for_process(
            configuration.memory_bytes,
            1 if inherited is None else PROCESSES_AT_TAKEOVER,
            endpoint_count(configuration.cached_endpoints),
            max_connections,
        )
        self.lifecycle = Lifecycle(on_transition=lambda reached: self.trace.record_state(EventName.LIFECYCLE, reached))
        self.connection_pool = ConnectionPool(
            configuration.idle_timeout_us, settings.connect_timeout_us, self.trace, self.memory
        )
        self.dispatcher = RequestDispatcher(
            settings,
            configuration.seed,
            self.connection_pool,
            self.trace,
            self.memory,
            None if inherited is None else open_shared_ids(),
        )
        self.connection_pool.endpoint_id_at = self.dispatcher.endpoint_id_at
        self.endpoint_list = EndpointList(configuration.zones, configuration.machine_types)
        self.endpoint_watcher = EndpointWatcher(
            configuration.discovery, self.endpoint_list, self.dispatcher.on_endpoints_updated, self.trace
        )
        self.dispatcher.watch_endpoints = self.endpoint_watcher.watch_endpoints
        self.server = DownstreamServer(
            self.dispatcher,
            settings,
            max_connections,
            self.lifecycle,
            self.memory,
        )

    def start(self) -> None:
        """Load the cached endpoint list, and let the policy or the watcher request a current one."""
        if self.configuration.cached_endpoints:
            self.endpoint_watcher.load_cached(self.configuration.cached_endpoints)
        if not self.configuration.settings.poll_endpoints:
            self.endpoint_watcher.watch_permanently()
        self.dispatcher.start()

    def begin_shutdown(self) -> ClosingSchedule:
        """Begin the shutdown with the time of SIGTERM, from which SIGKILL is due; a repeated call changes nothing.

        A signal handler calls this method before the event loop reads any response to a request that it has read
        before the signal, as after a pause of the process.
        """
        server = self.server
        if server.shutdown_schedule is not None:
            return server.shutdown_schedule
        self.lifecycle.stop((monotonic_us() - server.event_loop_lag.earliest_signal_us()) / 1e6)
        classes = self.dispatcher.settings.classes
        schedule = ClosingSchedule.for_shutdown(classes, has_successor=self._has_successor)
        server.begin_shutdown(schedule)
        return schedule

    def reload(self, path: str) -> None:
        """Read the file again and apply all of it; nothing changes if an error is raised.

        Raises:
            OSError: the file cannot be read.
            ConfigurationError: the file is malformed or incomplete.
            SettingsTextError: a policy setting is missing or invalid.
            UnicodeEncodeError: the name of a class or a tenant cannot be part of a request.
        """
        current = configurations.reload(path, self.configuration)
        router = RequestRouter(current.settings)  # raises an error before anything changes
        previous, self.configuration = self.configuration, current
        self.endpoint_list.zones = current.zones
        self.endpoint_list.machine_types = current.machine_types
        self.connection_pool.apply_settings(current.idle_timeout_us, current.settings.connect_timeout_us)
        self.server.router = router
        self.dispatcher.apply_settings(current.settings)
        self._apply_discovery(previous, current)
        log.info(
            "reloaded the configuration; request classes: %s",
            ", ".join(request_class.name for request_class in current.settings.classes),
        )

    def _apply_discovery(self, previous: Configuration, current: Configuration) -> None:
        watcher = self.endpoint_watcher
        if current.discovery != previous.discovery:
            watcher.change_address(current.discovery)
        if current.settings.poll_endpoints != previous.settings.poll_endpoints:
            watcher.watches_permanently = not current.settings.poll_endpoints
            watcher.watch_endpoints(watcher.watches_permanently)
