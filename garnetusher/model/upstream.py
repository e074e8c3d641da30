"""A model of a machine that serves requests: cores, a queue, slow start and overload, without a clock or I/O.

Each event is a method call that returns the resulting actions. Jobs wait in one queue for a free core. While the
machine holds far more jobs than it has cores, all service slows down by the same factor. A machine that is overloaded
for `choke_over_s` degrades: its service is slower still until the machine has been mostly idle for `choke_rest_s`, or
for at most `choke_most_s`. A machine that has just started has `cold_share` of its capacity and gains the rest linearly
over `warm_up_s`. If it receives more than `overload_factor` times its capacity for `fall_s` while it warms up, it
crashes and stays down. Cancelled work stops immediately.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from garnetusher.model.experiment import Upstreams
from garnetusher.model.upstream_overload import Degradation, overload_budget_us

MAX_WARM_UP_STEP_US = 100_000  # the longest step of a machine that started during the run and may still warm up


@dataclass(slots=True)
class JobFinished:
    """A job is complete."""

    job_id: int


@dataclass(slots=True)
class JobRejected:
    """A job was rejected because the queue is full or the machine is down."""

    job_id: int


@dataclass(slots=True)
class MachineCrashed:
    """The machine has crashed from overload during warm-up, and has lost the jobs in `lost_jobs`."""

    lost_jobs: list[int]


Action = JobFinished | JobRejected | MachineCrashed


@dataclass(slots=True)
class _Job:
    job_id: int
    remaining_us: float  # remaining work in microseconds on a standard core


class Upstream:
    """One machine; after each event, `next_wakeup_us` returns the time at which to call `wakeup`.

    Attributes:
        started_us: The time of the last start; None if the machine was already warm at the start of the run.
        hung: Whether the machine accepts jobs without working on them.
        down: Whether the machine is down and rejects all jobs.
        running: The jobs that occupy a core.
        queue: The jobs that wait for a core.
    """

    def __init__(self, settings: Upstreams, speed: float, started_us: int | None = None) -> None:
        self.started_us = started_us
        self.hung = False
        self.down = False
        self.running: list[_Job] = []
        self.queue: deque[_Job] = deque()
        self._settings = settings
        self._speed = speed
        self._slowdown = 1.0  # service times are multiplied by this factor during a fault
        self._now_us = 0
        self._degradation = Degradation(settings)
        self._recent_arrivals: deque[tuple[int, int]] = deque()  # (arrival time, work) in the overload window
        self._recent_work_us = 0

    @property
    def job_count(self) -> int:
        """The number of jobs, running or queued."""
        return len(self.running) + len(self.queue)

    @property
    def degraded(self) -> bool:
        """Whether a long overload has degraded the machine."""
        return self._degradation.degraded

    def arrive(self, now_us: int, job_id: int, work_us: int) -> list[Action]:
        """Accept or reject a job whose request has arrived."""
        actions = self.wakeup(now_us)
        if self.down:
            return [*actions, JobRejected(job_id)]
        crash = self._check_overload(now_us, work_us)
        if crash is not None:
            return [*actions, crash, JobRejected(job_id)]
        if self._full:
            return [*actions, JobRejected(job_id)]
        self.queue.append(_Job(job_id, float(work_us)))
        self._start_queued()
        self._update_degradation(now_us)
        return actions

    def cancel(self, now_us: int, job_id: int) -> list[Action]:
        """Remove a job whose response is no longer needed."""
        actions = self.wakeup(now_us)
        self.running = [other for other in self.running if other.job_id != job_id]
        self.queue = deque(other for other in self.queue if other.job_id != job_id)
        self._start_queued()
        self._update_degradation(now_us)
        return actions

    def wakeup(self, now_us: int) -> list[Action]:
        """Advance to a time, and return the jobs that have finished by then.

        Time advances in steps; a job can finish only at the end of a step. Each step uses the service rate at its
        midpoint.
        """
        actions: list[Action] = []
        while self._now_us < now_us:
            if not self._working:
                self._now_us = now_us
                self._update_degradation(now_us)
                break
            self._advance(now_us - self._now_us)
            # the load of this step includes the jobs that finish at its end
            self._update_degradation(self._now_us)
            actions.extend(self._take_finished())
        return actions

    def next_wakeup_us(self) -> int | None:
        """Return when to call `wakeup` if no event comes first; None if no call is needed."""
        if not self._working:
            return None
        step_us = min(job.remaining_us for job in self.running) / self._rate(self._now_us)
        if self.started_us is not None:
            step_us = min(step_us, MAX_WARM_UP_STEP_US)
        return self._now_us + max(1, int(step_us) + 1)

    # Faults

    def set_hung(self, now_us: int, hung: bool) -> list[Action]:  # noqa: FBT001 - the lab calls it by position
        """Stop working on jobs if `hung` is true, else resume."""
        actions = self.wakeup(now_us)
        self.hung = hung
        return actions

    def slow_down(self, now_us: int, factor: float) -> list[Action]:
        """Multiply all service times by a factor from now on; 1 ends the fault."""
        actions = self.wakeup(now_us)
        self._slowdown = factor
        return actions

    def terminate(self, now_us: int) -> list[int]:
        """End the process, and return the ids of the lost jobs."""
        self.wakeup(now_us)
        lost_jobs = [job.job_id for job in (*self.running, *self.queue)]
        self.running = []
        self.queue.clear()
        self.down = True
        return lost_jobs

    def boot(self, now_us: int) -> None:
        """Start the process again; slow start begins."""
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

    def _advance(self, max_us: int) -> None:
        """Advance until the first job finishes, by at most `max_us` (`MAX_WARM_UP_STEP_US` after a start)."""
        step_us = max_us
        if self.started_us is not None:
            step_us = min(step_us, MAX_WARM_UP_STEP_US)
        rate = self._rate(self._now_us + step_us // 2)
        shortest_us = min(job.remaining_us for job in self.running)
        step_us = min(step_us, max(1, round(shortest_us / rate)))
        self._now_us += step_us
        for job in self.running:
            job.remaining_us -= step_us * rate

    def _take_finished(self) -> list[Action]:
        finished: list[Action] = [JobFinished(job.job_id) for job in self.running if job.remaining_us < 1]
        if finished:
            self.running = [job for job in self.running if job.remaining_us >= 1]
            self._start_queued()
            self._update_degradation(self._now_us)
        return finished

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self._settings.cores:
            self.running.append(self.queue.popleft())

    def _rate(self, now_us: int) -> float:
        """Return the work that each core completes per microsecond, in microseconds on a standard core."""
        settings = self._settings
        excess_jobs_per_core = max(0.0, self.job_count / settings.cores - settings.thrash_at)
        slowdown = self._slowdown * (settings.choke_times if self.degraded else 1.0)
        return self._speed * self._warm_up_fraction(now_us) / (slowdown * (1 + settings.thrash * excess_jobs_per_core))

    def _warm_up_fraction(self, now_us: int) -> float:
        """Return the available share of the machine's capacity."""
        if self.started_us is None:
            return 1.0
        initial = self._settings.cold_share
        progress = (now_us - self.started_us) / (self._settings.warm_up_s * 1e6)
        return min(1.0, initial + (1 - initial) * max(0.0, progress))

    # Overload

    def _update_degradation(self, now_us: int) -> None:
        self._degradation.update(now_us, self.job_count / self._settings.cores)

    def _check_overload(self, now_us: int, work_us: int) -> MachineCrashed | None:
        """Crash the machine if too much work has arrived during slow start; rejected work counts too."""
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
        return MachineCrashed(self.terminate(now_us))
