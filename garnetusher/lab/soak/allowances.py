"""Time allowances and exemptions that the oracle grants a sidecar.

They account for pauses and ends of the sidecar's process, and for lags of the process that makes the records.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from garnetusher.lab.soak.records import (
    TAKEOVER_DETAIL,
    Attempt,
    End,
    Lag,
    ProcessEvent,
    ProcessEventKind,
    Records,
    Request,
)

ALLOWED_STALL_S = 0.15  # a sidecar may stall this long between reading the clock and writing
THAW_S = 0.2  # bytes that are read up to this long after the end of a freeze may have arrived during it
PAUSE_MARGIN_S = 0.05  # a pause still explains a delay that is recorded this long after the pause
MAX_LAG_GAP_S = 0.03  # lags are sampled every 10 ms, and those below 20 ms are not recorded
RECORDING_DELAY_S = 0.06  # a record may be this late without a measured lag, because one process makes all records
NEW_CONNECTIONS_AFTER_TERMINATE_S = 0.45  # a terminating sidecar accepts for up to 0.4 s and then closes its listener
# SIGKILL may cut off a response to a request that was sent up to this long after SIGTERM, but not to a later one. It
# follows SIGTERM after the longest deadline plus this time (`KILL_GAP_S` in sidecar_process.py).
EXCUSED_AFTER_TERMINATE_S = 0.7
SIGNAL_AGE_S = 0.15  # a process counts SIGTERM from when it may have come at the earliest: its last time-out check
REPLACED_AFTER_TERMINATE_S = 5.0  # this long after SIGTERM, a new process has replaced the old one
KILL_BEFORE_REQUEST_S = 0.3  # a request may be written to a connection whose process was killed this long before
KILL_AFTER_RESPONSE_S = 0.1  # a kill recorded up to this long after the end of a request may have caused that end
# A sidecar that drains or stops may close a connection that has been unused for this long, as in a lag of its client.
UNUSED_CONNECTION_S = 0.3
# A malformed connection is exempt if a SIGTERM or SIGKILL hit its process in the interval from END_BEFORE_CONNECTION_S
# before to END_AFTER_CONNECTION_S after the client connected.
END_BEFORE_CONNECTION_S = 5.0
END_AFTER_CONNECTION_S = 4.0


@dataclass(frozen=True, slots=True)
class Pause:
    """An interval in which a sidecar's process was stopped."""

    start_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """The length of the pause in seconds."""
        return self.end_s - self.start_s


class Allowances:
    """The pauses, process ends and recording lags of one run."""

    def __init__(self, records: Records) -> None:
        self._lags = _join_adjacent(records.lags)
        self._events: dict[int, list[ProcessEvent]] = defaultdict(list)
        for event in records.process_events:
            self._events[event.sidecar].append(event)
        self._pauses = {sidecar: _pauses(events) for sidecar, events in self._events.items()}

    def recording_slack_s(self, recorded_s: float) -> float:
        """Return by how many seconds a record with a given time may be late.

        A lag counts if it covers the time or ended shortly before it. Lags that follow each other at once count as one,
        as the first bytes of a new connection are read several iterations of the event loop after its accept.
        """
        durations = [
            lag.duration_s
            for lag in self._lags
            if lag.ended_s - lag.duration_s <= recorded_s <= lag.ended_s + RECORDING_DELAY_S
        ]
        return RECORDING_DELAY_S + max(durations, default=0.0)

    def was_frozen(self, attempt: Attempt) -> bool:
        """Return whether the first byte of an attempt may have waited at a frozen upstream, so its time is unknown.

        The recording process reads what has arrived during a freeze some time after its end, later if it lags.
        """
        return attempt.first_byte_s < attempt.thawed_s + THAW_S + self.recording_slack_s(attempt.first_byte_s)

    def stall_slack_s(self, request: Request, attempt: Attempt) -> float:
        """Return by how much a pause exceeded the allowed stall between reading the clock and writing.

        A pause can delay an attempt only if it began after the client sent the request and ended just before the
        upstream received the attempt.
        """
        durations = [
            pause.duration_s
            for pause in self._pauses.get(attempt.sidecar, [])
            if request.sent_s <= pause.start_s
            and pause.end_s <= attempt.first_byte_s <= pause.end_s + RECORDING_DELAY_S
        ]
        return max(0.0, max(durations, default=0.0) - ALLOWED_STALL_S)

    def pause_s(self, sidecar: int, at_s: float) -> float:
        """Return the duration of the pause that contains a time or ended just before it, or 0 if there is none."""
        durations = [
            pause.duration_s
            for pause in self._pauses.get(sidecar, [])
            if pause.start_s <= at_s <= pause.end_s + PAUSE_MARGIN_S
        ]
        return max(durations, default=0.0)

    def allows_missing_response(self, request: Request) -> bool:
        """Return whether the end of the sidecar's process explains why a request had no response."""
        lag_s = self.recording_slack_s(request.sent_s) - RECORDING_DELAY_S
        if request.new_connection and request.end is End.CLOSED and lag_s > UNUSED_CONNECTION_S:
            return True
        return any(_explains_missing_response(event, request, lag_s) for event in self._events[request.sidecar])

    def ended_near_connection(self, sidecar: int, connected_s: float) -> bool:
        """Return whether the process was killed or terminated near the time of a malformed connection."""
        return any(
            connected_s - END_BEFORE_CONNECTION_S <= event.at_s <= connected_s + END_AFTER_CONNECTION_S
            for event in self._events[sidecar]
            if event.kind in (ProcessEventKind.KILL, ProcessEventKind.TERMINATE)
        )

    def allows_cut(self, request: Request, cut_s: float) -> bool:
        """Return whether the end of the process may have cut off the response to a request at about a time.

        The process may not have begun a long response to a request that was sent late after SIGTERM, but refused it.
        An upstream that reads nothing notices the end of the connection later than the client.
        """
        if request.end is End.REFUSED and self._late_ends_s(request, SIGNAL_AGE_S):
            return True
        times_s = (cut_s, request.ended_s) if request.end is End.BROKEN else (cut_s,)
        return any(self._ended_at(request.sidecar, at_s) for at_s in times_s) and not self.was_cut_late(request)

    def was_cut_late(self, request: Request) -> bool:
        """Return whether the end of the process cut off the response to a request that was sent late after SIGTERM."""
        slack_s = self.recording_slack_s(request.ended_s)
        return any(abs(end_s - request.ended_s) <= slack_s for end_s in self._late_ends_s(request))

    def _late_ends_s(self, request: Request, earlier_s: float = 0.0) -> list[float]:
        """Return the ends of processes that may have received a request late after their SIGTERM.

        Args:
            request: The request.
            earlier_s: By how much the process may count its SIGTERM earlier than it was sent.
        """
        late_by_s = EXCUSED_AFTER_TERMINATE_S - earlier_s
        if not earlier_s:
            late_by_s += self.recording_slack_s(request.sent_s)
        ends_s: list[float] = []
        terminate: ProcessEvent | None = None
        for event in self._events[request.sidecar]:
            if event.kind == ProcessEventKind.TERMINATE:
                terminate = event
            elif event.kind == ProcessEventKind.ENDED and terminate is not None:
                is_late = terminate.at_s + late_by_s < request.sent_s < event.at_s
                if is_late and not _was_sent_to_successor(request, terminate):
                    ends_s.append(event.at_s)
                terminate = None
        return ends_s

    def _ended_at(self, sidecar: int, at_s: float) -> bool:
        """Return whether the process ended at about a time, so that the kernel closed its connections then."""
        return any(
            abs(event.at_s - at_s) <= self.recording_slack_s(at_s)
            for event in self._events[sidecar]
            if event.kind == ProcessEventKind.ENDED
        )

    def last_start_s(self, sidecar: int, before_s: float) -> float | None:
        """Return when the process last started at or before a time, or None if it had not started."""
        starts_s = [
            event.at_s
            for event in self._events[sidecar]
            if event.kind == ProcessEventKind.START and event.at_s <= before_s
        ]
        return starts_s[-1] if starts_s else None


def _join_adjacent(lags: list[Lag]) -> list[Lag]:
    joined: list[Lag] = []
    for lag in sorted(lags, key=lambda each: each.ended_s):
        started_s = lag.ended_s - lag.duration_s
        if joined and started_s <= joined[-1].ended_s + MAX_LAG_GAP_S:
            started_s = min(started_s, joined[-1].ended_s - joined[-1].duration_s)
            joined[-1] = Lag(lag.ended_s, lag.ended_s - started_s)
        else:
            joined.append(lag)
    return joined


def _pauses(events: list[ProcessEvent]) -> list[Pause]:
    pauses: list[Pause] = []
    start_s: float | None = None
    for event in events:
        if event.kind == ProcessEventKind.PAUSE:
            start_s = event.at_s
        elif event.kind == ProcessEventKind.RESUME and start_s is not None:
            pauses.append(Pause(start_s, event.at_s))
            start_s = None
    return pauses


def _was_sent_to_successor(request: Request, terminate: ProcessEvent) -> bool:
    """Return whether a request was sent to the process that took over, which accepts all new connections."""
    began_s = request.began_s or request.sent_s
    return terminate.detail == TAKEOVER_DETAIL and request.new_connection and began_s > terminate.at_s


def _explains_missing_response(event: ProcessEvent, request: Request, lag_s: float) -> bool:
    """Return whether an event explains it; the request may have been recorded `lag_s` after it was sent."""
    if event.kind == ProcessEventKind.KILL:
        began_s = request.began_s or request.sent_s
        return began_s - KILL_BEFORE_REQUEST_S - lag_s <= event.at_s <= request.ended_s + KILL_AFTER_RESPONSE_S
    if event.kind != ProcessEventKind.TERMINATE or request.sent_s >= event.at_s + REPLACED_AFTER_TERMINATE_S:
        return False
    return (
        request.new_connection
        and request.end is End.CLOSED
        and event.at_s + NEW_CONNECTIONS_AFTER_TERMINATE_S < request.sent_s
    )
