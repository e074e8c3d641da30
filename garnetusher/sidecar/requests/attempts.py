"""Starts and ends the attempts of requests.

An attempt that still waits for a connection can be withdrawn, so that nothing of it is ever written. Any attempt can be
abandoned: the sidecar no longer waits for its response, even though the upstream may already execute it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from garnetusher.policy.actions import Forward
from garnetusher.policy.events import Outcome
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.deadlines import Deadlines
from garnetusher.sidecar.requests.endpoints import ReadyEndpoints
from garnetusher.sidecar.requests.messages import (
    Attempt,
    AttemptResult,
    Denial,
    PendingRequest,
    UpstreamTransport,
    WritePermit,
)
from garnetusher.sidecar.requests.trace import EventName
from garnetusher.sidecar.requests.write_gate import WriteGate
from garnetusher.sidecar.streaming import Head, Sink, Source


class AttemptListener(Protocol):
    """Receives the events of attempts; the dispatcher implements it."""

    def on_attempt_ended(self, request: PendingRequest, attempt_index: int, result: AttemptResult) -> None:
        """Handle the end of an attempt; called exactly once for each attempt."""

    def on_response_started(
        self, request: PendingRequest, attempt_index: int, head: Head, source: Source
    ) -> Sink | None:
        """Handle the first bytes of a streamed response; return the sink for it, or None if nobody needs it."""

    def on_client_half_closed(self, request_id: int) -> None:
        """Handle a client that, according to the write gate, has closed its connection or its sending side."""


class AttemptController:
    """Starts attempts, and ends each of them exactly once."""

    def __init__(
        self,
        transport: UpstreamTransport,
        write_gate: WriteGate,
        endpoints: ReadyEndpoints,
        deadlines: Deadlines,
        listener: AttemptListener,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._write_gate = write_gate
        self._endpoints = endpoints
        self._deadlines = deadlines
        self._listener = listener

    def start(self, request: PendingRequest, action: Forward) -> None:
        """Start the attempt that the policy has requested, or end it at once if the write gate denies it."""
        now_us = monotonic_us()
        attempt_index = len(request.attempts)
        chosen_endpoint = self._endpoints.get(action.endpoint_id)
        attempt = Attempt(
            action.endpoint_id,
            now_us,
            chosen_endpoint,
            timeout_us=action.timeout_us,
            latest_start_us=action.latest_start_us,
        )
        request.attempts.append(attempt)
        may_start = self._write_gate.may_start(request, attempt_index, now_us)
        if not may_start or chosen_endpoint is None or action.timeout_us < 0:
            self.end(request, attempt_index, AttemptResult(Outcome.NOT_WRITTEN))
            return
        if request.body_complete:
            self._deadlines.start_attempt_timer(request, attempt_index)
        attempt.handle = self._transport.start_attempt(
            chosen_endpoint.address,
            request.http_request,
            lambda: self._authorize_write(request, attempt_index),
            lambda result: self.end(request, attempt_index, result),
            lambda head, source: self._listener.on_response_started(request, attempt_index, head, source),
        )
        if action.latest_start_us:
            attempt.latest_start_timer = self._deadlines.call_at(
                action.latest_start_us, self.withdraw, request, attempt_index
            )

    def withdraw(self, request: PendingRequest, attempt_index: int) -> None:
        """End an attempt that still waits for a connection; do nothing if any byte of it has been written."""
        handle = request.attempts[attempt_index].handle
        if handle is not None and not handle.written:
            handle.abandon()
            self.end(request, attempt_index, AttemptResult(Outcome.NOT_WRITTEN))

    def withdraw_unwritten(self, request: PendingRequest) -> None:
        """Withdraw the attempts of a request that still wait for a connection."""
        for attempt_index in range(len(request.attempts)):
            self.withdraw(request, attempt_index)

    def withdraw_stale(self, request: PendingRequest) -> None:
        """Withdraw the waiting attempts whose endpoints have changed since the policy chose them.

        The connection may be established long after the endpoint was reported as draining. An endpoint that has
        restarted in the meantime is warming up, but the policy chose it as a warm endpoint.
        """
        for attempt_index, attempt in enumerate(request.attempts):
            if self._write_gate.endpoint_has_changed(attempt):
                self.withdraw(request, attempt_index)

    def abandon(self, request: PendingRequest, attempt_index: int, outcome: Outcome) -> None:
        """Stop waiting for the response to an attempt, and end it.

        Args:
            request: the request of the attempt.
            attempt_index: the index of the attempt.
            outcome: the outcome of the attempt; an attempt that has not been written never ran, and ends as
                `CONNECT_FAILED` instead, which counts against the endpoint. It ends as `NOT_WRITTEN`, which does not
                count, if it is cancelled or if this machine lacked the resources for a connection.
        """
        attempt = request.attempts[attempt_index]
        if attempt.ended or attempt.handle is None:
            return
        if not attempt.handle.written:
            is_evidence = outcome is not Outcome.CANCELLED and not attempt.handle.short_of_local_resources
            outcome = Outcome.CONNECT_FAILED if is_evidence else Outcome.NOT_WRITTEN
        attempt.handle.abandon()
        self.end(request, attempt_index, AttemptResult(outcome))

    def time_out(self, request: PendingRequest, attempt_index: int, outcome: Outcome = Outcome.TIMEOUT) -> None:
        """Abandon an attempt whose time is over, unless the head of its response has come in time.

        Args:
            request: the request of the attempt.
            attempt_index: the index of the attempt.
            outcome: the outcome of the attempt; see `abandon`.
        """
        if not self._begin_response(request, attempt_index):
            self.abandon(request, attempt_index, outcome)

    def begin_any_response(self, request: PendingRequest) -> bool:
        """Stream the response of an attempt whose head has arrived; return whether one is streamed now."""
        return any(self._begin_response(request, attempt_index) for attempt_index in range(len(request.attempts)))

    def _begin_response(self, request: PendingRequest, attempt_index: int) -> bool:
        handle = request.attempts[attempt_index].handle
        return request.is_response_awaited and handle is not None and handle.begin_response()

    def abandon_all(self, request: PendingRequest, outcome: Outcome) -> None:
        """Abandon all attempts of a request."""
        for attempt_index in range(len(request.attempts)):
            self.abandon(request, attempt_index, outcome)

    def end(self, request: PendingRequest, attempt_index: int, result: AttemptResult) -> None:
        """End an attempt unless it has ended already; only this method sets the outcome of an attempt."""
        attempt = request.attempts[attempt_index]
        if attempt.ended:
            return
        attempt.outcome = result.outcome
        attempt.handle = None
        self._write_gate.trace.record_event(
            EventName.ENDED, request.request_id, attempt_index, attempt.endpoint_id, result.outcome.value
        )
        self._deadlines.cancel_attempt_timers(attempt)
        self._listener.on_attempt_ended(request, attempt_index, result)

    def _authorize_write(self, request: PendingRequest, attempt_index: int) -> WritePermit | Denial:
        now_us = monotonic_us()
        decision = self._write_gate.authorize_write(request, attempt_index, now_us)
        if isinstance(decision, WritePermit):
            request.attempts[attempt_index].written_us = now_us
        elif decision is Denial.CLIENT_LEFT:
            self._loop.call_soon(self._listener.on_client_half_closed, request.request_id)
        return decision
