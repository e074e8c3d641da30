"""Many membership cores on one queue of events: datagrams that are delayed, lost, doubled or cut off, processes that
are killed, stopped, starved and started anew, with or without what they had written."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetusher.membership import member as core
from garnetusher.membership.fleet_size import Count, Share
from garnetusher.membership.member import Changed, Datagram, Event, Keep, Leave, Member, Said, SendTo, Stopped, Wake
from garnetusher.membership.messages import Address, Codec, Entry
from garnetusher.membership.view import State, counts
from garnetusher.model.clock import Clock

CLUSTER = "model"
WAY_US = 2_000  # one way, with as much again by chance
SETTLE_US = 3_000_000  # after which a newcomer counts for all others, and may take its part


@dataclass(slots=True)
class Node:
    """One name, the process that has it at present, and its disk."""

    name: str
    address: Address
    zone: str
    member: Member | None = None
    count: Count | None = None
    kept: Keep | None = None  # on disk
    boots: int = 0
    stopped: bool = False  # by a signal: what comes waits
    waiting: list[Event] = field(default_factory=list)
    armed_us: int = -1
    sent_bytes: int = 0
    sent: int = 0
    said: list[tuple[int, Said]] = field(default_factory=list)
    ended: str = ""  # why the member stopped by itself

    @property
    def running(self) -> bool:
        return self.member is not None and self.member.phase != "stopped"


class Members:
    """The whole of it. `changed` is called with whose view changed, at what time, and how."""

    def __init__(
        self, seed: int, floor: int = 1, loss: float = 0.0, keys: list[bytes] | None = None, clock: Clock | None = None
    ) -> None:
        self.clock = clock or Clock()
        self.rng = random.Random(seed)
        self.seed, self.floor, self.loss, self.keys = seed, floor, loss, keys or []
        self.nodes: dict[str, Node] = {}
        self.at: dict[Address, Node] = {}
        self.cut: Callable[[Node, Node], bool] = lambda a, b: False
        self.doubled = 0.0
        self.slow: dict[str, int] = {}  # a starved process: each of its turns comes that much later
        self.changed: Callable[[Node, int, Changed], None] = lambda node, now_us, change: None
        self.clock_skew_us: dict[str, int] = {}  # of the wall clock that boots go by

    def add(self, name: str, zone: str = "z") -> Node:
        """A name that has not run yet; addresses are made up."""
        number = len(self.at)
        node = Node(name, (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7000), zone)
        self.nodes[name] = node
        self.at[node.address] = node
        return node

    def start(self, node: Node, seeds: list[Node], replaces: bool = False, disk: bool = True) -> None:
        """A process of that name begins."""
        now = self.clock.now_us
        node.boots += 1
        kept = node.kept if disk else None
        boot = max(1 + now // 1000 + self.clock_skew_us.get(node.name, 0) // 1000, kept.boot + 1 if kept else 1)
        settings = core.Settings(
            node.name, "sidecar", node.zone, *node.address, seeds=[s.address for s in seeds], replaces=replaces
        )
        node.member = Member(settings, Codec(CLUSTER, self.keys), boot, hash_of(self.seed, node.name, node.boots), now)
        node.count, node.stopped, node.armed_us, node.ended = Count(self.floor), False, -1, ""
        node.waiting.clear()
        self.clock.at(now, self.wake, node, node.member)

    def kill(self, node: Node) -> None:
        node.member, node.stopped = None, False

    def stop(self, node: Node) -> None:
        node.stopped = True

    def go_on(self, node: Node) -> None:
        if node.stopped:
            node.stopped = False
            late, node.waiting = node.waiting, []
            for event in late[:2000]:  # a socket's buffer holds no more
                self.tell(node, event)
            if node.member is not None:
                self.tell(node, Wake())

    def leave(self, node: Node) -> None:
        self.tell(node, Leave())

    def run(self, for_us: int) -> None:
        self.clock.run(self.clock.now_us + for_us)

    # One step

    def tell(self, node: Node, event: Event) -> None:
        member = node.member
        if member is None:
            return
        if node.stopped:
            node.waiting.append(event)
            return
        for action in member.handle(self.clock.now_us, event):
            if isinstance(action, SendTo):
                self.send(node, action)
            elif isinstance(action, Changed):
                self.changed(node, self.clock.now_us, action)
            elif isinstance(action, Keep):
                node.kept = action
            elif isinstance(action, Said):
                node.said.append((self.clock.now_us, action))
            elif isinstance(action, Stopped):
                node.ended = action.why
        if member.phase != "stopped" and not 0 <= node.armed_us <= member.next_us:
            node.armed_us = member.next_us
            self.clock.at(member.next_us + self.slow.get(node.name, 0), self.wake, node, member)

    def wake(self, node: Node, member: Member) -> None:
        if member is node.member:
            node.armed_us = -1
            if node.stopped:
                return  # going on wakes it
            self.tell(node, Wake())

    def send(self, node: Node, action: SendTo) -> None:
        node.sent_bytes += len(action.data)
        node.sent += 1
        to = self.at.get(action.address)
        if to is None:
            return
        for _ in range(2 if self.doubled and self.rng.random() < self.doubled else 1):
            if (self.loss and self.rng.random() < self.loss) or self.cut(node, to):
                continue
            way = WAY_US + int(self.rng.random() * WAY_US) + self.slow.get(to.name, 0)
            self.clock.at(self.clock.now_us + way, self.arrive, to, node.address, action.data)

    def arrive(self, to: Node, address: Address, data: bytes) -> None:
        if to.running:
            self.tell(to, Datagram(data, address))

    # What is believed

    def view(self, node: Node) -> dict[str, Entry]:
        assert node.member is not None
        return node.member.view.entries

    def believed(self, node: Node) -> list[str]:
        """The names that count for it."""
        return sorted(name for name, entry in self.view(node).items() if counts(entry))

    def share(self, node: Node) -> Share:
        """What its consumers go by now."""
        assert node.member is not None and node.count is not None
        return node.count.of(node.member, self.clock.now_us, node.member.settings.kind)

    def present(self) -> list[Node]:
        """Those that run, are not stopped, and have joined."""
        return [
            n for n in self.nodes.values() if n.member is not None and n.member.phase == "present" and not n.stopped
        ]

    def failed(self, by: Node) -> list[str]:
        return sorted(name for name, entry in self.view(by).items() if entry.state == State.FAILED)


def hash_of(*words: object) -> int:
    """A seed for one purpose, the same under every hash seed."""
    return random.Random("\0".join(map(str, words))).getrandbits(62)
