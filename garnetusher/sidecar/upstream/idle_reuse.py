"""Records how long connections to upstreams are idle, and estimates how long they may be idle and still be reused."""

from __future__ import annotations

from dataclasses import dataclass

# The sidecar closes an idle connection this long before the upstream does. Otherwise the upstream could close the
# connection while a request is in flight on it.
IDLE_TIMEOUT_MARGIN_US = 300_000
# Losses never lower the limit below this time, because a connection in steady use is idle for less than this.
MIN_IDLE_LIMIT_US = 25_000
# A faulty upstream may send a second response some milliseconds after the first. A connection is reused only after it
# has been silent for this time since the sidecar has acknowledged the first response. Less than MIN_IDLE_LIMIT_US.
RESPONSE_GRACE_US = 10_000
# The same time if the acknowledgement is delayed, which Linux does for at most 200 ms: the upstream's kernel may hold a
# second response back until the acknowledgement.
UNACKNOWLEDGED_GRACE_US = 200_000 + RESPONSE_GRACE_US
# A connection that has been silent for this long is preferred to one that is just past its grace period.
PREFERRED_SILENCE_US = 5 * RESPONSE_GRACE_US
MAX_LOSS_SHARE = 0.25  # well above the share of requests that a bad network loses regardless of idle times
# The weight of one reuse in the moving average: five losses in a row raise the average from 0 above MAX_LOSS_SHARE.
LOSS_WEIGHT = 1 / 16
LOSS_DECAY_PER_SWEEP = 0.99  # the pool sweeps ten times a second, so a measured share halves in 7 s
# Values of `IdleTiming.before_attempt_us` that are not a time.
NEVER_USED = -2  # the connection has carried no attempt yet
FIRST_ATTEMPT = -1  # the connection was opened for its attempt and was not idle before


@dataclass(slots=True)
class IdleTiming:
    """The idle times of one connection.

    Attributes:
        since_us: the time at which the connection last became idle; 0 if it never did.
        before_attempt_us: how long the connection was idle before its current or latest attempt, or FIRST_ATTEMPT or
            NEVER_USED.
        response_acknowledged: whether the latest response was acknowledged at once.
    """

    since_us: int = 0
    before_attempt_us: int = NEVER_USED
    response_acknowledged: bool = True

    def start_attempt(self, now_us: int) -> None:
        """Record that an attempt starts on the connection."""
        self.before_attempt_us = now_us - self.since_us if self.since_us else FIRST_ATTEMPT

    def grace_remaining_us(self, now_us: int) -> int:
        """Return for how long a stray second response may still arrive; 0 or less means that none is expected."""
        if self.before_attempt_us == NEVER_USED:
            return 0
        grace_us = RESPONSE_GRACE_US if self.response_acknowledged else UNACKNOWLEDGED_GRACE_US
        return self.since_us + grace_us - now_us


class IdleReuseEstimator:
    """Estimates how long a connection may be idle and still be reused, from the requests lost on reused connections.

    An upstream may close an idle connection earlier than the settings say, without notice; the next request on that
    connection is lost. The estimator keeps a moving average of the share of lost requests for each range of
    idle times; each range is twice as long as the one before. Resets that affect connections of every idle time do not
    lower the limit below MIN_IDLE_LIMIT_US.
    """

    def __init__(self, max_idle_us: int) -> None:
        self.max_idle_us = max_idle_us
        self.loss_shares = [0.0] * (max_idle_us // MIN_IDLE_LIMIT_US).bit_length()  # one share for each range

    @classmethod
    def for_idle_timeout(cls, idle_timeout_us: int) -> IdleReuseEstimator:
        """Return an estimator for upstreams that close connections after this idle time."""
        return cls(max(0, idle_timeout_us - IDLE_TIMEOUT_MARGIN_US))

    def limit_us(self) -> int:
        """Return the longest idle time after which a connection may be reused."""
        range_index = next(
            (index for index, share in enumerate(self.loss_shares) if share > MAX_LOSS_SHARE),
            len(self.loss_shares),
        )
        return min(self.max_idle_us, MIN_IDLE_LIMIT_US << range_index)

    def record_reuse(self, idle_us: int, *, lost: bool) -> None:
        """Record that a connection was reused after `idle_us`, and whether its request was lost.

        FIRST_ATTEMPT and NEVER_USED are no idle times, and count in no range.
        """
        if idle_us < 0:
            return
        range_index = (idle_us // MIN_IDLE_LIMIT_US).bit_length() - 1
        if 0 <= range_index < len(self.loss_shares):
            self.loss_shares[range_index] += (lost - self.loss_shares[range_index]) * LOSS_WEIGHT

    def decay(self) -> None:
        """Decay the measured shares by one sweep, so that idle times above the limit are tried again later."""
        self.loss_shares = [share * LOSS_DECAY_PER_SWEEP for share in self.loss_shares]
