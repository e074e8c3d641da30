"""Explores the decision module, `garnetusher.policy`, under random orders of the events that its contract allows.

The host in garnetusher/model/contract_host.py checks the rules of the contract, the slots, the timers, and that each
request has exactly one answer. The numbers of a step select from what exists when the step runs, such as the third
outstanding attempt or the fifth upstream. The remaining steps therefore stay valid when the shrinker removes some.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from garnetusher.model.contract_host import ContractViolation, Host
from garnetusher.model.explore import BrokenRule, Schedule, Step
from garnetusher.policy.events import (
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    FleetSizeChanged,
    Outcome,
    RequestNotReplayable,
    SettingsChanged,
    UpdateKind,
    ZoneOverridden,
)
from garnetusher.policy.settings import RequestClass, Settings, Tenant, previous_indexes

CLASSES = [
    RequestClass("read", 300_000, 1_500_000, effect="idempotent", late_weight=0.3),
    RequestClass("pay", 300_000, 600_000, priority_weight=5, effect="at_most_once"),
    RequestClass(
        "mark",
        400_000,
        2_000_000,
        priority_weight=3,
        effect="deduplicated",
        deduplication_scope="cell",
        deduplication_window_us=1_200_000,
    ),
    RequestClass(
        "zoned", 200_000, 900_000, effect="deduplicated", deduplication_scope="zone", deduplication_window_us=400_000
    ),
    RequestClass("feed", 200_000, 900_000, effect="deduplicated", deduplication_window_us=9_000_000, streaming=True),
]
OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.TIMEOUT]
STATUSES = list(EndpointStatus)
WARM_UP_US = 20_000_000
FINAL_ADVANCE_US = 6_000_000  # time that passes after the last step; longer than any request may wait
# Weights of the steps. Each seed chooses one set, so that some schedules have many faults and others have few.
STEP_WEIGHTS: list[dict[str, int]] = [
    {"arrive": 50, "end": 40, "advance": 10, "list": 2, "restart": 1, "quit": 1, "stream": 1},
    # few responses, and a process that gets little CPU time
    {"arrive": 40, "end": 10, "advance": 30, "sleep": 5, "quit": 5},
    {"arrive": 20, "end": 20, "advance": 5, "list": 20, "restart": 10, "full": 5, "fail": 5, "cached": 2},
    {"arrive": 60, "fault": 40, "advance": 10, "restart": 2},  # all attempts fail
    {"arrive": 30, "end": 25, "advance": 15, "order": 5, "retune": 5, "fleet": 4, "whole": 8, "passed": 4, "list": 2},
    {"arrive": 30, "end": 25, "advance": 20, "sleep": 3, "stream": 10, "quit": 5, "fault": 10},
    # clients that half-close their connections, and deadlines that move closer, as during a shutdown
    {"arrive": 40, "end": 15, "advance": 20, "fault": 10, "leave": 10, "hasten": 5, "list": 3},
]
FAILED_OUTCOMES = [Outcome.ERROR, Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.RESET]


class Module:
    """The `Part` that runs schedules on a balancer (`garnetusher.policy.Balancer`)."""

    name = "module"

    def draw(self, seed: int, steps: int) -> Schedule:
        """Return the schedule of a seed, with at most `steps` steps."""
        rng = random.Random(seed)
        # Stored schedules contain these names, so they must not change. `_Run` shows what they set.
        setup = {
            "upstreams": rng.choice([1, 2, 4, 8, 20]),
            "zones": rng.choice([1, 2, 3]),
            "instances": rng.choice([1, 3, 40]),
            "max_attempts": rng.randint(1, 5),
            "second_copies": rng.randrange(2),
            "cancel": rng.randrange(2),
            "on_request": rng.randrange(2),
            "fee": rng.randrange(2),
            "regions": rng.randrange(2),
            "cold": rng.randrange(2),
        }
        weights = rng.choice(STEP_WEIGHTS)
        names = rng.choices(list(weights), list(weights.values()), k=rng.randint(steps // 4, steps))
        return Schedule(self.name, seed, setup, [self._draw_step(rng, name) for name in names])

    def _draw_step(self, rng: random.Random, name: str) -> Step:
        a, b = rng.randrange(1000), 0
        if name == "arrive":
            a, b = rng.randrange(len(CLASSES)), rng.choice([0, rng.randrange(1, 2_000_000), rng.randrange(1, 5_000)])
        elif name in ("end", "fault"):
            b = rng.randrange(1000)
        elif name in ("advance", "sleep"):
            a = rng.choice([0, rng.randrange(2_000), rng.randrange(100_000), rng.randrange(2_000_000)])
        elif name == "list":
            b = rng.randrange(len(STATUSES))
        elif name == "restart":
            b = rng.randrange(WARM_UP_US * 3 // 2)
        elif name == "order":
            b = rng.randrange(2)
        return Step(name, a, b)

    def simpler_setups(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        """Yield setups in which one value is smaller."""
        for name, value in setup.items():
            minimum = 1 if name in ("upstreams", "zones", "instances", "max_attempts") else 0
            for smaller in (minimum, value // 2):
                if minimum <= smaller < value:
                    yield setup | {name: smaller}

    def run(self, schedule: Schedule) -> BrokenRule | None:
        """Run a schedule on a new balancer; return the first broken rule, or None."""
        schedule_run, completed = _Run(schedule.setup, schedule.seed), 0
        try:
            schedule_run.send_initial_list()
            for step in schedule.steps:
                schedule_run.apply(step)
                schedule_run.host.check_slots()
                completed += 1
            schedule_run.host.advance(FINAL_ADVANCE_US)
            schedule_run.host.check_slots()
        except ContractViolation as violation:
            return BrokenRule(violation.rule, str(violation), completed)
        except Exception as error:  # any exception counts as a failure, since it would end the process
            return BrokenRule(f"crash: {type(error).__name__}", repr(error), completed)
        return None

    def describe(self, schedule: Schedule) -> list[str]:
        """Run a schedule; return its steps and the actions of the balancer as lines of text, up to a broken rule."""
        schedule_run = _Run(schedule.setup, schedule.seed)
        lines = [", ".join(f"{name} {value}" for name, value in schedule.setup.items())]
        try:
            schedule_run.send_initial_list()
            for step in [*schedule.steps, Step("advance", FINAL_ADVANCE_US)]:
                previous_actions, at_us = len(schedule_run.host.actions), schedule_run.host.now_us
                lines.append(f"{at_us / 1e6:.6f} s  {step.what} {step.a} {step.b}")
                try:
                    schedule_run.apply(step)
                finally:
                    lines += [f"    {action}" for action in schedule_run.host.actions[previous_actions:]]
                schedule_run.host.check_slots()
        except Exception as error:  # the last line reports the broken rule or the crash
            lines.append(f"    {type(error).__name__}: {error}")
        return lines


class _Run:
    """One run of a schedule.

    Each event of a schedule has a method of the same name. Stored schedules contain these names, so they must not
    change. A number that selects an object is taken modulo the number of objects.

    Attributes:
        setup: The setup of the schedule.
        host: The host with the balancer.
    """

    def __init__(self, setup: dict[str, int], seed: int) -> None:
        self.setup = setup
        self.host = Host(self.settings(setup["max_attempts"]), seed)

    def settings(self, max_attempts: int) -> Settings:
        """Return the balancer's settings for the setup, with a given limit on the attempts of a request."""
        setup = self.setup
        return Settings(
            CLASSES,
            [Tenant("north", 20.0, 0.5), Tenant("south", 20.0, 0.5)],
            over_quota_weight=0.2,
            fleet_size=setup["instances"],
            batch_interval_us=4000,
            max_attempts=max_attempts,
            cancel_attempts=bool(setup["cancel"]),
            max_retry_after_us=1_000_000,
            connect_timeout_us=150_000,
            hedging=bool(setup["second_copies"]),
            poll_endpoints=bool(setup["on_request"]),
            poll_interval_us=10_000_000,
            warm_up_initial_fraction=0.2,
            warm_up_us=WARM_UP_US,
            overload_factor=2.5,
            overload_window_us=1_000_000,
            cross_zone_cost=0.02 * setup["fee"],
            zone_regions=[0, 0, 1] if setup["regions"] else [],
        )

    def endpoint(self, number: int, status: EndpointStatus = EndpointStatus.READY, started_us: int = 0) -> Endpoint:
        """Return the entry of an upstream for the endpoint list."""
        number %= self.setup["upstreams"]
        zone = number % self.setup["zones"]
        return Endpoint(100 + number, status, zone, 0, number // 2, 1.0, started_us)

    def send_initial_list(self) -> None:
        """Deliver a cached endpoint list with all upstreams; if `cold` is set, they started one second ago."""
        started_us = self.host.now_us - 1_000_000 if self.setup["cold"] else 0
        self.host.update_endpoints(
            [self.endpoint(n, started_us=started_us) for n in range(self.setup["upstreams"])], UpdateKind.CACHED
        )

    def apply(self, step: Step) -> None:
        """Apply one step."""
        getattr(self, step.what)(step.a, step.b)

    # Events

    def arrive(self, class_index: int, client_timeout_us: int) -> None:
        """Send a request; a client timeout of 0 means that the client sets none.

        The numbers also select the tenant, where index 2 means no tenant, and whether the request is a client's retry.
        """
        self.host.arrive(
            class_index % len(CLASSES),
            client_timeout_us or None,
            tenant_index=class_index % 3,
            client_retry=client_timeout_us % 5 == 1,
        )

    def _outstanding_attempts(self) -> list[tuple[int, int]]:
        """Return the request ID and the index of each outstanding attempt."""
        return [
            (request_id, attempt_index)
            for request_id, record in self.host.request_records.items()
            for attempt_index in record.outstanding_indexes()
        ]

    def end(self, attempt_number: int, outcome_number: int) -> None:
        """End an outstanding attempt; at least two thirds of the outcome numbers stand for a success."""
        attempts = self._outstanding_attempts()
        if attempts:
            outcome = OUTCOMES[outcome_number % len(OUTCOMES)] if outcome_number % 3 == 0 else Outcome.OK
            self.host.end(*attempts[attempt_number % len(attempts)], outcome)

    def fault(self, attempt_number: int, outcome_number: int) -> None:
        """End an outstanding attempt with a failure."""
        attempts = self._outstanding_attempts()
        if attempts:
            self.host.end(
                *attempts[attempt_number % len(attempts)], FAILED_OUTCOMES[outcome_number % len(FAILED_OUTCOMES)]
            )

    def advance(self, duration_us: int, _: int) -> None:
        """Advance the time; timers fire on time."""
        self.host.advance(duration_us)

    def sleep(self, duration_us: int, _: int) -> None:
        """Advance the time while the process does not run, so that timers fire late."""
        self.host.advance(duration_us, pause_us=duration_us)

    def list(self, number: int, status_number: int) -> None:
        """Change the status of an upstream in the endpoint list."""
        self.host.update_endpoints([self.endpoint(number, STATUSES[status_number % len(STATUSES)])], UpdateKind.DELTA)

    def restart(self, number: int, age_us: int) -> None:
        """Change the start time of an upstream in the endpoint list, so that it has been running for `age_us`."""
        self.host.update_endpoints([self.endpoint(number, started_us=self.host.now_us - age_us)], UpdateKind.DELTA)

    def full(self, count: int, _: int) -> None:
        """Send a complete endpoint list with some or all upstreams."""
        self.host.update_endpoints([self.endpoint(n) for n in range(count % (self.setup["upstreams"] + 1))])

    def cached(self, count: int, _: int) -> None:
        """Send a cached endpoint list with some or all upstreams."""
        self.host.update_endpoints(
            [self.endpoint(n) for n in range(count % (self.setup["upstreams"] + 1))], UpdateKind.CACHED
        )

    def fail(self, _: int, __: int) -> None:
        """Report a failed poll of the endpoint list, if the balancer polls."""
        if self.host.settings.poll_endpoints:
            self.host.deliver(EndpointsUpdated(UpdateKind.FAILED))

    def quit(self, request_number: int, _: int) -> None:
        """Close the connection of a client whose request is open."""
        open_requests = [request_id for request_id, record in self.host.request_records.items() if not record.completed]
        if open_requests:
            self.host.disconnect_client(open_requests[request_number % len(open_requests)])

    def _unanswered_request(self, request_number: int) -> int | None:
        """Return the ID of a request whose body is complete and whose response has not started, or None."""
        unanswered = [
            request_id
            for request_id, record in self.host.request_records.items()
            if not (record.completed or record.body_incomplete or record.response_started)
        ]
        return unanswered[request_number % len(unanswered)] if unanswered else None

    def leave(self, request_number: int, _: int) -> None:
        """Half-close the connection of a client that waits for its response."""
        request_id = self._unanswered_request(request_number)
        if request_id is not None:
            self.host.half_close_client(request_id)

    def hasten(self, request_number: int, _: int) -> None:
        """Halve the remaining time of a request, or set its deadline to now, as a shutdown of the process does."""
        request_id = self._unanswered_request(request_number)
        if request_id is not None:
            now_us, deadline_us = self.host.now_us, self.host.request_records[request_id].event.deadline_us
            self.host.change_deadline(
                request_id, now_us + (max(0, deadline_us - now_us) // 2 if request_number % 3 else 0)
            )

    def stream(self, attempt_number: int, _: int) -> None:
        """Start the response of an outstanding attempt of a streaming class."""
        records = self.host.request_records
        attempts = [
            (request_id, attempt_index)
            for request_id, attempt_index in self._outstanding_attempts()
            if CLASSES[records[request_id].event.class_index].streaming
            and not records[request_id].response_started
            and not records[request_id].completed
        ]
        if attempts:
            self.host.start_response(*attempts[attempt_number % len(attempts)])

    def order(self, zone: int, evacuate: int) -> None:
        """Override the state of a zone."""
        self.host.deliver(ZoneOverridden(zone % self.setup["zones"], bool(evacuate)))

    def fleet(self, count: int, _: int) -> None:
        """Change the size of the fleet."""
        self.host.deliver(FleetSizeChanged(count % 50))

    def retune(self, attempt_limit: int, _: int) -> None:
        """Send new settings that differ only in the limit on attempts."""
        settings = self.settings(1 + attempt_limit % 5)
        self.host.settings = settings
        self.host.deliver(
            SettingsChanged(
                settings,
                previous_indexes(settings.classes, settings.classes),
                previous_indexes(settings.tenants, settings.tenants),
            )
        )

    def whole(self, class_index: int, _: int) -> None:
        """Send a request whose body is incomplete."""
        self.host.arrive(class_index % len(CLASSES), None, body_complete=False)

    def passed(self, request_number: int, _: int) -> None:
        """Complete the body of a request, or report that the body no longer fits into the replay buffer."""
        incomplete = [
            request_id
            for request_id, record in self.host.request_records.items()
            if record.body_incomplete and not record.completed
        ]
        if incomplete:
            selected_id = incomplete[request_number % len(incomplete)]
            if request_number % 2:
                self.host.deliver(RequestNotReplayable(selected_id))
            else:
                self.host.complete_body(selected_id)
