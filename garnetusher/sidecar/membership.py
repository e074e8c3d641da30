"""Runs the sidecar as a member of the fleet if the setting `fleet.membership` is present.

In the sidecar only this module imports `garnetusher.membership`, and `startup` imports this module only if the setting
is present. The module reports the number of instances by which the fleet's limits are divided. Without membership, or
until the sidecar has joined, the policy uses the number from the settings.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from garnetusher.errors import GarnetusherError
from garnetusher.membership.actions import Action, LogEvent, MemberChanged, Stopped, StopReason
from garnetusher.membership.anti_entropy import Dispute
from garnetusher.membership.codec import Codec
from garnetusher.membership.fleet_size import FleetSize, FleetSizeEstimator
from garnetusher.membership.key_file import KeyFileError, parse_keys
from garnetusher.membership.log_events import state_label
from garnetusher.membership.member import Member
from garnetusher.membership.messages import Address, Entry
from garnetusher.membership.settings import MemberSettings
from garnetusher.membership.state import Phase
from garnetusher.membership.transport import UdpTransport, monotonic_us

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 0.5  # the fleet's size is estimated periodically, as an observed size expires without an event
SETTING_KEYS = {"cluster", "listen", "seeds", "floor", "key_file", "replaces", "kind"}
REQUIRED_TEXT_KEYS = ("cluster", "listen")
PORT_LIMIT = 65536
RANDOM_SEED_BYTES = 8  # the random seed depends on at most this many bytes at the end of the name


class MembershipSettingsError(GarnetusherError, ValueError):
    """A key of `fleet.membership` is not valid."""

    def __init__(self, key: str, problem: str) -> None:
        path = f"fleet.membership.{key}" if key else "fleet.membership"
        super().__init__(f"{path}: {problem}")


@dataclass(slots=True)
class MembershipSettings:
    """The setting `fleet.membership`, with the name and zone of the sidecar.

    Attributes:
        name: The name of the sidecar.
        zone: The zone of the sidecar.
        cluster: The name of the cluster; datagrams of other clusters are ignored.
        listen: The UDP address to bind.
        seeds: Addresses of members through which the sidecar joins.
        floor: The smallest number of instances by which limits are divided.
        keys: The keys; the first one signs datagrams, and all are accepted.
        replaces: Whether the sidecar replaces a process of its name that may still be running.
        role: The role of the member; limits are divided among members of the same role.
    """

    name: str
    zone: str
    cluster: str
    listen: Address
    seeds: list[Address] = field(default_factory=list)
    floor: int = 1
    keys: list[bytes] = field(default_factory=list)
    replaces: bool = False
    role: str = "sidecar"


def parse_membership_settings(raw: Any, name: str, zone: str) -> MembershipSettings:
    """Validate and convert `fleet.membership`.

    Args:
        raw: The value in the configuration file.
        name: The name of the sidecar.
        zone: The zone of the sidecar.

    Raises:
        MembershipSettingsError: The value of a key is not valid, or a key is missing or unknown.
        OSError: The key file cannot be read.
    """
    if not isinstance(raw, Mapping):
        raise MembershipSettingsError(key="", problem=f"expected an object, got {raw!r}")
    for key in sorted(raw.keys() - SETTING_KEYS):
        raise MembershipSettingsError(key, f"expected one of {', '.join(sorted(SETTING_KEYS))}")
    for key in REQUIRED_TEXT_KEYS:
        if not isinstance(raw.get(key), str) or not raw[key]:
            raise MembershipSettingsError(key, f"expected a non-empty string, got {raw.get(key)!r}")
    seeds, floor = raw.get("seeds", []), raw.get("floor", 1)
    if not isinstance(seeds, list):
        raise MembershipSettingsError(key="seeds", problem=f"expected a list of host:port, got {seeds!r}")
    if isinstance(floor, bool) or not isinstance(floor, int) or floor < 1:
        raise MembershipSettingsError(key="floor", problem=f"expected an integer of 1 or more, got {floor!r}")
    keys = _read_keys(raw["key_file"]) if raw.get("key_file") else []
    return MembershipSettings(
        name=name,
        zone=zone,
        cluster=raw["cluster"],
        listen=_parse_address(raw["listen"], "listen"),
        seeds=[_parse_address(seed, f"seeds.{index}") for index, seed in enumerate(seeds)],
        floor=floor,
        keys=keys,
        replaces=bool(raw.get("replaces", False)),
        role=str(raw.get("kind", "sidecar")),
    )


def _parse_address(value: object, key: str) -> Address:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or not int(port) < PORT_LIMIT:
        raise MembershipSettingsError(key, f"expected host:port, got {value!r}")
    return host, int(port)


def _read_keys(path: str) -> list[bytes]:
    try:
        return parse_keys(Path(path).read_text())
    except (KeyFileError, UnicodeDecodeError) as error:
        raise MembershipSettingsError(key="key_file", problem=f"{path}: {error}") from None


class FleetMembership:
    """Runs the member of this sidecar.

    Args:
        settings: The settings of the member.
        on_fleet_size_changed: Called with the number of instances whenever it changes; 0 means an unknown number.
    """

    def __init__(self, settings: MembershipSettings, on_fleet_size_changed: Callable[[int], None]) -> None:
        self._settings = settings
        self._on_fleet_size_changed = on_fleet_size_changed
        self._codec = Codec(settings.cluster, settings.keys)
        self._estimator = FleetSizeEstimator(settings.floor)
        self._transport = UdpTransport(self._create_member, self._handle_action)
        self._reported_instances = 0
        self._stop_reason: StopReason | None = None
        self._refresh_timer: asyncio.TimerHandle | None = None

    async def open(self) -> Address:
        """Bind the socket, start to join, and return the bound address.

        Raises:
            OSError: The address cannot be bound.
        """
        address = await self._transport.open(*self._settings.listen)
        self._refresh()
        return address

    async def leave(self) -> None:
        """Broadcast that this sidecar leaves; the policy keeps the last reported number of instances."""
        if self._refresh_timer is not None:
            self._refresh_timer.cancel()
        with contextlib.suppress(OSError):
            await self._transport.leave()

    def describe(self) -> dict[str, object]:
        """Return the document for the admin address, with the members, the disputes and the number of instances."""
        member, size = self._transport.member, self._fleet_size()
        if member is None:
            return {"phase": Phase.JOINING.value, "members": []}
        now_us = monotonic_us()
        return {
            "phase": member.phase.value,
            "why": self._stop_reason.value if self._stop_reason is not None else "",
            "boot": member.generation,
            "incarnation": member.incarnation,
            "health": member.local_health_score,
            "cluster": self._settings.cluster,
            "instances": size.instances if size else 0,
            "trusted": bool(size and size.trusted),
            "agreed": member.agreed,
            "disputes": [
                _describe_dispute(name, dispute, member, now_us) for name, dispute in member.disputes().items()
            ],
            "dropped": dict(sorted((self._codec.dropped + member.dropped).items())),
            "bytes_in": self._transport.bytes_in,
            "bytes_out": self._transport.bytes_out,
            "members": [
                _describe_entry(entry, now_us - member.view.state_since_us[name])
                for name, entry in sorted(member.view.entries.items())
            ],
        }

    def _create_member(self, own_address: Address, now_us: int) -> Member:
        settings = self._settings
        host, port = own_address
        # The generation is the wall-clock time, so that a later process has a higher one. If the clock was set back,
        # the process raises its generation when it learns of the higher one from other members.
        generation = time.time_ns() // 1_000_000
        member_settings = MemberSettings(
            settings.name, settings.role, settings.zone, host, port, settings.seeds, settings.replaces
        )
        return Member(member_settings, self._codec, generation, generation ^ _number_from_name(settings.name), now_us)

    def _handle_action(self, action: Action) -> None:
        """Carry out an action; `Persist` is ignored, as a sidecar stores nothing on disk."""
        if isinstance(action, LogEvent):
            fields = " ".join(f"{name}={value}" for name, value in action.fields.items())
            log.info("%s %s", action.event, fields)
        elif isinstance(action, Stopped):
            self._stop_reason = action.reason
            self._refresh()
        elif isinstance(action, MemberChanged):
            self._refresh()

    def _fleet_size(self) -> FleetSize | None:
        """Return the current estimate, or None before the member has joined and after it has stopped."""
        member = self._transport.member
        if member is None or member.phase != Phase.PRESENT:
            return None
        return self._estimator.estimate(member, monotonic_us(), self._settings.role)

    def _refresh(self) -> None:
        """Report the number of instances if it has changed, and schedule the next estimate."""
        if self._refresh_timer is not None:
            self._refresh_timer.cancel()
        size = self._fleet_size()
        instances = size.instances if size is not None else 0
        if instances != self._reported_instances:
            self._reported_instances = instances
            self._on_fleet_size_changed(instances)
        if not self._transport.closed.is_set():
            self._refresh_timer = self._transport.loop.call_later(REFRESH_INTERVAL_S, self._refresh)


def _describe_dispute(name: str, dispute: Dispute, member: Member, now_us: int) -> dict[str, object]:
    return {"with": name, "for_s": _seconds(now_us - dispute.since_us), "on": member.differing_names}


def _describe_entry(entry: Entry, state_age_us: int) -> dict[str, object]:
    return {
        "name": entry.name,
        "kind": entry.role,
        "zone": entry.zone,
        "address": f"{entry.host}:{entry.port}",
        "state": state_label(entry.state),
        "boot": entry.generation,
        "incarnation": entry.incarnation,
        "by": entry.reporter,
        "for_s": _seconds(state_age_us),
    }


def _seconds(duration_us: int) -> float:
    return round(duration_us / 1e6, 1)


def _number_from_name(name: str) -> int:
    """Return the last bytes of the name as a number, which is the same in every process."""
    return int.from_bytes(name.encode()[-RANDOM_SEED_BYTES:].rjust(RANDOM_SEED_BYTES, b"\0"), "big")
