"""The plain objects under the lab: machines, links, plans."""

from __future__ import annotations

import os
import random
import subprocess
import sys

from hypothesis import given, settings
from hypothesis import strategies as st

from garnetusher.model import draw, experiment, plan
from garnetusher.model.experiment import Upstreams
from garnetusher.model.link import DatagramLink, StreamLink, Weather
from garnetusher.model.upstream import Action, FellOver, Finished, TurnedAway, Upstream, overload_budget_us
from tests.experiment import ROOT, small

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "cancel", "hang", "resume", "slow", "die", "boot", "wait"]),
        st.integers(0, 400_000),
        st.integers(1, 300_000),
    ),
    max_size=60,
)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(STEPS)
def test_each_job_ends_once_whatever_befalls_its_machine(steps: list[tuple[str, int, int]]) -> None:
    machine = Upstream(Upstreams(per_zone={}, cores=2, queue_per_core=2), 1.0)
    now, last, open_jobs, ended = 0, 0, set[int](), set[int]()

    def end(jobs: list[int]) -> None:
        for job in jobs:
            assert job in open_jobs and job not in ended
            open_jobs.discard(job)
            ended.add(job)

    def carry_out(actions: list[Action]) -> None:
        for action in actions:
            end(action.dropped if isinstance(action, FellOver) else [action.job])

    for what, wait, work in [*steps, ("resume", 0, 1), ("wait", 10**9, 1)]:
        now += wait
        carry_out(machine.wakeup(now))
        if what == "arrive":
            last += 1
            open_jobs.add(last)
            carry_out(machine.arrive(now, last, work))
        elif what == "cancel" and open_jobs:
            job = min(open_jobs)
            carry_out(machine.cancel(now, job))
            open_jobs.discard(job)
        elif what in ("hang", "resume"):
            carry_out(machine.hang(now, what == "hang"))
        elif what == "slow":
            carry_out(machine.slow_down(now, 3.0))
        elif what == "die":
            end(machine.die(now))
        elif what == "boot" and machine.down:
            machine.boot(now)
        assert machine.held == len(open_jobs) and len(machine.running) <= 2
        due = machine.next_us()
        assert due is None or due > now
    assert not open_jobs


def test_a_machine_works_at_its_speed_and_in_order() -> None:
    machine = Upstream(Upstreams(per_zone={}, cores=1, thrash=0), 2.0)
    for job in (1, 2):
        machine.arrive(0, job, 100_000)
    assert 50_000 <= (machine.next_us() or 0) <= 50_002
    assert machine.wakeup(49_000) == []
    assert machine.wakeup(60_000) == [Finished(1)]
    machine.slow_down(60_000, 2.0)  # 80,000 of work left, at the standard speed
    assert machine.wakeup(139_000) == [] and machine.wakeup(140_010) == [Finished(2)]


def test_a_machine_crowded_for_long_chokes_until_it_has_rested() -> None:
    figures = Upstreams(per_zone={}, cores=1, thrash=0, choke_at=2, choke_over_s=1, choke_rest_s=0.5)
    machine = Upstream(figures, 1.0)
    for job in range(4):
        machine.arrive(0, job, 600_000)
    assert [len(machine.wakeup(t)) for t in (600_010, 1_200_020)] == [1, 1] and machine.degraded
    assert machine.wakeup(2_700_000) == [] and machine.wakeup(2_800_000) == [Finished(2)]  # 2.6 times 0.6 s
    assert machine.wakeup(4_400_000) == [Finished(3)] and machine.degraded  # rested for a moment only
    machine.wakeup(4_600_000)
    assert machine.degraded
    machine.arrive(5_000_000, 9, 1_000)
    assert not machine.degraded


def test_a_full_machine_turns_away() -> None:
    machine = Upstream(Upstreams(per_zone={}, cores=1, queue_per_core=2), 1.0)
    assert [machine.arrive(0, job, 1000) for job in range(4)][3] == [TurnedAway(3)]


def test_a_cold_machine_falls_at_its_budget_and_not_before() -> None:
    figures = Upstreams(
        per_zone={}, cores=2, cold_share=0.2, warm_up_s=20, fall_s=2, overload_factor=3, queue_per_core=10_000
    )
    for share, falls in ((0.97, False), (1.25, True)):
        machine = Upstream(figures, 1.0)
        machine.boot(1_000_000)
        fell = False
        for step in range(400):
            now = 1_000_000 + step * 10_000
            work = share * (overload_budget_us(figures, 1.0, 1_000_000, now) / 200)  # of a window of 200 such steps
            fell = fell or any(isinstance(a, FellOver) for a in machine.arrive(now, step, int(work)))
        assert fell is falls and machine.down is falls


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    st.integers(0, 10**6),
    st.lists(st.tuples(st.sampled_from(["send", "wait", "cut", "mend"]), st.integers(0, 50_000)), max_size=60),
)
def test_a_stream_comes_whole_and_in_order(seed: int, steps: list[tuple[str, int]]) -> None:
    weather = Weather(delay_us=2_000, jitter=0.5, loss=0.1, bytes_per_s=1e6)
    link, now, sent, came = StreamLink(weather, random.Random(seed)), 0, b"", b""
    for number, (what, wait) in enumerate([*steps, ("mend", 0), ("mend", 0), ("wait", 10**8)]):
        now += wait
        if what == "send":
            data = bytes([number % 251]) * (1 + wait % 7)
            sent += data
            link.send(now, data)
        elif what == "cut":
            weather.cut = 1
        elif what == "mend" and weather.cut:
            weather.cut = 0
            link.mend(now)
        out = b"".join(link.arrived(now))
        assert not (weather.cut and out)
        came += out
        assert sent.startswith(came) and link.waiting == len(sent) - len(came)
    assert came == sent and link.next_us() is None


def test_datagrams_are_lost_doubled_and_reordered_as_told() -> None:
    weather = Weather(delay_us=1_000, loss=0.2, duplicate=0.1, reorder=0.3)
    link = DatagramLink(weather, random.Random(1))
    copies = [link.send(i * 100, b"%d" % i) for i in range(5_000)]
    assert 0.17 < sum(not c for c in copies) / 5_000 < 0.23
    assert 0.06 < sum(len(c) == 2 for c in copies) / 5_000 < 0.1
    order = [data for _, data in sorted((at, data) for c in copies for at, data in c)]
    assert order != sorted(order, key=int)
    weather.cut = 1
    assert link.send(0, b"x") == []


def digest(seed: int) -> str:
    code = (
        "import hashlib; from garnetusher.model import experiment, plan; "
        f"e = experiment.load('experiments/rolling-upstreams.toml'); p = plan.make(e, {seed}); "
        "import msgspec; a = [list(plan.arrivals(e, p, s))[:200] for s in p.sidecars]; "
        "print(hashlib.sha256(msgspec.json.encode([p, a])).hexdigest())"
    )
    told = os.environ | {"PYTHONHASHSEED": str(random.randrange(1000))}
    return subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60, env=told
    ).stdout


def test_a_plan_is_told_by_its_seed_alone() -> None:
    assert digest(1) == digest(1) != digest(2)


def test_a_lost_zone_is_planned_whole() -> None:
    it = small(more='[[fault]]\nat_s = 0.5\nfor_s = 1.5\nwhat = "kill"\nwhere = { zone = "b" }')
    made = plan.make(it, 1)
    lost = [u for u in made.upstreams if u.steps]
    assert [u.zone for u in lost] == ["b"] * 3
    assert [(s.at_us, s.what) for s in lost[0].steps] == [(500_000, "die"), (2_000_000, "boot")]
    told = [(s.at_us, s.state, s.started_us) for s in made.listed if s.uid == lost[0].uid]
    assert told == [(1_000_000, "left", plan.LONG_AGO), (2_300_000, "active", 2_000_000)]
    assert made.faulty_us == (500_000, 2_000_000)


def test_a_machine_lost_in_silence_ends_behind_its_cut() -> None:
    it = small(more='[[fault]]\nat_s = 0.5\nfor_s = 1.5\nwhat = "silent"\nreturns = "cold"\nwhere = { zone = "b" }')
    made = plan.make(it, 1)
    assert [link.at_us for link in made.links] == [500_000, 2_000_000]
    assert [[(s.at_us, s.what) for s in u.steps] for u in made.upstreams if u.steps] == [
        [(500_001, "vanish"), (2_000_000, "boot")]
    ] * 3


def test_arrivals_keep_their_rate_and_a_burst_is_its_tenants_alone() -> None:
    it = small(
        seconds=60,
        more='[[tenant]]\nname = "x"\nshare = 0.5\n[[tenant]]\nname = "y"\nshare = 0.5\n'
        '[[fault]]\nat_s = 20\nfor_s = 20\nwhat = "burst"\ntimes = 3\ntenant = "y"',
    )
    made = plan.make(it, 3)
    seen = [a for s in made.sidecars for a in plan.arrivals(it, made, s)]
    calm = [a for a in seen if not 20e6 <= a[0] < 40e6]
    assert 0.9 < len(calm) / (120 * 40) < 1.1
    burst = [sum(t == tenant for at, _, t in seen if 20e6 <= at < 40e6) for tenant in (0, 1)]
    assert 0.85 < burst[0] / 1200 < 1.15 and 0.9 < burst[1] / 3600 < 1.1


def test_work_has_its_mean_and_is_the_same_wherever_it_is_drawn() -> None:
    drawn = [draw.work_us(1, f"r{i}", 50, 0.9) for i in range(20_000)]
    assert 48_500 < sum(drawn) / len(drawn) < 51_500
    assert drawn[7] == draw.work_us(1, "r7", 50, 0.9) != draw.work_us(2, "r7", 50, 0.9)


def test_a_bound_holds_as_it_is_written() -> None:
    assert experiment.holds("<= 3.0", 3.0) and not experiment.holds("<= 3.0", 3.1)
    assert experiment.holds(">= -1", 0) and experiment.holds("== 0", 0.0) and not experiment.holds(">= 0", None)
