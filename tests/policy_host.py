"""Settings, upstreams and a host for tests of the policy."""

from __future__ import annotations

from typing import Any

from garnetusher.model.contract_host import START_US, Host
from garnetusher.policy.events import Endpoint
from garnetusher.policy.settings import RequestClass, Settings

__all__ = ["START_US", "PolicyHost", "classes", "settings", "upstreams"]


def classes() -> list[RequestClass]:
    return [
        RequestClass("read", latency_objective_us=300_000, deadline_us=1_500_000, effect="idempotent", late_weight=0.3),
        RequestClass(
            "pay", latency_objective_us=300_000, deadline_us=600_000, priority_weight=5, effect="at_most_once"
        ),
        RequestClass(
            "mark",
            latency_objective_us=400_000,
            deadline_us=2_000_000,
            priority_weight=3,
            effect="deduplicated",
            deduplication_scope="cell",
            deduplication_window_us=1_200_000,
        ),
    ]


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": classes(),
        "fleet_size": 3,
        "batch_interval_us": 4000,
        "max_attempts": 4,
        "cancel_attempts": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 150_000,
        "hedging": True,
        "warm_up_initial_fraction": 0.2,
        "warm_up_us": 20_000_000,
        "overload_factor": 2.5,
        "overload_window_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def upstreams(count: int, **changes: Any) -> list[Endpoint]:
    """Return `count` ready upstreams, two in each cell and two in each zone."""
    return [Endpoint(100 + i, zone=i // 2, cell=i // 2, **changes) for i in range(count)]


class PolicyHost(Host):
    """A host that checks the actions of a balancer; its default settings are those of `settings()`."""

    def __init__(self, policy_settings: Settings | None = None, seed: int = 7) -> None:
        super().__init__(policy_settings or settings(), seed)
