"""SWIM's failure detector: a direct probe, then indirect probes through other members, then suspicion."""

from __future__ import annotations

from functools import partial

from msgspec import Struct

from garnetusher.membership.messages import Ack, Address, Entry, Nack, Ping, PingRequest
from garnetusher.membership.settings import PROBE_PERIOD_US
from garnetusher.membership.state import ProtocolState
from garnetusher.membership.suspicion import SuspicionTracker
from garnetusher.membership.view import is_active

# An unanswered direct probe leads to indirect probes after this time, which is several times the time that a datagram
# takes between regions.
DIRECT_TIMEOUT_US = 150_000
INDIRECT_TIMEOUT_US = 2 * DIRECT_TIMEOUT_US
NACK_AFTER_US = DIRECT_TIMEOUT_US * 4 // 5  # a relay's nack arrives before the indirect probe times out at the prober
INDIRECT_PROBES = 3  # number of members that are asked for an indirect probe


class _Probe(Struct):
    """A probe that the target has not answered yet."""

    target_name: str
    target_generation: int
    relays_asked: int = 0
    nacks: int = 0


class _RelayedProbe(Struct, frozen=True):
    """An indirect probe that this member sends on behalf of another member."""

    requester_probe_id: int
    requester: Address


class FailureDetector:
    """Probes one member per period; each round covers all members in a new random order."""

    def __init__(self, state: ProtocolState, suspicions: SuspicionTracker) -> None:
        self._state = state
        self._suspicions = suspicions
        self._probes: dict[int, _Probe] = {}
        self._relayed_probes: dict[int, _RelayedProbe] = {}  # keyed by the probe id of this member's ping
        self._remaining_in_round: list[str] = []  # names that this round still has to probe; the last one is next

    def entry_applied(self, entry: Entry, previous: Entry | None) -> None:
        """Insert a member that is new to the view at a random position of the current round."""
        if previous is None and entry.name != self._state.name:
            self._remaining_in_round.insert(self._state.random.randint(0, len(self._remaining_in_round)), entry.name)

    def probe_next(self) -> None:
        """Probe the next member, and schedule the probe after it."""
        state = self._state
        state.schedule_after(state.local_health.scale(PROBE_PERIOD_US), self.probe_next)
        target = self._next_target()
        if target is None:
            return
        probe_id = state.next_probe_id()
        self._probes[probe_id] = _Probe(target.name, target.generation)
        self._send_ping(probe_id, target)
        state.schedule_after(state.local_health.scale(DIRECT_TIMEOUT_US), partial(self._direct_timed_out, probe_id))

    def handle_ack(self, probe_id: int) -> None:
        """Complete the probe that was answered, or forward the ack to the member that requested the probe."""
        if self._probes.pop(probe_id, None) is not None:
            self._state.answered = True
            self._state.local_health.adjust(-1)
        relayed_probe = self._relayed_probes.pop(probe_id, None)
        if relayed_probe is not None:
            self._state.send(relayed_probe.requester, Ack(relayed_probe.requester_probe_id, self._state.view.digest))

    def handle_nack(self, nack: Nack) -> None:
        """Count the nack of a relay, which works but has received no answer from the target."""
        probe = self._probes.get(nack.probe_id)
        if probe is not None:
            probe.nacks += 1

    def handle_ping_request(self, request: PingRequest, requester: Address) -> None:
        """Probe a member on behalf of the requester."""
        state = self._state
        probe_id = state.next_probe_id()
        self._relayed_probes[probe_id] = _RelayedProbe(request.probe_id, requester)
        ping = Ping(probe_id, request.target, state.view.digest)
        state.send((request.host, request.port), ping, state.accusation_against(request.target))
        state.schedule_after(NACK_AFTER_US, partial(self._send_nack, probe_id))

    def _next_target(self) -> Entry | None:
        """Return the next member to probe.

        Each other member is probed once per round, so no member waits for more than two rounds.
        """
        state = self._state
        for _ in range(2):
            while self._remaining_in_round:
                entry = state.view.entries.get(self._remaining_in_round.pop())
                if entry is not None and is_active(entry) and entry.name != state.name:
                    return entry
            self._remaining_in_round = [entry.name for entry in state.view.active_except(state.name)]
            state.random.shuffle(self._remaining_in_round)
        return None

    def _send_ping(self, probe_id: int, target: Entry) -> None:
        state = self._state
        ping = Ping(probe_id, target.name, state.view.digest)
        state.send(target.address, ping, state.accusation_against(target.name))

    def _direct_timed_out(self, probe_id: int) -> None:
        """Ping the target again, and ask other members to ping it too.

        With a single ping, a loss of 10% of datagrams would start two suspicions per second among 100 members.
        """
        state = self._state
        probe = self._probes.get(probe_id)
        target = state.view.entries.get(probe.target_name) if probe is not None else None
        if probe is None or target is None:
            return
        relays = state.view.sample(state.random, INDIRECT_PROBES, {state.name, probe.target_name})
        probe.relays_asked = len(relays)
        self._send_ping(probe_id, target)
        for relay in relays:
            state.send(relay.address, PingRequest(probe_id, target.name, target.host, target.port))
        # The target may still answer a direct ping during this timeout, and the relays' nacks arrive within it.
        timeout_us = state.local_health.scale(INDIRECT_TIMEOUT_US)
        state.schedule_after(timeout_us, partial(self._indirect_timed_out, probe_id))

    def _indirect_timed_out(self, probe_id: int) -> None:
        probe = self._probes.pop(probe_id, None)
        if probe is None:
            return
        # Relays that sent no nack are evidence that this process's own datagrams do not arrive.
        self._state.local_health.adjust(probe.relays_asked - probe.nacks)
        entry = self._state.view.entries.get(probe.target_name)
        if entry is not None and entry.generation == probe.target_generation and is_active(entry):
            self._suspicions.suspect(entry, self._state.name)

    def _send_nack(self, probe_id: int) -> None:
        state = self._state
        relayed_probe = self._relayed_probes.get(probe_id)
        if relayed_probe is None:
            return
        state.send(relayed_probe.requester, Nack(relayed_probe.requester_probe_id))
        timeout_us = state.local_health.scale(INDIRECT_TIMEOUT_US)
        state.schedule_after(timeout_us, partial(self._discard_relayed_probe, probe_id))

    def _discard_relayed_probe(self, probe_id: int) -> None:
        self._relayed_probes.pop(probe_id, None)
