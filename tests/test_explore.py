"""The explorer finds what is wrong, makes it small, and plays it again; the module as it is breaks nothing."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from garnetusher.model import explore
from garnetusher.model.explore import FailingSchedule
from garnetusher.model.explore.module import Module
from garnetusher.policy.actions import SetTimer
from garnetusher.policy.attempts import AttemptForwarder
from garnetusher.policy.events import Outcome
from garnetusher.policy.lifecycle import RequestLifecycle
from garnetusher.policy.state import AttemptState, RequestState
from garnetusher.policy.timers import TimerQueue
from tests.test_files import call

FOUND_WITHIN = 400  # schedules; 2,000 are allowed


def keeps_a_slot(patch: pytest.MonkeyPatch) -> None:
    """The slot of an attempt whose connection broke is not freed."""
    free = AttemptForwarder.free_slot
    patch.setattr(
        AttemptForwarder, "free_slot", lambda self, attempt: attempt.outcome is Outcome.RESET or free(self, attempt)
    )


def repeats_after_a_reset(patch: pytest.MonkeyPatch) -> None:
    """An attempt whose connection broke is taken for one that never ran."""

    def first(self: RequestState) -> AttemptState | None:
        never = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN, Outcome.RESET)
        return next((attempt for attempt in self.attempts if attempt.outcome not in never), None)

    patch.setattr(RequestState, "first_possibly_executed", first)


def arms_no_second_timer(patch: pytest.MonkeyPatch) -> None:
    """Once a timer has been asked for, no other ever is."""
    arm = TimerQueue.arm

    def once(self: TimerQueue, readmissions_us: list[int] | None) -> None:
        if (
            not any(isinstance(action, SetTimer) for action in self._context.actions)
            and self.armed_us == 0
            and not getattr(self, "armed_once", False)
        ):
            arm(self, readmissions_us)
            self.armed_once = self.armed_us > 0  # type: ignore[attr-defined]

    patch.setattr(TimerQueue, "arm", once)


def sends_on_for_who_has_left(patch: pytest.MonkeyPatch) -> None:
    """That a client sends nothing more is not heard."""
    patch.setattr(RequestLifecycle, "on_client_half_closed", lambda self, event: None)


def first_find(seeds: range) -> FailingSchedule:
    for _, find in explore.explore(Module(), seeds, 120):
        if find is not None:
            return find
    raise AssertionError(f"nothing found in {len(seeds)} schedules")


@pytest.mark.parametrize(
    ("bug", "rule"),
    [
        (keeps_a_slot, "slots"),
        (repeats_after_a_reset, "rule 2"),
        (arms_no_second_timer, "rule 1"),
        (sends_on_for_who_has_left, "left"),
    ],
)
def test_explorer_finds_shrinks_and_replays_when_a_bug_is_seeded(
    bug: Callable[[pytest.MonkeyPatch], None], rule: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        bug(patch)
        find = first_find(range(1, FOUND_WITHIN))
        assert find.broken.rule == rule
        assert len(find.schedule.steps) <= 20 < find.drawn_steps
        explore.save(find, tmp_path / "find.json")
        again = explore.load(tmp_path / "find.json")
        assert Module().play(again.schedule) == find.broken
        assert find.broken.text in Module().tell(again.schedule)[-1]
    assert Module().play(find.schedule) is None  # it is the bug that breaks it


def test_explorer_finds_nothing_and_repeats_schedules_when_the_policy_is_correct(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    status, out, _ = call(capsys, monkeypatch, "model", "explore", "module", "--seeds", "1:500", "--out", str(tmp_path))
    assert (status, list(tmp_path.iterdir())) == (0, []), out
    assert out.startswith("module: 500 schedules")
    assert [Module().draw(seed, 120) for seed in range(5)] == [Module().draw(seed, 120) for seed in range(5)]
