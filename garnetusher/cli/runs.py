"""Runs an experiment in virtual time; the arguments and the result can be passed between processes."""

from __future__ import annotations

import time
from collections.abc import Sequence

from msgspec import Struct

from garnetusher.model import plan as plans
from garnetusher.model import result as results
from garnetusher.model.ablations import ablate
from garnetusher.model.experiment import Experiment
from garnetusher.model.simulation import Simulation


class CompletedRun(Struct):
    """The result of one run and the time that it took on this machine.

    Attributes:
        result: figures, expectations and broken rules.
        elapsed_s: wall-clock time of the run.
        decision_cpu_us: mean CPU time of the decisions on one request.
    """

    result: results.Result
    elapsed_s: float
    decision_cpu_us: float

    @property
    def document(self) -> dict[str, object]:
        """The entry for this run in the JSON document of `model run`."""
        return self.result.document | {
            "digest": self.result.digest,
            "events": self.result.events,
            "took_s": round(self.elapsed_s, 3),
        }


def run_experiment(experiment: Experiment, seed: int, disabled: Sequence[str] = ()) -> CompletedRun:
    """Run an experiment once.

    Args:
        experiment: the experiment to run.
        seed: the seed of all random draws.
        disabled: names of the parts of the policy to disable; keys of `ABLATIONS`.

    Raises:
        StallError: virtual time does not advance.
    """
    started_s = time.perf_counter()
    plan = plans.make(experiment, seed)
    with ablate(list(disabled)):
        simulation = Simulation(experiment, plan, time.thread_time_ns)
        records = simulation.run()
    skipped_requests = sum(sidecar.clients.skipped_requests for sidecar in simulation.sidecars.values())
    run_result, _ = results.evaluate(experiment, plan, records, simulation.clock.events, not_asked=skipped_requests)
    run_result.digest = simulation.clock.digest
    requests = max(1.0, run_result.figures["requests"])
    return CompletedRun(run_result, time.perf_counter() - started_s, simulation.decision_cpu_ns / 1000 / requests)
