"""A client's decisions: how long it waits for an answer, when it disconnects early, and whether and when it retries."""

from __future__ import annotations

import random

from garnetusher.model.experiment import Experiment

WAIT_ON_US = 600_000  # a call's connection is watched for so long after its timeout, to see whether an answer comes


class Client:
    """The habits of one application's users; all draws come from a generator of its own."""

    def __init__(self, experiment: Experiment, seed: int, sidecar: str) -> None:
        self._classes = experiment.classes
        self._settings = experiment.clients
        self._rng = random.Random(f"{seed} client {sidecar}")

    def patience_us(self, class_index: int) -> int:
        """Draw the client timeout of a call: whole milliseconds, in microseconds."""
        shortest = self._settings.try_share
        share = shortest + (1 - shortest) * self._rng.random()
        return max(1, int(self._classes[class_index].deadline_ms * share)) * 1000

    def leaves_after_us(self, client_timeout_us: int) -> int | None:
        """Draw when an impatient client disconnects, from the start of its call; None if it waits."""
        if self._rng.random() >= self._settings.impatient:
            return None
        return int(self._rng.random() * client_timeout_us)

    def comes_again_us(
        self,
        now_us: int,
        class_index: int,
        retry_index: int,
        first_due_us: int,
        safe_to_retry: bool,  # noqa: FBT001 - the lab calls it by position
        retry_after_us: int,
    ) -> int | None:
        """Draw when a client retries a call that has failed.

        Args:
            now_us: The present time.
            class_index: The request's class. An idempotent one is retried after any failure.
            retry_index: The number of the call that has failed, from 0.
            first_due_us: When the request's first call was due; its deadline counts from there.
            safe_to_retry: The answer said that the request did not run.
            retry_after_us: The answer's Retry-After; 0 if it had none.

        Returns:
            The time of the retry; None if there is none.
        """
        request_class = self._classes[class_index]
        may_retry = safe_to_retry or request_class.effect == "idempotent"
        if retry_index >= self._settings.retries or not may_retry:
            return None
        wait_us = self._settings.backoff_ms * 1000 * (0.5 + self._rng.random()) * 2**retry_index
        if retry_after_us and self._rng.random() < self._settings.honour:
            wait_us = retry_after_us
        retry_at_us = now_us + int(wait_us)
        deadline_us = first_due_us + request_class.deadline_ms * 1000
        return retry_at_us if retry_at_us < deadline_us else None
