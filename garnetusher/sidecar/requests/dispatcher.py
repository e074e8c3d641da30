"""Sends events to the policy, and executes the actions that the policy returns.

The dispatcher makes no decisions of its own. The module `attempts` starts and ends attempts; the module `responses`
sends responses.
"""

from __future__ import annotations

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
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.closing_schedule import Admission
from garnetusher.sidecar.memory_budget import MemoryBudget
from garnetusher.sidecar.requests.attempts import AttemptController
from garnetusher.sidecar.requests.deadlines import Deadlines
from garnetusher.sidecar.requests.endpoints import Address, ReadyEndpoints
from garnetusher.sidecar.requests.messages import (
    AttemptResult,
    Disposition,
    FinalResponse,
    HttpRequest,
    OverrideRejection,
    PendingRequest,
    ResponseSink,
    ResponseState,
    UpstreamTransport,
)
from garnetusher.sidecar.requests.request_ids import Claim, RequestIds, SharedIds, request_key
from garnetusher.sidecar.requests.request_table import RequestTable
from garnetusher.sidecar.requests.responses import ResponseSender
from garnetusher.sidecar.requests.trace import NO_ENDPOINT, EventName, Trace
from garnetusher.sidecar.requests.write_gate import WriteGate
from garnetusher.sidecar.streaming import Head, Sink, Source
from garnetusher.sidecar.transitions import LateRequest, UpstreamCloseReason

log = logging.getLogger(__name__)


class RequestDispatcher:
    """Passes events to one `Balancer`, executes its actions, and holds the requests in progress.

    Attributes:
        settings: the current settings.
        balancer: the policy.
        trace: the most recent events, and the counters.
        write_gate: checks the protocol rules.
        watch_endpoints: a callback that starts (`True`) or stops (`False`) the watch of the endpoint list.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        transport: UpstreamTransport,
        trace: Trace | None = None,
        memory: MemoryBudget | None = None,
        shared_ids: SharedIds | None = None,
    ) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed, monotonic_us())
        self.trace = trace or Trace()
        self.watch_endpoints: Callable[[bool], None] = lambda _active: None
        self._transport = transport
        memory = memory if memory is not None else MemoryBudget()
        self._requests = RequestTable(memory, self._on_request_removed)
        self._request_ids = RequestIds(memory, monotonic_us(), shared_ids)
        self._request_ids.apply_window(settings.longest_deduplication_window_us)
        self._last_request_id = 0
        self._shutdown_retry_after_us = 0
        self._events: deque[Event] = deque()
        self._dispatching = False
        self._endpoints = ReadyEndpoints()
        self.write_gate = WriteGate(self.trace, settings, self._endpoints)
        self._deadlines = Deadlines(self._on_request_unanswered, self._on_attempt_timeout)
        self._attempts = AttemptController(transport, self.write_gate, self._endpoints, self._deadlines, self)
        self._responses = ResponseSender(self._requests, self._attempts, self._deadlines, self.write_gate)

    # Start, settings and shutdown

    def start(self) -> None:
        """Let the policy request its first actions, such as watching the endpoint list."""
        # No timer was set: any event makes the policy return its pending actions
        self._dispatch_event(TimerFired(0))

    @property
    def ready(self) -> bool:
        """Whether at least one endpoint is ready."""
        return self._endpoints.any_ready

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings."""
        previous, self.settings = self.settings, settings
        self.write_gate.settings = settings
        self._request_ids.apply_window(settings.longest_deduplication_window_us)
        self._dispatch_event(
            SettingsChanged(
                settings,
                previous_indexes(settings.classes, previous.classes),
                previous_indexes(settings.tenants, previous.tenants),
            )
        )

    def finish_by(self, at_us: int, retry_after_us: int) -> None:
        """Respond to every request by the time at which this process ends, even if the client would wait longer.

        Args:
            at_us: the time by which all requests have their responses.
            retry_after_us: the delay after which the clients of requests that came too late may retry.
        """
        self._shutdown_retry_after_us = retry_after_us
        self._deadlines.process_deadline_us = at_us
        for request in self._requests.snapshot():
            if request.body_complete and request.is_response_awaited and request.deadline_us > at_us:
                self._deadlines.set_request_deadline(request, at_us)
                self._deadlines.restart_attempt_timers(request)
                self._dispatch_event(DeadlineChanged(request.request_id, at_us))

    def set_fleet_size(self, instances: int) -> None:
        """Set the number of sidecars in the fleet according to membership; 0 = use the number in the settings."""
        self._dispatch_event(FleetSizeChanged(instances))

    # Downstream

    def on_request(self, http_request: HttpRequest, response_sink: ResponseSink, *, body_complete: bool = True) -> int:
        """Dispatch a request that has been read.

        Args:
            http_request: the request.
            response_sink: receives the single final response, unless the client disconnects first.
            body_complete: whether the body has been read to the end; if not, a call of `on_body_complete` follows.

        Returns:
            The dispatcher's number for the request.
        """
        self._last_request_id += 1
        self.trace.record_event(EventName.RECEIVED, self._last_request_id, reason=http_request.client_request_id)
        refusal = self._late_refusal(http_request) or self._claim_id(http_request)
        if refusal is None:
            self._accept(http_request, response_sink, body_complete=body_complete)
        else:
            self._refuse(refusal, response_sink)
        return self._last_request_id

    def _late_refusal(self, http_request: HttpRequest) -> FinalResponse | None:
        """Return the refusal of a request that came too late after SIGTERM to be forwarded."""
        if http_request.admission is not Admission.REFUSAL:
            return None
        self.trace.record_late_request(self._last_request_id, LateRequest.NOT_REPEATABLE)
        return self._shutdown_refusal()

    def _shutdown_refusal(self) -> FinalResponse:
        retry_after_us = min(self._shutdown_retry_after_us, self._max_retry_after_us)
        return FinalResponse(Disposition.SHED, retry_after_us=retry_after_us)

    def _claim_id(self, http_request: HttpRequest) -> FinalResponse | None:
        """Claim the id of a request that may not run twice; return the response to one that may not be forwarded."""
        request_class = self.settings.classes[http_request.class_index]
        if request_class.is_repeatable_anywhere:
            return None
        claim = self._request_ids.claim(request_key(request_class.name, http_request.client_request_id), monotonic_us())
        if claim is Claim.REPEATED:
            return FinalResponse(Disposition.REPEATED)
        return FinalResponse(Disposition.SHED, retry_after_us=self._max_retry_after_us) if claim is Claim.FULL else None

    @property
    def _max_retry_after_us(self) -> int:
        return self.settings.max_retry_after_us if self.settings.send_retry_after else 0

    def _refuse(self, response: FinalResponse, response_sink: ResponseSink) -> None:
        """Answer a request that the policy never sees."""
        self.trace.record_event(EventName.ANSWERED, self._last_request_id, reason=response.disposition.value)
        self.trace.count(f"answered: {response.disposition.value}")
        response_sink.send_response(response)

    def _on_request_removed(self, request: PendingRequest) -> None:
        """Forget the id of a request that never ran; its client may send it again."""
        if not request.request_class.is_repeatable_anywhere and not request.may_have_run:
            self._request_ids.forget(request_key(request.request_class.name, request.http_request.client_request_id))

    def _accept(self, http_request: HttpRequest, response_sink: ResponseSink, *, body_complete: bool) -> None:
        """Enter a request in the table, and tell the policy of it."""
        request = PendingRequest(
            self._last_request_id,
            http_request,
            self._deadlines.request_deadline_us(http_request),
            response_sink,
            body_complete,
            self.settings.classes[http_request.class_index],
            self.settings.max_attempts,
        )
        self._requests.add(request)
        if request.body_complete:
            self._deadlines.set_request_deadline(request, request.deadline_us)
        self._dispatch_event(
            RequestArrived(
                request.request_id,
                request.deadline_us,
                http_request.class_index,
                http_request.tenant_index,
                http_request.affinity_key,
                http_request.expected_work_us,
                http_request.client_retry,
                body_complete=request.body_complete,
            )
        )

    def on_body_complete(self, request_id: int, arrived_us: int) -> None:
        """Handle the end of a long body: the client timeout starts, unless a response is already being streamed."""
        request = self._requests.get(request_id)
        if request is None or request.completed or request.body_complete:
            return
        request.body_complete = True
        if request.is_streaming:
            return
        request.http_request.arrived_us = arrived_us
        self._deadlines.set_request_deadline(request, self._deadlines.request_deadline_us(request.http_request))
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.started_us = max(attempt.started_us, arrived_us)
        self._deadlines.restart_attempt_timers(request)
        self._dispatch_event(RequestBodyComplete(request_id, request.deadline_us))

    def on_not_replayable(self, request_id: int) -> None:
        """Handle a long body that can't be sent again because more of it has been forwarded than the buffer holds."""
        if request_id in self._requests:
            self._dispatch_event(RequestNotReplayable(request_id))

    def on_body_stalled(self, request_id: int) -> None:
        """Handle an upstream that has stopped reading a long body.

        An upstream does not start to execute a request before it has the complete body, so the attempts never ran.
        """
        request = self._requests.get(request_id)
        if request is None or request.body_complete or request.is_streaming:
            return
        if not self._attempts.begin_any_response(request):
            self._attempts.abandon_all(request, Outcome.CONNECT_FAILED)

    def begin_any_response(self, request_id: int) -> bool:
        """Stream a response whose head has arrived, instead of giving its request another final response.

        Returns:
            Whether a response to the request is streamed now.
        """
        request = self._requests.get(request_id)
        return request is not None and self._attempts.begin_any_response(request)

    def on_client_disconnected(self, request_id: int) -> None:
        """Handle a client that has closed its connection."""
        request = self._requests.get(request_id)
        if request is None or request.completed:
            return
        self.trace.record_event(EventName.CLIENT_DISCONNECTED, request_id)
        if not request.body_complete or request.is_streaming:
            # The rest of the request body will not arrive, or the rest of the response can't be sent.
            request.response_state = ResponseState.COMPLETED
            self._attempts.abandon_all(request, Outcome.CANCELLED)
        self._responses.mark_completed(request)
        self._dispatch_event(ClientDisconnected(request_id))

    def on_client_half_closed(self, request_id: int) -> None:
        """Handle a client that has closed its sending side; it may have disconnected or still wait for its response."""
        request = self._requests.get(request_id)
        if request is not None and request.is_response_awaited:
            self.trace.record_event(EventName.CLIENT_HALF_CLOSED, request_id)
            self._dispatch_event(ClientHalfClosed(request_id))
            self._attempts.withdraw_unwritten(request)

    # Discovery

    def on_endpoints_updated(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        """Handle an update of the endpoint list.

        Args:
            event: the update.
            addresses: the addresses on which the endpoints of the update listen, by endpoint id.
        """
        for address in self._endpoints.update(event, addresses):
            self._transport.close_idle_connections(address, UpstreamCloseReason.ENDPOINT_REMOVED)
        self._dispatch_event(event)
        if event.update_kind is not UpdateKind.FAILED:
            for request in self._requests.snapshot():
                self._attempts.withdraw_stale(request)

    def endpoint_id_at(self, address: Address) -> int:
        """Return the id of the ready endpoint on an address, or `NO_ENDPOINT`; trace events name it."""
        endpoint_id = self._endpoints.id_at(address)
        return NO_ENDPOINT if endpoint_id is None else endpoint_id

    # Zone reports and overrides for operators

    def zone_reports(self, names: list[str]) -> list[dict[str, object]]:
        """Return the state of each zone in the policy, with the keys that the admin API uses."""
        now_us = monotonic_us()
        zones = sorted(self.balancer.zones.zones.values(), key=lambda zone: zone.number)
        return [
            {"zone": names[zone.number] if zone.number < len(names) else str(zone.number)} | zone.report(now_us)
            for zone in zones
        ]

    def override_zone(self, zone: int, *, evacuate: bool) -> OverrideRejection | None:
        """Evacuate or restore a zone at an operator's request; return a rejection if the zone can't be evacuated."""
        rejection_reason = self.balancer.zones.evacuation_rejection(zone) if evacuate else ""
        if rejection_reason:
            return OverrideRejection(rejection_reason)
        self._dispatch_event(ZoneOverridden(zone, evacuate))
        return None

    # Attempts

    def on_response_started(
        self, request: PendingRequest, attempt_index: int, head: Head, source: Source
    ) -> Sink | None:
        """Handle the first bytes of a streamed response; return the sink for it, or None if nobody needs it."""
        attempt = request.attempts[attempt_index]
        if attempt.ended or not request.is_response_awaited:
            return None
        if request.http_request.admission is not Admission.ANY_RESPONSE:
            self._refuse_long_response(request)
            return None
        self._responses.begin_streaming(request, attempt_index, head, source)
        elapsed_us = monotonic_us() - attempt.started_us
        self._dispatch_event(ResponseStarted(request.request_id, attempt_index, attempt.endpoint_id, elapsed_us))
        return request.response_sink

    def _refuse_long_response(self, request: PendingRequest) -> None:
        """Refuse a request whose response would be streamed when SIGKILL comes."""
        self.trace.record_late_request(request.request_id, LateRequest.LONG_RESPONSE)
        may_shed = self.write_gate.may_shed(request)
        self._responses.respond(request, self._shutdown_refusal() if may_shed else FinalResponse(Disposition.FAILED))
        # The client is still connected; this event also tells the policy that it needs to give no final answer
        self._dispatch_event(ClientDisconnected(request.request_id))

    def on_attempt_ended(self, request: PendingRequest, attempt_index: int, result: AttemptResult) -> None:
        """Handle the end of an attempt: send the response if it succeeded, and notify the policy."""
        succeeded = result.outcome is Outcome.OK
        if attempt_index == request.streaming_attempt_index:
            self._responses.finish_streaming(request, complete=succeeded)
        elif succeeded:
            self._responses.respond(request, FinalResponse(Disposition.SERVED, result.body, result.content_type))
        attempt = request.attempts[attempt_index]
        elapsed_us = monotonic_us() - attempt.started_us
        self._requests.remove_if_done(request)
        self._dispatch_event(
            AttemptEnded(
                request.request_id, attempt_index, attempt.endpoint_id, result.outcome, elapsed_us, request.completed
            )
        )

    def _on_attempt_timeout(self, request: PendingRequest, attempt_index: int) -> None:
        self._attempts.time_out(request, attempt_index)

    def _on_request_unanswered(self, request: PendingRequest) -> None:
        if request.is_response_awaited:
            log.warning("the policy sent no response before the deadline; failing the request")
            self._responses.respond(request, FinalResponse(Disposition.FAILED))
            # The client may still be connected; this event also tells the policy that it needs to give no final answer
            self._dispatch_event(ClientDisconnected(request.request_id))

    # Events and actions

    def _dispatch_event(self, event: Event) -> None:
        """Send an event to the policy and execute its actions; events that the actions cause are handled afterwards."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._dispatching = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self.balancer.handle(monotonic_us(), event)
        except Exception:
            log.exception("the policy raised an error on the event %s", type(event).__name__)
            self._fail_affected_request(event)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("executing the action %s failed", type(action).__name__)

    def _fail_affected_request(self, event: Event) -> None:
        """Fail only the request of an event on which the policy raised an error; other requests continue."""
        request = self._requests.get(getattr(event, "request_id", 0))
        if request is not None and not request.completed:
            self._responses.respond(request, FinalResponse(Disposition.FAILED))
            # The client may still be connected; this event also tells the policy that it needs to give no final answer
            self._events.append(ClientDisconnected(request.request_id))

    def _execute(self, action: Action) -> None:
        if isinstance(action, Forward):
            self._forward(action)
        elif isinstance(action, Shed):
            response = FinalResponse(Disposition.SHED, retry_after_us=action.retry_after_us)
            self._complete(action.request_id, response)
        elif isinstance(action, Fail):
            self._complete(action.request_id, FinalResponse(Disposition.FAILED))
        elif isinstance(action, SetTimer):
            self._deadlines.call_at(action.at_us, self._dispatch_event, TimerFired(action.token))
        elif isinstance(action, CancelAttempt):
            self._cancel(action)
        elif isinstance(action, CloseIdleConnections):
            self._close_idle_connections(action)
        elif isinstance(action, WatchEndpoints):
            self.watch_endpoints(action.active)
        elif isinstance(action, LogMessage):
            log.info("%s", action.text)
        else:
            log.warning("the dispatcher does not support the action %s", type(action).__name__)

    def _forward(self, action: Forward) -> None:
        request = self._requests.get(action.request_id)
        if request is not None:  # None = the request has ended, but the policy has not yet received that event
            self._attempts.start(request, action)

    def _complete(self, request_id: int, response: FinalResponse) -> None:
        request = self._requests.get(request_id)
        if request is not None:
            self._responses.respond(request, response)

    def _cancel(self, action: CancelAttempt) -> None:
        request = self._requests.get(action.request_id)
        if request is not None and action.attempt_index < len(request.attempts):
            self._attempts.abandon(request, action.attempt_index, Outcome.CANCELLED)

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        ready = self._endpoints.get(action.endpoint_id)
        if ready is not None:
            self._transport.close_idle_connections(ready.address, UpstreamCloseReason.ENDPOINT_UNUSED)
