"""Graceful shutdown: the steps between SIGTERM and the exit of the process.

Without a successor process, the drain phase still accepts new clients. With a successor, the drain phase accepts one
last request on each open connection. The final phase only answers the requests in flight. Every request is answered
before SIGKILL can arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.server import DownstreamServer
from garnetusher.sidecar.transitions import LifecycleTransition

ACCEPT_AFTER_SIGTERM_S = 0.5  # clients open new connections for up to 0.4 s after SIGTERM
KILL_DELAY_S = 0.7  # SIGKILL arrives at least this long after the longest deadline
MAX_DEADLINE_S = 3.0  # longer deadlines are capped at this value
LAST_RESPONSE_S = 0.4  # time for the response to a connection's last request, besides the longest latency objective
FINAL_RESPONSE_MARGIN_S = 0.2  # the last responses precede SIGKILL by this time because the event loop may be busy
POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When the steps of a shutdown happen, in seconds after SIGTERM.

    Attributes:
        kill_s: earliest time at which SIGKILL can arrive.
        final_responses_s: time at which all requests still in flight are answered.
        close_remaining_at_s: time at which the remaining idle connections close, even if a client may be sending a
            request.
        close_waiting_at_s: time at which connections that wait for a last request close if a successor process shares
            the listening socket.
    """

    kill_s: float
    final_responses_s: float
    close_remaining_at_s: float
    close_waiting_at_s: float

    @classmethod
    def for_classes(cls, classes: Sequence[RequestClass]) -> ShutdownSchedule:
        """Return the schedule for these request classes."""
        longest_deadline_s = max(request_class.deadline_us for request_class in classes) / 1e6
        longest_objective_s = max(request_class.latency_objective_us for request_class in classes) / 1e6
        kill_s = min(MAX_DEADLINE_S, longest_deadline_s) + KILL_DELAY_S
        return cls(
            kill_s=kill_s,
            final_responses_s=kill_s - FINAL_RESPONSE_MARGIN_S,
            close_remaining_at_s=kill_s - FINAL_RESPONSE_MARGIN_S / 2,
            close_waiting_at_s=kill_s - longest_objective_s - LAST_RESPONSE_S,
        )


def announce_deadline(server: DownstreamServer, schedule: ShutdownSchedule) -> None:
    """Tell the dispatcher to answer all requests by `schedule.final_responses_s`."""
    remaining_s = schedule.final_responses_s - server.lifecycle.closing_for_s
    server.dispatcher.finish_by(monotonic_us() + int(remaining_s * 1e6))


async def drain_without_successor(server: DownstreamServer) -> None:
    """Accept clients for `ACCEPT_AFTER_SIGTERM_S`, as no other process accepts them, and then close the listener."""
    server.close_idle(monotonic_us())
    await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    await server.stop_listening(shared=False)
    server.lifecycle.report(LifecycleTransition.CLOSED)


async def drain_with_successor(server: DownstreamServer, schedule: ShutdownSchedule) -> None:
    """Leave new connections to the process that shares the socket, and accept a last request on each open one.

    Closing an idle connection immediately would lose a request that its client is sending at that moment.
    """
    await server.stop_listening(shared=True)
    server.lifecycle.report(LifecycleTransition.CLOSED)
    while server.connections and server.lifecycle.closing_for_s < schedule.close_waiting_at_s:  # noqa: ASYNC110 the loop also has a time limit
        await asyncio.sleep(POLL_INTERVAL_S)


async def finish_requests(server: DownstreamServer, schedule: ShutdownSchedule) -> None:
    """Wait for the requests in flight, and reject those that are still incomplete at `schedule.final_responses_s`.

    The process does not exit by itself while any request is in flight, because an exit would certainly lose that
    request. SIGKILL may arrive later than `schedule.kill_s`, so the request may still complete.
    """
    while _has_open_work(server, schedule):
        server.close_idle(monotonic_us())
        if server.lifecycle.closing_for_s >= schedule.final_responses_s:
            server.lifecycle.report(LifecycleTransition.REJECTING_INCOMPLETE)
            server.shed_incomplete_requests()
        await asyncio.sleep(POLL_INTERVAL_S)


def _has_open_work(server: DownstreamServer, schedule: ShutdownSchedule) -> bool:
    if server.busy:
        return True
    return bool(server.connections) and server.lifecycle.closing_for_s < schedule.close_remaining_at_s
