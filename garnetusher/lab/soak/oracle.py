"""Checks the rules of the protocol on the records of one soak run.

The simulated clients, upstreams and discovery agents make these records while the run lasts.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from garnetusher.lab.soak import slow_start
from garnetusher.lab.soak.allowances import RECORDING_DELAY_S, Allowances
from garnetusher.lab.soak.plan import Plan, RequestClass, cell_of, is_repeatable_anywhere, zone_of
from garnetusher.lab.soak.records import (
    Attempt,
    End,
    EndpointChange,
    EndpointStatus,
    MalformedConnection,
    ProcessEvent,
    ProcessEventKind,
    Records,
    Request,
)

LATE_RESPONSE_S = 0.5  # a response is late, but not lost, up to this long after its deadline
ATTEMPT_AFTER_DISCONNECT_S = 0.1  # an attempt may begin up to this long after its client closed the connection
ANNOUNCED_TIME_SLACK_S = 0.15  # the announced remaining time may exceed the actual remaining time by this much
# The sidecar may stall for 0.15 s between reading the clock and writing, and data may spend 50 ms in sockets.
DEDUPLICATION_SLACK_S = 0.2
# Attempts may begin up to 1 s after the sidecar knows of the drain, and data may spend 50 ms in sockets.
DRAIN_GRACE_S = 1.05
CUT_SLACK_S = 0.1  # an attempt may time out while the head of its response is on its way
FIRST_POLL_S = 6.0  # a new process that polls the endpoint list has received it at most this long after its start
MALFORMED_CONNECTION_S = 3.0  # the sidecar closes a connection without a valid request within this time
# One malformed connection in ten may stay open for longer, because the rule limits the share of such connections
# and not each connection.
TOLERATED_MALFORMED_DIVISOR = 10
READY_S = 10.0
EXPECTED_EXIT_CODES = ("0", "-9", "-15")
LOG_LINE_LENGTH = 300  # a breach quotes at most this many characters of a log line


class Rule(enum.StrEnum):
    """The rules that the oracle checks.

    The values are stored in saved plans, breaches.json and summary.json.
    """

    LOST = "lost"  # each request has a response by its deadline
    CUT = "cut"  # a response whose head came in time is passed on to its end
    FOREIGN = "foreign"  # the body of a response with status 200 is the one made for its request
    MEMORY = "memory"  # the memory of a sidecar stays below the limit in its configuration
    DUPLICATE = "duplicate"  # a request that may have run is retried or shed only as its class allows
    ATTEMPTS = "attempts"  # a request has at most the configured number of attempts
    DISCONNECTED = "left"  # no attempt begins after the client has disconnected
    ANNOUNCED_TIME = "told"  # upstreams are not told a longer time until the deadline than there is
    DRAIN = "drain"  # no attempt goes to an upstream that is draining or removed
    MALFORMED = "strangers"  # connections without a valid request are closed in time
    COLD = "cold"  # the sidecars together do not overload an upstream that has just started
    CRASH = "crash"  # no process ends by itself or fails to start
    READY = "ready"  # a process is ready in time
    LOG = "log"  # logs contain no traceback, critical message or violated rule


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule, with the time and the evidence."""

    rule: Rule
    at_s: float
    text: str


class Oracle:
    """Checks all rules on the records of one run."""

    def __init__(self, plan: Plan, records: Records, logs: list[Path]) -> None:
        self._plan = plan
        self._records = records
        self._logs = logs
        self._classes = {request_class.name: request_class for request_class in plan.classes}
        self._breaches: list[Breach] = []
        self._attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.request_id].append(attempt)
        self._allowances = Allowances(records)

    def check(self) -> list[Breach]:
        """Return the breaches of all rules in the order in which the checks find them."""
        for request in self._records.requests.values():
            self._check_response(request)
            self._check_body(request)
            self._check_execution(request, self._classes[request.class_name])
            self._check_disconnect(request)
            self._check_announced_time(request)
            self._check_late_bodies(request)
            self._check_late_cut(request)
        self._check_drains()
        self._check_slow_starts()
        self._check_malformed_connections()
        self._check_memory()
        self._check_processes()
        self._check_logs()
        return self._breaches

    def _report(self, rule: Rule, at_s: float, text: str) -> None:
        self._breaches.append(Breach(rule, round(at_s, 3), text))

    def _check_response(self, request: Request) -> None:
        """Check that a request has one final response by its deadline.

        The sidecar may close a reused connection while the client sends a request on it. The client then retries the
        request, so this is a breach only if the sidecar made an attempt for it.
        """
        if request.disconnected_s or self._allowances.allows_missing_response(request):
            return
        if any(attempt.late_head_s for attempt in self._attempts[request.request_id]):
            return  # its response has no deadline once its head has come; see `_check_late_bodies`
        late_s = request.ended_s - request.sent_s - request.deadline_s
        description = f"{request.request_id} {request.class_name}"
        if late_s > LATE_RESPONSE_S + self._allowances.recording_slack_s(request.ended_s):
            text = f"{description}: {request.end}, {late_s:.3f} s after its deadline"
            self._report(Rule.LOST, request.sent_s, text)
            return
        attempts = self._attempts[request.request_id]
        if request.end is End.CLOSED and (attempts or request.new_connection):
            text = (
                f"{description}: connection closed without a response after {request.ended_s - request.sent_s:.3f} s, "
                f"{len(attempts)} attempts, new connection: {request.new_connection}"
            )
            self._report(Rule.LOST, request.sent_s, text)

    def _check_late_bodies(self, request: Request) -> None:
        """Check that the sidecar never gives up a response whose head came in time and whose upstream still writes."""
        if request.disconnected_s or request.end is End.SERVED or self._allowances.allows_missing_response(request):
            return
        if request.end is End.SILENT and self._allowances.recording_slack_s(request.ended_s) > RECORDING_DELAY_S:
            return  # its client gave up during a lag of its process, and may have had bytes to read
        if self._was_reset_by_upstream(request) or any(each.silenced_s for each in self._attempts[request.request_id]):
            return  # its other responses had lost against the one that was passed on
        for attempt in self._timed_attempts(request):
            after_s = attempt.cut_s - attempt.late_head_s
            if self._allowances.allows_cut(request, attempt.cut_s):
                continue  # the process was killed, and the client can tell that the response is incomplete
            if attempt.cut_s and after_s > CUT_SLACK_S + self._attempt_slack_s(request, attempt):
                text = f"{request.request_id}: {request.end}; its response was cut off {after_s:.3f} s after the head"
                self._report(Rule.CUT, attempt.cut_s, text)

    def _check_late_cut(self, request: Request) -> None:
        """Check that the end of a process cuts off no response to a request that was sent late after SIGTERM."""
        is_cut = request.end is End.BROKEN and not request.disconnected_s and not self._was_reset_by_upstream(request)
        if is_cut and self._allowances.was_cut_late(request):
            text = f"{request.request_id}: {request.end}; the end of the process cut off the response to a late request"
            self._report(Rule.CUT, request.ended_s, text)

    def _was_reset_by_upstream(self, request: Request) -> bool:
        """Return whether a response broke at its client when the upstream reset one whose head had come."""
        slack_s = CUT_SLACK_S + self._allowances.recording_slack_s(request.ended_s)
        return request.end is End.BROKEN and any(
            attempt.reset_s and abs(request.ended_s - attempt.reset_s) <= slack_s
            for attempt in self._attempts[request.request_id]
        )

    def _check_body(self, request: Request) -> None:
        if request.foreign_body:
            text = f"{request.request_id}: the response has the body {request.foreign_body!r}"
            self._report(Rule.FOREIGN, request.ended_s, text)

    def _check_memory(self) -> None:
        for peak in self._records.memory_peaks.values():
            if peak.size_mb > self._plan.memory_mb:
                text = f"s{peak.sidecar} used {peak.size_mb:.1f} MB of {self._plan.memory_mb}"
                self._report(Rule.MEMORY, peak.at_s, text)

    def _check_execution(self, request: Request, request_class: RequestClass) -> None:
        """Check that a request that may have run is retried only as its class allows.

        Such a request may be shed only if its class may be repeated at any upstream.
        """
        attempts = self._attempts[request.request_id]
        executed = [attempt for attempt in attempts if attempt.body_complete_s and not attempt.rejected]
        executed.sort(key=lambda attempt: attempt.first_byte_s)
        if self._restarted_before_repeat(request):
            return  # a new process does not know the ids of the old one
        if request_class.effect == "at_most_once" and len(executed) > 1:
            text = f"{request.request_id}: executed by upstreams {[attempt.upstream for attempt in executed]}"
            self._report(Rule.DUPLICATE, executed[1].first_byte_s, text)
        if request_class.effect == "deduplicated":
            for repeated in executed[1:]:
                self._check_deduplication(request, request_class, executed[0], repeated)
        before_repeat = [attempt for attempt in executed if not _is_of_repeat(request, attempt)]
        if before_repeat and not is_repeatable_anywhere(request_class) and request.end is End.REFUSED:
            self._report(Rule.DUPLICATE, request.ended_s, f"{request.request_id}: shed after an upstream had run it")
        if len([attempt for attempt in attempts if not _is_of_repeat(request, attempt)]) > self._plan.max_attempts:
            self._report(Rule.ATTEMPTS, request.sent_s, f"{request.request_id}: {len(attempts)} attempts")

    def _restarted_before_repeat(self, request: Request) -> bool:
        """Return whether the process was started between a request and its repeat under the same id."""
        if not request.repeated_s:
            return False
        last_start_s = self._allowances.last_start_s(request.sidecar, request.repeated_s + READY_S)
        return last_start_s is not None and last_start_s > request.sent_s

    def _check_deduplication(
        self, request: Request, request_class: RequestClass, first: Attempt, repeated: Attempt
    ) -> None:
        """Check that a repeated attempt reaches an upstream that still recognizes the request as a duplicate.

        Upstreams do so within the deduplication window, and within the scope (`group`) of the request class.
        """
        after_s = _latest_write_s(request, repeated) - first.first_byte_s
        window_ms = self._plan.deduplication_window_ms
        have_known_times = not self._allowances.was_frozen(first) and not self._allowances.was_frozen(repeated)
        if have_known_times and after_s > window_ms / 1000 + DEDUPLICATION_SLACK_S:
            text = f"{first.request_id}: repeated after {after_s:.3f} s; the deduplication window is {window_ms} ms"
            self._report(Rule.DUPLICATE, repeated.first_byte_s, text)
        if not _in_same_deduplication_scope(request_class, first, repeated):
            text = f"{first.request_id}: repeated in another {request_class.group}"
            self._report(Rule.DUPLICATE, repeated.first_byte_s, text)

    def _check_disconnect(self, request: Request) -> None:
        """Check that no attempt begins after the client closed its connection."""
        if not request.disconnected_s:
            return
        for attempt in self._timed_attempts(request):
            after_s = attempt.first_byte_s - request.disconnected_s
            if after_s > ATTEMPT_AFTER_DISCONNECT_S + self._attempt_slack_s(request, attempt):
                text = f"{request.request_id}: an attempt began {after_s:.3f} s after its client disconnected"
                self._report(Rule.DISCONNECTED, attempt.first_byte_s, text)

    def _check_announced_time(self, request: Request) -> None:
        """Check that the remaining time announced to an upstream does not exceed the time until the deadline."""
        for attempt in self._timed_attempts(request):
            remaining_s = request.sent_s + request.deadline_s - attempt.first_byte_s
            slack_s = ANNOUNCED_TIME_SLACK_S + self._attempt_slack_s(request, attempt)
            if attempt.announced_remaining_s > remaining_s + slack_s:
                text = (
                    f"{request.request_id}: announced {attempt.announced_remaining_s:.3f} s until its deadline, "
                    f"but {remaining_s:.3f} s were left"
                )
                self._report(Rule.ANNOUNCED_TIME, attempt.first_byte_s, text)

    def _timed_attempts(self, request: Request) -> list[Attempt]:
        """Return the attempts whose first byte has a known time."""
        attempts = [each for each in self._attempts[request.request_id] if not _is_of_repeat(request, each)]
        return [attempt for attempt in attempts if self._has_known_time(attempt)]

    def _has_known_time(self, attempt: Attempt) -> bool:
        return not attempt.queued and not self._allowances.was_frozen(attempt)

    def _attempt_slack_s(self, request: Request, attempt: Attempt) -> float:
        recording_slack_s = self._allowances.recording_slack_s(attempt.first_byte_s)
        return recording_slack_s + self._allowances.stall_slack_s(request, attempt)

    def _check_drains(self) -> None:
        """Check that no attempt goes to an upstream that is draining or removed."""
        changes: dict[tuple[int, int], list[EndpointChange]] = defaultdict(list)
        for change in self._records.endpoint_changes:
            changes[change.sidecar, change.upstream].append(change)
        for attempt in self._records.attempts:
            if self._has_known_time(attempt):
                self._check_drain(attempt, changes[attempt.sidecar, attempt.upstream])

    def _check_drain(self, attempt: Attempt, changes: list[EndpointChange]) -> None:
        known_changes = [change for change in changes if change.known_by_s <= attempt.first_byte_s]
        first = _first_since_active(known_changes)
        if first is None:
            return
        known_by_s = max(first.known_by_s, self._first_poll_s(attempt))
        after_s = attempt.first_byte_s - known_by_s
        if after_s > DRAIN_GRACE_S + self._allowances.recording_slack_s(attempt.first_byte_s):
            text = (
                f"{attempt.request_id}: sent to u{attempt.upstream} {after_s:.3f} s after its status "
                f"{first.status} was known"
            )
            self._report(Rule.DRAIN, attempt.first_byte_s, text)

    def _first_poll_s(self, attempt: Attempt) -> float:
        """Return the latest time at which a new process has polled the endpoint list, or 0 if the list is pushed."""
        started_s = self._allowances.last_start_s(attempt.sidecar, attempt.first_byte_s)
        if started_s is None or self._plan.mode != "on_request":
            return 0.0
        return started_s + FIRST_POLL_S

    def _check_slow_starts(self) -> None:
        """Check that the sidecars together do not overload an upstream that has just started."""
        for overload in slow_start.find_overloads(self._plan, self._records, self._allowances):
            self._report(Rule.COLD, overload.at_s, str(overload))

    def _check_malformed_connections(self) -> None:
        """Check that the sidecar closes connections without a valid request in time, except for a tolerated share."""
        connections = self._records.malformed_connections
        overdue = [connection for connection in connections if self._exceeded_limit(connection)]
        if len(overdue) > max(1, len(connections) // TOLERATED_MALFORMED_DIVISOR):
            text = f"{len(overdue)} of {len(connections)} malformed connections were neither answered nor closed in 3 s"
            self._report(Rule.MALFORMED, overdue[0].connected_s, text)

    def _exceeded_limit(self, connection: MalformedConnection) -> bool:
        if self._allowances.ended_near_connection(connection.sidecar, connection.connected_s):
            return False
        if not connection.closed_s:
            return True
        pause_s = self._allowances.pause_s(connection.sidecar, connection.closed_s)
        limit_s = MALFORMED_CONNECTION_S + self._allowances.recording_slack_s(connection.closed_s) + pause_s
        return connection.closed_s - connection.connected_s > limit_s

    def _check_processes(self) -> None:
        """Check that no process crashes and that each process becomes ready in time."""
        started_s: dict[int, float] = {}
        for event in self._records.process_events:
            if event.kind == ProcessEventKind.START:
                started_s[event.sidecar] = event.at_s
            elif event.kind == ProcessEventKind.READY:
                self._check_ready(event, started_s[event.sidecar])
            elif event.kind in (ProcessEventKind.DIED, ProcessEventKind.NOT_READY):
                self._report(Rule.CRASH, event.at_s, f"s{event.sidecar} {event.kind} {event.detail}")
            elif event.kind == ProcessEventKind.ENDED and event.detail not in EXPECTED_EXIT_CODES:
                self._report(Rule.CRASH, event.at_s, f"s{event.sidecar} ended with exit code {event.detail}")

    def _check_ready(self, event: ProcessEvent, started_s: float) -> None:
        after_s = event.at_s - started_s
        if after_s > READY_S:
            self._report(Rule.READY, event.at_s, f"s{event.sidecar} was ready after {after_s:.1f} s")

    def _check_logs(self) -> None:
        """Check that no log contains a traceback, a critical message or a rule violation that the sidecar found itself.

        At most one line of each log is reported.
        """
        for log in self._logs:
            lines = log.read_text(errors="replace").splitlines() if log.exists() else []
            line = next((line for line in lines if _shows_failure(line)), None)
            if line is not None:
                self._report(Rule.LOG, 0.0, f"{log.parent.name}: {line[:LOG_LINE_LENGTH]}")


def _latest_write_s(request: Request, attempt: Attempt) -> float:
    """Return the latest time at which the sidecar can have written the first byte of an attempt.

    The first byte of one that waited in the backlog is recorded when the upstream accepts its connection. It was
    written while there was as much time to the deadline as the attempt announces.
    """
    if not attempt.queued:
        return attempt.first_byte_s
    return min(attempt.first_byte_s, request.sent_s + request.deadline_s - attempt.announced_remaining_s)


def _is_of_repeat(request: Request, attempt: Attempt) -> bool:
    """Return whether an attempt may belong to the repeat that the client sent under the same id."""
    return bool(request.repeated_s) and attempt.first_byte_s >= request.repeated_s


def _in_same_deduplication_scope(request_class: RequestClass, first: Attempt, repeated: Attempt) -> bool:
    if request_class.group == "cell":
        return cell_of(first.upstream) == cell_of(repeated.upstream)
    return request_class.group == "all" or zone_of(first.upstream) == zone_of(repeated.upstream)


def _first_since_active(changes: list[EndpointChange]) -> EndpointChange | None:
    """Return the change that ended the endpoint's last active status, or None if the endpoint is active."""
    first: EndpointChange | None = None
    for change in reversed(changes):
        if change.status == EndpointStatus.ACTIVE:
            break
        first = change
    return first


def _shows_failure(line: str) -> bool:
    return "Traceback" in line or "rule violated" in line or line.startswith("CRITICAL")
