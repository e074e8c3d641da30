"""Crossings that nobody thought of: seeds play clients, upstreams and discovery against the real sidecar."""

from __future__ import annotations

import pytest

from tests.interleaving_driver import Play
from tests.runner import run

SEEDS = range(24)
STEPS = 120


@pytest.mark.parametrize("seed", SEEDS)
def test_whatever_crosses_each_request_has_its_one_answer_and_runs_where_it_may(seed: int) -> None:
    run(lambda: Play(seed).play(STEPS))
