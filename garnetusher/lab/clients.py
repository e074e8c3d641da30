"""The client applications of the sidecars: open-loop arrivals, calls, retries, timeouts and early disconnects.

An application starts and stops with its sidecar, as on the platform that runs sidecars; requests that are due while
the application is down are not sent. Arrivals do not wait for earlier responses. The latency of a request counts from
the time at which the request was due, so it includes every delay, including delays of the lab itself.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass
from typing import Any

import httptools

from garnetusher.errors import GarnetusherError
from garnetusher.lab.run_clock import RunClock
from garnetusher.model.client import LATE_ANSWER_WAIT_US, Client
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, SidecarPlan, Step, arrivals
from garnetusher.model.records import (
    ClientClosedConnection,
    ClientConnectFailed,
    ClientKilled,
    ClientTimedOut,
    IdleCloseRace,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    SidecarClosedConnection,
    UnexpectedBytes,
)

RESTART_STOP_DELAY_US = 300_000  # the time from SIGTERM until the application stops sending requests
# A reused connection that closes this soon after a request may have been closed before the request arrived.
IDLE_CLOSE_RACE_US = 50_000
READY_POLL_INTERVAL_S = 0.05  # the time between readiness checks of a starting sidecar
READY_TIMEOUT_S = 0.5  # the time limit of one readiness check
READY_REQUEST = b"GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n"
REJECTED_STATUSES = (429, 503)  # a response with one of these statuses means that the request has not run


class NoTransportError(GarnetusherError):
    """A connection has no stream transport, for example because it is not established yet."""

    def __init__(self) -> None:
        super().__init__("connection: expected an established stream transport, got none")


@dataclass(slots=True, eq=False)
class _ClientCall:
    """One call of a request; each retry by the client is another call.

    Attributes:
        call_id: The ID of the call; the first call has the ID of its request.
        request_id: The ID of the request.
        class_index: The index of the request class in the experiment.
        tenant_index: The index of the tenant in the experiment.
        due_us: The time at which the first call of the request was due.
        retry_index: The number of earlier calls of the request; 0 for the first call.
        timeout_at_us: The time at which the client stops waiting for a response.
        completed: Whether the client has stopped waiting for a response.
        resent: Whether the call was sent again because its reused connection closed right after the call was sent.
    """

    call_id: str
    request_id: str
    class_index: int
    tenant_index: int
    due_us: int
    retry_index: int
    timeout_at_us: int = 0
    completed: bool = False
    resent: bool = False


class ClientConnection(asyncio.Protocol):
    """A connection from the application to its sidecar; it carries one call at a time.

    Attributes:
        application: The application.
        transport: The transport, once the connection is established.
        call: The call that has no response yet.
        last_call_id: The ID of the last call, which may be complete; empty before the first call.
        calls_sent: The number of calls that were sent on the connection.
        sent_us: The time of the last call.
        body: The body of the response, as far as it has arrived.
        retry_after_us: The Retry-After of the response; 0 without this header.
        close_after_response: Whether the response ends the use of the connection.
    """

    def __init__(self, application: Application) -> None:
        self.application = application
        self.transport: asyncio.Transport | None = None
        self.call: _ClientCall | None = None
        self.last_call_id = ""
        self.calls_sent = 0
        self.sent_us = 0
        self.body = b""
        self.retry_after_us = 0
        self.close_after_response = False
        self._parser: httptools.HttpResponseParser | None = None

    @property
    def usable(self) -> bool:
        """Whether a call can be sent on the connection."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, call: _ClientCall, request: bytes) -> None:
        """Send a call."""
        if self.transport is None:
            raise NoTransportError
        self.call = call
        self.last_call_id = call.call_id
        self.calls_sent += 1
        self.sent_us = self.application.clock.now_us()
        self._parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.retry_after_us = 0
        self.close_after_response = False
        self.transport.write(request)

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        if not isinstance(transport, asyncio.Transport):
            raise NoTransportError
        self.transport = transport
        self.application.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse a response."""
        if self.call is None or self._parser is None:
            self.application.unexpected_data(self)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the connection."""
        self.application.connection_lost(self)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Report a second response to a call as unexpected data."""
        if self.call is None and self.last_call_id:
            self.application.unexpected_data(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of Retry-After."""
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                self.retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Report a final response."""
        if self.call is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        if status < 200:  # an informational response precedes the final one
            return
        call, self.call = self.call, None
        if not self._parser.should_keep_alive():
            self.close_after_response = True
        self.application.response_received(self, call, status)


class Application:
    """The client process of one sidecar.

    Attributes:
        connections: All open connections.
        not_asked: The number of requests that were not sent because the application was down with its sidecar.
    """

    def __init__(
        self, clock: RunClock, experiment: Experiment, plan: Plan, sidecar: SidecarPlan, address: tuple[str, int]
    ) -> None:
        self.clock = clock
        self.connections: set[ClientConnection] = set()
        self.not_asked = 0
        self._experiment = experiment
        self._sidecar = sidecar
        self._address = address
        self._client = Client(experiment, plan.seed, sidecar.name)
        self._arrivals: Iterator[tuple[int, int, int]] = iter(arrivals(experiment, plan, sidecar))
        self._idle: list[ClientConnection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_request = 0
        self._running = True
        self._end_us = round(plan.seconds * 1e6)

    def begin(self) -> None:
        """Schedule the first arrival, and the process faults, which the application shares with its sidecar."""
        self._schedule_arrival()
        for step in self._sidecar.steps:
            self.clock.at(step.at_us, self._apply_fault, step)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.call = None
            connection.abort()

    # Arrivals and calls

    def _schedule_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self.clock.at(arrival[0], self._arrive, *arrival)

    def _arrive(self, due_us: int, class_index: int, tenant_index: int) -> None:
        self._schedule_arrival()
        if not self._running:
            self.not_asked += 1
            return
        self._last_request += 1
        request_id = f"{self._sidecar.name}.{self._last_request}"
        self._start_call(_ClientCall(request_id, request_id, class_index, tenant_index, due_us, retry_index=0))

    def _start_call(self, call: _ClientCall) -> None:
        timeout_us = self._client.draw_timeout_us(call.class_index)
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                self._send(connection, call, timeout_us)
                return
        self._start_task(self._connect_and_send(call, timeout_us))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.clock.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, call: _ClientCall, timeout_us: int) -> None:
        try:
            async with asyncio.timeout(timeout_us / 1e6):
                _, connection = await self.clock.loop.create_connection(lambda: ClientConnection(self), *self._address)
        except OSError:  # also a TimeoutError
            self.clock.write(
                ClientConnectFailed(
                    self.clock.now_us(),
                    call.call_id,
                    call.request_id,
                    self._sidecar.name,
                    call.class_index,
                    call.tenant_index,
                    call.due_us,
                )
            )
            self._schedule_retry(call, not_run=True)
            return
        self._send(connection, call, timeout_us)

    def _send(self, connection: ClientConnection, call: _ClientCall, timeout_us: int) -> None:
        now_us = self.clock.now_us()
        call.timeout_at_us = now_us + timeout_us
        connection.send(call, self._encode_request(call, timeout_us))
        self.clock.write(
            RequestSent(
                now_us,
                call.call_id,
                call.request_id,
                self._sidecar.name,
                call.class_index,
                call.tenant_index,
                call.due_us,
                call.timeout_at_us,
            )
        )
        self.clock.at(call.timeout_at_us, self._time_out, connection, call)
        disconnect_after_us = self._client.draw_disconnect_delay_us(timeout_us)
        if disconnect_after_us is not None:
            self.clock.at(now_us + disconnect_after_us, self._disconnect_early, connection, call)

    def _encode_request(self, call: _ClientCall, timeout_us: int) -> bytes:
        request_class = self._experiment.classes[call.class_index]
        idempotent = request_class.effect == "idempotent"
        lines = [
            f"{'GET' if idempotent else 'POST'} /{request_class.name}/it HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {call.call_id}",
            f"X-Class: {request_class.name}",
        ]
        if self._experiment.tenants:
            lines.append(f"X-Tenant: {self._experiment.tenants[call.tenant_index].name}")
        lines.append(f"X-Deadline-Ms: {max(1, timeout_us // 1000)}")
        if call.retry_index and self._experiment.clients.marks:
            lines.append("X-Retry: 1")
        if not idempotent:
            lines.append("Content-Length: 2")
        body = "" if idempotent else "{}"
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    # Ends of calls

    def response_received(self, connection: ClientConnection, call: _ClientCall, status: int) -> None:
        """Record a response, and schedule a retry unless the response is a success."""
        # The body of a successful response is the uid of the upstream and the ID of the call.
        body_words = connection.body.decode("latin-1").split()
        answers_call = status == 200 and len(body_words) == 2 and body_words[1] == call.call_id
        upstream = body_words[0] if answers_call else ""
        self.clock.write(
            ResponseReceived(
                self.clock.now_us(), call.call_id, self._sidecar.name, status, upstream, connection.retry_after_us
            )
        )
        if not connection.close_after_response:
            self._idle.append(connection)
        elif connection.transport is not None:
            connection.transport.close()
        if call.completed:
            return
        call.completed = True
        if status != 200:
            self._schedule_retry(call, not_run=status in REJECTED_STATUSES, retry_after_us=connection.retry_after_us)

    def connection_lost(self, connection: ClientConnection) -> None:
        """Fail the call in progress on a closed connection, or resend it if the connection may have closed while idle.

        A call is resent at most once.
        """
        self.connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        call, connection.call = connection.call, None
        if call is None:
            return
        now_us = self.clock.now_us()
        may_have_closed_idle = connection.calls_sent > 1 and now_us - connection.sent_us < IDLE_CLOSE_RACE_US
        if may_have_closed_idle and not call.resent and not call.completed:
            call.resent = True
            self.clock.write(IdleCloseRace(now_us, call.call_id, self._sidecar.name))
            self._start_task(self._connect_and_send(call, call.timeout_at_us - now_us))
            return
        self.clock.write(SidecarClosedConnection(now_us, call.call_id, self._sidecar.name))
        if not call.completed:
            call.completed = True
            self._schedule_retry(call, not_run=False)

    def unexpected_data(self, connection: ClientConnection) -> None:
        """Record bytes that belong to no call, and reset the connection."""
        self.clock.write(UnexpectedBytes(self.clock.now_us(), connection.last_call_id, self._sidecar.name))
        connection.abort()

    def _time_out(self, connection: ClientConnection, call: _ClientCall) -> None:
        if call.completed or connection.call is not call:
            return
        call.completed = True
        self.clock.write(ClientTimedOut(self.clock.now_us(), call.call_id, self._sidecar.name))
        self.clock.at(call.timeout_at_us + LATE_ANSWER_WAIT_US, self._report_missing_response, connection, call)
        self._schedule_retry(call, not_run=False)

    def _report_missing_response(self, connection: ClientConnection, call: _ClientCall) -> None:
        """Record that no response has arrived even `LATE_ANSWER_WAIT_US` after the timeout."""
        if connection.call is call:
            connection.call = None
            self.clock.write(ResponseMissing(self.clock.now_us(), call.call_id, self._sidecar.name))
            connection.abort()

    def _disconnect_early(self, connection: ClientConnection, call: _ClientCall) -> None:
        if not call.completed and connection.call is call:
            call.completed = True
            connection.call = None
            self.clock.write(ClientClosedConnection(self.clock.now_us(), call.call_id, self._sidecar.name))
            connection.abort()

    def _schedule_retry(self, call: _ClientCall, *, not_run: bool, retry_after_us: int = 0) -> None:
        retry_at_us = self._client.draw_retry_time_us(
            self.clock.now_us(), call.class_index, call.retry_index, call.due_us, not_run, retry_after_us
        )
        if retry_at_us is not None:
            self.clock.at(retry_at_us, self._retry, call)

    def _retry(self, call: _ClientCall) -> None:
        if not self._running:
            return
        retry_index = call.retry_index + 1
        call_id = f"{call.request_id}.{retry_index}"
        self._start_call(
            _ClientCall(call_id, call.request_id, call.class_index, call.tenant_index, call.due_us, retry_index)
        )

    # Process faults

    def _apply_fault(self, step: Step) -> None:
        now_us = self.clock.now_us()
        if step.what == "kill":
            self._kill(now_us)
        elif step.what == "start":
            self._start_task(self._resume_when_ready())
        elif step.what == "restart":
            self.clock.at(now_us + RESTART_STOP_DELAY_US, self._stop_and_resume)

    def _kill(self, now_us: int) -> None:
        self._running = False
        for connection in list(self.connections):
            call, connection.call = connection.call, None
            if call is not None:
                call.completed = True
                self.clock.write(ClientKilled(now_us, call.call_id, self._sidecar.name))
            connection.abort()

    def _stop_and_resume(self) -> None:
        self._running = False
        self._start_task(self._resume_when_ready())

    async def _resume_when_ready(self) -> None:
        await asyncio.sleep(2 * READY_POLL_INTERVAL_S)
        while self.clock.now_us() < self._end_us:
            if await is_ready(self._address):
                self._running = True
                return
            await asyncio.sleep(READY_POLL_INTERVAL_S)


async def is_ready(address: tuple[str, int], timeout_s: float = READY_TIMEOUT_S) -> bool:
    """Return whether a sidecar passes its readiness check."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(READY_REQUEST)
            return (await reader.readline()).split(b" ")[1:2] == [b"200"]
    except OSError:  # also a TimeoutError
        return False
    finally:
        if writer is not None:
            writer.close()
