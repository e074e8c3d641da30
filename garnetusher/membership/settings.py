"""Settings of one member, and the probe period of the protocol."""

from __future__ import annotations

from msgspec import Struct

from garnetusher.membership.messages import Address

# Each member sends one probe per period, so a failed member is first probed after about one period on average.
PROBE_PERIOD_US = 400_000


class MemberSettings(Struct, frozen=True):
    """The identity with which a process joins, and the seeds.

    Attributes:
        name: The name of the member, which is unique in the cluster.
        role: The role of the process: sidecar, agent or replica.
        zone: The zone in which the process runs.
        host: The host at which other members reach this process.
        port: The UDP port at that host.
        seeds: Addresses of members through which this process joins.
        replaces: Whether this process replaces one of the same name, which may still be running.
    """

    name: str
    role: str
    zone: str
    host: str
    port: int
    seeds: list[Address] = []
    replaces: bool = False
