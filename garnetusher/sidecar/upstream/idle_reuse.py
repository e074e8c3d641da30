"""How long a connection to an upstream has been idle, and how long it may be and still be used again."""

from __future__ import annotations

from dataclasses import dataclass

IDLE_TIMEOUT_MARGIN_US = 300_000  # an upstream may close a connection while a request is on its way to it
TRUSTED_IDLE_US = 25_000  # connections that are idle for less are in steady use
RESPONSE_GRACE_US = 10_000  # stray second responses were seen 1 to 4 ms after the first; less than TRUSTED_IDLE_US
MAX_LOSS_SHARE = 0.25  # well above the share that a bad network takes of requests on any connection
LOSS_WEIGHT = 1 / 16  # of one reuse in the moving average: five losses in a dozen reuses pass MAX_LOSS_SHARE
LOSS_DECAY_PER_SWEEP = 0.99  # ten sweeps a second: a measured share halves in 7 s
NEVER_USED = -2  # the connection has carried no attempt yet
FIRST_ATTEMPT = -1  # the connection was opened for the attempt and was not idle before


@dataclass(slots=True)
class IdleTiming:
    """Idle times of one connection.

    Attributes:
        since_us: when the connection last became idle; 0 = never yet.
        before_attempt_us: how long it was idle before its current or last attempt; FIRST_ATTEMPT and NEVER_USED
            stand for none.
    """

    since_us: int = 0
    before_attempt_us: int = NEVER_USED

    def start_attempt(self, now_us: int) -> None:
        """Record that the connection carries an attempt from now on."""
        self.before_attempt_us = now_us - self.since_us if self.since_us else FIRST_ATTEMPT

    def grace_remaining_us(self, now_us: int) -> int:
        """Return how long a stray second response may still come; 0 or less = no longer."""
        if self.before_attempt_us == NEVER_USED:
            return 0
        return self.since_us + RESPONSE_GRACE_US - now_us


class IdleReuseEstimator:
    """Estimates how long an idle connection can be used again, from the requests lost on reused ones.

    Upstreams may end an idle connection earlier than the settings say and without notice; the next request on it is
    lost. The share of lost requests is a moving average per idle time, in ranges that double. Resets that strike
    connections of every idle time shorten nothing below TRUSTED_IDLE_US.
    """

    def __init__(self, max_idle_us: int) -> None:
        self.max_idle_us = max_idle_us
        self.loss_shares = [0.0] * (max_idle_us // TRUSTED_IDLE_US).bit_length()  # one for each doubling of the time

    @classmethod
    def for_idle_timeout(cls, idle_timeout_us: int) -> IdleReuseEstimator:
        """Return an estimator for upstreams that close connections which are idle for so long."""
        return cls(max(0, idle_timeout_us - IDLE_TIMEOUT_MARGIN_US))

    def limit_us(self) -> int:
        """Return the idle time up to which connections may be used again."""
        doublings = next(
            (index for index, share in enumerate(self.loss_shares) if share > MAX_LOSS_SHARE),
            len(self.loss_shares),
        )
        return min(self.max_idle_us, TRUSTED_IDLE_US << doublings)

    def record_reuse(self, idle_us: int, *, lost: bool) -> None:
        """Record that a connection was used again after `idle_us`, and whether its request was lost."""
        doubling = (idle_us // TRUSTED_IDLE_US).bit_length() - 1
        if 0 <= doubling < len(self.loss_shares):
            self.loss_shares[doubling] += (lost - self.loss_shares[doubling]) * LOSS_WEIGHT

    def decay(self) -> None:
        """Let measured shares decay by one sweep: an idle time that is no longer tried is tried again in time."""
        self.loss_shares = [share * LOSS_DECAY_PER_SWEEP for share in self.loss_shares]
