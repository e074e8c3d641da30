"""Graceful shutdown: what happens between SIGTERM and the end of the process.

In the drain phase clients still come, or each open connection still carries a last request; in the end phase only what
is in flight is answered. All is answered before SIGKILL may come.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from garnetusher.policy.settings import RequestClass
from garnetusher.sidecar.clock import monotonic_us
from garnetusher.sidecar.downstream.server import DownstreamServer

NEW_CONNECTIONS_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
KILL_DELAY_S = 0.7  # SIGKILL comes so long after the longest deadline at the soonest
MAX_DEADLINE_S = 3.0  # a deadline that is longer counts as this
LAST_RESPONSE_S = 0.4  # with the longest latency objective, what a last request gets for its response
FINAL_RESPONSE_MARGIN_S = 0.2  # the last responses are written so long before SIGKILL, as the loop may be busy
POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When the steps of a shutdown happen, in seconds after SIGTERM.

    Attributes:
        kill_s: when SIGKILL may come at the soonest.
        final_responses_s: when everything that is still in flight is answered.
        last_connections_s: when connections that are idle till then close, even if a request may be on its way.
        idle_connections_s: when connections close that wait for a last request beside another process.
    """

    kill_s: float
    final_responses_s: float
    last_connections_s: float
    idle_connections_s: float

    @classmethod
    def of_classes(cls, classes: Sequence[RequestClass]) -> ShutdownSchedule:
        """Return the schedule for these request classes."""
        longest_deadline_s = max(request_class.deadline_us for request_class in classes) / 1e6
        longest_objective_s = max(request_class.latency_objective_us for request_class in classes) / 1e6
        kill_s = min(MAX_DEADLINE_S, longest_deadline_s) + KILL_DELAY_S
        return cls(
            kill_s=kill_s,
            final_responses_s=kill_s - FINAL_RESPONSE_MARGIN_S,
            last_connections_s=kill_s - FINAL_RESPONSE_MARGIN_S / 2,
            idle_connections_s=kill_s - longest_objective_s - LAST_RESPONSE_S,
        )


def announce_deadline(server: DownstreamServer, schedule: ShutdownSchedule) -> None:
    """Have all requests answered by the time of the final responses."""
    server.dispatcher.finish_by(monotonic_us() + int(schedule.final_responses_s * 1e6))


async def drain_alone(server: DownstreamServer) -> None:
    """Accept clients for a moment more, then close the listener: no other process accepts them here."""
    server.close_idle(monotonic_us())
    await asyncio.sleep(NEW_CONNECTIONS_S)
    await server.stop_listening(shared=False)


async def drain_beside_successor(server: DownstreamServer, schedule: ShutdownSchedule) -> None:
    """Leave new connections to the process that shares the socket, and let each open one carry a last request.

    An idle connection that closed at once would cost the request that its client is sending.
    """
    await server.stop_listening(shared=True)
    while server.connections and server.lifecycle.closing_for_s < schedule.idle_connections_s:  # noqa: ASYNC110 or time
        await asyncio.sleep(POLL_INTERVAL_S)


async def finish(server: DownstreamServer, schedule: ShutdownSchedule) -> None:
    """Wait for what is in flight, and refuse requests that have not come in full when time is up.

    The process does not end by itself while anything is in flight: what it cut would be lost, while what SIGKILL cuts
    need not be.
    """
    while _is_in_use(server, schedule):
        server.close_idle(monotonic_us())
        if server.lifecycle.closing_for_s >= schedule.final_responses_s:
            server.shed_incomplete_requests()
        await asyncio.sleep(POLL_INTERVAL_S)


def _is_in_use(server: DownstreamServer, schedule: ShutdownSchedule) -> bool:
    if server.busy:
        return True
    return bool(server.connections) and server.lifecycle.closing_for_s < schedule.last_connections_s
