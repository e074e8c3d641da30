"""Merges entries received from other members into the view."""

from __future__ import annotations

from msgspec import structs

from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.messages import Entry
from garnetusher.membership.name_conflicts import NameConflicts
from garnetusher.membership.state import ProtocolState
from garnetusher.membership.suspicion import SuspicionTracker
from garnetusher.membership.view import State, supersedes


class EntryMerger:
    """Applies received entries according to the rules of SWIM."""

    def __init__(
        self,
        state: ProtocolState,
        dissemination: Dissemination,
        suspicions: SuspicionTracker,
        name_conflicts: NameConflicts,
    ) -> None:
        self._state = state
        self._dissemination = dissemination
        self._suspicions = suspicions
        self._name_conflicts = name_conflicts

    def merge(self, entry: Entry, sender: str) -> None:
        """Merge an entry about any member, including this one.

        Args:
            entry: The received entry.
            sender: Name of the member that sent it.
        """
        if entry.name == self._state.name:
            self._name_conflicts.handle_own_entry(entry)
            return
        known = self._state.view.entries.get(entry.name)
        if known is not None and not supersedes(entry, known):
            self._merge_known(entry, known, sender)
        elif entry.state == State.SUSPECTED:
            self._merge_suspicion(entry, known, sender)
        else:
            self._dissemination.apply(entry)

    def _merge_known(self, entry: Entry, known: Entry, sender: str) -> None:
        self._state.view.count_broadcast(entry)
        if _is_same_suspicion(entry, known):
            self._suspicions.suspect(entry, entry.reporter or sender)

    def _merge_suspicion(self, entry: Entry, known: Entry | None, sender: str) -> None:
        unsuspected = structs.replace(entry, state=State.PRESENT, reporter="")
        if known is None or supersedes(unsuspected, known):
            self._dissemination.apply(unsuspected)
        self._suspicions.suspect(entry, entry.reporter or sender)


def _is_same_suspicion(entry: Entry, known: Entry) -> bool:
    return entry.state == known.state == State.SUSPECTED and (entry.generation, entry.incarnation) == (
        known.generation,
        known.incarnation,
    )
