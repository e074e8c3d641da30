"""The explorer finds what is wrong, makes it small, and plays it again; the module as it is breaks nothing."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from garnetusher.model import explore
from garnetusher.model.explore import FailingSchedule
from garnetusher.model.explore.module import Module
from garnetusher.policy.actions import SetTimer
from garnetusher.policy.balancer import Attempt, Balancer, Request
from garnetusher.policy.events import Outcome
from tests.test_files import call

FOUND_WITHIN = 400  # schedules; 2,000 are allowed


def keeps_a_slot(patch: pytest.MonkeyPatch) -> None:
    """The slot of an attempt whose connection broke is not freed."""
    free = Balancer.free_slot
    patch.setattr(Balancer, "free_slot", lambda self, attempt: attempt.ended is Outcome.RESET or free(self, attempt))


def repeats_after_a_reset(patch: pytest.MonkeyPatch) -> None:
    """An attempt whose connection broke is taken for one that never ran."""

    def first(self: Request) -> Attempt | None:
        never = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN, Outcome.RESET)
        return next((attempt for attempt in self.attempts if attempt.ended not in never), None)

    patch.setattr(Request, "first_that_may_have_run", first)


def arms_no_second_timer(patch: pytest.MonkeyPatch) -> None:
    """Once a timer has been asked for, no other ever is."""
    arm = Balancer.arm

    def once(self: Balancer) -> None:
        if (
            not any(isinstance(action, SetTimer) for action in self.actions)
            and self.armed_us == 0
            and not getattr(self, "armed_once", False)
        ):
            arm(self)
            self.armed_once = self.armed_us > 0  # type: ignore[attr-defined]

    patch.setattr(Balancer, "arm", once)


def sends_on_for_who_has_left(patch: pytest.MonkeyPatch) -> None:
    """That a client sends nothing more is not heard."""
    patch.setattr(Balancer, "on_left", lambda self, request: None)


def first_find(seeds: range) -> FailingSchedule:
    for _, find in explore.explore(Module(), seeds, 120):
        if find is not None:
            return find
    raise AssertionError(f"nothing found in {len(seeds)} schedules")


@pytest.mark.parametrize(
    "bug, rule",
    [
        (keeps_a_slot, "slots"),
        (repeats_after_a_reset, "rule 2"),
        (arms_no_second_timer, "rule 1"),
        (sends_on_for_who_has_left, "left"),
    ],
)
def test_a_seeded_bug_is_found_made_small_and_played_again(
    bug: Callable[[pytest.MonkeyPatch], None], rule: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        bug(patch)
        find = first_find(range(1, FOUND_WITHIN))
        assert find.broken.rule == rule and len(find.schedule.steps) <= 20 < find.drawn_steps
        explore.save(find, tmp_path / "find.json")
        again = explore.load(tmp_path / "find.json")
        assert Module().play(again.schedule) == find.broken
        assert find.broken.text in Module().tell(again.schedule)[-1]
    assert Module().play(find.schedule) is None  # it is the bug that breaks it


def test_the_module_breaks_nothing_and_a_schedule_is_its_seed(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    status, out, _ = call(capsys, monkeypatch, "model", "explore", "module", "--seeds", "1:500", "--out", str(tmp_path))
    assert (status, list(tmp_path.iterdir())) == (0, []), out
    assert out.startswith("module: 500 schedules")
    assert [Module().draw(seed, 120) for seed in range(5)] == [Module().draw(seed, 120) for seed in range(5)]
