"""Fails each system call of the sidecar with each error that Linux documents for it.

There is one run for an error and a way (once, or every call for 0.3 s): three sidecars start under the fault, meet it
while they serve, and meet it again while they end. Its result is a row of a table.
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
    RESTART_S,
    Fault,
    FaultKind,
    Plan,
    RequestClass,
)
from garnetusher.lab.soak.run import BrokenRule, run_plan
from garnetusher.lab.syscall_faults import DOCUMENTED, SHORT_TRANSFER, Call

SIDECARS = 3
SERVICE_FAULT_S = 1.0  # when the fault strikes sidecars that serve
RELOAD_S = 1.05
END_FAULT_S = 2.2  # when it strikes sidecars that are told to end
LOAD_S = 3.6
FAULT_DURATION_S = 0.3
RELOAD_DURATION_S = 0.1
BREACH_LENGTH = 90  # of a breach that is reported


class Row(Struct, order=True):
    """What one error gave."""

    call: str
    error: str
    way: str  # "once" or "0.3 s"
    hits: int  # calls that failed, in all phases and processes
    requests: int
    broken: list[str]

    def line(self) -> str:
        """Return the row as a line of a Markdown table."""
        rules = "; ".join(self.broken) or "kept"
        return f"| {self.call} | {self.error} | {self.way} | {self.hits} | {self.requests} | {rules} |"


@dataclass(frozen=True, slots=True)
class SyscallError:
    """One error of one system call, and whether it strikes once or for a time."""

    call: Call
    error: int
    once: bool

    @property
    def error_name(self) -> str:
        """The error as errno names it."""
        return "short" if self.error == SHORT_TRANSFER else errno.errorcode[self.error]

    @property
    def folder_name(self) -> str:
        """The folder of the error's run."""
        return f"{self.call.name.lower()}-{self.error_name}-{int(self.once)}"

    def plan(self) -> Plan:
        """Return the plan of the error's run."""
        targets = list(range(SIDECARS))
        reload = Fault(FaultKind.RELOAD, RELOAD_S, RELOAD_DURATION_S, targets)
        restart = Fault(FaultKind.RESTART, END_FAULT_S, RESTART_S, targets)
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
                self._fault(END_FAULT_S),
                restart,
            ],
        )

    def excuses(self, broken: BrokenRule) -> bool:
        """Return whether the error explains a lost request: it ends clients' connections too."""
        ends_connections = self.error in CONNECTION_ENDING_ERRORS and self.call in (Call.RECV, Call.SEND)
        return ends_connections and broken.rule == "lost"

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


def sweep(jobs: int, folder: Path, tree: Path, progress: Callable[[str, float], None]) -> list[Row]:
    """Run all errors, `jobs` at once, and return the table."""
    errors = [
        SyscallError(call, error, once)
        for call, errors in DOCUMENTED.items()
        for error in errors
        for once in (True, False)
    ]
    rows: list[Row] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = [pool.submit(_run, error, folder / error.folder_name, tree) for error in errors]
        for future in as_completed(futures):
            rows.append(future.result())
            progress(f"{len(rows)} of {len(errors)} played", len(rows) / len(errors))
    return sorted(rows)


def _run(error: SyscallError, folder: Path, tree: Path) -> Row:
    """Run the plan of one error; called in a process of its own."""
    result = run_plan(error.plan(), folder, tree)
    broken = [f"{broken.rule}: {broken.text}" for broken in result.breaches if not error.excuses(broken)]
    return Row(
        error.call.name.lower(),
        error.error_name,
        "once" if error.once else "0.3 s",
        result.failed_calls,
        result.requests,
        [text[:BREACH_LENGTH] for text in broken[:1]],
    )
