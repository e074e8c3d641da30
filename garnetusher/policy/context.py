"""The state shared by the components of the policy: settings, clock, random numbers, requests and pending actions."""

from __future__ import annotations

import random

from garnetusher.policy.actions import Action, LogMessage
from garnetusher.policy.events import SettingsChanged
from garnetusher.policy.settings import Settings
from garnetusher.policy.state import ClassState, RequestState, TenantState

# The minimum interval between log lines, so that a change of many endpoints does not flood the log
LOG_INTERVAL_US = 1_000_000


class PolicyContext:
    """The state that all components read, and the list to which they append actions.

    Attributes:
        settings: The operator's settings.
        random: The random number generator for all draws except those that concern zones.
        now_us: The time of the event that is being handled.
        actions: The actions collected for that event so far.
        requests: The requests without a final answer or with outstanding attempts, by id.
        class_states: The state of each request class, in the order of the settings.
        tenant_states: The state of each tenant, in the order of the settings.
        total_quota_per_s: The sum of the quotas of all tenants, at least 1.
        slots_exhausted_us: The last time at which a request found no free slot in any pool.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.requests: dict[int, RequestState] = {}
        self.class_states = [ClassState(request_class) for request_class in settings.classes]
        self.tenant_states = [TenantState(tenant) for tenant in settings.tenants]
        self.total_quota_per_s = self._sum_of_quotas()
        self.slots_exhausted_us = 0
        self._next_log_us = now_us

    def log(self, text: str) -> bool:
        """Write a line unless one was written within `LOG_INTERVAL_US`; return whether it was written."""
        if self.now_us < self._next_log_us:
            return False  # the caller tries again at a later event if the change still holds
        self._next_log_us = self.now_us + LOG_INTERVAL_US
        self.actions.append(LogMessage(text))
        return True

    def take_actions(self) -> list[Action]:
        """Return the actions of the event that has just been handled, and start a new list."""
        actions, self.actions = self.actions, []
        return actions

    def apply_settings(self, event: SettingsChanged) -> None:
        """Replace the settings; a class or tenant that keeps its name keeps its estimates at its new index."""
        self.settings = event.settings
        class_states, tenant_states = self.class_states, self.tenant_states
        self.class_states = [
            ClassState(request_class, class_states[index].mean_response_us if index is not None else None)
            for request_class, index in zip(event.settings.classes, event.previous_class_indexes, strict=True)
        ]
        self.tenant_states = [
            TenantState(tenant, tenant_states[index].recent_arrivals if index is not None else 0.0)
            for tenant, index in zip(event.settings.tenants, event.previous_tenant_indexes, strict=True)
        ]
        self.total_quota_per_s = self._sum_of_quotas()

    def _sum_of_quotas(self) -> float:
        return max(1.0, sum(tenant.quota_per_s for tenant in self.tenant_states))
