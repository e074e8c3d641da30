"""What the policy knows of classes, tenants, requests and attempts. State only: decisions are in the other modules."""

from __future__ import annotations

from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.events import NEVER_RAN, Outcome, RequestArrived
from garnetusher.policy.settings import RequestClass, Tenant


class ClassState:
    """A request class as the operator set it, with the estimates learned from its responses.

    Attributes:
        rules: the class's settings.
        mean_response_us: smoothed response time; a guess until responses have come.
        half_objective_us: half the latency objective: the limit on queueing, and the time of a slow response. The other
            half is left for a retry.
    """

    def __init__(self, rules: RequestClass, mean_response_us: float | None = None) -> None:
        self.rules = rules
        self.mean_response_us = mean_response_us or rules.latency_objective_us / 4
        self.half_objective_us = rules.latency_objective_us // 2


class TenantState:
    """A tenant as the operator set it, with its recent arrivals, of which old ones fade."""

    def __init__(self, tenant: Tenant, recent_arrivals: float = 0.0) -> None:
        self.quota_per_s = tenant.quota_per_s
        self.recent_arrivals = recent_arrivals


class AttemptState:
    """One attempt of a request.

    Attributes:
        endpoint_state: where it went.
        endpoint: the entry of the endpoint list at that time.
        sent_us: when it was forwarded, or when its body was complete.
        outcome: None while it is outstanding.
        holds_slot: whether it takes a slot of its endpoint.
        overdue: whether it is out for longer than responses usually take.
    """

    def __init__(self, endpoint_state: EndpointState, now_us: int) -> None:
        self.endpoint_state = endpoint_state
        self.endpoint = endpoint_state.endpoint
        self.sent_us = now_us
        self.outcome: Outcome | None = None
        self.holds_slot = False
        self.overdue = False


class RequestState:
    """One request that has been taken and has no final answer yet, or still has attempts outstanding.

    Attributes:
        event: the arrival.
        class_state: its class, by reference: an index would change its meaning with new settings.
        tenant: its tenant, if it has one with a quota.
        max_attempts: the limit when it arrived.
        arrived_us: when its clock started: at its arrival, or when its body was complete.
        client_timeout_us: how long its client waits from then on.
        body_complete: otherwise its clock has not started.
        not_replayable: its body is not buffered any more and can't be sent again.
        attempts: all attempts, by index.
        completed: it has had its final answer.
        response_started: the client has had the first bytes of a response.
        client_half_closed: the client sends nothing more.
    """

    def __init__(
        self,
        event: RequestArrived,
        class_state: ClassState,
        tenant: TenantState | None,
        max_attempts: int,
        now_us: int,
    ) -> None:
        self.event = event
        self.class_state = class_state
        self.tenant = tenant
        self.max_attempts = max_attempts
        self.arrived_us = now_us
        self.client_timeout_us = event.deadline_us - now_us
        self.body_complete = event.body_complete
        self.not_replayable = False
        self.attempts: list[AttemptState] = []
        self.completed = False
        self.response_started = False
        self.client_half_closed = False

    def outstanding(self) -> int:
        """Return the number of attempts that have no outcome yet."""
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def first_possibly_executed(self) -> AttemptState | None:
        """Return the first attempt that an endpoint may have executed."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)
