"""The clients of one simulated sidecar: when they call, how long they wait, and when they retry."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from garnetusher.model.client import WAIT_ON_US, Client
from garnetusher.model.plan import SidecarPlan, arrivals
from garnetusher.model.records import ClientClosedConnection, ClientKilled, ClientTimedOut, RequestSent, ResponseMissing
from garnetusher.model.request_state import ClientCall

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

LOCAL_DELAY_US = 60  # one way between a client and its sidecar


class SimulatedClients:
    """The application beside a sidecar, and its users.

    Attributes:
        active: Whether the application runs; it starts and ends with its sidecar.
        skipped_requests: Requests that were due while it did not run.
    """

    def __init__(self, simulation: Simulation, sidecar: SimulatedSidecar, plan: SidecarPlan) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._sidecar = sidecar
        self._habits = Client(simulation.experiment, simulation.plan.seed, plan.name)
        self._arrivals: Iterator[tuple[int, int, int]] = iter(arrivals(simulation.experiment, simulation.plan, plan))
        self._requests = 0
        self.active = False
        self.skipped_requests = 0

    def schedule_next(self) -> None:
        """Schedule the next request."""
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self._clock.at(arrival[0], self._start_request, *arrival)

    def call_failed(self, call: ClientCall, *, safe_to_retry: bool, retry_after_us: int) -> None:
        """Schedule a retry, if the client makes one.

        Args:
            call: The call that has failed.
            safe_to_retry: The answer said that the request did not run.
            retry_after_us: The answer's Retry-After; 0 if it had none.
        """
        retry_at_us = self._habits.comes_again_us(
            self._clock.now_us,
            call.class_index,
            call.retry_index,
            call.first_due_us,
            safe_to_retry,
            retry_after_us,
        )
        if retry_at_us is None:
            return
        retry_index = call.retry_index + 1
        retry = ClientCall(
            f"{call.request_id}.{retry_index}",
            call.request_id,
            call.class_index,
            call.tenant_index,
            call.first_due_us,
            retry_index,
        )
        self._clock.at(retry_at_us, self._retry, retry)

    def call_vanished(self, call: ClientCall) -> None:
        """End a call whose client was killed with its sidecar."""
        if not call.completed:
            call.completed = True
            self._simulation.record(ClientKilled(self._clock.now_us, call.call_id, self._sidecar.name))

    def _start_request(self, due_us: int, class_index: int, tenant_index: int) -> None:
        self.schedule_next()
        if not self.active:
            self.skipped_requests += 1
            return
        self._requests += 1
        request_id = f"{self._sidecar.name}.{self._requests}"
        self._start_call(ClientCall(request_id, request_id, class_index, tenant_index, due_us, retry_index=0))

    def _retry(self, call: ClientCall) -> None:
        if self.active:
            self._start_call(call)

    def _start_call(self, call: ClientCall) -> None:
        now_us = self._clock.now_us
        client_timeout_us = self._habits.patience_us(call.class_index)
        call.client_timeout_at_us = now_us + client_timeout_us
        self._record_call(call)
        self._clock.at(call.client_timeout_at_us, self._time_out, call)
        disconnects_after_us = self._habits.leaves_after_us(client_timeout_us)
        if disconnects_after_us is not None:
            self._clock.at(now_us + disconnects_after_us, self._disconnect, call)
        self._clock.at(now_us + LOCAL_DELAY_US, self._sidecar.receive, call, self._sidecar.incarnation)

    def _record_call(self, call: ClientCall) -> None:
        asked = RequestSent(
            self._clock.now_us,
            call.call_id,
            call.request_id,
            self._sidecar.name,
            call.class_index,
            call.tenant_index,
            call.first_due_us,
            call.client_timeout_at_us,
        )
        self._simulation.record(asked)

    def _time_out(self, call: ClientCall) -> None:
        if call.completed:
            return
        call.completed = True
        self._simulation.record(ClientTimedOut(self._clock.now_us, call.call_id, self._sidecar.name))
        self._clock.at(call.client_timeout_at_us + WAIT_ON_US, self._check_answered, call)
        self.call_failed(call, safe_to_retry=False, retry_after_us=0)

    def _check_answered(self, call: ClientCall) -> None:
        """Record a call that its sidecar has never answered."""
        if self._sidecar.unanswered(call) is not None:
            self._simulation.record(ResponseMissing(self._clock.now_us, call.call_id, self._sidecar.name))

    def _disconnect(self, call: ClientCall) -> None:
        if call.completed:
            return
        call.completed = True
        self._simulation.record(ClientClosedConnection(self._clock.now_us, call.call_id, self._sidecar.name))
        self._sidecar.client_disconnected(call)
