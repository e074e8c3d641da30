"""The soak: a plan is drawn from its seed, and the oracle catches each fault that it is there for."""

from __future__ import annotations

import itertools
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest

from garnetusher.lab.sidecars import build
from garnetusher.lab.soak import plan as plans
from garnetusher.lab.soak.oracle import Oracle
from garnetusher.lab.soak.plan import Fault, FaultKind, Plan, RequestClass
from garnetusher.lab.soak.records import (
    Attempt,
    End,
    EndpointChange,
    EndpointStatus,
    MalformedConnection,
    ProcessEvent,
    ProcessEventKind,
    Records,
    Request,
)
from garnetusher.lab.soak.reduce import reduce_plan
from garnetusher.lab.soak.run import run_plan
from garnetusher.lab.soak.size import ResourceUse, rows
from tests.experiment import ROOT
from tests.test_lab import tree


def small_plan(*faults: Fault, load_s: float = 3.0, rate_per_s: float = 12.0) -> Plan:
    """Return a plan of two sidecars for a few seconds."""
    classes = [
        RequestClass("read", "idempotent", 1000),
        RequestClass("publish", "at_most_once", 1000),
        RequestClass("mark", "deduplicated", 1000, "zone"),
    ]
    return Plan(
        7,
        load_s,
        sidecars=2,
        upstreams=4,
        rate_per_s=rate_per_s,
        service_ms=5.0,
        classes=classes,
        faults=list(faults),
    )


# Plans


def test_plan_is_read_as_drawn_when_saved(tmp_path: Path) -> None:
    plan = plans.draw(5)
    assert plan == plans.draw(5) != plans.draw(6)
    path = tmp_path / "plan.json"
    plans.save(plan, path)
    assert plans.load(path) == plan
    path.write_text(path.read_text().replace(plan.faults[0].kind, "nothing"))
    with pytest.raises(msgspec.ValidationError, match="kind"):
        plans.load(path)


def test_plans_cover_all_kinds_and_pairs_when_many_seeds_are_drawn() -> None:
    drawn = [plans.draw(seed) for seed in range(300)]
    assert {fault.kind for plan in drawn for fault in plan.faults} == set(plans.ALL_FAULTS)
    assert all(len(plan.overlapping_kinds()) >= 3 for plan in drawn)
    found = set().union(*(plan.overlapping_kinds() for plan in drawn))
    assert set(itertools.combinations(sorted(plans.ALL_FAULTS), 2)) <= found


def test_reducer_keeps_only_needed_faults_when_a_plan_fails() -> None:
    plan = plans.draw(5)
    needed = {plan.faults[1].kind, plan.faults[4].kind}
    runs = 0

    def broken_rules(smaller: Plan) -> set[str]:
        nonlocal runs
        runs += 1
        return {"drain"} if needed <= {fault.kind for fault in smaller.faults} else {"lost"}

    smallest = reduce_plan(plan, {"drain"}, broken_rules, max_runs=500)
    assert {fault.kind for fault in smallest.faults} == needed
    assert smallest.broken_rules == ["drain"]
    assert smallest.sidecars < plan.sidecars
    assert runs <= 500
    assert reduce_plan(plan, {"drain"}, broken_rules, max_runs=0).faults == plan.faults


# The oracle, on records made by hand

REQUEST = Request("s0-1", 0, "publish", 1.0, sent_s=10.0, new_connection=True, end=End.SERVED, ended_s=10.2)
ATTEMPT = Attempt("s0-1", 0, 0, first_byte_s=10.01, announced_remaining_s=0.98, incarnation=0, body_complete_s=10.01)


def with_request(**changes: object) -> Request:
    values = {name: getattr(REQUEST, name) for name in Request.__slots__}
    return Request(**(values | changes))


def with_attempt(**changes: object) -> Attempt:
    values = {name: getattr(ATTEMPT, name) for name in Attempt.__slots__}
    return Attempt(**(values | changes))


def broken_rules_of(
    request: Request,
    *attempts: Attempt,
    changes: tuple[EndpointChange, ...] = (),
    events: tuple[ProcessEvent, ...] = (),
    malformed: tuple[MalformedConnection, ...] = (),
) -> set[str]:
    records = Records({request.request_id: request}, list(attempts), list(changes), list(events), list(malformed))
    return {breach.rule.value for breach in Oracle(small_plan(), records, []).check()}


@pytest.mark.parametrize(
    ("request_", "attempts", "expected"),
    [
        (REQUEST, (ATTEMPT,), set()),
        (with_request(end=End.SILENT, ended_s=11.8), (ATTEMPT,), {"lost"}),
        (with_request(end=End.SERVED, ended_s=11.7), (ATTEMPT,), {"lost"}),
        (with_request(end=End.SERVED, ended_s=11.4), (ATTEMPT,), set()),
        (with_request(end=End.CLOSED), (), {"lost"}),
        (with_request(end=End.CLOSED, new_connection=False), (), set()),
        (with_request(end=End.CLOSED, new_connection=False), (ATTEMPT,), {"lost"}),
        (with_request(end=End.FAILED), (ATTEMPT, with_attempt(first_byte_s=10.1)), {"duplicate"}),
        (with_request(end=End.REFUSED), (ATTEMPT,), {"duplicate"}),
        (with_request(end=End.REFUSED), (with_attempt(rejected=True),), set()),
        (with_request(end=End.REFUSED), (with_attempt(body_complete_s=0.0),), set()),
        (with_request(class_name="read", end=End.REFUSED), (ATTEMPT, with_attempt(first_byte_s=10.1)), set()),
        (with_request(class_name="mark"), (ATTEMPT, with_attempt(first_byte_s=10.1, upstream=1)), set()),
        (with_request(class_name="mark"), (ATTEMPT, with_attempt(first_byte_s=10.1, upstream=2)), {"duplicate"}),
        (with_request(class_name="mark", deadline_s=9.0), (ATTEMPT, with_attempt(first_byte_s=13.0)), {"duplicate"}),
        (
            with_request(class_name="read"),
            tuple(with_attempt(first_byte_s=10 + n / 100) for n in range(4)),
            {"attempts"},
        ),
        (with_request(disconnected_s=10.1, end=End.CLOSED), (with_attempt(first_byte_s=10.15),), set()),
        (
            with_request(disconnected_s=10.1, end=End.CLOSED),
            (with_attempt(first_byte_s=10.3, announced_remaining_s=0.5),),
            {"left"},
        ),
        (REQUEST, (with_attempt(first_byte_s=10.5),), {"told"}),
        (REQUEST, (with_attempt(first_byte_s=10.5, queued=True),), set()),
    ],
)
def test_oracle_reports_the_broken_rule_when_records_show_it(
    request_: Request, attempts: tuple[Attempt, ...], expected: set[str]
) -> None:
    assert broken_rules_of(request_, *attempts) == expected


def test_oracle_judges_drains_connections_and_processes_when_recorded() -> None:
    drained = EndpointChange(0, 0, EndpointStatus.DRAINING, 8.0)
    malformed = (
        MalformedConnection(0, 5.0, 8.5),
        MalformedConnection(0, 5.0, 0.0),
        MalformedConnection(1, 5.0, 7.9),
    )
    assert broken_rules_of(REQUEST, ATTEMPT, changes=(drained,)) == {"drain"}
    assert broken_rules_of(REQUEST, ATTEMPT, changes=(EndpointChange(0, 0, EndpointStatus.DRAINING, 9.0),)) == set()
    assert (
        broken_rules_of(REQUEST, ATTEMPT, changes=(drained, EndpointChange(0, 0, EndpointStatus.ACTIVE, 9.9))) == set()
    )
    assert broken_rules_of(REQUEST, ATTEMPT, changes=(EndpointChange(1, 0, EndpointStatus.DRAINING, 8.0),)) == set()
    assert broken_rules_of(REQUEST, ATTEMPT, malformed=malformed) == {"strangers"}
    assert broken_rules_of(REQUEST, ATTEMPT, events=(ProcessEvent(0, ProcessEventKind.DIED, 9.0, "3"),)) == {"crash"}
    late = with_attempt(first_byte_s=10.31)
    assert broken_rules_of(REQUEST, late) == {"told"}
    for began_s, expected in ((10.02, set()), (9.98, {"told"})):  # before it came, or after: then it was chosen late
        assert (
            broken_rules_of(
                REQUEST,
                late,
                events=(
                    ProcessEvent(0, ProcessEventKind.PAUSE, began_s),
                    ProcessEvent(0, ProcessEventKind.RESUME, 10.3),
                ),
            )
            == expected
        )
    assert broken_rules_of(
        REQUEST,
        ATTEMPT,
        events=(ProcessEvent(0, ProcessEventKind.START, 1.0), ProcessEvent(0, ProcessEventKind.READY, 12.0)),
    ) == {"ready"}
    killed = with_request(end=End.CLOSED)
    assert broken_rules_of(killed, ATTEMPT, events=(ProcessEvent(0, ProcessEventKind.KILL, 10.15),)) == set()
    assert broken_rules_of(killed, ATTEMPT, events=(ProcessEvent(0, ProcessEventKind.TERMINATE, 10.15),)) == {"lost"}


def test_size_table_judges_each_row_when_upstreams_grow() -> None:
    usual, large = ResourceUse(200, 1.0, 20.0, 40, 60, 40.0, 1.0), ResourceUse(3200, 1.8, 50.0, 120, 190, 1700.0, 0.85)
    assert [row.kept for row in rows(usual, large)] == [True] * 6
    over = ResourceUse(3200, 1.9, 51.0, 121, 191, 1800.0, 0.84)
    assert [row.kept for row in rows(usual, over)] == [False] * 6
    assert rows(usual, over)[0].line() == "| CPU seconds | 1 | 1.9 | 1.804 | OVER |"


# The oracle, on programs with one fault each

ERRORS = Fault(FaultKind.ERRORS, 0.5, 2.0, [0, 1, 2, 3], 0.5)
MISDEEDS = {
    "loses_requests": ("lost", small_plan()),
    "repeats_unsafe": ("duplicate", small_plan(ERRORS)),
    "refuses_what_ran": ("duplicate", small_plan(ERRORS)),
    "sends_to_drained": ("drain", small_plan(Fault(FaultKind.DRAIN, 0.3, 3.0, [0, 1]), load_s=6.0, rate_per_s=20.0)),
    "sends_for_who_left": (
        "left",
        small_plan(Fault(FaultKind.DISCONNECTS, 0.3, 2.5, [0, 1]), Fault(FaultKind.RESET, 1.0, 0.1, [0, 1, 2], 1.0)),
    ),
    "tells_more_time": ("told", small_plan()),
    "leaves_strangers_waiting": ("strangers", small_plan(Fault(FaultKind.MALFORMED, 0.3, 2.5, [0, 1]))),
    "dies": ("crash", small_plan()),
}


def rules_broken(folder: str, run: str, plan: Plan) -> set[str]:
    """Run a plan on a program; called in a process of its own."""
    made = Path(folder)
    made.mkdir()
    return {breach.rule for breach in run_plan(plan, made / "play", tree(made, run)).breaches}


def test_soak_catches_a_seeded_fault_and_only_that_when_run_on_processes(tmp_path: Path) -> None:
    build(ROOT)
    bad = "cd {root}; exec .venv/bin/python -B -m tests.faulty.misdeeds {deed}"
    good = f"cd {ROOT}; exec .venv/bin/python -B -m garnetusher.sidecar"
    with ProcessPoolExecutor(4) as pool:
        waiting = []
        for deed, (rule, plan) in MISDEEDS.items():
            waiting.append(
                (deed, rule, pool.submit(rules_broken, str(tmp_path / deed), bad.format(root=ROOT, deed=deed), plan))
            )
        sound = [
            pool.submit(rules_broken, str(tmp_path / f"good-{n}"), good, plan)
            for n, (_, plan) in enumerate(list(MISDEEDS.values())[1:6])
        ]
        caught = {deed: rule in found.result() for deed, rule, found in waiting}
        assert caught == dict.fromkeys(MISDEEDS, True)
        assert [found.result() for found in sound] == [set()] * len(sound)
