"""Outlier detection: how the outcome of an attempt opens or closes its endpoint's slots, up to ejection."""

from __future__ import annotations

from garnetusher.policy.actions import CloseIdleConnections
from garnetusher.policy.context import PolicyContext
from garnetusher.policy.endpoint_state import EndpointState
from garnetusher.policy.events import Outcome
from garnetusher.policy.retry import IMMEDIATE_FAILURES
from garnetusher.policy.slots import MAX_SLOTS, MIN_SLOT_LIMIT, TARGET_LOAD, Pool
from garnetusher.policy.state import AttemptState, ClassState
from garnetusher.policy.zone import FailedAttempt
from garnetusher.policy.zones import Zones

CONSECUTIVE_FAILURES = 2  # tell a failing endpoint from one broken connection or response among good ones
SLOT_GROWTH = 0.4  # slots a round of responses moves, by the distance from the target load; 0.8 is too rash
SPARE_CAPACITY_LOAD = TARGET_LOAD / 2  # below it a tier has capacity: requests that it lacked slots for open some
MAX_LOAD = 2.0  # a response that takes longer, or does not come, counts as this
MAX_LATENCY_RATIO = 4.0  # a response that takes longer beside the usual one counts as this
MIN_LATENCY_RATIO = 0.1
LATENCY_RATIO_WINDOW = 4  # responses that make up an endpoint's latency ratio
POOL_WINDOW = 8  # responses that make up a pool's load and latency ratio
ADMISSION_GAIN = 2.4  # a second of slow responses cuts what is admitted to a tenth; slower, queues fill first
MIN_SLOW_ANSWERS = 8.0  # slow responses that cut what is admitted to a tenth
MIN_ADMISSION_STEP = 0.3  # what one response leaves of the admitted fraction at least
MIN_ADMITTED = 0.1  # where service itself has slowed, admitting less mends nothing
SHORTAGE_FACTOR = 4  # half-objectives after a shortage, in which responses go on opening slots
EJECTION_LOG_LIMIT = 0.25  # slot limit below which an endpoint is logged as ejected


class OutlierDetector:
    """Judges endpoints, and the pools they are in, by the outcomes of attempts."""

    def __init__(self, context: PolicyContext, zones: Zones) -> None:
        self._context = context
        self._zones = zones

    def record_outcome(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, class_state: ClassState) -> None:
        """Judge an endpoint, its pool and its zone by how an attempt ended."""
        state, pool = attempt.endpoint_state, attempt.endpoint_state.pool
        responded = outcome in (Outcome.OK, Outcome.CANCELLED)
        load = min(MAX_LOAD, elapsed_us / class_state.half_objective_us) if responded else MAX_LOAD
        ratio = MAX_LATENCY_RATIO if outcome in IMMEDIATE_FAILURES else elapsed_us / class_state.mean_response_us
        ratio = min(max(ratio, MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)
        state.latency_ratio += (ratio - state.latency_ratio) / LATENCY_RATIO_WINDOW
        if outcome is Outcome.OK:
            pool.latency_ratio += (ratio - pool.latency_ratio) / POOL_WINDOW
        self._record_zone_outcome(attempt, outcome, elapsed_us, ratio)
        if outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.OVERLOADED):
            self._update_admission(pool, load)
        self._update_slot_limit(attempt, outcome, load, class_state)
        self._eject_if_below_one_slot(state, elapsed_us, class_state)
        pool.update_weight(state, self._context.now_us)
        self._log_ejection(state)

    def record_overdue(self, attempt: AttemptState, *, repeated: bool) -> None:
        """Count an attempt that is out for long against its zone; `repeated`: an earlier one of its request was."""
        attempt.overdue = True
        endpoint = attempt.endpoint
        self._zones.record_overdue(endpoint.zone, endpoint.id, attempt.sent_us, self._context.now_us, repeated=repeated)

    def _record_zone_outcome(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, ratio: float) -> None:
        zone, endpoint_id, now_us = attempt.endpoint.zone, attempt.endpoint.id, self._context.now_us
        if outcome in (Outcome.OK, Outcome.CANCELLED):
            self._zones.record_lateness(late=attempt.overdue)
        if outcome in (Outcome.OK, Outcome.OVERLOADED):
            zone_ratio = 1.0 if outcome is Outcome.OVERLOADED else ratio
            self._zones.record_answer(zone, attempt.sent_us, zone_ratio, now_us)
        elif outcome is not Outcome.CANCELLED:
            connect_timeout_us = self._context.settings.connect_timeout_us
            refused = outcome is Outcome.CONNECT_FAILED and 2 * elapsed_us < connect_timeout_us
            known = attempt.overdue and outcome is Outcome.TIMEOUT
            failed = FailedAttempt(zone, endpoint_id, attempt.sent_us, ratio, refused, known)
            self._zones.record_failure(failed, now_us)

    def _update_admission(self, pool: Pool, load: float) -> None:
        """Admit less to a pool whose responses are slow.

        A sidecar with little traffic never fills its slots, so that they hold nothing back when all endpoints are slow.
        Draws are reduced instead, quickly, as queues stay for seconds, but not for one slow response among quick ones.
        """
        pool.load += (load - pool.load) / POOL_WINDOW
        is_slow = load >= TARGET_LOAD
        # a sidecar with a response every second or two must not be cut off by a single slow one
        responses = MIN_SLOW_ANSWERS if is_slow else 1.0
        gain = ADMISSION_GAIN / max(responses, pool.send_rate_per_s) if not is_slow or pool.load > 0.5 else 0.0
        pool.admitted_fraction *= max(MIN_ADMISSION_STEP, 1.0 + gain * (TARGET_LOAD - load))
        pool.admitted_fraction = min(1.0, max(pool.admitted_fraction, MIN_ADMITTED))

    def _update_slot_limit(self, attempt: AttemptState, outcome: Outcome, load: float, class_state: ClassState) -> None:
        state = attempt.endpoint_state
        # one request may be slow by itself, so that each response moves the limit by a little
        step = SLOT_GROWTH * (TARGET_LOAD - load) / max(state.slot_limit, 1.0)
        failed_immediately = outcome in IMMEDIATE_FAILURES
        state.consecutive_failures = state.consecutive_failures + 1 if failed_immediately else 0
        if outcome is Outcome.OVERLOADED or state.consecutive_failures >= CONSECUTIVE_FAILURES:
            # what fails at once frees its slot at once and would attract ever more requests
            state.slot_limit /= 2
        elif failed_immediately:
            pass  # a single broken connection: counted, such would close the slots of every endpoint
        elif step < 0.0:
            # slow responses leave one slot: otherwise all endpoints would be ejected after an outage
            state.slot_limit = max(state.slot_limit * (1.0 + step), min(state.slot_limit, 1.0))
        elif state.slot_limit < 1.0 or self._follows_shortage(attempt, class_state):
            state.slot_limit += min(state.slot_limit, step)
        state.slot_limit = min(max(state.slot_limit, MIN_SLOT_LIMIT), float(MAX_SLOTS))

    def _follows_shortage(self, attempt: AttemptState, class_state: ClassState) -> bool:
        """Return whether slots ran out shortly before the attempt.

        Slots opened without need, by many sidecars above all, choke endpoints in bursts. A tier with spare capacity
        counts requests that found a slot in a farther tier: judged by requests without any slot it would only close.
        """
        pool, exhausted_us = attempt.endpoint_state.pool, self._context.slots_exhausted_us
        if pool.load < SPARE_CAPACITY_LOAD:
            exhausted_us = max(pool.exhausted_us, exhausted_us)
        return attempt.sent_us - SHORTAGE_FACTOR * class_state.half_objective_us <= exhausted_us

    def _eject_if_below_one_slot(self, state: EndpointState, elapsed_us: int, class_state: ClassState) -> None:
        if state.slot_limit < 1.0:
            # beside responses that take seconds, a short ejection would leave a choked endpoint crowded
            slow_us = class_state.half_objective_us
            busy_us = max(min(class_state.mean_response_us, slow_us), min(elapsed_us, 2 * slow_us))
            ejected_us = busy_us * (1.0 / state.slot_limit - 1.0) * (0.5 + self._context.random.random())
            state.pool.eject(state, self._context.now_us + int(ejected_us))
        if state.slot_limit < 0.5 and state.in_use:
            # another endpoint takes its place; it may come back after the ejection
            state.pool.set_in_use(state, self._context.now_us, in_use=False)
            self._context.actions.append(CloseIdleConnections(state.endpoint.id))

    def _log_ejection(self, state: EndpointState) -> None:
        is_ejected = state.slot_limit < (1.0 if state.logged_as_ejected else EJECTION_LOG_LIMIT)
        if is_ejected == state.logged_as_ejected:
            return
        change = "ejected" if is_ejected else "readmitted"
        if self._context.log(f"endpoint {state.endpoint.id} {change}"):
            state.logged_as_ejected = is_ejected
