"""The decision module under any order of legal events: rules, slots, timers, and one answer for each request.

The host is garnetusher/model/contract.py. A schedule's numbers point into what is there when it is played (the third
attempt that is out, the fifth upstream), so that it still means something with some of its steps gone.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from garnetusher.model.contract import ContractViolation, Host
from garnetusher.model.explore import Broken, Schedule, Step
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
OUTCOMES = [o for o in Outcome if o is not Outcome.TIMEOUT]
STATES = list(EndpointStatus)
WARM_UP_US = 20_000_000
LAST_US = 6_000_000  # after the last step: longer than any request may wait
# how a schedule's steps are mixed: one temper a seed, so that some are all storm and some are quiet
TEMPERS: list[dict[str, int]] = [
    {"arrive": 50, "end": 40, "advance": 10, "list": 2, "restart": 1, "quit": 1, "stream": 1},
    {"arrive": 40, "end": 10, "advance": 30, "sleep": 5, "quit": 5},  # silence, and a process that is starved
    {"arrive": 20, "end": 20, "advance": 5, "list": 20, "restart": 10, "full": 5, "fail": 5, "cached": 2},
    {"arrive": 60, "fault": 40, "advance": 10, "restart": 2},  # all fails
    {"arrive": 30, "end": 25, "advance": 15, "order": 5, "retune": 5, "fleet": 4, "whole": 8, "passed": 4, "list": 2},
    {"arrive": 30, "end": 25, "advance": 20, "sleep": 3, "stream": 10, "quit": 5, "fault": 10},
    {"arrive": 40, "end": 15, "advance": 20, "fault": 10, "leave": 10, "hasten": 5, "list": 3},  # clients go, it ends
]
BAD = [Outcome.ERROR, Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.RESET]


class Module:
    """`Part` for `garnetusher.policy.Balancer`."""

    name = "module"

    def draw(self, seed: int, steps: int) -> Schedule:
        rng = random.Random(seed)
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
        temper = rng.choice(TEMPERS)
        names = rng.choices(list(temper), list(temper.values()), k=rng.randint(steps // 4, steps))
        return Schedule(self.name, seed, setup, [self._step(rng, name) for name in names])

    def _step(self, rng: random.Random, what: str) -> Step:
        a, b = rng.randrange(1000), 0
        if what == "arrive":
            a, b = rng.randrange(len(CLASSES)), rng.choice([0, rng.randrange(1, 2_000_000), rng.randrange(1, 5_000)])
        elif what in ("end", "fault"):
            b = rng.randrange(1000)
        elif what in ("advance", "sleep"):
            a = rng.choice([0, rng.randrange(2_000), rng.randrange(100_000), rng.randrange(2_000_000)])
        elif what == "list":
            b = rng.randrange(len(STATES))
        elif what == "restart":
            b = rng.randrange(WARM_UP_US * 3 // 2)
        elif what == "order":
            b = rng.randrange(2)
        return Step(what, a, b)

    def simpler(self, setup: dict[str, int]) -> Iterator[dict[str, int]]:
        for name, value in setup.items():
            least = 1 if name in ("upstreams", "zones", "instances", "max_attempts") else 0
            for other in (least, value // 2):
                if least <= other < value:
                    yield setup | {name: other}

    def play(self, schedule: Schedule) -> Broken | None:
        run, done = _Run(schedule.setup, schedule.seed), 0
        try:
            run.begin()
            for step in schedule.steps:
                run.step(step)
                run.host.check_slots()
                done += 1
            run.host.advance(LAST_US)
            run.host.check_slots()
        except ContractViolation as breach:
            return Broken(breach.rule, str(breach), done)
        except Exception as error:  # whatever it raises: the process would be gone
            return Broken(f"crash: {type(error).__name__}", repr(error), done)
        return None

    def tell(self, schedule: Schedule) -> list[str]:
        """What was told to the module and what it did, until something broke."""
        run = _Run(schedule.setup, schedule.seed)
        lines = [", ".join(f"{name} {value}" for name, value in schedule.setup.items())]
        try:
            run.begin()
            for step in [*schedule.steps, Step("advance", LAST_US)]:
                said, at_us = len(run.host.actions), run.host.now_us
                lines.append(f"{at_us / 1e6:.6f} s  {step.what} {step.a} {step.b}")
                try:
                    run.step(step)
                finally:
                    lines += [f"    {action}" for action in run.host.actions[said:]]
                run.host.check_slots()
        except Exception as error:  # the breach, or the crash, that the story is about
            lines.append(f"    {type(error).__name__}: {error}")
        return lines


class _Run:
    """One play."""

    def __init__(self, setup: dict[str, int], seed: int) -> None:
        self.setup = setup
        self.host = Host(self.settings(setup["max_attempts"]), seed)

    def settings(self, max_attempts: int) -> Settings:
        s = self.setup
        return Settings(
            CLASSES,
            [Tenant("north", 20.0, 0.5), Tenant("south", 20.0, 0.5)],
            over_quota_weight=0.2,
            fleet_size=s["instances"],
            batch_interval_us=4000,
            max_attempts=max_attempts,
            cancel_attempts=bool(s["cancel"]),
            max_retry_after_us=1_000_000,
            connect_timeout_us=150_000,
            hedging=bool(s["second_copies"]),
            poll_endpoints=bool(s["on_request"]),
            poll_interval_us=10_000_000,
            warm_up_initial_fraction=0.2,
            warm_up_us=WARM_UP_US,
            overload_factor=2.5,
            overload_window_us=1_000_000,
            cross_zone_cost=0.02 * s["fee"],
            zone_regions=[0, 0, 1] if s["regions"] else [],
        )

    def entry(self, number: int, state: EndpointStatus = EndpointStatus.READY, started_us: int = 0) -> Endpoint:
        number %= self.setup["upstreams"]
        zone = number % self.setup["zones"]
        return Endpoint(100 + number, state, zone, 0, number // 2, 1.0, started_us)

    def begin(self) -> None:
        started_us = self.host.now_us - 1_000_000 if self.setup["cold"] else 0
        self.host.update_endpoints(
            [self.entry(n, started_us=started_us) for n in range(self.setup["upstreams"])], UpdateKind.CACHED
        )

    def step(self, step: Step) -> None:
        getattr(self, step.what)(step.a, step.b)

    # What can happen; numbers are taken modulo what there is

    def arrive(self, cls: int, patience_us: int) -> None:
        self.host.arrive(
            cls % len(CLASSES), patience_us or None, tenant_index=cls % 3, client_retry=patience_us % 5 == 1
        )

    def _out(self) -> list[tuple[int, int]]:
        return [(ident, n) for ident, owed in self.host.request_records.items() for n in owed.outstanding_indexes()]

    def end(self, which: int, how: int) -> None:
        """Two in three are well."""
        out = self._out()
        if out:
            outcome = OUTCOMES[how % len(OUTCOMES)] if how % 3 == 0 else Outcome.OK
            self.host.end(*out[which % len(out)], outcome)

    def fault(self, which: int, how: int) -> None:
        out = self._out()
        if out:
            self.host.end(*out[which % len(out)], BAD[how % len(BAD)])

    def advance(self, by_us: int, _: int) -> None:
        self.host.advance(by_us)

    def sleep(self, by_us: int, _: int) -> None:
        self.host.advance(by_us, pause_us=by_us)

    def list(self, number: int, state: int) -> None:
        self.host.update_endpoints([self.entry(number, STATES[state % len(STATES)])], UpdateKind.DELTA)

    def restart(self, number: int, age_us: int) -> None:
        self.host.update_endpoints([self.entry(number, started_us=self.host.now_us - age_us)], UpdateKind.DELTA)

    def full(self, count: int, _: int) -> None:
        self.host.update_endpoints([self.entry(n) for n in range(count % (self.setup["upstreams"] + 1))])

    def cached(self, count: int, _: int) -> None:
        self.host.update_endpoints(
            [self.entry(n) for n in range(count % (self.setup["upstreams"] + 1))], UpdateKind.CACHED
        )

    def fail(self, _: int, __: int) -> None:
        if self.host.settings.poll_endpoints:
            self.host.deliver(EndpointsUpdated(UpdateKind.FAILED))

    def quit(self, which: int, _: int) -> None:
        open_ = [ident for ident, owed in self.host.request_records.items() if not owed.completed]
        if open_:
            self.host.disconnect_client(open_[which % len(open_)])

    def _open(self, which: int) -> int | None:
        """A request that has come whole and has no answer, nor the beginning of one."""
        open_ = [
            i
            for i, owed in self.host.request_records.items()
            if not (owed.completed or owed.body_incomplete or owed.response_started)
        ]
        return open_[which % len(open_)] if open_ else None

    def leave(self, which: int, _: int) -> None:
        ident = self._open(which)
        if ident is not None:
            self.host.half_close_client(ident)

    def hasten(self, which: int, by: int) -> None:
        """As at the end of the process: to half of the time that is left, or to none."""
        ident = self._open(which)
        if ident is not None:
            now_us, due_us = self.host.now_us, self.host.request_records[ident].event.deadline_us
            self.host.change_deadline(ident, now_us + (max(0, due_us - now_us) // 2 if which % 3 else 0))

    def stream(self, which: int, _: int) -> None:
        owed = self.host.request_records
        out = [
            (i, n)
            for i, n in self._out()
            if CLASSES[owed[i].event.class_index].streaming and not owed[i].response_started and not owed[i].completed
        ]
        if out:
            self.host.start_response(*out[which % len(out)])

    def order(self, zone: int, leave: int) -> None:
        self.host.deliver(ZoneOverridden(zone % self.setup["zones"], bool(leave)))

    def fleet(self, count: int, _: int) -> None:
        self.host.deliver(FleetSizeChanged(count % 50))

    def retune(self, most: int, _: int) -> None:
        """New settings, classes as they are, with another limit on attempts."""
        settings = self.settings(1 + most % 5)
        self.host.settings = settings
        self.host.deliver(
            SettingsChanged(
                settings,
                previous_indexes(settings.classes, settings.classes),
                previous_indexes(settings.tenants, settings.tenants),
            )
        )

    def whole(self, cls: int, _: int) -> None:
        """A request whose body is still to come."""
        self.host.arrive(cls % len(CLASSES), None, body_complete=False)

    def passed(self, which: int, _: int) -> None:
        """More of a body has gone on than is held, or its last byte has come."""
        coming = [i for i, owed in self.host.request_records.items() if owed.body_incomplete and not owed.completed]
        if coming:
            ident = coming[which % len(coming)]
            if which % 2:
                self.host.deliver(RequestNotReplayable(ident))
            else:
                self.host.complete_body(ident)
