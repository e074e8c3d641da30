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
from garnetusher.sidecar.discovery import watch as discovery
from garnetusher.sidecar.downstream import connection as server
from garnetusher.sidecar.requests import dispatcher as host
from garnetusher.sidecar.requests.messages import Disposition, FinalResponse, monotonic_us
from garnetusher.sidecar.requests.write_gate import WriteGate
from garnetusher.sidecar.upstream import pool as upstreams


def answers_twice() -> None:
    """One answer in fifty is written again behind itself."""
    write: Callable[..., None] = server.DownstreamConnection.write
    count = 0

    def twice(self: Any, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        nonlocal count
        write(self, status, body, head, last)
        count += 1
        if count % 50 == 0 and not self.ending:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server.DownstreamConnection.write = twice  # type: ignore[method-assign]


def repeats_unsafe() -> None:
    """What may have run is forgotten, by the policy and by the gate behind it."""
    RequestState.first_possibly_executed = lambda self: None  # type: ignore[method-assign]
    WriteGate.retry_denial = lambda self, request, attempt, now_us: None  # type: ignore[method-assign]
    WriteGate.may_shed = lambda self, request: True  # type: ignore[method-assign]


def sends_to_drained() -> None:
    """An upstream that leaves is taken for a ready one."""
    discovery.STATES["leaving"] = EndpointStatus.READY


def pushes_cold_over() -> None:
    """As long as there is a cold upstream it gets all requests."""
    select = EndpointSelector.select

    def coldest(self: EndpointSelector, request: RequestState) -> EndpointState | None:
        cold = [s for s in self._registry.endpoints.values() if s.cohort is not None]
        return cold[0] if cold and self._retry_policy.may_forward(request) else select(self, request)

    EndpointSelector.select = coldest  # type: ignore[method-assign]


def holds_back() -> None:
    """What is given up is answered just before the client's time is out."""
    answer = host.RequestDispatcher._complete_request

    def late(self: host.RequestDispatcher, ident: int, answer_: FinalResponse) -> None:
        request = self.requests.get(ident)
        if request is None or request.completed or answer_.disposition is Disposition.SERVED:
            answer(self, ident, answer_)
            return
        after = max(0.0, (request.deadline_us - 30_000 - monotonic_us()) / 1e6)
        asyncio.get_running_loop().call_later(after, answer, self, ident, answer_)

    host.RequestDispatcher._complete_request = late  # type: ignore[method-assign, assignment]


def loses_requests() -> None:
    """One answer in five is never written."""
    respond = server.DownstreamConnection.send_response
    count = 0

    def forgetful(self: server.DownstreamConnection, answer: FinalResponse) -> None:
        nonlocal count
        count += 1
        if count % 5:
            respond(self, answer)

    server.DownstreamConnection.send_response = forgetful  # type: ignore[method-assign]


def sends_for_who_left() -> None:
    """Attempts begin 0.3 s after they were chosen, whether or not their clients are still there."""
    start = upstreams.ConnectionPool.open

    def later(self: upstreams.ConnectionPool, attempt: upstreams.UpstreamAttempt) -> None:
        asyncio.get_running_loop().call_later(0.3, start, self, attempt)

    upstreams.ConnectionPool.open = later  # type: ignore[method-assign]
    upstreams.UpstreamAttempt.abandon = lambda self: None  # type: ignore[method-assign]
    WriteGate.denial = lambda self, request, number, now_us: None  # type: ignore[method-assign]
    server.DownstreamConnection.client_has_closed = lambda self: False  # type: ignore[method-assign]


def tells_more_time() -> None:
    """Upstreams are told half a second more than is left."""
    head = upstreams.request_head
    upstreams.request_head = lambda call, address, left_us: head(call, address, left_us + 500_000)


def refuses_what_ran() -> None:
    """What has failed is called refused."""
    respond = server.DownstreamConnection.send_response

    def refused(self: server.DownstreamConnection, answer: FinalResponse) -> None:
        respond(self, FinalResponse(Disposition.SHED) if answer.disposition is Disposition.FAILED else answer)

    server.DownstreamConnection.send_response = refused  # type: ignore[method-assign]


def dies() -> None:
    """The process ends at its tenth request."""
    take = server.DownstreamConnection.take
    count = 0

    def last(self: server.DownstreamConnection) -> None:
        nonlocal count
        count += 1
        if count == 10:
            os._exit(3)
        take(self)

    server.DownstreamConnection.take = last  # type: ignore[method-assign]


def leaves_strangers_waiting() -> None:
    """Nobody looks at connections on which nothing comes."""
    server.DownstreamConnection.check = lambda self, now_us: None  # type: ignore[method-assign]


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
