"""Membership keeps all rules in random schedules of events, and breaks one when a fault is injected.

See `garnetusher.model.explore` for schedules and rules.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from garnetusher.membership import fleet_size
from garnetusher.membership.join import Joiner, Rejoiner
from garnetusher.membership.name_conflicts import NameConflicts
from garnetusher.model import explore
from garnetusher.model.explore import Schedule, Step
from garnetusher.model.explore.membership import Membership

STEPS = 30


def test_membership_keeps_all_rules_when_schedules_are_explored() -> None:
    assert [failure.broken.text for _, failure in explore.explore(Membership(), range(1, 26), STEPS) if failure] == []


def never_contacts_failed_members(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Rejoiner, "contact_lost_members", lambda self: None)


def never_refutes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(NameConflicts, "handle_own_entry", lambda self, entry: None)


def stops_counting_failed_members_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_size, "HOLD_FAILED_US", 0)
    # the default values of `floor`, `hold_us` and `hold_failed_us`
    monkeypatch.setattr(fleet_size.FleetSizeEstimator.__init__, "__defaults__", (1, 0, 0))


@pytest.mark.parametrize(
    "inject_fault", [never_contacts_failed_members, never_refutes, stops_counting_failed_members_at_once]
)
def test_exploration_finds_the_fault_when_one_is_injected(
    inject_fault: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    inject_fault(monkeypatch)
    part = Membership()
    broken = next((b for seed in range(1, 200) if (b := part.run(part.draw(seed, STEPS))) is not None), None)
    assert broken is not None
    assert broken.rule in ("convergence", "limits")


@pytest.mark.parametrize("seed", [9_182_256, 9_182_296, 9_300_358, 9_301_827, 9_301_024])
def test_membership_keeps_all_rules_when_a_schedule_once_broke_one(seed: int) -> None:
    """Replay schedules that once broke a rule.

    In the first, a process restarted with the generation of an earlier process. In the second, two members never found
    each other after the member through which both join had died. In the third, a network fault in which a process had
    restarted alone ended, and another one began at the same time. In the fourth, the only running seed was leaving when
    the faults ended. In the fifth, two members that lose 30% of their datagrams each count themselves alone.

    Any change to `draw` gives other schedules for these seeds.
    """
    part = Membership()
    assert part.run(part.draw(seed, 120)) is None


def test_limits_are_checked_in_a_second_network_fault_when_members_found_each_other_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The shares may add up to more than one in the first fault, in which n0 restarts alone, but not in the second."""
    steps = [Step("cut", 0, 1), Step("restart", 0, 0), Step("advance", 9000), Step("heal")]
    steps += [Step("advance", 3000), Step("split", 1), Step("advance", 9000)]
    setup = {"nodes": 2, "loss": 0, "doubled": 0, "keys": 0}
    schedule = Schedule(Membership.name, 1, setup, steps)
    assert Membership().run(schedule) is None
    stops_counting_failed_members_at_once(monkeypatch)
    broken = Membership().run(schedule)
    assert broken is not None
    assert (broken.rule, broken.step) == ("limits", len(steps) - 1)


@pytest.mark.parametrize(("killed", "leaving"), [(0, 1), (1, 0)])
def test_node_must_join_through_a_seed_that_starts_when_the_last_seed_is_leaving(
    killed: int, leaving: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    setup = {"nodes": 3, "loss": 0, "doubled": 0, "keys": 0}
    steps = [Step("kill", killed), Step("restart", 2), Step("leave", leaving)]
    schedule = Schedule(Membership.name, 1, setup, steps)
    assert Membership().run(schedule) is None
    monkeypatch.setattr(Joiner, "handle_join", lambda self, message, address: None)
    broken = Membership().run(schedule)
    assert broken is not None
    assert broken.text == "n0 considers ['n0'] active; ['n0', 'n2'] are running"
