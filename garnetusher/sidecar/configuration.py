"""The configuration of one sidecar: the JSON file that BALANCER_CONFIG names."""

from __future__ import annotations

import json
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from garnetusher.policy.settings import Settings
from garnetusher.policy.settings_text import settings_from_pairs


@dataclass(slots=True)
class Configuration:
    """All that a sidecar is told at its start."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    max_descriptors: int  # file descriptors that it may hold
    settings: Settings
    zones: list[str]
    machine_types: list[str]
    idle_timeout_us: int  # upstreams close a connection that has been idle for this long
    cached_endpoints: Any  # the upstream list as last had, in discovery's form
    admin: tuple[str, int] | None = None  # where operators call
    memory_bytes: int = 192 * 1024 * 1024  # bytes that it may take
    raw: Any = None  # the file, as it was read


# Keys that a file may lack though the one before had them: they may be absent, or serve the start only.
OPTIONAL = frozenset(("known", "accounts", "aim-stretch", "passes-deadline", "warm-keys"))


def missing(before: Any, after: Any, path: str = "") -> str:
    """The first key of one file that its successor lacks, as one cut short or half written would; else ""."""
    if isinstance(before, Mapping):
        if not isinstance(after, Mapping):
            return path
        for key in before.keys() - OPTIONAL:
            inner = f"{path}.{key}" if path else str(key)
            found = inner if key not in after else missing(before[key], after[key], inner)
            if found:
                return found
    elif isinstance(before, list) and before and all(isinstance(item, Mapping) for item in before):
        common = {key: None for key in before[0] if all(key in item for item in before)}
        for place, item in enumerate(after if isinstance(after, list) else [None]):
            found = missing(common, item, f"{path}.{place}")
            if found:
                return found
    return ""


def positive(value: object, what: str) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ValueError(f"{what}: expected a positive number, got {value!r}")


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's first message."""
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
        pairs |= flatten(item, f"{path}.{key}" if path else str(key))
    return pairs


def parse_address(text: str) -> tuple[str, int]:
    """The two parts of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) >= 1 << 16:
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


def inherited_socket(text: str) -> socket.socket:
    """The clients' listening socket, which the platform holds; raises ValueError on anything else."""
    if not text.isdecimal():
        raise ValueError(f"BALANCER_SOCKET_FD: expected a descriptor's number, got {text!r}")
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, OverflowError) as error:
        raise ValueError(f"BALANCER_SOCKET_FD: descriptor {text} is no socket: {error}") from None
    if sock.type != socket.SOCK_STREAM or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ValueError(f"BALANCER_SOCKET_FD: descriptor {text} is no listening socket")
    return sock


def reload(path: str, before: Configuration) -> Configuration:
    """The file that has taken the place of one in force; raises as `load`, on what is incomplete too.

    A zone keeps its place, so that what is known and ordered of it stays its own."""
    after = load(path)
    key = missing(before.raw, after.raw)
    if key:
        raise ValueError(f"the key {key} is missing")
    here, names = after.zones[after.settings.zone : after.settings.zone + 1], after.zones
    regions = dict(zip(names, after.settings.zone_regions, strict=False))
    after.zones = before.zones + [name for name in names if name not in before.zones]
    after.settings.zone = after.zones.index(here[0]) if here else after.settings.zone
    after.settings.zone_regions = [regions.get(name, 0) for name in after.zones] if regions else []
    return after


def regions_of(zones: list[str], fleet: Any) -> list[int]:
    """The region of each zone, as `fleet.regions` names them; none where it does not."""
    named = fleet.get("regions") if isinstance(fleet, Mapping) else None
    if named is None:
        return []
    if not isinstance(named, Mapping) or not all(isinstance(some, list) for some in named.values()):
        raise ValueError("fleet.regions: expected lists of zones by region")
    place = {zone: number for number, some in enumerate(named.values()) for zone in some}
    lacking = [zone for zone in zones if zone not in place]
    if lacking:
        raise ValueError(f"fleet.regions: expected each zone in a region, {lacking[0]} is in none")
    return [place[zone] for zone in zones]


def load(path: str, admin: str | None = None) -> Configuration:
    """Read and check the file; raises ValueError, KeyError or SettingsTextError on what is malformed.

    `admin` is what the environment says of that address: of two processes that are told the same file, it
    tells them apart, so it goes before the file."""
    with open(path, encoding="utf-8") as file:
        raw = json.load(file)
    settings = raw["settings"]
    for kind in settings["request-classes"]:
        for key in ("aim", "deadline"):
            positive(kind[key], f"{key} of class {kind['name']}")
    positive(settings["bounds"]["most-tries"], "most-tries")
    pairs = flatten(settings)
    admin = admin or raw.get("admin")
    values = settings_from_pairs(pairs)
    values.zone_regions = regions_of(list(settings["areas"]), raw.get("fleet"))
    return Configuration(
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(raw["seed"], 16),
        max_descriptors=int(raw["limits"]["sockets"]),
        settings=values,
        zones=list(settings["areas"]),
        machine_types=list(settings["kinds"]),
        idle_timeout_us=int(float(pairs["bounds.conn-idle"])),
        cached_endpoints=raw.get("known"),
        admin=parse_address(admin) if admin else None,
        memory_bytes=int(float(raw["limits"]["memory_mb"]) * 1024 * 1024),
        raw=raw,
    )
