"""Files that an earlier version wrote are read and replayed alike."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnetusher.lab.soak import plan as soak_plan
from garnetusher.model import explore
from garnetusher.model.explore import Part
from garnetusher.model.explore.membership import Membership
from garnetusher.model.explore.module import Module

RECORDED = Path(__file__).resolve().parent / "recorded"
SOAK_SEED = 2001
SOAK_SIDECARS = 10
EXPLORER_SEED = 5
EXPLORER_STEPS = 60


def test_soak_plan_is_read_as_drawn_when_recorded_before() -> None:
    recorded = soak_plan.load(RECORDED / f"soak-{SOAK_SEED}.json")
    assert recorded == soak_plan.draw(SOAK_SEED, SOAK_SIDECARS)


@pytest.mark.parametrize("part", [Module(), Membership()], ids=lambda part: str(part.name))
def test_explorer_schedule_is_replayed_without_a_breach_when_recorded_before(part: Part) -> None:
    recorded = explore.load(RECORDED / f"{part.name}-{EXPLORER_SEED}.json").schedule
    assert recorded == part.draw(EXPLORER_SEED, EXPLORER_STEPS)
    assert part.play(recorded) is None
