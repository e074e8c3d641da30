"""What is believed of the time of day that upstreams started, when clocks disagree."""

from __future__ import annotations

import pytest

from garnetusher.sidecar.discovery.start_times import StartTimes

HOUR_S = 3600
TRUE_S = 1_700_000_000  # the time of day at this process's start
UP_S = 1_000_000  # of the monotonic clock by then


class Clocks:
    """A process's two clocks, of which the wall clock is wrong by `wrong_s`."""

    def __init__(self, wrong_s: float = 0.0) -> None:
        self.passed_s, self.wrong_s = 0.0, wrong_s
        self.times = StartTimes(
            lambda: int((UP_S + self.passed_s) * 1e6), lambda: int((TRUE_S + self.passed_s + self.wrong_s) * 1e6)
        )

    def ages_s(self, **started_s: float) -> dict[str, float]:
        """How old upstreams seem that one list names, by when they truly started since this process did."""
        starts_ms = {uid: int((TRUE_S + at) * 1000) for uid, at in started_s.items()}
        self.times.observe(starts_ms.values())
        return {
            uid: round(self.passed_s + UP_S - self.times.started_us(uid, ms) / 1e6, 3) for uid, ms in starts_ms.items()
        }


@pytest.mark.parametrize("wrong_s", [0.0, 10.0, HOUR_S])
def test_start_times_make_no_endpoint_older_when_the_wall_clock_is_ahead(wrong_s: float) -> None:
    clocks = Clocks(wrong_s)
    assert clocks.ages_s(old=-100.0, new=-2.0) == {"old": 98.0, "new": 0.0}
    clocks.passed_s = 5.0
    assert clocks.ages_s(newer=4.0)["newer"] <= 1.0
    clocks.passed_s = 30.0
    assert clocks.ages_s(late=10.0)["late"] <= 20.0


@pytest.mark.parametrize("wrong_s", [-10.0, -HOUR_S])
def test_start_times_end_after_one_warm_up_when_the_wall_clock_is_behind(wrong_s: float) -> None:
    clocks = Clocks(wrong_s)
    assert clocks.ages_s(new=-2.0) == {"new": 0.0}
    clocks.passed_s = 24.0
    assert clocks.ages_s(new=-2.0) == {"new": 24.0}


def test_start_times_make_no_other_endpoint_older_when_one_clock_is_ahead() -> None:
    clocks = Clocks()
    assert clocks.ages_s(ahead=HOUR_S, new=-2.0) == {"ahead": 0.0, "new": 2.0}


def test_start_times_keep_known_starts_when_the_wall_clock_is_stepped() -> None:
    clocks = Clocks()
    before = clocks.ages_s(one=-30.0, two=-1.0)
    for wrong_s in (HOUR_S, -HOUR_S):
        clocks.wrong_s = wrong_s
        assert clocks.ages_s(one=-30.0, two=-1.0) == before
    assert clocks.ages_s(long_ago=-TRUE_S)["long_ago"] == UP_S  # 0: no start is told


def test_start_times_estimate_anew_when_an_endpoint_restarts() -> None:
    clocks = Clocks()
    clocks.ages_s(one=-30.0, two=-1.0)
    clocks.passed_s = 50.0
    assert clocks.ages_s(one=49.0)["one"] <= 1.0
    clocks.times.forget("one")
    clocks.passed_s = 60.0
    assert clocks.ages_s(one=49.0)["one"] <= 11.0
