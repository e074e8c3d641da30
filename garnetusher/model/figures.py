"""Computes the figures of a run, by stable names such as ``served_worth.whole``, ``leave_s`` and ``crossings``.

Served worth is the weight of the requests that were answered within their class's latency objective, measured from the
time when they were due, divided by the weight of all requests. All calls of a request count as one. The weight of
requests beyond a tenant's quota is reduced to `over_share_worth` of the usual weight.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import numpy as np
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter
from msgspec import Struct

from garnetusher.model import zone_states
from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan
from garnetusher.model.records import (
    AnyRecord,
    Attempt,
    ClientKilled,
    DiscoveryCalled,
    ProcessUsage,
    RequestSent,
    ResponseReceived,
    UpstreamAttemptEnded,
)
from garnetusher.model.recovery import recovery_figures
from garnetusher.model.request_outcomes import STATUS_OK, Request, requests_of

__all__ = ["Request", "RunCounts", "Timeline", "figures", "histograms", "requests_of", "timeline"]

STATUSES_REFUSED = (429, 503)
FIGURE_DIGITS = 5  # decimal places
TIMELINE_BIN_US = 500_000
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_DIGITS = 3  # significant digits
SECOND_US = 1_000_000
LAB_PROCESSES = ("lab", "directory")
LAB_PROCESS_PREFIXES = ("upstreams-", "clients-")


class RunCounts(Struct):
    """Numbers for the figures that the records do not contain."""

    broken: int = 0  # breaches of the rules
    late_share: float = 0.0  # the share of the lab's own timers that were late
    not_asked: int = 0  # requests that were not sent because their application was down together with its sidecar


class Timeline(Struct):
    """Served worth and latency over time by zone, for the report."""

    zones: list[str]
    bin_us: int
    worth: dict[str, list[float | None]]  # served worth by zone
    latency_ms: dict[str, list[list[float | None]]]  # by zone: the median and the 99th percentile of served requests


def figures(
    experiment: Experiment, plan: Plan, records: list[AnyRecord], requests: list[Request], counts: RunCounts
) -> dict[str, float]:
    """Return every figure that could be measured."""
    found = _served_worth_figures(experiment, plan, requests)
    found["rules_broken"] = float(counts.broken)
    found["late_events"] = counts.late_share
    found["requests"] = float(len(requests))
    found["not_asked"] = float(counts.not_asked)
    found |= _traffic_figures(plan, records, len(requests))
    found |= recovery_figures(experiment, plan, records, requests)
    found |= _usage_figures(records)
    found |= zone_states.figures(experiment, plan, records)
    # The conversion is necessary because msgspec cannot encode numpy floats.
    return {name: round(float(value), FIGURE_DIGITS) for name, value in found.items()}


def _served_worth_figures(experiment: Experiment, plan: Plan, requests: list[Request]) -> dict[str, float]:
    found: dict[str, float] = {}
    for name, group in _groups(experiment, plan, requests):
        served_worth = _served_worth(experiment, group)
        if served_worth is not None:
            found[f"served_worth.{name}"] = served_worth
    return found


def _groups(experiment: Experiment, plan: Plan, requests: list[Request]) -> Iterator[tuple[str, list[Request]]]:
    """Yield the groups of requests for which served worth is reported, with their names."""
    yield "whole", requests
    if plan.fault_interval_us is not None:
        begin_us, end_us = plan.fault_interval_us
        yield "before", [request for request in requests if request.first_us < begin_us]
        yield "during_fault", [request for request in requests if begin_us <= request.first_us < end_us]
        yield "after", [request for request in requests if request.first_us >= end_us]
    for index, request_class in enumerate(experiment.classes):
        yield f"class.{request_class.name}", [request for request in requests if request.cls == index]
    zone_of = _zone_of_sidecar(plan)
    for zone in experiment.topology.zones:
        yield f"zone.{zone}", [request for request in requests if zone_of[request.sidecar] == zone]
    for index, tenant in enumerate(experiment.tenants):
        yield f"tenant.{tenant.name}", [request for request in requests if request.tenant == index]


def _served_worth(experiment: Experiment, requests: list[Request]) -> float | None:
    """Return the served share of the requests' weight, or None if the weight is zero."""
    total = sum(request.worth for request in requests)
    if not total:
        return None
    return sum(request.worth for request in requests if _served_in_time(experiment, request)) / total


def _served_in_time(experiment: Experiment, request: Request) -> bool:
    return request.served(experiment.classes[request.cls].aim_ms * 1000)


def _zone_of_sidecar(plan: Plan) -> dict[str, str]:
    return {sidecar.name: sidecar.zone for sidecar in plan.sidecars}


def _traffic_figures(plan: Plan, records: list[AnyRecord], request_count: int) -> dict[str, float]:
    """Return attempts, calls, connections and responses per request, the share of unserved work, and some counts."""
    sidecar_zone = _zone_of_sidecar(plan)
    upstream_zone = {upstream.uid: upstream.zone for upstream in plan.upstreams}
    attempts = [record for record in records if isinstance(record, Attempt)]
    ends = [record for record in records if isinstance(record, UpstreamAttemptEnded)]
    answers = [record for record in records if isinstance(record, ResponseReceived)]
    calls = sum(isinstance(record, RequestSent) for record in records)
    requests = max(1, request_count)
    return {
        "attempts_per_request": len(attempts) / requests,
        "tries_per_request": calls / requests,
        "crossings": sum(sidecar_zone[a.sidecar] != upstream_zone[a.upstream] for a in attempts) / requests,
        "connections_per_request": sum(attempt.fresh for attempt in attempts) / requests,
        "copies_cancelled": sum(end.how == "cancelled" for end in ends) / requests,
        "turned_away": sum(end.how == "turned_away" for end in ends) / requests,
        "work_unserved": _unserved_work(attempts, ends),
        "refused": sum(answer.status in STATUSES_REFUSED for answer in answers) / requests,
        "failed": sum(answer.status not in (STATUS_OK, *STATUSES_REFUSED) for answer in answers) / requests,
        "list_calls": float(sum(isinstance(record, DiscoveryCalled) for record in records)),
        "vanished": float(sum(isinstance(record, ClientKilled) for record in records)),
    }


def _unserved_work(attempts: list[Attempt], ends: list[UpstreamAttemptEnded]) -> float:
    """Return the share of the work received by upstreams that belongs to attempts which were not served."""
    work_us = {(attempt.upstream, attempt.n): attempt.work_us for attempt in attempts}
    unserved_us = sum(work_us[end.upstream, end.n] for end in ends if end.how != "served")
    return unserved_us / max(1, sum(work_us.values()))


def _usage_figures(records: list[AnyRecord]) -> dict[str, float]:
    """Return the CPU time and the memory of the sidecars and of the lab's own processes."""
    cpu_s: dict[str, float] = {}
    peak_mb: dict[str, float] = {}
    for record in records:
        if isinstance(record, ProcessUsage):
            cpu_s[record.process] = max(cpu_s.get(record.process, 0.0), record.cpu_s)
            peak_mb[record.process] = max(peak_mb.get(record.process, 0.0), record.rss_mb)
    lab = [process for process in cpu_s if _belongs_to_lab(process)]
    sidecars = [process for process in cpu_s if not _belongs_to_lab(process)]
    found = {
        "lab_cpu_s": sum(cpu_s[process] for process in lab),
        "lab_rss_mb": sum(peak_mb[process] for process in lab),
    }
    if sidecars:
        found["sidecar_cpu_s"] = sum(cpu_s[process] for process in sidecars)
        found["sidecar_cpu_s_most"] = max(cpu_s[process] for process in sidecars)
        found["sidecar_rss_mb_most"] = max(peak_mb[process] for process in sidecars)
    return found


def _belongs_to_lab(process: str) -> bool:
    return process in LAB_PROCESSES or process.startswith(LAB_PROCESS_PREFIXES)


def timeline(experiment: Experiment, plan: Plan, requests: list[Request], bin_us: int = TIMELINE_BIN_US) -> Timeline:
    """Return served worth and latency over time by zone."""
    zone_of = _zone_of_sidecar(plan)
    zones = [zone for zone in experiment.topology.zones if zone in zone_of.values()]
    count = int(plan.seconds * 1e6) // bin_us
    worth: dict[str, list[float | None]] = {}
    latency_ms: dict[str, list[list[float | None]]] = {}
    for zone in zones:
        bins: list[list[Request]] = [[] for _ in range(count)]
        for request in requests:
            index = request.first_us // bin_us
            if zone_of[request.sidecar] == zone and 0 <= index < count:
                bins[index].append(request)
        worth[zone] = [_served_worth(experiment, requests_in_bin) for requests_in_bin in bins]
        latency_ms[zone] = [_latency_percentiles_ms(requests_in_bin) for requests_in_bin in bins]
    return Timeline(zones, bin_us, worth, latency_ms)


def _latency_percentiles_ms(requests: list[Request]) -> list[float | None]:
    """Return the median and the 99th percentile of the served requests' latencies."""
    latencies_ms = [(r.answered_us - r.first_us) / 1000 for r in requests if r.answered_us is not None]
    if not latencies_ms:
        return [None, None]
    return [float(np.percentile(latencies_ms, 50)), float(np.percentile(latencies_ms, 99))]


def histograms(experiment: Experiment, plan: Plan, requests: list[Request], path: Path, unix_ms: int) -> None:  # noqa: ARG001 -- the lab passes the plan
    """Write the latencies of the served requests in HdrHistogram's log format, one histogram per second and class.

    Args:
        experiment: The experiment, which has the names of the classes.
        plan: Not used.
        requests: The run's requests.
        path: The file to write.
        unix_ms: When the run began.
    """
    with path.open("w", encoding="ascii") as file:
        writer = HistogramLogWriter(file)
        writer.output_log_format_version()
        writer.output_base_time(unix_ms)
        writer.output_legend()
        for (second, class_index), histogram in sorted(_histograms_by_second(requests).items()):
            file.write(f"Tag={experiment.classes[class_index].name},")  # the library reads tags but does not write them
            writer.output_interval_histogram(histogram, second, second + 1, 1000.0)


def _histograms_by_second(requests: list[Request]) -> dict[tuple[int, int], HdrHistogram]:
    """Return the histograms; the key is the second in which requests were due, and the class index."""
    found: dict[tuple[int, int], HdrHistogram] = {}
    for request in requests:
        if request.answered_us is None:
            continue
        key = (request.first_us // SECOND_US, request.cls)
        if key not in found:
            found[key] = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        latency_us = request.answered_us - request.first_us
        found[key].record_value(min(HISTOGRAM_MAX_US, max(1, latency_us)))
    return found
