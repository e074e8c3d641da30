"""Joining through seeds, the claim of a name that is taken, and rejoining of members that were lost."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from garnetusher.membership import log_events
from garnetusher.membership.actions import StopReason
from garnetusher.membership.anti_entropy import AntiEntropy
from garnetusher.membership.dissemination import Dissemination
from garnetusher.membership.messages import Ack, Address, Entry, Join, Ping, Welcome
from garnetusher.membership.state import MemberState, Phase
from garnetusher.membership.view import State, is_active

FIRST_JOIN_BACKOFF_US = 500_000  # between calls to seeds, doubled with each
MAX_JOIN_BACKOFF_US = 4_000_000
ALONE_AFTER_BACKOFF_US = 2 * FIRST_JOIN_BACKOFF_US  # a seed whose backoff is longer has heard of no other member
SEEDS_PER_ATTEMPT = 2
NAME_CLAIM_TIMEOUT_US = 1_000_000  # in which the holder of a name has to answer the newcomer
REJOIN_INTERVAL_US = 1_000_000  # between pings of members that failed, by which the parts of a split find each other


class _NameClaim(Struct, frozen=True):
    """A ping to the process that holds this process's name."""

    probe_id: int
    holder: Entry


class Joiner:
    """Makes this process a member, and welcomes others."""

    def __init__(
        self,
        state: MemberState,
        dissemination: Dissemination,
        anti_entropy: AntiEntropy,
        joined: Callable[[], None],
    ) -> None:
        self._state = state
        self._dissemination = dissemination
        self._anti_entropy = anti_entropy
        self._joined = joined
        self._backoff_us = FIRST_JOIN_BACKOFF_US
        self._name_claim: _NameClaim | None = None
        self.welcome_member_count = 0  # members that a seed counted, which may not all be in the view yet

    def try_seeds(self) -> None:
        """Send a join request to some seeds, and schedule the next attempt."""
        state = self._state
        if state.phase != Phase.JOINING or self._name_claim is not None:
            return
        is_seed = state.own_address in state.settings.seeds
        seeds = [seed for seed in state.settings.seeds if seed != state.own_address]
        if not seeds or (is_seed and self._backoff_us > ALONE_AFTER_BACKOFF_US):
            self._become_present(None)  # the first member of all, or a seed that hears of no other
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
        state.send(address, Welcome(state.view.entries.get(message.entry.name), state.view.present))
        self._anti_entropy.request(address)

    def handle_welcome(self, message: Welcome) -> None:
        """Become present, unless the name may be taken: its holder has to say so itself, as it may have just died."""
        state = self._state
        self.welcome_member_count = max(self.welcome_member_count, message.member_count)
        state.acknowledged = True
        if state.phase != Phase.JOINING or self._name_claim is not None:
            return
        known = message.known_entry
        if known is not None and self._is_held_by_another(known):
            self._claim_name(known)
        else:
            self._become_present(known)

    def handle_name_claim(self, ping: Ping, address: Address) -> None:
        """Answer a newcomer that wants this process's name."""
        state = self._state
        if state.phase == Phase.PRESENT:
            state.add_action(log_events.name_taken(address, state.generation))
            state.send(address, Ack(ping.probe_id, state.view.digest))

    def is_name_claim_answer(self, ack: Ack, address: Address) -> bool:
        """Return whether the holder of this process's name has answered the claim."""
        claim = self._name_claim
        return claim is not None and ack.probe_id == claim.probe_id and address == claim.holder.address

    def refuse(self, holder: Address) -> None:
        """Give up, as the name is taken."""
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
            # a clock that went back would make this process the earlier one
            state.generation = known.generation + 1
        state.phase = Phase.PRESENT
        state.present_since_us = state.now_us
        state.persist()
        self._dissemination.apply(state.own_entry)
        state.add_action(log_events.joined(state.generation, state.view.present))
        self._joined()


class Rejoiner:
    """Contacts members that failed, and seeds that are not active: they may be on the other side of a split."""

    def __init__(self, state: MemberState, anti_entropy: AntiEntropy) -> None:
        self._state = state
        self._anti_entropy = anti_entropy

    def contact_lost_members(self) -> None:
        """Contact one lost address, or all if this process is alone, and schedule the next attempt."""
        state = self._state
        state.schedule_after(int(REJOIN_INTERVAL_US * (0.5 + state.random.random())), self.contact_lost_members)
        lost = self._lost_addresses()
        if not lost:
            return
        # alone: the member that welcomed this process may have died; one address at a time would take too long
        is_alone = state.view.present <= 1
        for address in lost if is_alone else [state.random.choice(lost)]:
            self._contact(address)

    def _lost_addresses(self) -> list[Address]:
        """Return failed members and inactive seeds: a seed that left and returned alone would find nobody otherwise."""
        state = self._state
        entries = state.view.entries.values()
        failed = [entry.address for entry in entries if entry.state == State.FAILED]
        active = {entry.address for entry in entries if is_active(entry)}
        return failed + [seed for seed in state.settings.seeds if seed not in active]

    def _contact(self, address: Address) -> None:
        """Send whoever is at the address an introduction of this process."""
        state = self._state
        entry = next((entry for entry in state.view.entries.values() if entry.address == address), None)
        if entry is None:
            self._anti_entropy.request(address, state.own_entry)
        else:
            state.send(address, Ping(state.next_probe_id(), entry.name, state.view.digest), entry)
