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
from garnetusher.policy.slots import FIRST_SLOTS, Pool, Server
from garnetusher.policy.zones import State, Zone, Zones

MOST_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
NEVER_RAN = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN)
INSTANT_FAULTS = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET)
FAULTS_IN_A_ROW = 2  # tell a failing upstream from one broken connection or answer among good ones
UNJUDGED = (Outcome.REJECTED, Outcome.NOT_WRITTEN)  # tell nothing of an upstream
REISSUED = (*INSTANT_FAULTS, Outcome.TIMEOUT, Outcome.NOT_WRITTEN)  # hazard: an upstream failing a part, or
# gone before it was sent to, would lose them all
SMALLEST_WINDOW = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
GROWTH = 0.4  # slots a round of answers moves, by the distance from the full load; 0.8 is too rash
FULL_LOAD = 0.85  # of the slow time, where slots settle: more chokes crowded upstreams, less refuses early
ROOM = FULL_LOAD / 2  # of the slow time, under which a tier has room: its excess opens slots there, not far away
UNMET_PART = 0.5  # of what is served: so much of what finds no slot counts beside it for cold upstreams, at the most
TENANT_MEMORY = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
FEWEST_IN_USE = 4  # upstreams whose slots are open to a sidecar with next to no traffic
A_SECOND_EACH = 1.5  # sends a second that call for one more: fewer teach nothing, more crowd it
SLOWEST_PACE = 4.0  # an answer that takes longer beside the usual one counts as this
PACE_MEMORY = 4  # answers that make up an upstream's pace
ADMIT_GAIN = 2.4  # a second of slow answers cuts what is admitted to a tenth; slower, queues fill first
FEWEST_ANSWERS = 8.0  # slow ones that cut what is admitted to a tenth
RETRY_ADMITTED = 0.9  # share admitted under which clients that come again yield; one slow answer takes less
LEAST_ADMITTED = 0.1  # hazard: where service itself has slowed, letting in less mends nothing
RATE_MEMORY_US = 5_000_000
RETRY_SHARE = 0.2  # reissues a first send earns: enough for a fifth of the fleet to fail every attempt
MOST_RETRIES = 5.0  # reissues in hand after a calm spell
LOG_GAP_US = 1_000_000  # a line a second at most, however many upstreams change
COLD_ARRIVAL = 0.3  # an arrival's count in a pool that is all cold: it gets a third of its load to begin with
COLD_ALLOWANCE = 0.2  # of the rate allowed to this sidecar: with the answers within thrice the least warmth
CALL_GAP_US = 250_000  # between the fleet's calls to discovery, at first: one costs it up to 0.2 s
FIRST_ASK_PART = 0.8  # of ask-within, in which a call is made
# a change counts as told 6 s after discovery could be reached; a call takes up to 2.5 s of that, hold-ups the rest
LONGEST_CALL_GAP_US = 3_000_000
TIERS = 3  # this zone, this region, other regions
LATE_TIMES = 3.0  # the usual answer time, at most half the aim, after which an attempt speaks against its zone


class Kind:
    """A class of requests, as the operator set it, and what has been learnt of it."""

    def __init__(self, rules: RequestClass, mean_us: float | None = None) -> None:
        self.rules = rules
        self.mean_us = mean_us or rules.latency_objective_us / 4  # of its answers; at first a guess
        self.half_aim_us = (
            rules.latency_objective_us // 2
        )  # the delay threshold, and the time of a slow answer: the other
        # half is left for a new try


class Party:
    """A tenant, as the operator set it, and what has been seen of it."""

    def __init__(self, tenant: Tenant, seen: float = 0.0) -> None:
        self.allowance_per_s = tenant.quota_per_s
        self.seen = seen  # arrivals, the old ones fading


class Attempt:
    def __init__(self, server: Server, now_us: int) -> None:
        self.server = server
        self.entry = server.entry  # as it was listed then
        self.sent_us = now_us
        self.ended: Outcome | None = None  # None while it is out
        self.holds_slot = False
        self.late = False  # out for longer than answers take


class Request:
    def __init__(self, event: RequestArrived, kind: Kind, party: Party | None, most_attempts: int, now_us: int) -> None:
        self.event = event
        self.kind = kind  # hazard: by its place in the settings, it would change with them
        self.party = party
        self.most_attempts = most_attempts
        self.arrived_us = now_us
        self.patience_us = event.deadline_us - now_us  # of its client, from then on
        self.whole = event.body_complete  # else its body is still coming, and no time has begun
        self.passed = False  # its body can't be sent again
        self.attempts: list[Attempt] = []
        self.done = self.streaming = self.left = False

    def out(self) -> int:
        return sum(1 for attempt in self.attempts if attempt.ended is None)

    def first_that_may_have_run(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.ended not in NEVER_RAN), None)


class Balancer:
    def __init__(self, settings: Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}  # the ready ones, in the order listed
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.kinds = [Kind(rules) for rules in settings.classes]
        self.parties = [Party(tenant) for tenant in settings.tenants]
        self.pools = [Pool(settings, now_us) for _ in range(TIERS)]  # a tier each, in this order; may be empty
        self.zones = Zones(settings, seed, now_us, self.on_zone)
        self.zones_left: list[Zone] = []  # in this event
        self.retries = MOST_RETRIES  # reissues in hand
        self.short_us = 0  # when a request last found no free slot anywhere
        self.allowed_per_s = max(1.0, sum(party.allowance_per_s for party in self.parties))
        self.unsent = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int]] = []  # (when, what, request); a heap
        self.armed_us = self.list_failures = 0  # armed: the next timer already asked for; 0 = none
        self.ask_list_us = 0  # when the list is asked for next; 0 = not, as it is subscribed to
        self.ask_list_at(now_us + self.backoff_us())

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.now_us = now_us
        for pool in self.pools:
            if pool.rests:
                pool.wake(now_us)
        if isinstance(event, AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, TimerFired):
            if self.armed_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.armed_us = 0
            self.run_due()
        elif isinstance(event, ClientDisconnected) and event.request_id in self.requests:
            self.close(self.requests[event.request_id])
        elif isinstance(event, ClientHalfClosed) and event.request_id in self.requests:
            self.on_left(self.requests[event.request_id])
        elif isinstance(event, ResponseStarted) and event.request_id in self.requests:
            self.on_stream_started(self.requests[event.request_id], event)
        elif isinstance(event, RequestBodyComplete) and event.request_id in self.requests:
            self.on_whole(self.requests[event.request_id], event.deadline_us)
        elif isinstance(event, DeadlineChanged) and event.request_id in self.requests:
            self.on_due_moved(self.requests[event.request_id], event.deadline_us)
        elif isinstance(event, RequestNotReplayable) and event.request_id in self.requests:
            self.requests[event.request_id].passed = True
        elif isinstance(event, EndpointsUpdated):
            self.on_list(event)
        elif isinstance(event, SettingsChanged):
            self.on_settings(event)
        elif isinstance(event, ZoneOverridden):
            self.zones.order(event.zone, event.evacuate, now_us)
        elif isinstance(event, FleetSizeChanged):
            self.zones.counted = max(0, event.fleet_size)
        while self.zones_left:
            self.leave_zone(self.zones_left.pop())
        self.fill_from_buffer()
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: RequestArrived) -> None:
        if event.request_id in self.requests:
            return
        party = self.parties[event.tenant_index] if event.tenant_index < len(self.parties) else None
        if party is not None:
            for other in self.parties:
                other.seen *= 1.0 - 1.0 / TENANT_MEMORY
            party.seen += 1.0
        kind, most = self.kinds[event.class_index], self.settings.max_attempts
        request = Request(event, kind, party, most, self.now_us)
        self.requests[event.request_id] = request
        self.place(request)
        self.unsent += (float(not request.attempts) - self.unsent) / TENANT_MEMORY
        over = self.unsent > (0.02 if self.overloaded else 0.2)
        if over != self.overloaded and self.log("overload begins" if over else "overload ends"):
            self.overloaded = over

    def on_settings(self, event: SettingsChanged) -> None:
        """What has been learnt of a class or a tenant goes with its name; upstreams stay as they are."""
        asked, self.settings = self.settings.poll_endpoints, event.settings
        self.zones.settings = event.settings
        for pool in self.pools:
            pool.settings = event.settings
        kinds, parties = self.kinds, self.parties
        self.kinds = [
            Kind(rules, kinds[place].mean_us if place is not None else None)
            for rules, place in zip(event.settings.classes, event.previous_class_indexes, strict=True)
        ]
        self.parties = [
            Party(tenant, parties[place].seen if place is not None else 0.0)
            for tenant, place in zip(event.settings.tenants, event.previous_tenant_indexes, strict=True)
        ]
        self.allowed_per_s = max(1.0, sum(party.allowance_per_s for party in self.parties))
        if self.settings.poll_endpoints != asked:
            self.ask_list_us = 0
            self.ask_list_at(self.now_us + self.backoff_us())

    def on_whole(self, request: Request, due_us: int) -> None:
        """Its time begins; and only now does it load the upstream that it goes to."""
        request.whole, request.arrived_us, request.patience_us = True, self.now_us, due_us - self.now_us
        for attempt in request.attempts:
            if attempt.ended is None:
                attempt.sent_us = self.now_us
                self.take_slot(attempt)

    def on_left(self, request: Request) -> None:
        """What is out may still be answered; what is not is given up at once."""
        request.left = True
        if request.out() == 0 and not request.done:
            self.finish(request)

    def on_due_moved(self, request: Request, due_us: int) -> None:
        request.patience_us = due_us - request.arrived_us
        if request is self.buffer:
            self.wake(self.latest_start_us(request), "buffer", request.event.request_id)

    def log(self, text: str) -> bool:
        if self.now_us < self.next_log_us:
            return False  # the change is told later, if it lasts
        self.next_log_us = self.now_us + LOG_GAP_US
        self.actions.append(LogMessage(text))
        return True

    def place(self, request: Request) -> None:
        """Through a free slot, else into the buffer, else refused."""
        if self.now_us >= self.latest_start_us(request):
            self.finish(request)
            return
        for pool in self.pools:
            pool.credit = min(pool.credit + pool.admitted, 2.0)
            pool.served += self.opened_by_arrival(pool)
            pool.arrival_us = self.now_us
        server = self.draw(request)
        for pool in self.pools[: self.pools.index(server.pool)] if server is not None else self.pools:
            pool.short_us = self.now_us
            if pool.cohorts and not pool.all_cold():
                # hazard: by what is served alone cold ones idle while the warm ones are full and requests refused;
                # but an overload, of which half finds no slot, would push them over
                counts = min(pool.admitted * max(0.0, 1.0 - 2.0 * self.unsent), pool.unmet)
                pool.unmet -= counts
                pool.served += counts
        if server is not None:
            self.send(request, server)
            return
        self.short_us = self.now_us
        if self.may_send(request) and (self.buffer is None or self.value(request) > self.value(self.buffer)):
            # hazard: in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            if self.buffer is not None:
                self.finish(self.buffer)
            self.buffer = request
            until_us = self.now_us + request.kind.half_aim_us
            self.wake(min(until_us, self.latest_start_us(request)), "buffer", request.event.request_id)
        else:
            self.finish(request)

    def opened_by_arrival(self, pool: Pool) -> float:
        """What an arrival counts for among the answers that open slots of cold upstreams: little, but for a
        pool that is all cold, as a zone that returns, where no warm one sets the pace. Hazard: in an overload
        arrivals alone would push it over; so they count for no more than a part of the allowance."""
        opened = 0.1 * pool.admitted
        if pool.cohorts and pool.all_cold():
            allowed_per_s = self.allowed_per_s / self.zones.instances
            passed_s = (self.now_us - pool.arrival_us) / 1_000_000
            opened = max(opened, min(COLD_ARRIVAL, COLD_ALLOWANCE * allowed_per_s * passed_s))
        return opened

    def value(self, request: Request) -> float:
        """The worth of a slot's time given to this request; what is beyond its tenant's share counts less.
        The share is judged among the tenants seen here: of total rates a sidecar knows nothing."""
        s, worth = self.settings, request.kind.rules.priority_weight
        if not s.weight_by_work:
            worth /= request.kind.mean_us
        if request.party is not None:
            allowed = request.party.allowance_per_s / self.allowed_per_s
            all_seen = sum(party.seen for party in self.parties)
            seen = request.party.seen / all_seen if all_seen > 0.0 else 0.0  # none since the settings changed
            inside = min(1.0, allowed / seen) if seen > 0.0 else 1.0
            worth *= s.over_quota_weight + (1.0 - s.over_quota_weight) * inside
        elif self.parties:
            worth *= s.over_quota_weight  # it is of no tenant that has a share
        return worth

    def since_us(self, request: Request) -> int:
        """What its times count from: its last byte, which may be still to come."""
        return request.arrived_us if request.whole else self.now_us

    def useful_until_us(self, request: Request) -> int:
        """When an answer stops being worth anything."""
        kind = request.kind.rules
        late = kind.deadline_us if kind.late_weight > 0 else kind.latency_objective_us
        return self.since_us(request) + min(request.patience_us, late)

    def latest_start_us(self, request: Request) -> int:
        """An attempt that starts later is not expected back in time to be of use. Hazard: after an outage
        that every answer outlasted, nothing would be tried again; so at most half the aim is left for it."""
        answer_us = min(request.kind.mean_us, request.kind.half_aim_us)
        return self.useful_until_us(request) - int(answer_us)

    def fill_from_buffer(self) -> None:
        request = self.buffer
        server = self.draw(request) if request is not None else None
        if request is not None and server is not None:
            self.buffer = None
            self.send(request, server)

    def finish(self, request: Request) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        kind = request.kind.rules
        rejected = any(attempt.ended is Outcome.REJECTED for attempt in request.attempts)
        harmless = not rejected and (
            kind.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (kind.effect == "deduplicated" and kind.deduplication_scope == "all")
        )
        self.close(request)
        ident, after_us = request.event.request_id, request.kind.mean_us
        # about one answer's time, spread lest refused clients return together
        after_us = min(after_us * (0.5 + self.random.random()), self.settings.max_retry_after_us)
        advice_us = int(after_us) if self.settings.send_retry_after else 0
        self.actions.append(Shed(ident, advice_us) if harmless else Fail(ident))

    def close(self, request: Request) -> None:
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.out() == 0:
            self.requests.pop(request.event.request_id, None)

    def judge(self, attempt: Attempt, outcome: Outcome, elapsed_us: int, kind: Kind) -> None:
        """How an attempt's end opens or closes its upstream's slots."""
        server, pool = attempt.server, attempt.server.pool
        slow_us = kind.half_aim_us
        load = min(2.0, elapsed_us / slow_us) if outcome in (Outcome.OK, Outcome.CANCELLED) else 2.0
        pace = SLOWEST_PACE if outcome in INSTANT_FAULTS else elapsed_us / kind.mean_us
        pace = min(max(pace, 0.1), SLOWEST_PACE)
        server.pace += (pace - server.pace) / PACE_MEMORY
        if outcome is Outcome.OK:
            pool.pace += (pace - pool.pace) / 8
        self.judge_zone(attempt, outcome, elapsed_us, pace)
        if outcome in (Outcome.OK, Outcome.TIMEOUT, Outcome.OVERLOADED):
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            # hazard: a light sidecar has an answer a second or two; one that is slow must not cut it short
            fewest = 1.0 if load < FULL_LOAD else FEWEST_ANSWERS
            gain = ADMIT_GAIN / max(fewest, pool.rate) if load < FULL_LOAD or pool.load > 0.5 else 0.0
            pool.admitted *= max(0.3, 1.0 + gain * (FULL_LOAD - load))
            pool.admitted = min(1.0, max(pool.admitted, LEAST_ADMITTED))
        # hazard: a heavy request is slow by itself; many answers are judged together, each for a little
        step = GROWTH * (FULL_LOAD - load) / max(server.window, 1.0)
        server.faults = server.faults + 1 if outcome in INSTANT_FAULTS else 0
        if outcome is Outcome.OVERLOADED or server.faults >= FAULTS_IN_A_ROW:
            # hazard: what fails at once frees its slot at once and so would draw ever more
            server.window /= 2
        elif outcome in INSTANT_FAULTS:
            pass  # hazard: broken connections here and there, at every upstream, would close all slots
        elif step < 0.0:
            # hazard: after an outage all would rest for long, so slow answers leave the one slot
            server.window = max(server.window * (1.0 + step), min(server.window, 1.0))
        # hazard: slots opened without need (none for two aims), by many sidecars above all, choke bursts
        # hazard: an excess that finds slots farther away leaves no request without, and near slots would only close
        elif server.window < 1.0 or attempt.sent_us - 4 * slow_us <= (
            max(pool.short_us, self.short_us) if pool.load < ROOM else self.short_us
        ):
            server.window += min(server.window, step)
        server.window = min(max(server.window, SMALLEST_WINDOW), float(MOST_SLOTS))
        if server.window < 1.0:
            # hazard: beside answers of seconds, short rests leave a choked upstream crowded
            busy_us = max(min(kind.mean_us, slow_us), min(elapsed_us, 2 * slow_us))
            rest_us = busy_us * (1.0 / server.window - 1.0) * (0.5 + self.random.random())
            pool.rest(server, self.now_us + int(rest_us))
        if server.window < 0.5 and server.in_use:
            pool.use(server, self.now_us, False)  # another takes its place; it may come back when its rest is over
            self.actions.append(CloseIdleConnections(server.entry.id))
        pool.weigh(server, self.now_us)
        rests = server.window < (1.0 if server.rests else 0.25)
        change = "rests" if rests else "is back"
        if rests != server.rests and self.log(f"upstream {server.entry.id} {change}"):
            server.rests = rests

    def draw(self, request: Request) -> Server | None:
        """A random free slot, at one of the few upstreams that this sidecar's traffic needs, else at any; a
        busy zone spills over only what it can't take: a request thinned or without a slot there."""
        if not self.may_send(request):
            return None
        tried = self.draw_try(request)
        if tried is not None:
            return tried
        shut = self.zones.shut()
        if request.kind.rules.effect == "at_most_once" and (doubted := self.zones.doubted()):
            # hazard: what is lost with the zone can't be sent again; nothing that may be repeated tells it as well
            found = self.draw_slot(request, shut | doubted)
            if found is not None:
                return found
        missed = {
            number
            for number in {attempt.entry.zone for attempt in request.attempts}
            if self.zones.quiet(number, self.now_us)
        }
        if missed:
            # hazard: to a light sidecar all tries of a request fail in a lost zone, and it never hears that
            # others answer; what a try elsewhere shows is what the zone is weighed against
            found = self.draw_slot(request, shut | missed)
            if found is not None:
                return found
        return self.draw_slot(request, shut)

    def draw_slot(self, request: Request, shut: set[int]) -> Server | None:
        nearest = self.pools.index(request.attempts[-1].server.pool) if request.out() else TIERS
        for number, pool in enumerate(self.pools):
            if (
                number > nearest
                and self.stays(request)
                or number == TIERS - 1
                and not self.worth_the_way(request, pool)
            ):
                continue
            if request.event.client_retry and not request.attempts and pool.admitted < RETRY_ADMITTED:
                continue  # hazard: its client has waited before; late, it would take the place of one in time
            if pool.cohorts:
                pool.grow(self.now_us)
            if pool.credit < 1.0:
                # hazard: thinned along with the crowded ones, cold ones would never take the load off them
                found = self.pick(request, pool, shut, None, True) if pool.cohorts else None
            else:
                # hazard: each sidecar connected to each upstream fills their tables of connections
                few = len(pool.in_use) < FEWEST_IN_USE + int(pool.rate / A_SECOND_EACH)
                found = self.pick(request, pool, shut, not few) or self.pick(request, pool, shut, few)
            if found is not None:
                return found
        return None

    def pick(
        self, request: Request, pool: Pool, shut: set[int], used: bool | None, cold: bool | None = None
    ) -> Server | None:
        """A random upstream with a slot free for it, rather one that has not had it."""
        if not request.attempts:
            return pool.pick(self.random, shut, used, cold)
        mates = self.mates(request)
        tried = pool.without(attempt.server for attempt in request.attempts)
        for again in (False, True):
            if again:
                for server in tried:
                    pool.weigh(server, self.now_us)
            if mates is None:
                found = pool.pick(self.random, shut, used, cold)
            else:  # hazard: a walk; but of keyed requests that may have run there are few
                some = [s for _, bucket in pool.free(shut, used, cold) for s in bucket if mates(s.entry)]
                found = self.random.choices(some, [s.weight for s in some])[0] if some else None
            if found is not None and not again:
                for server in tried:
                    pool.weigh(server, self.now_us)
            if found is not None:
                return found
        return None

    def stays(self, request: Request) -> bool:
        """A copy goes no farther away than the attempt that it is a copy of, unless something may be wrong with that
        one's zone, or its tier is slow. Hazard: the first sends use up a near tier's credit, and all copies would
        cross."""
        last = request.attempts[-1]
        zone = self.zones.of(last.entry.zone)
        return zone.state is State.NEAR and not zone.suspects and last.server.pool.load < FULL_LOAD

    def draw_try(self, request: Request) -> Server | None:
        """Now and then a first attempt that may be repeated goes to a zone that was left."""
        if request.attempts or request.kind.rules.effect != "idempotent" or self.zones.all_used:
            return None
        zone = self.zones.due_try(self.now_us)
        if zone is None:
            return None
        return self.zones.random.choice(self.members(zone))

    def worth_the_way(self, request: Request, pool: Pool) -> bool:
        """Another region is of use only for what it can still answer in time, as far away as it has shown to be."""
        return self.now_us + int(request.kind.mean_us * pool.pace) <= self.useful_until_us(request)

    def may_send(self, request: Request) -> bool:
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        if request.done or request.streaming or request.left:
            return False
        if self.now_us >= self.since_us(request) + request.patience_us:
            return False
        if request.passed and request.attempts:
            return False
        if len(request.attempts) >= min(request.most_attempts, self.settings.max_attempts):
            return False  # a limit that falls holds for those under way too
        if request.out() > 0 and not self.settings.hedging:
            return False
        first, kind = request.first_that_may_have_run(), request.kind.rules
        if first is None or kind.effect == "idempotent":
            return True
        return kind.effect == "deduplicated" and self.now_us - first.sent_us < kind.deduplication_window_us

    def mates(self, request: Request) -> Callable[[Endpoint], bool] | None:
        """Rule 2: after a keyed attempt that may have run, only upstreams that drop its repeats; None: all of them."""
        first, kind = request.first_that_may_have_run(), request.kind.rules
        if first is None or kind.effect != "deduplicated" or kind.deduplication_scope == "all":
            return None
        entry = first.entry
        if kind.deduplication_scope == "zone":
            return lambda other: other.zone == entry.zone
        return lambda other: other.cell == entry.cell

    def send(self, request: Request, server: Server) -> None:
        pool, cohort = server.pool, server.cohort
        if cohort is not None:  # a try goes to one to which nothing has come due
            cohort.put_off(server, 1.0 if server.due else 1.0 + server.due_at - cohort.growth)
        pool.credit = max(0.0, pool.credit - 1.0)
        faded = math.exp((pool.rated_us - self.now_us) / RATE_MEMORY_US)
        pool.rate, pool.rated_us = pool.rate * faded + 1_000_000 / RATE_MEMORY_US, self.now_us
        pool.use(server, self.now_us)
        self.retries = min(MOST_RETRIES, self.retries + (RETRY_SHARE if not request.attempts else -1.0))
        first, rules = request.first_that_may_have_run(), request.kind.rules
        # hazard: upstreams may have forgotten what ran by the time a connection to this one comes up
        start_by_us = (
            first.sent_us + rules.deduplication_window_us if first is not None and rules.effect == "deduplicated" else 0
        )
        request.attempts.append(Attempt(server, self.now_us))
        if request.whole:  # hazard: bodies that take seconds to come would hold the slots of all others
            self.take_slot(request.attempts[-1])
        elif cohort is not None:
            pool.weigh(server, self.now_us)
        self.actions.append(Forward(request.event.request_id, server.entry.id, self.timeout_us(request), start_by_us))
        if self.settings.hedging and rules.effect != "at_most_once" and request.whole:
            # soon enough to be back in time, late enough to be seldom
            after_us = min(int(2 * request.kind.mean_us), request.kind.half_aim_us)
            self.wake(self.now_us + after_us, "copy", request.event.request_id)
        if len(self.zones.zones) > 1 and request.whole:
            self.wake(self.now_us + self.late_us(request), "late", request.event.request_id)

    def late_us(self, request: Request) -> int:
        return min(int(LATE_TIMES * request.kind.mean_us), request.kind.half_aim_us)

    def take_slot(self, attempt: Attempt) -> None:
        attempt.server.used += int(not attempt.holds_slot)
        attempt.holds_slot = True
        attempt.server.pool.weigh(attempt.server, self.now_us)

    def free_slot(self, attempt: Attempt) -> None:
        attempt.server.used -= int(attempt.holds_slot)
        attempt.holds_slot = False
        attempt.server.pool.weigh(attempt.server, self.now_us)

    def timeout_us(self, request: Request) -> int:
        """As long as an answer is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, self.useful_until_us(request) - self.now_us)
        if self.settings.hedging or request.kind.rules.effect == "at_most_once" or self.retries < 1:
            return left_us
        kind, known_us = request.kind, request.event.expected_work_us
        return min(left_us, max(int(4 * kind.mean_us), kind.half_aim_us, 4 * known_us))

    def send_copy(self, request: Request) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.out() == 1 and self.buffer is None:
            server = self.draw(request)
            if server is not None and server is not request.attempts[-1].server:
                self.send(request, server)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        attempts = request.attempts[event.attempt_index : event.attempt_index + 1] if request is not None else []
        if request is None or not attempts or attempts[0].ended is not None:
            return
        attempt = attempts[0]
        attempt.ended = event.outcome
        if not request.streaming or attempt.holds_slot:  # else it has been learnt from with its first bytes
            self.learn(request, attempt, event.outcome, event.elapsed_us)
        if event.request_completed or request.done:
            self.cancel_losers(request)
            self.close(request)
        elif request.out() == 0:
            # hazard: when all upstreams are slow at once, time-outs double the load that keeps them slow
            if event.outcome in REISSUED and self.may_send(request) and self.retries >= 1.0:
                self.place(request)
            else:
                self.finish(request)

    def learn(self, request: Request, attempt: Attempt, outcome: Outcome, elapsed_us: int) -> None:
        """What an answer, or its want, tells; its slot is free."""
        self.free_slot(attempt)
        if outcome not in UNJUDGED:  # hazard: bad requests would close every upstream's slots
            self.judge(attempt, outcome, elapsed_us, request.kind)
        if outcome is Outcome.OK:
            pool = attempt.server.pool
            pool.served += 1.0
            pool.unmet = min(pool.unmet + UNMET_PART, 2.0)
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            # time-outs count too: else a slow fleet would go on being judged by its few quick answers
            kind = request.kind
            kind.mean_us = max(1.0, kind.mean_us + (elapsed_us - kind.mean_us) / 8)

    def on_stream_started(self, request: Request, event: ResponseStarted) -> None:
        """The answer is there, though not all of it: what follows takes as long as the client reads, and
        would hold a slot and count as slow. Copies are work for nobody now."""
        if event.attempt_index >= len(request.attempts) or request.streaming:
            return
        attempt = request.attempts[event.attempt_index]
        if attempt.ended is None:
            request.streaming = True
            self.learn(request, attempt, Outcome.OK, event.elapsed_us)
            self.cancel_losers(request, event.attempt_index)

    def cancel_losers(self, request: Request, winner: int = -1) -> None:
        """An attempt that lost to its copy is work for nobody, and holds a slot that others wait for."""
        if self.settings.cancel_attempts and not request.done:
            self.actions.extend(
                [
                    CancelAttempt(request.event.request_id, number)
                    for number, attempt in enumerate(request.attempts)
                    if attempt.ended is None and number != winner
                ]
            )

    def on_list(self, event: EndpointsUpdated) -> None:
        if event.update_kind is UpdateKind.FAILED:
            self.list_failures += 1
            self.ask_list_at(self.now_us + self.backoff_us())
            return
        if event.update_kind is not UpdateKind.CACHED:
            self.list_failures = self.ask_list_us = 0
        if event.update_kind is not UpdateKind.DELTA:
            listed = {entry.id for entry in event.endpoints}
            for gone in [server for ident, server in self.servers.items() if ident not in listed]:
                self.forget(gone)
        started: set[int] = set()
        for entry in event.endpoints:
            server: Server | None = self.servers.get(entry.id)
            if server is not None and (entry.status is not EndpointStatus.READY or entry.zone != server.entry.zone):
                self.forget(server)  # rule 3: the moment we are told
                server = None
            if entry.status is not EndpointStatus.READY:
                continue
            if server is None or server.entry.started_us != entry.started_us:
                if entry.started_us:
                    started.add(entry.zone)
                # hazard: all sidecars hear of it within moments, and their first sends would come in a burst
                due = self.random.random()
                if server is None:
                    pool = self.pools[self.zones.tier(entry.zone)]
                    server = self.servers[entry.id] = Server(entry, pool)
                    pool.add(server, self.now_us, due)
                else:
                    server.started_us = entry.started_us
                    server.pool.start(server, self.now_us, due)
            server.entry = entry
        self.zones.listed(
            {number: len(members) for pool in self.pools for number, members in pool.zones.items()},
            started,
            self.now_us,
        )

    def forget(self, server: Server) -> None:
        del self.servers[server.entry.id]
        server.pool.drop(server)

    # Zones: what their state, which garnetusher/policy/zones.py owns, means for slots

    def judge_zone(self, attempt: Attempt, outcome: Outcome, elapsed_us: int, pace: float) -> None:
        number, upstream = attempt.entry.zone, attempt.entry.id
        if outcome in (Outcome.OK, Outcome.CANCELLED):
            self.zones.timed(attempt.late)
        if outcome in (Outcome.OK, Outcome.OVERLOADED):
            self.zones.answered(number, attempt.sent_us, 1.0 if outcome is Outcome.OVERLOADED else pace, self.now_us)
        elif outcome is not Outcome.CANCELLED:
            refused = outcome is Outcome.CONNECT_FAILED and 2 * elapsed_us < self.settings.connect_timeout_us
            known = attempt.late and outcome is Outcome.TIMEOUT
            self.zones.failed(number, upstream, attempt.sent_us, refused, known, pace, self.now_us)

    def on_zone(self, zone: Zone, before: State) -> None:
        self.actions.append(LogMessage(f"zone {zone.number}: {before.value} -> {zone.state.value}: {zone.why}"))
        if zone.state is State.LEFT:
            self.zones_left.append(zone)
        elif before is State.LEFT:
            for server in self.members(zone):
                server.window, server.pace, server.faults, server.rest_until_us = FIRST_SLOTS, 1.0, 0, 0
                if zone.refused and server.started_us < zone.left_us:
                    # rule 4: what refuses connections has ended, and the list may say so later
                    server.started_us = self.now_us
                    server.pool.start(server, self.now_us, self.random.random())
                else:
                    server.pool.weigh(server, self.now_us)

    def members(self, zone: Zone) -> list[Server]:
        return [server for pool in self.pools for server in pool.zones.get(zone.number, {}).values()]

    def leave_zone(self, zone: Zone) -> None:
        """Its upstreams are open to nobody; what waits for them and may be repeated goes elsewhere at once."""
        for server in self.members(zone):
            if server.in_use:
                server.pool.use(server, self.now_us, False)
                self.actions.append(CloseIdleConnections(server.entry.id))
            # hazard: the time-outs of the lost would thin out what goes to the others
            server.pool.admitted, server.pool.load = 1.0, 0.0
        for request in list(self.requests.values()):
            last = request.attempts[-1] if request.attempts else None
            if (
                last is not None
                and last.ended is None
                and last.entry.zone == zone.number
                and self.retries >= 1.0
                and request.kind.rules.effect == "idempotent"
            ):
                self.send_copy(request)

    def backoff_us(self) -> int:
        """How long till discovery is called, or called again. Hazard: one service serves a few calls a second
        for the whole fleet, and those that have waited too long fail; calls that all sidecars make at once,
        as when they restart or all watches break, let none through. So they are spread with full jitter over
        a time that grows with the fleet and doubles with each failure. Rule 3: what discovery has counts as told
        soon after it can be reached, however many calls have failed, so that time has a bound."""
        spread_us = CALL_GAP_US * self.zones.instances * 2 ** min(max(0, self.list_failures - 1), 20)
        longest_us = min(LONGEST_CALL_GAP_US, int(self.settings.poll_interval_us * FIRST_ASK_PART))
        return int(min(spread_us, longest_us) * self.random.random())

    def ask_list_at(self, at_us: int) -> None:
        if self.settings.poll_endpoints:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def ask_list(self) -> None:
        """Asks again if no answer comes: a call that is lost must not leave us without a list (rule 3)."""
        if self.ask_list_us != 0 and self.now_us >= self.ask_list_us:
            self.actions.append(WatchEndpoints(True))
            self.ask_list_at(self.now_us + max(CALL_GAP_US, self.settings.poll_interval_us // 2))

    def wake(self, at_us: int, what: str, ident: int) -> None:
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), what, ident))

    def arm(self) -> None:
        while self.wakeups and self.wakeups[0][1] != "list" and self.wakeups[0][2] not in self.requests:
            heapq.heappop(self.wakeups)  # most are answered before; each timer for nothing costs as much as a request
        times = [self.wakeups[0][0]] if self.wakeups else []
        if self.buffer is not None:  # a resting slot opens by time, not by an event
            times.extend([at for pool in self.pools if (at := pool.rests_end_us())])
        if times and (self.armed_us == 0 or min(times) < self.armed_us):
            self.armed_us = min(times)
            self.actions.append(SetTimer(self.armed_us, 0))

    def run_due(self) -> None:
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, what, ident = heapq.heappop(self.wakeups)
            if what == "list":
                self.ask_list()
            elif what == "copy" and ident in self.requests:
                self.send_copy(self.requests[ident])
            elif what == "late" and ident in self.requests:
                request = self.requests[ident]
                for attempt in request.attempts:
                    if (
                        attempt.ended is None
                        and not attempt.late
                        and self.now_us - attempt.sent_us >= self.late_us(request)
                    ):
                        again = any(other.late for other in request.attempts)
                        attempt.late = True
                        self.zones.overdue(attempt.entry.zone, attempt.entry.id, attempt.sent_us, again, self.now_us)
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request_id == ident:
                self.finish(self.buffer)
