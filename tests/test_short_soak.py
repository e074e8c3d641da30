"""A short soak with fixed seeds: real processes under overlapping faults, judged by the oracle.

The long run is started by hand: `garnetusher lab soak --seeds 1:300`.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import pytest

from garnetusher.lab.sidecars import build
from garnetusher.lab.soak.campaign import draw_soak
from garnetusher.lab.soak.plan import (
    ENDING_FAULTS,
    PEER_CLIENT_FAULTS,
    PEER_UPSTREAM_FAULTS,
    PRESSURE_CLIENT_FAULTS,
    PRESSURE_UPSTREAM_FAULTS,
    FaultKind,
    Plan,
    RequestClass,
)
from garnetusher.lab.soak.plan import Fault as PlannedFault
from garnetusher.lab.soak.run import RunResult, run_plan
from tests.experiment import ROOT

SEEDS = (39_001, 39_002, 39_003, 39_004, 39_005, 39_006)
SIDECARS = 5
CONCURRENT_RUNS = 2
LOADED_RUN = "loaded"
UPLOAD_RUN = "uploads"
REQUIRED_KINDS = {
    FaultKind.RESTART,
    FaultKind.KILL,
    FaultKind.RELOAD,
    FaultKind.RESET,
    FaultKind.HANG,
    FaultKind.LIST_STYLES,
    *PEER_UPSTREAM_FAULTS,
    *PEER_CLIENT_FAULTS,
    *PRESSURE_UPSTREAM_FAULTS,
    *PRESSURE_CLIENT_FAULTS,
    *ENDING_FAULTS,
    FaultKind.LONG_RESPONSES,
    FaultKind.SLOW_HEADS,
}


def loaded_plan() -> Plan:
    """Return a plan in which many sound clients end their connections, and upstreams respond twice, for a long time."""
    classes = [RequestClass("publish", "at_most_once", 2000), RequestClass("read", "idempotent", 1500)]
    faults = [
        PlannedFault(FaultKind.CLOSING_CLIENTS, 0.5, 24.0, [0]),
        PlannedFault(FaultKind.SECOND_RESPONSES, 0.5, 24.0, list(range(8)), 0.05),
    ]
    return Plan(39, 25.0, 1, 8, rate_per_s=160.0, service_ms=40.0, classes=classes, faults=faults, memory_mb=48)


def upload_plan() -> Plan:
    """Return a plan in which clients send bodies of megabytes while three of eight upstreams read nothing."""
    classes = [RequestClass("publish", "at_most_once", 2000), RequestClass("read", "idempotent", 1500)]
    faults = [
        PlannedFault(FaultKind.FREEZE, 2.0, 10.0, [0, 1, 2]),
        PlannedFault(FaultKind.LARGE_BODIES, 1.0, 12.0, [0, 1]),
    ]
    return Plan(40, 15.0, 2, 8, rate_per_s=20.0, service_ms=20.0, classes=classes, faults=faults)


def plans() -> dict[str, Plan]:
    drawn = {str(seed): draw_soak(seed, SIDECARS) for seed in SEEDS}
    return {LOADED_RUN: loaded_plan(), UPLOAD_RUN: upload_plan()} | drawn


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> dict[str, RunResult]:
    build(ROOT)
    folder: Path = tmp_path_factory.mktemp("soak")
    with ProcessPoolExecutor(CONCURRENT_RUNS, mp_context=get_context("spawn")) as pool:
        runs = {name: pool.submit(run_plan, plan, folder / name, ROOT) for name, plan in plans().items()}
        return {name: run.result() for name, run in runs.items()}


def test_plans_of_the_short_soak_cover_the_required_kinds_of_faults() -> None:
    assert {fault.kind for plan in plans().values() for fault in plan.faults} >= REQUIRED_KINDS


@pytest.mark.parametrize("name", [LOADED_RUN, UPLOAD_RUN, *map(str, SEEDS)])
def test_soak_breaks_no_rule_when_the_plan_of_a_seed_runs(results: dict[str, RunResult], name: str) -> None:
    assert results[name].breaches == []
    assert results[name].ends["served"] > 0
