"""A simulated sidecar: its process, its policy, and the answers to its clients.

This module and `sidecar_attempts` do the work of the real sidecar's dispatcher
(garnetusher/sidecar/requests/dispatcher.py): each attempt has one outcome, and each request has one answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from garnetusher.model import baselines, draw, zone_states
from garnetusher.model.client_node import LOCAL_DELAY_US, SimulatedClients
from garnetusher.model.digest_text import digest_text
from garnetusher.model.discovery_client import DiscoveryClient
from garnetusher.model.plan import SidecarPlan, Step
from garnetusher.model.records import ProcessChanged, ResponseReceived
from garnetusher.model.request_state import ClientCall, PendingRequest
from garnetusher.model.sidecar_attempts import SidecarAttempts
from garnetusher.model.sidecar_settings import POLICY_EPOCH_US, sidecar_settings
from garnetusher.policy.actions import (
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
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)

if TYPE_CHECKING:
    from garnetusher.model.simulation import Simulation

ANSWER_MARGIN_US = 10_000  # the request deadline is earlier than the client timeout by this margin
START_UP_US = 300_000  # the time from the start of a process until it is ready
NO_INCARNATION = 0  # the incarnation while no process runs
STATUS_OK, STATUS_FAILED, STATUS_SHED = 200, 500, 503


@dataclass(slots=True)
class _DeferredCall:
    """A callback that became due while a signal stopped the process."""

    callback: Callable[..., object]
    arguments: tuple[object, ...]


class SimulatedSidecar:
    """One sidecar: its clients and its current process.

    Attributes:
        up: Whether a process exists; this includes a process that a signal has stopped.
        incarnation: The number of the current process; events scheduled by an earlier process are ignored.
        pending: The requests that lack a final answer or have attempts in flight, by request id.
        fleet_size: The last fleet size that the policy received; 0 if it has received none.
    """

    def __init__(self, simulation: Simulation, plan: SidecarPlan) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._starts = 0
        self._last_request_id = 0
        self._deferred: list[_DeferredCall] | None = None  # a list while a signal stops the process, else None
        self._action_handlers: dict[type[Any], Callable[[Any], None]] = {
            Forward: self._forward,
            Shed: self._answer_shed,
            Fail: self._answer_failed,
            LogMessage: self._record_zone_state,
            SetTimer: self._set_timer,
            CancelAttempt: self._cancel_attempt,
            WatchEndpoints: self._watch_endpoints,
            CloseIdleConnections: self._close_idle_connections,
        }
        self._fault_handlers: dict[str, Callable[[], None]] = {
            "kill": self._kill,
            "start": self._spawn,
            "restart": self._restart,
            "stop": self._pause,
            "cont": self._resume,
        }
        self.name = plan.name
        self.settings = sidecar_settings(simulation.experiment, simulation.plan, plan)
        self.up = False
        self.incarnation = NO_INCARNATION
        self.fleet_size = 0
        self.pending: dict[int, PendingRequest] = {}
        self.clients = SimulatedClients(simulation, self, plan)
        self.attempts = SidecarAttempts(simulation, self)
        self.discovery = DiscoveryClient(simulation, self, polls=self.settings.poll_endpoints)
        self._start()
        self.clients.schedule_next()
        for step in plan.steps:
            self._clock.at(step.at_us, self.apply_fault, step)

    # The process

    def apply_fault(self, step: Step) -> None:
        """Apply a step of the plan to the process."""
        self._fault_handlers[step.what]()

    def runs_or_defers(self, callback: Callable[..., object], *arguments: object) -> bool:
        """Return whether the process runs now; if a signal has stopped it, defer the callback until it resumes."""
        if self._deferred is not None:
            self._deferred.append(_DeferredCall(callback, arguments))
            return False
        return self.up

    def _start(self) -> None:
        self._starts += 1
        self.up = self.clients.active = True
        self.incarnation = self._starts
        self.fleet_size = 0
        self.pending = {}
        self._last_request_id = 0
        self.attempts.reset()
        self.discovery.reset()
        self.balancer = self._new_balancer()
        self.dispatch(EndpointsUpdated(UpdateKind.CACHED, self.discovery.endpoints()))
        self.dispatch(TimerFired(0))
        if not self.settings.poll_endpoints:
            self.discovery.call()
        if self._simulation.membership is not None:
            self._simulation.membership.start(self.name)

    def _new_balancer(self) -> baselines.Policy:
        seed = int(draw.uniform(self._simulation.plan.seed, "sidecar", self.name, self._starts) * 2**63)
        policy_name = self._simulation.experiment.sidecars.policy
        return baselines.create_policy(policy_name, self.settings, seed, self._policy_now_us())

    def _end(self) -> None:
        """End the process and close its connections to the upstreams."""
        self.up = self.clients.active = False
        self.incarnation = NO_INCARNATION
        if self._simulation.membership is not None:
            self._simulation.membership.kill(self.name)
        for request in list(self.pending.values()):
            if not request.completed:
                self.clients.client_killed(request.call)
            self.attempts.close_all(request)
        self.pending.clear()

    def _kill(self) -> None:
        self._record_process("killed")
        self._end()

    def _spawn(self) -> None:
        self._record_process("spawned")
        self._clock.at(self._clock.now_us + START_UP_US, self._start)

    def _restart(self) -> None:
        """Start again after a graceful shutdown, in which clients send no requests and pending ones are answered."""
        self._record_process("term")
        self.clients.active = False
        end_us = self._clock.now_us + self._simulation.longest_deadline_us
        self._clock.at(end_us, self._end)
        self._clock.at(end_us + START_UP_US, self._start)

    def _pause(self) -> None:
        self._record_process("stopped")
        self._deferred = []
        if self._simulation.membership is not None:
            self._simulation.membership.pause(self.name)

    def _resume(self) -> None:
        self._record_process("continued")
        deferred, self._deferred = self._deferred or [], None
        if self._simulation.membership is not None:
            self._simulation.membership.resume(self.name)
        for call in deferred:
            call.callback(*call.arguments)

    def _record_process(self, change: str) -> None:
        self._simulation.record(ProcessChanged(self._clock.now_us, self.name, change))

    # Requests

    def receive(self, call: ClientCall, incarnation: int) -> None:
        """Accept a client's request; a request sent to an earlier process is ignored."""
        if not self.runs_or_defers(self.receive, call, incarnation) or incarnation != self.incarnation:
            return
        self._last_request_id += 1
        request = PendingRequest(self._last_request_id, call, call.client_timeout_at_us - ANSWER_MARGIN_US)
        self.pending[request.request_id] = request
        self.dispatch(
            RequestArrived(
                request.request_id,
                POLICY_EPOCH_US + request.deadline_us,
                call.class_index,
                call.tenant_index,
                client_retry=call.retry_index > 0 and self._simulation.experiment.clients.marks,
            )
        )

    def find_unanswered(self, call: ClientCall) -> PendingRequest | None:
        """Return the request of a call if it has no final answer yet, else None."""
        return next((r for r in self.pending.values() if r.call is call and not r.completed), None)

    def client_disconnected(self, call: ClientCall) -> None:
        """Complete a request without an answer, because its client has closed the connection."""
        request = self.find_unanswered(call)
        if request is not None:
            self._complete(request)
            self.dispatch(ClientDisconnected(request.request_id))

    def answer_served(self, request_id: int, uid: str) -> None:
        """Answer a request with an upstream's response, unless the request already has an answer."""
        self._answer(request_id, STATUS_OK, uid=uid)

    def forget_if_removable(self, request: PendingRequest) -> None:
        """Forget a request that has its final answer and no attempts in flight."""
        if request.removable:
            self.pending.pop(request.request_id, None)

    def _answer(self, request_id: int, status: int, uid: str = "", retry_after_us: int = 0) -> None:
        """Send the final answer of a request, unless it already has one."""
        request = self.pending.get(request_id)
        if request is None or request.completed:
            return
        self._complete(request)
        call = request.call
        answered_at_us = self._clock.now_us + LOCAL_DELAY_US
        self._simulation.record(ResponseReceived(answered_at_us, call.call_id, self.name, status, uid, retry_after_us))
        if call.completed:
            return
        call.completed = True
        if status != STATUS_OK:
            self.clients.call_failed(call, safe_to_retry=status == STATUS_SHED, retry_after_us=retry_after_us)

    def _complete(self, request: PendingRequest) -> None:
        request.completed = True
        self.attempts.withdraw_unwritten(request)
        self.forget_if_removable(request)

    # The policy

    def dispatch(self, event: Event) -> None:
        """Pass an event to the policy and execute the returned actions."""
        simulation = self._simulation
        began_ns = simulation.cpu_ns()
        actions = self.balancer.handle(self._policy_now_us(), event)
        simulation.decision_cpu_ns += simulation.cpu_ns() - began_ns
        for action in actions:
            self._clock.add_to_digest(f"{self.name} {digest_text(action)}")
            handler = self._action_handlers.get(type(action))
            if handler is not None:
                handler(action)

    def _policy_now_us(self) -> int:
        return POLICY_EPOCH_US + self._clock.now_us

    def _forward(self, action: Forward) -> None:
        request = self.pending.get(action.request_id)
        if request is not None:
            self.attempts.forward(request, action)

    def _answer_shed(self, action: Shed) -> None:
        self._answer(action.request_id, STATUS_SHED, retry_after_us=action.retry_after_us)

    def _answer_failed(self, action: Fail) -> None:
        self._answer(action.request_id, STATUS_FAILED)

    def _record_zone_state(self, action: LogMessage) -> None:
        zones = self._simulation.experiment.topology.zones
        zone_state = zone_states.parse_zone_state(self._clock.now_us, self.name, action.text, zones)
        if zone_state is not None:
            self._simulation.record(zone_state)

    def _set_timer(self, action: SetTimer) -> None:
        self._clock.at(action.at_us - POLICY_EPOCH_US + 1, self._fire_timer, action.token, self.incarnation)

    def _fire_timer(self, token: int, incarnation: int) -> None:
        if self.runs_or_defers(self._fire_timer, token, incarnation) and incarnation == self.incarnation:
            self.dispatch(TimerFired(token))

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self.pending.get(action.request_id)
        if request is not None:
            self.attempts.abandon(request, action.attempt_index, Outcome.CANCELLED, self.incarnation)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        self.discovery.call()

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        uid = self.discovery.uid_of(action.endpoint_id)
        if uid is not None:
            self.attempts.close_idle(uid)
