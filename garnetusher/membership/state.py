"""The state that the components of the protocol share, with the functions that send messages and stop the member."""

from __future__ import annotations

import enum
import itertools
import random
from collections import Counter

from garnetusher.membership import log_events
from garnetusher.membership.actions import Action, Persist, SendDatagram, Stopped, StopReason
from garnetusher.membership.codec import Codec
from garnetusher.membership.local_health import LocalHealth
from garnetusher.membership.messages import Address, Body, Entries, Entry
from garnetusher.membership.settings import MemberSettings
from garnetusher.membership.timers import Callback, TimerQueue
from garnetusher.membership.view import State, View


class Phase(enum.StrEnum):
    """The phase of a process's membership; the values appear at the admin address."""

    JOINING = "joining"
    PRESENT = "present"
    LEAVING = "leaving"
    STOPPED = "stopped"


class ProtocolState:
    """The identity, view, timers and pending actions of one member.

    Attributes:
        generation: The generation of this process; a later process of the same name has a higher one.
        incarnation: A number that only this process raises, to refute other members' entries about it.
        present_since_us: The time at which this process became present.
        answered: Whether another member has answered a datagram of this process. Members that take this process for an
            earlier one may drop its datagrams, so an answer shows that the member recognizes this process.
        dropped: The number of datagrams rejected after decoding, by reason; the codec counts those that it rejects.
    """

    def __init__(self, settings: MemberSettings, codec: Codec, generation: int, seed: int, now_us: int) -> None:
        self.settings = settings
        self.codec = codec
        self.generation = generation
        self.incarnation = 0
        self.random = random.Random(seed)
        self.now_us = now_us
        self.view = View()
        self.phase = Phase.JOINING
        self.present_since_us = 0
        self.answered = False
        self.local_health = LocalHealth()
        self.dropped: Counter[str] = Counter()
        self._unique_numbers = itertools.count(1)  # shared by probe ids and the sequence numbers of timers
        self.timers = TimerQueue(self._unique_numbers)
        self._actions: list[Action] = []

    @property
    def name(self) -> str:
        """The name of this member."""
        return self.settings.name

    @property
    def own_address(self) -> Address:
        """The address at which other members reach this process."""
        return self.settings.host, self.settings.port

    @property
    def own_entry(self) -> Entry:
        """The entry that this process publishes about itself."""
        settings = self.settings
        return Entry(
            settings.name,
            settings.host,
            settings.port,
            settings.role,
            settings.zone,
            self.generation,
            self.incarnation,
            State.PRESENT,
            settings.replaces,
        )

    def next_probe_id(self) -> int:
        """Return a probe id that is unique within this member."""
        return next(self._unique_numbers)

    def schedule_after(self, delay_us: int, callback: Callback) -> None:
        """Schedule the callback to run after the delay."""
        self.timers.schedule(self.now_us + delay_us, callback)

    def send(self, address: Address, body: Body, priority_entry: Entry | None = None) -> None:
        """Send a message with as much gossip as fits.

        Args:
            address: The address of the recipient.
            body: The message.
            priority_entry: An entry to send before all other gossip.
        """
        gossip = self.view.select_gossip(self.codec.gossip_capacity(self.name, body), priority_entry)
        self._send_with_gossip(address, body, gossip)

    def send_entries(self, address: Address, entries: list[Entry]) -> None:
        """Send entries without gossip."""
        self._send_with_gossip(address, Entries(entries), [])

    def _send_with_gossip(self, address: Address, body: Body, gossip: list[Entry]) -> None:
        data = self.codec.encode(self.name, self.generation, body, gossip)
        self._actions.append(SendDatagram(address, data))

    def accusation_against(self, name: str) -> Entry | None:
        """Return the entry of a member if it says that the member is not present.

        The member must receive this entry before other gossip, so that it can refute the entry.
        """
        entry = self.view.entries.get(name)
        return entry if entry is not None and entry.state != State.PRESENT else None

    def persist(self) -> None:
        """Request that the generation and incarnation are written to disk."""
        self._actions.append(Persist(self.generation, self.incarnation))

    def add_action(self, action: Action) -> None:
        """Add an action to the result of the current event."""
        self._actions.append(action)

    def stop(self, reason: StopReason, superseded_by: Address | None = None) -> None:
        """End the membership of this process."""
        self.phase = Phase.STOPPED
        self.timers.clear()
        self._actions.append(log_events.stopped(reason, superseded_by))
        self._actions.append(Stopped(reason, superseded_by))

    def take_actions(self) -> list[Action]:
        """Return and clear the pending actions."""
        actions, self._actions = self._actions, []
        return actions
