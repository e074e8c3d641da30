"""Tests the objects that the lab and the simulation share: upstreams, links, plans and random draws."""

from __future__ import annotations

import os
import random
import subprocess
import sys

from hypothesis import given, settings
from hypothesis import strategies as st

from garnetusher.model import draw, experiment, plan
from garnetusher.model.experiment import Upstreams
from garnetusher.model.link import DatagramLink, LinkConditions, StreamLink
from garnetusher.model.upstream import Action, JobFinished, JobRejected, MachineCrashed, Upstream
from garnetusher.model.upstream_overload import overload_budget_us
from tests.experiment import ROOT, small

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "cancel", "hang", "resume", "slow", "die", "boot", "wait"]),
        st.integers(0, 400_000),
        st.integers(1, 300_000),
    ),
    max_size=60,
)


class JobLedger:
    """An upstream under test, with its unfinished jobs according to the actions that it has returned."""

    def __init__(self) -> None:
        self.machine = Upstream(Upstreams(per_zone={}, cores=2, queue_per_core=2), 1.0)
        self.open_jobs: set[int] = set()
        self.ended: set[int] = set()
        self.last_job = 0

    def end(self, jobs: list[int]) -> None:
        for job in jobs:
            assert job in self.open_jobs
            assert job not in self.ended
            self.open_jobs.discard(job)
            self.ended.add(job)

    def record_ended_jobs(self, actions: list[Action]) -> None:
        for action in actions:
            self.end(action.lost_jobs if isinstance(action, MachineCrashed) else [action.job_id])

    def apply(self, step: str, now_us: int, work_us: int) -> None:
        if step == "arrive":
            self.last_job += 1
            self.open_jobs.add(self.last_job)
            self.record_ended_jobs(self.machine.arrive(now_us, self.last_job, work_us))
        elif step == "cancel" and self.open_jobs:
            job = min(self.open_jobs)
            self.record_ended_jobs(self.machine.cancel(now_us, job))
            self.open_jobs.discard(job)
        elif step in ("hang", "resume"):
            self.record_ended_jobs(self.machine.set_hung(now_us, step == "hang"))
        elif step == "slow":
            self.record_ended_jobs(self.machine.slow_down(now_us, 3.0))
        elif step == "die":
            self.end(self.machine.terminate(now_us))
        elif step == "boot" and self.machine.down:
            self.machine.boot(now_us)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(STEPS)
def test_upstream_ends_each_job_once_when_faults_come_in_any_order(steps: list[tuple[str, int, int]]) -> None:
    ledger = JobLedger()
    machine, now_us = ledger.machine, 0
    for step, wait_us, work_us in [*steps, ("resume", 0, 1), ("wait", 10**9, 1)]:
        now_us += wait_us
        ledger.record_ended_jobs(machine.wakeup(now_us))
        ledger.apply(step, now_us, work_us)
        assert machine.job_count == len(ledger.open_jobs)
        assert len(machine.running) <= 2
        next_us = machine.next_wakeup_us()
        assert next_us is None or next_us > now_us
    assert not ledger.open_jobs


def test_upstream_works_at_its_speed_and_in_order_when_jobs_queue() -> None:
    machine = Upstream(Upstreams(per_zone={}, cores=1, thrash=0), 2.0)
    for job in (1, 2):
        machine.arrive(0, job, 100_000)
    assert 50_000 <= (machine.next_wakeup_us() or 0) <= 50_002
    assert machine.wakeup(49_000) == []
    assert machine.wakeup(60_000) == [JobFinished(1)]
    machine.slow_down(60_000, 2.0)  # the work left is 80,000 us at the standard speed
    assert machine.wakeup(139_000) == []
    assert machine.wakeup(140_010) == [JobFinished(2)]


def test_upstream_degrades_until_it_has_rested_when_overloaded_for_long() -> None:
    upstreams = Upstreams(per_zone={}, cores=1, thrash=0, choke_at=2, choke_over_s=1, choke_rest_s=0.5)
    machine = Upstream(upstreams, 1.0)
    for job in range(4):
        machine.arrive(0, job, 600_000)
    # the overload (above choke_at) has lasted 1 s when the second job ends; each later job takes 2.6 times 0.6 s
    assert [len(machine.wakeup(t)) for t in (600_010, 1_200_020)] == [1, 1]
    assert machine.degraded
    assert machine.wakeup(2_700_000) == []
    assert machine.wakeup(2_800_000) == [JobFinished(2)]
    assert machine.wakeup(4_400_000) == [JobFinished(3)]
    assert machine.degraded
    machine.wakeup(4_600_000)
    assert machine.degraded
    machine.arrive(5_000_000, 9, 1_000)
    assert not machine.degraded


def test_upstream_rejects_jobs_when_its_queue_is_full() -> None:
    machine = Upstream(Upstreams(per_zone={}, cores=1, queue_per_core=2), 1.0)
    assert [machine.arrive(0, job, 1000) for job in range(4)][3] == [JobRejected(3)]


def test_upstream_crashes_only_when_sent_more_than_its_budget_in_slow_start() -> None:
    upstreams = Upstreams(
        per_zone={}, cores=2, cold_share=0.2, warm_up_s=20, fall_s=2, overload_factor=3, queue_per_core=10_000
    )
    for share, crash_expected in ((0.97, False), (1.25, True)):
        machine = Upstream(upstreams, 1.0)
        machine.boot(1_000_000)
        crashed = False
        for step in range(400):
            now = 1_000_000 + step * 10_000
            work = share * (overload_budget_us(upstreams, 1.0, 1_000_000, now) / 200)  # a window has 200 such steps
            crashed = crashed or any(isinstance(a, MachineCrashed) for a in machine.arrive(now, step, int(work)))
        assert crashed is crash_expected
        assert machine.down is crash_expected


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    st.integers(0, 10**6),
    st.lists(st.tuples(st.sampled_from(["send", "wait", "cut", "mend"]), st.integers(0, 50_000)), max_size=60),
)
def test_stream_link_delivers_all_bytes_in_order_when_cut_and_mended(seed: int, steps: list[tuple[str, int]]) -> None:
    conditions = LinkConditions(delay_us=2_000, jitter=0.5, loss=0.1, bytes_per_s=1e6)
    link = StreamLink(conditions, random.Random(seed))
    now_us, sent, received = 0, b"", b""
    for number, (step, wait_us) in enumerate([*steps, ("mend", 0), ("mend", 0), ("wait", 10**8)]):
        now_us += wait_us
        if step == "send":
            data = bytes([number % 251]) * (1 + wait_us % 7)
            sent += data
            link.send(now_us, data)
        elif step == "cut":
            conditions.cut = 1
        elif step == "mend" and conditions.cut:
            conditions.cut = 0
            link.end_cut(now_us)
        arrived = b"".join(link.take_arrived(now_us))
        assert not (conditions.cut and arrived)
        received += arrived
        assert sent.startswith(received)
        assert link.bytes_in_transit == len(sent) - len(received)
    assert received == sent
    assert link.next_arrival_us() is None


def test_datagram_link_drops_duplicates_and_reorders_when_set_to() -> None:
    conditions = LinkConditions(delay_us=1_000, loss=0.2, duplicate=0.1, reorder=0.3)
    link = DatagramLink(conditions, random.Random(1))
    copies = [link.send(i * 100, b"%d" % i) for i in range(5_000)]
    assert 0.17 < sum(not c for c in copies) / 5_000 < 0.23
    assert 0.06 < sum(len(c) == 2 for c in copies) / 5_000 < 0.1  # a tenth of the 80% that are not lost
    delivered = [data for _, data in sorted((at, data) for c in copies for at, data in c)]
    assert delivered != sorted(delivered, key=int)
    conditions.cut = 1
    assert link.send(0, b"x") == []


def plan_digest(seed: int) -> str:
    code = (
        "import hashlib; from garnetusher.model import experiment, plan; "
        f"e = experiment.load('experiments/rolling-upstreams.toml'); p = plan.make(e, {seed}); "
        "import msgspec; a = [list(plan.arrivals(e, p, s))[:200] for s in p.sidecars]; "
        "print(hashlib.sha256(msgspec.json.encode([p, a])).hexdigest())"
    )
    environment = os.environ | {"PYTHONHASHSEED": str(random.randrange(1000))}
    return subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60, env=environment
    ).stdout


def test_plan_depends_on_nothing_but_its_seed_when_made_in_other_processes() -> None:
    assert plan_digest(1) == plan_digest(1) != plan_digest(2)


def test_plan_stops_and_starts_all_upstreams_when_their_zone_is_killed() -> None:
    config = small(more='[[fault]]\nat_s = 0.5\nfor_s = 1.5\nwhat = "kill"\nwhere = { zone = "b" }')
    run_plan = plan.make(config, 1)
    killed = [u for u in run_plan.upstreams if u.steps]
    assert [u.zone for u in killed] == ["b"] * 3
    assert [(s.at_us, s.what) for s in killed[0].steps] == [(500_000, "die"), (2_000_000, "boot")]
    changes = [(s.at_us, s.state, s.started_us) for s in run_plan.listed if s.uid == killed[0].uid]
    assert changes == [(1_000_000, "left", plan.LONG_AGO), (2_300_000, "active", 2_000_000)]
    assert run_plan.fault_interval_us == (500_000, 2_000_000)


def test_plan_stops_upstreams_after_the_cut_when_they_return_cold() -> None:
    config = small(more='[[fault]]\nat_s = 0.5\nfor_s = 1.5\nwhat = "silent"\nreturns = "cold"\nwhere = { zone = "b" }')
    run_plan = plan.make(config, 1)
    assert [link.at_us for link in run_plan.links] == [500_000, 2_000_000]
    assert [[(s.at_us, s.what) for s in u.steps] for u in run_plan.upstreams if u.steps] == [
        [(500_001, "vanish"), (2_000_000, "boot")]
    ] * 3


def test_arrivals_keep_their_rate_when_another_tenant_bursts() -> None:
    config = small(
        seconds=60,
        more='[[tenant]]\nname = "x"\nshare = 0.5\n[[tenant]]\nname = "y"\nshare = 0.5\n'
        '[[fault]]\nat_s = 20\nfor_s = 20\nwhat = "burst"\ntimes = 3\ntenant = "y"',
    )
    run_plan = plan.make(config, 3)
    # 120 requests per second, half of them of each tenant; in the 20 s of the burst, tenant y sends three times as many
    all_arrivals = [a for s in run_plan.sidecars for a in plan.arrivals(config, run_plan, s)]
    arrivals_outside_burst = [a for a in all_arrivals if not 20e6 <= a[0] < 40e6]
    assert 0.9 < len(arrivals_outside_burst) / (120 * 40) < 1.1
    counts_in_burst = [sum(t == tenant for at, _, t in all_arrivals if 20e6 <= at < 40e6) for tenant in (0, 1)]
    assert 0.85 < counts_in_burst[0] / 1200 < 1.15
    assert 0.9 < counts_in_burst[1] / 3600 < 1.1


def test_work_has_its_mean_and_is_the_same_when_drawn_again() -> None:
    drawn = [draw.work_us(1, f"r{i}", 50, 0.9) for i in range(20_000)]
    assert 48_500 < sum(drawn) / len(drawn) < 51_500
    assert drawn[7] == draw.work_us(1, "r7", 50, 0.9) != draw.work_us(2, "r7", 50, 0.9)


def test_bound_holds_only_when_the_value_is_within_it() -> None:
    assert experiment.holds("<= 3.0", 3.0)
    assert not experiment.holds("<= 3.0", 3.1)
    assert experiment.holds(">= -1", 0)
    assert experiment.holds("== 0", 0.0)
    assert not experiment.holds(">= 0", None)
