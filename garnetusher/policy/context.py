"""State that the policy's components share: settings, clock, random source, requests and the actions of one event."""

from __future__ import annotations

import random

from garnetusher.policy.actions import Action, LogMessage
from garnetusher.policy.events import SettingsChanged
from garnetusher.policy.settings import Settings
from garnetusher.policy.state import ClassState, RequestState, TenantState

LOG_INTERVAL_US = 1_000_000  # at most one line in this time, however many endpoints change


class PolicyContext:
    """What every component reads, and the list of actions that it appends to.

    Attributes:
        settings: the operator's settings.
        random: the source of all draws but those of zones.
        now_us: the time of the event being handled.
        actions: the actions that follow from it so far.
        requests: requests without a final answer or with outstanding attempts.
        class_states: by the index of the class in the settings.
        tenant_states: by the index of the tenant in the settings.
        total_quota_per_s: the sum of all tenants' quotas.
        slots_exhausted_us: when a request last found no free slot in any pool.
    """

    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.requests: dict[int, RequestState] = {}
        self.class_states = [ClassState(rules) for rules in settings.classes]
        self.tenant_states = [TenantState(tenant) for tenant in settings.tenants]
        self.total_quota_per_s = self._sum_of_quotas()
        self.slots_exhausted_us = 0
        self._next_log_us = now_us

    def log(self, text: str) -> bool:
        """Write a line unless one was written just now; return whether it was written."""
        if self.now_us < self._next_log_us:
            return False  # the caller reports the change later, if it lasts
        self._next_log_us = self.now_us + LOG_INTERVAL_US
        self.actions.append(LogMessage(text))
        return True

    def take_actions(self) -> list[Action]:
        """Return the actions of the event that has been handled and start a new list."""
        actions, self.actions = self.actions, []
        return actions

    def apply_settings(self, event: SettingsChanged) -> None:
        """Replace the settings; estimates of a class or tenant move to the new index of its name."""
        self.settings = event.settings
        class_states, tenant_states = self.class_states, self.tenant_states
        self.class_states = [
            ClassState(rules, class_states[index].mean_response_us if index is not None else None)
            for rules, index in zip(event.settings.classes, event.previous_class_indexes, strict=True)
        ]
        self.tenant_states = [
            TenantState(tenant, tenant_states[index].recent_arrivals if index is not None else 0.0)
            for tenant, index in zip(event.settings.tenants, event.previous_tenant_indexes, strict=True)
        ]
        self.total_quota_per_s = self._sum_of_quotas()

    def _sum_of_quotas(self) -> float:
        return max(1.0, sum(tenant.quota_per_s for tenant in self.tenant_states))
