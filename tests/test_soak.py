"""Tests of the soak: plans, their reduction, the oracle, and the table of resource use."""

from __future__ import annotations

import itertools
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest

from garnetusher.lab.sidecars import build
from garnetusher.lab.soak import plan as plans
from garnetusher.lab.soak import slow_start
from garnetusher.lab.soak.list_styles import PART_SIZES, Layout, ListStyle
from garnetusher.lab.soak.oracle import Oracle
from garnetusher.lab.soak.plan import Fault, FaultKind, Plan, RequestClass
from garnetusher.lab.soak.records import (
    TAKEOVER_DETAIL,
    Attempt,
    End,
    EndpointChange,
    EndpointStatus,
    Lag,
    MalformedConnection,
    MemorySample,
    ProcessEvent,
    ProcessEventKind,
    Records,
    Request,
    UpstreamRestart,
)
from garnetusher.lab.soak.reduce import reduce_plan
from garnetusher.lab.soak.run import run_plan
from garnetusher.lab.soak.size import ResourceUse, comparison_rows
from garnetusher.policy.events import EndpointStatus as EndpointStatusOfPolicy
from tests.experiment import ROOT
from tests.net import entry, listing
from tests.runner import run
from tests.test_lab import write_tree
from tests.watch_harness import RESPONSE_HEAD, WatcherHarness


def small_plan(*faults: Fault, load_s: float = 3.0, rate_per_s: float = 12.0) -> Plan:
    """Return a plan with two sidecars and a load of a few seconds."""
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


def test_plan_equals_the_drawn_plan_when_saved_and_loaded(tmp_path: Path) -> None:
    plan = plans.draw(5)
    assert plan == plans.draw(5) != plans.draw(6)
    path = tmp_path / "plan.json"
    plans.save(plan, path)
    assert plans.load(path) == plan
    path.write_text(path.read_text().replace(plan.faults[0].kind, "nothing"))
    with pytest.raises(msgspec.ValidationError, match="kind"):
        plans.load(path)


def test_plans_cover_all_kinds_and_pairs_when_many_seeds_are_drawn() -> None:
    drawn_plans = [plans.draw(seed) for seed in range(300)]
    assert {fault.kind for plan in drawn_plans for fault in plan.faults} == set(plans.ALL_FAULTS)
    assert all(len(plan.overlapping_kinds()) >= 3 for plan in drawn_plans)
    found_pairs = set().union(*(plan.overlapping_kinds() for plan in drawn_plans))
    assert set(itertools.combinations(sorted(plans.ALL_FAULTS), 2)) <= found_pairs


def test_reducer_keeps_only_the_required_faults_when_a_plan_fails() -> None:
    plan = plans.draw(5)
    required_kinds = {plan.faults[1].kind, plan.faults[4].kind}
    run_count = 0

    def find_broken_rules(candidate: Plan) -> set[str]:
        nonlocal run_count
        run_count += 1
        return {"drain"} if required_kinds <= {fault.kind for fault in candidate.faults} else {"lost"}

    smallest = reduce_plan(plan, {"drain"}, find_broken_rules, max_runs=500)
    assert {fault.kind for fault in smallest.faults} == required_kinds
    assert smallest.broken_rules == ["drain"]
    assert smallest.sidecars < plan.sidecars
    assert run_count <= 500
    assert reduce_plan(plan, {"drain"}, find_broken_rules, max_runs=0).faults == plan.faults


# The oracle on constructed records

REQUEST = Request("s0-1", 0, "publish", 1.0, sent_s=10.0, new_connection=True, end=End.SERVED, ended_s=10.2)
ATTEMPT = Attempt("s0-1", 0, 0, first_byte_s=10.01, announced_remaining_s=0.98, incarnation=0, body_complete_s=10.01)


def with_request(**changes: object) -> Request:
    values = {name: getattr(REQUEST, name) for name in Request.__slots__}
    return Request(**(values | changes))


def with_attempt(**changes: object) -> Attempt:
    values = {name: getattr(ATTEMPT, name) for name in Attempt.__slots__}
    return Attempt(**(values | changes))


def broken_rules(
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
def test_oracle_reports_the_broken_rule_when_records_contain_a_breach(
    request_: Request, attempts: tuple[Attempt, ...], expected: set[str]
) -> None:
    assert broken_rules(request_, *attempts) == expected


def test_oracle_ignores_the_time_of_bytes_that_waited_at_a_frozen_upstream_until_a_lagging_process_read_them() -> None:
    late = with_attempt(first_byte_s=10.5, thawed_s=10.0)
    for lags, expected in (([], {"told"}), ([Lag(10.49, 0.4)], set())):
        records = Records({REQUEST.request_id: REQUEST}, [late], lags=lags)
        assert {breach.rule.value for breach in Oracle(small_plan(), records, []).check()} == expected


@pytest.mark.parametrize(("gap_s", "expected"), [(0.01, set()), (0.1, {"told"})])
def test_oracle_joins_lags_that_follow_each_other_at_once(gap_s: float, expected: set[str]) -> None:
    lags = [Lag(10.25, 0.2), Lag(10.25 + gap_s + 0.25, 0.25)]
    records = Records({REQUEST.request_id: REQUEST}, [with_attempt(first_byte_s=10.5)], lags=lags)
    assert {breach.rule.value for breach in Oracle(small_plan(), records, []).check()} == expected


def test_oracle_reports_a_response_that_is_cut_off_between_its_head_and_its_late_body() -> None:
    late = with_attempt(late_head_s=10.1)
    served = with_request(end=End.SERVED, ended_s=12.5)
    assert broken_rules(served, late) == set()
    assert broken_rules(with_request(end=End.FAILED), late) == set()
    cut = with_attempt(late_head_s=10.1, cut_s=10.6)
    assert broken_rules(with_request(end=End.FAILED), cut) == {"cut"}
    assert broken_rules(served, cut) == set()
    assert broken_rules(with_request(end=End.FAILED), with_attempt(late_head_s=10.1, cut_s=10.15)) == set()
    ends = [ProcessEvent(0, ProcessEventKind.ENDED, at_s, "-9") for at_s in (10.61, 10.9)]
    assert broken_rules(with_request(end=End.BROKEN), cut, events=(ends[0],)) == set()
    assert broken_rules(with_request(end=End.BROKEN), cut, events=(ends[1],)) == {"cut"}


def test_oracle_reports_a_repeated_id_that_runs_twice_unless_its_process_was_started_in_between() -> None:
    left = with_request(disconnected_s=10.1, repeated_s=10.2, end=End.CLOSED)
    repeat = with_attempt(first_byte_s=10.3)
    start = ProcessEvent(0, ProcessEventKind.START, 10.15)
    assert broken_rules(left, ATTEMPT, repeat) == {"duplicate"}
    assert broken_rules(left, ATTEMPT, repeat, events=(start,)) == set()
    assert broken_rules(left, with_attempt(body_complete_s=0.0), repeat) == set()
    shed = with_request(disconnected_s=10.1, repeated_s=10.2, end=End.REFUSED)
    assert broken_rules(shed, repeat) == set()
    assert broken_rules(shed, ATTEMPT) == {"duplicate"}


def test_oracle_allows_the_cut_of_another_response_only_if_an_upstream_reset_the_one_that_was_passed_on() -> None:
    broken = with_request(class_name="read", end=End.BROKEN, ended_s=10.9)
    loser = with_attempt(first_byte_s=10.1, late_head_s=10.1, cut_s=10.4, upstream=1)
    for reset_s, expected in ((10.89, set()), (10.5, {"cut"}), (0.0, {"cut"})):
        assert broken_rules(broken, with_attempt(late_head_s=10.1, reset_s=reset_s), loser) == expected
    reset = with_attempt(late_head_s=10.1, reset_s=10.89)
    assert broken_rules(with_request(class_name="read", end=End.REFUSED, ended_s=10.9), reset, loser) == {"cut"}


def test_oracle_judges_a_repeat_that_waited_in_a_backlog_by_the_latest_time_at_which_it_was_written() -> None:
    mark = with_request(class_name="mark", deadline_s=9.0)
    for remaining_s, expected in ((8.0, set()), (6.0, {"duplicate"})):
        repeated = with_attempt(first_byte_s=13.0, queued=True, announced_remaining_s=remaining_s)
        assert broken_rules(mark, ATTEMPT, repeated) == expected


def test_oracle_allows_for_a_lag_between_a_kill_and_the_record_of_a_request() -> None:
    request = with_request(end=End.CLOSED, ended_s=10.0)
    kill = ProcessEvent(0, ProcessEventKind.KILL, 9.63)
    for lags, expected in (([], {"lost"}), ([Lag(10.0, 0.3)], set())):
        records = Records({request.request_id: request}, process_events=[kill], lags=lags)
        assert {breach.rule.value for breach in Oracle(small_plan(), records, []).check()} == expected


def test_pressure_leaves_the_other_faults_of_a_seed_unchanged_at_the_least_memory() -> None:
    plan = plans.draw(6)
    extended = plans.add_pressure(plan)
    added = [fault for fault in extended.faults if fault not in plan.faults]
    kinds = {*plans.PRESSURE_UPSTREAM_FAULTS, *plans.PRESSURE_CLIENT_FAULTS, FaultKind.KILL}
    assert {fault.kind for fault in added} == kinds
    assert [fault for fault in extended.faults if fault not in added] == plan.faults
    assert (extended.memory_mb, extended.descriptors) == (32, 1024)


def test_oracle_reports_foreign_bodies_and_memory_over_the_limit() -> None:
    assert broken_rules(with_request(foreign_body=b"served s0-2"), ATTEMPT) == {"foreign"}
    for size_mb, expected in ((96.0, set()), (96.1, {"memory"})):
        records = Records(memory_peaks={0: MemorySample(0, 10.0, size_mb)})
        assert {breach.rule.value for breach in Oracle(small_plan(), records, []).check()} == expected


def test_peer_faults_leave_the_other_faults_of_a_seed_unchanged() -> None:
    plan = plans.draw(5)
    extended = plans.add_peer_faults(plan)
    peer_kinds = set(plans.PEER_UPSTREAM_FAULTS + plans.PEER_CLIENT_FAULTS)
    assert [fault for fault in extended.faults if fault.kind not in peer_kinds] == plan.faults
    assert {fault.kind for fault in extended.faults} >= peer_kinds


def test_list_styles_leave_the_other_faults_of_a_seed_unchanged() -> None:
    plan = plans.draw(5)
    extended = plans.add_list_styles(plan)
    added = [fault for fault in extended.faults if fault not in plan.faults]
    assert [fault.kind for fault in added] == [FaultKind.LIST_STYLES]
    assert [fault for fault in extended.faults if fault not in added] == plan.faults


@pytest.mark.parametrize("layout", Layout)
@pytest.mark.parametrize("part_size", PART_SIZES)
def test_list_has_the_same_endpoints_when_it_is_written_in_any_style(layout: Layout, part_size: int) -> None:
    async def test() -> None:
        harness = WatcherHarness()
        await harness.watch_permanently()
        whole = listing(entry("u0", 1), entry("u1", 2), rev=3)
        change = listing(entry("u1", 2, "leaving"), rev=4, full=False)
        style = ListStyle(layout, part_size, added_endpoints=2)
        data = RESPONSE_HEAD + style.encode(whole) + style.encode(change)
        harness.watch().data_received(data)
        ready, draining = EndpointStatusOfPolicy.READY, EndpointStatusOfPolicy.DRAINING
        added = [("added-0", draining), ("added-1", draining)]
        assert harness.updates == [(3, [("u0", ready), ("u1", ready), *added]), (4, [("u1", draining)])]
        harness.stop()

    run(test)


def test_oracle_reports_breaches_of_drains_connections_and_processes_when_recorded() -> None:
    drained = EndpointChange(0, 0, EndpointStatus.DRAINING, 8.0)
    malformed = (
        MalformedConnection(0, 5.0, 8.5),
        MalformedConnection(0, 5.0, 0.0),
        MalformedConnection(1, 5.0, 7.9),
    )
    assert broken_rules(REQUEST, ATTEMPT, changes=(drained,)) == {"drain"}
    assert broken_rules(REQUEST, ATTEMPT, changes=(EndpointChange(0, 0, EndpointStatus.DRAINING, 9.0),)) == set()
    assert broken_rules(REQUEST, ATTEMPT, changes=(drained, EndpointChange(0, 0, EndpointStatus.ACTIVE, 9.9))) == set()
    assert broken_rules(REQUEST, ATTEMPT, changes=(EndpointChange(1, 0, EndpointStatus.DRAINING, 8.0),)) == set()
    assert broken_rules(REQUEST, ATTEMPT, malformed=malformed) == {"strangers"}
    assert broken_rules(REQUEST, ATTEMPT, events=(ProcessEvent(0, ProcessEventKind.DIED, 9.0, "3"),)) == {"crash"}
    delayed_attempt = with_attempt(first_byte_s=10.31)
    assert broken_rules(REQUEST, delayed_attempt) == {"told"}
    # A pause that begins after the client sent the request (at 10.0) explains the delay. A pause that begins
    # earlier does not explain the delay, because the sidecar chose the attempt late.
    for pause_start_s, expected in ((10.02, set()), (9.98, {"told"})):
        assert (
            broken_rules(
                REQUEST,
                delayed_attempt,
                events=(
                    ProcessEvent(0, ProcessEventKind.PAUSE, pause_start_s),
                    ProcessEvent(0, ProcessEventKind.RESUME, 10.3),
                ),
            )
            == expected
        )
    assert broken_rules(
        REQUEST,
        ATTEMPT,
        events=(ProcessEvent(0, ProcessEventKind.START, 1.0), ProcessEvent(0, ProcessEventKind.READY, 12.0)),
    ) == {"ready"}
    closed_request = with_request(end=End.CLOSED)
    assert broken_rules(closed_request, ATTEMPT, events=(ProcessEvent(0, ProcessEventKind.KILL, 10.15),)) == set()
    assert broken_rules(closed_request, ATTEMPT, events=(ProcessEvent(0, ProcessEventKind.TERMINATE, 10.15),)) == {
        "lost"
    }


TERMINATED = (ProcessEvent(0, ProcessEventKind.TERMINATE, 9.0), ProcessEvent(0, ProcessEventKind.ENDED, 11.0, "-9"))
CUT_ATTEMPT = Attempt("s0-1", 0, 0, 10.01, 0.98, 0, body_complete_s=10.01, late_head_s=10.02, cut_s=11.0)


def test_oracle_excuses_a_response_cut_off_by_sigkill_only_when_its_request_was_not_late() -> None:
    broken = with_request(end=End.BROKEN, ended_s=11.0)
    assert broken_rules(broken, CUT_ATTEMPT, events=TERMINATED) == {"cut"}
    # Without a record of the upstream's end, the client's record shows the cut.
    assert broken_rules(broken, ATTEMPT, events=TERMINATED) == {"cut"}
    by_successor = (ProcessEvent(0, ProcessEventKind.TERMINATE, 9.0, TAKEOVER_DETAIL), TERMINATED[1])
    assert broken_rules(broken, CUT_ATTEMPT, events=by_successor) == set()
    in_time = (ProcessEvent(0, ProcessEventKind.TERMINATE, 9.5), TERMINATED[1])
    assert broken_rules(broken, CUT_ATTEMPT, events=in_time) == set()
    killed = (ProcessEvent(0, ProcessEventKind.KILL, 10.99), TERMINATED[1])
    assert broken_rules(broken, CUT_ATTEMPT, events=killed) == set()
    refused = with_request(class_name="read", end=End.REFUSED, ended_s=10.5)
    given_up = Attempt("s0-1", 0, 0, 10.01, 0.98, 0, body_complete_s=10.01, late_head_s=10.02, cut_s=10.5)
    assert broken_rules(refused, given_up, events=TERMINATED) == set()
    assert broken_rules(refused, given_up, events=()) == {"cut"}


def test_oracle_excuses_the_cut_of_a_response_that_had_lost_against_one_whose_upstream_fell_silent() -> None:
    loser = Attempt("s0-1", 0, 1, 10.01, 0.98, 0, body_complete_s=10.01, late_head_s=10.02, cut_s=10.5)
    silenced = Attempt("s0-1", 0, 0, 10.01, 0.98, 0, body_complete_s=10.01, late_head_s=10.02, silenced_s=11.0)
    request = with_request(class_name="read", end=End.SILENT, ended_s=18.0)
    assert broken_rules(request, loser, silenced) == set()
    assert broken_rules(request, loser) == {"cut"}


def test_oracle_reports_a_late_request_whose_connection_ends_without_a_response() -> None:
    closed = with_request(end=End.CLOSED, new_connection=False, ended_s=11.0)
    assert broken_rules(closed, ATTEMPT, events=TERMINATED) == {"lost"}
    silent = with_request(end=End.SILENT, ended_s=11.8)
    assert broken_rules(silent, ATTEMPT, events=TERMINATED) == {"lost"}


def test_oracle_excuses_a_request_that_was_killed_between_its_first_and_its_last_byte() -> None:
    closed = with_request(end=End.CLOSED, began_s=8.5)
    killed = (ProcessEvent(0, ProcessEventKind.KILL, 9.0),)
    assert broken_rules(closed, events=killed) == set()
    assert broken_rules(with_request(end=End.CLOSED), events=killed) == {"lost"}


STARTED_S = 100.0  # the time at which the upstream of the slow-start tests starts


def cold_start_breaches(attempts: int, *, notified_by_s: float = STARTED_S, process_started_s: float = 1.0) -> set[str]:
    """Return the broken rules if an upstream receives attempts at an even rate in the window after its start."""
    spacing_s = plans.OVERLOAD_WINDOW_S / attempts
    records = Records(
        attempts=[
            Attempt(f"s0-{n}", 0, 0, STARTED_S + n * spacing_s, 0.5, incarnation=1, body_complete_s=STARTED_S)
            for n in range(attempts)
        ],
        endpoint_changes=[EndpointChange(0, 0, EndpointStatus.ACTIVE, STARTED_S, notified_by_s)],
        process_events=[ProcessEvent(0, ProcessEventKind.START, process_started_s)],
        upstream_restarts=[UpstreamRestart(0, 1, STARTED_S)],
    )
    return {breach.rule.value for breach in Oracle(small_plan(), records, []).check()}


def test_oracle_reports_overload_in_slow_start_when_informed_sidecars_exceed_the_limit() -> None:
    within_limit = int(slow_start.burst_limit(slow_start.allowed_requests(small_plan(), age_s=0.0)))
    assert cold_start_breaches(within_limit) == set()
    assert cold_start_breaches(3 * within_limit) == {"cold"}
    # These sidecars have not received the new list in the window.
    assert cold_start_breaches(3 * within_limit, notified_by_s=STARTED_S + 6.0) == set()
    assert cold_start_breaches(3 * within_limit, process_started_s=STARTED_S + 0.1) == set()


@pytest.mark.parametrize(("mean", "limit"), [(0.0, 3.0), (25.0, 43.0), (36.0, 50.0), (100.0, 122.0)])
def test_burst_limit_adds_the_documented_tolerance(mean: float, limit: float) -> None:
    assert slow_start.burst_limit(mean) == limit


def test_size_table_compares_each_row_with_its_limit_when_upstreams_increase() -> None:
    usual, within_limits = (
        ResourceUse(200, 1.0, 20.0, 40, 60, 40.0, 1.0),
        ResourceUse(3200, 1.8, 50.0, 120, 190, 1700.0, 0.85),
    )
    assert [row.kept for row in comparison_rows(usual, within_limits)] == [True] * 6
    over_limits = ResourceUse(3200, 1.9, 51.0, 121, 191, 1800.0, 0.84)
    assert [row.kept for row in comparison_rows(usual, over_limits)] == [False] * 6
    assert comparison_rows(usual, over_limits)[0].line() == "| CPU seconds | 1 | 1.9 | 1.804 | OVER |"


# The oracle on sidecar programs with one defect each

ERRORS = Fault(FaultKind.ERRORS, 0.5, 2.0, [0, 1, 2, 3], 0.5)
# The rule that each defect of tests/faulty/defective_sidecar.py breaks, and a plan that shows the breach.
DEFECTS = {
    "loses_requests": ("lost", small_plan()),
    "serves_foreign_bodies": ("foreign", small_plan()),
    "keeps_memory": ("memory", small_plan()),
    "repeats_unsafe": ("duplicate", small_plan(ERRORS)),
    "sheds_failed_requests": ("duplicate", small_plan(ERRORS)),
    "sends_to_drained": ("drain", small_plan(Fault(FaultKind.DRAIN, 0.3, 3.0, [0, 1]), load_s=6.0, rate_per_s=20.0)),
    "sends_after_disconnect": (
        "left",
        small_plan(Fault(FaultKind.DISCONNECTS, 0.3, 2.5, [0, 1]), Fault(FaultKind.RESET, 1.0, 0.1, [0, 1, 2], 1.0)),
    ),
    "overstates_remaining_time": ("told", small_plan()),
    "ignores_client_timeouts": ("strangers", small_plan(Fault(FaultKind.MALFORMED, 0.3, 2.5, [0, 1]))),
    "dies": ("crash", small_plan()),
    "pushes_cold_over": (
        "cold",
        small_plan(Fault(FaultKind.COLD_START, 0.3, 0.1, [0]), load_s=6.0, rate_per_s=30.0),
    ),
}


def rules_broken_by_program(path: str, command: str, plan: Plan) -> set[str]:
    """Run a plan on sidecars that a command starts, and return the broken rules; worker processes call this."""
    folder = Path(path)
    folder.mkdir()
    return {breach.rule for breach in run_plan(plan, folder / "run", write_tree(folder, command)).breaches}


def test_soak_reports_a_breach_only_when_the_sidecar_program_has_a_defect(tmp_path: Path) -> None:
    build(ROOT)
    defective_command = "cd {root}; exec .venv/bin/python -B -m tests.faulty.defective_sidecar {defect}"
    correct_command = f"cd {ROOT}; exec .venv/bin/python -B -m garnetusher.sidecar"
    with ProcessPoolExecutor(4) as pool:
        defective_runs = []
        for defect, (rule, plan) in DEFECTS.items():
            defective_runs.append(
                (
                    defect,
                    rule,
                    pool.submit(
                        rules_broken_by_program,
                        str(tmp_path / defect),
                        defective_command.format(root=ROOT, defect=defect),
                        plan,
                    ),
                )
            )
        # The correct sidecar runs six of the plans.
        correct_runs = [
            pool.submit(rules_broken_by_program, str(tmp_path / f"correct-{n}"), correct_command, plan)
            for n, (_, plan) in enumerate([*list(DEFECTS.values())[1:6], DEFECTS["pushes_cold_over"]])
        ]
        reported = {defect: rule in future.result() for defect, rule, future in defective_runs}
        assert reported == dict.fromkeys(DEFECTS, True)
        assert [future.result() for future in correct_runs] == [set()] * len(correct_runs)
