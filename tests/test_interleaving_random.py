"""Randomly generated interleavings of the steps of clients, upstreams and discovery, run against the real sidecar."""

from __future__ import annotations

import pytest

from tests.interleaving_driver import InterleavingDriver
from tests.runner import run

SEEDS = range(24)
STEPS = 120


@pytest.mark.parametrize("seed", SEEDS)
def test_each_request_gets_one_response_and_runs_only_where_permitted_in_any_interleaving(seed: int) -> None:
    run(lambda: InterleavingDriver(seed).run_steps(STEPS))
