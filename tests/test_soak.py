"""The soak: its plays are drawn whole from a seed, and its oracle catches each fault that it is there for."""

from __future__ import annotations

import itertools
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest

from garnetusher.lab.sidecars import build
from garnetusher.lab.soak import plan as plans
from garnetusher.lab.soak.oracle import Judge
from garnetusher.lab.soak.plan import Class, Plan, Trouble
from garnetusher.lab.soak.records import Attempt, Change, End, Records, Request, Step
from garnetusher.lab.soak.reduce import reduced
from garnetusher.lab.soak.run import play
from garnetusher.lab.soak.size import Need, rows
from tests.experiment import ROOT
from tests.test_lab import tree


def small(*troubles: Trouble, seconds: float = 3.0, rate_per_s: float = 12.0) -> Plan:
    """Two sidecars for a few seconds."""
    classes = [
        Class("read", "idempotent", 1000),
        Class("publish", "at_most_once", 1000),
        Class("mark", "deduplicated", 1000, "zone"),
    ]
    return Plan(
        7,
        seconds,
        sidecars=2,
        upstreams=4,
        rate_per_s=rate_per_s,
        service_ms=5.0,
        classes=classes,
        troubles=list(troubles),
    )


# Plans


def test_a_play_is_the_same_for_a_seed_and_is_read_as_it_was_saved(tmp_path: Path) -> None:
    plan = plans.draw(5)
    assert plan == plans.draw(5) != plans.draw(6)
    plans.save(plan, tmp_path / "it.json")
    assert plans.load(tmp_path / "it.json") == plan
    with pytest.raises(msgspec.ValidationError, match="kind"):
        (tmp_path / "it.json").write_text((tmp_path / "it.json").read_text().replace(plan.troubles[0].kind, "nothing"))
        plans.load(tmp_path / "it.json")


def test_troubles_overlap_and_all_kinds_and_pairs_come_up() -> None:
    drawn = [plans.draw(seed) for seed in range(300)]
    assert {trouble.kind for plan in drawn for trouble in plan.troubles} == set(plans.ALL)
    assert all(len(plan.pairs()) >= 3 for plan in drawn)
    found = set().union(*(plan.pairs() for plan in drawn))
    assert set(itertools.combinations(sorted(plans.ALL), 2)) <= found


def test_a_play_that_fails_is_made_smaller_as_long_as_it_fails() -> None:
    plan = plans.draw(5)
    needed = {plan.troubles[1].kind, plan.troubles[4].kind}
    played = 0

    def broken(smaller: Plan) -> set[str]:
        nonlocal played
        played += 1
        return {"drain"} if needed <= {trouble.kind for trouble in smaller.troubles} else {"lost"}

    smallest = reduced(plan, {"drain"}, broken, most_plays=500)
    assert {trouble.kind for trouble in smallest.troubles} == needed and smallest.failed == ["drain"]
    assert smallest.sidecars < plan.sidecars and played <= 500
    assert reduced(plan, {"drain"}, broken, most_plays=0).troubles == plan.troubles


# The oracle, on records made by hand

ASKED = Request("s0-1", 0, "publish", 1.0, sent_s=10.0, new_connection=True, end=End.SERVED, ended_s=10.2)
SENT = Attempt("s0-1", 0, 0, first_byte_s=10.01, told_s=0.98, starts=0, whole_s=10.01)


def with_request(**changes: object) -> Request:
    values = {name: getattr(ASKED, name) for name in Request.__slots__}
    return Request(**(values | changes))


def with_attempt(**changes: object) -> Attempt:
    values = {name: getattr(SENT, name) for name in Attempt.__slots__}
    return Attempt(**(values | changes))


def verdicts(
    request: Request,
    *attempts: Attempt,
    changes: tuple[Change, ...] = (),
    steps: tuple[Step, ...] = (),
    strangers: tuple[tuple[int, float, float], ...] = (),
) -> set[str]:
    records = Records({request.ident: request}, list(attempts), list(changes), list(steps), list(strangers))
    return {breach.rule for breach in Judge(small(), records, []).judge()}


@pytest.mark.parametrize(
    ("request_", "attempts", "expected"),
    [
        (ASKED, (SENT,), set()),
        (with_request(end=End.SILENT, ended_s=11.8), (SENT,), {"lost"}),
        (with_request(end=End.SERVED, ended_s=11.7), (SENT,), {"lost"}),
        (with_request(end=End.SERVED, ended_s=11.4), (SENT,), set()),
        (with_request(end=End.CLOSED), (), {"lost"}),
        (with_request(end=End.CLOSED, new_connection=False), (), set()),
        (with_request(end=End.CLOSED, new_connection=False), (SENT,), {"lost"}),
        (with_request(end=End.FAILED), (SENT, with_attempt(first_byte_s=10.1)), {"duplicate"}),
        (with_request(end=End.REFUSED), (SENT,), {"duplicate"}),
        (with_request(end=End.REFUSED), (with_attempt(turned_away=True),), set()),
        (with_request(end=End.REFUSED), (with_attempt(whole_s=0.0),), set()),
        (with_request(kind="read", end=End.REFUSED), (SENT, with_attempt(first_byte_s=10.1)), set()),
        (with_request(kind="mark"), (SENT, with_attempt(first_byte_s=10.1, upstream=1)), set()),
        (with_request(kind="mark"), (SENT, with_attempt(first_byte_s=10.1, upstream=2)), {"duplicate"}),
        (with_request(kind="mark", deadline_s=9.0), (SENT, with_attempt(first_byte_s=13.0)), {"duplicate"}),
        (with_request(kind="read"), tuple(with_attempt(first_byte_s=10 + n / 100) for n in range(4)), {"attempts"}),
        (with_request(left_s=10.1, end=End.CLOSED), (with_attempt(first_byte_s=10.15),), set()),
        (with_request(left_s=10.1, end=End.CLOSED), (with_attempt(first_byte_s=10.3, told_s=0.5),), {"left"}),
        (ASKED, (with_attempt(first_byte_s=10.5),), {"told"}),
        (ASKED, (with_attempt(first_byte_s=10.5, queued=True),), set()),
    ],
)
def test_a_rule_is_judged_by_its_words(request_: Request, attempts: tuple[Attempt, ...], expected: set[str]) -> None:
    assert verdicts(request_, *attempts) == expected


def test_drains_strangers_and_processes_are_judged() -> None:
    drained = Change(0, 0, "leaving", 8.0)
    assert verdicts(ASKED, SENT, changes=(drained,)) == {"drain"}
    assert verdicts(ASKED, SENT, changes=(Change(0, 0, "leaving", 9.0),)) == set()
    assert verdicts(ASKED, SENT, changes=(drained, Change(0, 0, "active", 9.9))) == set()
    assert verdicts(ASKED, SENT, changes=(Change(1, 0, "leaving", 8.0),)) == set()
    assert verdicts(ASKED, SENT, strangers=((0, 5.0, 8.5), (0, 5.0, 0.0), (1, 5.0, 7.9))) == {"strangers"}
    assert verdicts(ASKED, SENT, steps=(Step(0, "died", 9.0, "3"),)) == {"crash"}
    late = with_attempt(first_byte_s=10.31)
    assert verdicts(ASKED, late) == {"told"}
    for began_s, expected in ((10.02, set()), (9.98, {"told"})):  # before it came, or after: then it was chosen late
        assert verdicts(ASKED, late, steps=(Step(0, "stop", began_s), Step(0, "continue", 10.3))) == expected
    assert verdicts(ASKED, SENT, steps=(Step(0, "start", 1.0), Step(0, "ready", 12.0))) == {"ready"}
    killed = with_request(end=End.CLOSED)
    assert verdicts(killed, SENT, steps=(Step(0, "kill", 10.15),)) == set()
    assert verdicts(killed, SENT, steps=(Step(0, "term", 10.15),)) == {"lost"}


def test_what_many_upstreams_may_need_is_judged_row_by_row() -> None:
    usual, large = Need(200, 1.0, 20.0, 40, 60, 40.0, 1.0), Need(3200, 1.8, 50.0, 120, 190, 1700.0, 0.85)
    assert [row.kept for row in rows(usual, large)] == [True] * 6
    over = Need(3200, 1.9, 51.0, 121, 191, 1800.0, 0.84)
    assert [row.kept for row in rows(usual, over)] == [False] * 6
    assert rows(usual, over)[0].line() == "| CPU seconds | 1 | 1.9 | 1.804 | OVER |"


# The oracle, on programs with one fault each

ERRORS = Trouble("errors", 0.5, 2.0, [0, 1, 2, 3], 0.5)
MISDEEDS = {
    "loses_requests": ("lost", small()),
    "repeats_unsafe": ("duplicate", small(ERRORS)),
    "refuses_what_ran": ("duplicate", small(ERRORS)),
    "sends_to_drained": ("drain", small(Trouble("drain", 0.3, 3.0, [0, 1]), seconds=6.0, rate_per_s=20.0)),
    "sends_for_who_left": (
        "left",
        small(Trouble("leavers", 0.3, 2.5, [0, 1]), Trouble("reset", 1.0, 0.1, [0, 1, 2], 1.0)),
    ),
    "tells_more_time": ("told", small()),
    "leaves_strangers_waiting": ("strangers", small(Trouble("strangers", 0.3, 2.5, [0, 1]))),
    "dies": ("crash", small()),
}


def rules_broken(folder: str, run: str, plan: Plan) -> set[str]:
    """In a process of its own."""
    made = Path(folder)
    made.mkdir()
    return {breach["rule"] for breach in play(plan, made / "play", tree(made, run)).breaches}


def test_a_seeded_fault_is_caught_and_the_program_itself_is_not_blamed(tmp_path: Path) -> None:
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
