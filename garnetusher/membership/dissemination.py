"""Changes of the view and their broadcast: as gossip beside other messages, and in rounds of their own."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from msgspec import structs

from garnetusher.membership import log_events
from garnetusher.membership.actions import MemberChanged, StopReason
from garnetusher.membership.messages import Entries, Entry
from garnetusher.membership.state import MemberState, Phase
from garnetusher.membership.view import State

GOSSIP_PERIOD_US = 150_000  # between rounds in which pending broadcasts are sent without another message
GOSSIP_FANOUT = 3  # members that each round sends to
LEAVE_BROADCAST_ROUNDS = 3

EntryListener = Callable[[Entry, Entry | None], None]


class Dissemination:
    """The one place where the view changes.

    Attributes:
        listeners: called with each entry that was applied and the one that it replaced.
        last_change_us: when the view last changed.
        catching_up: entries of a first full exchange are being applied; the other members know them already.
    """

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self.listeners: list[EntryListener] = []
        self.last_change_us = state.now_us
        self.catching_up = False

    def apply(self, entry: Entry) -> None:
        """Put an entry into the view, queue it for broadcast, and report a change of state or generation."""
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
            return  # `membership.joined` reports this one
        self._state.add_action(log_events.state_changed(entry))

    def run_gossip_round(self) -> None:
        """Send pending broadcasts to a few members, if there are any."""
        if self._state.view.has_pending_broadcasts():
            self._send_to_sample(None)

    def leave(self) -> None:
        """Broadcast that this process leaves, in a few rounds, and stop after the last one."""
        state = self._state
        state.phase = Phase.LEAVING  # not present: a present member refutes every accusation, even its own leaving
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

    def _send_to_sample(self, first: Entry | None) -> None:
        state = self._state
        for other in state.view.sample(state.random, GOSSIP_FANOUT, {state.name}):
            state.send(other.address, Entries([]), first)
