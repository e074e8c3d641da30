"""When the clients of a sidecar send requests."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from garnetusher.model import draw
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan_types import Burst, Plan, SidecarPlan, us

DRAWN_AHEAD = 256  # arrivals drawn in one go
MICROSECONDS = 1_000_000  # in a second


def arrivals(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> Iterator[tuple[int, int, int]]:
    """Yield when a sidecar's clients send requests, in order.

    It is a Poisson stream at the rate of the highest burst, thinned to the rate of each moment. In a burst of one
    tenant only that tenant's requests become more.

    Yields:
        Microseconds from the run's start, the index of the class and the index of the tenant.
    """
    rng = draw.stream(plan.seed, "arrivals", sidecar.name)
    classes = np.cumsum([request_class.share for request_class in experiment.classes])
    tenants = np.cumsum([tenant.share for tenant in experiment.tenants] or [1.0])
    bursts = [burst for burst in plan.bursts if sidecar.name in burst.sidecars]
    highest = max([1.0, *(burst.times for burst in bursts)])
    peak_per_s = sidecar.rate_per_s * highest
    if peak_per_s <= 0:
        return
    end_us, at_us = us(plan.seconds), 0.0
    while True:
        draws = rng.random((DRAWN_AHEAD, 3))
        gaps_us = rng.exponential(MICROSECONDS / peak_per_s, DRAWN_AHEAD)
        class_indexes = np.searchsorted(classes, draws[:, 0] * classes[-1], side="right")
        tenant_indexes = np.searchsorted(tenants, draws[:, 1] * tenants[-1], side="right")
        for index in range(DRAWN_AHEAD):
            at_us += float(gaps_us[index])
            if at_us >= end_us:
                return
            tenant = int(tenant_indexes[index])
            if not bursts or draws[index, 2] < _rate_factor(experiment, bursts, int(at_us), tenant) / highest:
                yield int(at_us), int(class_indexes[index]), tenant


def _rate_factor(experiment: Experiment, bursts: list[Burst], at_us: int, tenant: int) -> float:
    """Return the multiple of a tenant's usual rate at a time."""
    factor = 1.0
    for burst in bursts:
        if burst.at_us <= at_us < burst.until_us and _concerns(experiment, burst, tenant):
            factor *= burst.times
    return factor


def _concerns(experiment: Experiment, burst: Burst, tenant: int) -> bool:
    if burst.tenant is None:
        return True
    return bool(experiment.tenants) and experiment.tenants[tenant].name == burst.tenant
