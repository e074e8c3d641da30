"""What a client decides: how long it waits, when it loses patience, whether and when it comes again. No socket."""

from __future__ import annotations

import random

from garnetusher.model.experiment import Experiment

WAIT_ON_US = 600_000  # after its time a try's connection is watched on: rule 1 is judged by what comes


class Client:
    """The habits of one application's users; every draw is this object's own."""

    def __init__(self, experiment: Experiment, seed: int, sidecar: str) -> None:
        self.experiment, self.figures = experiment, experiment.clients
        self.rng = random.Random(f"{seed} client {sidecar}")

    def patience_us(self, cls: int) -> int:
        """How long a try is waited for, in whole milliseconds."""
        share = self.figures.try_share + (1 - self.figures.try_share) * self.rng.random()
        return max(1, int(self.experiment.classes[cls].deadline_ms * share)) * 1000

    def leaves_after_us(self, patience_us: int) -> int | None:
        """When an impatient one closes its connection; None for the others."""
        if self.rng.random() >= self.figures.impatient:
            return None
        return int(self.rng.random() * patience_us)

    def comes_again_us(
        self, now_us: int, cls: int, number: int, first_us: int, harmless: bool, retry_after_us: int
    ) -> int | None:
        """When the next try of a request that failed sets out; None: it does not. After any failure where the class
        allows, else only where it was told that trying again is harmless."""
        kind = self.experiment.classes[cls]
        if number >= self.figures.retries or not (harmless or kind.effect == "idempotent"):
            return None
        wait = self.figures.backoff_ms * 1000 * (0.5 + self.rng.random()) * 2**number
        if retry_after_us and self.rng.random() < self.figures.honour:
            wait = retry_after_us
        at = now_us + int(wait)
        return at if at < first_us + kind.deadline_ms * 1000 else None
