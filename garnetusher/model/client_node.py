"""The clients of one simulated sidecar: their calls, timeouts, disconnects and retries."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from garnetusher.model.client import LATE_ANSWER_WAIT_US, Client
from garnetusher.model.plan import SidecarPlan, arrivals
from garnetusher.model.records import ClientClosedConnection, ClientKilled, ClientTimedOut, RequestSent, ResponseMissing
from garnetusher.model.request_state import ClientCall

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation

LOCAL_DELAY_US = 60  # the one-way delay between a client and its sidecar


class SimulatedClients:
    """The clients of one sidecar, which run on its host.

    Attributes:
        active: Whether the clients send requests; they start and stop with their sidecar.
        skipped_requests: The number of requests that were due while the clients were inactive.
    """

    def __init__(self, simulation: Simulation, sidecar: SimulatedSidecar, plan: SidecarPlan) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._sidecar = sidecar
        self._client = Client(simulation.experiment, simulation.plan.seed, plan.name)
        self._arrivals: Iterator[tuple[int, int, int]] = iter(arrivals(simulation.experiment, simulation.plan, plan))
        self._request_count = 0
        self.active = False
        self.skipped_requests = 0

    def schedule_next(self) -> None:
        """Schedule the next request of the plan, if any is left."""
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self._clock.at(arrival[0], self._start_request, *arrival)

    def call_failed(self, call: ClientCall, *, safe_to_retry: bool, retry_after_us: int) -> None:
        """Schedule a retry if the client decides to retry.

        Args:
            call: The failed call.
            safe_to_retry: Whether the answer states that the request did not run.
            retry_after_us: The answer's Retry-After delay; 0 if the answer has none.
        """
        retry_at_us = self._client.draw_retry_time_us(
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

    def client_killed(self, call: ClientCall) -> None:
        """End a call whose client was killed with its sidecar."""
        if not call.completed:
            call.completed = True
            self._simulation.record(ClientKilled(self._clock.now_us, call.call_id, self._sidecar.name))

    def _start_request(self, due_us: int, class_index: int, tenant_index: int) -> None:
        self.schedule_next()
        if not self.active:
            self.skipped_requests += 1
            return
        self._request_count += 1
        request_id = f"{self._sidecar.name}.{self._request_count}"
        self._start_call(ClientCall(request_id, request_id, class_index, tenant_index, due_us, retry_index=0))

    def _retry(self, call: ClientCall) -> None:
        if self.active:
            self._start_call(call)

    def _start_call(self, call: ClientCall) -> None:
        now_us = self._clock.now_us
        client_timeout_us = self._client.draw_timeout_us(call.class_index)
        call.client_timeout_at_us = now_us + client_timeout_us
        self._record_call(call)
        self._clock.at(call.client_timeout_at_us, self._time_out, call)
        disconnect_delay_us = self._client.draw_disconnect_delay_us(client_timeout_us)
        if disconnect_delay_us is not None:
            self._clock.at(now_us + disconnect_delay_us, self._disconnect, call)
        self._clock.at(now_us + LOCAL_DELAY_US, self._sidecar.receive, call, self._sidecar.incarnation)

    def _record_call(self, call: ClientCall) -> None:
        record = RequestSent(
            self._clock.now_us,
            call.call_id,
            call.request_id,
            self._sidecar.name,
            call.class_index,
            call.tenant_index,
            call.first_due_us,
            call.client_timeout_at_us,
        )
        self._simulation.record(record)

    def _time_out(self, call: ClientCall) -> None:
        if call.completed:
            return
        call.completed = True
        self._simulation.record(ClientTimedOut(self._clock.now_us, call.call_id, self._sidecar.name))
        self._clock.at(call.client_timeout_at_us + LATE_ANSWER_WAIT_US, self._check_answered, call)
        self.call_failed(call, safe_to_retry=False, retry_after_us=0)

    def _check_answered(self, call: ClientCall) -> None:
        """Record a call that its sidecar has not answered even after the wait for late answers."""
        if self._sidecar.find_unanswered(call) is not None:
            self._simulation.record(ResponseMissing(self._clock.now_us, call.call_id, self._sidecar.name))

    def _disconnect(self, call: ClientCall) -> None:
        if call.completed:
            return
        call.completed = True
        self._simulation.record(ClientClosedConnection(self._clock.now_us, call.call_id, self._sidecar.name))
        self._sidecar.client_disconnected(call)
