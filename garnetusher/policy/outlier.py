"""Outlier detection: adjusts the slot limit of an endpoint to the outcomes of its attempts and ejects failing ones."""

from __future__ import annotations

from garnetusher.policy.actions import CloseIdleConnections
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.events import Outcome
from garnetusher.policy.retry import IMMEDIATE_FAILURES
from garnetusher.policy.slots import MAX_SLOTS, MIN_SLOT_LIMIT, TARGET_OBJECTIVE_RATIO, Pool
from garnetusher.policy.state import AttemptState, ClassState
from garnetusher.policy.zone import FailedAttempt
from garnetusher.policy.zones import Zones

# This many immediate failures in a row distinguish a failing endpoint from a single broken connection or response.
CONSECUTIVE_FAILURES = 2
# Gain of the slot limit, multiplied by the difference between the objective ratio and its target. Over one round of
# responses (one for each slot), faster responses raise the limit by this many slots; slower ones lower it by this part.
SLOT_GROWTH = 0.4
# A pool below this objective ratio has spare capacity: its slot limits also rise after a request found no
# free slot in it but found one in a farther tier.
SPARE_CAPACITY_LOAD = TARGET_OBJECTIVE_RATIO / 2
MAX_OBJECTIVE_RATIO = 2.0  # upper bound of one response's objective ratio; a response that never arrives counts as this
MAX_LATENCY_RATIO = 4.0  # upper bound of one response's latency ratio; an immediate failure counts as this
MIN_LATENCY_RATIO = 0.1  # lower bound of one response's latency ratio
LATENCY_RATIO_WINDOW = 4  # number of responses over which an endpoint's latency ratio is smoothed
POOL_WINDOW = 8  # number of responses over which a pool's objective ratio and latency ratio are smoothed
# Gain of the admitted fraction, divided among the responses of one second. One second of responses with an objective
# ratio of 1.8 cuts the fraction to about a tenth (e ** (-2.4 * 0.95)); with a slower reduction, queues fill up first.
ADMISSION_GAIN = 2.4
MIN_SLOW_RESPONSES = 8.0  # minimum number of slow responses that it takes to cut the admitted fraction to a tenth
MIN_ADMISSION_STEP = 0.3  # lower bound of the factor by which one response changes the admitted fraction
# Lower bound of the admitted fraction: admitting less does not help if the requests themselves take longer to process.
MIN_ADMITTED = 0.1
# Responses raise slot limits only if a request found no free slot within this many half latency objectives before the
# attempt was sent, or later.
SHORTAGE_FACTOR = 4
EJECTION_LOG_LIMIT = 0.25  # an endpoint is logged as ejected below this slot limit, and as readmitted only at 1


class OutlierDetector:
    """Adjusts the state of endpoints, their pools and their zones to the outcomes of attempts."""

    def __init__(self, context: PolicyContext, zones: Zones) -> None:
        self._context = context
        self._zones = zones

    def record_outcome(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, class_state: ClassState) -> None:
        """Update an endpoint, its pool and its zone with the outcome of an attempt."""
        state, pool = attempt.endpoint_state, attempt.endpoint_state.pool
        responded = outcome in (Outcome.OK, Outcome.CANCELLED)
        objective_ratio = (
            min(MAX_OBJECTIVE_RATIO, elapsed_us / class_state.half_objective_us) if responded else MAX_OBJECTIVE_RATIO
        )
        ratio = MAX_LATENCY_RATIO if outcome in IMMEDIATE_FAILURES else elapsed_us / class_state.mean_response_us
        ratio = min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)
        state.latency_ratio += (ratio - state.latency_ratio) / LATENCY_RATIO_WINDOW
        if outcome is Outcome.OK:
            pool.latency_ratio += (ratio - pool.latency_ratio) / POOL_WINDOW
        self._record_zone_outcome(attempt, outcome, elapsed_us, ratio)
        if outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.OVERLOADED):
            self._update_admission(pool, objective_ratio)
        self._update_slot_limit(attempt, outcome, objective_ratio, class_state)
        self._eject_if_below_one_slot(state, elapsed_us, class_state)
        pool.update_weight(state, self._context.now_us)
        self._log_ejection(state)

    def record_overdue(self, attempt: AttemptState, *, repeated: bool) -> None:
        """Count an overdue attempt against its zone.

        Args:
            attempt: the attempt, which is still outstanding.
            repeated: whether an earlier attempt of the same request was overdue too.
        """
        attempt.overdue = True
        endpoint = attempt.endpoint
        self._zones.record_overdue(endpoint.zone, endpoint.id, attempt.sent_us, self._context.now_us, repeated=repeated)

    def _record_zone_outcome(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, ratio: float) -> None:
        zone, endpoint_id, now_us = attempt.endpoint.zone, attempt.endpoint.id, self._context.now_us
        if outcome in (Outcome.OK, Outcome.CANCELLED):
            self._zones.update_overdue_fraction(overdue=attempt.overdue)
        if outcome in (Outcome.OK, Outcome.OVERLOADED):
            zone_ratio = 1.0 if outcome is Outcome.OVERLOADED else ratio
            self._zones.record_response(zone, attempt.sent_us, zone_ratio, now_us)
        elif outcome is not Outcome.CANCELLED:
            connect_timeout_us = self._context.settings.connect_timeout_us
            refused = outcome is Outcome.CONNECT_FAILED and 2 * elapsed_us < connect_timeout_us
            already_overdue = attempt.overdue and outcome is Outcome.TIMEOUT
            failed = FailedAttempt(zone, endpoint_id, attempt.sent_us, ratio, refused, already_overdue)
            self._zones.record_failure(failed, now_us)

    def _update_admission(self, pool: Pool, objective_ratio: float) -> None:
        """Lower the admitted fraction of a pool while its responses are slow, and raise it again afterwards.

        A sidecar with little traffic never fills its slots, so slot limits do not reduce its load when all endpoints
        are slow. The admitted fraction reduces this load. It falls quickly, because the queues of overloaded endpoints
        last for seconds, but a single slow response among fast ones does not lower it.
        """
        pool.objective_ratio += (objective_ratio - pool.objective_ratio) / POOL_WINDOW
        is_slow = objective_ratio >= TARGET_OBJECTIVE_RATIO
        # a single slow response does not count as long as the smoothed ratio is at most 0.5
        # a sidecar that gets a response only every second or two must not stop sending after a single slow one
        responses = MIN_SLOW_RESPONSES if is_slow else 1.0
        gain = (
            ADMISSION_GAIN / max(responses, pool.attempt_rate_per_s)
            if not is_slow or pool.objective_ratio > 0.5
            else 0.0
        )
        pool.admitted_fraction *= max(MIN_ADMISSION_STEP, 1.0 + gain * (TARGET_OBJECTIVE_RATIO - objective_ratio))
        pool.admitted_fraction = min(1.0, max(pool.admitted_fraction, MIN_ADMITTED))

    def _update_slot_limit(
        self, attempt: AttemptState, outcome: Outcome, objective_ratio: float, class_state: ClassState
    ) -> None:
        state = attempt.endpoint_state
        # a single request may be expensive, so each response changes the limit only a little
        step = SLOT_GROWTH * (TARGET_OBJECTIVE_RATIO - objective_ratio) / max(state.slot_limit, 1.0)
        failed_immediately = outcome in IMMEDIATE_FAILURES
        state.consecutive_failures = state.consecutive_failures + 1 if failed_immediately else 0
        if outcome is Outcome.OVERLOADED or state.consecutive_failures >= CONSECUTIVE_FAILURES:
            # an immediate failure frees its slot immediately; without this reduction, a failing endpoint would attract
            # more and more requests
            state.slot_limit /= 2
        elif failed_immediately:
            pass  # if single broken connections counted, they would close the slots of all endpoints
        elif step < 0.0:
            # slow responses leave at least one slot: otherwise an outage would end with all endpoints ejected
            state.slot_limit = max(state.slot_limit * (1.0 + step), min(state.slot_limit, 1.0))
        elif state.slot_limit < 1.0 or self._follows_shortage(attempt, class_state):
            state.slot_limit += min(state.slot_limit, step)
        state.slot_limit = min(max(state.slot_limit, MIN_SLOT_LIMIT), float(MAX_SLOTS))

    def _follows_shortage(self, attempt: AttemptState, class_state: ClassState) -> bool:
        """Return whether slots were exhausted shortly before the attempt.

        Slot limits that rise without need lead to bursts that overload endpoints, especially with many sidecars. A
        pool with spare capacity also counts requests that found a slot in a farther tier: if it counted only requests
        without any free slot, its slot limits would only fall.
        """
        pool, exhausted_us = attempt.endpoint_state.pool, self._context.slots_exhausted_us
        if pool.objective_ratio < SPARE_CAPACITY_LOAD:
            exhausted_us = max(pool.exhausted_us, exhausted_us)
        return attempt.sent_us - SHORTAGE_FACTOR * class_state.half_objective_us <= exhausted_us

    def _eject_if_below_one_slot(self, state: EndpointState, elapsed_us: int, class_state: ClassState) -> None:
        if state.slot_limit < 1.0:
            # the ejection is in proportion to the response time, which counts as at most the latency objective and at
            # least the mean or half the objective, whichever is shorter: if responses take seconds, a short ejection
            # would not relieve an overloaded endpoint
            slow_us = class_state.half_objective_us
            busy_us = max(min(class_state.mean_response_us, slow_us), min(elapsed_us, 2 * slow_us))
            ejected_us = busy_us * (1.0 / state.slot_limit - 1.0) * (0.5 + self._context.random.random())
            state.pool.eject(state, self._context.now_us + int(ejected_us))
        if state.slot_limit < 0.5 and state.in_use:
            # another endpoint replaces this one in the subset in use; after its ejection, this one may be used again
            state.pool.set_in_use(state, self._context.now_us, in_use=False)
            self._context.actions.append(CloseIdleConnections(state.endpoint.id))

    def _log_ejection(self, state: EndpointState) -> None:
        is_ejected = state.slot_limit < (1.0 if state.logged_as_ejected else EJECTION_LOG_LIMIT)
        if is_ejected == state.logged_as_ejected:
            return
        change = "ejected" if is_ejected else "readmitted"
        if self._context.log(f"endpoint {state.endpoint.id} {change}"):
            state.logged_as_ejected = is_ejected
