"""Links between sidecars and the nodes that they connect to: delay, jitter, loss and partitions in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from garnetusher.model.clock import Clock
from garnetusher.model.experiment import Topology
from garnetusher.model.link import RETRANSMIT_US
from garnetusher.model.plan import DISCOVERY_NODE, LinkStep, Plan

MAX_RETRANSMIT_WAIT_US = 3_000_000  # the longest wait after a partition for TCP's next retransmission


class Direction(Enum):
    """The direction of a message."""

    TO_NODE = "to_node"  # from a sidecar to an upstream or to discovery
    TO_SIDECAR = "to_sidecar"


@dataclass(slots=True)
class _HeldMessage:
    """A message sent during a partition, kept until the partition ends."""

    direction: Direction
    deliver: Callable[[], None]


@dataclass(slots=True)
class Link:
    """The link between one node (an upstream or discovery) and one sidecar."""

    one_way_us: int
    cuts_to_node: int = 0  # the number of active faults that cut the direction to the node
    cuts_to_sidecar: int = 0  # the number of active faults that cut the direction to the sidecar
    loss: float = 0.0  # the share of messages that arrive late because TCP retransmits them
    cut_since_us: int = 0  # the start of the latest cut
    held: list[_HeldMessage] = field(default_factory=list)

    def is_cut(self, direction: Direction) -> bool:
        """Return whether messages in this direction are held back."""
        cuts = self.cuts_to_node if direction is Direction.TO_NODE else self.cuts_to_sidecar
        return cuts > 0

    @property
    def cut_either_way(self) -> bool:
        """Whether at least one direction is cut, so that no connection can be established."""
        return self.cuts_to_node > 0 or self.cuts_to_sidecar > 0

    @property
    def cut_both_ways(self) -> bool:
        """Whether the node and the sidecar are fully partitioned."""
        return self.cuts_to_node > 0 and self.cuts_to_sidecar > 0


class _Links(dict[tuple[str, str], Link]):
    """Links by node and sidecar, created on first use: few pairs of a large fleet exchange messages."""

    def __init__(self, one_way_us: Callable[[str, str], int]) -> None:
        super().__init__()
        self._one_way_us = one_way_us

    def __missing__(self, key: tuple[str, str]) -> Link:
        return self.setdefault(key, Link(self._one_way_us(*key)))


class Network:
    """Delivers messages between nodes and sidecars, and applies the plan's link faults."""

    def __init__(self, topology: Topology, plan: Plan, clock: Clock) -> None:
        self._clock = clock
        self._topology = topology
        self._rng = random.Random(f"{plan.seed} network")
        # a separate generator, so that messages to and from discovery do not change the draws of other messages
        self._discovery_rng = random.Random(f"{plan.seed} list")
        self._sidecar_zones = {sidecar.name: sidecar.zone for sidecar in plan.sidecars}
        self._upstream_zones = {upstream.uid: upstream.zone for upstream in plan.upstreams}
        self._zone_delays_us = {
            (from_zone, to_zone): round(topology.one_way_ms(from_zone, to_zone) * 1000)
            for from_zone in topology.zones
            for to_zone in topology.zones
        }
        self._links = _Links(self._one_way_us)

    def schedule(self, steps: list[LinkStep]) -> None:
        """Schedule the plan's link faults."""
        for step in steps:
            self._clock.at(step.at_us, self.apply_fault, step)

    def link(self, node: str, sidecar: str) -> Link:
        """Return the link between a node (the uid of an upstream, or `DISCOVERY_NODE`) and a sidecar."""
        return self._links[node, sidecar]

    def send(self, node: str, sidecar: str, direction: Direction, deliver: Callable[[], None]) -> None:
        """Deliver a message after the link's delay.

        A message sent during a partition is delivered after the partition ends, because TCP retransmits it.
        """
        link = self._links[node, sidecar]
        if link.is_cut(direction):
            link.held.append(_HeldMessage(direction, deliver))
            return
        rng = self._discovery_rng if node == DISCOVERY_NODE else self._rng
        jitter = self._topology.jitter * (2 * rng.random() - 1)
        arrival_us = self._clock.now_us + int(link.one_way_us * (1 + jitter))
        if link.loss and rng.random() < link.loss:
            arrival_us += RETRANSMIT_US
        self._clock.at(arrival_us, deliver)

    def apply_fault(self, step: LinkStep) -> None:
        """Apply a step of the plan: cut links, end a cut, or set the loss."""
        for node in step.parties:
            for sidecar in step.sidecars:
                link = self._links[node, sidecar]
                if step.what == "loss":
                    link.loss = step.value
                elif step.what == "cut":
                    link.cuts_to_node += step.to_party
                    link.cuts_to_sidecar += step.to_sidecar
                    link.cut_since_us = self._clock.now_us
                else:
                    link.cuts_to_node -= step.to_party
                    link.cuts_to_sidecar -= step.to_sidecar
                    self._resend_held(node, sidecar, link)

    def _resend_held(self, node: str, sidecar: str, link: Link) -> None:
        """Send the held messages after a random share of the cut's length, up to a limit, as TCP's backoff does."""
        held, link.held = link.held, []
        now_us = self._clock.now_us
        wait_us = int(self._rng.random() * (now_us - link.cut_since_us))
        sent_at_us = now_us + min(wait_us, MAX_RETRANSMIT_WAIT_US)
        for message in held:
            self._clock.at(sent_at_us, self.send, node, sidecar, message.direction, message.deliver)

    def _one_way_us(self, node: str, sidecar: str) -> int:
        if node == DISCOVERY_NODE:  # discovery counts as in another zone of each sidecar's region
            return round(self._topology.cross_zone_ms * 1000)
        return self._zone_delays_us[self._sidecar_zones[sidecar], self._upstream_zones[node]]
