"""The member of the fleet beside this sidecar, where the file's `fleet.membership` switches it on.

Nothing else in `run` imports this, and it alone imports `garnetusher.membership`. It tells the decisions how many share
what the fleet may do; without it, or until it has joined, they go by the number that the file tells.
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

from garnetusher.membership.fleet_size import Count, Share
from garnetusher.membership.member import Action, Changed, Keep, Member, Said, Settings, Stopped
from garnetusher.membership.messages import Address, Codec, keys_of
from garnetusher.membership.transport import Shell, clock_us
from garnetusher.membership.view import State

log = logging.getLogger(__name__)

LOOK_S = 0.5  # between two looks at the count: holds end by time, not by an event
KEYS = {"cluster", "listen", "seeds", "floor", "key_file", "replaces", "kind"}


@dataclass(slots=True)
class Switch:
    """`fleet.membership` of the file."""

    name: str
    zone: str
    cluster: str
    listen: Address
    seeds: list[Address] = field(default_factory=list)
    floor: int = 1
    keys: list[bytes] = field(default_factory=list)
    replaces: bool = False
    kind: str = "sidecar"


def address(text: object, key: str) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not int(port) < 65536:
        raise ValueError(f"fleet.membership.{key}: expected host:port, got {text!r}")
    return host, int(port)


def switch(raw: Any, name: str, zone: str) -> Switch:
    """Checked whole; raises ValueError that names the key, and OSError for a key file that is not there."""
    if not isinstance(raw, Mapping):
        raise ValueError(f"fleet.membership: expected an object, got {raw!r}")
    for key in sorted(raw.keys() - KEYS):
        raise ValueError(f"fleet.membership.{key}: expected one of {', '.join(sorted(KEYS))}")
    for key, kind in (("cluster", str), ("listen", str)):
        if not isinstance(raw.get(key), kind) or not raw[key]:
            raise ValueError(f"fleet.membership.{key}: expected a text, got {raw.get(key)!r}")
    seeds, floor = raw.get("seeds", []), raw.get("floor", 1)
    if not isinstance(seeds, list):
        raise ValueError(f"fleet.membership.seeds: expected a list of host:port, got {seeds!r}")
    if isinstance(floor, bool) or not isinstance(floor, int) or floor < 1:
        raise ValueError(f"fleet.membership.floor: expected a number of 1 or more, got {floor!r}")
    keys: list[bytes] = []
    if raw.get("key_file"):
        try:
            keys = keys_of(Path(raw["key_file"]).read_text())
        except ValueError as error:
            raise ValueError(f"fleet.membership.key_file: {raw['key_file']}: {error}") from None
    return Switch(
        name,
        zone,
        raw["cluster"],
        address(raw["listen"], "listen"),
        [address(seed, f"seeds.{place}") for place, seed in enumerate(seeds)],
        floor,
        keys,
        bool(raw.get("replaces", False)),
        str(raw.get("kind", "sidecar")),
    )


class Members:
    """Runs the member, and tells `counted` whenever the number changes: 0 when it knows none."""

    def __init__(self, it: Switch, counted: Callable[[int], None]) -> None:
        self.it, self.counted = it, counted
        self.codec = Codec(it.cluster, it.keys)
        self.count = Count(it.floor)
        self.shell = Shell(self.make, self.act)
        self.told = 0
        self.why = "joining"  # or why it has stopped
        self.timer: asyncio.TimerHandle | None = None

    def make(self, own: Address, now_us: int) -> Member:
        it = self.it
        # a later process has a later boot; where a clock has gone back the others tell it to go higher
        boot = time.time_ns() // 1_000_000
        return Member(
            Settings(it.name, it.kind, it.zone, *own, seeds=it.seeds, replaces=it.replaces),
            self.codec,
            boot,
            boot ^ hash_of(it.name),
            now_us,
        )

    async def open(self) -> Address:
        """Bind and begin to join; raises OSError."""
        own = await self.shell.open(*self.it.listen)
        self.look()
        return own

    def act(self, action: Action) -> None:
        if isinstance(action, Said):
            log.info("%s %s", action.event, " ".join(f"{name}={value}" for name, value in action.fields.items()))
        elif isinstance(action, Stopped):
            self.why = action.why
            self.look()
        elif isinstance(action, Changed):
            self.look()
        else:
            assert isinstance(action, Keep)  # there is no disk yet to keep it on

    def share(self) -> Share | None:
        """What holds by now; None before it has joined and after it has stopped."""
        member = self.shell.member
        if member is None or member.phase != "present":
            return None
        return self.count.of(member, clock_us(), self.it.kind)

    def look(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        share = self.share()
        instances = share.instances if share is not None else 0
        if instances != self.told:
            self.told = instances
            self.counted(instances)
        if not self.shell.ended.is_set():
            self.timer = self.shell.loop.call_later(LOOK_S, self.look)

    def tell(self) -> dict[str, object]:
        """For operators: who is there, whether all agree, and what follows from it."""
        member, share = self.shell.member, self.share()
        if member is None:
            return {"phase": "joining", "members": []}
        now_us, view = clock_us(), member.view
        return {
            "phase": member.phase,
            "why": self.why if member.phase == "stopped" else "",
            "boot": member.boot,
            "incarnation": member.incarnation,
            "health": member.health,
            "cluster": self.it.cluster,
            "instances": share.instances if share else 0,
            "trusted": bool(share and share.trusted),
            "agreed": member.agreed,
            "disputes": [
                {"with": name, "for_s": round((now_us - d.since_us) / 1e6, 1), "on": member.differs}
                for name, d in member.disputed().items()
            ],
            "dropped": dict(sorted((self.codec.dropped + member.counted).items())),
            "bytes_in": self.shell.bytes_in,
            "bytes_out": self.shell.bytes_out,
            "members": [
                {
                    "name": e.name,
                    "kind": e.kind,
                    "zone": e.zone,
                    "address": f"{e.host}:{e.port}",
                    "state": State(e.state).name.lower(),
                    "boot": e.boot,
                    "incarnation": e.incarnation,
                    "by": e.by,
                    "for_s": round((now_us - view.since_us[e.name]) / 1e6, 1),
                }
                for e in sorted(view.entries.values(), key=lambda e: e.name)
            ],
        }

    async def leave(self) -> None:
        """Say so to the others; the decisions keep the last number."""
        if self.timer is not None:
            self.timer.cancel()
        with contextlib.suppress(OSError):
            await self.shell.leave()


def hash_of(name: str) -> int:
    """The same in every process."""
    return int.from_bytes(name.encode()[-8:].rjust(8, b"\0"), "big")
