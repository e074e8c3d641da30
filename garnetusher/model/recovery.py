"""Figures of recovery: the time until faulty upstreams get no attempts, and until the served share is normal again."""

from __future__ import annotations

from typing import Self

import numpy as np
from msgspec import Struct

from garnetusher.model.experiment import Experiment
from garnetusher.model.plan import Plan, Span
from garnetusher.model.records import AnyRecord, Attempt, AttemptUndelivered
from garnetusher.model.request_outcomes import Request

BIN_US = 250_000
NORMAL_TOLERANCE = 0.05  # a served share is normal if it is at most this far below the share before the fault
RECOVERED_RATIO = 0.98  # the threshold of `back_to_098_s`, as a multiple of the served share before the fault
NORMAL_BINS = 6  # the normal share has to last for 1.5 s
FIRST_BINS = 2  # the first 0.5 s of them may be at most `NORMAL_TOLERANCE` below the required share
DIP_BINS = 8  # the window of `second_dip`, 2 s; in shorter windows random variation causes half of the dips
ABANDONED_BELOW = 0.1  # an abandoned upstream gets at most this share of its attempts before the fault
ABANDONED_STEP_US = BIN_US // 5  # the resolution of `leave_s`
SMALLEST_WEIGHT = 1e-9  # prevents a division by zero


class _ServedBins(Struct):
    """The weight of all requests, and of those served in time, by the bin in which they were due."""

    offered: np.ndarray
    served: np.ndarray

    @classmethod
    def of(cls, experiment: Experiment, requests: list[Request], end_us: int) -> Self:
        """Return the offered and the served worth of the requests, in the bins in which they were due."""
        objectives_us = [request_class.aim_ms * 1000 for request_class in experiment.classes]
        count = end_us // BIN_US + 1
        bins = cls(np.zeros(count), np.zeros(count))
        for request in requests:
            index = min(count - 1, request.first_us // BIN_US)
            bins.offered[index] += request.worth
            bins.served[index] += request.worth * request.served(objectives_us[request.cls])
        return bins

    def holds(self, begin: int, count: int, share: float) -> bool:
        """Return whether the served share of `count` bins together is at least `share`."""
        window = slice(begin, begin + count)
        return bool(self.served[window].sum() >= share * self.offered[window].sum())

    def first_normal(self, share: float, begin: int) -> int | None:
        """Return the first bin from which the served share is normal, or None.

        The served share of `NORMAL_BINS` bins has to be at least `share`, and that of the first `FIRST_BINS` of them at
        most `NORMAL_TOLERANCE` lower.
        """
        for index in range(begin, len(self.offered) - NORMAL_BINS):
            if self.offered[index : index + NORMAL_BINS].sum() == 0:
                continue
            if self.holds(index, NORMAL_BINS, share) and self.holds(index, FIRST_BINS, share - NORMAL_TOLERANCE):
                return index
        return None

    def lowest_share(self, begin: int) -> float:
        """Return the lowest served share of any `DIP_BINS` bins; it is below the mean even without a dip."""
        return float(min(self._window_share(index) for index in range(begin, len(self.offered) - DIP_BINS)))

    def _window_share(self, begin: int) -> float:
        window = slice(begin, begin + DIP_BINS)
        return float(self.served[window].sum() / max(SMALLEST_WEIGHT, self.offered[window].sum()))


def recovery_figures(
    experiment: Experiment, plan: Plan, records: list[AnyRecord], requests: list[Request]
) -> dict[str, float]:
    """Return the recovery figures that could be measured; a run without faults has none."""
    fault_interval_us = plan.fault_interval_us
    if fault_interval_us is None:
        return {}
    found = _recovery_times(experiment, plan, requests, fault_interval_us)
    abandon_times_s = [time_s for span in plan.spans if (time_s := _abandon_time_s(plan, span, records)) is not None]
    if abandon_times_s:
        found["leave_s"] = max(abandon_times_s)
    return found


def _recovery_times(
    experiment: Experiment, plan: Plan, requests: list[Request], fault_interval_us: tuple[int, int]
) -> dict[str, float]:
    fault_begin_us, fault_end_us = fault_interval_us
    run_end_us = int(plan.seconds * 1e6)
    bins = _ServedBins.of(experiment, requests, run_end_us)
    before = slice(0, fault_begin_us // BIN_US)
    if bins.offered[before].sum() <= 0:
        return {}
    found: dict[str, float] = {}
    usual_share = bins.served[before].sum() / bins.offered[before].sum()
    fault_ends = fault_end_us < run_end_us
    from_us = fault_end_us if fault_ends else fault_begin_us
    normal_bin = bins.first_normal(usual_share - NORMAL_TOLERANCE, from_us // BIN_US)
    if normal_bin is not None:
        found["back_to_normal_s"] = max(0.0, normal_bin * BIN_US - from_us) / 1e6
    recovered_bin = bins.first_normal(RECOVERED_RATIO * usual_share, from_us // BIN_US)
    if recovered_bin is not None and from_us == fault_end_us:
        found["back_to_098_s"] = max(0.0, recovered_bin * BIN_US - from_us) / 1e6
        found["second_dip"] = max(0.0, usual_share - bins.lowest_share(recovered_bin))
    return found


def _abandon_time_s(plan: Plan, span: Span, records: list[AnyRecord]) -> float | None:
    """Return the time from a fault's start until its upstreams get almost no attempts for the rest of the fault.

    The result is None if the figure does not apply. Failed connection attempts leave no record and do not count.
    """
    upstreams = set(span.parties) & {upstream.uid for upstream in plan.upstreams}
    if not upstreams or len(upstreams) == len(plan.upstreams) or span.what == "restart":
        return None
    times_us = _attempt_times_us(records, upstreams)
    # The usual rate is that of the second half of the time before the fault.
    half_us = span.at_us / 2
    usual_per_bin = _count_between(times_us, half_us, span.at_us) / max(1, half_us) * BIN_US
    if usual_per_bin == 0:
        return None
    for begin_us in range(span.at_us, span.until_us, ABANDONED_STEP_US):
        remaining = _count_between(times_us, begin_us, span.until_us)
        if remaining <= ABANDONED_BELOW * usual_per_bin * max(1.0, (span.until_us - begin_us) / BIN_US):
            return (begin_us - span.at_us) / 1e6
    return (span.until_us - span.at_us) / 1e6


def _attempt_times_us(records: list[AnyRecord], upstreams: set[str]) -> np.ndarray:
    attempts = (record for record in records if isinstance(record, Attempt | AttemptUndelivered))
    return np.array([attempt.t for attempt in attempts if attempt.upstream in upstreams], dtype=float)


def _count_between(times_us: np.ndarray, from_us: float, until_us: float) -> int:
    return int(((times_us >= from_us) & (times_us < until_us)).sum())
