"""The membership protocol of one process: dispatches events to the components of the protocol.

A member probes one other member per period. A member that answers neither directly nor through others is suspected,
and the suspicion is broadcast. The suspected member either refutes the suspicion with a higher incarnation or counts as
failed. This module uses no clock, socket or file.
"""

from __future__ import annotations

from collections import Counter

from garnetusher.membership import log_events
from garnetusher.membership.actions import Action, StopReason
from garnetusher.membership.anti_entropy import AntiEntropy, Dispute
from garnetusher.membership.codec import Codec, DropReason, Received
from garnetusher.membership.dissemination import GOSSIP_PERIOD_US, Dissemination
from garnetusher.membership.events import DatagramReceived, Event, LeaveRequested
from garnetusher.membership.failure_detector import FailureDetector
from garnetusher.membership.join import REJOIN_INTERVAL_US, Joiner, Rejoiner
from garnetusher.membership.merge import EntryMerger
from garnetusher.membership.messages import (
    Ack,
    Address,
    Body,
    BucketDigests,
    Entries,
    Join,
    Nack,
    Ping,
    PingRequest,
    Welcome,
)
from garnetusher.membership.name_conflicts import NameConflicts
from garnetusher.membership.replay_filter import Freshness, ReplayFilter
from garnetusher.membership.settings import PROBE_PERIOD_US, MemberSettings
from garnetusher.membership.state import Phase, ProtocolState
from garnetusher.membership.suspicion import SuspicionTracker
from garnetusher.membership.timers import Callback
from garnetusher.membership.view import View, is_active

# If a timer is late by more than this, the process was starved of CPU time. It postpones all deadlines by the delay, so
# that it accuses no member because of the delay.
STARVED_AFTER_US = 100_000
FORGET_PERIOD_US = 60_000_000


class Member:
    """A member of the cluster.

    The caller passes events to `handle`, including a `TimerFired` at `next_timer_us`.
    """

    def __init__(self, settings: MemberSettings, codec: Codec, generation: int, seed: int, now_us: int) -> None:
        state = ProtocolState(settings, codec, generation, seed, now_us)
        self._state = state
        self._dissemination = Dissemination(state)
        self._suspicions = SuspicionTracker(state, self._dissemination)
        self._failure_detector = FailureDetector(state, self._suspicions)
        self._dissemination.listeners.append(self._failure_detector.entry_applied)
        name_conflicts = NameConflicts(state, self._dissemination)
        self._merger = EntryMerger(state, self._dissemination, self._suspicions, name_conflicts)
        self._anti_entropy = AntiEntropy(state, self._dissemination, self._merger)
        self._joiner = Joiner(state, self._dissemination, self._anti_entropy, self._start_timers)
        self._rejoiner = Rejoiner(state, self._anti_entropy)
        self._replay_filter = ReplayFilter()
        state.schedule_after(0, self._joiner.try_seeds)

    # Queries

    @property
    def settings(self) -> MemberSettings:
        """The settings of this member."""
        return self._state.settings

    @property
    def codec(self) -> Codec:
        """The codec of the datagrams."""
        return self._state.codec

    @property
    def name(self) -> str:
        """The name of this member."""
        return self._state.name

    @property
    def generation(self) -> int:
        """The generation of this process; a later process of the same name has a higher one."""
        return self._state.generation

    @property
    def incarnation(self) -> int:
        """The incarnation, which this process raises to refute suspicions and other entries about itself."""
        return self._state.incarnation

    @property
    def phase(self) -> Phase:
        """The phase of the membership of this process."""
        return self._state.phase

    @property
    def present_since_us(self) -> int:
        """The time at which this process became present."""
        return self._state.present_since_us

    @property
    def view(self) -> View:
        """The view that this process has of all members."""
        return self._state.view

    @property
    def local_health_score(self) -> int:
        """Lifeguard's local health score; 0 is healthy."""
        return self._state.local_health.score

    @property
    def dropped(self) -> Counter[str]:
        """The number of datagrams rejected after decoding, by reason; the codec counts those that it rejects."""
        return self._state.dropped

    @property
    def welcome_member_count(self) -> int:
        """The number of members that a seed counted when this process joined; some may not be in the view yet."""
        return self._joiner.welcome_member_count

    @property
    def differing_names(self) -> list[str]:
        """Names of members whose entries differed in the last exchange that found a difference."""
        return self._anti_entropy.differing_names

    @property
    def agreed(self) -> bool:
        """Whether there is no dispute with any other member."""
        return not self.disputes()

    def disputes(self) -> dict[str, Dispute]:
        """Return the disputes with recent digests that have lasted longer than gossip takes to spread.

        The result is keyed by the name of the other member.
        """
        return self._anti_entropy.disputes()

    @property
    def next_timer_us(self) -> int:
        """The time at which the next `TimerFired` event is due."""
        next_due_us = self._state.timers.next_due_us
        return next_due_us if next_due_us is not None else self._state.now_us + PROBE_PERIOD_US

    # Events

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle an event, and run the timers that are due.

        Args:
            now_us: The monotonic time. If it is before the time of the last call, the time of the last call is used.
            event: The event.

        Returns:
            The actions to carry out, in order.
        """
        state = self._state
        now_us = max(now_us, state.now_us)
        self._allow_for_starvation(now_us)
        state.now_us = now_us
        if state.phase != Phase.STOPPED:
            if isinstance(event, DatagramReceived):
                self._handle_datagram(event)
            elif isinstance(event, LeaveRequested):
                self._leave()
            self._run_due_timers()
        return state.take_actions()

    def _handle_datagram(self, event: DatagramReceived) -> None:
        received = self._state.codec.decode(event.data)
        if received is not None and self._is_fresh(received, event.address):
            self._handle_received(received, event.address)

    def _is_fresh(self, received: Received, address: Address) -> bool:
        if isinstance(received.body, Join):
            return True  # a join request does not change this view, and its sender may still raise its generation
        freshness = self._replay_filter.check(received.sender, received.generation, received.sequence)
        if freshness == Freshness.REPLAYED:
            self._state.dropped[DropReason.REPLAYED.value] += 1
        elif freshness == Freshness.OLD_GENERATION:
            self._state.dropped[DropReason.OLD_GENERATION.value] += 1
            self._notify_superseded(received, address)
        return freshness == Freshness.FRESH

    def _notify_superseded(self, received: Received, address: Address) -> None:
        """Notify an earlier process that a later one has superseded it."""
        entry = self._state.view.entries.get(received.sender)
        if entry is not None and entry.generation > received.generation:
            self._state.send(address, Entries([]), entry)

    def _handle_received(self, received: Received, address: Address) -> None:
        for entry in received.gossip:
            self._merger.merge(entry, received.sender)
        if self._state.phase == Phase.STOPPED:
            return
        self._contact_unless_active(received, address)
        if received.body is not None:
            self._handle_body(received.body, received.sender, address)

    def _contact_unless_active(self, received: Received, address: Address) -> None:
        known = self._state.view.entries.get(received.sender)
        is_unknown = known is None or known.generation != received.generation or not is_active(known)
        begins_exchange = isinstance(received.body, Join | BucketDigests)
        if self._state.phase == Phase.PRESENT and is_unknown and not begins_exchange:
            self._anti_entropy.contact_unknown_member(address, known)

    def _handle_body(self, body: Body, sender: str, address: Address) -> None:
        match body:
            case Join():
                self._joiner.handle_join(body, address)
            case Welcome():
                self._joiner.handle_welcome(body)
            case Ping():
                self._handle_ping(body, sender, address)
            case Ack():
                self._handle_ack(body, sender, address)
            case PingRequest():
                self._failure_detector.handle_ping_request(body, address)
            case Nack():
                self._failure_detector.handle_nack(body)
            case BucketDigests():
                self._anti_entropy.handle_digests(body, address)
            case Entries():
                self._anti_entropy.handle_entries(body, sender)

    def _handle_ping(self, ping: Ping, sender: str, address: Address) -> None:
        state = self._state
        if ping.target != state.name:
            return  # the ping is for a process that had this address before
        if ping.claims_name:
            self._joiner.handle_name_claim(ping, address)
        elif state.phase == Phase.PRESENT:
            state.send(address, Ack(ping.probe_id, state.view.digest), state.accusation_against(sender))
            self._anti_entropy.compare(sender, ping.digest)

    def _handle_ack(self, ack: Ack, sender: str, address: Address) -> None:
        if self._joiner.is_name_claim_answer(ack, address):
            self._joiner.stop_as_refused(address)
            return
        self._failure_detector.handle_ack(ack.probe_id)
        self._anti_entropy.compare(sender, ack.digest)

    def _leave(self) -> None:
        if self._state.phase == Phase.PRESENT:
            self._dissemination.leave()
        else:
            self._state.stop(StopReason.LEFT)

    # Timers

    def _start_timers(self) -> None:
        """Start the periodic tasks of a present member, each at a random time within its first period."""
        self._start_periodic(PROBE_PERIOD_US, self._failure_detector.probe_next)
        self._start_periodic(GOSSIP_PERIOD_US, self._run_gossip_round)
        self._start_periodic(REJOIN_INTERVAL_US, self._rejoiner.contact_lost_members)
        self._state.schedule_after(FORGET_PERIOD_US, self._forget_inactive)

    def _start_periodic(self, period_us: int, callback: Callback) -> None:
        self._state.schedule_after(int(period_us * self._state.random.random()), callback)

    def _run_gossip_round(self) -> None:
        self._state.schedule_after(GOSSIP_PERIOD_US, self._run_gossip_round)
        self._anti_entropy.discard_old_disputes()
        self._dissemination.run_gossip_round()

    def _forget_inactive(self) -> None:
        self._state.view.forget_inactive(self._state.now_us)
        self._replay_filter.retain(self._state.view.entries)
        self._state.schedule_after(FORGET_PERIOD_US, self._forget_inactive)

    def _run_due_timers(self) -> None:
        state = self._state
        while state.phase != Phase.STOPPED:
            callback = state.timers.pop_due(state.now_us)
            if callback is None:
                return
            callback()

    def _allow_for_starvation(self, now_us: int) -> None:
        """Postpone all deadlines by the time in which this process could not run and so received no datagrams."""
        state = self._state
        next_due_us = state.timers.next_due_us
        if next_due_us is None or now_us - next_due_us <= STARVED_AFTER_US:
            return
        late_us = now_us - next_due_us
        state.timers.postpone_all(late_us)
        self._suspicions.postpone_all(late_us)
        state.local_health.adjust(1)
        state.add_action(log_events.starved(late_us))
