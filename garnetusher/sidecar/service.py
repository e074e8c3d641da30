"""Runs one sidecar from startup to the end of its shutdown."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable

from garnetusher.sidecar import shutdown, startup
from garnetusher.sidecar.configuration import Configuration
from garnetusher.sidecar.reload import Reloader
from garnetusher.sidecar.sidecar import Sidecar


async def run(configuration: Configuration, path: str, inherited: socket.socket | None) -> None:
    """Serve until SIGTERM, and reload the configuration file at SIGHUP.

    Args:
        configuration: initial configuration.
        path: configuration file.
        inherited: listening socket, if the platform holds it open and this process inherits it.

    Raises:
        OSError: the sidecar cannot start.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)

    def handle_signals(sidecar: Sidecar) -> None:
        """Let the sidecar read its file at each SIGHUP, also at one that has arrived already, and stop at SIGTERM."""

        def on_sigterm() -> None:
            """Begin the shutdown before the event loop reads anything else."""
            sidecar.begin_shutdown()
            stop.set()

        loop.add_signal_handler(signal.SIGTERM, on_sigterm)
        loop.add_signal_handler(signal.SIGHUP, Reloader(path, sidecar.reload).on_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    await serve(configuration, stop, handle_signals, inherited)


async def serve(
    configuration: Configuration,
    stop: asyncio.Event,
    on_sidecar_started: Callable[[Sidecar], None] = lambda _: None,
    inherited: socket.socket | None = None,
) -> None:
    """Serve until `stop` is set, then shut down gracefully.

    Args:
        configuration: initial configuration.
        stop: event that starts the shutdown.
        on_sidecar_started: callback that receives the sidecar before it accepts clients.
        inherited: listening socket, if the platform holds it open; this process then takes over from its predecessor.

    Raises:
        OSError: the sidecar cannot start.
    """
    sidecar = Sidecar(configuration, inherited)
    sidecar.start()
    on_sidecar_started(sidecar)
    stopping = asyncio.create_task(_begin_shutdown_at(sidecar, stop))
    members = await startup.start_membership(sidecar)
    await startup.start_admin(sidecar, members)
    if inherited is not None:
        await startup.wait_for_current_list(sidecar.endpoint_watcher, stop)
    sidecar.lifecycle.start()
    server = sidecar.server
    await server.listen(inherited or configuration.listen)
    await stopping

    leaving = None if members is None else asyncio.create_task(members.leave())
    await shutdown.shut_down(server, sidecar.begin_shutdown())
    if leaving is not None:
        await leaving


async def _begin_shutdown_at(sidecar: Sidecar, stop: asyncio.Event) -> None:
    """Wait for the event and begin the shutdown, even if the startup is not complete yet."""
    await stop.wait()
    sidecar.begin_shutdown()
