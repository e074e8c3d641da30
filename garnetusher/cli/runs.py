"""One run of an experiment in virtual time, in a form that commands can spread over processes."""

from __future__ import annotations

import time
from collections.abc import Sequence

from msgspec import Struct

from garnetusher.model import plan as plans
from garnetusher.model import result
from garnetusher.model.ablations import ablate
from garnetusher.model.experiment import Experiment
from garnetusher.model.simulation import Simulation


class CompletedRun(Struct):
    """The result of one run and what it cost this machine.

    Attributes:
        result: figures, expectations and broken rules.
        elapsed_s: the time that the run took.
        decision_cpu_us: CPU time of the policy's decisions for one request.
    """

    result: result.Result
    elapsed_s: float
    decision_cpu_us: float

    @property
    def document(self) -> dict[str, object]:
        """The run in the JSON document of `model run`."""
        return self.result.document | {
            "digest": self.result.digest,
            "events": self.result.events,
            "took_s": round(self.elapsed_s, 3),
        }


def run_experiment(experiment: Experiment, seed: int, disabled: Sequence[str] = ()) -> CompletedRun:
    """Run an experiment once.

    Args:
        experiment: what to run.
        seed: of all random draws.
        disabled: names of the ablations: parts of the policy that are switched off.

    Raises:
        Stall: virtual time stands still.
    """
    started_s = time.perf_counter()
    plan = plans.make(experiment, seed)
    with ablate(list(disabled)):
        simulation = Simulation(experiment, plan, time.thread_time_ns)
        records = simulation.run()
    not_asked = sum(sidecar.clients.skipped_requests for sidecar in simulation.sidecars.values())
    judged, _ = result.evaluate(experiment, plan, records, simulation.clock.events, not_asked=not_asked)
    judged.digest = simulation.clock.digest
    requests = max(1.0, judged.figures["requests"])
    return CompletedRun(judged, time.perf_counter() - started_s, simulation.decision_cpu_ns / 1000 / requests)
