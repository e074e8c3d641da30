"""Joining through seeds, conflicts over a member name while joining, and contact with lost members."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from garnetusher.membership import log_events
from garnetusher.membership.actions import StopReason
from garnetusher.membership.anti_entropy import AntiEntropy
from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.messages import Ack, Address, Entry, Join, Ping, Welcome
from garnetusher.membership.state import Phase, ProtocolState
from garnetusher.membership.view import State, is_active

FIRST_JOIN_BACKOFF_US = 500_000  # the backoff doubles with each attempt to join through seeds
MAX_JOIN_BACKOFF_US = 4_000_000
ALONE_AFTER_BACKOFF_US = 2 * FIRST_JOIN_BACKOFF_US  # a seed whose backoff has grown beyond this considers itself alone
SEEDS_PER_ATTEMPT = 2
NAME_CLAIM_TIMEOUT_US = 1_000_000  # the holder of a name has to answer the joining process within this time
# Members ping failed members at this interval on average, so that the parts of a split find each other when it heals.
REJOIN_INTERVAL_US = 1_000_000


class _NameClaim(Struct, frozen=True):
    """A ping that asks the current holder of this process's name whether it is still running."""

    probe_id: int
    holder: Entry


class Joiner:
    """Joins this process to the cluster, and answers the join requests of others."""

    def __init__(
        self,
        state: ProtocolState,
        dissemination: Dissemination,
        anti_entropy: AntiEntropy,
        on_joined: Callable[[], None],
    ) -> None:
        self._state = state
        self._dissemination = dissemination
        self._anti_entropy = anti_entropy
        self._on_joined = on_joined
        self._backoff_us = FIRST_JOIN_BACKOFF_US
        self._name_claim: _NameClaim | None = None
        self.welcome_member_count = 0  # the seed's count of members; some may not be in the view yet

    def try_seeds(self) -> None:
        """Send a join request to a few seeds, and schedule the next attempt."""
        state = self._state
        if state.phase != Phase.JOINING or self._name_claim is not None:
            return
        is_seed = state.own_address in state.settings.seeds
        seeds = [seed for seed in state.settings.seeds if seed != state.own_address]
        if not seeds or (is_seed and self._backoff_us > ALONE_AFTER_BACKOFF_US):
            self._become_present(None)  # no other seed is configured, or none has answered this seed
            return
        for seed in state.random.sample(seeds, min(SEEDS_PER_ATTEMPT, len(seeds))):
            state.send(seed, Join(state.own_entry))
        state.schedule_after(int(self._backoff_us * (0.5 + state.random.random())), self.try_seeds)
        self._backoff_us = min(2 * self._backoff_us, MAX_JOIN_BACKOFF_US)

    def handle_join(self, message: Join, address: Address) -> None:
        """Answer a join request."""
        state = self._state
        if state.phase != Phase.PRESENT:
            return
        if message.entry.name == state.name:
            state.send(address, Welcome(state.own_entry))
            return
        state.send(address, Welcome(state.view.entries.get(message.entry.name), state.view.active_count))
        self._anti_entropy.begin_exchange(address)

    def handle_welcome(self, message: Welcome) -> None:
        """Become present, or first ping another process that holds this name according to the seed.

        Only an answer from the holder itself proves that the name is in use, as the holder may have just died.
        """
        state = self._state
        self.welcome_member_count = max(self.welcome_member_count, message.member_count)
        state.answered = True
        if state.phase != Phase.JOINING or self._name_claim is not None:
            return
        known = message.known_entry
        if known is not None and self._is_held_by_another(known):
            self._claim_name(known)
        else:
            self._become_present(known)

    def handle_name_claim(self, ping: Ping, address: Address) -> None:
        """Answer a joining process that claims the name of this process."""
        state = self._state
        if state.phase == Phase.PRESENT:
            state.add_action(log_events.name_taken(address, state.generation))
            state.send(address, Ack(ping.probe_id, state.view.digest))

    def is_name_claim_answer(self, ack: Ack, address: Address) -> bool:
        """Return whether the ack is the name holder's answer to this process's claim."""
        claim = self._name_claim
        return claim is not None and ack.probe_id == claim.probe_id and address == claim.holder.address

    def stop_as_refused(self, holder: Address) -> None:
        """Stop because the holder still uses the name."""
        self._state.stop(StopReason.REFUSED, holder)

    def _is_held_by_another(self, known: Entry) -> bool:
        state = self._state
        return is_active(known) and known.address != state.own_address and not state.settings.replaces

    def _claim_name(self, holder: Entry) -> None:
        state = self._state
        self._name_claim = _NameClaim(state.next_probe_id(), holder)
        state.send(holder.address, Ping(self._name_claim.probe_id, state.name, claims_name=True))
        state.schedule_after(NAME_CLAIM_TIMEOUT_US, self._name_claim_timed_out)

    def _name_claim_timed_out(self) -> None:
        claim = self._name_claim
        if claim is not None and self._state.phase == Phase.JOINING:
            self._name_claim = None
            self._become_present(claim.holder)

    def _become_present(self, known: Entry | None) -> None:
        state = self._state
        if known is not None and known.generation >= state.generation:
            # If the clock was set back, this process would otherwise have too low a generation, and other members would
            # take it for an earlier process.
            state.generation = known.generation + 1
        state.phase = Phase.PRESENT
        state.present_since_us = state.now_us
        state.persist()
        self._dissemination.apply(state.own_entry)
        state.add_action(log_events.joined(state.generation, state.view.active_count))
        self._on_joined()


class Rejoiner:
    """Contacts failed members and inactive seeds, which may be on the other side of a network split."""

    def __init__(self, state: ProtocolState, anti_entropy: AntiEntropy) -> None:
        self._state = state
        self._anti_entropy = anti_entropy

    def contact_lost_members(self) -> None:
        """Contact one lost address, or all of them if this process is alone, and schedule the next attempt."""
        state = self._state
        state.schedule_after(int(REJOIN_INTERVAL_US * (0.5 + state.random.random())), self.contact_lost_members)
        lost = self._lost_addresses()
        if not lost:
            return
        # If this process is alone, the member that welcomed it may have died. Contacting one address at a time would
        # then take too long.
        is_alone = state.view.active_count <= 1
        for address in lost if is_alone else [state.random.choice(lost)]:
            self._contact(address)

    def _lost_addresses(self) -> list[Address]:
        """Return the addresses of failed members and inactive seeds.

        A seed that restarts and joins alone knows no failed members, so it finds other members only through the other
        seeds.
        """
        state = self._state
        entries = state.view.entries.values()
        failed = [entry.address for entry in entries if entry.state == State.FAILED]
        active = {entry.address for entry in entries if is_active(entry)}
        return failed + [seed for seed in state.settings.seeds if seed not in active]

    def _contact(self, address: Address) -> None:
        """Send a message that introduces this process to the member at the address."""
        state = self._state
        entry = next((entry for entry in state.view.entries.values() if entry.address == address), None)
        if entry is None:
            self._anti_entropy.begin_exchange(address, state.own_entry)
        else:
            state.send(address, Ping(state.next_probe_id(), entry.name, state.view.digest), entry)
