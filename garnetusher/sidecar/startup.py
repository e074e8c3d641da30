"""The startup steps before a sidecar accepts clients: membership, the admin server and takeover from another process.

The functions that wait for resources of this machine or for the configuration file run before the event loop exists.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from garnetusher.policy.settings_text import SettingsTextError
from garnetusher.sidecar import configuration as configurations
from garnetusher.sidecar.admin.handlers import admin_routes
from garnetusher.sidecar.admin.server import AdminServer
from garnetusher.sidecar.configuration import Configuration
from garnetusher.sidecar.configuration_section import ConfigurationError
from garnetusher.sidecar.discovery.watch import EndpointWatcher
from garnetusher.sidecar.sidecar import Sidecar
from garnetusher.sidecar.sockets import RETRY_INTERVAL_S, SidecarEventLoop, is_local_error

if TYPE_CHECKING:
    from garnetusher.sidecar.membership import FleetMembership

log = logging.getLogger(__name__)

CONFIGURATION_ERRORS = (OSError, ConfigurationError, SettingsTextError)
FILE_TIMEOUT_S = 1.0  # a file that is absent or half written at startup is complete within this time
RESOURCE_TIMEOUT_S = 5.0  # clients wait 30 s and other sidecars wait 10 s for a sidecar to start
CURRENT_LIST_TIMEOUT_S = 4.5  # a process that takes over from another must be ready within 6 s

_Result = TypeVar("_Result")


def load_configuration(path: str, admin: str | None) -> Configuration:
    """Load the configuration; retry for `FILE_TIMEOUT_S` because the file may be in the middle of a replacement.

    Args:
        path: configuration file.
        admin: admin address from the environment.

    Raises:
        OSError: the file is still unreadable after the last retry.
        ConfigurationError: the file is still malformed after the last retry.
        SettingsTextError: a policy setting is still missing or invalid after the last retry.
    """
    retry_until_s = time.monotonic() + FILE_TIMEOUT_S
    while True:
        try:
            return retry_on_shortage(lambda: configurations.load(path, admin))
        except CONFIGURATION_ERRORS:
            if time.monotonic() >= retry_until_s:
                raise
        time.sleep(RETRY_INTERVAL_S)


def make_event_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop of the sidecar.

    Raises:
        OSError: this machine still lacks the resources for the loop after the last retry.
    """
    return retry_on_shortage(SidecarEventLoop)


def retry_on_shortage(create: Callable[[], _Result]) -> _Result:
    """Return the result of `create`; retry while this machine is short of resources.

    Raises:
        OSError: the last error, if the shortage persists or the error has another cause.
    """
    retry_until_s = time.monotonic() + RESOURCE_TIMEOUT_S
    while True:
        try:
            return create()
        except OSError as error:
            if not is_local_error(error) or time.monotonic() >= retry_until_s:
                raise
        time.sleep(RETRY_INTERVAL_S)


async def start_membership(sidecar: Sidecar) -> FleetMembership | None:
    """Join the fleet membership if the configuration enables it.

    A failure is logged and does not prevent startup: the sidecar then serves as without a membership section.
    """
    configuration = sidecar.configuration
    section = configuration.membership
    if section is None:
        return None
    zone_name = configuration.zones[configuration.settings.zone]
    try:
        from garnetusher.sidecar.membership import (  # noqa: PLC0415 imported only if enabled
            FleetMembership,
            parse_membership_settings,
        )

        settings = parse_membership_settings(section.value, section.instance_name, zone_name)
        members = FleetMembership(settings, sidecar.dispatcher.set_fleet_size)
        own_address = await members.open()
    except ImportError as error:
        log.warning(
            "membership is disabled: %s; install its dependencies with pip install -r requirements-fleet.txt", error
        )
    except (OSError, ValueError) as error:
        log.warning("membership is disabled: %s", error)
    else:
        log.info("membership listens at %s:%d", *own_address)
        return members
    return None


async def start_admin(sidecar: Sidecar, members: FleetMembership | None) -> None:
    """Start the admin server if the configuration has an admin address.

    Raises:
        OSError: the address is still in use after the last retry.
    """
    address = sidecar.configuration.admin
    if address is not None:
        await AdminServer(admin_routes(sidecar, members)).listen(address)


async def wait_for_current_list(watcher: EndpointWatcher, stop: asyncio.Event) -> None:
    """Wait until discovery has sent a current endpoint list, for at most `CURRENT_LIST_TIMEOUT_S`.

    A process that takes over starts with the list that its predecessor had at startup, which may be long out of date.
    Requests of clients accepted before a current list arrives would be forwarded to endpoints that are gone.
    """
    if watcher.watch is None:
        # The policy would start this watch only seconds later.
        watcher.watch_endpoints(True)  # noqa: FBT003
    wait_tasks = [asyncio.create_task(event.wait()) for event in (watcher.has_current_list, stop)]
    await asyncio.wait(wait_tasks, timeout=CURRENT_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
    for task in wait_tasks:
        task.cancel()
    if not watcher.has_current_list.is_set():
        log.warning("no response from discovery: starting with the cached endpoint list")
