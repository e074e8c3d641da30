"""The records that a run's clients, upstreams, discovery service and lab write; a simulation writes the same types.

Apart from the experiment and its plan, the checker and the figures read nothing else.

`events.jsonl` has one JSON object per line, in the order of time. `t` is in microseconds from the start of the run, on
the monotonic clock that all processes of a machine share. `e` is the type of the record.

A client call is one request on the wire from a client to its sidecar: the first one, or a retry by the client.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct


class Record(Struct, tag_field="e", omit_defaults=True):
    """The base class of all records."""

    t: int


# The clients


class RequestSent(Record, tag="asked"):
    """A client has sent the last byte of a call. `first_t` is when the request's first call was due to be sent."""

    id: str
    request: str  # the id of the first call, which all calls of the request share
    sidecar: str
    cls: int  # the index of the request class
    tenant: int  # the index of the tenant
    first_t: int
    until_t: int  # the time at which the client timeout of this call expires


class ResponseReceived(Record, tag="answered"):
    """A client has received the last byte of a response."""

    id: str
    sidecar: str
    status: int
    by: str = ""  # the upstream that the response body names
    retry_after_us: int = 0


class SidecarClosedConnection(Record, tag="broke"):
    """The sidecar closed a connection on which a call had no response yet."""

    id: str
    sidecar: str


class IdleCloseRace(Record, tag="crossed"):
    """The sidecar closed an idle connection while the client wrote this call to it.

    The client sends the call again on another connection.
    """

    id: str
    sidecar: str


class ClientTimedOut(Record, tag="gave_up"):
    """A call reached its client timeout without a response."""

    id: str
    sidecar: str


class ClientClosedConnection(Record, tag="quit"):
    """An impatient client closed its connection before the timeout of its call."""

    id: str
    sidecar: str


class UnexpectedBytes(Record, tag="extra"):
    """A client received bytes that belong to no response; `id` is the last call on that connection."""

    id: str
    sidecar: str


class ClientConnectFailed(Record, tag="unreached"):
    """A client failed to connect to the sidecar."""

    id: str
    request: str
    sidecar: str
    cls: int
    tenant: int
    first_t: int


class ClientKilled(Record, tag="vanished"):
    """The client of this call was killed together with its sidecar."""

    id: str
    sidecar: str


class ResponseMissing(Record, tag="silent"):
    """A call got no response, not even a late one within `LATE_ANSWER_WAIT_US` after its client timeout."""

    id: str
    sidecar: str


# The upstreams


class Attempt(Record, tag="attempt"):
    """An upstream has received a complete request.

    Attributes:
        n: The number of the attempt, which identifies it at its upstream.
        id: The id of the client call.
        upstream: The upstream.
        sidecar: The sidecar that sent the attempt.
        began: When the upstream received the first byte.
        work_us: The work of the request on a standard core.
        fresh: Whether the attempt is the first on a new connection.
    """

    n: int
    id: str
    upstream: str
    sidecar: str
    began: int
    work_us: int
    fresh: bool = False


class UpstreamAttemptEnded(Record, tag="ended"):
    """An attempt has ended at its upstream.

    `how` is served, error, turned_away (rejected without running), cancelled (the sidecar closed the connection), reset
    (by a fault) or dropped (the upstream ended, crashed or refused connections).
    """

    n: int
    id: str
    upstream: str
    sidecar: str
    how: str


class AttemptUndelivered(Record, tag="held"):
    """A sidecar wrote a request to a link that is cut, so no upstream has received it."""

    id: str
    upstream: str
    sidecar: str


class UpstreamChanged(Record, tag="machine"):
    """An upstream changed its state because of the plan or its load."""

    upstream: str
    what: str  # a step of `UpstreamPlan`, or fell_over (it crashed from overload)


# Discovery


class ListUpdateSent(Record, tag="told"):
    """The discovery service has written a change of the endpoint list to a sidecar."""

    sidecar: str
    upstream: str
    state: str  # active, leaving, left
    started_us: int = -1  # the start of an upstream that started recently; -1: unknown


class DiscoveryCalled(Record, tag="listed"):
    """A sidecar has called the discovery service."""

    sidecar: str
    what: str  # watch, whole (a call for the whole list), or turned away (the service rejected the call)


# The lab


class ProcessChanged(Record, tag="process"):
    """The process of a sidecar changed.

    `what` is spawned, ready, killed, term (received SIGTERM), ended (as the lab expected), stopped (SIGSTOP),
    continued (SIGCONT) or died (ended unexpectedly).
    """

    sidecar: str
    what: str
    pid: int = 0


class ZoneStateLogged(Record, tag="believed"):
    """A sidecar logged a change of a zone's state. In the lab, `t` is when the lab read the log line."""

    sidecar: str
    zone: str
    before: str  # the state before the change: near, doubted, left or returning
    state: str
    why: str


class LabActionLate(Record, tag="late"):
    """The lab executed one of its own actions late. There is at most one such record per second."""

    worker: str
    by_us: int


class ProcessUsage(Record, tag="usage"):
    """The CPU time that a process has used since its start, and its current memory."""

    process: str
    cpu_s: float
    rss_mb: float


class CpuWaitRole(StrEnum):
    """The kinds of processes whose waits for a CPU core are recorded."""

    SIDECAR = "sidecar"
    CLIENTS = "clients"
    UPSTREAMS = "upstreams"


class CpuWait(Record, tag="cpu_wait"):
    """The time for which a process waited for a CPU core between `since_t` and `t`, although it was ready to run."""

    process: str
    role: CpuWaitRole
    since_t: int
    waited_us: int


AnyRecord = (
    RequestSent
    | ResponseReceived
    | SidecarClosedConnection
    | IdleCloseRace
    | ClientTimedOut
    | ClientClosedConnection
    | UnexpectedBytes
    | ClientConnectFailed
    | ClientKilled
    | ResponseMissing
    | Attempt
    | UpstreamAttemptEnded
    | AttemptUndelivered
    | UpstreamChanged
    | ListUpdateSent
    | DiscoveryCalled
    | ProcessChanged
    | ZoneStateLogged
    | LabActionLate
    | ProcessUsage
    | CpuWait
)

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyRecord)


class Journal:
    """Writes the records of one process to a file, one per line."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("wb", buffering=1 << 18)

    def write(self, record: AnyRecord) -> None:
        """Append a record."""
        self._file.write(_ENCODER.encode(record) + b"\n")

    def close(self) -> None:
        """Flush the buffer and close the file."""
        self._file.close()


def read(path: Path) -> Iterator[AnyRecord]:
    """Yield the records of a file, except a last line that is incomplete because its process was killed."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield _DECODER.decode(line)


def merge(parts: Iterable[Path], whole: Path) -> list[AnyRecord]:
    """Write all records of a run to one file, in the order of time, and return them.

    Args:
        parts: The files of the individual processes.
        whole: The file to write.
    """
    records = sorted((record for part in parts for record in read(part)), key=lambda record: record.t)
    journal = Journal(whole)
    for record in records:
        journal.write(record)
    journal.close()
    return records


def line_of(record: AnyRecord) -> str:
    """Return a record as its line in the file."""
    return _ENCODER.encode(record).decode()
