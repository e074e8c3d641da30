"""The state of request classes, tenants, requests and attempts; the other modules of the package make the decisions."""

from __future__ import annotations

from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.events import NEVER_RAN, Outcome, RequestArrived
from garnetusher.policy.settings import RequestClass, Tenant


class ClassState:
    """The settings of a request class and the estimates from its responses.

    Attributes:
        request_class: The settings of the class.
        mean_response_us: The moving average of response times; a quarter of the latency objective before the first
            response.
        half_objective_us: Half the latency objective. It limits the time in the buffer, and an attempt that takes
            longer is overdue in any case. The other half leaves time for a retry.
    """

    def __init__(self, request_class: RequestClass, mean_response_us: float | None = None) -> None:
        self.request_class = request_class
        self.mean_response_us = mean_response_us or request_class.latency_objective_us / 4
        self.half_objective_us = request_class.latency_objective_us // 2


class TenantState:
    """The quota of a tenant and a decaying count of its recent arrivals."""

    def __init__(self, tenant: Tenant, recent_arrivals: float = 0.0) -> None:
        self.quota_per_s = tenant.quota_per_s
        self.recent_arrivals = recent_arrivals


class AttemptState:
    """One attempt of a request.

    Attributes:
        endpoint_state: The state of the endpoint that it was forwarded to.
        endpoint: The entry of that endpoint in the endpoint list when the attempt started.
        sent_us: The time when it was started by `Forward` or, if that was later, when the request body was complete.
        outcome: How it ended; None while it is outstanding.
        holds_slot: Whether it holds a slot of its endpoint.
        overdue: Whether it has been outstanding for longer than responses usually take.
    """

    def __init__(self, endpoint_state: EndpointState, now_us: int) -> None:
        self.endpoint_state = endpoint_state
        self.endpoint = endpoint_state.endpoint
        self.sent_us = now_us
        self.outcome: Outcome | None = None
        self.holds_slot = False
        self.overdue = False


class RequestState:
    """A request that has no final answer yet or still has outstanding attempts.

    Attributes:
        event: The `RequestArrived` event of the request.
        class_state: The state of its class. This is a reference because new settings can change the index of a class.
        tenant: The state of its tenant; None if it has no tenant with a quota.
        max_attempts: The limit on attempts when it arrived.
        arrived_us: The time when it arrived or, if that was later, when its body was complete.
        client_timeout_us: How long the client waits, counted from `arrived_us`.
        body_complete: Whether the whole body has arrived; the deadline counts from then.
        not_replayable: Whether part of the body is no longer buffered, so that it cannot be sent again.
        attempts: All attempts, by index.
        completed: Whether it has its final answer.
        response_started: Whether the client has received the first bytes of a response.
        client_half_closed: Whether the client sends nothing more.
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
        """Return the first attempt that an endpoint may have executed; None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)
