"""One process's view of who is there: which entry goes before which, digests of it, and what is still to be told."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterator

import xxhash

from garnetusher.membership.messages import Codec, Entry

BUCKETS = 32  # of names: what differs is sent by the bucket, so a full exchange costs by what differs
TELL_TIMES = 4  # times log2 of the view's size that each change is told, or heard again: SWIM's lambda
FORGET_US = 600_000_000  # after which a member that failed or left is forgotten: long beside any split that is mended


class State(enum.IntEnum):
    """Of two entries of one boot and incarnation, the higher state goes before the lower."""

    PRESENT = 0
    DOUBTED = 1  # suspected: not heard of, and may still refute it
    FAILED = 2
    LEFT = 3  # as it has said itself


def newer(a: Entry, b: Entry) -> bool:
    """Whether `a` goes before `b`, which is of the same name."""
    return (a.boot, a.incarnation, a.state) > (b.boot, b.incarnation, b.state)


class View:
    """All entries by name. Digests change with each entry and cost nothing to ask for."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.since_us: dict[str, int] = {}  # when the entry's state was taken
        self._buckets = [0] * BUCKETS
        self._told: dict[str, int] = {}  # changes still to be told, and how often each has been
        self._levels: list[dict[str, None]] = []  # the same by how often, the oldest first
        self.present = 0  # or doubted: those that count

    def take(self, entry: Entry, now_us: int, tell: bool = True) -> Entry | None:
        """Put it in place of the one before, which is returned; to be told on, unless it is no news."""
        before = self.entries.get(entry.name)
        self._mix(before)
        self._mix(entry)
        self.entries[entry.name] = entry
        if before is None or before.state != entry.state or before.boot != entry.boot:
            self.since_us[entry.name] = now_us
        self.present += int(counts(entry)) - int(before is not None and counts(before))
        self._tell(entry.name, 0 if tell else None)
        return before

    def forget(self, now_us: int) -> None:
        """Drop what failed or left long ago."""
        for name in [n for n, e in self.entries.items() if not counts(e) and now_us - self.since_us[n] > FORGET_US]:
            self._mix(self.entries.pop(name))
            del self.since_us[name]
            self._tell(name, None)

    # Digests

    def _mix(self, entry: Entry | None) -> None:
        """Into, or out of, its bucket: the exclusive or of all entries' hashes does not depend on their order."""
        if entry is not None:
            text = f"{entry.name}\0{entry.boot}\0{entry.incarnation}\0{int(entry.state)}"
            self._buckets[bucket(entry.name)] ^= xxhash.xxh64_intdigest(text.encode())

    @property
    def digest(self) -> int:
        """Of the whole view: equal views have equal digests."""
        return xxhash.xxh64_intdigest(b"".join(b.to_bytes(8, "big") for b in self._buckets))

    @property
    def digests(self) -> list[int]:
        return list(self._buckets)

    def in_bucket(self, number: int) -> Iterator[Entry]:
        return (e for e in self.entries.values() if bucket(e.name) == number)

    # Gossip

    def telling(self) -> bool:
        return bool(self._told)

    def gossip(self, room: int, first: Entry | None = None) -> list[Entry]:
        """What is to be told, the least told first, as far as it fits; `first` goes before all."""
        chosen = [first] if first is not None else []
        room -= Codec.size(first) if first is not None else 0
        for level in self._levels:
            for name in level:
                entry = self.entries[name]
                size = Codec.size(entry)
                if size > room:
                    break
                if entry is not first:
                    room -= size
                    chosen.append(entry)
            else:
                continue
            break
        for entry in chosen:
            self.told(entry)
        return chosen

    def told(self, entry: Entry) -> None:
        """It has been told, or somebody else has told it here: what all know need not be told on (Demers et al.)."""
        if entry.name in self._told and self.entries.get(entry.name) == entry:
            times = self._told[entry.name] + 1
            most = TELL_TIMES * max(1, math.ceil(math.log2(len(self.entries) + 1)))
            self._tell(entry.name, times if times < most else None)

    def _tell(self, name: str, times: int | None) -> None:
        before = self._told.pop(name, None)
        if before is not None:
            del self._levels[before][name]
        if times is not None:
            self._told[name] = times
            while len(self._levels) <= times:
                self._levels.append({})
            self._levels[times][name] = None

    # Whom to ask

    def others(self, name: str) -> list[Entry]:
        """Those that count, but for this one, in the order of their names."""
        return [self.entries[n] for n in sorted(self.entries) if n != name and counts(self.entries[n])]

    def sample(self, rng: random.Random, count: int, without: set[str]) -> list[Entry]:
        """Some of those that count, each different."""
        found: list[Entry] = []
        names = list(self.entries)
        for _ in range(4 * count if names else 0):  # a view is mostly of members that count
            entry = self.entries[rng.choice(names)]
            if counts(entry) and entry.name not in without and len(found) < count:
                found.append(entry)
                without = without | {entry.name}
        return found


def counts(entry: Entry) -> bool:
    """A doubted member counts until it has failed: it may be well."""
    return entry.state <= State.DOUBTED


def bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS
