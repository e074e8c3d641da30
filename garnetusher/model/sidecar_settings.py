"""The policy settings of a simulated sidecar, equal to those that the lab writes for a real sidecar."""

from __future__ import annotations

import dataclasses
from typing import Any

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, SidecarPlan
from garnetusher.policy.settings import RequestClass, Settings, Tenant

POLICY_EPOCH_US = 10**12  # the policy's time at the start of a run; an upstream with start time 0 has long been warm
# Except for `POLL_INTERVAL_US`, the values are those of the constants in garnetusher/lab/sidecar_settings.py.
CONNECT_TIMEOUT_US = 200_000
POLL_INTERVAL_US = 10_000_000
MAX_RETRY_AFTER_US = 2_000_000
CROSS_ZONE_COST = 0.022  # the cost of an attempt in another zone, as a share of the weight of its request
MAX_INITIAL_WARM_UP_FRACTION = 0.13  # upper limit of the share of its capacity that an endpoint has at its start


def sidecar_settings(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> Settings:
    """Return the policy settings of a sidecar.

    Args:
        experiment: The simulated experiment.
        plan: The plan of this run.
        sidecar: One of the plan's sidecars.
    """
    upstreams = experiment.upstreams
    zones = experiment.topology.zones
    return Settings(
        classes=_request_classes(experiment),
        tenants=[
            Tenant(tenant.name, tenant.share * experiment.load.requests_per_s, tenant.share)
            for tenant in experiment.tenants
        ],
        over_quota_weight=experiment.over_share_worth,
        fleet_size=experiment.sidecars.told or len(plan.sidecars),
        instance_index=plan.sidecars.index(sidecar),
        zone=zones.index(sidecar.zone),
        max_attempts=experiment.sidecars.max_attempts,
        max_retry_after_us=MAX_RETRY_AFTER_US,
        connect_timeout_us=CONNECT_TIMEOUT_US,
        cancel_attempts=True,
        hedging=experiment.sidecars.second_copies,
        warm_up_initial_fraction=min(MAX_INITIAL_WARM_UP_FRACTION, upstreams.cold_share),
        warm_up_us=int(upstreams.warm_up_s * 1e6),
        overload_factor=upstreams.overload_factor,
        overload_window_us=int(upstreams.fall_s * 1e6),
        cross_zone_cost=CROSS_ZONE_COST,
        endpoint_weights=True,
        poll_endpoints=experiment.directory.mode == "on_request",
        poll_interval_us=POLL_INTERVAL_US,
        **_optional_settings(experiment),
    )


def _request_classes(experiment: Experiment) -> list[RequestClass]:
    return [
        RequestClass(
            request_class.name,
            int(request_class.aim_ms * 1000),
            int(request_class.deadline_ms * 1000),
            request_class.worth,
            effect=request_class.effect,
        )
        for request_class in experiment.classes
    ]


def _optional_settings(experiment: Experiment) -> dict[str, Any]:
    """Return the newer settings, without those that the loaded policy does not have.

    The policy of an earlier source tree (`model run --tree`) may lack some.
    """
    regions = list(experiment.topology.regions)
    zone_regions = [regions.index(experiment.topology.region_of(zone)) for zone in experiment.topology.zones]
    known = {field.name for field in dataclasses.fields(Settings)}
    return {name: value for name, value in {"regions": zone_regions}.items() if name in known}
