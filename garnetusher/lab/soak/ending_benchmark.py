"""Measures what clients meet at the door while processes end: takeovers and restarts, beside short and long responses.

Each run has one sidecar, whose clients keep a fixed number of connections and use each of them now and then, as the
threads of an application do. Its process ends several times in a row. The oracle checks the rules.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from msgspec import Struct

from garnetusher.lab.soak.allowances import Allowances
from garnetusher.lab.soak.client import ClientConnection, ClientGroup
from garnetusher.lab.soak.plan import Fault, FaultKind, Plan, RequestClass
from garnetusher.lab.soak.records import End, ProcessEvent, ProcessEventKind, Records, Request, now_s
from garnetusher.lab.soak.run import SoakRun
from garnetusher.lab.soak.sidecar_process import SidecarProcess

RATE_PER_S = 60.0  # the sum over all connections
FIRST_ENDING_S = 2.0
ENDING_INTERVAL_S = 6.0  # a takeover takes up to 4 s
LONG_SHARE = 0.3
SERVICE_MS = 20.0
UPSTREAMS = 8
DEADLINES_MS = (1000, 1500, 2000)
AFTER_END_S = 0.2  # a request that ends up to this long after its process met the end of that process


TABLE_HEADER = (
    "| case | endings | requests | cut late | cut early | refused | crossed | unread | failed | other breaches |\n"
    "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
)


class EndingKind(enum.StrEnum):
    """The endings that are played."""

    TAKEOVER = "takeover"
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class EndingCase:
    """One row of the table."""

    kind: EndingKind
    connections: int
    has_long_responses: bool

    @property
    def name(self) -> str:
        """The name in the table."""
        responses = "short and long" if self.has_long_responses else "short"
        return f"{self.kind}, {self.connections} connections, {responses} responses"


CASES = tuple(
    EndingCase(kind, connections, has_long_responses)
    for kind in EndingKind
    for has_long_responses in (False, True)
    for connections in (8, 64, 300)
)


class EndingResult(Struct, frozen=True):
    """What the requests met that were sent between a SIGTERM and the end of the process, summed over all endings.

    Attributes:
        case: the name of the case.
        endings: the number of endings.
        requests: the number of these requests.
        cut_late: responses that SIGKILL cut off, to requests that came late after SIGTERM.
        cut_early: responses that SIGKILL cut off, to requests that came before or soon after SIGTERM.
        refused: requests that were refused.
        crossed: requests that were left unread on a kept connection.
        unread: requests that were left unread on a new connection.
        failed: requests with another status than 200 and 503.
        other_breaches: the number of breaches of other rules than the one on late cuts.
    """

    case: str
    endings: int
    requests: int
    cut_late: int
    cut_early: int
    refused: int
    crossed: int
    unread: int
    failed: int
    other_breaches: int

    @property
    def held(self) -> bool:
        """Whether no rule was broken."""
        return self.cut_late == 0 and self.other_breaches == 0

    def line(self) -> str:
        """Return the result as a line of a Markdown table."""
        columns = (self.cut_late, self.cut_early, self.refused, self.crossed, self.unread, self.failed)
        figures = " | ".join(str(figure) for figure in columns)
        return f"| {self.case} | {self.endings} | {self.requests} | {figures} | {self.other_breaches} |"


class KeptConnections(ClientGroup):
    """Clients that keep a number of connections, and open another one where the sidecar has closed one."""

    connections = 0

    async def run(self, ends_s: float) -> None:
        """Use each connection now and then until a given time, and then wait for the last responses."""
        await asyncio.gather(*(self._use_connection(number, ends_s) for number in range(self.connections)))

    async def _use_connection(self, number: int, ends_s: float) -> None:
        connection: ClientConnection | None = None
        sent = 0
        while True:
            await asyncio.sleep(self._random.expovariate(RATE_PER_S / self.connections))
            if now_s() >= ends_s:
                break
            if connection is not None and connection.is_closed:
                connection = None  # a pool of connections notices a close that came before its request
            sent += 1
            request_class = self._random.choice(self._plan.classes)
            is_reused = connection is not None
            request = await self._exchange(f"c{number}-{sent}", request_class, connection)
            if request is not None and request.end is End.CLOSED and is_reused:
                await self._exchange(f"c{number}-{sent}-again", request_class, None)
            connection = self._idle.pop() if self._idle else None
        if connection is not None:
            connection.abort()

    def _may_keep_idle(self) -> bool:
        return True


class EndingRun(SoakRun):
    """A run of one sidecar whose process ends several times."""

    def __init__(self, plan: Plan, folder: Path, tree: Path, case: EndingCase) -> None:
        super().__init__(plan, folder, tree)
        self._case = case

    def _make_clients(self, sidecar: SidecarProcess) -> ClientGroup:
        clients = KeptConnections(sidecar.number, sidecar.address, self.plan, self.records, sidecar.save_trace)
        clients.connections = self._case.connections
        return clients

    async def run_and_measure(self) -> EndingResult:
        """Run the plan and return what it measured.

        Raises:
            LabError: The sidecar does not become ready at the start.
        """
        breaches = await self.run()
        allowances = Allowances(self.records)
        requests = [request for request in self.records.requests.values() if _meets_ending(request, self.records)]
        attempted = {attempt.request_id for attempt in self.records.attempts}
        broken = [request for request in requests if request.end is End.BROKEN]
        cut_late = [request for request in broken if allowances.was_cut_late(request)]
        closed = [request for request in requests if request.end is End.CLOSED and request.request_id not in attempted]
        late_cut_ids = {request.request_id for request in cut_late}
        other_breaches = [breach for breach in breaches if breach.text.split(":")[0] not in late_cut_ids]
        return EndingResult(
            self._case.name,
            sum(event.kind == ProcessEventKind.TERMINATE for event in self.records.process_events),
            len(requests),
            len(cut_late),
            len(broken) - len(cut_late),
            _count(requests, End.REFUSED),
            sum(not request.new_connection for request in closed),
            sum(request.new_connection for request in closed),
            _count(requests, End.FAILED),
            len(other_breaches),
        )


def _count(requests: Sequence[Request], end: End) -> int:
    return sum(request.end is end for request in requests)


def _meets_ending(request: Request, records: Records) -> bool:
    """Return whether a request was open or sent between a SIGTERM and the end of the process."""
    terminate: ProcessEvent | None = None
    for event in records.process_events:
        if event.kind == ProcessEventKind.TERMINATE:
            terminate = event
        elif event.kind == ProcessEventKind.ENDED and terminate is not None:
            if request.sent_s <= event.at_s and request.ended_s >= terminate.at_s:
                return request.sent_s >= terminate.at_s or abs(request.ended_s - event.at_s) <= AFTER_END_S
            terminate = None
    return False


def plan_for_case(case: EndingCase, endings: int, seed: int) -> Plan:
    """Return the plan of a case with a number of endings."""
    classes = [
        RequestClass("read", "idempotent", DEADLINES_MS[0]),
        RequestClass("look", "idempotent", DEADLINES_MS[1]),
        RequestClass("publish", "at_most_once", DEADLINES_MS[2]),
    ]
    kind = FaultKind.TAKEOVER if case.kind is EndingKind.TAKEOVER else FaultKind.RESTART
    faults = [
        Fault(kind, FIRST_ENDING_S + number * ENDING_INTERVAL_S, ENDING_INTERVAL_S, [0]) for number in range(endings)
    ]
    load_s = FIRST_ENDING_S + endings * ENDING_INTERVAL_S
    if case.has_long_responses:
        faults.append(Fault(FaultKind.LONG_RESPONSES, 0.0, load_s, list(range(UPSTREAMS)), LONG_SHARE))
    return Plan(
        seed,
        load_s,
        sidecars=1,
        upstreams=UPSTREAMS,
        rate_per_s=RATE_PER_S,
        service_ms=SERVICE_MS,
        classes=classes,
        faults=faults,
        memory_mb=192,
        descriptors=1024,
    )


def measure(case: EndingCase, endings: int, folder: Path, tree: Path) -> EndingResult:
    """Run one case; the folder gets the logs."""
    folder.mkdir(parents=True, exist_ok=True)
    plan = plan_for_case(case, endings, CASES.index(case) + 1)
    return asyncio.run(EndingRun(plan, folder, tree, case).run_and_measure())
