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
    ANSWER_MARGIN_US,
    Answer,
    Asker,
    Attempt,
    Call,
    Denial,
    Permit,
    Request,
    Result,
    Upstreams,
    Verdict,
    clock_us,
)
from garnetusher.sidecar.requests.trace import Trace
from garnetusher.sidecar.requests.write_gate import Gate
from garnetusher.sidecar.streaming import Head, Sink, Source

log = logging.getLogger(__name__)

BACKSTOP_US = 5_000  # the host's own deadline comes so long after the module's


class Host:
    """One `Balancer`, its clock and timers, and the requests and attempts that are live."""

    def __init__(self, settings: Settings, seed: int, upstreams: Upstreams, trace: Trace | None = None) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.upstreams = upstreams
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.requests: dict[int, Request] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.last_ident = 0
        self.ends_us = 0  # when this process gives its last answers; 0: it goes on
        self.events: deque[Event] = deque()
        self.running = False
        self.balancer = Balancer(settings, seed, clock_us())
        self.entries: dict[int, Endpoint] = {}  # of those at `addresses`
        self.trace = trace or Trace()
        self.gate = Gate(self.trace, settings)
        self.gate.addresses, self.gate.entries = self.addresses, self.entries

    # What happens

    def retune(self, settings: Settings) -> None:
        """The operator has replaced the settings."""
        before, self.settings = self.settings, settings
        self.gate.settings = settings
        self._tell(
            SettingsChanged(
                settings,
                previous_indexes(settings.classes, before.classes),
                previous_indexes(settings.tenants, before.tenants),
            )
        )

    def end_by(self, at_us: int) -> None:
        """This process ends: what has no answer by then gets one then. Hazard: a client whose time is longer than the
        process has would be left with none."""
        self.ends_us = at_us
        for request in list(self.requests.values()):
            if request.whole and not request.over and request.bound < 0 and request.due_us > at_us:
                self._set_due(request, at_us)
                for number, attempt in enumerate(request.attempts):
                    if not attempt.ended:
                        self._time(request, number)
                self._tell(DeadlineChanged(request.ident, at_us))

    def start(self) -> None:
        """Let the module ask for what it wants from the first moment on."""
        self._tell(TimerFired(0))

    def arrived(self, call: Call, asker: Asker, whole: bool = True) -> int:
        """A request has been taken; `asker` gets its one answer unless the client goes first."""
        self.last_ident += 1
        request = Request(
            self.last_ident,
            call,
            self._due_us(call),
            asker,
            whole,
            self.settings.classes[call.class_index],
            self.settings.max_attempts,
        )
        self.requests[request.ident] = request
        self.trace.note("taken", request.ident, reason=call.name)
        if whole:
            self._set_due(request, request.due_us)
        self._tell(
            RequestArrived(
                request.ident,
                request.due_us,
                call.class_index,
                call.tenant,
                call.key,
                call.cost_us,
                call.retried,
                body_complete=whole,
            )
        )
        return request.ident

    def whole(self, ident: int, arrived_us: int) -> None:
        """The last byte of a long body has come: the client's time begins."""
        request = self.requests.get(ident)
        if request is None or request.over or request.whole:
            return
        request.whole = True
        if request.bound >= 0:
            return  # hazard: its answer has begun, and no clock may cut that any more
        request.call.arrived_us = arrived_us
        self._set_due(request, self._due_us(request.call))
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended:
                attempt.sent_us = arrived_us
                self._time(request, number)
        self._tell(RequestBodyComplete(ident, request.due_us))

    def passed(self, ident: int) -> None:
        """Of a long body more has gone to an upstream than is held."""
        if ident in self.requests:
            self._tell(RequestNotReplayable(ident))

    def stalled(self, ident: int) -> None:
        """The upstream takes no more of a long body: as it has not had it whole, it has not begun with it."""
        request = self.requests.get(ident)
        if request is not None and not request.whole:
            for number in range(len(request.attempts)):
                self._give_up(request, number, Outcome.CONNECT_FAILED)

    def gone(self, ident: int) -> None:
        """The client has closed its connection."""
        request = self.requests.get(ident)
        if request is None or request.over:
            return
        self.trace.note("client gone", ident)
        if not request.whole or request.bound >= 0:  # the rest of the body, or of the answer, goes nowhere
            request.over = True
            for number in range(len(request.attempts)):
                self._give_up(request, number, Outcome.CANCELLED)
        self._finish(request)
        self._tell(ClientDisconnected(ident))

    def left(self, ident: int) -> None:
        """The client of a whole request sends nothing more: it has left, or only waits for its answer."""
        request = self.requests.get(ident)
        if request is not None and not request.over and request.bound < 0:
            self.trace.note("client sends no more", ident)
            self._tell(ClientHalfClosed(ident))
            self._keep_back(request)

    def list_changed(self, event: EndpointsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        """Discovery has spoken; `addresses` has those of the entries of the event."""
        if event.update_kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            for ident in self.addresses.keys() - addresses.keys():
                self._forget(ident)
        for entry in event.endpoints:
            if self.addresses.get(entry.id, addresses[entry.id]) != addresses[entry.id]:
                self._forget(entry.id)
            self.addresses[entry.id], self.entries[entry.id] = addresses[entry.id], entry
            if entry.status is not EndpointStatus.READY:
                self._forget(entry.id)
        self._tell(event)
        if event.update_kind is not UpdateKind.FAILED:
            self._recall()

    def _recall(self) -> None:
        """What waits for a connection to where its upstream is no more goes elsewhere. Hazard: the connection may come
        up long after we were told that the upstream drains, and the request would be written to it then; and one that
        has started anew meanwhile is cold."""
        for request in list(self.requests.values()):
            for number, attempt in enumerate(request.attempts):
                if self.gate.has_changed(attempt):
                    self._take_back(request, number)

    def zones(self, names: list[str]) -> list[dict[str, object]]:
        """What the module believes of each zone, and why."""
        return [
            {"zone": names[z.number] if z.number < len(names) else str(z.number)} | z.told(clock_us())
            for z in sorted(self.balancer.zones.zones.values(), key=lambda z: z.number)
        ]

    def order_zone(self, zone: int, leave: bool) -> str:
        """An operator's order; why it is not followed, or ""."""
        objection = self.balancer.zones.objection(zone) if leave else ""
        if not objection:
            self._tell(ZoneOverridden(zone, leave))
        return objection

    def count(self, instances: int) -> None:
        """How many share what the fleet may do, as its members count each other; 0: as the settings say."""
        self._tell(FleetSizeChanged(instances))

    @property
    def ready(self) -> bool:
        """Whether there is an upstream to send to."""
        return bool(self.addresses)

    # Events in, actions out

    def _tell(self, event: Event) -> None:
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
            actions = self.balancer.handle(clock_us(), event)
        except Exception:
            # hazard: one request that the module stumbles over must not take the others with it
            log.exception("the module failed on %s", type(event).__name__)
            request = self.requests.get(getattr(event, "request_id", 0))
            if request is not None and not request.over:
                self._answer(request.ident, Answer(Verdict.FAILED))
                self.events.append(ClientDisconnected(request.ident))
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
            self._answer(action.request_id, Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us))
        elif isinstance(action, Fail):
            self._answer(action.request_id, Answer(Verdict.FAILED))
        elif isinstance(action, SetTimer):
            self._at(action.at_us, self._tell, TimerFired(action.token))
        elif isinstance(action, CancelAttempt):
            self._cancel(action)
        elif isinstance(action, CloseIdleConnections):
            if action.endpoint_id in self.addresses:
                self.upstreams.close_idle(self.addresses[action.endpoint_id])
        elif isinstance(action, WatchEndpoints):
            self.subscribe(action.active)
        elif isinstance(action, LogMessage):
            log.info("%s", action.text)
        else:
            log.warning("not carried out here: %s", type(action).__name__)

    def _at(self, at_us: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, at_us - clock_us() + 1) / 1e6, what, *args)

    # Requests

    def _due_us(self, call: Call) -> int:
        due_us = call.arrived_us + max(1, call.deadline_us - ANSWER_MARGIN_US)
        return min(due_us, self.ends_us) if self.ends_us else due_us

    def _set_due(self, request: Request, due_us: int) -> None:
        """Hazard: whatever becomes of the module's own timers, no client is left without an answer."""
        request.due_us = due_us
        if request.timer is not None:
            request.timer.cancel()
        request.timer = self._at(due_us + BACKSTOP_US, self._overdue, request)

    def _overdue(self, request: Request) -> None:
        if not request.over and request.bound < 0:
            log.warning("a request was overdue")
            self._answer(request.ident, Answer(Verdict.FAILED))
            self._tell(ClientDisconnected(request.ident))

    def _answer(self, ident: int, answer: Answer) -> None:
        """The one place of final answers."""
        request = self.requests.get(ident)
        if request is None or request.over or request.bound >= 0:
            return
        answer = self.gate.final_answer(request, answer, clock_us())
        self._finish(request)
        self._respond(request.asker.answer, answer)

    def _respond(self, respond: Callable[..., None], *what: object) -> None:
        """Hazard: an error on the client's side must not keep the module from hearing how the attempt ended: its slot
        would be lost for good."""
        try:
            respond(*what)
        except Exception:
            log.exception("an answer could not be written")

    def _finish(self, request: Request) -> None:
        """Nothing is owed any more, and what has not been written yet is not sent."""
        request.over = True
        if request.timer is not None:
            request.timer.cancel()
        self._keep_back(request)
        self._drop_if_done(request)

    def _keep_back(self, request: Request) -> None:
        """What still waits for a connection is not sent."""
        for number in range(len(request.attempts)):
            self._take_back(request, number)

    def _take_back(self, request: Request, number: int) -> None:
        """Not to be sent any more, if it still waits for a connection."""
        flight = request.attempts[number].flight
        if flight is not None and not flight.written:
            flight.give_up()
            self._end_attempt(request, number, Result(Outcome.NOT_WRITTEN))

    def _drop_if_done(self, request: Request) -> None:
        if request.over and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.ident, None)

    # Attempts

    def _send(self, action: Forward) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return  # over, and the module has been told
        now_us = clock_us()
        number = len(request.attempts)
        attempt = Attempt(
            action.endpoint_id,
            now_us,
            self.addresses.get(action.endpoint_id),
            timeout_us=action.timeout_us,
            start_by_us=action.latest_start_us,
            entry=self.entries.get(action.endpoint_id),
        )
        request.attempts.append(attempt)
        if not self.gate.may_choose(request, number, now_us) or attempt.address is None or action.timeout_us < 0:
            self._end_attempt(request, number, Result(Outcome.NOT_WRITTEN))
            return
        if request.whole:
            self._time(request, number)
        attempt.flight = self.upstreams.start(
            attempt.address,
            request.call,
            lambda: self._permission(request, number),
            lambda result: self._end_attempt(request, number, result),
            lambda head, source: self._began(request, number, head, source),
        )
        if action.latest_start_us:
            self._at(action.latest_start_us, self._take_back, request, number)

    def _permission(self, request: Request, number: int) -> Permit | Denial:
        """Whether an attempt may be written now."""
        now_us = clock_us()
        found = self.gate.may_write(request, number, now_us)
        if isinstance(found, Permit):
            request.attempts[number].written_us = now_us
        elif found is Denial.CLIENT_LEFT:
            self.loop.call_soon(self.left, request.ident)
        return found

    def _time(self, request: Request, number: int) -> None:
        """Start the clock of an attempt."""
        attempt = request.attempts[number]
        if attempt.timer is not None:
            attempt.timer.cancel()
        due_us = min(request.due_us, attempt.sent_us + attempt.timeout_us) if attempt.timeout_us else request.due_us
        attempt.timer = self._at(due_us, self._timed_out, request, number)

    def _began(self, request: Request, number: int, head: Head, source: Source) -> Sink | None:
        """A long answer's first bytes are there: the client is bound to this attempt, and no clock runs."""
        attempt = request.attempts[number]
        if attempt.ended or request.over or request.bound >= 0:
            return None
        request.bound = number
        for timer in (attempt.timer, request.timer):
            if timer is not None:
                timer.cancel()
        request.asker.begin(head, source)
        self._tell(ResponseStarted(request.ident, number, attempt.upstream, clock_us() - attempt.sent_us))
        return request.asker

    def _timed_out(self, request: Request, number: int) -> None:
        self._give_up(request, number, Outcome.TIMEOUT)

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and action.attempt_index < len(request.attempts):
            self._give_up(request, action.attempt_index, Outcome.CANCELLED)

    def _give_up(self, request: Request, number: int, outcome: Outcome) -> None:
        attempt = request.attempts[number]
        if attempt.ended or attempt.flight is None:
            return
        if not attempt.flight.written:
            outcome = Outcome.CONNECT_FAILED  # no connection in time: it never ran
        attempt.flight.give_up()
        self._end_attempt(request, number, Result(outcome))

    def _end_attempt(self, request: Request, number: int, result: Result) -> None:
        """The one place where attempts end."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        attempt.outcome = result.outcome
        attempt.flight = None
        self.trace.note("ended", request.ident, number, attempt.upstream, result.outcome.value)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if number == request.bound:
            if not request.over:
                self._finish(request)
                self._respond(request.asker.finish, result.outcome is Outcome.OK)
        elif result.outcome is Outcome.OK:
            self._answer(request.ident, Answer(Verdict.SERVED, result.body, result.content_type))
        elapsed_us = clock_us() - attempt.sent_us
        self._drop_if_done(request)
        self._tell(AttemptEnded(request.ident, number, attempt.upstream, result.outcome, elapsed_us, request.over))

    def _forget(self, ident: int) -> None:
        address = self.addresses.pop(ident, None)
        self.entries.pop(ident, None)
        if address is not None:
            self.upstreams.close_idle(address)
