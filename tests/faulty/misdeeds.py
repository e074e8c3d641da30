"""The sidecar with one seeded fault each, for the checker to catch: `python -m tests.faulty.misdeeds NAME`."""

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
    """One answer in fifty is written again behind itself."""
    write: Callable[..., None] = DownstreamConnection._write_response
    count = 0

    def twice(self: Any, status: int, body: bytes, headers: bytes = b"", *, close: bool = False) -> None:
        nonlocal count
        write(self, status, body, headers, close=close)
        count += 1
        if count % 50 == 0 and not self.closing:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    DownstreamConnection._write_response = twice  # type: ignore[method-assign]


def repeats_unsafe() -> None:
    """What may have run is forgotten, by the policy and by the gate behind it."""
    RequestState.first_possibly_executed = lambda self: None  # type: ignore[method-assign]
    WriteGate.retry_denial = lambda self, request, attempt, now_us: None  # type: ignore[method-assign]
    WriteGate.may_shed = lambda self, request: True  # type: ignore[method-assign]


def sends_to_drained() -> None:
    """An upstream that leaves is taken for a ready one."""
    discovery_messages.STATUSES["leaving"] = EndpointStatus.READY


def pushes_cold_over() -> None:
    """As long as there is a cold upstream it gets all requests."""
    select = EndpointSelector.select

    def coldest(self: EndpointSelector, request: RequestState) -> EndpointState | None:
        cold = [s for s in self._registry.endpoints.values() if s.cohort is not None]
        return cold[0] if cold and self._retry_policy.may_forward(request) else select(self, request)

    EndpointSelector.select = coldest  # type: ignore[method-assign]


def holds_back() -> None:
    """What is given up is answered just before the client's time is out."""
    complete = ResponseSender.respond

    def late(self: ResponseSender, request: PendingRequest, response: FinalResponse) -> None:
        if request.completed or response.disposition is Disposition.SERVED:
            complete(self, request, response)
            return
        delay_s = max(0.0, (request.deadline_us - 30_000 - monotonic_us()) / 1e6)
        asyncio.get_running_loop().call_later(delay_s, complete, self, request, response)

    ResponseSender.respond = late  # type: ignore[method-assign]


def loses_requests() -> None:
    """One answer in five is never written."""
    respond = DownstreamConnection.send_response
    count = 0

    def forgetful(self: DownstreamConnection, response: FinalResponse) -> None:
        nonlocal count
        count += 1
        if count % 5:
            respond(self, response)

    DownstreamConnection.send_response = forgetful  # type: ignore[method-assign]


def sends_for_who_left() -> None:
    """Attempts begin 0.3 s after they were chosen, whether or not their clients are still there."""
    start = ConnectionPool.open_connection

    def later(self: ConnectionPool, attempt: UpstreamAttempt) -> None:
        asyncio.get_running_loop().call_later(0.3, start, self, attempt)

    ConnectionPool.open_connection = later  # type: ignore[method-assign]
    UpstreamAttempt.abandon = lambda self: None  # type: ignore[method-assign]
    WriteGate.denial = lambda self, request, attempt_index, now_us: None  # type: ignore[method-assign]
    DownstreamConnection.client_has_closed = lambda self: False  # type: ignore[method-assign]


def tells_more_time() -> None:
    """Upstreams are told half a second more than is left."""
    head = request_writer.request_head
    request_writer.request_head = lambda request, address, remaining_us: head(request, address, remaining_us + 500_000)


def refuses_what_ran() -> None:
    """What has failed is called refused."""
    respond = DownstreamConnection.send_response

    def refused(self: DownstreamConnection, response: FinalResponse) -> None:
        respond(self, FinalResponse(Disposition.SHED) if response.disposition is Disposition.FAILED else response)

    DownstreamConnection.send_response = refused  # type: ignore[method-assign]


def dies() -> None:
    """The process ends at its tenth request."""
    take = DownstreamConnection._on_request_complete
    count = 0

    def last(self: DownstreamConnection) -> None:
        nonlocal count
        count += 1
        if count == 10:
            os._exit(3)
        take(self)

    DownstreamConnection._on_request_complete = last  # type: ignore[method-assign]


def leaves_strangers_waiting() -> None:
    """Nobody looks at connections on which nothing comes."""
    DownstreamConnection.check_timeouts = lambda self, now_us: None  # type: ignore[method-assign]


MISDEEDS = {
    deed.__name__: deed
    for deed in (
        answers_twice,
        repeats_unsafe,
        sends_to_drained,
        pushes_cold_over,
        holds_back,
        loses_requests,
        sends_for_who_left,
        tells_more_time,
        refuses_what_ran,
        dies,
        leaves_strangers_waiting,
    )
}

if __name__ == "__main__":
    MISDEEDS[sys.argv[1]]()
    sys.exit(program.main())
