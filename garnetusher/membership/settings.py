"""Settings of one member, and the protocol's period."""

from __future__ import annotations

from msgspec import Struct

from garnetusher.membership.messages import Address

PROBE_PERIOD_US = 400_000  # between two probes by one member: a failed member is first probed after about one period


class MemberSettings(Struct, frozen=True):
    """What a process says of itself when it joins.

    Attributes:
        name: unique in the cluster.
        role: sidecar, agent or replica.
        zone: where it runs.
        host: the address at which other members reach it.
        port: the UDP port there.
        seeds: addresses of members through which it joins.
        replaces: it takes over from a process of the same name, which may still run.
    """

    name: str
    role: str
    zone: str
    host: str
    port: int
    seeds: list[Address] = []
    replaces: bool = False
