"""One sidecar in service, from its startup to the end of its shutdown."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable

from garnetusher.sidecar import shutdown, startup
from garnetusher.sidecar.configuration import Configuration
from garnetusher.sidecar.reload import Reloader
from garnetusher.sidecar.shutdown import ShutdownSchedule
from garnetusher.sidecar.sidecar import Sidecar


async def run(configuration: Configuration, path: str, inherited: socket.socket | None) -> None:
    """Serve until SIGTERM; SIGHUP means that the configuration file has been replaced.

    Args:
        configuration: the configuration to begin with.
        path: the file that it comes from.
        inherited: the listening socket, if the platform holds it.

    Raises:
        OSError: the sidecar cannot start.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)

    def reload_at_sighup(sidecar: Sidecar) -> None:
        loop.add_signal_handler(signal.SIGHUP, Reloader(path, sidecar.reload).signal)

    await serve(configuration, stop, reload_at_sighup, inherited)


async def serve(
    configuration: Configuration,
    stop: asyncio.Event,
    on_sidecar_started: Callable[[Sidecar], None] = lambda _: None,
    inherited: socket.socket | None = None,
) -> None:
    """Serve until `stop` is set, then shut down gracefully.

    Args:
        configuration: the configuration to begin with.
        stop: ends the service.
        on_sidecar_started: gets the sidecar's parts before it accepts clients.
        inherited: the listening socket, if the platform holds it; then the service is a takeover from another process.

    Raises:
        OSError: the sidecar cannot start.
    """
    sidecar = Sidecar(configuration, inherited)
    sidecar.start()
    on_sidecar_started(sidecar)
    members = await startup.start_membership(sidecar)
    await startup.start_admin(sidecar, members)
    if inherited is not None:
        await startup.wait_for_current_list(sidecar.endpoint_watcher, stop)
    sidecar.lifecycle.start()
    server = sidecar.server
    await server.listen(inherited or configuration.listen)
    await stop.wait()

    sidecar.lifecycle.stop()
    schedule = ShutdownSchedule.of_classes(server.dispatcher.settings.classes)
    shutdown.announce_deadline(server, schedule)
    if members is not None:
        await members.leave()
    if inherited is None:
        await shutdown.drain_alone(server)
    else:
        await shutdown.drain_beside_successor(server, schedule)
    await shutdown.finish(server, schedule)
