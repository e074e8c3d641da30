"""An experiment in virtual time: real `Balancer`s, machines, links, clients and a list, on one queue of events.

What a host does for its module (garnetusher/sidecar/requests/dispatcher.py) is done by `Sidecar` here, in the same
words: one outcome for each attempt, one answer for each request. The records are those of the lab, so checker and
figures are the same too.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from msgspec import structs

from garnetusher.model import baselines, beliefs, draw
from garnetusher.model.client import WAIT_ON_US, Client
from garnetusher.model.clock import Clock
from garnetusher.model.digest_text import digest_text
from garnetusher.model.experiment import Experiment
from garnetusher.model.link import RETRANSMIT_US
from garnetusher.model.members import Members, Node
from garnetusher.model.plan import (
    DIRECTORY,
    LONG_AGO,
    LinkStep,
    ListStep,
    Plan,
    SidecarPlan,
    Step,
    UpstreamPlan,
    arrivals,
)
from garnetusher.model.records import (
    Answered,
    AnyRecord,
    Asked,
    Attempt,
    Ended,
    GaveUp,
    Held,
    Listed,
    Machine,
    Process,
    Quit,
    Silent,
    Told,
    Vanished,
)
from garnetusher.model.upstream import Action as UpstreamAction
from garnetusher.model.upstream import FellOver, Finished, TurnedAway, Upstream
from garnetusher.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    Forward,
    LogMessage,
    SetTimer,
    Shed,
    WatchEndpoints,
)
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    FleetSizeChanged,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from garnetusher.policy.settings import RequestClass, Settings, Tenant

EPOCH_US = 10**12  # the module's clock at the start of a play: a start at 0 would mean long ago
DIAL_TIMEOUT_US = 200_000  # as the settings of a sidecar say
ANSWER_MARGIN_US = 10_000  # an answer sets out so long before its client's time is out
LOCAL_US = 60  # between a client and its sidecar
ASK_WITHIN_US = 10_000_000  # as the settings of a sidecar say
LIST_ANSWER_US = 2_500_000  # a call to the list that has not been answered has failed (sidecar/discovery.py)
LIST_AGAIN_US = 250_000  # till the next, where the module does not ask by itself
COUNT_US = 250_000  # between two looks of a sidecar at how many there are
MEMBER_SEEDS = 3  # sidecars whose addresses all members are told
START_S = 0.3  # from the start of a sidecar's process until it is ready


@dataclass(slots=True)
class _Pair:
    """The link of an upstream (or the list) and a sidecar."""

    way_us: int
    cut_in: int = 0  # towards the upstream
    cut_out: int = 0
    loss: float = 0.0
    since_us: int = 0
    waiting: list[tuple[bool, object]] = field(default_factory=list)  # (towards the upstream, what)


class _Pairs(dict[tuple[str, str], _Pair]):
    """Made when they are first used: of all sidecars and upstreams of a large fleet few ever meet."""

    def __init__(self, way_us: Callable[[str, str], int]) -> None:
        super().__init__()
        self.way_us = way_us

    def __missing__(self, key: tuple[str, str]) -> _Pair:
        return self.setdefault(key, _Pair(self.way_us(*key)))


@dataclass(slots=True)
class _Line:
    """A connection."""

    upstream: str
    used: bool = False  # it has carried a request
    idle_us: int = 0
    open: bool = True


@dataclass(slots=True)
class _Try:
    ident: str
    request: str
    cls: int
    tenant: int
    first_us: int
    number: int
    until_us: int = 0
    over: bool = False  # its client does not wait any more


@dataclass(slots=True)
class _Flight:
    """An attempt, as its sidecar sees it."""

    number: int
    upstream: int
    sent_us: int
    line: _Line | None = None
    written: bool = False
    ended: bool = False
    n: int = 0  # what the upstream calls it
    given_up: bool = False


@dataclass(slots=True)
class _Open:
    """A request that a sidecar has taken."""

    ident: int
    it: _Try
    due_us: int
    flights: list[_Flight] = field(default_factory=list)
    over: bool = False


class _Machinery:
    """An upstream, its jobs, and what befalls it."""

    def __init__(self, world: World, plan: UpstreamPlan) -> None:
        self.world, self.plan, self.uid = world, plan, plan.uid
        self.figures = world.experiment.upstreams
        self.core = Upstream(self.figures, plan.speed)
        self.rng = random.Random(f"{world.plan.seed} {plan.uid}")
        self.jobs: dict[int, tuple[Sidecar, _Open, _Flight]] = {}
        self.last = 0
        self.refusing, self.vanished = plan.from_us > 0, False
        self.lines: set[int] = set()
        self.errors, self.resets, self.failing = self.figures.error_share, 0.0, False
        self.due_us = -1
        if plan.from_us > 0:
            self.core.die(0)
        for step in plan.steps:
            world.clock.at(step.at_us, self.befall, step)

    def befall(self, step: Step) -> None:
        now = self.world.clock.now_us
        if step.what == "die":
            self.drop(self.core.die(now))
        elif step.what == "vanish":  # a machine behind a cut: nobody is told
            self.refusing = self.vanished = True
            self.core.die(now)
            for number in list(self.jobs):
                self.over(number, "dropped")
        elif step.what == "boot":
            self.core.boot(now)
            self.refusing = False
            if self.vanished:  # its network is back at this moment, and it knows none of the old connections
                self.vanished = False
                self.world.clock.at(now + 1, self.forget_lines)
        elif step.what in ("hang", "resume"):
            self.act(self.core.hang(now, step.what == "hang"))
        elif step.what == "slow":
            self.act(self.core.slow_down(now, step.value))
        elif step.what == "errors":
            self.failing, self.errors = step.value > 0, step.value or self.figures.error_share
        elif step.what == "reset":
            self.resets = step.value
        elif step.what == "refuse":
            self.drop([])
        elif step.what == "accept":
            self.refusing = False
        self.world.write(Machine(now, self.uid, step.what))

    def drop(self, dropped: list[int]) -> None:
        """It refuses from now on, and all its connections break."""
        self.refusing = True
        for number in dropped or list(self.jobs):
            self.over(number, "dropped")
        self.forget_lines()

    def forget_lines(self) -> None:
        for sidecar in self.world.sidecars.values():
            sidecar.broken(self.uid)

    def came(self, sidecar: Sidecar, request: _Open, flight: _Flight) -> None:
        """A request is here whole."""
        now, kind = self.world.clock.now_us, self.world.experiment.classes[request.it.cls]
        if self.refusing or flight.line is None or not flight.line.open:
            return
        self.last += 1
        flight.n = self.last
        base = ".".join(request.it.ident.split(".")[:2])
        work = draw.work_us(self.world.plan.seed, base, kind.work_ms, kind.work_cv)
        fresh, flight.line.used = not flight.line.used, True
        work += int(self.figures.handshake_ms * 1000) if fresh else 0
        self.jobs[flight.n] = (sidecar, request, flight)
        self.world.write(Attempt(now, flight.n, request.it.ident, self.uid, sidecar.name, now, work, fresh))
        if self.core.hung:
            self.act(self.core.arrive(now, flight.n, work))
        elif self.failing and self.rng.random() < self.errors:
            self.answer(flight.n, Outcome.ERROR)
        elif self.resets and self.rng.random() < self.resets:
            self.over(flight.n, "reset")
            sidecar.back(request, flight, Outcome.RESET, self.uid)
        else:
            trips = int(2 * self.figures.handshake_trips * self.world.pairs[self.uid, sidecar.name].way_us)
            self.world.clock.at(now + (trips if fresh else 0), self.start, flight.n, work)

    def start(self, number: int, work: int) -> None:
        if number in self.jobs:
            self.act(self.core.arrive(self.world.clock.now_us, number, work))

    def left(self, number: int) -> None:
        """Its sidecar has closed the connection."""
        if number in self.jobs:
            self.act(self.core.cancel(self.world.clock.now_us, number))
            self.over(number, "cancelled")

    def act(self, actions: list[UpstreamAction]) -> None:
        for action in actions:
            if isinstance(action, FellOver):
                self.world.write(Machine(self.world.clock.now_us, self.uid, "fell_over"))
                self.drop(action.dropped)
            elif action.job in self.jobs:
                if isinstance(action, TurnedAway):
                    self.answer(action.job, Outcome.OVERLOADED)
                elif isinstance(action, Finished):
                    bad = self.errors and self.rng.random() < self.errors
                    self.answer(action.job, Outcome.ERROR if bad else Outcome.OK)
        at = self.core.next_us()
        if at is not None and (self.due_us < self.world.clock.now_us or at < self.due_us):
            self.due_us = at
            self.world.clock.at(at, self.wake, at)

    def wake(self, due_us: int) -> None:
        if due_us == self.due_us:
            self.due_us = -1
            self.act(self.core.wakeup(self.world.clock.now_us))

    def answer(self, number: int, outcome: Outcome) -> None:
        sidecar, request, flight = self.jobs[number]
        self.over(number, {Outcome.OK: "served", Outcome.OVERLOADED: "turned_away"}.get(outcome, "error"))
        self.world.carry(self.uid, sidecar.name, False, lambda: sidecar.back(request, flight, outcome, self.uid))

    def over(self, number: int, how: str) -> None:
        job = self.jobs.pop(number, None)
        if job is not None:
            self.world.write(Ended(self.world.clock.now_us, number, job[1].it.ident, self.uid, job[0].name, how))


class Sidecar:
    """One name: its clients, and the process that it has at present."""

    def __init__(self, world: World, plan: SidecarPlan) -> None:
        self.world, self.plan, self.name = world, plan, plan.name
        self.client = Client(world.experiment, world.plan.seed, plan.name)
        self.source: Iterator[tuple[int, int, int]] = iter(arrivals(world.experiment, world.plan, plan))
        self.asked = self.not_asked = self.starts = 0
        self.up = self.asking = False
        self.held_back: list[tuple[object, tuple[object, ...]]] | None = None  # while it is stopped
        self.start()
        self.next()
        for step in plan.steps:
            world.clock.at(step.at_us, self.befall, step)

    # The process

    def start(self) -> None:
        world = self.world
        self.starts += 1
        self.up = self.asking = True
        self.watching = False
        self.calls = self.list_known = 0  # of this process; and the last one that was answered
        self.life = self.starts
        self.counted = 0  # of the fleet, as last told to the decisions
        self.open: dict[int, _Open] = {}
        self.last = 0
        self.idle: dict[str, list[_Line]] = {}
        seed = int(draw.uniform(world.plan.seed, "sidecar", self.name, self.starts) * 2**63)
        self.settings = settings(world.experiment, world.plan, self.plan)
        self.idents: dict[str, int] = {}
        self.uids: dict[int, str] = {}
        self.balancer = baselines.decisions(
            world.experiment.sidecars.policy, self.settings, seed, EPOCH_US + world.clock.now_us
        )
        self.tell(EndpointsUpdated(UpdateKind.CACHED, [self.entry(step) for step in world.listed.values()]))
        self.tell(TimerFired(0))
        if not self.settings.poll_endpoints:
            self.call_list()
        world.member_starts(self)

    def befall(self, step: Step) -> None:
        now = self.world.clock.now_us
        if step.what == "kill":
            self.world.write(Process(now, self.name, "killed"))
            self.end()
        elif step.what == "start":
            self.world.write(Process(now, self.name, "spawned"))
            self.world.clock.at(now + int(START_S * 1e6), self.start)
        elif step.what == "restart":
            # in order: what is open is answered first; the application asks no more, then both start again
            self.world.write(Process(now, self.name, "term"))
            self.asking = False
            longest_us = max(int(c.deadline_ms * 1000) for c in self.world.experiment.classes)
            self.world.clock.at(now + longest_us, self.end)
            self.world.clock.at(now + longest_us + int(START_S * 1e6), self.start)
        elif step.what == "stop":
            self.world.write(Process(now, self.name, "stopped"))
            self.held_back = []
            self.world.member_stops(self, True)
        elif step.what == "cont":
            self.world.write(Process(now, self.name, "continued"))
            late, self.held_back = self.held_back or [], None
            self.world.member_stops(self, False)
            for what, args in late:
                what(*args)  # type: ignore[operator]

    def end(self) -> None:
        """The process is gone, its connections with it; the upstreams see them close."""
        self.up = self.asking = False
        self.life = 0
        self.world.member_ends(self)
        for request in list(self.open.values()):
            if not request.over and not request.it.over:
                request.it.over = True
                self.world.write(Vanished(self.world.clock.now_us, request.it.ident, self.name))
            for flight in request.flights:
                if not flight.ended:
                    flight.ended = True
                    self.close(flight)
        self.open.clear()

    def awake(self, what: object, *args: object) -> bool:
        """Whether the process runs now; else it does this once it does."""
        if self.held_back is not None:
            self.held_back.append((what, args))
            return False
        return self.up

    # Clients

    def next(self) -> None:
        arrival = next(self.source, None)
        if arrival is not None:
            self.world.clock.at(arrival[0], self.arrive, *arrival)

    def arrive(self, due_us: int, cls: int, tenant: int) -> None:
        self.next()
        if not self.asking:
            self.not_asked += 1
            return
        self.asked += 1
        ident = f"{self.name}.{self.asked}"
        self.ask(_Try(ident, ident, cls, tenant, due_us, 0))

    def ask(self, it: _Try) -> None:
        now = self.world.clock.now_us
        wait = self.client.patience_us(it.cls)
        it.until_us = now + wait
        self.world.write(Asked(now, it.ident, it.request, self.name, it.cls, it.tenant, it.first_us, it.until_us))
        self.world.clock.at(it.until_us, self.time_out, it)
        leaves = self.client.leaves_after_us(wait)
        if leaves is not None:
            self.world.clock.at(now + leaves, self.quit, it)
        self.world.clock.at(now + LOCAL_US, self.take, it, self.life)

    def take(self, it: _Try, life: int) -> None:
        if self.awake(self.take, it, life) and life == self.life:
            self.last += 1
            request = _Open(self.last, it, it.until_us - ANSWER_MARGIN_US)
            self.open[request.ident] = request
            self.tell(
                RequestArrived(
                    request.ident,
                    EPOCH_US + request.due_us,
                    it.cls,
                    it.tenant,
                    client_retry=it.number > 0 and self.world.experiment.clients.marks,
                )
            )

    def time_out(self, it: _Try) -> None:
        if not it.over:
            it.over = True
            self.world.write(GaveUp(self.world.clock.now_us, it.ident, self.name))
            self.world.clock.at(it.until_us + WAIT_ON_US, self.last_look, it)
            self.again(it, False, 0)

    def last_look(self, it: _Try) -> None:
        if any(request.it is it and not request.over for request in self.open.values()):
            self.world.write(Silent(self.world.clock.now_us, it.ident, self.name))

    def quit(self, it: _Try) -> None:
        if it.over:
            return
        it.over = True
        self.world.write(Quit(self.world.clock.now_us, it.ident, self.name))
        request = next((r for r in self.open.values() if r.it is it and not r.over), None)
        if request is not None:
            self.finish(request)
            self.tell(ClientDisconnected(request.ident))

    def again(self, it: _Try, harmless: bool, retry_after_us: int) -> None:
        at = self.client.comes_again_us(
            self.world.clock.now_us, it.cls, it.number, it.first_us, harmless, retry_after_us
        )
        if at is not None:
            number = it.number + 1
            self.world.clock.at(
                at, self.come_again, _Try(f"{it.request}.{number}", it.request, it.cls, it.tenant, it.first_us, number)
            )

    def come_again(self, it: _Try) -> None:
        if self.asking:
            self.ask(it)

    # The host

    def tell(self, event: Event) -> None:
        began = self.world.cpu_ns()
        actions = self.balancer.handle(EPOCH_US + self.world.clock.now_us, event)
        self.world.decided_ns += self.world.cpu_ns() - began
        for action in actions:
            self.world.clock.note(f"{self.name} {digest_text(action)}")
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Forward):
            self.send(action)
        elif isinstance(action, Shed):
            self.answer(action.request_id, 503, "", action.retry_after_us)
        elif isinstance(action, Fail):
            self.answer(action.request_id, 500, "", 0)
        elif isinstance(action, LogMessage):
            told = beliefs.belief(self.world.clock.now_us, self.name, action.text, self.world.experiment.topology.zones)
            if told is not None:
                self.world.write(told)
        elif isinstance(action, SetTimer):
            self.world.clock.at(action.at_us - EPOCH_US + 1, self.fire, action.token, self.life)
        elif isinstance(action, CancelAttempt) and action.request_id in self.open:
            request = self.open[action.request_id]
            self.give_up(request, action.attempt_index, Outcome.CANCELLED, self.life)
        elif isinstance(action, WatchEndpoints):
            self.call_list()
        elif isinstance(action, CloseIdleConnections) and action.endpoint_id in self.uids:
            for line in self.idle.pop(self.uids[action.endpoint_id], []):
                line.open = False

    def fire(self, token: int, life: int) -> None:
        if self.awake(self.fire, token, life) and life == self.life:
            self.tell(TimerFired(token))

    def answer(self, ident: int, status: int, by: str, retry_after_us: int) -> None:
        """The one place of final answers."""
        request = self.open.get(ident)
        if request is None or request.over:
            return
        self.finish(request)
        it = request.it
        self.world.write(Answered(self.world.clock.now_us + LOCAL_US, it.ident, self.name, status, by, retry_after_us))
        if not it.over:
            it.over = True
            if status != 200:
                self.again(it, status == 503, retry_after_us)

    def finish(self, request: _Open) -> None:
        request.over = True
        for flight in request.flights:
            if not flight.ended and not flight.written:
                self.close(flight)
                self.end_attempt(request, flight, Outcome.NOT_WRITTEN)
        self.forget(request)

    def forget(self, request: _Open) -> None:
        if request.over and all(flight.ended for flight in request.flights):
            self.open.pop(request.ident, None)

    # Attempts

    def send(self, action: Forward) -> None:
        request = self.open.get(action.request_id)
        if request is None:
            return
        now = self.world.clock.now_us
        flight = _Flight(len(request.flights), action.endpoint_id, now)
        request.flights.append(flight)
        uid = self.uids.get(action.endpoint_id, "")
        if request.over or not uid or now >= request.due_us or flight.number >= self.settings.max_attempts:
            self.later(request, flight, Outcome.NOT_WRITTEN)
            return
        due = min(request.due_us, now + action.timeout_us) if action.timeout_us else request.due_us
        self.world.clock.at(due + 1, self.give_up, request, flight.number, Outcome.TIMEOUT, self.life)
        pair = self.world.pairs[uid, self.name]
        oldest = now - int(self.world.experiment.upstreams.idle_s * 1e6)
        idle = self.idle.get(uid, [])
        while idle:
            line = idle.pop()
            if line.open and line.idle_us > oldest:
                self.write(request, flight, line)
                return
        flight.line = _Line(uid)
        if pair.cut_in or pair.cut_out:
            self.world.clock.at(now + DIAL_TIMEOUT_US, self.dialled, request, flight, False, self.life)
        else:
            self.world.clock.at(
                now + 2 * pair.way_us, self.dialled, request, flight, not self.world.machines[uid].refusing, self.life
            )

    def dialled(self, request: _Open, flight: _Flight, came_up: bool, life: int) -> None:
        if not self.awake(self.dialled, request, flight, came_up, life) or life != self.life or flight.ended:
            return
        assert flight.line is not None
        if came_up:
            self.write(request, flight, flight.line)
        else:
            self.end_attempt(request, flight, Outcome.CONNECT_FAILED)

    def write(self, request: _Open, flight: _Flight, line: _Line) -> None:
        flight.line, flight.written = line, True
        uid = line.upstream
        pair = self.world.pairs[uid, self.name]
        if pair.cut_in:
            self.world.write(Held(self.world.clock.now_us, request.it.ident, uid, self.name))
        self.world.carry(uid, self.name, True, lambda: self.world.machines[uid].came(self, request, flight))

    def back(self, request: _Open, flight: _Flight, outcome: Outcome, uid: str) -> None:
        """What an upstream says has come, if anybody still waits for it."""
        if not self.awake(self.back, request, flight, outcome, uid) or flight.ended or flight.given_up:
            return
        line = flight.line
        if line is not None and line.open and outcome is not Outcome.RESET:
            line.idle_us = self.world.clock.now_us
            self.idle.setdefault(uid, []).append(line)
        if outcome is Outcome.OK:
            self.answer(request.ident, 200, uid, 0)
        self.end_attempt(request, flight, outcome)

    def broken(self, uid: str) -> None:
        """An upstream has ended, and all connections to it."""
        for line in self.idle.pop(uid, []):
            line.open = False
        for request in list(self.open.values()):
            for flight in request.flights:
                if flight.written and not flight.ended and flight.line is not None and flight.line.upstream == uid:
                    flight.line.open = False
                    pair = self.world.pairs[uid, self.name]
                    if not pair.cut_out:
                        self.world.clock.at(
                            self.world.clock.now_us + pair.way_us, self.back, request, flight, Outcome.RESET, uid
                        )

    def give_up(self, request: _Open, number: int, outcome: Outcome, life: int) -> None:
        if not self.awake(self.give_up, request, number, outcome, life) or life != self.life:
            return
        flight = request.flights[number]
        if not flight.ended:
            self.close(flight)
            self.end_attempt(request, flight, outcome if flight.written else Outcome.CONNECT_FAILED)

    def close(self, flight: _Flight) -> None:
        """The sidecar closes the attempt's connection, which the upstream sees a little later."""
        flight.given_up = True
        line = flight.line
        if line is not None and flight.written:
            line.open = False
            self.world.carry(line.upstream, self.name, True, lambda: self.world.machines[line.upstream].left(flight.n))

    def later(self, request: _Open, flight: _Flight, outcome: Outcome) -> None:
        """Not within the module's own call."""
        flight.ended = True
        self.world.clock.at(self.world.clock.now_us, self.report, request, flight, outcome, self.life)

    def end_attempt(self, request: _Open, flight: _Flight, outcome: Outcome) -> None:
        """The one place where attempts end."""
        if not flight.ended:
            self.later(request, flight, outcome)

    def report(self, request: _Open, flight: _Flight, outcome: Outcome, life: int) -> None:
        if not self.awake(self.report, request, flight, outcome, life) or life != self.life:
            return
        self.forget(request)
        self.tell(
            AttemptEnded(
                request.ident,
                flight.number,
                flight.upstream,
                outcome,
                self.world.clock.now_us - flight.sent_us,
                request.over,
            )
        )

    def count(self) -> None:
        """What this process's member makes of the fleet by now."""
        node = self.world.members.nodes[self.name] if self.world.members is not None else None
        if node is None or not self.awake(self.count) or not node.present:
            return
        instances = self.world.members.fleet_size(node).instances  # type: ignore[union-attr]
        if instances != self.counted:
            self.counted = instances
            self.tell(FleetSizeChanged(instances))

    # The list

    def entry(self, step: ListStep) -> Endpoint:
        if step.uid not in self.idents:
            self.idents[step.uid] = len(self.idents) + 1
            self.uids[self.idents[step.uid]] = step.uid
        key = (self.idents[step.uid], step.uid, step.state, step.started_us)
        known = self.world.entries.get(key)
        if known is not None:
            return known
        zones = self.world.experiment.topology.zones
        state = {
            "active": EndpointStatus.READY,
            "leaving": EndpointStatus.DRAINING,
            "left": EndpointStatus.REMOVED,
        }[step.state]
        started = 0 if step.started_us == LONG_AGO else EPOCH_US + step.started_us
        return self.world.entries.setdefault(
            key, Endpoint(self.idents[step.uid], state, zones.index(step.zone), started_us=started)
        )

    def call_list(self) -> None:
        """Ask for the list and its changes from now on, in place of an earlier call."""
        self.calls += 1
        self.watching = not self.settings.poll_endpoints  # what the platform's agent holds counts as told
        what = (self.life, self.calls)
        self.world.carry(DIRECTORY, self.name, True, partial(self.world.called, self, *what))
        self.world.clock.at(self.world.clock.now_us + LIST_ANSWER_US, self.list_answered, *what, False)

    def call_again(self, life: int, call: int) -> None:
        if (life, call) == (self.life, self.calls):
            self.call_list()

    def list_answered(self, life: int, call: int, taken: bool) -> None:
        """The call's turn has come; or it was turned away, or has waited for too long."""
        if (
            not self.awake(self.list_answered, life, call, taken)
            or (life, call) != (self.life, self.calls)
            or self.list_known == call
        ):
            return
        now = self.world.clock.now_us
        if taken:
            self.watching, self.list_known = True, call
            if self.settings.poll_endpoints or self.world.experiment.directory.call_ms:
                # the whole list; where calls cost nothing, a sidecar starts with the list of that moment
                for step in self.world.listed.values():
                    self.world.write(Told(now, self.name, step.uid, step.state, step.started_us))
                self.tell(EndpointsUpdated(UpdateKind.SNAPSHOT, [self.entry(s) for s in self.world.listed.values()]))
            return
        self.calls += 1  # what still comes of it is too late
        if self.settings.poll_endpoints:
            self.tell(EndpointsUpdated(UpdateKind.FAILED))
        else:
            self.world.clock.at(now + LIST_AGAIN_US, self.call_again, self.life, self.calls)

    def listed(self, step: ListStep, life: int) -> None:
        if self.awake(self.listed, step, life) and life == self.life:
            self.world.write(Told(self.world.clock.now_us, self.name, step.uid, step.state, step.started_us))
            self.tell(EndpointsUpdated(UpdateKind.DELTA, [self.entry(step)]))


class World:
    """Everything that there is."""

    def __init__(self, experiment: Experiment, plan: Plan, cpu_ns: Callable[[], int] = lambda: 0) -> None:
        self.experiment, self.plan = experiment, plan
        self.cpu_ns, self.decided_ns = cpu_ns, 0  # what decisions cost, where the caller has a clock for it
        self.clock = Clock()
        self.list_free_us = 0  # when the list will have answered the calls that wait
        self.records: list[AnyRecord] = []
        self.rng = random.Random(f"{plan.seed} network")
        self.list_rng = random.Random(f"{plan.seed} list")
        topology = experiment.topology
        zones = {u.uid: u.zone for u in plan.upstreams}
        ways = {
            (here, there): round(topology.one_way_ms(here, there) * 1000)
            for here in topology.zones
            for there in topology.zones
        }
        homes = {s.name: s.zone for s in plan.sidecars}
        self.pairs = _Pairs(
            lambda party, name: (
                round(topology.cross_zone_ms * 1000) if party == DIRECTORY else ways[homes[name], zones[party]]
            )
        )
        self.entries: dict[tuple[int, str, str, int], Endpoint] = {}  # shared by all sidecars that know it so
        self.listed = {u.uid: ListStep(0, u.uid, u.zone, "active") for u in plan.upstreams if u.from_us == 0}
        self.members = Members(plan.seed, clock=self.clock) if experiment.sidecars.membership else None
        if self.members is not None:
            for planned in plan.sidecars:
                self.members.add(planned.name, planned.zone)
            self.members.is_cut = self.apart
            self.clock.at(COUNT_US, self.count)
        self.machines: dict[str, _Machinery] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.machines = {u.uid: _Machinery(self, u) for u in plan.upstreams}
        self.sidecars = {s.name: Sidecar(self, s) for s in plan.sidecars}
        for step in plan.links:
            self.clock.at(step.at_us, self.link, step)
        for listed in plan.listed:
            self.clock.at(listed.at_us, self.change, listed)

    def run(self) -> list[AnyRecord]:
        """To the end, and till the last answer can have come; all records, in the order of time."""
        longest_us = max(int(c.deadline_ms * 1000) for c in self.experiment.classes)
        self.clock.run(int(self.plan.seconds * 1e6) + longest_us + 1_000_000)
        self.records.sort(key=lambda record: record.t)
        return self.records

    # The members, where the experiment has them

    def member_starts(self, sidecar: Sidecar) -> None:
        if self.members is not None:
            seeds = [self.members.nodes[s.name] for s in self.plan.sidecars[:MEMBER_SEEDS]]
            self.members.start(self.members.nodes[sidecar.name], seeds)

    def member_ends(self, sidecar: Sidecar) -> None:
        if self.members is not None:
            self.members.kill(self.members.nodes[sidecar.name])

    def member_stops(self, sidecar: Sidecar, stops: bool) -> None:
        if self.members is not None:
            (self.members.pause if stops else self.members.resume)(self.members.nodes[sidecar.name])

    def apart(self, a: Node, b: Node) -> bool:
        """A sidecar that is cut off from all that it talks to is cut off from the others, too."""
        return any(
            self.pairs[DIRECTORY, node.name].cut_in and self.pairs[DIRECTORY, node.name].cut_out for node in (a, b)
        )

    def count(self) -> None:
        for sidecar in self.sidecars.values():
            if sidecar.up:
                sidecar.count()
        self.clock.at(self.clock.now_us + COUNT_US, self.count)

    def write(self, record: AnyRecord) -> None:
        self.records.append(record)

    def carry(self, party: str, sidecar: str, to_party: bool, what: object) -> None:
        """Bytes through a link; what a cut keeps comes once it is mended, as TCP sends it again."""
        pair = self.pairs[party, sidecar]
        if pair.cut_in if to_party else pair.cut_out:
            pair.waiting.append((to_party, what))
            return
        jitter, rng = self.experiment.topology.jitter, self.list_rng if party == DIRECTORY else self.rng
        due = self.clock.now_us + int(pair.way_us * (1 + jitter * (2 * rng.random() - 1)))
        if pair.loss and rng.random() < pair.loss:
            due += RETRANSMIT_US
        self.clock.at(due, what)  # type: ignore[arg-type]

    def link(self, step: LinkStep) -> None:
        for party in step.parties:
            for name in step.sidecars:
                pair = self.pairs[party, name]
                if step.what == "loss":
                    pair.loss = step.value
                    continue
                by = 1 if step.what == "cut" else -1
                pair.cut_in += by * step.to_party
                pair.cut_out += by * step.to_sidecar
                if by > 0:
                    pair.since_us = self.clock.now_us
                else:
                    waiting, pair.waiting = pair.waiting, []
                    wait = int(self.rng.random() * (self.clock.now_us - pair.since_us))
                    for to_party, what in waiting:
                        self.clock.at(self.clock.now_us + min(wait, 3_000_000), self.carry, party, name, to_party, what)

    def change(self, step: ListStep) -> None:
        before = self.listed.get(step.uid)
        if before is not None and step.started_us == LONG_AGO:
            step = structs.replace(step, started_us=before.started_us)  # only a start moves it
        if step.state == "left":
            self.listed.pop(step.uid, None)
        else:
            self.listed[step.uid] = step
        spread = self.experiment.directory.spread_ms * 1000
        for name, sidecar in self.sidecars.items():
            if not sidecar.watching:
                continue
            after = int(draw.uniform(self.plan.seed, "spread", name, step.uid, step.at_us) * spread)
            self.clock.at(self.clock.now_us + after, self.tell, sidecar, step)

    def called(self, sidecar: Sidecar, life: int, call: int) -> None:
        """A call has reached the list, which answers one after another, with what it has to say by then."""
        now, it = self.clock.now_us, self.experiment.directory
        self.write(Listed(now, sidecar.name, "watch"))
        takes_us = int(it.call_ms * 1000)
        taken = self.list_free_us - now <= it.calls_waiting * takes_us
        if taken:
            self.list_free_us = max(now, self.list_free_us) + takes_us
        self.clock.at(
            self.list_free_us if taken else now,
            self.carry,
            DIRECTORY,
            sidecar.name,
            False,
            partial(sidecar.list_answered, life, call, taken),
        )

    def tell(self, sidecar: Sidecar, step: ListStep) -> None:
        if sidecar.up:
            life = sidecar.life
            self.carry(DIRECTORY, sidecar.name, False, lambda: sidecar.listed(step, life))


def settings(experiment: Experiment, plan: Plan, sidecar: SidecarPlan) -> Settings:
    """What the lab writes into a sidecar's file, as the module takes it."""
    u, zones = experiment.upstreams, experiment.topology.zones
    names = list(experiment.topology.regions)
    # an earlier tree's module, which `model run --tree` plays, does not know these
    known = {known.name for known in dataclasses.fields(Settings)}
    later: dict[str, Any] = {"regions": [names.index(experiment.topology.region_of(zone)) for zone in zones]}
    return Settings(
        classes=[
            RequestClass(c.name, int(c.aim_ms * 1000), int(c.deadline_ms * 1000), c.worth, effect=c.effect)
            for c in experiment.classes
        ],
        tenants=[Tenant(t.name, t.share * experiment.load.requests_per_s, t.share) for t in experiment.tenants],
        over_quota_weight=experiment.over_share_worth,
        fleet_size=experiment.sidecars.told or len(plan.sidecars),
        instance_index=plan.sidecars.index(sidecar),
        zone=zones.index(sidecar.zone),
        max_attempts=experiment.sidecars.max_attempts,
        max_retry_after_us=2_000_000,
        connect_timeout_us=DIAL_TIMEOUT_US,
        cancel_attempts=True,
        hedging=experiment.sidecars.second_copies,
        warm_up_initial_fraction=min(0.13, u.cold_share),
        warm_up_us=int(u.warm_up_s * 1e6),
        overload_factor=u.overload_factor,
        overload_window_us=int(u.fall_s * 1e6),
        cross_zone_cost=0.022,
        endpoint_weights=True,
        poll_endpoints=experiment.directory.mode == "on_request",
        poll_interval_us=ASK_WITHIN_US,
        **{name: value for name, value in later.items() if name in known},
    )
