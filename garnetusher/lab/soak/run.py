"""Plays one plan of the soak: starts the processes, carries out the troubles, and has what was written down judged."""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import os
import signal
import time
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from msgspec import Struct

from garnetusher.lab.sidecars import LabError
from garnetusher.lab.soak import oracle
from garnetusher.lab.soak.client import Application
from garnetusher.lab.soak.discovery import Agent
from garnetusher.lab.soak.fleet import Sidecar
from garnetusher.lab.soak.plan import (
    OF_CLIENTS,
    OF_DISCOVERY,
    OF_SIDECARS,
    OF_UPSTREAMS,
    Plan,
    Trouble,
    settings,
)
from garnetusher.lab.soak.records import Records, now_s
from garnetusher.lab.soak.upstream import Upstream
from garnetusher.lab.syscall_faults import SHORT_TRANSFER, Call

LAG_LOOK_S = 0.01
LAG_S = 0.02  # of the stand-ins' own process, from which it is written down
GONE_S = 1.5  # from the word that an upstream drains until it is gone from the list
BACK_S = 1.0  # and until it is there again, started anew
BURST_GAP_S = 0.05  # between reloads in a row
HALF_FOR_S = 0.12  # that a file stays half written
SETTLE_S = 1.0  # after the last answer


class Outcome(Struct):
    """What one play gave."""

    seed: int
    seconds: float
    requests: int
    attempts: int
    ends: dict[str, int]
    breaches: list[dict[str, Any]]
    troubles: dict[str, int]
    pairs: list[list[str]]
    worst_lag_s: float = 0.0
    hits: int = 0  # system calls that were made to fail
    folder: str = ""


class Play:
    """One play on real processes."""

    def __init__(self, plan: Plan, folder: Path, tree: Path) -> None:
        self.plan, self.folder, self.tree = plan, folder, tree
        self.records = Records()
        pid = os.getpid()
        self.host = f"127.{64 + pid % 128}.{pid // 128 % 250}.{1 + plan.seed % 250}"
        self.upstreams: list[Upstream] = []
        self.agents: list[Agent] = []
        self.sidecars: list[Sidecar] = []
        self.applications: list[Application] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.longest_s = max(kind.deadline_ms for kind in plan.classes) / 1000

    async def run(self) -> list[oracle.Breach]:
        """Raises LabError where a sidecar does not even start; whatever happens, no process is left."""
        try:
            await self._open()
            meter = asyncio.create_task(self._measure_lag())
            begin_s = now_s()
            for trouble in self.plan.troubles:
                if trouble.at_s >= 0:
                    self._spawn(self._carry_out(trouble, begin_s))
            await asyncio.gather(*(app.run(begin_s + self.plan.seconds) for app in self.applications))
            while self.tasks:
                await asyncio.wait(set(self.tasks))
            await asyncio.sleep(SETTLE_S)
            meter.cancel()
        finally:
            await asyncio.gather(*(sidecar.end() for sidecar in self.sidecars))
            for upstream in self.upstreams:
                upstream.close()
            for agent in self.agents:
                agent.close()
        logs = [sidecar.log for sidecar in self.sidecars]
        return oracle.Judge(self.plan, self.records, logs).judge()

    async def _open(self) -> None:
        plan = self.plan
        self.upstreams = [
            Upstream(number, self.host, plan.service_ms, self.records, plan.seed) for number in range(plan.upstreams)
        ]
        for upstream in self.upstreams:
            await upstream.open(plan.sidecars)
        faulty = {target for t in plan.troubles if t.kind in ("syscalls", "wall_clock") for target in t.targets}
        for number in range(plan.sidecars):
            folder = self.folder / f"s{number}"
            folder.mkdir(parents=True, exist_ok=True)
            agent = Agent(
                number,
                self.host,
                self.records,
                [u.links[number].port for u in self.upstreams],
                pushed=plan.mode == "pushed",
            )
            await agent.open()
            sidecar = Sidecar(number, self.host, folder, self.tree, settings(plan), self.records, number in faulty)
            sidecar.write_config(agent.port, agent.listing())
            self.agents.append(agent)
            self.sidecars.append(sidecar)
            self.applications.append(Application(number, sidecar.address, plan, self.records, sidecar.dump))
        for trouble in self.plan.troubles:
            if trouble.at_s < 0:
                await asyncio.gather(*(self._at_sidecar(trouble, number) for number in trouble.targets))
        await asyncio.gather(*(sidecar.start() for sidecar in self.sidecars))
        if not all(await asyncio.gather(*(sidecar.ready() for sidecar in self.sidecars))):
            raise LabError(f"{self.folder}: a sidecar was not ready; its log is there")
        gc.collect()
        gc.freeze()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _measure_lag(self) -> None:
        while True:
            due_s = now_s() + LAG_LOOK_S
            await asyncio.sleep(LAG_LOOK_S)
            lag_s = now_s() - due_s
            if lag_s > LAG_S:
                self.records.lags.append((now_s(), lag_s))

    async def _carry_out(self, trouble: Trouble, begin_s: float) -> None:
        await asyncio.sleep(max(0.0, begin_s + trouble.at_s - now_s()))
        if trouble.kind in OF_UPSTREAMS:
            await asyncio.gather(*(self._at_upstream(trouble, self.upstreams[n]) for n in trouble.targets))
        elif trouble.kind in OF_SIDECARS:
            await asyncio.gather(*(self._at_sidecar(trouble, n) for n in trouble.targets))
        elif trouble.kind in OF_DISCOVERY:
            await asyncio.gather(*(self._at_discovery(trouble, self.agents[n]) for n in trouble.targets))
        else:
            assert trouble.kind in OF_CLIENTS
            for number in trouble.targets:
                self.applications[number].doing.add(trouble.kind)
            await asyncio.sleep(trouble.for_s)
            for number in trouble.targets:
                self.applications[number].doing.discard(trouble.kind)

    async def _at_upstream(self, trouble: Trouble, upstream: Upstream) -> None:
        if trouble.kind in ("drain", "cold_start"):
            await self._replace(trouble, upstream)
        elif trouble.kind == "reset":
            upstream.reset_all(trouble.value)
        elif trouble.kind == "late":
            for link in upstream.links.values():
                link.hold_back()
            await asyncio.sleep(trouble.for_s)
            for link in upstream.links.values():
                link.let_in()
        else:
            upstream.doing[trouble.kind] = trouble.value or 1.0
            await asyncio.sleep(trouble.for_s)
            upstream.doing.pop(trouble.kind, None)

    async def _replace(self, trouble: Trouble, upstream: Upstream) -> None:
        """It drains, or is lost, and comes back under its name, started anew."""
        if upstream.gone:
            return
        upstream.gone = True
        if trouble.kind == "drain":
            self._list(upstream, "leaving")
            await asyncio.sleep(GONE_S + trouble.for_s)
        self._list(upstream, "left")
        upstream.reset_all(1.0)
        await asyncio.sleep(BACK_S)
        upstream.restart(int(time.time() * 1000))
        self._list(upstream, "active")
        upstream.gone = False

    def _list(self, upstream: Upstream, state: str) -> None:
        for agent in self.agents:
            agent.change(upstream.number, state, upstream.boot_ms)

    async def _at_discovery(self, trouble: Trouble, agent: Agent) -> None:
        if trouble.kind == "outage":
            agent.go_out()
            await asyncio.sleep(trouble.for_s)
            agent.come_back()
        elif trouble.kind == "watch_reset":
            agent.drop(agent.watches)
        else:
            agent.fall_silent()

    async def _at_sidecar(self, trouble: Trouble, number: int) -> None:
        sidecar = self.sidecars[number]
        if trouble.kind == "hold_up":
            await sidecar.hold_up(trouble.for_s)
        elif trouble.kind in ("restart", "kill"):
            how = signal.SIGTERM if trouble.kind == "restart" else signal.SIGKILL
            agent = self.agents[number]
            sidecar.write_config(agent.port, agent.listing())
            await sidecar.restart(how, self.longest_s)
        elif trouble.kind in ("reload", "reload_burst", "half_file"):
            await self._reload(trouble, number)
        elif sidecar.board is not None and trouble.kind == "wall_clock":
            sidecar.board.step_wall_clock(trouble.value)
        elif sidecar.board is not None:
            error = trouble.error if trouble.error else SHORT_TRANSFER
            once = trouble.value == 0.0
            # a call that a signal interrupts again and again is tried again by the interpreter, which would stand still
            share = min(trouble.value, 0.3) if error == errno.EINTR else trouble.value
            sidecar.board.inject(
                Call(trouble.call),
                error,
                0.0 if once else min(trouble.for_s, 0.3),
                count=1 if once else -1,
                per_mille=int(1000 * (share or 1.0)),
            )

    async def _reload(self, trouble: Trouble, number: int) -> None:
        sidecar, agent = self.sidecars[number], self.agents[number]
        for _ in range(3 if trouble.kind == "reload_burst" else 1):
            if sidecar.busy:
                return
            await agent.move()
            if trouble.kind == "half_file":
                sidecar.write_config(agent.port, agent.listing(), half=True)
                sidecar.signal(signal.SIGHUP)
                sidecar.step("reload", "half a file")
                await asyncio.sleep(HALF_FOR_S)
            sidecar.write_config(agent.port, agent.listing())
            if trouble.kind != "half_file":
                sidecar.signal(signal.SIGHUP)
                sidecar.step("reload")
            await asyncio.sleep(BURST_GAP_S)


def play(plan: Plan, folder: Path, tree: Path) -> Outcome:
    """Play a plan and judge it; its logs and findings are in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    began_s = now_s()
    it = Play(plan, folder, tree)
    breaches = asyncio.run(it.run())
    records = it.records
    ends = Counter(request.end.value for request in records.requests.values() if request.end is not None)
    outcome = Outcome(
        plan.seed,
        round(now_s() - began_s, 1),
        len(records.requests),
        len(records.attempts),
        dict(ends),
        [{"rule": b.rule, "at_s": round(b.at_s - began_s, 3), "text": b.text} for b in breaches],
        dict(Counter(trouble.kind for trouble in plan.troubles)),
        sorted(map(list, plan.pairs())),
        round(max((lag for _, lag in records.lags), default=0.0), 3),
        sum(sidecar.board.hits(call) for sidecar in it.sidecars if sidecar.board is not None for call in Call),
        str(folder),
    )
    steps = [f"{step.at_s - began_s:8.3f} s{step.sidecar} {step.what} {step.detail}" for step in records.steps]
    (folder / "steps.txt").write_text("\n".join(steps) + "\n")
    if breaches:
        (folder / "records.txt").write_text(
            "\n".join(repr(entry) for entry in (*records.requests.values(), *records.attempts, *records.changes)) + "\n"
        )
    (folder / "breaches.json").write_text(json.dumps(outcome.breaches, indent=1) + "\n")
    return outcome
