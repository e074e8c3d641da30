"""The explorer finds injected bugs, shrinks and replays the schedules, and finds no broken rule without a bug."""

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
from tests.test_command_errors import run_command

SEED_LIMIT = 400  # exclusive; finding a bug may take up to 2,000 schedules, so this limit is stricter than required


def leaks_slots_after_resets(patch: pytest.MonkeyPatch) -> None:
    """Do not free the slot of an attempt whose connection was reset."""
    free_slot = AttemptForwarder.free_slot
    patch.setattr(
        AttemptForwarder,
        "free_slot",
        lambda self, attempt: attempt.outcome is Outcome.RESET or free_slot(self, attempt),
    )


def retries_unsafely_after_resets(patch: pytest.MonkeyPatch) -> None:
    """Treat an attempt whose connection was reset as never executed."""

    def first_possibly_executed(self: RequestState) -> AttemptState | None:
        not_executed = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN, Outcome.RESET)
        return next((attempt for attempt in self.attempts if attempt.outcome not in not_executed), None)

    patch.setattr(RequestState, "first_possibly_executed", first_possibly_executed)


def arms_only_the_first_timer(patch: pytest.MonkeyPatch) -> None:
    """Arm no further timer after the first one."""
    arm = TimerQueue.arm

    def arm_once(self: TimerQueue, readmissions_us: list[int] | None) -> None:
        if (
            not any(isinstance(action, SetTimer) for action in self._context.actions)
            and self.armed_us == 0
            and not getattr(self, "armed_once", False)
        ):
            arm(self, readmissions_us)
            self.armed_once = self.armed_us > 0  # type: ignore[attr-defined]

    patch.setattr(TimerQueue, "arm", arm_once)


def ignores_half_closed_clients(patch: pytest.MonkeyPatch) -> None:
    """Ignore that a client has half-closed its connection."""
    patch.setattr(RequestLifecycle, "on_client_half_closed", lambda self, event: None)


def first_failure(seeds: range) -> FailingSchedule:
    for _, failure in explore.explore(Module(), seeds, 120):
        if failure is not None:
            return failure
    raise AssertionError(f"no rule was broken in {len(seeds)} schedules")


@pytest.mark.parametrize(
    ("inject_bug", "rule"),
    [
        (leaks_slots_after_resets, "slots"),
        (retries_unsafely_after_resets, "rule 2"),
        (arms_only_the_first_timer, "rule 1"),
        (ignores_half_closed_clients, "left"),
    ],
)
def test_explorer_finds_shrinks_and_replays_a_failure_when_a_bug_is_injected(
    inject_bug: Callable[[pytest.MonkeyPatch], None], rule: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as patch:
        inject_bug(patch)
        failure = first_failure(range(1, SEED_LIMIT))
        assert failure.broken.rule == rule
        assert len(failure.schedule.steps) <= 20 < failure.drawn_steps
        explore.save(failure, tmp_path / "failure.json")
        loaded = explore.load(tmp_path / "failure.json")
        assert Module().run(loaded.schedule) == failure.broken
        assert failure.broken.text in Module().describe(loaded.schedule)[-1]
    assert Module().run(failure.schedule) is None  # without the bug no rule is broken


def test_explorer_finds_no_broken_rule_and_draws_equal_schedules_when_the_policy_is_correct(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    status, output, _ = run_command(
        capsys, monkeypatch, "model", "explore", "module", "--seeds", "1:500", "--out", str(tmp_path)
    )
    assert (status, list(tmp_path.iterdir())) == (0, []), output
    assert output.startswith("module: 500 schedules")
    assert [Module().draw(seed, 120) for seed in range(5)] == [Module().draw(seed, 120) for seed in range(5)]
