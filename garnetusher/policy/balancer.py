"""All decisions of the balancer. Its interface, types, events and actions: garnetusher/policy/events.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the ONE
buffer when none is free, is refused when that is taken, and is reissued through a slot.
"""

import heapq
import math
import random
from collections.abc import Callable

from garnetusher.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    Forward,
    LogMessage,
    SetTimer,
    Shed,
    WatchEndpoints,
)
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    DeadlineChanged,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    FleetSizeChanged,
    Outcome,
    RequestArrived,
    RequestBodyComplete,
    RequestNotReplayable,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
    UpdateKind,
    ZoneOverridden,
)
from garnetusher.policy.settings import RequestClass, Settings, Tenant
from garnetusher.policy.slots import INITIAL_SLOTS, EndpointState, Pool
from garnetusher.policy.zones import Zone, Zones, ZoneState

MAX_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)
IMMEDIATE_FAILURES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
CONSECUTIVE_FAILURES = 2  # tell a failing upstream from one broken connection or answer among good ones
NOT_EVIDENCE = (Outcome.REJECTED, Outcome.NOT_WRITTEN)  # tell nothing of an upstream
RETRIED_OUTCOMES = (*IMMEDIATE_FAILURES, Outcome.TIMEOUT, Outcome.NOT_WRITTEN)  # hazard: an upstream failing a part, or
# gone before it was sent to, would lose them all
MIN_SLOT_LIMIT = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
SLOT_GROWTH = 0.4  # slots a round of answers moves, by the distance from the full load; 0.8 is too rash
TARGET_LOAD = 0.85  # of the slow time, where slots settle: more chokes crowded upstreams, less refuses early
SPARE_CAPACITY_LOAD = (
    TARGET_LOAD / 2
)  # of the slow time, under which a tier has room: its excess opens slots there, not far away
UNSERVED_SHARE = (
    0.5  # of what is served: so much of what finds no slot counts beside it for cold upstreams, at the most
)
TENANT_WINDOW = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
MIN_ENDPOINTS_IN_USE = 4  # upstreams whose slots are open to a sidecar with next to no traffic
SENDS_PER_S_PER_ENDPOINT = 1.5  # sends a second that call for one more: fewer teach nothing, more crowd it
MAX_LATENCY_RATIO = 4.0  # an answer that takes longer beside the usual one counts as this
LATENCY_RATIO_WINDOW = 4  # answers that make up an upstream's pace
ADMISSION_GAIN = 2.4  # a second of slow answers cuts what is admitted to a tenth; slower, queues fill first
MIN_SLOW_ANSWERS = 8.0  # slow ones that cut what is admitted to a tenth
CLIENT_RETRY_ADMITTED = 0.9  # share admitted under which clients that come again yield; one slow answer takes less
MIN_ADMITTED = 0.1  # hazard: where service itself has slowed, letting in less mends nothing
RATE_WINDOW_US = 5_000_000
RETRY_BUDGET_RATIO = 0.2  # reissues a first send earns: enough for a fifth of the fleet to fail every attempt
MAX_RETRY_BUDGET = 5.0  # reissues in hand after a calm spell
LOG_INTERVAL_US = 1_000_000  # a line a second at most, however many upstreams change
WARMING_ARRIVAL_CREDIT = 0.3  # an arrival's count in a pool that is all cold: it gets a third of its load to begin with
WARMING_QUOTA_SHARE = 0.2  # of the rate allowed to this sidecar: with the answers within thrice the least warmth
POLL_GAP_US = 250_000  # between the fleet's calls to discovery, at first: one costs it up to 0.2 s
FIRST_POLL_FRACTION = 0.8  # of ask-within, in which a call is made
# a change counts as told 6 s after discovery could be reached; a call takes up to 2.5 s of that, hold-ups the rest
MAX_POLL_GAP_US = 3_000_000
TIERS = 3  # this zone, this region, other regions
OVERDUE_FACTOR = 3.0  # the usual answer time, at most half the aim, after which an attempt speaks against its zone


class ClassState:
    """A class of requests, as the operator set it, and what has been learnt of it."""

    def __init__(self, rules: RequestClass, mean_us: float | None = None) -> None:
        self.rules = rules
        self.mean_response_us = mean_us or rules.latency_objective_us / 4  # of its answers; at first a guess
        self.half_objective_us = (
            rules.latency_objective_us // 2
        )  # the delay threshold, and the time of a slow answer: the other
        # half is left for a new try


class TenantState:
    """A tenant, as the operator set it, and what has been seen of it."""

    def __init__(self, tenant: Tenant, seen: float = 0.0) -> None:
        self.quota_per_s = tenant.quota_per_s
        self.recent_arrivals = seen  # arrivals, the old ones fading


class AttemptState:
    def __init__(self, server: EndpointState, now_us: int) -> None:
        self.endpoint_state = server
        self.endpoint = server.endpoint  # as it was listed then
        self.sent_us = now_us
        self.outcome: Outcome | None = None  # None while it is out
        self.holds_slot = False
        self.overdue = False  # out for longer than answers take


class RequestState:
    def __init__(
        self, event: RequestArrived, kind: ClassState, party: TenantState | None, most_attempts: int, now_us: int
    ) -> None:
        self.event = event
        self.class_state = kind  # hazard: by its place in the settings, it would change with them
        self.tenant = party
        self.max_attempts = most_attempts
        self.arrived_us = now_us
        self.client_timeout_us = event.deadline_us - now_us  # of its client, from then on
        self.body_complete = event.body_complete  # else its body is still coming, and no time has begun
        self.not_replayable = False  # its body can't be sent again
        self.attempts: list[AttemptState] = []
        self.completed = self.response_started = self.client_half_closed = False

    def outstanding(self) -> int:
        return sum(1 for attempt in self.attempts if attempt.outcome is None)

    def first_possibly_executed(self) -> AttemptState | None:
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)


class Balancer:
    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.endpoints: dict[int, EndpointState] = {}  # the ready ones, in the order listed
        self.requests: dict[int, RequestState] = {}
        self.buffer: RequestState | None = None
        self.class_states = [ClassState(rules) for rules in settings.classes]
        self.tenant_states = [TenantState(tenant) for tenant in settings.tenants]
        self.pools = [Pool(settings, now_us) for _ in range(TIERS)]  # a tier each, in this order; may be empty
        self.zones = Zones(settings, seed, now_us, self.on_zone_changed)
        self.evacuated_zones: list[Zone] = []  # in this event
        self.retry_budget = MAX_RETRY_BUDGET  # reissues in hand
        self.exhausted_us = 0  # when a request last found no free slot anywhere
        self.total_quota_per_s = max(1.0, sum(party.quota_per_s for party in self.tenant_states))
        self.unsent_fraction = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.deadlines: list[tuple[int, str, int]] = []  # (when, what, request); a heap
        self.timer_us = self.poll_failures = 0  # armed: the next timer already asked for; 0 = none
        self.next_poll_us = 0  # when the list is asked for next; 0 = not, as it is subscribed to
        self.schedule_poll(now_us + self.backoff_us())

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.now_us = now_us
        for pool in self.pools:
            if pool.ejections:
                pool.readmit(now_us)
        if isinstance(event, AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, TimerFired):
            if self.timer_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.timer_us = 0
            self.run_expired()
        elif isinstance(event, ClientDisconnected) and event.request_id in self.requests:
            self.close(self.requests[event.request_id])
        elif isinstance(event, ClientHalfClosed) and event.request_id in self.requests:
            self.on_client_half_closed(self.requests[event.request_id])
        elif isinstance(event, ResponseStarted) and event.request_id in self.requests:
            self.on_response_started(self.requests[event.request_id], event)
        elif isinstance(event, RequestBodyComplete) and event.request_id in self.requests:
            self.on_body_complete(self.requests[event.request_id], event.deadline_us)
        elif isinstance(event, DeadlineChanged) and event.request_id in self.requests:
            self.on_deadline_changed(self.requests[event.request_id], event.deadline_us)
        elif isinstance(event, RequestNotReplayable) and event.request_id in self.requests:
            self.requests[event.request_id].not_replayable = True
        elif isinstance(event, EndpointsUpdated):
            self.on_endpoints_updated(event)
        elif isinstance(event, SettingsChanged):
            self.on_settings_changed(event)
        elif isinstance(event, ZoneOverridden):
            self.zones.override(event.zone, event.evacuate, now_us)
        elif isinstance(event, FleetSizeChanged):
            self.zones.member_count = max(0, event.fleet_size)
        while self.evacuated_zones:
            self.evacuate_zone(self.evacuated_zones.pop())
        self.fill_from_buffer()
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: RequestArrived) -> None:
        if event.request_id in self.requests:
            return
        party = self.tenant_states[event.tenant_index] if event.tenant_index < len(self.tenant_states) else None
        if party is not None:
            for other in self.tenant_states:
                other.recent_arrivals *= 1.0 - 1.0 / TENANT_WINDOW
            party.recent_arrivals += 1.0
        kind, most = self.class_states[event.class_index], self.settings.max_attempts
        request = RequestState(event, kind, party, most, self.now_us)
        self.requests[event.request_id] = request
        self.place(request)
        self.unsent_fraction += (float(not request.attempts) - self.unsent_fraction) / TENANT_WINDOW
        over = self.unsent_fraction > (0.02 if self.overloaded else 0.2)
        if over != self.overloaded and self.log("overload begins" if over else "overload ends"):
            self.overloaded = over

    def on_settings_changed(self, event: SettingsChanged) -> None:
        """What has been learnt of a class or a tenant goes with its name; upstreams stay as they are."""
        asked, self.settings = self.settings.poll_endpoints, event.settings
        self.zones.settings = event.settings
        for pool in self.pools:
            pool.settings = event.settings
        kinds, parties = self.class_states, self.tenant_states
        self.class_states = [
            ClassState(rules, kinds[place].mean_response_us if place is not None else None)
            for rules, place in zip(event.settings.classes, event.previous_class_indexes, strict=True)
        ]
        self.tenant_states = [
            TenantState(tenant, parties[place].recent_arrivals if place is not None else 0.0)
            for tenant, place in zip(event.settings.tenants, event.previous_tenant_indexes, strict=True)
        ]
        self.total_quota_per_s = max(1.0, sum(party.quota_per_s for party in self.tenant_states))
        if self.settings.poll_endpoints != asked:
            self.next_poll_us = 0
            self.schedule_poll(self.now_us + self.backoff_us())

    def on_body_complete(self, request: RequestState, due_us: int) -> None:
        """Its time begins; and only now does it load the upstream that it goes to."""
        request.body_complete, request.arrived_us, request.client_timeout_us = True, self.now_us, due_us - self.now_us
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_us = self.now_us
                self.take_slot(attempt)

    def on_client_half_closed(self, request: RequestState) -> None:
        """What is out may still be answered; what is not is given up at once."""
        request.client_half_closed = True
        if request.outstanding() == 0 and not request.completed:
            self.finish(request)

    def on_deadline_changed(self, request: RequestState, due_us: int) -> None:
        request.client_timeout_us = due_us - request.arrived_us
        if request is self.buffer:
            self.schedule(self.latest_start_us(request), "buffer", request.event.request_id)

    def log(self, text: str) -> bool:
        if self.now_us < self.next_log_us:
            return False  # the change is told later, if it lasts
        self.next_log_us = self.now_us + LOG_INTERVAL_US
        self.actions.append(LogMessage(text))
        return True

    def place(self, request: RequestState) -> None:
        """Through a free slot, else into the buffer, else refused."""
        if self.now_us >= self.latest_start_us(request):
            self.finish(request)
            return
        for pool in self.pools:
            pool.admission_credit = min(pool.admission_credit + pool.admitted_fraction, 2.0)
            pool.served += self.opened_by_arrival(pool)
            pool.last_arrival_us = self.now_us
        server = self.select(request)
        for pool in self.pools[: self.pools.index(server.pool)] if server is not None else self.pools:
            pool.exhausted_us = self.now_us
            if pool.cohorts and not pool.all_warming():
                # hazard: by what is served alone cold ones idle while the warm ones are full and requests refused;
                # but an overload, of which half finds no slot, would push them over
                counts = min(pool.admitted_fraction * max(0.0, 1.0 - 2.0 * self.unsent_fraction), pool.unserved)
                pool.unserved -= counts
                pool.served += counts
        if server is not None:
            self.forward(request, server)
            return
        self.exhausted_us = self.now_us
        if self.may_forward(request) and (
            self.buffer is None or self.expected_weight(request) > self.expected_weight(self.buffer)
        ):
            # hazard: in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            if self.buffer is not None:
                self.finish(self.buffer)
            self.buffer = request
            until_us = self.now_us + request.class_state.half_objective_us
            self.schedule(min(until_us, self.latest_start_us(request)), "buffer", request.event.request_id)
        else:
            self.finish(request)

    def opened_by_arrival(self, pool: Pool) -> float:
        """What an arrival counts for among the answers that open slots of cold upstreams: little, but for a
        pool that is all cold, as a zone that returns, where no warm one sets the pace. Hazard: in an overload
        arrivals alone would push it over; so they count for no more than a part of the allowance."""
        opened = 0.1 * pool.admitted_fraction
        if pool.cohorts and pool.all_warming():
            allowed_per_s = self.total_quota_per_s / self.zones.fleet_size
            passed_s = (self.now_us - pool.last_arrival_us) / 1_000_000
            opened = max(opened, min(WARMING_ARRIVAL_CREDIT, WARMING_QUOTA_SHARE * allowed_per_s * passed_s))
        return opened

    def expected_weight(self, request: RequestState) -> float:
        """The worth of a slot's time given to this request; what is beyond its tenant's share counts less.
        The share is judged among the tenants seen here: of total rates a sidecar knows nothing."""
        s, worth = self.settings, request.class_state.rules.priority_weight
        if not s.weight_by_work:
            worth /= request.class_state.mean_response_us
        if request.tenant is not None:
            allowed = request.tenant.quota_per_s / self.total_quota_per_s
            all_seen = sum(party.recent_arrivals for party in self.tenant_states)
            seen = (
                request.tenant.recent_arrivals / all_seen if all_seen > 0.0 else 0.0
            )  # none since the settings changed
            inside = min(1.0, allowed / seen) if seen > 0.0 else 1.0
            worth *= s.over_quota_weight + (1.0 - s.over_quota_weight) * inside
        elif self.tenant_states:
            worth *= s.over_quota_weight  # it is of no tenant that has a share
        return worth

    def clock_start_us(self, request: RequestState) -> int:
        """What its times count from: its last byte, which may be still to come."""
        return request.arrived_us if request.body_complete else self.now_us

    def useful_until_us(self, request: RequestState) -> int:
        """When an answer stops being worth anything."""
        kind = request.class_state.rules
        late = kind.deadline_us if kind.late_weight > 0 else kind.latency_objective_us
        return self.clock_start_us(request) + min(request.client_timeout_us, late)

    def latest_start_us(self, request: RequestState) -> int:
        """An attempt that starts later is not expected back in time to be of use. Hazard: after an outage
        that every answer outlasted, nothing would be tried again; so at most half the aim is left for it."""
        answer_us = min(request.class_state.mean_response_us, request.class_state.half_objective_us)
        return self.useful_until_us(request) - int(answer_us)

    def fill_from_buffer(self) -> None:
        request = self.buffer
        server = self.select(request) if request is not None else None
        if request is not None and server is not None:
            self.buffer = None
            self.forward(request, server)

    def finish(self, request: RequestState) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        kind = request.class_state.rules
        rejected = any(attempt.outcome is Outcome.REJECTED for attempt in request.attempts)
        harmless = not rejected and (
            kind.effect == "idempotent"
            or request.first_possibly_executed() is None
            or (kind.effect == "deduplicated" and kind.deduplication_scope == "all")
        )
        self.close(request)
        ident, after_us = request.event.request_id, request.class_state.mean_response_us
        # about one answer's time, spread lest refused clients return together
        after_us = min(after_us * (0.5 + self.random.random()), self.settings.max_retry_after_us)
        advice_us = int(after_us) if self.settings.send_retry_after else 0
        self.actions.append(Shed(ident, advice_us) if harmless else Fail(ident))

    def close(self, request: RequestState) -> None:
        request.completed = True
        if self.buffer is request:
            self.buffer = None
        if request.outstanding() == 0:
            self.requests.pop(request.event.request_id, None)

    def record_outcome(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, kind: ClassState) -> None:
        """How an attempt's end opens or closes its upstream's slots."""
        server, pool = attempt.endpoint_state, attempt.endpoint_state.pool
        slow_us = kind.half_objective_us
        load = min(2.0, elapsed_us / slow_us) if outcome in (Outcome.OK, Outcome.CANCELLED) else 2.0
        pace = MAX_LATENCY_RATIO if outcome in IMMEDIATE_FAILURES else elapsed_us / kind.mean_response_us
        pace = min(max(pace, 0.1), MAX_LATENCY_RATIO)
        server.latency_ratio += (pace - server.latency_ratio) / LATENCY_RATIO_WINDOW
        if outcome is Outcome.OK:
            pool.latency_ratio += (pace - pool.latency_ratio) / 8
        self.record_zone_outcome(attempt, outcome, elapsed_us, pace)
        if outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.OVERLOADED):
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            # hazard: a light sidecar has an answer a second or two; one that is slow must not cut it short
            fewest = 1.0 if load < TARGET_LOAD else MIN_SLOW_ANSWERS
            gain = ADMISSION_GAIN / max(fewest, pool.send_rate_per_s) if load < TARGET_LOAD or pool.load > 0.5 else 0.0
            pool.admitted_fraction *= max(0.3, 1.0 + gain * (TARGET_LOAD - load))
            pool.admitted_fraction = min(1.0, max(pool.admitted_fraction, MIN_ADMITTED))
        # hazard: a heavy request is slow by itself; many answers are judged together, each for a little
        step = SLOT_GROWTH * (TARGET_LOAD - load) / max(server.slot_limit, 1.0)
        server.consecutive_failures = server.consecutive_failures + 1 if outcome in IMMEDIATE_FAILURES else 0
        if outcome is Outcome.OVERLOADED or server.consecutive_failures >= CONSECUTIVE_FAILURES:
            # hazard: what fails at once frees its slot at once and so would draw ever more
            server.slot_limit /= 2
        elif outcome in IMMEDIATE_FAILURES:
            pass  # hazard: broken connections here and there, at every upstream, would close all slots
        elif step < 0.0:
            # hazard: after an outage all would rest for long, so slow answers leave the one slot
            server.slot_limit = max(server.slot_limit * (1.0 + step), min(server.slot_limit, 1.0))
        # hazard: slots opened without need (none for two aims), by many sidecars above all, choke bursts
        # hazard: an excess that finds slots farther away leaves no request without, and near slots would only close
        elif server.slot_limit < 1.0 or attempt.sent_us - 4 * slow_us <= (
            max(pool.exhausted_us, self.exhausted_us) if pool.load < SPARE_CAPACITY_LOAD else self.exhausted_us
        ):
            server.slot_limit += min(server.slot_limit, step)
        server.slot_limit = min(max(server.slot_limit, MIN_SLOT_LIMIT), float(MAX_SLOTS))
        if server.slot_limit < 1.0:
            # hazard: beside answers of seconds, short rests leave a choked upstream crowded
            busy_us = max(min(kind.mean_response_us, slow_us), min(elapsed_us, 2 * slow_us))
            rest_us = busy_us * (1.0 / server.slot_limit - 1.0) * (0.5 + self.random.random())
            pool.eject(server, self.now_us + int(rest_us))
        if server.slot_limit < 0.5 and server.in_use:
            pool.set_in_use(
                server, self.now_us, False
            )  # another takes its place; it may come back when its rest is over
            self.actions.append(CloseIdleConnections(server.endpoint.id))
        pool.update_weight(server, self.now_us)
        rests = server.slot_limit < (1.0 if server.logged_as_ejected else 0.25)
        change = "rests" if rests else "is back"
        if rests != server.logged_as_ejected and self.log(f"upstream {server.endpoint.id} {change}"):
            server.logged_as_ejected = rests

    def select(self, request: RequestState) -> EndpointState | None:
        """A random free slot, at one of the few upstreams that this sidecar's traffic needs, else at any; a
        busy zone spills over only what it can't take: a request thinned or without a slot there."""
        if not self.may_forward(request):
            return None
        tried = self.select_zone_health_check(request)
        if tried is not None:
            return tried
        shut = self.zones.excluded()
        if request.class_state.rules.effect == "at_most_once" and (doubted := self.zones.suspected()):
            # hazard: what is lost with the zone can't be sent again; nothing that may be repeated tells it as well
            found = self.select_free_slot(request, shut | doubted)
            if found is not None:
                return found
        missed = {
            number
            for number in {attempt.endpoint.zone for attempt in request.attempts}
            if self.zones.is_silent(number, self.now_us)
        }
        if missed:
            # hazard: to a light sidecar all tries of a request fail in a lost zone, and it never hears that
            # others answer; what a try elsewhere shows is what the zone is weighed against
            found = self.select_free_slot(request, shut | missed)
            if found is not None:
                return found
        return self.select_free_slot(request, shut)

    def select_free_slot(self, request: RequestState, shut: set[int]) -> EndpointState | None:
        nearest = self.pools.index(request.attempts[-1].endpoint_state.pool) if request.outstanding() else TIERS
        for number, pool in enumerate(self.pools):
            if (
                number > nearest
                and self.hedge_stays_in_tier(request)
                or number == TIERS - 1
                and not self.is_answered_in_time(request, pool)
            ):
                continue
            if request.event.client_retry and not request.attempts and pool.admitted_fraction < CLIENT_RETRY_ADMITTED:
                continue  # hazard: its client has waited before; late, it would take the place of one in time
            if pool.cohorts:
                pool.accrue(self.now_us)
            if pool.admission_credit < 1.0:
                # hazard: thinned along with the crowded ones, cold ones would never take the load off them
                found = self.select_from_pool(request, pool, shut, None, True) if pool.cohorts else None
            else:
                # hazard: each sidecar connected to each upstream fills their tables of connections
                few = len(pool.in_use) < MIN_ENDPOINTS_IN_USE + int(pool.send_rate_per_s / SENDS_PER_S_PER_ENDPOINT)
                found = self.select_from_pool(request, pool, shut, not few) or self.select_from_pool(
                    request, pool, shut, few
                )
            if found is not None:
                return found
        return None

    def select_from_pool(
        self, request: RequestState, pool: Pool, shut: set[int], used: bool | None, cold: bool | None = None
    ) -> EndpointState | None:
        """A random upstream with a slot free for it, rather one that has not had it."""
        if not request.attempts:
            return pool.draw(self.random, shut, used, cold)
        mates = self.same_deduplication_scope(request)
        tried = pool.withdraw(attempt.endpoint_state for attempt in request.attempts)
        for again in (False, True):
            if again:
                for server in tried:
                    pool.update_weight(server, self.now_us)
            if mates is None:
                found = pool.draw(self.random, shut, used, cold)
            else:  # hazard: a walk; but of keyed requests that may have run there are few
                some = [s for _, bucket in pool.free_buckets(shut, used, cold) for s in bucket if mates(s.endpoint)]
                found = self.random.choices(some, [s.weight for s in some])[0] if some else None
            if found is not None and not again:
                for server in tried:
                    pool.update_weight(server, self.now_us)
            if found is not None:
                return found
        return None

    def hedge_stays_in_tier(self, request: RequestState) -> bool:
        """A copy goes no farther away than the attempt that it is a copy of, unless something may be wrong with that
        one's zone, or its tier is slow. Hazard: the first sends use up a near tier's credit, and all copies would
        cross."""
        last = request.attempts[-1]
        zone = self.zones.get(last.endpoint.zone)
        return zone.state is ZoneState.ACTIVE and not zone.suspects and last.endpoint_state.pool.load < TARGET_LOAD

    def select_zone_health_check(self, request: RequestState) -> EndpointState | None:
        """Now and then a first attempt that may be repeated goes to a zone that was left."""
        if request.attempts or request.class_state.rules.effect != "idempotent" or self.zones.all_in_use:
            return None
        zone = self.zones.take_due_health_check(self.now_us)
        if zone is None:
            return None
        return self.zones.random.choice(self.members(zone))

    def is_answered_in_time(self, request: RequestState, pool: Pool) -> bool:
        """Another region is of use only for what it can still answer in time, as far away as it has shown to be."""
        return self.now_us + int(request.class_state.mean_response_us * pool.latency_ratio) <= self.useful_until_us(
            request
        )

    def may_forward(self, request: RequestState) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        if request.completed or request.response_started or request.client_half_closed:
            return False
        if self.now_us >= self.clock_start_us(request) + request.client_timeout_us:
            return False
        if request.not_replayable and request.attempts:
            return False
        if len(request.attempts) >= min(request.max_attempts, self.settings.max_attempts):
            return False  # a limit that falls holds for those under way too
        if request.outstanding() > 0 and not self.settings.hedging:
            return False
        first, kind = request.first_possibly_executed(), request.class_state.rules
        if first is None or kind.effect == "idempotent":
            return True
        return kind.effect == "deduplicated" and self.now_us - first.sent_us < kind.deduplication_window_us

    def same_deduplication_scope(self, request: RequestState) -> Callable[[Endpoint], bool] | None:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats; None: all of them."""
        first, kind = request.first_possibly_executed(), request.class_state.rules
        if first is None or kind.effect != "deduplicated" or kind.deduplication_scope == "all":
            return None
        entry = first.endpoint
        if kind.deduplication_scope == "zone":
            return lambda other: other.zone == entry.zone
        return lambda other: other.cell == entry.cell

    def forward(self, request: RequestState, server: EndpointState) -> None:
        pool, cohort = server.pool, server.cohort
        if cohort is not None:  # a try goes to one to which nothing has come due
            cohort.schedule_send(server, 1.0 if server.send_due else 1.0 + server.due_at_accrual - cohort.accrued)
        pool.admission_credit = max(0.0, pool.admission_credit - 1.0)
        faded = math.exp((pool.send_rate_updated_us - self.now_us) / RATE_WINDOW_US)
        pool.send_rate_per_s, pool.send_rate_updated_us = (
            pool.send_rate_per_s * faded + 1_000_000 / RATE_WINDOW_US,
            self.now_us,
        )
        pool.set_in_use(server, self.now_us)
        self.retry_budget = min(
            MAX_RETRY_BUDGET, self.retry_budget + (RETRY_BUDGET_RATIO if not request.attempts else -1.0)
        )
        first, rules = request.first_possibly_executed(), request.class_state.rules
        # hazard: upstreams may have forgotten what ran by the time a connection to this one comes up
        start_by_us = (
            first.sent_us + rules.deduplication_window_us if first is not None and rules.effect == "deduplicated" else 0
        )
        request.attempts.append(AttemptState(server, self.now_us))
        if request.body_complete:  # hazard: bodies that take seconds to come would hold the slots of all others
            self.take_slot(request.attempts[-1])
        elif cohort is not None:
            pool.update_weight(server, self.now_us)
        self.actions.append(
            Forward(request.event.request_id, server.endpoint.id, self.timeout_us(request), start_by_us)
        )
        if self.settings.hedging and rules.effect != "at_most_once" and request.body_complete:
            # soon enough to be back in time, late enough to be seldom
            after_us = min(int(2 * request.class_state.mean_response_us), request.class_state.half_objective_us)
            self.schedule(self.now_us + after_us, "copy", request.event.request_id)
        if len(self.zones.zones) > 1 and request.body_complete:
            self.schedule(self.now_us + self.late_us(request), "late", request.event.request_id)

    def late_us(self, request: RequestState) -> int:
        return min(int(OVERDUE_FACTOR * request.class_state.mean_response_us), request.class_state.half_objective_us)

    def take_slot(self, attempt: AttemptState) -> None:
        attempt.endpoint_state.slots_used += int(not attempt.holds_slot)
        attempt.holds_slot = True
        attempt.endpoint_state.pool.update_weight(attempt.endpoint_state, self.now_us)

    def free_slot(self, attempt: AttemptState) -> None:
        attempt.endpoint_state.slots_used -= int(attempt.holds_slot)
        attempt.holds_slot = False
        attempt.endpoint_state.pool.update_weight(attempt.endpoint_state, self.now_us)

    def timeout_us(self, request: RequestState) -> int:
        """As long as an answer is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, self.useful_until_us(request) - self.now_us)
        if self.settings.hedging or request.class_state.rules.effect == "at_most_once" or self.retry_budget < 1:
            return left_us
        kind, known_us = request.class_state, request.event.expected_work_us
        return min(left_us, max(int(4 * kind.mean_response_us), kind.half_objective_us, 4 * known_us))

    def hedge(self, request: RequestState) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.outstanding() == 1 and self.buffer is None:
            server = self.select(request)
            if server is not None and server is not request.attempts[-1].endpoint_state:
                self.forward(request, server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        attempts = request.attempts[event.attempt_index : event.attempt_index + 1] if request is not None else []
        if request is None or not attempts or attempts[0].outcome is not None:
            return
        attempt = attempts[0]
        attempt.outcome = event.outcome
        if not request.response_started or attempt.holds_slot:  # else it has been learnt from with its first bytes
            self.update_estimates(request, attempt, event.outcome, event.elapsed_us)
        if event.request_completed or request.completed:
            self.cancel_losers(request)
            self.close(request)
        elif request.outstanding() == 0:
            # hazard: when all upstreams are slow at once, time-outs double the load that keeps them slow
            if event.outcome in RETRIED_OUTCOMES and self.may_forward(request) and self.retry_budget >= 1.0:
                self.place(request)
            else:
                self.finish(request)

    def update_estimates(self, request: RequestState, attempt: AttemptState, outcome: Outcome, elapsed_us: int) -> None:
        """What an answer, or its want, tells; its slot is free."""
        self.free_slot(attempt)
        if outcome not in NOT_EVIDENCE:  # hazard: bad requests would close every upstream's slots
            self.record_outcome(attempt, outcome, elapsed_us, request.class_state)
        if outcome is Outcome.OK:
            pool = attempt.endpoint_state.pool
            pool.served += 1.0
            pool.unserved = min(pool.unserved + UNSERVED_SHARE, 2.0)
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            # time-outs count too: else a slow fleet would go on being judged by its few quick answers
            kind = request.class_state
            kind.mean_response_us = max(1.0, kind.mean_response_us + (elapsed_us - kind.mean_response_us) / 8)

    def on_response_started(self, request: RequestState, event: ResponseStarted) -> None:
        """The answer is there, though not all of it: what follows takes as long as the client reads, and
        would hold a slot and count as slow. Copies are work for nobody now."""
        if event.attempt_index >= len(request.attempts) or request.response_started:
            return
        attempt = request.attempts[event.attempt_index]
        if attempt.outcome is None:
            request.response_started = True
            self.update_estimates(request, attempt, Outcome.OK, event.elapsed_us)
            self.cancel_losers(request, event.attempt_index)

    def cancel_losers(self, request: RequestState, winner: int = -1) -> None:
        """An attempt that lost to its copy is work for nobody, and holds a slot that others wait for."""
        if self.settings.cancel_attempts and not request.completed:
            self.actions.extend(
                [
                    CancelAttempt(request.event.request_id, number)
                    for number, attempt in enumerate(request.attempts)
                    if attempt.outcome is None and number != winner
                ]
            )

    def on_endpoints_updated(self, event: EndpointsUpdated) -> None:
        if event.update_kind is UpdateKind.FAILED:
            self.poll_failures += 1
            self.schedule_poll(self.now_us + self.backoff_us())
            return
        if event.update_kind is not UpdateKind.CACHED:
            self.poll_failures = self.next_poll_us = 0
        if event.update_kind is not UpdateKind.DELTA:
            listed = {entry.id for entry in event.endpoints}
            for gone in [server for ident, server in self.endpoints.items() if ident not in listed]:
                self.remove_endpoint(gone)
        started: set[int] = set()
        for entry in event.endpoints:
            server: EndpointState | None = self.endpoints.get(entry.id)
            if server is not None and (entry.status is not EndpointStatus.READY or entry.zone != server.endpoint.zone):
                self.remove_endpoint(server)  # rule 3: the moment we are told
                server = None
            if entry.status is not EndpointStatus.READY:
                continue
            if server is None or server.endpoint.started_us != entry.started_us:
                if entry.started_us:
                    started.add(entry.zone)
                # hazard: all sidecars hear of it within moments, and their first sends would come in a burst
                due = self.random.random()
                if server is None:
                    pool = self.pools[self.zones.tier(entry.zone)]
                    server = self.endpoints[entry.id] = EndpointState(entry, pool)
                    pool.add(server, self.now_us, due)
                else:
                    server.started_us = entry.started_us
                    server.pool.begin_warm_up(server, self.now_us, due)
            server.endpoint = entry
        self.zones.update_endpoint_counts(
            {number: len(members) for pool in self.pools for number, members in pool.zones.items()},
            started,
            self.now_us,
        )

    def remove_endpoint(self, server: EndpointState) -> None:
        del self.endpoints[server.endpoint.id]
        server.pool.remove(server)

    # Zones: what their state, which garnetusher/policy/zones.py owns, means for slots

    def record_zone_outcome(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, pace: float) -> None:
        number, upstream = attempt.endpoint.zone, attempt.endpoint.id
        if outcome in (Outcome.OK, Outcome.CANCELLED):
            self.zones.record_lateness(attempt.overdue)
        if outcome in (Outcome.OK, Outcome.OVERLOADED):
            self.zones.record_answer(
                number, attempt.sent_us, 1.0 if outcome is Outcome.OVERLOADED else pace, self.now_us
            )
        elif outcome is not Outcome.CANCELLED:
            refused = outcome is Outcome.CONNECT_FAILED and 2 * elapsed_us < self.settings.connect_timeout_us
            known = attempt.overdue and outcome is Outcome.TIMEOUT
            self.zones.record_failure(number, upstream, attempt.sent_us, refused, known, pace, self.now_us)

    def on_zone_changed(self, zone: Zone, before: ZoneState) -> None:
        self.actions.append(LogMessage(f"zone {zone.number}: {before.value} -> {zone.state.value}: {zone.reason}"))
        if zone.state is ZoneState.EVACUATED:
            self.evacuated_zones.append(zone)
        elif before is ZoneState.EVACUATED:
            for server in self.members(zone):
                server.slot_limit, server.latency_ratio, server.consecutive_failures, server.ejected_until_us = (
                    INITIAL_SLOTS,
                    1.0,
                    0,
                    0,
                )
                if zone.refused_when_evacuated and server.started_us < zone.evacuated_us:
                    # rule 4: what refuses connections has ended, and the list may say so later
                    server.started_us = self.now_us
                    server.pool.begin_warm_up(server, self.now_us, self.random.random())
                else:
                    server.pool.update_weight(server, self.now_us)

    def members(self, zone: Zone) -> list[EndpointState]:
        return [server for pool in self.pools for server in pool.zones.get(zone.number, {}).values()]

    def evacuate_zone(self, zone: Zone) -> None:
        """Its upstreams are open to nobody; what waits for them and may be repeated goes elsewhere at once."""
        for server in self.members(zone):
            if server.in_use:
                server.pool.set_in_use(server, self.now_us, False)
                self.actions.append(CloseIdleConnections(server.endpoint.id))
            # hazard: the time-outs of the lost would thin out what goes to the others
            server.pool.admitted_fraction, server.pool.load = 1.0, 0.0
        for request in list(self.requests.values()):
            last = request.attempts[-1] if request.attempts else None
            if (
                last is not None
                and last.outcome is None
                and last.endpoint.zone == zone.number
                and self.retry_budget >= 1.0
                and request.class_state.rules.effect == "idempotent"
            ):
                self.hedge(request)

    def backoff_us(self) -> int:
        """How long till discovery is called, or called again. Hazard: one service serves a few calls a second
        for the whole fleet, and those that have waited too long fail; calls that all sidecars make at once,
        as when they restart or all watches break, let none through. So they are spread with full jitter over
        a time that grows with the fleet and doubles with each failure. Rule 3: what discovery has counts as told
        soon after it can be reached, however many calls have failed, so that time has a bound."""
        spread_us = POLL_GAP_US * self.zones.fleet_size * 2 ** min(max(0, self.poll_failures - 1), 20)
        longest_us = min(MAX_POLL_GAP_US, int(self.settings.poll_interval_us * FIRST_POLL_FRACTION))
        return int(min(spread_us, longest_us) * self.random.random())

    def schedule_poll(self, at_us: int) -> None:
        if self.settings.poll_endpoints:
            self.next_poll_us = at_us
            self.schedule(at_us, "list", 0)

    def poll(self) -> None:
        """Asks again if no answer comes: a call that is lost must not leave us without a list (rule 3)."""
        if self.next_poll_us != 0 and self.now_us >= self.next_poll_us:
            self.actions.append(WatchEndpoints(True))
            self.schedule_poll(self.now_us + max(POLL_GAP_US, self.settings.poll_interval_us // 2))

    def schedule(self, at_us: int, what: str, ident: int) -> None:
        heapq.heappush(self.deadlines, (max(at_us, self.now_us + 1), what, ident))

    def arm(self) -> None:
        while self.deadlines and self.deadlines[0][1] != "list" and self.deadlines[0][2] not in self.requests:
            heapq.heappop(self.deadlines)  # most are answered before; each timer for nothing costs as much as a request
        times = [self.deadlines[0][0]] if self.deadlines else []
        if self.buffer is not None:  # a resting slot opens by time, not by an event
            times.extend([at for pool in self.pools if (at := pool.next_readmission_us())])
        if times and (self.timer_us == 0 or min(times) < self.timer_us):
            self.timer_us = min(times)
            self.actions.append(SetTimer(self.timer_us, 0))

    def run_expired(self) -> None:
        while self.deadlines and self.deadlines[0][0] <= self.now_us:
            _, what, ident = heapq.heappop(self.deadlines)
            if what == "list":
                self.poll()
            elif what == "copy" and ident in self.requests:
                self.hedge(self.requests[ident])
            elif what == "late" and ident in self.requests:
                request = self.requests[ident]
                for attempt in request.attempts:
                    if (
                        attempt.outcome is None
                        and not attempt.overdue
                        and self.now_us - attempt.sent_us >= self.late_us(request)
                    ):
                        again = any(other.overdue for other in request.attempts)
                        attempt.overdue = True
                        self.zones.record_overdue(
                            attempt.endpoint.zone, attempt.endpoint.id, attempt.sent_us, again, self.now_us
                        )
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request_id == ident:
                self.finish(self.buffer)
