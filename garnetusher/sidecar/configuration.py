"""The configuration of one sidecar: the JSON file at the path in BALANCER_CONFIG, and values from the environment.

The platform that runs the sidecar defines the keys of the file. This module maps them to the names that the sidecar
uses.
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

ENVIRONMENT = "environment"  # `place` in errors about environment variables
CONFIG_VARIABLE = "BALANCER_CONFIG"
ADMIN_VARIABLE = "BALANCER_ADMIN"
SOCKET_VARIABLE = "BALANCER_SOCKET_FD"

FLEET_KEY = "fleet"
REGIONS_KEY = "regions"

BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_BYTES = 192 * BYTES_PER_MB


@dataclass(slots=True)
class MembershipSection:
    """The object `fleet.membership` of the file, which enables `garnetusher.sidecar.membership`.

    Attributes:
        value: unchecked JSON value; the membership module checks it.
        instance_name: name of this sidecar.
    """

    value: object
    instance_name: str


@dataclass(slots=True)
class Configuration:
    """The configuration of a sidecar.

    Attributes:
        listen: address at which clients connect.
        discovery: address of the discovery service, which sends the endpoint list.
        seed: seed of the policy's random draws.
        max_descriptors: maximum number of open file descriptors.
        settings: settings of the policy.
        zones: names of the zones, by their index in the settings.
        machine_types: names of the machine types, by their index in the settings.
        idle_timeout_us: idle time after which upstreams close a connection.
        cached_endpoints: last known endpoint list, in the format of discovery responses; None if the file has none.
        admin: address of the admin server; None if it is disabled.
        memory_bytes: memory limit.
        membership: membership section; None if membership is disabled.
        document: parsed JSON document of the file, for comparison with a later file.
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
    """Read and validate the configuration file.

    Args:
        path: configuration file.
        admin: admin address from the environment. This address overrides the one in the file because two processes
            may use the same file.

    Raises:
        OSError: the file cannot be read.
        ConfigurationError: the file is malformed.
        SettingsTextError: a policy setting is missing or invalid.
    """
    file = _read_file(path)
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
        idle_timeout_us=bounds.number(_parse_integer, "conn-idle"),
        cached_endpoints=file.value.get("known"),
        admin=_admin_address(file, admin),
        memory_bytes=limits.number(_megabytes_to_bytes, "memory_mb"),
        membership=_membership_section(file),
        document=file.value,
    )


def reload(path: str, previous: Configuration) -> Configuration:
    """Read the file that replaces the current configuration.

    Each zone keeps its index, so that its recorded state and the overrides by operators still apply to it.

    Raises:
        OSError: the file cannot be read.
        ConfigurationError: the file is malformed, or incomplete because it is still being written.
        SettingsTextError: a policy setting is missing or invalid.
    """
    configuration = load(path)
    missing = first_missing_key(previous.document, configuration.document)
    if missing:
        place, _, key = missing.rpartition(".")
        raise ConfigurationError(key, place, "a value, as in the previous file", NOTHING)
    _keep_zone_indexes(configuration, previous.zones)
    return configuration


def open_inherited_socket(text: str) -> socket.socket:
    """Return the listening socket for clients that this process inherits from the platform.

    Args:
        text: number of the file descriptor.

    Raises:
        ConfigurationError: the descriptor is not a listening socket.
    """
    if not text.isdecimal():
        raise ConfigurationError(SOCKET_VARIABLE, ENVIRONMENT, "a file descriptor number", text)
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, OverflowError) as error:
        found = f"descriptor {text}, which is not a socket: {error}"
        raise ConfigurationError(SOCKET_VARIABLE, ENVIRONMENT, "a socket", found) from None
    if sock.type != socket.SOCK_STREAM or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        found = f"descriptor {text}, which is not a listening socket"
        raise ConfigurationError(SOCKET_VARIABLE, ENVIRONMENT, "a listening socket", found)
    return sock


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten nested settings to pairs of a dotted path and a text.

    `settings_from_pairs` builds settings from these pairs, as it does for the simulator's lines of settings.
    """
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


def _read_file(path: str) -> ConfigurationSection:
    text = Path(path).read_bytes()
    try:
        value: object = json.loads(text.decode("utf-8"))
    except ValueError as error:
        raise ConfigurationError(CONFIG_VARIABLE, ENVIRONMENT, "a JSON file", f"{path}: {error}") from None
    if not isinstance(value, dict):
        raise ConfigurationError(CONFIG_VARIABLE, ENVIRONMENT, "a file that contains an object", value)
    return ConfigurationSection(value, "", "")


def _keep_zone_indexes(configuration: Configuration, previous_zones: list[str]) -> None:
    settings, names = configuration.settings, configuration.zones
    own_zone_names = names[settings.zone : settings.zone + 1]  # empty if `settings.zone` is out of range
    regions = dict(zip(names, settings.zone_regions, strict=False))
    configuration.zones = previous_zones + [name for name in names if name not in previous_zones]
    if own_zone_names:
        settings.zone = configuration.zones.index(own_zone_names[0])
    settings.zone_regions = [regions.get(name, 0) for name in configuration.zones] if regions else []


def _zone_regions(zones: list[str], file: ConfigurationSection) -> list[int]:
    """Return the region index of each zone from `fleet.regions`; an empty list if the file has no regions."""
    fleet = file.value.get(FLEET_KEY)
    regions = fleet.get(REGIONS_KEY) if isinstance(fleet, Mapping) else None
    if regions is None:
        return []
    if not isinstance(regions, Mapping) or not all(isinstance(names, list) for names in regions.values()):
        raise ConfigurationError(REGIONS_KEY, FLEET_KEY, "lists of zones by region", regions)
    try:
        region_of = {zone: index for index, names in enumerate(regions.values()) for zone in names}
        unassigned_zones = [zone for zone in zones if zone not in region_of]
    except TypeError:
        raise ConfigurationError(REGIONS_KEY, FLEET_KEY, "lists of zone names", regions) from None
    if unassigned_zones:
        raise ConfigurationError(REGIONS_KEY, FLEET_KEY, "a region for each zone", f"none for {unassigned_zones[0]}")
    return [region_of[zone] for zone in zones]


def _admin_address(file: ConfigurationSection, environment_address: str | None) -> Address | None:
    if environment_address:
        return parse_configured_address(environment_address, ENVIRONMENT, ADMIN_VARIABLE)
    text = file.value.get("admin")
    return parse_configured_address(text, "", "admin") if text else None


def _membership_section(file: ConfigurationSection) -> MembershipSection | None:
    fleet = file.value.get(FLEET_KEY)
    if not isinstance(fleet, Mapping) or "membership" not in fleet:
        return None
    return MembershipSection(fleet["membership"], str(file.value.get("name", "")))


def _parse_integer(value: object) -> int:
    return int(float(str(value)))


def _megabytes_to_bytes(value: Any) -> int:
    return int(float(value) * BYTES_PER_MB)
