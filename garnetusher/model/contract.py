"""The host's side of the contract with a `Balancer`: carries out its actions, ends attempts, and checks every action.

It is no simulator: whoever drives it says what happens and when. The four rules are checked as the protocol page words
them, from records kept here and none of the module's; `audit` checks the module's bookkeeping against them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from garnetusher.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Forward,
    PollEndpoints,
    SetTimer,
    Shed,
    WatchEndpoints,
)
from garnetusher.policy.balancer import Balancer
from garnetusher.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ClientHalfClosed,
    DeadlineChanged,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    Outcome,
    RequestArrived,
    RequestBodyComplete,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from garnetusher.policy.settings import Settings

NEVER_RAN = {Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_WRITTEN}
START_US = 1_000_000_000  # a start at 0 would mean long ago
MOST_TIMERS_AT_ONCE = 50  # fired at one instant: beyond it each arms the next for now, for ever


class Breach(AssertionError):
    """A rule of the contract is broken; `rule` names it in a word, the text says how."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


def need(holds: bool, rule: str, text: str) -> None:
    if not holds:
        raise Breach(rule, text)


@dataclass
class Try:
    """One attempt, as the host knows it."""

    upstream: int
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    listing: int  # how often its upstream had been listed anew by then
    timeout_us: int = 0  # from when the request is whole; 0: none
    outcome: Outcome | None = None


@dataclass
class Owed:
    """A request that has been taken."""

    event: RequestArrived
    tries: list[Try] = field(default_factory=list)
    answers: int = 0
    closed: bool = False
    stream: bool = False
    coming: bool = False  # its body is: no time has begun, and no slot is held
    left: bool = False  # its client sends nothing more

    def may_have_run(self) -> list[Try]:
        return [t for t in self.tries if t.outcome not in NEVER_RAN]

    def out(self) -> list[int]:
        return [n for n, t in enumerate(self.tries) if t.outcome is None]


class Host:
    """One module and all that it is owed and owes. Its methods raise `Breach`."""

    def __init__(self, settings: Settings, seed: int = 7) -> None:
        self.settings = settings
        self.now_us = START_US
        self.balancer = Balancer(self.settings, seed, self.now_us)
        self.owed: dict[int, Owed] = {}
        self.known: dict[int, Endpoint] = {}
        self.listings: dict[int, int] = {}
        self.refused_us: dict[int, int] = {}  # upstreams told draining or gone: since when
        self.timers: list[tuple[int, int]] = []
        self.log: list[Action] = []
        self.next_id = 1

    # Events

    def tell(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.log.extend(actions)
        return actions

    def tell_list(self, entries: list[Endpoint], kind: UpdateKind = UpdateKind.SNAPSHOT) -> list[Action]:
        for entry in entries:
            before = self.known.get(entry.id)
            if entry.id in self.refused_us or before is None or before.zone != entry.zone:
                self.listings[entry.id] = self.listings.get(entry.id, 0) + 1
            self.known[entry.id] = entry
            if entry.status is EndpointStatus.READY:
                self.refused_us.pop(entry.id, None)
            else:
                self.refused_us.setdefault(entry.id, self.now_us)
        if kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED):
            for ident in self.known.keys() - {e.id for e in entries}:
                self.refused_us.setdefault(ident, self.now_us)
        return self.tell(EndpointsUpdated(kind, entries))

    def arrive(self, class_index: int = 0, patience_us: int | None = None, **fields: Any) -> int:
        ident = self.next_id
        self.next_id += 1
        patience = patience_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(ident, self.now_us + patience, class_index, **fields)
        self.owed[ident] = Owed(event, coming=not event.body_complete)
        self.tell(event)
        return ident

    def end(self, request: int, attempt: int, outcome: Outcome, **fields: list[float]) -> list[Action]:
        owed = self.owed[request]
        this = owed.tries[attempt]
        assert this.outcome is None
        this.outcome = outcome
        if (outcome is Outcome.OK or owed.stream) and not owed.closed:
            owed.closed = True
            owed.answers += 1
        return self.tell(
            AttemptEnded(request, attempt, this.upstream, outcome, self.now_us - this.sent_us, owed.closed, **fields)
        )

    def whole(self, request: int) -> None:
        """The last byte of a long body has come: its time begins."""
        owed = self.owed[request]
        owed.coming = False
        owed.event.deadline_us = self.now_us + self.settings.classes[owed.event.class_index].deadline_us
        for number in owed.out():
            this = owed.tries[number]
            this.sent_us = self.now_us  # an attempt counts once its last byte has arrived (the protocol page)
            this.ends_us = min(owed.event.deadline_us, self.now_us + (this.timeout_us or owed.event.deadline_us))
        self.tell(RequestBodyComplete(request, owed.event.deadline_us))

    def begin_stream(self, request: int, attempt: int) -> None:
        self.owed[request].stream = True
        self.tell(ResponseStarted(request, attempt, self.owed[request].tries[attempt].upstream))

    def quit(self, request: int) -> None:
        self.owed[request].closed = True
        self.owed[request].answers = 1
        self.tell(ClientDisconnected(request))

    def leave(self, request: int) -> None:
        """Its client sends nothing more; what waits for a connection ends unsent, what is out goes on."""
        self.owed[request].left = True
        self.tell(ClientHalfClosed(request))

    def hasten(self, request: int, due_us: int) -> None:
        """Its client has to be answered sooner, and attempts end sooner with that."""
        owed = self.owed[request]
        owed.event.deadline_us = due_us
        for number in owed.out():
            owed.tries[number].ends_us = min(due_us, owed.tries[number].ends_us)
        self.tell(DeadlineChanged(request, due_us))

    def advance(self, by_us: int, held_us: int = 0) -> None:
        """Move the clock, with the timers and the attempts' time-outs that fall due on the way. With `held_us` the
        process does not run for so long at first, and what fell due meanwhile comes late, all at once."""
        end_us = self.now_us + by_us
        self.now_us += min(held_us, by_us)
        at_once = 0
        while True:
            due = [(at, 1, token, 0) for at, token in self.timers]
            due += [
                (t.ends_us, 0, ident, n)
                for ident, owed in self.owed.items()
                if not owed.stream and not owed.coming
                for n, t in enumerate(owed.tries)
                if t.outcome is None
            ]
            due = [d for d in due if d[0] <= end_us]
            if not due:
                break
            at, kind, first, second = min(due)
            at_once = 0 if at > self.now_us else at_once + kind
            need(at_once <= MOST_TIMERS_AT_ONCE, "timers", f"{at_once} timers fired at one instant")
            self.now_us = max(self.now_us, at)
            if kind == 0:
                self.end(first, second, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, first))
                self.tell(TimerFired(first))
        self.now_us = end_us
        slack_us = 4 * self.settings.batch_interval_us + held_us
        for ident, owed in self.owed.items():
            overdue = self.now_us > owed.event.deadline_us + slack_us and not owed.stream and not owed.coming
            need(not overdue or owed.answers == 1, "rule 1", f"request {ident} is unanswered past due")

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Forward):
            self.check_send(action)
        elif isinstance(action, Shed | Fail):
            self.check_answer(action)
        elif isinstance(action, CancelAttempt):
            need(self.settings.cancel_attempts, "contract", "a cancel where none is allowed")
            need(action.attempt_index < len(self.owed[action.request_id].tries), "contract", "a cancel of no attempt")
        elif isinstance(action, SetTimer):
            need(action.at_us >= self.now_us, "contract", "a timer in the past")
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, CheckHealth):
            need(self.settings.health_checks, "contract", "a probe where none is allowed")
        else:
            need(
                not isinstance(action, WatchEndpoints | PollEndpoints) or self.settings.poll_endpoints,
                "contract",
                "a call for a list that is pushed",
            )

    def check_send(self, send: Forward) -> None:
        owed = self.owed[send.request_id]
        entry = self.known[send.endpoint_id]
        kind = self.settings.classes[owed.event.class_index]
        need(not owed.closed, "rule 1", "a send after the end")
        need(not owed.left, "left", "a send for a client that has left")
        need(len(owed.tries) < self.settings.max_attempts, "contract", "more attempts than allowed")
        need(send.endpoint_id not in self.refused_us, "rule 3", "a send to a draining or gone upstream")
        need(self.settings.hedging or not owed.out(), "rule 2", "two attempts out together")
        for earlier in owed.may_have_run():
            need(kind.effect != "at_most_once", "rule 2", "an unsafe request sent again")
            if kind.effect == "deduplicated":
                need(self.now_us - earlier.sent_us <= kind.deduplication_window_us, "rule 2", "past the memory")
                need(
                    0 < send.latest_start_us <= earlier.sent_us + kind.deduplication_window_us,
                    "rule 2",
                    "may begin past the memory",
                )
                need(kind.deduplication_scope != "cell" or entry.cell == earlier.cell, "rule 2", "outside the cell")
                need(kind.deduplication_scope != "zone" or entry.zone == earlier.zone, "rule 2", "outside the zone")
        ends_us = owed.event.deadline_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        owed.tries.append(
            Try(
                send.endpoint_id,
                entry.zone,
                entry.cell,
                self.now_us,
                ends_us,
                self.listings[send.endpoint_id],
                send.timeout_us,
            )
        )

    def check_answer(self, answer: Shed | Fail) -> None:
        owed = self.owed[answer.request_id]
        kind = self.settings.classes[owed.event.class_index]
        need(not owed.closed, "rule 1", "a second answer")
        owed.closed = True
        owed.answers += 1
        if isinstance(answer, Shed):
            need(answer.retry_after_us <= self.settings.max_retry_after_us, "contract", "too long a retry-after")
            harmless = kind.effect == "idempotent" or (
                kind.effect == "deduplicated" and kind.deduplication_scope == "all"
            )
            need(harmless or not owed.may_have_run(), "rule 2", "a refusal of what may have run")

    def audit(self) -> None:
        """No slot is lost or given twice: what the module holds of each upstream is what is out there."""
        out: dict[int, int] = {}
        for owed in self.owed.values():
            for number in owed.out():
                this = owed.tries[number]
                if not owed.stream and not owed.coming and this.listing == self.listings[this.upstream]:
                    out[this.upstream] = out.get(this.upstream, 0) + 1
        for ident, server in self.balancer.endpoints.items():
            streams = sum(
                1 for owed in self.owed.values() if owed.stream for n in owed.out() if owed.tries[n].upstream == ident
            )
            held = out.get(ident, 0)
            need(
                held <= server.slots_used <= held + streams,
                "slots",
                f"upstream {ident} has {server.slots_used} slots taken, and {held} attempts out",
            )

    # What tests look at

    def sends(self, request: int | None = None) -> list[Forward]:
        return [a for a in self.log if isinstance(a, Forward) and request in (None, a.request_id)]

    def answer(self, request: int) -> Action | None:
        for action in self.log:
            if isinstance(action, Shed | Fail) and action.request_id == request:
                return action
        return None
