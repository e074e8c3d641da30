"""Measures what requests get while an endpoint list of a large fleet comes in each of its forms.

For each form there is one run of one sidecar. After a while half of the upstreams drain: the watch ends, and the next
one begins with the whole list, in which they drain, or the changes come one by one. The oracle checks the rules.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from msgspec import Struct

from garnetusher.lab.soak.list_styles import PART_SIZES, PLAIN_STYLE, Layout, ListStyle
from garnetusher.lab.soak.oracle import Rule
from garnetusher.lab.soak.plan import Plan, RequestClass
from garnetusher.lab.soak.records import EndpointChange, EndpointStatus, now_s
from garnetusher.lab.soak.run import SoakRun

CALM_S = 4.0  # the time from the start of the sidecar to the list
DEADLINES_MS = (1000, 1500, 2000)
RATE_PER_S = 50.0
MEMORY_MB = 192
MILLISECONDS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ListForm:
    """What discovery sends: whole lists in a style, or a change of one endpoint at a time.

    Attributes:
        name: the name in the table.
        style: the style of all lists.
        whole_lists: how many whole lists are sent in a row; 0 means that only changes of one endpoint are sent.
    """

    name: str
    style: ListStyle
    whole_lists: int = 1


LARGE_PARTS = PART_SIZES[-1]
FORMS = (
    *(ListForm(f"one line, chunks of {size} bytes", ListStyle(part_size=size)) for size in reversed(PART_SIZES)),
    *(ListForm(f"{layout}, chunks of 64 KiB", ListStyle(layout)) for layout in Layout if layout != Layout.ONE_LINE),
    *(
        ListForm(f"{layout}, chunks of {size} bytes", ListStyle(layout, size))
        for layout in (Layout.INDENTED, Layout.OBJECT_FIRST)
        for size in (16, 1)
    ),
    ListForm("changes of one entry each", PLAIN_STYLE, whole_lists=0),
    ListForm("30 whole lists in a row", PLAIN_STYLE, whole_lists=30),
)


class FormResult(Struct, frozen=True):
    """What one run measured; times are in milliseconds.

    Attributes:
        form: the name of the form.
        requests: the number of requests.
        lost: the number of requests without a final response in time.
        longest_ms: the longest time to a response of a request that was sent in the second before the list or later.
        known_ms: the time from the last byte of the list to the last attempt at an upstream that it drains.
        peak_memory_mb: the largest anonymous memory of the sidecar.
        other_breaches: the number of breaches of other rules.
    """

    form: str
    requests: int
    lost: int
    longest_ms: float
    known_ms: float
    peak_memory_mb: float
    other_breaches: int

    @property
    def held(self) -> bool:
        """Whether no rule was broken."""
        return self.lost == 0 and self.other_breaches == 0

    def line(self) -> str:
        """Return the result as a line of a Markdown table."""
        columns = (self.longest_ms, self.known_ms, self.peak_memory_mb)
        figures = " | ".join(f"{figure:.1f}" for figure in columns)
        return f"| {self.form} | {self.lost} of {self.requests} | {figures} | {self.other_breaches} |"


class ListRun(SoakRun):
    """A run of one sidecar in which half of the upstreams drain by a list in one form."""

    def __init__(self, plan: Plan, folder: Path, tree: Path, form: ListForm) -> None:
        super().__init__(plan, folder, tree)
        self._form = form
        self._sent_s = 0.0  # the time at which the list began
        self._written_s = 0.0  # the time at which the kernel had its last byte

    async def run_and_measure(self) -> FormResult:
        """Run the plan and return what it measured.

        Raises:
            LabError: The sidecar does not become ready at the start.
        """
        breaches = await self.run()
        lost = sum(breach.rule is Rule.LOST for breach in breaches)
        peak = self.records.memory_peaks.get(0)
        return FormResult(
            self._form.name,
            len(self.records.requests),
            lost,
            self._longest_ms(),
            self._known_ms(),
            peak.size_mb if peak is not None else 0.0,
            len(breaches) - lost,
        )

    async def _apply_load_and_faults(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_list())
            await super()._apply_load_and_faults()

    async def _send_list(self) -> None:
        agent = self.nodes.agents[0]
        drained = range(0, self.plan.upstreams, 2)
        if self._form.whole_lists == 0:
            await asyncio.sleep(CALM_S)
            self._sent_s = now_s()
            agent.change_all(drained, EndpointStatus.DRAINING)
            self._written_s = await agent.flush()
            return
        agent.change_silently(drained, EndpointStatus.DRAINING)
        agent.encode_snapshot(self._form.style)
        await asyncio.sleep(CALM_S)
        self._sent_s = now_s()
        agent.change_style(self._form.style)
        await agent.whole_list_written.wait()
        agent.send_series(self._form.whole_lists - 1)
        self._written_s = await agent.flush()
        self.records.endpoint_changes.extend(
            EndpointChange(0, number, EndpointStatus.DRAINING, self._written_s, self._written_s) for number in drained
        )

    def _longest_ms(self) -> float:
        after_s = self._sent_s - 1.0
        requests = [request for request in self.records.requests.values() if request.sent_s >= after_s]
        return MILLISECONDS_PER_S * max((each.ended_s - each.sent_s for each in requests if each.end), default=0.0)

    def _known_ms(self) -> float:
        late = [attempt for attempt in self.records.attempts if attempt.upstream % 2 == 0]
        last_s = max((attempt.first_byte_s for attempt in late), default=0.0)
        return MILLISECONDS_PER_S * max(0.0, last_s - self._written_s)


def plan_for_list(upstreams: int, seconds: float, memory_mb: int) -> Plan:
    """Return the plan of each run."""
    classes = [RequestClass(f"c{deadline_ms}", "idempotent", deadline_ms) for deadline_ms in DEADLINES_MS]
    return Plan(
        seed=upstreams,
        load_s=seconds,
        sidecars=1,
        upstreams=upstreams,
        rate_per_s=RATE_PER_S,
        service_ms=5.0,
        classes=classes,
        faults=[],
        connect_timeout_ms=500,
        memory_mb=memory_mb,
    )


def measure(form: ListForm, plan: Plan, folder: Path, tree: Path) -> FormResult:
    """Run one form; the folder gets the logs."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(ListRun(plan, folder, tree, form).run_and_measure())
