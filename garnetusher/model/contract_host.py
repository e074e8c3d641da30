"""A host for a `Balancer` that performs its actions, ends its attempts and checks every action against the contract.

The host is not a simulator: its caller decides what happens and when. The host checks rules 1 to 3 (listed in
`garnetusher/policy/balancer.py`) as the protocol specification states them, using only its own records. `check_slots`
compares the state of the balancer with these records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from garnetusher.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Forward,
    PollEndpoints,
    SetTimer,
    Shed,
    WatchEndpoints,
)
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    DeadlineChanged,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    RequestBodyComplete,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from garnetusher.policy.settings import Settings

NEVER_RAN = {Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN}
START_US = 1_000_000_000  # not 0, because an endpoint with start time 0 counts as started long ago
# More timers than this at the same time indicate an endless loop in which each timer arms the next one without delay
MAX_TIMERS_AT_ONCE = 50


class ContractViolation(AssertionError):
    """The balancer has violated a rule of the contract.

    Attributes:
        rule: The name of the rule.
    """

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


def require(condition: bool, rule: str, text: str) -> None:
    """Raise `ContractViolation` with the rule and the text unless the condition holds."""
    if not condition:
        raise ContractViolation(rule, text)


@dataclass
class AttemptRecord:
    """The host's record of one attempt."""

    upstream: int  # the endpoint id
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    # how often the upstream had been added to the list when the attempt started: an attempt from before the latest
    # addition holds no slot
    addition_count: int
    timeout_us: int = 0  # counted from the last byte of the request body; 0 = no timeout
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    """The host's record of one request."""

    event: RequestArrived
    attempts: list[AttemptRecord] = field(default_factory=list)
    answer_count: int = 0
    completed: bool = False  # the request has its final answer, or the client has disconnected
    response_started: bool = False
    body_incomplete: bool = False  # until the last byte arrives, no timeout runs and no slot is held
    half_closed: bool = False  # the client sends nothing more

    def possibly_executed(self) -> list[AttemptRecord]:
        """Return the attempts that an endpoint may have executed."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def outstanding_indexes(self) -> list[int]:
        """Return the indexes of the attempts that have not ended."""
        return [index for index, attempt in enumerate(self.attempts) if attempt.outcome is None]


class Host:
    """A balancer and the records of its requests, attempts and timers.

    Methods that deliver events raise `ContractViolation` if an action of the balancer breaks the contract.
    """

    def __init__(self, settings: Settings, seed: int = 7) -> None:
        self.settings = settings
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.request_records: dict[int, RequestRecord] = {}
        self.latest_entries: dict[int, Endpoint] = {}  # the latest entry of each upstream in the endpoint list
        self.addition_counts: dict[int, int] = {}  # the number of times each upstream was added to the list
        self.unavailable_since_us: dict[int, int] = {}  # the start of each draining or removal
        self.timers: list[tuple[int, int]] = []  # (time, token)
        self.actions: list[Action] = []
        self.next_id = 1

    # Events

    def deliver(self, event: Event) -> list[Action]:
        """Pass an event to the balancer; check, record and return the resulting actions."""
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.actions.extend(actions)
        return actions

    def update_endpoints(self, entries: list[Endpoint], kind: UpdateKind = UpdateKind.SNAPSHOT) -> list[Action]:
        """Record an update of the endpoint list and deliver it; a complete list removes all upstreams not in it."""
        for entry in entries:
            previous = self.latest_entries.get(entry.id)
            if entry.id in self.unavailable_since_us or previous is None or previous.zone != entry.zone:
                self.addition_counts[entry.id] = self.addition_counts.get(entry.id, 0) + 1
            self.latest_entries[entry.id] = entry
            if entry.status is EndpointStatus.READY:
                self.unavailable_since_us.pop(entry.id, None)
            else:
                self.unavailable_since_us.setdefault(entry.id, self.now_us)
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            for upstream in self.latest_entries.keys() - {listed.id for listed in entries}:
                self.unavailable_since_us.setdefault(upstream, self.now_us)
        return self.deliver(EndpointsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, client_timeout_us: int | None = None, **fields: Any) -> int:
        """Deliver a new request and return its id.

        Args:
            class_index: The index of the request class.
            client_timeout_us: How long the client waits; None = the deadline of the class.
            **fields: Further fields of `RequestArrived`.
        """
        request_id = self.next_id
        self.next_id += 1
        timeout_us = client_timeout_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(request_id, self.now_us + timeout_us, class_index, **fields)
        self.request_records[request_id] = RequestRecord(event, body_incomplete=not event.body_complete)
        self.deliver(event)
        return request_id

    def end(self, request_id: int, attempt_index: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        """End an outstanding attempt with an outcome and return the resulting actions.

        The request has its final answer if the outcome is OK or if its response has already started.

        Args:
            request_id: The id of the request.
            attempt_index: The index of the attempt.
            outcome: How the attempt ends.
            **fields: Further fields of `AttemptEnded`.
        """
        record = self.request_records[request_id]
        attempt = record.attempts[attempt_index]
        assert attempt.outcome is None
        attempt.outcome = outcome
        if (outcome is Outcome.OK or record.response_started) and not record.completed:
            record.completed = True
            record.answer_count += 1
        return self.deliver(
            AttemptEnded(
                request_id,
                attempt_index,
                attempt.upstream,
                outcome,
                self.now_us - attempt.sent_us,
                record.completed,
                **fields,
            )
        )

    def complete_body(self, request_id: int) -> None:
        """Deliver the last byte of a long request body, which starts the deadline and the timeouts of attempts."""
        record = self.request_records[request_id]
        record.body_incomplete = False
        record.event.deadline_us = self.now_us + self.settings.classes[record.event.class_index].deadline_us
        for index in record.outstanding_indexes():
            attempt = record.attempts[index]
            attempt.sent_us = self.now_us  # the protocol measures an attempt from the last byte of the request
            # An attempt without a timeout ends at the deadline, because now + deadline is later than the deadline
            attempt.ends_us = min(
                record.event.deadline_us, self.now_us + (attempt.timeout_us or record.event.deadline_us)
            )
        self.deliver(RequestBodyComplete(request_id, record.event.deadline_us))

    def start_response(self, request_id: int, attempt_index: int) -> None:
        """Deliver the start of a long response; after this, no attempt of the request times out."""
        self.request_records[request_id].response_started = True
        self.deliver(
            ResponseStarted(
                request_id, attempt_index, self.request_records[request_id].attempts[attempt_index].upstream
            )
        )

    def disconnect_client(self, request_id: int) -> None:
        """Disconnect the client of a request, which then needs no final answer."""
        self.request_records[request_id].completed = True
        self.request_records[request_id].answer_count = 1
        self.deliver(ClientDisconnected(request_id))

    def half_close_client(self, request_id: int) -> None:
        """Report that the client of a request sends nothing more.

        A sidecar then ends the attempts that still wait for a connection before they are written. This method does not
        end them; the caller does so with `end`. Other attempts continue.
        """
        self.request_records[request_id].half_closed = True
        self.deliver(ClientHalfClosed(request_id))

    def change_deadline(self, request_id: int, deadline_us: int) -> None:
        """Move the deadline of a request to an earlier time; its attempts end by then."""
        record = self.request_records[request_id]
        record.event.deadline_us = deadline_us
        for index in record.outstanding_indexes():
            record.attempts[index].ends_us = min(deadline_us, record.attempts[index].ends_us)
        self.deliver(DeadlineChanged(request_id, deadline_us))

    def advance(self, by_us: int, pause_us: int = 0) -> None:
        """Advance the clock, and fire the timers and the attempt timeouts that expire meanwhile.

        Args:
            by_us: How far to advance the clock.
            pause_us: How long the process is paused at the start. Whatever expires during the pause fires at its end.
        """
        end_us = self.now_us + by_us
        self.now_us += min(pause_us, by_us)
        timers_at_once = 0
        while True:
            # (time, 0 = timeout of an attempt or 1 = timer, request id or token, attempt index)
            due = [(at_us, 1, token, 0) for at_us, token in self.timers]
            due += [
                (attempt.ends_us, 0, request_id, index)
                for request_id, record in self.request_records.items()
                if not record.response_started and not record.body_incomplete
                for index, attempt in enumerate(record.attempts)
                if attempt.outcome is None
            ]
            due = [entry for entry in due if entry[0] <= end_us]
            if not due:
                break
            at_us, kind, request_or_token, attempt_index = min(due)
            timers_at_once = 0 if at_us > self.now_us else timers_at_once + kind
            require(timers_at_once <= MAX_TIMERS_AT_ONCE, "timers", f"{timers_at_once} timers fired at the same time")
            self.now_us = max(self.now_us, at_us)
            if kind == 0:
                self.end(request_or_token, attempt_index, Outcome.TIMEOUT)
            else:
                self.timers.remove((at_us, request_or_token))
                self.deliver(TimerFired(request_or_token))
        self.now_us = end_us
        slack_us = 4 * self.settings.batch_interval_us + pause_us
        for request_id, record in self.request_records.items():
            overdue = (
                self.now_us > record.event.deadline_us + slack_us
                and not record.response_started
                and not record.body_incomplete
            )
            require(
                not overdue or record.answer_count == 1,
                "rule 1",
                f"request {request_id} has no final answer after its deadline",
            )

    # Checks

    def check(self, action: Action) -> None:
        """Check an action of the balancer against the contract and record its effect."""
        if isinstance(action, Forward):
            self.check_forward(action)
        elif isinstance(action, Shed | Fail):
            self.check_answer(action)
        elif isinstance(action, CancelAttempt):
            require(self.settings.cancel_attempts, "contract", "cancelled an attempt although this is not allowed")
            require(
                action.attempt_index < len(self.request_records[action.request_id].attempts),
                "contract",
                "cancelled an attempt that does not exist",
            )
        elif isinstance(action, SetTimer):
            require(action.at_us >= self.now_us, "contract", "requested a timer in the past")
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, CheckHealth):
            require(self.settings.health_checks, "contract", "requested a health check although this is not allowed")
        else:
            require(
                not isinstance(action, WatchEndpoints | PollEndpoints) or self.settings.poll_endpoints,
                "contract",
                "requested the endpoint list although it is pushed",
            )

    def check_forward(self, forward: Forward) -> None:
        """Check that an attempt is allowed, and record it."""
        record = self.request_records[forward.request_id]
        entry = self.latest_entries[forward.endpoint_id]
        request_class = self.settings.classes[record.event.class_index]
        require(not record.completed, "rule 1", "forwarded a request after its final answer")
        require(not record.half_closed, "left", "forwarded a request of a client that has half-closed")
        require(
            len(record.attempts) < self.settings.max_attempts, "contract", "forwarded a request more often than allowed"
        )
        require(
            forward.endpoint_id not in self.unavailable_since_us,
            "rule 3",
            "forwarded a request to a draining or removed upstream",
        )
        require(
            self.settings.hedging or not record.outstanding_indexes(),
            "rule 2",
            "two attempts are outstanding although hedging is not allowed",
        )
        for earlier in record.possibly_executed():
            require(
                request_class.effect != "at_most_once", "rule 2", "repeated an at_most_once request that may have run"
            )
            if request_class.effect == "deduplicated":
                require(
                    self.now_us - earlier.sent_us <= request_class.deduplication_window_us,
                    "rule 2",
                    "repeated a request after the deduplication window",
                )
                require(
                    0 < forward.latest_start_us <= earlier.sent_us + request_class.deduplication_window_us,
                    "rule 2",
                    "the repeat may start after the deduplication window",
                )
                require(
                    request_class.deduplication_scope != "cell" or entry.cell == earlier.cell,
                    "rule 2",
                    "repeated a request outside the cell of an earlier attempt",
                )
                require(
                    request_class.deduplication_scope != "zone" or entry.zone == earlier.zone,
                    "rule 2",
                    "repeated a request outside the zone of an earlier attempt",
                )
        ends_us = record.event.deadline_us
        if forward.timeout_us:
            ends_us = min(ends_us, self.now_us + forward.timeout_us)
        record.attempts.append(
            AttemptRecord(
                forward.endpoint_id,
                entry.zone,
                entry.cell,
                self.now_us,
                ends_us,
                self.addition_counts[forward.endpoint_id],
                forward.timeout_us,
            )
        )

    def check_answer(self, answer: Shed | Fail) -> None:
        """Check that a final answer is allowed, and record it."""
        record = self.request_records[answer.request_id]
        request_class = self.settings.classes[record.event.class_index]
        require(not record.completed, "rule 1", "gave a request a second final answer")
        record.completed = True
        record.answer_count += 1
        if isinstance(answer, Shed):
            require(
                answer.retry_after_us <= self.settings.max_retry_after_us,
                "contract",
                "the Retry-After is longer than max_retry_after_us",
            )
            is_safe_to_retry = request_class.effect == "idempotent" or (
                request_class.effect == "deduplicated" and request_class.deduplication_scope == "all"
            )
            require(is_safe_to_retry or not record.possibly_executed(), "rule 2", "shed a request that may have run")

    def check_slots(self) -> None:
        """Check that the slots in use at each upstream match its outstanding attempts."""
        outstanding: dict[int, int] = {}
        for record in self.request_records.values():
            for index in record.outstanding_indexes():
                attempt = record.attempts[index]
                if (
                    not record.response_started
                    and not record.body_incomplete
                    and attempt.addition_count == self.addition_counts[attempt.upstream]
                ):
                    outstanding[attempt.upstream] = outstanding.get(attempt.upstream, 0) + 1
        for upstream, state in self.balancer.endpoints.items():
            started_responses = sum(
                1
                for record in self.request_records.values()
                if record.response_started
                for attempt_index in record.outstanding_indexes()
                if record.attempts[attempt_index].upstream == upstream
            )
            # Other attempts of a request whose response has started may still hold slots
            count = outstanding.get(upstream, 0)
            require(
                count <= state.slots_used <= count + started_responses,
                "slots",
                f"upstream {upstream} has {state.slots_used} slots in use and {count} outstanding attempts",
            )

    # Results

    def forward_actions(self, request_id: int | None = None) -> list[Forward]:
        """Return the `Forward` actions so far, of all requests or of one."""
        return [
            action for action in self.actions if isinstance(action, Forward) and request_id in (None, action.request_id)
        ]

    def answer(self, request_id: int) -> Action | None:
        """Return the `Shed` or `Fail` action of a request; None if the balancer has not answered it."""
        for action in self.actions:
            if isinstance(action, Shed | Fail) and action.request_id == request_id:
                return action
        return None
