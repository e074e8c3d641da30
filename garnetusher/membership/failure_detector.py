"""SWIM's failure detector: direct probes, indirect probes through other members, then suspicion."""

from __future__ import annotations

from functools import partial

from msgspec import Struct

from garnetusher.membership.messages import Ack, Address, Entry, Nack, Ping, PingRequest
from garnetusher.membership.settings import PROBE_PERIOD_US
from garnetusher.membership.state import MemberState
from garnetusher.membership.suspicion import SuspicionTracker
from garnetusher.membership.view import is_active

DIRECT_TIMEOUT_US = 150_000  # until indirect probes: several times what a datagram takes between regions
INDIRECT_TIMEOUT_US = 2 * DIRECT_TIMEOUT_US
NACK_AFTER_US = DIRECT_TIMEOUT_US * 4 // 5  # a relay's answer that it is well arrives before the prober gives up
INDIRECT_PROBES = 3  # members that are asked for an indirect probe


class _Probe(Struct):
    """A probe that is not answered yet."""

    target_name: str
    target_generation: int
    relays_asked: int = 0
    nacks: int = 0


class _Relay(Struct, frozen=True):
    """An indirect probe that this member makes for another."""

    requester_probe_id: int
    requester: Address


class FailureDetector:
    """Probes one member a period, in an order drawn anew for each round."""

    def __init__(self, state: MemberState, suspicions: SuspicionTracker) -> None:
        self._state = state
        self._suspicions = suspicions
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}  # by the id of this member's own ping
        self._round: list[str] = []  # names still to be probed, the next one last

    def entry_applied(self, entry: Entry, previous: Entry | None) -> None:
        """Place a member that is new to the view somewhere in the current round."""
        if previous is None and entry.name != self._state.name:
            self._round.insert(self._state.random.randint(0, len(self._round)), entry.name)

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
        """End the probe that was answered, or pass the answer on to the member that asked for it."""
        if self._probes.pop(probe_id, None) is not None:
            self._state.acknowledged = True
            self._state.local_health.adjust(-1)
        relay = self._relays.pop(probe_id, None)
        if relay is not None:
            self._state.send(relay.requester, Ack(relay.requester_probe_id, self._state.view.digest))

    def handle_nack(self, nack: Nack) -> None:
        """Note that a relay is well, though the target has not answered it either."""
        probe = self._probes.get(nack.probe_id)
        if probe is not None:
            probe.nacks += 1

    def handle_ping_request(self, request: PingRequest, requester: Address) -> None:
        """Probe a member for another one."""
        state = self._state
        probe_id = state.next_probe_id()
        self._relays[probe_id] = _Relay(request.probe_id, requester)
        ping = Ping(probe_id, request.target, state.view.digest)
        state.send((request.host, request.port), ping, state.accusation_against(request.target))
        state.schedule_after(NACK_AFTER_US, partial(self._send_nack, probe_id))

    def _next_target(self) -> Entry | None:
        """Return each other member once a round, so that none waits for longer than two rounds."""
        state = self._state
        for _ in range(2):
            while self._round:
                entry = state.view.entries.get(self._round.pop())
                if entry is not None and is_active(entry) and entry.name != state.name:
                    return entry
            self._round = [entry.name for entry in state.view.active_except(state.name)]
            state.random.shuffle(self._round)
        return None

    def _send_ping(self, probe_id: int, target: Entry) -> None:
        state = self._state
        ping = Ping(probe_id, target.name, state.view.digest)
        state.send(target.address, ping, state.accusation_against(target.name))

    def _direct_timed_out(self, probe_id: int) -> None:
        """Ping again, and ask others to ping too.

        With one ping, a tenth of datagrams lost would start a suspicion twice a second among a hundred members.
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
        # the direct ping may still be answered, and the relays' nacks have arrived by then
        timeout_us = state.local_health.scale(INDIRECT_TIMEOUT_US)
        state.schedule_after(timeout_us, partial(self._indirect_timed_out, probe_id))

    def _indirect_timed_out(self, probe_id: int) -> None:
        probe = self._probes.pop(probe_id, None)
        if probe is None:
            return
        # relays that sent no nack are evidence that this process itself is not heard
        self._state.local_health.adjust(probe.relays_asked - probe.nacks)
        entry = self._state.view.entries.get(probe.target_name)
        if entry is not None and entry.generation == probe.target_generation and is_active(entry):
            self._suspicions.suspect(entry, self._state.name)

    def _send_nack(self, probe_id: int) -> None:
        state = self._state
        relay = self._relays.get(probe_id)
        if relay is None:
            return
        state.send(relay.requester, Nack(relay.requester_probe_id))
        timeout_us = state.local_health.scale(INDIRECT_TIMEOUT_US)
        state.schedule_after(timeout_us, partial(self._discard_relay, probe_id))

    def _discard_relay(self, probe_id: int) -> None:
        self._relays.pop(probe_id, None)
