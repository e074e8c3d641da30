"""How long it took until a faulty upstream got no more attempts, and until requests were served as before the fault."""

from __future__ import annotations

from typing import Self

import numpy as np
from msgspec import Struct

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, Span
from garnetusher.model.records import AnyRecord, Attempt, AttemptUndelivered
from garnetusher.model.request_outcomes import Request

BIN_US = 250_000
NORMAL_TOLERANCE = 0.05  # below the served share before the fault
NEARLY_NORMAL = 0.98  # of the served share before the fault, as `back_to_098_s` has it
NORMAL_BINS = 6  # 1.5 s: for so long the normal share has to hold
FIRST_BINS = 2  # of those, which have to be near the normal share by themselves
DIP_BINS = 8  # 2 s: over which `second_dip` is measured; half of the dips of shorter stretches are chance
ABANDONED_BELOW = 0.1  # of the attempts that an upstream got before the fault
ABANDONED_STEP_US = BIN_US // 5
SMALLEST_WEIGHT = 1e-9  # in place of none, as a divisor


class _ServedBins(Struct):
    """The weight of all requests, and of those that were served in time, by when they were due."""

    offered: np.ndarray
    served: np.ndarray

    @classmethod
    def of(cls, experiment: Experiment, requests: list[Request], end_us: int) -> Self:
        objectives_us = [planned.aim_ms * 1000 for planned in experiment.classes]
        count = end_us // BIN_US + 1
        bins = cls(np.zeros(count), np.zeros(count))
        for request in requests:
            index = min(count - 1, request.first_us // BIN_US)
            bins.offered[index] += request.worth
            bins.served[index] += request.worth * request.served(objectives_us[request.cls])
        return bins

    def holds(self, begin: int, count: int, share: float) -> bool:
        """Return whether so many bins are together served to at least a share."""
        stretch = slice(begin, begin + count)
        return bool(self.served[stretch].sum() >= share * self.offered[stretch].sum())

    def first_normal(self, share: float, begin: int) -> int | None:
        """Return the first bin from which a stretch is served to a share, its first bins nearly so."""
        for index in range(begin, len(self.offered) - NORMAL_BINS):
            if self.offered[index : index + NORMAL_BINS].sum() == 0:
                continue
            if self.holds(index, NORMAL_BINS, share) and self.holds(index, FIRST_BINS, share - NORMAL_TOLERANCE):
                return index
        return None

    def lowest_share(self, begin: int) -> float:
        """Return the lowest share to which a stretch is served; chance alone takes it under the mean."""
        return float(min(self._dip_share(index) for index in range(begin, len(self.offered) - DIP_BINS)))

    def _dip_share(self, begin: int) -> float:
        stretch = slice(begin, begin + DIP_BINS)
        return float(self.served[stretch].sum() / max(SMALLEST_WEIGHT, self.offered[stretch].sum()))


def recovery_figures(
    experiment: Experiment, plan: Plan, records: list[AnyRecord], requests: list[Request]
) -> dict[str, float]:
    """Return the times of recovery that could be measured; a run without faults has none."""
    fault_interval_us = plan.fault_interval_us
    if fault_interval_us is None:
        return {}
    found = _back_to_normal(experiment, plan, requests, fault_interval_us)
    leave_times_s = [time_s for span in plan.spans if (time_s := _leave_s(plan, span, records)) is not None]
    if leave_times_s:
        found["leave_s"] = max(leave_times_s)
    return found


def _back_to_normal(
    experiment: Experiment, plan: Plan, requests: list[Request], fault_interval_us: tuple[int, int]
) -> dict[str, float]:
    fault_begin_us, fault_end_us = fault_interval_us
    run_end_us = int(plan.seconds * 1e6)
    bins = _ServedBins.of(experiment, requests, run_end_us)
    before = slice(0, fault_begin_us // BIN_US)
    if bins.offered[before].sum() <= 0:
        return {}
    found: dict[str, float] = {}
    usual = bins.served[before].sum() / bins.offered[before].sum()
    fault_ends = fault_end_us < run_end_us
    from_us = fault_end_us if fault_ends else fault_begin_us
    normal = bins.first_normal(usual - NORMAL_TOLERANCE, from_us // BIN_US)
    if normal is not None:
        found["back_to_normal_s"] = max(0.0, normal * BIN_US - from_us) / 1e6
    nearly = bins.first_normal(NEARLY_NORMAL * usual, from_us // BIN_US)
    if nearly is not None and from_us == fault_end_us:
        found["back_to_098_s"] = max(0.0, nearly * BIN_US - from_us) / 1e6
        found["second_dip"] = max(0.0, usual - bins.lowest_share(nearly))
    return found


def _leave_s(plan: Plan, span: Span, records: list[AnyRecord]) -> float | None:
    """Return the time from a fault's start until its upstreams get nearly no attempts for as long as the fault lasts.

    Connections that never come up leave no trace and are not counted.
    """
    upstreams = set(span.parties) & {upstream.uid for upstream in plan.upstreams}
    if not upstreams or len(upstreams) == len(plan.upstreams) or span.what == "restart":
        return None
    times_us = _attempt_times_us(records, upstreams)
    before_us = span.at_us / 2
    usual = _count_between(times_us, before_us, span.at_us) / max(1, before_us) * BIN_US
    if usual == 0:
        return None
    for begin_us in range(span.at_us, span.until_us, ABANDONED_STEP_US):
        remaining = _count_between(times_us, begin_us, span.until_us)
        if remaining <= ABANDONED_BELOW * usual * max(1.0, (span.until_us - begin_us) / BIN_US):
            return (begin_us - span.at_us) / 1e6
    return (span.until_us - span.at_us) / 1e6


def _attempt_times_us(records: list[AnyRecord], upstreams: set[str]) -> np.ndarray:
    attempts = (record for record in records if isinstance(record, Attempt | AttemptUndelivered))
    return np.array([attempt.t for attempt in attempts if attempt.upstream in upstreams], dtype=float)


def _count_between(times_us: np.ndarray, from_us: float, until_us: float) -> int:
    return int(((times_us >= from_us) & (times_us < until_us)).sum())
