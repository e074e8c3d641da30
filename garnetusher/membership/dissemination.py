"""Changes to the view and their broadcast, as gossip attached to other messages and in separate gossip rounds."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from msgspec import structs

from garnetusher.membership import log_events
from garnetusher.membership.actions import MemberChanged, StopReason
from garnetusher.membership.messages import Entries, Entry
from garnetusher.membership.state import Phase, ProtocolState
from garnetusher.membership.view import State

GOSSIP_PERIOD_US = 150_000  # time between gossip rounds, which send pending broadcasts in separate messages
GOSSIP_FANOUT = 3  # each round sends to this many members
LEAVE_BROADCAST_ROUNDS = 3

EntryListener = Callable[[Entry, Entry | None], None]


class Dissemination:
    """Applies entries to the view, queues them for broadcast and sends the broadcasts.

    Attributes:
        listeners: Functions that are called with each applied entry and the entry that it replaced, or None.
        last_change_us: The time at which an entry was last applied.
        catching_up: Whether entries of a first full exchange are being applied. These are not broadcast, as the other
            members know them already.
    """

    def __init__(self, state: ProtocolState) -> None:
        self._state = state
        self.listeners: list[EntryListener] = []
        self.last_change_us = state.now_us
        self.catching_up = False

    def apply(self, entry: Entry) -> None:
        """Put an entry into the view, queue it for broadcast, and report any change of state or generation."""
        state = self._state
        broadcast = entry.name == state.name or not self.catching_up
        previous = state.view.apply(entry, state.now_us, broadcast=broadcast)
        for listener in self.listeners:
            listener(entry, previous)
        self.last_change_us = state.now_us
        if previous is None or (previous.state, previous.generation) != (entry.state, entry.generation):
            self._report_change(entry, previous)

    def _report_change(self, entry: Entry, previous: Entry | None) -> None:
        self._state.add_action(MemberChanged(entry, previous))
        if entry.name == self._state.name and previous is None:
            return  # the log event `membership.joined` reports this change
        self._state.add_action(log_events.state_changed(entry))

    def run_gossip_round(self) -> None:
        """Send pending broadcasts, if there are any, to a few members."""
        if self._state.view.has_pending_broadcasts():
            self._send_to_sample(None)

    def leave(self) -> None:
        """Broadcast in several rounds that this process leaves, and stop after the last round."""
        state = self._state
        # In the phase PRESENT, this process would refute its own LEFT entry when another member sends it back.
        state.phase = Phase.LEAVING
        self.apply(structs.replace(state.own_entry, state=State.LEFT, reporter=state.name))
        state.timers.clear()
        self._broadcast_leave(LEAVE_BROADCAST_ROUNDS)

    def _broadcast_leave(self, remaining_rounds: int) -> None:
        state = self._state
        self._send_to_sample(state.view.entries[state.name])
        if remaining_rounds > 1:
            state.schedule_after(GOSSIP_PERIOD_US, partial(self._broadcast_leave, remaining_rounds - 1))
        else:
            state.stop(StopReason.LEFT)

    def _send_to_sample(self, priority_entry: Entry | None) -> None:
        state = self._state
        for other in state.view.sample(state.random, GOSSIP_FANOUT, {state.name}):
            state.send(other.address, Entries([]), priority_entry)
