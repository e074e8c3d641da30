"""HTTP/1.1 servers for simulated upstreams.

`garnetusher.model.upstream` simulates the machine; this module handles the sockets, the requests and the faults.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

import httptools

from garnetusher.lab import link_sockets
from garnetusher.lab.run_clock import RunClock
from garnetusher.model import draw
from garnetusher.model.experiment import Experiment, RequestClass
from garnetusher.model.link import LinkConditions
from garnetusher.model.plan import Step, UpstreamPlan
from garnetusher.model.records import Attempt, AttemptUndelivered, UpstreamAttemptEnded, UpstreamChanged
from garnetusher.model.upstream import Action, JobFinished, JobRejected, MachineCrashed, Upstream

NOT_RUN_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
HEALTHY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
SUCCESS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
REQUEST_ID_HEADER = b"x-request-id"
HEALTH_CHECK_PATHS = (b"/alive", b"/metrics/load")
IDLE_CHECK_INTERVAL_S = 0.5  # the time between checks for connections that exceed the idle timeout

# The values of `UpstreamAttemptEnded.how`. A reset is a fault of a single attempt; attempts are dropped when their
# upstream ends.
AttemptEnd = Literal["served", "error", "turned_away", "cancelled", "reset", "dropped"]


@dataclass(slots=True)
class _AttemptInProgress:
    number: int
    request_id: str
    connection: SidecarConnection


class SidecarConnection:
    """A sidecar's connection to an upstream; it carries one request at a time.

    Attributes:
        server: The upstream.
        sidecar: The name of the sidecar.
        link_connection: The connection behind the simulated link.
        parser: The parser of the requests.
        request_started_us: The time at which the first byte of the last request arrived.
        last_response_us: The time of the last response; the time of the accept before the first one.
        unused: Whether no attempt has arrived on the connection yet.
        reading: Whether a request has arrived in part.
        attempt: The attempt in progress.
        within_limit: Whether the connection did not exceed the upstream's connection limit when it was accepted.
    """

    def __init__(self, server: UpstreamServer, sidecar: str, link_connection: link_sockets.Connection) -> None:
        self.server = server
        self.sidecar = sidecar
        self.link_connection = link_connection
        self.parser = httptools.HttpRequestParser(self)
        self.request_started_us = self.last_response_us = server.clock.now_us()
        self.unused = True
        self.reading = False
        self.attempt: _AttemptInProgress | None = None
        self._target = b""
        self._request_id = ""
        server.connections.add(self)
        self.within_limit = len(server.connections) <= server.max_connections

    # Callbacks of the link

    def data_arrived(self, data: bytes) -> None:
        """Parse bytes that the link has delivered."""
        if not self.reading:
            self.reading = True
            self.request_started_us = self.server.clock.now_us()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.link_connection.abort()
            self.server.connection_closed(self)

    def closed_by_sidecar(self) -> None:
        """Cancel the attempt in progress on this connection."""
        self.server.connection_closed(self)

    def data_undelivered(self, data: bytes) -> None:
        """Record the requests that the sidecar sent while the link was cut."""
        for line in data.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == REQUEST_ID_HEADER:
                self.server.record_undelivered(self, value.strip().decode("latin-1"))

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the request ID."""
        if name.lower() == REQUEST_ID_HEADER:
            self._request_id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Pass a complete request to the server."""
        self.reading = False
        target, self._target = self._target, b""
        request_id, self._request_id = self._request_id, ""
        self.server.request_received(self, target, request_id)


class UpstreamServer:
    """One upstream: the simulated machine, a listener for each sidecar, and the sidecars' connections."""

    def __init__(self, clock: RunClock, experiment: Experiment, seed: int, plan: UpstreamPlan) -> None:
        self.clock = clock
        self.plan = plan
        self.connections: set[SidecarConnection] = set()
        self.listeners: dict[str, link_sockets.Listener] = {}
        self._settings = experiment.upstreams
        self.max_connections = self._settings.connections_per_core * self._settings.cores
        self._seed = seed
        self._random = random.Random(f"{seed} {plan.uid}")
        self._machine = Upstream(self._settings, plan.speed)
        self._attempts: dict[int, _AttemptInProgress] = {}
        self._last_attempt_number = 0
        self._error_share = self._settings.error_share
        self._reset_share = 0.0
        self._errors_on_arrival = False  # whether a fault makes requests fail on arrival, before any work
        self._classes = {c.name.encode(): c for c in experiment.classes}
        self._timer: asyncio.TimerHandle | None = None
        self._fault_handlers: dict[str, Callable[[int, Step], None]] = {
            "die": self._die,
            "vanish": self._vanish,
            "boot": self._boot,
            "hang": self._hang_or_resume,
            "resume": self._hang_or_resume,
            "slow": self._slow_down,
            "errors": self._set_error_share,
            "reset": self._set_reset_share,
            "refuse": self._refuse,
            "accept": self._accept,
        }

    def open_listener(self, sidecar: str, host: str, normal_conditions: LinkConditions) -> None:
        """Open the listener for one sidecar."""
        seed = int(draw.uniform(self._seed, "link", self.plan.uid, sidecar) * 2**32)
        listener = link_sockets.Listener(
            self.clock,
            host,
            lambda link_connection: SidecarConnection(self, sidecar, link_connection),
            seed,
            normal_conditions,
        )
        self.listeners[sidecar] = listener
        listener.open()
        if self.plan.from_us > 0:
            listener.refuse()  # the upstream starts later, but the endpoint list needs its port now

    def begin(self) -> None:
        """Schedule the steps of the plan and the checks for idle connections.

        The machine of an upstream that starts later is down until then.
        """
        for step in self.plan.steps:
            self.clock.at(step.at_us, self.apply_fault, step)
        if self.plan.from_us > 0:
            self._machine.terminate(0)
        self._close_idle_connections()

    def close(self) -> None:
        """Close all sockets."""
        for listener in self.listeners.values():
            listener.close()

    # Faults

    def apply_fault(self, step: Step) -> None:
        """Apply a step of the plan, and record it."""
        now_us = self.clock.now_us()
        handler = self._fault_handlers.get(step.what)
        if handler is not None:
            handler(now_us, step)
        self.clock.write(UpstreamChanged(now_us, self.plan.uid, step.what))

    def _die(self, now_us: int, step: Step) -> None:
        self._drop_all_attempts(now_us)
        self._refuse_connections()

    def _vanish(self, now_us: int, step: Step) -> None:
        """Terminate the machine without closing a connection for any sidecar.

        The plan cuts the links before this step, so the links hold the resets back.
        """
        self._drop_all_attempts(now_us)
        self._abort_connections()

    def _boot(self, now_us: int, step: Step) -> None:
        self._machine.boot(now_us)
        self._accept_connections()

    def _hang_or_resume(self, now_us: int, step: Step) -> None:
        self._handle_actions(self._machine.set_hung(now_us, step.what == "hang"))

    def _slow_down(self, now_us: int, step: Step) -> None:
        self._handle_actions(self._machine.slow_down(now_us, step.value))

    def _set_error_share(self, now_us: int, step: Step) -> None:
        self._errors_on_arrival = step.value > 0
        self._error_share = step.value or self._settings.error_share  # a value of 0 ends the fault

    def _set_reset_share(self, now_us: int, step: Step) -> None:
        self._reset_share = step.value

    def _refuse(self, now_us: int, step: Step) -> None:
        self._refuse_connections()

    def _accept(self, now_us: int, step: Step) -> None:
        self._accept_connections()

    def _drop_all_attempts(self, now_us: int) -> None:
        for attempt_number in self._machine.terminate(now_us):
            self._end_attempt(attempt_number, "dropped")

    def _accept_connections(self) -> None:
        for listener in self.listeners.values():
            listener.open()

    def _refuse_connections(self) -> None:
        for listener in self.listeners.values():
            listener.refuse()
            listener.abort_all()
        self._remove_connections()

    def _abort_connections(self) -> None:
        for listener in self.listeners.values():
            listener.abort_all()
        self._remove_connections()

    def _remove_connections(self) -> None:
        for connection in list(self.connections):
            self.connection_closed(connection)

    # Requests

    def request_received(self, connection: SidecarConnection, target: bytes, request_id: str) -> None:
        """Answer a health check, or record an attempt and start its work."""
        now_us = self.clock.now_us()
        if target in HEALTH_CHECK_PATHS:
            connection.link_connection.write(HEALTHY_RESPONSE)
            return
        request_class = self._classes.get(target.split(b"?")[0].lstrip(b"/").split(b"/")[0])
        if request_class is None or not request_id:
            connection.link_connection.write(NOT_FOUND_RESPONSE)
            return
        work_us = self._work_us(request_class, request_id, on_new_connection=connection.unused)
        handshake_us = self._handshake_us(connection)
        attempt = self._record_attempt(now_us, connection, request_id, work_us)
        if self._fail_on_arrival(attempt):
            return
        if handshake_us and not self._machine.hung:
            self.clock.at(now_us + handshake_us, self._start_work, attempt, work_us)
        else:
            self._start_work(attempt, work_us)

    def _work_us(self, request_class: RequestClass, request_id: str, *, on_new_connection: bool) -> int:
        # Each retry by the client needs the same work as the first call of the request. The ID of a first call is
        # `sidecar.number`, and that of a retry is `sidecar.number.retry`.
        first_call_id = ".".join(request_id.split(".")[:2])
        work_us = draw.work_us(self._seed, first_call_id, request_class.work_ms, request_class.work_cv)
        if on_new_connection:
            work_us += int(self._settings.handshake_ms * 1000)
        return work_us

    def _handshake_us(self, connection: SidecarConnection) -> int:
        """Return the network delay of the handshake before the first request of a connection; 0 for later requests."""
        one_way_trips = 2 * self._settings.handshake_trips if connection.unused else 0.0
        return int(one_way_trips * connection.link_connection.listener.to_node.delay_us)

    def _record_attempt(
        self, now_us: int, connection: SidecarConnection, request_id: str, work_us: int
    ) -> _AttemptInProgress:
        self._last_attempt_number += 1
        attempt = _AttemptInProgress(self._last_attempt_number, request_id, connection)
        self.clock.write(
            Attempt(
                now_us,
                attempt.number,
                request_id,
                self.plan.uid,
                connection.sidecar,
                connection.request_started_us,
                work_us,
                connection.unused,
            )
        )
        connection.unused = False
        connection.attempt = attempt
        self._attempts[attempt.number] = attempt
        return attempt

    def _fail_on_arrival(self, attempt: _AttemptInProgress) -> bool:
        """Reject, fail or reset an attempt if the connection limit or a fault requires it.

        Return whether the attempt has ended.
        """
        if not attempt.connection.within_limit:
            self._respond(attempt, NOT_RUN_RESPONSE, "turned_away")
            return True
        if self._machine.hung:
            return False
        if self._errors_on_arrival and self._random.random() < self._error_share:
            self._respond(attempt, ERROR_RESPONSE, "error")
            return True
        if self._reset_share and self._random.random() < self._reset_share:
            self._end_attempt(attempt.number, "reset")
            attempt.connection.link_connection.abort()
            return True
        return False

    def _start_work(self, attempt: _AttemptInProgress, work_us: int) -> None:
        if attempt.number in self._attempts:
            self._handle_actions(self._machine.arrive(self.clock.now_us(), attempt.number, work_us))

    def record_undelivered(self, connection: SidecarConnection, request_id: str) -> None:
        """Record a request that the sidecar sent while the link was cut."""
        self.clock.write(AttemptUndelivered(self.clock.now_us(), request_id, self.plan.uid, connection.sidecar))

    def connection_closed(self, connection: SidecarConnection) -> None:
        """Cancel the attempt in progress on a connection."""
        self.connections.discard(connection)
        if connection.attempt is None:
            return
        self._handle_actions(self._machine.cancel(self.clock.now_us(), connection.attempt.number))
        if connection.attempt is not None:  # the actions of the machine may have ended the attempt
            self._end_attempt(connection.attempt.number, "cancelled")

    # The simulated machine

    def _handle_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, JobFinished):
                self._finish(action)
            elif isinstance(action, JobRejected):
                if action.job_id in self._attempts:
                    self._respond(self._attempts[action.job_id], NOT_RUN_RESPONSE, "turned_away")
            elif isinstance(action, MachineCrashed):
                self._crash(action)
        self._set_timer()

    def _finish(self, action: JobFinished) -> None:
        attempt = self._attempts.get(action.job_id)
        if attempt is None:
            return
        if self._error_share and self._random.random() < self._error_share:
            self._respond(attempt, ERROR_RESPONSE, "error")
        else:
            body = f"{self.plan.uid} {attempt.request_id}\n".encode()
            self._respond(attempt, SUCCESS_HEAD % len(body) + body, "served")

    def _crash(self, action: MachineCrashed) -> None:
        self.clock.write(UpstreamChanged(self.clock.now_us(), self.plan.uid, "fell_over"))
        for attempt_number in action.lost_jobs:
            self._end_attempt(attempt_number, "dropped")
        self._refuse_connections()

    def _respond(self, attempt: _AttemptInProgress, response: bytes, end: AttemptEnd) -> None:
        attempt.connection.last_response_us = self.clock.now_us()
        self._end_attempt(attempt.number, end)
        attempt.connection.link_connection.write(response)

    def _end_attempt(self, attempt_number: int, end: AttemptEnd) -> None:
        attempt = self._attempts.pop(attempt_number, None)
        if attempt is None:
            return
        attempt.connection.attempt = None
        sidecar = attempt.connection.sidecar
        self.clock.write(
            UpstreamAttemptEnded(self.clock.now_us(), attempt_number, attempt.request_id, self.plan.uid, sidecar, end)
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at_us = self._machine.next_wakeup_us()
        if at_us is not None:
            self._timer = self.clock.at(at_us, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._handle_actions(self._machine.wakeup(self.clock.now_us()))

    def _close_idle_connections(self) -> None:
        idle_since_us = self.clock.now_us() - int(self._settings.idle_s * 1e6)
        for connection in list(self.connections):
            busy = connection.attempt is not None or connection.reading
            if not busy and connection.last_response_us < idle_since_us and not self._machine.hung:
                connection.link_connection.close()
                self.connections.discard(connection)
        self.clock.loop.call_later(IDLE_CHECK_INTERVAL_S, self._close_idle_connections)
