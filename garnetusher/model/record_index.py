"""Indexes the records of a run by request, upstream and sidecar for the checker."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan
from garnetusher.model.records import (
    AnyRecord,
    Attempt,
    AttemptUndelivered,
    ClientConnectFailed,
    ClientTimedOut,
    CpuWait,
    CpuWaitRole,
    ListUpdateSent,
    ProcessChanged,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    SidecarClosedConnection,
    UnexpectedBytes,
    UpstreamAttemptEnded,
    UpstreamChanged,
    line_of,
)

CATCH_UP_US = 300_000  # for this long after a halt (a kill or a stop), late responses are attributed to the halt
LINK_SETTLE_US = 1_000_000  # the time for connections to be established again after a fault of links or processes
NEVER_US = 1 << 62  # later than any record

# Faults during which an attempt may leave no record at an upstream.
FAULTS_WITH_MISSING_RECORDS = frozenset({"cut", "silent", "refuse", "kill", "stop", "loss", "restart"})

Interval = tuple[int, int]
"""The first and the last microsecond of an interval, both inclusive."""


class RecordIndex:
    """The records of one run by client call, upstream and sidecar.

    Client calls, not requests, are the keys, because each call gets its own response.
    """

    def __init__(self, experiment: Experiment, plan: Plan, records: Iterable[AnyRecord]) -> None:
        self.experiment = experiment
        self.calls: dict[str, RequestSent] = {}
        self.unconnected_calls: set[str] = set()
        self.responses: dict[str, list[AnyRecord]] = defaultdict(list)  # what clients received, or missed, by call
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        self.undelivered: dict[str, list[AttemptUndelivered]] = defaultdict(list)
        self.ends: dict[tuple[str, int], UpstreamAttemptEnded] = {}  # the key: upstream, attempt number
        self.list_updates: dict[tuple[str, str], list[ListUpdateSent]] = defaultdict(list)  # the key: sidecar, upstream
        self.upstream_changes: dict[str, list[UpstreamChanged]] = defaultdict(list)
        self.process_changes: dict[str, list[ProcessChanged]] = defaultdict(list)
        self._cpu_waits: dict[tuple[CpuWaitRole, str], list[CpuWait]] = defaultdict(list)  # the key: role, process
        for record in records:
            if isinstance(record, CpuWait):
                self._cpu_waits[record.role, record.process].append(record)
            else:
                self._add(record)
        self._halts = {name: _halts(changes) for name, changes in self.process_changes.items()}
        self._missing_record_intervals = _intervals_with_missing_records(plan)
        self._zones = {sidecar.name: sidecar.zone for sidecar in plan.sidecars}
        self._zones |= {upstream.uid: upstream.zone for upstream in plan.upstreams}

    def _add(self, record: AnyRecord) -> None:
        match record:
            case RequestSent():
                self.calls[record.id] = record
            case ClientConnectFailed():
                self.unconnected_calls.add(record.id)
            case Attempt():
                self.attempts[record.id].append(record)
            case UpstreamAttemptEnded():
                self.ends[record.upstream, record.n] = record
            case AttemptUndelivered():
                self.undelivered[record.id].append(record)
            case ListUpdateSent():
                self.list_updates[record.sidecar, record.upstream].append(record)
            case UpstreamChanged():
                self.upstream_changes[record.upstream].append(record)
            case ProcessChanged():
                self.process_changes[record.sidecar].append(record)
            case (
                ResponseReceived()
                | SidecarClosedConnection()
                | UnexpectedBytes()
                | ResponseMissing()
                | ClientTimedOut()
            ):
                self.responses[record.id].append(record)
            case _:
                pass  # no rule needs the other types of records

    def end_of(self, attempt: Attempt) -> UpstreamAttemptEnded | None:
        """Return the record of an attempt's end, or None if there is none."""
        return self.ends.get((attempt.upstream, attempt.n))

    def end_us(self, attempt: Attempt) -> int:
        """Return when an attempt ended, or `NEVER_US` if no record states it."""
        end = self.end_of(attempt)
        return end.t if end is not None else NEVER_US

    def longest_transit_us(self, attempt: Attempt) -> int:
        """Return the longest possible transit time of an attempt's first byte on the link."""
        topology = self.experiment.topology
        transit_ms = topology.one_way_ms(self._zones[attempt.sidecar], self._zones[attempt.upstream])
        return int(transit_ms * (1 + topology.jitter) * 1000)

    def was_halted(self, sidecar: str, from_us: int, to_us: int) -> bool:
        """Return whether a kill or a stop by the run, with the time to catch up, overlaps an interval."""
        return _any_overlap(self._halts.get(sidecar, []), from_us, to_us)

    def cpu_wait_us(self, sidecar: str, from_us: int, to_us: int) -> int:
        """Return how long a sidecar and the lab waited for CPU cores in an interval.

        The lab's part is the longest wait of a process that runs clients, and that of one that runs upstreams.
        """
        longest_us: dict[CpuWaitRole, int] = defaultdict(int)
        for (role, process), waits in self._cpu_waits.items():
            if role is CpuWaitRole.SIDECAR and process != sidecar:
                continue
            waited_us = sum(wait.waited_us for wait in waits if wait.since_t <= to_us and from_us <= wait.t)
            longest_us[role] = max(longest_us[role], waited_us)
        return sum(longest_us.values())

    def may_lack_record(self, from_us: int, to_us: int) -> bool:
        """Return whether an attempt within an interval may have left no record at an upstream."""
        return _any_overlap(self._missing_record_intervals, from_us, to_us)

    def evidence(self, call_id: str, *others: AnyRecord) -> list[str]:
        """Return the lines of all records of a client call, and of other records, in the order of time."""
        records: list[AnyRecord] = []
        if call_id in self.calls:
            records.append(self.calls[call_id])
        for attempt in self.attempts.get(call_id, []):
            records.append(attempt)
            end = self.end_of(attempt)
            if end is not None:
                records.append(end)
        records += self.responses.get(call_id, [])
        records += [record for record in others if record not in records]
        return lines_of(records)


def lines_of(records: Iterable[AnyRecord]) -> list[str]:
    """Return records as their lines in the file, in the order of time."""
    return [line_of(record) for record in sorted(records, key=lambda record: record.t)]


def _any_overlap(intervals: Iterable[Interval], from_us: int, to_us: int) -> bool:
    return any(begin_us <= to_us and from_us <= end_us for begin_us, end_us in intervals)


def _halts(changes: Iterable[ProcessChanged]) -> list[Interval]:
    """Return the intervals from each kill or stop of a sidecar until it runs again and has caught up."""
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


def _intervals_with_missing_records(plan: Plan) -> list[Interval]:
    return [
        (span.at_us, span.until_us + LINK_SETTLE_US) for span in plan.spans if span.what in FAULTS_WITH_MISSING_RECORDS
    ]
