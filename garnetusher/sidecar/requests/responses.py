"""Sends the single final response to each request."""

from __future__ import annotations

import logging
from collections.abc import Callable

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.requests.attempts import AttemptController
from garnetusher.sidecar.requests.deadlines import Deadlines
from garnetusher.sidecar.requests.messages import FinalResponse, PendingRequest, ResponseState
from garnetusher.sidecar.requests.request_table import RequestTable
from garnetusher.sidecar.requests.write_gate import WriteGate
from garnetusher.sidecar.streaming import Head, Source

log = logging.getLogger(__name__)


class ResponseSender:
    """Tracks the response state of requests, and sends at most one response to each."""

    def __init__(
        self, requests: RequestTable, attempts: AttemptController, deadlines: Deadlines, write_gate: WriteGate
    ) -> None:
        self._requests = requests
        self._attempts = attempts
        self._deadlines = deadlines
        self._write_gate = write_gate

    def respond(self, request: PendingRequest, response: FinalResponse) -> None:
        """Send the final response, unless one has been sent or is being streamed."""
        if not request.is_response_awaited:
            return
        response = self._write_gate.check_final_response(request, response, monotonic_us())
        self.mark_completed(request)
        self._call_sink(request.response_sink.send_response, response)

    def begin_streaming(self, request: PendingRequest, attempt_index: int, head: Head, source: Source) -> None:
        """Stream the response of one attempt to the client; from now on no timer may interrupt it."""
        request.response_state = ResponseState.STREAMING
        request.streaming_attempt_index = attempt_index
        self._deadlines.cancel_attempt_timer(request.attempts[attempt_index])
        self._deadlines.cancel_request_timer(request)
        request.response_sink.begin_response(head, source)

    def finish_streaming(self, request: PendingRequest, *, complete: bool) -> None:
        """End a streamed response, or abort it if it is incomplete, unless the client has disconnected."""
        if request.completed:
            return
        self.mark_completed(request)
        self._call_sink(lambda: request.response_sink.finish_response(complete=complete))

    def mark_completed(self, request: PendingRequest) -> None:
        """Mark a request as completed, and withdraw the attempts that have not been written."""
        request.response_state = ResponseState.COMPLETED
        self._deadlines.cancel_request_timer(request)
        self._attempts.withdraw_unwritten(request)
        self._requests.remove_if_done(request)

    def _call_sink(self, send: Callable[..., None], *args: object) -> None:
        """Call the response sink, and log its errors.

        If an error propagated, the policy would not be notified that the attempt has ended, and would never free the
        slot of the attempt.
        """
        try:
            send(*args)
        except Exception:
            log.exception("sending a response to the client failed")
