"""A simulated upstream: a machine, its requests, and the plan's faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from garnetusher.model import draw
from garnetusher.model.network import Direction
from garnetusher.model.plan import Step, UpstreamPlan
from garnetusher.model.records import Attempt, UpstreamAttemptEnded, UpstreamChanged
from garnetusher.model.request_state import AttemptInFlight, PendingRequest
from garnetusher.model.upstream import Action as UpstreamAction
from garnetusher.model.upstream import JobFinished, JobRejected, MachineCrashed, Upstream
from garnetusher.policy.events import Outcome

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

# The value of `UpstreamAttemptEnded.how` for each outcome with a response.
_ATTEMPT_ENDS = {Outcome.OK: "served", Outcome.OVERLOADED: "turned_away", Outcome.ERROR: "error"}


@dataclass(slots=True)
class _Job:
    """A received request, and the sidecar that waits for its response."""

    sidecar: SimulatedSidecar
    request: PendingRequest
    attempt: AttemptInFlight


class SimulatedUpstream:
    """One upstream; `Upstream` decides the order and duration of its jobs, as in the lab."""

    def __init__(self, simulation: Simulation, plan: UpstreamPlan) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._settings = simulation.experiment.upstreams
        self._machine = Upstream(self._settings, plan.speed)
        self._rng = random.Random(f"{simulation.plan.seed} {plan.uid}")
        self._jobs: dict[int, _Job] = {}
        self._last_attempt_id = 0
        self._vanished = False
        self._error_share = self._settings.error_share
        self._errors_on_arrival = False  # whether a fault makes requests fail on arrival, before any work
        self._reset_share = 0.0
        self._wakeup_at_us = -1
        self._fault_handlers: dict[str, Callable[[Step], None]] = {
            "die": self._die,
            "vanish": self._vanish,
            "boot": self._boot,
            "hang": self._hang,
            "resume": self._resume,
            "slow": self._slow_down,
            "errors": self._set_error_share,
            "reset": self._set_reset_share,
            "refuse": self._refuse,
            "accept": self._accept,
        }
        self.uid = plan.uid
        self.refusing = plan.from_us > 0  # whether new connections are refused
        if plan.from_us > 0:
            self._machine.terminate(0)
        for step in plan.steps:
            self._clock.at(step.at_us, self.apply_fault, step)

    # Faults

    def apply_fault(self, step: Step) -> None:
        """Apply a step of the plan to the upstream, and record it."""
        self._fault_handlers[step.what](step)
        self._simulation.record(UpstreamChanged(self._clock.now_us, self.uid, step.what))

    def _die(self, step: Step) -> None:
        self._refuse_and_reset(self._machine.terminate(self._clock.now_us))

    def _vanish(self, step: Step) -> None:
        """End the process during a partition, so that the sidecars see no connection close."""
        self.refusing = self._vanished = True
        self._machine.terminate(self._clock.now_us)
        for attempt_id in list(self._jobs):
            self._end_job(attempt_id, "dropped")

    def _boot(self, step: Step) -> None:
        self._machine.boot(self._clock.now_us)
        self.refusing = False
        if self._vanished:  # the partition ends at this time, and the new process resets the old connections
            self._vanished = False
            self._clock.at(self._clock.now_us + 1, self._reset_connections)

    def _hang(self, step: Step) -> None:
        self._handle_actions(self._machine.set_hung(self._clock.now_us, hung=True))

    def _resume(self, step: Step) -> None:
        self._handle_actions(self._machine.set_hung(self._clock.now_us, hung=False))

    def _slow_down(self, step: Step) -> None:
        self._handle_actions(self._machine.slow_down(self._clock.now_us, step.value))

    def _set_error_share(self, step: Step) -> None:
        self._errors_on_arrival = step.value > 0
        self._error_share = step.value or self._settings.error_share

    def _set_reset_share(self, step: Step) -> None:
        self._reset_share = step.value

    def _refuse(self, step: Step) -> None:
        self._refuse_and_reset([])

    def _accept(self, step: Step) -> None:
        self.refusing = False

    def _refuse_and_reset(self, lost_jobs: list[int]) -> None:
        """Refuse new connections from now on, drop the lost jobs, and reset all open connections.

        Args:
            lost_jobs: The ids of the jobs to drop; if the list is empty, all jobs are dropped.
        """
        self.refusing = True
        for attempt_id in lost_jobs or list(self._jobs):
            self._end_job(attempt_id, "dropped")
        self._reset_connections()

    def _reset_connections(self) -> None:
        for sidecar in self._simulation.sidecars.values():
            sidecar.attempts.connections_reset(self.uid)

    # Requests

    def receive(self, sidecar: SimulatedSidecar, request: PendingRequest, attempt: AttemptInFlight) -> None:
        """Accept a request whose last byte has arrived."""
        connection = attempt.connection
        if self.refusing or connection is None or not connection.open:
            return
        self._last_attempt_id += 1
        attempt_id = self._last_attempt_id
        attempt.upstream_attempt_id = attempt_id
        new_connection = not connection.used
        connection.used = True
        work_us = self._work_us(request)
        if new_connection:
            work_us += int(self._settings.handshake_ms * 1000)
        self._jobs[attempt_id] = _Job(sidecar, request, attempt)
        now_us = self._clock.now_us
        call_id = request.call.call_id
        self._simulation.record(
            Attempt(now_us, attempt_id, call_id, self.uid, sidecar.name, now_us, work_us, new_connection)
        )
        if self._machine.hung:  # a hung process returns no errors and resets no connections
            self._handle_actions(self._machine.arrive(now_us, attempt_id, work_us))
        elif self._errors_on_arrival and self._rng.random() < self._error_share:
            self._respond(attempt_id, Outcome.ERROR)
        elif self._reset_share and self._rng.random() < self._reset_share:
            self._end_job(attempt_id, "reset")
            sidecar.attempts.response_arrived(request, attempt, Outcome.RESET, self.uid)
        else:
            handshake_us = self._handshake_us(sidecar) if new_connection else 0
            self._clock.at(now_us + handshake_us, self._start_job, attempt_id, work_us)

    def cancel(self, attempt_id: int) -> None:
        """Cancel an attempt whose sidecar has closed the connection."""
        if attempt_id in self._jobs:
            self._handle_actions(self._machine.cancel(self._clock.now_us, attempt_id))
            self._end_job(attempt_id, "cancelled")

    def _work_us(self, request: PendingRequest) -> int:
        """Return the work of a request, which is equal for the first call and all retries of the client."""
        request_class = self._simulation.experiment.classes[request.call.class_index]
        # the id of a call is SIDECAR.REQUEST, and that of a retry SIDECAR.REQUEST.RETRY
        first_call_id = ".".join(request.call.call_id.split(".")[:2])
        return draw.work_us(self._simulation.plan.seed, first_call_id, request_class.work_ms, request_class.work_cv)

    def _handshake_us(self, sidecar: SimulatedSidecar) -> int:
        link = self._simulation.network.link(self.uid, sidecar.name)
        return int(2 * self._settings.handshake_trips * link.one_way_us)

    def _start_job(self, attempt_id: int, work_us: int) -> None:
        if attempt_id in self._jobs:
            self._handle_actions(self._machine.arrive(self._clock.now_us, attempt_id, work_us))

    # The machine's actions

    def _handle_actions(self, actions: list[UpstreamAction]) -> None:
        for action in actions:
            if isinstance(action, MachineCrashed):
                self._simulation.record(UpstreamChanged(self._clock.now_us, self.uid, "fell_over"))
                self._refuse_and_reset(action.lost_jobs)
            elif action.job_id in self._jobs:
                self._finish(action)
        self._schedule_wakeup()

    def _finish(self, action: JobFinished | JobRejected) -> None:
        if isinstance(action, JobRejected):
            self._respond(action.job_id, Outcome.OVERLOADED)
            return
        failed = self._error_share > 0 and self._rng.random() < self._error_share
        self._respond(action.job_id, Outcome.ERROR if failed else Outcome.OK)

    def _schedule_wakeup(self) -> None:
        at_us = self._machine.next_wakeup_us()
        if at_us is None:
            return
        if self._wakeup_at_us < self._clock.now_us or at_us < self._wakeup_at_us:
            self._wakeup_at_us = at_us
            self._clock.at(at_us, self._wake_up, at_us)

    def _wake_up(self, at_us: int) -> None:
        if at_us == self._wakeup_at_us:  # otherwise a later call has scheduled an earlier wake-up
            self._wakeup_at_us = -1
            self._handle_actions(self._machine.wakeup(self._clock.now_us))

    def _respond(self, attempt_id: int, outcome: Outcome) -> None:
        job = self._jobs[attempt_id]
        self._end_job(attempt_id, _ATTEMPT_ENDS[outcome])
        self._simulation.network.send(
            self.uid,
            job.sidecar.name,
            Direction.TO_SIDECAR,
            lambda: job.sidecar.attempts.response_arrived(job.request, job.attempt, outcome, self.uid),
        )

    def _end_job(self, attempt_id: int, end_kind: str) -> None:
        job = self._jobs.pop(attempt_id, None)
        if job is not None:
            call_id = job.request.call.call_id
            ended = UpstreamAttemptEnded(self._clock.now_us, attempt_id, call_id, self.uid, job.sidecar.name, end_kind)
            self._simulation.record(ended)
