"""The records of a run, indexed by what they are about, for the checker."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan
from garnetusher.model.records import (
    Answered,
    AnyRecord,
    Asked,
    Attempt,
    Broke,
    Ended,
    Extra,
    GaveUp,
    Held,
    Machine,
    Process,
    Silent,
    Told,
    Unreached,
    line_of,
)

CATCH_UP_US = 300_000  # what a process still answers late after it could not run; says nothing of its decisions
LINK_SETTLE_US = 1_000_000  # after the end of a fault of links or processes, while connections come up again
NEVER_US = 1 << 62  # later than any record

# Faults during which an attempt may leave no trace at an upstream.
FAULTS_WITHOUT_TRACE = frozenset({"cut", "silent", "refuse", "kill", "stop", "loss", "restart"})

Interval = tuple[int, int]
"""The first and the last microsecond of a span of time."""


class RecordIndex:
    """The records of one run by request, upstream and sidecar.

    Requests are keyed by the id of the client's try, as each try gets an answer of its own.
    """

    def __init__(self, experiment: Experiment, plan: Plan, records: Iterable[AnyRecord]) -> None:
        self.experiment = experiment
        self.asked: dict[str, Asked] = {}
        self.unreached: set[str] = set()
        self.responses: dict[str, list[AnyRecord]] = defaultdict(list)  # Answered, Broke, Extra, Silent, GaveUp
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        self.held: dict[str, list[Held]] = defaultdict(list)
        self.ends: dict[tuple[str, int], Ended] = {}  # by upstream and the attempt's number
        self.list_updates: dict[tuple[str, str], list[Told]] = defaultdict(list)  # by sidecar and upstream
        self.machines: dict[str, list[Machine]] = defaultdict(list)
        self.processes: dict[str, list[Process]] = defaultdict(list)
        for record in records:
            self._add(record)
        self._halts = {name: _halts(changes) for name, changes in self.processes.items()}
        self._without_trace = _intervals_without_trace(plan)
        self._zones = {sidecar.name: sidecar.zone for sidecar in plan.sidecars}
        self._zones |= {upstream.uid: upstream.zone for upstream in plan.upstreams}

    def _add(self, record: AnyRecord) -> None:
        match record:
            case Asked():
                self.asked[record.id] = record
            case Unreached():
                self.unreached.add(record.id)
            case Attempt():
                self.attempts[record.id].append(record)
            case Ended():
                self.ends[record.upstream, record.n] = record
            case Held():
                self.held[record.id].append(record)
            case Told():
                self.list_updates[record.sidecar, record.upstream].append(record)
            case Machine():
                self.machines[record.upstream].append(record)
            case Process():
                self.processes[record.sidecar].append(record)
            case Answered() | Broke() | Extra() | Silent() | GaveUp():
                self.responses[record.id].append(record)
            case _:
                pass  # no rule is about the others

    def end_of(self, attempt: Attempt) -> Ended | None:
        """Return how an attempt ended, or None if nothing tells."""
        return self.ends.get((attempt.upstream, attempt.n))

    def end_us(self, attempt: Attempt) -> int:
        """Return when an attempt ended, or `NEVER_US` if nothing tells."""
        end = self.end_of(attempt)
        return end.t if end is not None else NEVER_US

    def longest_transit_us(self, attempt: Attempt) -> int:
        """Return the longest time that an attempt's first byte can have spent on the link."""
        topology = self.experiment.topology
        transit_ms = topology.one_way_ms(self._zones[attempt.sidecar], self._zones[attempt.upstream])
        return int(transit_ms * (1 + topology.jitter) * 1000)

    def was_halted(self, sidecar: str, from_us: int, to_us: int) -> bool:
        """Tell whether the run kept a sidecar from running, or ended it, at any time of an interval."""
        return _any_overlap(self._halts.get(sidecar, []), from_us, to_us)

    def may_lack_trace(self, from_us: int, to_us: int) -> bool:
        """Tell whether an attempt within an interval may have left no trace at an upstream."""
        return _any_overlap(self._without_trace, from_us, to_us)

    def evidence(self, request_id: str, *others: AnyRecord) -> list[str]:
        """Return the lines of all that is known of a try, and of other records, in the order of time."""
        records: list[AnyRecord] = []
        if request_id in self.asked:
            records.append(self.asked[request_id])
        for attempt in self.attempts.get(request_id, []):
            records.append(attempt)
            end = self.end_of(attempt)
            if end is not None:
                records.append(end)
        records += self.responses.get(request_id, [])
        records += [record for record in others if record not in records]
        return lines_of(records)


def lines_of(records: Iterable[AnyRecord]) -> list[str]:
    """Return records as they stand in the file, in the order of time."""
    return [line_of(record) for record in sorted(records, key=lambda record: record.t)]


def _any_overlap(intervals: Iterable[Interval], from_us: int, to_us: int) -> bool:
    return any(begin_us <= to_us and from_us <= end_us for begin_us, end_us in intervals)


def _halts(changes: Iterable[Process]) -> list[Interval]:
    """Return when a sidecar was killed or stopped, each until it runs again and has caught up."""
    halts: list[Interval] = []
    since_us: int | None = None
    for change in changes:
        if change.what in ("killed", "stopped"):
            since_us = change.t
        elif change.what in ("continued", "spawned") and since_us is not None:
            halts.append((since_us, change.t + CATCH_UP_US))
            since_us = None
    if since_us is not None:
        halts.append((since_us, NEVER_US))
    return halts


def _intervals_without_trace(plan: Plan) -> list[Interval]:
    return [(span.at_us, span.until_us + LINK_SETTLE_US) for span in plan.spans if span.what in FAULTS_WITHOUT_TRACE]
