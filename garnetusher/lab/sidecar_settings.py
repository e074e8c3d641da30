"""The settings that the lab writes to a sidecar's configuration file, as the platform does."""

from __future__ import annotations

from typing import Any

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, SidecarPlan

STANDARD_MODEL = "nodo-estandar"  # the platform's name for the only kind of machine in the lab
CONNECT_TIMEOUT_US = 200_000
MAX_OPEN_REQUESTS = 20_000  # the platform's file has this setting, but the sidecar ignores it
MAX_RETRY_AFTER_US = 2_000_000
CROSS_ZONE_COST = 0.022  # the cost of an attempt in another zone, as a share of the weight of its request
BATCH_INTERVAL_US = 1000
ANSWER_SLACK_US = 20_000  # ignored by the sidecar, like MAX_OPEN_REQUESTS
POLL_INTERVAL_US = 10_000_000  # the longest interval between two calls to discovery without a watch
MAX_INITIAL_WARM_UP_FRACTION = 0.13  # the sidecars assume at most this share of the capacity after an upstream's start
DRAIN_GRACE_US = 1_000_000  # ignored by the sidecar, like MAX_OPEN_REQUESTS
DEDUPLICATION_WINDOW_US = 5_000_000


def settings_document(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> dict[str, Any]:
    """Return the settings of one sidecar under the keys of the platform. Durations are in microseconds."""
    upstreams = experiment.upstreams
    sidecars = experiment.sidecars
    zones = experiment.topology.zones
    return {
        "accounts": [
            {
                "name": tenant.name,
                "share": tenant.share,
                "allowance-per-s": tenant.share * experiment.load.requests_per_s,
            }
            for tenant in experiment.tenants
        ],
        "areas": zones,
        "locality": zones.index(sidecar.zone),
        "kinds": [STANDARD_MODEL],
        "family": "mesh",
        "bounds": {
            "cancel": True,
            "conn-idle": int(upstreams.idle_s * 1e6),
            "dial-timeout": CONNECT_TIMEOUT_US,
            "max-open": MAX_OPEN_REQUESTS,
            "max-retry-after": MAX_RETRY_AFTER_US,
            "most-tries": sidecars.max_attempts,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": sidecars.second_copies,
        },
        "client-habits": {"marks-retry": experiment.clients.marks},
        "fees": {"cross-zone": CROSS_ZONE_COST},
        "granularity": BATCH_INTERVAL_US,
        "instances": sidecars.told or len(plan.sidecars),
        "self-index": plan.sidecars.index(sidecar),
        "invariants": {
            "answer-slack": ANSWER_SLACK_US,
            "ask-within": POLL_INTERVAL_US,
            "cold-share": min(MAX_INITIAL_WARM_UP_FRACTION, upstreams.cold_share),
            "drain-grace": DRAIN_GRACE_US,
            "fall": int(upstreams.fall_s * 1e6),
            "overload-factor": upstreams.overload_factor,
            "warm-up": int(upstreams.warm_up_s * 1e6),
        },
        "over-share-worth": experiment.over_share_worth,
        "registry-mode": experiment.directory.mode,
        "report": {"how": "none", "names": []},
        "value-by": "request",
        "weights": "rough",
        "request-classes": [
            {
                "name": request_class.name,
                "aim": int(request_class.aim_ms * 1000),
                "deadline": int(request_class.deadline_ms * 1000),
                "effect": request_class.effect,
                "group": "all",
                "late-worth": 0.0,
                "memory-span": DEDUPLICATION_WINDOW_US,
                "stream": False,
                "worth": request_class.worth,
            }
            for request_class in experiment.classes
        ],
    }
