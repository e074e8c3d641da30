"""Members in virtual time: datagrams that are delayed, lost, duplicated or cut off, and processes that fail.

Processes are killed, paused, starved and restarted, with or without what they had persisted.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetusher.errors import GarnetusherError
from garnetusher.membership.actions import Action, LogEvent, MemberChanged, Persist, SendDatagram, Stopped
from garnetusher.membership.codec import Codec
from garnetusher.membership.events import DatagramReceived, Event, LeaveRequested, TimerFired
from garnetusher.membership.fleet_size import FleetSize, FleetSizeEstimator
from garnetusher.membership.member import Member
from garnetusher.membership.messages import Address, Entry
from garnetusher.membership.settings import MemberSettings
from garnetusher.membership.state import Phase
from garnetusher.membership.view import State, is_active
from garnetusher.model.clock import Clock

CLUSTER = "model"
ROLE = "sidecar"
PORT = 7000
MIN_LATENCY_US = 2_000  # one way; a random part adds up to as much again
SETTLE_US = 3_000_000  # after which all others count a newcomer, and it may use its part of the limits
SOCKET_BUFFER_DATAGRAMS = 2000  # that wait for a paused process
SEED_BITS = 62


class NodeNotRunningError(GarnetusherError):
    """A node that has no process was asked for its view."""


@dataclass(slots=True)
class Node:
    """One name, its current process and its disk.

    Attributes:
        persisted: what is on disk.
        starts: how many processes have had the name.
        paused: stopped by a signal, so events wait.
        timer_us: when the next timer is set to fire; -1 = none.
        log: log events and their times.
        stop_reason: why the member stopped by itself, or empty.
    """

    name: str
    address: Address
    zone: str
    member: Member | None = None
    estimator: FleetSizeEstimator | None = None
    persisted: Persist | None = None
    starts: int = 0
    paused: bool = False
    waiting: list[Event] = field(default_factory=list)
    timer_us: int = -1
    sent_bytes: int = 0
    sent_datagrams: int = 0
    log: list[tuple[int, LogEvent]] = field(default_factory=list)
    stop_reason: str = ""

    @property
    def running(self) -> bool:
        """Whether the name has a process that is a member or is joining."""
        return self.member is not None and self.member.phase != Phase.STOPPED

    @property
    def present(self) -> bool:
        """Whether the process has joined, and is not paused."""
        return self.member is not None and self.member.phase == Phase.PRESENT and not self.paused

    def require_member(self) -> Member:
        """Return the current process.

        Raises:
            NodeNotRunningError: there is none.
        """
        if self.member is None:
            message = f"{self.name} has no running process"
            raise NodeNotRunningError(message)
        return self.member


def never_cut(_sender: Node, _recipient: Node) -> bool:
    """Return that datagrams pass: the network without a cut."""
    return False


def _ignore_change(_node: Node, _now_us: int, _change: MemberChanged) -> None:
    """Do nothing with a change of a node's view."""


class Members:
    """All nodes and the network between them.

    Attributes:
        loss: share of datagrams that are lost.
        duplication: share of datagrams that are delivered twice.
        is_cut: whether datagrams from the first node to the second are dropped.
        delays_us: by name of a starved process, how much later each of its events is handled.
        member_changed: called with the node whose view changed, the time and the change.
        clock_skew_us: by name, of the wall clock that generations are taken from.
    """

    def __init__(
        self,
        seed: int,
        floor: int = 1,
        loss: float = 0.0,
        keys: list[bytes] | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or Clock()
        self.loss = loss
        self.duplication = 0.0
        self.nodes: dict[str, Node] = {}
        self.is_cut: Callable[[Node, Node], bool] = never_cut
        self.delays_us: dict[str, int] = {}
        self.member_changed: Callable[[Node, int, MemberChanged], None] = _ignore_change
        self.clock_skew_us: dict[str, int] = {}
        self._random = random.Random(seed)
        self._seed = seed
        self._floor = floor
        self._keys = keys or []
        self._by_address: dict[Address, Node] = {}

    def add(self, name: str, zone: str = "z") -> Node:
        """Add a name that has no process yet, at an address of its own."""
        index = len(self._by_address)
        host = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
        node = Node(name, (host, PORT), zone)
        self.nodes[name] = node
        self._by_address[node.address] = node
        return node

    def start(self, node: Node, seeds: list[Node], *, replaces: bool = False, disk: bool = True) -> None:
        """Start a process of that name.

        Args:
            node: the name.
            seeds: nodes through which it joins.
            replaces: it takes over from a process of its name.
            disk: it reads what an earlier process has persisted.
        """
        now_us = self.clock.now_us
        node.starts += 1
        host, port = node.address
        seed_addresses = [seed.address for seed in seeds]
        settings = MemberSettings(node.name, ROLE, node.zone, host, port, seed_addresses, replaces)
        generation = self._next_generation(node, node.persisted if disk else None)
        seed = stable_hash(self._seed, node.name, node.starts)
        member = Member(settings, Codec(CLUSTER, self._keys), generation, seed, now_us)
        node.member = member
        node.estimator = FleetSizeEstimator(self._floor)
        node.paused = False
        node.timer_us = -1
        node.stop_reason = ""
        node.waiting.clear()
        self.clock.at(now_us, self._fire_timer, node, member)

    def _next_generation(self, node: Node, persisted: Persist | None) -> int:
        wall_clock_ms = self.clock.now_us // 1000 + self.clock_skew_us.get(node.name, 0) // 1000
        return max(1 + wall_clock_ms, persisted.generation + 1 if persisted else 1)

    def kill(self, node: Node) -> None:
        """End the process without a word."""
        node.member = None
        node.paused = False

    def pause(self, node: Node) -> None:
        """Stop the process as SIGSTOP does."""
        node.paused = True

    def resume(self, node: Node) -> None:
        """Let a paused process go on, with the datagrams that have waited."""
        if not node.paused:
            return
        node.paused = False
        waiting, node.waiting = node.waiting, []
        for event in waiting[:SOCKET_BUFFER_DATAGRAMS]:
            self._dispatch(node, event)
        if node.member is not None:
            self._dispatch(node, TimerFired())

    def leave(self, node: Node) -> None:
        """Let the process leave."""
        self._dispatch(node, LeaveRequested())

    def run(self, duration_us: int) -> None:
        """Let virtual time pass."""
        self.clock.run(self.clock.now_us + duration_us)

    def deliver(self, recipient: Node, sender: Address, data: bytes) -> None:
        """Deliver a datagram now."""
        if recipient.running:
            self._dispatch(recipient, DatagramReceived(data, sender))

    def send(self, sender: Node, action: SendDatagram) -> None:
        """Put a datagram on the network."""
        sender.sent_bytes += len(action.data)
        sender.sent_datagrams += 1
        recipient = self._by_address.get(action.address)
        if recipient is None:
            return
        copies = 2 if self.duplication and self._random.random() < self.duplication else 1
        for _ in range(copies):
            if (self.loss and self._random.random() < self.loss) or self.is_cut(sender, recipient):
                continue
            latency_us = MIN_LATENCY_US + int(self._random.random() * MIN_LATENCY_US)
            at_us = self.clock.now_us + latency_us + self.delays_us.get(recipient.name, 0)
            self.clock.at(at_us, self.deliver, recipient, sender.address, action.data)

    def _dispatch(self, node: Node, event: Event) -> None:
        member = node.member
        if member is None:
            return
        if node.paused:
            node.waiting.append(event)
            return
        for action in member.handle(self.clock.now_us, event):
            self._carry_out(node, action)
        if member.phase != Phase.STOPPED and not 0 <= node.timer_us <= member.next_timer_us:
            node.timer_us = member.next_timer_us
            at_us = member.next_timer_us + self.delays_us.get(node.name, 0)
            self.clock.at(at_us, self._fire_timer, node, member)

    def _carry_out(self, node: Node, action: Action) -> None:
        match action:
            case SendDatagram():
                self.send(node, action)
            case MemberChanged():
                self.member_changed(node, self.clock.now_us, action)
            case Persist():
                node.persisted = action
            case LogEvent():
                node.log.append((self.clock.now_us, action))
            case Stopped():
                node.stop_reason = action.reason.value

    def _fire_timer(self, node: Node, member: Member) -> None:
        if member is not node.member:
            return
        node.timer_us = -1
        if not node.paused:  # `resume` fires it otherwise
            self._dispatch(node, TimerFired())

    # What is believed

    def entries(self, node: Node) -> dict[str, Entry]:
        """Return the entries of a node's view."""
        return node.require_member().view.entries

    def active_names(self, node: Node) -> list[str]:
        """Return the names that a node believes active."""
        return sorted(name for name, entry in self.entries(node).items() if is_active(entry))

    def failed_names(self, node: Node) -> list[str]:
        """Return the names that a node believes failed."""
        return sorted(name for name, entry in self.entries(node).items() if entry.state == State.FAILED)

    def fleet_size(self, node: Node) -> FleetSize:
        """Return by what a node divides the fleet's limits now."""
        member = node.require_member()
        if node.estimator is None:
            message = f"{node.name} has no running process"
            raise NodeNotRunningError(message)
        return node.estimator.estimate(member, self.clock.now_us, member.settings.role)

    def present_nodes(self) -> list[Node]:
        """Return the nodes that have joined and are not paused."""
        return [node for node in self.nodes.values() if node.present]


def stable_hash(*words: object) -> int:
    """Return a seed for one purpose, the same under every hash seed of Python."""
    return random.Random("\0".join(map(str, words))).getrandbits(SEED_BITS)
