"""The four rules, judged from what the stand-ins and the clients wrote down. Nothing here knows the sidecar's code.

Each breach names its rule and carries the event lines that prove it. The rules' words are those of the protocol page:

1. ``one_answer``: each try that was taken gets one final answer by the client's time and half a second, and nothing
   behind it; an answer of 200 is one that an upstream made for it; what is given up is answered at once (`held_back`).
2. ``no_repeat``: an unsafe request is not sent again, nor called harmless to repeat, once it may have run; and nothing
   reaches an upstream that no client sent.
3. ``drain``: nothing new goes to an upstream later than a second after the sidecar was told that it leaves or is gone.
4. ``cold``: a cold upstream is not pushed over by all sidecars together.

And ``crash``: a sidecar ended though the lab had not ended it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan
from garnetusher.model.records import (
    Answered,
    AnyRecord,
    Asked,
    Attempt,
    Broke,
    Ended,
    Extra,
    GaveUp,
    Held,
    Machine,
    Process,
    Silent,
    Told,
    Unreached,
    line_of,
)

SLACK_US = 50_000  # on every time limit, as on sockets
ANSWER_SLACK_US = 500_000  # an answer so much later earns nothing and is not lost
GRACE_US = 1_000_000  # for new work to an upstream that leaves
NEVER_RAN = ("turned_away",)  # ends of an attempt that prove that it did not run
INFORMED_PART = 2 / 3  # of the work that pushed a cold upstream over, from sidecars that knew of its start
DEEMED_TOLD_US = 6_000_000  # whatever the list has to tell counts as told after this
STARVED_US = 300_000  # an answer held back by a process that could not run says nothing of its decisions


class Breach(Struct):
    rule: str
    t: int
    what: str  # one sentence
    lines: list[str]  # the events that prove it


def check(experiment: Experiment, plan: Plan, records: list[AnyRecord]) -> list[Breach]:
    """All breaches of a play, in the order of time."""
    sheet = _Sheet(experiment, plan, records)
    breaches = [
        *_answers(sheet),
        *_held_back(sheet),
        *_repeats(sheet),
        *_drains(sheet),
        *_cold(sheet),
        *_crashes(sheet),
    ]
    return sorted(breaches, key=lambda b: b.t)


class _Sheet:
    """The records by what they are about."""

    def __init__(self, experiment: Experiment, plan: Plan, records: list[AnyRecord]) -> None:
        self.experiment, self.plan = experiment, plan
        self.asked: dict[str, Asked] = {}
        self.unreached: set[str] = set()
        self.answers: dict[str, list[AnyRecord]] = defaultdict(list)  # Answered, Broke, Extra, Silent, GaveUp
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        self.held: dict[str, list[Held]] = defaultdict(list)
        self.ends: dict[tuple[str, int], Ended] = {}
        self.told: dict[tuple[str, str], list[Told]] = defaultdict(list)
        self.machines: dict[str, list[Machine]] = defaultdict(list)
        self.processes: dict[str, list[Process]] = defaultdict(list)
        for r in records:
            if isinstance(r, Asked):
                self.asked[r.id] = r
            elif isinstance(r, Unreached):
                self.unreached.add(r.id)
            elif isinstance(r, Attempt):
                self.attempts[r.id].append(r)
            elif isinstance(r, Ended):
                self.ends[r.upstream, r.n] = r
            elif isinstance(r, Held):
                self.held[r.id].append(r)
            elif isinstance(r, Told):
                self.told[r.sidecar, r.upstream].append(r)
            elif isinstance(r, Machine):
                self.machines[r.upstream].append(r)
            elif isinstance(r, Process):
                self.processes[r.sidecar].append(r)
            elif isinstance(r, Answered | Broke | Extra | Silent | GaveUp):
                self.answers[r.id].append(r)
        self.halts = {name: _halts(steps) for name, steps in self.processes.items()}
        self.cut = _cut_times(plan)
        self.zones = {s.name: s.zone for s in plan.sidecars} | {u.uid: u.zone for u in plan.upstreams}

    def way_us(self, attempt: Attempt) -> int:
        """The longest that an attempt was on its way, before its first byte came."""
        topology = self.experiment.topology
        way_ms = topology.one_way_ms(self.zones[attempt.sidecar], self.zones[attempt.upstream])
        return int(way_ms * (1 + topology.jitter) * 1000)

    def halted(self, sidecar: str, from_us: int, to_us: int) -> bool:
        """Whether the lab kept the process from running, or ended it, at any time between."""
        return any(a <= to_us and from_us <= b for a, b in self.halts.get(sidecar, []))

    def breach(self, rule: str, t: int, what: str, ident: str, *more: AnyRecord) -> Breach:
        """With all that is known of a try."""
        lines: list[AnyRecord] = [self.asked[ident]] if ident in self.asked else []
        for attempt in self.attempts.get(ident, []):
            lines.append(attempt)
            end = self.ends.get((attempt.upstream, attempt.n))
            if end is not None:
                lines.append(end)
        lines += self.answers.get(ident, [])
        lines += [record for record in more if record not in lines]
        return Breach(rule, t, what, [line_of(r) for r in sorted(lines, key=lambda r: r.t)])


def _halts(steps: Iterable[Process]) -> list[tuple[int, int]]:
    """From a kill or a stop until the process of that name is there again, with what it then has to catch up."""
    halts, since = [], None
    for step in steps:
        if step.what in ("killed", "stopped"):
            since = step.t
        elif step.what in ("continued", "spawned") and since is not None:
            halts.append((since, step.t + STARVED_US))
            since = None
    if since is not None:
        halts.append((since, 1 << 62))
    return halts


def _cut_times(plan: Plan) -> list[tuple[int, int]]:
    """When anything was cut off, silent or down: attempts then leave no trace at an upstream."""
    return [
        (s.at_us, s.until_us + 1_000_000)
        for s in plan.spans
        if s.what in ("cut", "silent", "refuse", "kill", "stop", "loss", "restart")
    ]


# Rule 1


def _answers(sheet: _Sheet) -> Iterable[Breach]:
    for ident, asked in sheet.asked.items():
        came = sheet.answers.get(ident, [])
        if sheet.halted(asked.sidecar, asked.t, asked.until_t + ANSWER_SLACK_US):
            continue
        for record in came:
            if isinstance(record, Extra):
                yield sheet.breach("one_answer", record.t, f"more came behind the answer to {ident}", ident)
            elif isinstance(record, Broke):
                yield sheet.breach("one_answer", record.t, f"the connection of {ident} ended without an answer", ident)
            elif isinstance(record, Silent):
                yield sheet.breach("one_answer", record.t, f"{ident} was never answered", ident)
            elif isinstance(record, Answered):
                if record.t > asked.until_t + ANSWER_SLACK_US:
                    yield sheet.breach(
                        "one_answer",
                        record.t,
                        f"{ident} was answered {(record.t - asked.until_t) / 1000:.0f} ms after its time",
                        ident,
                    )
                if record.status == 200 and record.by not in {a.upstream for a in sheet.attempts.get(ident, [])}:
                    yield sheet.breach("one_answer", record.t, f"{ident} was served with what no upstream made", ident)


def _held_back(sheet: _Sheet) -> Iterable[Breach]:
    """Given up in the second half of its time though nothing had been out for it since the first."""
    for ident, asked in sheet.asked.items():
        half_us = (asked.until_t - asked.t) // 2
        for record in sheet.answers.get(ident, []):
            if not isinstance(record, Answered) or record.status == 200 or record.t <= asked.t + half_us + SLACK_US:
                continue
            ends = [_end_us(sheet, attempt) for attempt in sheet.attempts.get(ident, [])]
            last = max([asked.t, *ends, *(h.t for h in sheet.held.get(ident, []))])
            if record.t - last <= half_us + SLACK_US or sheet.halted(asked.sidecar, asked.t, record.t):
                continue
            if any(a <= record.t and asked.t <= b for a, b in sheet.cut):
                continue
            yield sheet.breach(
                "held_back",
                record.t,
                f"{ident} was given up only {(record.t - last) / 1000:.0f} ms after the last that was tried for it",
                ident,
            )


def _end_us(sheet: _Sheet, attempt: Attempt) -> int:
    end = sheet.ends.get((attempt.upstream, attempt.n))
    return end.t if end is not None else 1 << 62


# Rule 2


def _repeats(sheet: _Sheet) -> Iterable[Breach]:
    classes = sheet.experiment.classes
    for ident, attempts in sheet.attempts.items():
        asked = sheet.asked.get(ident)
        if asked is None:
            if ident not in sheet.unreached:
                yield sheet.breach("no_repeat", attempts[0].t, f"{ident} was sent to an upstream by no client", ident)
            continue
        if classes[asked.cls].effect == "idempotent":
            continue
        for before, after in zip(attempts, attempts[1:], strict=False):
            if _may_have_run(sheet, before, after.began):
                yield sheet.breach(
                    "no_repeat", after.t, f"{ident}, which is unsafe, was sent again though it may have run", ident
                )
        for record in sheet.answers.get(ident, []):
            if (
                isinstance(record, Answered)
                and record.status in (429, 503)
                and any(_may_have_run(sheet, a, record.t) for a in attempts if a.t < record.t)
            ):
                yield sheet.breach(
                    "no_repeat",
                    record.t,
                    f"{ident}, which is unsafe, was called harmless to repeat though it may have run",
                    ident,
                )


def _may_have_run(sheet: _Sheet, attempt: Attempt, by_us: int) -> bool:
    end = sheet.ends.get((attempt.upstream, attempt.n))
    return end is None or end.how not in NEVER_RAN or end.t > by_us


# Rule 3


def _drains(sheet: _Sheet) -> Iterable[Breach]:
    leaving: dict[tuple[str, str], list[tuple[int, str]]] = {
        key: [(told.t, told.state) for told in tellings] for key, tellings in sheet.told.items()
    }
    for ident, attempts in sheet.attempts.items():
        for attempt in attempts:
            told = leaving.get((attempt.sidecar, attempt.upstream), [])
            place = bisect_right(told, (attempt.began, "~")) - 1
            if place < 0 or told[place][1] == "active":
                continue
            first = place
            while first > 0 and told[first - 1][1] != "active":
                first -= 1
            late_us = attempt.began - sheet.way_us(attempt) - told[first][0]
            if late_us > GRACE_US + SLACK_US and not sheet.halted(attempt.sidecar, told[first][0], attempt.began):
                yield sheet.breach(
                    "drain",
                    attempt.t,
                    f"{ident} went to {attempt.upstream} {late_us / 1000:.0f} ms "
                    f"after {attempt.sidecar} was told that it is {told[place][1]}",
                    ident,
                    sheet.told[attempt.sidecar, attempt.upstream][first],
                )


# Rule 4


def _cold(sheet: _Sheet) -> Iterable[Breach]:
    """The stand-in falls over as the rule says; whose the blame is, its callers' records tell."""
    window_us = int(sheet.experiment.upstreams.fall_s * 1e6)
    for uid, happened in sheet.machines.items():
        booted = 0
        for record in happened:
            if record.what == "boot":
                booted = record.t
            if record.what != "fell_over":
                continue
            sent = [
                a
                for attempts in sheet.attempts.values()
                for a in attempts
                if a.upstream == uid and record.t - window_us < a.t <= record.t and a.t >= booted
            ]
            knew = sum(a.work_us for a in sent if _knew(sheet, a, booted))
            whole = sum(a.work_us for a in sent)
            if whole and knew >= INFORMED_PART * whole:
                lines = [*map(line_of, sorted(sent, key=lambda a: a.t)), line_of(record)]
                yield Breach(
                    "cold",
                    record.t,
                    f"{uid}, started {(record.t - booted) / 1e6:.1f} s before, was pushed "
                    f"over by {len(sent)} attempts, {knew / whole:.0%} of the work from sidecars that knew",
                    lines,
                )


def _knew(sheet: _Sheet, attempt: Attempt, booted: int) -> bool:
    told = sheet.told.get((attempt.sidecar, attempt.upstream), [])
    if attempt.t >= booted + DEEMED_TOLD_US:
        return True
    return any(booted <= t.t <= attempt.t and t.state == "active" for t in told)


def _crashes(sheet: _Sheet) -> Iterable[Breach]:
    for name, steps in sheet.processes.items():
        for step in steps:
            if step.what == "died":
                yield Breach("crash", step.t, f"{name} ended though nobody had asked it to", [line_of(step)])
