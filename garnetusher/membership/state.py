"""The state that the parts of one member share, and the only functions that send and stop."""

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
    """How far a process is between joining and its end as a member; the values appear at the admin address."""

    JOINING = "joining"
    PRESENT = "present"
    LEAVING = "leaving"
    STOPPED = "stopped"


class MemberState:
    """Identity, view, timers and pending actions of one member.

    Attributes:
        generation: of this process; a later process of the same name has a higher one.
        incarnation: raised by this process alone, to refute what others believe of it.
        present_since_us: when it became present.
        acknowledged: another member has answered this process, so it is known as distinct from an earlier one.
        dropped: counts by reason of datagrams that were not taken, beside the codec's own.
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
        self.acknowledged = False
        self.local_health = LocalHealth()
        self.dropped: Counter[str] = Counter()
        self._numbers = itertools.count(1)  # shared: probe ids and the order of timers
        self.timers = TimerQueue(self._numbers)
        self._actions: list[Action] = []

    @property
    def name(self) -> str:
        """The member's own name."""
        return self.settings.name

    @property
    def own_address(self) -> Address:
        """Where other members reach this process."""
        return self.settings.host, self.settings.port

    @property
    def own_entry(self) -> Entry:
        """What this process says of itself."""
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
        """Return a number that no other probe of this member has."""
        return next(self._numbers)

    def schedule_after(self, delay_us: int, callback: Callback) -> None:
        """Run the callback so much later."""
        self.timers.schedule(self.now_us + delay_us, callback)

    def send(self, address: Address, body: Body, first: Entry | None = None) -> None:
        """Send a message with as much gossip as fits.

        Args:
            address: the recipient.
            body: the message.
            first: an entry that goes before all other gossip.
        """
        gossip = self.view.select_gossip(self.codec.room(self.name, body), first)
        self._send_with_gossip(address, body, gossip)

    def send_entries(self, address: Address, entries: list[Entry]) -> None:
        """Send entries without gossip beside them."""
        self._send_with_gossip(address, Entries(entries), [])

    def _send_with_gossip(self, address: Address, body: Body, gossip: list[Entry]) -> None:
        data = self.codec.encode(self.name, self.generation, body, gossip)
        self._actions.append(SendDatagram(address, data))

    def accusation_against(self, name: str) -> Entry | None:
        """Return the entry of a member that is not believed present: it must receive that first, to refute it."""
        entry = self.view.entries.get(name)
        return entry if entry is not None and entry.state != State.PRESENT else None

    def persist(self) -> None:
        """Ask that generation and incarnation be written to disk."""
        self._actions.append(Persist(self.generation, self.incarnation))

    def add_action(self, action: Action) -> None:
        """Add an action to those that the current event results in."""
        self._actions.append(action)

    def stop(self, reason: StopReason, superseded_by: Address | None = None) -> None:
        """End this process's membership."""
        self.phase = Phase.STOPPED
        self.timers.clear()
        self._actions.append(log_events.stopped(reason, superseded_by))
        self._actions.append(Stopped(reason, superseded_by))

    def take_actions(self) -> list[Action]:
        """Return the pending actions, and forget them."""
        actions, self._actions = self._actions, []
        return actions
