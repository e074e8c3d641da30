"""Injects the faults of a plan into the processes and simulated nodes of a run at the planned times."""

from __future__ import annotations

import asyncio
import errno
import functools
import random
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from garnetusher.lab.soak.client import ClientGroup
from garnetusher.lab.soak.crowd import Crowd, CrowdShape, CrowdTarget
from garnetusher.lab.soak.discovery import DiscoveryAgent
from garnetusher.lab.soak.flood import Flood, FloodKind
from garnetusher.lab.soak.list_styles import PLAIN_STYLE, draw_style, prepare_styles
from garnetusher.lab.soak.plan import (
    DISCOVERY_FAULTS,
    ENDING_FAULTS,
    PEER_UPSTREAM_FAULTS,
    PRESSURE_UPSTREAM_FAULTS,
    SIDECAR_FAULTS,
    UPSTREAM_FAULTS,
    Fault,
    FaultKind,
    Plan,
)
from garnetusher.lab.soak.records import EndpointStatus, ProcessEventKind, now_s
from garnetusher.lab.soak.sidecar_process import SidecarProcess
from garnetusher.lab.soak.upstream import SimulatedUpstream
from garnetusher.lab.syscall_faults import SHORT_TRANSFER, Call, FaultTable

DRAIN_S = 1.5  # an upstream is removed this long, plus the duration of the fault, after its drain is announced
REPLACEMENT_S = 1.0  # a removed upstream is restarted and listed again after this time
RELOADS_IN_BURST = 3
BURST_GAP_S = 0.05  # the pause after each reload of a burst
DRAIN_BEFORE_RESTART_S = 0.8  # a drain lasts this long before SIGTERM, or before it is ended
RESTART_SIGNALS = {
    FaultKind.RESTART: (signal.SIGTERM,),
    FaultKind.SIGNAL_SERIES: (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    FaultKind.KILL: (signal.SIGKILL,),
}
TRUNCATED_FILE_S = 0.12  # a configuration file stays truncated for this time
LONGEST_SYSCALL_FAULT_S = 0.3
LARGEST_INTERRUPT_SHARE = 0.3
PER_MILLE = 1000
LIST_STYLE_INTERVAL_S = 0.7
SERIES_MIN_PART_SIZE = 200  # bytes; a series in smaller parts would keep the stand-in itself busy
CLIENT_DESCRIPTOR_DIVISOR = 3  # clients hold at most a third of the descriptors


@dataclass(slots=True)
class Nodes:
    """All nodes of a run; agents, sidecars and clients are indexed by the number of the sidecar."""

    upstreams: list[SimulatedUpstream] = field(default_factory=list)
    agents: list[DiscoveryAgent] = field(default_factory=list)
    sidecars: list[SidecarProcess] = field(default_factory=list)
    clients: list[ClientGroup] = field(default_factory=list)

    def write_configuration(self, number: int, *, truncated: bool = False) -> None:
        """Write a sidecar's configuration with the current address and endpoint list of its discovery agent."""
        agent = self.agents[number]
        self.sidecars[number].write_configuration(agent.port, agent.snapshot(), truncated=truncated)


class FaultInjector:
    """Injects faults into the nodes of one run."""

    def __init__(self, plan: Plan, nodes: Nodes) -> None:
        self._plan = plan
        self._nodes = nodes
        self._longest_deadline_s = max(request_class.deadline_ms for request_class in plan.classes) / 1000

    def prepare(self) -> None:
        """Do the work for the faults that would delay the records if it were done during the load."""
        for fault in self._plan.faults:
            if fault.kind == FaultKind.LIST_STYLES:
                prepare_styles(int(fault.value))

    async def apply_at(self, fault: Fault, at_s: float) -> None:
        """Wait until a time, inject a fault, and return when it is over."""
        await asyncio.sleep(max(0.0, at_s - now_s()))
        await self.apply(fault)

    async def apply(self, fault: Fault) -> None:
        """Inject a fault into all its targets, and return when it is over."""
        nodes = self._nodes
        if fault.kind in (*UPSTREAM_FAULTS, *PEER_UPSTREAM_FAULTS, *PRESSURE_UPSTREAM_FAULTS, FaultKind.LONG_RESPONSES):
            await asyncio.gather(*(self._apply_to_upstream(fault, nodes.upstreams[n]) for n in fault.targets))
        elif fault.kind in SIDECAR_FAULTS + ENDING_FAULTS:
            await asyncio.gather(*(self._apply_to_sidecar(fault, number) for number in fault.targets))
        elif fault.kind in DISCOVERY_FAULTS:
            await asyncio.gather(*(_apply_to_discovery(fault, nodes.agents[n]) for n in fault.targets))
        elif fault.kind == FaultKind.LIST_STYLES:
            await asyncio.gather(*(self._play_list_styles(fault, number) for number in fault.targets))
        elif fault.kind in (FaultKind.CROWD, FaultKind.FLOOD):
            await asyncio.gather(*(self._apply_pressure(fault, number) for number in fault.targets))
        else:
            await _apply_to_clients(fault, [nodes.clients[number] for number in fault.targets])

    async def _apply_pressure(self, fault: Fault, number: int) -> None:
        """Run a crowd or a flood at one sidecar, which its own processes outlive."""
        read_class, write_class = (request_class.name for request_class in self._plan.classes[:2])
        target = CrowdTarget(self._nodes.sidecars[number].address, read_class, write_class)
        rng = random.Random(f"{self._plan.seed}-{fault.kind}-{number}")
        if fault.kind == FaultKind.CROWD:
            crowd = Crowd(target, tuple(CrowdShape), self._plan.descriptors // CLIENT_DESCRIPTOR_DIVISOR, rng.random())
            crowd.start()
            await asyncio.sleep(fault.duration_s)
            await crowd.stop()
            return
        flood = asyncio.create_task(Flood(rng.choice(tuple(FloodKind)), target).run())
        await asyncio.sleep(fault.duration_s)
        flood.cancel()
        await asyncio.gather(flood, return_exceptions=True)

    async def _play_list_styles(self, fault: Fault, number: int) -> None:
        """Let one discovery agent write long lists, in one style after another, and several lists in a row."""
        agent = self._nodes.agents[number]
        rng = random.Random(f"{self._plan.seed}-{fault.kind}-{number}")
        ends_s = now_s() + fault.duration_s
        while now_s() < ends_s:
            agent.change_style(draw_style(rng, int(fault.value)))
            await asyncio.sleep(LIST_STYLE_INTERVAL_S)
            if agent.style.part_size >= SERIES_MIN_PART_SIZE:
                agent.send_series()
            await asyncio.sleep(LIST_STYLE_INTERVAL_S)
        agent.change_style(PLAIN_STYLE)

    async def _apply_to_upstream(self, fault: Fault, upstream: SimulatedUpstream) -> None:
        if fault.kind in (FaultKind.DRAIN, FaultKind.COLD_START):
            await self._replace(fault, upstream)
        elif fault.kind == FaultKind.RESET:
            upstream.reset_connections(fault.value)
        elif fault.kind == FaultKind.FREEZE:
            upstream.freeze()
            await asyncio.sleep(fault.duration_s)
            upstream.thaw()
        elif fault.kind == FaultKind.SUSPENDED_ACCEPT:
            for listener in upstream.listeners.values():
                listener.suspend()
            await asyncio.sleep(fault.duration_s)
            for listener in upstream.listeners.values():
                listener.resume()
        else:
            upstream.active_faults[fault.kind] = fault.value or 1.0
            await asyncio.sleep(fault.duration_s)
            upstream.active_faults.pop(fault.kind, None)

    async def _replace(self, fault: Fault, upstream: SimulatedUpstream) -> None:
        """Drain and remove an upstream, or remove it at once; then restart it and list it again under its name."""
        if upstream.being_replaced:
            return
        upstream.being_replaced = True
        if fault.kind == FaultKind.DRAIN:
            self._publish_status(upstream, EndpointStatus.DRAINING)
            await asyncio.sleep(DRAIN_S + fault.duration_s)
        self._publish_status(upstream, EndpointStatus.REMOVED)
        upstream.reset_connections(1.0)
        await asyncio.sleep(REPLACEMENT_S)
        upstream.restart(int(time.time() * 1000))
        self._publish_status(upstream, EndpointStatus.ACTIVE)
        upstream.being_replaced = False

    def _publish_status(self, upstream: SimulatedUpstream, status: EndpointStatus) -> None:
        """Change an upstream's status in the endpoint lists of all discovery agents."""
        for agent in self._nodes.agents:
            agent.change(upstream.number, status, upstream.boot_ms)

    async def _apply_to_sidecar(self, fault: Fault, number: int) -> None:
        sidecar = self._nodes.sidecars[number]
        if fault.kind == FaultKind.PAUSE:
            await sidecar.pause(fault.duration_s)
        elif fault.kind in RESTART_SIGNALS:
            await self._restart(number, RESTART_SIGNALS[fault.kind])
        elif fault.kind in ENDING_FAULTS:
            await self._end_process(fault.kind, number)
        elif fault.kind in (FaultKind.RELOAD, FaultKind.RELOAD_BURST, FaultKind.TRUNCATED_FILE):
            await self._reload(fault, number)
        elif sidecar.fault_table is not None and fault.kind == FaultKind.WALL_CLOCK:
            sidecar.fault_table.step_wall_clock(fault.value)
        elif sidecar.fault_table is not None:
            _inject_syscall_fault(fault, sidecar.fault_table)

    async def _end_process(self, kind: FaultKind, number: int) -> None:
        """End the process of a sidecar with another one beside it or during a drain, or begin and end a drain."""
        sidecar = self._nodes.sidecars[number]
        if kind is FaultKind.TAKEOVER:
            self._nodes.write_configuration(number)
            await sidecar.take_over(self._longest_deadline_s)
            return
        if sidecar.restarting:
            return
        await sidecar.drain(enabled=True)
        await asyncio.sleep(DRAIN_BEFORE_RESTART_S)
        if kind is FaultKind.DRAIN_CANCELLED:
            await sidecar.drain(enabled=False)
        else:
            await self._restart(number, (signal.SIGTERM,))

    async def _restart(self, number: int, signal_numbers: Sequence[int]) -> None:
        """End the process of a sidecar, and start it again."""
        write_configuration = functools.partial(self._nodes.write_configuration, number)
        await self._nodes.sidecars[number].restart(self._longest_deadline_s, signal_numbers, write_configuration)

    async def _reload(self, fault: Fault, number: int) -> None:
        sidecar = self._nodes.sidecars[number]
        for _ in range(RELOADS_IN_BURST if fault.kind == FaultKind.RELOAD_BURST else 1):
            if sidecar.restarting:
                return
            await self._nodes.agents[number].change_address()
            if fault.kind == FaultKind.TRUNCATED_FILE:
                self._nodes.write_configuration(number, truncated=True)
                sidecar.send_signal(signal.SIGHUP)
                sidecar.record(ProcessEventKind.RELOAD, "truncated configuration file")
                await asyncio.sleep(TRUNCATED_FILE_S)
            self._nodes.write_configuration(number)
            if fault.kind != FaultKind.TRUNCATED_FILE:
                sidecar.send_signal(signal.SIGHUP)
                sidecar.record(ProcessEventKind.RELOAD)
            await asyncio.sleep(BURST_GAP_S)


async def _apply_to_discovery(fault: Fault, agent: DiscoveryAgent) -> None:
    if fault.kind == FaultKind.OUTAGE:
        agent.start_outage()
        await asyncio.sleep(fault.duration_s)
        agent.end_outage()
    elif fault.kind == FaultKind.WATCH_RESET:
        agent.reset_watches()
    else:
        agent.silence_watches()


async def _apply_to_clients(fault: Fault, clients: list[ClientGroup]) -> None:
    for client in clients:
        client.active_faults.add(fault.kind)
    await asyncio.sleep(fault.duration_s)
    for client in clients:
        client.active_faults.discard(fault.kind)


def _inject_syscall_fault(fault: Fault, fault_table: FaultTable) -> None:
    error = fault.error or SHORT_TRANSFER
    once = fault.value == 0.0  # one call fails; otherwise the value is the share of calls that fail
    share = fault.value
    if error == errno.EINTR:
        # The interpreter retries an interrupted call, which would never return if every call were interrupted.
        share = min(share, LARGEST_INTERRUPT_SHARE)
    fault_table.inject(
        Call(fault.call),
        error,
        0.0 if once else min(fault.duration_s, LONGEST_SYSCALL_FAULT_S),
        count=1 if once else -1,
        per_mille=int(PER_MILLE * (share or 1.0)),
    )
