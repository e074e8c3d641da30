"""One process's part in the membership: `handle(now, event)` gives what to do. No clock, no socket, no file.

A member asks another each period whether it is there, in an order drawn anew for each round; if it does not answer,
some others are asked to ask it; if nobody hears of it, it is doubted, and everybody is told. It refutes that by
a higher incarnation, or it has failed. How long doubt lasts shrinks as others doubt it on their own, and everything
takes longer while this process has reason to think that it is late itself (Lifeguard's local health).
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from msgspec import Struct, structs

from garnetusher.membership.messages import (
    Ack,
    Address,
    Body,
    Buckets,
    Codec,
    Entries,
    Entry,
    Join,
    Nack,
    Ping,
    PingReq,
    Received,
    Welcome,
)
from garnetusher.membership.view import State, View, counts, newer

PERIOD_US = 400_000  # between two probes of this member: a dead one is first asked after about one period
DIRECT_US = 150_000  # till others are asked: several times what a datagram takes between regions
INDIRECT = 3  # members that are asked to ask
SUSPICION_PERIODS = 1.0  # times log10 of the view's size: the shortest doubt, once enough doubt it on their own
SUSPICION_TIMES = 4.0  # the longest doubt beside the shortest
CONFIRMATIONS = 3  # others that doubt it too, after which doubt is at its shortest
MOST_HEALTH = 8  # as in Lifeguard: periods and time-outs are at most nine times as long
LATE_US = 100_000  # behind a timer, beyond which this process was starved: it accuses nobody for that time
GOSSIP_US = 150_000  # between rounds in which news is told unasked
GOSSIP_TO = 3
AGAIN_US = 1_000_000  # between pings of one that has failed: so the parts of a split find each other
SYNC_US = 1_000_000  # between full exchanges with members that see it otherwise
STRANGER_US = 250_000  # between full exchanges with those that are heard and not known
LONGEST_SYNC_US = 4_000_000  # without one while news keeps coming and views differ
CATCH_UP_US = 500_000  # after joining, in which what is told by the bucket is old
DISPUTE_US = 300_000  # that two views differ before it is more than news under way
HEARD_US = 2_000_000  # after which what a member said of its view is too old to differ with
JOIN_US = 500_000  # between calls to seeds, at first; doubled up to LONGEST_JOIN_US
LONGEST_JOIN_US = 4_000_000
FARE_US = 1_000_000  # in which one whose name is taken has to answer the newcomer
YOUNG_US = 30_000_000  # a process present for less gives way where two have one name
FAREWELLS = 3  # rounds in which one that leaves says so
WINDOW = 64  # sequence numbers of a sender that may come out of order


# Events


class Datagram(Struct, frozen=True):
    """Something has come."""

    data: bytes
    address: Address


class Wake(Struct, frozen=True):
    """A timer has fired."""


class Leave(Struct, frozen=True):
    """The process is about to end."""


Event = Datagram | Wake | Leave


# Actions


class SendTo(Struct, frozen=True):
    address: Address
    data: bytes


class Changed(Struct, frozen=True):
    """What is believed of a member has changed."""

    entry: Entry
    before: Entry | None


class Keep(Struct, frozen=True):
    """To be written down, if there is a disk: neither may ever go back."""

    boot: int
    incarnation: int


class Said(Struct, frozen=True):
    """For the log: a name as in docs/logs.md, and its fields."""

    event: str
    fields: dict[str, object]


class Stopped(Struct, frozen=True):
    """This process is no member any more, and why: left, replaced, refused."""

    why: str
    by: Address | None = None


Action = SendTo | Changed | Keep | Said | Stopped


class Settings(Struct, frozen=True):
    name: str
    kind: str
    zone: str
    host: str
    port: int
    seeds: list[Address] = []
    replaces: bool = False  # it takes over from a process of its name, which may still run


class _Probe(Struct):
    target: str
    boot: int
    asked: int = 0  # others, to ask it
    nacks: int = 0


class _Doubt(Struct):
    """Since when, and who shares it."""

    since_us: int
    by: set[str]
    ends_us: int


class Dispute(Struct):
    """With one member whose view was another when it was last heard."""

    since_us: int
    heard_us: int
    digest: int


class Member:
    """Feed it events; `next_us` tells when it wants a `Wake`. `phase` is joining, present, leaving or stopped."""

    def __init__(
        self, settings: Settings, codec: Codec, boot: int, seed: int, now_us: int, incarnation: int = 0
    ) -> None:
        self.settings, self.codec = settings, codec
        self.name, self.boot, self.incarnation = settings.name, boot, incarnation
        self.random = random.Random(seed)
        self.now_us = now_us
        self.view = View()
        self.phase = "joining"
        self.present_us = 0  # since when it is
        self.welcomed = 0  # members that it was told of at its start, who may still be on their way into its view
        self.acknowledged = False  # somebody has answered this process: others know of it, and not of one before it
        self.health = 0  # Lifeguard's: the worse, the higher
        self.probes: dict[int, _Probe] = {}
        self.relays: dict[int, tuple[int, Address]] = {}  # this member's ping for another: its number, whom to tell
        self.doubts: dict[str, _Doubt] = {}
        self.disputes: dict[str, Dispute] = {}  # by member
        self.differs: list[str] = []  # names on which the last full exchange differed
        self.counted: Counter[str] = Counter()  # what was dropped here, beside the codec's own
        self._heard: dict[str, list[int]] = {}  # by sender: boot, highest sequence, bits of those below it
        self._round: list[str] = []
        self._number = 0
        self._synced_us = 0
        self._news_us = now_us  # when the view last changed
        self._catching_up = False
        self._wait_us = JOIN_US
        self._clash: tuple[int, Entry] | None = None  # the ping of one that has this name, and its entry
        self._heap: list[tuple[int, int, str, Any]] = []
        self._actions: list[Action] = []
        self._at(now_us, "join")

    @property
    def next_us(self) -> int:
        return self._heap[0][0] if self._heap else self.now_us + PERIOD_US

    @property
    def me(self) -> Entry:
        s = self.settings
        return Entry(s.name, s.host, s.port, s.kind, s.zone, self.boot, self.incarnation, State.PRESENT, s.replaces)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        now_us = max(now_us, self.now_us)  # hazard: a clock that went back
        self._starved(now_us)
        self.now_us = now_us
        if self.phase != "stopped":
            if isinstance(event, Datagram):
                received = self.codec.decode(event.data)
                if received is not None and self._fresh(received, event.address):
                    self._received(received, event.address)
            elif isinstance(event, Leave):
                self._leave()
            self._run_due()
        actions, self._actions = self._actions, []
        return actions

    # Time

    def _at(self, at_us: int, what: str, about: Any = None) -> None:
        self._number += 1
        heapq.heappush(self._heap, (at_us, self._number, what, about))

    def _starved(self, now_us: int) -> None:
        """Whoever could not run has heard nothing: what was to end meanwhile ends that much later."""
        late_us = now_us - self.next_us
        if late_us <= LATE_US or not self._heap:
            return
        self._heap = [(at + late_us, number, what, about) for at, number, what, about in self._heap]
        for doubt in self.doubts.values():
            doubt.ends_us += late_us
        self._worse(1)
        self._say("membership.starved", late_s=round(late_us / 1e6, 3))

    def _run_due(self) -> None:
        while self._heap and self._heap[0][0] <= self.now_us and self.phase != "stopped":
            _, _, what, about = heapq.heappop(self._heap)
            run: Callable[..., None] = getattr(self, f"_on_{what}")
            run() if about is None else run(about)

    def _scaled(self, us: int) -> int:
        return us * (1 + self.health)

    def _worse(self, by: int) -> None:
        self.health = min(MOST_HEALTH, max(0, self.health + by))

    def _say(self, event: str, **fields: object) -> None:
        self._actions.append(Said(event, fields))

    # Sending

    def _send(self, address: Address, body: Body, first: Entry | None = None) -> None:
        gossip = self.view.gossip(self.codec.room(self.name, body), first)
        self._actions.append(SendTo(address, self.codec.encode(self.name, self.boot, body, gossip)))

    def _unsure(self, name: str) -> Entry | None:
        """What its owner has to hear first, as it may want to refute it."""
        entry = self.view.entries.get(name)
        return entry if entry is not None and entry.state != State.PRESENT else None

    # Joining

    def _on_join(self) -> None:
        if self.phase != "joining" or self._clash is not None:
            return
        own = (self.settings.host, self.settings.port)
        seeds = [seed for seed in self.settings.seeds if seed != own]
        if not seeds or (own in self.settings.seeds and self._wait_us > 2 * JOIN_US):
            self._enter(None)  # the first of all, or a seed that hears of no other: others will find it
            return
        for seed in self.random.sample(seeds, min(2, len(seeds))):
            self._send(seed, Join(self.me))
        self._at(self.now_us + int(self._wait_us * (0.5 + self.random.random())), "join")
        self._wait_us = min(2 * self._wait_us, LONGEST_JOIN_US)

    def _welcomed(self, known: Entry | None) -> None:
        if self.phase != "joining" or self._clash is not None:
            return
        if known is not None and counts(known) and known.address != self.me.address and not self.settings.replaces:
            # two of one name by mistake? the one that is there has to say so itself: it may just have died
            self._number += 1
            self._clash = (self._number, known)
            self._send(known.address, Ping(self._number, self.name, clash=True))
            self._at(self.now_us + FARE_US, "unclaimed")
        else:
            self._enter(known)

    def _on_unclaimed(self) -> None:
        if self._clash is not None and self.phase == "joining":
            (_, known), self._clash = self._clash, None
            self._enter(known)

    def _enter(self, known: Entry | None) -> None:
        if known is not None and known.boot >= self.boot:
            self.boot = known.boot + 1  # hazard: a clock that went back would make this process the older one
        self.phase, self.present_us = "present", self.now_us
        self._actions.append(Keep(self.boot, self.incarnation))
        self._take(self.me)
        self._say("membership.joined", boot=self.boot, members=self.view.present)
        for what, us in (("probe", PERIOD_US), ("gossip", GOSSIP_US), ("again", AGAIN_US)):
            self._at(self.now_us + int(us * self.random.random()), what)
        self._at(self.now_us + 60_000_000, "forget")

    def _on_forget(self) -> None:
        self.view.forget(self.now_us)
        self._heard = {name: heard for name, heard in self._heard.items() if name in self.view.entries}
        self._at(self.now_us + 60_000_000, "forget")

    # Probing

    def _next_target(self) -> Entry | None:
        """Each of the others once a round, in an order of its own: so none is left out for longer than two rounds."""
        for _ in range(2):
            while self._round:
                entry = self.view.entries.get(self._round.pop())
                if entry is not None and counts(entry) and entry.name != self.name:
                    return entry
            self._round = [entry.name for entry in self.view.others(self.name)]
            self.random.shuffle(self._round)
        return None

    def _on_probe(self) -> None:
        self._at(self.now_us + self._scaled(PERIOD_US), "probe")
        target = self._next_target()
        if target is None:
            return
        self._number += 1
        number = self._number
        self.probes[number] = _Probe(target.name, target.boot)
        self._send(target.address, Ping(number, target.name, self.view.digest), self._unsure(target.name))
        self._at(self.now_us + self._scaled(DIRECT_US), "direct", number)

    def _on_direct(self, number: int) -> None:
        """It has not answered: ask again, and others to ask it too. One lost datagram in ten would else start a doubt
        of somebody twice a second among a hundred."""
        probe = self.probes.get(number)
        target = self.view.entries.get(probe.target) if probe is not None else None
        if probe is None or target is None:
            return
        others = self.view.sample(self.random, INDIRECT, {self.name, probe.target})
        probe.asked = len(others)
        self._send(target.address, Ping(number, target.name, self.view.digest), self._unsure(target.name))
        for other in others:
            self._send(other.address, PingReq(number, target.name, target.host, target.port))
        # the direct ping's answer may still come, too; by then the relays' nacks are here as well
        self._at(self.now_us + self._scaled(2 * DIRECT_US), "unheard", number)

    def _on_unheard(self, number: int) -> None:
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        # hazard: without one word from those asked, it may be this process that nobody hears
        self._worse(probe.asked - probe.nacks)
        entry = self.view.entries.get(probe.target)
        if entry is not None and entry.boot == probe.boot and counts(entry):
            self._doubt(entry, self.name)

    def _answered(self, number: int) -> None:
        if number in self.probes:
            del self.probes[number]
            self.acknowledged = True
            self._worse(-1)
        if number in self.relays:
            their, address = self.relays.pop(number)
            self._send(address, Ack(their, self.view.digest))

    def _relay(self, ask: PingReq, address: Address) -> None:
        self._number += 1
        self.relays[self._number] = (ask.number, address)
        self._send((ask.host, ask.port), Ping(self._number, ask.target, self.view.digest), self._unsure(ask.target))
        self._at(self.now_us + DIRECT_US * 4 // 5, "relayed", self._number)

    def _on_relayed(self, number: int) -> None:
        if number in self.relays:
            their, address = self.relays[number]
            self._send(address, Nack(their))
            self._at(self.now_us + self._scaled(2 * DIRECT_US), "relay_over", number)

    def _on_relay_over(self, number: int) -> None:
        self.relays.pop(number, None)

    # Doubt

    def _doubt(self, entry: Entry, by: str) -> None:
        """Somebody has not heard of it; doubt of one that is doubted already makes it shorter."""
        doubt = self.doubts.get(entry.name)
        current = self.view.entries[entry.name]
        if doubt is None or current.state != State.DOUBTED:
            doubt = _Doubt(self.now_us, {by}, 0)
            self.doubts[entry.name] = doubt
            if current.state != State.DOUBTED:
                self._take(structs.replace(current, state=State.DOUBTED, by=by))
        elif by in doubt.by or len(doubt.by) > CONFIRMATIONS:
            return
        else:
            doubt.by.add(by)
            self._take(structs.replace(current, by=by))  # others hear of this one, too
        doubt.ends_us = doubt.since_us + self._doubt_us(len(doubt.by) - 1)
        self._at(doubt.ends_us, "doubted", entry.name)

    def _doubt_us(self, confirmations: int) -> int:
        """Lifeguard's: from the longest to the shortest by the logarithm of how many doubt it on their own."""
        shortest = SUSPICION_PERIODS * max(1.0, math.log10(max(2, self.view.present))) * PERIOD_US
        longest = SUSPICION_TIMES * shortest
        part = math.log(confirmations + 1) / math.log(CONFIRMATIONS + 1)
        return int(max(shortest, longest - (longest - shortest) * part)) * (1 + self.health)

    def _on_doubted(self, name: str) -> None:
        doubt, entry = self.doubts.get(name), self.view.entries.get(name)
        if doubt is None or entry is None or entry.state != State.DOUBTED:
            self.doubts.pop(name, None)
        elif self.now_us >= doubt.ends_us:
            self._take(structs.replace(entry, state=State.FAILED, by=self.name))

    # What is believed

    def _take(self, entry: Entry) -> None:
        """The one place where the view changes."""
        # what a newcomer is told of all is no news to the others
        before = self.view.take(entry, self.now_us, entry.name == self.name or not self._catching_up)
        if entry.state != State.DOUBTED:
            self.doubts.pop(entry.name, None)
        if before is None and entry.name != self.name:
            self._round.insert(self.random.randint(0, len(self._round)), entry.name)
        self._news_us = self.now_us
        if before is None or (before.state, before.boot) != (entry.state, entry.boot):
            self._actions.append(Changed(entry, before))
            if entry.name != self.name or before is not None:
                self._say(
                    f"membership.{State(entry.state).name.lower()}",
                    member=entry.name,
                    boot=entry.boot,
                    incarnation=entry.incarnation,
                    by=entry.by,
                )

    def _learn(self, entry: Entry, sender: str) -> None:
        """News of somebody, perhaps of this process itself."""
        if entry.name == self.name:
            self._about_me(entry)
            return
        known = self.view.entries.get(entry.name)
        if known is not None and not newer(entry, known):
            self.view.told(entry)
            if self._same_doubt(entry, known):
                self._doubt(entry, entry.by or sender)
            return
        if entry.state == State.DOUBTED:
            if known is None or newer(structs.replace(entry, state=State.PRESENT), known):
                self._take(structs.replace(entry, state=State.PRESENT, by=""))
            self._doubt(entry, entry.by or sender)
        else:
            self._take(entry)

    @staticmethod
    def _same_doubt(entry: Entry, known: Entry) -> bool:
        return entry.state == known.state == State.DOUBTED and (entry.boot, entry.incarnation) == (
            known.boot,
            known.incarnation,
        )

    def _about_me(self, entry: Entry) -> None:
        if self.phase != "present" or entry.boot < self.boot:
            return
        if entry.boot > self.boot:
            self._rivalled(entry)
        elif entry.incarnation > self.incarnation and entry.address == self.me.address:
            # hazard: an earlier process had this very boot, as a clock went back: what this one says is taken for its
            self._outbid(entry)
        elif entry.state != State.PRESENT and entry.incarnation >= self.incarnation and not self.acknowledged:
            # hazard: an earlier process had this very boot; under it others drop what this one says, as they have heard
            # higher sequence numbers
            self._outbid(entry)
        elif entry.state != State.PRESENT and entry.incarnation >= self.incarnation:
            self.incarnation = entry.incarnation + 1
            self._actions.append(Keep(self.boot, self.incarnation))
            self._take(self.me)
            self._worse(1)
            self._say("membership.refuted", incarnation=self.incarnation, by=entry.by, state=int(entry.state))

    def _rivalled(self, entry: Entry) -> None:
        """Another process has this name and a later boot."""
        if entry.replaces:
            self._stop("replaced", entry.address)
        elif entry.address == self.me.address:
            self._outbid(entry)  # an earlier process here, with a clock that was ahead
        elif self.now_us - self.present_us < YOUNG_US:
            self._stop("refused", entry.address)
        else:
            self._say("membership.name_taken", by=f"{entry.host}:{entry.port}", boot=entry.boot)
            self._outbid(entry)
            self._send(entry.address, Entries([]), self.me)

    def _outbid(self, entry: Entry) -> None:
        """A boot later than that one's, as this process is the later, or was here first."""
        self.boot = entry.boot + 1
        self._actions.append(Keep(self.boot, self.incarnation))
        self._take(self.me)

    def _stop(self, why: str, by: Address | None = None) -> None:
        self.phase = "stopped"
        self._heap.clear()
        self._say("membership.stopped", why=why, by=f"{by[0]}:{by[1]}" if by else "")
        self._actions.append(Stopped(why, by))

    # Receiving

    def _fresh(self, received: Received, address: Address) -> bool:
        """Whether it is new: each sequence number of a sender counts once, and an earlier boot's not at all."""
        if isinstance(received.body, Join):
            return True  # of a process that has no boot of its own yet; it changes nothing here
        heard = self._heard.get(received.sender)
        if heard is None or received.boot > heard[0]:
            self._heard[received.sender] = [received.boot, received.sequence, 1]
            return True
        behind = heard[1] - received.sequence
        if received.boot < heard[0]:
            self.counted["old boot"] += 1
            entry = self.view.entries.get(received.sender)
            if entry is not None and entry.boot > received.boot:
                self._send(address, Entries([]), entry)  # it may not know yet that another has taken its place
            return False
        if behind < 0:
            heard[1], heard[2] = received.sequence, ((heard[2] << min(-behind, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            return True
        if behind >= WINDOW or heard[2] >> behind & 1:
            self.counted["replayed"] += 1
            return False
        heard[2] |= 1 << behind
        return True

    def _received(self, received: Received, address: Address) -> None:
        body, sender = received.body, received.sender
        for entry in received.gossip:
            self._learn(entry, sender)
        if self.phase == "stopped":
            return
        known = self.view.entries.get(sender)
        if (
            self.phase == "present"
            and (known is None or known.boot != received.boot or not counts(known))
            and not isinstance(body, Join | Buckets)
            and self.now_us - self._synced_us >= STRANGER_US
        ):
            # hazard: one that came while nobody could tell of it would wait for its own probes to find the others
            self._synced_us = self.now_us
            self._send(address, Buckets(self.view.digests, answer=True), known)
        if isinstance(body, Join):
            self._on_joiner(body, address)
        elif isinstance(body, Welcome):
            self.welcomed = max(self.welcomed, body.members)
            self.acknowledged = True
            self._welcomed(body.known)
        elif isinstance(body, Ping):
            self._on_ping(body, sender, address)
        elif isinstance(body, Ack):
            if self._clash is not None and body.number == self._clash[0] and address == self._clash[1].address:
                self._stop("refused", address)
                return
            self._answered(body.number)
            self._compare(sender, body.digest)
        elif isinstance(body, PingReq):
            self._relay(body, address)
        elif isinstance(body, Nack) and body.number in self.probes:
            self.probes[body.number].nacks += 1
        elif isinstance(body, Buckets):
            self._on_buckets(body, address)
        elif isinstance(body, Entries):
            self.differs = [e.name for e in body.entries if self.view.entries.get(e.name) != e][:8] or self.differs
            self._catching_up = self.now_us - self.present_us < CATCH_UP_US
            for entry in body.entries:
                self._learn(entry, sender)
            self._catching_up = False

    def _on_joiner(self, body: Join, address: Address) -> None:
        if self.phase == "present" and body.entry.name != self.name:
            self._send(address, Welcome(self.view.entries.get(body.entry.name), self.view.present))
            self._send(address, Buckets(self.view.digests, answer=True))
        elif self.phase == "present":
            self._send(address, Welcome(self.me))

    def _on_ping(self, ping: Ping, sender: str, address: Address) -> None:
        if ping.target != self.name:
            return  # meant for one that was here before
        if ping.clash:
            if self.phase == "present":
                self._say("membership.name_taken", by=f"{address[0]}:{address[1]}", boot=self.boot)
                self._send(address, Ack(ping.number, self.view.digest))
            return
        if self.phase == "present":
            self._send(address, Ack(ping.number, self.view.digest), self._unsure(sender))
            self._compare(sender, ping.digest)

    # Agreement

    def _compare(self, sender: str, digest: int) -> None:
        if digest == self.view.digest or not digest:
            self.disputes.pop(sender, None)
            return
        dispute = self.disputes.setdefault(sender, Dispute(self.now_us, 0, 0))
        dispute.heard_us, dispute.digest = self.now_us, digest
        entry = self.view.entries.get(sender)
        # hazard: while much changes all views differ, and gossip is on its way; full exchanges would only add to it
        quiet = self.now_us - self._news_us >= DISPUTE_US or self.now_us - self._synced_us >= LONGEST_SYNC_US
        if entry is not None and quiet and self.phase == "present" and self.now_us - self._synced_us >= SYNC_US:
            self._synced_us = self.now_us
            self._send(entry.address, Buckets(self.view.digests, answer=True))

    def _on_buckets(self, body: Buckets, address: Address) -> None:
        own = self.view.digests
        if len(body.digests) != len(own):
            self.counted["malformed"] += 1
            return
        differing = [number for number, digest in enumerate(own) if digest != body.digests[number]]
        entries = [entry for number in differing for entry in self.view.in_bucket(number)]
        while entries:
            part, room = [], self.codec.room(self.name, Entries([])) - 8
            while entries and room >= self.codec.size(entries[-1]):
                room -= self.codec.size(entries[-1])
                part.append(entries.pop())
            if not part:
                entries.pop()  # hazard: one that fits nowhere would be tried for ever
                continue
            data = self.codec.encode(self.name, self.boot, Entries(part), [])
            self._actions.append(SendTo(address, data))
        if body.answer:
            self._send(address, Buckets(own))

    def disputed(self) -> dict[str, Dispute]:
        """The members heard of late that see it otherwise, and not only for news that is under way."""
        own = self.view.digest
        return {
            name: d
            for name, d in sorted(self.disputes.items())
            if d.digest != own and self.now_us - d.since_us >= DISPUTE_US and self.now_us - d.heard_us < HEARD_US
        }

    @property
    def agreed(self) -> bool:
        return not self.disputed()

    def _on_gossip(self) -> None:
        self._at(self.now_us + GOSSIP_US, "gossip")
        self.disputes = {name: d for name, d in self.disputes.items() if self.now_us - d.heard_us < HEARD_US}
        if self.view.telling():
            for other in self.view.sample(self.random, GOSSIP_TO, {self.name}):
                self._send(other.address, Entries([]))

    def _on_again(self) -> None:
        """One that has failed may be on the other side of a split; a seed that is not there may be, too."""
        self._at(self.now_us + int(AGAIN_US * (0.5 + self.random.random())), "again")
        lost: list[Address] = [e.address for e in self.view.entries.values() if e.state == State.FAILED]
        there = {e.address for e in self.view.entries.values() if counts(e)}
        # hazard: a seed that left and came back alone would find nobody, as all others know that it has left
        lost += [seed for seed in self.settings.seeds if seed not in there]
        if not lost:
            return
        # hazard: the one who welcomed it may have died since; to find one of several seeds by chance may take too long
        alone = self.view.present <= 1
        for address in lost if alone else [self.random.choice(lost)]:
            self._find(address)

    def _find(self, address: Address) -> None:
        """Whoever is there hears of this member and of what it knows."""
        entry = next((e for e in self.view.entries.values() if e.address == address), None)
        if entry is None:
            self._send(address, Buckets(self.view.digests, answer=True), self.me)
        else:
            self._number += 1
            self._send(address, Ping(self._number, entry.name, self.view.digest), entry)

    # Leaving

    def _leave(self) -> None:
        if self.phase == "present":
            self.phase = "leaving"  # hazard: a member refutes whatever is said of it, even its own leaving
            self._take(structs.replace(self.me, state=State.LEFT, by=self.name))
            self._heap.clear()
            self._on_farewell(FAREWELLS)
        else:
            self._stop("left")

    def _on_farewell(self, rounds: int) -> None:
        for other in self.view.sample(self.random, GOSSIP_TO, {self.name}):
            self._send(other.address, Entries([]), self.view.entries[self.name])
        if rounds > 1:
            self._at(self.now_us + GOSSIP_US, "farewell", rounds - 1)
        else:
            self._stop("left")
