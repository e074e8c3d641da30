"""Each system call of the sidecar with each error that Linux documents for it: at the start, in service, at the end.

One play for an error and a way (once, or every call for 0.3 s): three sidecars start under it, meet it in service, and
meet it again while they end. What it gave is a row of a table.
"""

from __future__ import annotations

import errno
import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from msgspec import Struct

from garnetusher.lab.soak.plan import BEFORE_START_S, ENDS_CONNECTIONS, Class, Plan, Trouble
from garnetusher.lab.soak.run import play
from garnetusher.lab.syscall_faults import DOCUMENTED, SHORT_TRANSFER, Call

SIDECARS = 3
SERVICE_S = 1.0  # when the error strikes in service
END_S = 2.2  # and when the processes are told to end
LAST_S = 3.6
FOR_S = 0.3


class Row(Struct, order=True):
    """What one error gave."""

    call: str
    error: str
    way: str  # "once" or "0.3 s"
    hits: int  # calls that failed, in all phases and processes
    requests: int
    broken: list[str]

    def line(self) -> str:
        """Of a Markdown table."""
        rules = "; ".join(self.broken) or "kept"
        return f"| {self.call} | {self.error} | {self.way} | {self.hits} | {self.requests} | {rules} |"


def name_of(error: int) -> str:
    return "short" if error == SHORT_TRANSFER else errno.errorcode[error]


def plan_of(call: Call, error: int, once: bool) -> Plan:
    """The play of one error."""
    all_of_them = list(range(SIDECARS))
    strike = {"call": int(call), "error": 0 if error == SHORT_TRANSFER else error, "value": 0.0 if once else 1.0}
    troubles = [
        Trouble("syscalls", at_s, FOR_S, all_of_them, **strike)  # type: ignore[arg-type]
        for at_s in (BEFORE_START_S, SERVICE_S, END_S)
    ]
    ways = [Trouble("reload", SERVICE_S + 0.05, 0.1, all_of_them), Trouble("restart", END_S, 4.0, all_of_them)]
    classes = [
        Class("read", "idempotent", 1500),
        Class("publish", "at_most_once", 1000),
        Class("mark", "deduplicated", 1500),
    ]
    return Plan(
        seed=int(call) * 1000 + error + 1,
        seconds=LAST_S,
        sidecars=SIDECARS,
        upstreams=4,
        rate_per_s=15.0,
        service_ms=10.0,
        classes=classes,
        troubles=troubles[:1] + sorted([*troubles[1:], *ways], key=lambda trouble: trouble.at_s),
    )


def strike(call: int, error: int, once: bool, folder: str, tree: str) -> Row:
    """Play one; an error that ends a client's connection may lose what is under way on it."""
    outcome = play(plan_of(Call(call), error, once), Path(folder), Path(tree))
    ends = error in ENDS_CONNECTIONS and call in (Call.RECV, Call.SEND)
    broken = [f"{b['rule']}: {b['text']}" for b in outcome.breaches if not (ends and b["rule"] == "lost")]
    return Row(
        Call(call).name.lower(),
        name_of(error),
        "once" if once else "0.3 s",
        outcome.hits,
        outcome.requests,
        [text[:90] for text in broken[:1]],
    )


def sweep(jobs: int, folder: Path, tree: Path, progress: Callable[[str, float], None]) -> list[Row]:
    """All of them, so many at once."""
    wanted = [(call, error, once) for call, errors in DOCUMENTED.items() for error in errors for once in (True, False)]
    rows: list[Row] = []
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        waiting = [
            pool.submit(
                strike,
                int(call),
                error,
                once,
                os.fspath(folder / f"{call.name.lower()}-{name_of(error)}-{int(once)}"),
                os.fspath(tree),
            )
            for call, error, once in wanted
        ]
        for finished in as_completed(waiting):
            rows.append(finished.result())
            progress(f"{len(rows)} of {len(wanted)} played", len(rows) / len(wanted))
    return sorted(rows)
