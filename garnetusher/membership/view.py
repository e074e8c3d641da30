"""One process's view of the members: the precedence of entries, digests of the view, and pending broadcasts."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterator

import xxhash

from garnetusher.membership.codec import Codec
from garnetusher.membership.messages import Entry

BUCKETS = 32  # names are hashed into this many buckets; a full exchange sends only the buckets that differ
# A change is broadcast until the number of times that it was sent, plus the number of times that it was received again,
# reaches BROADCAST_FACTOR * log2(view size). SWIM calls this factor lambda.
BROADCAST_FACTOR = 4
# A member that failed or left is removed after this time, which is longer than the network splits that are expected to
# heal.
FORGET_AFTER_US = 600_000_000
SAMPLE_DRAWS_PER_MEMBER = 4


class State(enum.IntEnum):
    """The state that a process believes a member to be in; the numbers are part of the wire format.

    Of two entries with the same generation and incarnation, the one with the higher state supersedes the other.
    """

    PRESENT = 0
    SUSPECTED = 1  # the member does not answer, and may still refute the suspicion
    FAILED = 2
    LEFT = 3  # the member announced that it leaves


def is_active(entry: Entry) -> bool:
    """Return whether the member is present or suspected; a suspected member may be working."""
    return entry.state <= State.SUSPECTED


def supersedes(candidate: Entry, current: Entry) -> bool:
    """Return whether the candidate supersedes the current entry for the same name."""
    return (candidate.generation, candidate.incarnation, candidate.state) > (
        current.generation,
        current.incarnation,
        current.state,
    )


def bucket_index(name: str) -> int:
    """Return the index of the bucket that contains a name."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


class View:
    """All entries by name, with digests that are updated with each entry.

    Attributes:
        entries: Entries keyed by name, in the order in which the names first appeared.
        state_since_us: For each name, the time at which this view learned the member's current state.
        active_count: The number of members that are present or suspected.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.state_since_us: dict[str, int] = {}
        self.active_count = 0
        self._buckets = [0] * BUCKETS
        self._broadcast_counts: dict[str, int] = {}  # the number of times each pending entry was sent or received again
        self._pending_by_count: list[dict[str, None]] = []  # the same names, grouped by count, oldest first

    def apply(self, entry: Entry, now_us: int, *, broadcast: bool = True) -> Entry | None:
        """Add or replace the entry of a member.

        Args:
            entry: The new entry.
            now_us: The current time.
            broadcast: Whether to queue the entry for broadcast.

        Returns:
            The entry that was replaced, or None.
        """
        previous = self.entries.get(entry.name)
        self._toggle_in_digest(previous)
        self._toggle_in_digest(entry)
        self.entries[entry.name] = entry
        if previous is None or previous.state != entry.state or previous.generation != entry.generation:
            self.state_since_us[entry.name] = now_us
        self.active_count += int(is_active(entry)) - int(previous is not None and is_active(previous))
        self._set_broadcast_count(entry.name, 0 if broadcast else None)
        return previous

    def forget_inactive(self, now_us: int) -> None:
        """Remove members that failed or left more than `FORGET_AFTER_US` ago."""
        for name in [name for name, entry in self.entries.items() if self._is_outdated(entry, now_us)]:
            self._toggle_in_digest(self.entries.pop(name))
            del self.state_since_us[name]
            self._set_broadcast_count(name, None)

    def _is_outdated(self, entry: Entry, now_us: int) -> bool:
        return not is_active(entry) and now_us - self.state_since_us[entry.name] > FORGET_AFTER_US

    # Digests

    @property
    def digest(self) -> int:
        """The digest of the complete view; equal views have equal digests."""
        return xxhash.xxh64_intdigest(b"".join(bucket.to_bytes(8, "big") for bucket in self._buckets))

    @property
    def bucket_digests(self) -> list[int]:
        """The digest of each bucket."""
        return list(self._buckets)

    def entries_in_bucket(self, index: int) -> Iterator[Entry]:
        """Yield the entries in one bucket."""
        return (entry for entry in self.entries.values() if bucket_index(entry.name) == index)

    def _toggle_in_digest(self, entry: Entry | None) -> None:
        """Add an entry to its bucket's digest, or remove it.

        Digests are combined with exclusive or, so they do not depend on the order of entries.
        """
        if entry is not None:
            text = f"{entry.name}\0{entry.generation}\0{entry.incarnation}\0{int(entry.state)}"
            self._buckets[bucket_index(entry.name)] ^= xxhash.xxh64_intdigest(text.encode())

    # Broadcasts

    def has_pending_broadcasts(self) -> bool:
        """Return whether any change still has to be broadcast."""
        return bool(self._broadcast_counts)

    def select_gossip(self, available_bytes: int, priority_entry: Entry | None = None) -> list[Entry]:
        """Choose pending broadcasts for a datagram, those with the lowest count first, and count them as sent.

        Args:
            available_bytes: Number of bytes that are left in the datagram.
            priority_entry: An entry to send before all others.
        """
        chosen = [priority_entry] if priority_entry is not None else []
        available_bytes -= Codec.encoded_size(priority_entry) if priority_entry is not None else 0
        for entry in self._pending_entries():
            size = Codec.encoded_size(entry)
            if size > available_bytes:
                break
            if entry is not priority_entry:
                available_bytes -= size
                chosen.append(entry)
        for entry in chosen:
            self.count_broadcast(entry)
        return chosen

    def count_broadcast(self, entry: Entry) -> None:
        """Count that an entry was sent, or was received again from another member.

        An entry that reaches the limit is no longer broadcast, as most members know it by then.
        """
        if entry.name in self._broadcast_counts and self.entries.get(entry.name) == entry:
            count = self._broadcast_counts[entry.name] + 1
            limit = BROADCAST_FACTOR * max(1, math.ceil(math.log2(len(self.entries) + 1)))
            self._set_broadcast_count(entry.name, count if count < limit else None)

    def _pending_entries(self) -> Iterator[Entry]:
        return (self.entries[name] for names in self._pending_by_count for name in names)

    def _set_broadcast_count(self, name: str, count: int | None) -> None:
        """Queue a name for broadcast with the given count; None removes it from the queue."""
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
        """Return all active members except the named one, sorted by name."""
        others = (self.entries[other] for other in sorted(self.entries) if other != name)
        return [entry for entry in others if is_active(entry)]

    def sample(self, rng: random.Random, count: int, excluded: set[str]) -> list[Entry]:
        """Return up to `count` distinct active members, chosen at random; `excluded` holds names to leave out."""
        found: list[Entry] = []
        names = list(self.entries)
        # Most members of a view are active, so this number of draws finds enough of them.
        draws = SAMPLE_DRAWS_PER_MEMBER * count if names else 0
        for _ in range(draws):
            entry = self.entries[rng.choice(names)]
            if is_active(entry) and entry.name not in excluded and len(found) < count:
                found.append(entry)
                excluded = excluded | {entry.name}
        return found
