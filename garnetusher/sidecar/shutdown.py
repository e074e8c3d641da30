"""Graceful shutdown: applies the closing schedule between SIGTERM and the exit of the process."""

from __future__ import annotations

import asyncio
import logging

from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.closing_schedule import ACCEPT_AFTER_SIGTERM_S, ClosingSchedule, Ending
from garnetusher.sidecar.downstream.server import DownstreamServer
from garnetusher.sidecar.transitions import LifecycleTransition

POLL_INTERVAL_S = 0.01

log = logging.getLogger(__name__)


async def shut_down(server: DownstreamServer, schedule: ClosingSchedule) -> None:
    """Stop accepting connections, close those that are open, and return when nothing is in flight.

    The process does not exit by itself while any request is in flight, because an exit would certainly lose that
    request. SIGKILL may arrive later than `ClosingSchedule.kill_s`, so the request may still complete.

    Args:
        server: the server of all client connections, whose lifecycle is stopping.
        schedule: the schedule of the shutdown.
    """
    _announce_deadline(server, schedule)
    closing_listener = asyncio.create_task(_close_listener(server, schedule))
    while not closing_listener.done() or _has_open_work(server, schedule):
        _apply(server, schedule)
        await asyncio.sleep(POLL_INTERVAL_S)
    await closing_listener
    server.close_idle()
    await asyncio.sleep(POLL_INTERVAL_S)  # a close reads pending input first


def _announce_deadline(server: DownstreamServer, schedule: ClosingSchedule) -> None:
    """Tell the dispatcher to answer all requests by `schedule.final_responses_s`."""
    remaining_s = schedule.final_responses_s - server.lifecycle.closing_for_s
    server.dispatcher.finish_by(monotonic_us() + int(remaining_s * 1e6), schedule.retry_after_us)


async def _close_listener(server: DownstreamServer, schedule: ClosingSchedule) -> None:
    """Stop accepting connections: at once if another process accepts them, or else after the time that clients need."""
    has_successor = schedule.ending is Ending.REPLACEMENT
    if not has_successor:
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
    await server.stop_listening(shared=has_successor)
    server.lifecycle.report(LifecycleTransition.CLOSED)


def _apply(server: DownstreamServer, schedule: ClosingSchedule) -> None:
    """Apply the decisions that are due now to all connections."""
    elapsed_s = server.lifecycle.closing_for_s
    server.close_idle()
    if not schedule.streams_responses(elapsed_s):
        server.limit_incomplete_requests()
    if schedule.rejects_incomplete(elapsed_s):
        if server.lifecycle.report(LifecycleTransition.REJECTING_INCOMPLETE):
            _log_unfinished_responses(server)
        server.shed_incomplete_requests()


def _log_unfinished_responses(server: DownstreamServer) -> None:
    """Log the responses that SIGKILL would cut off; a killed process can't report them afterwards."""
    unfinished = sum(connection.is_sending_response for connection in server.connections)
    if unfinished:
        log.warning("%d responses are still being sent; SIGKILL cuts off those that it finds", unfinished)


def _has_open_work(server: DownstreamServer, schedule: ClosingSchedule) -> bool:
    if server.busy:
        return True
    return bool(server.connections) and server.lifecycle.closing_for_s < schedule.close_remaining_s
