"""Generates the arrival times of a sidecar's requests."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from garnetusher.model import draw
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan_types import Burst, Plan, SidecarPlan, microseconds

BATCH_SIZE = 256  # the number of arrivals that are drawn at once
US_PER_S = 1_000_000


def arrivals(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> Iterator[tuple[int, int, int]]:
    """Yield the requests that a sidecar's clients send, in the order of time.

    The arrivals are a Poisson process at the rate of the highest burst, thinned to the current rate. A burst of one
    tenant changes the rate of that tenant only. The factors of overlapping bursts are multiplied, but the rate never
    exceeds that of the highest single burst.

    Yields:
        The time in microseconds from the run's start, the index of the class and the index of the tenant.
    """
    rng = draw.stream(plan.seed, "arrivals", sidecar.name)
    cumulative_class_shares = np.cumsum([request_class.share for request_class in experiment.classes])
    cumulative_tenant_shares = np.cumsum([tenant.share for tenant in experiment.tenants] or [1.0])
    bursts = [burst for burst in plan.bursts if sidecar.name in burst.sidecars]
    peak_factor = max([1.0, *(burst.times for burst in bursts)])
    peak_per_s = sidecar.rate_per_s * peak_factor
    if peak_per_s <= 0:
        return
    end_us, at_us = microseconds(plan.seconds), 0.0
    while True:
        draws = rng.random((BATCH_SIZE, 3))
        gaps_us = rng.exponential(US_PER_S / peak_per_s, BATCH_SIZE)
        class_indexes = np.searchsorted(
            cumulative_class_shares, draws[:, 0] * cumulative_class_shares[-1], side="right"
        )
        tenant_indexes = np.searchsorted(
            cumulative_tenant_shares, draws[:, 1] * cumulative_tenant_shares[-1], side="right"
        )
        for index in range(BATCH_SIZE):
            at_us += float(gaps_us[index])
            if at_us >= end_us:
                return
            tenant = int(tenant_indexes[index])
            if not bursts or draws[index, 2] < _rate_factor(experiment, bursts, int(at_us), tenant) / peak_factor:
                yield int(at_us), int(class_indexes[index]), tenant


def _rate_factor(experiment: Experiment, bursts: list[Burst], at_us: int, tenant: int) -> float:
    """Return a tenant's rate at a time, as a multiple of its usual rate."""
    factor = 1.0
    for burst in bursts:
        if burst.at_us <= at_us < burst.until_us and _affects(experiment, burst, tenant):
            factor *= burst.times
    return factor


def _affects(experiment: Experiment, burst: Burst, tenant: int) -> bool:
    if burst.tenant is None:
        return True
    return bool(experiment.tenants) and experiment.tenants[tenant].name == burst.tenant
