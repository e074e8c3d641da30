"""Runs the sidecar with one injected defect, which the checker of the lab or the oracle of the soak must detect.

The command is `python -m tests.faulty.defective_sidecar NAME`, where NAME is a key of `DEFECTS`.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Any

from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.events import EndpointStatus
from garnetusher.policy.selection import EndpointSelector
from garnetusher.policy.state import RequestState
from garnetusher.sidecar import __main__ as program
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.discovery import messages as discovery_messages
from garnetusher.sidecar.downstream.connection import DownstreamConnection
from garnetusher.sidecar.requests.messages import Disposition, FinalResponse, PendingRequest
from garnetusher.sidecar.requests.responses import ResponseSender
from garnetusher.sidecar.requests.write_gate import WriteGate
from garnetusher.sidecar.upstream import request_writer
from garnetusher.sidecar.upstream.attempt import UpstreamAttempt
from garnetusher.sidecar.upstream.pool import ConnectionPool


def answers_twice() -> None:
    """Write a second response after every fiftieth response."""
    write_response: Callable[..., None] = DownstreamConnection._write_response
    responses = 0

    def write_twice(self: Any, status: int, body: bytes, headers: bytes = b"") -> None:
        nonlocal responses
        write_response(self, status, body, headers)
        responses += 1
        if responses % 50 == 0 and not self.closing:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    DownstreamConnection._write_response = write_twice  # type: ignore[method-assign]


def repeats_unsafe() -> None:
    """Let the policy and the write gate ignore that an earlier attempt may have been executed."""
    RequestState.first_possibly_executed = lambda self: None  # type: ignore[method-assign]
    WriteGate.retry_denial = lambda self, request, attempt, now_us: None  # type: ignore[method-assign]
    WriteGate.may_shed = lambda self, request: True  # type: ignore[method-assign]


def sends_to_drained() -> None:
    """Treat an upstream that is leaving as ready."""
    discovery_messages.STATUSES["leaving"] = EndpointStatus.READY


def pushes_cold_over() -> None:
    """Send all requests to a warming upstream as long as there is one."""
    select = EndpointSelector.select

    def select_warming(self: EndpointSelector, request: RequestState) -> EndpointState | None:
        warming = [endpoint for endpoint in self._registry.endpoints.values() if endpoint.cohort is not None]
        return warming[0] if warming and self._retry_policy.may_forward(request) else select(self, request)

    EndpointSelector.select = select_warming  # type: ignore[method-assign]


def holds_back() -> None:
    """Delay each response to a request that was not served until just before the client's deadline."""
    respond = ResponseSender.respond

    def respond_late(self: ResponseSender, request: PendingRequest, response: FinalResponse) -> None:
        if request.completed or response.disposition is Disposition.SERVED:
            respond(self, request, response)
            return
        delay_s = max(0.0, (request.deadline_us - 30_000 - monotonic_us()) / 1e6)
        asyncio.get_running_loop().call_later(delay_s, respond, self, request, response)

    ResponseSender.respond = respond_late  # type: ignore[method-assign]


def loses_requests() -> None:
    """Drop every fifth response."""
    send_response = DownstreamConnection.send_response
    responses = 0

    def send_some(self: DownstreamConnection, response: FinalResponse) -> None:
        nonlocal responses
        responses += 1
        if responses % 5:
            send_response(self, response)

    DownstreamConnection.send_response = send_some  # type: ignore[method-assign]


def serves_foreign_bodies() -> None:
    """Serve the body of another request with every fifth response."""
    send_response = DownstreamConnection.send_response
    responses = 0

    def send_some_foreign(self: DownstreamConnection, response: FinalResponse) -> None:
        nonlocal responses
        responses += 1
        if responses % 5 == 0 and response.disposition is Disposition.SERVED:
            response = FinalResponse(Disposition.SERVED, b"served another request")
        send_response(self, response)

    DownstreamConnection.send_response = send_some_foreign  # type: ignore[method-assign]


def keeps_memory() -> None:
    """Keep 5 MB for each request."""
    on_request_complete = DownstreamConnection._on_request_complete
    kept: list[bytes] = []

    def keep_and_continue(self: DownstreamConnection) -> None:
        kept.append(b"x" * 5_000_000)
        on_request_complete(self)

    DownstreamConnection._on_request_complete = keep_and_continue  # type: ignore[method-assign]


def sends_after_disconnect() -> None:
    """Start each attempt 0.3 s after the policy chose it, even if its client has disconnected."""
    open_connection = ConnectionPool.open_connection

    def open_later(self: ConnectionPool, attempt: UpstreamAttempt) -> None:
        asyncio.get_running_loop().call_later(0.3, open_connection, self, attempt)

    ConnectionPool.open_connection = open_later  # type: ignore[method-assign]
    UpstreamAttempt.abandon = lambda self: None  # type: ignore[method-assign]
    WriteGate.denial = lambda self, request, attempt_index, now_us: None  # type: ignore[method-assign]
    DownstreamConnection.client_has_closed = lambda self: False  # type: ignore[method-assign]


def overstates_remaining_time() -> None:
    """Announce to upstreams a remaining time that is half a second too long."""
    request_head = request_writer.request_head
    request_writer.request_head = lambda request, address, remaining_us: request_head(
        request, address, remaining_us + 500_000
    )


def sheds_failed_requests() -> None:
    """Respond to failed requests as if they had been shed."""
    send_response = DownstreamConnection.send_response

    def send_as_shed(self: DownstreamConnection, response: FinalResponse) -> None:
        send_response(self, FinalResponse(Disposition.SHED) if response.disposition is Disposition.FAILED else response)

    DownstreamConnection.send_response = send_as_shed  # type: ignore[method-assign]


def dies() -> None:
    """Exit at the tenth request."""
    on_request_complete = DownstreamConnection._on_request_complete
    requests = 0

    def exit_at_tenth(self: DownstreamConnection) -> None:
        nonlocal requests
        requests += 1
        if requests == 10:
            os._exit(3)
        on_request_complete(self)

    DownstreamConnection._on_request_complete = exit_at_tenth  # type: ignore[method-assign]


def ignores_client_timeouts() -> None:
    """Never check the timeouts of client connections, so that silent connections stay open."""
    DownstreamConnection.check_timeouts = lambda self, now_us: None  # type: ignore[method-assign]


DEFECTS = {
    defect.__name__: defect
    for defect in (
        answers_twice,
        repeats_unsafe,
        sends_to_drained,
        pushes_cold_over,
        holds_back,
        loses_requests,
        serves_foreign_bodies,
        keeps_memory,
        sends_after_disconnect,
        overstates_remaining_time,
        sheds_failed_requests,
        dies,
        ignores_client_timeouts,
    )
}

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(program.main())
