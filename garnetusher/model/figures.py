"""The figures of a play, by the names that stay: ``served_worth.whole``, ``leave_s``, ``crossings`` and the others.

Worth is what was answered within its class's aim, dated from when the request was due, over what was asked; all tries
of a client belong to its first. What a tenant asks beyond its rate counts by `over_share_worth`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path

import numpy as np
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter
from msgspec import Struct

from garnetusher.model import beliefs
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, Span
from garnetusher.model.records import Answered, AnyRecord, Asked, Attempt, Ended, Listed, Unreached, Usage, Vanished

SHARE_WINDOW_US = 5_000_000  # over which a tenant's rate is judged
BIN_US = 250_000  # for what is told over time
NORMAL_WITHIN = 0.05  # of the worth before the fault
NEARLY = 0.98  # of the worth before the fault, as `back_to_098_s` has it
DIP_BINS = 8  # 2 s: over which `second_dip` is judged; half of the dips of shorter stretches are chance
NORMAL_FOR_BINS = 6  # so long it has to hold: 1.5 s
LEFT_BELOW = 0.1  # of the attempts that went there before
HIGHEST_US = 60_000_000  # a histogram's range
DIGITS = 3  # and its precision


class Request(Struct):
    """A request with all its tries."""

    ident: str
    sidecar: str
    cls: int
    tenant: int
    first_us: int
    worth: float  # what it would earn
    answered_us: int | None = None  # when it was first served

    def served(self, aim_us: float) -> bool:
        return self.answered_us is not None and self.answered_us - self.first_us <= aim_us


class Story(Struct):
    """What the report draws: per bin of time and zone, and each sidecar's and upstream's states."""

    zones: list[str]
    bin_us: int
    worth: dict[str, list[float | None]]  # served worth by zone
    latency_ms: dict[str, list[list[float | None]]]  # by zone: [median, 99th] of the answers served


def requests_of(experiment: Experiment, records: Iterable[AnyRecord]) -> list[Request]:
    """All requests, in the order in which they were due."""
    found: dict[str, Request] = {}
    tries: dict[str, str] = {}
    for r in records:
        if isinstance(r, Asked | Unreached):
            tries[r.id] = r.request
            if r.request not in found:
                found[r.request] = Request(
                    r.request, r.sidecar, r.cls, r.tenant, r.first_t, experiment.classes[r.cls].worth
                )
        elif isinstance(r, Answered) and r.status == 200 and r.by and r.id in tries:
            request = found[tries[r.id]]
            if request.answered_us is None:
                request.answered_us = r.t
    requests = sorted(found.values(), key=lambda x: x.first_us)
    _discount(experiment, requests)
    return requests


def _discount(experiment: Experiment, requests: list[Request]) -> None:
    """What a tenant asks beyond its rate is worth less; spread over all its requests of those seconds."""
    if not experiment.tenants:
        return
    seen: dict[tuple[int, int], int] = defaultdict(int)
    for request in requests:
        seen[request.tenant, request.first_us // SHARE_WINDOW_US] += 1
    for request in requests:
        count = seen[request.tenant, request.first_us // SHARE_WINDOW_US]
        allowed = experiment.tenants[request.tenant].share * experiment.load.requests_per_s * SHARE_WINDOW_US / 1e6
        allowed *= 1.25  # hazard: chance alone takes a small tenant over its rate in some windows
        over = experiment.over_share_worth
        request.worth *= over + (1 - over) * min(1.0, allowed / count)


def figures(
    experiment: Experiment,
    plan: Plan,
    records: list[AnyRecord],
    requests: list[Request],
    broken: int,
    late_share: float,
    not_asked: int,
) -> dict[str, float]:
    """Every figure that could be measured; what had no occasion is left out."""
    out: dict[str, float] = {}
    aims = [c.aim_ms * 1000 for c in experiment.classes]

    def worth(name: str, meant: Callable[[Request], bool]) -> None:
        some = [r for r in requests if meant(r)]
        whole = sum(r.worth for r in some)
        if whole:
            out[f"served_worth.{name}"] = sum(r.worth for r in some if r.served(aims[r.cls])) / whole

    worth("whole", lambda r: True)
    faulty = plan.faulty_us
    if faulty is not None:
        worth("before", lambda r: r.first_us < faulty[0])
        worth("during_fault", lambda r: faulty[0] <= r.first_us < faulty[1])
        worth("after", lambda r: r.first_us >= faulty[1])
    for number, kind in enumerate(experiment.classes):
        worth(f"class.{kind.name}", lambda r, n=number: r.cls == n)  # type: ignore[misc]
    zone_of = {s.name: s.zone for s in plan.sidecars}
    for zone in experiment.topology.zones:
        worth(f"zone.{zone}", lambda r, z=zone: zone_of[r.sidecar] == z)  # type: ignore[misc]
    for number, tenant in enumerate(experiment.tenants):
        worth(f"tenant.{tenant.name}", lambda r, n=number: r.tenant == n)  # type: ignore[misc]
    out["rules_broken"] = float(broken)
    out["late_events"] = late_share
    out["requests"] = float(len(requests))
    out["not_asked"] = float(not_asked)
    out |= _traffic(plan, records, len(requests), zone_of)
    out |= _times(experiment, plan, records, requests, aims)
    out |= _usage(records)
    out |= beliefs.figures(experiment, plan, records)
    return {name: round(float(value), 5) for name, value in out.items()}  # numpy's own floats are no JSON


def _traffic(plan: Plan, records: list[AnyRecord], requests: int, zone_of: dict[str, str]) -> dict[str, float]:
    """What it took: attempts, copies, crossings, connections, wasted work, calls to the list, answers by kind."""
    home = {u.uid: u.zone for u in plan.upstreams}
    attempts = [r for r in records if isinstance(r, Attempt)]
    ends = [r for r in records if isinstance(r, Ended)]
    answers = [r for r in records if isinstance(r, Answered)]
    asked = sum(isinstance(r, Asked) for r in records)
    work = {(a.upstream, a.n): a.work_us for a in attempts}
    each = max(1, requests)
    out = {
        "attempts_per_request": len(attempts) / each,
        "tries_per_request": asked / each,
        "crossings": sum(zone_of[a.sidecar] != home[a.upstream] for a in attempts) / each,
        "connections_per_request": sum(a.fresh for a in attempts) / each,
        "copies_cancelled": sum(e.how == "cancelled" for e in ends) / each,
        "turned_away": sum(e.how == "turned_away" for e in ends) / each,
        "work_unserved": sum(work[e.upstream, e.n] for e in ends if e.how != "served") / max(1, sum(work.values())),
        "refused": sum(a.status in (429, 503) for a in answers) / each,
        "failed": sum(a.status not in (200, 429, 503) for a in answers) / each,
        "list_calls": float(sum(isinstance(r, Listed) for r in records)),
        "vanished": float(sum(isinstance(r, Vanished) for r in records)),
    }
    return out


def _times(
    experiment: Experiment, plan: Plan, records: list[AnyRecord], requests: list[Request], aims: list[float]
) -> dict[str, float]:
    """How long it took to notice, to leave and to be as before."""
    out: dict[str, float] = {}
    faulty = plan.faulty_us
    if faulty is None:
        return out
    end_us = int(plan.seconds * 1e6)
    asked, served = _bins(requests, aims, end_us)
    before = int(faulty[0] // BIN_US)
    if asked[:before].sum() > 0:
        usual = served[:before].sum() / asked[:before].sum()
        last = faulty[1] if faulty[1] < end_us else faulty[0]
        back = _back_to(asked, served, usual - NORMAL_WITHIN, int(last // BIN_US))
        if back is not None:
            out["back_to_normal_s"] = max(0.0, back * BIN_US - last) / 1e6
        near = _back_to(asked, served, NEARLY * usual, int(last // BIN_US))
        if near is not None and last == faulty[1]:
            out["back_to_098_s"] = max(0.0, near * BIN_US - last) / 1e6
            out["second_dip"] = max(0.0, usual - _lowest(asked, served, near))
    left = [x for span in plan.spans if (x := _leave_s(plan, span, records)) is not None]
    if left:
        out["leave_s"] = max(left)
    return out


def _bins(requests: list[Request], aims: list[float], end_us: int) -> tuple[np.ndarray, np.ndarray]:
    count = end_us // BIN_US + 1
    asked, served = np.zeros(count), np.zeros(count)
    for r in requests:
        place = min(count - 1, r.first_us // BIN_US)
        asked[place] += r.worth
        served[place] += r.worth * r.served(aims[r.cls])
    return asked, served


def _back_to(asked: np.ndarray, served: np.ndarray, level: float, begin: int) -> int | None:
    """The first bin from `begin` on from which a stretch is served at that level, and its first bin is too."""
    for place in range(begin, len(asked) - NORMAL_FOR_BINS):
        stretch = slice(place, place + NORMAL_FOR_BINS)
        first = slice(place, place + 2)
        if asked[stretch].sum() == 0:
            continue
        if (
            served[stretch].sum() >= level * asked[stretch].sum()
            and served[first].sum() >= (level - NORMAL_WITHIN) * asked[first].sum()
        ):
            return place
    return None


def _lowest(asked: np.ndarray, served: np.ndarray, begin: int) -> float:
    """The least that a stretch from `begin` on is served; in calm, too, chance takes it under the mean."""
    return float(
        min(
            served[place : place + DIP_BINS].sum() / max(1e-9, asked[place : place + DIP_BINS].sum())
            for place in range(begin, len(asked) - DIP_BINS)
        )
    )


def _leave_s(plan: Plan, span: Span, records: list[AnyRecord]) -> float | None:
    """From the fault's start until its upstreams see no more than a tenth of the attempts that they saw before, for
    as long as the fault lasts. Connections that never come up leave no trace and are not in it."""
    meant = set(span.parties) & {u.uid for u in plan.upstreams}
    if not meant or len(meant) == len(plan.upstreams) or span.what == "restart":
        return None
    times = np.array(
        [r.t for r in records if getattr(r, "upstream", "") in meant and type(r).__name__ in ("Attempt", "Held")],
        dtype=float,
    )
    usual = float(((times >= span.at_us / 2) & (times < span.at_us)).sum()) / max(1, span.at_us / 2) * BIN_US
    if usual == 0:
        return None
    for begin in range(span.at_us, span.until_us, BIN_US // 5):
        rest = ((times >= begin) & (times < span.until_us)).sum()
        if rest <= LEFT_BELOW * usual * max(1.0, (span.until_us - begin) / BIN_US):
            return (begin - span.at_us) / 1e6
    return (span.until_us - span.at_us) / 1e6


def _usage(records: list[AnyRecord]) -> dict[str, float]:
    """CPU and memory of the sidecars, of the lab's own processes, of all together."""
    cpu: dict[str, float] = {}
    peak: dict[str, float] = {}
    begun: dict[str, float] = {}
    for r in records:
        if isinstance(r, Usage):
            begun.setdefault(r.process, r.cpu_s)
            cpu[r.process] = max(cpu.get(r.process, 0.0), r.cpu_s)
            peak[r.process] = max(peak.get(r.process, 0.0), r.rss_mb)
    own = [p for p in cpu if p in ("lab", "directory") or p.startswith(("upstreams-", "clients-"))]
    fleet = [p for p in cpu if p not in own]
    out = {"lab_cpu_s": sum(cpu[p] for p in own), "lab_rss_mb": sum(peak[p] for p in own)}
    if fleet:
        out["sidecar_cpu_s"] = sum(cpu[p] for p in fleet)
        out["sidecar_cpu_s_most"] = max(cpu[p] for p in fleet)
        out["sidecar_rss_mb_most"] = max(peak[p] for p in fleet)
    return out


def story(experiment: Experiment, plan: Plan, requests: list[Request], bin_us: int = 500_000) -> Story:
    """Worth and latency over time by zone."""
    zone_of = {s.name: s.zone for s in plan.sidecars}
    zones = [z for z in experiment.topology.zones if z in zone_of.values()]
    count = int(plan.seconds * 1e6) // bin_us
    worth: dict[str, list[float | None]] = {}
    latency: dict[str, list[list[float | None]]] = {}
    for zone in zones:
        bins: list[list[Request]] = [[] for _ in range(count)]
        for r in requests:
            if zone_of[r.sidecar] == zone and 0 <= r.first_us // bin_us < count:
                bins[r.first_us // bin_us].append(r)
        worth[zone] = [
            sum(r.worth for r in b if r.served(experiment.classes[r.cls].aim_ms * 1000)) / sum(r.worth for r in b)
            if b
            else None
            for b in bins
        ]
        waits = [[(r.answered_us - r.first_us) / 1000 for r in b if r.answered_us is not None] for b in bins]
        latency[zone] = [
            [float(np.percentile(w, 50)), float(np.percentile(w, 99))] if w else [None, None] for w in waits
        ]
    return Story(zones, bin_us, worth, latency)


def histograms(experiment: Experiment, plan: Plan, requests: list[Request], path: Path, unix_ms: int) -> None:
    """The times of the served answers, a histogram a second and class, in HdrHistogram's log format."""
    with path.open("w", encoding="ascii") as file:
        writer = HistogramLogWriter(file)
        writer.output_log_format_version()
        writer.output_base_time(unix_ms)
        writer.output_legend()
        by: dict[tuple[int, int], HdrHistogram] = {}
        for r in requests:
            if r.answered_us is not None:
                second = r.first_us // 1_000_000
                histogram = by.setdefault((second, r.cls), HdrHistogram(1, HIGHEST_US, DIGITS))
                histogram.record_value(min(HIGHEST_US, max(1, r.answered_us - r.first_us)))
        for (second, cls), histogram in sorted(by.items()):
            file.write(f"Tag={experiment.classes[cls].name},")  # the library reads tags and writes none
            writer.output_interval_histogram(histogram, second, second + 1, 1000.0)
