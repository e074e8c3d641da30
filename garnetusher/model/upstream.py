"""One machine that serves: cores, a queue, a cold start, slowness; events in, actions out, no clock of its own.

Jobs wait in one queue for a free core. All service slows down by the same factor while the machine holds far more
than it has cores for; one that has been crowded for `choke_over_s` chokes: it goes on slower still until it has been
mostly idle for a while, or for `choke_most_s`. A machine that has just started has `cold_share` of its capacity and
gains the rest evenly over `warm_up_s`; sent more than `overload_factor` times its capacity for `fall_s` while cold, it
falls over and stays down. Work that is cancelled stops at once.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from garnetusher.model.experiment import Upstreams

LONGEST_STEP_US = 100_000  # between two looks at a machine whose capacity is still growing
SLACK = 1.1  # of the budget of a cold machine, for chance


@dataclass(slots=True)
class Finished:
    """A job is done; `wakeup` has brought it about."""

    job: int


@dataclass(slots=True)
class TurnedAway:
    """A job was not taken, as the queue is full or the machine is down."""

    job: int


@dataclass(slots=True)
class FellOver:
    """The machine was pushed over while cold; `dropped` held jobs went with it."""

    dropped: list[int]


Action = Finished | TurnedAway | FellOver


@dataclass(slots=True)
class _Job:
    job: int
    left_us: float  # work on a standard core


class Upstream:
    """One machine. Call `next_us` after each event for the time of the next `wakeup`."""

    def __init__(self, figures: Upstreams, speed: float, cold_at_us: int | None = None) -> None:
        self.figures, self.speed = figures, speed
        self.cold_at_us = cold_at_us  # its last start; None: long ago
        self.slow = 1.0  # a fault: all service takes this multiple
        self.hung = self.down = False
        self.running: list[_Job] = []
        self.queue: deque[_Job] = deque()
        self.now_us = 0
        self.choked_us: int | None = None  # since when it is choked
        self._crowded_us: int | None = None  # since when it holds too much
        self._idle_us: int | None = None  # since when, choked, it holds next to nothing
        self.recent: deque[tuple[int, int]] = deque()  # (when, work) of what has reached it while cold
        self.recent_us = 0

    def warmth(self, now_us: int) -> float:
        """The share of its capacity that it has."""
        if self.cold_at_us is None:
            return 1.0
        share, age = self.figures.cold_share, (now_us - self.cold_at_us) / (self.figures.warm_up_s * 1e6)
        return min(1.0, share + (1 - share) * max(0.0, age))

    @property
    def held(self) -> int:
        return len(self.running) + len(self.queue)

    def arrive(self, now_us: int, job: int, work_us: int) -> list[Action]:
        """A request has come whole."""
        done = self.wakeup(now_us)
        if self.down:
            return [*done, TurnedAway(job)]
        fell = self._weigh(now_us, work_us)
        if fell is not None:
            return [*done, fell, TurnedAway(job)]
        if (
            len(self.queue) >= self.figures.queue_per_core * self.figures.cores
            and len(self.running) >= self.figures.cores
        ):
            return [*done, TurnedAway(job)]
        self.queue.append(_Job(job, float(work_us)))
        self._fill()
        self._watch(now_us)
        return done

    def cancel(self, now_us: int, job: int) -> list[Action]:
        """Nobody waits for it any more."""
        done = self.wakeup(now_us)
        self.running = [j for j in self.running if j.job != job]
        self.queue = deque(j for j in self.queue if j.job != job)
        self._fill()
        self._watch(now_us)
        return done

    def wakeup(self, now_us: int) -> list[Action]:
        """Time has passed: what is finished by now. Each job goes on at the rate of the middle of each step."""
        done: list[Action] = []
        while self.now_us < now_us:
            if self.hung or self.down or not self.running:
                self.now_us = now_us
                self._watch(now_us)
                break
            step = now_us - self.now_us
            if self.cold_at_us is not None:
                step = min(step, LONGEST_STEP_US)
            rate = self._rate(self.now_us + step // 2)
            step = min(step, max(1, round(min(j.left_us for j in self.running) / rate)))
            self.now_us += step
            for job in self.running:
                job.left_us -= step * rate
            self._watch(self.now_us)  # by what it has held until now
            ended = [j for j in self.running if j.left_us < 1]
            if ended:
                self.running = [j for j in self.running if j.left_us >= 1]
                done.extend(Finished(j.job) for j in ended)
                self._fill()
                self._watch(self.now_us)
        return done

    def next_us(self) -> int | None:
        """When to call `wakeup`, if nothing else happens; None: never."""
        if self.hung or self.down or not self.running:
            return None
        rate = self._rate(self.now_us)
        step = min(j.left_us for j in self.running) / rate
        return self.now_us + max(1, int(min(step, LONGEST_STEP_US) if self.cold_at_us is not None else step) + 1)

    # What befalls it

    def hang(self, now_us: int, hung: bool) -> list[Action]:
        done = self.wakeup(now_us)
        self.hung = hung
        return done

    def slow_down(self, now_us: int, times: float) -> list[Action]:
        done = self.wakeup(now_us)
        self.slow = times
        return done

    def die(self, now_us: int) -> list[int]:
        """The process ends; the jobs that it held."""
        self.wakeup(now_us)
        dropped = [j.job for j in (*self.running, *self.queue)]
        self.running, self.down = [], True
        self.queue.clear()
        return dropped

    def boot(self, now_us: int) -> None:
        """It starts anew, cold."""
        self.now_us, self.cold_at_us, self.down, self.hung = now_us, now_us, False, False
        self.recent.clear()
        self.recent_us = 0
        self.choked_us = self._crowded_us = self._idle_us = None

    # Inside

    def _watch(self, now_us: int) -> None:
        """Whether it chokes, or recovers, by what it has held and for how long."""
        f, per_core = self.figures, self.held / self.figures.cores
        if f.choke_times <= 1:
            return
        if self.choked_us is None:
            self._crowded_us = (
                None if per_core <= f.choke_at else now_us if self._crowded_us is None else self._crowded_us
            )
            if self._crowded_us is not None and now_us - self._crowded_us >= f.choke_over_s * 1e6:
                self.choked_us, self._idle_us = now_us, None
            return
        self._idle_us = None if per_core > f.choke_below else now_us if self._idle_us is None else self._idle_us
        rested = self._idle_us is not None and now_us - self._idle_us >= f.choke_rest_s * 1e6
        if rested or now_us - self.choked_us >= f.choke_most_s * 1e6:
            self.choked_us = self._crowded_us = None

    def _fill(self) -> None:
        while self.queue and len(self.running) < self.figures.cores:
            self.running.append(self.queue.popleft())

    def _rate(self, now_us: int) -> float:
        """Work done on a core in a microsecond."""
        crowd = max(0.0, self.held / self.figures.cores - self.figures.thrash_at)
        slow = self.slow * (self.figures.choke_times if self.choked_us is not None else 1.0)
        return self.speed * self.warmth(now_us) / (slow * (1 + self.figures.thrash * crowd))

    def _weigh(self, now_us: int, work_us: int) -> FellOver | None:
        """All work that reaches a cold machine counts, also what it turns away."""
        if self.warmth(now_us) >= 1.0:
            self.recent.clear()
            return None
        window_us = int(self.figures.fall_s * 1e6)
        self.recent.append((now_us, work_us))
        self.recent_us += work_us
        while self.recent[0][0] <= now_us - window_us:
            self.recent_us -= self.recent.popleft()[1]
        if self.recent_us <= budget_us(self.figures, self.speed, self.cold_at_us or 0, now_us):
            return None
        return FellOver(self.die(now_us))


def budget_us(figures: Upstreams, speed: float, cold_at_us: int, now_us: int) -> float:
    """The work, in microseconds on a standard core, that a machine started at `cold_at_us` bears in the window
    that ends now: the multiple, times its capacity over that window, with some slack for chance. A window that
    reaches back before the start counts whole, as of the capacity at the start (rule 4 in the protocol page)."""
    window = figures.fall_s * 1e6
    warm = figures.warm_up_s * 1e6

    def warmth(at: float) -> float:
        return min(1.0, figures.cold_share + (1 - figures.cold_share) * max(0.0, at - cold_at_us) / warm)

    middle = (warmth(now_us - window) + warmth(now_us)) / 2
    return SLACK * figures.overload_factor * figures.cores * speed * middle * window
