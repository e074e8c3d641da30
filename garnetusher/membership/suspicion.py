"""Suspected members, and how long each has to refute the suspicion before it counts as failed."""

from __future__ import annotations

import math
from functools import partial

from msgspec import Struct, structs

from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.messages import Entry
from garnetusher.membership.settings import PROBE_PERIOD_US
from garnetusher.membership.state import ProtocolState
from garnetusher.membership.view import State

# The shortest timeout is this many probe periods times log10 of the view's size; it applies once enough members confirm
# the suspicion.
MIN_TIMEOUT_PERIODS = 1.0
MAX_TIMEOUT_FACTOR = 4.0  # the longest timeout as a multiple of the shortest
FULL_CONFIRMATIONS = 3  # this many independent confirmations reduce the timeout to the shortest


class Suspicion(Struct):
    """The suspicion of one member.

    Attributes:
        since_us: The time at which the member was first suspected.
        reporters: Names of the members that suspect it independently.
        deadline_us: The time at which the member counts as failed, unless it has refuted the suspicion.
    """

    since_us: int
    reporters: set[str]
    deadline_us: int


class SuspicionTracker:
    """Starts suspicions, shortens their timeouts with each confirmation, and declares members failed."""

    def __init__(self, state: ProtocolState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self._suspicions: dict[str, Suspicion] = {}
        dissemination.listeners.append(self._entry_applied)

    def suspect(self, entry: Entry, reporter: str) -> None:
        """Suspect a member of the view.

        If the member is suspected already, the reporter counts as a confirmation.
        """
        suspicion = self._suspicions.get(entry.name)
        current = self._state.view.entries[entry.name]
        if suspicion is None or current.state != State.SUSPECTED:
            suspicion = self._begin(current, reporter)
        elif reporter in suspicion.reporters or len(suspicion.reporters) > FULL_CONFIRMATIONS:
            return
        else:
            suspicion.reporters.add(reporter)
            self._dissemination.apply(structs.replace(current, reporter=reporter))  # broadcast the new reporter too
        suspicion.deadline_us = suspicion.since_us + self._timeout_us(len(suspicion.reporters) - 1)
        self._state.timers.schedule(suspicion.deadline_us, partial(self._check_deadline, entry.name))

    def postpone_all(self, delay_us: int) -> None:
        """Extend the deadline of every suspicion."""
        for suspicion in self._suspicions.values():
            suspicion.deadline_us += delay_us

    def _begin(self, current: Entry, reporter: str) -> Suspicion:
        suspicion = Suspicion(self._state.now_us, {reporter}, 0)
        self._suspicions[current.name] = suspicion
        if current.state != State.SUSPECTED:
            self._dissemination.apply(structs.replace(current, state=State.SUSPECTED, reporter=reporter))
        return suspicion

    def _timeout_us(self, confirmations: int) -> int:
        """Return Lifeguard's suspicion timeout.

        It decreases from the longest to the shortest timeout with the logarithm of the number of confirmations.
        """
        view_size = max(2, self._state.view.active_count)
        shortest_us = MIN_TIMEOUT_PERIODS * max(1.0, math.log10(view_size)) * PROBE_PERIOD_US
        longest_us = MAX_TIMEOUT_FACTOR * shortest_us
        confirmed_share = math.log(confirmations + 1) / math.log(FULL_CONFIRMATIONS + 1)
        timeout_us = int(max(shortest_us, longest_us - (longest_us - shortest_us) * confirmed_share))
        return self._state.local_health.scale(timeout_us)

    def _check_deadline(self, name: str) -> None:
        suspicion = self._suspicions.get(name)
        entry = self._state.view.entries.get(name)
        if suspicion is None or entry is None or entry.state != State.SUSPECTED:
            self._suspicions.pop(name, None)
        elif self._state.now_us >= suspicion.deadline_us:
            self._dissemination.apply(structs.replace(entry, state=State.FAILED, reporter=self._state.name))

    def _entry_applied(self, entry: Entry, previous: Entry | None) -> None:
        if entry.state != State.SUSPECTED:
            self._suspicions.pop(entry.name, None)
