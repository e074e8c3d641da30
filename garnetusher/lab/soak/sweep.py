"""Makes each system call of the sidecar fail with each error that Linux documents for it.

There are two cases for each error, with one run each: one call fails, or every call fails for 0.3 s. In a run, three
sidecars start under the fault, and the fault is injected again while they serve and while they terminate. The result of
a run is a row of a table.
"""

from __future__ import annotations

import errno
import multiprocessing
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from msgspec import Struct

from garnetusher.lab.soak.plan import (
    BEFORE_START_S,
    CONNECTION_ENDING_ERRORS,
    RESTART_DURATION_S,
    Fault,
    FaultKind,
    Plan,
    RequestClass,
)
from garnetusher.lab.soak.run import BrokenRule, run_plan
from garnetusher.lab.syscall_faults import DOCUMENTED_ERRORS, SHORT_TRANSFER, Call

SIDECARS = 3
SERVICE_FAULT_S = 1.0  # the time in the load at which the fault is injected while the sidecars serve
RELOAD_S = 1.05  # shortly after SERVICE_FAULT_S, so that the sidecars reload under that fault
TERMINATION_FAULT_S = 2.2  # the time in the load at which the fault is injected and the sidecars receive SIGTERM
LOAD_S = 3.6
FAULT_DURATION_S = 0.3
RELOAD_DURATION_S = 0.1
BREACH_LENGTH = 90  # a row quotes at most this many characters of a breach


class Row(Struct, order=True):
    """The result of one case of the sweep."""

    call: str
    error: str
    way: str  # "once" if one call fails, or "0.3 s" if every call fails for that time
    hits: int  # the number of calls that failed in all phases and processes
    requests: int
    broken: list[str]

    def line(self) -> str:
        """Return the row as a line of a Markdown table."""
        rules = "; ".join(self.broken) or "kept"
        return f"| {self.call} | {self.error} | {self.way} | {self.hits} | {self.requests} | {rules} |"


@dataclass(frozen=True, slots=True)
class SweepCase:
    """One error of one system call, and whether one call fails or every call for a time."""

    call: Call
    error: int
    once: bool

    @property
    def error_name(self) -> str:
        """The name of the error in errno, or "short" for a short transfer."""
        return "short" if self.error == SHORT_TRANSFER else errno.errorcode[self.error]

    @property
    def folder_name(self) -> str:
        """The name of the folder for the run of the case."""
        return f"{self.call.name.lower()}-{self.error_name}-{int(self.once)}"

    def plan(self) -> Plan:
        """Return the plan of the run of the case."""
        targets = list(range(SIDECARS))
        reload = Fault(FaultKind.RELOAD, RELOAD_S, RELOAD_DURATION_S, targets)
        restart = Fault(FaultKind.RESTART, TERMINATION_FAULT_S, RESTART_DURATION_S, targets)
        classes = [
            RequestClass("read", "idempotent", 1500),
            RequestClass("publish", "at_most_once", 1000),
            RequestClass("mark", "deduplicated", 1500),
        ]
        return Plan(
            seed=int(self.call) * 1000 + self.error + 1,
            load_s=LOAD_S,
            sidecars=SIDECARS,
            upstreams=4,
            rate_per_s=15.0,
            service_ms=10.0,
            classes=classes,
            faults=[
                self._fault(BEFORE_START_S),
                self._fault(SERVICE_FAULT_S),
                reload,
                self._fault(TERMINATION_FAULT_S),
                restart,
            ],
        )

    def explains(self, breach: BrokenRule) -> bool:
        """Return whether the error is the reason for a breach, which the row then does not report.

        An error that ends clients' connections is the reason for lost requests.
        """
        ends_connections = self.error in CONNECTION_ENDING_ERRORS and self.call in (Call.RECV, Call.SEND)
        return ends_connections and breach.rule == "lost"

    def _fault(self, at_s: float) -> Fault:
        return Fault(
            FaultKind.SYSCALLS,
            at_s,
            FAULT_DURATION_S,
            list(range(SIDECARS)),
            value=0.0 if self.once else 1.0,
            call=int(self.call),
            error=0 if self.error == SHORT_TRANSFER else self.error,
        )


def run_sweep(jobs: int, folder: Path, tree: Path, progress: Callable[[str, float], None]) -> list[Row]:
    """Run the plans of all cases, `jobs` of them in parallel, and return the table."""
    cases = [
        SweepCase(call, error, once)
        for call, errors in DOCUMENTED_ERRORS.items()
        for error in errors
        for once in (True, False)
    ]
    rows: list[Row] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = [pool.submit(_run, case, folder / case.folder_name, tree) for case in cases]
        for future in as_completed(futures):
            rows.append(future.result())
            progress(f"{len(rows)} of {len(cases)} runs completed", len(rows) / len(cases))
    return sorted(rows)


def _run(case: SweepCase, folder: Path, tree: Path) -> Row:
    """Run the plan of one case in a worker process."""
    result = run_plan(case.plan(), folder, tree)
    breach_texts = [f"{breach.rule}: {breach.text}" for breach in result.breaches if not case.explains(breach)]
    return Row(
        case.call.name.lower(),
        case.error_name,
        "once" if case.once else "0.3 s",
        result.failed_calls,
        result.requests,
        [text[:BREACH_LENGTH] for text in breach_texts[:1]],
    )
