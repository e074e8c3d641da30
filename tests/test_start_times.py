"""Tests the estimates of endpoints' start times when clocks disagree."""

from __future__ import annotations

import pytest

from garnetusher.sidecar.discovery.start_times import StartTimes

HOUR_S = 3600
START_UNIX_S = 1_700_000_000  # Unix time at the start of the test
START_MONOTONIC_S = 1_000_000  # time of the monotonic clock at the start of the test


class FakeClocks:
    """A monotonic clock and a wall clock that is wrong by `wall_error_s`, with start times estimated from both."""

    def __init__(self, wall_error_s: float = 0.0) -> None:
        self.elapsed_s, self.wall_error_s = 0.0, wall_error_s
        self.start_times = StartTimes(
            lambda: int((START_MONOTONIC_S + self.elapsed_s) * 1e6),
            lambda: int((START_UNIX_S + self.elapsed_s + self.wall_error_s) * 1e6),
        )

    def estimated_ages_s(self, **started_s: float) -> dict[str, float]:
        """Estimate the ages of the endpoints of one list, given their start times relative to START_UNIX_S."""
        starts_ms = {uid: int((START_UNIX_S + start_s) * 1000) for uid, start_s in started_s.items()}
        self.start_times.observe(starts_ms.values())
        return {
            uid: round(self.elapsed_s + START_MONOTONIC_S - self.start_times.started_us(uid, start_ms) / 1e6, 3)
            for uid, start_ms in starts_ms.items()
        }


@pytest.mark.parametrize("wall_error_s", [0.0, 10.0, HOUR_S])
def test_estimated_age_does_not_exceed_the_real_age_when_the_wall_clock_is_ahead(wall_error_s: float) -> None:
    clocks = FakeClocks(wall_error_s)
    # The newest start time is taken as the current time, so both estimated ages are 2 s too low.
    assert clocks.estimated_ages_s(old=-100.0, new=-2.0) == {"old": 98.0, "new": 0.0}
    clocks.elapsed_s = 5.0
    assert clocks.estimated_ages_s(newer=4.0)["newer"] <= 1.0
    clocks.elapsed_s = 30.0
    assert clocks.estimated_ages_s(late=10.0)["late"] <= 20.0


@pytest.mark.parametrize("wall_error_s", [-10.0, -HOUR_S])
def test_start_times_keep_the_estimate_of_a_known_endpoint_when_the_wall_clock_is_behind(wall_error_s: float) -> None:
    clocks = FakeClocks(wall_error_s)
    assert clocks.estimated_ages_s(new=-2.0) == {"new": 0.0}
    clocks.elapsed_s = 24.0
    assert clocks.estimated_ages_s(new=-2.0) == {"new": 24.0}


def test_start_times_make_no_other_endpoint_older_when_one_clock_is_ahead() -> None:
    clocks = FakeClocks()
    assert clocks.estimated_ages_s(ahead=HOUR_S, new=-2.0) == {"ahead": 0.0, "new": 2.0}


def test_start_times_keep_estimates_when_the_wall_clock_is_stepped() -> None:
    clocks = FakeClocks()
    earlier_ages_s = clocks.estimated_ages_s(one=-30.0, two=-1.0)
    for wall_error_s in (HOUR_S, -HOUR_S):
        clocks.wall_error_s = wall_error_s
        assert clocks.estimated_ages_s(one=-30.0, two=-1.0) == earlier_ages_s
    assert clocks.estimated_ages_s(long_ago=-START_UNIX_S)["long_ago"] == START_MONOTONIC_S  # 0 means long ago


def test_start_times_make_a_new_estimate_when_an_endpoint_restarts() -> None:
    clocks = FakeClocks()
    clocks.estimated_ages_s(one=-30.0, two=-1.0)
    clocks.elapsed_s = 50.0
    assert clocks.estimated_ages_s(one=49.0)["one"] <= 1.0
    clocks.start_times.forget("one")
    clocks.elapsed_s = 60.0
    assert clocks.estimated_ages_s(one=49.0)["one"] <= 11.0
