"""Attempts during which the body arrives, the host lacks resources or the upstream side fails, without a network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from garnetusher.policy.events import Endpoint, EndpointsUpdated, UpdateKind
from garnetusher.policy.settings import RequestClass, Settings
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.dispatcher import RequestDispatcher
from garnetusher.sidecar.requests.endpoints import Address
from garnetusher.sidecar.requests.messages import FinalResponse, HttpRequest, WriteAuthorizer, WritePermit
from tests.runner import run
from tests.test_write_gate import FakeResponseSink

OBJECTIVE_US = 60_000_000  # far longer than any test runs, so that no timer expires because the machine is busy
CLIENT_TIMEOUT_US = 10 * OBJECTIVE_US


class FakeAttempt:
    """An attempt that a test ends; it is written as soon as it starts."""

    written = True
    abandoned = False

    def abandon(self) -> None:
        self.abandoned = True


class FakeUpstreamTransport:
    """The upstream side of a sidecar, which writes each attempt at once and never responds."""

    def __init__(self) -> None:
        self.attempts: list[FakeAttempt] = []

    def start_attempt(
        self,
        address: Address,
        http_request: HttpRequest,
        authorize_write: WriteAuthorizer,
        on_ended: Callable[..., None],
        on_response_started: Callable[..., Any],
    ) -> FakeAttempt:
        assert isinstance(authorize_write(), WritePermit)
        self.attempts.append(FakeAttempt())
        return self.attempts[-1]

    def close_idle_connections(self, address: Address) -> None: ...


class RecordingSink(FakeResponseSink):
    """The downstream side of a request, which records the final responses."""

    def __init__(self) -> None:
        self.responses: list[FinalResponse] = []
        self.body_end_us = monotonic_us()

    def send_response(self, response: FinalResponse) -> None:
        self.responses.append(response)


def make_dispatcher(transport: FakeUpstreamTransport, endpoint_count: int = 1) -> RequestDispatcher:
    """Return a dispatcher with ready endpoints and one idempotent class."""
    request_class = RequestClass(
        "read", latency_objective_us=OBJECTIVE_US, deadline_us=CLIENT_TIMEOUT_US, effect="idempotent", late_weight=0.5
    )
    dispatcher = RequestDispatcher(Settings([request_class], max_attempts=3), 1, transport)
    endpoints = [Endpoint(endpoint_id) for endpoint_id in range(endpoint_count)]
    addresses = {endpoint.id: ("127.0.0.1", 1 + endpoint.id) for endpoint in endpoints}
    dispatcher.on_endpoints_updated(EndpointsUpdated(UpdateKind.SNAPSHOT, endpoints), addresses)
    return dispatcher


def make_request() -> HttpRequest:
    return HttpRequest(b"GET", b"/read", [], b"", monotonic_us(), CLIENT_TIMEOUT_US, 0)


def test_attempt_has_its_whole_timeout_when_its_body_had_arrived_before_it_started() -> None:
    """A long body can wait in the kernel while an earlier attempt waits for its connection."""

    async def test() -> None:
        transport = FakeUpstreamTransport()
        dispatcher = make_dispatcher(transport)
        request_id = dispatcher.on_request(make_request(), RecordingSink(), body_complete=False)
        dispatcher.on_body_complete(request_id, monotonic_us() - 2 * OBJECTIVE_US)
        await asyncio.sleep(0.05)  # the timeout of the attempt is the objective
        assert [attempt.abandoned for attempt in transport.attempts] == [False]

    run(test)
