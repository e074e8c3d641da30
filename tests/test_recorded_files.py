"""Files that an earlier version wrote are read and replayed with the same result."""

from __future__ import annotations

from pathlib import Path

import pytest

from garnetusher.lab.soak import plan as soak_plan
from garnetusher.model import explore
from garnetusher.model.explore import Part
from garnetusher.model.explore.membership import Membership
from garnetusher.model.explore.module import Module

RECORDED_FOLDER = Path(__file__).resolve().parent / "recorded"
SOAK_SEED = 2001
SOAK_SIDECARS = 10
EXPLORER_SEED = 5
EXPLORER_STEPS = 60


def test_soak_plan_equals_the_drawn_plan_when_recorded_by_an_earlier_version() -> None:
    recorded = soak_plan.load(RECORDED_FOLDER / f"soak-{SOAK_SEED}.json")
    assert recorded == soak_plan.draw(SOAK_SEED, SOAK_SIDECARS)


@pytest.mark.parametrize("part", [Module(), Membership()], ids=lambda part: str(part.name))
def test_explorer_schedule_breaks_no_rule_when_recorded_by_an_earlier_version(part: Part) -> None:
    recorded = explore.load(RECORDED_FOLDER / f"{part.name}-{EXPLORER_SEED}.json").schedule
    assert recorded == part.draw(EXPLORER_SEED, EXPLORER_STEPS)
    assert part.run(recorded) is None
