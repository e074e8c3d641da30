"""Full exchange between members whose views differ: by digests of buckets, then the buckets that differ."""

from __future__ import annotations

from msgspec import Struct

from garnetusher.membership.codec import DropReason
from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.merge import EntryMerger
from garnetusher.membership.messages import Address, BucketDigests, Entries, Entry
from garnetusher.membership.state import MemberState, Phase

EXCHANGE_INTERVAL_US = 1_000_000  # between exchanges with members whose views differ
UNKNOWN_MEMBER_INTERVAL_US = 250_000  # between exchanges with members that are heard but not known
MAX_EXCHANGE_INTERVAL_US = 4_000_000  # without an exchange while changes keep coming and views differ
CATCH_UP_US = 500_000  # after joining, in which entries from an exchange are known to the others already
DISPUTE_AFTER_US = 300_000  # that two views differ before it is more than gossip under way
DIGEST_VALID_US = 2_000_000  # after which a member's last digest is too old to compare with
ENTRIES_HEADER_BYTES = 8  # reserved for the list of entries itself
MAX_DIFFERING_NAMES = 8  # that are kept for operators


class Dispute(Struct):
    """A member whose view differed when it was last heard.

    Attributes:
        since_us: when its view first differed.
        heard_us: when its digest was last received.
        digest: its last digest.
    """

    since_us: int
    heard_us: int
    digest: int


class AntiEntropy:
    """Compares digests and repairs what differs.

    Attributes:
        differing_names: names on which the last exchange differed.
    """

    def __init__(self, state: MemberState, dissemination: Dissemination, merger: EntryMerger) -> None:
        self._state = state
        self._dissemination = dissemination
        self._merger = merger
        self._disputes: dict[str, Dispute] = {}
        self._last_exchange_us = 0
        self.differing_names: list[str] = []

    def request(self, address: Address, first: Entry | None = None) -> None:
        """Send this view's bucket digests, and ask for the recipient's."""
        self._state.send(address, BucketDigests(self._state.view.bucket_digests, reply_requested=True), first)

    def contact_unknown_member(self, address: Address, known_entry: Entry | None) -> None:
        """Exchange with a member that is heard but not believed active.

        One that joined while no broadcast reached this process would otherwise wait for its own probes to find it.
        """
        state = self._state
        if state.now_us - self._last_exchange_us >= UNKNOWN_MEMBER_INTERVAL_US:
            self._last_exchange_us = state.now_us
            self.request(address, known_entry)

    def compare(self, sender: str, digest: int) -> None:
        """Compare a member's digest with this view's, and begin an exchange where they differ and nothing is new."""
        state = self._state
        if digest == state.view.digest or not digest:
            self._disputes.pop(sender, None)
            return
        dispute = self._disputes.setdefault(sender, Dispute(state.now_us, 0, 0))
        dispute.heard_us = state.now_us
        dispute.digest = digest
        entry = state.view.entries.get(sender)
        if entry is not None and state.phase == Phase.PRESENT and self._may_exchange():
            self._last_exchange_us = state.now_us
            self.request(entry.address)

    def _may_exchange(self) -> bool:
        """Return whether an exchange helps: while much changes all views differ, and gossip is on its way."""
        now_us = self._state.now_us
        since_exchange_us = now_us - self._last_exchange_us
        if since_exchange_us < EXCHANGE_INTERVAL_US:
            return False
        is_quiet = now_us - self._dissemination.last_change_us >= DISPUTE_AFTER_US
        return is_quiet or since_exchange_us >= MAX_EXCHANGE_INTERVAL_US

    def handle_digests(self, message: BucketDigests, address: Address) -> None:
        """Send the entries of the buckets that differ, and this view's digests where they are asked for."""
        own_digests = self._state.view.bucket_digests
        if len(message.digests) != len(own_digests):
            self._state.dropped[DropReason.MALFORMED.value] += 1
            return
        differing = [index for index, digest in enumerate(own_digests) if digest != message.digests[index]]
        self._send_buckets(differing, address)
        if message.reply_requested:
            self._state.send(address, BucketDigests(own_digests))

    def _send_buckets(self, bucket_indexes: list[int], address: Address) -> None:
        state = self._state
        remaining = [entry for index in bucket_indexes for entry in state.view.in_bucket(index)]
        while remaining:
            part = self._take_part(remaining)
            if part:
                state.send_entries(address, part)
            else:
                remaining.pop()  # it fits into no datagram

    def _take_part(self, remaining: list[Entry]) -> list[Entry]:
        """Remove as many entries from the end as fit into one datagram, and return them."""
        codec = self._state.codec
        room = codec.room(self._state.name, Entries([])) - ENTRIES_HEADER_BYTES
        part = []
        while remaining and room >= codec.size(remaining[-1]):
            room -= codec.size(remaining[-1])
            part.append(remaining.pop())
        return part

    def handle_entries(self, message: Entries, sender: str) -> None:
        """Merge entries that another member has sent."""
        state = self._state
        entries = state.view.entries
        differing = [entry.name for entry in message.entries if entries.get(entry.name) != entry]
        self.differing_names = differing[:MAX_DIFFERING_NAMES] or self.differing_names
        self._dissemination.catching_up = state.now_us - state.present_since_us < CATCH_UP_US
        for entry in message.entries:
            self._merger.merge(entry, sender)
        self._dissemination.catching_up = False

    def discard_old_disputes(self) -> None:
        """Drop disputes with members that were not heard of late."""
        self._disputes = {name: dispute for name, dispute in self._disputes.items() if self._is_recent(dispute)}

    def disputes(self) -> dict[str, Dispute]:
        """Return the members heard of late whose views differ for longer than gossip takes."""
        return {name: dispute for name, dispute in sorted(self._disputes.items()) if self._is_confirmed(dispute)}

    def _is_confirmed(self, dispute: Dispute) -> bool:
        differs_us = self._state.now_us - dispute.since_us
        return dispute.digest != self._state.view.digest and differs_us >= DISPUTE_AFTER_US and self._is_recent(dispute)

    def _is_recent(self, dispute: Dispute) -> bool:
        return self._state.now_us - dispute.heard_us < DIGEST_VALID_US
