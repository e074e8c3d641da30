"""One machine that serves requests: cores, a queue, slow start and overload; events in, actions out, no clock.

Jobs wait in one queue for a free core. All service slows down by the same factor while the machine holds far more jobs
than it has cores; one that is overloaded for `choke_over_s` degrades: it stays slower still until it has been mostly
idle for a while, or for `choke_most_s`. A machine that has just started has `cold_share` of its capacity and gains the
rest evenly over `warm_up_s`; sent more than `overload_factor` times its capacity for `fall_s` while it warms up, it
crashes and stays down. Work that is cancelled stops at once.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from garnetusher.model.experiment import Upstreams
from garnetusher.model.upstream_overload import Degradation, overload_budget_us

MAX_WARM_UP_STEP_US = 100_000  # between two looks at a machine whose capacity is still growing


@dataclass(slots=True)
class Finished:
    """A job is done."""

    job: int


@dataclass(slots=True)
class TurnedAway:
    """A job was rejected, as the queue is full or the machine is down."""

    job: int


@dataclass(slots=True)
class FellOver:
    """The machine has crashed from overload while it was warming up; the jobs in `dropped` are lost with it."""

    dropped: list[int]


Action = Finished | TurnedAway | FellOver


@dataclass(slots=True)
class _Job:
    job: int
    remaining_us: float  # work on a standard core


class Upstream:
    """One machine. Call `next_us` after each event for the time of the next `wakeup`.

    Attributes:
        started_us: Its last start; None if it has been up for long and is warm.
        hung: It takes requests and works on none.
        down: It rejects everything.
        running: The jobs that have a core.
        queue: The jobs that wait for one.
    """

    def __init__(self, settings: Upstreams, speed: float, started_us: int | None = None) -> None:
        self.started_us = started_us
        self.hung = False
        self.down = False
        self.running: list[_Job] = []
        self.queue: deque[_Job] = deque()
        self._settings = settings
        self._speed = speed
        self._slowdown = 1.0  # a fault: all service takes this multiple
        self._now_us = 0
        self._degradation = Degradation(settings)
        self._recent_arrivals: deque[tuple[int, int]] = deque()  # (time, work) of the overload window, in slow start
        self._recent_work_us = 0

    @property
    def held(self) -> int:
        """How many jobs it has, running or queued."""
        return len(self.running) + len(self.queue)

    @property
    def degraded(self) -> bool:
        """Whether a long overload has made it slower still."""
        return self._degradation.degraded

    def arrive(self, now_us: int, job: int, work_us: int) -> list[Action]:
        """Take a job whose request has arrived."""
        actions = self.wakeup(now_us)
        if self.down:
            return [*actions, TurnedAway(job)]
        crash = self._check_overload(now_us, work_us)
        if crash is not None:
            return [*actions, crash, TurnedAway(job)]
        if self._full:
            return [*actions, TurnedAway(job)]
        self.queue.append(_Job(job, float(work_us)))
        self._start_queued()
        self._update_degradation(now_us)
        return actions

    def cancel(self, now_us: int, job: int) -> list[Action]:
        """Drop a job whose response nobody waits for."""
        actions = self.wakeup(now_us)
        self.running = [held for held in self.running if held.job != job]
        self.queue = deque(held for held in self.queue if held.job != job)
        self._start_queued()
        self._update_degradation(now_us)
        return actions

    def wakeup(self, now_us: int) -> list[Action]:
        """Let time pass, and return what has finished by now.

        Time passes in steps, at the end of which a job may finish; each step has the service rate of its middle.
        """
        actions: list[Action] = []
        while self._now_us < now_us:
            if not self._working:
                self._now_us = now_us
                self._update_degradation(now_us)
                break
            self._advance(now_us - self._now_us)
            self._update_degradation(self._now_us)  # by the jobs that it has held until now
            actions.extend(self._take_finished())
        return actions

    def next_us(self) -> int | None:
        """Return when to call `wakeup` if nothing else happens; None if there is no need to."""
        if not self._working:
            return None
        step_us = min(job.remaining_us for job in self.running) / self._rate(self._now_us)
        if self.started_us is not None:
            step_us = min(step_us, MAX_WARM_UP_STEP_US)
        return self._now_us + max(1, int(step_us) + 1)

    # Faults

    def hang(self, now_us: int, hung: bool) -> list[Action]:  # noqa: FBT001 - the lab calls it by position
        """Stop working on jobs, or resume."""
        actions = self.wakeup(now_us)
        self.hung = hung
        return actions

    def slow_down(self, now_us: int, times: float) -> list[Action]:
        """Let all service take a multiple of its time from now on; 1 ends the fault."""
        actions = self.wakeup(now_us)
        self._slowdown = times
        return actions

    def die(self, now_us: int) -> list[int]:
        """End the process, and return the jobs that are lost with it."""
        self.wakeup(now_us)
        dropped = [job.job for job in (*self.running, *self.queue)]
        self.running = []
        self.queue.clear()
        self.down = True
        return dropped

    def boot(self, now_us: int) -> None:
        """Start anew, at the beginning of slow start."""
        self._now_us = now_us
        self.started_us = now_us
        self.down = False
        self.hung = False
        self._recent_arrivals.clear()
        self._recent_work_us = 0
        self._degradation.reset()

    # Service

    @property
    def _working(self) -> bool:
        return bool(self.running) and not self.hung and not self.down

    @property
    def _full(self) -> bool:
        settings = self._settings
        queue_full = len(self.queue) >= settings.queue_per_core * settings.cores
        return queue_full and len(self.running) >= settings.cores

    def _advance(self, most_us: int) -> None:
        """Work until a job finishes, or for `most_us`."""
        step_us = most_us
        if self.started_us is not None:
            step_us = min(step_us, MAX_WARM_UP_STEP_US)
        rate = self._rate(self._now_us + step_us // 2)
        shortest_us = min(job.remaining_us for job in self.running)
        step_us = min(step_us, max(1, round(shortest_us / rate)))
        self._now_us += step_us
        for job in self.running:
            job.remaining_us -= step_us * rate

    def _take_finished(self) -> list[Action]:
        finished: list[Action] = [Finished(job.job) for job in self.running if job.remaining_us < 1]
        if finished:
            self.running = [job for job in self.running if job.remaining_us >= 1]
            self._start_queued()
            self._update_degradation(self._now_us)
        return finished

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self._settings.cores:
            self.running.append(self.queue.popleft())

    def _rate(self, now_us: int) -> float:
        """Return the work that a core does in a microsecond."""
        settings = self._settings
        excess_jobs_per_core = max(0.0, self.held / settings.cores - settings.thrash_at)
        slowdown = self._slowdown * (settings.choke_times if self.degraded else 1.0)
        return self._speed * self._warm_up_fraction(now_us) / (slowdown * (1 + settings.thrash * excess_jobs_per_core))

    def _warm_up_fraction(self, now_us: int) -> float:
        """Return the share of its capacity that the machine has."""
        if self.started_us is None:
            return 1.0
        initial = self._settings.cold_share
        progress = (now_us - self.started_us) / (self._settings.warm_up_s * 1e6)
        return min(1.0, initial + (1 - initial) * max(0.0, progress))

    # Overload

    def _update_degradation(self, now_us: int) -> None:
        self._degradation.update(now_us, self.held / self._settings.cores)

    def _check_overload(self, now_us: int, work_us: int) -> FellOver | None:
        """Crash if too much work has reached the machine in slow start; work that it rejects counts too."""
        if self.started_us is None or self._warm_up_fraction(now_us) >= 1.0:
            self._recent_arrivals.clear()
            return None
        window_us = int(self._settings.fall_s * 1e6)
        self._recent_arrivals.append((now_us, work_us))
        self._recent_work_us += work_us
        while self._recent_arrivals[0][0] <= now_us - window_us:
            self._recent_work_us -= self._recent_arrivals.popleft()[1]
        if self._recent_work_us <= overload_budget_us(self._settings, self._speed, self.started_us, now_us):
            return None
        return FellOver(self.die(now_us))
