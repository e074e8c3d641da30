"""Simulates members in virtual time: datagrams are delayed, lost, duplicated or blocked, and processes fail.

Processes are killed, paused, starved of CPU time and restarted, with or without their persisted state.
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
MIN_LATENCY_US = 2_000  # one-way minimum; a random delay of at most the same length is added
SETTLE_US = 3_000_000  # time until the others count a new member and it may use its share of the limits of the fleet
SOCKET_BUFFER_DATAGRAMS = 2000  # further datagrams to a paused process are lost
SEED_BITS = 62


class NodeNotRunningError(GarnetusherError):
    """An operation requires a running process, but the node has none."""


@dataclass(slots=True)
class Node:
    """A host in the simulation, with its current member process and its persisted state.

    Attributes:
        name: The name of the member.
        address: The address of the member.
        zone: The zone of the member.
        member: The current process, or None.
        estimator: The current process's estimator of the fleet size, or None before the first process.
        persisted: The state on disk, or None.
        start_count: The number of processes that were started on the node.
        paused: Whether the process is paused, as by SIGSTOP, so that its events are queued.
        waiting_events: The events that are queued while the process is paused.
        timer_us: The time when the next timer fires; -1 = none.
        sent_bytes: The total size of the datagrams that the node has sent.
        sent_datagrams: The number of datagrams that the node has sent.
        log: The log events and their times.
        stop_reason: The reason why the member stopped by itself, or empty.
    """

    name: str
    address: Address
    zone: str
    member: Member | None = None
    estimator: FleetSizeEstimator | None = None
    persisted: Persist | None = None
    start_count: int = 0
    paused: bool = False
    waiting_events: list[Event] = field(default_factory=list)
    timer_us: int = -1
    sent_bytes: int = 0
    sent_datagrams: int = 0
    log: list[tuple[int, LogEvent]] = field(default_factory=list)
    stop_reason: str = ""

    @property
    def running(self) -> bool:
        """Whether the node has a process that has not stopped."""
        return self.member is not None and self.member.phase != Phase.STOPPED

    @property
    def present(self) -> bool:
        """Whether the process has joined and is not paused."""
        return self.member is not None and self.member.phase == Phase.PRESENT and not self.paused

    def require_member(self) -> Member:
        """Return the current process.

        Raises:
            NodeNotRunningError: There is no process.
        """
        if self.member is None:
            message = f"{self.name} has no running process"
            raise NodeNotRunningError(message)
        return self.member


def never_cut(_sender: Node, _recipient: Node) -> bool:
    """Return False for all datagrams: the network blocks none of them."""
    return False


def _ignore_change(_node: Node, _now_us: int, _change: MemberChanged) -> None:
    """Ignore a change of a node's view."""


class Members:
    """All nodes and the simulated network between them.

    Attributes:
        clock: The virtual time.
        loss: The share of datagrams that are lost.
        duplication: The share of datagrams that are sent twice.
        nodes: The nodes by name.
        is_cut: A function that returns whether the network drops datagrams from the first node to the second.
        delays_us: The extra delay of each datagram to, and timer of, a node that is starved of CPU time, by name.
        member_changed: A function that receives the node whose view has changed, the time and the change.
        clock_skew_us: The offset of each node's wall clock by name; generations derive from this clock.

    Args:
        seed: The seed of all random draws.
        floor: The smallest fleet size that a node uses.
        loss: The share of datagrams that are lost.
        keys: The keys of the cluster; without keys, datagrams are not authenticated.
        clock: The virtual time; by default, a new clock.
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
        self._nodes_by_address: dict[Address, Node] = {}

    def add(self, name: str, zone: str = "z") -> Node:
        """Add a node without a process; it gets its own address."""
        index = len(self._nodes_by_address)
        host = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
        node = Node(name, (host, PORT), zone)
        self.nodes[name] = node
        self._nodes_by_address[node.address] = node
        return node

    def start(self, node: Node, seeds: list[Node], *, replaces: bool = False, read_persisted: bool = True) -> None:
        """Start a process on a node.

        Args:
            node: The node.
            seeds: The nodes through which the process joins.
            replaces: Whether the process takes over from a running process of the same name.
            read_persisted: Whether the process reads the state that an earlier process persisted.
        """
        now_us = self.clock.now_us
        node.start_count += 1
        host, port = node.address
        seed_addresses = [seed.address for seed in seeds]
        settings = MemberSettings(node.name, ROLE, node.zone, host, port, seed_addresses, replaces)
        generation = self._next_generation(node, node.persisted if read_persisted else None)
        seed = derive_seed(self._seed, node.name, node.start_count)
        member = Member(settings, Codec(CLUSTER, self._keys), generation, seed, now_us)
        node.member = member
        node.estimator = FleetSizeEstimator(self._floor)
        node.paused = False
        node.timer_us = -1
        node.stop_reason = ""
        node.waiting_events.clear()
        self.clock.at(now_us, self._fire_timer, node, member)

    def _next_generation(self, node: Node, persisted: Persist | None) -> int:
        wall_clock_ms = self.clock.now_us // 1000 + self.clock_skew_us.get(node.name, 0) // 1000
        return max(1 + wall_clock_ms, persisted.generation + 1 if persisted else 1)

    def kill(self, node: Node) -> None:
        """End the process without a message to the others."""
        node.member = None
        node.paused = False

    def pause(self, node: Node) -> None:
        """Stop the process as SIGSTOP does."""
        node.paused = True

    def resume(self, node: Node) -> None:
        """Continue a paused process, which then handles the waiting events."""
        if not node.paused:
            return
        node.paused = False
        waiting, node.waiting_events = node.waiting_events, []
        for event in waiting[:SOCKET_BUFFER_DATAGRAMS]:
            self._dispatch(node, event)
        if node.member is not None:
            self._dispatch(node, TimerFired())

    def leave(self, node: Node) -> None:
        """Ask the process to leave the fleet."""
        self._dispatch(node, LeaveRequested())

    def run(self, duration_us: int) -> None:
        """Advance the virtual time by a duration and run the events that become due."""
        self.clock.run(self.clock.now_us + duration_us)

    def deliver(self, recipient: Node, sender: Address, data: bytes) -> None:
        """Deliver a datagram now; it is lost if the recipient has no running process."""
        if recipient.running:
            self._dispatch(recipient, DatagramReceived(data, sender))

    def send(self, sender: Node, action: SendDatagram) -> None:
        """Send a datagram through the network, which may drop, duplicate or delay it."""
        sender.sent_bytes += len(action.data)
        sender.sent_datagrams += 1
        recipient = self._nodes_by_address.get(action.address)
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
            node.waiting_events.append(event)
            return
        for action in member.handle(self.clock.now_us, event):
            self._execute(node, action)
        if member.phase != Phase.STOPPED and not 0 <= node.timer_us <= member.next_timer_us:
            node.timer_us = member.next_timer_us
            at_us = member.next_timer_us + self.delays_us.get(node.name, 0)
            self.clock.at(at_us, self._fire_timer, node, member)

    def _execute(self, node: Node, action: Action) -> None:
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
        if not node.paused:  # `resume` fires the timer of a paused process
            self._dispatch(node, TimerFired())

    # Views

    def entries(self, node: Node) -> dict[str, Entry]:
        """Return the entries of a node's view."""
        return node.require_member().view.entries

    def active_names(self, node: Node) -> list[str]:
        """Return the names that a node considers active."""
        return sorted(name for name, entry in self.entries(node).items() if is_active(entry))

    def failed_names(self, node: Node) -> list[str]:
        """Return the names that a node considers failed."""
        return sorted(name for name, entry in self.entries(node).items() if entry.state == State.FAILED)

    def fleet_size(self, node: Node) -> FleetSize:
        """Return the fleet size by which a node currently divides the limits of the fleet."""
        member = node.require_member()
        if node.estimator is None:
            message = f"{node.name} has no running process"
            raise NodeNotRunningError(message)
        return node.estimator.estimate(member, self.clock.now_us, member.settings.role)

    def present_nodes(self) -> list[Node]:
        """Return the nodes that have joined and are not paused."""
        return [node for node in self.nodes.values() if node.present]


def derive_seed(*purpose: object) -> int:
    """Return a seed for one purpose; the seed does not depend on PYTHONHASHSEED."""
    return random.Random("\0".join(map(str, purpose))).getrandbits(SEED_BITS)
