"""What a sidecar does before it accepts clients: the admin address, membership, and the takeover from another process.

The functions that wait for this machine's resources and for the configuration file run before there is an event loop.
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
from garnetusher.sidecar.sockets import RETRY_INTERVAL_S, RetryingEpollSelector, is_local_error

if TYPE_CHECKING:
    from garnetusher.sidecar.membership import FleetMembership

log = logging.getLogger(__name__)

CONFIGURATION_ERRORS = (OSError, ConfigurationError, SettingsTextError)
FILE_TIMEOUT_S = 1.0  # a file that is absent or half written at a start is in place by then
RESOURCE_TIMEOUT_S = 5.0  # clients wait for 30 s at a start, other sidecars for 10 s
CURRENT_LIST_TIMEOUT_S = 4.5  # a process that takes over from another has to be ready within 6 s

_Result = TypeVar("_Result")


def load_configuration(path: str, admin: str | None) -> Configuration:
    """Load the configuration; retry for as long as replacing the file may take.

    Args:
        path: the file.
        admin: the operators' address by the environment.

    Raises:
        OSError: the file stays unreadable.
        ConfigurationError: it stays malformed.
        SettingsTextError: a setting of the policy stays missing or wrong.
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
    """Return a loop on epoll, also where epoll failed when `selectors` tried it at its import.

    Raises:
        OSError: this machine stays short of what the loop takes.
    """
    return retry_on_shortage(lambda: asyncio.SelectorEventLoop(RetryingEpollSelector()))


def retry_on_shortage(make: Callable[[], _Result]) -> _Result:
    """Return what `make` returns; call it again while this machine is short of resources.

    Raises:
        OSError: the last error, if the shortage lasts or the error is no shortage.
    """
    retry_until_s = time.monotonic() + RESOURCE_TIMEOUT_S
    while True:
        try:
            return make()
        except OSError as error:
            if not is_local_error(error) or time.monotonic() >= retry_until_s:
                raise
        time.sleep(RETRY_INTERVAL_S)


async def start_membership(sidecar: Sidecar) -> FleetMembership | None:
    """Join the fleet's membership if the configuration switches it on.

    Whatever is wrong with it is logged and does not keep the sidecar from starting, which serves without it as it does
    alone.
    """
    configuration = sidecar.configuration
    section = configuration.membership
    if section is None:
        return None
    zone_name = configuration.zones[configuration.settings.zone]
    try:
        from garnetusher.sidecar.membership import (  # noqa: PLC0415 imported only if switched on
            FleetMembership,
            parse_membership_settings,
        )

        settings = parse_membership_settings(section.value, section.instance_name, zone_name)
        members = FleetMembership(settings, sidecar.dispatcher.set_fleet_size)
        own_address = await members.open()
    except ImportError as error:
        log.warning("no membership, as %s; pip install -r requirements-fleet.txt brings what it needs", error)
    except (OSError, ValueError) as error:
        log.warning("no membership, as %s", error)
    else:
        log.info("membership at %s:%d", *own_address)
        return members
    return None


async def start_admin(sidecar: Sidecar, members: FleetMembership | None) -> None:
    """Accept operators' calls, if the configuration names an address for them.

    Raises:
        OSError: the address stays taken.
    """
    address = sidecar.configuration.admin
    if address is not None:
        await AdminServer(admin_routes(sidecar, members)).listen(address)


async def wait_for_current_list(watcher: EndpointWatcher, stop: asyncio.Event) -> None:
    """Wait until discovery has answered, for a bounded time.

    A process that takes over has the list that another process knew at its start, which may be long outdated: clients
    that are accepted earlier would be forwarded to endpoints that are gone.
    """
    if watcher.watch is None:
        watcher.watch_endpoints(True)  # noqa: FBT003 at once: the policy would spread its first call over seconds
    waits = [asyncio.create_task(event.wait()) for event in (watcher.has_current_list, stop)]
    await asyncio.wait(waits, timeout=CURRENT_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if not watcher.has_current_list.is_set():
        log.warning("discovery is silent: starting from the list as it was known")
