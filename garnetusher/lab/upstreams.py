"""Upstreams on sockets: `garnetusher.model.upstream` decides what is served when; here is HTTP/1.1 and the faults."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import httptools

from garnetusher.lab import linked
from garnetusher.lab.clockwork import Clockwork
from garnetusher.model import draw
from garnetusher.model.experiment import Experiment
from garnetusher.model.link import Weather
from garnetusher.model.plan import Step, UpstreamPlan
from garnetusher.model.records import Attempt, Ended, Held, Machine
from garnetusher.model.upstream import Action, FellOver, Finished, TurnedAway, Upstream

NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
UNKNOWN = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
ALIVE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
SWEEP_S = 0.5  # between looks for connections that have been idle for too long


@dataclass(slots=True)
class _Job:
    n: int
    ident: str
    caller: Caller


class Caller:
    """A sidecar's connection, as an upstream sees it. It carries one request at a time."""

    def __init__(self, machine: Machinery, sidecar: str, connection: linked.Connection) -> None:
        self.machine, self.sidecar, self.connection = machine, sidecar, connection
        self.parser = httptools.HttpRequestParser(self)
        self.began_us = self.quiet_us = machine.clock.now_us()
        self.fresh, self.reading = True, False
        self.job: _Job | None = None
        self.target, self.ident = b"", ""
        machine.callers.add(self)
        self.welcome = len(machine.callers) <= machine.most_callers

    # The link

    def received(self, data: bytes) -> None:
        if not self.reading:
            self.reading, self.began_us = True, self.machine.clock.now_us()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.machine.hang_up(self)

    def lost(self) -> None:
        self.machine.left(self)

    def held(self, data: bytes) -> None:
        for line in data.split(b"\r\n"):
            if line[:13].lower() == b"x-request-id:":
                self.machine.hold(self, line[13:].strip().decode("latin-1"))

    # The parser

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self.ident = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.reading = False
        target, self.target = self.target, b""
        ident, self.ident = self.ident, ""
        self.machine.whole(self, target, ident)


class Machinery:
    """One upstream: its machine, its listeners (one for each sidecar), its callers."""

    def __init__(self, clock: Clockwork, experiment: Experiment, seed: int, plan: UpstreamPlan) -> None:
        self.clock, self.experiment, self.seed, self.plan = clock, experiment, seed, plan
        self.figures = experiment.upstreams
        self.rng = random.Random(f"{seed} {plan.uid}")
        self.core = Upstream(self.figures, plan.speed)
        self.most_callers = self.figures.connections_per_core * self.figures.cores
        self.callers: set[Caller] = set()
        self.jobs: dict[int, _Job] = {}
        self.last = 0
        self.errors, self.resets = self.figures.error_share, 0.0
        self.classes = {c.name.encode(): c for c in experiment.classes}
        self.listeners: dict[str, linked.Listener] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._failing = False

    def link(self, sidecar: str, host: str, usual: Weather) -> None:
        """A listener for one sidecar."""
        seed = int(draw.uniform(self.seed, "link", self.plan.uid, sidecar) * 2**32)
        listener = linked.Listener(self.clock, host, lambda c: Caller(self, sidecar, c), seed, usual)
        self.listeners[sidecar] = listener
        listener.open()
        if self.plan.from_us > 0:
            listener.refuse()  # its port is known; it runs later

    def begin(self) -> None:
        for step in self.plan.steps:
            self.clock.at(step.at_us, self.befall, step)
        if self.plan.from_us > 0:
            self.core.die(0)
        self._sweep()

    # What befalls it

    def befall(self, step: Step) -> None:
        now = self.clock.now_us()
        if step.what == "die":
            for job in self.core.die(now):
                self._over(job, "dropped")
            self._refuse()
        elif step.what == "vanish":  # a machine behind a cut: nobody is told
            for job in self.core.die(now):
                self._over(job, "dropped")
            for listener in self.listeners.values():
                listener.abort_all()
            for caller in list(self.callers):
                self.left(caller)
        elif step.what == "boot":
            self.core.boot(now)
            for listener in self.listeners.values():
                listener.open()
        elif step.what in ("hang", "resume"):
            self._act(self.core.hang(now, step.what == "hang"))
        elif step.what == "slow":
            self._act(self.core.slow_down(now, step.value))
        elif step.what == "errors":
            self._failing = step.value > 0
            self.errors = step.value or self.figures.error_share
        elif step.what == "reset":
            self.resets = step.value
        elif step.what == "refuse":
            self._refuse()
        elif step.what == "accept":
            for listener in self.listeners.values():
                listener.open()
        self.clock.write(Machine(now, self.plan.uid, step.what))

    def _refuse(self) -> None:
        for listener in self.listeners.values():
            listener.refuse()
            listener.abort_all()
        for caller in list(self.callers):
            self.left(caller)

    # Callers

    def whole(self, caller: Caller, target: bytes, ident: str) -> None:
        now = self.clock.now_us()
        if target in (b"/alive", b"/metrics/load"):
            caller.connection.write(ALIVE)
            return
        kind = self.classes.get(target.split(b"?")[0].lstrip(b"/").split(b"/")[0])
        if kind is None or not ident:
            caller.connection.write(UNKNOWN)
            return
        self.last += 1
        job = _Job(self.last, ident, caller)
        base = ".".join(ident.split(".")[:2])  # a client's tries are the same work
        work = draw.work_us(self.seed, base, kind.work_ms, kind.work_cv)
        if caller.fresh:
            work += int(self.figures.handshake_ms * 1000)
        self.clock.write(Attempt(now, job.n, ident, self.plan.uid, caller.sidecar, caller.began_us, work, caller.fresh))
        trips = 2 * self.figures.handshake_trips if caller.fresh else 0.0  # ways that a handshake takes first
        trips_us = int(trips * caller.connection.listener.to_party.delay_us)
        caller.fresh, caller.job = False, job
        self.jobs[job.n] = job
        if not caller.welcome:
            self._answer(job, NOT_RUN, "turned_away")
        elif self.core.hung:
            self._start(job, work)
        elif self._failing and self.rng.random() < self.errors:
            self._answer(job, ERROR, "error")
        elif self.resets and self.rng.random() < self.resets:
            self._over(job.n, "reset")
            caller.connection.abort()
        elif trips_us:
            self.clock.at(now + trips_us, self._start, job, work)
        else:
            self._start(job, work)

    def _start(self, job: _Job, work: int) -> None:
        if job.n in self.jobs:
            self._act(self.core.arrive(self.clock.now_us(), job.n, work))

    def hold(self, caller: Caller, ident: str) -> None:
        self.clock.write(Held(self.clock.now_us(), ident, self.plan.uid, caller.sidecar))

    def left(self, caller: Caller) -> None:
        self.callers.discard(caller)
        if caller.job is not None:
            self._act(self.core.cancel(self.clock.now_us(), caller.job.n))
            if caller.job is not None:
                self._over(caller.job.n, "cancelled")

    def hang_up(self, caller: Caller) -> None:
        caller.connection.abort()
        self.left(caller)

    # The machine

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Finished):
                job = self.jobs.get(action.job)
                if job is None:
                    continue
                if self.errors and self.rng.random() < self.errors:
                    self._answer(job, ERROR, "error")
                else:
                    body = f"{self.plan.uid} {job.ident}\n".encode()
                    self._answer(
                        job,
                        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
                        % (len(body), body),
                        "served",
                    )
            elif isinstance(action, TurnedAway):
                if action.job in self.jobs:
                    self._answer(self.jobs[action.job], NOT_RUN, "turned_away")
            elif isinstance(action, FellOver):
                self.clock.write(Machine(self.clock.now_us(), self.plan.uid, "fell_over"))
                for number in action.dropped:
                    self._over(number, "dropped")
                self._refuse()
        self._arm()

    def _answer(self, job: _Job, data: bytes, how: str) -> None:
        job.caller.quiet_us = self.clock.now_us()
        self._over(job.n, how)
        job.caller.connection.write(data)

    def _over(self, number: int, how: str) -> None:
        job = self.jobs.pop(number, None)
        if job is not None:
            job.caller.job = None
            self.clock.write(Ended(self.clock.now_us(), number, job.ident, self.plan.uid, job.caller.sidecar, how))

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self.core.next_us()
        if at is not None:
            self._timer = self.clock.at(at, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self._act(self.core.wakeup(self.clock.now_us()))

    def _sweep(self) -> None:
        oldest = self.clock.now_us() - int(self.figures.idle_s * 1e6)
        for caller in list(self.callers):
            if caller.job is None and not caller.reading and caller.quiet_us < oldest and not self.core.hung:
                caller.connection.close()
                self.callers.discard(caller)
        self.clock.loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        for listener in self.listeners.values():
            listener.close()
