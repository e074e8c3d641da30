"""The configuration of one sidecar: the JSON file that BALANCER_CONFIG names, and what the environment adds.

The keys of the file are the platform's own; this module is where they become the sidecar's names.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from garnetusher.policy.settings import Settings
from garnetusher.policy.settings_text import settings_from_pairs
from garnetusher.sidecar.addresses import Address
from garnetusher.sidecar.configuration_comparison import first_missing_key
from garnetusher.sidecar.configuration_section import (
    ConfigurationError,
    ConfigurationSection,
    parse_configured_address,
)
from garnetusher.sidecar.errors import NOTHING, join_path

ENVIRONMENT = "environment"  # the place of what is no part of the file
CONFIG_VARIABLE = "BALANCER_CONFIG"
ADMIN_VARIABLE = "BALANCER_ADMIN"
SOCKET_VARIABLE = "BALANCER_SOCKET_FD"

FLEET_KEY = "fleet"
REGIONS_KEY = "regions"

BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_BYTES = 192 * BYTES_PER_MB


@dataclass(slots=True)
class MembershipSection:
    """The file's `fleet.membership`, which switches on what `garnetusher.sidecar.membership` does.

    Attributes:
        value: the section as it was read; whoever uses it checks it.
        instance_name: the name of this sidecar.
    """

    value: object
    instance_name: str


@dataclass(slots=True)
class Configuration:
    """The configuration of a sidecar.

    Attributes:
        listen: where clients connect.
        discovery: where the endpoint list is.
        seed: of the policy's random draws.
        max_descriptors: file descriptors that it may have open.
        settings: the policy's settings.
        zones: the names of the zones, by their index in the settings.
        machine_types: likewise of machine types.
        idle_timeout_us: upstreams close a connection that has been idle for this long.
        cached_endpoints: the endpoint list as last known, in discovery's form; None if there is none.
        admin: where operators call; None if nowhere.
        memory_bytes: memory that it may use.
        membership: what switches on membership; None if it is off.
        document: the file as it was read, to compare a later one with it.
    """

    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    settings: Settings
    zones: list[str]
    machine_types: list[str]
    idle_timeout_us: int
    cached_endpoints: object
    admin: Address | None = None
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    membership: MembershipSection | None = None
    document: object = None


def load(path: str, admin: str | None = None) -> Configuration:
    """Read and check the file.

    Args:
        path: the file.
        admin: the operators' address by the environment, which overrides the file's: two processes may have the
            same file.

    Raises:
        OSError: the file cannot be read.
        ConfigurationError: it is malformed.
        SettingsTextError: a setting of the policy is missing or wrong.
    """
    file = _read(path)
    settings_section = file.section("settings")
    for request_class in settings_section.sections("request-classes"):
        request_class.get("name")
        request_class.require_positive("aim")
        request_class.require_positive("deadline")
    bounds = settings_section.section("bounds")
    bounds.require_positive("most-tries")
    zones = settings_section.items("areas")
    settings = settings_from_pairs(flatten(settings_section.value))
    settings.zone_regions = _zone_regions(zones, file)
    limits = file.section("limits")
    return Configuration(
        listen=file.address("listen"),
        discovery=file.address("discovery"),
        seed=file.seed("seed"),
        max_descriptors=limits.number(int, "sockets"),
        settings=settings,
        zones=zones,
        machine_types=settings_section.items("kinds"),
        idle_timeout_us=bounds.number(_whole, "conn-idle"),
        cached_endpoints=file.value.get("known"),
        admin=_admin_address(file, admin),
        memory_bytes=limits.number(_megabytes, "memory_mb"),
        membership=_membership(file),
        document=file.value,
    )


def reload(path: str, previous: Configuration) -> Configuration:
    """Read the file that replaces one in force.

    A zone keeps its index, so that what is known of it and what operators have ordered stays with it.

    Raises:
        OSError: the file cannot be read.
        ConfigurationError: it is malformed, or incomplete, as one that is still being written may be.
        SettingsTextError: a setting of the policy is missing or wrong.
    """
    configuration = load(path)
    missing = first_missing_key(previous.document, configuration.document)
    if missing:
        place, _, key = missing.rpartition(".")
        raise ConfigurationError(key, place, "a value, as in the file before", NOTHING)
    _keep_zone_indexes(configuration, previous.zones)
    return configuration


def inherited_socket(text: str) -> socket.socket:
    """Return the clients' listening socket, which the platform holds.

    Args:
        text: its descriptor.

    Raises:
        ConfigurationError: it is no listening socket.
    """
    if not text.isdecimal():
        raise ConfigurationError(SOCKET_VARIABLE, ENVIRONMENT, "a descriptor's number", text)
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, OverflowError) as error:
        found = f"descriptor {text}, which is no socket: {error}"
        raise ConfigurationError(SOCKET_VARIABLE, ENVIRONMENT, "a socket", found) from None
    if sock.type != socket.SOCK_STREAM or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        found = f"descriptor {text}, which is no listening socket"
        raise ConfigurationError(SOCKET_VARIABLE, ENVIRONMENT, "a listening socket", found)
    return sock


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Return nested settings as the path=value pairs of the simulator's first message."""
    items: list[tuple[object, object]]
    if isinstance(value, Mapping):
        items = list(value.items())
    elif isinstance(value, list) and (not value or isinstance(value[0], Mapping)):
        items = [("count", len(value)), *enumerate(value)]
    elif isinstance(value, list):
        return {path: ",".join(map(str, value))}
    else:
        return {path: str(value).lower() if isinstance(value, bool) else str(value)}
    pairs: dict[str, str] = {}
    for key, item in items:
        pairs |= flatten(item, join_path(path, str(key)))
    return pairs


def _read(path: str) -> ConfigurationSection:
    text = Path(path).read_bytes()
    try:
        value: object = json.loads(text.decode("utf-8"))
    except ValueError as error:
        raise ConfigurationError(CONFIG_VARIABLE, ENVIRONMENT, "a JSON file", f"{path}: {error}") from None
    if not isinstance(value, dict):
        raise ConfigurationError(CONFIG_VARIABLE, ENVIRONMENT, "a file with an object", value)
    return ConfigurationSection(value, "", "")


def _keep_zone_indexes(configuration: Configuration, previous_zones: list[str]) -> None:
    settings, names = configuration.settings, configuration.zones
    own_names = names[settings.zone : settings.zone + 1]  # none if its index is out of range
    regions = dict(zip(names, settings.zone_regions, strict=False))
    configuration.zones = previous_zones + [name for name in names if name not in previous_zones]
    if own_names:
        settings.zone = configuration.zones.index(own_names[0])
    settings.zone_regions = [regions.get(name, 0) for name in configuration.zones] if regions else []


def _zone_regions(zones: list[str], file: ConfigurationSection) -> list[int]:
    """Return the region of each zone, as `fleet.regions` names them; none where it does not."""
    fleet = file.value.get(FLEET_KEY)
    regions = fleet.get(REGIONS_KEY) if isinstance(fleet, Mapping) else None
    if regions is None:
        return []
    if not isinstance(regions, Mapping) or not all(isinstance(names, list) for names in regions.values()):
        raise ConfigurationError(REGIONS_KEY, FLEET_KEY, "lists of zones by region", regions)
    try:
        region_of = {zone: index for index, names in enumerate(regions.values()) for zone in names}
        lacking = [zone for zone in zones if zone not in region_of]
    except TypeError:
        raise ConfigurationError(REGIONS_KEY, FLEET_KEY, "lists of zones' names", regions) from None
    if lacking:
        raise ConfigurationError(REGIONS_KEY, FLEET_KEY, "each zone in a region", f"{lacking[0]} in none")
    return [region_of[zone] for zone in zones]


def _admin_address(file: ConfigurationSection, from_environment: str | None) -> Address | None:
    if from_environment:
        return parse_configured_address(from_environment, ENVIRONMENT, ADMIN_VARIABLE)
    text = file.value.get("admin")
    return parse_configured_address(text, "", "admin") if text else None


def _membership(file: ConfigurationSection) -> MembershipSection | None:
    fleet = file.value.get(FLEET_KEY)
    if not isinstance(fleet, Mapping) or "membership" not in fleet:
        return None
    return MembershipSection(fleet["membership"], str(file.value.get("name", "")))


def _whole(value: object) -> int:
    return int(float(str(value)))


def _megabytes(value: Any) -> int:
    return int(float(value) * BYTES_PER_MB)
