"""Handling of entries about this process: refutation, and conflicts with another process of the same name."""

from __future__ import annotations

from garnetusher.membership import log_events
from garnetusher.membership.actions import StopReason
from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.messages import Entries, Entry
from garnetusher.membership.state import Phase, ProtocolState
from garnetusher.membership.view import State

RECENTLY_JOINED_US = 30_000_000  # a process that joined less than this time ago stops if another process has its name


class NameConflicts:
    """Handles received entries with the name of this process."""

    def __init__(self, state: ProtocolState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination

    def handle_own_entry(self, entry: Entry) -> None:
        """Refute the entry, supersede it, or stop in favor of the process that it describes."""
        state = self._state
        if state.phase != Phase.PRESENT or entry.generation < state.generation:
            return
        if entry.generation > state.generation:
            self._handle_later_generation(entry)
        elif self._is_from_earlier_process(entry):
            self._supersede(entry)
        elif self._is_current_accusation(entry):
            self._refute(entry)

    def _is_from_earlier_process(self, entry: Entry) -> bool:
        """Return whether the entry is from an earlier process that had the same generation because its clock was ahead.

        There are two signs: an incarnation at the address of this process that this process has never used, or an
        accusation that arrives before any other member has answered this process.

        If the entry is from an earlier process, other members attribute the datagrams of this process to the earlier
        one. They may also drop them as replays, because the earlier process sent higher sequence numbers.
        """
        state = self._state
        if entry.incarnation > state.incarnation and entry.address == state.own_address:
            return True
        return self._is_current_accusation(entry) and not state.answered

    def _is_current_accusation(self, entry: Entry) -> bool:
        return entry.state != State.PRESENT and entry.incarnation >= self._state.incarnation

    def _refute(self, entry: Entry) -> None:
        state = self._state
        state.incarnation = entry.incarnation + 1
        state.persist()
        self._dissemination.apply(state.own_entry)
        state.local_health.adjust(1)
        state.add_action(log_events.refuted(state.incarnation, entry))

    def _handle_later_generation(self, entry: Entry) -> None:
        state = self._state
        if entry.replaces:
            state.stop(StopReason.REPLACED, entry.address)
        elif entry.address == state.own_address:
            self._supersede(entry)  # the entry is from an earlier process at this address, whose clock was ahead
        elif state.now_us - state.present_since_us < RECENTLY_JOINED_US:
            state.stop(StopReason.REFUSED, entry.address)
        else:
            state.add_action(log_events.name_taken(entry.address, entry.generation))
            self._supersede(entry)
            state.send(entry.address, Entries([]), state.own_entry)

    def _supersede(self, entry: Entry) -> None:
        """Raise the generation above that of the entry, as this process started later or already has the name."""
        state = self._state
        state.generation = entry.generation + 1
        state.persist()
        self._dissemination.apply(state.own_entry)
