"""The attempts of a simulated sidecar: connections, writes, responses and timeouts, with one outcome per attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetusher.model.network import Direction
from garnetusher.model.records import AttemptUndelivered
from garnetusher.model.request_state import AttemptInFlight, Connection, PendingRequest
from garnetusher.model.sidecar_settings import CONNECT_TIMEOUT_US
from garnetusher.policy.actions import Forward
from garnetusher.policy.events import AttemptEnded, Outcome

if TYPE_CHECKING:
    from garnetusher.model.sidecar import SimulatedSidecar
    from garnetusher.model.simulation import Simulation


class SidecarAttempts:
    """Executes the attempts of one sidecar and reports the outcome of each to the policy."""

    def __init__(self, simulation: Simulation, sidecar: SimulatedSidecar) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._network = simulation.network
        self._sidecar = sidecar
        self._max_idle_us = int(simulation.experiment.upstreams.idle_s * 1e6)
        self._idle: dict[str, list[Connection]] = {}

    def reset(self) -> None:
        """Discard the idle connections of the previous process."""
        self._idle = {}

    # Sending

    def forward(self, request: PendingRequest, action: Forward) -> None:
        """Start an attempt, on an idle connection if one is available."""
        now_us = self._clock.now_us
        attempt = AttemptInFlight(len(request.attempts), action.endpoint_id, now_us)
        request.attempts.append(attempt)
        uid = self._sidecar.discovery.uid_of(action.endpoint_id)
        if uid is None or not self._may_start(request, attempt):
            self.end(request, attempt, Outcome.NOT_WRITTEN)
            return
        timeout_at_us = request.deadline_us
        if action.timeout_us:
            timeout_at_us = min(timeout_at_us, now_us + action.timeout_us)
        incarnation = self._sidecar.incarnation
        self._clock.at(timeout_at_us + 1, self.abandon, request, attempt.attempt_index, Outcome.TIMEOUT, incarnation)
        connection = self._take_idle(uid)
        if connection is not None:
            self._write(request, attempt, connection)
        else:
            self._connect(request, attempt, uid)

    def _may_start(self, request: PendingRequest, attempt: AttemptInFlight) -> bool:
        return (
            not request.completed
            and self._clock.now_us < request.deadline_us
            and attempt.attempt_index < self._sidecar.settings.max_attempts
        )

    def _take_idle(self, uid: str) -> Connection | None:
        """Remove and return the most recently used idle connection that is within the upstream's idle timeout."""
        oldest_us = self._clock.now_us - self._max_idle_us
        idle = self._idle.get(uid, [])
        while idle:
            connection = idle.pop()
            if connection.open and connection.idle_since_us > oldest_us:
                return connection
        return None

    def _connect(self, request: PendingRequest, attempt: AttemptInFlight, uid: str) -> None:
        connection = Connection(uid)
        attempt.connection = connection
        link = self._network.link(uid, self._sidecar.name)
        now_us, incarnation = self._clock.now_us, self._sidecar.incarnation
        if link.cut_either_way:
            self._clock.at(now_us + CONNECT_TIMEOUT_US, self._connect_failed, request, attempt, incarnation)
        elif self._simulation.upstreams[uid].refusing:
            self._clock.at(now_us + 2 * link.one_way_us, self._connect_failed, request, attempt, incarnation)
        else:
            self._clock.at(now_us + 2 * link.one_way_us, self._connected, request, attempt, connection, incarnation)

    def _connected(
        self, request: PendingRequest, attempt: AttemptInFlight, connection: Connection, incarnation: int
    ) -> None:
        if not self._sidecar.runs_or_defers(self._connected, request, attempt, connection, incarnation):
            return
        if incarnation == self._sidecar.incarnation and not attempt.ended:
            self._write(request, attempt, connection)

    def _connect_failed(self, request: PendingRequest, attempt: AttemptInFlight, incarnation: int) -> None:
        if not self._sidecar.runs_or_defers(self._connect_failed, request, attempt, incarnation):
            return
        if incarnation == self._sidecar.incarnation:
            self.end(request, attempt, Outcome.CONNECT_FAILED)

    def _write(self, request: PendingRequest, attempt: AttemptInFlight, connection: Connection) -> None:
        attempt.connection = connection
        attempt.written = True
        uid = connection.upstream
        if self._network.link(uid, self._sidecar.name).is_cut(Direction.TO_NODE):
            undelivered = AttemptUndelivered(self._clock.now_us, request.call.call_id, uid, self._sidecar.name)
            self._simulation.record(undelivered)
        self._network.send(
            uid,
            self._sidecar.name,
            Direction.TO_NODE,
            lambda: self._simulation.upstreams[uid].receive(self._sidecar, request, attempt),
        )

    # Ending attempts

    def response_arrived(self, request: PendingRequest, attempt: AttemptInFlight, outcome: Outcome, uid: str) -> None:
        """Handle an upstream's response or reset, unless the attempt has ended or was abandoned."""
        if not self._sidecar.runs_or_defers(self.response_arrived, request, attempt, outcome, uid):
            return
        if attempt.ended or attempt.abandoned:
            return
        connection = attempt.connection
        if connection is not None and connection.open and outcome is not Outcome.RESET:
            connection.idle_since_us = self._clock.now_us
            self._idle.setdefault(uid, []).append(connection)
        if outcome is Outcome.OK:
            self._sidecar.answer_served(request.request_id, uid)
        self.end(request, attempt, outcome)

    def connections_reset(self, uid: str) -> None:
        """Reset all connections to an upstream.

        The sidecar sees the reset after the link's delay, and does not see it if the direction to the sidecar is cut.
        """
        self.close_idle(uid)
        for request in list(self._sidecar.pending.values()):
            for attempt in request.attempts:
                self._reset_attempt(request, attempt, uid)

    def _reset_attempt(self, request: PendingRequest, attempt: AttemptInFlight, uid: str) -> None:
        connection = attempt.connection
        if not attempt.written or attempt.ended or connection is None or connection.upstream != uid:
            return
        connection.open = False
        link = self._network.link(uid, self._sidecar.name)
        if not link.is_cut(Direction.TO_SIDECAR):
            reset_seen_at_us = self._clock.now_us + link.one_way_us
            self._clock.at(reset_seen_at_us, self.response_arrived, request, attempt, Outcome.RESET, uid)

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle.pop(uid, []):
            connection.open = False

    def abandon(self, request: PendingRequest, attempt_index: int, outcome: Outcome, incarnation: int) -> None:
        """End an attempt that has timed out or was cancelled, and close its connection."""
        if not self._sidecar.runs_or_defers(self.abandon, request, attempt_index, outcome, incarnation):
            return
        attempt = request.attempts[attempt_index]
        if incarnation == self._sidecar.incarnation and not attempt.ended:
            self._close(attempt)
            self.end(request, attempt, outcome if attempt.written else Outcome.CONNECT_FAILED)

    def withdraw_unwritten(self, request: PendingRequest) -> None:
        """End the attempts of a request that have not been written to a connection."""
        for attempt in request.attempts:
            if not attempt.ended and not attempt.written:
                self._close(attempt)
                self.end(request, attempt, Outcome.NOT_WRITTEN)

    def close_all(self, request: PendingRequest) -> None:
        """Close the connections of all attempts when the process ends; their outcomes are not reported."""
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.ended = True
                self._close(attempt)

    def end(self, request: PendingRequest, attempt: AttemptInFlight, outcome: Outcome) -> None:
        """End an attempt unless it has ended.

        A separate clock event reports the outcome, so that the policy never receives it while it handles another event.
        """
        if attempt.ended:
            return
        attempt.ended = True
        self._clock.at(self._clock.now_us, self._report, request, attempt, outcome, self._sidecar.incarnation)

    def _close(self, attempt: AttemptInFlight) -> None:
        """Close an attempt's connection; the upstream sees this after the link's delay."""
        attempt.abandoned = True
        connection = attempt.connection
        if connection is None or not attempt.written:
            return
        connection.open = False
        uid = connection.upstream
        self._network.send(
            uid,
            self._sidecar.name,
            Direction.TO_NODE,
            # the lambda reads the id at delivery, because the upstream assigns it when the attempt arrives
            lambda: self._simulation.upstreams[uid].cancel(attempt.upstream_attempt_id),
        )

    def _report(self, request: PendingRequest, attempt: AttemptInFlight, outcome: Outcome, incarnation: int) -> None:
        if not self._sidecar.runs_or_defers(self._report, request, attempt, outcome, incarnation):
            return
        if incarnation != self._sidecar.incarnation:
            return
        self._sidecar.forget_if_removable(request)
        self._sidecar.dispatch(
            AttemptEnded(
                request.request_id,
                attempt.attempt_index,
                attempt.endpoint_id,
                outcome,
                self._clock.now_us - attempt.sent_us,
                request.completed,
            )
        )
