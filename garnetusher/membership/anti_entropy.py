"""Anti-entropy: members whose views differ exchange digests of buckets, then the buckets that differ."""

from __future__ import annotations

from msgspec import Struct

from garnetusher.membership.codec import DropReason
from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.merge import EntryMerger
from garnetusher.membership.messages import Address, BucketDigests, Entries, Entry
from garnetusher.membership.state import Phase, ProtocolState

MIN_EXCHANGE_INTERVAL_US = 1_000_000  # minimum time between exchanges with members whose views differ
UNKNOWN_MEMBER_INTERVAL_US = 250_000  # minimum time between exchanges with members that are not in the view
MAX_EXCHANGE_INTERVAL_US = 4_000_000  # after this time, an exchange begins even if the view keeps changing
# Entries from an exchange are not broadcast for this time after joining, as the other members already know them.
CATCH_UP_US = 500_000
DISPUTE_AFTER_US = 300_000  # views that differ for less time may only wait for gossip in transit
DIGEST_VALID_US = 2_000_000  # a member's last digest is too old for a comparison after this time
ENTRIES_HEADER_BYTES = 8  # this many bytes are reserved for the header of the MessagePack list of entries
MAX_DIFFERING_NAMES = 8  # at most this many names are kept for the admin address


class Dispute(Struct):
    """A difference between this view and the view of another member, according to its last digest.

    Attributes:
        since_us: The time at which the views first differed.
        digest_received_us: The time at which the other member's last digest arrived.
        digest: The other member's last digest.
    """

    since_us: int
    digest_received_us: int
    digest: int


class AntiEntropy:
    """Compares digests of views and exchanges the entries that differ.

    Attributes:
        differing_names: Names of members whose entries differed in the last exchange that found a difference.
    """

    def __init__(self, state: ProtocolState, dissemination: Dissemination, merger: EntryMerger) -> None:
        self._state = state
        self._dissemination = dissemination
        self._merger = merger
        self._disputes: dict[str, Dispute] = {}
        self._last_exchange_us = 0
        self.differing_names: list[str] = []

    def begin_exchange(self, address: Address, priority_entry: Entry | None = None) -> None:
        """Begin an exchange: send the bucket digests of this view, and request those of the recipient."""
        self._state.send(address, BucketDigests(self._state.view.bucket_digests, reply_requested=True), priority_entry)

    def contact_unknown_member(self, address: Address, known_entry: Entry | None) -> None:
        """Begin an exchange with a member that sent a datagram but is not active in this view.

        Without this exchange, a new member whose broadcasts do not reach this process would stay unknown here until one
        of its own probes reveals that the views differ.
        """
        state = self._state
        if state.now_us - self._last_exchange_us >= UNKNOWN_MEMBER_INTERVAL_US:
            self._last_exchange_us = state.now_us
            self.begin_exchange(address, known_entry)

    def compare(self, sender: str, digest: int) -> None:
        """Compare the digest of a member with that of this view, and begin an exchange if one is needed."""
        state = self._state
        if digest == state.view.digest or not digest:
            self._disputes.pop(sender, None)
            return
        dispute = self._disputes.setdefault(sender, Dispute(state.now_us, 0, 0))
        dispute.digest_received_us = state.now_us
        dispute.digest = digest
        entry = state.view.entries.get(sender)
        if entry is not None and state.phase == Phase.PRESENT and self._may_exchange():
            self._last_exchange_us = state.now_us
            self.begin_exchange(entry.address)

    def _may_exchange(self) -> bool:
        """Return whether to begin an exchange now.

        While the view keeps changing, an exchange waits, because gossip resolves most of the differences soon.
        """
        now_us = self._state.now_us
        since_exchange_us = now_us - self._last_exchange_us
        if since_exchange_us < MIN_EXCHANGE_INTERVAL_US:
            return False
        is_quiet = now_us - self._dissemination.last_change_us >= DISPUTE_AFTER_US
        return is_quiet or since_exchange_us >= MAX_EXCHANGE_INTERVAL_US

    def handle_digests(self, message: BucketDigests, address: Address) -> None:
        """Send the entries of the buckets that differ, and the digests of this view if the sender asks for them."""
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
        remaining = [entry for index in bucket_indexes for entry in state.view.entries_in_bucket(index)]
        while remaining:
            batch = self._take_batch(remaining)
            if batch:
                state.send_entries(address, batch)
            else:
                remaining.pop()  # the last entry alone does not fit into a datagram

    def _take_batch(self, remaining: list[Entry]) -> list[Entry]:
        """Remove as many entries from the end of the list as fit into one datagram, and return them."""
        codec = self._state.codec
        available_bytes = codec.gossip_capacity(self._state.name, Entries([])) - ENTRIES_HEADER_BYTES
        batch = []
        while remaining and available_bytes >= codec.encoded_size(remaining[-1]):
            available_bytes -= codec.encoded_size(remaining[-1])
            batch.append(remaining.pop())
        return batch

    def handle_entries(self, message: Entries, sender: str) -> None:
        """Merge the entries that another member sent."""
        state = self._state
        entries = state.view.entries
        differing = [entry.name for entry in message.entries if entries.get(entry.name) != entry]
        self.differing_names = differing[:MAX_DIFFERING_NAMES] or self.differing_names
        self._dissemination.catching_up = state.now_us - state.present_since_us < CATCH_UP_US
        for entry in message.entries:
            self._merger.merge(entry, sender)
        self._dissemination.catching_up = False

    def discard_old_disputes(self) -> None:
        """Remove disputes with members that sent no digest recently."""
        self._disputes = {name: dispute for name, dispute in self._disputes.items() if self._is_recent(dispute)}

    def disputes(self) -> dict[str, Dispute]:
        """Return the disputes with recent digests that have lasted longer than gossip takes to spread.

        The result is keyed by the name of the other member.
        """
        return {name: dispute for name, dispute in sorted(self._disputes.items()) if self._is_lasting(dispute)}

    def _is_lasting(self, dispute: Dispute) -> bool:
        differs_us = self._state.now_us - dispute.since_us
        return dispute.digest != self._state.view.digest and differs_us >= DISPUTE_AFTER_US and self._is_recent(dispute)

    def _is_recent(self, dispute: Dispute) -> bool:
        return self._state.now_us - dispute.digest_received_us < DIGEST_VALID_US
