"""One process's view of the members: which entry supersedes which, digests of the view, and pending broadcasts."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterator

import xxhash

from garnetusher.membership.codec import Codec
from garnetusher.membership.messages import Entry

BUCKETS = 32  # of names: a full exchange sends only the buckets that differ
BROADCAST_FACTOR = 4  # times log2 of the view's size that each change is sent or received again: SWIM's lambda
FORGET_AFTER_US = (
    600_000_000  # a member that failed or left is forgotten: longer than any split that is expected to heal
)
SAMPLE_DRAWS_PER_MEMBER = 4


class State(enum.IntEnum):
    """What is believed of a member; the numbers are on the wire.

    Of two entries of one generation and incarnation, the one with the higher state supersedes the other.
    """

    PRESENT = 0
    SUSPECTED = 1  # it does not answer, and may still refute it
    FAILED = 2
    LEFT = 3  # as it has said itself


def is_active(entry: Entry) -> bool:
    """Return whether the member is present or suspected: a suspected member may be well."""
    return entry.state <= State.SUSPECTED


def supersedes(candidate: Entry, current: Entry) -> bool:
    """Return whether the candidate replaces the current entry of the same name."""
    return (candidate.generation, candidate.incarnation, candidate.state) > (
        current.generation,
        current.incarnation,
        current.state,
    )


def bucket_index(name: str) -> int:
    """Return the number of the bucket that a name belongs to."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


class View:
    """All entries by name, with digests that are updated with each entry.

    Attributes:
        entries: by name, in the order of their first appearance.
        since_us: when each member's state was taken.
        present: how many members are active.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.since_us: dict[str, int] = {}
        self.present = 0
        self._buckets = [0] * BUCKETS
        self._broadcast_counts: dict[str, int] = {}  # of pending broadcasts
        self._pending_by_count: list[dict[str, None]] = []  # the same names by count, each level oldest first

    def apply(self, entry: Entry, now_us: int, *, broadcast: bool = True) -> Entry | None:
        """Replace a member's entry.

        Args:
            entry: the new entry.
            now_us: the time.
            broadcast: whether to queue it for broadcast.

        Returns:
            The entry that was replaced, if there was one.
        """
        previous = self.entries.get(entry.name)
        self._toggle_in_digest(previous)
        self._toggle_in_digest(entry)
        self.entries[entry.name] = entry
        if previous is None or previous.state != entry.state or previous.generation != entry.generation:
            self.since_us[entry.name] = now_us
        self.present += int(is_active(entry)) - int(previous is not None and is_active(previous))
        self._set_broadcast_count(entry.name, 0 if broadcast else None)
        return previous

    def forget_inactive(self, now_us: int) -> None:
        """Drop members that failed or left long ago."""
        for name in [name for name, entry in self.entries.items() if self._is_outdated(entry, now_us)]:
            self._toggle_in_digest(self.entries.pop(name))
            del self.since_us[name]
            self._set_broadcast_count(name, None)

    def _is_outdated(self, entry: Entry, now_us: int) -> bool:
        return not is_active(entry) and now_us - self.since_us[entry.name] > FORGET_AFTER_US

    # Digests

    @property
    def digest(self) -> int:
        """Digest of the complete view: equal views have equal digests."""
        return xxhash.xxh64_intdigest(b"".join(bucket.to_bytes(8, "big") for bucket in self._buckets))

    @property
    def bucket_digests(self) -> list[int]:
        """Digest of each bucket."""
        return list(self._buckets)

    def in_bucket(self, index: int) -> Iterator[Entry]:
        """Yield the entries of one bucket."""
        return (entry for entry in self.entries.values() if bucket_index(entry.name) == index)

    def _toggle_in_digest(self, entry: Entry | None) -> None:
        """Add an entry to its bucket's digest or remove it: exclusive or does not depend on the order."""
        if entry is not None:
            text = f"{entry.name}\0{entry.generation}\0{entry.incarnation}\0{int(entry.state)}"
            self._buckets[bucket_index(entry.name)] ^= xxhash.xxh64_intdigest(text.encode())

    # Broadcasts

    def has_pending_broadcasts(self) -> bool:
        """Return whether there are changes that are still to be broadcast."""
        return bool(self._broadcast_counts)

    def select_gossip(self, room: int, first: Entry | None = None) -> list[Entry]:
        """Choose pending broadcasts for a datagram, the least often sent first, and count them as sent.

        Args:
            room: bytes that are left in the datagram.
            first: an entry that goes before all others.
        """
        chosen = [first] if first is not None else []
        room -= Codec.size(first) if first is not None else 0
        for entry in self._pending_entries():
            size = Codec.size(entry)
            if size > room:
                break
            if entry is not first:
                room -= size
                chosen.append(entry)
        for entry in chosen:
            self.count_broadcast(entry)
        return chosen

    def count_broadcast(self, entry: Entry) -> None:
        """Count that an entry was sent, or received from another member: what all know needs no broadcast."""
        if entry.name in self._broadcast_counts and self.entries.get(entry.name) == entry:
            count = self._broadcast_counts[entry.name] + 1
            limit = BROADCAST_FACTOR * max(1, math.ceil(math.log2(len(self.entries) + 1)))
            self._set_broadcast_count(entry.name, count if count < limit else None)

    def _pending_entries(self) -> Iterator[Entry]:
        return (self.entries[name] for level in self._pending_by_count for name in level)

    def _set_broadcast_count(self, name: str, count: int | None) -> None:
        """Queue a name at that count; None removes it from the queue."""
        previous = self._broadcast_counts.pop(name, None)
        if previous is not None:
            del self._pending_by_count[previous][name]
        if count is None:
            return
        self._broadcast_counts[name] = count
        while len(self._pending_by_count) <= count:
            self._pending_by_count.append({})
        self._pending_by_count[count][name] = None

    # Selection of members

    def active_except(self, name: str) -> list[Entry]:
        """Return all active members but the one named, in the order of their names."""
        others = (self.entries[other] for other in sorted(self.entries) if other != name)
        return [entry for entry in others if is_active(entry)]

    def sample(self, rng: random.Random, count: int, excluded: set[str]) -> list[Entry]:
        """Return at most `count` different active members, drawn at random."""
        found: list[Entry] = []
        names = list(self.entries)
        draws = SAMPLE_DRAWS_PER_MEMBER * count if names else 0  # enough, as most members of a view are active
        for _ in range(draws):
            entry = self.entries[rng.choice(names)]
            if is_active(entry) and entry.name not in excluded and len(found) < count:
                found.append(entry)
                excluded = excluded | {entry.name}
        return found
