"""The rules of the protocol page and of its stricter terms, judged by what the stand-ins wrote down."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from garnetusher.lab.soak.plan import Class, Plan
from garnetusher.lab.soak.records import Attempt, Change, End, Records, Request

LATE_S = 0.5  # an answer may be so late and only earns nothing
LEFT_S = 0.1  # an attempt may begin so long after its client closed
HELD_S = 0.15  # a process may be held up for so long between its look at the clock and its write
TOLD_SLACK_S = 0.15  # of the time told to an upstream
WINDOW_SLACK_S = 0.2  # a hold-up of 0.15 s between the look and the write, and 50 ms that sockets have
DRAIN_S = 1.05  # after it is told, and the 50 ms that sockets have
NEW_AFTER_TERM_S = 0.45  # new connections come for up to 0.4 s after SIGTERM; what comes later meets a closed address
ASKED_S = 6.0  # after discovery can be reached, a change counts as told at the latest
UNANSWERED_AFTER_TERM_S = 0.7  # what comes later than this after SIGTERM may be found unanswered by SIGKILL
STRANGER_S = 3.0
READY_S = 10.0
STAND_INS_S = 0.06  # the stand-ins share one process: so much is theirs, and any lag of theirs that was seen


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule, with what shows it."""

    rule: str
    at_s: float
    text: str


class Judge:
    """One play."""

    def __init__(self, plan: Plan, records: Records, logs: list[Path]) -> None:
        self.plan, self.records, self.logs = plan, records, logs
        self.classes = {kind.name: kind for kind in plan.classes}
        self.found: list[Breach] = []
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in records.attempts:
            self.attempts[attempt.ident].append(attempt)
        self.stops = self._spans("stop", "continue")

    def judge(self) -> list[Breach]:
        for request in self.records.requests.values():
            self._answered(request)
            self._ran(request, self.classes[request.kind])
            self._left(request)
            self._told(request)
        self._drained()
        self._strangers()
        self._processes()
        return self.found

    def breach(self, rule: str, at_s: float, text: str) -> None:
        self.found.append(Breach(rule, round(at_s, 3), text))

    def _spans(self, begin: str, end: str) -> dict[int, list[tuple[float, float]]]:
        spans: dict[int, list[tuple[float, float]]] = defaultdict(list)
        open_s: dict[int, float] = {}
        for step in self.records.steps:
            if step.what == begin:
                open_s[step.sidecar] = step.at_s
            elif step.what == end and step.sidecar in open_s:
                spans[step.sidecar].append((open_s.pop(step.sidecar), step.at_s))
        return spans

    def _slack_s(self, at_s: float) -> float:
        """How late the stand-ins may have seen what they dated so: by their own lateness, which ended just then."""
        lags = [lag for ended_s, lag in self.records.lags if ended_s - lag <= at_s <= ended_s + STAND_INS_S]
        return STAND_INS_S + max(lags, default=0.0)

    def _held_s(self, request: Request, attempt: Attempt) -> float:
        """How much longer a process was held up than it may be between its look at the clock and its write, if that can
        explain the attempt: a stop that began after its request was there, and ended as the attempt was written."""
        stops = [
            end_s - start_s
            for start_s, end_s in self.stops[attempt.sidecar]
            if request.sent_s <= start_s and end_s <= attempt.first_byte_s <= end_s + STAND_INS_S
        ]
        return max(0.0, max(stops, default=0.0) - HELD_S)

    def _stopped_at(self, sidecar: int, at_s: float) -> float:
        """How long a stop lasted that a moment lies in, or just behind."""
        return max((end - start for start, end in self.stops[sidecar] if start <= at_s <= end + 0.05), default=0.0)

    def _excused(self, request: Request) -> bool:
        """Its process was killed under it, or told to end so long before that SIGKILL may find it."""
        for step in self.records.steps:
            if step.sidecar != request.sidecar:
                continue
            if step.what == "kill" and request.sent_s - 0.3 <= step.at_s <= request.ended_s + 0.1:
                return True
            if (
                step.what == "term"
                and step.at_s + UNANSWERED_AFTER_TERM_S < request.sent_s < step.at_s + 5.0
                and request.end in (End.CLOSED, End.SILENT)
            ):
                return True
            if (
                step.what == "term"
                and request.new_connection
                and request.end is End.CLOSED
                and step.at_s + NEW_AFTER_TERM_S < request.sent_s < step.at_s + 5.0
            ):
                return True
        return False

    def _answered(self, request: Request) -> None:
        """One final answer by the deadline. What was closed in the moment it was sent is the client's to repeat,
        unless something was sent on for it."""
        if request.left_s or self._excused(request):
            return
        late_s = request.ended_s - request.sent_s - request.deadline_s
        if request.end is End.SILENT or late_s > LATE_S + self._slack_s(request.ended_s):
            self.breach(
                "lost",
                request.sent_s,
                f"{request.ident} {request.kind}: {request.end} after its time and {late_s:.3f} s",
            )
        elif request.end is End.CLOSED and (self.attempts[request.ident] or request.new_connection):
            self.breach(
                "lost",
                request.sent_s,
                f"{request.ident} {request.kind}: its connection was closed with no "
                f"answer after {request.ended_s - request.sent_s:.3f} s, "
                f"{len(self.attempts[request.ident])} attempts, new={request.new_connection}",
            )

    def _ran(self, request: Request, kind: Class) -> None:
        """Each effect once: what may have run is repeated only as its class allows, and never called refused."""
        ran = [a for a in self.attempts[request.ident] if a.whole_s and not a.turned_away]
        ran.sort(key=lambda attempt: attempt.first_byte_s)
        if kind.effect == "at_most_once" and len(ran) > 1:
            self.breach(
                "duplicate", ran[1].first_byte_s, f"{request.ident}: ran at upstreams {[a.upstream for a in ran]}"
            )
        if kind.effect == "deduplicated" and len(ran) > 1:
            first = ran[0]
            for other in ran[1:]:
                after_s = other.first_byte_s - first.first_byte_s
                if after_s > self.plan.memory_ms / 1000 + WINDOW_SLACK_S:
                    self.breach(
                        "duplicate",
                        other.first_byte_s,
                        f"{request.ident}: repeated after {after_s:.3f} s, the memory is {self.plan.memory_ms} ms",
                    )
                if not self._mates(kind, first, other):
                    self.breach("duplicate", other.first_byte_s, f"{request.ident}: repeated outside its {kind.group}")
        harmless = kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.group == "all")
        if ran and not harmless and request.end is End.REFUSED:
            self.breach("duplicate", request.ended_s, f"{request.ident}: refused though it had run")
        if len(self.attempts[request.ident]) > self.plan.max_attempts:
            self.breach("attempts", request.sent_s, f"{request.ident}: {len(self.attempts[request.ident])} attempts")

    def _mates(self, kind: Class, first: Attempt, other: Attempt) -> bool:
        cells = first.upstream // 2, other.upstream // 2
        if kind.group == "cell":
            return cells[0] == cells[1]
        return kind.group == "all" or cells[0] % 2 == cells[1] % 2

    def _left(self, request: Request) -> None:
        """Nothing begins for a client that has closed."""
        if not request.left_s:
            return
        for attempt in self._dated(request):
            after_s = attempt.first_byte_s - request.left_s
            if after_s > LEFT_S + self._slack_s(attempt.first_byte_s) + self._held_s(request, attempt):
                self.breach(
                    "left",
                    attempt.first_byte_s,
                    f"{request.ident}: an attempt began {after_s:.3f} s after its client closed",
                )

    def _dated(self, request: Request) -> list[Attempt]:
        """Its attempts of which it is known when they were written."""
        return [attempt for attempt in self.attempts[request.ident] if not attempt.queued]

    def _told(self, request: Request) -> None:
        """The time told is what the client has left."""
        for attempt in self._dated(request):
            left_s = request.sent_s + request.deadline_s - attempt.first_byte_s
            slack_s = TOLD_SLACK_S + self._slack_s(attempt.first_byte_s) + self._held_s(request, attempt)
            if attempt.told_s > left_s + slack_s:
                self.breach(
                    "told",
                    attempt.first_byte_s,
                    f"{request.ident}: told {attempt.told_s:.3f} s with {left_s:.3f} s left",
                )

    def _drained(self) -> None:
        """Nothing new to an upstream that drains or is gone."""
        changes: dict[tuple[int, int], list[Change]] = defaultdict(list)
        for change in self.records.changes:
            changes[change.sidecar, change.upstream].append(change)
        for attempt in self.records.attempts:
            told = [c for c in changes[attempt.sidecar, attempt.upstream] if c.told_s <= attempt.first_byte_s]
            if attempt.queued or not told or told[-1].state == "active":
                continue
            first = told[-1]
            for change in reversed(told):
                if change.state == "active":
                    break
                first = change
            after_s = attempt.first_byte_s - max(first.told_s, self._asks_by(attempt))
            if after_s > DRAIN_S + self._slack_s(attempt.first_byte_s):
                self.breach(
                    "drain",
                    attempt.first_byte_s,
                    f"{attempt.ident}: sent to u{attempt.upstream} {after_s:.3f} s after {first.state} was told",
                )

    def _asks_by(self, attempt: Attempt) -> float:
        """Where the list has to be asked for, a new process counts as told only once it has had time to ask."""
        starts = [
            step.at_s
            for step in self.records.steps
            if step.sidecar == attempt.sidecar and step.what == "start" and step.at_s <= attempt.first_byte_s
        ]
        return starts[-1] + ASKED_S if starts and self.plan.mode == "on_request" else 0.0

    def _strangers(self) -> None:
        """Who sends no proper request gets an end in time; it is a share that is priced, so a few may miss it."""
        missed = [
            s
            for s in self.records.strangers
            if not s[2] or s[2] - s[1] > STRANGER_S + STAND_INS_S + self._stopped_at(s[0], s[2])
        ]
        missed = [s for s in missed if not self._ended_under(s[0], s[1])]
        if len(missed) > max(1, len(self.records.strangers) // 10):
            self.breach("strangers", missed[0][1], f"{len(missed)} of {len(self.records.strangers)} got no end in 3 s")

    def _ended_under(self, sidecar: int, came_s: float) -> bool:
        ends = [step.at_s for step in self.records.steps if step.sidecar == sidecar and step.what in ("kill", "term")]
        return any(came_s - 5.0 <= at_s <= came_s + 4.0 for at_s in ends)

    def _processes(self) -> None:
        """No crash, ready in time, and nothing in a log that should not be."""
        started: dict[int, float] = {}
        for step in self.records.steps:
            if step.what == "start":
                started[step.sidecar] = step.at_s
            elif step.what in ("died", "not ready"):
                self.breach("crash", step.at_s, f"s{step.sidecar} {step.what} {step.detail}")
            elif step.what == "ready" and step.at_s - started[step.sidecar] > READY_S:
                after_s = step.at_s - started[step.sidecar]
                self.breach("ready", step.at_s, f"s{step.sidecar} was ready after {after_s:.1f} s")
            elif step.what == "ended" and step.detail not in ("0", "-9", "-15"):
                self.breach("crash", step.at_s, f"s{step.sidecar} ended with {step.detail}")
        for log in self.logs:
            for line in log.read_text(errors="replace").splitlines() if log.exists() else []:
                if "Traceback" in line or "rule violated" in line or line.startswith("CRITICAL"):
                    self.breach("log", 0.0, f"{log.parent.name}: {line[:300]}")
                    break
