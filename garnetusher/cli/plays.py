"""One play in virtual time, as commands spread it over processes."""

from __future__ import annotations

import time

from msgspec import Struct

from garnetusher.model import plan as plans
from garnetusher.model import result
from garnetusher.model.ablations import without
from garnetusher.model.experiment import Experiment
from garnetusher.model.simulation import Simulation


class Play(Struct):
    """What came out, and what it took here: seconds, and microseconds of CPU that decisions took for a request."""

    result: result.Result
    took_s: float
    decision_us: float


def play(experiment: Experiment, seed: int, off: tuple[str, ...] | list[str] = ()) -> Play:
    """Play it without the parts that are off; raises Stall where virtual time stands still."""
    began = time.perf_counter()
    plan = plans.make(experiment, seed)
    with without(list(off)):
        simulation = Simulation(experiment, plan, time.thread_time_ns)
        lines = simulation.run()
    found, _ = result.judge(
        experiment,
        plan,
        lines,
        simulation.clock.events,
        not_asked=sum(s.clients.skipped_requests for s in simulation.sidecars.values()),
    )
    found.digest = simulation.clock.digest
    return Play(
        found, time.perf_counter() - began, simulation.decision_cpu_ns / 1000 / max(1.0, found.figures["requests"])
    )


def span(text: str) -> range:
    """`A:B` as the seeds from A to B; raises ValueError."""
    first, colon, last = text.partition(":")
    if not colon or not first.isdecimal() or not last.isdecimal() or int(first) > int(last):
        raise ValueError(f"expected A:B, as in 1:20, got {text!r}")
    return range(int(first), int(last) + 1)
