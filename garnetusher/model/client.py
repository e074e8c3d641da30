"""The decisions of a client: its timeout, when it disconnects early, and whether and when it retries."""

from __future__ import annotations

import random

from garnetusher.model.experiment import Experiment

# The wait for a late answer after a call's timeout; longer than `ANSWER_TOLERANCE_US` of the checker.
LATE_ANSWER_WAIT_US = 600_000


class Client:
    """The clients of one sidecar; all their random draws come from one generator, which nothing else uses."""

    def __init__(self, experiment: Experiment, seed: int, sidecar: str) -> None:
        self._classes = experiment.classes
        self._settings = experiment.clients
        self._rng = random.Random(f"{seed} client {sidecar}")

    def draw_timeout_us(self, class_index: int) -> int:
        """Draw the client timeout of a call, in microseconds; it is a whole number of milliseconds."""
        min_share = self._settings.try_share
        share = min_share + (1 - min_share) * self._rng.random()
        return max(1, int(self._classes[class_index].deadline_ms * share)) * 1000

    def draw_disconnect_delay_us(self, client_timeout_us: int) -> int | None:
        """Draw the delay after which a client disconnects early; None if it waits for its timeout."""
        if self._rng.random() >= self._settings.impatient:
            return None
        return int(self._rng.random() * client_timeout_us)

    def draw_retry_time_us(
        self,
        now_us: int,
        class_index: int,
        retry_index: int,
        first_due_us: int,
        safe_to_retry: bool,  # noqa: FBT001 - the lab calls it by position
        retry_after_us: int,
    ) -> int | None:
        """Draw the time at which a client retries a failed call.

        Args:
            now_us: The current time.
            class_index: The request class; an idempotent request is retried after any failure.
            retry_index: The retry number of the failed call; 0 is the first call.
            first_due_us: The scheduled time of the first call; the request deadline is relative to this time.
            safe_to_retry: Whether the answer states that the request did not run.
            retry_after_us: The answer's Retry-After delay; 0 if the answer has none.

        Returns:
            The time of the retry; None if the client does not retry.
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
