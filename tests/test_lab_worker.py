"""Tests of a worker process of the lab that gets no CPU time while a run starts."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from garnetusher.lab.worker import STOP_ORDER, StartOrder, WorkerJob, WorkerReady, WorkerSummary
from garnetusher.model import plan
from tests.experiment import ROOT, small

LATE_S = 5.0  # the run started this long before the worker reads the start order


def client_job(journal: Path) -> WorkerJob:
    """Return the job of a worker that runs the clients of one sidecar, which does not listen."""
    experiment = small()
    return WorkerJob(
        role="clients",
        name="clients-0",
        experiment=experiment,
        plan=plan.make(experiment, 1),
        journal=str(journal),
        cores=sorted(os.sched_getaffinity(0)),
        members=["a-0"],
        addresses={"a-0": ("127.0.0.1", 1)},
    )


def test_worker_reports_how_late_it_began_when_it_reads_all_orders_at_once(tmp_path: Path) -> None:
    """A worker that waits for its core during the whole run reads the start order together with the stop order."""
    zero_ns = time.monotonic_ns() - int(LATE_S * 1e9)
    orders = [client_job(tmp_path / "records.jsonl"), StartOrder(zero_ns, 0), STOP_ORDER]
    completed = subprocess.run(
        [sys.executable, "-m", "garnetusher.lab.worker"],
        input=b"".join(msgspec.json.encode(order) + b"\n" for order in orders),
        capture_output=True,
        cwd=ROOT,
        timeout=60,
        check=True,
    )
    ready_line, summary_line = completed.stdout.splitlines()
    msgspec.json.decode(ready_line, type=WorkerReady)
    summary = msgspec.json.decode(summary_line, type=WorkerSummary)
    assert completed.stderr == b""  # no timer writes a record after the journal is closed
    assert summary.began_late_us >= LATE_S * 1e6
