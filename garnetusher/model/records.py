"""The records of stand-ins, clients and the lab: the only thing that the checker and the figures read.

One JSON object a line in `events.jsonl`, in the order of time. `t` is microseconds from the start of the run on the
one monotonic clock that all processes of a machine share; `e` names the kind.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import IO

import msgspec
from msgspec import Struct


class Record(Struct, tag_field="e", omit_defaults=True):
    """The base of all records."""

    t: int


# The clients


class Asked(Record, tag="asked"):
    """A try's last byte has gone to the sidecar. `first_t` is when its request was due, whatever came between."""

    id: str
    request: str  # the first try's id: a client's tries belong together
    sidecar: str
    cls: int
    tenant: int
    first_t: int
    until_t: int  # when the client stops waiting for this try


class Answered(Record, tag="answered"):
    """The last byte of an answer has come."""

    id: str
    sidecar: str
    status: int
    by: str = ""  # the upstream that the body names
    retry_after_us: int = 0


class Broke(Record, tag="broke"):
    """The sidecar ended the connection of an open try."""

    id: str
    sidecar: str


class Crossed(Record, tag="crossed"):
    """The sidecar closed an idle connection just as this try was written to it; it is sent once more, elsewhere."""

    id: str
    sidecar: str


class GaveUp(Record, tag="gave_up"):
    """A try's time ran out with no answer."""

    id: str
    sidecar: str


class Quit(Record, tag="quit"):
    """An impatient client has closed its connection."""

    id: str
    sidecar: str


class Extra(Record, tag="extra"):
    """Bytes came that answer nothing; `id` is the last try on that connection."""

    id: str
    sidecar: str


class Unreached(Record, tag="unreached"):
    """No connection to the sidecar came up."""

    id: str
    request: str
    sidecar: str
    cls: int
    tenant: int
    first_t: int


class Vanished(Record, tag="vanished"):
    """The client was killed with its sidecar, and this try with it."""

    id: str
    sidecar: str


class Silent(Record, tag="silent"):
    """The last moment at which a sidecar was waited for: nothing came for this try, long after its time."""

    id: str
    sidecar: str


# The upstreams


class Attempt(Record, tag="attempt"):
    """A request has arrived whole. `n` numbers the attempts of an upstream; `began` is its first byte."""

    n: int
    id: str
    upstream: str
    sidecar: str
    began: int
    work_us: int
    fresh: bool = False  # on a new connection


class Ended(Record, tag="ended"):
    """How an attempt ended: served, error, turned_away, cancelled, reset, dropped."""

    n: int
    id: str
    upstream: str
    sidecar: str
    how: str


class Held(Record, tag="held"):
    """A request was written into a link that is cut: nobody has received it."""

    id: str
    upstream: str
    sidecar: str


class Machine(Record, tag="machine"):
    """An upstream was booted, died, hung, fell over, ... as the plan or its load would have it."""

    upstream: str
    what: str


# The list


class Told(Record, tag="told"):
    """A change of the list has been written to a sidecar."""

    sidecar: str
    upstream: str
    state: str
    started_us: int = -1  # of an upstream that has just started; -1: long ago


class Listed(Record, tag="listed"):
    """A call to the list service."""

    sidecar: str
    what: str  # watch, whole


# The lab


class Process(Record, tag="process"):
    """A sidecar process: spawned, ready, killed, term, ended, stopped, continued, died."""

    sidecar: str
    what: str
    pid: int = 0


class Believed(Record, tag="believed"):
    """A sidecar's log has told that it changed its mind on a zone. In the lab `t` is when its line was read."""

    sidecar: str
    zone: str
    before: str  # near, doubted, left, returning
    state: str
    why: str


class Late(Record, tag="late"):
    """The lab carried out something of its own late; one line a second at most."""

    worker: str
    by_us: int


class Usage(Record, tag="usage"):
    """What a process uses: CPU since its start, memory now."""

    process: str
    cpu_s: float
    rss_mb: float


AnyRecord = (
    Asked
    | Answered
    | Broke
    | Crossed
    | GaveUp
    | Quit
    | Extra
    | Unreached
    | Vanished
    | Silent
    | Attempt
    | Ended
    | Held
    | Machine
    | Told
    | Listed
    | Process
    | Believed
    | Late
    | Usage
)

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyRecord)


class Journal:
    """Writes the records of one process, a line each."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = path.open("wb", buffering=1 << 18)

    def write(self, record: AnyRecord) -> None:
        """Append a record."""
        self._file.write(_ENCODER.encode(record) + b"\n")

    def close(self) -> None:
        """Write what is buffered, and close the file."""
        self._file.close()


def read(path: Path) -> Iterator[AnyRecord]:
    """Yield the records of a file, without a last line that was cut off as its process was killed."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield _DECODER.decode(line)


def merge(parts: Iterable[Path], whole: Path) -> list[AnyRecord]:
    """Write all records of a run to one file, in the order of time, and return them."""
    records = sorted((record for part in parts for record in read(part)), key=lambda record: record.t)
    journal = Journal(whole)
    for record in records:
        journal.write(record)
    journal.close()
    return records


def line_of(record: AnyRecord) -> str:
    """Return a record as it stands in the file."""
    return _ENCODER.encode(record).decode()
