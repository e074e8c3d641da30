"""Hosts the one decision module: what happens becomes its events, and its actions are carried out.

Nothing is decided here. Each request gets its final answer in `Host._answer` and each attempt its
outcome in `Host._end_attempt`, the only places for either, exactly once.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

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
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    DeadlineChanged,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    FleetSizeChanged,
    Outcome,
    RequestArrived,
    RequestBodyComplete,
    RequestNotReplayable,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    UpdateKind,
    ZoneOverridden,
)
from garnetusher.policy.settings import Settings, previous_indexes
from garnetusher.sidecar.requests.messages import (
    RESPONSE_MARGIN_US,
    Attempt,
    AttemptResult,
    Denial,
    Disposition,
    FinalResponse,
    HttpRequest,
    PendingRequest,
    ResponseSink,
    UpstreamTransport,
    WritePermit,
    monotonic_us,
)
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.requests.write_gate import WriteGate
from garnetusher.sidecar.streaming import Head, Sink, Source

log = logging.getLogger(__name__)

BACKSTOP_US = 5_000  # the host's own deadline comes so long after the module's


class RequestDispatcher:
    """One `Balancer`, its clock and timers, and the requests and attempts that are live."""

    def __init__(self, settings: Settings, seed: int, upstreams: UpstreamTransport, trace: Trace | None = None) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.upstreams = upstreams
        self.watch_endpoints: Callable[[bool], None] = lambda active: None
        self.requests: dict[int, PendingRequest] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.last_request_id = 0
        self.process_deadline_us = 0  # when this process gives its last answers; 0: it goes on
        self.events: deque[Event] = deque()
        self.running = False
        self.balancer = Balancer(settings, seed, monotonic_us())
        self.endpoints: dict[int, Endpoint] = {}  # of those at `addresses`
        self.trace = trace or Trace()
        self.write_gate = WriteGate(self.trace, settings)
        self.write_gate.addresses, self.write_gate.endpoints = self.addresses, self.endpoints

    # What happens

    def apply_settings(self, settings: Settings) -> None:
        """The operator has replaced the settings."""
        before, self.settings = self.settings, settings
        self.write_gate.settings = settings
        self._dispatch_event(
            SettingsChanged(
                settings,
                previous_indexes(settings.classes, before.classes),
                previous_indexes(settings.tenants, before.tenants),
            )
        )

    def finish_by(self, at_us: int) -> None:
        """This process ends: what has no answer by then gets one then. Hazard: a client whose time is longer than the
        process has would be left with none."""
        self.process_deadline_us = at_us
        for request in list(self.requests.values()):
            if (
                request.body_complete
                and not request.completed
                and request.streaming_attempt_index < 0
                and request.deadline_us > at_us
            ):
                self._set_deadline(request, at_us)
                for number, attempt in enumerate(request.attempts):
                    if not attempt.ended:
                        self._start_attempt_timer(request, number)
                self._dispatch_event(DeadlineChanged(request.request_id, at_us))

    def start(self) -> None:
        """Let the module ask for what it wants from the first moment on."""
        self._dispatch_event(TimerFired(0))

    def on_request(self, call: HttpRequest, asker: ResponseSink, whole: bool = True) -> int:
        """A request has been taken; `asker` gets its one answer unless the client goes first."""
        self.last_request_id += 1
        request = PendingRequest(
            self.last_request_id,
            call,
            self._deadline_us(call),
            asker,
            whole,
            self.settings.classes[call.class_index],
            self.settings.max_attempts,
        )
        self.requests[request.request_id] = request
        self.trace.note("taken", request.request_id, reason=call.client_request_id)
        if whole:
            self._set_deadline(request, request.deadline_us)
        self._dispatch_event(
            RequestArrived(
                request.request_id,
                request.deadline_us,
                call.class_index,
                call.tenant_index,
                call.affinity_key,
                call.expected_work_us,
                call.client_retry,
                body_complete=whole,
            )
        )
        return request.request_id

    def on_body_complete(self, ident: int, arrived_us: int) -> None:
        """The last byte of a long body has come: the client's time begins."""
        request = self.requests.get(ident)
        if request is None or request.completed or request.body_complete:
            return
        request.body_complete = True
        if request.streaming_attempt_index >= 0:
            return  # hazard: its answer has begun, and no clock may cut that any more
        request.http_request.arrived_us = arrived_us
        self._set_deadline(request, self._deadline_us(request.http_request))
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended:
                attempt.started_us = arrived_us
                self._start_attempt_timer(request, number)
        self._dispatch_event(RequestBodyComplete(ident, request.deadline_us))

    def on_not_replayable(self, ident: int) -> None:
        """Of a long body more has gone to an upstream than is held."""
        if ident in self.requests:
            self._dispatch_event(RequestNotReplayable(ident))

    def on_body_stalled(self, ident: int) -> None:
        """The upstream takes no more of a long body: as it has not had it whole, it has not begun with it."""
        request = self.requests.get(ident)
        if request is not None and not request.body_complete:
            for number in range(len(request.attempts)):
                self._abandon_attempt(request, number, Outcome.CONNECT_FAILED)

    def on_client_disconnected(self, ident: int) -> None:
        """The client has closed its connection."""
        request = self.requests.get(ident)
        if request is None or request.completed:
            return
        self.trace.note("client gone", ident)
        if (
            not request.body_complete or request.streaming_attempt_index >= 0
        ):  # the rest of the body, or of the answer, goes nowhere
            request.completed = True
            for number in range(len(request.attempts)):
                self._abandon_attempt(request, number, Outcome.CANCELLED)
        self._finish(request)
        self._dispatch_event(ClientDisconnected(ident))

    def on_client_half_closed(self, ident: int) -> None:
        """The client of a whole request sends nothing more: it has left, or only waits for its answer."""
        request = self.requests.get(ident)
        if request is not None and not request.completed and request.streaming_attempt_index < 0:
            self.trace.note("client sends no more", ident)
            self._dispatch_event(ClientHalfClosed(ident))
            self._withdraw_unwritten(request)

    def on_endpoints_updated(self, event: EndpointsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        """Discovery has spoken; `addresses` has those of the entries of the event."""
        if event.update_kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            for ident in self.addresses.keys() - addresses.keys():
                self._forget_endpoint(ident)
        for entry in event.endpoints:
            if self.addresses.get(entry.id, addresses[entry.id]) != addresses[entry.id]:
                self._forget_endpoint(entry.id)
            self.addresses[entry.id], self.endpoints[entry.id] = addresses[entry.id], entry
            if entry.status is not EndpointStatus.READY:
                self._forget_endpoint(entry.id)
        self._dispatch_event(event)
        if event.update_kind is not UpdateKind.FAILED:
            self._withdraw_stale_attempts()

    def _withdraw_stale_attempts(self) -> None:
        """What waits for a connection to where its upstream is no more goes elsewhere. Hazard: the connection may come
        up long after we were told that the upstream drains, and the request would be written to it then; and one that
        has started anew meanwhile is cold."""
        for request in list(self.requests.values()):
            for number, attempt in enumerate(request.attempts):
                if self.write_gate.endpoint_has_changed(attempt):
                    self._withdraw_attempt(request, number)

    def zone_reports(self, names: list[str]) -> list[dict[str, object]]:
        """What the module believes of each zone, and why."""
        return [
            {"zone": names[z.number] if z.number < len(names) else str(z.number)} | z.report(monotonic_us())
            for z in sorted(self.balancer.zones.zones.values(), key=lambda z: z.number)
        ]

    def override_zone(self, zone: int, leave: bool) -> str:
        """An operator's order; why it is not followed, or ""."""
        objection = self.balancer.zones.objection(zone) if leave else ""
        if not objection:
            self._dispatch_event(ZoneOverridden(zone, leave))
        return objection

    def set_fleet_size(self, instances: int) -> None:
        """How many share what the fleet may do, as its members count each other; 0: as the settings say."""
        self._dispatch_event(FleetSizeChanged(instances))

    @property
    def ready(self) -> bool:
        """Whether there is an upstream to send to."""
        return bool(self.addresses)

    # Events in, actions out

    def _dispatch_event(self, event: Event) -> None:
        """Hand over an event and carry out the actions; what they bring about at once waits its turn."""
        self.events.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.running = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self.balancer.handle(monotonic_us(), event)
        except Exception:
            # hazard: one request that the module stumbles over must not take the others with it
            log.exception("the module failed on %s", type(event).__name__)
            request = self.requests.get(getattr(event, "request_id", 0))
            if request is not None and not request.completed:
                self._complete_request(request.request_id, FinalResponse(Disposition.FAILED))
                self.events.append(ClientDisconnected(request.request_id))
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Forward):
            self._send(action)
        elif isinstance(action, Shed):
            self._complete_request(
                action.request_id, FinalResponse(Disposition.SHED, retry_after_us=action.retry_after_us)
            )
        elif isinstance(action, Fail):
            self._complete_request(action.request_id, FinalResponse(Disposition.FAILED))
        elif isinstance(action, SetTimer):
            self._call_at(action.at_us, self._dispatch_event, TimerFired(action.token))
        elif isinstance(action, CancelAttempt):
            self._cancel(action)
        elif isinstance(action, CloseIdleConnections):
            if action.endpoint_id in self.addresses:
                self.upstreams.close_idle_connections(self.addresses[action.endpoint_id])
        elif isinstance(action, WatchEndpoints):
            self.watch_endpoints(action.active)
        elif isinstance(action, LogMessage):
            log.info("%s", action.text)
        else:
            log.warning("not carried out here: %s", type(action).__name__)

    def _call_at(self, at_us: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, at_us - monotonic_us() + 1) / 1e6, what, *args)

    # Requests

    def _deadline_us(self, call: HttpRequest) -> int:
        due_us = call.arrived_us + max(1, call.client_timeout_us - RESPONSE_MARGIN_US)
        return min(due_us, self.process_deadline_us) if self.process_deadline_us else due_us

    def _set_deadline(self, request: PendingRequest, due_us: int) -> None:
        """Hazard: whatever becomes of the module's own timers, no client is left without an answer."""
        request.deadline_us = due_us
        if request.timer is not None:
            request.timer.cancel()
        request.timer = self._call_at(due_us + BACKSTOP_US, self._on_deadline_missed, request)

    def _on_deadline_missed(self, request: PendingRequest) -> None:
        if not request.completed and request.streaming_attempt_index < 0:
            log.warning("a request was overdue")
            self._complete_request(request.request_id, FinalResponse(Disposition.FAILED))
            self._dispatch_event(ClientDisconnected(request.request_id))

    def _complete_request(self, ident: int, answer: FinalResponse) -> None:
        """The one place of final answers."""
        request = self.requests.get(ident)
        if request is None or request.completed or request.streaming_attempt_index >= 0:
            return
        answer = self.write_gate.final_answer(request, answer, monotonic_us())
        self._finish(request)
        self._respond(request.response_sink.send_response, answer)

    def _respond(self, respond: Callable[..., None], *what: object) -> None:
        """Hazard: an error on the client's side must not keep the module from hearing how the attempt ended: its slot
        would be lost for good."""
        try:
            respond(*what)
        except Exception:
            log.exception("an answer could not be written")

    def _finish(self, request: PendingRequest) -> None:
        """Nothing is owed any more, and what has not been written yet is not sent."""
        request.completed = True
        if request.timer is not None:
            request.timer.cancel()
        self._withdraw_unwritten(request)
        self._drop_if_done(request)

    def _withdraw_unwritten(self, request: PendingRequest) -> None:
        """What still waits for a connection is not sent."""
        for number in range(len(request.attempts)):
            self._withdraw_attempt(request, number)

    def _withdraw_attempt(self, request: PendingRequest, number: int) -> None:
        """Not to be sent any more, if it still waits for a connection."""
        flight = request.attempts[number].handle
        if flight is not None and not flight.written:
            flight.abandon()
            self._end_attempt(request, number, AttemptResult(Outcome.NOT_WRITTEN))

    def _drop_if_done(self, request: PendingRequest) -> None:
        if request.completed and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.request_id, None)

    # Attempts

    def _send(self, action: Forward) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return  # over, and the module has been told
        now_us = monotonic_us()
        number = len(request.attempts)
        attempt = Attempt(
            action.endpoint_id,
            now_us,
            self.addresses.get(action.endpoint_id),
            timeout_us=action.timeout_us,
            latest_start_us=action.latest_start_us,
            endpoint=self.endpoints.get(action.endpoint_id),
        )
        request.attempts.append(attempt)
        if not self.write_gate.may_start(request, number, now_us) or attempt.address is None or action.timeout_us < 0:
            self._end_attempt(request, number, AttemptResult(Outcome.NOT_WRITTEN))
            return
        if request.body_complete:
            self._start_attempt_timer(request, number)
        attempt.handle = self.upstreams.start_attempt(
            attempt.address,
            request.http_request,
            lambda: self._permission(request, number),
            lambda result: self._end_attempt(request, number, result),
            lambda head, source: self._on_response_started(request, number, head, source),
        )
        if action.latest_start_us:
            self._call_at(action.latest_start_us, self._withdraw_attempt, request, number)

    def _permission(self, request: PendingRequest, number: int) -> WritePermit | Denial:
        """Whether an attempt may be written now."""
        now_us = monotonic_us()
        found = self.write_gate.may_write(request, number, now_us)
        if isinstance(found, WritePermit):
            request.attempts[number].written_us = now_us
        elif found is Denial.CLIENT_LEFT:
            self.loop.call_soon(self.on_client_half_closed, request.request_id)
        return found

    def _start_attempt_timer(self, request: PendingRequest, number: int) -> None:
        """Start the clock of an attempt."""
        attempt = request.attempts[number]
        if attempt.timer is not None:
            attempt.timer.cancel()
        due_us = (
            min(request.deadline_us, attempt.started_us + attempt.timeout_us)
            if attempt.timeout_us
            else request.deadline_us
        )
        attempt.timer = self._call_at(due_us, self._timed_out, request, number)

    def _on_response_started(self, request: PendingRequest, number: int, head: Head, source: Source) -> Sink | None:
        """A long answer's first bytes are there: the client is bound to this attempt, and no clock runs."""
        attempt = request.attempts[number]
        if attempt.ended or request.completed or request.streaming_attempt_index >= 0:
            return None
        request.streaming_attempt_index = number
        for timer in (attempt.timer, request.timer):
            if timer is not None:
                timer.cancel()
        request.response_sink.begin_response(head, source)
        self._dispatch_event(
            ResponseStarted(request.request_id, number, attempt.endpoint_id, monotonic_us() - attempt.started_us)
        )
        return request.response_sink

    def _timed_out(self, request: PendingRequest, number: int) -> None:
        self._abandon_attempt(request, number, Outcome.TIMEOUT)

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and action.attempt_index < len(request.attempts):
            self._abandon_attempt(request, action.attempt_index, Outcome.CANCELLED)

    def _abandon_attempt(self, request: PendingRequest, number: int, outcome: Outcome) -> None:
        attempt = request.attempts[number]
        if attempt.ended or attempt.handle is None:
            return
        if not attempt.handle.written:
            outcome = Outcome.CONNECT_FAILED  # no connection in time: it never ran
        attempt.handle.abandon()
        self._end_attempt(request, number, AttemptResult(outcome))

    def _end_attempt(self, request: PendingRequest, number: int, result: AttemptResult) -> None:
        """The one place where attempts end."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        attempt.outcome = result.outcome
        attempt.handle = None
        self.trace.note("ended", request.request_id, number, attempt.endpoint_id, result.outcome.value)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if number == request.streaming_attempt_index:
            if not request.completed:
                self._finish(request)
                self._respond(request.response_sink.finish_response, result.outcome is Outcome.OK)
        elif result.outcome is Outcome.OK:
            self._complete_request(
                request.request_id, FinalResponse(Disposition.SERVED, result.body, result.content_type)
            )
        elapsed_us = monotonic_us() - attempt.started_us
        self._drop_if_done(request)
        self._dispatch_event(
            AttemptEnded(request.request_id, number, attempt.endpoint_id, result.outcome, elapsed_us, request.completed)
        )

    def _forget_endpoint(self, ident: int) -> None:
        address = self.addresses.pop(ident, None)
        self.endpoints.pop(ident, None)
        if address is not None:
            self.upstreams.close_idle_connections(address)
